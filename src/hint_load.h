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
	struct {
		uint32_t count;
		uint32_t max;
		struct hint_load *loads;
	} parts[HINT_PARTS_MAX];
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
int hint_load_receive(struct hint_peer_loads *peer,
		      const struct hint_message *message);
void hint_load_clear(struct wk_table *table, int64_t now);
void hint_load_add(const struct wk_table *table,
		   const struct hint_peer_loads *peer, int64_t received_us);
void hint_load_free(struct hint_peer_loads *peer);

#endif /* HINT_LOAD_H */
