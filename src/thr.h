#ifndef THR_H
#define THR_H

/*
 * Rate limit that a worker names for all routers together.  Pure.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

/* What a word of the worker changed. */
enum thr_change {
	THR_SAME,
	THR_BEGAN,
	THR_CHANGED,
	THR_ENDED,
};

struct thr {
	bool limited;
	double limit;	  /* requests a second of all routers */
	int64_t named_us; /* when the worker named it last; 0: never */
};

enum thr_change thr_named(struct thr *thr, double limit, int64_t at_us);
enum thr_change thr_not_named(struct thr *thr, int64_t sent_us);

#endif /* THR_H */
