#include <stdlib.h>
#include <string.h>

#include "cnt.h"
#include "core_int.h"
#include "log.h"

/* How long a request that has begun waits for a chain to go on with. */
#define REQ_READY_PATIENCE_US (5 * MAG_US_PER_S)
/* Heads of queues that a service may pass over when the first can't start. */
#define REQ_SKIPS_MAX 4
/* How long an attempt that may not be repeated may go on after its caller
 * was answered, so that its outcome still gets into the record. */
#define REQ_SETTLE_GRACE_US (30 * MAG_US_PER_S)

/* Tokens after which a suspect makes way for the next one.  What crashes
 * an endpoint does so when it begins; and there are as many suspects as ran
 * on the endpoint, who would miss their deadlines one behind the other. */
#define REQ_PROOF_TOKENS 5
/* Tokens after which the pace of a stream is known well enough. */
#define REQ_PACE_TOKENS 10
/* A stream that would take so many times what is left is given up. */
#define REQ_HOPELESS 1.3

/* Stalls in a row that a stream may have while every stage is alive. */
#define REQ_STALLS_MAX 3

typedef void (*req_handler_fn)(struct core *core, struct core_req *req,
			       void *data);

static void waiting_grant(struct core *core, struct core_req *req, void *data);
static void waiting_gone(struct core *core, struct core_req *req, void *data);
static void waiting_deadline(struct core *core, struct core_req *req,
			     void *data);
static void reserving_ledger(struct core *core, struct core_req *req,
			     void *data);
static void reserving_leave(struct core *core, struct core_req *req,
			    void *data);
static void ready_leave(struct core *core, struct core_req *req, void *data);
static void running_progress(struct core *core, struct core_req *req,
			     void *data);
static bool hopeless(const struct core *core, const struct core_req *req);
static bool slowed_down(const struct core *core, const struct core_req *req);
static bool too_slow(const struct core *core, const struct core_req *req,
		     double us_per_token);
static void leave(struct core *core, struct core_req *req, const char *why);
static void running_leave(struct core *core, struct core_req *req, void *data);
static void running_stall(struct core *core, struct core_req *req, void *data);
static void move_away(struct core *core, struct core_req *req);
static void cancelling_progress(struct core *core, struct core_req *req,
				void *data);
static void closing_ledger(struct core *core, struct core_req *req, void *data);
static void closing_deadline(struct core *core, struct core_req *req,
			     void *data);
static void ignore(struct core *core, struct core_req *req, void *data);
static void dispatch_held(struct core *core, struct core_req *req);
static void check_due(struct core *core, struct core_req *req);

/*
 * The whole life of a request.  A pair that can't occur, or that changes
 * nothing because it comes late, is ignored.
 */
static const req_handler_fn req_table[REQ_STATE_COUNT][REQ_EV_COUNT] = {
	[REQ_WAITING] = {
		[REQ_EV_GRANT] = waiting_grant,
		[REQ_EV_LEDGER] = ignore,
		[REQ_EV_PROGRESS] = ignore,
		[REQ_EV_ENDED] = ignore,
		[REQ_EV_GONE] = waiting_gone,
		[REQ_EV_DEADLINE] = waiting_deadline,
		[REQ_EV_STALL] = ignore,
	},
	[REQ_RESERVING] = {
		[REQ_EV_GRANT] = ignore,
		[REQ_EV_LEDGER] = reserving_ledger,
		[REQ_EV_PROGRESS] = ignore,
		[REQ_EV_ENDED] = ignore,
		[REQ_EV_GONE] = reserving_leave,
		[REQ_EV_DEADLINE] = reserving_leave,
		[REQ_EV_STALL] = ignore,
	},
	[REQ_READY] = {
		[REQ_EV_GRANT] = ignore,
		[REQ_EV_LEDGER] = ignore,
		[REQ_EV_PROGRESS] = ignore,
		[REQ_EV_ENDED] = ignore,
		[REQ_EV_GONE] = ready_leave,
		[REQ_EV_DEADLINE] = ready_leave,
		[REQ_EV_STALL] = ready_leave,
	},
	[REQ_RUNNING] = {
		[REQ_EV_GRANT] = ignore,
		[REQ_EV_LEDGER] = ignore,
		[REQ_EV_PROGRESS] = running_progress,
		[REQ_EV_ENDED] = req_running_ended,
		[REQ_EV_GONE] = running_leave,
		[REQ_EV_DEADLINE] = running_leave,
		[REQ_EV_STALL] = running_stall,
	},
	[REQ_CANCELLING] = {
		[REQ_EV_GRANT] = ignore,
		[REQ_EV_LEDGER] = ignore,
		[REQ_EV_PROGRESS] = cancelling_progress,
		[REQ_EV_ENDED] = req_cancelling_ended,
		[REQ_EV_GONE] = running_leave,
		[REQ_EV_DEADLINE] = running_leave,
		[REQ_EV_STALL] = ignore,
	},
	[REQ_CLOSING] = {
		[REQ_EV_GRANT] = ignore,
		[REQ_EV_LEDGER] = closing_ledger,
		[REQ_EV_PROGRESS] = ignore,
		[REQ_EV_ENDED] = req_closing_ended,
		[REQ_EV_GONE] = ignore,
		[REQ_EV_DEADLINE] = closing_deadline,
		[REQ_EV_STALL] = ignore,
	},
};

