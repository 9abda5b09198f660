#include <string.h>

#include "bud.h"
#include "mag.h"

/*
 * The bound holds for each window of its length: the retries in it are at most
 * the slack plus a fraction of the requests in it, in the window before it, or
 * in the one that begins half a window before it, whichever are most.  As
 * slices are coarse, all slices that a window touches count for its retries,
 * and those that lie inside of it however it begins for its requests.
 */
#define BUD_SLICE_FRACTION (1.125 / 56) /* of the window */
#define BUD_TOUCHED	   51		/* slices that a window touches */
#define BUD_INSIDE	   48		/* slices that lie inside of it */
#define BUD_HALF	   23		/* of them in either half */
/*
 * Fraction of the ratio that is used: the windows of the routers' slices do not
 * begin together, and requests that no router has sent are not counted.
 */
#define BUD_RATIO_USED 0.93
/* Slices that matter: windows that end now, and one before each. */
#define BUD_KNOWN (BUD_TOUCHED + BUD_INSIDE)

/* Sums over the slices before each of those that matter. */
struct bud_sums {
	int requests[BUD_KNOWN + 1];
	int retries[BUD_KNOWN + 1];
};

static void bud_sum_up(const struct bud *bud, int64_t number,
		       struct bud_sums *sums);
static double bud_requests_of_window(const struct bud_sums *sums, int begin,
				     int64_t first);
static int bud_requests_in(const struct bud_sums *sums, int from, int to);
static struct bud_slice *bud_slice_at(struct bud *bud, int64_t now);
static struct bud_slice *bud_find_slice(struct bud *bud, int64_t then);

/* Initialises an empty budget. */
void bud_init(struct bud *bud, int64_t window_us, double ratio, double slack)
{
	memset(bud, 0, sizeof(*bud));
	bud->slice_us = (int64_t)((double)window_us * BUD_SLICE_FRACTION);
	bud->ratio = ratio * BUD_RATIO_USED;
	bud->slack = slack;
	bud->draw = 1;
	bud->first_us = -MAG_NEVER;
}

/* Sets when the whole system was started for the first time. */
void bud_set_first(struct bud *bud, int64_t first_us)
{
	bud->first_us = first_us;
}

/* Sets the number that this instance drew, from 0 to 1; 1 without. */
void bud_set_draw(struct bud *bud, double draw)
{
	bud->draw = draw;
}

void bud_set_slack(struct bud *bud, double slack)
{
	bud->slack = slack;
}

/* Counts the first send of a request. */
void bud_add_request(struct bud *bud, int64_t now)
{
	bud_slice_at(bud, now)->requests++;
}

/* Returns whether the window has a retry left. */
bool bud_may_retry(const struct bud *bud, int64_t now)
{
	return bud_left(bud, now) >= bud->draw;
}

/* Consumes one retry; returns false if the window has none left. */
bool bud_take_retry(struct bud *bud, int64_t now)
{
	if (!bud_may_retry(bud, now))
		return false;
	bud_slice_at(bud, now)->retries++;
	return true;
}

/* Takes back a request that was counted then and of which no byte was sent. */
void bud_return_request(struct bud *bud, int64_t added_us)
{
	struct bud_slice *slice = bud_find_slice(bud, added_us);

	if (slice && slice->requests > 0)
		slice->requests--;
}

/*
 * Returns a retry that was consumed then and of which no byte was sent.  One
 * that has left the window is no part of it any more.
 */
void bud_return_retry(struct bud *bud, int64_t taken_us)
{
	struct bud_slice *slice = bud_find_slice(bud, taken_us);

	if (slice && slice->retries > 0)
		slice->retries--;
}

/*
 * Returns how many retries are left now: as many as every window that has begun
 * and holds the present moment has left.
 */
