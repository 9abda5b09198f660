#include <stdio.h>
#include <string.h>

#include "clk.h"
#include "eq.h"
#include "hint.h"
#include "jlog.h"

/* Requests that wait for a worker, and when refused callers may retry. */

/*
 * Interval between attempts to place waiting requests.  Each attempt considers
 * all workers, which takes a millisecond with 3,000 of them.
 */
#define EQ_WAIT_RETRY_US (25 * MAG_US_PER_MS)
/* Retry-After for a caller that another router can accept at once. */
#define EQ_RETRY_ELSEWHERE_S 0.05
/*
 * Shortest Retry-After for a caller whose request met a faulty worker; the
 * longest is twice as long.  By then the worker receives no new requests and
 * its reports have arrived.
 */
#define EQ_RETRY_SOON_S 0.25
/*
 * Shortest Retry-After for a caller whose request is quarantined in doubt; the
 * longest is twice as long.  By then single requests have mostly decided it.
 */
#define EQ_RETRY_TRIED_S 1.5
/* Upper limit of Retry-After, as a fraction of the caller's remaining time. */
#define EQ_RETRY_FRACTION 0.32
/*
 * Time that a request waits for a free worker, as a fraction of its route's
 * latency target.  After that, another router or a later retry serves it
 * better.
 */
#define EQ_WAIT_FRACTION 0.5
/*
 * Waiting time of a request that is already late.  Its caller would otherwise
 * only retry even later, and it abandons a stream without a first event after
 * two seconds.
 */
#define EQ_LATE_WAIT_US (1200 * MAG_US_PER_MS)
/*
 * Callers leave a stream after a silence of this long, of so many times its
 * route's latency target, or of so many times its allowed gap, whichever is
 * longest.
 */
#define EQ_LEAVE_US	 (2 * MAG_US_PER_S)
#define EQ_LEAVE_TARGETS 4
#define EQ_LEAVE_GAPS	 8
/*
 * Fraction of that time for which a stream that has begun waits for a chain on
 * which to resume, and a request that may have run for a worker that repeats
 * it: the rest is for the chain to read the prompt.
 */
#define EQ_RESUME_FRACTION 0.75
/*
 * Time that a ranked request waits without an estimate of its turn, as a
 * fraction of its route's latency target: more of it would be missed by the
 * caller's next attempt.
 */
#define EQ_GRACE_FRACTION 0.125
/* Room counts as short for this long after a request has found none. */
#define EQ_SHORT_US MAG_US_PER_S
/*
 * Requests of a queue that are tried at a time without finding room, whether
 * they then wait or are refused.  Those behind them are as or less urgent and
 * would rarely find any.
 */
#define EQ_QUEUE_MISSES_MAX 4
/* Interval between log lines on a lack of workers. */
#define EQ_NO_WORKER_LOG_US MAG_US_PER_S

static void eq_dispatch_waiting(struct edge *edge, int64_t now);
static void eq_dispatch_queue(struct edge_service *service, int64_t now);
static void eq_join_queue(struct eq *eq, int64_t now);
static void eq_wait_in_queue(struct eq *eq, enum eq_choice choice, int64_t now);
static int64_t eq_wait_us(const struct eq *eq);
static int64_t eq_repeat_wait_us(const struct eq *eq);
static bool eq_is_queued(const struct eq *eq);
static bool eq_is_short(const struct edge_service *service, int64_t now);
static void eq_log_no_worker(const struct eq *eq, int64_t now);
static double eq_retry_late_s(const struct eq *eq, enum eq_retry retry,
			      double spread, int64_t now);

/* Retries the placement of waiting requests from time to time. */
void eq_wait_tick(struct edge *edge, int64_t now)
{
	if (now < edge->next_wait_retry_us)
		return;
	edge->next_wait_retry_us = now + EQ_WAIT_RETRY_US;
	eq_dispatch_waiting(edge, now);
}

/*
 * Retries the placement of waiting requests, including streams waiting to
 * resume, and takes those back that turn out to crash workers before they
 * begin.
 */
