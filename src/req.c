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
static void running_ended(struct core *core, struct core_req *req, void *data);
static void running_leave(struct core *core, struct core_req *req, void *data);
static void running_stall(struct core *core, struct core_req *req, void *data);
static void cancelling_ended(struct core *core, struct core_req *req,
			     void *data);
static void closing_ledger(struct core *core, struct core_req *req, void *data);
static void closing_ended(struct core *core, struct core_req *req, void *data);
static void closing_deadline(struct core *core, struct core_req *req,
			     void *data);
static void ignore(struct core *core, struct core_req *req, void *data);
static void enter(struct core_req *req, enum req_state state);
static void enter_ready(struct core *core, struct core_req *req);
static void offer(struct core *core, struct core_req *req);
static int64_t arrival_deadline(const struct core *core,
				const struct core_arrival *arrival,
				int service);
static struct core_req *req_new(struct core *core,
				const struct core_arrival *arrival);
static bool identify(struct core *core, const struct core_arrival *arrival,
		     int *account, int *route);
static bool key_is_missing(const struct cfg_route *route,
			   const struct core_arrival *arrival);
static void reserve(struct core *core, struct core_req *req);
static bool endpoints_resend(const struct core *core,
			     const struct core_req *req);
static void whole(struct core *core, struct core_req *req,
		  const struct core_ended *ended);
static void proved_unbegun(struct core *core, struct core_req *req,
			   const struct core_ended *ended);
static void failed(struct core *core, struct core_req *req,
		   const struct core_ended *ended, enum pick_result_kind kind);
