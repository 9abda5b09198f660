#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ldg_int.h"
#include "log.h"

static bool ldg_may_call(const struct ldg *ldg, int64_t now);
static void ldg_call_start(struct ldg *ldg, struct ldg_shard *shard,
			   struct ldg_call_node *out, int64_t now);
static void ldg_call_segment(struct ldg *ldg, struct ldg_shard *shard,
			     enum kv_op op, int64_t now);
static void ldg_call_head(struct ldg *ldg, struct ldg_shard *shard,
			  enum kv_op op, int64_t now);
static void ldg_call_swap(struct ldg *ldg, struct ldg_shard *shard,
			  int64_t now);
static bool ldg_take_turn(struct ldg *ldg, struct ldg_shard *shard,
			  int64_t now);
static void ldg_call_next(struct ldg *ldg, struct ldg_shard *shard,
			  int64_t now);
static void ldg_call_empty(struct ldg *ldg, struct ldg_shard *shard,
			   int64_t now);
static void ldg_reply_by_target(struct ldg *ldg, struct ldg_shard *shard,
				const struct kv_reply *reply, int64_t now);
static void ldg_reply_empty(struct ldg_shard *shard,
			    const struct kv_reply *reply);
static void ldg_reply_head(struct ldg_shard *shard,
			   const struct kv_reply *reply);
static void ldg_reply_head_swap(struct ldg_shard *shard,
				const struct kv_reply *reply);
static void ldg_reply_read(struct ldg *ldg, struct ldg_shard *shard,
			   const struct kv_reply *reply);
static void ldg_reply_swap(struct ldg *ldg, struct ldg_shard *shard,
			   const struct kv_reply *reply, int64_t now);
static void ldg_shard_next_segment(struct ldg_shard *shard);
static void ldg_shard_back_off(struct ldg *ldg, struct ldg_shard *shard,
			       int64_t now);
static bool ldg_shard_unseen(const struct ldg_shard *shard);
static void ldg_slow_down(struct ldg *ldg, int64_t now);
static void ldg_answered(struct ldg *ldg);
static void ldg_unanswered(struct ldg *ldg, struct ldg_shard *shard,
			   const struct kv_reply *reply, int64_t now);

/* Starts the next call of a shard, if it has work and may. */
void ldg_shard_advance(struct ldg *ldg, struct ldg_shard *shard, int64_t now)
{
	if (shard->call_id || now < shard->retry_us ||
	    !ldg_shard_due(shard, now) || !ldg_may_call(ldg, now))
		return;
	switch (shard->step) {
	case STEP_COLD:
		ldg_call_head(ldg, shard, KV_GET, now);
		break;
	case STEP_STALE:
		ldg_call_segment(ldg, shard, KV_GET, now);
		break;
	case STEP_READY:
		ldg_call_next(ldg, shard, now);
		break;
	}
}

/* Takes the end of a shard's call.  The caller frees the reply's value. */
void ldg_shard_reply(struct ldg *ldg, struct ldg_shard *shard,
		     const struct kv_reply *reply, int64_t now)
{
	bool answered =
		reply->status != KV_NOT_SENT && reply->status != KV_NO_ANSWER;

	shard->call_id = 0;
	ldg->calls_out--;
	if (answered)
		ldg_answered(ldg);
	if (reply->status == KV_RATE_LIMITED) {
		ldg_shard_back_off(ldg, shard, now);
		ldg_slow_down(ldg, now);
	}
	ldg_reply_by_target(ldg, shard, reply, now);
	if (!answered)
		ldg_unanswered(ldg, shard, reply, now);
	else if (shard->step == STEP_READY)
		ldg_batch_answer(ldg, shard, now);
}

static void ldg_reply_by_target(struct ldg *ldg, struct ldg_shard *shard,
				const struct kv_reply *reply, int64_t now)
{
	bool swap = shard->call_op == KV_CAS;

	switch (shard->call_target) {
	case TARGET_HEAD:
		if (swap)
			ldg_reply_head_swap(shard, reply);
		else
			ldg_reply_head(shard, reply);
		break;
	case TARGET_CURRENT:
		if (swap)
			ldg_reply_swap(ldg, shard, reply, now);
		else
			ldg_reply_read(ldg, shard, reply);
		break;
	case TARGET_EXPIRED:
		ldg_reply_empty(shard, reply);
		break;
	}
}

