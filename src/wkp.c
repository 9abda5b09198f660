#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "jlog.h"
#include "pl_header.h"
#include "pl_worker.h"
#include "stall.h"
#include "wkp.h"

/*
 * A live worker answers a probe within a few milliseconds; one that has not
 * answered after this time is dead or hung.
 */
#define WKP_PROBE_TIMEOUT_US  (350 * MAG_US_PER_MS)
#define WKP_PROBE_INTERVAL_US (100 * MAG_US_PER_MS)
/* Reports describe a state of some hundred milliseconds ago. */
#define WKP_REPORT_LAG_US (500 * MAG_US_PER_MS)
/*
 * A worker that is slower than its kind by this factor gets so few requests
 * that only a probe shows when it has recovered.
 */
#define WKP_SLOW_FACTOR	  1.3
#define WKP_SLOW_PROBE_US MAG_US_PER_S
/* Workers that die within this time may have a common cause. */
#define WKP_COMMON_CAUSE_US MAG_US_PER_S

struct wkp_call {
	struct edge *edge;
	struct wk *wk;
	int status;
	bool engine;
	bool new_connection;
	struct evbuffer *body;
};

static bool wkp_on_headers(void *user, const struct hc_response *response);
static void wkp_on_body(void *user, const void *bytes, size_t len);
static void wkp_on_end(void *user, enum hc_result end);
static void wkp_send_probe(struct edge *edge, struct wk *wk,
			   bool new_connection, int64_t now);
static void wkp_judge(struct edge *edge, int64_t now);
static void wkp_probe_path(struct edge *edge, int64_t now);
static struct stall_probe wkp_view_probe(const struct wk *wk, int64_t now);
static int wkp_count_late_probes(const struct edge *edge, int64_t now);
static void wkp_mark_unresponsive(struct wk *wk, int64_t now);
static void wkp_on_probe_failure(struct edge *edge, struct wk *wk,
				 enum hc_result end, int64_t now);
static int wkp_count_recent_deaths(const struct edge *edge, int64_t now);
static void wkp_on_death(struct edge *edge, struct wk *wk, int64_t now);
static void wkp_add_trait_losses(struct edge *edge,
				 const struct wk_interrupted *candidate,
				 int64_t now);
static void wkp_apply_report(struct wkp_call *call, int64_t now);

static const struct hc_ops wkp_ops = {
	.headers = wkp_on_headers,
	.body = wkp_on_body,
	.ended = wkp_on_end,
};

/* Sets what is done about the results of probes; to be called at the start. */
void wkp_set_ops(struct edge *edge, const struct wkp_ops *ops)
{
	edge->probe_ops = ops;
}

/* Applies what an answer of a worker advertises, or does not advertise. */
void wkp_apply_advert(struct edge *edge, struct wk *wk,
		      const struct wire_advert *advert, enum wk_answer kind,
		      int64_t sent_us)
{
	int64_t now = clk_boot_us();

	if (wk_apply_advert(wk, advert, kind, sent_us, now) != THR_UNCHANGED)
		thr_set_fraction(&wk->proc.adv.thr,
				 edge->probe_ops->limit_part(edge, wk, now),
				 now);
}

/*
 * Probes a worker: asks an engine for its report, a plain worker for its
 * health.  There is one probe at a time, and a minimum interval between them,
 * because each one counts against the worker's rate limit.
 */
void wkp_probe(struct edge *edge, struct wk *wk, int64_t now)
{
	if (!wk->probing && now - wk->probed_us >= WKP_PROBE_INTERVAL_US &&
	    adv_may_send(&wk->proc.adv, ADV_PROBE, now) &&
	    thr_may_probe(&wk->proc.adv.thr, wk->probed_us, now))
		wkp_send_probe(edge, wk, false, now);
}

