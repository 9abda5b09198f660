#include <math.h>
#include <sodium.h>

#include "log.h"
#include "net.h"
#include "script.h"

/*
 * Driver for the scripts of regress/fleet: many fleets interact in virtual
 * time.  A script names nodes by a number, a range such as 3-5, dN (a data
 * centre), or all.
 */

#define LIMITS_MAX  400
#define RECORDS_MAX 8

/* What one instance's fleet has reported, and the demand set on it. */
struct node_state {
	double share[LIMITS_MAX];
	double demand[LIMITS_MAX];
	bool leaving[RECORDS_MAX];
	int quarantine_count;
	int64_t quarantined_at_us;
	int64_t notified_at_us;
	uint64_t revision;
	uint64_t max_revision;
	bool reverted;
	int64_t fetch_at_us;
	uint64_t fetch_revision;
	uint64_t arrivals;
	int64_t last_arrival_us;
	int ups;
	int downs;
};

struct run {
	struct net net;
	struct node_state states[NET_MAX];
	struct cfg_set set;
	struct cfg_limit limits[LIMITS_MAX];
	struct cfg_endpoint endpoints[RECORDS_MAX];
	int64_t mark_us;
	FILE *out;
};

static void on_update(struct net *net, int node,
		      const struct fleet_update *update)
{
	struct run *run = net->ctx;
	struct node_state *state = &run->states[node];
	int i;

	switch (update->type) {
	case FLEET_UPDATE_SHARE:
		state->share[update->share.limit] =
			update->share.requests_per_s;
		break;
	case FLEET_UPDATE_LEAVING:
		i = cfg_find_endpoint(&run->set, update->leaving.endpoint);
		if (i >= 0)
			state->leaving[i] = update->leaving.leaving;
		state->notified_at_us = net->now;
		break;
	case FLEET_UPDATE_QUARANTINE:
		state->quarantine_count++;
		state->quarantined_at_us = net->now;
		break;
	case FLEET_UPDATE_REVISION:
		state->fetch_revision = update->revision.revision;
		state->fetch_at_us = net->now + 50 * MAG_US_PER_MS;
		break;
	default:
		state->ups += update->peer.up;
		state->downs += !update->peer.up;
	}
}

/* Parses a set of nodes into list; returns their number. */
static int parse_nodes(const struct run *run, const char *text, int *list)
{
	int low = 0;
	int high = run->net.count - 1;
	int count = 0;
	int dc = -1;
	int i;

	if (text[0] == 'd')
		dc = atoi(text + 1);
	else if (strcmp(text, "all") != 0 &&
		 sscanf(text, "%d-%d", &low, &high) == 1)
		high = low;
	for (i = low; i <= high; i++) {
		if (dc < 0 || run->net.nodes[i].dc == dc)
			list[count++] = i;
	}
	return count;
}

static void step(struct run *run)
{
	int i;

	net_step(&run->net);
	for (i = 0; i < run->net.count; i++) {
		struct node_state *state = &run->states[i];

		if (!run->net.nodes[i].alive || run->net.nodes[i].paused)
			continue;
		if (state->fetch_revision &&
		    run->net.now >= state->fetch_at_us) {
			state->revision = state->fetch_revision;
			state->fetch_revision = 0;
			state->notified_at_us = run->net.now;
			fleet_note_revision(run->net.nodes[i].fleet,
					    state->revision, run->net.now);
		}
		state->reverted |= state->revision < state->max_revision;
		if (state->revision > state->max_revision)
			state->max_revision = state->revision;
		if (!state->leaving[0]) {
			state->arrivals++;
			state->last_arrival_us = run->net.now;
		}
	}
}

