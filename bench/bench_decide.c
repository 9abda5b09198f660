#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "log.h"
#include "pick.h"

/*
 * Measures the wall time of a routing decision (choose a chain, start and end
 * an attempt) for increasing numbers of workers, with free endpoints and with
 * every endpoint at its limit, and the time to solve the flow graph after a
 * change.  Prints JSON.
 */

#define DECISIONS      20000
#define IN_FLIGHT      4  /* attempts in flight per worker */
#define IN_FLIGHT_FULL 40 /* the same, above the workers' limits */

static struct cfg_service service = {
	.name = "model",
	.kind = CFG_MODEL,
	.layers = 48,
	.activation_bytes = 16384,
};

/* Returns the monotonic clock in microseconds. */
static double now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/* Discards formatted log lines, so that only formatting is measured. */
static void drop_line(void *ctx, enum log_prio prio, const char *line)
{
	(void)ctx;
	(void)prio;
	(void)line;
}

/* Creates workers of five kinds in three data centres. */
static void make_workers(struct cfg_endpoint *endpoints, int count)
{
	static const uint32_t first[] = { 0, 24, 0, 24, 12 };
	static const uint32_t last[] = { 23, 47, 47, 47, 35 };
	static const uint32_t rate[] = { 900, 500, 120, 60, 130 };
	int i;

	for (i = 0; i < count; i++) {
		struct cfg_endpoint *e = &endpoints[i];

		memset(e, 0, sizeof(*e));
		snprintf(e->name, sizeof(e->name), "w%06d", i);
		snprintf(e->data_centre, sizeof(e->data_centre), "dc%d", i % 3);
		e->first_layer = first[i % 5];
		e->last_layer = last[i % 5];
		e->tokens_per_s = rate[i % 5] + (uint32_t)(i % 37);
		e->link_bytes_per_s = 1000000000;
		e->concurrency = 32;
	}
}

/* Returns the mean time in us; *failed counts decisions without a chain. */
static double decide(struct pick *pick, int in_flight_max, int *failed)
{
	struct pick_request want = { .service = 0, .group = "" };
	struct pick_result end = { .kind = PICK_ENDED_COMPLETE,
				   .failed_stage = -1 };
	struct pick_chain *in_flight =
		calloc((size_t)in_flight_max, sizeof(*in_flight));
	double from = now_us();
	double took;
	int i;

	*failed = 0;
	for (i = 0; i < DECISIONS; i++) {
		struct pick_chain *chain = &in_flight[i % in_flight_max];

		if (chain->count > 0)
			pick_ended(pick, chain, &end, 1);
		if (pick_choose(pick, &want, 1, chain) < 0)
			++*failed;
		else
			pick_started(pick, chain, 1);
	}
	took = (now_us() - from) / DECISIONS;
	for (i = 0; i < in_flight_max; i++) {
		if (in_flight[i].count > 0)
			pick_ended(pick, &in_flight[i], &end, 1);
	}
	free(in_flight);
	return took;
}

/* Prints the measurements for one number of workers. */
static void measure(int count, bool first)
{
	struct cfg_endpoint *endpoints =
		calloc((size_t)count, sizeof(*endpoints));
	struct cfg_set set = {
		.services = &service,
		.service_count = 1,
		.endpoints = endpoints,
		.endpoint_count = (size_t)count,
	};
	struct pick *pick = pick_new(PICK_FLOW, 1);
	double solve;
	double free_us;
	double logged_us;
	double full_us;
	int failed;
	int full;

	make_workers(endpoints, count);
	pick_config(pick, &set, 0);
	pick_tick(pick, 0);
	solve = now_us();
	pick_set_leaving(pick, 0, true, 0);
	pick_tick(pick, 0);
	solve = now_us() - solve;
	log_set_sink(NULL, NULL);
	free_us = decide(pick, IN_FLIGHT * count, &failed);
	full_us = decide(pick, IN_FLIGHT_FULL * count, &full);
	log_set_sink(drop_line, NULL);
	logged_us = decide(pick, IN_FLIGHT * count, &failed);
	printf("%s\n{\"workers\":%d,\"decide_us\":%.2f,"
	       "\"decide_and_log_us\":%.2f,\"busy\":%d,"
	       "\"decide_at_limits_us\":%.2f,\"busy_at_limits\":%d,"
	       "\"solve_us\":%.0f}",
	       first ? "" : ",", count, free_us, logged_us, failed, full_us,
	       full, solve);
	pick_free(pick);
	free(endpoints);
}

int main(void)
{
	static const int sizes[] = { 40, 100, 400, 1000, 4000, 10000 };
	size_t i;

	printf("[");
	for (i = 0; i < MAG_ARRAY_SIZE(sizes); i++)
		measure(sizes[i], i == 0);
	printf("\n]\n");
	return 0;
}
