#include <stdlib.h>
#include <string.h>

#include "cnt.h"
#include "core_int.h"
#include "log.h"

/* How long a request waits for a chain for its next attempt. */
#define REQ_READY_TIMEOUT_US (5 * MAG_US_PER_S)
/* Queue heads that one pass may skip per service when no chain can run them. */
#define REQ_SKIPS_MAX 4
/*
 * How long an attempt that may not be repeated may continue after its caller
 * was answered, so that its outcome is still recorded.
 */
#define REQ_SETTLE_GRACE_US (30 * MAG_US_PER_S)

/*
 * Tokens after which a suspect stops blocking the next suspect.  A request
 * that crashes an endpoint does so at its start.  All requests that ran on the
 * endpoint become suspects; if each ran to its end alone, the later ones would
 * miss their deadlines.
 */
#define REQ_SUSPECT_TOKENS 5
/* Tokens after which the measured pace of a stream is reliable. */
#define REQ_PACE_TOKENS 10
/*
 * A stream is abandoned if it needs more than this multiple of the time left.
 */
#define REQ_LATE_FACTOR 1.3

/* Consecutive stalls that a stream may have while every stage responds. */
#define REQ_STALLS_MAX 3

typedef void (*req_handler_fn)(struct core *core, struct core_req *req,
			       void *data);

static void waiting_grant(struct core *core, struct core_req *req, void *data);
static void waiting_caller_gone(struct core *core, struct core_req *req,
				void *data);
static void waiting_deadline(struct core *core, struct core_req *req,
			     void *data);
static void reserving_ledger(struct core *core, struct core_req *req,
			     void *data);
static void reserving_abandon(struct core *core, struct core_req *req,
			      void *data);
static void ready_abandon(struct core *core, struct core_req *req, void *data);
static void running_progress(struct core *core, struct core_req *req,
			     void *data);
static bool will_miss_deadline(const struct core *core,
			       const struct core_req *req);
static bool slowed_by_stage(const struct core *core,
			    const struct core_req *req);
static bool pace_too_slow(const struct core *core, const struct core_req *req,
			  double us_per_token);
static void abandon(struct core *core, struct core_req *req, const char *why);
static void running_abandon(struct core *core, struct core_req *req,
			    void *data);
static void running_stall(struct core *core, struct core_req *req, void *data);
static void cancel_slow_attempt(struct core *core, struct core_req *req);
static void cancelling_progress(struct core *core, struct core_req *req,
				void *data);
static void closing_ledger(struct core *core, struct core_req *req, void *data);
static void closing_deadline(struct core *core, struct core_req *req,
			     void *data);
static void ignore_event(struct core *core, struct core_req *req, void *data);
static void dispatch_reserved(struct core *core, struct core_req *req);
static void check_deadlines(struct core *core, struct core_req *req);

/*
 * The transition table of a request.  A pair that cannot occur, or that
 * arrives too late to change anything, is ignored.
 */
