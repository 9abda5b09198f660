#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hint_suspect.h"
#include "hint_turn.h"
#include "script.h"

#define LINE_MAX_    256
#define ROUND_US     (150 * MAG_US_PER_MS)
#define LOCAL_PEERS  32 /* that get a message in a round */
#define REMOTE_PEERS 4
#define START_US     (100 * MAG_US_PER_S)
/* A router waits for an answer for this long, and probes not more often. */
#define PROBE_TIMEOUT_US  (350 * MAG_US_PER_MS)
#define PROBE_INTERVAL_US (100 * MAG_US_PER_MS)

/*
 * A fleet of routers in virtual time that pass on suspicions of one service's
 * workers in rounds of messages, some of which are lost.
 */
struct router {
	struct hint_router self;
	struct wk_table table;
	struct wk *workers;
	uint32_t next_suspect;
	struct hint_turn local;
	struct hint_turn remote;
	bool *eligible_local;
	bool *eligible_remote;
	int probes;
};

static struct hc_host *host; /* of all workers */
static struct router *routers;
static struct hint_router *known; /* all routers, as each one knows them */
static int count;
static int worker_count;
static int per_centre; /* routers */
static int64_t now;
static double loss;
static uint64_t seed;
static int64_t late_us; /* until a worker answers a probe; 0: not simulated */

static void free_fleet(void)
{
	int i;

	for (i = 0; i < count; i++) {
		htab_free(&routers[i].table.ids);
		htab_free(&routers[i].table.addresses);
		free(routers[i].workers);
		free(routers[i].eligible_local);
		free(routers[i].eligible_remote);
	}
	free(routers);
	free(known);
	routers = NULL;
	known = NULL;
	count = 0;
}

/* Notes which routers are in the data centre of one, and which in others. */
static void list_peers(struct router *router, int centres)
{
	int self = (int)(router - routers);
	int i;

	router->eligible_local = calloc((size_t)count, sizeof(bool));
	router->eligible_remote = calloc((size_t)count, sizeof(bool));
	for (i = 0; i < count; i++) {
		router->eligible_local[i] =
			i != self && i % centres == self % centres;
		router->eligible_remote[i] = i % centres != self % centres;
	}
}

/* "fleet ROUTERS DATA_CENTRES WORKERS LOSS" */
static void start_fleet(int n, int centres, int workers, double lost)
{
	int i;
	int w;

	free_fleet();
	routers = calloc((size_t)n, sizeof(*routers));
	known = calloc((size_t)n, sizeof(*known));
	count = n;
	worker_count = workers;
	per_centre = (n + centres - 1) / centres;
	loss = lost;
	late_us = 0;
	seed = 4711;
	now = START_US;
	for (i = 0; i < n; i++) {
		routers[i].self.id = (uint32_t)mag_random(&seed);
		routers[i].self.data_centre = (uint32_t)(i % centres);
		known[i] = routers[i].self;
		routers[i].local.next = (uint32_t)mag_random(&seed);
		routers[i].remote.next = (uint32_t)mag_random(&seed);
		routers[i].next_suspect = (uint32_t)mag_random(&seed);
		list_peers(&routers[i], centres);
		wk_init(&routers[i].table, NULL);
		routers[i].workers = calloc((size_t)workers, sizeof(struct wk));
		for (w = 0; w < workers; w++) {
			snprintf(routers[i].workers[w].entry.id, WIRE_ID_MAX,
				 "w-%d", w);
			routers[i].workers[w].host = host;
			routers[i].workers[w].listed = true;
			routers[i].workers[w].gone_us = MAG_NEVER;
			wk_link(&routers[i].table, &routers[i].workers[w]);
		}
	}
}

static void probe(struct router *router, struct wk *wk)
{
	if (late_us && (wk->probing || now - wk->probed_us < PROBE_INTERVAL_US))
		return;
	wk->probing = late_us != 0;
	wk->probed_us = now;
	router->probes++;
}

/* Ends a router's probes that were answered or waited for too long. */
static void end_probes(struct router *router)
{
	struct wk *wk;
	int w;

	for (w = 0; late_us && w < worker_count; w++) {
		wk = &router->workers[w];
		if (wk->probing && now - wk->probed_us >= PROBE_TIMEOUT_US) {
			wk->probing = false;
			wk->proc.suspect_until_us = 0;
			wk_suspect(wk, now, "no answer");
		} else if (wk->probing && now - wk->probed_us >= late_us) {
			wk->probing = false;
			wk_clear_suspicion(wk, now);
		}
		if (wk->proc.suspected && now >= wk->proc.suspect_until_us)
			probe(router, wk);
	}
}

/* A router hears of suspicions, and probes if it is to. */
static void receive(struct router *router, const struct hint_message *message)
{
	const struct hint_suspect *suspect;
	struct wk *wk;
	uint32_t k;

	for (k = 0; k < message->suspect_count; k++) {
		suspect = &message->suspects[k];
		wk = wk_by_hash(&router->table, suspect->worker);
		if (!hint_suspect_hear(wk, suspect, now) ||
		    wk->proc.suspected || wk_is_paused(wk, now))
			continue;
		wk_pause_on_hearsay(wk, now);
		if (hint_suspect_probes(wk, known, count, &router->self, now))
			probe(router, wk);
	}
}

static void send_to(struct hint_turn *turn, const bool *eligible, int max,
		    const struct hint_message *message)
{
	int others = 0;
	int to;
	int i;

	for (i = 0; i < count; i++)
		others += eligible[i];
	for (i = 0; i < max && i < others; i++) {
		to = hint_turn_next(turn, eligible, count);
		if (mag_random_unit(&seed) >= loss)
			receive(&routers[to], message);
	}
}

