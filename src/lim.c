#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lim_int.h"

#define LIM_FLOOR      0.04 /* part of a pool that is divided evenly */
#define LIM_STEP       0.05 /* a smaller change of demand isn't told */
#define LIM_SHARE_STEP 0.01 /* a smaller change of share isn't told */
#define LIM_START      0.1  /* of its part, while a new instance is not known */
#define LIM_ROUND_US   (250 * MAG_US_PER_MS)

static int lim_compare(const void *a, const void *b);
static void lim_row_set(struct lim_row *row, const struct cfg_limit *from,
			int index);
static void lim_start(const struct lim *lim, struct lim_row *row);
static int lim_remap(struct lim *lim, const struct lim_row *rows, size_t count);
static float *lim_column(const struct lim *lim, const float *old,
			 const struct lim_row *rows, size_t count);
static void lim_announce(struct lim *lim);
static void lim_sum(struct lim *lim, const struct peer *peer);
static uint32_t lim_listed(struct lim *lim, const struct peer *peer);
static void lim_add_link(struct lim *lim, int link, bool local);
static void lim_follow(struct lim *lim, const struct peer *peer, int chief);
static void lim_window(struct lim *lim, const struct peer *peer, int64_t now);
static double lim_least(const struct lim_row *row);

/*
 * Makes an empty table of limits; NULL when memory is short.  instances_max
 * is the most instances that the site runs, into which a limit is divided
 * while no list is known.
 */
struct lim *lim_new(uint32_t instances_max)
{
	struct lim *lim = calloc(1, sizeof(*lim));

	if (!lim)
		return NULL;
	lim->group = 1;
	lim->local = 1;
	lim->instances_max = instances_max;
	lim->entitled = instances_max;
	return lim;
}

/* Frees a table; NULL is allowed. */
void lim_free(struct lim *lim)
{
	size_t i;

	if (!lim)
		return;
	for (i = 0; i < lim->link_count; i++) {
		free(lim->links[i].in);
		free(lim->links[i].out);
	}
	free(lim->links);
	free(lim->rows);
	free(lim);
}

/*
 * Takes the limits of a new set; what is known of a limit is kept by its
 * name.  Returns LIM_E_MEMORY and keeps the old ones when memory is short.
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
		lim_row_set(&rows[i], &set->limits[i], (int)i);
	qsort(rows, count, sizeof(*rows), lim_compare);
	for (i = 0; i < count; i++) {
		int old = first ? -1 : lim_find(lim, rows[i].hash);

		if (first)
			lim_start(lim, &rows[i]);
		if (old < 0)
			continue;
		rows[i].demand = lim->rows[old].demand;
		rows[i].announced = lim->rows[old].announced;
		memcpy(rows[i].least, lim->rows[old].least,
		       sizeof(rows[i].least));
	}
	if (lim_remap(lim, rows, count)) {
		free(rows);
		return LIM_E_MEMORY;
	}
	free(lim->rows);
	lim->rows = rows;
	lim->row_count = count;
	lim->news_next = 0;
	lim->next_us = now;
	return LIM_OK;
}

/*
 * Notes the recent demand under a limit, in the unit of the first of its
 * fields that is set: requests/s, tokens/s, requests at once.
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

/* Sums up demand and works out this instance's part of each limit. */
void lim_tick(struct lim *lim, const struct peer *peer, int64_t now)
{
	if (now < lim->next_us)
		return;
	lim->next_us = now + LIM_ROUND_US;
	lim_announce(lim);
	lim_sum(lim, peer);
	lim_window(lim, peer, now);
	lim->news_next = 0;
}

/* When lim_tick has something to do next. */
int64_t lim_next_deadline(const struct lim *lim)
{
	return lim->row_count ? lim->next_us : MAG_NEVER;
}

/* Gives the next limit of which this instance's part changed. */
bool lim_next_share(struct lim *lim, struct lim_share *share)
{
	while (lim->news_next < lim->row_count) {
		struct lim_row *row = &lim->rows[lim->news_next++];
		double now = lim_least(row);

		if (row->told >= 0 &&
		    fabs(now - row->told) <= LIM_SHARE_STEP * row->told)
			continue;
		row->told = now;
		share->limit = row->limit;
		share->requests_per_s = now * row->requests_per_s;
		share->tokens_per_s = now * row->tokens_per_s;
		share->concurrent = now * row->concurrent;
		return true;
	}
	return false;
}

/* How many instances pool their parts with this one, itself included. */
uint32_t lim_group(const struct lim *lim)
{
	return lim->group;
}

