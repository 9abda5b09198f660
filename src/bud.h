#ifndef BUD_H
#define BUD_H

/*
 * The budget of calls to the platform's service.  The service's rates grow
 * more slowly than the fleet, so each instance may use only its part of a
 * rate, and those that failed come back spread over time.  Deterministic.
 */

#include <stdbool.h>
#include <stdint.h>

#include "kv.h"
#include "mag.h"

/* The wait after a failure: doubles up to a bound, drawn at random. */
struct bud_backoff {
	uint64_t random;
	int64_t base_us;
	int64_t bound_us;
	uint32_t failures;
};

/* What the whole fleet may call, and what this instance has left of it. */
struct bud {
	double reads_per_s;
	double writes_per_s;
	double tokens[2];
	uint32_t group;
	int64_t filled_us;
	uint64_t calls[KV_OP_COUNT];
	uint64_t refused[KV_OP_COUNT];
};

void bud_backoff_init(struct bud_backoff *backoff, uint64_t seed,
		      int64_t base_us, int64_t bound_us);
int64_t bud_backoff_fail(struct bud_backoff *backoff, int64_t now);
int64_t bud_backoff_spread(struct bud_backoff *backoff, int64_t now,
			   int64_t period_us);

void bud_init(struct bud *bud, double reads_per_s, double writes_per_s,
	      int64_t now);
void bud_set_group(struct bud *bud, uint32_t group);
bool bud_take(struct bud *bud, enum kv_op op, int64_t now);

#endif /* BUD_H */
