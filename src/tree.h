#ifndef TREE_H
#define TREE_H

/*
 * From whom a router learns the store's changes: the routers form a tree, of
 * which only the root follows the store.  Pure.
 *
 * Load pattern: every router needs all changes.  If each one follows the store,
 * the calls and bytes there are the changes times the routers; a fleet that
 * starts together then needs longer for its first list than the workers need
 * for their next change.  In the tree a router sends to at most TREE_FANOUT
 * others, and the last one learns of a change after a number of hops that grows
 * with the logarithm of the fleet.
 *
 * The routers of a data centre are ordered by the speed of their link, then by
 * the hash of their name.  The first one is the head.  The others follow the
 * router that precedes them in a heap of that order; the heads of all data
 * centres form such a heap, too.  A router follows only routers before it, so
 * that no two can wait for each other, whatever each knows of the others.
 *
 * If its parent fails, a router follows one further up, then one of the first
 * ones, and near the top the store itself.  The further from the top, the later
 * it turns to the store, because mostly the first to do so serves the others.
 *
 * Load pattern: the store rejects some routers and serves the others; those
 * that it rejects may be all that the rest would follow.  A router whose data
 * is outdated therefore follows any router that it hears has newer data, also
 * one after it in the order, and a few routers far from the top ask the store.
 * Data that came by such a way is marked, and a router takes marked data from a
 * new source only if it is newer than its own.  As the data of a router is
 * never newer than that of its source, no two routers can come to wait for each
 * other.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"
#include "pres.h"

#define TREE_FANOUT 8
/* In a fleet of at most this many routers each follows the store. */
#define TREE_DIRECT_MAX 8
/* A path to the root, and the first routers below it. */
#define TREE_CANDIDATES_MAX 24
/* Index of the router that was heard to have newer data. */
#define TREE_HEARD TREE_CANDIDATES_MAX

/* Sources other than a candidate. */
enum tree_source {
	TREE_STORE = -1,
	TREE_WAIT = -2, /* none now; decide again later */
};

/* A router that this one may follow, best first. */
struct tree_candidate {
	char name[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX];
	int64_t retry_us;	/* not followed before then */
	int failures;		/* consecutive */
	bool alive;		/* it answers, but with outdated or no data */
	int64_t empty_since_us; /* it has no data since then; 0: it has */
};

/* What an answer shows of its sender. */
struct tree_answer {
	int64_t fresh_us; /* its data was current then */
	bool marked;	  /* some of it may have come from any router */
	bool is_source;	  /* the sender is followed already */
	int64_t own_us;	  /* the data known here was current then; 0: none */
};

struct tree {
	struct pres_peer self;
	uint64_t seed;
	int64_t bound_us;  /* a change must be known everywhere within it */
	int rank;	   /* in the order of its data centre; 0: the head */
	int turn;	   /* order in which routers turn to the store */
	bool has_data;	   /* a candidate has answered with data */
	bool direct;	   /* the fleet is small */
	int64_t orphan_us; /* without a parent: may follow the store then */
	int centre_size;   /* routers of the data centre, with this one */
	int candidate_count;
	struct tree_candidate candidates[TREE_CANDIDATES_MAX + 1];

	int64_t heard_us;   /* of TREE_HEARD: its data was current; 0: none */
	bool follows_heard; /* TREE_HEARD is the source */
	bool heard_turn;    /* it is polled next, then a candidate */
	double probe_draw;  /* delay of the first probe of the store, 0 to 1 */
	int64_t probe_us;   /* the store is not probed before then */
	int probes;	    /* since the data was last current */
	/* A probe was answered: the store is the source at least until then. */
	int64_t store_until_us;
};

void tree_init(struct tree *tree, const struct pres_peer *self, uint64_t seed,
	       int64_t bound_us);
int tree_update(struct tree *tree, const struct pres_peer *const *peers,
		int count);
int64_t tree_wait_us(const struct tree *tree, int64_t fresh_us, int64_t now);
int64_t tree_answer_us(const struct tree *tree);
int tree_choose(const struct tree *tree, int64_t fresh_us, int64_t now);
void tree_on_failure(struct tree *tree, int i, int64_t now);
void tree_on_empty(struct tree *tree, int i, int64_t now);
bool tree_on_answer(struct tree *tree, int i, const struct tree_answer *answer,
		    int64_t now);
void tree_hear(struct tree *tree, const char *name, const char *address,
	       int64_t fresh_us, int64_t now);
bool tree_probe_due(struct tree *tree, int64_t fresh_us, int64_t now);
void tree_on_probe(struct tree *tree, int64_t now);

#endif /* TREE_H */
