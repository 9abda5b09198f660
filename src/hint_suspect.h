#ifndef HINT_SUSPECT_H
#define HINT_SUSPECT_H

/*
 * Suspicions of workers, passed on between routers.  Pure.
 *
 * Load pattern: many workers die at once, and each is in use by a few routers
 * of hundreds.  If these told every other router, and every router probed the
 * worker, a death would cost as many messages and connections as there are
 * routers.  Instead a suspicion is added to the messages that routers exchange
 * anyway, those who hear it pass it on for a moment, and few of them probe.  A
 * worker that two routers found dead gets no new work from any of them; one
 * router alone may have lost its own link.
 */

#include "hint_limit.h"
#include "hint_msg.h"
#include "wk.h"

bool hint_suspect_announce(struct wk_table *table, int64_t now);
void hint_suspect_collect(struct wk_table *table, uint32_t self, int64_t now,
			  uint32_t *next, struct hint_message *message);
bool hint_suspect_hear(struct wk *wk, const struct hint_suspect *suspect,
		       int64_t now);
int hint_suspect_rank(uint32_t key, const struct hint_router *routers,
		      int count, uint32_t self);
bool hint_suspect_probes(const struct wk *wk, const struct hint_router *routers,
			 int count, const struct hint_router *self,
			 int64_t now);

#endif /* HINT_SUSPECT_H */