/* Runs for some time and prints how much of limit 0 the nodes use. */
static void measure(struct run *run, long ms, const char *who)
{
	int list[NET_MAX];
	int count = parse_nodes(run, who, list);
	double limit = run->limits[0].requests_per_s;
	double least = 1e9;
	double most = 0;
	double sum = 0;
	long steps = ms * MAG_US_PER_MS / NET_STEP_US;
	long s;
	int i;

	for (s = 0; s < steps; s++) {
		double used = 0;

		step(run);
		for (i = 0; i < count; i++) {
			struct node_state *state = &run->states[list[i]];

			if (run->net.nodes[list[i]].alive)
				used += fmin(state->share[0], state->demand[0]);
		}
		least = fmin(least, used);
		most = fmax(most, used);
		sum += used / (double)steps;
	}
	fprintf(run->out,
		"%s used of the limit: least %.1f%% mean %.1f%% "
		"most %.1f%%\n",
		who, 100 * least / limit, 100 * sum / limit,
		100 * most / limit);
}

/* Sets a random demand on every node each period; measures all together. */
static void storm(struct run *run, long ms, long period_ms)
{
	double limit = run->limits[0].requests_per_s;
	double most = 0;
	double sum = 0;
	double wanted = 0;
	long t;
	int i;

	for (t = 0; t < ms; t += 10) {
		double used = 0;
		double demand = 0;

		for (i = 0; i < run->net.count; i++) {
			struct node_state *state = &run->states[i];

			if (t % period_ms == 0)
				state->demand[0] = net_random(&run->net) % 400;
			fleet_note_demand(run->net.nodes[i].fleet, 0,
					  state->demand[0]);
		}
		step(run);
		for (i = 0; i < run->net.count; i++) {
			struct node_state *state = &run->states[i];

			if (!run->net.nodes[i].alive)
				continue;
			demand += state->demand[0];
			used += fmin(state->share[0], state->demand[0]);
		}
		most = fmax(most, used);
		sum += used;
		wanted += fmin(demand, limit);
	}
	fprintf(run->out,
		"used of what could be: mean %.1f%%; most of the "
		"limit %.1f%%\n",
		100 * sum / wanted, 100 * most / limit);
}

static void start(struct run *run, int dcs, int count, int limits)
{
	int i;

	for (i = 0; i < limits; i++) {
		snprintf(run->limits[i].name, MAG_NAME_MAX, "limit%d", i);
		run->limits[i].requests_per_s = 1000;
	}
	for (i = 0; i < RECORDS_MAX; i++)
		snprintf(run->endpoints[i].name, MAG_NAME_MAX, "e%d", i);
	run->set.limits = run->limits;
	run->set.limit_count = (size_t)limits;
	run->set.endpoints = run->endpoints;
	run->set.endpoint_count = RECORDS_MAX;
	run->net.set = &run->set;
	run->net.news = on_update;
	run->net.ctx = run;
	net_init(&run->net, dcs, count);
}

/* Prints how long after the mark the last of the nodes was notified. */
static void show_notified(struct run *run, const char *who, const char *what)
{
	int list[NET_MAX];
	int count = parse_nodes(run, who, list);
	int known = 0;
	int64_t last = run->mark_us;
	int i;

	for (i = 0; i < count; i++) {
		struct node_state *state = &run->states[list[i]];
		int64_t at = state->notified_at_us;

		if (what[0] == 'q')
			at = state->quarantined_at_us;
		known += at > run->mark_us;
		if (at > last)
			last = at;
	}
	fprintf(run->out,
		"%s: %d of %d were notified, the last after %lld ms\n", who,
		known, count, (long long)(last - run->mark_us) / MAG_US_PER_MS);
}

static void show_arrivals(struct run *run)
{
	int64_t last = run->mark_us;
	int i;

	for (i = 0; i < run->net.count; i++) {
		if (run->states[i].last_arrival_us > last)
			last = run->states[i].last_arrival_us;
	}
	fprintf(run->out, "last arrival at e0 %lld ms after the mark\n",
		(long long)(last - run->mark_us) / MAG_US_PER_MS);
}

static void show_groups(struct run *run, const char *who)
{
	int list[NET_MAX];
	int count = parse_nodes(run, who, list);
	int bridges = 0;
	int i;

	fprintf(run->out, "%s groups:", who);
	for (i = 0; i < count; i++) {
		struct fleet *fleet = run->net.nodes[list[i]].fleet;

		fprintf(run->out, " %u/%u", fleet_group_size(fleet),
			fleet_listed_count(fleet));
		bridges += fleet_is_bridge(fleet);
	}
	fprintf(run->out, " bridges %d\n", bridges);
}

