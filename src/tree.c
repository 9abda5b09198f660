#include <stdlib.h>
#include <string.h>

#include "htab.h"
#include "tree.h"

/*
 * Fractions of the bound within which a change must be known everywhere: how
 * long a poll stays open, after how long without proof data is outdated, and
 * the interval between the routers that then turn to the store one after the
 * other.  The root proves its data within a fifth of the bound.
 */
#define TREE_WAIT_FRACTION 0.2
#define TREE_OLD_FRACTION  0.35
#define TREE_TURN_FRACTION 0.09
#define TREE_WAIT_MAX_US   MAG_US_PER_S
/*
 * The same fraction after which a router follows one that it hears has newer
 * data.  It is more than the age that data has at most while the store collects
 * changes.
 */
#define TREE_HEAR_FRACTION 0.55
/*
 * The same fractions far from the top: after which a router follows one that it
 * hears of, as its parent has found none; and from which on a few probe the
 * store, so many of a data centre in half of the bound.
 */
#define TREE_DEEP_FRACTION  0.6
#define TREE_PROBE_FRACTION 0.67
#define TREE_PROBES_SPREAD  16
/* The store is probed again after this, doubled each time. */
#define TREE_PROBE_RETRY_US	   MAG_US_PER_S
#define TREE_PROBE_RETRY_DOUBLINGS 3
/* A failed candidate is tried again after this, doubled each time. */
#define TREE_RETRY_US	     MAG_US_PER_S
#define TREE_RETRY_DOUBLINGS 5
/*
 * A candidate with outdated data may have found a new source after this
 * fraction of the bound.
 */
#define TREE_OLD_RETRY_FRACTION 0.06
/* A starting candidate is given this long to get its first data. */
#define TREE_EMPTY_US	    (2 * MAG_US_PER_S)
#define TREE_EMPTY_RETRY_US (50 * MAG_US_PER_MS)
/* A poll for the first data stays open for this long. */
#define TREE_FIRST_WAIT_US (300 * MAG_US_PER_MS)
/* Routers far from the top that lose all candidates turn to the store then. */
#define TREE_ORPHAN_US MAG_US_PER_S

static int64_t tree_part_us(const struct tree *tree, double fraction);
static int tree_compare(const void *a, const void *b);
static int tree_count_centre(const struct tree *tree,
			     const struct pres_peer *const *order, int count);
static void tree_keep_centre(const struct tree *tree,
			     const struct pres_peer **order, int count);
static int tree_keep_heads(const struct pres_peer **order, int count);
static void tree_set_candidates(struct tree *tree,
				const struct pres_peer *const *order, int rank);
static void tree_keep_state(struct tree_candidate *candidate,
			    const struct tree *old);
static bool tree_all_dead(const struct tree *tree);
static bool tree_is_deep(const struct tree *tree);
static bool tree_is_alone(const struct tree *tree);
static bool tree_is_old(const struct tree *tree, int64_t fresh_us, int64_t now);
static bool tree_hears_newer(const struct tree *tree, int64_t fresh_us,
			     int64_t now);
static int tree_count_doublings(int n);
static void tree_drop_heard(struct tree *tree);

/*
 * Starts without peers.  A change of the store must be known everywhere within
 * bound_us.
 */
void tree_init(struct tree *tree, const struct pres_peer *self, uint64_t seed,
	       int64_t bound_us)
{
	memset(tree, 0, sizeof(*tree));
	tree->self = *self;
	tree->seed = seed | 1;
	tree->bound_us = bound_us;
	tree->direct = true;
	tree->probe_draw = mag_random_unit(&tree->seed);
}

/*
 * Returns how long a poll without changes stays open; fresh_us is 0 before the
 * first data, which may come soon if the candidate has started, too.  Near the
 * top it ends when the data known here becomes outdated, so that another source
 * is found.
 */
int64_t tree_wait_us(const struct tree *tree, int64_t fresh_us, int64_t now)
{
	int64_t wait_us = tree_part_us(tree, TREE_WAIT_FRACTION);
	int64_t left_us;

	if (!fresh_us)
		return TREE_FIRST_WAIT_US;
	left_us = fresh_us + tree_part_us(tree, TREE_OLD_FRACTION) - now;

	if (wait_us > TREE_WAIT_MAX_US)
		wait_us = TREE_WAIT_MAX_US;
	if (tree->rank <= TREE_FANOUT && left_us < wait_us)
		wait_us = left_us > 0 ? left_us : 0;
	return wait_us;
}

/*
 * Returns the time after which a change that others know, but this router does
 * not, shows that its source is not sound.
 */
