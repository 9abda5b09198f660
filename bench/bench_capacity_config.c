#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cfg.h"
#include "core.h"
#include "fleet.h"
#include "log.h"
#include "pub.h"
#include "rev.h"

/*
 * Measures the cost of a new configuration on an instance: parsing a whole
 * set, building the next set after a change of one endpoint (from the
 * platform's full text and from a peer's edits), and applying it in the core.
 * Argument: number of endpoints.  The set also has 19 model services, 400
 * accounts and 400 limits.
 */

#define SERVICES 19
#define ACCOUNTS 400
#define LAYERS	 32
#define STAGES	 4
#define RUNS	 5

static double cpu_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static double heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd);
}

/* Returns the text of a set in the proportions of the target deployment. */
static char *config_text(int endpoints, int revision, size_t *len)
{
	char *text = NULL;
	FILE *out = open_memstream(&text, len);
	int i;

	fprintf(out, "{\"revision\":%d,\"objects\":[", revision);
	for (i = 0; i < SERVICES; i++)
		fprintf(out,
			"%s\n{\"kind\":\"service\",\"name\":\"m%d\","
			"\"type\":\"model\",\"layers\":%d},\n"
			"{\"kind\":\"route\",\"name\":\"r%d\","
			"\"path\":\"/m%d\",\"service\":\"m%d\","
			"\"idempotent\":true,\"key\":\"optional\"}",
			i ? "," : "", i, LAYERS, i, i, i);
	for (i = 0; i < ACCOUNTS; i++)
		fprintf(out,
			",\n{\"kind\":\"account\",\"name\":\"a%d\","
			"\"key_hash\":\"%064d\",\"weight\":1},\n"
			"{\"kind\":\"limit\",\"name\":\"l%d\","
			"\"account\":\"a%d\",\"requests_per_s\":1000}",
			i, i, i, i);
	for (i = 0; i < endpoints; i++) {
		int stage = i / SERVICES % STAGES;

		fprintf(out,
			",\n{\"kind\":\"endpoint\",\"name\":\"e%d\","
			"\"service\":\"m%d\",\"data_centre\":\"d%d\","
			"\"address\":\"10.%d.%d.%d:8000\","
			"\"first_layer\":%d,\"last_layer\":%d,"
			"\"tokens_per_s\":1500,\"concurrency\":%d}",
			i, i % SERVICES, i % 30, i >> 16, i >> 8 & 255, i & 255,
			stage * LAYERS / STAGES,
			(stage + 1) * LAYERS / STAGES - 1,
			i == endpoints / 2 ? revision : 64);
	}
	fprintf(out, "\n]}\n");
	fclose(out);
	return text;
}

/* Applies a set to the core and the fleet; returns the processor time in ms. */
static double apply_to_core(struct core *core, struct fleet *fleet,
			    const struct cfg_set *set, int64_t now)
{
	struct core_event event = { .type = CORE_EV_CONFIG };
	struct core_action action;
	double start;

	if (cfg_copy(set, &event.config))
		abort();
	start = cpu_ms();
	core_post(core, &event);
	core_tick(core, now);
	fleet_config(fleet, core_config(core), now);
	start = cpu_ms() - start;
	while (core_next_action(core, &action))
		;
	return start;
}

/*
 * Measures RUNS changes of one endpoint each, from the full text on the local
 * instance and from edits on a peer.  Run 1 loads the first set and is not
 * counted.
 */
static void measure_changes(int endpoints)
{
	struct core_settings settings = { .seed = 1 };
	struct fleet_settings fleet_settings = { .incarnation = 1 };
	struct core *core = core_new(&settings);
	struct fleet *fleet = fleet_new(&fleet_settings, 1);
	struct rev *local = rev_new();
	struct rev *peer = rev_new();
	struct cfg_set *sets[2] = { NULL, NULL };
	double took[4] = { 0 };
	size_t bytes = 0;
	int i;

	log_open("bench", LOG_PRIO_ERR);
	for (i = 1; i <= RUNS + 1; i++) {
		struct cfg_set *old = sets[0];
		struct cfg_set *copy = NULL;
		size_t len = 0;
		char *text = config_text(endpoints, i, &len);
		char *edits;
		double start = cpu_ms();
		double core_ms;

		if (rev_offer(local, old, text, (uint64_t)i, &sets[0]))
			abort();
		took[0] += i > 1 ? cpu_ms() - start : 0;
		start = cpu_ms();
		if (cfg_copy(sets[0], &copy))
			abort();
		took[1] += i > 1 ? cpu_ms() - start : 0;
		cfg_free(copy);
		cfg_free(old);
		old = sets[1];
		edits = rev_edits(local, (uint64_t)i - 1);
		bytes = edits ? strlen(edits) : 0;
		start = cpu_ms();
		if (edits ? rev_offer_edits(peer, old, (uint64_t)i - 1, edits,
					    &sets[1])
			  : rev_offer(peer, old, text, (uint64_t)i, &sets[1]))
			abort();
		took[2] += i > 1 ? cpu_ms() - start : 0;
		cfg_free(old);
		core_ms = apply_to_core(core, fleet, sets[0], i * MAG_US_PER_S);
		took[3] += i > 1 ? core_ms : 0;
		free(edits);
		free(text);
	}
	printf("change\t%d\t%zu\t%.2f\t%.2f\t%.2f\t%.2f\n", endpoints, bytes,
	       took[0] / RUNS, took[1] / RUNS, took[2] / RUNS, took[3] / RUNS);
	cfg_free(sets[0]);
	cfg_free(sets[1]);
	rev_free(local);
	rev_free(peer);
	core_free(core);
	fleet_free(fleet);
}

int main(int argc, char **argv)
{
	struct cfg_faults *faults = NULL;
	struct cfg_set *set = NULL;
	struct cfg_set *copy = NULL;
	int endpoints = argc > 1 ? atoi(argv[1]) : 100;
	size_t len = 0;
	char *text = config_text(endpoints, 1, &len);
	double before;
	double memory = 0;
	double took = 0;
	double copying = 0;
	int i;

	for (i = 0; i < RUNS; i++) {
		double start = cpu_ms();

		before = heap_bytes();
		if (cfg_parse(text, len, &set, &faults)) {
			fprintf(stderr, "refused: %s\n",
				cfg_fault_text(faults, 0));
			return 1;
		}
		took += (cpu_ms() - start) / RUNS;
		memory = heap_bytes() - before;
		start = cpu_ms();
		if (cfg_copy(set, &copy))
			return 1;
		copying += (cpu_ms() - start) / RUNS;
		cfg_free(copy);
		cfg_free(set);
	}
	printf("config\t%d\t%zu\t%.2f\t%.0f\t%.2f\n", endpoints, len, took,
	       memory, copying);
	free(text);
	measure_changes(endpoints);
	return 0;
}
