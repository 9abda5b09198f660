#include <string.h>

#include "attest.h"

/*
 * Fraction of the bound during which account keys are trusted: clocks run at
 * slightly different rates.
 */
#define ATTEST_TRUST_FRACTION 0.98
/*
 * After this fraction of the bound a router reports that it is not ready, so
 * that the load balancer has moved its callers before it must refuse them.
 */
#define ATTEST_READY_FRACTION 0.6
/*
 * Fraction of the time within which a configuration must be in force
 * everywhere, from when another router reported it.
 */
#define ATTEST_BEHIND_FRACTION 0.6
/*
 * The store is queried when the configuration has not been confirmed for this
 * long, plus a random delay that grows with the number of routers, each of
 * which learns the answer: mostly one router queries for all.  The delay is
 * limited where account keys would otherwise be refused because of it.
 */
#define ATTEST_QUERY_US	       (400 * MAG_US_PER_MS)
#define ATTEST_QUERY_EACH_US   (100 * MAG_US_PER_MS)
#define ATTEST_QUERY_SPREAD_US (1600 * MAG_US_PER_MS)
/*
 * A router that others learn from queries after the first fraction of the
 * bound, or up to the second one later.
 */
#define ATTEST_QUERY_FRACTION  0.15
#define ATTEST_QUERY_VARIATION 0.1
/* Delay after a query that confirmed nothing; it doubles each time. */
#define ATTEST_QUERY_RETRY_US (500 * MAG_US_PER_MS)
#define ATTEST_QUERY_BACKOFF  2
/*
 * The longest delay before a failed watch is retried, per router: in an outage
 * of the store the calls of all routers together stay bounded, and the first
 * router that gets an answer informs the others.
 */
#define ATTEST_RETRY_EACH_US (50 * MAG_US_PER_MS)
#define ATTEST_RETRY_MIN_US  (500 * MAG_US_PER_MS)
#define ATTEST_RETRY_MAX_US  (2 * MAG_US_PER_S)
/*
 * Changes are collected for this long before the next watch, so that one call
 * returns several, but for no more than a fraction of the shorter bound: a lost
 * call can then be repeated within the bound.  A longer bound does not extend
 * the delay, because work is placed by the layers that workers were last known
 * to hold.
 */
#define ATTEST_COALESCE_US	 (800 * MAG_US_PER_MS)
#define ATTEST_COALESCE_FRACTION 0.4

static int64_t attest_query_delay(struct attest *attest, int routers);

void attest_init(struct attest *attest, uint32_t session, uint64_t seed)
{
	memset(attest, 0, sizeof(*attest));
	attest->session = session ? session : 1;
	attest->seed = seed | 1;
	attest->newest_version = -1;
	CDS_INIT_LIST_HEAD(&attest->reports);
}

/* Records that the set in force was the newest in the store at a time. */
void attest_from_store(struct attest *attest, int64_t at_us)
{
	if (at_us > attest->confirmed_us)
		attest->confirmed_us = at_us;
}

/*
 * Accepts a peer's claim if it concerns the version in force here or an older
 * one, and echoes a clock reading of this process.  Returns true if this moved
 * the time of the last confirmation forward.
 */
bool attest_from_peer(struct attest *attest, const struct attest_claim *claim,
		      int64_t version, int64_t now)
{
	int64_t confirmed_us;

	if (claim->session != attest->session || claim->version > version ||
	    claim->echo_us < 0 || claim->echo_us > now || claim->age_us < 0)
		return false;
	confirmed_us = claim->echo_us - claim->age_us;
	if (confirmed_us <= attest->confirmed_us)
		return false;
	attest->confirmed_us = confirmed_us;
	return true;
}

/* Fills in what this instance knows; the caller sets the receiver's fields. */
void attest_fill_claim(const struct attest *attest, int64_t version,
		       int64_t now, struct attest_claim *claim)
{
	claim->version = version;
	claim->age_us = attest->confirmed_us ? now - attest->confirmed_us : -1;
}

/* Returns whether another router has reported a newer version. */
bool attest_is_behind(const struct attest *attest, int64_t in_force)
{
	return in_force < attest->newest_version;
}

/*
 * Returns whether a newer version has been known for so long that it should be
 * in force here, given the time within which it must be.
 */
bool attest_is_outdated(const struct attest *attest, int64_t in_force,
			int64_t bound_us, int64_t now)
{
	return attest_is_behind(attest, in_force) &&
	       (double)(now - attest->behind_since_us) >=
		       (double)bound_us * ATTEST_BEHIND_FRACTION;
}

/* Returns whether an account key in force here may be accepted. */
bool attest_is_trusted(const struct attest *attest, int64_t bound_us,
		       int64_t now)
{
	return attest->confirmed_us &&
	       (double)(now - attest->confirmed_us) <
		       (double)bound_us * ATTEST_TRUST_FRACTION;
}

/*
 * Returns whether account keys will be refused here soon unless the
 * configuration is confirmed.
 */
bool attest_soon_untrusted(const struct attest *attest, int64_t bound_us,
			   int64_t now)
{
	return !attest->confirmed_us ||
	       (double)(now - attest->confirmed_us) >=
		       (double)bound_us * ATTEST_READY_FRACTION;
}

/* Returns the longest delay between attempts of a failing watch. */
int64_t attest_retry_max_us(int routers)
{
	int64_t delay = ATTEST_RETRY_EACH_US * routers;

	if (delay < ATTEST_RETRY_MIN_US)
		return ATTEST_RETRY_MIN_US;
	return delay < ATTEST_RETRY_MAX_US ? delay : ATTEST_RETRY_MAX_US;
}

/*
 * Returns how long store changes may be collected, given the bounds within
 * which a new configuration takes effect and a leaving worker gets no new
 * requests.
 */
int64_t attest_coalesce_us(int64_t config_apply_us, int64_t drain_us)
{
	int64_t bound_us =
		config_apply_us < drain_us ? config_apply_us : drain_us;
	int64_t max_us = (int64_t)((double)bound_us * ATTEST_COALESCE_FRACTION);

	return max_us < ATTEST_COALESCE_US ? max_us : ATTEST_COALESCE_US;
}

/*
 * Returns whether this instance should query the store now, and schedules the
 * next query.
 */
bool attest_query_due(struct attest *attest, int routers, int64_t now)
{
	if (attest->planned_for_us != attest->confirmed_us) {
		attest->planned_for_us = attest->confirmed_us;
		attest->query_us = attest->confirmed_us +
				   attest_query_delay(attest, routers);
		attest->queries = 0;
	}
	if (now < attest->query_us)
		return false;
	attest->query_us =
		now + mag_backoff(ATTEST_QUERY_RETRY_US, attest->queries,
				  ATTEST_QUERY_BACKOFF);
	attest->queries++;
	return true;
}

static int64_t attest_query_delay(struct attest *attest, int routers)
{
	int64_t spread = ATTEST_QUERY_EACH_US * routers;

	if (attest->bound_us)
		return (int64_t)((double)attest->bound_us *
				 (ATTEST_QUERY_FRACTION +
				  ATTEST_QUERY_VARIATION *
					  mag_random_unit(&attest->seed)));
	if (spread > ATTEST_QUERY_SPREAD_US)
		spread = ATTEST_QUERY_SPREAD_US;
	return ATTEST_QUERY_US +
	       (int64_t)(mag_random(&attest->seed) % (uint64_t)spread);
}