/* Prints how many nodes have e0 as leaving, and their quarantine counts. */
static void show_records(struct run *run, const char *who)
{
	int list[NET_MAX];
	int count = parse_nodes(run, who, list);
	int fingerprints = INT32_MAX;
	int leaving = 0;
	int i;

	for (i = 0; i < count; i++) {
		struct node_state *state = &run->states[list[i]];

		leaving += state->leaving[0];
		if (state->quarantine_count < fingerprints)
			fingerprints = state->quarantine_count;
	}
	fprintf(run->out, "%s: %d of %d avoid e0, each has %d fingerprints\n",
		who, leaving, count, fingerprints);
}

static void show_revisions(struct run *run, const char *who)
{
	int list[NET_MAX];
	int count = parse_nodes(run, who, list);
	uint64_t low = UINT64_MAX;
	uint64_t high = 0;
	bool reverted = false;
	int i;

	for (i = 0; i < count; i++) {
		struct node_state *state = &run->states[list[i]];

		low = state->revision < low ? state->revision : low;
		high = state->revision > high ? state->revision : high;
		reverted |= state->reverted;
	}
	fprintf(run->out, "%s revisions %llu to %llu, %s\n", who,
		(unsigned long long)low, (unsigned long long)high,
		reverted ? "reverted" : "none reverted");
}

/* Sends node 0 a forged heartbeat and prints whether it is accepted. */
static void forge(struct run *run, const char *how)
{
	struct peer_msg msg = { .version = PEER_VERSION,
				.sender = peer_hash("i1"),
				.incarnation = 1,
				.seq = 1,
				.next_ms = 500 };
	int err;

	msg.cluster = (uint32_t)peer_hash("test");
	msg.incarnation = run->net.nodes[1].incarnation * 1000 + 1;
	msg.seq = 1000000;
	if (strcmp(how, "cluster") == 0)
		msg.cluster++;
	else if (strcmp(how, "version") == 0)
		msg.version++;
	else if (strcmp(how, "stranger") == 0)
		msg.sender++;
	else if (strcmp(how, "incarnation") == 0)
		msg.incarnation += 77;
	else if (strcmp(how, "ahead") == 0)
		msg.seq = 1000;
	else if (strcmp(how, "late") == 0)
		msg.seq = 999999;
	else if (strcmp(how, "period") == 0)
		msg.next_ms = 1u << 30;
	else if (strcmp(how, "demands") == 0)
		msg.demand_count = PEER_DEMANDS_MAX + 1;
	err = fleet_receive(run->net.nodes[0].fleet, &msg, run->net.now);
	fprintf(run->out, "forged %s: %s\n", how, err ? "dropped" : "accepted");
}

/* Inverts one to eight bits of a datagram. */
static void invert_bits(struct run *run, char *buf, int len)
{
	int bits = 1 + (int)(net_random(&run->net) % 8);

	while (bits-- > 0)
		buf[net_random(&run->net) % (uint32_t)len] ^=
			(char)(1 << net_random(&run->net) % 8);
}

/*
 * Delivers to node 0 altered copies of the messages that are on their way to
 * it, at least count of them.  Prints how many were taken for heartbeats of
 * other contents than those that were sent.
 */
static void alter(struct run *run, int count)
{
	char sent[PEER_WIRE_MAX];
	char buf[PEER_WIRE_MAX];
	struct peer_msg msg;
	int altered = 0;
	int taken = 0;
	size_t i;
	int len;

	while (altered < count) {
		step(run);
		for (i = 0; i < run->net.queue_len; i++) {
			if (run->net.queue[i].to != 0)
				continue;
			altered++;
			len = peer_wire_encode(&run->net.queue[i].msg, 1, sent,
					       sizeof(sent));
			memcpy(buf, sent, (size_t)len);
			invert_bits(run, buf, len);
			if (peer_wire_decode(buf, (size_t)len, &msg))
				continue;
			fleet_receive(run->net.nodes[0].fleet, &msg,
				      run->net.now);
			taken += peer_wire_encode(&msg, 1, buf, sizeof(buf)) !=
					 len ||
				 memcmp(buf, sent, (size_t)len) != 0;
		}
	}
	fprintf(run->out, "altered: %d of %d taken\n", taken, altered);
}

