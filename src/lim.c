#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lim_int.h"

/* Part of an overloaded pool that is divided evenly, not by demand. */
#define LIM_EVEN_PART	0.04
#define LIM_DEMAND_STEP 0.05 /* a smaller change of demand isn't announced */
#define LIM_SHARE_STEP	0.01 /* a smaller change of share isn't reported */
/* Fraction of its part that a new instance uses until its peers know it. */
#define LIM_INITIAL_PART 0.1
#define LIM_PERIOD_US	 (250 * MAG_US_PER_MS)

static int lim_compare(const void *a, const void *b);
static void lim_row_init(struct lim_row *row, const struct cfg_limit *from,
			 int index);
static void lim_set_initial_share(const struct lim *lim, struct lim_row *row);
static int lim_remap(struct lim *lim, const struct lim_row *rows, size_t count);
static float *lim_column(const struct lim *lim, const float *old,
			 const struct lim_row *rows, size_t count);
static void lim_announce(struct lim *lim);
static void lim_sum_demand(struct lim *lim, const struct peer *peer);
static uint32_t lim_count_parts(struct lim *lim, const struct peer *peer);
static void lim_add_link(struct lim *lim, int link, bool local);
static void lim_use_aggregator_totals(struct lim *lim, const struct peer *peer,
				      int aggregator);
static void lim_update_window(struct lim *lim, const struct peer *peer,
			      int64_t now);
static double lim_usable_fraction(const struct lim_row *row);

/*
 * Creates an empty table of limits; returns NULL if out of memory.
 * instances_max is the largest number of instances that the site runs.
 * Limits are divided by it while no list of instances is known.
 */
struct lim *lim_new(uint32_t instances_max)
{
	struct lim *lim = calloc(1, sizeof(*lim));

	if (!lim)
		return NULL;
	lim->group_size = 1;
	lim->local_count = 1;
	lim->instances_max = instances_max;
	lim->part_count = instances_max;
	return lim;
}

/* Frees a table; NULL is a no-op. */
void lim_free(struct lim *lim)
{
	size_t i;

	if (!lim)
		return;
	for (i = 0; i < lim->link_count; i++) {
		free(lim->links[i].received);
		free(lim->links[i].sent);
	}
	free(lim->links);
	free(lim->rows);
	free(lim);
}

/*
 * Applies the limits of a new set.  The state of a limit is carried over by
 * its name.  Returns LIM_E_MEMORY and leaves the old limits in force without
 * memory.
 */
int lim_config(struct lim *lim, const struct cfg_set *set, int64_t now)
{
	size_t count = set->limit_count;
	struct lim_row *rows = calloc(count + 1, sizeof(*rows));
	bool first = !lim->rows;
	size_t i;

	if (!rows)
		return LIM_E_MEMORY;
	for (i = 0; i < count; i++)
		lim_row_init(&rows[i], &set->limits[i], (int)i);
	qsort(rows, count, sizeof(*rows), lim_compare);
	for (i = 0; i < count; i++) {
		int old = first ? -1 : lim_find_row(lim, rows[i].hash);

		if (first)
			lim_set_initial_share(lim, &rows[i]);
		if (old < 0)
			continue;
		rows[i].demand = lim->rows[old].demand;
		rows[i].announced = lim->rows[old].announced;
		memcpy(rows[i].slot_min, lim->rows[old].slot_min,
		       sizeof(rows[i].slot_min));
	}
	if (lim_remap(lim, rows, count)) {
		free(rows);
		return LIM_E_MEMORY;
	}
	free(lim->rows);
	lim->rows = rows;
	lim->row_count = count;
	lim->share_cursor = 0;
	lim->next_tick_us = now;
	return LIM_OK;
}

/*
 * Sets the recent demand under a limit, in the unit of the first field of the
 * limit that is set: requests/s, tokens/s or concurrent requests.
 */
