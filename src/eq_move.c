#include <string.h>

#include "eq.h"

/*
 * Load pattern: workers fall silent under full load, many streams have to be
 * moved at once, and the retry budget and the memory of the other workers do
 * not suffice for all of them.  A stream whose attempt is cancelled without a
 * successor is lost, while its worker may only have been slow.  A request is
 * therefore moved only when everything that the next attempt needs is at hand:
 * a run and a send that the limits leave, a retry in the budget, a chain with
 * room reserved on it, and a free connection.  Otherwise it stays where it is
 * and is looked at again.  The earlier attempt is kept (eq_attempt.c).
 */

/* Retries that are left in the budget for requests that cannot be repaired. */
#define EQ_RETRIES_RESERVED 12

/*
 * A request whose worker is only silent is forwarded to a peer after this long.
 * By then a router that is cut off from all workers of the service alone has
 * failed to reach them on a new connection, and callers leave after two
 * seconds.
 */
#define EQ_FORWARD_SILENCE_US (500 * MAG_US_PER_MS)

struct eq_next {
	struct eq_hop hops[CHN_HOPS_MAX];
	int count;
};

static bool eq_move_off(struct eq *eq, struct wk *fault, const char *why,
			int64_t now);
static bool eq_prefers_restart(struct eq *eq, int64_t now);
static bool eq_may_run_again(const struct eq *eq, int64_t now);
static bool eq_may_leave_service(const struct eq *eq, const struct wk *fault,
				 int64_t now);
static bool eq_forward_on(struct eq *eq, struct wk *fault, const char *why,
			  int64_t now);
static enum eq_choice eq_reserve_next(struct eq *eq, struct eq_next *next,
				      int64_t now);
static void eq_drop_next(struct eq *eq, struct eq_next *next);
static void eq_swap_hops(struct eq *eq, struct eq_next *other);
static void eq_hold_hops(const struct eq *eq, int sign);
static void eq_give_up(struct eq *eq, const char *why);

/*
 * Moves a request off a faulty worker: restarts it elsewhere, or repairs its
 * chain.  Returns false if it stays, to be moved later; true if it has been
 * moved or has ended.
 */
bool eq_move(struct eq *eq, struct wk *fault, const char *why, int64_t now)
{
	struct met *met = &eq->edge->met;
	int avoided = eq->avoid_count;

	if (now < eq->next_move_us)
		return false;
	eq_avoid(eq, fault);
	if (eq_move_off(eq, fault, why, now)) {
		met_increment(met, MET_STALLS);
		return true;
	}
	eq->avoid_count = avoided;
	eq->next_move_us = now + EQ_MOVE_RETRY_US;
	return false;
}

static bool eq_move_off(struct eq *eq, struct wk *fault, const char *why,
			int64_t now)
{
	bool engine = eq->service->has_engine;

	if (!engine || eq_prefers_restart(eq, now)) {
		if (eq_restart(eq, engine ? fault : NULL, why, now))
			return true;
		return engine && eq_repair_start(eq, fault, true, now);
	}
	return eq_repair_start(eq, fault, true, now) ||
	       eq_restart(eq, fault, why, now);
}

/*
 * Tells whether a stream may restart on another chain and leave enough retries
 * in the budget for others.  In a repaired chain the stream would wait for the
 * remaining workers and for the replacement, which all streams under repair
 * wait for.
 */
static bool eq_prefers_restart(struct eq *eq, int64_t now)
{
	struct bud *bud = edge_budget(eq->edge, eq->service->name, now);

	return eq->runs + 1 < eq->route->max_attempts &&
	       bud_left(bud, now) > EQ_RETRIES_RESERVED;
}

/*
 * Starts another attempt once all that it needs is at hand; another chain
 * continues a stream after its last event.  Returns false if the request stays
 * where it is.  The run counts against the route's limit on runs even if its
 * first worker seems dead: silence does not prove death, and a stream whose
 * worker was only slow to answer would otherwise run on three.
 *
 * The worker at fault, if one is named, may have been crashed by the request.
 * If its process has ended and the request must not run again, the attempt
 * ends.
 */