int64_t tree_answer_us(const struct tree *tree)
{
	return tree_part_us(tree, TREE_WAIT_FRACTION);
}

/* Returns a fraction of the bound. */
static int64_t tree_part_us(const struct tree *tree, double fraction)
{
	return (int64_t)((double)tree->bound_us * fraction);
}

/*
 * Chooses the candidates among the peers.  Returns a negative number without
 * memory; the candidates are unchanged then.
 */
int tree_update(struct tree *tree, const struct pres_peer *const *peers,
		int count)
{
	const struct pres_peer **order =
		calloc((size_t)count + 1, sizeof(const struct pres_peer *));
	int before = 0;
	int heads;

	if (!order)
		return -1;
	memcpy(order, peers, (size_t)count * sizeof(const struct pres_peer *));
	order[count] = &tree->self;
	qsort(order, (size_t)count + 1, sizeof(const struct pres_peer *),
	      tree_compare);
	tree->direct = count + 1 <= TREE_DIRECT_MAX;
	/* Only routers that precede this one matter. */
	while (order[before] != &tree->self)
		before++;
	tree->rank = tree_count_centre(tree, order, before);
	tree->centre_size = tree_count_centre(tree, order, count + 1);
	if (tree->rank > 0) {
		tree_keep_centre(tree, order, before);
		tree->turn = 2 + tree_count_doublings(tree->rank);
		tree_set_candidates(tree, order, tree->rank);
	} else {
		heads = tree_keep_heads(order, before);
		tree->turn = 1 + tree_count_doublings(heads);
		tree_set_candidates(tree, order, heads);
	}
	free(order);
	return 0;
}

/*
 * Returns how often 1 can be doubled without exceeding a number.  Twice as many
 * routers turn to the store at each turn, so that the turns are few, however
 * many routers the store rejects.
 */
static int tree_count_doublings(int n)
{
	int doublings = 0;

	while (n > 1) {
		n /= 2;
		doublings++;
	}
	return doublings;
}

/* Counts the routers of the own data centre. */
static int tree_count_centre(const struct tree *tree,
			     const struct pres_peer *const *order, int count)
{
	int found = 0;
	int i;

	for (i = 0; i < count; i++)
		found += strcmp(order[i]->data_centre,
				tree->self.data_centre) == 0;
	return found;
}

/* Moves the routers of the own data centre to the beginning. */
static void tree_keep_centre(const struct tree *tree,
			     const struct pres_peer **order, int count)
{
	int kept = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (strcmp(order[i]->data_centre, tree->self.data_centre) == 0)
			order[kept++] = order[i];
	}
}

/*
 * Moves the first router of each data centre to the beginning; returns how many
 * there are.
 */
static int tree_keep_heads(const struct pres_peer **order, int count)
{
	int heads = 0;
	int i;
	int k;

	for (i = 0; i < count; i++) {
		for (k = 0; k < heads; k++) {
			if (strcmp(order[k]->data_centre,
				   order[i]->data_centre) == 0)
				break;
		}
		if (k == heads)
			order[heads++] = order[i];
	}
	return heads;
}

/*
 * Returns the candidate to follow, TREE_STORE or TREE_WAIT; the data known here
 * was current at fresh_us.
 */
int tree_choose(const struct tree *tree, int64_t fresh_us, int64_t now)
{
	bool newer = tree_hears_newer(tree, fresh_us, now);
	int i;

	if (tree_is_alone(tree))
		return tree->follows_heard || newer ? TREE_HEARD : TREE_STORE;
	if ((tree->follows_heard && tree->heard_turn) ||
	    (newer && tree_is_deep(tree)))
		return TREE_HEARD;
	for (i = 0; i < tree->candidate_count; i++) {
		if (now >= tree->candidates[i].retry_us)
			return i;
		/* It is starting; the next one may be gone. */
		if (tree->candidates[i].empty_since_us && !tree->has_data)
			return newer ? TREE_HEARD : TREE_WAIT;
	}
	if (tree->follows_heard || newer)
		return TREE_HEARD;
	if (tree->store_until_us &&
	    (now < tree->store_until_us || !tree_is_old(tree, fresh_us, now)))
		return TREE_STORE;
	if (tree_is_deep(tree))
		return now >= tree->orphan_us && tree_all_dead(tree)
			       ? TREE_STORE
			       : TREE_WAIT;
	if (tree_all_dead(tree) ||
	    now - fresh_us >=
		    tree_part_us(tree, TREE_OLD_FRACTION +
					       TREE_TURN_FRACTION * tree->turn))
		return TREE_STORE;
	return TREE_WAIT;
}

