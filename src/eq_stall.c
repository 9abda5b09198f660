#include <string.h>

#include "ask.h"
#include "eq.h"
#include "stall.h"
#include "wkp.h"

/*
 * Load pattern: a worker in the middle of a chain dies or falls silent, and the
 * healthy first worker waits for it for seconds.  A gap longer than the route
 * allows makes a stream late, and callers leave after two seconds of silence.
 * The silence itself is therefore the sign: after this fraction of the allowed
 * gap the workers of the stream are probed (ask.c), which leaves time to
 * restart the stream.
 */
#define EQ_SILENCE_FRACTION 0.4
/* The allowed gap of a route that does not specify one. */
#define EQ_GAP_DEFAULT_US (250 * MAG_US_PER_MS)
/*
 * A stream that is said to wait for a worker has done so for this long, on a
 * route without an allowed gap.
 */
#define EQ_REPORTED_SILENCE_US (100 * MAG_US_PER_MS)
/* A plain request that waits this long at a worker that is lost is moved. */
#define EQ_PLAIN_LOST_US (60 * MAG_US_PER_MS)
/*
 * Silence limit for the first event, and for the first one after a move, which
 * normally arrives after 100 ms.
 */
#define EQ_FIRST_EVENT_SILENCE_US (200 * MAG_US_PER_MS)
/*
 * A stream that is silent this long although its workers pass events of other
 * streams: its first worker is probed, because it knows the cause.
 */
#define EQ_LONG_SILENCE_US (350 * MAG_US_PER_MS)
/*
 * On slow engines a stream counts as silent after this many of its own event
 * intervals.
 */
#define EQ_SILENCE_INTERVALS 2
/*
 * A plain worker that has answered nobody for this long, with a request of ours
 * waiting, is probed.  A busy one answers others meanwhile.
 */
#define EQ_PLAIN_SILENCE_US (300 * MAG_US_PER_MS)

static bool eq_retry_move(struct eq *eq, int64_t now);
static bool eq_waits_for_plain(const struct eq *eq, int64_t now);
static bool eq_is_stuck_at_plain(const struct eq *eq, int64_t now);
static bool eq_runs_on_chain(const struct eq *eq);
static bool eq_is_stalled_at(const struct eq *eq, const struct wk *wk,
			     int64_t now);
static struct stall_stream eq_view(const struct eq *eq, int64_t now);
static int64_t eq_allowed_gap(const struct eq *eq);
static int64_t eq_worker_silence(const struct wk *wk, int64_t now);
static bool eq_is_silent_in_backoff(const struct eq *eq, const struct wk *wk,
				    int64_t now);
static struct wk *eq_find_lost_worker(const struct eq *eq, int64_t now);
static void eq_probe(struct eq *eq, int64_t now);
static int64_t eq_silence_limit(const struct eq *eq);
static int64_t eq_silence(const struct eq *eq, int64_t now);
static struct eq *eq_by_id(struct edge *edge, const char *attempt_id);

/*
 * Moves streams and lookups off lost workers, and probes the workers of silent
 * requests.
 */
void eq_stall_tick(struct edge *edge, int64_t now)
{
	struct eq *next;
	struct eq *eq;
	struct wk *lost;

	cds_list_for_each_entry_safe (eq, next, &edge->requests, node) {
		if (eq_is_stuck_at_plain(eq, now) &&
		    eq_move(eq, eq->attempt->hops[0].worker,
			    "no sign of the worker", now))
			continue;
		if (eq_waits_for_plain(eq, now))
			wkp_probe(edge, eq->attempt->hops[0].worker, now);
		if (!eq_runs_on_chain(eq))
			continue;
		lost = eq_find_lost_worker(eq, now);
		if (lost && eq_move(eq, lost, "on a suspected worker", now))
			continue;
		if (eq->attempt->misrouted && now >= eq->next_move_us &&
		    eq_retry_move(eq, now))
			continue;
		if (now - eq->probed_us >= ASK_INTERVAL_US)
			eq_probe(eq, now);
	}
}

/*
 * Moves a stream whose repair failed.  Returns false if it stays, to be moved
 * later.
 */
