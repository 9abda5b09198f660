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
static void ldg_call_empty_segment(struct ldg *ldg, struct ldg_shard *shard,
				   int64_t now);
static void ldg_reply_by_target(struct ldg *ldg, struct ldg_shard *shard,
				const struct kv_reply *reply, int64_t now);
static void ldg_reply_empty_segment(struct ldg_shard *shard,
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
static bool ldg_shard_view_outdated(const struct ldg_shard *shard);
static void ldg_increase_swap_interval(struct ldg *ldg, int64_t now);
static void ldg_on_answer(struct ldg *ldg);
static void ldg_on_no_answer(struct ldg *ldg, struct ldg_shard *shard,
			     const struct kv_reply *reply, int64_t now);

/* Starts the next call of a shard if something is due and calls are allowed. */
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

/* Handles the reply to a shard's call.  The caller frees the reply's value. */
void ldg_shard_reply(struct ldg *ldg, struct ldg_shard *shard,
		     const struct kv_reply *reply, int64_t now)
{
	bool answered =
		reply->status != KV_NOT_SENT && reply->status != KV_NO_ANSWER;

	shard->call_id = 0;
	ldg->calls_in_flight--;
	if (answered)
		ldg_on_answer(ldg);
	if (reply->status == KV_RATE_LIMITED) {
		ldg_shard_back_off(ldg, shard, now);
		ldg_increase_swap_interval(ldg, now);
	}
	ldg_reply_by_target(ldg, shard, reply, now);
	if (!answered)
		ldg_on_no_answer(ldg, shard, reply, now);
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
		ldg_reply_empty_segment(shard, reply);
		break;
	}
}

/*
 * During an outage of the key-value service one call at a time probes whether
 * it is back; otherwise every shard of every instance would call it at once
 * when it returns.
 */
static bool ldg_may_call(const struct ldg *ldg, int64_t now)
{
	if (!ldg->down)
		return true;
	return now >= ldg->next_probe_us && ldg->calls_in_flight == 0;
}

