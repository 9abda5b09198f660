/*
 * Sends a router datagrams that were altered on their way: announces itself to
 * one router as a new peer, takes the datagrams that this router answers, and
 * sends them on to another one COUNT times, spread over a second.  KIND is
 * "bits" (one to eight bits are inverted), "bytes" (one to eight bytes are set
 * to 0xff), "cut" (the end is missing) or "none".  Prints how many it sent.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "cap.h"
#include "clk.h"
#include "dgram.h"
#include "fk.h"
#include "hint_msg.h"

#define TRIES	    50
#define POLL_US	    (20 * MAG_US_PER_MS)
#define ALTERED_MAX 8

static struct cap captured;
static uint64_t seed;

static void capture(int fd, const struct sockaddr_in *from);
static void alter(struct cap_datagram *datagram, const char *kind);

int main(int argc, char **argv)
{
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	struct cap_datagram datagram;
	struct sockaddr_in from;
	struct sockaddr_in to;
	int count;
	int sent = 0;
	int i;

	if (argc < 6) {
		fprintf(stderr, "usage: tool_alter FROM_PORT TO_PORT COUNT "
				"SEED KIND\n");
		return 1;
	}
	count = atoi(argv[3]);
	seed = strtoull(argv[4], NULL, 10) | 1;
	cap_set_address(&from, argv[1]);
	cap_set_address(&to, argv[2]);
	capture(fd, &from);
	if (captured.count == 0) {
		fprintf(stderr, "no datagram was captured\n");
		return 1;
	}
	for (i = 0; i < count; i++) {
		datagram = captured.datagrams[mag_random(&seed) %
					      (uint64_t)captured.count];
		alter(&datagram, argv[5]);
		sent += sendto(fd, datagram.bytes, datagram.len, 0,
			       (struct sockaddr *)&to, sizeof(to)) >= 0;
		fk_sleep_us(MAG_US_PER_S / count);
	}
	printf("%d\n", sent);
	return 0;
}

/* Announces new peers to a router until it has answered often enough. */
static void capture(int fd, const struct sockaddr_in *from)
{
	static struct hint_message message = {
		.part_count = 1,
		.store_pos = { POS_ERA_NONE, 0 },
	};
	struct dgram_key key;
	char bytes[HINT_BYTES_MAX];
	size_t len;
	int i;

	/* The routers of the scripts are in no named deployment. */
	dgram_key_init(&key, "");
	snprintf(message.name, sizeof(message.name), "captures");
	for (i = 0; i < TRIES && captured.count < CAP_MAX / 2; i++) {
		message.session = (uint32_t)i + 1;
		if (!hint_msg_encode(&message, bytes, &len))
			(void)dgram_send(fd, &key, from, bytes, len);
		fk_sleep_us(POLL_US);
		cap_take(&captured, fd, CAP_MAX);
	}
}

static void alter(struct cap_datagram *datagram, const char *kind)
{
	int changes = 1 + (int)(mag_random(&seed) % ALTERED_MAX);
	size_t at;

	if (strcmp(kind, "cut") == 0) {
		datagram->len = mag_random(&seed) % datagram->len;
		return;
	}
	if (strcmp(kind, "none") == 0)
		return;
	if (strcmp(kind, "bits") == 0) {
		cap_invert_bits(datagram, &seed);
		return;
	}
	while (changes-- > 0) {
		at = mag_random(&seed) % datagram->len;
		datagram->bytes[at] = (char)0xff;
	}
}
