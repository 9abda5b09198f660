#ifndef REL_INT_H
#define REL_INT_H

/* Parts of the relay: joining, following another router, serving others. */

#include <event2/buffer.h>
#include <urcu/list.h>

#include "edge.h"
#include "hs.h"
#include "rel.h"
#include "rel_msg.h"
#include "tree.h"
#include "xfer.h"

struct rel_read;

/* An answer whose changes are being applied; the mirror has them already. */
struct rel_pending {
	bool active;
	bool complete;
	struct pos pos;
	size_t bytes;	  /* of the answer */
	int64_t fresh_us; /* 0: unknown */
	struct wire_items items;
	int next; /* item to apply */
	struct event *event;
};

/* The items of the last answer. */
struct rel_encoded {
	int64_t after; /* revision; 0: all items */
	struct pos pos;
	struct rel_items items;
};

struct rel {
	struct edge *edge;
	struct rel_owner owner;
	struct tree tree;
	unsigned int peers_seen; /* pres_changes() of the last update */
	int64_t next_update_us;
	int64_t fresh_us; /* the items were current then; 0: never */

	/* Joining: the data centre's routers are read before following. */
	bool joined;
	int64_t joined_us;
	struct rel_read *read; /* in progress */
	int64_t join_us;       /* when to read next */
	int joins;	       /* reads so far */

	/* Following. */
	int source;	       /* candidate, TREE_STORE or TREE_WAIT */
	bool marked;	       /* what comes from there; see tree.h */
	int64_t probe_sent_us; /* of the last probe of the store; 0: none */
	char source_name[MAG_NAME_MAX]; /* "": the store, or none yet */
	struct hc_host *hosts[TREE_CANDIDATES_MAX + 1];
	char addresses[TREE_CANDIDATES_MAX + 1][MAG_ADDR_MAX];
	struct hc_call *call;
	int call_source;
	int status;
	struct evbuffer *body;
	struct pos sent_after;
	int64_t sent_us;
	struct xfer xfer;   /* of the answer */
	int64_t arrived_us; /* of the last answer's last byte */
	int64_t next_poll_us;
	uint64_t polls;
	uint64_t bad_answers;
	uint64_t cut_answers;
	uint64_t bytes_received;
	struct rel_pending pending;

	/* Serving. */
	struct hs *hs;
	struct cds_list_head waits; /* of struct rel_wait, by receipt */
	int wait_count;
	struct rel_encoded encoded;
	uint64_t answers;
	uint64_t bytes_sent;
};

/* rel.c */
void rel_update(struct rel *rel);
void rel_follow_peer(struct rel *rel, bool marked);
bool rel_is_source(const struct rel *rel);

/* rel_apply.c */
void rel_apply(struct rel *rel, const struct rel_answer *answer,
	       struct wire_items *items);
struct pos rel_mirror_pos(const struct rel *rel);
void rel_on_slice(evutil_socket_t fd, short what, void *arg);

/* rel_join.c */
void rel_join_tick(struct rel *rel, int64_t now);

/* rel_serve.c */
int rel_serve_start(struct rel *rel, int fd);
void rel_serve_stop(struct rel *rel);
void rel_serve_tick(struct rel *rel, int64_t now);

#endif /* REL_INT_H */
