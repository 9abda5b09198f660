#ifndef REL_H
#define REL_H

/*
 * Relay of the store's changes between routers: where this router learns them
 * (from the store or from another router), and the routers that learn them
 * here.  tree.h decides who follows whom.
 */

#include <stdbool.h>
#include <stdint.h>

#include "pos.h"
#include "hs.h"
#include "pres.h"
#include "sto.h"

struct edge;
struct rel;
struct evbuffer;

enum rel_err {
	REL_OK = 0,
	REL_E_MEMORY = -1,
};

/* What the owner does with what a relay learns. */
struct rel_owner {
	const struct sto_follow_ops *ops; /* of the store's follower, too */
	/*
	 * All items of an answer have been passed to it.  Returns false if they
	 * do not fit together: then a complete list is read.
	 */
	bool (*applied)(void *user);
	void *user;
	/* Requests of callers that other routers forward to this one. */
	const struct hs_ops *forwarded;
};

int rel_new(struct edge *edge, const struct pres_peer *self,
	    const struct rel_owner *owner, int fd, struct rel **out);
void rel_free(struct rel *rel);
void rel_tick(struct rel *rel, int64_t now);
bool rel_is_idle(const struct rel *rel);
int rel_connections(const struct rel *rel);
void rel_set_connections_max(struct rel *rel, int connections_max);
void rel_set_limits(struct rel *rel, const struct hs_limits *limits);
void rel_on_fresh(struct rel *rel, int64_t at_us);
int64_t rel_fresh_us(const struct rel *rel);
void rel_hear(struct rel *rel, const char *name, const char *address,
	      int64_t fresh_us, int64_t now);
void rel_drop_pending(struct rel *rel);
bool rel_is_applying(const struct rel *rel);
bool rel_follows_store(const struct rel *rel);
int64_t rel_served_bound_us(const struct rel *rel);
void rel_write_metrics(const struct rel *rel, int64_t now,
		       struct evbuffer *out);

#endif /* REL_H */