/* Sends a probe, on a new connection if new_connection is set. */
static void wkp_send_probe(struct edge *edge, struct wk *wk,
			   bool new_connection, int64_t now)
{
	int service =
		edge->rt ? rt_find_service(edge->rt, wk->entry.service) : -1;
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
	call->new_connection = new_connection;
	send.request = pl_call_encode(
		"GET",
		call->engine ? PL_REPORT_PATH
			     : edge->rt->services[service].health_path,
		wk->entry.address, NULL);
	send.ops = &wkp_ops;
	send.user = call;
	send.new_connection = new_connection;
	send.connect_by_us = now + WKP_PROBE_TIMEOUT_US;
	send.deadline_us = now + WKP_PROBE_TIMEOUT_US;
	if (!send.request || wk_send(wk, ADV_PROBE, &send, now, &started)) {
		evbuffer_free(call->body);
		free(call);
		return;
	}
	met_increment(&edge->met, MET_PROBES);
	call->wk = wk_ref(wk);
	wk->probing = true;
	wk_attend(wk);
	wk->proc.unresponsive = false;
	wk->probed_us = now;
	wk->probed_run_us = run_at(&edge->workers.run, now);
}

/*
 * Marks overdue probes.  Probes slow workers, and suspects whose time is over,
 * so that an answer clears them.  Quarantines requests whose crashes all
 * routers have had time to report.
 */
void wkp_tick(struct edge *edge, int64_t now)
{
	struct stall_probe probe;
	struct wk *wk;
	int late;

	wkp_judge(edge, now);
	wkp_probe_path(edge, now);
	late = wkp_count_late_probes(edge, now);
	cds_list_for_each_entry (wk, &edge->workers.attended, attended) {
		probe = wkp_view_probe(wk, now);
		probe.open = late;
		if (wk->probing && !wk->proc.unresponsive &&
		    stall_is_overdue(&probe))
			wkp_mark_unresponsive(wk, now);
		if (wk->proc.slowdown > WKP_SLOW_FACTOR && wk_alive(wk, now) &&
		    now - wk->proc.slowdown_us >= WKP_SLOW_PROBE_US &&
		    now - wk->probed_us >= WKP_SLOW_PROBE_US)
			wkp_probe(edge, wk, now);
		if (wk->proc.suspected && now >= wk->proc.suspect_until_us &&
		    wk_alive(wk, now))
			wkp_probe(edge, wk, now);
		if (wk_broke_at_dead(wk, now))
			wkp_on_death(edge, wk, now);
		else if (wk_broke_since_probe(wk))
			wkp_probe(edge, wk, now);
	}
}

/*
 * Quarantines what has crashed workers.  Losses that a shared trait explains
 * count against no single request.
 */
static void wkp_judge(struct edge *edge, int64_t now)
{
	uint32_t endpoint;

	quar_traits_tick(edge->traits, now);
	while (quar_traits_next_explained(edge->traits, &endpoint))
		quar_withdraw_loss(edge->quar, endpoint, now);
	quar_tick(edge->quar, now);
}

/*
 * Finds out whether our own path to the workers is lost or back, by probes on
 * new connections while that is in doubt.
 */
static void wkp_probe_path(struct edge *edge, int64_t now)
{
	struct wk_table *table = &edge->workers;
	int routers = edge_routers_per_data_centre(edge);
	struct reach_workers workers;
	struct wk *wk;

	if (reach_take_regained(&table->reach)) {
		jlog(LOG_WK_PATH_BACK, "\"workers\":%d", table->count);
		wk_path_regained(table, routers, now);
	}
	pres_yield_placer(edge->pres, reach_is_lost(&table->reach));
	if (!reach_take_probe(&table->reach, routers, now))
		return;
	wk = wk_pick_probe(table, now, &workers);
	if (reach_update(&table->reach, &workers, now))
		jlog(LOG_WK_PATH_LOST, "\"workers\":%d", workers.count);
	if (wk && adv_may_send(&wk->proc.adv, ADV_PROBE, now))
		wkp_send_probe(edge, wk, true, now);
}

