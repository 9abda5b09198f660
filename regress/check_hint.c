#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hint_load.h"
#include "script.h"

#define LINE_MAX_   256
#define WORKERS_MAX 512
#define PEERS_MAX   8

/*
 * One router's worker table, and peers that report the load that they have
 * given each worker: their messages are encoded and decoded as on the wire.
 */
static struct wk_table table;
static struct wk workers[WORKERS_MAX];
static int count;
static struct hint_peer_loads peers[PEERS_MAX];
static struct hint_loads given[PEERS_MAX];

/* "workers N" */
static void set_workers(int n)
{
	int i;

	for (i = 0; i < PEERS_MAX; i++)
		hint_load_free(&peers[i]);
	htab_free(&table.ids);
	htab_free(&table.addresses);
	wk_init(&table, NULL);
	memset(workers, 0, sizeof(workers));
	memset(given, 0, sizeof(given));
	count = n;
	for (i = 0; i < count; i++) {
		snprintf(workers[i].entry.id, sizeof(workers[i].entry.id),
			 "w-%d", i);
		wk_link(&table, &workers[i]);
	}
}

/* "gives PEER FROM TO HELD FIRSTS": load on workers FROM to TO - 1. */
static void set_given(int peer, int from, int to, double held, int firsts)
{
	int i;

	for (i = 0; i < count; i++) {
		workers[i].held = i >= from && i < to ? held : 0;
		workers[i].first_hops = i >= from && i < to ? firsts : 0;
		wk_add_loaded(&workers[i]);
	}
	hint_load_collect(&table, 0, &given[peer]);
}

/* "tell PEER [LOST]": sends all parts except the lost one. */
static void send_load(FILE *out, int peer, int lost)
{
	static struct hint_message message;
	char bytes[HINT_BYTES_MAX];
	uint32_t parts = hint_load_part_count(&given[peer]);
	uint32_t part;
	size_t len;

	memset(&message, 0, sizeof(message));
	snprintf(message.name, sizeof(message.name), "r-%d", peer);
	for (part = 0; part < parts; part++) {
		hint_load_fill(&given[peer], part, &message);
		if (hint_msg_encode(&message, bytes, &len)) {
			fprintf(out, "part %u does not fit\n", part);
			return;
		}
		if ((int)part == lost)
			continue;
		if (hint_msg_decode(&message, bytes, len))
			fprintf(out, "part %u cannot be read\n", part);
		else
			hint_load_receive(&peers[peer], &message);
	}
	fprintf(out, "%u parts\n", parts);
}

/* "full": encodes and decodes a message that is filled to its limits. */
static void send_full_message(FILE *out)
{
	static struct hint_message message;
	static struct hint_message read;
	char bytes[HINT_BYTES_MAX];
	size_t len;

	memset(&message, 0, sizeof(message));
	memset(message.name, 'n', sizeof(message.name) - 1);
	message.part_count = 1;
	message.load_count = HINT_LOADS_MAX;
	message.crash_count = HINT_CRASHES_MAX;
	message.suspect_count = HINT_SUSPECTS_MAX;
	message.limit_count = HINT_LIMITS_MAX;
	message.limits[HINT_LIMITS_MAX - 1] =
		(struct hint_limit){ 7, 8.25F, 1234 };
	if (hint_msg_encode(&message, bytes, &len) ||
	    hint_msg_decode(&read, bytes, len)) {
		fprintf(out, "does not fit\n");
		return;
	}
	fprintf(out, "worker %u: limit %.2f per second, announced %u ms ago\n",
		read.limits[HINT_LIMITS_MAX - 1].worker,
		(double)read.limits[HINT_LIMITS_MAX - 1].per_s,
		read.limits[HINT_LIMITS_MAX - 1].age_ms);
}

/*
 * Sums the peers' load and prints each worker that differs from the previous
 * one.
 */
static void print_sums(FILE *out)
{
	const struct wk *wk;
	int i;

	hint_load_clear(&table, 0);
	for (i = 0; i < PEERS_MAX; i++)
		hint_load_add(&table, &peers[i], 1);
	for (i = 0; i < count; i++) {
		wk = &workers[i];
		if (i > 0 && wk->peer_held == wk[-1].peer_held &&
		    wk->peer_first_hops == wk[-1].peer_first_hops)
			continue;
		fprintf(out, "from worker %d: held %.0f firsts %d\n", i,
			wk->peer_held, wk->peer_first_hops);
	}
}

static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	double held;
	int peer;
	int from;
	int to;
	int n;

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "workers %d", &n) == 1)
			set_workers(n);
		else if (sscanf(line, "gives %d %d %d %lf %d", &peer, &from,
				&to, &held, &n) == 5)
			set_given(peer, from, to, held, n);
		else if (sscanf(line, "tell %d %d", &peer, &n) == 2)
			send_load(out, peer, n);
		else if (sscanf(line, "tell %d", &peer) == 1)
			send_load(out, peer, -1);
		else if (strncmp(line, "full", 4) == 0)
			send_full_message(out);
		else if (strncmp(line, "loads", 5) == 0)
			print_sums(out);
	}
}

int main(void)
{
	return script_main("regress/hint", run_script);
}
