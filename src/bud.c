#include <string.h>

#include "bud.h"

/*
 * Retries count for an eighth longer than the window of the bound, because
 * slices are coarse and a sliding window may begin inside of one.  Requests
 * count for a little less than the window, for the same reason.
 */
#define BUD_WINDOW_SLICES  56
#define BUD_REQUEST_SLICES 49
#define BUD_MARGIN	   1.125

static struct bud_slice *bud_slice_at(struct bud *bud, int64_t now);
static struct bud_slice *bud_find_slice(struct bud *bud, int64_t then);

/* Initialises an empty budget. */
void bud_init(struct bud *bud, int64_t window_us, double ratio, double slack)
{
	memset(bud, 0, sizeof(*bud));
	bud->slice_us =
		(int64_t)((double)window_us * BUD_MARGIN / BUD_WINDOW_SLICES);
	bud->ratio = ratio;
	bud->slack = slack;
	bud->draw = 1;
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

/* Returns how many retries are left now. */
double bud_left(const struct bud *bud, int64_t now)
{
	int64_t number = now / bud->slice_us;
	int requests = 0;
	int retries = 0;
	int i;

	for (i = 0; i < BUD_SLICES; i++) {
		if (bud->slices[i].number > number - BUD_REQUEST_SLICES)
			requests += bud->slices[i].requests;
		if (bud->slices[i].number > number - BUD_WINDOW_SLICES)
			retries += bud->slices[i].retries;
	}
	return bud->ratio * requests + bud->slack - retries;
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
