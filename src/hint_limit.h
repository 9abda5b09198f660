#ifndef HINT_LIMIT_H
#define HINT_LIMIT_H

/*
 * Rate limits that workers name, passed on between routers, and which part of
 * a limit is whose.  Pure.
 *
 * Load pattern: a worker names a limit in its answers to some routers; the
 * others of its data centre go on until it answers them, too.
 */

#include "hint_load.h"
#include "hint_msg.h"
#include "wk.h"

/* A router that was heard, or this one. */
struct hint_router {
	uint32_t id;	      /* hash of its name */
	uint32_t data_centre; /* hash of its data centre's name */
	double demand;	      /* requests a second of its callers */
};

void hint_limit_collect(const struct wk_table *table, int64_t now, int *turn,
			struct hint_message *message);
void hint_limit_add(const struct hint_index *index,
		    const struct hint_limit *limits, uint32_t count,
		    int64_t heard_us, int64_t now);
double hint_limit_part(const struct hint_router *routers, int count,
		       uint32_t self, const struct wk *wk);

#endif /* HINT_LIMIT_H */
