#include <stdio.h>

#include "jlog.h"
#include "wk.h"

/* Interval between log lines on what a worker advertises repeatedly. */
#define WK_ADVERT_LOG_US MAG_US_PER_S

static const char *const wk_answer_names[] = {
	[WK_ANSWER_SUCCESS] = "request",
	[WK_ANSWER_OTHER] = "refused request",
	[WK_ANSWER_PROBE] = "question",
	[WK_ANSWER_ORDER] = "order",
};

static enum thr_change wk_apply_limit(struct wk *wk,
				      const struct wire_number *limit,
				      enum wk_answer answer, int64_t sent_us,
				      int64_t now);
static void wk_log_limit(struct wk *wk, enum thr_change change,
			 const char *source, int64_t now);
static void wk_apply_leaving(struct wk *wk, const struct wire_number *leaving,
			     enum wk_answer answer, int64_t now);
static void wk_log_backoff(const struct wk *wk,
			   const struct wire_number *backoff_s,
			   enum wk_answer answer);

/*
 * Applies what an answer advertises; the request, probe or order was sent at
 * sent_us.  What was sent before a restart was answered by the old process and
 * no longer holds.  Returns the effect on the rate limit.
 */
enum thr_change wk_apply_advert(struct wk *wk, const struct wire_advert *advert,
				enum wk_answer answer, int64_t sent_us,
				int64_t now)
{
	if (sent_us < wk->restarted_us)
		return THR_UNCHANGED;
	if (advert->leaving.status != WIRE_NUMBER_NONE)
		wk_apply_leaving(wk, &advert->leaving, answer, now);
	wk_apply_backoff(wk, &advert->backoff_s, answer, now);
	return wk_apply_limit(wk, &advert->limit, answer, sent_us, now);
}

/*
 * Takes a worker out of use that says it is leaving.  Its entry in the list may
 * say so only later, or never.
 */
static void wk_apply_leaving(struct wk *wk, const struct wire_number *leaving,
			     enum wk_answer answer, int64_t now)
{
	bool valid = leaving->status == WIRE_NUMBER_VALID;

	if (valid && (leaving->value < 1 || wk->proc.adv.leaving))
		return;
	if (!valid && now < wk->next_leaving_log_us)
		return;
	wk->next_leaving_log_us = now + WK_ADVERT_LOG_US;
	wk->proc.adv.leaving |= valid;
	jlog(LOG_WK_LEAVING,
	     "\"worker\":\"%s\",\"source\":\"%s\",\"readable\":%s", wk->label,
	     wk_answer_names[answer], valid ? "true" : "false");
}

/* Applies the backoff that an answer requests, if it requests one. */
void wk_apply_backoff(struct wk *wk, const struct wire_number *backoff_s,
		      enum wk_answer answer, int64_t now)
{
	bool began = false;

	if (backoff_s->status == WIRE_NUMBER_NONE)
		return;
	if (backoff_s->status == WIRE_NUMBER_VALID)
		began = adv_request_backoff(&wk->proc.adv, backoff_s->value,
					    now);
	if (!began && now < wk->next_backoff_log_us)
		return;
	wk->next_backoff_log_us = now + WK_ADVERT_LOG_US;
	wk_log_backoff(wk, backoff_s, answer);
}

/*
 * Applies what an answer says of the worker's rate limit.  Only a success ends
 * a limit: a refusal may come from another worker of the chain.
 */
static enum thr_change wk_apply_limit(struct wk *wk,
				      const struct wire_number *limit,
				      enum wk_answer answer, int64_t sent_us,
				      int64_t now)
{
	enum thr_change change = THR_UNCHANGED;

	if (limit->status == WIRE_NUMBER_INVALID) {
		wk_log_limit(wk, THR_UNCHANGED, wk_answer_names[answer], now);
		return THR_UNCHANGED;
	}
	if (limit->status == WIRE_NUMBER_VALID)
		change = thr_limit_advertised(&wk->proc.adv.thr, limit->value,
					      now, now);
	else if (answer == WK_ANSWER_SUCCESS)
		change = thr_limit_absent(&wk->proc.adv.thr, sent_us);
	if (wk->proc.adv.thr.limited)
		wk_attend(wk);
	if (change != THR_UNCHANGED)
		wk_log_limit(wk, change, wk_answer_names[answer], now);
	return change;
}

/*
 * Applies a limit that the worker advertised to another router at
 * advertised_us.
 */
void wk_apply_peer_limit(struct wk *wk, double limit, int64_t advertised_us,
			 int64_t now)
{
	enum thr_change change = thr_limit_advertised(&wk->proc.adv.thr, limit,
						      advertised_us, now);

	if (wk->proc.adv.thr.limited)
		wk_attend(wk);
	if (change != THR_UNCHANGED)
		wk_log_limit(wk, change, "peer", now);
}

/* Ends a limit that the worker has not advertised again for too long. */
void wk_expire_limit(struct wk *wk, int64_t now)
{
	if (thr_expire(&wk->proc.adv.thr, now) == THR_ENDED)
		wk_log_limit(wk, THR_ENDED, "", now);
}

/* Logs a change; THR_UNCHANGED means that the limit was unreadable. */
static void wk_log_limit(struct wk *wk, enum thr_change change,
			 const char *source, int64_t now)
{
	static const char *const changes[] = {
		[THR_UNCHANGED] = "unreadable",
		[THR_BEGAN] = "began",
		[THR_CHANGED] = "changed",
		[THR_ENDED] = "ended",
	};
	char value[32] = "null";

	if (change != THR_BEGAN && change != THR_ENDED &&
	    now < wk->next_limit_log_us)
		return;
	wk->next_limit_log_us = now + WK_ADVERT_LOG_US;
	if (wk->proc.adv.thr.limited)
		snprintf(value, sizeof(value), "%.3f", wk->proc.adv.thr.limit);
	jlog(LOG_WK_LIMIT,
	     "\"worker\":\"%s\",\"address\":\"%s\",\"change\":\"%s\","
	     "\"limit\":%s,\"source\":\"%s\"",
	     wk->label, wk->entry.address, changes[change], value, source);
}

/* Logs a backoff that the worker requested, or that was unreadable. */
static void wk_log_backoff(const struct wk *wk,
			   const struct wire_number *backoff_s,
			   enum wk_answer answer)
{
	char for_ms[32] = "null";

	if (backoff_s->status == WIRE_NUMBER_VALID)
		snprintf(for_ms, sizeof(for_ms), "%.0f",
			 backoff_s->value * 1000);
	jlog(LOG_WK_BACKOFF,
	     "\"worker\":\"%s\",\"address\":\"%s\",\"for_ms\":%s,"
	     "\"source\":\"%s\"",
	     wk->label, wk->entry.address, for_ms, wk_answer_names[answer]);
}
