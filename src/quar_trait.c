#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "quar_trait_int.h"

/*
 * Messages that pass on what was heard.  A trait of one loss is not passed on:
 * many workers that die together would flood all instances with those of sound
 * requests.  Where an instance does not reach all others, it takes few losses
 * more until some of them know of two.
 */
#define QUAR_TRAIT_RELAY_REPORTS 2
#define QUAR_TRAIT_RELAY_LOSSES	 2
/*
 * Time in which a request that tries a trait has an outcome.  After each of
 * them twice as many instances may try it, so that a trait that few requests
 * have is tried, too; once an endpoint was lost, only one does.
 */
#define QUAR_TRAIT_TRIAL_US   (2 * MAG_US_PER_S)
#define QUAR_TRAIT_TRIALS_MAX 16 /* doublings */

static void quar_trait_evict(struct quar_traits *traits);
static void quar_trait_remove(struct quar_traits *traits,
			      struct quar_trait_entry *entry);
static uint32_t quar_trait_hash(const struct quar_trait *trait);
static bool quar_trait_merge(struct quar_traits *traits,
			     const struct quar_trait_report *report, bool own,
			     int64_t now);
static struct quar_trait_pair *
quar_trait_new_pair(struct quar_trait_entry *entry,
		    const struct quar_trait_report *report);
static void quar_trait_relay(struct quar_trait_entry *entry);
static void quar_trait_follow(struct quar_traits *traits,
			      struct quar_trait_entry *entry,
			      const struct quar_trait_report *report,
			      int64_t now);
static bool quar_trait_clear(struct quar_traits *traits,
			     struct quar_trait_entry *entry, int64_t begun_us,
			     int reports);

/*
 * Creates an empty table, which holds a trait for hold_us after its last loss.
 * When the table is full, traits without losses are evicted first.  Returns
 * NULL if out of memory.
 */
struct quar_traits *quar_traits_new(uint32_t max_entries, int64_t hold_us)
{
	struct quar_traits *traits = calloc(1, sizeof(*traits));

	if (!traits)
		return NULL;
	traits->max_entries = max_entries;
	traits->hold_us = hold_us;
	CDS_INIT_LIST_HEAD(&traits->sound);
	CDS_INIT_LIST_HEAD(&traits->suspects);
	CDS_INIT_LIST_HEAD(&traits->reports);
	return traits;
}

/* Frees a table; NULL is allowed. */
void quar_traits_free(struct quar_traits *traits)
{
	if (!traits)
		return;
	while (traits->entries.count > 0)
		quar_trait_evict(traits);
	htab_free(&traits->entries);
	free(traits);
}

/* Returns how a request with this trait is to be treated. */
enum quar_state quar_trait_check(struct quar_traits *traits,
				 const struct quar_trait *trait, int64_t now)
{
	const struct quar_trait_entry *entry = quar_trait_find(traits, trait);

	if (!entry)
		return QUAR_CLEAR;
	if (quar_trait_is_held(entry, now))
		return QUAR_QUARANTINED;
	return !entry->known && quar_trait_moments(entry, now) >=
					QUAR_TRAIT_LOSSES - 1
		       ? QUAR_SUSPECT
		       : QUAR_CLEAR;
}

/*
 * Records that a run with this trait, which began at begun_us, did well.  What
 * was lost before is not the trait's fault.
 */
void quar_trait_did_well(struct quar_traits *traits,
			 const struct quar_trait *trait, int64_t begun_us,
			 int64_t now)
{
	struct quar_trait_entry *entry = quar_trait_find(traits, trait);

	(void)now;
	if (!entry)
		entry = quar_trait_add(traits, trait);
	if (!entry)
		return;
	entry->runs++;
	entry->known = true;
	(void)quar_trait_clear(traits, entry, begun_us, QUAR_TRAIT_OWN_REPORTS);
	quar_trait_settle_list(traits, entry);
}