static void eq_dispatch_waiting(struct edge *edge, int64_t now)
{
	struct edge_service *service;
	struct eq *eq;
	struct eq *next;

	cds_list_for_each_entry_safe (eq, next, &edge->requests, node) {
		if (!eq->attempt->call && !eq_is_queued(eq))
			eq_dispatch(eq, now);
		else if (eq->attempt->call && !eq->attempt->ran_well)
			eq_refuse_quarantined(eq, now);
	}
	cds_list_for_each_entry (service, &edge->services, node)
		eq_dispatch_queue(service, now);
}

/*
 * Retries the placement of the requests of a queue, in its order.  Those that
 * have no more turn in time are refused.
 */
static void eq_dispatch_queue(struct edge_service *service, int64_t now)
{
	struct wq_entry *entry = wq_first(&service->wq);
	struct wq_entry *next;
	struct eq *eq;
	int misses = 0;

	for (; entry; entry = next) {
		next = wq_next(&service->wq, entry);
		eq = caa_container_of(entry, struct eq, wait);
		if (misses < EQ_QUEUE_MISSES_MAX)
			misses += eq_dispatch(eq, now);
		else
			eq_wait_in_queue(eq, EQ_BUSY, now);
	}
}

/*
 * Tells whether a request goes to the queue without a try, because others that
 * wait go first; also one that a worker has refused.  One that may have run is
 * tried: its refusal would cost the caller the answer.  While this router does
 * not know what others hold, only the most urgent ones are tried.
 */
bool eq_must_queue(const struct eq *eq, int64_t now)
{
	if (!eq_is_ranked(eq) || eq->state != EQ_WAITING || eq->may_have_run ||
	    eq->ran_elsewhere)
		return false;
	if (eq->wait.rank > 0 && hint_is_behind(eq->edge->hint, now))
		return true;
	return !eq_is_queued(eq) &&
	       wq_has_ahead(&eq_edge_service(eq, now)->wq, &eq->wait);
}

/* Notes that a request has found room and takes it from its queue. */
void eq_note_placed(struct eq *eq, int64_t now)
{
	struct edge_service *service;

	if (!eq_is_ranked(eq))
		return;
	service = eq_edge_service(eq, now);
	if (eq->sends == 0 && eq->unsent == 0 && eq_is_short(service, now)) {
		if (!eq_is_queued(eq))
			wq_arrived(&service->wq, &eq->wait);
		wq_started(&service->wq, now);
	}
	eq_leave_queue(eq, now);
}

/* Takes a request from its queue, if it is there. */
void eq_leave_queue(struct eq *eq, int64_t now)
{
	struct met_urgent_key key;

	if (!eq_is_queued(eq))
		return;
	key = eq_met_key(eq);
	met_urgent_wait_ended(&eq->edge->met_urgent, &key);
	wq_remove(&eq_edge_service(eq, now)->wq, &eq->wait);
}

/* Adds a request to its queue, unless it is there. */
static void eq_join_queue(struct eq *eq, int64_t now)
{
	struct met_urgent_key key;

	if (eq_is_queued(eq))
		return;
	key = eq_met_key(eq);
	met_urgent_wait_began(&eq->edge->met_urgent, &key);
	wq_add(&eq_edge_service(eq, now)->wq, &eq->wait);
}

/*
 * Leaves a ranked request in its queue while its turn comes in time, else
 * refuses it.
 */
static void eq_wait_in_queue(struct eq *eq, enum eq_choice choice, int64_t now)
{
	struct edge_service *service = eq_edge_service(eq, now);

	if (choice != EQ_NO_WORKER)
		service->short_us = now;
	if (eq_may_send_again(eq) &&
	    wq_may_wait(&service->wq, &eq->wait, now)) {
		eq_join_queue(eq, now);
		return;
	}
	eq_refuse(eq, 503, EQ_RETRY_LATER, "no room in time");
}