static void apply_to_nodes(struct run *run, const char *verb, const char *who,
			   double value, int index)
{
	int list[NET_MAX];
	int count = parse_nodes(run, who, list);
	uint8_t fingerprint[MAG_DIGEST_BYTES] = { 0 };
	int i;

	fingerprint[0] = (uint8_t)index;
	for (i = 0; i < count; i++) {
		struct net_node *node = &run->net.nodes[list[i]];
		struct node_state *state = &run->states[list[i]];

		if (strcmp(verb, "kill") == 0) {
			node->alive = false;
		} else if (strcmp(verb, "pause") == 0) {
			node->paused = true;
		} else if (strcmp(verb, "wake") == 0) {
			node->paused = false;
		} else if (strcmp(verb, "start") == 0) {
			memset(state, 0, sizeof(*state));
			net_start(&run->net, list[i]);
		} else if (strcmp(verb, "stop") == 0) {
			fleet_note_stopping(node->fleet, run->net.now);
		} else if (strcmp(verb, "platform-cut") == 0) {
			run->net.platform_cut[list[i]] = value > 0;
			run->net.unlisted[list[i]] = value > 0;
		} else if (strcmp(verb, "demand") == 0) {
			state->demand[index] = value;
			fleet_note_demand(node->fleet, index, value);
		} else if (strcmp(verb, "leaving") == 0) {
			fleet_note_leaving(node->fleet,
					   run->endpoints[index].name,
					   value > 0, run->net.now);
		} else if (strcmp(verb, "quarantine") == 0) {
			state->quarantine_count++;
			state->quarantined_at_us = run->net.now;
			fleet_note_quarantine(
				node->fleet, fingerprint, 2,
				run->net.now + (int64_t)(value * MAG_US_PER_S),
				run->net.now);
		} else if (strcmp(verb, "revision") == 0) {
			state->revision = (uint64_t)value;
			state->notified_at_us = run->net.now;
			fleet_note_revision(node->fleet, state->revision,
					    run->net.now);
		} else {
			fprintf(run->out, "unknown verb %s\n", verb);
			return;
		}
	}
}

static void cut(struct run *run, const char *from, const char *to, bool on,
		bool both)
{
	int a[NET_MAX];
	int b[NET_MAX];
	int a_count = parse_nodes(run, from, a);
	int b_count = parse_nodes(run, to, b);
	int i;
	int j;

	for (i = 0; i < a_count; i++) {
		for (j = 0; j < b_count; j++) {
			net_cut(&run->net, a[i], b[j], on);
			if (both)
				net_cut(&run->net, b[j], a[i], on);
		}
	}
}

static void do_run(struct run *run, const char *a, const char *b)
{
	long ms;

	(void)b;
	for (ms = 0; ms < atol(a); ms += 10)
		step(run);
}

/* Runs, and prints the mean and the highest call rate at the platform. */
static void do_calls(struct run *run, const char *a, const char *b)
{
	long seconds = atol(a) / 1000;
	uint64_t first = run->net.calls;
	uint64_t most = 0;
	long s;

	for (s = 0; s < seconds; s++) {
		uint64_t before = run->net.calls;

		do_run(run, "1000", b);
		if (run->net.calls - before > most)
			most = run->net.calls - before;
	}
	fprintf(run->out, "calls: mean %.1f/s, most in a second %llu\n",
		(double)(run->net.calls - first) / (double)seconds,
		(unsigned long long)most);
}

/* Prints the sum of the instances' parts of a fleet-wide call rate. */
static void do_parts(struct run *run, const char *a, const char *b)
{
	uint32_t sum = 0;
	int i;

	(void)b;
	for (i = 0; i < run->net.count; i++) {
		if (run->net.nodes[i].alive)
			sum += fleet_call_part(
				(uint32_t)atol(a),
				fleet_listed_count(run->net.nodes[i].fleet));
	}
	fprintf(run->out, "parts of %s calls/s: sum %u\n", a, sum);
}

