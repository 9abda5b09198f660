#include "adv.h"

/* Reasons not to send a message. */
enum adv_bar {
	ADV_BAR_BACKOFF = 1,
	ADV_BAR_LIMIT = 2,
	ADV_BAR_LEAVING = 4,
};

/*
 * What bars each message.  A rate limit counts probes and orders, too, but does
 * not delay them: they are few, and tell whether the worker is alive.
 */
static const unsigned int adv_bars[] = {
	[ADV_REQUEST] = ADV_BAR_BACKOFF | ADV_BAR_LIMIT | ADV_BAR_LEAVING,
	[ADV_PROBE] = ADV_BAR_BACKOFF,
	[ADV_REPAIR] = ADV_BAR_BACKOFF,
	[ADV_PLACE] = ADV_BAR_BACKOFF | ADV_BAR_LEAVING,
};

/* Tells whether the worker may be sent a message now. */
bool adv_may_send(const struct adv *adv, enum adv_message message, int64_t now)
{
	unsigned int bars = adv_bars[message];

	if ((bars & ADV_BAR_BACKOFF) && adv_backs_off(adv, now))
		return false;
	if ((bars & ADV_BAR_LEAVING) && adv->leaving)
		return false;
	return !(bars & ADV_BAR_LIMIT) || thr_may_send(&adv->thr, now);
}

/* Tells whether a backoff that the worker requested lasts. */
bool adv_backs_off(const struct adv *adv, int64_t now)
{
	return now < adv->backoff_until_us;
}

/*
 * Applies a backoff of so many seconds that the worker requested.  It does not
 * shorten one that lasts longer: each refusal stands for itself.  Returns true
 * if no other backoff lasted.
 */
bool adv_request_backoff(struct adv *adv, double for_s, int64_t now)
{
	int64_t until_us = now + (int64_t)(for_s * MAG_US_PER_S);
	bool began = !adv_backs_off(adv, now);

	if (until_us > adv->backoff_until_us)
		adv->backoff_until_us = until_us;
	return began && adv_backs_off(adv, now);
}