/* A candidate did not answer, or wrongly. */
void tree_on_failure(struct tree *tree, int i, int64_t now)
{
	struct tree_candidate *candidate = &tree->candidates[i];
	int64_t delay_us;

	if (i == TREE_HEARD) {
		tree_drop_heard(tree);
		return;
	}
	delay_us = mag_backoff(TREE_RETRY_US, candidate->failures,
			       TREE_RETRY_DOUBLINGS);

	tree->heard_turn = true;
	candidate->failures++;
	candidate->alive = false;
	candidate->empty_since_us = 0;
	candidate->retry_us =
		now + delay_us / 2 +
		(int64_t)(mag_random(&tree->seed) % (uint64_t)(delay_us / 2));
	if (tree_all_dead(tree))
		tree->orphan_us = now + (int64_t)(mag_random(&tree->seed) %
						  TREE_ORPHAN_US);
}

/* A candidate has no data yet. */
void tree_on_empty(struct tree *tree, int i, int64_t now)
{
	struct tree_candidate *candidate = &tree->candidates[i];

	if (i == TREE_HEARD) {
		tree_drop_heard(tree);
		return;
	}
	tree->heard_turn = true;
	candidate->alive = true;
	if (!candidate->empty_since_us)
		candidate->empty_since_us = now;
	candidate->retry_us = now + TREE_EMPTY_RETRY_US;
	if (now - candidate->empty_since_us > TREE_EMPTY_US)
		tree_on_failure(tree, i, now);
}

/*
 * A candidate answered.  Returns whether it may be followed.  Far from the top
 * outdated data is no reason to leave a source: a router above it finds another
 * one.  Without a source with current data a marked one must have newer data
 * than is known here.
 */
bool tree_on_answer(struct tree *tree, int i, const struct tree_answer *answer,
		    int64_t now)
{
	struct tree_candidate *candidate = &tree->candidates[i];
	bool heard = i == TREE_HEARD;
	bool newer = answer->is_source || answer->fresh_us > answer->own_us;
	bool good = !tree_is_old(tree, answer->fresh_us, now);

	/* There may be no other one to turn to. */
	if (heard && answer->is_source)
		good = now - answer->fresh_us <
		       tree_part_us(tree, TREE_DEEP_FRACTION);
	else if (tree_is_deep(tree) && !heard)
		good |= answer->is_source ||
			tree_is_old(tree, answer->own_us, now);
	good &= newer || (!heard && !answer->marked);
	tree->has_data = true;
	tree->heard_turn = !heard;
	if (heard && !good) {
		tree_drop_heard(tree);
		return false;
	}
	candidate->alive = true;
	candidate->failures = 0;
	candidate->empty_since_us = 0;
	candidate->retry_us =
		good ? 0 : now + tree_part_us(tree, TREE_OLD_RETRY_FRACTION);
	if (!good)
		return false;
	tree->follows_heard = heard;
	tree->store_until_us = 0;
	if (!heard)
		tree->probes = 0;
	return true;
}

/*
 * Notes that a router has data that was current at fresh_us.  One that is
 * followed, or that was heard of shortly before, stays the one to turn to.
 */
void tree_hear(struct tree *tree, const char *name, const char *address,
	       int64_t fresh_us, int64_t now)
{
	struct tree_candidate *heard = &tree->candidates[TREE_HEARD];

	if (tree->follows_heard || tree_is_old(tree, fresh_us, now) ||
	    (tree->heard_us && fresh_us - tree->heard_us <
				       tree_part_us(tree, TREE_WAIT_FRACTION)))
		return;
	memset(heard, 0, sizeof(*heard));
	mag_copy_name(heard->name, sizeof(heard->name), name);
	mag_copy_name(heard->address, sizeof(heard->address), address);
	tree->heard_us = fresh_us;
}

/*
 * Returns whether to ask the store now whether it serves this router, and plans
 * the next time.  A router that follows one that it heard of does so to return
 * to its place; far from the top those do whose data nobody renews.
 */
bool tree_probe_due(struct tree *tree, int64_t fresh_us, int64_t now)
{
	double spread = (double)tree->centre_size / TREE_PROBES_SPREAD / 2;
	int64_t retry_us = tree_part_us(tree, 2 * spread);

	if (now < tree->probe_us || tree->store_until_us > now)
		return false;
	if (tree_is_deep(tree)
		    ? tree->follows_heard ||
			      now - fresh_us <
				      tree_part_us(tree,
						   TREE_PROBE_FRACTION +
							   tree->probe_draw *
								   spread)
		    : !tree->follows_heard)
		return false;
	tree->probe_us = now + mag_backoff(TREE_PROBE_RETRY_US, tree->probes,
					   TREE_PROBE_RETRY_DOUBLINGS);
	if (tree_is_deep(tree) && tree->probe_us < now + retry_us)
		tree->probe_us = now + retry_us;
	tree->probe_draw = mag_random_unit(&tree->seed);
	tree->probes++;
	return true;
}

