#include "core_int.h"
#include "log.h"

static void attempt_completed(struct core *core, struct core_req *req,
			      const struct core_ended *ended);
static void attempt_not_begun(struct core *core, struct core_req *req,
			      const struct core_ended *ended);
static void attempt_failed(struct core *core, struct core_req *req,
			   const struct core_ended *ended,
			   enum pick_result_kind kind);
static int find_stalled_stage(const struct core *core, struct core_req *req,
			      uint32_t silent_stages);
static int guess_stalled_stage(const struct core *core, struct core_req *req);
static void refuse_failed(struct core *core, struct core_req *req);
static int endpoint_at_stage(const struct core_req *req, int stage);
static void log_attempt(const struct core *core, const struct core_req *req,
			const struct core_ended *ended, int endpoint);

void req_running_ended(struct core *core, struct core_req *req, void *data)
{
	const struct core_ended *ended = data;

	req->tokens = ended->tokens;
	switch (ended->end) {
	case CORE_END_COMPLETE:
		attempt_completed(core, req, ended);
		break;
	case CORE_END_NOT_CONNECTED:
	case CORE_END_REFUSED:
		attempt_not_begun(core, req, ended);
		break;
	default:
		attempt_failed(core, req, ended, PICK_ENDED_FAILED);
		break;
	}
}

void req_cancelling_ended(struct core *core, struct core_req *req, void *data)
{
	const struct core_ended *ended = data;

	req->tokens = ended->tokens;
	if (ended->end == CORE_END_COMPLETE)
		attempt_completed(core, req, ended);
	else
		attempt_failed(core, req, ended, PICK_ENDED_STALLED);
}

/*
 * The late end of an attempt still settles the record, so that a repeated
 * request receives the answer.
 */
void req_closing_ended(struct core *core, struct core_req *req, void *data)
{
	const struct core_ended *ended = data;
	struct ldg_outcome outcome = {
		.status = ended->status,
		.answer = ended->answer,
		.answer_len = ended->answer_len,
	};
	bool not_begun = ended->end == CORE_END_NOT_CONNECTED ||
			 ended->end == CORE_END_REFUSED;

	if (req->reserved && ended->end == CORE_END_COMPLETE)
		ldg_settle(core->ldg, req->arrival.req, &outcome, core->now);
	else if (req->reserved && not_begun && !req->taken_over &&
		 !req->may_have_run)
		ldg_release(core->ldg, req->arrival.req, core->now);
	req_end_attempt(core, req, PICK_ENDED_OTHER, -1, 0);
	adm_done(core->adm, req->arrival.req, ended->tokens, core->now);
	core_req_free(core, req);
}

/* The complete answer arrived: settle the record and relay the answer. */
static void attempt_completed(struct core *core, struct core_req *req,
			      const struct core_ended *ended)
{
	struct ldg_outcome outcome = {
		.status = ended->status,
		.answer = ended->answer,
		.answer_len = ended->answer_len,
	};

	req_end_attempt(core, req, PICK_ENDED_COMPLETE, -1, 0);
	quar_completed(core->quar, req->arrival.fingerprint, core->now);
	if (req->reserved)
		ldg_settle(core->ldg, req->arrival.req, &outcome, core->now);
	req_relay(core, req);
	adm_answered(core->adm, req->arrival.req, ended->tokens, core->now);
	core_req_free(core, req);
}

/*
 * The endpoint provably began nothing: either the connection was never
 * established, or it returned a status that its service declares as proof.
 * Any request may then be dispatched again.  A refusal is not a failure, only
 * a late load report: the request waits for capacity and spends no retry.
 * Otherwise a fleet at its limit would exhaust the retry budgets and give up
 * requests that still have time.  A connection that was never established
 * spends no retry either, because it cost no endpoint any work.
 */
static void attempt_not_begun(struct core *core, struct core_req *req,
			      const struct core_ended *ended)
{
	int endpoint = endpoint_at_stage(req, 0);

	log_attempt(core, req, ended, endpoint);
	req_end_attempt(core, req,
			ended->end == CORE_END_REFUSED ? PICK_ENDED_REFUSED
						       : PICK_ENDED_FAILED,
			0, 0);
	if (ended->end == CORE_END_REFUSED ||
	    req_may_redispatch(core, req, endpoint)) {
		req_enter_ready(core, req);
		return;
	}
	refuse_failed(core, req);
}

/*
 * The attempt failed and may have run.  An idempotent request is retried on
 * other endpoints; a request with a key only if the endpoints run a downstream
 * key at most once.
 */
static void attempt_failed(struct core *core, struct core_req *req,
			   const struct core_ended *ended,
			   enum pick_result_kind kind)
{
	int stage = ended->end == CORE_END_STAGE ? ended->stage : 0;
	bool endpoint_died = ended->end == CORE_END_DISCONNECTED ||
			     ended->end == CORE_END_STAGE;
	int endpoint;

