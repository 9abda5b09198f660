#include "pace.h"

#define PACE_DOUBLINGS_MAX 16

static uint64_t pace_random(struct pace *pace);

/* Starts a pace; instances with other seeds draw other waits. */
void pace_init(struct pace *pace, uint64_t seed, int64_t base_us,
	       int64_t bound_us)
{
	pace->rng_state = seed;
	pace->base_us = base_us;
	pace->max_us = bound_us;
	pace->failures = 0;
}

/*
 * Returns when to try again after a failure.  All instances fail at the same
 * moment when the service goes down; without the draw they would all come
 * back at the same moment too, and take it down again.
 */
int64_t pace_after_failure(struct pace *pace, int64_t now)
{
	int64_t most = pace->base_us;
	uint32_t i;

	for (i = 0; i < pace->failures && most < pace->max_us; i++)
		most *= 2;
	if (most > pace->max_us)
		most = pace->max_us;
	if (pace->failures < PACE_DOUBLINGS_MAX)
		pace->failures++;
	return now + pace->base_us / 2 +
	       (int64_t)(pace_random(pace) % (uint64_t)most);
}

/* Returns when the next call of a period is due, a tenth early or late. */
int64_t pace_next_period(struct pace *pace, int64_t now, int64_t period_us)
{
	int64_t part = period_us / 10;

	pace->failures = 0;
	return now + period_us - part +
	       (int64_t)(pace_random(pace) % (uint64_t)(2 * part));
}

static uint64_t pace_random(struct pace *pace)
{
	uint64_t x = pace->rng_state += UINT64_C(0x9e3779b97f4a7c15);

	x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
	return x ^ (x >> 31);
}
