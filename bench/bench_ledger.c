#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "ldg.h"
#include "log.h"

/*
 * Measures bookings through the ledger in virtual time, against a stand-in for
 * the platform's service with fixed latencies and rate limits.  The same
 * arrivals run with batched records and with one write per record; the last
 * rows add an outage of the service.
 */

#define STEP_US	  250
#define RUN_US	  (10 * MAG_US_PER_S)
#define READ_US	  (2 * MAG_US_PER_MS)
#define WRITE_US  (3 * MAG_US_PER_MS)
#define REFUSE_US MAG_US_PER_MS
#define SERVICE_US                                                             \
	(20 * MAG_US_PER_MS) /* duration of a booking at its endpoint */
#define DEADLINE_US    (2 * MAG_US_PER_S)
#define READS_PER_S    2000
#define WRITES_PER_S   300
#define BURST_US       (50 * MAG_US_PER_MS)
#define OUTAGE_FROM_US (3 * MAG_US_PER_S)
#define OUTAGE_TO_US   (6 * MAG_US_PER_S)
#define CALLS_MAX      65536
#define VALUES_MAX     65536
#define BOOKINGS_MAX   100000
#define ROUTERS_MAX    16
#define SLOT_US	       (100 * MAG_US_PER_MS)
#define SLOTS	       (RUN_US / SLOT_US)
#define OUTAGE_SLOT    (OUTAGE_TO_US / SLOT_US)

struct sim_value {
	char key[KV_KEY_MAX];
	char *value;
	size_t len;
	uint64_t version;
};

struct sim_call {
	bool used;
	int router;
	int64_t apply_us;
	int64_t reply_us;
	struct kv_call call;
	struct kv_reply reply;
};

struct sim_booking {
	int64_t arrived_us;
	int64_t reserved_us;
	int router;
	bool settled;
	bool refused;
};

struct sim_case {
	unsigned int routers;
	unsigned int shards;
	unsigned int rate;
	bool single;
	bool outage;
	uint64_t seed;
};

struct sim_figures {
	double per_s;
	double refused;
	double writes;
	double reads;
	double limited;
	double median_ms;
	double p99_ms;
	double recovery_ms; /* < 0: not measured */
};

static struct ldg *routers[ROUTERS_MAX];
static struct sim_value *values;
static struct sim_call *calls;
static struct sim_booking *bookings;
static size_t call_top;
static size_t booking_count;
static int64_t bucket_us[2]; /* rate limit: earliest time of the next write [0],
				read [1] */
static uint64_t call_count[2];
static uint64_t limited;
static int64_t sim_now;
static uint64_t rng;

static double sim_uniform(void);
static struct sim_value *sim_value(const char *key);
static void sim_issue(const struct sim_case *c, int router,
		      struct kv_call *call);
static void sim_apply(struct sim_call *call);
static void sim_collect_results(const struct sim_case *c, int router);
static void sim_run_calls(void);
static void sim_settle_bookings(void);
static void sim_add_booking(const struct sim_case *c);
static void sim_start(const struct sim_case *c);
static void sim_stop(void);
static void sim_run(const struct sim_case *c, struct sim_figures *f);
static void sim_measure(const struct sim_case *c, struct sim_figures *f);
static double sim_recovery(void);
static int sim_compare(const void *a, const void *b);
static void sim_print(const struct sim_case *c, const struct sim_figures *f,
		      FILE *json, bool first);