	req->may_have_run = true;
	if (kind == PICK_ENDED_STALLED)
		stage = find_stalled_stage(core, req, ended->silent_stages);
	endpoint = endpoint_at_stage(req, stage);
	log_attempt(core, req, ended, endpoint);
	req_end_attempt(core, req, kind, stage, ended->silent_stages);
	if (endpoint_died)
		quar_endpoint_lost(core->quar, req->arrival.fingerprint,
				   endpoint, req->chain.alone, core->now);
	req->alone = quar_check(core->quar, req->arrival.fingerprint,
				core->now) == QUAR_SUSPECT;
	if ((req->idempotent || (req->reserved && req->may_resend)) &&
	    req_may_retry(core, req, endpoint)) {
		req_enter_ready(core, req);
		return;
	}
	refuse_failed(core, req);
}

/*
 * Returns the stage that blocks a stream, -1 if none is identified.  Stages
 * that did not respond to the probe hang for certain, and the request avoids
 * all of them from now on.
 */
static int find_stalled_stage(const struct core *core, struct core_req *req,
			      uint32_t silent_stages)
{
	int stage = -1;
	int i;

	for (i = 0; i < req->chain.count; i++) {
		if (!(silent_stages & (1U << i)))
			continue;
		req_avoid_silent(req, req->chain.stages[i].endpoint);
		stage = i;
	}
	if (stage >= 0)
		return stage;
	return guess_stalled_stage(core, req);
}

/*
 * Guesses the stalled stage when no stage could be probed.  A stream without
 * tokens does not show which stage hangs.  If the first stage were blamed each
 * time, healthy endpoints would be excluded while the hung one stayed in use.
 * The likelier stage is an endpoint that was also in this request's last stall
 * and was not blamed then.
 */
static int guess_stalled_stage(const struct core *core, struct core_req *req)
{
	int stage = pick_find_silent_stage(core->pick, &req->chain, core->now);
	int i;
	int j;

	if (stage < 0)
		stage = pick_find_degraded_stage(core->pick, &req->chain);
	for (i = 0; i < req->chain.count; i++) {
		for (j = 0; j < req->stalled_count; j++) {
			if (req->stalled[j] >= 0 &&
			    req->chain.stages[i].endpoint == req->stalled[j])
				stage = i;
		}
	}
	req->stalled_count = 0;
	for (i = 0; i < req->chain.count; i++) {
		if (i != stage)
			req->stalled[req->stalled_count++] =
				req->chain.stages[i].endpoint;
	}
	return stage;
}

/* Sends the final answer: there will be no further attempt. */
static void refuse_failed(struct core *core, struct core_req *req)
{
	enum quar_state state;

	state = quar_check(core->quar, req->arrival.fingerprint, core->now);
	if (state == QUAR_QUARANTINED)
		req_refuse(core, req, 422, req_outcome(req), 0, "quarantined");
	else
		req_refuse(core, req, 502, req_outcome(req),
			   req_retry_after(core, req), "attempt failed");
	req_finish_record(core, req);
	adm_done(core->adm, req->arrival.req, req->tokens, core->now);
	core_req_free(core, req);
}

/* Releases the record if nothing was sent under it, otherwise holds it. */
void req_finish_record(struct core *core, struct core_req *req)
{
	if (!req->reserved)
		return;
	if (req->may_have_run || req->taken_over)
		ldg_mark_ambiguous(core->ldg, req->arrival.req, core->now);
	else
		ldg_release(core->ldg, req->arrival.req, core->now);
}

static int endpoint_at_stage(const struct core_req *req, int stage)
{
	if (stage < 0 || stage >= req->chain.count)
		return -1;
	return req->chain.stages[stage].endpoint;
}

/* Logs how an attempt failed and the endpoint that it counts against. */
static void log_attempt(const struct core *core, const struct core_req *req,
			const struct core_ended *ended, int endpoint)
{
	static const char *const end_names[CORE_END_COUNT] = {
		[CORE_END_COMPLETE] = "whole",
		[CORE_END_NOT_CONNECTED] = "not-connected",
		[CORE_END_REFUSED] = "refused",
		[CORE_END_STAGE] = "stage-failed",
		[CORE_END_DISCONNECTED] = "cut",
		[CORE_END_WRONG_IDS] = "wrong-ids",
		[CORE_END_MALFORMED] = "malformed",
		[CORE_END_CANCELLED] = "stalled",
		[CORE_END_STATUS] = "error-status",
	};
	const char *name = "-";

	if (endpoint >= 0)
		name = core->set->endpoints[endpoint].name;
	log_event(LOG_REQ_ATTEMPT_FAILED,
		  "request=%llu attempt=%u end=%s endpoint=%s status=%d "
		  "tokens=%u",
		  (unsigned long long)req->arrival.req, req->attempt,
		  end_names[ended->end], name, ended->status, req->tokens);
}
