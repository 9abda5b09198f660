#include <string.h>

#include "quar_int.h"

/* Messages that report a loss, as some of them may be lost. */
#define QUAR_REPORTS 3
/*
 * A fingerprint that has completed is not suspected for this long: equal
 * requests may run at the same time, and reports of their losses arrive later.
 */
#define QUAR_COMPLETED_US (10 * MAG_US_PER_S)

static bool quar_merge(struct quar *quar, const struct quar_report *report,
		       bool own, int64_t now);
static struct quar_entry *
quar_renew(struct quar *quar, const uint8_t fingerprint[MAG_DIGEST_BYTES]);
static const struct quar_loss *quar_find_loss(const struct quar_entry *entry,
					      uint32_t endpoint);
static bool quar_was_alone(const struct quar *quar,
			   const struct quar_entry *entry,
			   const struct quar_loss *loss, int64_t now);
static void quar_queue_report(struct quar *quar, struct quar_entry *entry);
static int quar_fill_reports(struct quar_entry *entry,
			     struct quar_report *reports, int64_t now);
static void quar_fill_loss(const struct quar_entry *entry, int index,
			   struct quar_report *report, int64_t now);
static bool quar_has_reports(const struct quar_entry *entry);
static bool quar_is_unreported(const struct quar_entry *entry);

/*
 * Records that an endpoint died while a request ran on it.  Returns whether
 * this was not known; then it is reported to other instances at once.
 */
bool quar_add_loss(struct quar *quar, const struct quar_report *loss,
		   int64_t now)
{
	struct quar_report own = *loss;
	bool news;

	own.left_us = quar->hold_us;
	news = quar_merge(quar, &own, true, now);
	if (news)
		quar->alert = QUAR_ALERT_ALL;
	return news;
}

/*
 * Merges what another instance reports.  Returns whether it is news, which is
 * passed on.
 */
bool quar_hear(struct quar *quar, const struct quar_report *report, int64_t now)
{
	return quar_merge(quar, report, false, now);
}

/* Merges a report of this instance (own) or of another one. */
static bool quar_merge(struct quar *quar, const struct quar_report *report,
		       bool own, int64_t now)
{
	struct quar_entry *entry = quar_find(quar, report->fingerprint, now);
	struct quar_loss *loss;
	int64_t until_us = now + report->left_us;

	if (entry && entry->completed)
		return false;
	if (report->completed) {
		entry = quar_find_suspect(quar, report->fingerprint, now);
		if (entry)
			quar_set_completed(quar, entry, now);
		return entry != NULL;
	}
	if (report->left_us <= 0 || report->left_us > quar->hold_us)
		return false;
	if (!entry)
		entry = quar_renew(quar, report->fingerprint);
	if (!entry || entry->loss_count == QUAR_LOSSES_MAX ||
	    quar_find_loss(entry, report->endpoint))
		return false;
	loss = &entry->losses[entry->loss_count++];
	loss->endpoint = report->endpoint;
	loss->alone = report->alone;
	loss->learned_us = now;
	loss->reports_left = QUAR_REPORTS;
	loss->own = own;
	entry->changed_us = now;
	entry->endpoints_lost = (uint32_t)entry->loss_count;
	if (entry->until_us < until_us)
		entry->until_us = until_us;
	quar_touch(quar, entry);
	quar_queue_report(quar, entry);
	quar_judge(quar, entry, now);
	if (!entry->held)
		quar_log(LOG_QUAR_SUSPECT, entry);
	return true;
}

/*
 * Returns an entry for a fingerprint whose losses have expired, or that has
 * none.  If it was quarantined, one more loss quarantines it again: it has not
 * completed since.  Returns NULL if out of memory.
 */
static struct quar_entry *
quar_renew(struct quar *quar, const uint8_t fingerprint[MAG_DIGEST_BYTES])
{
	struct quar_entry *entry = quar_lookup(quar, fingerprint);

	if (!entry || !entry->held || entry->loss_count == 0)
		return quar_add(quar, fingerprint);
	entry->held = false;
	entry->loss_count = QUAR_LOSSES_MAX - 1;
	return entry;
}