/* Describes the probe that a worker last got, but not the others. */
static struct stall_probe wkp_view_probe(const struct wk *wk, int64_t now)
{
	return (struct stall_probe){
		.asked_us = wk_probe_age(wk, now),
		.answered =
			wk->table->probe_answered_run_us >= wk->probed_run_us,
	};
}

/* Returns how many workers leave a probe open for longer than sound ones. */
static int wkp_count_late_probes(const struct edge *edge, int64_t now)
{
	struct stall_probe probe;
	struct wk *wk;
	int late = 0;

	cds_list_for_each_entry (wk, &edge->workers.attended, attended) {
		probe = wkp_view_probe(wk, now);
		late += wk->probing && stall_is_late(&probe);
	}
	return late;
}

/* Marks a worker whose probe is overdue; eq moves its streams. */
static void wkp_mark_unresponsive(struct wk *wk, int64_t now)
{
	wk->proc.unresponsive = true;
	wk_pause(wk, now);
	jlog(LOG_WK_UNRESPONSIVE, "\"worker\":\"%s\",\"asked_ms_ago\":%d",
	     wk->label, (int)((now - wk->probed_us) / MAG_US_PER_MS));
}

static bool wkp_on_headers(void *user, const struct hc_response *response)
{
	struct wkp_call *call = user;
	struct wk_table *workers = &call->edge->workers;
	struct wire_advert advert;

	workers->heard_us = clk_boot_us();
	workers->probe_answered_run_us =
		run_at(&workers->run, workers->heard_us);
	pl_advert_decode(response->status, response->headers, &advert);
	wkp_apply_advert(call->edge, call->wk, &advert, WK_ANSWER_PROBE,
			 call->wk->probed_us);
	call->status = response->status;
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
	wk_unref(wk);
	if (end == HC_COMPLETE) {
		wk->proc.unresponsive = false;
		wk->proc.unreached = false;
		wk_forget_broken(wk, wk->probed_us);
	}
	if (end == HC_COMPLETE && call->engine) {
		wkp_apply_report(call, now);
	} else if (end == HC_COMPLETE) {
		if (call->status == 200)
			wk_clear_suspicion(wk, now);
	} else if ((end == HC_CONN_LOST || end == HC_PROTOCOL_ERROR) &&
		   !call->new_connection) {
		/*
		 * Workers close idle connections without notice, links reset
		 * them, and bytes of an earlier answer may come late; that
		 * says nothing about the worker.
		 */
		wkp_send_probe(edge, wk, true, now);
	} else {
		wkp_on_probe_failure(edge, wk, end, now);
	}
	evbuffer_free(call->body);
	free(call);
}

/*
 * Handles a failed probe: suspects the worker and moves the streams that wait
 * for it.
 */
static void wkp_on_probe_failure(struct edge *edge, struct wk *wk,
				 enum hc_result end, int64_t now)
{
	wk->proc.suspect_until_us = 0;
	if (end == HC_UNSENT)
		wk_on_unsent(wk);
	/* Bytes that are no answer show that the path is sound. */
	if (end != HC_PROTOCOL_ERROR)
		wk_on_unreached(wk);
	wk_suspect(wk, now, "no answer to a probe");
	edge->probe_ops->suspected(edge, wk, now);
	/* Silence may be a freeze; a closed port means a dead process. */
	if (end == HC_UNSENT || end == HC_CONN_LOST)
		wkp_on_death(edge, wk, now);
}

/* Returns how many workers died within the last second. */
static int wkp_count_recent_deaths(const struct edge *edge, int64_t now)
{
	struct wk *wk;
	int deaths = 0;

	cds_list_for_each_entry (wk, &edge->workers.workers, node)
		deaths +=
			wk->died_us && now - wk->died_us < WKP_COMMON_CAUSE_US;
	return deaths;
}

/*
 * Handles the death of a worker, which refuses or drops connections or has been
 * started again.  A request that broke off there may have caused the crash.  It
 * would be sent again, also by its caller, and crash one worker after the
 * other, so that all such requests become suspects.  If workers die together,
 * that a request was alone on one of them proves nothing.
 */
