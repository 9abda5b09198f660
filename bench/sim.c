#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define SIM_HEAP_CAPACITY_MIN 4096

static void sim_step(struct sim *sim, const struct sim_event *event);
static bool sim_pop(struct sim *sim, struct sim_event *event);
static bool sim_before(const struct sim_event *a, const struct sim_event *b);
static int sim_set_up(struct sim *sim);
static void sim_tear_down(struct sim *sim);

/*
 * Runs one simulation until settings->end_us.  Returns 0, or -1 if a core
 * could not be created.
 */
int sim_run(const struct sim_settings *settings, struct sim_result *result)
{
	struct sim *sim = calloc(1, sizeof(*sim));
	struct sim_event event;
	int i;

	memset(result, 0, sizeof(*result));
	sim->settings = *settings;
	sim->result = result;
	sim->random = settings->seed * 2862933555777941757U + 3037000493U;
	sim->stream_free = -1;
	sim->reports = true;
	if (sim_set_up(sim) < 0)
		return -1;
	for (i = 0; i < settings->fault_count; i++)
		sim_schedule(sim, settings->faults[i].at_us, SIM_EV_FAULT, i,
			     0);
	while (sim_pop(sim, &event) && event.at_us < settings->end_us) {
		sim->now = event.at_us;
		sim_step(sim, &event);
	}
	sim_tear_down(sim);
	return 0;
}

/* Schedules an event; events of the same time run in insertion order. */
void sim_schedule(struct sim *sim, int64_t at_us, enum sim_event_type type,
		  int a, uint32_t b)
{
	struct sim_event event = { at_us, sim->seq++, type, a, b };
	int i = sim->heap_count++;

	if (sim->heap_count > sim->heap_capacity) {
		sim->heap_capacity = sim->heap_capacity ? 2 * sim->heap_capacity
							: SIM_HEAP_CAPACITY_MIN;
		sim->heap = realloc(sim->heap, (size_t)sim->heap_capacity *
						       sizeof(*sim->heap));
	}
	while (i > 0 && sim_before(&event, &sim->heap[(i - 1) / 2])) {
		sim->heap[i] = sim->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	sim->heap[i] = event;
}

/* Returns the next uniform random number in [0, 1). */
double sim_random(struct sim *sim)
{
	return mag_random_unit(&sim->random);
}

/* Dispatches one event to its handler. */
static void sim_step(struct sim *sim, const struct sim_event *event)
{
	switch (event->type) {
	case SIM_EV_ARRIVAL:
		sim_arrival(sim, event->a);
		break;
	case SIM_EV_RETRY:
		sim_retry(sim, event->a);
		break;
	case SIM_EV_TOKEN:
		sim_token(sim, event->a, event->b);
		break;
	case SIM_EV_ENDED:
		sim_ended(sim, event->a, event->b);
		break;
	case SIM_EV_TICK:
		if (sim->tick_at[event->a] == event->at_us)
			sim_tick(sim, event->a);
		break;
	case SIM_EV_REPORT:
		sim_report(sim);
		break;
	case SIM_EV_FAULT:
		sim_fault(sim, &sim->settings.faults[event->a]);
		break;
	case SIM_EV_CACHE:
		sim_cache_event(sim, event->a, event->b);
		break;
	case SIM_EV_QUARANTINE:
		sim_learn_quarantine(sim, event->a);
		break;
	default:
		break;
	}
}

/* Removes the earliest event from the heap. */
static bool sim_pop(struct sim *sim, struct sim_event *event)
{
	struct sim_event last;
	int i = 0;

	if (sim->heap_count == 0)
		return false;
	*event = sim->heap[0];
	last = sim->heap[--sim->heap_count];
	for (;;) {
		int child = 2 * i + 1;

		if (child >= sim->heap_count)
			break;
		if (child + 1 < sim->heap_count &&
		    sim_before(&sim->heap[child + 1], &sim->heap[child]))
			child++;
		if (!sim_before(&sim->heap[child], &last))
			break;
		sim->heap[i] = sim->heap[child];
		i = child;
	}
	sim->heap[i] = last;
	return true;
}

/* Orders events by time, then by insertion order. */
static bool sim_before(const struct sim_event *a, const struct sim_event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->seq < b->seq;
}

/* Creates the stages, the cores and the first event of each account. */
static int sim_set_up(struct sim *sim)
{
	double rate;
	int i;

	sim_make_stages(sim);
	sim->result->bound = sim_bound(sim);
	sim->result->bound_after = sim->result->bound;
	rate = sim->settings.load * sim->result->bound / SIM_TOKENS_MEAN;
	for (i = 0; i < SIM_ACCOUNTS; i++) {
		/* Two of the ten accounts make half of the demand. */
		static const double part[SIM_ACCOUNTS] = { 0.30, 0.20, 0.12,
							   0.08, 0.05, 0.05,
							   0.05, 0.05, 0.05,
							   0.05 };

		sim->demand[i] =
			rate * (sim->settings.equal_demand ? 1.0 / SIM_ACCOUNTS
							   : part[i]);
		sim->demand_factor[i] = 1;
		sim_schedule(sim, (int64_t)(sim_random(sim) * 1e5),
			     SIM_EV_ARRIVAL, i, 0);
	}
	sim_schedule(sim, 0, SIM_EV_REPORT, 0, 0);
	return sim_routers(sim);
}

/* Frees the cores, the calls and the simulation itself. */
static void sim_tear_down(struct sim *sim)
{
	int i;

	for (i = 0; i < sim->settings.routers; i++)
		core_free(sim->cores[i]);
	for (i = 0; i < sim->call_count; i++)
		free(sim->calls[i].token_ms);
	free(sim->calls);
	free(sim->streams);
	free(sim->heap);
	free(sim);
}
