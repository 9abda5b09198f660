#ifndef AGE_H
#define AGE_H

/*
 * How long callers have been asking before a request arrives.  Pure.
 *
 * Load pattern: in a rush many callers are refused and come back seconds
 * later, when their answer can no longer be in time.  Taken like others, they
 * fill the places of callers that could be served in time, who then come back
 * late in their turn.  A request does not say that it is a second try, but it
 * leaves less time than others of its route do.
 */

#include <stdint.h>

#include "mag.h"

#define AGE_ROUTES_MAX 64

/* The most time that callers of a route have left, in two windows. */
struct age_route {
	char name[MAG_NAME_MAX];
	int64_t max_left_us;	      /* of the window that is open */
	int64_t previous_max_left_us; /* of the one before it */
	int64_t window_end_us;	      /* end of the open one */
};

struct age {
	struct age_route routes[AGE_ROUTES_MAX];
	int count;
};

int64_t age_estimate(struct age *age, const char *route, int64_t left_us,
		     int64_t now);

#endif /* AGE_H */