int main(int argc, char **argv)
{
	static const unsigned int rates[] = { 50, 150, 300, 600, 1200 };
	static const unsigned int sizes[] = { 4, 12 };
	struct arg_str *path =
		arg_str0(NULL, "json", "FILE", "write the results as JSON");
	struct arg_int *seed =
		arg_int0(NULL, "seed", "N", "seed of the arrivals");
	struct arg_int *shards =
		arg_int0(NULL, "shards", "N", "shards with batched records");
	struct arg_end *end = arg_end(4);
	void *table[] = { path, seed, shards, end };
	struct sim_case c = { .seed = 1, .shards = 2 };
	struct sim_figures f;
	FILE *json = NULL;
	bool first = true;
	size_t i;
	int mode;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, argv[0]);
		return 1;
	}
	if (seed->count)
		c.seed = (uint64_t)seed->ival[0];
	if (shards->count)
		c.shards = (unsigned int)shards->ival[0];
	if (path->count)
		json = fopen(path->sval[0], "w");
	log_set_sink(NULL, NULL);
	values = calloc(VALUES_MAX, sizeof(*values));
	calls = calloc(CALLS_MAX, sizeof(*calls));
	bookings = calloc(BOOKINGS_MAX, sizeof(*bookings));
	printf("%-8s %7s %7s %6s %9s %8s %7s %7s %7s %9s %8s %9s\n", "records",
	       "routers", "shards", "rate", "booked/s", "refused", "writes",
	       "reads", "limited", "median ms", "p99 ms", "recov ms");
	for (mode = 0; mode < 4; mode++) {
		c.single = mode & 1;
		c.outage = mode > 1;
		for (i = 0; i < 2 * MAG_ARRAY_SIZE(rates); i++) {
			c.routers = sizes[i / MAG_ARRAY_SIZE(rates)];
			c.rate = rates[i % MAG_ARRAY_SIZE(rates)];
			if (c.outage && c.rate != 150)
				continue;
			sim_run(&c, &f);
			sim_print(&c, &f, json, first);
			first = false;
		}
	}
	if (json) {
		fputs("]\n", json);
		fclose(json);
	}
	arg_freetable(table, MAG_ARRAY_SIZE(table));
	free(values);
	free(calls);
	free(bookings);
	return 0;
}

static double sim_uniform(void)
{
	rng = rng * UINT64_C(6364136223846793005) + 1442695040888963407;
	return ((double)(rng >> 33) + 1) / (double)(UINT64_C(1) << 31);
}

static struct sim_value *sim_value(const char *key)
{
	uint64_t hash = UINT64_C(14695981039346656037);
	const char *p;

	for (p = key; *p; p++)
		hash = (hash ^ (uint8_t)*p) * UINT64_C(1099511628211);
	hash %= VALUES_MAX;
	while (values[hash].key[0] && strcmp(values[hash].key, key) != 0)
		hash = (hash + 1) % VALUES_MAX;
	snprintf(values[hash].key, KV_KEY_MAX, "%s", key);
	return &values[hash];
}

/* Accepts a call within the service's rate and burst, else refuses it. */
static void sim_issue(const struct sim_case *c, int router,
		      struct kv_call *call)
{
	bool read = call->op == KV_GET;
	int64_t cost = MAG_US_PER_S / (read ? READS_PER_S : WRITES_PER_S);
	int64_t latency = read ? READ_US : WRITE_US;
	struct sim_call *slot;
	size_t i;

	for (i = 0; i < CALLS_MAX && calls[i].used; i++)
		;
	if (i == CALLS_MAX)
		abort();
	slot = &calls[i];
	if (i >= call_top)
		call_top = i + 1;
	memset(slot, 0, sizeof(*slot));
	slot->used = true;
	slot->router = router;
	slot->call = *call;
	slot->reply.id = call->id;
	slot->apply_us = sim_now + latency / 2;
	slot->reply_us = sim_now + latency;
	call_count[read]++;
	if (c->outage && sim_now >= OUTAGE_FROM_US && sim_now < OUTAGE_TO_US) {
		slot->reply.status =
			KV_NO_ANSWER; /* no reply before the deadline */
		slot->apply_us = MAG_NEVER;
		slot->reply_us = call->deadline_us;
		return;
	}
	if (bucket_us[read] < sim_now)
		bucket_us[read] = sim_now;
	if (bucket_us[read] > sim_now + BURST_US) {
		slot->reply.status = KV_RATE_LIMITED;
		slot->apply_us = MAG_NEVER;
		slot->reply_us = sim_now + REFUSE_US;
		limited++;
		return;
	}
	bucket_us[read] += cost;
}

/* Executes a call on the stored values, as the service would. */
static void sim_apply(struct sim_call *call)
{
	struct sim_value *v = sim_value(call->call.key);

	call->apply_us = MAG_NEVER;
	call->reply.status = KV_OK;
	if (call->call.op == KV_GET && !v->version) {
		call->reply.status = KV_ABSENT;
	} else if (call->call.op == KV_GET) {
		call->reply.value = malloc(v->len);
		memcpy(call->reply.value, v->value, v->len);
		call->reply.len = v->len;
	} else if (call->call.version != v->version) {
		call->reply.status = KV_CONFLICT;
	} else {
		free(v->value);
		v->value = call->call.value;
		v->len = call->call.len;
		call->call.value = NULL;
		v->version++;
	}
	call->reply.version = v->version;
}

