#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "ldg_int.h"

static struct ldg_shard *ldg_shard_new(struct ldg *ldg, const char *name);
static struct ldg_shard *ldg_shard_single(struct ldg *ldg,
					  const uint8_t *intent);
static bool ldg_shard_has_expired(const struct ldg_shard *shard);
static void ldg_segs_free(struct cds_list_head *segs);
static int64_t ldg_min(int64_t a, int64_t b);

/*
 * Returns the shard of an intent and creates it if needed.  Every instance
 * chooses the same one.
 */
struct ldg_shard *ldg_shard_get(struct ldg *ldg, const uint8_t *intent)
{
	uint32_t number = ((uint32_t)intent[0] << 24 | intent[1] << 16 |
			   intent[2] << 8 | intent[3]) %
			  ldg->set.shards;
	char name[16];

	if (ldg->set.one_record_each)
		return ldg_shard_single(ldg, intent);
	if (!ldg->table[number]) {
		snprintf(name, sizeof(name), "%u", number);
		ldg->table[number] = ldg_shard_new(ldg, name);
	}
	return ldg->table[number];
}

void ldg_shard_free(struct ldg *ldg, struct ldg_shard *shard)
{
	struct ldg_seg *seg;
	struct ldg_seg *next;

	ldg_batch_abort(shard, false);
	cds_list_for_each_entry_safe (seg, next, &shard->segs, node)
		ldg_seg_free(seg);
	if (shard->call_id)
		ldg->calls_in_flight--;
	cds_list_del(&shard->node);
	free(shard);
}

/*
 * Drops the cached segments of an idle shard to limit memory.  The next claim
 * reads them again.
 */
void ldg_shard_evict(struct ldg_shard *shard)
{
	ldg_segs_free(&shard->segs);
	cds_list_add_tail(&ldg_seg_new(0)->node, &shard->segs);
	shard->step = STEP_COLD;
	shard->first = 0;
	shard->head_version = 0;
	shard->view_us = INT64_MIN;
}

/*
 * Expires the oldest sealed segments once all of their records may be dropped.
 * The head is written with the new first segment before the old ones are
 * emptied.  Their keys are never deleted: an instance that read the head long
 * ago would treat a deleted segment as not yet created, and create it a second
 * time beside the current one.
 */
void ldg_shard_trim(struct ldg_shard *shard, int64_t wall_ms)
{
	struct ldg_seg *seg;
	struct ldg_seg *next;

	cds_list_for_each_entry_safe (seg, next, &shard->segs, node) {
		if (!seg->sealed)
			break;
		ldg_seg_purge(seg, wall_ms);
		if (seg->count > 0)
			break;
		cds_list_del(&seg->node);
		cds_list_add_tail(&seg->node, &shard->expired);
		shard->first = seg->number + 1;
	}
}

uint32_t ldg_shard_count(const struct ldg_shard *shard)
{
	const struct ldg_seg *seg;
	uint32_t count = 0;

	cds_list_for_each_entry (seg, &shard->segs, node)
		count += seg->count;
	return count;
}

/* Tells whether a shard has attempts, a call in flight or upkeep to write. */
bool ldg_shard_busy(const struct ldg_shard *shard)
{
	return shard->att_count > 0 || shard->call_id || shard->head_dirty ||
	       ldg_shard_has_expired(shard);
}

/* Returns the segment for new reservations, as far as this instance knows. */
struct ldg_seg *ldg_shard_current(const struct ldg_shard *shard)
{
	return cds_list_entry(shard->segs.prev, struct ldg_seg, node);
}

/* Finds the newest record of an intent in the live segments, or NULL. */
struct ldg_rec *ldg_shard_find(const struct ldg_shard *shard,
			       const uint8_t *intent)
{
	struct ldg_seg *seg;

	cds_list_for_each_entry_reverse(seg, &shard->segs, node)
	{
		struct ldg_rec *rec = ldg_seg_find(seg, intent);

		if (rec)
			return rec;
	}
	return NULL;
}