static void send_round(struct router *router)
{
	static struct hint_message message;

	hint_suspect_announce(&router->table, now);
	hint_suspect_collect(&router->table, router->self.id, now,
			     &router->next_suspect, &message);
	if (message.suspect_count == 0)
		return;
	send_to(&router->local, router->eligible_local, LOCAL_PEERS, &message);
	if (per_centre <= LOCAL_PEERS ||
	    mag_random(&seed) % (uint64_t)per_centre < LOCAL_PEERS)
		send_to(&router->remote, router->eligible_remote, REMOTE_PEERS,
			&message);
}

static void run_rounds(long ms)
{
	int64_t end_us = now + ms * MAG_US_PER_MS;
	int i;

	for (; now < end_us; now += ROUND_US) {
		for (i = 0; i < count; i++) {
			end_probes(&routers[i]);
			send_round(&routers[i]);
		}
	}
}

/* "in-use": requests of every router are at every worker. */
static void use_all(void)
{
	int i;
	int w;

	for (i = 0; i < count; i++) {
		for (w = 0; w < worker_count; w++)
			routers[i].workers[w].refs = 1;
	}
}

/* "avoided MAX": prints how many workers are still used by more routers. */
static void print_avoided(FILE *out, int users_max)
{
	int used = 0;
	int users;
	int i;
	int w;

	for (w = 0; w < worker_count; w++) {
		users = 0;
		for (i = 0; i < count; i++)
			users += wk_usable(&routers[i].workers[w], now);
		used += users > users_max;
	}
	fprintf(out, "%d of %d workers are used\n", used, worker_count);
}

/* "probes MAX": prints whether a worker was probed more often, on average. */
static void print_probes(FILE *out, int probes_max)
{
	long probes = 0;
	int i;

	for (i = 0; i < count; i++)
		probes += routers[i].probes;
	if (probes <= (long)probes_max * worker_count)
		fprintf(out, "in bounds\n");
	else
		fprintf(out, "too many: %ld\n", probes / worker_count);
}

/* "dead FROM TO WITNESSES": so many routers find each of the workers dead. */
static void find_dead(int from, int to, int witnesses)
{
	int i;
	int w;

	for (w = from; w < to; w++) {
		for (i = 0; i < witnesses; i++)
			wk_suspect(
				&routers[(w * 13 + i * 7) % count].workers[w],
				now, "no answer");
	}
}

/* "answers": the suspected workers answer the probes of those who suspect them.
 */
static void clear_all(void)
{
	int i;
	int w;

	for (i = 0; i < count; i++) {
		for (w = 0; w < worker_count; w++) {
			if (routers[i].workers[w].proc.suspected)
				wk_clear_suspicion(&routers[i].workers[w], now);
		}
	}
}

/* "cut FROM TO": these routers lose their paths to all workers. */
static void cut_off(int from, int to)
{
	const struct reach_workers workers = { worker_count, false };
	int i;
	int w;

	for (i = from; i < to; i++) {
		for (w = 0; w < worker_count; w++) {
			wk_on_unreached(&routers[i].workers[w]);
			wk_suspect(&routers[i].workers[w], now, "cut off");
		}
		reach_take_probe(&routers[i].table.reach, 1, now);
		reach_update(&routers[i].table.reach, &workers,
			     now + MAG_US_PER_S);
	}
}

/* "cut-in-turn FROM TO MS": the same one after the other. */
static void cut_off_in_turn(int from, int to, long ms)
{
	for (; from < to; from++) {
		cut_off(from, from + 1);
		run_rounds(ms);
	}
}

/* "usable ROUTER": prints how many workers a router uses. */
static void print_usable(FILE *out, int router)
{
	int usable = 0;
	int w;

	for (w = 0; w < worker_count; w++)
		usable += wk_usable(&routers[router].workers[w], now);
	fprintf(out, "%d of %d\n", usable, worker_count);
}

static void run_script(FILE *in, FILE *out)
{
	struct hc *hc = hc_new(NULL);
	char line[LINE_MAX_];
	double lost;
	long ms;
	int a;
	int b;
	int c;

	if (hc_host_new(hc, "127.0.0.1:1", 1, &host))
		return;
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "fleet %d %d %d %lf", &a, &b, &c, &lost) == 4)
			start_fleet(a, b, c, lost);
		else if (sscanf(line, "dead %d %d %d", &a, &b, &c) == 3)
			find_dead(a, b, c);
		else if (sscanf(line, "cut %d %d", &a, &b) == 2)
			cut_off(a, b);
		else if (sscanf(line, "cut-in-turn %d %d %ld", &a, &b, &ms) ==
			 3)
			cut_off_in_turn(a, b, ms);
		else if (sscanf(line, "usable %d", &a) == 1)
			print_usable(out, a);
		else if (sscanf(line, "run %ld", &ms) == 1)
			run_rounds(ms);
		else if (sscanf(line, "probes %d", &a) == 1)
			print_probes(out, a);
		else if (sscanf(line, "avoided %d", &a) == 1)
			print_avoided(out, a);
		else if (sscanf(line, "late %ld", &ms) == 1)
			late_us = ms * MAG_US_PER_MS;
		else if (strncmp(line, "in-use", 6) == 0)
			use_all();
		else if (strncmp(line, "answers", 7) == 0)
			clear_all();
	}
	free_fleet();
	hc_free(hc);
}

int main(void)
{
	return script_main("regress/suspect", run_script);
}
