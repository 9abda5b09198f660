#include <stdlib.h>
#include <string.h>

#include "ldg_int.h"

static bool ldg_batch_answer_one(struct ldg *ldg, struct ldg_shard *shard,
				 struct ldg_att *att, int64_t now);
static bool ldg_batch_may_reserve(const struct ldg *ldg,
				  const struct ldg_shard *shard,
				  const struct ldg_att *att, int64_t now);
static bool ldg_batch_is_behind(const struct ldg_shard *shard,
				const struct ldg_att *att);
static bool ldg_batch_moved_on(const struct ldg_shard *shard,
			       const struct ldg_att *att);
static bool ldg_batch_add(struct ldg *ldg, struct ldg_shard *shard,
			  struct ldg_att *att, int64_t now);

/*
 * Answers the waiting attempts whose answer stands in the view of the
 * segments.  Returns true if one of them needs a fresher view first.
 */
bool ldg_batch_answer(struct ldg *ldg, struct ldg_shard *shard, int64_t now)
{
	struct ldg_att *att;
	struct ldg_att *next;
	bool need_read = false;

	cds_list_for_each_entry_safe (att, next, &shard->work, node) {
		if (att->state == ATT_WAITING &&
		    !ldg_batch_answer_one(ldg, shard, att, now))
			need_read = true;
	}
	return need_read;
}

/*
 * Builds the batch of the next swap from the work that waits.  Returns false
 * if there is nothing to write.
 */
bool ldg_batch_build(struct ldg *ldg, struct ldg_shard *shard, int64_t now)
{
	struct ldg_att *att;
	struct ldg_att *next;
	uint32_t count = 0;
	bool write = false;

	cds_list_for_each_entry_safe (att, next, &shard->work, node) {
		if (count == ldg->set.batch_max)
			break;
		if (ldg_batch_find(&shard->batch, att->intent))
			continue; /* one change of a record in one swap */
		if (att->state == ATT_WAITING &&
		    !ldg_batch_may_reserve(ldg, shard, att, now))
			continue;
		if (ldg_batch_add(ldg, shard, att, now)) {
			att->in_batch = true;
			att->batch_state = att->state;
			write = true;
			count++;
		} else {
			ldg_att_free(ldg, att);
		}
	}
	return write;
}

/* The swap landed: its records are the truth now. */
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
	cds_list_for_each_entry_safe (att, next, &shard->work, node) {
		if (!att->in_batch)
			continue;
		att->in_batch = false;
		if (att->state != att->batch_state)
			continue; /* given up meanwhile: to be released */
		if (att->state == ATT_WAITING)
			ldg_att_go(ldg, att, now);
		else if (att->state == ATT_HOLDING)
			ldg_att_park(ldg, att, now);
		else
			ldg_att_free(ldg, att);
	}
}

/*
 * The swap didn't land, or nobody knows (unsure): the attempts go into the
 * next one.
 */
void ldg_batch_drop(struct ldg_shard *shard, bool unsure)
{
	const struct ldg_seg *seg = ldg_shard_current(shard);
	struct ldg_rec *rec;
	struct ldg_rec *next;
	struct ldg_att *att;

	cds_list_for_each_entry_safe (rec, next, &shard->batch, order) {
		cds_list_del(&rec->order);
		ldg_rec_free(rec);
	}
	cds_list_for_each_entry (att, &shard->work, node) {
		if (!att->in_batch)
			continue;
		att->in_batch = false;
		if (unsure && att->batch_state == ATT_WAITING) {
			att->unsure = true;
			att->unsure_number = seg->number;
			att->unsure_version = seg->version;
		}
	}
}

/* Returns false if the view is too old to answer from. */
static bool ldg_batch_answer_one(struct ldg *ldg, struct ldg_shard *shard,
				 struct ldg_att *att, int64_t now)
{
	const struct ldg_rec *rec = ldg_shard_find(shard, att->intent);
	enum ldg_verdict verdict;
	int64_t retry_at_us = 0;

	if (ldg_owns(att, rec)) {
		ldg_att_go(ldg, att, now);
		return true;
	}
	verdict = ldg_judge(ldg, att, rec, now);
	if (verdict == LDG_GO || verdict == LDG_TAKEN_OVER)
		return true;
	if (rec->state != REC_SETTLED && ldg_batch_is_behind(shard, att))
		return true;
	/* A settled record never changes; any other may have, since. */
	if (rec->state != REC_SETTLED && shard->seen_us < att->arrived_us)
		return false;
	if (verdict == LDG_IN_PROGRESS)
		retry_at_us = now + LDG_BUSY_RETRY_US;
	if (verdict == LDG_HELD)
		retry_at_us = now + LDG_HELD_RETRY_US;
	ldg_tell(ldg, att->req, verdict, rec, retry_at_us);
	ldg_att_give_up(ldg, att, now);
	return true;
}

static bool ldg_batch_may_reserve(const struct ldg *ldg,
				  const struct ldg_shard *shard,
				  const struct ldg_att *att, int64_t now)
{
	const struct ldg_rec *rec = ldg_shard_find(shard, att->intent);
	enum ldg_verdict verdict = ldg_judge(ldg, att, rec, now);

	return verdict == LDG_GO || verdict == LDG_TAKEN_OVER;
}

/*
 * True if this instance is about to write the end of an earlier attempt on
 * the same intent: a repeat that follows at once hears that end.
 */
static bool ldg_batch_is_behind(const struct ldg_shard *shard,
				const struct ldg_att *att)
{
	const struct ldg_att *other;

	cds_list_for_each_entry (other, &shard->work, node) {
		if (other == att)
			return false;
		if (memcmp(other->intent, att->intent, MAG_DIGEST_BYTES) == 0)
			return true;
	}
	return false;
}

/* True if the unanswered swap of an attempt can't land any more. */
static bool ldg_batch_moved_on(const struct ldg_shard *shard,
			       const struct ldg_att *att)
{
	const struct ldg_seg *seg = ldg_shard_current(shard);

	if (!att->unsure || seg->number > att->unsure_number)
		return true;
	return seg->version > att->unsure_version;
}

/* Returns false if an attempt has nothing left to write. */
static bool ldg_batch_add(struct ldg *ldg, struct ldg_shard *shard,
			  struct ldg_att *att, int64_t now)
{
	const struct ldg_rec *old = ldg_shard_find(shard, att->intent);
	struct ldg_rec *rec = ldg_apply(ldg, att, old, now);

	if (rec) {
		cds_list_add_tail(&rec->order, &shard->batch);
		return true;
	}
	return att->state == ATT_VOIDING && !ldg_batch_moved_on(shard, att);
}