/*
 * While the service is out, one call at a time asks whether it is back, so
 * that its return isn't met by every shard of every instance at once.
 */
static bool ldg_may_call(const struct ldg *ldg, int64_t now)
{
	if (!ldg->down)
		return true;
	return now >= ldg->down_until_us && ldg->calls_out == 0;
}

static void ldg_call_start(struct ldg *ldg, struct ldg_shard *shard,
			   struct ldg_call_node *out, int64_t now)
{
	out->call.id = ++ldg->next_call;
	out->call.deadline_us = now + ldg->set.call_timeout_us;
	cds_list_add_tail(&out->node, &ldg->calls);
	shard->call_id = out->call.id;
	shard->call_op = out->call.op;
	shard->call_begun_us = now;
	/* A shell that never answers must not stop the shard for good. */
	shard->call_deadline_us = now + 2 * ldg->set.call_timeout_us;
	ldg->calls_out++;
}

static void ldg_call_segment(struct ldg *ldg, struct ldg_shard *shard,
			     enum kv_op op, int64_t now)
{
	const struct ldg_seg *seg = ldg_shard_current(shard);
	struct ldg_call_node *out = calloc(1, sizeof(*out));

	out->call.op = op;
	snprintf(out->call.key, sizeof(out->call.key), "ledger/%s/%u",
		 shard->name, seg->number);
	shard->call_target = TARGET_CURRENT;
	ldg_call_start(ldg, shard, out, now);
}

static void ldg_call_head(struct ldg *ldg, struct ldg_shard *shard,
			  enum kv_op op, int64_t now)
{
	struct ldg_call_node *out = calloc(1, sizeof(*out));

	out->call.op = op;
	snprintf(out->call.key, sizeof(out->call.key), "ledger/%s/head",
		 shard->name);
	if (op == KV_CAS) {
		out->call.version = shard->head_version;
		out->call.value = ldg_json_write_head(
			shard->first, ldg_shard_current(shard)->number);
		out->call.len = strlen(out->call.value);
	}
	shard->call_target = TARGET_HEAD;
	ldg_call_start(ldg, shard, out, now);
}

static void ldg_call_swap(struct ldg *ldg, struct ldg_shard *shard, int64_t now)
{
	struct ldg_seg *seg = ldg_shard_current(shard);
	size_t seal = shard->single ? SIZE_MAX : ldg->set.segment_bytes;
	struct ldg_call_node *out;

	ldg_call_segment(ldg, shard, KV_CAS, now);
	out = cds_list_entry(ldg->calls.prev, struct ldg_call_node, node);
	out->call.version = seg->version;
	ldg_seg_purge(seg, ldg->wall_offset_ms + now / MAG_US_PER_MS);
	out->call.value =
		ldg_json_write(seg, &shard->batch, seal, &shard->batch_seals);
	out->call.len = strlen(out->call.value);
}

/* Empties a segment that the head no longer counts as live. */
static void ldg_call_empty(struct ldg *ldg, struct ldg_shard *shard,
			   int64_t now)
{
	const struct ldg_seg *seg =
		cds_list_first_entry(&shard->expired, struct ldg_seg, node);
	struct ldg_call_node *out = calloc(1, sizeof(*out));

	out->call.op = KV_CAS;
	snprintf(out->call.key, sizeof(out->call.key), "ledger/%s/%u",
		 shard->name, seg->number);
	out->call.version = seg->version;
	out->call.value = ldg_json_write_empty();
	out->call.len = strlen(out->call.value);
	shard->call_target = TARGET_EXPIRED;
	ldg_call_start(ldg, shard, out, now);
}