static bool eq_retry_move(struct eq *eq, int64_t now)
{
	eq->next_move_us = now + ASK_INTERVAL_US;
	return eq_restart(eq, NULL, "chain not repaired", now);
}

/* Notes that an event has come through all workers of the chain. */
void eq_on_progress(struct eq *eq, int64_t now)
{
	int64_t run_us = run_at(&eq->edge->workers.run, now);
	int i;

	if (eq->attempt->hop_count > 0)
		eq->edge->workers.heard_us = now;
	for (i = 0; i < eq->attempt->hop_count; i++) {
		eq->attempt->hops[i].worker->proc.last_event_us = now;
		eq->attempt->hops[i].worker->proc.last_event_run_us = run_us;
		eq->attempt->hops[i].worker->proc.probes_since_event = 0;
	}
}

/* Returns a worker of the chain that is lost and delays the stream, or NULL. */
static struct wk *eq_find_lost_worker(const struct eq *eq, int64_t now)
{
	struct wk *wk;
	int i;

	for (i = 0; i < eq->attempt->hop_count; i++) {
		wk = eq->attempt->hops[i].worker;
		if ((wk->proc.unresponsive || wk->proc.suspected) &&
		    eq_is_stalled_at(eq, wk, now))
			return wk;
		if (eq_is_silent_in_backoff(eq, wk, now))
			return wk;
	}
	return NULL;
}

/* Tells whether a request waits for a plain worker that answers nobody. */
static bool eq_waits_for_plain(const struct eq *eq, int64_t now)
{
	const struct wk *wk;

	if (!eq->attempt->call || eq->attempt->hop_count == 0 ||
	    eq->service->has_engine || eq->attempt->answered)
		return false;
	wk = eq->attempt->hops[0].worker;
	return eq_silence(eq, now) >= EQ_PLAIN_SILENCE_US &&
	       now - wk->proc.answered_us >= EQ_PLAIN_SILENCE_US;
}

/*
 * Tells whether a lookup waits for a worker that this router reaches no more.
 * Its connection may live on without a sign until the request's deadline.
 */
static bool eq_is_stuck_at_plain(const struct eq *eq, int64_t now)
{
	if (!eq->attempt->call || eq->attempt->hop_count == 0 ||
	    eq->attempt->answered || eq->route->kind != RT_IDEMPOTENT ||
	    eq_silence(eq, now) < EQ_PLAIN_LOST_US)
		return false;
	return reach_is_lost(&eq->edge->workers.reach) ||
	       (eq->attempt->hops[0].worker->proc.suspected &&
		eq_waits_for_plain(eq, now));
}

/* Tells whether a stream runs on a chain of ours that is not under repair. */
static bool eq_runs_on_chain(const struct eq *eq)
{
	return eq->attempt->call && eq->attempt->hop_count > 0 && !eq->repair &&
	       eq->service->has_engine;
}

/* Tells whether a worker that seems lost holds up a stream. */
static bool eq_is_stalled_at(const struct eq *eq, const struct wk *wk,
			     int64_t now)
{
	struct stall_stream stream = eq_view(eq, now);
	struct stall_worker worker = { eq_worker_silence(wk, now),
				       wk_is_dead(wk, now) };

	return stall_is_lost(&stream, &worker);
}

static struct stall_stream eq_view(const struct eq *eq, int64_t now)
{
	return (struct stall_stream){
		.silent_us = eq_silence(eq, now),
		.flows = eq->attempt->begun_us != 0,
		.limit_us = eq_silence_limit(eq),
		.longest_us = eq->attempt->longest_run_us,
		.allowed_us = eq_allowed_gap(eq),
	};
}

static int64_t eq_allowed_gap(const struct eq *eq)
{
	return eq->route->max_gap_us > 0 ? eq->route->max_gap_us
					 : EQ_GAP_DEFAULT_US;
}

/* Returns how long this router has run without an event through a worker. */
static int64_t eq_worker_silence(const struct wk *wk, int64_t now)
{
	return run_since(&wk->table->run, wk->proc.last_event_run_us, now);
}

/*
 * Tells whether a worker that may not be probed, because it requested a
 * backoff, has passed no event of any stream for long.
 */
