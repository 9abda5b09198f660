#include <stdio.h>

#include "jlog.h"
#include "wk.h"

/* Changed and unreadable limits of a worker are logged this often at most. */
#define WK_LIMIT_LOG_US MAG_US_PER_S

static void wk_log_limit(const struct wk *wk, const char *change,
			 enum wk_answer answer, int64_t sent_us, int64_t now);

/*
 * Takes what an answer to something sent at sent_us says of the worker's rate
 * limit.  Only a sound answer to a request ends a limit: refusals may come
 * from another worker of the chain.
 */
void wk_take_limit(struct wk *wk, const struct wire_limit *limit,
		   enum wk_answer answer, int64_t sent_us, int64_t now)
{
	static const char *const changes[] = {
		[THR_BEGAN] = "began",
		[THR_CHANGED] = "changed",
		[THR_ENDED] = "ended",
	};
	enum thr_change change = THR_SAME;
	bool bad = limit->word == WIRE_LIMIT_BAD;

	if (limit->word == WIRE_LIMIT_NAMED)
		change = thr_named(&wk->thr, limit->per_s, now);
	else if (!bad && answer == WK_ANSWER_SOUND)
		change = thr_not_named(&wk->thr, sent_us);
	if (change == THR_SAME && !bad)
		return;
	if (change != THR_BEGAN && change != THR_ENDED &&
	    now < wk->limit_log_us)
		return;
	wk->limit_log_us = now + WK_LIMIT_LOG_US;
	wk_log_limit(wk, bad ? "unreadable" : changes[change], answer, sent_us,
		     now);
}

static void wk_log_limit(const struct wk *wk, const char *change,
			 enum wk_answer answer, int64_t sent_us, int64_t now)
{
	static const char *const answers[] = {
		[WK_ANSWER_SOUND] = "request",
		[WK_ANSWER_OTHER] = "refused request",
		[WK_ANSWER_QUESTION] = "question",
		[WK_ANSWER_ORDER] = "order",
	};
	char value[32] = "null";

	if (wk->thr.limited)
		snprintf(value, sizeof(value), "%.3f", wk->thr.limit);
	jlog(LOG_WK_LIMIT,
	     "\"worker\":\"%s\",\"address\":\"%s\",\"change\":\"%s\","
	     "\"limit\":%s,\"answer\":\"%s\",\"sent_ms_ago\":%d",
	     wk->is.id, wk->is.address, change, value, answers[answer],
	     (int)((now - sent_us) / MAG_US_PER_MS));
}
