#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "eq.h"
#include "jlog.h"
#include "wkp.h"

/* Weight of the newest pause in a stream's pace: one in so many. */
#define EQ_PACE_PARTS 8

static bool eq_on_headers(void *user, const struct hc_response *answer);
static void eq_take_limit(const struct eq *eq,
			  const struct hc_response *answer);
static void eq_on_body(void *user, const void *bytes, size_t len);
static void eq_on_end(void *user, enum hc_result end);
static void eq_events(struct eq *eq, const void *bytes, size_t len);
static void eq_began(struct eq *eq);
static void eq_take_gap(struct eq *eq, int64_t gap_us);
static void eq_whole(struct eq *eq, struct wk *wk, int64_t now);
static void eq_broken(struct eq *eq, struct wk *wk, enum hc_result end,
		      int64_t now);
static void eq_not_run(struct eq *eq, struct wk *wk, int64_t now);
static void eq_relay(struct eq *eq);

const struct hc_ops eq_ops = {
	.headers = eq_on_headers,
	.body = eq_on_body,
	.ended = eq_on_end,
};

/*
 * Tries a request again after an attempt that ended without its answer, if
 * that is allowed; else ends it.
 */
void eq_again(struct eq *eq, const char *why)
{
	const struct rt_route *route = eq->route;
	bool repeatable = route->repeat == RT_IDEMPOTENT ||
			  (route->repeat == RT_STREAM && route->resumable);
	char id[WIRE_ID_MAX];

	jlog(LOG_EQ_AGAIN,
	     "\"request\":\"%s\",\"why\":\"%s\",\"sends\":%d,\"runs\":%d,"
	     "\"may_have_run\":%s,\"last_event\":%lld,\"answer\":%d,"
	     "\"at_fault\":\"%s\"",
	     jlog_sanitize(id, sizeof(id), eq->asks.attempt_id), why, eq->sends,
	     eq->runs, eq->may_have_run ? "true" : "false",
	     (long long)eq->last_event, eq->answered ? eq->status : 0,
	     eq->at_fault);
	eq_release(eq);
	if (eq->may_have_run && !repeatable) {
		eq_fail(eq, 502, why);
		return;
	}
	if (eq->runs >= route->max_attempts) {
		eq_fail(eq, 502, why);
		return;
	}
	if (eq->state == EQ_SENT)
		eq->state = EQ_WAITING;
	if (eq->state == EQ_STREAMS)
		met_increment(&eq->edge->met, MET_RESUMES);
	eq_try(eq, clk_boot_us());
}

/* An answer that names another request is skipped: ours may follow it. */
static bool eq_on_headers(void *user, const struct hc_response *answer)
{
	struct eq *eq = user;

	pl_response_decode(answer->status, answer->headers, &eq->says);
	if (eq->says.attempt_id && eq->asks.attempt_id &&
	    strcmp(eq->says.attempt_id, eq->asks.attempt_id) != 0)
		return false;
	eq_take_limit(eq, answer);
	eq->answered = true;
	eq->status = answer->status;
	eq->at_fault[0] = '\0';
	if (eq->says.at_fault &&
	    strlen(eq->says.at_fault) < sizeof(eq->at_fault))
		mag_copy_name(eq->at_fault, sizeof(eq->at_fault),
			      eq->says.at_fault);
	if (eq->status / 100 == 2 && (!eq->says.sealed || eq->says.encoded))
		eq->garbled = true;
	if (eq->state != EQ_STREAMS) {
		evbuffer_drain(eq->fields, evbuffer_get_length(eq->fields));
		pl_response_fields(answer->headers, eq->fields);
		evbuffer_add(eq->fields, "", 1);
	}
	return true;
}

/* Takes the rate limit that the first worker names, or no longer names. */
static void eq_take_limit(const struct eq *eq, const struct hc_response *answer)
{
	bool sound = answer->status / 100 == 2 && eq->says.sealed;

	wkp_take_limit(eq->edge, eq->hops[0].worker, answer,
		       sound ? WK_ANSWER_SOUND : WK_ANSWER_OTHER, eq->sent_us);
}

static void eq_on_body(void *user, const void *bytes, size_t len)
{
	struct eq *eq = user;

	if (eq->garbled)
		return;
	if (eq->status == 200 && eq->route->repeat == RT_STREAM)
		eq_events(eq, bytes, len);
	else
		evbuffer_add(eq->body, bytes, len);
}

/* Hands the whole events of a stream on, each once and in order. */
static void eq_events(struct eq *eq, const void *bytes, size_t len)
{
	int64_t now = clk_boot_us();
	struct evs_event event;
	struct evbuffer *out;
	size_t ready;

	if (evs_feed(&eq->events, bytes, len)) {
		eq->garbled = true;
		return;
	}
	out = eq->body;
	while (evs_next(&eq->events, &event)) {
		if (event.id != EVS_NO_ID) {
			if (event.id <= eq->last_event)
				continue;
			if (eq->last_event >= 0 &&
			    event.id != eq->last_event + 1) {
				/* A piece is missing: not this stream. */
				eq->garbled = true;
				break;
			}
			eq->last_event = event.id;
		}
		met_increment(&eq->edge->met, MET_EVENTS);
		evbuffer_add(out, event.bytes, event.len);
	}
	ready = evbuffer_get_length(out);
	if (ready == 0)
		return;
	if (eq->state != EQ_STREAMS) {
		eq->state = EQ_STREAMS;
		eq->first_us = now;
		eq_began(eq);
		hs_stream_begin(eq->caller, eq->status,
				(const char *)evbuffer_pullup(eq->fields, -1));
	} else {
		eq_take_gap(eq, now - eq->progress_us);
	}
	eq->progress_us = now;
	eq_passed(eq, now);
	hs_stream_data(eq->caller, evbuffer_pullup(out, -1), ready);
	evbuffer_drain(out, ready);
}

