#include <string.h>

#include "age.h"

/*
 * Length of a window.  A changed time limit of a route's callers is known after
 * two windows.
 */
#define AGE_WINDOW_US (15 * MAG_US_PER_S)
/*
 * Callers whose remaining time is shorter than the longest one by less than
 * this fraction count as first tries.  The delay that a refused caller is told
 * to wait is larger.
 */
#define AGE_FIRST_TRY_SPREAD 0.16

static struct age_route *age_find_route(struct age *age, const char *name,
					int64_t now);

/*
 * Estimates how long ago a caller first sent its request, in microseconds, from
 * its remaining time and the longest remaining time among callers of the
 * route.  A caller that states no time (0), or only a slightly shorter one than
 * others, counts as new.
 */
int64_t age_estimate(struct age *age, const char *route, int64_t left_us,
		     int64_t now)
{
	struct age_route *r;
	int64_t max_left;

	if (left_us <= 0)
		return 0;
	r = age_find_route(age, route, now);
	if (now >= r->window_end_us) {
		r->previous_max_left_us = r->max_left_us;
		r->max_left_us = 0;
		r->window_end_us = now + AGE_WINDOW_US;
	}
	if (left_us > r->max_left_us)
		r->max_left_us = left_us;
	max_left = r->max_left_us > r->previous_max_left_us
			   ? r->max_left_us
			   : r->previous_max_left_us;
	if ((double)(max_left - left_us) <
	    (double)max_left * AGE_FIRST_TRY_SPREAD)
		return 0;
	return max_left - left_us;
}

/*
 * Returns a route's entry.  If the table is full, a new one replaces the entry
 * whose window ends first.
 */
static struct age_route *age_find_route(struct age *age, const char *name,
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
