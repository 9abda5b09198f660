#include <stdlib.h>
#include <string.h>

#include <urcu/list.h>

#include "cnt.h"
#include "spread.h"

#define SPREAD_OWN (-1) /* origin of what this instance saw itself */

struct spread_record {
	struct cds_list_head log;  /* by the time of the last change here */
	struct cds_list_head news; /* not yet told to the owner */
	bool has_news;
	struct peer_record rec;
	int64_t until_us;   /* quarantine */
	uint32_t seq;	    /* place in this instance's log */
	int origin;	    /* link that it came from */
	uint32_t seen_here; /* leaving: enum spread_source that say so */
};

/* What is known of the other side of a link. */
struct spread_link {
	uint32_t epoch;
	uint32_t acked; /* it has our log up to here */
	uint32_t have;	/* we have its log up to here */
};

struct spread {
	struct cds_list_head log;
	struct cds_list_head news;
	uint32_t count;
	uint32_t max;
	uint32_t seq;
	struct spread_link *links;
	size_t link_count;
	const struct cfg_set *set;
	bool was_bridge;
};

static struct spread_record *spread_find(const struct spread *spread,
					 const struct peer_record *rec);
static struct spread_record *spread_add(struct spread *spread,
					const struct peer_record *rec);
static bool spread_evict(struct spread *spread);
static void spread_drop(struct spread *spread, struct spread_record *record);
static void spread_changed(struct spread *spread, struct spread_record *record,
			   int origin);
static struct spread_link *spread_link(struct spread *spread,
				       const struct peer *peer, int link);
static bool spread_forwards(const struct peer *peer,
			    const struct spread_record *record, int link);
static int spread_apply(struct spread *spread, const struct peer_record *rec,
			int link, int64_t now);
static bool spread_newer(const struct spread_record *record,
			 const struct peer_record *rec, int64_t until_us);

/* Makes an empty log of at most max_records; NULL when memory is short. */
struct spread *spread_new(uint32_t max_records)
{
	struct spread *spread = calloc(1, sizeof(*spread));

	if (!spread)
		return NULL;
	CDS_INIT_LIST_HEAD(&spread->log);
	CDS_INIT_LIST_HEAD(&spread->news);
	spread->max = max_records;
	return spread;
}

/* Frees a log; NULL is allowed. */
void spread_free(struct spread *spread)
{
	struct spread_record *record;
	struct spread_record *next;

	if (!spread)
		return;
	cds_list_for_each_entry_safe (record, next, &spread->log, log)
		free(record);
	free(spread->links);
	free(spread);
}

/*
 * Takes the set in force, which must outlive the log or the next call.
 * Records of endpoints that it lacks are the first to go when room is short.
 */
void spread_config(struct spread *spread, const struct cfg_set *set)
{
	spread->set = set;
}

/*
 * Notes what this instance's own list shows of an endpoint.  Only a change
 * of the own view makes a new version: a list that lags behind what peers
 * told must not call an endpoint back.
 */
int spread_note_leaving(struct spread *spread, const char *endpoint,
			enum spread_source source, bool leaving)
{
	uint32_t seen;
	struct peer_record rec = { .kind = PEER_REC_LEAVING };
	struct spread_record *record;

	if (mag_copy_name(rec.endpoint, MAG_NAME_MAX, endpoint))
		return SPREAD_E_NAME;
	record = spread_find(spread, &rec);
	if (!record && !leaving)
		return SPREAD_OK;
	if (!record)
		record = spread_add(spread, &rec);
	if (!record)
		return SPREAD_E_FULL;
	seen = record->seen_here & ~(uint32_t)source;
	if (leaving)
		seen |= source;
	if ((seen != 0) == (record->seen_here != 0)) {
		record->seen_here = seen;
		return SPREAD_OK;
	}
	record->seen_here = seen;
	if (record->rec.leaving == leaving)
		return SPREAD_OK;
	record->rec.leaving = leaving;
	record->rec.version++;
	spread_changed(spread, record, SPREAD_OWN);
	return SPREAD_OK;
}

/* Notes a fingerprint that this instance quarantined until until_us. */
int spread_note_quarantine(struct spread *spread,
			   const uint8_t print[MAG_DIGEST_BYTES], uint32_t lost,
			   int64_t until_us, int64_t now)
{
	struct peer_record rec = { .kind = PEER_REC_QUARANTINE,
				   .endpoints_lost = lost };

	memcpy(rec.fingerprint, print, MAG_DIGEST_BYTES);
	if (until_us <= now)
		return SPREAD_OK;
	rec.remaining_ms = (uint32_t)((until_us - now) / MAG_US_PER_MS);
	return spread_apply(spread, &rec, SPREAD_OWN, now);
}

