#include <stdio.h>

#include "jlog.h"
#include "wk.h"

/* Changed and unreadable limits of a worker are logged this often at most. */
#define WK_LIMIT_LOG_US MAG_US_PER_S

static const char *const wk_limit_sources[] = {
	[WK_ANSWER_SOUND] = "request",
	[WK_ANSWER_OTHER] = "refused request",
	[WK_ANSWER_QUESTION] = "question",
	[WK_ANSWER_ORDER] = "order",
};

static void wk_log_limit(struct wk *wk, enum thr_change change,
			 const char *source, int64_t now);

/*
 * Takes what an answer to something sent at sent_us says of the worker's rate
 * limit.  Only a sound answer to a request ends a limit: refusals may come
 * from another worker of the chain.
 */
enum thr_change wk_take_limit(struct wk *wk, const struct wire_limit *limit,
			      enum wk_answer answer, int64_t sent_us,
			      int64_t now)
{
	enum thr_change change = THR_SAME;

	if (limit->status == WIRE_LIMIT_INVALID) {
		wk_log_limit(wk, THR_SAME, wk_limit_sources[answer], now);
		return THR_SAME;
	}
	if (limit->status == WIRE_LIMIT_VALID)
		change = thr_named(&wk->thr, limit->per_s, now, now);
	else if (answer == WK_ANSWER_SOUND)
		change = thr_not_named(&wk->thr, sent_us);
	if (change != THR_SAME)
		wk_log_limit(wk, change, wk_limit_sources[answer], now);
	return change;
}

/* Takes a limit that the worker named to another router at named_us. */
void wk_limit_from_peer(struct wk *wk, double limit, int64_t named_us,
			int64_t now)
{
	enum thr_change change = thr_named(&wk->thr, limit, named_us, now);

	if (change != THR_SAME)
		wk_log_limit(wk, change, "peer", now);
}

/* Ends a limit that was not named again for long. */
void wk_limit_tick(struct wk *wk, int64_t now)
{
	if (thr_lapse(&wk->thr, now) == THR_ENDED)
		wk_log_limit(wk, THR_ENDED, "", now);
}

/* Logs a change; THR_SAME stands for a limit that cannot be read. */
static void wk_log_limit(struct wk *wk, enum thr_change change,
			 const char *source, int64_t now)
{
	static const char *const changes[] = {
		[THR_SAME] = "unreadable",
		[THR_BEGAN] = "began",
		[THR_CHANGED] = "changed",
		[THR_ENDED] = "ended",
	};
	char value[32] = "null";

	if (change != THR_BEGAN && change != THR_ENDED &&
	    now < wk->limit_log_us)
		return;
	wk->limit_log_us = now + WK_LIMIT_LOG_US;
	if (wk->thr.limited)
		snprintf(value, sizeof(value), "%.3f", wk->thr.limit);
	jlog(LOG_WK_LIMIT,
	     "\"worker\":\"%s\",\"address\":\"%s\",\"change\":\"%s\","
	     "\"limit\":%s,\"source\":\"%s\"",
	     wk->is.id, wk->is.address, changes[change], value, source);
}