/* The view is read: answers from it, refreshes it, or writes. */
static void ldg_call_next(struct ldg *ldg, struct ldg_shard *shard, int64_t now)
{
	bool need_read = ldg_batch_answer(ldg, shard, now);

	if (cds_list_empty(&shard->work)) {
		if (shard->head_due)
			ldg_call_head(ldg, shard, KV_CAS, now);
		else if (!cds_list_empty(&shard->expired))
			ldg_call_empty(ldg, shard, now);
		return;
	}
	if (!ldg_take_turn(ldg, shard, now) && !need_read)
		return;
	/* A swap from an old version costs a write; a read costs less. */
	if (shard->contended && now - shard->seen_us > LDG_FRESH_US)
		need_read = true;
	if (need_read) {
		shard->step = STEP_STALE;
		ldg_call_segment(ldg, shard, KV_GET, now);
	} else {
		shard->has_turn = false;
		if (ldg_batch_build(ldg, shard, now))
			ldg_call_swap(ldg, shard, now);
	}
}

/*
 * The shards of an instance take turns at the swaps that its pace allows.  A
 * shard keeps its turn while it reads, or its view would be old again.
 */
static bool ldg_take_turn(struct ldg *ldg, struct ldg_shard *shard, int64_t now)
{
	if (shard->has_turn)
		return true;
	if (now < ldg->next_swap_us)
		return false;
	shard->has_turn = true;
	ldg->next_swap_us = now + ldg->pace_us;
	cds_list_del(&shard->node);
	cds_list_add_tail(&shard->node, &ldg->shards);
	return true;
}

/*
 * Segments are never deleted, so a head that is absent, old or unreadable
 * only makes this instance read more of them.
 */
static void ldg_reply_head(struct ldg_shard *shard,
			   const struct kv_reply *reply)
{
	uint32_t last;

	if (reply->status != KV_OK && reply->status != KV_ABSENT)
		return;
	shard->head_version = reply->version;
	if (reply->status == KV_OK)
		ldg_json_read_head(reply->value, reply->len, &shard->first,
				   &last);
	ldg_shard_current(shard)->number = shard->first;
	shard->step = STEP_STALE;
}

/* The head is a hint: whoever lost the swap has nothing to make good. */
static void ldg_reply_head_swap(struct ldg_shard *shard,
				const struct kv_reply *reply)
{
	if (reply->status == KV_OK)
		shard->head_version = reply->version;
	if (reply->status != KV_RATE_LIMITED)
		shard->head_due = false;
}

/*
 * Takes the value of the segment that was current.  If it is sealed, the
 * next one is to be read before anything is known.
 */
static void ldg_reply_read(struct ldg *ldg, struct ldg_shard *shard,
			   const struct kv_reply *reply)
{
	struct ldg_seg *old = ldg_shard_current(shard);
	struct ldg_seg *seg;

	if (reply->status == KV_ABSENT) {
		shard->step = STEP_READY;
		shard->seen_us = shard->call_begun_us;
		return;
	}
	if (reply->status != KV_OK)
		return;
	shard->contended = reply->version != old->version;
	if (shard->contended) {
		seg = ldg_seg_new(old->number);
		if (ldg_json_read(seg, reply->value, reply->len) < 0) {
			log_event(LOG_LDG_BAD_SEGMENT, "shard=%s segment=%u",
				  shard->name, seg->number);
			ldg_seg_free(seg);
			ldg->failures = LDG_FAILURES_DOWN;
			return;
		}
		seg->version = reply->version;
		cds_list_del(&old->node);
		ldg_seg_free(old);
		cds_list_add_tail(&seg->node, &shard->segs);
		if (seg->sealed) {
			ldg_shard_next_segment(shard);
			return;
		}
	}
	shard->step = STEP_READY;
	shard->seen_us = shard->call_begun_us;
}

/* A conflict says that another instance emptied it first. */
static void ldg_reply_empty(struct ldg_shard *shard,
			    const struct kv_reply *reply)
{
	struct ldg_seg *seg =
		cds_list_first_entry(&shard->expired, struct ldg_seg, node);

	if (reply->status == KV_RATE_LIMITED || reply->status == KV_NOT_SENT)
		return;
	cds_list_del(&seg->node);
	ldg_seg_free(seg);
}

