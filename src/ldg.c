#include <stdlib.h>
#include <string.h>

#include "ldg_int.h"

static int ldg_check_key(const struct ldg_claim *claim, int64_t *expiry_ms);
static struct ldg_att *ldg_sent(const struct ldg *ldg, uint64_t req);
static void ldg_drop_held(struct ldg *ldg, int64_t now);
static void ldg_expire(struct ldg *ldg, struct ldg_shard *shard, int64_t now);
static void ldg_call_overdue(struct ldg *ldg, struct ldg_shard *shard,
			     int64_t now);
static void ldg_forget(struct ldg *ldg);

/* The records of one instance; nothing is read until the first claim. */
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
	CDS_INIT_LIST_HEAD(&ldg->held);
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
 * Asks for the one dispatch of an intent; exactly one result follows for the
 * request, unless it is released or held before.  Returns LDG_E_KEY_OLD or
 * LDG_E_KEY_FORM for a timed key that is refused, LDG_E_FULL if too many
 * attempts are in memory here; then no result follows, and this attempt
 * reserved nothing.
 */
int ldg_reserve(struct ldg *ldg, const struct ldg_claim *claim, int64_t now)
{
	const struct ldg_att *live = ldg_att_live(ldg, claim->intent);
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

		ldg_tell(ldg, claim->req, same ? LDG_IN_PROGRESS : LDG_MISMATCH,
			 NULL, now + LDG_BUSY_RETRY_US);
	} else if (ldg->down && now < ldg->down_until_us) {
		ldg_tell(ldg, claim->req, LDG_CANNOT_TELL, NULL,
			 ldg->down_until_us);
	} else {
		ldg_att_new(ldg, claim, expiry_ms, now);
	}
	return LDG_OK;
}

/*
 * The work ran and this is its outcome, for every repeat of the key.  The
 * record is written a little later while the service limits writes, to share
 * a swap; no result follows.
 */
int ldg_settle(struct ldg *ldg, uint64_t req, const struct ldg_outcome *outcome,
	       int64_t now)
{
	struct ldg_att *att = ldg_sent(ldg, req);

	if (!att)
		return LDG_E_UNKNOWN_ID;
	att->status = outcome->status;
	att->answer_kept =
		outcome->answer && outcome->answer_len <= LDG_ANSWER_MAX;
	if (att->answer_kept) {
		att->answer = calloc(1, outcome->answer_len + 1);
		memcpy(att->answer, outcome->answer, outcome->answer_len);
		att->answer_len = outcome->answer_len;
	}
	ldg_att_queue(ldg, att, ATT_SETTLING, now + ldg->pace_us);
	return LDG_OK;
}

/*
 * Nothing was sent for this request and nothing will be: the key is free
 * again.  Also takes back a claim that still waits; then no result follows.
 */
int ldg_release(struct ldg *ldg, uint64_t req, int64_t now)
{
	struct ldg_att *att = ldg_att_find(ldg, req);

	if (att && att->state == ATT_WAITING) {
		ldg_att_give_up(ldg, att, now);
		return LDG_OK;
	}
	att = ldg_sent(ldg, req);
	if (!att)
		return LDG_E_UNKNOWN_ID;
	ldg_att_queue(ldg, att, ATT_RELEASING, now);
	return LDG_OK;
}

/*
 * Something may have been sent and the outcome is lost; the caller was told
 * unknown.  A repeat is told so too, or takes over with a downstream key.
 * For LDG_HELD_KEEP_US the end may still be told by settle or release.
 */
int ldg_hold(struct ldg *ldg, uint64_t req, int64_t now)
{
	struct ldg_att *att = ldg_att_find(ldg, req);

	if (!att || att->state != ATT_DISPATCHED)
		return LDG_E_UNKNOWN_ID;
	ldg_att_queue(ldg, att, ATT_HOLDING, now);
	return LDG_OK;
}

