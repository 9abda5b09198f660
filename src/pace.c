#include "pace.h"

#define PACE_DOUBLINGS_MAX 16

static uint64_t pace_random(struct pace *pace);

/* Initializes a pace; instances with different seeds get different times. */
void pace_init(struct pace *pace, uint64_t seed, int64_t base_us,
	       int64_t max_us)
{
	pace->rng_state = seed;
	pace->base_us = base_us;
	pace->max_us = max_us;
	pace->failures = 0;
}

/*
 * Returns when to try again after a failure.  When the service goes down, the
 * calls of all instances fail at the same time.  Without the random wait they
 * would all retry at the same time too, and overload the service again.
 */
int64_t pace_after_failure(struct pace *pace, int64_t now)
{
	int64_t range_us = pace->base_us;
	uint32_t i;

	for (i = 0; i < pace->failures && range_us < pace->max_us; i++)
		range_us *= 2;
	if (range_us > pace->max_us)
		range_us = pace->max_us;
	if (pace->failures < PACE_DOUBLINGS_MAX)
		pace->failures++;
	return now + pace->base_us / 2 +
	       (int64_t)(pace_random(pace) % (uint64_t)range_us);
}

/*
 * Returns when the next periodic call is due, up to a tenth of the period
 * early or late, and resets the backoff.
 */
int64_t pace_next_period(struct pace *pace, int64_t now, int64_t period_us)
{
	int64_t jitter_us = period_us / 10;

	pace->failures = 0;
	return now + period_us - jitter_us +
	       (int64_t)(pace_random(pace) % (uint64_t)(2 * jitter_us));
}

static uint64_t pace_random(struct pace *pace)
{
	uint64_t x = pace->rng_state += UINT64_C(0x9e3779b97f4a7c15);

	x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
	return x ^ (x >> 31);
}
