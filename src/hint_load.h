#ifndef HINT_LOAD_H
#define HINT_LOAD_H

/*
 * The load that routers have given each worker: collected from the router's own
 * worker table, sent to peers in one or more datagrams, and summed over the
 * peers' messages.  Pure.
 *
 * Load pattern: at peak load every router has streams on nearly every worker.
 * A worker that is missing from the message looks idle to all peers, and all of
 * them send to it until it refuses requests for lack of memory.
 */

#include "hint_msg.h"
#include "wk.h"

/* A router's own load, for all parts of its message. */
struct hint_loads {
	uint32_t count;
	struct hint_load loads[HINT_LOADS_MAX * HINT_PARTS_MAX];
};

/* The newest version of each part of a peer's load. */
struct hint_peer_loads {
	uint32_t part_count;
	uint32_t counts[HINT_PARTS_MAX];
	struct hint_load loads[HINT_PARTS_MAX][HINT_LOADS_MAX];
};

/* A worker, indexed by the hash of its id. */
struct hint_slot {
	uint32_t hash;
	struct wk *wk;
};

/* Sorted by hash; valid until a worker is removed. */
struct hint_index {
	struct hint_slot *slots;
	int count;
	int max;
};

enum hint_load_err {
	HINT_LOAD_OK = 0,
	HINT_LOAD_E_MEMORY = -1,
};

void hint_load_collect(const struct wk_table *table, int64_t now,
		       struct hint_loads *own);
uint32_t hint_load_part_count(const struct hint_loads *own);
void hint_load_fill(const struct hint_loads *own, uint32_t part,
		    struct hint_message *message);
void hint_load_receive(struct hint_peer_loads *peer,
		       const struct hint_message *message);
int hint_load_index_workers(struct hint_index *index,
			    const struct wk_table *table);
void hint_load_add(const struct hint_index *index,
		   const struct hint_peer_loads *peer, int64_t received_us);
const struct hint_slot *hint_load_find(const struct hint_index *index,
				       uint32_t hash);
void hint_load_free(struct hint_index *index);
uint32_t hint_load_hash(const char *id);

#endif /* HINT_LOAD_H */
