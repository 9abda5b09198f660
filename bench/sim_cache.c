#include <string.h>

#include "sim.h"

#define SIM_PREFILL	  100 /* prompt tokens that cost as much as one token */
#define SIM_CACHE_LAG_US  (500 * MAG_US_PER_MS)
#define SIM_CACHE_DROPPED UINT32_C(0x80000000) /* flag on a prefix: evicted */

static bool sim_cache_use(struct sim_stage *stage, uint32_t prefix);

/*
 * Returns the prefill work, in tokens, when a stream first reaches a stage: 0
 * if the stage holds the prompt's prefix.
 */
double sim_prefill(struct sim *sim, struct sim_stream *s)
{
	struct sim_stage *stage = &sim->stages[s->stage[s->at]];
	uint32_t prefix = sim->calls[s->call].prefix;
	uint32_t dropped = stage->cache[SIM_CACHE - 1];

	if (s->prefilled[s->at] || prefix == 0)
		return 0;
	s->prefilled[s->at] = true;
	sim->result->prefills++;
	if (sim_cache_use(stage, prefix)) {
		sim->result->prefill_hits++;
		return 0;
	}
	if (dropped)
		sim_schedule(sim, sim->now + SIM_CACHE_LAG_US, SIM_EV_CACHE,
			     s->stage[s->at], dropped | SIM_CACHE_DROPPED);
	sim_schedule(sim, sim->now + SIM_CACHE_LAG_US, SIM_EV_CACHE,
		     s->stage[s->at], prefix);
	return (double)SIM_PROMPT_LONG / SIM_PREFILL;
}

/* Delivers a cache event to the routers, each with the loss probability. */
void sim_cache_event(struct sim *sim, int stage, uint32_t prefix)
{
	struct core_event event = { .type = CORE_EV_CACHE };
	int r;

	event.cache.sequence = ++sim->stages[stage].cache_sequence;
	event.cache.prefix_hash = prefix & ~SIM_CACHE_DROPPED;
	event.cache.stored = !(prefix & SIM_CACHE_DROPPED);
	mag_copy_name(event.cache.endpoint, sizeof(event.cache.endpoint),
		      sim->stages[stage].name);
	for (r = 0; r < sim->settings.routers; r++) {
		if (sim_random(sim) >= sim->settings.cache_lost)
			core_post(sim->cores[r], &event);
	}
}

/* Moves a prefix to the head of the LRU cache; true if it was cached. */
static bool sim_cache_use(struct sim_stage *stage, uint32_t prefix)
{
	bool held = false;
	int i;

	for (i = 0; i < SIM_CACHE - 1; i++) {
		held = stage->cache[i] == prefix;
		if (held)
			break;
	}
	held = held || stage->cache[i] == prefix;
	memmove(stage->cache + 1, stage->cache,
		(size_t)i * sizeof(stage->cache[0]));
	stage->cache[0] = prefix;
	return held;
}