int lim_note_demand(struct lim *lim, int limit, double demand)
{
	size_t i;

	for (i = 0; i < lim->row_count; i++) {
		if (lim->rows[i].limit != limit)
			continue;
		lim->rows[i].demand = demand > 0 ? (float)demand : 0;
		return LIM_OK;
	}
	return LIM_E_UNKNOWN;
}

/* Sums up demand and computes this instance's share of each limit. */
void lim_tick(struct lim *lim, const struct peer *peer, int64_t now)
{
	if (now < lim->next_tick_us)
		return;
	lim->next_tick_us = now + LIM_PERIOD_US;
	lim_announce(lim);
	lim_sum_demand(lim, peer);
	lim_update_window(lim, peer, now);
	lim->share_cursor = 0;
}

/* Returns when lim_tick is due next. */
int64_t lim_next_deadline(const struct lim *lim)
{
	return lim->row_count ? lim->next_tick_us : MAG_NEVER;
}

/* Returns the next of this instance's shares that changed, if any. */
bool lim_next_share(struct lim *lim, struct lim_share *share)
{
	while (lim->share_cursor < lim->row_count) {
		struct lim_row *row = &lim->rows[lim->share_cursor++];
		double fraction = lim_usable_fraction(row);

		if (row->reported >= 0 &&
		    fabs(fraction - row->reported) <=
			    LIM_SHARE_STEP * row->reported)
			continue;
		row->reported = fraction;
		share->limit = row->limit;
		share->requests_per_s = fraction * row->requests_per_s;
		share->tokens_per_s = fraction * row->tokens_per_s;
		share->concurrent = fraction * row->concurrent;
		return true;
	}
	return false;
}

/* Returns how many instances pool their parts, this one included. */
uint32_t lim_group_size(const struct lim *lim)
{
	return lim->group_size;
}

/* Returns into how many parts each limit is divided. */
uint32_t lim_part_count(const struct lim *lim)
{
	return lim->part_count;
}

/*
 * Returns the fraction of a limit that one instance may use.  Its group pools
 * group_size / part_count of the limit.  If the group's demand is below the
 * pool, each instance gets its demand and an even part of the rest; above it,
 * the pool is divided in proportion to demand.  group_size is at least 1 and
 * at most part_count.
 */
double lim_fraction(double own, double total, uint32_t group_size,
		    uint32_t part_count, double limit)
{
	double pool = limit * group_size / part_count;

	if (total < own)
		total = own;
	if (total <= (1 - LIM_EVEN_PART) * pool)
		return (own + (pool - total) / group_size) / limit;
	return pool / limit *
	       (LIM_EVEN_PART / group_size + (1 - LIM_EVEN_PART) * own / total);
}

/* Returns the size of a limit in the unit of its demand. */
double lim_size(const struct lim_row *row)
{
	if (row->requests_per_s > 0)
		return row->requests_per_s;
	if (row->tokens_per_s > 0)
		return row->tokens_per_s;
	return row->concurrent > 0 ? row->concurrent : 1;
}

/* Finds the row of a limit by hash; returns -1 if the set lacks it. */
int lim_find_row(const struct lim *lim, uint32_t hash)
{
	size_t low = 0;
	size_t high = lim->row_count;

	while (low < high) {
		size_t mid = (low + high) / 2;

		if (lim->rows[mid].hash < hash)
			low = mid + 1;
		else
			high = mid;
	}
	return low < lim->row_count && lim->rows[low].hash == hash ? (int)low
								   : -1;
}

static int lim_compare(const void *a, const void *b)
{
	uint32_t left = ((const struct lim_row *)a)->hash;
	uint32_t right = ((const struct lim_row *)b)->hash;

	return (left > right) - (left < right);
}

/* Initializes the row of a limit without any known demand. */
static void lim_row_init(struct lim_row *row, const struct cfg_limit *from,
			 int index)
{
	size_t slot;

	row->hash = (uint32_t)peer_hash(from->name);
	row->limit = index;
	row->requests_per_s = from->requests_per_s;
	row->tokens_per_s = from->tokens_per_s;
	row->concurrent = from->concurrent;
	row->reported = -1;
	for (slot = 0; slot < LIM_WINDOW_SLOTS; slot++)
		row->slot_min[slot] = 1;
}

