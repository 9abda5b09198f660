#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <urcu/list.h>

#include "log.h"
#include "quar.h"

#define QUAR_BUCKETS	   1024 /* a power of two */
#define QUAR_ENDPOINTS_MAX 2	/* losses that quarantine a fingerprint */
#define QUAR_SHOWN	   8	/* bytes of a fingerprint in a log line */

struct quar_entry {
	struct cds_list_head by_print;
	struct cds_list_head by_age; /* the longest unchanged one first */
	struct cds_list_head in_news;
	uint8_t print[MAG_DIGEST_BYTES];
	uint32_t lost; /* endpoints, as far as this or another instance knows */
	int64_t until_us;
	bool news;
};

struct quar {
	uint32_t max_entries;
	uint32_t count;
	int64_t hold_us;
	struct cds_list_head by_print[QUAR_BUCKETS];
	struct cds_list_head by_age;
	struct cds_list_head news;
};

static struct quar_entry *quar_find(const struct quar *quar,
				    const uint8_t print[MAG_DIGEST_BYTES]);
static struct quar_entry *quar_take(struct quar *quar,
				    const uint8_t print[MAG_DIGEST_BYTES]);
static struct cds_list_head *quar_bucket(const struct quar *quar,
					 const uint8_t *print);
static void quar_forget(struct quar *quar, struct quar_entry *entry);
static void quar_renew(struct quar *quar, struct quar_entry *entry);
static void quar_log(enum log_id id, const struct quar_entry *entry);

/*
 * Makes an empty table that holds a fingerprint for hold_us after its last
 * loss.  When it is full, the one longest unchanged makes way.  Returns NULL
 * if memory is short.
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
		CDS_INIT_LIST_HEAD(&quar->by_print[i]);
	CDS_INIT_LIST_HEAD(&quar->by_age);
	CDS_INIT_LIST_HEAD(&quar->news);
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
 * Tells whether endpoints that were lost within a second have a cause in
 * common: a request reaches one after the other, and is held after two.
 */
bool quar_have_common_cause(int lost_together)
{
	return lost_together > QUAR_ENDPOINTS_MAX;
}

/*
 * Tells whether the loss of an endpoint speaks against a request that was sent
 * there: not if others ran there and it was heard for the last time, by any
 * of them, before this one came.  Endpoints that are lost together are dead
 * already when the requests of the first one reach the next.
 */
bool quar_is_evidence(int64_t began_us, int64_t alive_us, bool others)
{
	return !others || alive_us >= began_us;
}

/* Tells how a request of a fingerprint is to be treated. */
enum quar_state quar_check(const struct quar *quar,
			   const uint8_t print[MAG_DIGEST_BYTES], int64_t now)
{
	const struct quar_entry *entry = quar_find(quar, print);

	if (!entry || now >= entry->until_us)
		return QUAR_CLEAR;
	return entry->lost >= QUAR_ENDPOINTS_MAX ? QUAR_QUARANTINED
						 : QUAR_SUSPECT;
}

/*
 * Notes that an endpoint died while a request of this fingerprint ran on
 * it.  The first loss makes it a suspect; a second one quarantines it if no
 * other suspect was there (was_alone).  Otherwise it stays a suspect: what
 * ran beside a poisonous request twice by chance would be refused with it.
 */
void quar_endpoint_lost(struct quar *quar,
			const uint8_t print[MAG_DIGEST_BYTES], int endpoint,
			bool was_alone, int64_t now)
{
	struct quar_entry *entry = quar_find(quar, print);
	uint32_t before;

	(void)endpoint;
	if (entry && now >= entry->until_us) {
		quar_forget(quar, entry);
		entry = NULL;
	}
	if (!entry)
		entry = quar_take(quar, print);
	if (!entry)
		return;
	before = entry->lost;
	if (entry->lost == 0 || (was_alone && entry->lost < QUAR_ENDPOINTS_MAX))
		entry->lost++;
	entry->until_us = now + quar->hold_us;
	quar_renew(quar, entry);
	if (entry->lost == before)
		return;
	quar_log(entry->lost >= QUAR_ENDPOINTS_MAX ? LOG_QUAR_HELD
						   : LOG_QUAR_SUSPECT,
		 entry);
	if (!entry->news)
		cds_list_add_tail(&entry->in_news, &quar->news);
	entry->news = true;
}

/*
 * Notes that a request of a fingerprint ran to its end: a suspect is
 * cleared.  A quarantine stays, as nothing should have run.
 */