double bud_left(const struct bud *bud, int64_t now)
{
	struct bud_sums sums;
	int64_t first; /* slice of first_us, as an index of the sums */
	double least = 0;
	double left;
	int begin;

	bud_sum_up(bud, now / bud->slice_us, &sums);
	first = bud->first_us / bud->slice_us -
		(now / bud->slice_us - (BUD_KNOWN - 1));
	for (begin = BUD_KNOWN - BUD_TOUCHED; begin < BUD_KNOWN; begin++) {
		left = bud->ratio *
			       bud_requests_of_window(&sums, begin, first) +
		       bud->slack -
		       (sums.retries[BUD_KNOWN] - sums.retries[begin]);
		if (begin == BUD_KNOWN - BUD_TOUCHED || left < least)
			least = left;
	}
	return least;
}

/* Sums up the slices that matter, up to the one of this number. */
static void bud_sum_up(const struct bud *bud, int64_t number,
		       struct bud_sums *sums)
{
	const struct bud_slice *slice;
	int i;

	memset(sums, 0, sizeof(*sums));
	number -= BUD_KNOWN - 1;
	for (i = 0; i < BUD_KNOWN; i++, number++) {
		sums->requests[i + 1] = sums->requests[i];
		sums->retries[i + 1] = sums->retries[i];
		if (number < 0)
			continue;
		slice = &bud->slices[number % BUD_SLICES];
		if (slice->number != number)
			continue;
		sums->requests[i + 1] += slice->requests;
		sums->retries[i + 1] += slice->retries;
	}
}

/*
 * Returns the requests that allow retries in the window from a slice on.  Each
 * router has a window of the three with the most requests of its own.  If
 * callers move from one router to another these windows differ, and what both
 * allow exceeds the bound.  The window before has a greater weight therefore:
 * its sum over all routers is never more than the bound's.  A window that
 * begins before the first start of the whole system has none, on any router.
 */
static double bud_requests_of_window(const struct bud_sums *sums, int begin,
				     int64_t first)
{
	int before = bud_requests_in(sums, begin - BUD_INSIDE, begin);
	int around =
		bud_requests_in(sums, begin - BUD_HALF, begin + BUD_HALF + 1);
	int within = bud_requests_in(sums, begin + 1, BUD_KNOWN);
	int most = around > within ? around : within;

	if (before > most)
		most = before;
	if (begin - BUD_INSIDE < first)
		return most;
	return (most + 2 * before) / 3.0;
}

/* Returns the requests of the slices [from, to) that are known. */
static int bud_requests_in(const struct bud_sums *sums, int from, int to)
{
	if (from < 0)
		from = 0;
	if (to > BUD_KNOWN)
		to = BUD_KNOWN;
	return from < to ? sums->requests[to] - sums->requests[from] : 0;
}

/*
 * Returns one router's part of the whole slack.  It is the whole divided by one
 * and a half times the known routers, plus one, to allow for those that have
 * just started.  The part grows from nothing within two windows of the router's
 * start: its predecessors may have spent theirs, and all that one address
 * spends in a window is at most a part and a half, however often its process is
 * restarted.
 */
double bud_slack_part(double slack, int routers, int64_t age_us,
		      int64_t window_us)
{
	double part = slack / (routers * 1.5 + 1);

	if (age_us < 2 * window_us)
		part *= (double)age_us / (double)(2 * window_us);
	return part;
}

/* Returns the slice of a point in time, reset if it held an older one. */
static struct bud_slice *bud_slice_at(struct bud *bud, int64_t now)
{
	int64_t number = now / bud->slice_us;
	struct bud_slice *slice = &bud->slices[number % BUD_SLICES];

	if (slice->number != number)
		*slice = (struct bud_slice){ number, 0, 0 };
	return slice;
}

/* Returns the slice of a point in time, or NULL if it has been reset since. */
static struct bud_slice *bud_find_slice(struct bud *bud, int64_t then)
{
	int64_t number = then / bud->slice_us;
	struct bud_slice *slice = &bud->slices[number % BUD_SLICES];

	return slice->number == number ? slice : NULL;
}
