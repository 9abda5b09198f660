#include <string.h>

#include "age.h"

/* A new time limit of a route's callers is known after two such windows. */
#define AGE_WINDOW_US (15 * MAG_US_PER_S)
/*
 * Part of the time of the most patient callers that others may lack on their
 * first try.  What a refused caller is told to wait is more.
 */
#define AGE_PATIENCE_SPREAD 0.16

static struct age_route *age_route_named(struct age *age, const char *name,
					 int64_t now);

/*
 * Returns how long ago a caller asked for the first time, by the time that it
 * has left and the most that others of its route had, in microseconds.  One
 * that is only less patient than others, or names no time (0), is a new one.
 */
int64_t age_estimate(struct age *age, const char *route, int64_t left_us,
		     int64_t now)
{
	struct age_route *r;
	int64_t most;

	if (left_us <= 0)
		return 0;
	r = age_route_named(age, route, now);
	if (now >= r->window_end_us) {
		r->previous_max_left_us = r->max_left_us;
		r->max_left_us = 0;
		r->window_end_us = now + AGE_WINDOW_US;
	}
	if (left_us > r->max_left_us)
		r->max_left_us = left_us;
	most = r->max_left_us > r->previous_max_left_us
		       ? r->max_left_us
		       : r->previous_max_left_us;
	if ((double)(most - left_us) < (double)most * AGE_PATIENCE_SPREAD)
		return 0;
	return most - left_us;
}

/* Returns a route's entry; a new one takes the place of the oldest. */
static struct age_route *age_route_named(struct age *age, const char *name,
					 int64_t now)
{
	struct age_route *oldest = &age->routes[0];
	int i;

	for (i = 0; i < age->count; i++) {
		if (strcmp(age->routes[i].name, name) == 0)
			return &age->routes[i];
		if (age->routes[i].window_end_us < oldest->window_end_us)
			oldest = &age->routes[i];
	}
	if (age->count < AGE_ROUTES_MAX)
		oldest = &age->routes[age->count++];
	memset(oldest, 0, sizeof(*oldest));
	mag_copy_name(oldest->name, sizeof(oldest->name), name);
	oldest->window_end_us = now + AGE_WINDOW_US;
	return oldest;
}
