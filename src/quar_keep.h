#ifndef QUAR_KEEP_H
#define QUAR_KEEP_H

/*
 * Quarantined traits in the store.
 *
 * Load pattern: all routers are killed at once, and know nothing when they
 * start.  The requests that crashed workers come on, and would crash as many
 * again.  A trait that is not in doubt therefore gets a key in the store, which
 * each router reads as it starts; the key's lease ends it.  One router writes
 * it for all, the others only if it does not appear.  An operator who removes
 * the key lifts the quarantine.
 */

#include <stdint.h>

#include "wire.h"

#define QUAR_KEEP_PREFIX "quarantine/"

struct edge;
struct quar_keep;

struct quar_keep *quar_keep_new(struct edge *edge);
void quar_keep_tick(struct quar_keep *keep, int64_t now);
void quar_keep_list_begin(struct quar_keep *keep);
void quar_keep_item(struct quar_keep *keep, const struct wire_item *item,
		    int64_t now);

#endif /* QUAR_KEEP_H */