/*
 * Withdraws the loss of an endpoint as evidence: something else has caused it.
 * A quarantine that rested on it ends, unless the other losses suffice.
 */
void quar_withdraw_loss(struct quar *quar, uint32_t endpoint, int64_t now)
{
	struct quar_entry *entry;
	bool was_held;
	int i;

	cds_list_for_each_entry (entry, &quar->by_age, by_age) {
		for (i = 0; i < entry->loss_count; i++) {
			if (entry->losses[i].endpoint == endpoint)
				break;
		}
		if (i == entry->loss_count)
			continue;
		entry->loss_count--;
		memmove(&entry->losses[i], &entry->losses[i + 1],
			(size_t)(entry->loss_count - i) *
				sizeof(entry->losses[0]));
		entry->endpoints_lost = (uint32_t)entry->loss_count;
		was_held = entry->held;
		entry->held = false;
		quar_judge(quar, entry, now);
		if (was_held && !entry->held)
			quar_log(LOG_QUAR_CLEARED, entry);
	}
}

/* Quarantines fingerprints once others have reported what ran beside them. */
void quar_tick(struct quar *quar, int64_t now)
{
	struct quar_entry *entry;

	cds_list_for_each_entry_reverse(entry, &quar->by_age, by_age)
	{
		if (now - entry->changed_us > 2 * QUAR_SETTLE_US)
			break;
		quar_judge(quar, entry, now);
	}
}

/* Quarantines a fingerprint if the losses that are known by name suffice. */
void quar_judge(struct quar *quar, struct quar_entry *entry, int64_t now)
{
	bool held = entry->loss_count == QUAR_LOSSES_MAX;
	int i;

	if (entry->held || entry->loss_count < 2)
		return;
	for (i = 0; i < entry->loss_count && !held; i++)
		held = quar_was_alone(quar, entry, &entry->losses[i], now);
	if (!held)
		return;
	entry->held = true;
	if (quar->alert == QUAR_ALERT_NONE)
		quar->alert = QUAR_ALERT_NEAR;
	quar_log(LOG_QUAR_HELD, entry);
}

/*
 * Clears a fingerprint that completed.  Losses are no evidence against it for
 * some time, as a request that crashes endpoints never completes.
 */
void quar_set_completed(struct quar *quar, struct quar_entry *entry,
			int64_t now)
{
	bool known = entry->completed;

	entry->completed = true;
	entry->until_us = now + QUAR_COMPLETED_US;
	if (known)
		return;
	quar_log(LOG_QUAR_CLEARED, entry);
	entry->loss_count = 0;
	entry->endpoints_lost = 0;
	entry->held = false;
	entry->changed_us = now;
	entry->completed_reports = QUAR_REPORTS;
	quar_touch(quar, entry);
	quar_queue_report(quar, entry);
}

/*
 * Copies what is to be reported to other instances.  Each entry's reports are
 * copied together.  Returns their number, at most max.
 */
int quar_collect(struct quar *quar, struct quar_report *reports, int max,
		 int64_t now)
{
	struct quar_entry *entry;
	struct quar_entry *next;
	CDS_LIST_HEAD(again);
	int count = 0;

	cds_list_for_each_entry_safe (entry, next, &quar->reports, in_reports) {
		if (count + QUAR_LOSSES_MAX > max) {
			if (quar_is_unreported(entry))
				quar->alert = QUAR_ALERT_ALL;
			break;
		}
		count += quar_fill_reports(entry, reports + count, now);
		cds_list_del(&entry->in_reports);
		entry->report_pending = quar_has_reports(entry);
		if (entry->report_pending)
			cds_list_add_tail(&entry->in_reports, &again);
	}
	cds_list_splice(&again, quar->reports.prev);
	return count;
}

/*
 * Copies the losses of a quarantined fingerprint, the index-th of them, for an
 * instance that may not know of it.  Returns their number; 0 if there are fewer
 * such fingerprints.
 */
