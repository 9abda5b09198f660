#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core.h"
#include "log.h"

/*
 * Measures the processor time and memory of one request in an instance, from
 * its arrival to its end, and the cost of a round of load reports.
 * Arguments: endpoints, open requests, whether the route needs a ledger record
 * (0 or 1), bytes of a ledger segment.
 */

#define ACCOUNTS	 400
#define REQUESTS	 20000
#define BOOKINGS	 2000
#define LAYERS		 32
#define STAGES		 4
#define ARRIVAL_GAP_US	 1000
#define REPORT_ROUNDS	 20 /* rounds of load reports */
#define KEYS_MAX	 4096
#define PROGRESS_REPORTS 2 /* per request */

/* An entry of the in-memory stand-in for the platform's service. */
struct kv_cell {
	char key[KV_KEY_MAX];
	char *value;
	size_t len;
	uint64_t version;
};

struct bench {
	struct core *core;
	int64_t now;
	struct kv_cell cells[KEYS_MAX];
	int cell_count;
	uint64_t *open; /* ring buffer of dispatched requests */
	uint32_t *attempt;
	size_t head;
	size_t count;
	size_t cap;
	uint64_t done;
	uint64_t refused;
	uint64_t calls;
	uint64_t writes;
	uint64_t write_bytes;
};

static double cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static double heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd);
}

static struct cfg_set *make_config(int endpoints, bool ledger)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	struct cfg_faults *faults = NULL;
	struct cfg_set *set = NULL;
	int i;

	fprintf(out,
		"{\"objects\": [{\"kind\":\"service\",\"name\":\"m\","
		"\"type\":\"%s\"%s,\"queue_max\":100000},"
		"{\"kind\":\"route\",\"name\":\"r\",\"path\":\"/m\","
		"\"service\":\"m\",\"idempotent\":%s,\"key\":\"%s\"}",
		ledger ? "plain" : "model", ledger ? "" : ",\"layers\":32",
		ledger ? "false" : "true", ledger ? "required" : "optional");
	for (i = 0; i < ACCOUNTS; i++)
		fprintf(out,
			",{\"kind\":\"account\",\"name\":\"a%d\","
			"\"key_hash\":\"%064d\",\"weight\":1}",
			i, i);
	for (i = 0; i < endpoints; i++) {
		int stage = i % STAGES;

		fprintf(out,
			",{\"kind\":\"endpoint\",\"name\":\"e%d\","
			"\"service\":\"m\",\"data_centre\":\"d%d\","
			"\"address\":\"10.0.%d.%d:8000\",\"concurrency\":5000",
			i, i % 3, i >> 8, i & 255);
		if (!ledger)
			fprintf(out,
				",\"first_layer\":%d,\"last_layer\":%d,"
				"\"tokens_per_s\":100000",
				stage * LAYERS / STAGES,
				(stage + 1) * LAYERS / STAGES - 1);
		fprintf(out, "}");
	}
	fprintf(out, "]}");
	fclose(out);
	if (cfg_parse(text, len, &set, &faults)) {
		fprintf(stderr, "%s\n", cfg_fault_text(faults, 0));
		exit(1);
	}
	set->revision = 1;
	free(text);
	return set;
}

static struct kv_cell *find_cell(struct bench *bench, const char *key,
				 bool make)
{
	int i;

	for (i = 0; i < bench->cell_count; i++) {
		if (strcmp(bench->cells[i].key, key) == 0)
			return &bench->cells[i];
	}
	if (!make || bench->cell_count == KEYS_MAX)
		return NULL;
	snprintf(bench->cells[i].key, sizeof(bench->cells[i].key), "%s", key);
	bench->cell_count++;
	return &bench->cells[i];
}

/* Executes a call immediately and posts its reply. */
static void execute_kv_call(struct bench *bench, struct kv_call *call)
{
	struct core_event event = { .type = CORE_EV_KV_REPLY };
	struct kv_cell *kv_cell =
		find_cell(bench, call->key, call->op == KV_CAS);

	bench->calls++;
	event.kv.id = call->id;
	event.kv.status = kv_cell ? KV_OK : KV_ABSENT;
	if (call->op == KV_CAS && kv_cell) {
		if (call->version != kv_cell->version) {
			event.kv.status = KV_CONFLICT;
		} else {
			bench->writes++;
			bench->write_bytes += call->len;
			free(kv_cell->value);
			kv_cell->value = call->value;
			kv_cell->len = call->len;
			kv_cell->version++;
			call->value = NULL;
		}
	}
	if (kv_cell) {
		event.kv.version = kv_cell->version;
		if (call->op == KV_GET) {
			event.kv.value = malloc(kv_cell->len + 1);
			memcpy(event.kv.value, kv_cell->value, kv_cell->len);
			event.kv.len = kv_cell->len;
		}
	}
	free(call->value);
	core_post(bench->core, &event);
}

static void run_actions(struct bench *bench)
{
	struct core_action action;

	while (core_next_action(bench->core, &action)) {
		size_t at = (bench->head + bench->count) % bench->cap;

		switch (action.type) {
		case CORE_ACT_DISPATCH:
			bench->open[at] = action.dispatch.req;
			bench->attempt[at] = action.dispatch.attempt;
			bench->count++;
			break;
		case CORE_ACT_ANSWER:
			bench->done += action.answer.outcome == MAG_RAN;
			bench->refused += action.answer.outcome != MAG_RAN;
			free(action.answer.body);
			break;
		case CORE_ACT_KV:
			execute_kv_call(bench, &action.kv);
			break;
		default:
			break;
		}
	}
}

