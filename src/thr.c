#include "thr.h"

#define THR_SLICE_US (250 * MAG_US_PER_MS)
/*
 * Requests sent within this time before a limit was first advertised count
 * against it: the worker is still busy with them.
 */
#define THR_LOOKBACK_US MAG_US_PER_S
/* Longest additional wait because of these requests. */
#define THR_LOOKBACK_WAIT_US (3 * MAG_US_PER_S)
/*
 * After this time without room under the limit one request is sent anyway: its
 * answer tells whether the worker still advertises a limit.
 */
#define THR_TRIAL_US (4 * MAG_US_PER_S)
/* A limit that no router has received from the worker for this long expires. */
#define THR_EXPIRY_US (8 * MAG_US_PER_S)
/* Requests that a router may send ahead of its rate. */
#define THR_BURST 2.0
/*
 * Number of routers that send to a limited worker, per request a second of its
 * limit.  The bursts of all senders add up, so their number is bounded.
 */
#define THR_SENDERS_PER_LIMIT 0.5
/* Minimum weight of a router, as a fraction of the mean. */
#define THR_MIN_WEIGHT 0.1

static double thr_rate(const struct thr *thr);
static double thr_level(const struct thr *thr, int64_t now);
static int thr_recent(const struct thr *thr, int64_t now);
static double thr_min_weight(const struct thr_router *routers, int count);
static uint32_t thr_rank(uint32_t router, uint32_t worker);
static bool thr_is_sender(const struct thr_router *routers, int count,
			  int index, uint32_t worker, int senders);

/*
 * Applies a limit, in requests a second, that the worker advertised at at_us.
 * A report that is older than the known state changes nothing: peers pass on
 * limits that have ended since.
 */
enum thr_change thr_limit_advertised(struct thr *thr, double limit,
				     int64_t at_us, int64_t now)
{
	double before = thr->limit;

	if (at_us < thr->advertised_us || at_us <= thr->absent_us ||
	    now - at_us > THR_EXPIRY_US)
		return THR_UNCHANGED;
	thr->advertised_us = at_us;
	if (thr->limited) {
		thr->level = thr_level(thr, now);
		thr->level_us = now;
		thr->limit = limit;
		return limit < before || limit > before ? THR_CHANGED
							: THR_UNCHANGED;
	}
	thr->limited = true;
	thr->limit = limit;
	thr->fraction = -1;
	thr->level = thr_recent(thr, now);
	thr->level_us = now - THR_LOOKBACK_US;
	return THR_BEGAN;
}

/*
 * Handles an answer without a limit to a request that was sent at sent_us.  An
 * answer that was in transit when the limit was advertised does not end it.
 */
enum thr_change thr_limit_absent(struct thr *thr, int64_t sent_us)
{
	if (sent_us > thr->absent_us)
		thr->absent_us = sent_us;
	if (!thr->limited || sent_us <= thr->advertised_us)
		return THR_UNCHANGED;
	thr->limited = false;
	return THR_ENDED;
}

/* Ends a limit that has not been advertised again. */
enum thr_change thr_expire(struct thr *thr, int64_t now)
{
	if (!thr->limited || now - thr->advertised_us <= THR_EXPIRY_US)
		return THR_UNCHANGED;
	thr->limited = false;
	return THR_ENDED;
}

/* Sets this router's fraction of the limit, from 0 to 1. */
void thr_set_fraction(struct thr *thr, double fraction, int64_t now)
{
	double max_level;

	if (thr->fraction >= 0) {
		thr->level = thr_level(thr, now);
		thr->level_us = now;
		thr->fraction = fraction;
		return;
	}
	/*
	 * Requests sent before the limit are paid off since the lookback began.
	 */
	thr->fraction = fraction;
	max_level = thr_rate(thr) * (THR_LOOKBACK_US + THR_LOOKBACK_WAIT_US) /
		    MAG_US_PER_S;
	if (thr->level > max_level)
		thr->level = max_level;
}

/* Counts a request sent to the worker. */
void thr_sent(struct thr *thr, int64_t now)
{
	int64_t number = now / THR_SLICE_US;
	struct thr_slice *slice = &thr->slices[number % THR_SLICES];

	if (slice->number != number)
		*slice = (struct thr_slice){ number, 0 };
	slice->sends++;
	thr->sent_us = now;
	if (!thr->limited)
		return;
	thr->level = thr_level(thr, now) + 1;
	thr->level_us = now;
}