/*
 * Records that an endpoint was lost while a request with this trait was
 * beginning there.  What is new is reported to other instances at once.
 */
void quar_trait_add_loss(struct quar_traits *traits,
			 const struct quar_trait_report *loss, int64_t now)
{
	if (quar_trait_merge(traits, loss, true, now))
		traits->alert = QUAR_ALERT_ALL;
}

/* Merges what another instance reports; news is passed on. */
void quar_trait_hear(struct quar_traits *traits,
		     const struct quar_trait_report *report, int64_t now)
{
	struct quar_trait_entry *entry;

	if (!report->did_well) {
		(void)quar_trait_merge(traits, report, false, now);
		return;
	}
	entry = quar_trait_find(traits, &report->trait);
	if (!entry)
		return;
	entry->known = true;
	if (quar_trait_clear(traits, entry, now - report->age_us,
			     QUAR_TRAIT_RELAY_REPORTS))
		quar_trait_settle_list(traits, entry);
}

/*
 * Merges a loss that was seen here (own) or heard of.  Returns whether it is
 * news.  A loss before a run that did well is no evidence, which whoever
 * reports it is told.
 */
static bool quar_trait_merge(struct quar_traits *traits,
			     const struct quar_trait_report *report, bool own,
			     int64_t now)
{
	struct quar_trait_entry *entry =
		quar_trait_find(traits, &report->trait);
	bool confirmed = report->held && !report->in_doubt;
	int64_t at_us = now - report->age_us;
	struct quar_trait_pair *pair;

	if (report->age_us < 0 || report->age_us >= traits->hold_us)
		return false;
	if (quar_traits_explain(traits, report->endpoint) && !confirmed &&
	    !(entry && quar_trait_is_confirmed(entry, now)))
		return false;
	if (!entry)
		entry = quar_trait_add(traits, &report->trait);
	if (!entry)
		return false;
	quar_trait_expire(traits, entry, now);
	entry->known |= report->known;
	if (at_us <= entry->well_us) {
		entry->well_reports = QUAR_TRAIT_RELAY_REPORTS;
		quar_trait_queue(traits, entry);
		return false;
	}
	pair = quar_trait_new_pair(entry, report);
	if (!pair) {
		quar_trait_follow(traits, entry, report, now);
		return false;
	}
	pair->at_us = at_us;
	pair->learned_us = now;
	pair->reports_left = own ? QUAR_TRAIT_OWN_REPORTS : 0;
	quar_trait_watch(traits, now);
	quar_trait_settle_list(traits, entry);
	quar_trait_queue(traits, entry);
	if (!own && (report->held ||
		     quar_trait_moments(entry, now) >= QUAR_TRAIT_RELAY_LOSSES))
		quar_trait_relay(entry);
	if (report->held || quar_trait_is_held(entry, now))
		quar_trait_hold(traits, entry, !confirmed, now);
	return true;
}

/* Quarantines a trait if the reporting instance does, and is as sure of it. */
static void quar_trait_follow(struct quar_traits *traits,
			      struct quar_trait_entry *entry,
			      const struct quar_trait_report *report,
			      int64_t now)
{
	if (report->held && (!quar_trait_is_held(entry, now) ||
			     (entry->in_doubt && !report->in_doubt)))
		quar_trait_hold(traits, entry, report->in_doubt, now);
}

/* Tells whether a trait is quarantined, but in doubt. */
bool quar_trait_is_in_doubt(const struct quar_traits *traits,
			    const struct quar_trait *trait, int64_t now)
{
	const struct quar_trait_entry *entry = quar_trait_find(traits, trait);

	return entry && quar_trait_is_held(entry, now) && entry->in_doubt;
}

/*
 * Tells whether a request may run although its trait is quarantined, to find
 * out about the trait.  rank is the place of this instance among all of them.
 */
