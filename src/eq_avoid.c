#include <string.h>

#include "eq.h"

/* Workers that a request is not sent to again. */

/* Tells whether a worker is excluded from further attempts of a request. */
bool eq_avoids(const struct eq *eq, const struct wk *wk)
{
	int i;

	for (i = 0; i < eq->avoid_count; i++) {
		if (strcmp(eq->avoid[i], wk->entry.id) == 0)
			return true;
	}
	return false;
}

/* Excludes a worker from further attempts of a request. */
void eq_avoid(struct eq *eq, const struct wk *wk)
{
	if (eq->avoid_count == EQ_AVOID_MAX || eq_avoids(eq, wk))
		return;
	mag_copy_name(eq->avoid[eq->avoid_count], sizeof(eq->avoid[0]),
		      wk->entry.id);
	eq->avoid_count++;
}