/* Tells whether the limit has room for another request of this router. */
bool thr_may_send(const struct thr *thr, int64_t now)
{
	if (!thr->limited)
		return true;
	if (!(thr->fraction > 0))
		return false;
	if (thr_rate(thr) > 0 && thr_level(thr, now) + 1 <= THR_BURST)
		return true;
	return now - thr->advertised_us > THR_TRIAL_US &&
	       now - thr->sent_us > THR_TRIAL_US;
}

/*
 * Tells whether the worker may be probed for its state.  Probes detect a dead
 * worker and therefore do not wait for room, but are no more frequent than the
 * requests that the limit allows.
 */
bool thr_may_probe(const struct thr *thr, int64_t probed_us, int64_t now)
{
	double rate = thr_rate(thr);
	int64_t interval_us = THR_TRIAL_US;

	if (!thr->limited)
		return true;
	if (rate * THR_TRIAL_US > MAG_US_PER_S)
		interval_us = (int64_t)(MAG_US_PER_S / rate);
	return now - probed_us >= interval_us;
}

/*
 * Returns a router's fraction of a worker's limit.  Its weight is the load of
 * its callers, because that does not depend on how much the limit lets
 * through.  If there are many routers for a small limit, some of them have no
 * fraction; which ones differs from worker to worker.
 */
double thr_router_fraction(const struct thr_router *routers, int count,
			   uint32_t self, uint32_t worker, double limit)
{
	int senders = 1 + (int)(limit < count ? limit * THR_SENDERS_PER_LIMIT
					      : count);
	double min_weight = thr_min_weight(routers, count);
	double sum = 0;
	double own = 0;
	double weight;
	int i;

	for (i = 0; i < count; i++) {
		if (!thr_is_sender(routers, count, i, worker, senders))
			continue;
		weight = routers[i].demand > min_weight ? routers[i].demand
							: min_weight;
		sum += weight;
		if (routers[i].id == self)
			own = weight;
	}
	return own > 0 ? own / sum : 0;
}

/* Returns the weight of a router that may have had no callers. */
static double thr_min_weight(const struct thr_router *routers, int count)
{
	double sum = 0;
	int i;

	for (i = 0; i < count; i++)
		sum += routers[i].demand;
	return sum > 0 ? sum / count * THR_MIN_WEIGHT : 1;
}

/* Returns the rate of this router, in requests a second. */
static double thr_rate(const struct thr *thr)
{
	return thr->fraction > 0 ? thr->limit * thr->fraction : 0;
}

/* Returns the level after the rate has lowered it since the last update. */
static double thr_level(const struct thr *thr, int64_t now)
{
	double level = thr->level - thr_rate(thr) *
					    (double)(now - thr->level_us) /
					    MAG_US_PER_S;

	return level > 0 ? level : 0;
}

/* Returns the requests sent in the last second, in whole slices. */
static int thr_recent(const struct thr *thr, int64_t now)
{
	int64_t number = now / THR_SLICE_US;
	int sends = 0;
	int i;

	for (i = 0; i < THR_SLICES; i++) {
		if (thr->slices[i].number >
		    number - THR_LOOKBACK_US / THR_SLICE_US)
			sends += thr->slices[i].sends;
	}
	return sends;
}

/*
 * Tells whether a router ranks among the given number of senders.  Those that
 * have nothing to send rank last.
 */
static bool thr_is_sender(const struct thr_router *routers, int count,
			  int index, uint32_t worker, int senders)
{
	uint32_t rank = thr_rank(routers[index].id, worker);
	bool idle = !(routers[index].demand > 0);
	uint32_t other;
	int before = 0;
	int i;

	if (count <= senders)
		return true;
	for (i = 0; i < count && before < senders; i++) {
		if (!(routers[i].demand > 0) != idle) {
			before += idle;
			continue;
		}
		other = thr_rank(routers[i].id, worker);
		before += other < rank || (other == rank && i < index);
	}
	return before < senders;
}

/* Mixes two hashes into a rank that differs from worker to worker. */
static uint32_t thr_rank(uint32_t router, uint32_t worker)
{
	uint32_t rank = (router ^ worker) * 0x9e3779b1U;

	rank = (rank ^ rank >> 15) * 0x85ebca6bU;
	rank = (rank ^ rank >> 13) * 0xc2b2ae35U;
	return rank ^ rank >> 16;
}