/* Runs the handler that the table names for a request's state. */
void req_handle(struct core *core, struct core_req *req, enum req_event event,
		void *data)
{
	req_table[req->state][event](core, req, data);
}

/* Tries every request that only lacks a chain, oldest first. */
void req_ready_system(struct core *core)
{
	struct core_req *req, *next;
	struct pick_chain chain;
	int rc;

	cds_list_for_each_entry_safe (req, next, &core->ready, ready_node) {
		rc = req_choose(core, req, &chain);
		if (rc == PICK_OK)
			req_dispatch(core, req, &chain);
		else if (rc == PICK_E_NONE && req->attempt == 0)
			req_handle(core, req, REQ_EV_STALL, NULL);
	}
}

/* Starts what admission puts first, while there are chains for it. */
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
			rc = req_choose(core, req, &chain);
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
 * Ends the waiting of requests whose stored deadline has passed, and finds
 * the next one.  The table is only walked when some deadline is due.
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
	if (core->now < core->due_us)
		return;
	core->due_us = MAG_NEVER;
	cds_list_for_each_entry_safe (req, next, &core->all, all_node) {
		check_due(core, req);
	}
}

/* Fires the deadlines of one request and notes its next one. */
static void check_due(struct core *core, struct core_req *req)
{
	uint64_t id = req->arrival.req;

	if (req->deadline_us <= core->now)
		req_handle(core, req, REQ_EV_DEADLINE, NULL);
	else if (req->stall_us <= core->now || req->give_up_us <= core->now)
		req_handle(core, req, REQ_EV_STALL, NULL);
	req = core_find(core, id);
	if (!req)
		return;
	core_due(core, req->deadline_us);
	core_due(core, req->stall_us);
	core_due(core, req->give_up_us);
}

/* Admission's turn has come: reserve, or go to the chosen chain. */
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

static void waiting_gone(struct core *core, struct core_req *req, void *data)
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

/* Acts on the ledger's verdict about a key. */
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
		dispatch_held(core, req);
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
	req_drop_chain(core, req);
	adm_done(core->adm, req->arrival.req, 0, core->now);
	core_req_free(core, req);
}

/*
 * The caller is answered while the swap is under way.  It may still land, so
 * not-run can't be said; closing_ledger releases the reservation then.
 */
static void reserving_leave(struct core *core, struct core_req *req, void *data)
{
	(void)data;
	req_refuse(core, req, 504, MAG_UNKNOWN, req_retry_after(core, req),
		   "deadline passed while reserving");
	req_drop_chain(core, req);
	req->deadline_us = core->now + REQ_SETTLE_GRACE_US;
	core_due(core, req->deadline_us);
	req_enter(req, REQ_CLOSING);
}

/* The record is reserved: go to the chain that was kept meanwhile. */
static void dispatch_held(struct core *core, struct core_req *req)
{
	int i;

	for (i = 0; i < req->chain.count; i++) {
		if (!pick_usable(core->pick, req->chain.stages[i].endpoint,
				 core->now)) {
			/* It died or started to leave in between. */
			req_drop_chain(core, req);
			req_enter_ready(core, req);
			return;
		}
	}
	req_dispatch(core, req, &req->chain);
}

/* A request that waits for a chain ends without one. */
static void ready_leave(struct core *core, struct core_req *req, void *data)
{
	(void)data;
	req_refuse(core, req, 503, req_outcome(req), req_retry_after(core, req),
		   "no endpoint in time");
	req_leave_record(core, req);
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
	req->stall_us = core->now + core->settings.progress_timeout_us;
	core_due(core, req->stall_us);
	memcpy(req->hop_us, progress->hop_us, sizeof(req->hop_us));
	pick_hops(core->pick, &req->chain, progress->hop_us,
		  progress->hop_count, core->now);
	if (req->chain.alone &&
	    req->tokens - req->attempt_from >= REQ_PROOF_TOKENS)
		pick_proved(core->pick, &req->chain);
	if (!req->idempotent)
		return;
	if (slowed_down(core, req))
		move_away(core, req);
	else if (hopeless(core, req))
		leave(core, req, "too slow for its deadline");
}