static void give_up_failed(struct core *core, struct core_req *req);
static void leave_record(struct core *core, struct core_req *req);
static int failed_endpoint(const struct core_req *req, int stage);
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
		[REQ_EV_ENDED] = running_ended,
		[REQ_EV_GONE] = running_leave,
		[REQ_EV_DEADLINE] = running_leave,
		[REQ_EV_STALL] = running_stall,
	},
	[REQ_CANCELLING] = {
		[REQ_EV_GRANT] = ignore,
		[REQ_EV_LEDGER] = ignore,
		[REQ_EV_PROGRESS] = ignore,
		[REQ_EV_ENDED] = cancelling_ended,
		[REQ_EV_GONE] = running_leave,
		[REQ_EV_DEADLINE] = running_leave,
		[REQ_EV_STALL] = ignore,
	},
	[REQ_CLOSING] = {
		[REQ_EV_GRANT] = ignore,
		[REQ_EV_LEDGER] = closing_ledger,
		[REQ_EV_PROGRESS] = ignore,
		[REQ_EV_ENDED] = closing_ended,
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

/*
 * Takes a caller's request in: finds account and route, refuses what can be
 * refused at once, and offers the rest to admission.
 */
void req_arrive(struct core *core, const struct core_arrival *arrival)
{
	enum quar_state quarantine;
	struct core_req *req;
	int account;
	int route;

	if (!core->set || core->stopping) {
		req_refuse_arrival(core, arrival, 503, "not ready");
		return;
	}
	if (!identify(core, arrival, &account, &route))
		return;
	req = req_new(core, arrival);
	req->account = account;
	req->route = route;
	req->service = core->set->routes[route].service;
	req->idempotent =
		core->set->routes[route].idempotent || arrival->safe_method;
	req->keyed = !req->idempotent && arrival->key[0];
	req->may_resend = endpoints_resend(core, req);
	req->deadline_us = arrival_deadline(core, arrival, req->service);
	ldg_intent(req->intent, core->set->accounts[account].name,
		   core->set->routes[route].name, arrival->key);
	quarantine = quar_check(core->quar, arrival->fingerprint, core->now);
	if (quarantine == QUAR_QUARANTINED) {
		req_refuse(core, req, 422, req_outcome(req), 0, "quarantined");
		core_req_free(core, req);
		return;
	}
	req->alone = quarantine == QUAR_SUSPECT;
	offer(core, req);
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
	if (!data) {
		req_refuse(core, req, 503, req_outcome(req),
			   req_retry_after(core, req), "no endpoint");
		adm_done(core->adm, req->arrival.req, 0, core->now);
		core_req_free(core, req);
		return;
	}
	if (req->keyed) {
		reserve(core, req);
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
	case LDG_GO:
		req->reserved = true;
		enter_ready(core, req);
		return;
	case LDG_REPLAY:
		req_replay(core, req, result);
		break;
	case LDG_IN_PROGRESS:
		req_refuse(core, req, 409, MAG_UNKNOWN, 1, "in progress");
		break;
	case LDG_HELD:
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
	case LDG_CANNOT_TELL:
		req_refuse(core, req, 503, MAG_UNKNOWN,
			   req_retry_after(core, req), "records unreachable");
		break;
	}
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
	req->deadline_us = core->now + REQ_SETTLE_GRACE_US;
	core_due(core, req->deadline_us);
	enter(req, REQ_CLOSING);
}

/* A request that waits for a chain ends without one. */
static void ready_leave(struct core *core, struct core_req *req, void *data)
{
	(void)data;
	req_refuse(core, req, 503, req_outcome(req), req_retry_after(core, req),
		   "no endpoint in time");
	leave_record(core, req);
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
	req->stall_us = core->now + core->settings.progress_timeout_us;
	pick_hops(core->pick, &req->chain, progress->hop_us,
		  progress->hop_count, core->now);
}

static void running_ended(struct core *core, struct core_req *req, void *data)
{
	const struct core_ended *ended = data;

	req->tokens = ended->tokens;
	switch (ended->end) {
	case CORE_END_WHOLE:
		whole(core, req, ended);
		break;
	case CORE_END_UNSENT:
	case CORE_END_REFUSED:
		proved_unbegun(core, req, ended);
		break;
	default:
		failed(core, req, ended, PICK_ENDED_FAILED);
		break;
	}
}

/*
 * The deadline passed or the caller left.  Work that may be repeated is
 * cancelled.  A non-idempotent attempt goes on for a while, because only its
 * end can turn the record from ambiguous into settled.
 */
static void running_leave(struct core *core, struct core_req *req, void *data)
{
	(void)data;
	req_refuse(core, req, 504, req_outcome(req), req_retry_after(core, req),
		   "deadline passed");
	if (req->reserved)
		ldg_hold(core->ldg, req->arrival.req, core->now);
	else
		req_cancel(core, req);
	req->deadline_us = core->now + REQ_SETTLE_GRACE_US;
	core_due(core, req->deadline_us);
	enter(req, REQ_CLOSING);
}

/* An endpoint that hangs keeps the connection open and sends nothing. */
static void running_stall(struct core *core, struct core_req *req, void *data)
{
	(void)data;
	if (!req->idempotent)
		return;
	req_cancel(core, req);
	enter(req, REQ_CANCELLING);
}

static void cancelling_ended(struct core *core, struct core_req *req,
			     void *data)
{
	const struct core_ended *ended = data;

	req->tokens = ended->tokens;
	if (ended->end == CORE_END_WHOLE)
		whole(core, req, ended);
	else
		failed(core, req, ended, PICK_ENDED_SLOW);
}

/* The reservation landed after its caller was answered: nothing was sent. */
static void closing_ledger(struct core *core, struct core_req *req, void *data)
{
	const struct ldg_result *result = data;

	if (result->verdict == LDG_GO)
		ldg_release(core->ldg, req->arrival.req, core->now);
	else if (result->verdict == LDG_TAKEN_OVER)
		ldg_hold(core->ldg, req->arrival.req, core->now);
	adm_done(core->adm, req->arrival.req, 0, core->now);
	core_req_free(core, req);
}

/* A late end still settles the record, so that a repeat gets the answer. */
static void closing_ended(struct core *core, struct core_req *req, void *data)
{
	const struct core_ended *ended = data;
	struct ldg_outcome outcome = {
		.status = ended->status,
		.answer = ended->answer,
		.answer_len = ended->answer_len,
	};
	bool unbegun =
		ended->end == CORE_END_UNSENT || ended->end == CORE_END_REFUSED;

	if (req->reserved && ended->end == CORE_END_WHOLE)
		ldg_settle(core->ldg, req->arrival.req, &outcome, core->now);
	else if (req->reserved && unbegun && !req->taken_over &&
		 !req->may_have_run)
		ldg_release(core->ldg, req->arrival.req, core->now);
	req_end_attempt(core, req, PICK_ENDED_OTHER, -1);
	adm_done(core->adm, req->arrival.req, ended->tokens, core->now);
	core_req_free(core, req);
}

/* The endpoint never ended the attempt; the record stays ambiguous. */
static void closing_deadline(struct core *core, struct core_req *req,
			     void *data)
{
	(void)data;
	req_cancel(core, req);
	req->deadline_us = MAG_NEVER;
}

static void ignore(struct core *core, struct core_req *req, void *data)
{
	(void)core;
	(void)req;
	(void)data;
}

/* Changes the state; deadlines of the state that is left no longer count. */
static void enter(struct core_req *req, enum req_state state)
{
	cds_list_del_init(&req->ready_node);
	req->stall_us = MAG_NEVER;
	req->give_up_us = MAG_NEVER;
	req->state = state;
}

static void enter_ready(struct core *core, struct core_req *req)
{
	enter(req, REQ_READY);
	req->give_up_us = core->now + REQ_READY_PATIENCE_US;
	core_due(core, req->give_up_us);
	cds_list_add_tail(&req->ready_node, &core->ready);
}

/* Offers a request to admission and refuses it at once if that says no. */
static void offer(struct core *core, struct core_req *req)
{
	static const char *const why[] = {
		[ADM_QUEUE_FULL] = "queue full",
		[ADM_TOO_LATE] = "would start past its deadline",
		[ADM_OVER_LIMIT] = "over a limit",
		[ADM_OVER_SHARE] = "over the account's share",
	};
	struct adm_offer offered = {
		.req = req->arrival.req,
		.account = req->account,
		.service = req->service,
		.cost_tokens =
			req->arrival.prompt_tokens + req->arrival.max_tokens,
		.deadline_us = req->deadline_us,
		.priority = core->set->accounts[req->account].priority,
	};
	enum adm_verdict verdict;
	int status = 503;

	verdict = adm_offer(core->adm, &offered, core->now);
	if (verdict == ADM_QUEUED) {
		core_due(core, req->deadline_us);
		return;
	}
	if (verdict == ADM_OVER_LIMIT || verdict == ADM_OVER_SHARE)
		status = 429;
	req_refuse(core, req, status, req_outcome(req),
		   req_retry_after(core, req), why[verdict]);
	core_req_free(core, req);
}

/* Turns the caller's allowance into a deadline, within the service's. */
static int64_t arrival_deadline(const struct core *core,
				const struct core_arrival *arrival, int service)
{
	const struct cfg_service *object = &core->set->services[service];
	uint32_t allowance_ms = arrival->allowance_ms;

	if (allowance_ms == 0)
		allowance_ms = object->default_deadline_ms;
	if (allowance_ms > object->max_deadline_ms)
		allowance_ms = object->max_deadline_ms;
	return core->now + (int64_t)allowance_ms * MAG_US_PER_MS;
}

static struct core_req *req_new(struct core *core,
				const struct core_arrival *arrival)
{
	struct core_req *req = calloc(1, sizeof(*req));

	if (!req)
		abort();
	req->arrival = *arrival;
	req->state = REQ_WAITING;
	req->arrived_us = core->now;
	req->stall_us = MAG_NEVER;
	req->give_up_us = MAG_NEVER;
	CDS_INIT_LIST_HEAD(&req->ready_node);
	cds_list_add_tail(&req->bucket_node,
			  &core->buckets[arrival->req % CORE_BUCKETS]);
	cds_list_add_tail(&req->all_node, &core->all);
	return req;
}

/* Finds account and route; false if the request has been refused. */
static bool identify(struct core *core, const struct core_arrival *arrival,
		     int *account, int *route)
{
	const struct cfg_route *object;

	*account = cfg_find_account(core->set, arrival->account_key_hash);
	if (*account < 0) {
		req_refuse_arrival(core, arrival, 401, "no such account key");
		return false;
	}
	*route = cfg_find_route(core->set, arrival->host, arrival->path);
	if (*route < 0) {
		req_refuse_arrival(core, arrival, 404, "no route");
		return false;
	}
	object = &core->set->routes[*route];
	if (key_is_missing(object, arrival)) {
		req_refuse_arrival(core, arrival, 400,
				   "Idempotency-Key is required");
		return false;
	}
	return true;
}

static bool key_is_missing(const struct cfg_route *route,
			   const struct core_arrival *arrival)
{
	if (route->idempotent || arrival->safe_method)
		return false;
	return route->key != CFG_KEY_OPTIONAL && !arrival->key[0];
}

/* Asks the ledger for the record of this intent. */
static void reserve(struct core *core, struct core_req *req)
{
	const struct cfg_route *route;
	struct ldg_claim claim = {
		.req = req->arrival.req,
		.key = req->arrival.key,
		.may_resend = req->may_resend,
		.deadline_us = req->deadline_us,
		.wall_ms = req->arrival.wall_ms,
	};
	int rc;

	if (req->route >= 0) {
		route = &core->set->routes[req->route];
		claim.timed = route->key == CFG_KEY_TIMED;
		claim.window_s =
			core->set->services[route->service].key_window_s;
	}
	memcpy(claim.intent, req->intent, sizeof(claim.intent));
	memcpy(claim.fingerprint, req->arrival.fingerprint,
	       sizeof(claim.fingerprint));
	enter(req, REQ_RESERVING);
	rc = ldg_reserve(core->ldg, &claim, core->now);
	if (rc == LDG_OK)
		return;
	if (rc == LDG_E_KEY_OLD || rc == LDG_E_KEY_FORM)
		req_refuse(core, req, 400, req_outcome(req), 0,
			   rc == LDG_E_KEY_OLD ? "the key is too old"
					       : "the key is not a UUIDv7");
	else
		req_refuse(core, req, 503, req_outcome(req),
			   req_retry_after(core, req),
			   "too many reservations wait");
	adm_done(core->adm, req->arrival.req, 0, core->now);
	core_req_free(core, req);
}

/* Tells whether every endpoint of the service runs a downstream key once. */
static bool endpoints_resend(const struct core *core,
			     const struct core_req *req)
{
	const struct cfg_endpoint *endpoint;
	bool any = false;
	size_t i;

	for (i = 0; i < core->set->endpoint_count; i++) {
		endpoint = &core->set->endpoints[i];
		if (endpoint->service != req->service)
			continue;
		if (endpoint->downstream_key != CFG_DOWN_RESEND)
			return false;
		any = true;
	}
	return any;
}

/* The whole answer came: settle the record and hand the answer on. */
static void whole(struct core *core, struct core_req *req,
		  const struct core_ended *ended)
{
	struct ldg_outcome outcome = {
		.status = ended->status,
		.answer = ended->answer,
		.answer_len = ended->answer_len,
	};

	req_end_attempt(core, req, PICK_ENDED_WELL, -1);
	quar_ended_well(core->quar, req->arrival.fingerprint, core->now);
	if (req->reserved)
		ldg_settle(core->ldg, req->arrival.req, &outcome, core->now);
	req_relay(core, req);
	adm_done(core->adm, req->arrival.req, ended->tokens, core->now);
	core_req_free(core, req);
}

/*
 * The endpoint provably began nothing: the connection was never made, or it
 * refused in the way that its service declares as proof.  Any request may go
 * elsewhere then.
 */
static void proved_unbegun(struct core *core, struct core_req *req,
			   const struct core_ended *ended)
{
	int endpoint = failed_endpoint(req, 0);

	req_end_attempt(core, req,
			ended->end == CORE_END_REFUSED ? PICK_ENDED_REFUSED
						       : PICK_ENDED_FAILED,
			0);
	if (ended->end == CORE_END_REFUSED ||
	    req_try_again(core, req, endpoint)) {
		enter_ready(core, req);
		return;
	}
	give_up_failed(core, req);
}

/*
 * The attempt failed and may have run.  Idempotent work goes elsewhere; a
 * keyed booking only where endpoints run a downstream key once.
 */
static void failed(struct core *core, struct core_req *req,
		   const struct core_ended *ended, enum pick_result_kind kind)
{
	int stage = ended->end == CORE_END_STAGE ? ended->stage : 0;
	int endpoint = failed_endpoint(req, stage);
	bool died = ended->end == CORE_END_CUT || ended->end == CORE_END_STAGE;

	req->may_have_run = true;
	if (kind == PICK_ENDED_SLOW)
		stage = -1;
	req_end_attempt(core, req, kind, stage);
	if (died)
		quar_lost_endpoint(core->quar, req->arrival.fingerprint,
				   endpoint, req->alone, core->now);
	req->alone = quar_check(core->quar, req->arrival.fingerprint,
				core->now) == QUAR_SUSPECT;
	if ((req->idempotent || (req->reserved && req->may_resend)) &&
	    req_try_again(core, req, endpoint)) {
		enter_ready(core, req);
		return;
	}
	give_up_failed(core, req);
}

/* No further attempt: the final answer, at once. */
static void give_up_failed(struct core *core, struct core_req *req)
{
	enum quar_state state;

	state = quar_check(core->quar, req->arrival.fingerprint, core->now);
	if (state == QUAR_QUARANTINED)
		req_refuse(core, req, 422, req_outcome(req), 0, "quarantined");
	else
		req_refuse(core, req, 502, req_outcome(req),
			   req_retry_after(core, req), "attempt failed");
	leave_record(core, req);
	adm_done(core->adm, req->arrival.req, req->tokens, core->now);
	core_req_free(core, req);
}

/* Releases the record if nothing was sent under it, else holds it. */
static void leave_record(struct core *core, struct core_req *req)
{
	if (!req->reserved)
		return;
	if (req->may_have_run || req->taken_over)
		ldg_hold(core->ldg, req->arrival.req, core->now);
	else
		ldg_release(core->ldg, req->arrival.req, core->now);
}

static int failed_endpoint(const struct core_req *req, int stage)
{
	if (stage < 0 || stage >= req->chain.count)
		return -1;
	return req->chain.stages[stage].endpoint;
}