bool quar_trait_take_trial(struct quar_traits *traits,
			   const struct quar_trait *trait, int rank,
			   int64_t now)
{
	struct quar_trait_entry *entry = quar_trait_find(traits, trait);
	int64_t rounds;

	if (!quar_trait_is_in_doubt(traits, trait, now) ||
	    now < entry->trial_until_us)
		return false;
	rounds = (now - entry->held_us) / QUAR_TRAIT_TRIAL_US;
	if (quar_trait_failures(entry, entry->held_us, now) > 0)
		rounds = 0;
	if (rounds < QUAR_TRAIT_TRIALS_MAX && rank >= 1 << rounds)
		return false;
	entry->trial_until_us = now + QUAR_TRAIT_TRIAL_US;
	return true;
}

/* Has the losses of a trait passed on that were not yet. */
static void quar_trait_relay(struct quar_trait_entry *entry)
{
	int i;

	for (i = 0; i < entry->pair_count; i++) {
		if (entry->pairs[i].relayed)
			continue;
		entry->pairs[i].relayed = true;
		if (entry->pairs[i].reports_left < QUAR_TRAIT_RELAY_REPORTS)
			entry->pairs[i].reports_left = QUAR_TRAIT_RELAY_REPORTS;
	}
}

/*
 * Adds an endpoint and a request to the losses of a trait, in place of the
 * oldest if there are too many.  Returns NULL if they are known already, enough
 * requests are known of the endpoint, or memory is exhausted.
 */
static struct quar_trait_pair *
quar_trait_new_pair(struct quar_trait_entry *entry,
		    const struct quar_trait_report *report)
{
	struct quar_trait_pair *pair;
	struct quar_trait_pair *oldest;
	int there = 0;

	if (!entry->pairs)
		entry->pairs = calloc(QUAR_TRAIT_PAIRS, sizeof(*pair));
	if (!entry->pairs)
		return NULL;
	oldest = entry->pairs;
	for (pair = entry->pairs; pair < entry->pairs + entry->pair_count;
	     pair++) {
		there += pair->endpoint == report->endpoint;
		if (pair->endpoint == report->endpoint &&
		    pair->request == report->request)
			return NULL;
		if (pair->at_us < oldest->at_us)
			oldest = pair;
	}
	if (there == QUAR_TRAIT_REQUESTS)
		return NULL;
	pair = entry->pair_count < QUAR_TRAIT_PAIRS
		       ? &entry->pairs[entry->pair_count++]
		       : oldest;
	memset(pair, 0, sizeof(*pair));
	pair->first = there == 0;
	pair->endpoint = report->endpoint;
	pair->request = report->request;
	return pair;
}

/*
 * Clears a trait of all losses before a run that did well began.  Returns
 * whether there were any, of which so many messages then report.
 */
static bool quar_trait_clear(struct quar_traits *traits,
			     struct quar_trait_entry *entry, int64_t begun_us,
			     int reports)
{
	int before = entry->pair_count;
	int i;

	if (begun_us <= entry->well_us)
		return false;
	entry->well_us = begun_us;
	for (i = entry->pair_count - 1; i >= 0; i--) {
		if (entry->pairs[i].at_us <= begun_us)
			quar_trait_drop_pair(entry, i);
	}
	if (entry->pair_count == before)
		return false;
	if (entry->pair_count == 0)
		quar_trait_release(entry);
	entry->well_reports = reports;
	quar_trait_queue(traits, entry);
	return true;
}

/* Finds the entry of a trait, or NULL. */
struct quar_trait_entry *quar_trait_find(const struct quar_traits *traits,
					 const struct quar_trait *trait)
{
	struct htab_node *node =
		htab_first(&traits->entries, quar_trait_hash(trait));
	struct quar_trait_entry *entry;

	for (; node; node = htab_next(node)) {
		entry = caa_container_of(node, struct quar_trait_entry,
					 by_trait);
		if (entry->trait.value == trait->value &&
		    entry->trait.service == trait->service &&
		    entry->trait.kind == trait->kind)
			return entry;
	}
	return NULL;
}

