#include <stdlib.h>
#include <string.h>

#include "ldg_int.h"

static int ldg_check_key(const struct ldg_claim *claim, int64_t *expiry_ms);
static struct ldg_att *ldg_find_dispatched(const struct ldg *ldg, uint64_t req);
static void ldg_expire_ambiguous(struct ldg *ldg, int64_t now);
static void ldg_expire_claims(struct ldg *ldg, struct ldg_shard *shard,
			      int64_t now);
static void ldg_expire_call(struct ldg *ldg, struct ldg_shard *shard,
			    int64_t now);
static void ldg_evict_idle_shards(struct ldg *ldg);

/* Creates the ledger of an instance.  It reads nothing before a claim. */
struct ldg *ldg_new(const struct ldg_settings *settings)
{
	struct ldg *ldg = calloc(1, sizeof(*ldg));
	int i;

	ldg->set = *settings;
	if (ldg->set.shards == 0)
		ldg->set.shards = 1;
	if (ldg->set.batch_max == 0 || ldg->set.one_record_each)
		ldg->set.batch_max = 1;
	ldg->rng = settings->incarnation;
	ldg->table = calloc(ldg->set.shards, sizeof(struct ldg_shard *));
	CDS_INIT_LIST_HEAD(&ldg->shards);
	CDS_INIT_LIST_HEAD(&ldg->ambiguous);
	CDS_INIT_LIST_HEAD(&ldg->calls);
	CDS_INIT_LIST_HEAD(&ldg->results);
	for (i = 0; i < LDG_BUCKETS; i++) {
		CDS_INIT_LIST_HEAD(&ldg->by_req[i]);
		CDS_INIT_LIST_HEAD(&ldg->by_intent[i]);
	}
	return ldg;
}

void ldg_free(struct ldg *ldg)
{
	struct ldg_shard *shard;
	struct ldg_shard *next_shard;
	struct ldg_att *att;
	struct ldg_att *next;
	struct ldg_result result;
	struct kv_call call;
	int i;

	if (!ldg)
		return;
	for (i = 0; i < LDG_BUCKETS; i++) {
		cds_list_for_each_entry_safe (att, next, &ldg->by_req[i],
					      by_req)
			ldg_att_free(ldg, att);
	}
	cds_list_for_each_entry_safe (shard, next_shard, &ldg->shards, node)
		ldg_shard_free(ldg, shard);
	while (ldg_next_call(ldg, &call))
		free(call.value);
	while (ldg_next_result(ldg, &result))
		free(result.answer);
	free(ldg->table);
	free(ldg);
}

/*
 * Requests the one dispatch of an intent.  Exactly one result follows for the
 * request unless it is released before.  Returns LDG_E_KEY_EXPIRED or
 * LDG_E_KEY_FORMAT if a timed key is refused, and LDG_E_FULL if this instance
 * has too many attempts in memory.  After an error no result follows and
 * nothing is reserved.
 */
int ldg_reserve(struct ldg *ldg, const struct ldg_claim *claim, int64_t now)
{
	const struct ldg_att *live = ldg_att_find_active(ldg, claim->intent);
	int64_t expiry_ms = 0;
	int err = claim->timed ? ldg_check_key(claim, &expiry_ms) : LDG_OK;

	if (err)
		return err;
	if (ldg->att_count >= LDG_ATTEMPTS_MAX)
		return LDG_E_FULL;
	ldg->wall_offset_ms = claim->wall_ms - now / MAG_US_PER_MS;
	if (live) {
		bool same = memcmp(live->fingerprint, claim->fingerprint,
				   MAG_DIGEST_BYTES) == 0;

		ldg_add_result(ldg, claim->req,
			       same ? LDG_IN_PROGRESS : LDG_MISMATCH, NULL,
			       now + LDG_BUSY_RETRY_US);
	} else if (ldg->down && now < ldg->next_probe_us) {
		ldg_add_result(ldg, claim->req, LDG_UNKNOWN, NULL,
			       ldg->next_probe_us);
	} else {
		ldg_att_new(ldg, claim, expiry_ms, now);
	}
	return LDG_OK;
}