/*
 * Runs what is due: claims past their deadline are answered, overdue calls
 * count as lost, and each shard with work starts its next call.
 */
void ldg_tick(struct ldg *ldg, int64_t now)
{
	struct ldg_shard *shard;
	struct ldg_shard *next;

	cds_list_for_each_entry_safe (shard, next, &ldg->shards, node) {
		ldg_expire(ldg, shard, now);
		ldg_call_overdue(ldg, shard, now);
		ldg_shard_advance(ldg, shard, now);
		if (shard->single && !shard->att_count && !shard->call_id)
			ldg_shard_free(ldg, shard);
	}
	ldg_drop_held(ldg, now);
	ldg_forget(ldg);
}

/* Takes the end of a call; one that was given up before is ignored. */
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

/* Takes the next call to carry out; the taker frees its value. */
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

/* Takes the next result; the taker frees its answer. */
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
 * When ldg_tick is needed next.  A time that has passed means at once; each
 * of the calls above may bring it forward.
 */
int64_t ldg_next_deadline(const struct ldg *ldg)
{
	const struct ldg_shard *shard;
	int64_t next = MAG_NEVER;

	cds_list_for_each_entry (shard, &ldg->shards, node) {
		int64_t wake = ldg_shard_wake(ldg, shard);

		if (wake < next)
			next = wake;
	}
	return next;
}

/* True if no attempt is out and no outcome waits to be written; held ones
 * don't count, their records are written. */
bool ldg_idle(const struct ldg *ldg)
{
	return ldg->att_count == ldg->held_count;
}

/*
 * A key from before the window may have run and been forgotten; one that
 * claims to come from the future would be kept for too short a time, as this
 * clock or the caller's is wrong by more than the bound.
 */
static int ldg_check_key(const struct ldg_claim *claim, int64_t *expiry_ms)
{
	int64_t mint_ms;

	if (ldg_key_mint_ms(claim->key, &mint_ms) < 0 ||
	    mint_ms > claim->wall_ms + LDG_SKEW_MS)
		return LDG_E_KEY_FORM;
	*expiry_ms = mint_ms + (int64_t)claim->window_s * 1000;
	return claim->wall_ms > *expiry_ms ? LDG_E_KEY_OLD : LDG_OK;
}

/* The attempt of a request whose end may still be told, or NULL. */
static struct ldg_att *ldg_sent(const struct ldg *ldg, uint64_t req)
{
	struct ldg_att *att = ldg_att_find(ldg, req);

	if (!att)
		return NULL;
	if (att->state == ATT_DISPATCHED || att->state == ATT_HOLDING ||
	    att->state == ATT_HELD)
		return att;
	return NULL;
}

/* Forgets held attempts whose end didn't come; the record stays as it is. */
static void ldg_drop_held(struct ldg *ldg, int64_t now)
{
	struct ldg_att *att;
	struct ldg_att *next;

	cds_list_for_each_entry_safe (att, next, &ldg->held, node) {
		if (att->due_us > now)
			return;
		ldg_att_free(ldg, att);
	}
}

static void ldg_expire(struct ldg *ldg, struct ldg_shard *shard, int64_t now)
{
	struct ldg_att *att;
	struct ldg_att *next;

	cds_list_for_each_entry_safe (att, next, &shard->work, node) {
		if (att->state == ATT_WAITING && att->deadline_us <= now)
			ldg_att_refuse(ldg, att, now);
	}
}

static void ldg_call_overdue(struct ldg *ldg, struct ldg_shard *shard,
			     int64_t now)
{
	struct kv_reply lost = { .id = shard->call_id, .status = KV_NO_ANSWER };

	if (shard->call_id && shard->call_deadline_us <= now)
		ldg_shard_reply(ldg, shard, &lost, now);
}

/* Forgets idle shards while more records are in memory than may be. */
static void ldg_forget(struct ldg *ldg)
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
		ldg_shard_forget(shard);
	}
}