static const req_handler_fn req_table[REQ_STATE_COUNT][REQ_EV_COUNT] = {
	[REQ_WAITING] = {
		[REQ_EV_GRANT] = waiting_grant,
		[REQ_EV_LEDGER] = ignore_event,
		[REQ_EV_PROGRESS] = ignore_event,
		[REQ_EV_ENDED] = ignore_event,
		[REQ_EV_CALLER_GONE] = waiting_caller_gone,
		[REQ_EV_DEADLINE] = waiting_deadline,
		[REQ_EV_STALL] = ignore_event,
	},
	[REQ_RESERVING] = {
		[REQ_EV_GRANT] = ignore_event,
		[REQ_EV_LEDGER] = reserving_ledger,
		[REQ_EV_PROGRESS] = ignore_event,
		[REQ_EV_ENDED] = ignore_event,
		[REQ_EV_CALLER_GONE] = reserving_abandon,
		[REQ_EV_DEADLINE] = reserving_abandon,
		[REQ_EV_STALL] = ignore_event,
	},
	[REQ_READY] = {
		[REQ_EV_GRANT] = ignore_event,
		[REQ_EV_LEDGER] = ignore_event,
		[REQ_EV_PROGRESS] = ignore_event,
		[REQ_EV_ENDED] = ignore_event,
		[REQ_EV_CALLER_GONE] = ready_abandon,
		[REQ_EV_DEADLINE] = ready_abandon,
		[REQ_EV_STALL] = ready_abandon,
	},
	[REQ_RUNNING] = {
		[REQ_EV_GRANT] = ignore_event,
		[REQ_EV_LEDGER] = ignore_event,
		[REQ_EV_PROGRESS] = running_progress,
		[REQ_EV_ENDED] = req_running_ended,
		[REQ_EV_CALLER_GONE] = running_abandon,
		[REQ_EV_DEADLINE] = running_abandon,
		[REQ_EV_STALL] = running_stall,
	},
	[REQ_CANCELLING] = {
		[REQ_EV_GRANT] = ignore_event,
		[REQ_EV_LEDGER] = ignore_event,
		[REQ_EV_PROGRESS] = cancelling_progress,
		[REQ_EV_ENDED] = req_cancelling_ended,
		[REQ_EV_CALLER_GONE] = running_abandon,
		[REQ_EV_DEADLINE] = running_abandon,
		[REQ_EV_STALL] = ignore_event,
	},
	[REQ_CLOSING] = {
		[REQ_EV_GRANT] = ignore_event,
		[REQ_EV_LEDGER] = closing_ledger,
		[REQ_EV_PROGRESS] = ignore_event,
		[REQ_EV_ENDED] = req_closing_ended,
		[REQ_EV_CALLER_GONE] = ignore_event,
		[REQ_EV_DEADLINE] = closing_deadline,
		[REQ_EV_STALL] = ignore_event,
	},
};

/* Calls the handler for an event in the request's state. */
void req_handle(struct core *core, struct core_req *req, enum req_event event,
		void *data)
{
	req_table[req->state][event](core, req, data);
}

/*
 * Tries to dispatch each request that waits only for a chain, oldest first.  If
 * no other endpoints are left, those that were silent may serve it as soon as
 * they respond again.
 */
void req_ready_system(struct core *core)
{
	struct core_req *req, *next;
	struct pick_chain chain;
	int rc;

	cds_list_for_each_entry_safe (req, next, &core->ready, ready_node) {
		rc = req_choose_chain(core, req, &chain);
		if (rc == PICK_OK)
			req_dispatch(core, req, &chain);
		else if (rc == PICK_E_NO_CHAIN && req->attempt == 0)
			req_handle(core, req, REQ_EV_STALL, NULL);
		else if (rc == PICK_E_NO_CHAIN)
			req_forget_silent(req);
	}
}

/* Starts requests in admission's order while chains are free for them. */
void req_admit_system(struct core *core)
{
	struct core_req *req;
	struct pick_chain chain;
	uint64_t id;
	int service;
	int skips;
	int rc;

	for (service = 0; core->set && service < (int)core->set->service_count;
	     service++) {
		skips = 0;
		while (skips < REQ_SKIPS_MAX &&
		       adm_peek(core->adm, service, &id)) {
			req = core_find(core, id);
			if (!req) {
				adm_drop(core->adm, id, core->now);
				continue;
			}
			rc = req_choose_chain(core, req, &chain);
			if (rc == PICK_E_BUSY) {
				adm_skip(core->adm, service);
				skips++;
				continue;
			}
			req_handle(core, req, REQ_EV_GRANT,
				   rc == PICK_OK ? &chain : NULL);
		}
	}
}

/*
 * Fires the deadlines that have passed and computes the next one.  The table
 * is scanned only when some deadline is due.
 */
