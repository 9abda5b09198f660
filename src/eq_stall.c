#include <string.h>

#include "ask.h"
#include "clk.h"
#include "eq.h"
#include "jlog.h"
#include "wkp.h"

/*
 * Load pattern: a worker in the middle of a chain dies or falls silent, and
 * the first worker, which is well, waits for it for seconds.  A pause longer
 * than its route allows makes a stream late, and callers leave after two
 * seconds of silence, so the silence itself is the sign: after this part of
 * the pause its workers are asked (ask.c), which leaves time to begin anew.
 */
#define EQ_QUIET_SHARE 0.4
/* The same where a route does not say which pause it allows. */
#define EQ_QUIET_US (100 * MAG_US_PER_MS)
/*
 * A worker that does not answer questions, or that a peer found dead, is as
 * good as lost: what it should have passed for this long is moved.
 */
#define EQ_SUSPECT_QUIET_US (60 * MAG_US_PER_MS)
/* A first event, or the first one after a move, comes after 100 ms. */
#define EQ_FIRST_QUIET_US (200 * MAG_US_PER_MS)
/* Silent although its workers pass others' events: the first one knows why. */
#define EQ_SILENCE_US (350 * MAG_US_PER_MS)
/* Second sends that are kept for requests that cannot be repaired. */
#define EQ_BUDGET_KEPT 12
/* On slow engines a stream is silent after so many times its own pace. */
#define EQ_QUIET_PACES 2
static bool eq_on_chain(const struct eq *eq);
static bool eq_waits_for(const struct eq *eq, const struct wk *wk, int64_t now);
static struct wk *eq_lost_hop(const struct eq *eq, int64_t now);
static void eq_ask(struct eq *eq, int64_t now);
static int64_t eq_quiet_limit(const struct eq *eq);
static int64_t eq_silence(const struct eq *eq, int64_t now);
static void eq_move(struct eq *eq, struct wk *fault, const char *why);
static bool eq_may_begin_anew(struct eq *eq, int64_t now);
static struct eq *eq_by_id(struct edge *edge, const char *attempt_id);

/* Asks the workers of streams that have fallen silent. */
void eq_stall_tick(struct edge *edge, int64_t now)
{
	struct eq *next;
	struct eq *eq;
	struct wk *lost;

	cds_list_for_each_entry_safe (eq, next, &edge->requests, node) {
		if (!eq_on_chain(eq))
			continue;
		lost = eq_lost_hop(eq, now);
		if (lost) {
			eq_move(eq, lost, "on a suspected worker");
			continue;
		}
		if (now - eq->asked_us >= ASK_AGAIN_US)
			eq_ask(eq, now);
	}
}

/* An event came through all workers of a chain. */
void eq_passed(struct eq *eq, int64_t now)
{
	int i;

	for (i = 0; i < eq->hop_count; i++) {
		eq->hops[i].worker->passed_us = now;
		eq->hops[i].worker->quiet_asks = 0;
	}
}

/* Returns a worker of a chain that is taken for lost, or NULL. */
static struct wk *eq_lost_hop(const struct eq *eq, int64_t now)
{
	struct wk *wk;
	int i;

	for (i = 0; i < eq->hop_count; i++) {
		wk = eq->hops[i].worker;
		if ((wk->unresponsive || wk->on_trial) &&
		    eq_waits_for(eq, wk, now))
			return wk;
	}
	return NULL;
}

/* Tells whether a stream is with a chain that nobody repairs just now. */
static bool eq_on_chain(const struct eq *eq)
{
	return eq->call && !eq->repair && eq->service->has_engine;
}

/* Tells whether a stream, and all else through a worker, stands still. */
static bool eq_waits_for(const struct eq *eq, const struct wk *wk, int64_t now)
{
	return eq_silence(eq, now) >= EQ_SUSPECT_QUIET_US &&
	       now - wk->passed_us >= EQ_SUSPECT_QUIET_US;
}

/* Asks the workers of a stream that may be dead, stuck or slow. */
static void eq_ask(struct eq *eq, int64_t now)
{
	struct ask_stream stream = { eq->sent_us, now - eq_silence(eq, now),
				     eq_quiet_limit(eq), eq->first_us != 0 };
	struct ask_worker worker;
	enum ask_why why;
	struct wk *wk;
	int i;

	for (i = 0; i < eq->hop_count; i++) {
		wk = eq->hops[i].worker;
		worker = (struct ask_worker){ wk->passed_us, wk->probed_us,
					      wk->slowdown_us, wk->quiet_asks };
		why = ask_worker(&stream, &worker, now);
		if (why == ASK_NOT)
			continue;
		eq->asked_us = now;
		wk->quiet_asks += why == ASK_QUIET;
		wkp_ask(eq->edge, wk, now);
	}
	if (eq_silence(eq, now) < EQ_SILENCE_US)
		return;
	eq->asked_us = now;
	wkp_ask(eq->edge, eq->hops[0].worker, now);
}

