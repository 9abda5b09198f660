#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lim_int.h"

/* What instances tell each other of the demand under each limit. */

/* What a row is worth to a receiver. */
enum lim_view {
	LIM_OWN,
	LIM_LOCAL,
	LIM_TOTAL,
	LIM_NOTHING
};

static struct lim_link *lim_link(struct lim *lim, const struct peer *peer,
				 int link);
static enum lim_view lim_view(const struct peer *peer, int link);
static float lim_value(const struct lim_row *row, enum lim_view view);
static void lim_choose(struct lim *lim, struct lim_link *state,
		       enum lim_view view, uint32_t max, struct peer_msg *msg);
static double lim_urgency(const struct lim_row *row, float value, float out);
static void lim_put(struct lim *lim, struct lim_link *state, size_t row,
		    float value, struct peer_msg *msg);

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

	msg->group_size = view == LIM_LOCAL ? lim->local : lim->group;
	if (totals)
		msg->listed_count = lim->entitled;
	if (!state || view == LIM_NOTHING)
		return;
	if (totals != state->told_totals) {
		for (i = 0; i < lim->row_count; i++)
			state->out[i] = NAN;
		state->told_totals = totals;
	}
	lim_choose(lim, state, view, peer_demand_capacity(peer), msg);
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