/* The store has answered a probe: it is to be followed. */
void tree_on_probe(struct tree *tree, int64_t now)
{
	tree_drop_heard(tree);
	tree->store_until_us = now + tree_part_us(tree, TREE_OLD_FRACTION);
}

static void tree_drop_heard(struct tree *tree)
{
	tree->heard_us = 0;
	tree->follows_heard = false;
}

/*
 * Tells whether there is a router with newer data to turn to, and the data
 * known here has been outdated for long enough.
 */
static bool tree_hears_newer(const struct tree *tree, int64_t fresh_us,
			     int64_t now)
{
	double fraction =
		tree_is_deep(tree) ? TREE_DEEP_FRACTION : TREE_HEAR_FRACTION;

	return tree->heard_us > fresh_us &&
	       !tree_is_old(tree, tree->heard_us, now) &&
	       now - fresh_us >= tree_part_us(tree, fraction);
}

/* Tells whether data that was current at a time is outdated. */
static bool tree_is_old(const struct tree *tree, int64_t fresh_us, int64_t now)
{
	return now - fresh_us >= tree_part_us(tree, TREE_OLD_FRACTION);
}

/* Tells whether a router mostly waits for those above it. */
static bool tree_is_deep(const struct tree *tree)
{
	return tree->rank > TREE_FANOUT && !tree_is_alone(tree);
}

/* Tells whether a router has only the store to follow. */
static bool tree_is_alone(const struct tree *tree)
{
	return tree->direct || tree->candidate_count == 0;
}

/* Orders routers by link, fastest first, then by the hash of their name. */
static int tree_compare(const void *a, const void *b)
{
	const struct pres_peer *const *x = a;
	const struct pres_peer *const *y = b;
	uint32_t hash_x = htab_hash((*x)->name);
	uint32_t hash_y = htab_hash((*y)->name);

	if ((*x)->link_mbps != (*y)->link_mbps)
		return (*x)->link_mbps > (*y)->link_mbps ? -1 : 1;
	if (hash_x != hash_y)
		return hash_x < hash_y ? -1 : 1;
	return strcmp((*x)->name, (*y)->name);
}

/*
 * Lists the candidates among the routers before this one in its heap: those on
 * the path to the first, then the first ones.
 */
static void tree_set_candidates(struct tree *tree,
				const struct pres_peer *const *order, int rank)
{
	bool taken[TREE_FANOUT + 1] = { false };
	struct tree old = *tree;
	struct tree_candidate *to;
	int count = 0;
	int i;

	memset(tree->candidates, 0,
	       TREE_CANDIDATES_MAX * sizeof(tree->candidates[0]));
	for (i = rank; i > 0 && count < TREE_CANDIDATES_MAX;) {
		i = (i - 1) / TREE_FANOUT;
		if (i <= TREE_FANOUT)
			taken[i] = true;
		to = &tree->candidates[count++];
		mag_copy_name(to->name, sizeof(to->name), order[i]->name);
		mag_copy_name(to->address, sizeof(to->address),
			      order[i]->address);
	}
	for (i = 0; i <= TREE_FANOUT && i < rank && count < TREE_CANDIDATES_MAX;
	     i++) {
		if (taken[i])
			continue;
		to = &tree->candidates[count++];
		mag_copy_name(to->name, sizeof(to->name), order[i]->name);
		mag_copy_name(to->address, sizeof(to->address),
			      order[i]->address);
	}
	tree->candidate_count = count;
	for (i = 0; i < count; i++)
		tree_keep_state(&tree->candidates[i], &old);
}

/* Keeps what is known of a candidate that was one before. */
static void tree_keep_state(struct tree_candidate *candidate,
			    const struct tree *old)
{
	int i;

	for (i = 0; i < old->candidate_count; i++) {
		if (strcmp(old->candidates[i].name, candidate->name) != 0 ||
		    strcmp(old->candidates[i].address, candidate->address) != 0)
			continue;
		*candidate = old->candidates[i];
		return;
	}
}

/* Returns whether no candidate has answered its last poll. */
static bool tree_all_dead(const struct tree *tree)
{
	int i;

	for (i = 0; i < tree->candidate_count; i++) {
		if (tree->candidates[i].alive || !tree->candidates[i].failures)
			return false;
	}
	return true;
}