static void ldg_reply_swap(struct ldg *ldg, struct ldg_shard *shard,
			   const struct kv_reply *reply, int64_t now)
{
	if (reply->status == KV_OK) {
		ldg_shard_current(shard)->version = reply->version;
		ldg_batch_commit(ldg, shard, now);
		shard->seen_us = shard->call_begun_us;
		shard->backoff_us = 0;
		ldg->pace_us -= ldg->pace_us / 8;
		if (shard->batch_seals) {
			ldg_shard_next_segment(shard);
			ldg_shard_trim(shard, ldg->wall_offset_ms +
						      now / MAG_US_PER_MS);
			shard->head_due = true;
		}
		return;
	}
	ldg_batch_drop(shard, reply->status == KV_NO_ANSWER);
	if (reply->status == KV_CONFLICT || reply->status == KV_NO_ANSWER)
		shard->step = STEP_STALE;
	/*
	 * Reads have a rate of their own, and a view from after the claim is
	 * what proves that nothing ran.
	 */
	if (reply->status == KV_RATE_LIMITED && ldg_shard_unseen(shard))
		shard->step = STEP_STALE;
	if (reply->status == KV_CONFLICT) {
		shard->contended = true;
		ldg_shard_back_off(ldg, shard, now);
	}
}

static void ldg_shard_next_segment(struct ldg_shard *shard)
{
	struct ldg_seg *seg = ldg_shard_current(shard);

	seg->sealed = true;
	cds_list_add_tail(&ldg_seg_new(seg->number + 1)->node, &shard->segs);
}

/* A random wait that doubles, so that two losers don't meet again. */
static void ldg_shard_back_off(struct ldg *ldg, struct ldg_shard *shard,
			       int64_t now)
{
	ldg->rng =
		ldg->rng * UINT64_C(6364136223846793005) + 1442695040888963407;
	shard->backoff_us =
		shard->backoff_us ? shard->backoff_us * 2 : LDG_BACKOFF_US;
	if (shard->backoff_us > LDG_BACKOFF_MAX_US)
		shard->backoff_us = LDG_BACKOFF_MAX_US;
	shard->retry_us =
		now + (int64_t)((ldg->rng >> 33) % (uint64_t)shard->backoff_us);
}

/* True if a claim that waits is younger than the view of the segments. */
static bool ldg_shard_unseen(const struct ldg_shard *shard)
{
	const struct ldg_att *att;

	cds_list_for_each_entry (att, &shard->work, node) {
		if (att->state == ATT_WAITING &&
		    att->arrived_us > shard->seen_us)
			return true;
	}
	return false;
}

/*
 * The service refuses calls for their rate, which all instances share.  Fewer
 * swaps, each with more work in it, get more bookings through than retries.
 */
static void ldg_slow_down(struct ldg *ldg, int64_t now)
{
	ldg->pace_us = ldg->pace_us + ldg->pace_us / 2 + LDG_PACE_US;
	if (ldg->pace_us > LDG_PACE_MAX_US)
		ldg->pace_us = LDG_PACE_MAX_US;
	ldg->next_swap_us = now + ldg->pace_us;
}

static void ldg_answered(struct ldg *ldg)
{
	if (ldg->down)
		log_event(LOG_LDG_UP, "instance=%s", ldg->set.instance);
	ldg->down = false;
	ldg->down_backoff_us = 0;
	ldg->failures = 0;
}

/*
 * No answer came.  One lost answer is read after; several in a row, or a
 * call that couldn't be made, mean an outage, and then callers hear at once
 * that the records can't be reached instead of waiting for each call's end.
 */
static void ldg_unanswered(struct ldg *ldg, struct ldg_shard *shard,
			   const struct kv_reply *reply, int64_t now)
{
	struct ldg_shard *other;

	ldg->failures += reply->status == KV_NOT_SENT ? LDG_FAILURES_DOWN : 1;
	if (ldg->failures < LDG_FAILURES_DOWN)
		return;
	if (!ldg->down)
		log_event(LOG_LDG_DOWN, "instance=%s", ldg->set.instance);
	ldg->down = true;
	ldg->down_backoff_us =
		ldg->down_backoff_us ? ldg->down_backoff_us * 2 : LDG_DOWN_US;
	if (ldg->down_backoff_us > LDG_DOWN_MAX_US)
		ldg->down_backoff_us = LDG_DOWN_MAX_US;
	ldg->down_until_us = now + ldg->down_backoff_us;
	cds_list_for_each_entry (other, &ldg->shards, node) {
		if (other == shard || !other->call_id)
			ldg_shard_refuse_waiting(ldg, other, now);
	}
}