/*
 * Grants a new instance a small share until all others have had time to learn
 * of it.  Until then they divide the whole limit among themselves, so its full
 * part would exceed the limit.  Without any share it would refuse its first
 * callers.
 */
static void lim_set_initial_share(const struct lim *lim, struct lim_row *row)
{
	size_t slot;

	for (slot = 0; slot < LIM_WINDOW_SLOTS; slot++)
		row->slot_min[slot] = LIM_INITIAL_PART / lim->instances_max;
}

/* Reorders the values of each link to match the new rows. */
static int lim_remap(struct lim *lim, const struct lim_row *rows, size_t count)
{
	size_t i;

	for (i = 0; i < lim->link_count; i++) {
		struct lim_link *link = &lim->links[i];
		float *received = lim_column(lim, link->received, rows, count);
		float *sent = lim_column(lim, link->sent, rows, count);

		if (!received || !sent) {
			free(received);
			free(sent);
			return LIM_E_MEMORY;
		}
		free(link->received);
		free(link->sent);
		link->received = received;
		link->sent = sent;
		link->cursor = 0;
	}
	return LIM_OK;
}

/* Returns a link's values in the order of the new rows. */
static float *lim_column(const struct lim *lim, const float *old,
			 const struct lim_row *rows, size_t count)
{
	float *column = calloc(count + 1, sizeof(*column));
	size_t i;

	for (i = 0; column && old && i < count; i++) {
		int from = lim_find_row(lim, rows[i].hash);

		if (from >= 0)
			column[i] = old[from];
	}
	return column;
}

/*
 * Announces demand that changed by more than a step.  Each announced change
 * changes shares, and a share rises only after a delay, so announcing noise
 * would leave a part of the limit unused.
 */
static void lim_announce(struct lim *lim)
{
	size_t i;

	for (i = 0; i < lim->row_count; i++) {
		struct lim_row *row = &lim->rows[i];
		float difference = fabsf(row->demand - row->announced);

		if (difference >
		    LIM_DEMAND_STEP * fmaxf(row->demand, row->announced))
			row->announced = row->demand;
	}
}

/* Sums up reachable instances and demand, or uses the first bridge's sums. */
static void lim_sum_demand(struct lim *lim, const struct peer *peer)
{
	uint32_t listed = lim_count_parts(lim, peer);
	size_t i;

	for (i = 0; i < lim->row_count; i++)
		lim->rows[i].local = lim->rows[i].announced;
	lim->local_count = 1;
	lim->group_size = 1;
	for (i = 0; i < peer_link_count(peer); i++) {
		if (peer_link_kind(peer, (int)i) == PEER_LINK_LOCAL &&
		    peer_link_rail(peer, (int)i) != 0 &&
		    peer_link_agrees(peer, (int)i)) {
			lim->local_count++;
			lim_add_link(lim, (int)i, true);
		}
	}
	lim->group_size = lim->local_count;
	for (i = 0; i < lim->row_count; i++)
		lim->rows[i].total = lim->rows[i].local;
	for (i = 0; i < peer_link_count(peer); i++) {
		if (peer_link_kind(peer, (int)i) != PEER_LINK_BRIDGE ||
		    !peer_link_agrees(peer, (int)i) ||
		    peer_link_rail(peer, (int)i) != peer_rail(peer))
			continue;
		lim->group_size += peer_link_group_size(peer, (int)i);
		lim_add_link(lim, (int)i, false);
		if (peer_link_listed_count(peer, (int)i) > listed)
			listed = peer_link_listed_count(peer, (int)i);
	}
	lim->part_count = listed;
	if (peer_aggregator(peer) >= 0)
		lim_use_aggregator_totals(lim, peer, peer_aggregator(peer));
	if (lim->part_count < lim->group_size)
		lim->part_count = lim->group_size;
}

