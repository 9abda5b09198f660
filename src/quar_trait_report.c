#include <string.h>

#include "quar_trait_int.h"

static int quar_trait_fill(struct quar_trait_entry *entry,
			   struct quar_trait_report *reports, int64_t now);
static void quar_trait_fill_pair(const struct quar_trait_entry *entry,
				 int index, struct quar_trait_report *report,
				 int64_t now);
static bool quar_trait_has_reports(const struct quar_trait_entry *entry);
static bool quar_trait_is_unreported(const struct quar_trait_entry *entry);

/*
 * Queues the reports of an entry.  What has lost several endpoints, or may be
 * cleared, goes before what has lost one, as few traits have.
 */
void quar_trait_queue(struct quar_traits *traits,
		      struct quar_trait_entry *entry)
{
	if (entry->report_pending)
		cds_list_del(&entry->in_reports);
	if (quar_trait_endpoints(entry) != 1 || entry->held_until_us)
		cds_list_add(&entry->in_reports, &traits->reports);
	else
		cds_list_add_tail(&entry->in_reports, &traits->reports);
	entry->report_pending = true;
}

/*
 * Copies what is to be reported to other instances, the reports of an entry
 * together.  Returns their number, at most max.
 */
int quar_traits_collect(struct quar_traits *traits,
			struct quar_trait_report *reports, int max, int64_t now)
{
	struct quar_trait_entry *entry;
	struct quar_trait_entry *next;
	CDS_LIST_HEAD(again);
	int count = 0;

	cds_list_for_each_entry_safe (entry, next, &traits->reports,
				      in_reports) {
		if (count + QUAR_TRAIT_PAIRS + 1 > max) {
			if (quar_trait_is_unreported(entry))
				traits->alert = QUAR_ALERT_ALL;
			break;
		}
		count += quar_trait_fill(entry, reports + count, now);
		cds_list_del(&entry->in_reports);
		entry->report_pending = quar_trait_has_reports(entry);
		if (entry->report_pending)
			cds_list_add_tail(&entry->in_reports, &again);
	}
	cds_list_splice(&again, traits->reports.prev);
	return count;
}

/*
 * Copies the losses of quarantined traits, from the index-th on, for an
 * instance that may not know of them; counts the index on.  Returns the number
 * of losses; 0 if there are no more.
 */
int quar_traits_held(const struct quar_traits *traits, int *index,
		     struct quar_trait_report *reports, int max, int64_t now)
{
	const struct quar_trait_entry *entry;
	int skip = *index;
	int count = 0;
	int i;

	cds_list_for_each_entry (entry, &traits->suspects, by_age) {
		if (!quar_trait_is_held(entry, now) || skip-- > 0)
			continue;
		if (count + entry->pair_count > max)
			break;
		for (i = 0; i < entry->pair_count; i++)
			quar_trait_fill_pair(entry, i, &reports[count++], now);
		(*index)++;
	}
	return count;
}

/* Copies the reports of an entry that are due; returns their number. */
static int quar_trait_fill(struct quar_trait_entry *entry,
			   struct quar_trait_report *reports, int64_t now)
{
	int count = 0;
	int i;

	if (entry->well_reports > 0) {
		entry->well_reports--;
		memset(reports, 0, sizeof(*reports));
		reports->trait = entry->trait;
		reports->age_us = now - entry->well_us;
		reports->did_well = true;
		count++;
	}
	for (i = 0; i < entry->pair_count; i++) {
		if (entry->pairs[i].reports_left == 0)
			continue;
		entry->pairs[i].reports_left--;
		quar_trait_fill_pair(entry, i, &reports[count++], now);
	}
	return count;
}

static void quar_trait_fill_pair(const struct quar_trait_entry *entry,
				 int index, struct quar_trait_report *report,
				 int64_t now)
{
	memset(report, 0, sizeof(*report));
	report->trait = entry->trait;
	report->age_us = now - entry->pairs[index].at_us;
	report->endpoint = entry->pairs[index].endpoint;
	report->request = entry->pairs[index].request;
	report->known = entry->known;
	report->held = quar_trait_is_held(entry, now);
	report->in_doubt = entry->in_doubt;
}

/* Tells whether reports of an entry are due in later messages. */
static bool quar_trait_has_reports(const struct quar_trait_entry *entry)
{
	int i;

	for (i = 0; i < entry->pair_count; i++) {
		if (entry->pairs[i].reports_left > 0)
			return true;
	}
	return entry->well_reports > 0;
}

/* Tells whether an entry has a loss seen here that no message had yet. */
static bool quar_trait_is_unreported(const struct quar_trait_entry *entry)
{
	int i;

	for (i = 0; i < entry->pair_count; i++) {
		if (entry->pairs[i].reports_left == QUAR_TRAIT_OWN_REPORTS)
			return true;
	}
	return false;
}

/* Returns to whom a message is due at once, each time once. */
enum quar_alert quar_traits_take_alert(struct quar_traits *traits)
{
	enum quar_alert alert = traits->alert;

	traits->alert = QUAR_ALERT_NONE;
	return alert;
}