static bool eq_is_silent_in_backoff(const struct eq *eq, const struct wk *wk,
				    int64_t now)
{
	return adv_backs_off(&wk->proc.adv, now) &&
	       eq_silence(eq, now) >= EQ_LONG_SILENCE_US &&
	       eq_worker_silence(wk, now) >= EQ_LONG_SILENCE_US;
}

/* Probes those workers of a stream that may be dead, stuck or slow. */
static void eq_probe(struct eq *eq, int64_t now)
{
	struct ask_stream stream = { eq->attempt->sent_us,
				     now - eq_silence(eq, now),
				     eq_silence_limit(eq),
				     eq->first_event_us != 0 };
	struct ask_worker worker;
	enum ask_reason why;
	struct wk *wk;
	int i;

	for (i = 0; i < eq->attempt->hop_count; i++) {
		wk = eq->attempt->hops[i].worker;
		worker = (struct ask_worker){ now - eq_worker_silence(wk, now),
					      wk->probed_us,
					      wk->proc.slowdown_us,
					      wk->proc.probes_since_event };
		why = ask_worker(&stream, &worker, now);
		if (why == ASK_NONE ||
		    !adv_may_send(&wk->proc.adv, ADV_PROBE, now))
			continue;
		eq->probed_us = now;
		wk->proc.probes_since_event += why == ASK_SILENT;
		wkp_probe(eq->edge, wk, now);
	}
	if (eq_silence(eq, now) < EQ_LONG_SILENCE_US)
		return;
	eq->probed_us = now;
	wkp_probe(eq->edge, eq->attempt->hops[0].worker, now);
}

/* Returns the silence after which the workers of a stream are probed. */
static int64_t eq_silence_limit(const struct eq *eq)
{
	int64_t silence_us =
		(int64_t)((double)eq_allowed_gap(eq) * EQ_SILENCE_FRACTION);

	if (eq->state != EQ_STREAMING || !eq->attempt->answered ||
	    eq->attempt->repaired_us > eq->progress_us)
		return EQ_FIRST_EVENT_SILENCE_US;
	if (eq->event_interval_us * EQ_SILENCE_INTERVALS > silence_us)
		return eq->event_interval_us * EQ_SILENCE_INTERVALS;
	return silence_us;
}

/*
 * Handles a first worker's report of its stalled requests, each with the worker
 * that it waits for.
 */
void eq_on_report(struct edge *edge, struct wk *wk,
		  const struct wire_report *report, int64_t now)
{
	const struct wire_stalled *stalled;
	struct stall_stream stream;
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
		if (!eq || !eq_runs_on_chain(eq) ||
		    eq->attempt->hops[0].worker != wk ||
		    !eq_find_hop(eq, fault) ||
		    eq_silence(eq, now) < EQ_REPORTED_SILENCE_US)
			continue;
		stream = eq_view(eq, now);
		if (stream.silent_us >=
		    stall_limit(&stream, wk_is_dead(fault, now)))
			eq_move(eq, fault, "stalled at a worker", now);
	}
	cds_list_for_each_entry (fault, &edge->workers.workers, node) {
		if (fault->proc.suspected && report->stalled_count > 0)
			eq_on_suspect(edge, fault, now);
	}
}

/* Moves the silent streams off a suspect worker. */
void eq_on_suspect(struct edge *edge, struct wk *wk, int64_t now)
{
	struct eq *eq;
	struct eq *next;

	cds_list_for_each_entry_safe (eq, next, &edge->requests, node) {
		if (!eq_runs_on_chain(eq) || !eq_find_hop(eq, wk) ||
		    !eq_is_stalled_at(eq, wk, now))
			continue;
		eq_move(eq, wk, "on a suspected worker", now);
	}
}

/*
 * Returns how long this router has run since a request was sent or repaired, or
 * had an event.
 */
static int64_t eq_silence(const struct eq *eq, int64_t now)
{
	return run_since(&eq->edge->workers.run, eq->attempt->heard_run_us,
			 now);
}

static struct eq *eq_by_id(struct edge *edge, const char *attempt_id)
{
	struct eq *eq;

	cds_list_for_each_entry (eq, &edge->requests, node) {
		if (eq->request.attempt_id &&
		    strcmp(eq->request.attempt_id, attempt_id) == 0)
			return eq;
	}
	return NULL;
}
