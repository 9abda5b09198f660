#include <stdio.h>
#include <string.h>

#include "cnt.h"
#include "core_int.h"
#include "log.h"

static void count_outcome(enum mag_outcome outcome);
static struct core_answer *add_answer(struct core *core, uint64_t req,
				      enum core_answer_kind kind,
				      enum mag_outcome outcome);
static void add_refusal(struct core *core, uint64_t req, int status,
			enum mag_outcome outcome, uint32_t retry_after_s,
			const char *why);
static void log_done(const struct core *core, const struct core_req *req,
		     bool replay);

/*
 * Returns the outcome to report for a request without an answer from an
 * endpoint.  The outcome not-run requires proof for the intent: a key whose
 * record was not read may have run through another instance.
 */
enum mag_outcome req_outcome(const struct core_req *req)
{
	if (req->state == REQ_RUNNING || req->state == REQ_CANCELLING)
		return MAG_UNKNOWN;
	if (req->may_have_run || req->taken_over)
		return MAG_UNKNOWN;
	if (req->keyed && !req->reserved)
		return MAG_UNKNOWN;
	return MAG_NOT_RUN;
}

/* Returns the seconds after which the caller should retry. */
uint32_t req_retry_after(struct core *core, const struct core_req *req)
{
	if (req->account < 0 || req->service < 0)
		return 1;
	return adm_retry_after_s(core->adm, req->account, req->service,
				 core->now);
}

/* Sends the router's own final answer.  Each request gets only one answer. */
void req_refuse(struct core *core, struct core_req *req, int status,
		enum mag_outcome outcome, uint32_t retry_after_s,
		const char *why)
{
	const char *account = "-";

	if (req->answered)
		return;
	req->answered = true;
	if (req->account >= 0)
		account = core->set->accounts[req->account].name;
	shr_add(core->shr, req->account, req->service, SHR_REFUSED);
	add_refusal(core, req->arrival.req, status, outcome, retry_after_s,
		    why);
	log_event(LOG_REQ_REFUSED,
		  "request=%llu account=%s status=%d outcome=%s attempts=%u "
		  "why=\"%s\"",
		  (unsigned long long)req->arrival.req, account, status,
		  mag_outcome_name(outcome), req->attempt, why);
}

/*
 * Refuses a request that has no entry in the tables.  Without a key, nothing
 * can have run for it.  With a key, it may have run through another instance,
 * or through this one before its account or route was removed.
 */
void req_refuse_arrival(struct core *core, const struct core_arrival *arrival,
			int status, const char *why)
{
	enum mag_outcome outcome = arrival->key[0] ? MAG_UNKNOWN : MAG_NOT_RUN;

	add_refusal(core, arrival->req, status, outcome, status == 503 ? 1 : 0,
		    why);
	log_event(LOG_REQ_REFUSED,
		  "request=%llu account=- status=%d outcome=%s attempts=0 "
		  "why=\"%s\"",
		  (unsigned long long)arrival->req, status,
		  mag_outcome_name(outcome), why);
}

/* Relays the answer that the attempt returned. */
void req_relay(struct core *core, struct core_req *req)
{
	if (req->answered)
		return;
	req->answered = true;
	add_answer(core, req->arrival.req, CORE_ANSWER_RELAY, MAG_RAN);
	log_done(core, req, false);
}

/* Sends the answer stored in the record, marked as a replay. */
void req_replay(struct core *core, struct core_req *req,
		struct ldg_result *result)
{
	struct core_answer *replay;

	if (req->answered)
		return;
	req->answered = true;
	replay =
		add_answer(core, req->arrival.req, CORE_ANSWER_REPLAY, MAG_RAN);
	replay->status = result->status;
	replay->body = result->answer;
	replay->body_len = result->answer_len;
	result->answer = NULL;
	if (!result->answer_stored)
		mag_copy_name(replay->why, sizeof(replay->why),
			      "it ran; its answer was too long to keep");
	log_done(core, req, true);
}

/* Appends the action for a final answer and counts its outcome. */
static struct core_answer *add_answer(struct core *core, uint64_t req,
				      enum core_answer_kind kind,
				      enum mag_outcome outcome)
{
	struct core_answer *answer =
		&core_add_action(core, CORE_ACT_ANSWER)->answer;

	answer->req = req;
	answer->kind = kind;
	answer->outcome = outcome;
	count_outcome(outcome);
	return answer;
}

static void add_refusal(struct core *core, uint64_t req, int status,
			enum mag_outcome outcome, uint32_t retry_after_s,
			const char *why)
{
	struct core_answer *refusal;

	refusal = add_answer(core, req, CORE_ANSWER_REFUSE, outcome);
	refusal->status = status;
	refusal->retry_after_s = retry_after_s;
	snprintf(refusal->why, sizeof(refusal->why), "%s", why);
}

static void count_outcome(enum mag_outcome outcome)
{
	static const enum cnt_id counters[MAG_OUTCOME_COUNT] = {
		[MAG_RAN] = CNT_REQ_RAN,
		[MAG_NOT_RUN] = CNT_REQ_NOT_RUN,
		[MAG_UNKNOWN] = CNT_REQ_UNKNOWN,
	};

	cnt_add(counters[outcome], 1);
}

static void log_done(const struct core *core, const struct core_req *req,
		     bool replay)
{
	log_event(LOG_REQ_DONE,
		  "request=%llu account=%s outcome=%s replay=%d attempts=%u "
		  "tokens=%u took_us=%lld",
		  (unsigned long long)req->arrival.req,
		  req->account < 0 ? "-"
				   : core->set->accounts[req->account].name,
		  mag_outcome_name(MAG_RAN), replay, req->attempt, req->tokens,
		  (long long)(core->now - req->arrived_us));
}