void req_deadline_system(struct core *core)
{
	struct core_req *req, *next;
	uint64_t id;

	while (adm_next_expired(core->adm, core->now, &id)) {
		req = core_find(core, id);
		if (req)
			req_handle(core, req, REQ_EV_DEADLINE, NULL);
	}
	if (core->now < core->next_deadline_us)
		return;
	core->next_deadline_us = MAG_NEVER;
	cds_list_for_each_entry_safe (req, next, &core->all, all_node) {
		check_deadlines(core, req);
	}
}

/* Fires the deadlines of one request and schedules its next one. */
static void check_deadlines(struct core *core, struct core_req *req)
{
	uint64_t id = req->arrival.req;

	if (req->deadline_us <= core->now)
		req_handle(core, req, REQ_EV_DEADLINE, NULL);
	else if (req->stall_deadline_us <= core->now ||
		 req->ready_deadline_us <= core->now)
		req_handle(core, req, REQ_EV_STALL, NULL);
	req = core_find(core, id);
	if (!req)
		return;
	core_schedule_tick(core, req->deadline_us);
	core_schedule_tick(core, req->stall_deadline_us);
	core_schedule_tick(core, req->ready_deadline_us);
}

/* Admission selected the request: reserve its record or dispatch it. */
static void waiting_grant(struct core *core, struct core_req *req, void *data)
{
	adm_start(core->adm, req->arrival.req, core->now);
	shr_add(core->shr, req->account, req->service, SHR_ADMITTED);
	if (!data) {
		req_refuse(core, req, 503, req_outcome(req),
			   req_retry_after(core, req), "no endpoint");
		adm_done(core->adm, req->arrival.req, 0, core->now);
		core_req_free(core, req);
		return;
	}
	if (req->keyed) {
		req_hold_chain(core, req, data);
		req_reserve(core, req);
		return;
	}
	req_dispatch(core, req, data);
}

static void waiting_caller_gone(struct core *core, struct core_req *req,
				void *data)
{
	(void)data;
	adm_drop(core->adm, req->arrival.req, core->now);
	req_refuse(core, req, 499, req_outcome(req), 0, "caller gone");
	core_req_free(core, req);
}

static void waiting_deadline(struct core *core, struct core_req *req,
			     void *data)
{
	(void)data;
	adm_drop(core->adm, req->arrival.req, core->now);
	req_refuse(core, req, 504, req_outcome(req), req_retry_after(core, req),
		   "deadline passed in queue");
	core_req_free(core, req);
}

/* Handles the ledger's verdict on the request's key. */
static void reserving_ledger(struct core *core, struct core_req *req,
			     void *data)
{
	struct ldg_result *result = data;

	switch (result->verdict) {
	case LDG_TAKEN_OVER:
		req->taken_over = true;
		/* fall through */
	case LDG_DISPATCH:
		req->reserved = true;
		dispatch_reserved(core, req);
		return;
	case LDG_REPLAY:
		req_replay(core, req, result);
		break;
	case LDG_IN_PROGRESS:
		req_refuse(core, req, 409, MAG_UNKNOWN, 1, "in progress");
		break;
	case LDG_AMBIGUOUS:
		req_refuse(core, req, 409, MAG_UNKNOWN, 0,
			   "an earlier attempt may have run");
		break;
	case LDG_MISMATCH:
		req_refuse(core, req, 422, MAG_UNKNOWN, 0,
			   "the key stands for another body");
		break;
	case LDG_NOT_RUN:
		req_refuse(core, req, 503, MAG_NOT_RUN,
			   req_retry_after(core, req), "records unreachable");
		break;
	case LDG_UNKNOWN:
		req_refuse(core, req, 503, MAG_UNKNOWN,
			   req_retry_after(core, req), "records unreachable");
		break;
	}
	req_release_chain(core, req);
	adm_done(core->adm, req->arrival.req, 0, core->now);
	core_req_free(core, req);
}

/*
 * The caller is answered while the compare-and-swap of the reservation is
 * pending.  It may still succeed, so not-run cannot be claimed; closing_ledger
 * then releases the reservation.
 */
