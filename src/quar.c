#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <urcu/list.h>

#include "log.h"
#include "quar_int.h"

#define QUAR_ENDPOINTS_MAX 2 /* counted losses that quarantine */

static void quar_add_update(struct quar *quar, struct quar_entry *entry);
static struct cds_list_head *quar_bucket(const struct quar *quar,
					 const uint8_t *fingerprint);
static void quar_remove(struct quar *quar, struct quar_entry *entry);

/*
 * Creates an empty table that holds a fingerprint for hold_us after its last
 * loss.  When the table is full, the least recently changed entry is evicted.
 * Returns NULL if out of memory.
 */
struct quar *quar_new(uint32_t max_entries, int64_t hold_us)
{
	struct quar *quar = calloc(1, sizeof(*quar));
	int i;

	if (!quar)
		return NULL;
	quar->max_entries = max_entries;
	quar->hold_us = hold_us;
	for (i = 0; i < QUAR_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&quar->by_fingerprint[i]);
	CDS_INIT_LIST_HEAD(&quar->by_age);
	CDS_INIT_LIST_HEAD(&quar->updates);
	CDS_INIT_LIST_HEAD(&quar->reports);
	return quar;
}

/* Frees a table; NULL is allowed. */
void quar_free(struct quar *quar)
{
	struct quar_entry *entry;
	struct quar_entry *next;

	if (!quar)
		return;
	cds_list_for_each_entry_safe (entry, next, &quar->by_age, by_age)
		free(entry);
	free(quar);
}

/*
 * Tells whether endpoints that were lost within a second have a common cause.
 * A request crashes one endpoint after the other and is quarantined after two,
 * so it cannot explain more losses.
 */
bool quar_have_common_cause(int lost_together)
{
	return lost_together > QUAR_ENDPOINTS_MAX;
}

/*
 * Tells whether the loss of an endpoint is evidence against a request that was
 * sent there.  It is not if other requests ran there and none of them received
 * anything from the endpoint after this one was sent.  When endpoints are lost
 * together, the requests of the first one are sent on to others that are
 * already dead.
 */
bool quar_is_evidence(int64_t began_us, int64_t alive_us, bool others)
{
	return !others || alive_us >= began_us;
}

/* Returns how a request with this fingerprint is to be treated. */
enum quar_state quar_check(struct quar *quar,
			   const uint8_t fingerprint[MAG_DIGEST_BYTES],
			   int64_t now)
{
	struct quar_entry *entry = quar_find(quar, fingerprint, now);

	if (!entry || entry->endpoints_lost == 0)
		return QUAR_CLEAR;
	quar_judge(quar, entry, now);
	return entry->held ? QUAR_QUARANTINED : QUAR_SUSPECT;
}

/*
 * Records that an endpoint died while a request with this fingerprint ran on
 * it.  The first loss makes it a suspect; a second one quarantines it if no
 * other suspect was there (was_alone).  Otherwise it stays a suspect: a request
 * that twice ran beside a harmful one by chance would be refused with it.
 */
void quar_endpoint_lost(struct quar *quar,
			const uint8_t fingerprint[MAG_DIGEST_BYTES],
			int endpoint, bool was_alone, int64_t now)
{
	struct quar_entry *entry = quar_find(quar, fingerprint, now);
	uint32_t lost_before;

	(void)endpoint;
	if (!entry)
		entry = quar_add(quar, fingerprint);
	if (!entry)
		return;
	lost_before = entry->endpoints_lost;
	if (entry->endpoints_lost == 0 ||
	    (was_alone && entry->endpoints_lost < QUAR_ENDPOINTS_MAX))
		entry->endpoints_lost++;
	entry->until_us = now + quar->hold_us;
	quar_touch(quar, entry);
	if (entry->endpoints_lost == lost_before)
		return;
	entry->held = entry->endpoints_lost >= QUAR_ENDPOINTS_MAX;
	quar_log(entry->held ? LOG_QUAR_HELD : LOG_QUAR_SUSPECT, entry);
	quar_add_update(quar, entry);
}

/*
 * Records that a request with this fingerprint completed: a suspect is
 * cleared.  A quarantine by counted losses remains, because nothing should have
 * run; one by named losses ends, because the request was running already.
 */
void quar_completed(struct quar *quar,
		    const uint8_t fingerprint[MAG_DIGEST_BYTES], int64_t now)
{
	struct quar_entry *entry = quar_find_suspect(quar, fingerprint, now);

	if (!entry)
		return;
	if (entry->loss_count > 0 || entry->completed) {
		quar_set_completed(quar, entry, now);
	} else if (!entry->held) {
		quar_log(LOG_QUAR_CLEARED, entry);
		quar_remove(quar, entry);
	}
}

/*
 * Merges the count of another instance: the higher count of losses and the
 * later expiry apply.
 */
void quar_learn(struct quar *quar, const uint8_t fingerprint[MAG_DIGEST_BYTES],
		uint32_t endpoints_lost, int64_t until_us, int64_t now)
{
	struct quar_entry *entry = quar_find(quar, fingerprint, now);

	if (endpoints_lost == 0 || until_us <= now)
		return;
	if (!entry)
		entry = quar_add(quar, fingerprint);
	if (!entry)
		return;
	if (entry->endpoints_lost < endpoints_lost) {
		entry->endpoints_lost = endpoints_lost;
		entry->held = endpoints_lost >= QUAR_ENDPOINTS_MAX;
		quar_log(entry->held ? LOG_QUAR_HELD : LOG_QUAR_SUSPECT, entry);
	}
	if (entry->until_us < until_us)
		entry->until_us = until_us;
	quar_touch(quar, entry);
}

