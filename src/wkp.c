#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "eq.h"
#include "hint.h"
#include "jlog.h"
#include "pl_header.h"
#include "pl_worker.h"
#include "wkp.h"

/*
 * A worker that lives answers a question in a few milliseconds; what has not
 * come by then is a dead or silent worker.
 */
#define WKP_ANSWER_US (350 * MAG_US_PER_MS)
#define WKP_AGAIN_US  (100 * MAG_US_PER_MS)
/*
 * A sound worker answers within a few milliseconds, from another data centre,
 * too.  One that is unresponsive for longer keeps streams waiting that are
 * silent already: they are moved before their pause makes them late.  Should it
 * turn out that only a packet was lost, a repair was made in vain and the
 * worker is cleared.
 */
#define WKP_UNRESPONSIVE_US (20 * MAG_US_PER_MS)

/* Reports are as of some hundred milliseconds ago. */
#define WKP_REPORT_LAG_US (500 * MAG_US_PER_MS)
/*
 * A worker slower than its kind by this factor gets few requests, so that
 * nothing but a question shows when it is well again.
 */
#define WKP_SLOW	  1.3
#define WKP_SLOW_AGAIN_US MAG_US_PER_S
/* A request whose answer broke off so long before may be to blame. */
#define WKP_VICTIM_US (2 * MAG_US_PER_S)

/* Workers that died within this time may have a cause in common. */
#define WKP_TOGETHER_US MAG_US_PER_S

struct wkp_call {
	struct edge *edge;
	struct wk *wk;
	int status;
	bool engine;
	bool fresh; /* on a connection of its own */
	struct evbuffer *body;
};

static bool wkp_on_headers(void *user, const struct hc_response *answer);
static void wkp_on_body(void *user, const void *bytes, size_t len);
static void wkp_on_end(void *user, enum hc_result end);
static void wkp_start(struct edge *edge, struct wk *wk, bool fresh,
		      int64_t now);
static void wkp_unresponsive(struct wk *wk, int64_t now);
static void wkp_silent(struct edge *edge, struct wk *wk, enum hc_result end,
		       int64_t now);
static int wkp_lost_together(const struct edge *edge, int64_t now);
static void wkp_died(struct edge *edge, struct wk *wk, int64_t now);
static void wkp_report(struct wkp_call *call, int64_t now);

static const struct hc_ops wkp_ops = {
	.headers = wkp_on_headers,
	.body = wkp_on_body,
	.ended = wkp_on_end,
};

/* Takes the rate limit that any answer of a worker names, or does not name. */
void wkp_take_limit(struct edge *edge, struct wk *wk,
		    const struct hc_response *answer, enum wk_answer kind,
		    int64_t sent_us)
{
	struct wire_limit limit = pl_limit_decode(answer->headers);
	int64_t now = clk_boot_us();

	if (wk_take_limit(wk, &limit, kind, sent_us, now) != THR_SAME)
		thr_set_part(&wk->thr, hint_part(edge->hint, wk, now), now);
}

/*
 * Asks an engine for its report, or a plain worker for its health.  One
 * question at a time, and not again at once: each one is paid for.
 */
void wkp_ask(struct edge *edge, struct wk *wk, int64_t now)
{
	if (!wk->probing && now - wk->probed_us >= WKP_AGAIN_US &&
	    thr_may_ask(&wk->thr, wk->probed_us, now))
		wkp_start(edge, wk, false, now);
}

/* Sends a question, on a new connection if fresh is set. */
static void wkp_start(struct edge *edge, struct wk *wk, bool fresh, int64_t now)
{
	int service =
		edge->rt ? rt_service_named(edge->rt, wk->is.service) : -1;
	struct hc_send send = { 0 };
	struct wkp_call *call;
	struct hc_call *started;

	if (service < 0)
		return;
	call = calloc(1, sizeof(*call));
	if (!call)
		return;
	call->body = evbuffer_new();
	if (!call->body) {
		free(call);
		return;
	}
	call->edge = edge;
	call->engine = edge->rt->services[service].has_engine;
	call->fresh = fresh;
	send.request = pl_call_encode(
		"GET",
		call->engine ? PL_REPORT_PATH
			     : edge->rt->services[service].health_path,
		wk->is.address, NULL);
	send.ops = &wkp_ops;
	send.user = call;
	send.new_connection = fresh;
	send.connect_by_us = now + WKP_ANSWER_US;
	send.deadline_us = now + WKP_ANSWER_US;
	met_increment(&edge->met, MET_PROBES);
	if (!send.request || hc_start(wk->host, &send, &started)) {
		evbuffer_free(call->body);
		free(call);
		return;
	}
	thr_sent(&wk->thr, now);
	call->wk = wk_hold(wk);
	wk->probing = true;
	wk->unresponsive = false;
	wk->probed_us = now;
}

/* Asks suspects whose time is over; their answer clears them. */
void wkp_tick(struct edge *edge, int64_t now)
{
	struct wk *wk;

	cds_list_for_each_entry (wk, &edge->workers.workers, node) {
		if (wk->probing && !wk->unresponsive &&
		    now - wk->probed_us >= WKP_UNRESPONSIVE_US &&
		    now - edge->late_us >= WKP_UNRESPONSIVE_US)
			wkp_unresponsive(wk, now);
		if (wk->slowdown > WKP_SLOW && wk_alive(wk, now) &&
		    now - wk->slowdown_us >= WKP_SLOW_AGAIN_US &&
		    now - wk->probed_us >= WKP_SLOW_AGAIN_US)
			wkp_ask(edge, wk, now);
		if (wk->on_trial && now >= wk->suspect_until_us &&
		    wk_alive(wk, now))
			wkp_ask(edge, wk, now);
	}
}