static void reserving_abandon(struct core *core, struct core_req *req,
			      void *data)
{
	(void)data;
	req_refuse(core, req, 504, MAG_UNKNOWN, req_retry_after(core, req),
		   "deadline passed while reserving");
	req_release_chain(core, req);
	req->deadline_us = core->now + REQ_SETTLE_GRACE_US;
	core_schedule_tick(core, req->deadline_us);
	req_enter(req, REQ_CLOSING);
}

/* The record is reserved: dispatch to the chain held for the request. */
static void dispatch_reserved(struct core *core, struct core_req *req)
{
	int i;

	for (i = 0; i < req->chain.count; i++) {
		if (!pick_is_usable(core->pick, req->chain.stages[i].endpoint,
				    core->now)) {
			/* An endpoint failed or began to leave meanwhile. */
			req_release_chain(core, req);
			req_enter_ready(core, req);
			return;
		}
	}
	req_dispatch(core, req, &req->chain);
}

/* Refuses a request for which no chain became free in time. */
static void ready_abandon(struct core *core, struct core_req *req, void *data)
{
	(void)data;
	req_refuse(core, req, 503, req_outcome(req), req_retry_after(core, req),
		   "no endpoint in time");
	req_finish_record(core, req);
	adm_done(core->adm, req->arrival.req, req->tokens, core->now);
	core_req_free(core, req);
}

static void running_progress(struct core *core, struct core_req *req,
			     void *data)
{
	const struct core_progress *progress = data;

	if (!req->first_token_us)
		req->first_token_us = core->now;
	req->tokens = progress->tokens;
	req->stalls = 0;
	req->stall_deadline_us = core->now + core->settings.progress_timeout_us;
	core_schedule_tick(core, req->stall_deadline_us);
	memcpy(req->hop_us, progress->hop_us, sizeof(req->hop_us));
	pick_add_hop_times(core->pick, &req->chain, progress->hop_us,
			   progress->hop_count, core->now);
	if (req->chain.alone &&
	    req->tokens - req->tokens_before_attempt >= REQ_SUSPECT_TOKENS)
		pick_release_suspect(core->pick, &req->chain);
	if (!req->idempotent)
		return;
	if (slowed_by_stage(core, req))
		cancel_slow_attempt(core, req);
	else if (will_miss_deadline(core, req))
		abandon(core, req, "too slow for its deadline");
}

/*
 * Tells whether a stream is too slow to complete by its deadline.  It would
 * only occupy endpoints that other requests could use in time.  After the loss
 * of an endpoint, when more streams run than the remaining ones can serve,
 * most streams would otherwise miss their deadlines by a little.
 */
static bool will_miss_deadline(const struct core *core,
			       const struct core_req *req)
{
	uint32_t received = req->tokens - req->tokens_before_attempt;
	int64_t elapsed_us = core->now - req->first_token_us;

	if (received < REQ_PACE_TOKENS)
		return false;
	return pace_too_slow(core, req, (double)elapsed_us / received);
}

/*
 * Tells whether a stream would miss its deadline because a stage of its chain
 * became slow; on another chain it can still be in time.
 */
static bool slowed_by_stage(const struct core *core, const struct core_req *req)
{
	double pace = 0;
	int i;

	if (req->attempt >= CORE_ATTEMPTS_MAX ||
	    pick_find_degraded_stage(core->pick, &req->chain) < 0)
		return false;
	for (i = 0; i < req->chain.count; i++)
		pace += req->hop_us[i];
	return pace_too_slow(core, req, pace);
}

/* Tells whether a pace is too slow for an answer in time. */
static bool pace_too_slow(const struct core *core, const struct core_req *req,
			  double us_per_token)
{
	double tokens = adm_expected_tokens(core->adm, req->service,
					    req->arrival.max_tokens);
	int64_t remaining_us = req->deadline_us - core->now;

	return (tokens - req->tokens) * us_per_token >
	       REQ_LATE_FACTOR * (double)remaining_us;
}

