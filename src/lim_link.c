#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lim_int.h"

/* Exchanges the demand under each limit between instances. */

/* Which demand of a row a receiver needs. */
enum lim_view {
	LIM_OWN,   /* this instance's */
	LIM_LOCAL, /* this data centre's */
	LIM_TOTAL, /* of all reachable instances */
	LIM_NOTHING
};

static struct lim_link *lim_link(struct lim *lim, const struct peer *peer,
				 int link);
static enum lim_view lim_view(const struct peer *peer, int link);
static float lim_value(const struct lim_row *row, enum lim_view view);
static void lim_choose_rows(struct lim *lim, struct lim_link *state,
			    enum lim_view view, uint32_t max,
			    struct peer_msg *msg);
static double lim_deviation(const struct lim_row *row, float value, float sent);
static void lim_add_demand(struct lim *lim, struct lim_link *state, size_t row,
			   float value, struct peer_msg *msg);

/* Stores the demand that a message carries. */
void lim_receive(struct lim *lim, const struct peer *peer, int link,
		 const struct peer_msg *msg)
{
	struct lim_link *state = lim_link(lim, peer, link);
	bool totals = msg->flags & PEER_F_RAIL0;
	uint32_t i;

	if (!state)
		return;
	if (totals != state->sends_totals)
		memset(state->received, 0,
		       lim->row_count * sizeof(*state->received));
	state->sends_totals = totals;
	if (msg->flags & PEER_F_GAP) {
		for (i = 0; i < lim->row_count; i++)
			state->sent[i] = NAN;
	}
	for (i = 0; i < msg->demand_count; i++) {
		int row = lim_find_row(lim, msg->demands[i].limit);
		float demand = msg->demands[i].demand;

		if (row >= 0 && isfinite(demand) && demand >= 0)
			state->received[row] = demand;
	}
}

/*
 * Adds to a message the demand that its receiver needs.  An instance sends
 * its own demand to the bridges of its data centre.  A bridge sends the sum of
 * its data centre to other bridges.  The first bridge sends the sum of all
 * instances that it reaches to its data centre.
 */
void lim_fill_message(struct lim *lim, const struct peer *peer, int link,
		      struct peer_msg *msg)
{
	struct lim_link *state = lim_link(lim, peer, link);
	enum lim_view view = lim_view(peer, link);
	bool totals = view == LIM_TOTAL;
	size_t i;

	msg->group_size =
		view == LIM_LOCAL ? lim->local_count : lim->group_size;
	if (totals)
		msg->listed_count = lim->part_count;
	if (!state || view == LIM_NOTHING)
		return;
	if (totals != state->sent_totals) {
		for (i = 0; i < lim->row_count; i++)
			state->sent[i] = NAN;
		state->sent_totals = totals;
	}
	lim_choose_rows(lim, state, view, peer_demand_capacity(peer), msg);
}

/* Returns a link's state, which is reset for a new incarnation of the peer. */
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
	if (state->received && state->sent && state->epoch == epoch)
		return state;
	free(state->received);
	free(state->sent);
	memset(state, 0, sizeof(*state));
	state->epoch = epoch;
	state->received = calloc(lim->row_count + 1, sizeof(*state->received));
	state->sent = calloc(lim->row_count + 1, sizeof(*state->sent));
	return state->received && state->sent ? state : NULL;
}

/* Returns which demand the peer on a link needs. */
static enum lim_view lim_view(const struct peer *peer, int link)
{
	if (peer_link_kind(peer, link) == PEER_LINK_BRIDGE)
		return LIM_LOCAL;
	if (peer_rail(peer) == 0)
		return LIM_TOTAL;
	return peer_link_rail(peer, link) >= 0 ? LIM_OWN : LIM_NOTHING;
}

/* Returns the demand of a row that a receiver needs. */
static float lim_value(const struct lim_row *row, enum lim_view view)
{
	if (view == LIM_OWN)
		return row->announced;
	return view == LIM_LOCAL ? row->local : row->total;
}

/*
 * Adds the rows whose value at the receiver deviates most, and one more row
 * in turn whether or not it changed.  Otherwise the content of a lost message
 * would stay unknown until the next change.
 */
static void lim_choose_rows(struct lim *lim, struct lim_link *state,
			    enum lim_view view, uint32_t max,
			    struct peer_msg *msg)
{
	double deviations[PEER_DEMANDS_MAX];
	size_t rows[PEER_DEMANDS_MAX];
	uint32_t count = 0;
	uint32_t i;
	size_t r;

	for (r = 0; r < lim->row_count; r++) {
		double deviation = lim_deviation(&lim->rows[r],
						 lim_value(&lim->rows[r], view),
						 state->sent[r]);

		if (deviation <= 0 || max == 0 ||
		    (count == max && deviation <= deviations[count - 1]))
			continue;
		if (count < max)
			count++;
		for (i = count - 1; i > 0 && deviations[i - 1] < deviation;
		     i--) {
			deviations[i] = deviations[i - 1];
			rows[i] = rows[i - 1];
		}
		deviations[i] = deviation;
		rows[i] = r;
	}
	for (i = 0; i < count; i++)
		lim_add_demand(lim, state, rows[i],
			       lim_value(&lim->rows[rows[i]], view), msg);
	if (count == max || lim->row_count == 0)
		return;
	r = state->cursor++ % lim->row_count;
	if (lim_value(&lim->rows[r], view) > 0)
		lim_add_demand(lim, state, r, lim_value(&lim->rows[r], view),
			       msg);
}

/* Returns a receiver's error as a fraction of the limit; 0 if negligible. */
static double lim_deviation(const struct lim_row *row, float value, float sent)
{
	if (isnan(sent))
		return (value + 1e-6) / lim_size(row);
	if (fabsf(value - sent) <= 0.01F * fmaxf(value, sent))
		return 0;
	return fabsf(value - sent) / lim_size(row);
}

/* Adds one entry to a message and stores the value as sent. */
static void lim_add_demand(struct lim *lim, struct lim_link *state, size_t row,
			   float value, struct peer_msg *msg)
{
	struct peer_demand *entry = &msg->demands[msg->demand_count++];

	entry->limit = lim->rows[row].hash;
	entry->demand = value;
	state->sent[row] = value;
}
