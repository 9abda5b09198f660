#ifndef PACE_H
#define PACE_H

/*
 * When to call the platform's service again: periods that differ a little
 * from instance to instance, and waits after a failure that differ a lot.
 * Deterministic.
 */

#include <stdint.h>

#include "mag.h"

/* The wait after a failure: doubles up to a bound, drawn at random. */
struct pace {
	uint64_t rng_state;
	int64_t base_us;
	int64_t max_us;
	uint32_t failures;
};

void pace_init(struct pace *backoff, uint64_t seed, int64_t base_us,
	       int64_t bound_us);
int64_t pace_after_failure(struct pace *backoff, int64_t now);
int64_t pace_next_period(struct pace *backoff, int64_t now, int64_t period_us);

#endif /* PACE_H */