static void do_measure(struct run *run, const char *a, const char *b)
{
	measure(run, atol(a), b);
}

static void do_storm(struct run *run, const char *a, const char *b)
{
	storm(run, atol(a), atol(b));
}

static void do_mark(struct run *run, const char *a, const char *b)
{
	(void)a;
	(void)b;
	run->mark_us = run->net.now;
}

static void do_loss(struct run *run, const char *a, const char *b)
{
	(void)b;
	run->net.loss_percent = atoi(a);
}

static void do_platform(struct run *run, const char *a, const char *b)
{
	run->net.platform_down = strcmp(a, "down") == 0;
	run->net.platform_delay_us = atol(b) * MAG_US_PER_MS;
}

/* Makes the list that the first bridge reads show e0 as leaving. */
static void do_list_leaving(struct run *run, const char *a, const char *b)
{
	int i = 0;

	(void)a;
	(void)b;
	while (!fleet_is_bridge(run->net.nodes[i].fleet))
		i++;
	run->net.leaving = "e0";
	run->net.leaving_seen_by = i;
}

static void do_cut(struct run *run, const char *a, const char *b)
{
	cut(run, a, b, true, true);
}

static void do_cut_one_way(struct run *run, const char *a, const char *b)
{
	cut(run, a, b, true, false);
}

static void do_join(struct run *run, const char *a, const char *b)
{
	cut(run, a, b, false, true);
}

static void do_forge(struct run *run, const char *a, const char *b)
{
	(void)b;
	forge(run, a);
}

static void do_alter(struct run *run, const char *a, const char *b)
{
	(void)b;
	alter(run, atoi(a));
}

static void do_arrivals(struct run *run, const char *a, const char *b)
{
	(void)a;
	(void)b;
	show_arrivals(run);
}

static void do_groups(struct run *run, const char *a, const char *b)
{
	(void)b;
	show_groups(run, a);
}

static void do_kept(struct run *run, const char *a, const char *b)
{
	(void)b;
	show_records(run, a);
}

static void do_revisions(struct run *run, const char *a, const char *b)
{
	(void)b;
	show_revisions(run, a);
}

static const struct {
	const char *verb;
	void (*run)(struct run *run, const char *a, const char *b);
} commands[] = {
	{ "run", do_run },
	{ "calls", do_calls },
	{ "parts", do_parts },
	{ "measure", do_measure },
	{ "storm", do_storm },
	{ "mark", do_mark },
	{ "loss", do_loss },
	{ "platform", do_platform },
	{ "list-leaving", do_list_leaving },
	{ "cut", do_cut },
	{ "cut1", do_cut_one_way },
	{ "join", do_join },
	{ "forge", do_forge },
	{ "alter", do_alter },
	{ "known", show_notified },
	{ "arrivals", do_arrivals },
	{ "groups", do_groups },
	{ "kept", do_kept },
	{ "revisions", do_revisions },
};

static void command(struct run *run, const char *line)
{
	char verb[32] = "";
	char a[64] = "";
	char b[64] = "";
	double value = 0;
	int index = 0;
	size_t i;

	if (sscanf(line, "%31s %63s %63s", verb, a, b) < 1)
		return;
	if (strcmp(verb, "fleet") == 0) {
		start(run, atoi(a), atoi(b), 1);
		return;
	}
	for (i = 0; i < MAG_ARRAY_SIZE(commands); i++) {
		if (strcmp(verb, commands[i].verb) == 0) {
			commands[i].run(run, a, b);
			return;
		}
	}
	sscanf(line, "%*s %*s %lf %d", &value, &index);
	apply_to_nodes(run, verb, a, value, index);
}

static void driver(FILE *in, FILE *out)
{
	struct run *run = calloc(1, sizeof(*run));
	char line[256];

	log_set_sink(NULL, NULL);
	run->out = out;
	while (fgets(line, sizeof(line), in)) {
		if (line[0] != '#')
			command(run, line);
	}
	net_free(&run->net);
	free(run);
}

int main(void)
{
	if (sodium_init() < 0)
		return 1;
	return script_main("regress/fleet", driver);
}
