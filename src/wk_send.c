#include "wk.h"

/*
 * A message leaves within this time or not at all: one that waits longer for
 * its connection would arrive after the worker has asked for a pause.
 */
#define WK_CONNECT_MAX_US (400 * MAG_US_PER_MS)

/*
 * Sends a message to a worker, unless it advertises that it does not want it
 * (WK_E_BARRED).  Every message to a worker is sent here.  The request is freed
 * in any case; see hc_start() for the callbacks.
 */
int wk_send(struct wk *wk, enum adv_message message, const struct hc_send *send,
	    int64_t now, struct hc_call **out)
{
	struct hc_send bounded = *send;
	int rc;

	if (!adv_may_send(&wk->proc.adv, message, now)) {
		evbuffer_free(send->request);
		return WK_E_BARRED;
	}
	if (bounded.connect_by_us > now + WK_CONNECT_MAX_US)
		bounded.connect_by_us = now + WK_CONNECT_MAX_US;
	/* The sender of a request limits the answer, which may be a stream. */
	if (message != ADV_REQUEST)
		bounded.body_max = HC_MESSAGE_MAX;
	rc = hc_start(wk->host, &bounded, out);
	if (rc)
		return rc == HC_E_MEMORY ? WK_E_MEMORY : WK_E_FULL;
	thr_sent(&wk->proc.adv.thr, now);
	return WK_OK;
}