void quar_completed(struct quar *quar, const uint8_t print[MAG_DIGEST_BYTES],
		    int64_t now)
{
	struct quar_entry *entry = quar_find(quar, print);

	(void)now;
	if (!entry || entry->lost >= QUAR_ENDPOINTS_MAX)
		return;
	quar_log(LOG_QUAR_CLEARED, entry);
	quar_forget(quar, entry);
}

/* Learns from another instance; the stronger and longer verdict holds. */
void quar_learn(struct quar *quar, const uint8_t print[MAG_DIGEST_BYTES],
		uint32_t endpoints_lost, int64_t until_us, int64_t now)
{
	struct quar_entry *entry = quar_find(quar, print);

	if (endpoints_lost == 0 || until_us <= now)
		return;
	if (!entry)
		entry = quar_take(quar, print);
	if (!entry)
		return;
	if (entry->lost < endpoints_lost) {
		entry->lost = endpoints_lost;
		quar_log(entry->lost >= QUAR_ENDPOINTS_MAX ? LOG_QUAR_HELD
							   : LOG_QUAR_SUSPECT,
			 entry);
	}
	if (entry->until_us < until_us)
		entry->until_us = until_us;
	quar_renew(quar, entry);
}

/*
 * Hands out what other instances should hear of, each change once.  Returns
 * false if there is nothing.
 */
bool quar_next_update(struct quar *quar, uint8_t print[MAG_DIGEST_BYTES],
		      uint32_t *endpoints_lost, int64_t *until_us)
{
	struct quar_entry *entry;

	if (cds_list_empty(&quar->news))
		return false;
	entry = cds_list_first_entry(&quar->news, struct quar_entry, in_news);
	cds_list_del(&entry->in_news);
	entry->news = false;
	memcpy(print, entry->print, MAG_DIGEST_BYTES);
	*endpoints_lost = entry->lost;
	*until_us = entry->until_us;
	return true;
}

/* Finds the entry of a fingerprint, or NULL. */
static struct quar_entry *quar_find(const struct quar *quar,
				    const uint8_t print[MAG_DIGEST_BYTES])
{
	struct cds_list_head *bucket = quar_bucket(quar, print);
	struct quar_entry *entry;

	cds_list_for_each_entry (entry, bucket, by_print) {
		if (memcmp(entry->print, print, MAG_DIGEST_BYTES) == 0)
			return entry;
	}
	return NULL;
}

/* Makes the entry of a fingerprint; NULL if memory is short. */
static struct quar_entry *quar_take(struct quar *quar,
				    const uint8_t print[MAG_DIGEST_BYTES])
{
	struct quar_entry *entry;

	if (quar->count >= quar->max_entries && quar->count > 0)
		quar_forget(quar,
			    cds_list_first_entry(&quar->by_age,
						 struct quar_entry, by_age));
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return NULL;
	memcpy(entry->print, print, MAG_DIGEST_BYTES);
	cds_list_add(&entry->by_print, quar_bucket(quar, print));
	cds_list_add_tail(&entry->by_age, &quar->by_age);
	quar->count++;
	return entry;
}

/* Returns the list that a fingerprint belongs to; it is a hash already. */
static struct cds_list_head *quar_bucket(const struct quar *quar,
					 const uint8_t *print)
{
	uint32_t hash;

	memcpy(&hash, print, sizeof(hash));
	return (struct cds_list_head *)&quar
		->by_print[hash & (QUAR_BUCKETS - 1)];
}

/* Takes an entry out of every list. */
static void quar_forget(struct quar *quar, struct quar_entry *entry)
{
	cds_list_del(&entry->by_print);
	cds_list_del(&entry->by_age);
	if (entry->news)
		cds_list_del(&entry->in_news);
	quar->count--;
	free(entry);
}

/* Notes that an entry changed. */
static void quar_renew(struct quar *quar, struct quar_entry *entry)
{
	cds_list_del(&entry->by_age);
	cds_list_add_tail(&entry->by_age, &quar->by_age);
}

/* Writes a log line with the start of the fingerprint. */
static void quar_log(enum log_id id, const struct quar_entry *entry)
{
	char text[2 * QUAR_SHOWN + 1];
	int i;

	for (i = 0; i < QUAR_SHOWN; i++)
		snprintf(text + 2 * i, 3, "%02x", entry->print[i]);
	log_event(id, "fingerprint=%s endpoints_lost=%u", text, entry->lost);
}