/*
 * Leaves an unplaced request waiting while that can help, else ends it.  One
 * that may have run waits as long as a stream that has begun, because there is
 * no refusal for it, but not at a peer, whose router has other ways.
 */
void eq_on_unplaced(struct eq *eq, enum eq_choice choice, int64_t now)
{
	static const char *const whys[] = {
		[EQ_BUSY] = "all workers busy",
		[EQ_NO_CROSSING] = "no crossing between data centres left",
		[EQ_NO_WORKER] = "no worker",
	};

	if (eq->state == EQ_STREAMING) {
		if (now - eq->progress_us > eq_repeat_wait_us(eq))
			eq_fail(eq, 502, "no chain to go on");
		return;
	}
	eq_wait_until(eq, now);
	if (eq->may_have_run && !eq->waits_to_repeat) {
		eq->waits_to_repeat = true;
		eq->wait_until_us =
			now + (eq->is_forwarded ? eq_wait_us(eq)
						: eq_repeat_wait_us(eq));
	}
	eq->backoff_end_us = eq_backoff_end(eq, now);
	if (eq->backoff_end_us > eq->wait_until_us) {
		eq_refuse(eq, 503, EQ_RETRY_BACKOFF, "workers back off");
		return;
	}
	if (now < eq->wait_until_us && eq_may_send_again(eq)) {
		if (choice != EQ_NO_WORKER && eq_is_ranked(eq) &&
		    !eq->may_have_run && !eq->ran_elsewhere)
			eq_wait_in_queue(eq, choice, now);
		else
			eq_leave_queue(eq, now);
		return;
	}
	if (choice == EQ_NO_WORKER)
		eq_log_no_worker(eq, now);
	eq_refuse(eq, 503, EQ_RETRY_LATER, whys[choice]);
}

/* Returns how long a request that has begun or may have run waits. */
static int64_t eq_repeat_wait_us(const struct eq *eq)
{
	int64_t leave_us = EQ_LEAVE_US;

	if (eq->route->target_us * EQ_LEAVE_TARGETS > leave_us)
		leave_us = eq->route->target_us * EQ_LEAVE_TARGETS;
	if (eq->route->max_gap_us * EQ_LEAVE_GAPS > leave_us)
		leave_us = eq->route->max_gap_us * EQ_LEAVE_GAPS;
	return (int64_t)((double)leave_us * EQ_RESUME_FRACTION);
}

/* Returns until when a request waits for a worker, from the first try on. */
int64_t eq_wait_until(struct eq *eq, int64_t now)
{
	if (!eq->wait_until_us)
		eq->wait_until_us = now + eq_wait_us(eq);
	return eq->wait_until_us;
}

/* Returns how long a request waits for a worker at the most. */
static int64_t eq_wait_us(const struct eq *eq)
{
	if (eq->service->has_engine && eq->arrived_us >= eq->target_deadline_us)
		return EQ_LATE_WAIT_US;
	return (int64_t)((double)eq->route->target_us * EQ_WAIT_FRACTION);
}

/* Sets the times that decide how long a ranked request waits. */
void eq_set_wait(struct eq *eq, int64_t now)
{
	eq->wait.since_us = now;
	eq->wait.start_by_us = now + eq_wait_us(eq);
	eq->wait.grace_until_us = now + (int64_t)((double)eq->route->target_us *
						  EQ_GRACE_FRACTION);
	if (!eq->wait_until_us)
		return;
	/* The router that forwarded it says how long it waits here. */
	if (eq->wait.start_by_us > eq->wait_until_us)
		eq->wait.start_by_us = eq->wait_until_us;
	if (eq->wait.grace_until_us > eq->wait_until_us)
		eq->wait.grace_until_us = eq->wait_until_us;
}

static bool eq_is_queued(const struct eq *eq)
{
	return eq->wait.node.next != &eq->wait.node;
}

/* Tells whether a request of the service has lately found no room. */
static bool eq_is_short(const struct edge_service *service, int64_t now)
{
	return service->short_us && now - service->short_us < EQ_SHORT_US;
}

