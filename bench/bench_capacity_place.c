#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "log.h"
#include "plc.h"

/*
 * Measures the cost of placement for the placer of a data centre.  Argument:
 * number of engines in the data centre.  Engines start without a model and
 * execute each order at once.
 * Prints the processor time per second during placement and in the steady
 * state.
 */

#define SERVICES    19
#define LAYERS	    32
#define STAGES	    4
#define STEP_US	    (100 * MAG_US_PER_MS)
#define STEADY_S    60
#define PLACE_S_MAX 3000

struct bench {
	struct plc *plc;
	struct cfg_set set;
	bool *loaded;
	int64_t now;
	uint64_t reads;
	uint64_t loads;
	double work_us;
};

static double cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static void make_set(struct cfg_set *set, int engines)
{
	int i;

	set->service_count = SERVICES;
	set->services = calloc(SERVICES, sizeof(*set->services));
	set->endpoint_count = (size_t)engines;
	set->endpoints = calloc((size_t)engines + 1, sizeof(*set->endpoints));
	for (i = 0; i < SERVICES; i++) {
		snprintf(set->services[i].name, MAG_NAME_MAX, "m%d", i);
		set->services[i].layers = LAYERS;
	}
	for (i = 0; i < engines; i++) {
		struct cfg_endpoint *end = &set->endpoints[i];
		uint32_t stage = (uint32_t)(i / SERVICES % STAGES);

		snprintf(end->name, MAG_NAME_MAX, "%d", i);
		snprintf(end->data_centre, MAG_NAME_MAX, "d0");
		end->service = i % SERVICES;
		end->first_layer = stage * LAYERS / STAGES;
		end->last_layer = (stage + 1) * LAYERS / STAGES - 1;
		end->tokens_per_s = 1000;
		end->checks_fencing = true;
	}
}

static void execute_order(struct bench *bench, const struct plc_order *order)
{
	struct plc_order_result result = { .id = order->id,
					   .status = PLC_DONE };
	int i = atoi(order->endpoint);
	const struct cfg_endpoint *end = &bench->set.endpoints[i];

	if (order->kind == PLC_LOAD) {
		bench->loads++;
		bench->loaded[i] = true;
	} else {
		bench->reads++;
	}
	if (bench->loaded[i])
		memcpy(result.model, bench->set.services[end->service].name,
		       MAG_NAME_MAX);
	result.first_layer = end->first_layer;
	result.last_layer = end->last_layer;
	plc_order_done(bench->plc, &result, bench->now);
}

static void step(struct bench *bench)
{
	struct kv_reply reply = { .status = KV_OK, .version = 1 };
	struct plc_order order;
	struct kv_call call;
	double start = cpu_us();

	bench->now += STEP_US;
	plc_tick(bench->plc, bench->now);
	while (plc_next_call(bench->plc, &call)) {
		free(call.value);
		reply.id = call.id;
		plc_reply(bench->plc, &reply, bench->now);
	}
	while (plc_next_order(bench->plc, &order))
		execute_order(bench, &order);
	bench->work_us += cpu_us() - start;
}

int main(int argc, char **argv)
{
	struct plc_settings settings = { .data_centre = "d0",
					 .instance = "i0",
					 .enabled = true };
	struct bench bench = { 0 };
	int engines = argc > 1 ? atoi(argv[1]) : 19;
	struct mallinfo2 before;
	struct mallinfo2 after;
	double placing_us;
	long steps = 0;

	log_set_sink(NULL, NULL);
	make_set(&bench.set, engines);
	bench.loaded = calloc((size_t)engines + 1, sizeof(bool));
	before = mallinfo2();
	bench.plc = plc_new(&settings, 0);
	plc_config(bench.plc, &bench.set, 0);
	after = mallinfo2();
	while (bench.loads < (uint64_t)engines && steps < PLACE_S_MAX * 10) {
		step(&bench);
		steps++;
	}
	placing_us = bench.work_us / ((double)steps / 10);
	printf("place\t%d\t%.0f\t%llu\t%.0f", engines, (double)steps / 10,
	       (unsigned long long)bench.loads, placing_us);
	bench.work_us = 0;
	bench.reads = 0;
	for (steps = 0; steps < STEADY_S * 10; steps++)
		step(&bench);
	printf("\t%.1f\t%.0f\t%zu\n", (double)bench.reads / STEADY_S,
	       bench.work_us / STEADY_S,
	       after.uordblks + after.hblkhd - before.uordblks - before.hblkhd);
	plc_free(bench.plc);
	return 0;
}