/* Tells whether a shard must act now and not wait to fill a batch. */
bool ldg_shard_due(const struct ldg_shard *shard, int64_t now)
{
	const struct ldg_att *att;

	if (shard->head_dirty || ldg_shard_has_expired(shard))
		return true;
	cds_list_for_each_entry (att, &shard->queue, node) {
		if (att->due_us <= now)
			return true;
	}
	return false;
}

/* Returns when a shard needs a tick; MAG_NEVER if it waits for a reply. */
int64_t ldg_shard_next_deadline(const struct ldg *ldg,
				const struct ldg_shard *shard)
{
	const struct ldg_att *att;
	bool cleanup = shard->head_dirty || ldg_shard_has_expired(shard);
	int64_t due = cleanup ? 0 : MAG_NEVER;
	int64_t wake = MAG_NEVER;

	cds_list_for_each_entry (att, &shard->queue, node) {
		due = ldg_min(due, att->due_us);
		if (att->state == ATT_WAITING)
			wake = ldg_min(wake, att->deadline_us);
	}
	if (shard->call_id)
		return ldg_min(wake, shard->call_deadline_us);
	if (due == MAG_NEVER || (ldg->down && ldg->calls_in_flight > 0))
		return wake;
	if (due < shard->retry_us)
		due = shard->retry_us;
	if (due < ldg->next_swap_us && shard->step == STEP_READY &&
	    !shard->may_swap)
		due = ldg->next_swap_us;
	if (ldg->down && due < ldg->next_probe_us)
		due = ldg->next_probe_us;
	return ldg_min(wake, due);
}

/* Refuses all waiting attempts of a shard at once during an outage. */
void ldg_shard_refuse_waiting(struct ldg *ldg, struct ldg_shard *shard,
			      int64_t now)
{
	struct ldg_att *att;
	struct ldg_att *next;

	cds_list_for_each_entry_safe (att, next, &shard->queue, node) {
		if (att->state == ATT_WAITING)
			ldg_att_refuse(ldg, att, now);
	}
}

static struct ldg_shard *ldg_shard_new(struct ldg *ldg, const char *name)
{
	struct ldg_shard *shard = calloc(1, sizeof(*shard));

	snprintf(shard->name, sizeof(shard->name), "%s", name);
	CDS_INIT_LIST_HEAD(&shard->segs);
	CDS_INIT_LIST_HEAD(&shard->expired);
	CDS_INIT_LIST_HEAD(&shard->queue);
	CDS_INIT_LIST_HEAD(&shard->batch);
	cds_list_add_tail(&ldg_seg_new(0)->node, &shard->segs);
	shard->view_us = INT64_MIN;
	cds_list_add_tail(&shard->node, &ldg->shards);
	return shard;
}

/*
 * Returns the shard of a single intent, for the baseline with one record each.
 * A new one assumes that the record is absent; the swap conflicts if it isn't.
 */
static struct ldg_shard *ldg_shard_single(struct ldg *ldg,
					  const uint8_t *intent)
{
	struct ldg_shard *shard;
	char hex[MAG_DIGEST_HEX];

	sodium_bin2hex(hex, sizeof(hex), intent, MAG_DIGEST_BYTES);
	cds_list_for_each_entry (shard, &ldg->shards, node) {
		if (strcmp(shard->name, hex) == 0)
			return shard;
	}
	shard = ldg_shard_new(ldg, hex);
	shard->single = true;
	shard->step = STEP_READY;
	return shard;
}

static bool ldg_shard_has_expired(const struct ldg_shard *shard)
{
	return shard->expired.next != &shard->expired;
}

static void ldg_segs_free(struct cds_list_head *segs)
{
	struct ldg_seg *seg;
	struct ldg_seg *next;

	cds_list_for_each_entry_safe (seg, next, segs, node) {
		cds_list_del(&seg->node);
		ldg_seg_free(seg);
	}
}

static int64_t ldg_min(int64_t a, int64_t b)
{
	return a < b ? a : b;
}
