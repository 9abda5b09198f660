#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lim.h"

#define LIM_FLOOR      0.04 /* part of a pool that is divided evenly */
#define LIM_STEP       0.05 /* a smaller change of demand isn't told */
#define LIM_SHARE_STEP 0.01 /* a smaller change of share isn't told */
#define LIM_START      0.1  /* of its part, while a new instance is not known */
#define LIM_SLOTS      5    /* of time, of which a raised share waits out all */
#define LIM_ROUND_US   (250 * MAG_US_PER_MS)

/* One limit as this instance sees it. */
struct lim_row {
	uint32_t hash; /* of the limit's name */
	int limit;     /* index into the set */
	double requests_per_s;
	double tokens_per_s;
	double concurrent;
	float demand;		 /* here, as last noted */
	float announced;	 /* here, as peers are told */
	float local;		 /* in this data centre, at its first bridge */
	float total;		 /* of all in reach */
	double least[LIM_SLOTS]; /* least fraction in each slot of time */
	double told; /* fraction that the owner was told; -1: none */
};

/* What a link brought, and what it was told; one float a row. */
struct lim_link {
	uint32_t epoch;
	bool sends_totals; /* the other side is this data centre's first */
	bool told_totals;  /* it was told totals */
	uint32_t cursor;   /* next row that is told again unasked */
	float *in;
	float *out; /* NAN: not known what it has */
};

struct lim {
	struct lim_row *rows;
	size_t row_count;
	struct lim_link *links;
	size_t link_count;
	int64_t slot_end_us;
	size_t slot;
	int64_t next_us;
	uint32_t group;	   /* who pool their parts, this one included */
	uint32_t local;	   /* those of them in this data centre */
	uint32_t entitled; /* in how many parts a limit is held */
	uint32_t known;	   /* instances of the last list, own or a peer's */
	uint32_t instances_max; /* what a site without any list may have */
	size_t news_next;
};

/* What a row is worth to a receiver. */
enum lim_view {
	LIM_OWN,
	LIM_LOCAL,
	LIM_TOTAL,
	LIM_NOTHING
};

static double lim_size(const struct lim_row *row);
static int lim_find(const struct lim *lim, uint32_t hash);
static int lim_compare(const void *a, const void *b);
static void lim_row_set(struct lim_row *row, const struct cfg_limit *from,
			int index);
static void lim_start(const struct lim *lim, struct lim_row *row);
static int lim_remap(struct lim *lim, const struct lim_row *rows, size_t count);
static float *lim_column(const struct lim *lim, const float *old,
			 const struct lim_row *rows, size_t count);
static struct lim_link *lim_link(struct lim *lim, const struct peer *peer,
				 int link);
static enum lim_view lim_view(const struct peer *peer, int link);
static float lim_value(const struct lim_row *row, enum lim_view view);
static void lim_choose(struct lim *lim, struct lim_link *state,
		       enum lim_view view, uint32_t max, struct peer_msg *msg);
static double lim_urgency(const struct lim_row *row, float value, float out);
static void lim_put(struct lim *lim, struct lim_link *state, size_t row,
		    float value, struct peer_msg *msg);
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

/* Takes the demand that a message tells. */
void lim_take(struct lim *lim, const struct peer *peer, int link,
	      const struct peer_msg *msg)
{
	struct lim_link *state = lim_link(lim, peer, link);
	bool totals = msg->flags & PEER_F_RAIL0;
	uint32_t i;

	if (!state)
		return;
	if (totals != state->sends_totals)
		memset(state->in, 0, lim->row_count * sizeof(*state->in));
	state->sends_totals = totals;
	if (msg->flags & PEER_F_GAP) {
		for (i = 0; i < lim->row_count; i++)
			state->out[i] = NAN;
	}
	for (i = 0; i < msg->demand_count; i++) {
		int row = lim_find(lim, msg->demands[i].limit);
		float demand = msg->demands[i].demand;

		if (row >= 0 && isfinite(demand) && demand >= 0)
			state->in[row] = demand;
	}
}

/*
 * Adds to a message the demand that its receiver needs: an instance tells
 * its own to the bridges of its data centre, a bridge the sum of its data
 * centre to other bridges, and the first bridge the sum of all that it
 * reaches to its data centre.
 */
void lim_fill(struct lim *lim, const struct peer *peer, int link,
	      struct peer_msg *msg)
{
	struct lim_link *state = lim_link(lim, peer, link);
	enum lim_view view = lim_view(peer, link);
	bool totals = view == LIM_TOTAL;
	size_t i;

