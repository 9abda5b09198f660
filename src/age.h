#ifndef AGE_H
#define AGE_H

/*
 * Estimates for how long callers have been retrying when a request arrives.
 * Pure.
 *
 * Load pattern: at peak load many callers are refused and return seconds later,
 * when their answer can no longer be on time.  If they are treated like others,
 * they occupy workers that could serve other callers on time, and those are
 * then late in turn.  A request does not state that it is a retry, but it
 * leaves less time than others of its route.
 */

#include <stdint.h>

#include "mag.h"

#define AGE_ROUTES_MAX 64

/* Longest remaining time of a route's callers, in two windows. */
struct age_route {
	char name[MAG_NAME_MAX];
	int64_t max_left_us;	      /* of the current window */
	int64_t previous_max_left_us; /* of the window before it */
	int64_t window_end_us;	      /* of the current one */
};

struct age {
	struct age_route routes[AGE_ROUTES_MAX];
	int count;
};

int64_t age_estimate(struct age *age, const char *route, int64_t left_us,
		     int64_t now);

#endif /* AGE_H */