static void tick(struct bench *bench)
{
	core_tick(bench->core, bench->now);
	run_actions(bench);
	while (core_next_deadline(bench->core) <= bench->now) {
		core_tick(bench->core, bench->now);
		run_actions(bench);
	}
}

static void post_arrival(struct bench *bench, uint64_t id)
{
	struct core_event event = { .type = CORE_EV_ARRIVAL };

	event.arrival.req = id;
	snprintf(event.arrival.account_key_hash, MAG_DIGEST_HEX, "%064d",
		 (int)(id % ACCOUNTS));
	strcpy(event.arrival.path, "/m");
	snprintf(event.arrival.key, LDG_KEY_MAX, "key-%llu",
		 (unsigned long long)id);
	memcpy(event.arrival.fingerprint, &id, sizeof(id));
	event.arrival.prompt_tokens = 100;
	event.arrival.max_tokens = 238;
	event.arrival.timeout_ms = 25000;
	event.arrival.wall_ms = bench->now / 1000;
	core_post(bench->core, &event);
}

/* Posts the progress and the end of the oldest open request. */
static void finish_oldest(struct bench *bench)
{
	struct core_event event = { .type = CORE_EV_PROGRESS };
	uint64_t req = bench->open[bench->head];
	uint32_t attempt = bench->attempt[bench->head];
	int i;

	bench->head = (bench->head + 1) % bench->cap;
	bench->count--;
	event.progress.req = req;
	event.progress.attempt = attempt;
	event.progress.hop_count = STAGES;
	for (i = 0; i < PROGRESS_REPORTS; i++) {
		event.progress.tokens = 100u * (uint32_t)(i + 1);
		core_post(bench->core, &event);
		tick(bench);
	}
	memset(&event, 0, sizeof(event));
	event.type = CORE_EV_ENDED;
	event.ended.req = req;
	event.ended.attempt = attempt;
	event.ended.end = CORE_END_COMPLETE;
	event.ended.status = 200;
	event.ended.tokens = 238;
	event.ended.answer = strdup("booked");
	event.ended.answer_len = strlen("booked");
	core_post(bench->core, &event);
	tick(bench);
}

static struct core *make_core(uint32_t segment_bytes)
{
	struct core_settings settings = {
		.cluster = "c",
		.instance = "i",
		.data_centre = "d0",
		.incarnation = 1,
		.seed = 1,
		.progress_timeout_us = 30 * MAG_US_PER_S,
		.first_token_timeout_us = 30 * MAG_US_PER_S,
		.kv_timeout_us = MAG_US_PER_S,
		.ledger = { .instance = "i",
			    .incarnation = 1,
			    .shards = 16,
			    .segment_bytes = segment_bytes,
			    .call_timeout_us = MAG_US_PER_S,
			    .batch_max = 64 },
	};

	return core_new(&settings);
}

/* Returns the mean time in us of a round in which each endpoint reports. */
static double measure_load_reports(struct bench *bench, int endpoints)
{
	struct core_event event = { .type = CORE_EV_LOAD };
	double start = cpu_us();
	int round;
	int i;

	for (round = 0; round < REPORT_ROUNDS; round++) {
		bench->now += MAG_US_PER_S;
		for (i = 0; i < endpoints; i++) {
			snprintf(event.load.endpoint, MAG_NAME_MAX, "e%d", i);
			event.load.report.tokens_per_s =
				50000u +
				(uint32_t)((i * 37 + round * 1009) % 20000);
			event.load.report.measured_at_us = bench->now;
			core_post(bench->core, &event);
		}
		tick(bench);
	}
	return (cpu_us() - start) / REPORT_ROUNDS;
}

int main(int argc, char **argv)
{
	struct core_event config = { .type = CORE_EV_CONFIG };
	struct bench *bench = calloc(1, sizeof(*bench));
	uint64_t id = 0;
	double before;
	double memory;
	double start;
	double took;
	bool ledger;
	size_t open;
	uint64_t requests;

	if (argc < 5 || sodium_init() < 0 || !bench)
		return 1;
	log_set_sink(NULL, NULL);
	open = (size_t)atol(argv[2]);
	ledger = atoi(argv[3]) > 0;
	requests = ledger ? BOOKINGS : REQUESTS;
	bench->cap = 2 * open + 1000;
	bench->open = calloc(bench->cap, sizeof(*bench->open));
	bench->attempt = calloc(bench->cap, sizeof(*bench->attempt));
	bench->now = 1000 * MAG_US_PER_S;
	before = heap_bytes();
	bench->core = make_core((uint32_t)atol(argv[4]));
	config.config = make_config(atoi(argv[1]), ledger);
	core_post(bench->core, &config);
	tick(bench);
	memory = heap_bytes();
	while (id < open) {
		post_arrival(bench, ++id);
		bench->now += ARRIVAL_GAP_US / 10;
		tick(bench);
	}
	printf("core\t%s\t%zu\t%d\t", argv[1], open, ledger);
	printf("%.0f\t%.0f\t", memory - before,
	       (heap_bytes() - memory) / (double)(open ? open : 1));
	start = cpu_us();
	while (id < open + requests) {
		post_arrival(bench, ++id);
		bench->now += ARRIVAL_GAP_US;
		tick(bench);
		if (bench->count > open)
			finish_oldest(bench);
	}
	took = cpu_us() - start;
	printf("%.2f\t%llu\t%llu\t%.3f\t%.0f", took / (double)requests,
	       (unsigned long long)bench->done,
	       (unsigned long long)bench->refused,
	       (double)bench->calls / (double)requests,
	       bench->writes
		       ? (double)bench->write_bytes / (double)bench->writes
		       : 0.0);
	printf("\t%.0f\n", measure_load_reports(bench, atoi(argv[1])));
	return 0;
}