	msg->group = view == LIM_LOCAL ? lim->local : lim->group;
	if (totals)
		msg->listed = lim->entitled;
	if (!state || view == LIM_NOTHING)
		return;
	if (totals != state->told_totals) {
		for (i = 0; i < lim->row_count; i++)
			state->out[i] = NAN;
		state->told_totals = totals;
	}
	lim_choose(lim, state, view, peer_demands_fit(peer), msg);
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
static double lim_size(const struct lim_row *row)
{
	if (row->requests_per_s > 0)
		return row->requests_per_s;
	if (row->tokens_per_s > 0)
		return row->tokens_per_s;
	return row->concurrent > 0 ? row->concurrent : 1;
}

/* Finds the row of a limit by hash; -1 if the set lacks it. */
static int lim_find(const struct lim *lim, uint32_t hash)
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

/* Returns the state of a link, emptied for a new incarnation. */
static struct lim_link *lim_link(struct lim *lim, const struct peer *peer,
				 int link)
{
	size_t count = peer_link_count(peer);
	uint32_t epoch = peer_link_epoch(peer, link);
	struct lim_link *state;

	if (count > lim->link_count) {
		state = realloc(lim->links, count * sizeof(*state));
		if (!state)
			return NULL;
		memset(&state[lim->link_count], 0,
		       (count - lim->link_count) * sizeof(*state));
		lim->links = state;
		lim->link_count = count;
	}
	state = &lim->links[link];
	if (state->in && state->out && state->epoch == epoch)
		return state;
	free(state->in);
	free(state->out);
	memset(state, 0, sizeof(*state));
	state->epoch = epoch;
	state->in = calloc(lim->row_count + 1, sizeof(*state->in));
	state->out = calloc(lim->row_count + 1, sizeof(*state->out));
	return state->in && state->out ? state : NULL;
}

/* Says what the other side of a link is told. */
static enum lim_view lim_view(const struct peer *peer, int link)
{
	if (peer_link_kind(peer, link) == PEER_LINK_BRIDGE)
		return LIM_LOCAL;
	if (peer_rail(peer) == 0)
		return LIM_TOTAL;
	return peer_link_rail(peer, link) >= 0 ? LIM_OWN : LIM_NOTHING;
}

/* The demand of a row as one kind of receiver needs it. */
static float lim_value(const struct lim_row *row, enum lim_view view)
{
	if (view == LIM_OWN)
		return row->announced;
	return view == LIM_LOCAL ? row->local : row->total;
}

/*
 * Puts the rows into a message of which the receiver is the furthest off,
 * and one row in turn whether or not it changed: what a lost message told
 * would else stay unknown for as long as nothing changes.
 */
static void lim_choose(struct lim *lim, struct lim_link *state,
		       enum lim_view view, uint32_t max, struct peer_msg *msg)
{
	double urgency[PEER_DEMANDS_MAX];
	size_t rows[PEER_DEMANDS_MAX];
	uint32_t count = 0;
	uint32_t i;
	size_t r;

	for (r = 0; r < lim->row_count; r++) {
		double u = lim_urgency(&lim->rows[r],
				       lim_value(&lim->rows[r], view),
				       state->out[r]);

		if (u <= 0 || max == 0 ||
		    (count == max && u <= urgency[count - 1]))
			continue;
		if (count < max)
			count++;
		for (i = count - 1; i > 0 && urgency[i - 1] < u; i--) {
			urgency[i] = urgency[i - 1];
			rows[i] = rows[i - 1];
		}
		urgency[i] = u;
		rows[i] = r;
	}
	for (i = 0; i < count; i++)
		lim_put(lim, state, rows[i],
			lim_value(&lim->rows[rows[i]], view), msg);
	if (count == max || lim->row_count == 0)
		return;
	r = state->cursor++ % lim->row_count;
	if (lim_value(&lim->rows[r], view) > 0)
		lim_put(lim, state, r, lim_value(&lim->rows[r], view), msg);
}

/* How far a receiver is off, in parts of the limit; 0 if near enough. */
static double lim_urgency(const struct lim_row *row, float value, float out)
{
	if (isnan(out))
		return (value + 1e-6) / lim_size(row);
	if (fabsf(value - out) <= 0.01F * fmaxf(value, out))
		return 0;
	return fabsf(value - out) / lim_size(row);
}

/* Adds one entry to a message and keeps what the receiver was told. */
static void lim_put(struct lim *lim, struct lim_link *state, size_t row,
		    float value, struct peer_msg *msg)
{
	struct peer_demand *entry = &msg->demands[msg->demand_count++];

	entry->limit = lim->rows[row].hash;
	entry->demand = value;
	state->out[row] = value;
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
		lim->group += peer_link_group(peer, (int)i);
		lim_add_link(lim, (int)i, false);
		if (peer_link_listed(peer, (int)i) > listed)
			listed = peer_link_listed(peer, (int)i);
	}
	lim->entitled = listed;
	if (peer_chief(peer) >= 0)
		lim_follow(lim, peer, peer_chief(peer));
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
		    peer_link_listed(peer, (int)i) > told)
			told = peer_link_listed(peer, (int)i);
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
	uint32_t listed = peer_link_listed(peer, chief);
	size_t i;

	if ((size_t)chief < lim->link_count)
		state = &lim->links[chief];
	lim->group = 1;
	if (state && state->in && state->sends_totals &&
	    peer_link_agrees(peer, chief)) {
		lim->group = peer_link_group(peer, chief);
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
		lim->slot_end_us = now + peer_hold_us(peer) / (LIM_SLOTS - 1);
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