/*
 * Tells whether a request that has begun or may have run waits for the retry
 * budget, which refills as requests come.  Ends it if that has taken too long.
 */
bool eq_waits_for_budget(struct eq *eq, int64_t now)
{
	if ((eq->state != EQ_STREAMING && !eq->may_have_run) ||
	    eq->sends == 0 ||
	    bud_may_retry(edge_budget(eq->edge, eq->service->name, now), now))
		return false;
	if (now - eq->progress_us > eq_repeat_wait_us(eq))
		eq_fail(eq, 502, "retry budget spent");
	return true;
}

/* Logs why no worker of a service is usable, from time to time. */
static void eq_log_no_worker(const struct eq *eq, int64_t now)
{
	struct wk_barred barred = { 0 };
	struct edge *edge = eq->edge;
	const struct wk *wk;

	if (now < edge->next_no_worker_log_us)
		return;
	edge->next_no_worker_log_us = now + EQ_NO_WORKER_LOG_US;
	cds_list_for_each_entry (wk, &edge->workers.workers, node) {
		if (strcmp(wk->entry.service, eq->service->name) == 0)
			wk_count_barred(wk, &barred, now);
	}
	jlog(LOG_EQ_NO_WORKER,
	     "\"service\":\"%s\",\"alive\":%d,\"suspected\":%d,"
	     "\"hearsay\":%d,\"paused\":%d,\"overdue\":%d",
	     eq->service->name, barred.alive, barred.suspected, barred.hearsay,
	     barred.paused, barred.overdue);
}

/* Writes the Retry-After field. */
void eq_write_retry_after(const struct eq *eq, enum eq_retry retry,
			  char *fields, size_t size)
{
	double spread = (double)(edge_random(eq->edge) % 1000) / 1000;
	double wait_s = 0;

	fields[0] = '\0';
	switch (retry) {
	case EQ_RETRY_NEVER:
		return;
	case EQ_RETRY_ELSEWHERE:
		wait_s = EQ_RETRY_ELSEWHERE_S;
		break;
	case EQ_RETRY_SOON:
		wait_s = EQ_RETRY_SOON_S * (1 + spread);
		break;
	case EQ_RETRY_TRIED:
		wait_s = EQ_RETRY_TRIED_S * (1 + spread);
		break;
	case EQ_RETRY_BACKOFF:
	case EQ_RETRY_LATER:
		wait_s = eq_retry_late_s(eq, retry, spread, clk_boot_us());
		break;
	}
	snprintf(fields, size, "Retry-After: %.2f\r\n", wait_s);
}

/*
 * Returns how long a caller waits (seconds) before load has drained or backoffs
 * of workers have ended.  Load drains as streams end, over some seconds; a
 * caller that retries sooner is refused again and gives up.  Callers accept a
 * wait of up to a third of their remaining time.  The wait is drawn from the
 * upper half of that range, which also spreads the retries.
 */
static double eq_retry_late_s(const struct eq *eq, enum eq_retry retry,
			      double spread, int64_t now)
{
	int64_t limit_ms = eq->request.timeout_ms;
	double backoff_s;
	double max_s;

	if (limit_ms <= 0)
		limit_ms = eq->route ? eq->route->timeout_us / MAG_US_PER_MS
				     : 1000;
	max_s = ((double)limit_ms / 1000 -
		 (double)(now - eq->arrived_us) / MAG_US_PER_S) *
		EQ_RETRY_FRACTION;
	backoff_s = (double)(eq->backoff_end_us - now) / MAG_US_PER_S +
		    EQ_RETRY_SOON_S * spread;
	if (retry == EQ_RETRY_BACKOFF && backoff_s < max_s)
		return backoff_s;
	if (retry == EQ_RETRY_LATER && eq_is_ranked(eq))
		return wq_return_s(&eq_edge_service(eq, now)->wq, max_s, spread,
				   now);
	max_s *= 0.5 + 0.5 * spread;
	return max_s > EQ_RETRY_ELSEWHERE_S ? max_s : EQ_RETRY_ELSEWHERE_S;
}