bool eq_restart(struct eq *eq, struct wk *fault, const char *why, int64_t now)
{
	struct bud *bud = edge_budget(eq->edge, eq->service->name, now);
	struct eq_next next;
	enum eq_choice choice;

	if (!eq_may_run_again(eq, now)) {
		if (!fault || !wk_has_ended(fault))
			return false;
		eq_add_crash_candidate(eq, fault, now);
		eq_give_up(eq, why);
		return true;
	}
	if (eq_doubts_path(eq) && eq_forward_on(eq, fault, why, now))
		return true;
	if (!bud_may_retry(bud, now))
		return false;
	choice = eq_reserve_next(eq, &next, now);
	if (choice == EQ_NO_WORKER && eq_may_leave_service(eq, fault, now))
		return eq_forward_on(eq, fault, why, now);
	if (choice != EQ_CHOSEN)
		return false;
	if (!hc_host_has_room(next.hops[0].worker->host)) {
		eq_drop_next(eq, &next);
		return false;
	}
	if (fault)
		eq_add_crash_candidate(eq, fault, now);
	if (now < eq->resend_us) {
		/* The routers' verdict is awaited. */
		eq_drop_next(eq, &next);
		return false;
	}
	eq_log_again(eq, fault, why);
	eq_set_aside(eq);
	eq_swap_hops(eq, &next);
	if (eq->state == EQ_SENT)
		eq->state = EQ_WAITING;
	if (eq->state == EQ_STREAMING)
		met_increment(&eq->edge->met, MET_RESUMES);
	eq_send(eq, now);
	return true;
}

/* Tells whether the limits on a request allow another run. */
static bool eq_may_run_again(const struct eq *eq, int64_t now)
{
	return eq_is_repeatable(eq) && eq->runs + 1 < eq->route->max_attempts &&
	       eq_may_send_again(eq) && !eq_is_barred_again(eq, now);
}

/* Tells whether a request without a chain here rather runs at a peer. */
static bool eq_may_leave_service(const struct eq *eq, const struct wk *fault,
				 int64_t now)
{
	return (fault && wk_is_dead(fault, now)) ||
	       run_since(&eq->edge->workers.run, eq->attempt->heard_run_us,
			 now) >= EQ_FORWARD_SILENCE_US;
}

/*
 * Forwards a running request to a peer, or else returns it to its earlier
 * attempt; false if it stays where it is, as there is no peer or the routers'
 * verdict on the request is awaited.
 */
static bool eq_forward_on(struct eq *eq, struct wk *fault, const char *why,
			  int64_t now)
{
	bool kept;

	if (!eq_may_forward(eq, now))
		return false;
	if (fault)
		eq_add_crash_candidate(eq, fault, now);
	if (now < eq->resend_us)
		return false;
	eq_log_again(eq, fault, why);
	kept = eq_set_aside(eq);
	if (!eq_forward_start(eq, now)) {
		eq_fall_back(eq, "no peer", now);
		return !kept;
	}
	if (eq->state == EQ_STREAMING)
		met_increment(&eq->edge->met, MET_RESUMES);
	return true;
}

/*
 * Chooses the next chain of a running request as if the present one were
 * released, and reserves it beside that.
 */
static enum eq_choice eq_reserve_next(struct eq *eq, struct eq_next *next,
				      int64_t now)
{
	enum eq_choice choice;

	eq_hold_hops(eq, -1);
	next->count = 0;
	eq_swap_hops(eq, next);
	choice = eq_choose(eq, now);
	eq_swap_hops(eq, next);
	eq_hold_hops(eq, 1);
	return choice;
}

/* Releases a chain that was reserved beside the present one. */
static void eq_drop_next(struct eq *eq, struct eq_next *next)
{
	eq_swap_hops(eq, next);
	eq_release_hops(eq->attempt);
	eq_swap_hops(eq, next);
}

/* Exchanges a request's hops with others; both remain reserved. */
static void eq_swap_hops(struct eq *eq, struct eq_next *other)
{
	struct eq_next old = { .count = eq->attempt->hop_count };

	memcpy(old.hops, eq->attempt->hops, sizeof(old.hops));
	memcpy(eq->attempt->hops, other->hops, sizeof(eq->attempt->hops));
	eq->attempt->hop_count = other->count;
	*other = old;
}

/* Adds what a request holds at its workers (sign 1), or takes it off (-1). */
static void eq_hold_hops(const struct eq *eq, int sign)
{
	int i;

	for (i = 0; i < eq->attempt->hop_count; i++) {
		eq->attempt->hops[i].worker->held +=
			sign * eq->attempt->hops[i].held;
		if (i == 0)
			eq->attempt->hops[i].worker->first_hops += sign;
	}
}

/* Ends an attempt that is not moved: the request waits, or ends. */
static void eq_give_up(struct eq *eq, const char *why)
{
	hc_cancel(eq->attempt->call);
	eq->attempt->call = NULL;
	eq->may_have_run = true;
	eq->runs++;
	eq_retry_or_fail(eq, why);
}
