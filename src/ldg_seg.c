#include <stdlib.h>
#include <string.h>

#include "ldg_int.h"

static const struct cds_list_head *ldg_seg_bucket(const struct ldg_seg *seg,
						  const uint8_t *intent);
static void ldg_seg_remove(struct ldg_seg *seg, struct ldg_rec *rec);

/* Creates an empty segment in memory; version 0: not on the platform. */
struct ldg_seg *ldg_seg_new(uint32_t number)
{
	struct ldg_seg *seg = calloc(1, sizeof(*seg));
	int i;

	seg->number = number;
	CDS_INIT_LIST_HEAD(&seg->recs);
	for (i = 0; i < LDG_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&seg->buckets[i]);
	return seg;
}

void ldg_seg_free(struct ldg_seg *seg)
{
	struct ldg_rec *rec;
	struct ldg_rec *next;

	cds_list_for_each_entry_safe (rec, next, &seg->recs, order)
		ldg_rec_free(rec);
	free(seg);
}

/* Finds the record of an intent in one segment, or NULL. */
struct ldg_rec *ldg_seg_find(const struct ldg_seg *seg, const uint8_t *intent)
{
	struct ldg_rec *rec;

	cds_list_for_each_entry (rec, ldg_seg_bucket(seg, intent), bucket) {
		if (memcmp(rec->intent, intent, MAG_DIGEST_BYTES) == 0)
			return rec;
	}
	return NULL;
}

/* Adds a record, or replaces its intent's.  The segment becomes its owner. */
void ldg_seg_put(struct ldg_seg *seg, struct ldg_rec *rec)
{
	struct ldg_rec *old = ldg_seg_find(seg, rec->intent);
	struct cds_list_head *bucket =
		(struct cds_list_head *)ldg_seg_bucket(seg, rec->intent);

	if (old)
		ldg_seg_remove(seg, old);
	cds_list_add_tail(&rec->order, &seg->recs);
	cds_list_add_tail(&rec->bucket, bucket);
	seg->count++;
}

/* Frees the records that may be dropped. */
void ldg_seg_purge(struct ldg_seg *seg, int64_t wall_ms)
{
	struct ldg_rec *rec;
	struct ldg_rec *next;

	cds_list_for_each_entry_safe (rec, next, &seg->recs, order) {
		if (ldg_rec_droppable(rec, wall_ms))
			ldg_seg_remove(seg, rec);
	}
}

/*
 * Tells whether a record may be dropped.  A record dropped too early lets its
 * key run a second time, so twice the largest difference between two instances'
 * clocks is added, once for each clock.  A reserved or ambiguous record of an
 * untimed key is the only trace of a request that may have run, so it stays for
 * LDG_AMBIGUOUS_WINDOWS windows.
 */
bool ldg_rec_droppable(const struct ldg_rec *rec, int64_t wall_ms)
{
	int64_t last_ms = rec->expiry_ms + 2 * LDG_MAX_SKEW_MS;

	if (!rec->timed && rec->state <= REC_AMBIGUOUS)
		last_ms += (LDG_AMBIGUOUS_WINDOWS - 1) * rec->window_ms;
	return wall_ms > last_ms;
}

/* Duplicates a record.  The duplicate's list links must not be used. */
struct ldg_rec *ldg_rec_copy(const struct ldg_rec *rec)
{
	struct ldg_rec *copy = malloc(sizeof(*copy));

	*copy = *rec;
	if (rec->answer) {
		copy->answer = malloc(rec->answer_len + 1);
		memcpy(copy->answer, rec->answer, rec->answer_len + 1);
	}
	return copy;
}

void ldg_rec_free(struct ldg_rec *rec)
{
	free(rec->answer);
	free(rec);
}

/* Finds the record of an intent in a batch, or NULL. */
struct ldg_rec *ldg_batch_find(const struct cds_list_head *batch,
			       const uint8_t *intent)
{
	struct ldg_rec *rec;

	cds_list_for_each_entry (rec, batch, order) {
		if (memcmp(rec->intent, intent, MAG_DIGEST_BYTES) == 0)
			return rec;
	}
	return NULL;
}

static const struct cds_list_head *ldg_seg_bucket(const struct ldg_seg *seg,
						  const uint8_t *intent)
{
	/* The last byte, as the first ones choose the shard. */
	return &seg->buckets[intent[MAG_DIGEST_BYTES - 1] % LDG_BUCKETS];
}

static void ldg_seg_remove(struct ldg_seg *seg, struct ldg_rec *rec)
{
	cds_list_del(&rec->order);
	cds_list_del(&rec->bucket);
	ldg_rec_free(rec);
	seg->count--;
}
