#include "attest.h"
#include "pos.h"

/* A peer that has been silent for this long reports nothing any more. */
#define ATTEST_SILENT_US (10 * MAG_US_PER_S)
/*
 * A version that only one of several peers has, and that was read in an earlier
 * era than the store's, is believed for this long.  The operator has written a
 * version again by then that was lost in a restore of the store.
 */
#define ATTEST_UNCONFIRMED_US (4 * MAG_US_PER_S)
/*
 * What a refuted peer reports is ignored for this long, doubled each time, so
 * that one that reports ever new versions neither costs a query each nor keeps
 * this router behind.
 */
#define ATTEST_IGNORED_US	 (2 * MAG_US_PER_S)
#define ATTEST_IGNORED_DOUBLINGS 4
/*
 * Fraction of the time within which a configuration must be in force after
 * which the store is queried for one that peers have.  Its changes are
 * collected for ATTEST_COALESCE_FRACTION of that time at most, and after
 * ATTEST_BEHIND_FRACTION callers are refused.
 */
#define ATTEST_VERIFY_FRACTION	0.45
#define ATTEST_VERIFY_DOUBLINGS 3

static void attest_update_newest(struct attest *attest);
static void attest_ignore(struct attest *attest, struct attest_report *report,
			  int64_t now);
static bool attest_is_of_earlier_era(const struct attest_report *report,
				     int64_t era);
static bool attest_is_unconfirmed(const struct attest *attest,
				  const struct attest_report *report);
static bool attest_is_silent(const struct attest *attest,
			     const struct attest_report *report,
			     int64_t in_force, int64_t now);

/*
 * Records the version that a peer reports, and the era of the store in which it
 * was read there; in_force is the own one.
 */
void attest_hear_version(struct attest *attest, struct attest_report *report,
			 int64_t version, int64_t era, int64_t in_force,
			 int64_t now)
{
	bool was_behind = attest_is_behind(attest, in_force);
	bool changed = !report->heard_us || version != report->version;

	if (!report->heard_us)
		cds_list_add_tail(&report->node, &attest->reports);
	if (report->ignored && now >= report->ignored_until_us) {
		report->ignored = false;
		report->first_us = 0;
		changed = true;
	}
	report->era = era;
	report->heard_us = now;
	if (!changed)
		return;
	report->version = version;
	report->since_us = now;
	if (version <= in_force) {
		report->first_us = 0;
	} else if (!report->first_us || report->first_version <= in_force) {
		report->first_version = version;
		report->first_us = now;
	}
	attest_update_newest(attest);
	if (was_behind || !attest_is_behind(attest, in_force))
		return;
	attest->behind_since_us = now;
	attest->verify_us = 0;
	attest->verifications = 0;
}

/* Drops the report of a peer that is about to be freed. */
void attest_forget(struct attest *attest, struct attest_report *report)
{
	if (!report->heard_us)
		return;
	cds_list_del(&report->node);
	report->heard_us = 0;
	report->first_us = 0;
	attest_update_newest(attest);
}

/*
 * Refutes a peer that has reported a newer version than the newest known one
 * (known), given that all changes of the store up to read_us are known, in the
 * given era.  A version that was read in an earlier era may be missing from the
 * store since it was restored, which refutes nothing.  Returns the report, or
 * NULL if there is none; to be called until then.
 */
const struct attest_report *attest_refute(struct attest *attest, int64_t known,
					  int64_t era, int64_t read_us,
					  int64_t now)
{
	struct attest_report *report;

	if (read_us > attest->read_us)
		attest->read_us = read_us;
	cds_list_for_each_entry (report, &attest->reports, node) {
		if (report->first_us && report->first_version <= known) {
			report->refutals = 0;
			report->first_version = report->version;
			report->first_us =
				report->version > known ? report->since_us : 0;
		}
		if (report->ignored || !report->first_us ||
		    report->first_us >= read_us ||
		    attest_is_of_earlier_era(report, era))
			continue;
		attest_ignore(attest, report, now);
		return report;
	}
	return NULL;
}