/*
 * Returns into how many parts this instance divides a limit.  An instance
 * that starts while the platform is down has no list of instances.  If it
 * used the size of its group instead, its side of a network partition would
 * use the whole limit while the other side uses its parts as well.  If it
 * used no share, every caller under a limit would be refused until the
 * platform is back.  So without an own list it uses the size that peers
 * report, else the last known list, else the largest number of instances that
 * the site runs.
 */
static uint32_t lim_count_parts(struct lim *lim, const struct peer *peer)
{
	uint32_t listed = peer_listed_count(peer);
	uint32_t peers_listed = 0;
	size_t i;

	for (i = 0; i < peer_link_count(peer); i++) {
		if (peer_link_up(peer, (int)i) &&
		    peer_link_listed_count(peer, (int)i) > peers_listed)
			peers_listed = peer_link_listed_count(peer, (int)i);
	}
	if (listed == 0)
		listed = peers_listed;
	if (listed > 0)
		lim->last_listed = listed;
	return lim->last_listed > 0 ? lim->last_listed : lim->instances_max;
}

/* Adds the demand received on a link to the sums. */
static void lim_add_link(struct lim *lim, int link, bool local)
{
	size_t i;

	if ((size_t)link >= lim->link_count || !lim->links[link].received)
		return;
	for (i = 0; i < lim->row_count; i++) {
		if (local)
			lim->rows[i].local += lim->links[link].received[i];
		else
			lim->rows[i].total += lim->links[link].received[i];
	}
}

/*
 * Uses the sums of this data centre's first bridge.  A bridge that doesn't
 * see the same instances as this one may not count this instance, and both
 * would use this instance's part.  In that case this instance uses the part
 * of one instance only.
 */
static void lim_use_aggregator_totals(struct lim *lim, const struct peer *peer,
				      int aggregator)
{
	const struct lim_link *state = NULL;
	uint32_t listed = peer_link_listed_count(peer, aggregator);
	size_t i;

	if ((size_t)aggregator < lim->link_count)
		state = &lim->links[aggregator];
	lim->group_size = 1;
	if (state && state->received && state->sends_totals &&
	    peer_link_agrees(peer, aggregator)) {
		lim->group_size = peer_link_group_size(peer, aggregator);
		lim->part_count = listed; /* the bridge's list is newer */
	} else if (listed > lim->part_count) {
		lim->part_count = listed;
	}
	for (i = 0; i < lim->row_count; i++) {
		struct lim_row *row = &lim->rows[i];

		row->total = row->announced;
		if (lim->group_size > 1 && state->received[i] > row->total)
			row->total = state->received[i];
	}
}

/*
 * Lowers each share at once, but raises it only after it was higher for as
 * long as it takes to detect a network partition and to spread the change.
 * Otherwise the instances that lose what this one gains would still use it,
 * and the sum would exceed the limit whenever demand shifts between instances
 * or rises on one side of a new partition.
 */
static void lim_update_window(struct lim *lim, const struct peer *peer,
			      int64_t now)
{
	bool next = now >= lim->slot_end_us;
	size_t i;

	if (next) {
		lim->slot_end_us = now + peer_raise_delay_us(peer) /
						 (LIM_WINDOW_SLOTS - 1);
		lim->slot = (lim->slot + 1) % LIM_WINDOW_SLOTS;
	}
	for (i = 0; i < lim->row_count; i++) {
		struct lim_row *row = &lim->rows[i];
		double fraction = lim_fraction(row->announced, row->total,
					       lim->group_size, lim->part_count,
					       lim_size(row));

		if (next || fraction < row->slot_min[lim->slot])
			row->slot_min[lim->slot] = fraction;
	}
}

/* Returns the smallest fraction of all slots, which may be used now. */
static double lim_usable_fraction(const struct lim_row *row)
{
	double least = row->slot_min[0];
	size_t slot;

	for (slot = 1; slot < LIM_WINDOW_SLOTS; slot++)
		least = fmin(least, row->slot_min[slot]);
	return least;
}