/* Processes the results of a router's ledger and issues its next calls. */
static void sim_collect_results(const struct sim_case *c, int router)
{
	struct ldg_result result;
	struct kv_call call;

	while (ldg_next_result(routers[router], &result)) {
		struct sim_booking *b = &bookings[result.req];

		if (result.verdict == LDG_DISPATCH)
			b->reserved_us = sim_now;
		else
			b->refused = true;
		free(result.answer);
	}
	while (ldg_next_call(routers[router], &call))
		sim_issue(c, router, &call);
}

static void sim_run_calls(void)
{
	size_t i;

	for (i = 0; i < call_top; i++) {
		struct sim_call *call = &calls[i];

		if (!call->used)
			continue;
		if (call->apply_us <= sim_now)
			sim_apply(call);
		if (call->reply_us > sim_now)
			continue;
		ldg_reply(routers[call->router], &call->reply, sim_now);
		free(call->call.value);
		free(call->reply.value);
		memset(call, 0, sizeof(*call));
	}
}

/* Settles the bookings that ran for SERVICE_US; checks the last 8192. */
static void sim_settle_bookings(void)
{
	static const char answer[] = "{\"booking\":\"chimes-7731\"}";
	const struct ldg_outcome outcome = { 201, answer, sizeof(answer) - 1 };
	size_t from = booking_count > 8192 ? booking_count - 8192 : 0;
	size_t i;

	for (i = from; i < booking_count; i++) {
		struct sim_booking *b = &bookings[i];

		if (!b->reserved_us || b->settled ||
		    b->reserved_us + SERVICE_US > sim_now)
			continue;
		b->settled = true;
		ldg_settle(routers[b->router], i, &outcome, sim_now);
	}
}

static void sim_add_booking(const struct sim_case *c)
{
	struct sim_booking *b = &bookings[booking_count];
	struct ldg_claim claim = { .req = booking_count };
	char key[32];

	memset(b, 0, sizeof(*b));
	b->arrived_us = sim_now;
	b->router = (int)(sim_uniform() * c->routers) % (int)c->routers;
	snprintf(key, sizeof(key), "order-%zu", booking_count);
	claim.key = key;
	claim.window_s = 86400;
	claim.deadline_us = sim_now + DEADLINE_US;
	claim.wall_ms = INT64_C(1800000000000) + sim_now / MAG_US_PER_MS;
	ldg_intent(claim.intent, "account", "route", key);
	booking_count++;
	if (ldg_reserve(routers[b->router], &claim, sim_now) < 0)
		b->refused = true;
}

static void sim_start(const struct sim_case *c)
{
	struct ldg_settings set = { 0 };
	unsigned int i;

	memset(bucket_us, 0, sizeof(bucket_us));
	memset(call_count, 0, sizeof(call_count));
	limited = 0;
	booking_count = 0;
	call_top = 0;
	rng = c->seed;
	set.shards = c->shards;
	set.segment_bytes = 32768;
	set.call_timeout_us = 100 * MAG_US_PER_MS;
	set.batch_max = 64;
	set.one_record_each = c->single;
	for (i = 0; i < c->routers; i++) {
		snprintf(set.instance, sizeof(set.instance), "router-%u", i);
		set.incarnation = c->seed * 1000 + i;
		routers[i] = ldg_new(&set);
	}
}

static void sim_stop(void)
{
	size_t i;

	for (i = 0; i < ROUTERS_MAX; i++) {
		ldg_free(routers[i]);
		routers[i] = NULL;
	}
	for (i = 0; i < VALUES_MAX; i++)
		free(values[i].value);
	memset(values, 0, VALUES_MAX * sizeof(*values));
	for (i = 0; i < CALLS_MAX; i++) {
		free(calls[i].call.value);
		free(calls[i].reply.value);
	}
	memset(calls, 0, CALLS_MAX * sizeof(*calls));
}

