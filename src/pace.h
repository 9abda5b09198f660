#ifndef PACE_H
#define PACE_H

/*
 * Times of calls to the platform: periods with a small random
 * jitter, and exponential backoff with a large one after a failure.
 * Deterministic: the caller passes the seed and the time in.
 */

#include <stdint.h>

#include "mag.h"

/* The backoff doubles with each failure in a row, up to max_us. */
struct pace {
	uint64_t rng_state;
	int64_t base_us;
	int64_t max_us;
	uint32_t failures;
};

void pace_init(struct pace *pace, uint64_t seed, int64_t base_us,
	       int64_t max_us);
int64_t pace_after_failure(struct pace *pace, int64_t now);
int64_t pace_next_period(struct pace *pace, int64_t now, int64_t period_us);

#endif /* PACE_H */