/* Returns how long a stream is silent before its workers are asked. */
static int64_t eq_quiet_limit(const struct eq *eq)
{
	int64_t quiet_us = EQ_QUIET_US;

	if (eq->route->gap_us > 0)
		quiet_us =
			(int64_t)((double)eq->route->gap_us * EQ_QUIET_SHARE);
	if (eq->state != EQ_STREAMS || !eq->answered ||
	    eq->repaired_us > eq->progress_us)
		return EQ_FIRST_QUIET_US;
	if (eq->pace_us * EQ_QUIET_PACES > quiet_us)
		return eq->pace_us * EQ_QUIET_PACES;
	return quiet_us;
}

/* A first worker has said which of its requests wait, and for whom. */
void eq_on_report(struct edge *edge, struct wk *wk,
		  const struct wire_report *report, int64_t now)
{
	const struct wire_stalled *stalled;
	struct wk *fault;
	struct eq *eq;
	int i;

	for (i = 0; i < report->stalled_count; i++) {
		stalled = &report->stalled[i];
		fault = wk_by_address(&edge->workers, stalled->address);
		if (!fault)
			continue;
		if (fault != wk)
			wk_suspect(fault, now, "streams wait for it");
		eq = eq_by_id(edge, stalled->attempt_id);
		if (!eq || !eq_on_chain(eq) || !eq_hop_of(eq, fault) ||
		    eq_silence(eq, now) < EQ_QUIET_US)
			continue;
		eq_move(eq, fault, "stalled at a worker");
	}
	cds_list_for_each_entry (fault, &edge->workers.workers, node) {
		if (fault->on_trial && report->stalled_count > 0)
			eq_on_suspect(edge, fault, now);
	}
}

/* Moves the streams that a suspect keeps silent. */
void eq_on_suspect(struct edge *edge, struct wk *wk, int64_t now)
{
	struct eq *eq;
	struct eq *next;

	cds_list_for_each_entry_safe (eq, next, &edge->requests, node) {
		if (!eq_on_chain(eq) || !eq_hop_of(eq, wk) ||
		    !eq_waits_for(eq, wk, now))
			continue;
		eq_move(eq, wk, "on a suspected worker");
	}
}

static int64_t eq_silence(const struct eq *eq, int64_t now)
{
	int64_t since = eq->progress_us;

	if (eq->sent_us > since)
		since = eq->sent_us;
	if (eq->repaired_us > since)
		since = eq->repaired_us;
	return now - since;
}

/* Takes a stream off its chain to go on at another one, or repairs that. */
static void eq_move(struct eq *eq, struct wk *fault, const char *why)
{
	int64_t now = clk_boot_us();

	met_increment(&eq->edge->met, MET_STALLS);
	eq_blame(eq, fault, now);
	eq_avoid(eq, fault);
	if (!eq_may_begin_anew(eq, now) && eq_repair_start(eq, fault, now))
		return;
	eq_restart(eq, why);
}

/*
 * Tells whether a stream may begin anew on another chain and leave enough
 * second sends to others.  In a repaired chain it waits for the workers that
 * stay as well as for the new one, which all of its kind wait for.
 */
static bool eq_may_begin_anew(struct eq *eq, int64_t now)
{
	struct bud *bud = edge_budget(eq->edge, eq->service->name, now);

	return eq->runs + 1 < eq->route->max_attempts &&
	       bud_left(bud, now) > EQ_BUDGET_KEPT;
}

/*
 * Takes a stream off its chain; another one goes on where it stopped.  What
 * ran there counts against the runs that the route allows even if its first
 * worker seems dead: silence proves no death, and a stream of a worker that
 * was only slow to answer would run on three.
 */
void eq_restart(struct eq *eq, const char *why)
{
	hc_cancel(eq->call);
	eq->call = NULL;
	eq->may_have_run = true;
	eq->runs++;
	eq_again(eq, why);
}

static struct eq *eq_by_id(struct edge *edge, const char *attempt_id)
{
	struct eq *eq;

	cds_list_for_each_entry (eq, &edge->requests, node) {
		if (eq->asks.attempt_id &&
		    strcmp(eq->asks.attempt_id, attempt_id) == 0)
			return eq;
	}
	return NULL;
}