static void quar_add_update(struct quar *quar, struct quar_entry *entry)
{
	if (!entry->update_pending)
		cds_list_add_tail(&entry->in_updates, &quar->updates);
	entry->update_pending = true;
}

/*
 * Returns the next change to report to other instances, each change once.
 * Returns false if there is none.
 */
bool quar_next_update(struct quar *quar, uint8_t fingerprint[MAG_DIGEST_BYTES],
		      uint32_t *endpoints_lost, int64_t *until_us)
{
	struct quar_entry *entry;

	if (cds_list_empty(&quar->updates))
		return false;
	entry = cds_list_first_entry(&quar->updates, struct quar_entry,
				     in_updates);
	cds_list_del(&entry->in_updates);
	entry->update_pending = false;
	memcpy(fingerprint, entry->fingerprint, MAG_DIGEST_BYTES);
	*endpoints_lost = entry->endpoints_lost;
	*until_us = entry->until_us;
	return true;
}

/* Finds the entry of a fingerprint that has not expired, or NULL. */
struct quar_entry *quar_find(const struct quar *quar,
			     const uint8_t fingerprint[MAG_DIGEST_BYTES],
			     int64_t now)
{
	struct quar_entry *entry = quar_lookup(quar, fingerprint);

	return entry && now < entry->until_us ? entry : NULL;
}

/*
 * Finds the entry of a fingerprint that has not expired, or was quarantined
 * once and may be again, or NULL.
 */
struct quar_entry *
quar_find_suspect(const struct quar *quar,
		  const uint8_t fingerprint[MAG_DIGEST_BYTES], int64_t now)
{
	struct quar_entry *entry = quar_lookup(quar, fingerprint);

	return entry && (entry->held || now < entry->until_us) ? entry : NULL;
}

/* Finds the entry of a fingerprint, expired or not, or NULL. */
struct quar_entry *quar_lookup(const struct quar *quar,
			       const uint8_t fingerprint[MAG_DIGEST_BYTES])
{
	struct cds_list_head *bucket = quar_bucket(quar, fingerprint);
	struct quar_entry *entry;

	cds_list_for_each_entry (entry, bucket, by_fingerprint) {
		if (memcmp(entry->fingerprint, fingerprint, MAG_DIGEST_BYTES) ==
		    0)
			return entry;
	}
	return NULL;
}

/*
 * Creates the entry of a fingerprint, in place of one that has expired; NULL if
 * out of memory.
 */
struct quar_entry *quar_add(struct quar *quar,
			    const uint8_t fingerprint[MAG_DIGEST_BYTES])
{
	struct quar_entry *entry = quar_lookup(quar, fingerprint);

	if (entry)
		quar_remove(quar, entry);
	if (quar->count >= quar->max_entries && quar->count > 0)
		quar_remove(quar,
			    cds_list_first_entry(&quar->by_age,
						 struct quar_entry, by_age));
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return NULL;
	memcpy(entry->fingerprint, fingerprint, MAG_DIGEST_BYTES);
	cds_list_add(&entry->by_fingerprint, quar_bucket(quar, fingerprint));
	cds_list_add_tail(&entry->by_age, &quar->by_age);
	quar->count++;
	return entry;
}

/* Returns the bucket of a fingerprint, which is itself a hash. */
static struct cds_list_head *quar_bucket(const struct quar *quar,
					 const uint8_t *fingerprint)
{
	uint32_t hash;

	memcpy(&hash, fingerprint, sizeof(hash));
	return (struct cds_list_head *)&quar
		->by_fingerprint[hash & (QUAR_BUCKETS - 1)];
}

/* Removes an entry from every list and frees it. */
static void quar_remove(struct quar *quar, struct quar_entry *entry)
{
	cds_list_del(&entry->by_fingerprint);
	cds_list_del(&entry->by_age);
	if (entry->update_pending)
		cds_list_del(&entry->in_updates);
	if (entry->report_pending)
		cds_list_del(&entry->in_reports);
	quar->count--;
	free(entry);
}

/* Moves an entry to the most recently changed end. */
void quar_touch(struct quar *quar, struct quar_entry *entry)
{
	cds_list_del(&entry->by_age);
	cds_list_add_tail(&entry->by_age, &quar->by_age);
}

/* Writes a log line of a fingerprint. */
void quar_log(enum log_id id, const struct quar_entry *entry)
{
	char text[QUAR_TEXT_SIZE];

	log_event(id, "fingerprint=%s endpoints_lost=%u",
		  quar_text(entry->fingerprint, text), entry->endpoints_lost);
}

/* Formats the first bytes of a fingerprint for the log; returns the text. */
const char *quar_text(const uint8_t fingerprint[MAG_DIGEST_BYTES],
		      char text[QUAR_TEXT_SIZE])
{
	int i;

	for (i = 0; i < (QUAR_TEXT_SIZE - 1) / 2; i++)
		snprintf(text + 2 * i, 3, "%02x", fingerprint[i]);
	return text;
}
