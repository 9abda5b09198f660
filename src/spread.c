#include <stdlib.h>
#include <string.h>

#include <urcu/list.h>

#include "cnt.h"
#include "spread.h"

#define SPREAD_LOCAL (-1) /* origin of what this instance observed itself */

struct spread_record {
	struct cds_list_head log;     /* oldest change first */
	struct cds_list_head changes; /* not yet returned to the caller */
	bool in_changes;
	struct peer_record rec;
	int64_t until_us; /* end of a quarantine */
	uint32_t seq;	  /* of the last change, rises along the log */
	int origin;	  /* link that brought the last change */
	uint32_t sources; /* leaving: set of enum spread_source */
};

/* The acknowledged parts of both logs on a link. */
struct spread_link {
	uint32_t epoch;
	uint32_t acked_by_peer; /* seq up to which the peer has this log */
	uint32_t received; /* seq up to which the peer's log was received */
};

struct spread {
	struct cds_list_head log;
	struct cds_list_head changes;
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
static void spread_remove(struct spread *spread, struct spread_record *record);
static void spread_mark_changed(struct spread *spread,
				struct spread_record *record, int origin);
static struct spread_link *spread_link(struct spread *spread,
				       const struct peer *peer, int link);
static bool spread_forwards(const struct peer *peer,
			    const struct spread_record *record, int link);
static int spread_merge(struct spread *spread, const struct peer_record *rec,
			int link, int64_t now);
static bool spread_supersedes(const struct spread_record *record,
			      const struct peer_record *rec, int64_t until_us);

/* Creates a log of at most max_records; returns NULL if out of memory. */
struct spread *spread_new(uint32_t max_records)
{
	struct spread *spread = calloc(1, sizeof(*spread));