/*
 * Tells whether a stream is so slow that its answer can't be whole by its
 * deadline.  It would only take the endpoints' time from answers that can;
 * after the loss of an endpoint, when more streams run than the others can
 * carry, most of them would miss their deadlines by a little.
 */
static bool hopeless(const struct core *core, const struct core_req *req)
{
	uint32_t made = req->tokens - req->attempt_from;
	int64_t took = core->now - req->first_token_us;

	if (made < REQ_PACE_TOKENS)
		return false;
	return too_slow(core, req, (double)took / made);
}

/*
 * Tells whether a stream would miss its deadline because a stage of its
 * chain got slow under it; elsewhere it can still be in time.
 */
static bool slowed_down(const struct core *core, const struct core_req *req)
{
	double pace = 0;
	int i;

	if (req->attempt >= CORE_ATTEMPTS_MAX ||
	    pick_degraded(core->pick, &req->chain) < 0)
		return false;
	for (i = 0; i < req->chain.count; i++)
		pace += req->hop_us[i];
	return too_slow(core, req, pace);
}

/* Tells whether a pace leaves no hope of an answer in time. */
static bool too_slow(const struct core *core, const struct core_req *req,
		     double us_per_token)
{
	double tokens =
		adm_expected(core->adm, req->service, req->arrival.max_tokens);
	int64_t left = req->deadline_us - core->now;

	return (tokens - req->tokens) * us_per_token >
	       REQ_HOPELESS * (double)left;
}

/*
 * The deadline passed or the caller left.  Work that may be repeated is
 * cancelled.  A non-idempotent attempt goes on for a while, because only its
 * end can turn the record from ambiguous into settled.
 */
static void running_leave(struct core *core, struct core_req *req, void *data)
{
	(void)data;
	leave(core, req, "deadline passed");
}

static void leave(struct core *core, struct core_req *req, const char *why)
{
	req_refuse(core, req, 504, req_outcome(req), req_retry_after(core, req),
		   why);
	if (req->reserved)
		ldg_mark_ambiguous(core->ldg, req->arrival.req, core->now);
	else
		req_cancel(core, req, false);
	req->deadline_us = core->now + REQ_SETTLE_GRACE_US;
	core_due(core, req->deadline_us);
	req_enter(req, REQ_CLOSING);
}

/*
 * An endpoint that hangs keeps the connection open and sends nothing.  So
 * does one where the stream only waits its turn, and sending that stream
 * elsewhere would add work where there is too much; the stages are asked
 * first.
 */
static void running_stall(struct core *core, struct core_req *req, void *data)
{
	(void)data;
	if (!req->idempotent)
		return;
	req_cancel(core, req, true);
	req_enter(req, REQ_CANCELLING);
}

/* Ends an attempt whose chain has become too slow for it. */
static void move_away(struct core *core, struct core_req *req)
{
	req_cancel(core, req, false);
	req_enter(req, REQ_CANCELLING);
}

/*
 * Every stage of a stalled stream gives a sign of life: it goes on waiting.
 * A stage that answers and yet makes nothing is given up after a few times.
 */
static void cancelling_progress(struct core *core, struct core_req *req,
				void *data)
{
	const struct core_progress *progress = data;
	int64_t patience_us = core->settings.progress_timeout_us;

	if (!progress->alive)
		return;
	if (++req->stalls > REQ_STALLS_MAX) {
		req_cancel(core, req, false);
		return;
	}
	if (!req->first_token_us)
		patience_us = core->settings.first_timeout_us;
	req_enter(req, REQ_RUNNING);
	req->stall_us = core->now + patience_us;
	core_due(core, req->stall_us);
}

/* The reservation landed after its caller was answered: nothing was sent. */
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

/* The endpoint never ended the attempt; the record stays ambiguous. */
static void closing_deadline(struct core *core, struct core_req *req,
			     void *data)
{
	(void)data;
	req_cancel(core, req, false);
	req->deadline_us = MAG_NEVER;
}

static void ignore(struct core *core, struct core_req *req, void *data)
{
	(void)core;
	(void)req;
	(void)data;
}

/* Changes the state; deadlines of the state that is left no longer count. */
void req_enter(struct core_req *req, enum req_state state)
{
	cds_list_del_init(&req->ready_node);
	req->stall_us = MAG_NEVER;
	req->give_up_us = MAG_NEVER;
	req->state = state;
}

void req_enter_ready(struct core *core, struct core_req *req)
{
	req_enter(req, REQ_READY);
	req->give_up_us = core->now + REQ_READY_PATIENCE_US;
	core_due(core, req->give_up_us);
	cds_list_add_tail(&req->ready_node, &core->ready);
}