/*
 * Takes the records of a message.  Returns how many it brought, so that the
 * caller acknowledges them soon.
 */
int spread_take(struct spread *spread, const struct peer *peer, int link,
		const struct peer_msg *msg, int64_t now)
{
	struct spread_link *state = spread_link(spread, peer, link);
	uint32_t i;

	if (!state)
		return 0;
	/*
	 * An acknowledgement of an earlier incarnation's log means nothing
	 * here; one that went back means that the peer lost its memory.
	 */
	state->acked = peer_acks_us(peer, msg) ? msg->records_ack : 0;
	if (state->acked > spread->seq)
		state->acked = 0;
	for (i = 0; i < msg->record_count; i++) {
		if (spread_apply(spread, &msg->records[i], link, now))
			return 0; /* no room: it will be sent again */
	}
	state->have = msg->records_seq;
	return (int)msg->record_count;
}

/* Adds to a message what its receiver hasn't acknowledged. */
void spread_fill(struct spread *spread, const struct peer *peer, int link,
		 int64_t now, struct peer_msg *msg)
{
	struct spread_link *state = spread_link(spread, peer, link);
	struct spread_record *record;

	msg->records_seq = state ? state->acked : 0;
	msg->records_ack = state ? state->have : 0;
	if (!state)
		return;
	cds_list_for_each_entry (record, &spread->log, log) {
		struct peer_record *rec = &msg->records[msg->record_count];

		if (record->seq <= state->acked)
			continue;
		if (msg->record_count == PEER_RECORDS_MAX)
			return;
		msg->records_seq = record->seq;
		if (!spread_forwards(peer, record, link) ||
		    (record->rec.kind == PEER_REC_QUARANTINE &&
		     record->until_us <= now))
			continue;
		*rec = record->rec;
		rec->remaining_ms =
			(uint32_t)((record->until_us - now) / MAG_US_PER_MS);
		msg->record_count++;
	}
}

/* True if a link's other side lacks a record that goes to it. */
bool spread_pending(const struct spread *spread, const struct peer *peer,
		    int link)
{
	const struct spread_record *record;
	uint32_t acked = 0;

	if ((size_t)link < spread->link_count &&
	    spread->links[link].epoch == peer_link_epoch(peer, link))
		acked = spread->links[link].acked;
	cds_list_for_each_entry_reverse(record, &spread->log, log)
	{
		if (record->seq <= acked)
			return false;
		if (spread_forwards(peer, record, link))
			return true;
	}
	return false;
}

/*
 * Forgets what has ended.  An instance that becomes a bridge forwards what
 * it didn't have to before, so its whole log counts as new again.
 */
void spread_tick(struct spread *spread, const struct peer *peer, int64_t now)
{
	struct spread_record *record;
	struct spread_record *next;
	bool bridge = peer_rail(peer) >= 0;

	cds_list_for_each_entry_safe (record, next, &spread->log, log) {
		if (record->rec.kind == PEER_REC_QUARANTINE &&
		    record->until_us <= now)
			spread_drop(spread, record);
		else if (bridge && !spread->was_bridge)
			record->seq = ++spread->seq;
	}
	spread->was_bridge = bridge;
}

/* Gives the next record that changed by what a peer said. */
bool spread_next_news(struct spread *spread, struct spread_news *news)
{
	struct spread_record *record;

	if (cds_list_empty(&spread->news))
		return false;
	record = cds_list_entry(spread->news.next, struct spread_record, news);
	cds_list_del(&record->news);
	record->has_news = false;
	news->kind = record->rec.kind;
	memcpy(news->endpoint, record->rec.endpoint, MAG_NAME_MAX);
	memcpy(news->print, record->rec.fingerprint, MAG_DIGEST_BYTES);
	news->leaving = record->rec.leaving;
	news->lost = record->rec.endpoints_lost;
	news->until_us = record->until_us;
	return true;
}

/* How many records are kept. */
uint32_t spread_count(const struct spread *spread)
{
	return spread->count;
}

/* Finds the record of the same endpoint or fingerprint. */
static struct spread_record *spread_find(const struct spread *spread,
					 const struct peer_record *rec)
{
	struct spread_record *record;

	cds_list_for_each_entry (record, &spread->log, log) {
		if (record->rec.kind != rec->kind)
			continue;
		if (rec->kind == PEER_REC_LEAVING &&
		    strcmp(record->rec.endpoint, rec->endpoint) == 0)
			return record;
		if (rec->kind == PEER_REC_QUARANTINE &&
		    memcmp(record->rec.fingerprint, rec->fingerprint,
			   MAG_DIGEST_BYTES) == 0)
			return record;
	}
	return NULL;
}

