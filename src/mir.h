#ifndef MIR_H
#define MIR_H

/*
 * Mirror of the store's items, from which a router answers the routers that
 * follow the store through it.  Items are kept in the order of their last
 * change, so the changes since a position are the end of the list, each key
 * once.  A deleted key stays as a tombstone; where tombstones were dropped, a
 * follower gets the complete list again.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <urcu/list.h>

#include "htab.h"
#include "wire.h"

struct mir_item {
	struct cds_list_head by_revision;
	struct htab_node by_key;
	struct wire_item item; /* value is NULL if deleted */
	uint64_t digest;       /* of key and value */
	bool in_listing;
};

struct mir {
	struct cds_list_head items; /* of struct mir_item, by revision */
	struct htab keys;
	bool listing;	      /* a complete list is being read */
	bool complete;	      /* a complete list has been read */
	bool lossy;	      /* a change was lost for lack of memory */
	int live_count;	      /* items that are not deleted */
	int deleted_count;    /* tombstones */
	int64_t changes_from; /* changes after this revision are all here */
};

enum mir_err {
	MIR_OK = 0,
	MIR_E_MEMORY = -1,
};

void mir_init(struct mir *mir);
void mir_clear(struct mir *mir);
void mir_list_begin(struct mir *mir);
int mir_put(struct mir *mir, const struct wire_item *item);
void mir_list_prefix(struct mir *mir, const char *prefix);
void mir_list_unfinished(struct mir *mir);
void mir_list_end(struct mir *mir, int64_t revision);
bool mir_may_serve(const struct mir *mir);
bool mir_has_changes(const struct mir *mir, int64_t after);
const struct mir_item *mir_first_change(const struct mir *mir, int64_t after);
const struct mir_item *mir_next_change(const struct mir *mir,
				       const struct mir_item *item);
const struct mir_item *mir_find(const struct mir *mir, const char *key);

#endif /* MIR_H */
