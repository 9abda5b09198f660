#include <string.h>

#include "mag.h"
#include "pf_gate.h"

#define PF_GATE_FAILURES_DOWN 3 /* a single slow response is not an outage */
#define PF_GATE_PAUSE_MIN_US  (50 * MAG_US_PER_MS)
#define PF_GATE_PAUSE_MAX_US  (2 * MAG_US_PER_S)
#define PF_GATE_SHIFT_MAX     6

static uint64_t pf_gate_random(struct pf_gate *gate);
static int64_t pf_gate_draw_pause(struct pf_gate *gate);

/* Initializes a gate without a budget; the seed randomizes the pauses. */
void pf_gate_init(struct pf_gate *gate, uint64_t seed)
{
	memset(gate, 0, sizeof(*gate));
	pf_gate_set_seed(gate, seed);
}

/*
 * Sets the seed of the pauses.  It is mixed with splitmix64 first, as instances
 * with adjacent seeds would otherwise draw nearly equal pauses.
 */
void pf_gate_set_seed(struct pf_gate *gate, uint64_t seed)
{
	uint64_t mixed = seed + UINT64_C(0x9e3779b97f4a7c15);

	mixed = (mixed ^ (mixed >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	mixed = (mixed ^ (mixed >> 27)) * UINT64_C(0x94d049bb133111eb);
	mixed ^= mixed >> 31;
	gate->rng_state = mixed ? mixed : 1;
}

/* Sets the budget and refills it; calls_per_s 0 means unlimited. */
void pf_gate_set_budget(struct pf_gate *gate, uint32_t calls_per_s,
			uint32_t burst, int64_t now)
{
	gate->calls_per_s = calls_per_s;
	gate->burst = burst ? burst : calls_per_s;
	gate->tokens = gate->burst;
	gate->refilled_us = now;
}

/*
 * Decides whether a call may be sent.  While the platform is down, one call per
 * pause is sent as a probe and the others fail immediately, so callers learn of
 * the outage without waiting for a timeout.  Each instance draws its own random
 * pauses, so that the fleet does not return in one burst that would overload
 * the platform again.  Such a burst would show as rate-limited calls right
 * after the event platform-reachable.
 */
enum pf_gate_verdict pf_gate_admit(struct pf_gate *gate, int64_t now)
{
	double refill;

	if (gate->down && now < gate->retry_at_us)
		return PF_GATE_PAUSED;
	if (gate->calls_per_s) {
		refill = (double)(now - gate->refilled_us) * gate->calls_per_s /
			 MAG_US_PER_S;
		gate->refilled_us = now;
		gate->tokens += refill;
		if (gate->tokens > gate->burst)
			gate->tokens = gate->burst;
		if (gate->tokens < 1)
			return PF_GATE_OVER_BUDGET;
		gate->tokens -= 1;
	}
	if (gate->down)
		gate->retry_at_us = now + pf_gate_draw_pause(gate);
	return PF_GATE_PASS;
}

/*
 * Records whether a call reached the platform.  Returns true if gate->down has
 * changed.
 */
bool pf_gate_record_result(struct pf_gate *gate, bool reached, int64_t now)
{
	bool was_down = gate->down;

	if (reached) {
		gate->consecutive_failures = 0;
		gate->down = false;
		return was_down;
	}
	gate->consecutive_failures++;
	if (gate->consecutive_failures < PF_GATE_FAILURES_DOWN)
		return false;
	gate->down = true;
	gate->retry_at_us = now + pf_gate_draw_pause(gate);
	return !was_down;
}

/*
 * Draws a pause.  It doubles with each failure, up to a maximum, and is then
 * multiplied by a random factor from 0.5 to 1.5.
 */
static int64_t pf_gate_draw_pause(struct pf_gate *gate)
{
	uint32_t shift = gate->consecutive_failures - PF_GATE_FAILURES_DOWN;
	int64_t pause;

	if (shift > PF_GATE_SHIFT_MAX)
		shift = PF_GATE_SHIFT_MAX;
	pause = PF_GATE_PAUSE_MIN_US << shift;
	if (pause > PF_GATE_PAUSE_MAX_US)
		pause = PF_GATE_PAUSE_MAX_US;
	return pause / 2 + (int64_t)(pf_gate_random(gate) % (uint64_t)pause);
}

/* xorshift64*: simple, and gives the same sequence on every machine. */
static uint64_t pf_gate_random(struct pf_gate *gate)
{
	gate->rng_state ^= gate->rng_state >> 12;
	gate->rng_state ^= gate->rng_state << 25;
	gate->rng_state ^= gate->rng_state >> 27;
	return (gate->rng_state * UINT64_C(2685821657736338717)) >> 33;
}
