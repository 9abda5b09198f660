#ifndef HINT_LIMIT_H
#define HINT_LIMIT_H

/*
 * Rate limits that workers advertise, relayed between routers, and the part of
 * each limit that a router may use.  Pure.
 *
 * Load pattern: a worker advertises a limit in its answers to some routers; the
 * other routers of its data centre would keep sending until it refuses them as
 * well.
 */

#include "hint_load.h"
#include "hint_msg.h"
#include "wk.h"

/* This router, or a router from which a message was received. */
struct hint_router {
	uint32_t id;	      /* hash of its name */
	uint32_t data_centre; /* hash of its data centre's name */
	double demand;	      /* requests per second of its callers */
};

void hint_limit_collect(const struct wk_table *table, int64_t now, int *next,
			struct hint_message *message);
void hint_limit_add(const struct wk_table *table,
		    const struct hint_limit *limits, uint32_t count,
		    int64_t received_us, int64_t now);
double hint_limit_part(const struct hint_router *routers, int count,
		       uint32_t self, const struct wk *wk);

#endif /* HINT_LIMIT_H */