static void sim_run(const struct sim_case *c, struct sim_figures *f)
{
	double next = 0;
	unsigned int i;

	sim_start(c);
	for (sim_now = 0; sim_now < RUN_US + DEADLINE_US; sim_now += STEP_US) {
		while (next <= (double)sim_now && sim_now < RUN_US) {
			sim_add_booking(c);
			next -= log(sim_uniform()) * 1e6 / c->rate;
		}
		sim_run_calls();
		sim_settle_bookings();
		for (i = 0; i < c->routers; i++) {
			if (ldg_next_deadline(routers[i]) <= sim_now)
				ldg_tick(routers[i], sim_now);
			sim_collect_results(c, (int)i);
		}
	}
	sim_measure(c, f);
	sim_stop();
}

static void sim_measure(const struct sim_case *c, struct sim_figures *f)
{
	int64_t *waits = calloc(booking_count, sizeof(*waits));
	size_t refused = 0;
	size_t booked = 0;
	size_t at;
	size_t i;

	for (i = 0; i < booking_count; i++) {
		if (bookings[i].reserved_us)
			waits[booked++] = bookings[i].reserved_us -
					  bookings[i].arrived_us;
		else
			refused++;
	}
	if (booked == 0)
		abort(); /* every case books at least one */
	qsort(waits, booked, sizeof(*waits), sim_compare);
	f->per_s = (double)booked * 1e6 / (double)RUN_US;
	f->refused = 100.0 * (double)refused / (double)booking_count;
	f->writes = (double)call_count[0] / (double)booked;
	f->reads = (double)call_count[1] / (double)booked;
	f->limited = (double)limited / (double)booked;
	at = booked / 2;
	f->median_ms = (double)waits[at] / 1e3;
	at = booked * 99 / 100;
	f->p99_ms = (double)waits[at] / 1e3;
	f->recovery_ms = c->outage ? sim_recovery() : -1;
	free(waits);
}

/*
 * Returns the time from the end of the outage to the first 100 ms slot from
 * which on at least 90% of the bookings of every slot up to the end of the run
 * are reserved, or -1.
 */
static double sim_recovery(void)
{
	unsigned int arrived[SLOTS] = { 0 };
	unsigned int reserved[SLOTS] = { 0 };
	int64_t slot;
	int64_t back = -1;
	size_t i;

	for (i = 0; i < booking_count; i++) {
		slot = bookings[i].arrived_us / SLOT_US;
		arrived[slot]++;
		reserved[slot] += bookings[i].reserved_us > 0;
	}
	for (slot = OUTAGE_TO_US / SLOT_US; slot < SLOTS; slot++) {
		if (reserved[slot] * 10 < arrived[slot] * 9)
			back = -1;
		else if (back < 0)
			back = slot;
	}
	if (back < 0)
		return -1;
	slot = (back - OUTAGE_SLOT) * SLOT_US;
	return (double)slot / 1e3;
}

static int sim_compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void sim_print(const struct sim_case *c, const struct sim_figures *f,
		      FILE *json, bool first)
{
	const char *name = c->single ? "one-each" : "batches";
	char back[16] = "-";

	if (c->outage)
		snprintf(back, sizeof(back), "%.0f", f->recovery_ms);
	printf("%-8s %7u %7u %6u %9.1f %7.1f%% %7.2f %7.2f %7.2f %9.1f %8.1f "
	       "%9s\n",
	       name, c->routers, c->single ? 0 : c->shards, c->rate, f->per_s,
	       f->refused, f->writes, f->reads, f->limited, f->median_ms,
	       f->p99_ms, back);
	fflush(stdout);
	if (!json)
		return;
	fprintf(json,
		"%s{\"records\":\"%s\",\"routers\":%u,\"shards\":%u,"
		"\"seed\":%" PRIu64 ",\"outage\":%s,\"rate\":%u,"
		"\"booked_per_s\":%.1f,\"refused_percent\":%.2f,"
		"\"writes_per_booking\":%.3f,\"reads_per_booking\":%.3f,"
		"\"limited_per_booking\":%.3f,\"median_ms\":%.2f,"
		"\"p99_ms\":%.2f,\"recovery_ms\":%.0f}\n",
		first ? "[" : ",", name, c->routers, c->shards, c->seed,
		c->outage ? "true" : "false", c->rate, f->per_s, f->refused,
		f->writes, f->reads, f->limited, f->median_ms, f->p99_ms,
		f->recovery_ms);
}
