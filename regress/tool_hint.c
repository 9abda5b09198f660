/*
 * Sends a router well-formed datagrams with values of the caller's choice,
 * COUNT times, one every EVERY_US (0: without a pause), from each of the peers
 * that are NAMEd with commas between them.  FIELD=VALUE sets a field: version,
 * version_era, era, revision, age_us, sent_us, ready, session, demand, or limit
 * and suspect, whose value is the id of a worker.
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "dgram.h"
#include "fk.h"
#include "hint_msg.h"
#include "htab.h"

#define PEERS_MAX 16
/* A suspicion of this tool: no new work for so long, by so many routers. */
#define SUSPECT_MS 3000
#define WITNESSES  0xffU

static struct hint_message message = {
	.part_count = 1,
	.session = 1,
	.sent_us = 1,
	.claim = { .age_us = -1, .version = -1 },
	.store_pos = { POS_ERA_NONE, 0 },
	.version_era = POS_ERA_NONE,
};

static int set_field(const char *field);
static void set_worker(const char *kind, const char *id);

int main(int argc, char **argv)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	char encoded[PEERS_MAX][HINT_BYTES_MAX];
	size_t len[PEERS_MAX];
	struct dgram_key key;
	char *name;
	int peers = 0;
	long count;
	long i;
	int k;

	if (argc < 5) {
		fprintf(stderr, "usage: tool_hint PORT COUNT EVERY_US "
				"NAME[,NAME] [FIELD=VALUE ...]\n");
		return 1;
	}
	/* The routers of the scripts are in no named deployment. */
	dgram_key_init(&key, "");
	to.sin_port = htons((uint16_t)atoi(argv[1]));
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	count = atol(argv[2]);
	for (k = 5; k < argc; k++) {
		if (set_field(argv[k])) {
			fprintf(stderr, "no such field: %s\n", argv[k]);
			return 1;
		}
	}
	for (name = strtok(argv[4], ","); name && peers < PEERS_MAX;
	     name = strtok(NULL, ",")) {
		snprintf(message.name, sizeof(message.name), "%s", name);
		if (hint_msg_encode(&message, encoded[peers], &len[peers]))
			return 1;
		peers++;
	}
	for (i = 0; i < count; i++) {
		for (k = 0; k < peers; k++)
			(void)dgram_send(fd, &key, &to, encoded[k], len[k]);
		if (atol(argv[3]) > 0)
			fk_sleep_us(atol(argv[3]));
	}
	return 0;
}

/* Sets a field of the message; returns a negative number if there is none. */
static int set_field(const char *field)
{
	const struct {
		const char *name;
		int64_t *wide;
		uint32_t *narrow;
	} fields[] = {
		{ "version", &message.claim.version, NULL },
		{ "version_era", &message.version_era, NULL },
		{ "era", &message.store_pos.era, NULL },
		{ "revision", &message.store_pos.revision, NULL },
		{ "age_us", &message.claim.age_us, NULL },
		{ "sent_us", &message.sent_us, NULL },
		{ "ready", NULL, &message.ready },
		{ "session", NULL, &message.session },
		{ "demand", NULL, &message.demand },
	};
	const char *value = strchr(field, '=');
	char name[32];
	size_t i;

	if (!value || (size_t)(value - field) >= sizeof(name))
		return -1;
	snprintf(name, sizeof(name), "%.*s", (int)(value - field), field);
	value++;
	if (strcmp(name, "limit") == 0 || strcmp(name, "suspect") == 0) {
		set_worker(name, value);
		return 0;
	}
	for (i = 0; i < MAG_ARRAY_SIZE(fields); i++) {
		if (strcmp(name, fields[i].name) != 0)
			continue;
		if (fields[i].wide)
			*fields[i].wide = strtoll(value, NULL, 10);
		else
			*fields[i].narrow = (uint32_t)strtoul(value, NULL, 10);
		return 0;
	}
	return -1;
}

/* Reports a limit of no requests, or a suspicion, of a worker. */
static void set_worker(const char *kind, const char *id)
{
	uint32_t worker = htab_hash(id);

	if (strcmp(kind, "limit") == 0)
		message.limits[message.limit_count++] =
			(struct hint_limit){ worker, 0, 0 };
	else
		message.suspects[message.suspect_count++] =
			(struct hint_suspect){ worker, SUSPECT_MS, WITNESSES };
}