/* All workers of a chain have taken the request. */
static void eq_began(struct eq *eq)
{
	int i;

	wk_worked(eq->hops[0].worker);
	for (i = 0; i < eq->hop_count; i++)
		wk_began(eq->hops[i].worker);
}

/* Notes the time between two events. */
static void eq_take_gap(struct eq *eq, int64_t gap_us)
{
	if (gap_us > eq->gap_us)
		eq->gap_us = gap_us;
	if (eq->pace_us == 0)
		eq->pace_us = gap_us;
	eq->pace_us += (gap_us - eq->pace_us) / EQ_PACE_PARTS;
}

/* An attempt is over; the call is gone. */
static void eq_on_end(void *user, enum hc_result end)
{
	struct eq *eq = user;
	struct wk *wk = eq->hops[0].worker;
	int64_t now = clk_boot_us();

	eq->call = NULL;
	if (end == HC_COMPLETE && !eq->garbled && eq->answered)
		eq_whole(eq, wk, now);
	else
		eq_broken(eq, wk, end, now);
}

/* The worker's answer is complete. */
static void eq_whole(struct eq *eq, struct wk *wk, int64_t now)
{
	bool idempotent = eq->route->repeat == RT_IDEMPOTENT;
	bool good = eq->status / 100 == 2;

	if (eq->says.not_run) {
		eq_not_run(eq, wk, now);
		return;
	}
	eq->may_have_run = true;
	eq->runs++;
	wk_result(wk, good || eq->status / 100 == 4, now - eq->sent_us);
	wk_clear(wk);
	wk_worked(wk);
	if (good) {
		quar_ended_well(eq->edge->quar, eq->print, now);
		if (eq->state == EQ_STREAMS && evs_pending(&eq->events) > 0) {
			eq_again(eq, "stream ended inside an event");
			return;
		}
		eq_relay(eq);
		return;
	}
	/* A failure of an idempotent request may be another's success. */
	if (eq->status / 100 == 5 && eq->state != EQ_STREAMS && idempotent &&
	    eq->runs < eq->route->max_attempts &&
	    bud_left(edge_budget(eq->edge, eq->service->name, now), now) > 1) {
		eq_avoid(eq, wk);
		eq_again(eq, "worker failed it");
		return;
	}
	if (eq->state == EQ_STREAMS) {
		eq_again(eq, "worker refused to go on");
		return;
	}
	eq_relay(eq);
}

/* Hands the worker's whole answer to the caller as it is. */
static void eq_relay(struct eq *eq)
{
	size_t len;

	if (eq->state == EQ_STREAMS) {
		hs_stream_end(eq->caller);
		eq_finish(eq);
		return;
	}
	len = evbuffer_get_length(eq->body);
	hs_reply(eq->caller, eq->status,
		 (const char *)evbuffer_pullup(eq->fields, -1),
		 evbuffer_pullup(eq->body, -1), len);
	eq_finish(eq);
}

/*
 * The worker says that it did not begin the request.  Of a chain it names the
 * worker at fault, which may be dead, leaving or short of memory: it is asked
 * which, and until then gets nothing new.
 */
static void eq_not_run(struct eq *eq, struct wk *wk, int64_t now)
{
	struct edge *edge = eq->edge;
	struct wk *fault = NULL;

	if (eq->at_fault[0])
		fault = eq_hop_at(eq, eq->at_fault);
	if (!fault)
		fault = wk;
	eq_avoid(eq, fault);
	if (eq->service->has_engine) {
		wk_refused(fault, now);
		wkp_ask(edge, fault, now);
	} else if (eq->status == 421) {
		wk_suspect(fault, now, "another worker has its address");
	}
	eq_again(eq, "worker did not begin it");
}

/* The attempt ended without a whole answer. */
static void eq_broken(struct eq *eq, struct wk *wk, enum hc_result end,
		      int64_t now)
{
	struct edge *edge = eq->edge;

	eq_avoid(eq, wk);
	if (end == HC_UNSENT) {
		wk_suspect(wk, now, "no connection");
		eq_again(eq, "not sent");
		eq_on_suspect(edge, wk, now);
		return;
	}
	eq->may_have_run = true;
	eq->runs++;
	wk_result(wk, false, 0);
	if (!eq->answered)
		wk_broke(wk, now);
	if (end == HC_CONN_LOST) {
		eq_blame(eq, wk, now);
		wkp_ask(edge, wk, now);
	}
	eq_again(eq, eq->garbled || end == HC_PROTOCOL_ERROR
			     ? "garbled answer"
			     : "connection broke");
}