/* In how many parts each limit is held. */
uint32_t lim_entitled(const struct lim *lim)
{
	return lim->entitled;
}

/*
 * The fraction of a limit that one instance may use.  A group of the
 * entitled ones holds group / entitled of it.  Demand below the pool is met
 * and the rest divided evenly; demand above it is met in proportion.  The
 * group is not empty and not larger than the entitled.
 */
double lim_fraction(double own, double total, uint32_t group, uint32_t entitled,
		    double limit)
{
	double pool = limit * group / entitled;

	if (total < own)
		total = own;
	if (total <= (1 - LIM_FLOOR) * pool)
		return (own + (pool - total) / group) / limit;
	return pool / limit *
	       (LIM_FLOOR / group + (1 - LIM_FLOOR) * own / total);
}

/* The size of a limit in the unit of its demand. */
double lim_size(const struct lim_row *row)
{
	if (row->requests_per_s > 0)
		return row->requests_per_s;
	if (row->tokens_per_s > 0)
		return row->tokens_per_s;
	return row->concurrent > 0 ? row->concurrent : 1;
}

/* Finds the row of a limit by hash; -1 if the set lacks it. */
int lim_find(const struct lim *lim, uint32_t hash)
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

/* Makes the row of a limit of which nothing is known yet. */
static void lim_row_set(struct lim_row *row, const struct cfg_limit *from,
			int index)
{
	size_t slot;

	row->hash = (uint32_t)peer_hash(from->name);
	row->limit = index;
	row->requests_per_s = from->requests_per_s;
	row->tokens_per_s = from->tokens_per_s;
	row->concurrent = from->concurrent;
	row->told = -1;
	for (slot = 0; slot < LIM_SLOTS; slot++)
		row->least[slot] = 1;
}

/*
 * Lets a new instance use a little until all others had the time to hear of
 * it.  They share the whole limit without it, so its whole part would come on
 * top; with nothing it would refuse the first callers that it gets.
 */
static void lim_start(const struct lim *lim, struct lim_row *row)
{
	size_t slot;

	for (slot = 0; slot < LIM_SLOTS; slot++)
		row->least[slot] = LIM_START / lim->instances_max;
}

/* Moves what each link knows to the places of the new rows. */
static int lim_remap(struct lim *lim, const struct lim_row *rows, size_t count)
{
	size_t i;

	for (i = 0; i < lim->link_count; i++) {
		struct lim_link *link = &lim->links[i];
		float *in = lim_column(lim, link->in, rows, count);
		float *out = lim_column(lim, link->out, rows, count);

		if (!in || !out) {
			free(in);
			free(out);
			return LIM_E_MEMORY;
		}
		free(link->in);
		free(link->out);
		link->in = in;
		link->out = out;
		link->cursor = 0;
	}
	return LIM_OK;
}

/* Copies one column in the order of the new rows. */
static float *lim_column(const struct lim *lim, const float *old,
			 const struct lim_row *rows, size_t count)
{
	float *column = calloc(count + 1, sizeof(*column));
	size_t i;

	for (i = 0; column && old && i < count; i++) {
		int from = lim_find(lim, rows[i].hash);

		if (from >= 0)
			column[i] = old[from];
	}
	return column;
}

/*
 * Announces demand that moved by a step.  Every change of it moves a share,
 * and a share that rises waits, so noise would cost a part of the limit.
 */
static void lim_announce(struct lim *lim)
{
	size_t i;

	for (i = 0; i < lim->row_count; i++) {
		struct lim_row *row = &lim->rows[i];
		float off = fabsf(row->demand - row->announced);

		if (off > LIM_STEP * fmaxf(row->demand, row->announced))
			row->announced = row->demand;
	}
}