/*
 * Records the outcome of a request that ran; every repeat of the key gets it.
 * While the key-value service limits writes, the record is written one swap
 * interval later so that it shares a swap with others.  No result follows.
 */
int ldg_settle(struct ldg *ldg, uint64_t req, const struct ldg_outcome *outcome,
	       int64_t now)
{
	struct ldg_att *att = ldg_find_dispatched(ldg, req);

	if (!att)
		return LDG_E_UNKNOWN_ID;
	att->status = outcome->status;
	att->answer_stored =
		outcome->answer && outcome->answer_len <= LDG_ANSWER_MAX;
	if (att->answer_stored) {
		att->answer = calloc(1, outcome->answer_len + 1);
		memcpy(att->answer, outcome->answer, outcome->answer_len);
		att->answer_len = outcome->answer_len;
	}
	ldg_att_queue(ldg, att, ATT_SETTLING, now + ldg->swap_interval_us);
	return LDG_OK;
}

/*
 * Frees the key of a request for which nothing was sent and nothing will be.
 * Also cancels a claim that still waits; then no result follows.
 */
int ldg_release(struct ldg *ldg, uint64_t req, int64_t now)
{
	struct ldg_att *att = ldg_att_find(ldg, req);

	if (att && att->state == ATT_WAITING) {
		ldg_att_cancel(ldg, att, now);
		return LDG_OK;
	}
	att = ldg_find_dispatched(ldg, req);
	if (!att)
		return LDG_E_UNKNOWN_ID;
	ldg_att_queue(ldg, att, ATT_RELEASING, now);
	return LDG_OK;
}

/*
 * Marks a request ambiguous: it may have been sent, its outcome is not known,
 * and the caller was answered "unknown".  A repeat gets the same answer, or
 * takes the record over with a downstream key.  For LDG_LATE_OUTCOME_US the
 * request may still be ended by ldg_settle or ldg_release.
 */
int ldg_mark_ambiguous(struct ldg *ldg, uint64_t req, int64_t now)
{
	struct ldg_att *att = ldg_att_find(ldg, req);

	if (!att || att->state != ATT_DISPATCHED)
		return LDG_E_UNKNOWN_ID;
	ldg_att_queue(ldg, att, ATT_MARKING_AMBIGUOUS, now);
	return LDG_OK;
}

/*
 * Answers claims past their deadline, treats overdue calls as lost, and starts
 * the next call of each shard that has something due.
 */
void ldg_tick(struct ldg *ldg, int64_t now)
{
	struct ldg_shard *shard;
	struct ldg_shard *next;

	cds_list_for_each_entry_safe (shard, next, &ldg->shards, node) {
		ldg_expire_claims(ldg, shard, now);
		ldg_expire_call(ldg, shard, now);
		ldg_shard_advance(ldg, shard, now);
		if (shard->single && !shard->att_count && !shard->call_id)
			ldg_shard_free(ldg, shard);
	}
	ldg_expire_ambiguous(ldg, now);
	ldg_evict_idle_shards(ldg);
}

/* Handles the reply to a call.  A reply to an expired call is ignored. */
void ldg_reply(struct ldg *ldg, const struct kv_reply *reply, int64_t now)
{
	struct ldg_shard *shard;

	cds_list_for_each_entry (shard, &ldg->shards, node) {
		if (shard->call_id == reply->id) {
			ldg_shard_reply(ldg, shard, reply, now);
			return;
		}
	}
}

/* Removes the next call to carry out.  The caller frees call->value. */
bool ldg_next_call(struct ldg *ldg, struct kv_call *call)
{
	struct ldg_call_node *out;

	if (cds_list_empty(&ldg->calls))
		return false;
	out = cds_list_first_entry(&ldg->calls, struct ldg_call_node, node);
	*call = out->call;
	cds_list_del(&out->node);
	free(out);
	return true;
}

/* Removes the next result.  The caller frees result->answer. */
bool ldg_next_result(struct ldg *ldg, struct ldg_result *result)
{
	struct ldg_result_node *out;

	if (cds_list_empty(&ldg->results))
		return false;
	out = cds_list_first_entry(&ldg->results, struct ldg_result_node, node);
	*result = out->result;
	cds_list_del(&out->node);
	free(out);
	return true;
}