/* Adds a record at the end of the log; NULL if there is no room. */
static struct spread_record *spread_add(struct spread *spread,
					const struct peer_record *rec)
{
	struct spread_record *record;

	if (spread->count >= spread->max && !spread_evict(spread)) {
		cnt_add(CNT_SPREAD_FULL, 1);
		return NULL;
	}
	record = calloc(1, sizeof(*record));
	if (!record)
		return NULL;
	record->rec.kind = rec->kind;
	memcpy(record->rec.endpoint, rec->endpoint, MAG_NAME_MAX);
	memcpy(record->rec.fingerprint, rec->fingerprint, MAG_DIGEST_BYTES);
	record->origin = SPREAD_OWN;
	record->seq = ++spread->seq;
	cds_list_add_tail(&record->log, &spread->log);
	spread->count++;
	return record;
}

/*
 * Drops the oldest record that stops nothing: an endpoint that came back, or
 * one that the set in force lacks.
 */
static bool spread_evict(struct spread *spread)
{
	struct spread_record *record;

	cds_list_for_each_entry (record, &spread->log, log) {
		if (record->rec.kind != PEER_REC_LEAVING)
			continue;
		if (record->rec.leaving && spread->set &&
		    cfg_find_endpoint(spread->set, record->rec.endpoint) >= 0)
			continue;
		if (record->rec.leaving && !spread->set)
			continue;
		spread_drop(spread, record);
		return true;
	}
	return false;
}

/* Takes a record out of the log. */
static void spread_drop(struct spread *spread, struct spread_record *record)
{
	if (record->has_news)
		cds_list_del(&record->news);
	cds_list_del(&record->log);
	free(record);
	spread->count--;
}

/* Puts a changed record at the end of the log, so that it is sent again. */
static void spread_changed(struct spread *spread, struct spread_record *record,
			   int origin)
{
	record->origin = origin;
	record->seq = ++spread->seq;
	cds_list_del(&record->log);
	cds_list_add_tail(&record->log, &spread->log);
	if (record->has_news)
		return;
	record->has_news = true;
	cds_list_add_tail(&record->news, &spread->news);
}

/*
 * Returns the state of a link, emptied if the other side is a new
 * incarnation; NULL when memory is short.
 */
static struct spread_link *spread_link(struct spread *spread,
				       const struct peer *peer, int link)
{
	struct spread_link *links;
	size_t count = peer_link_count(peer);
	uint32_t epoch = peer_link_epoch(peer, link);

	if (count > spread->link_count) {
		links = realloc(spread->links, count * sizeof(*links));
		if (!links)
			return NULL;
		memset(&links[spread->link_count], 0,
		       (count - spread->link_count) * sizeof(*links));
		spread->links = links;
		spread->link_count = count;
	}
	if (spread->links[link].epoch != epoch)
		spread->links[link] = (struct spread_link){ .epoch = epoch };
	return &spread->links[link];
}

/*
 * Says whether a record goes over a link.  What an instance saw itself goes
 * to all; what it learned goes on through the bridges only, and to them, so
 * that a data centre of n instances doesn't tell itself n times.
 */
static bool spread_forwards(const struct peer *peer,
			    const struct spread_record *record, int link)
{
	if (record->origin == link)
		return false;
	return record->origin == SPREAD_OWN || peer_rail(peer) >= 0 ||
	       peer_link_rail(peer, link) >= 0;
}

/* Merges a record; it goes on if it was news here. */
static int spread_apply(struct spread *spread, const struct peer_record *rec,
			int link, int64_t now)
{
	struct spread_record *record = spread_find(spread, rec);
	int64_t until = now + rec->remaining_ms * MAG_US_PER_MS;
	bool found = record != NULL;

	if (!record)
		record = spread_add(spread, rec);
	if (!record)
		return SPREAD_E_FULL;
	if (found && !spread_newer(record, rec, until))
		return SPREAD_OK;
	record->rec.leaving = rec->leaving;
	record->rec.version = rec->version;
	if (rec->endpoints_lost > record->rec.endpoints_lost)
		record->rec.endpoints_lost = rec->endpoints_lost;
	if (until > record->until_us)
		record->until_us = until;
	spread_changed(spread, record, link);
	return SPREAD_OK;
}

/*
 * Says which of two views of a record holds.  Of two changes of an endpoint
 * made at once, leaving holds: work that is kept off for a while costs less
 * than work sent to an endpoint that goes.
 */
static bool spread_newer(const struct spread_record *record,
			 const struct peer_record *rec, int64_t until_us)
{
	if (rec->kind == PEER_REC_LEAVING) {
		if (rec->version != record->rec.version)
			return rec->version > record->rec.version;
		return rec->leaving && !record->rec.leaving;
	}
	/* Transit rounds the remaining time; a second is no news. */
	return rec->endpoints_lost > record->rec.endpoints_lost ||
	       until_us > record->until_us + MAG_US_PER_S;
}
