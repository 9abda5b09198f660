#include <arpa/inet.h>
#include <inttypes.h>

#include "dgram.h"
#include "hint_drop.h"
#include "jlog.h"
#include "mag.h"

#define HINT_DROP_LOG_US MAG_US_PER_S

static const char *const hint_drop_names[HINT_DROP_COUNT] = {
	[HINT_DROP_FORM] = "form",
	[HINT_DROP_LENGTH] = "length",
	[HINT_DROP_DEPLOYMENT] = "deployment",
	[HINT_DROP_ALTERED] = "altered",
	[HINT_DROP_UNREADABLE] = "unreadable",
	[HINT_DROP_PEERS] = "too many peers",
	[HINT_DROP_OWN_NAME] = "own name",
};

static uint64_t hint_drop_total(const struct hint_drops *drops);

/* Returns why a datagram is dropped that dgram_check() rejects. */
enum hint_drop_why hint_drop_why(int dgram_err)
{
	switch (dgram_err) {
	case DGRAM_E_LENGTH:
		return HINT_DROP_LENGTH;
	case DGRAM_E_DEPLOYMENT:
		return HINT_DROP_DEPLOYMENT;
	case DGRAM_E_ALTERED:
		return HINT_DROP_ALTERED;
	default:
		return HINT_DROP_FORM;
	}
}

/* Counts a datagram that is dropped; logs one a second. */
void hint_drop(struct hint_drops *drops, enum hint_drop_why why,
	       const struct sockaddr_in *from, int64_t now)
{
	char ip[INET_ADDRSTRLEN] = "";
	uint64_t total;

	drops->counts[why]++;
	if (now < drops->next_log_us)
		return;
	drops->next_log_us = now + HINT_DROP_LOG_US;
	total = hint_drop_total(drops);
	inet_ntop(AF_INET, &from->sin_addr, ip, sizeof(ip));
	jlog(LOG_HINT_DROPPED,
	     "\"from\":\"%s:%d\",\"why\":\"%s\",\"dropped\":%" PRIu64, ip,
	     ntohs(from->sin_port), hint_drop_names[why],
	     total - drops->logged);
	drops->logged = total;
}

static uint64_t hint_drop_total(const struct hint_drops *drops)
{
	uint64_t total = 0;
	int why;

	for (why = 0; why < HINT_DROP_COUNT; why++)
		total += drops->counts[why];
	return total;
}

void hint_drop_write(const struct hint_drops *drops, struct evbuffer *out)
{
	int why;

	for (why = 0; why < HINT_DROP_COUNT; why++)
		evbuffer_add_printf(
			out,
			"magnolia_peer_datagrams_dropped_total{why=\"%s\"} "
			"%" PRIu64 "\n",
			hint_drop_names[why], drops->counts[why]);
}
