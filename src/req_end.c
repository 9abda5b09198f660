#include "core_int.h"
#include "log.h"

static void whole(struct core *core, struct core_req *req,
		  const struct core_ended *ended);
static void proved_unbegun(struct core *core, struct core_req *req,
			   const struct core_ended *ended);
static void failed(struct core *core, struct core_req *req,
		   const struct core_ended *ended, enum pick_result_kind kind);
static int stalled_at(const struct core *core, struct core_req *req,
		      uint32_t silent);
static int stalled_again(const struct core *core, struct core_req *req);
static void give_up_failed(struct core *core, struct core_req *req);
static int failed_endpoint(const struct core_req *req, int stage);
static void log_attempt(const struct core *core, const struct core_req *req,
			const struct core_ended *ended, int endpoint);

void req_running_ended(struct core *core, struct core_req *req, void *data)
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

void req_cancelling_ended(struct core *core, struct core_req *req, void *data)
{
	const struct core_ended *ended = data;

	req->tokens = ended->tokens;
	if (ended->end == CORE_END_WHOLE)
		whole(core, req, ended);
	else
		failed(core, req, ended, PICK_ENDED_SLOW);
}

/* A late end still settles the record, so that a repeat gets the answer. */
void req_closing_ended(struct core *core, struct core_req *req, void *data)
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
	req_end_attempt(core, req, PICK_ENDED_OTHER, -1, 0);
	adm_done(core->adm, req->arrival.req, ended->tokens, core->now);
	core_req_free(core, req);
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

	req_end_attempt(core, req, PICK_ENDED_WELL, -1, 0);
	quar_ended_well(core->quar, req->arrival.fingerprint, core->now);
	if (req->reserved)
		ldg_settle(core->ldg, req->arrival.req, &outcome, core->now);
	req_relay(core, req);
	adm_answered(core->adm, req->arrival.req, ended->tokens, core->now);
	core_req_free(core, req);
}

/*
 * The endpoint provably began nothing: the connection was never made, or it
 * refused in the way that its service declares as proof.  Any request may go
 * elsewhere then.  A refusal is no failure, only a late load report: the
 * request waits for room again and spends no retry, or a fleet at its limit
 * would use up the budgets and give up requests that have time left.  Nor
 * does a connection that was never made: it cost no endpoint any work.
 */
static void proved_unbegun(struct core *core, struct core_req *req,
			   const struct core_ended *ended)
{
	int endpoint = failed_endpoint(req, 0);

	log_attempt(core, req, ended, endpoint);
	req_end_attempt(core, req,
			ended->end == CORE_END_REFUSED ? PICK_ENDED_REFUSED
						       : PICK_ENDED_FAILED,
			0, 0);
	if (ended->end == CORE_END_REFUSED ||
	    req_go_elsewhere(core, req, endpoint)) {
		req_enter_ready(core, req);
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
	bool died = ended->end == CORE_END_CUT || ended->end == CORE_END_STAGE;
	int endpoint;

	req->may_have_run = true;
	if (kind == PICK_ENDED_SLOW)
		stage = stalled_at(core, req, ended->silent);
	endpoint = failed_endpoint(req, stage);
	log_attempt(core, req, ended, endpoint);
	req_end_attempt(core, req, kind, stage, ended->silent);
	if (died)
		quar_lost_endpoint(core->quar, req->arrival.fingerprint,
				   endpoint, req->chain.alone, core->now);
	req->alone = quar_check(core->quar, req->arrival.fingerprint,
				core->now) == QUAR_SUSPECT;
	if ((req->idempotent || (req->reserved && req->may_resend)) &&
	    req_try_again(core, req, endpoint)) {
		req_enter_ready(core, req);
		return;
	}
	give_up_failed(core, req);
}

/*
 * Returns the stage that holds a stream up, -1 if none stands out.  Stages
 * that gave no sign of life when they were asked hang for certain; all of
 * them are avoided from now on.
 */
static int stalled_at(const struct core *core, struct core_req *req,
		      uint32_t silent)
{
	int stage = -1;
	int i;

	for (i = 0; i < req->chain.count; i++) {
		if (!(silent & (1U << i)))
			continue;
		req_avoid(req, req->chain.stages[i].endpoint);
		stage = i;
	}
	if (stage >= 0)
		return stage;
	return stalled_again(core, req);
}

/*
 * Guesses the stage where nobody could be asked.  A stream that brought
 * nothing doesn't show which stage hangs, and blaming the first one each time
 * would use up the healthy endpoints while the hung one is kept.  An endpoint
 * that was in this request's last stall too, and wasn't blamed then, is the
 * likelier one.
 */
static int stalled_again(const struct core *core, struct core_req *req)
{
	int stage = pick_silent(core->pick, &req->chain, core->now);
	int i;
	int j;

	if (stage < 0)
		stage = pick_degraded(core->pick, &req->chain);
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
	req_leave_record(core, req);
	adm_done(core->adm, req->arrival.req, req->tokens, core->now);
	core_req_free(core, req);
}

/* Releases the record if nothing was sent under it, else holds it. */
void req_leave_record(struct core *core, struct core_req *req)
{
	if (!req->reserved)
		return;
	if (req->may_have_run || req->taken_over)
		ldg_mark_ambiguous(core->ldg, req->arrival.req, core->now);
	else
		ldg_release(core->ldg, req->arrival.req, core->now);
}

static int failed_endpoint(const struct core_req *req, int stage)
{
	if (stage < 0 || stage >= req->chain.count)
		return -1;
	return req->chain.stages[stage].endpoint;
}

/* Writes how an attempt failed, and which endpoint it is counted against. */
static void log_attempt(const struct core *core, const struct core_req *req,
			const struct core_ended *ended, int endpoint)
{
	static const char *const ends[CORE_END_COUNT] = {
		[CORE_END_WHOLE] = "whole",
		[CORE_END_UNSENT] = "not-connected",
		[CORE_END_REFUSED] = "refused",
		[CORE_END_STAGE] = "stage-failed",
		[CORE_END_CUT] = "cut",
		[CORE_END_WRONG] = "wrong-ids",
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
		  ends[ended->end], name, ended->status, req->tokens);
}