/*
 * Ends the belief in what a silent peer reported last, and in a version of an
 * earlier era than the store's that one peer alone has reported for too long.
 * Returns a report of the latter kind, or NULL if there is none; to be called
 * until then.
 */
const struct attest_report *
attest_expire(struct attest *attest, int64_t in_force, int64_t era, int64_t now)
{
	struct attest_report *report;
	struct attest_report *next;

	cds_list_for_each_entry_safe (report, next, &attest->reports, node) {
		if (attest_is_silent(attest, report, in_force, now))
			attest_forget(attest, report);
	}
	cds_list_for_each_entry (report, &attest->reports, node) {
		if (report->ignored || !report->first_us ||
		    report->version <= in_force ||
		    !attest_is_of_earlier_era(report, era) ||
		    report->first_us >= attest->read_us ||
		    now - report->first_us <= ATTEST_UNCONFIRMED_US ||
		    !attest_is_unconfirmed(attest, report))
			continue;
		attest_ignore(attest, report, now);
		return report;
	}
	return NULL;
}

/* Tells whether a version was read in an earlier era than the store's. */
static bool attest_is_of_earlier_era(const struct attest_report *report,
				     int64_t era)
{
	return report->era != POS_ERA_NONE && report->era < era;
}

/*
 * Tells whether nothing more is to be expected of a peer.  A newer version that
 * it reported is believed until the store has been read after that.
 */
static bool attest_is_silent(const struct attest *attest,
			     const struct attest_report *report,
			     int64_t in_force, int64_t now)
{
	return now - report->heard_us > ATTEST_SILENT_US &&
	       (report->ignored || report->version <= in_force ||
		attest->read_us > report->since_us);
}

/* Tells whether other peers have reported since then, and none the version. */
static bool attest_is_unconfirmed(const struct attest *attest,
				  const struct attest_report *report)
{
	const struct attest_report *other;
	bool any = false;

	cds_list_for_each_entry (other, &attest->reports, node) {
		if (other == report || other->heard_us <= report->first_us)
			continue;
		any = true;
		if (!other->ignored && other->version >= report->version)
			return false;
	}
	return any;
}

static void attest_ignore(struct attest *attest, struct attest_report *report,
			  int64_t now)
{
	report->ignored = true;
	report->ignored_until_us =
		now + mag_backoff(ATTEST_IGNORED_US, report->refutals,
				  ATTEST_IGNORED_DOUBLINGS);
	report->refutals++;
	attest_update_newest(attest);
}

/* Returns the report of the newest version that is believed; NULL: none. */
const struct attest_report *attest_newest(const struct attest *attest)
{
	const struct attest_report *newest = NULL;
	const struct attest_report *report;

	cds_list_for_each_entry (report, &attest->reports, node) {
		if (!report->ignored &&
		    (!newest || report->version > newest->version))
			newest = report;
	}
	return newest;
}

static void attest_update_newest(struct attest *attest)
{
	const struct attest_report *newest = attest_newest(attest);

	attest->newest_version = newest ? newest->version : -1;
}

/*
 * Tells whether to query the store now for a newer version that has been known
 * for too long to be on its way, and plans the next query.
 */
bool attest_verify_due(struct attest *attest, int64_t in_force,
		       int64_t bound_us, int64_t now)
{
	int64_t delay_us = (int64_t)((double)bound_us * ATTEST_VERIFY_FRACTION);

	if (!attest_is_behind(attest, in_force) ||
	    now - attest->behind_since_us < delay_us || now < attest->verify_us)
		return false;
	attest->verify_us =
		now + mag_backoff(delay_us / 2, attest->verifications,
				  ATTEST_VERIFY_DOUBLINGS);
	attest->verifications++;
	return true;
}
