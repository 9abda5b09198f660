#include <stdlib.h>
#include <string.h>

#include "ldg_int.h"

static bool ldg_batch_answer_one(struct ldg *ldg, struct ldg_shard *shard,
				 struct ldg_att *att, int64_t now);
static bool ldg_batch_may_reserve(const struct ldg *ldg,
				  const struct ldg_shard *shard,
				  const struct ldg_att *att, int64_t now);
static bool ldg_batch_has_earlier(const struct ldg_shard *shard,
				  const struct ldg_att *att);
static bool ldg_batch_superseded(const struct ldg_shard *shard,
				 const struct ldg_att *att);
static bool ldg_batch_add(struct ldg *ldg, struct ldg_shard *shard,
			  struct ldg_att *att, int64_t now);

/*
 * Answers the waiting attempts that the cached segments can answer.  Returns
 * true if one of them needs the segments to be read again first.
 */
bool ldg_batch_answer(struct ldg *ldg, struct ldg_shard *shard, int64_t now)
{
	struct ldg_att *att;
	struct ldg_att *next;
	bool need_read = false;

	cds_list_for_each_entry_safe (att, next, &shard->queue, node) {
		if (att->state == ATT_WAITING &&
		    !ldg_batch_answer_one(ldg, shard, att, now))
			need_read = true;
	}
	return need_read;
}

/*
 * Builds the batch of the next swap from the queue.  Returns false if there is
 * nothing to write.
 */
bool ldg_batch_build(struct ldg *ldg, struct ldg_shard *shard, int64_t now)
{
	struct ldg_att *att;
	struct ldg_att *next;
	uint32_t count = 0;
	bool write = false;

	cds_list_for_each_entry_safe (att, next, &shard->queue, node) {
		if (count == ldg->set.batch_max)
			break;
		if (ldg_batch_find(&shard->batch, att->intent))
			continue; /* one change per record and swap */
		if (att->state == ATT_WAITING &&
		    !ldg_batch_may_reserve(ldg, shard, att, now))
			continue;
		if (ldg_batch_add(ldg, shard, att, now)) {
			att->in_batch = true;
			att->batched_state = att->state;
			write = true;
			count++;
		} else {
			ldg_att_free(ldg, att);
		}
	}
	return write;
}

/* The swap succeeded: moves its records into the cached segment. */
void ldg_batch_commit(struct ldg *ldg, struct ldg_shard *shard, int64_t now)
{
	struct ldg_seg *seg = ldg_shard_current(shard);
	struct ldg_rec *rec;
	struct ldg_rec *next_rec;
	struct ldg_att *att;
	struct ldg_att *next;

	cds_list_for_each_entry_safe (rec, next_rec, &shard->batch, order) {
		cds_list_del(&rec->order);
		ldg_seg_put(seg, rec);
	}
	cds_list_for_each_entry_safe (att, next, &shard->queue, node) {
		if (!att->in_batch)
			continue;
		att->in_batch = false;
		if (att->state != att->batched_state)
			continue; /* changed meanwhile: into the next swap */
		if (att->state == ATT_WAITING)
			ldg_att_dispatch(ldg, att, now);
		else if (att->state == ATT_MARKING_AMBIGUOUS)
			ldg_att_set_ambiguous(ldg, att, now);
		else
			ldg_att_free(ldg, att);
	}
}

/*
 * The swap failed, or got no reply and may still land (unanswered).  Discards
 * its records; the attempts go into the next swap.
 */
void ldg_batch_abort(struct ldg_shard *shard, bool unanswered)
{
	const struct ldg_seg *seg = ldg_shard_current(shard);
	struct ldg_rec *rec;
	struct ldg_rec *next;
	struct ldg_att *att;

	cds_list_for_each_entry_safe (rec, next, &shard->batch, order) {
		cds_list_del(&rec->order);
		ldg_rec_free(rec);
	}
	cds_list_for_each_entry (att, &shard->queue, node) {
		if (!att->in_batch)
			continue;
		att->in_batch = false;
		if (unanswered && att->batched_state == ATT_WAITING) {
			att->swap_unanswered = true;
			att->unanswered_segment = seg->number;
			att->unanswered_version = seg->version;
		}
	}
}

/* Returns false if the cached segments are too old to answer from. */
static bool ldg_batch_answer_one(struct ldg *ldg, struct ldg_shard *shard,
				 struct ldg_att *att, int64_t now)
{
	const struct ldg_rec *rec = ldg_shard_find(shard, att->intent);
	enum ldg_verdict verdict;
	int64_t retry_at_us = 0;

	if (ldg_owns(att, rec)) {
		ldg_att_dispatch(ldg, att, now);
		return true;
	}
	verdict = ldg_evaluate(ldg, att, rec, now);
	if (verdict == LDG_DISPATCH || verdict == LDG_TAKEN_OVER)
		return true;
	if (rec->state != REC_SETTLED && ldg_batch_has_earlier(shard, att))
		return true;
	/* Any record but a settled one may have changed since the read. */
	if (rec->state != REC_SETTLED && shard->view_us < att->arrived_us)
		return false;
	if (verdict == LDG_IN_PROGRESS)
		retry_at_us = now + LDG_BUSY_RETRY_US;
	if (verdict == LDG_AMBIGUOUS)
		retry_at_us = now + LDG_AMBIGUOUS_RETRY_US;
	ldg_add_result(ldg, att->req, verdict, rec, retry_at_us);
	ldg_att_cancel(ldg, att, now);
	return true;
}

static bool ldg_batch_may_reserve(const struct ldg *ldg,
				  const struct ldg_shard *shard,
				  const struct ldg_att *att, int64_t now)
{
	const struct ldg_rec *rec = ldg_shard_find(shard, att->intent);
	enum ldg_verdict verdict = ldg_evaluate(ldg, att, rec, now);

	return verdict == LDG_DISPATCH || verdict == LDG_TAKEN_OVER;
}

/*
 * Tells whether this instance is about to write the end of an earlier attempt
 * on the same intent.  A repeat that follows at once waits for that end and is
 * answered from it.
 */
static bool ldg_batch_has_earlier(const struct ldg_shard *shard,
				  const struct ldg_att *att)
{
	const struct ldg_att *other;

	cds_list_for_each_entry (other, &shard->queue, node) {
		if (other == att)
			return false;
		if (memcmp(other->intent, att->intent, MAG_DIGEST_BYTES) == 0)
			return true;
	}
	return false;
}

/* Tells that the unanswered swap of an attempt can't land any more. */
static bool ldg_batch_superseded(const struct ldg_shard *shard,
				 const struct ldg_att *att)
{
	const struct ldg_seg *seg = ldg_shard_current(shard);

	if (!att->swap_unanswered || seg->number > att->unanswered_segment)
		return true;
	return seg->version > att->unanswered_version;
}

/* Adds the change of an attempt.  Returns false if it has none to write. */
static bool ldg_batch_add(struct ldg *ldg, struct ldg_shard *shard,
			  struct ldg_att *att, int64_t now)
{
	const struct ldg_rec *old = ldg_shard_find(shard, att->intent);
	struct ldg_rec *rec = ldg_build_record(ldg, att, old, now);

	if (rec) {
		cds_list_add_tail(&rec->order, &shard->batch);
		return true;
	}
	return att->state == ATT_CANCELLING &&
	       !ldg_batch_superseded(shard, att);
}