/*
 * The deadline passed or the caller disconnected.  Repeatable work is
 * cancelled.  A non-idempotent attempt continues for a while, because only its
 * end can change the record from ambiguous to settled.
 */
static void running_abandon(struct core *core, struct core_req *req, void *data)
{
	(void)data;
	abandon(core, req, "deadline passed");
}

static void abandon(struct core *core, struct core_req *req, const char *why)
{
	req_refuse(core, req, 504, req_outcome(req), req_retry_after(core, req),
		   why);
	if (req->reserved)
		ldg_mark_ambiguous(core->ldg, req->arrival.req, core->now);
	else
		req_cancel(core, req, false);
	req->deadline_us = core->now + REQ_SETTLE_GRACE_US;
	core_schedule_tick(core, req->deadline_us);
	req_enter(req, REQ_CLOSING);
}

/*
 * No progress in time.  A hung endpoint keeps the connection open and sends
 * nothing; so does an endpoint at which the stream only waits in a queue.
 * Moving a queued stream would add work to an overloaded system, so the stages
 * are probed first.
 */
static void running_stall(struct core *core, struct core_req *req, void *data)
{
	(void)data;
	if (!req->idempotent)
		return;
	req_cancel(core, req, true);
	req_enter(req, REQ_CANCELLING);
}

/* Cancels an attempt whose chain has become too slow for it. */
static void cancel_slow_attempt(struct core *core, struct core_req *req)
{
	req_cancel(core, req, false);
	req_enter(req, REQ_CANCELLING);
}

/*
 * Every stage of a stalled stream responded to the probe, so the stream
 * continues to wait.  If the stages respond but produce nothing, the attempt
 * is cancelled after more than REQ_STALLS_MAX consecutive stalls.
 */
static void cancelling_progress(struct core *core, struct core_req *req,
				void *data)
{
	const struct core_progress *progress = data;
	int64_t timeout_us = core->settings.progress_timeout_us;

	if (!progress->stages_alive)
		return;
	if (++req->stalls > REQ_STALLS_MAX) {
		req_cancel(core, req, false);
		return;
	}
	if (!req->first_token_us)
		timeout_us = core->settings.first_token_timeout_us;
	req_enter(req, REQ_RUNNING);
	req->stall_deadline_us = core->now + timeout_us;
	core_schedule_tick(core, req->stall_deadline_us);
}

/* The reservation succeeded after the caller was answered; nothing was sent. */
static void closing_ledger(struct core *core, struct core_req *req, void *data)
{
	const struct ldg_result *result = data;

	if (result->verdict == LDG_DISPATCH)
		ldg_release(core->ldg, req->arrival.req, core->now);
	else if (result->verdict == LDG_TAKEN_OVER)
		ldg_mark_ambiguous(core->ldg, req->arrival.req, core->now);
	adm_done(core->adm, req->arrival.req, 0, core->now);
	core_req_free(core, req);
}

/* The endpoint never ended the attempt, so the record stays ambiguous. */
static void closing_deadline(struct core *core, struct core_req *req,
			     void *data)
{
	(void)data;
	req_cancel(core, req, false);
	req->deadline_us = MAG_NEVER;
}

static void ignore_event(struct core *core, struct core_req *req, void *data)
{
	(void)core;
	(void)req;
	(void)data;
}

/* Changes the state and clears the deadlines of the previous state. */
void req_enter(struct core_req *req, enum req_state state)
{
	cds_list_del_init(&req->ready_node);
	req->stall_deadline_us = MAG_NEVER;
	req->ready_deadline_us = MAG_NEVER;
	req->state = state;
}

void req_enter_ready(struct core *core, struct core_req *req)
{
	req_enter(req, REQ_READY);
	req->ready_deadline_us = core->now + REQ_READY_TIMEOUT_US;
	core_schedule_tick(core, req->ready_deadline_us);
	cds_list_add_tail(&req->ready_node, &core->ready);
}