	if (!spread)
		return NULL;
	CDS_INIT_LIST_HEAD(&spread->log);
	CDS_INIT_LIST_HEAD(&spread->changes);
	spread->max = max_records;
	return spread;
}

/* Frees a log; NULL is a no-op. */
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
 * Sets the set in force, which must remain valid until the next call or as
 * long as the log.  When the log is full, records of endpoints that the set
 * lacks may be evicted.
 */
void spread_config(struct spread *spread, const struct cfg_set *set)
{
	spread->set = set;
}

/*
 * Updates what one of this instance's own sources shows of an endpoint.  Only
 * a change of the own view creates a new version of the record: a list that
 * is older than what peers sent must not mark the endpoint as returned.
 */
int spread_note_leaving(struct spread *spread, const char *endpoint,
			enum spread_source source, bool leaving)
{
	uint32_t sources;
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
	sources = record->sources & ~(uint32_t)source;
	if (leaving)
		sources |= source;
	if ((sources != 0) == (record->sources != 0)) {
		record->sources = sources;
		return SPREAD_OK;
	}
	record->sources = sources;
	if (record->rec.leaving == leaving)
		return SPREAD_OK;
	record->rec.leaving = leaving;
	record->rec.version++;
	spread_mark_changed(spread, record, SPREAD_LOCAL);
	return SPREAD_OK;
}

/* Adds a fingerprint that this instance quarantined until until_us. */
int spread_note_quarantine(struct spread *spread,
			   const uint8_t fingerprint[MAG_DIGEST_BYTES],
			   uint32_t endpoints_lost, int64_t until_us,
			   int64_t now)
{
	struct peer_record rec = { .kind = PEER_REC_QUARANTINE,
				   .endpoints_lost = endpoints_lost };

	memcpy(rec.fingerprint, fingerprint, MAG_DIGEST_BYTES);
	if (until_us <= now)
		return SPREAD_OK;
	rec.remaining_ms = (uint32_t)((until_us - now) / MAG_US_PER_MS);
	return spread_merge(spread, &rec, SPREAD_LOCAL, now);
}

/*
 * Merges the records of a message.  Returns how many it carried, so that the
 * caller can acknowledge them soon.
 */
int spread_receive(struct spread *spread, const struct peer *peer, int link,
		   const struct peer_msg *msg, int64_t now)
{
	struct spread_link *state = spread_link(spread, peer, link);
	uint32_t i;

	if (!state)
		return 0;
	/*
	 * An acknowledgement for the log of an earlier incarnation of this
	 * instance doesn't apply to this log.  An acknowledgement that is lower
	 * than before means that the peer lost its log.
	 */
	state->acked_by_peer = peer_acks_us(peer, msg) ? msg->records_ack : 0;
	if (state->acked_by_peer > spread->seq)
		state->acked_by_peer = 0;
	for (i = 0; i < msg->record_count; i++) {
		if (spread_merge(spread, &msg->records[i], link, now))
			return 0; /* log full: the peer sends it again */
	}
	state->received = msg->records_seq;
	return (int)msg->record_count;
}

/* Adds the records that the receiver hasn't acknowledged to a message. */
void spread_fill_message(struct spread *spread, const struct peer *peer,
			 int link, int64_t now, struct peer_msg *msg)
{
	struct spread_link *state = spread_link(spread, peer, link);
	struct spread_record *record;

	msg->records_seq = state ? state->acked_by_peer : 0;
	msg->records_ack = state ? state->received : 0;
	if (!state)
		return;
	cds_list_for_each_entry (record, &spread->log, log) {
		struct peer_record *rec = &msg->records[msg->record_count];

		if (record->seq <= state->acked_by_peer)
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

/* True if the peer lacks a record that is sent over this link. */
bool spread_pending(const struct spread *spread, const struct peer *peer,
		    int link)
{
	const struct spread_record *record;
	uint32_t acked_by_peer = 0;

	if ((size_t)link < spread->link_count &&
	    spread->links[link].epoch == peer_link_epoch(peer, link))
		acked_by_peer = spread->links[link].acked_by_peer;
	cds_list_for_each_entry_reverse(record, &spread->log, log)
	{
		if (record->seq <= acked_by_peer)
			return false;
		if (spread_forwards(peer, record, link))
			return true;
	}
	return false;
}

/*
 * Removes quarantines that have ended.  An instance that becomes a bridge must
 * forward records that it didn't forward before, so its whole log counts as
 * changed again.
 */
void spread_tick(struct spread *spread, const struct peer *peer, int64_t now)
{
	struct spread_record *record;
	struct spread_record *next;
	bool bridge = peer_rail(peer) >= 0;

	cds_list_for_each_entry_safe (record, next, &spread->log, log) {
		if (record->rec.kind == PEER_REC_QUARANTINE &&
		    record->until_us <= now)
			spread_remove(spread, record);
		else if (bridge && !spread->was_bridge)
			record->seq = ++spread->seq;
	}
	spread->was_bridge = bridge;
}

/* Returns the next changed record, if any. */
bool spread_next_change(struct spread *spread, struct spread_change *change)
{
	struct spread_record *record;

	if (cds_list_empty(&spread->changes))
		return false;
	record = cds_list_entry(spread->changes.next, struct spread_record,
				changes);
	cds_list_del(&record->changes);
	record->in_changes = false;
	change->kind = record->rec.kind;
	memcpy(change->endpoint, record->rec.endpoint, MAG_NAME_MAX);
	memcpy(change->fingerprint, record->rec.fingerprint, MAG_DIGEST_BYTES);
	change->leaving = record->rec.leaving;
	change->endpoints_lost = record->rec.endpoints_lost;
	change->until_us = record->until_us;
	return true;
}

/* Returns the number of records in the log. */
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

/* Adds a record at the end of the log; returns NULL if it can't. */
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
	record->origin = SPREAD_LOCAL;
	record->seq = ++spread->seq;
	cds_list_add_tail(&record->log, &spread->log);
	spread->count++;
	return record;
}

/*
 * Removes the oldest record without an effect: that of an endpoint which
 * returned, or of one that the set in force lacks.
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
		spread_remove(spread, record);
		return true;
	}
	return false;
}

/* Removes a record from the log and frees it. */
static void spread_remove(struct spread *spread, struct spread_record *record)
{
	if (record->in_changes)
		cds_list_del(&record->changes);
	cds_list_del(&record->log);
	free(record);
	spread->count--;
}

/* Moves a changed record to the end of the log, so that it is sent again. */
static void spread_mark_changed(struct spread *spread,
				struct spread_record *record, int origin)
{
	record->origin = origin;
	record->seq = ++spread->seq;
	cds_list_del(&record->log);
	cds_list_add_tail(&record->log, &spread->log);
	if (record->in_changes)
		return;
	record->in_changes = true;
	cds_list_add_tail(&record->changes, &spread->changes);
}

/*
 * Returns the state of a link, which is reset for a new incarnation of the
 * peer; NULL if out of memory.
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
 * True if a record is sent over a link.  A record that this instance observed
 * itself is sent to all peers.  One that it learned from a peer is forwarded by
 * bridges, and to bridges, only, so that n instances of a data centre don't
 * send each other the same record n times.
 */
static bool spread_forwards(const struct peer *peer,
			    const struct spread_record *record, int link)
{
	if (record->origin == link)
		return false;
	return record->origin == SPREAD_LOCAL || peer_rail(peer) >= 0 ||
	       peer_link_rail(peer, link) >= 0;
}

/* Merges a received record; a change is forwarded. */
static int spread_merge(struct spread *spread, const struct peer_record *rec,
			int link, int64_t now)
{
	struct spread_record *record = spread_find(spread, rec);
	int64_t until_us = now + rec->remaining_ms * MAG_US_PER_MS;
	bool found = record != NULL;

	if (!record)
		record = spread_add(spread, rec);
	if (!record)
		return SPREAD_E_FULL;
	if (found && !spread_supersedes(record, rec, until_us))
		return SPREAD_OK;
	record->rec.leaving = rec->leaving;
	record->rec.version = rec->version;
	if (rec->endpoints_lost > record->rec.endpoints_lost)
		record->rec.endpoints_lost = rec->endpoints_lost;
	if (until_us > record->until_us)
		record->until_us = until_us;
	spread_mark_changed(spread, record, link);
	return SPREAD_OK;
}

/*
 * True if a received version of a record replaces the present one.  Of two
 * concurrent changes of an endpoint the one to leaving wins: sending an
 * endpoint no work for a while costs less than sending work to an endpoint
 * that goes away.
 */
static bool spread_supersedes(const struct spread_record *record,
			      const struct peer_record *rec, int64_t until_us)
{
	if (rec->kind == PEER_REC_LEAVING) {
		if (rec->version != record->rec.version)
			return rec->version > record->rec.version;
		return rec->leaving && !record->rec.leaving;
	}
	/* Messages round the remaining time: up to 1 s is no change. */
	return rec->endpoints_lost > record->rec.endpoints_lost ||
	       until_us > record->until_us + MAG_US_PER_S;
}