static void ldg_call_start(struct ldg *ldg, struct ldg_shard *shard,
			   struct ldg_call_node *out, int64_t now)
{
	out->call.id = ++ldg->next_call;
	out->call.deadline_us = now + ldg->set.call_timeout_us;
	cds_list_add_tail(&out->node, &ldg->calls);
	shard->call_id = out->call.id;
	shard->call_op = out->call.op;
	shard->call_started_us = now;
	/* A call that never gets a reply must not block the shard. */
	shard->call_deadline_us = now + 2 * ldg->set.call_timeout_us;
	ldg->calls_in_flight++;
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

/* Empties a segment that the head no longer lists as live. */
static void ldg_call_empty_segment(struct ldg *ldg, struct ldg_shard *shard,
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

/* Answers from the cached segments, reads them again, or starts a swap. */
static void ldg_call_next(struct ldg *ldg, struct ldg_shard *shard, int64_t now)
{
	bool need_read = ldg_batch_answer(ldg, shard, now);

	if (cds_list_empty(&shard->queue)) {
		if (shard->head_dirty)
			ldg_call_head(ldg, shard, KV_CAS, now);
		else if (!cds_list_empty(&shard->expired))
			ldg_call_empty_segment(ldg, shard, now);
		return;
	}
	if (!ldg_take_turn(ldg, shard, now) && !need_read)
		return;
	/* A swap of an old version wastes a write; a read costs less. */
	if (shard->contended && now - shard->view_us > LDG_VIEW_MAX_AGE_US)
		need_read = true;
	if (need_read) {
		shard->step = STEP_STALE;
		ldg_call_segment(ldg, shard, KV_GET, now);
	} else {
		shard->may_swap = false;
		if (ldg_batch_build(ldg, shard, now))
			ldg_call_swap(ldg, shard, now);
	}
}

/*
 * The shards of an instance take turns at the swaps that its swap interval
 * allows.  A shard retains its turn while it reads; otherwise what it read
 * would be old again when its turn comes.
 */
static bool ldg_take_turn(struct ldg *ldg, struct ldg_shard *shard, int64_t now)
{
	if (shard->may_swap)
		return true;
	if (now < ldg->next_swap_us)
		return false;
	shard->may_swap = true;
	ldg->next_swap_us = now + ldg->swap_interval_us;
	cds_list_del(&shard->node);
	cds_list_add_tail(&shard->node, &ldg->shards);
	return true;
}

/*
 * Handles the value of a shard's head.  Segments are never deleted, so a head
 * that is absent, old or unreadable only makes this instance read more of them.
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

/* The head is only a hint: a swap of it that failed needs no retry. */
static void ldg_reply_head_swap(struct ldg_shard *shard,
				const struct kv_reply *reply)
{
	if (reply->status == KV_OK)
		shard->head_version = reply->version;
	if (reply->status != KV_RATE_LIMITED)
		shard->head_dirty = false;
}

/*
 * Caches the value of the current segment.  If it has been sealed, the next one
 * must be read before any claim can be answered.
 */
static void ldg_reply_read(struct ldg *ldg, struct ldg_shard *shard,
			   const struct kv_reply *reply)
{
	struct ldg_seg *old = ldg_shard_current(shard);
	struct ldg_seg *seg;

	if (reply->status == KV_ABSENT) {
		shard->step = STEP_READY;
		shard->view_us = shard->call_started_us;
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
			ldg->consecutive_failures = LDG_DOWN_FAILURES;
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
	shard->view_us = shard->call_started_us;
}

/* A conflict means that another instance has emptied the segment already. */
static void ldg_reply_empty_segment(struct ldg_shard *shard,
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
		shard->view_us = shard->call_started_us;
		shard->backoff_us = 0;
		ldg->swap_interval_us -= ldg->swap_interval_us / 8;
		if (shard->batch_seals) {
			ldg_shard_next_segment(shard);
			ldg_shard_trim(shard, ldg->wall_offset_ms +
						      now / MAG_US_PER_MS);
			shard->head_dirty = true;
		}
		return;
	}
	ldg_batch_abort(shard, reply->status == KV_NO_ANSWER);
	if (reply->status == KV_CONFLICT || reply->status == KV_NO_ANSWER)
		shard->step = STEP_STALE;
	/*
	 * Reads have their own rate limit, and only a read after the claim
	 * proves that nothing ran.
	 */
	if (reply->status == KV_RATE_LIMITED && ldg_shard_view_outdated(shard))
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

/*
 * Sets a random wait below a limit that doubles, so that two instances that
 * conflicted don't conflict again.
 */
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

/* Tells whether a waiting claim arrived after the segments were read. */
static bool ldg_shard_view_outdated(const struct ldg_shard *shard)
{
	const struct ldg_att *att;

	cds_list_for_each_entry (att, &shard->queue, node) {
		if (att->state == ATT_WAITING &&
		    att->arrived_us > shard->view_us)
			return true;
	}
	return false;
}

/*
 * The key-value service has refused a call for the rate, a limit that all
 * instances share.  Fewer swaps with more records each let more requests
 * through than retries.
 */
static void ldg_increase_swap_interval(struct ldg *ldg, int64_t now)
{
	ldg->swap_interval_us = ldg->swap_interval_us +
				ldg->swap_interval_us / 2 +
				LDG_SWAP_INTERVAL_STEP_US;
	if (ldg->swap_interval_us > LDG_SWAP_INTERVAL_MAX_US)
		ldg->swap_interval_us = LDG_SWAP_INTERVAL_MAX_US;
	ldg->next_swap_us = now + ldg->swap_interval_us;
}

static void ldg_on_answer(struct ldg *ldg)
{
	if (ldg->down)
		log_event(LOG_LDG_UP, "instance=%s", ldg->set.instance);
	ldg->down = false;
	ldg->down_backoff_us = 0;
	ldg->consecutive_failures = 0;
}

/*
 * A call got no reply.  After one lost reply the segment is read again.
 * LDG_DOWN_FAILURES in a row, or a call that could not be sent, mean an outage:
 * then callers are told at once that the records are unreachable instead of
 * waiting until each call times out.
 */
static void ldg_on_no_answer(struct ldg *ldg, struct ldg_shard *shard,
			     const struct kv_reply *reply, int64_t now)
{
	struct ldg_shard *other;

	ldg->consecutive_failures +=
		reply->status == KV_NOT_SENT ? LDG_DOWN_FAILURES : 1;
	if (ldg->consecutive_failures < LDG_DOWN_FAILURES)
		return;
	if (!ldg->down)
		log_event(LOG_LDG_DOWN, "instance=%s", ldg->set.instance);
	ldg->down = true;
	ldg->down_backoff_us = ldg->down_backoff_us ? ldg->down_backoff_us * 2
						    : LDG_DOWN_BACKOFF_US;
	if (ldg->down_backoff_us > LDG_DOWN_BACKOFF_MAX_US)
		ldg->down_backoff_us = LDG_DOWN_BACKOFF_MAX_US;
	ldg->next_probe_us = now + ldg->down_backoff_us;
	cds_list_for_each_entry (other, &ldg->shards, node) {
		if (other == shard || !other->call_id)
			ldg_shard_refuse_waiting(ldg, other, now);
	}
}
