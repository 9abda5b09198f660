#include <stdlib.h>
#include <string.h>

#include "cnt.h"
#include "ldg_int.h"

/*
 * Creates an attempt that waits for its reservation.  expiry_ms is used for
 * timed keys only.
 */
struct ldg_att *ldg_att_new(struct ldg *ldg, const struct ldg_claim *claim,
			    int64_t expiry_ms, int64_t now)
{
	struct ldg_att *att = calloc(1, sizeof(*att));

	att->shard = ldg_shard_get(ldg, claim->intent);
	att->req = claim->req;
	memcpy(att->intent, claim->intent, MAG_DIGEST_BYTES);
	memcpy(att->fingerprint, claim->fingerprint, MAG_DIGEST_BYTES);
	att->nonce.incarnation = ldg->set.incarnation;
	att->nonce.number = ldg->next_nonce++;
	att->may_resend = claim->may_resend;
	att->timed = claim->timed;
	att->expiry_ms = expiry_ms;
	att->window_ms = (int64_t)claim->window_s * 1000;
	att->wall_offset_ms = claim->wall_ms - now / MAG_US_PER_MS;
	att->arrived_us = now;
	att->deadline_us = claim->deadline_us;
	att->state = ATT_WAITING;
	att->due_us = now;
	cds_list_add_tail(&att->node, &att->shard->queue);
	cds_list_add_tail(&att->by_req, &ldg->by_req[att->req % LDG_BUCKETS]);
	cds_list_add_tail(&att->by_intent,
			  &ldg->by_intent[att->intent[0] % LDG_BUCKETS]);
	att->shard->att_count++;
	ldg->att_count++;
	return att;
}

struct ldg_att *ldg_att_find(const struct ldg *ldg, uint64_t req)
{
	struct ldg_att *att;

	cds_list_for_each_entry (att, &ldg->by_req[req % LDG_BUCKETS], by_req) {
		if (att->req == req)
			return att;
	}
	return NULL;
}

/* Finds the attempt of this instance that is waiting or dispatched. */
const struct ldg_att *ldg_att_find_active(const struct ldg *ldg,
					  const uint8_t *intent)
{
	const struct ldg_att *att;

	cds_list_for_each_entry (att, &ldg->by_intent[intent[0] % LDG_BUCKETS],
				 by_intent) {
		if (att->state <= ATT_DISPATCHED &&
		    memcmp(att->intent, intent, MAG_DIGEST_BYTES) == 0)
			return att;
	}
	return NULL;
}

void ldg_att_free(struct ldg *ldg, struct ldg_att *att)
{
	if (att->state != ATT_DISPATCHED)
		cds_list_del(&att->node);
	if (att->state == ATT_AMBIGUOUS)
		ldg->ambiguous_count--;
	cds_list_del(&att->by_req);
	cds_list_del(&att->by_intent);
	att->shard->att_count--;
	ldg->att_count--;
	free(att->answer);
	free(att);
}

/*
 * Queues the last change that an attempt makes to its record.  If the attempt
 * is in a swap in flight, it goes into the next swap too, as ldg_batch_commit
 * sees that its state has changed.
 */
void ldg_att_queue(struct ldg *ldg, struct ldg_att *att,
		   enum ldg_att_state state, int64_t due_us)
{
	if (att->state == ATT_AMBIGUOUS) {
		cds_list_del(&att->node);
		ldg->ambiguous_count--;
	}
	if (att->state == ATT_AMBIGUOUS || att->state == ATT_DISPATCHED)
		cds_list_add_tail(&att->node, &att->shard->queue);
	att->state = state;
	att->due_us = due_us;
}

/*
 * Allows an attempt to send, as its own nonce is in the segment.  It may not
 * send past its deadline, for instance after this process was paused: the
 * caller may have repeated the request and been told that nothing ran.
 */
void ldg_att_dispatch(struct ldg *ldg, struct ldg_att *att, int64_t now)
{
	enum ldg_verdict verdict =
		att->taken_over ? LDG_TAKEN_OVER : LDG_DISPATCH;

	att->swap_unanswered = false;
	if (att->deadline_us <= now) {
		ldg_add_result(ldg, att->req,
			       att->taken_over ? LDG_UNKNOWN : LDG_NOT_RUN,
			       NULL, now + LDG_BUSY_RETRY_US);
		att->state = ATT_RELEASING;
		att->due_us = now;
		return;
	}
	cds_list_del(&att->node);
	att->state = ATT_DISPATCHED;
	ldg_add_result(ldg, att->req, verdict, NULL, 0);
}

/* Retains an attempt with an ambiguous record in case its outcome arrives. */
void ldg_att_set_ambiguous(struct ldg *ldg, struct ldg_att *att, int64_t now)
{
	cds_list_del(&att->node);
	att->state = ATT_AMBIGUOUS;
	att->due_us = now + LDG_LATE_OUTCOME_US;
	cds_list_add_tail(&att->node, &ldg->ambiguous);
	ldg->ambiguous_count++;
}

/*
 * Cancels an attempt whose caller no longer waits.  If a swap with its
 * reservation may have landed or may still land, the record would name a
 * dispatcher that never sends, and every repeat would be told that the request
 * may have run.  Such an attempt is retained until a swap has undone the
 * reservation or raised the segment's version, so that the old swap fails.
 */
void ldg_att_cancel(struct ldg *ldg, struct ldg_att *att, int64_t now)
{
	if (att->swap_unanswered || att->in_batch) {
		att->state = ATT_CANCELLING;
		att->due_us = now;
	} else {
		ldg_att_free(ldg, att);
	}
}

/*
 * Answers a waiting attempt that got no reservation.  "Not run" is proved only
 * if the segments were read after the claim arrived and no swap of this
 * attempt is unanswered.
 */
void ldg_att_refuse(struct ldg *ldg, struct ldg_att *att, int64_t now)
{
	const struct ldg_shard *shard = att->shard;
	enum ldg_verdict verdict = LDG_UNKNOWN;
	int64_t retry_at_us = now + LDG_BUSY_RETRY_US;

	if (shard->step == STEP_READY && shard->view_us >= att->arrived_us &&
	    !att->swap_unanswered && !att->in_batch) {
		const struct ldg_rec *rec = ldg_shard_find(shard, att->intent);

		if (ldg_evaluate(ldg, att, rec, now) == LDG_DISPATCH)
			verdict = LDG_NOT_RUN;
	}
	if (ldg->down && ldg->next_probe_us > now)
		retry_at_us = ldg->next_probe_us;
	ldg_add_result(ldg, att->req, verdict, NULL, retry_at_us);
	ldg_att_cancel(ldg, att, now);
}

/* Adds a result.  rec has the answer of LDG_REPLAY, else it may be NULL. */
void ldg_add_result(struct ldg *ldg, uint64_t req, enum ldg_verdict verdict,
		    const struct ldg_rec *rec, int64_t retry_at_us)
{
	struct ldg_result_node *out = calloc(1, sizeof(*out));

	cnt_add((enum cnt_id)(CNT_LDG_RESERVED + (int)verdict), 1);
	out->result.req = req;
	out->result.verdict = verdict;
	out->result.retry_at_us = retry_at_us;
	if (verdict == LDG_REPLAY) {
		out->result.status = rec->status;
		out->result.answer_stored = rec->answer_stored;
		out->result.answer_len = rec->answer_len;
		if (rec->answer) {
			out->result.answer = calloc(1, rec->answer_len + 1);
			memcpy(out->result.answer, rec->answer,
			       rec->answer_len);
		}
	}
	cds_list_add_tail(&out->node, &ldg->results);
}