/*
 * Returns the time at which ldg_tick must be called next; a time in the past
 * means at once.  Each of the functions above may move it earlier.
 */
int64_t ldg_next_deadline(const struct ldg *ldg)
{
	const struct ldg_shard *shard;
	int64_t next = MAG_NEVER;

	cds_list_for_each_entry (shard, &ldg->shards, node) {
		int64_t wake = ldg_shard_next_deadline(ldg, shard);

		if (wake < next)
			next = wake;
	}
	return next;
}

/*
 * Tells that no attempt is waiting or dispatched and that all outcomes are
 * written.  Ambiguous attempts don't count, as their records are written.
 */
bool ldg_idle(const struct ldg *ldg)
{
	return ldg->att_count == ldg->ambiguous_count;
}

/*
 * Checks a timed key.  A key older than its window is refused: it may have run
 * and its record may be gone.  A key from the future is refused as this clock
 * or the caller's is wrong by more than LDG_MAX_SKEW_MS, and the record would
 * be retained for too short a time.
 */
static int ldg_check_key(const struct ldg_claim *claim, int64_t *expiry_ms)
{
	int64_t timestamp_ms;

	if (ldg_key_timestamp_ms(claim->key, &timestamp_ms) < 0 ||
	    timestamp_ms > claim->wall_ms + LDG_MAX_SKEW_MS)
		return LDG_E_KEY_FORMAT;
	*expiry_ms = timestamp_ms + (int64_t)claim->window_s * 1000;
	return claim->wall_ms > *expiry_ms ? LDG_E_KEY_EXPIRED : LDG_OK;
}

/* Finds the attempt of a request that may still be ended, or NULL. */
static struct ldg_att *ldg_find_dispatched(const struct ldg *ldg, uint64_t req)
{
	struct ldg_att *att = ldg_att_find(ldg, req);

	if (!att)
		return NULL;
	if (att->state == ATT_DISPATCHED ||
	    att->state == ATT_MARKING_AMBIGUOUS || att->state == ATT_AMBIGUOUS)
		return att;
	return NULL;
}

/* Frees ambiguous attempts that were not ended; the record stays as it is. */
static void ldg_expire_ambiguous(struct ldg *ldg, int64_t now)
{
	struct ldg_att *att;
	struct ldg_att *next;

	cds_list_for_each_entry_safe (att, next, &ldg->ambiguous, node) {
		if (att->due_us > now)
			return;
		ldg_att_free(ldg, att);
	}
}

static void ldg_expire_claims(struct ldg *ldg, struct ldg_shard *shard,
			      int64_t now)
{
	struct ldg_att *att;
	struct ldg_att *next;

	cds_list_for_each_entry_safe (att, next, &shard->queue, node) {
		if (att->state == ATT_WAITING && att->deadline_us <= now)
			ldg_att_refuse(ldg, att, now);
	}
}

static void ldg_expire_call(struct ldg *ldg, struct ldg_shard *shard,
			    int64_t now)
{
	struct kv_reply lost = { .id = shard->call_id, .status = KV_NO_ANSWER };

	if (shard->call_id && shard->call_deadline_us <= now)
		ldg_shard_reply(ldg, shard, &lost, now);
}

/* Evicts idle shards while more than LDG_RECS_MAX records are in memory. */
static void ldg_evict_idle_shards(struct ldg *ldg)
{
	struct ldg_shard *shard;
	uint32_t count = 0;

	cds_list_for_each_entry (shard, &ldg->shards, node)
		count += ldg_shard_count(shard);
	if (count <= LDG_RECS_MAX)
		return;
	cds_list_for_each_entry (shard, &ldg->shards, node) {
		if (count <= LDG_RECS_MAX)
			break;
		if (ldg_shard_busy(shard) || shard->step != STEP_READY)
			continue;
		count -= ldg_shard_count(shard);
		ldg_shard_evict(shard);
	}
}
