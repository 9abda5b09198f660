#include "thr.h"

#define THR_SLICE_US (250 * MAG_US_PER_MS)
/*
 * What was sent in this time before a limit is named counts against it: the
 * worker is busy with it still.
 */
#define THR_BACK_US MAG_US_PER_S
/* At most so much time is waited for that. */
#define THR_BACK_WAIT_US (3 * MAG_US_PER_S)
/*
 * Where the limit leaves no room for so long, one request is sent all the
 * same: its answer tells whether the worker still names a limit.
 */
#define THR_TRIAL_US (4 * MAG_US_PER_S)
/* A limit that nobody heard the worker name for so long is over. */
#define THR_LAPSE_US (8 * MAG_US_PER_S)
/* Requests that a router may have ahead of its rate. */
#define THR_BURST 2.0
/*
 * Routers that send to a limited worker, for each request a second that it
 * takes: what each may have ahead of its rate adds up over them.
 */
#define THR_SENDERS_PER_LIMIT 0.5
/* Least weight of a router, as a part of the mean. */
#define THR_LEAST_WEIGHT 0.25

static double thr_rate(const struct thr *thr);
static double thr_level(const struct thr *thr, int64_t now);
static int thr_recent(const struct thr *thr, int64_t now);
static double thr_least_weight(const struct thr_router *members, int count);
static uint32_t thr_rank(uint32_t member, uint32_t worker);
static bool thr_is_sender(const struct thr_router *members, int count,
			  int index, uint32_t worker, int senders);

/*
 * Takes a limit, in requests a second, that the worker named at at_us.  A word
 * older than what is known changes nothing: peers pass on limits that have
 * ended since.
 */
enum thr_change thr_limit_advertised(struct thr *thr, double limit,
				     int64_t at_us, int64_t now)
{
	double before = thr->limit;

	if (at_us < thr->advertised_us || at_us <= thr->absent_us ||
	    now - at_us > THR_LAPSE_US)
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
	thr->level_us = now - THR_BACK_US;
	return THR_BEGAN;
}

/*
 * A request that was sent at sent_us was answered without a limit.  An answer
 * that was on its way when the limit was named does not end it.
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

/* Ends a limit that was not named again. */
enum thr_change thr_expire(struct thr *thr, int64_t now)
{
	if (!thr->limited || now - thr->advertised_us <= THR_LAPSE_US)
		return THR_UNCHANGED;
	thr->limited = false;
	return THR_ENDED;
}

/* Sets the part of the limit that is this router's, from 0 to 1. */
void thr_set_fraction(struct thr *thr, double part, int64_t now)
{
	double most;

	if (thr->fraction >= 0) {
		thr->level = thr_level(thr, now);
		thr->level_us = now;
		thr->fraction = part;
		return;
	}
	/* What was sent before the limit was named is made up for from then. */
	thr->fraction = part;
	most = thr_rate(thr) * (THR_BACK_US + THR_BACK_WAIT_US) / MAG_US_PER_S;
	if (thr->level > most)
		thr->level = most;
}

/* Notes that something was sent to the worker. */
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
 * Tells whether the worker may be asked how it is.  Questions show that it is
 * dead and do not wait for room, but come no faster than requests may.
 */
bool thr_may_probe(const struct thr *thr, int64_t asked_us, int64_t now)
{
	double rate = thr_rate(thr);
	int64_t pause_us = THR_TRIAL_US;

	if (!thr->limited)
		return true;
	if (rate * THR_TRIAL_US > MAG_US_PER_S)
		pause_us = (int64_t)(MAG_US_PER_S / rate);
	return now - asked_us >= pause_us;
}

/*
 * Returns a router's part of a worker's limit.  The callers' load at a router
 * is its weight, because it does not depend on what the limit leaves of it.
 * Where there are many routers for a small limit, some have no part; which
 * ones differs from worker to worker.
 */
double thr_router_fraction(const struct thr_router *members, int count,
			   uint32_t self, uint32_t worker, double limit)
{
	int senders = 1 + (int)(limit < count ? limit * THR_SENDERS_PER_LIMIT
					      : count);
	double least = thr_least_weight(members, count);
	double sum = 0;
	double own = 0;
	double weight;
	int i;

	for (i = 0; i < count; i++) {
		if (!thr_is_sender(members, count, i, worker, senders))
			continue;
		weight = members[i].demand > least ? members[i].demand : least;
		sum += weight;
		if (members[i].id == self)
			own = weight;
	}
	return own > 0 ? own / sum : 0;
}

/* Returns the weight of a router that may have had no caller. */
static double thr_least_weight(const struct thr_router *members, int count)
{
	double sum = 0;
	int i;

	for (i = 0; i < count; i++)
		sum += members[i].demand;
	return sum > 0 ? sum / count * THR_LEAST_WEIGHT : 1;
}

/* Returns the requests a second that this router may send. */
static double thr_rate(const struct thr *thr)
{
	return thr->fraction > 0 ? thr->limit * thr->fraction : 0;
}

/* Returns the level after what the rate has made up for since. */
static double thr_level(const struct thr *thr, int64_t now)
{
	double level = thr->level - thr_rate(thr) *
					    (double)(now - thr->level_us) /
					    MAG_US_PER_S;

	return level > 0 ? level : 0;
}

/* Returns the sends of the last second, whole pieces of time. */
static int thr_recent(const struct thr *thr, int64_t now)
{
	int64_t number = now / THR_SLICE_US;
	int sends = 0;
	int i;

	for (i = 0; i < THR_SLICES; i++) {
		if (thr->slices[i].number > number - THR_BACK_US / THR_SLICE_US)
			sends += thr->slices[i].sends;
	}
	return sends;
}

/* Tells whether a router is among the first so many by rank. */
static bool thr_is_sender(const struct thr_router *members, int count,
			  int index, uint32_t worker, int senders)
{
	uint32_t rank = thr_rank(members[index].id, worker);
	uint32_t other;
	int before = 0;
	int i;

	if (count <= senders)
		return true;
	for (i = 0; i < count && before < senders; i++) {
		other = thr_rank(members[i].id, worker);
		before += other < rank || (other == rank && i < index);
	}
	return before < senders;
}

/* Mixes two hashes into a rank that differs from worker to worker. */
static uint32_t thr_rank(uint32_t member, uint32_t worker)
{
	uint32_t rank = (member ^ worker) * 0x9e3779b1U;

	rank = (rank ^ rank >> 15) * 0x85ebca6bU;
	rank = (rank ^ rank >> 13) * 0xc2b2ae35U;
	return rank ^ rank >> 16;
}