/* Creates the entry of a trait; NULL if out of memory. */
struct quar_trait_entry *quar_trait_add(struct quar_traits *traits,
					const struct quar_trait *trait)
{
	struct quar_trait_entry *entry;

	if (traits->entries.count >= traits->max_entries)
		quar_trait_evict(traits);
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return NULL;
	if (htab_add(&traits->entries, &entry->by_trait,
		     quar_trait_hash(trait))) {
		free(entry);
		return NULL;
	}
	entry->trait = *trait;
	entry->well_us = QUAR_TRAIT_UNSEEN;
	cds_list_add_tail(&entry->by_age, &traits->sound);
	return entry;
}

/*
 * Removes the least recently changed entry: a suspect only if there is no other
 * one, and one that is quarantined, or was, only if all are.
 */
static void quar_trait_evict(struct quar_traits *traits)
{
	struct cds_list_head *list = cds_list_empty(&traits->sound)
					     ? &traits->suspects
					     : &traits->sound;
	struct quar_trait_entry *evicted =
		cds_list_first_entry(list, struct quar_trait_entry, by_age);
	struct quar_trait_entry *entry;

	cds_list_for_each_entry (entry, list, by_age) {
		if (entry->held_before)
			continue;
		evicted = entry;
		break;
	}
	quar_trait_remove(traits, evicted);
}

/* Removes an entry from every list and frees it. */
static void quar_trait_remove(struct quar_traits *traits,
			      struct quar_trait_entry *entry)
{
	htab_del(&traits->entries, &entry->by_trait);
	cds_list_del(&entry->by_age);
	if (entry->report_pending)
		cds_list_del(&entry->in_reports);
	free(entry->pairs);
	free(entry);
}

/* Moves an entry to the recent end of the list that it now belongs to. */
void quar_trait_settle_list(struct quar_traits *traits,
			    struct quar_trait_entry *entry)
{
	bool suspect = entry->pair_count > 0 || entry->held_until_us ||
		       entry->held_before;

	if (!suspect) {
		free(entry->pairs);
		entry->pairs = NULL;
	}
	cds_list_del(&entry->by_age);
	cds_list_add_tail(&entry->by_age,
			  suspect ? &traits->suspects : &traits->sound);
}

/* Forgets one loss. */
void quar_trait_drop_pair(struct quar_trait_entry *entry, int index)
{
	entry->pair_count--;
	memmove(&entry->pairs[index], &entry->pairs[index + 1],
		(size_t)(entry->pair_count - index) * sizeof(entry->pairs[0]));
}

/* Returns how many endpoints were lost under a trait. */
int quar_trait_endpoints(const struct quar_trait_entry *entry)
{
	int count = 0;
	int i;
	int j;

	for (i = 0; i < entry->pair_count; i++) {
		for (j = 0; j < i; j++) {
			if (entry->pairs[j].endpoint ==
			    entry->pairs[i].endpoint)
				break;
		}
		count += j == i;
	}
	return count;
}

bool quar_trait_is_held(const struct quar_trait_entry *entry, int64_t now)
{
	return now < entry->held_until_us;
}

/* Tells whether a trait is quarantined, and is not in doubt. */
bool quar_trait_is_confirmed(const struct quar_trait_entry *entry, int64_t now)
{
	return quar_trait_is_held(entry, now) && !entry->in_doubt;
}

static uint32_t quar_trait_hash(const struct quar_trait *trait)
{
	return (uint32_t)trait->value ^ (uint32_t)(trait->value >> 32) ^
	       trait->service ^ (uint32_t)trait->kind;
}

/* Writes a log line of a trait. */
void quar_trait_log(enum log_id id, const struct quar_trait_entry *entry)
{
	log_event(id,
		  "kind=%s value=%" PRIx64 " in_doubt=%d endpoints_lost=%d "
		  "runs=%d",
		  quar_trait_kind_name(entry->trait.kind), entry->trait.value,
		  entry->in_doubt, quar_trait_endpoints(entry), entry->runs);
}