/* A question has not been answered in the usual time; eq moves streams. */
static void wkp_unresponsive(struct wk *wk, int64_t now)
{
	wk->unresponsive = true;
	wk_hold_off(wk, now);
	jlog(LOG_WK_UNRESPONSIVE, "\"worker\":\"%s\",\"asked_ms_ago\":%d",
	     wk->is.id, (int)((now - wk->probed_us) / MAG_US_PER_MS));
}

static bool wkp_on_headers(void *user, const struct hc_response *answer)
{
	struct wkp_call *call = user;

	wkp_take_limit(call->edge, call->wk, answer, WK_ANSWER_QUESTION,
		       call->wk->probed_us);
	call->status = answer->status;
	return true;
}

static void wkp_on_body(void *user, const void *bytes, size_t len)
{
	struct wkp_call *call = user;

	evbuffer_add(call->body, bytes, len);
}

static void wkp_on_end(void *user, enum hc_result end)
{
	struct wkp_call *call = user;
	struct wk *wk = call->wk;
	struct edge *edge = call->edge;
	int64_t now = clk_boot_us();

	wk->probing = false;
	wk_drop(wk);
	if (end == HC_COMPLETE)
		wk->unresponsive = false;
	if (end == HC_COMPLETE && call->engine) {
		wkp_report(call, now);
	} else if (end == HC_COMPLETE) {
		if (call->status == 200)
			wk_clear(wk);
	} else if (end == HC_CONN_LOST && !call->fresh) {
		/*
		 * Workers drop idle connections without notice, and links
		 * reset them; that says nothing of the worker.
		 */
		wkp_start(edge, wk, true, now);
	} else {
		wkp_silent(edge, wk, end, now);
	}
	evbuffer_free(call->body);
	free(call);
}

/* A worker did not answer: it is suspected, and what waits for it is moved. */
static void wkp_silent(struct edge *edge, struct wk *wk, enum hc_result end,
		       int64_t now)
{
	wk->suspect_until_us = 0;
	wk_suspect(wk, now, "no answer to a question");
	eq_on_suspect(edge, wk, now);
	/* Silence may be a freeze; a closed port is a death. */
	if (end == HC_UNSENT || end == HC_CONN_LOST)
		wkp_died(edge, wk, now);
}

/* Returns how many workers died within the last second. */
static int wkp_lost_together(const struct edge *edge, int64_t now)
{
	struct wk *wk;
	int lost = 0;

	cds_list_for_each_entry (wk, &edge->workers.workers, node)
		lost += wk->died_us && now - wk->died_us < WKP_TOGETHER_US;
	return lost;
}

/*
 * A worker takes no connection, or drops it: it died, maybe of a request that
 * it ran.  That request would be sent again, by its caller too, and take one
 * worker after the other with it.  All that ran there come under suspicion;
 * one that was the only suspect there for the second time is refused.
 */
static void wkp_died(struct edge *edge, struct wk *wk, int64_t now)
{
	struct wk_victim *victim;
	int suspects = 0;
	bool suspect;
	int i;

	wk->died_us = now;
	if (quar_have_common_cause(wkp_lost_together(edge, now))) {
		memset(wk->victims, 0, sizeof(wk->victims));
		return;
	}
	for (i = 0; i < WK_VICTIMS_MAX; i++) {
		victim = &wk->victims[i];
		if (victim->at_us && now - victim->at_us < WKP_VICTIM_US &&
		    quar_check(edge->quar, victim->print, now) != QUAR_CLEAR)
			suspects++;
	}
	for (i = 0; i < WK_VICTIMS_MAX; i++) {
		victim = &wk->victims[i];
		if (!victim->at_us || now - victim->at_us >= WKP_VICTIM_US)
			continue;
		suspect = quar_check(edge->quar, victim->print, now) !=
			  QUAR_CLEAR;
		quar_lost_endpoint(edge->quar, victim->print, 0,
				   suspects == (suspect ? 1 : 0), now);
		victim->at_us = 0;
	}
}

/* Takes an engine's report; it is some hundred milliseconds old. */
static void wkp_report(struct wkp_call *call, int64_t now)
{
	static struct wire_report report;
	size_t len = evbuffer_get_length(call->body);
	const char *text = (const char *)evbuffer_pullup(call->body, -1);
	struct wk *wk = call->wk;

	if (call->status != 200 || pl_report_decode(text, len, &report)) {
		jlog(LOG_WK_UNREAD, "\"worker\":\"%s\",\"status\":%d",
		     wk->is.id, call->status);
		return;
	}
	wk->reported_us = now;
	wk->busy = report.busy;
	wk->reported_held = report.memory_used;
	wk->reported_firsts = report.running + report.waiting;
	wk->orders_taken = report.orders_taken;
	wk->slowdown = report.slowdown > 0 ? report.slowdown : 1;
	wk->slowdown_us = now;
	/* A report is older than an entry that has just come. */
	if (now - wk->layers_us > WKP_REPORT_LAG_US)
		wk->layers = report.layers;
	if (wk->ordered && !report.busy && wk->layers.from == wk->order.from &&
	    wk->layers.to == wk->order.to)
		wk->ordered = false;
	wk_clear(wk);
	eq_on_report(call->edge, wk, &report, now);
}