int quar_held_losses(const struct quar *quar, int index,
		     struct quar_report reports[QUAR_LOSSES_MAX], int64_t now)
{
	const struct quar_entry *entry;
	int i;

	cds_list_for_each_entry (entry, &quar->by_age, by_age) {
		if (!entry->held || entry->loss_count == 0 ||
		    now >= entry->until_us || index-- > 0)
			continue;
		for (i = 0; i < entry->loss_count; i++)
			quar_fill_loss(entry, i, &reports[i], now);
		return entry->loss_count;
	}
	return 0;
}

/* Tells whether the latest loss was seen here and has not been reported. */
static bool quar_is_unreported(const struct quar_entry *entry)
{
	const struct quar_loss *last;

	if (entry->loss_count == 0)
		return false;
	last = &entry->losses[entry->loss_count - 1];
	return last->own && last->reports_left == QUAR_REPORTS;
}

/* Copies the reports of an entry that are due; returns their number. */
static int quar_fill_reports(struct quar_entry *entry,
			     struct quar_report *reports, int64_t now)
{
	int count = 0;
	int i;

	if (entry->completed_reports > 0) {
		entry->completed_reports--;
		memset(reports, 0, sizeof(*reports));
		memcpy(reports->fingerprint, entry->fingerprint,
		       MAG_DIGEST_BYTES);
		reports->completed = true;
		return 1;
	}
	for (i = 0; i < entry->loss_count; i++) {
		if (entry->losses[i].reports_left == 0)
			continue;
		entry->losses[i].reports_left--;
		quar_fill_loss(entry, i, &reports[count++], now);
	}
	return count;
}

static void quar_fill_loss(const struct quar_entry *entry, int index,
			   struct quar_report *report, int64_t now)
{
	memset(report, 0, sizeof(*report));
	memcpy(report->fingerprint, entry->fingerprint, MAG_DIGEST_BYTES);
	report->endpoint = entry->losses[index].endpoint;
	report->alone = entry->losses[index].alone;
	report->left_us = entry->until_us - now;
}

/* Tells whether reports of an entry are due in later messages. */
static bool quar_has_reports(const struct quar_entry *entry)
{
	int i;

	for (i = 0; i < entry->loss_count; i++) {
		if (entry->losses[i].reports_left > 0)
			return true;
	}
	return entry->completed_reports > 0;
}

/* Returns to whom a message is due at once, each time once. */
enum quar_alert quar_take_alert(struct quar *quar)
{
	enum quar_alert alert = quar->alert;

	quar->alert = QUAR_ALERT_NONE;
	return alert;
}

static const struct quar_loss *quar_find_loss(const struct quar_entry *entry,
					      uint32_t endpoint)
{
	int i;

	for (i = 0; i < entry->loss_count; i++) {
		if (entry->losses[i].endpoint == endpoint)
			return &entry->losses[i];
	}
	return NULL;
}

/*
 * Tells whether nothing else ran on a lost endpoint, once the other instances
 * have had time to report what they ran there.
 */
static bool quar_was_alone(const struct quar *quar,
			   const struct quar_entry *entry,
			   const struct quar_loss *loss, int64_t now)
{
	const struct quar_entry *other;

	if (!loss->alone || now - loss->learned_us < QUAR_SETTLE_US)
		return false;
	cds_list_for_each_entry (other, &quar->by_age, by_age) {
		if (other != entry && quar_find_loss(other, loss->endpoint))
			return false;
	}
	return true;
}

/*
 * Queues the reports of an entry.  What has lost several endpoints, or
 * completed, goes before what has lost one, as few requests have.
 */
static void quar_queue_report(struct quar *quar, struct quar_entry *entry)
{
	if (entry->report_pending)
		cds_list_del(&entry->in_reports);
	if (entry->loss_count != 1)
		cds_list_add(&entry->in_reports, &quar->reports);
	else
		cds_list_add_tail(&entry->in_reports, &quar->reports);
	entry->report_pending = true;
}