static void wkp_on_death(struct edge *edge, struct wk *wk, int64_t now)
{
	const struct wk_interrupted *candidate;
	struct quar_report loss = { 0 };
	bool common_cause;
	bool news;
	int deaths;
	int count;

	count = wk_count_interrupted(wk, now);
	news = wk_note_dead(wk);
	if (news)
		wk->died_us = now;
	deaths = wkp_count_recent_deaths(edge, now);
	common_cause = quar_have_common_cause(deaths);
	if (!news && count == 0)
		return;
	jlog(LOG_WK_DIED,
	     "\"worker\":\"%s\",\"address\":\"%s\",\"candidates\":%d,"
	     "\"died_together\":%d,\"common_cause\":%s",
	     wk->label, wk->entry.address, count, deaths,
	     common_cause ? "true" : "false");
	cds_list_for_each_entry (candidate, &wk->interrupted, node)
		wkp_add_trait_losses(edge, candidate, now);
	cds_list_for_each_entry (candidate, &wk->interrupted, node) {
		if (quar_traits_explain(edge->traits, candidate->process))
			continue;
		memcpy(loss.fingerprint, candidate->fingerprint,
		       MAG_DIGEST_BYTES);
		loss.endpoint = candidate->process;
		loss.alone =
			candidate->alone && count == 1 && news && !common_cause;
		quar_add_loss(edge->quar, &loss, now);
	}
	wk_clear_interrupted(wk);
}

/* Records a worker's death under all traits of a request. */
static void wkp_add_trait_losses(struct edge *edge,
				 const struct wk_interrupted *candidate,
				 int64_t now)
{
	struct quar_trait_report loss = { 0 };
	int i;

	loss.endpoint = candidate->process;
	loss.age_us = now - candidate->at_us;
	memcpy(&loss.request, candidate->fingerprint, sizeof(loss.request));
	for (i = 0; i < candidate->traits.count; i++) {
		loss.trait = candidate->traits.list[i];
		quar_trait_add_loss(edge->traits, &loss, now);
	}
}

/* Applies an engine's report, which is some hundred milliseconds old. */
static void wkp_apply_report(struct wkp_call *call, int64_t now)
{
	static struct wire_report report;
	size_t len = evbuffer_get_length(call->body);
	const char *text = (const char *)evbuffer_pullup(call->body, -1);
	struct wk *wk = call->wk;

	if (call->status != 200 || pl_report_decode(text, len, &report)) {
		jlog(LOG_WK_UNREAD, "\"worker\":\"%s\",\"status\":%d",
		     wk->label, call->status);
		return;
	}
	if (wk_is_other_process(wk, report.started_ms)) {
		jlog(LOG_WK_OTHER,
		     "\"worker\":\"%s\",\"address\":\"%s\",\"born_ms\":%lld,"
		     "\"reported_ms\":%lld",
		     wk->label, wk->entry.address,
		     (long long)wk->entry.started_ms,
		     (long long)report.started_ms);
		wk->proc.orders_taken = -1;
		return;
	}
	wk->proc.reported_us = now;
	wk_add_loaded(wk);
	wk->proc.busy = report.busy;
	wk->proc.reported_held = report.memory_used;
	wk->proc.reported_first_hops = report.running + report.waiting;
	wk->proc.orders_taken = report.orders_taken;
	wk->proc.slowdown = report.slowdown > 0 ? report.slowdown : 1;
	if (wk->proc.slowdown > 1)
		wk_attend(wk);
	wk->proc.slowdown_us = now;
	/* A list entry that has just come is newer than the report. */
	if (now - wk->layers_changed_us > WKP_REPORT_LAG_US)
		wk->layers = report.layers;
	if (wk->proc.ordered && !report.busy &&
	    wk->layers.from == wk->proc.order.from &&
	    wk->layers.to == wk->proc.order.to)
		wk->proc.ordered = false;
	wk_clear_suspicion(wk, now);
	call->edge->probe_ops->reported(call->edge, wk, &report, now);
}