/* Sums up who and what is in reach, or takes the sums of the first bridge. */
static void lim_sum(struct lim *lim, const struct peer *peer)
{
	uint32_t listed = lim_listed(lim, peer);
	size_t i;

	for (i = 0; i < lim->row_count; i++)
		lim->rows[i].local = lim->rows[i].announced;
	lim->local = 1;
	lim->group = 1;
	for (i = 0; i < peer_link_count(peer); i++) {
		if (peer_link_kind(peer, (int)i) == PEER_LINK_LOCAL &&
		    peer_link_rail(peer, (int)i) != 0 &&
		    peer_link_agrees(peer, (int)i)) {
			lim->local++;
			lim_add_link(lim, (int)i, true);
		}
	}
	lim->group = lim->local;
	for (i = 0; i < lim->row_count; i++)
		lim->rows[i].total = lim->rows[i].local;
	for (i = 0; i < peer_link_count(peer); i++) {
		if (peer_link_kind(peer, (int)i) != PEER_LINK_BRIDGE ||
		    !peer_link_agrees(peer, (int)i) ||
		    peer_link_rail(peer, (int)i) != peer_rail(peer))
			continue;
		lim->group += peer_link_group_size(peer, (int)i);
		lim_add_link(lim, (int)i, false);
		if (peer_link_listed_count(peer, (int)i) > listed)
			listed = peer_link_listed_count(peer, (int)i);
	}
	lim->entitled = listed;
	if (peer_aggregator(peer) >= 0)
		lim_follow(lim, peer, peer_aggregator(peer));
	if (lim->entitled < lim->group)
		lim->entitled = lim->group;
}

/*
 * Into how many parts a limit is divided as far as this instance knows.  One
 * that is new during an outage of the platform has no list.  If it took the
 * size of its group for that of the fleet, its side of a cut would use the
 * whole limit and the other side its parts as well; if it took nothing, every
 * caller under a limit would be refused until the platform is back.  So it
 * goes by the size that peers tell, else by the last list, else by the most
 * that the site runs.
 */
static uint32_t lim_listed(struct lim *lim, const struct peer *peer)
{
	uint32_t listed = peer_listed_count(peer);
	uint32_t told = 0;
	size_t i;

	for (i = 0; i < peer_link_count(peer); i++) {
		if (peer_link_up(peer, (int)i) &&
		    peer_link_listed_count(peer, (int)i) > told)
			told = peer_link_listed_count(peer, (int)i);
	}
	if (listed == 0)
		listed = told;
	if (listed > 0)
		lim->known = listed;
	return lim->known > 0 ? lim->known : lim->instances_max;
}

/* Adds what a link told to the sums. */
static void lim_add_link(struct lim *lim, int link, bool local)
{
	size_t i;

	if ((size_t)link >= lim->link_count || !lim->links[link].in)
		return;
	for (i = 0; i < lim->row_count; i++) {
		if (local)
			lim->rows[i].local += lim->links[link].in[i];
		else
			lim->rows[i].total += lim->links[link].in[i];
	}
}

/*
 * Takes the sums of this data centre's first bridge.  One that doesn't see
 * the same instances as this one may not count it, so that both would use
 * this one's part: then only the part of one instance is used here.
 */
static void lim_follow(struct lim *lim, const struct peer *peer, int chief)
{
	const struct lim_link *state = NULL;
	uint32_t listed = peer_link_listed_count(peer, chief);
	size_t i;

	if ((size_t)chief < lim->link_count)
		state = &lim->links[chief];
	lim->group = 1;
	if (state && state->in && state->sends_totals &&
	    peer_link_agrees(peer, chief)) {
		lim->group = peer_link_group_size(peer, chief);
		lim->entitled = listed; /* from a fresher list than this one */
	} else if (listed > lim->entitled) {
		lim->entitled = listed;
	}
	for (i = 0; i < lim->row_count; i++) {
		struct lim_row *row = &lim->rows[i];

		row->total = row->announced;
		if (lim->group > 1 && state->in[i] > row->total)
			row->total = state->in[i];
	}
}

/*
 * Lowers each part at once and raises it only when it was higher for as long
 * as a cut takes to be noticed and news to travel.  Those who lose what this
 * one gains would otherwise still use it, and the sum would pass the limit
 * whenever demand moves, or rises on one side of a fresh cut.
 */
static void lim_window(struct lim *lim, const struct peer *peer, int64_t now)
{
	bool next = now >= lim->slot_end_us;
	size_t i;

	if (next) {
		lim->slot_end_us =
			now + peer_raise_delay_us(peer) / (LIM_SLOTS - 1);
		lim->slot = (lim->slot + 1) % LIM_SLOTS;
	}
	for (i = 0; i < lim->row_count; i++) {
		struct lim_row *row = &lim->rows[i];
		double part =
			lim_fraction(row->announced, row->total, lim->group,
				     lim->entitled, lim_size(row));

		if (next || part < row->least[lim->slot])
			row->least[lim->slot] = part;
	}
}

/* The least fraction in all slots: what may be used now. */
static double lim_least(const struct lim_row *row)
{
	double least = row->least[0];
	size_t slot;

	for (slot = 1; slot < LIM_SLOTS; slot++)
		least = fmin(least, row->least[slot]);
	return least;
}
