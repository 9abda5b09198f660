#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "abuf.h"
#include "clk.h"
#include "eq.h"
#include "jlog.h"
#include "wkp.h"

/*
 * The newest interval between events has a weight of one in this many in the
 * stream's smoothed interval.
 */
#define EQ_INTERVAL_WEIGHT 8
/*
 * Longest answer that is held until it is whole, and what is read of one that
 * is useless before it is broken off (bytes).
 */
#define EQ_ANSWER_MAX  ((size_t)4 << 20)
#define EQ_GARBLED_MAX ((size_t)64 << 10)
/* Buffer size for the parts of a prompt in the log, each with a space. */
#define EQ_PARTS_TEXT (PL_PARTS_MAX * 17 + 1)

static const char *eq_parts_text(const struct eq *eq, char *dst, size_t size);
static bool eq_on_headers(void *user, const struct hc_response *response);
static void eq_apply_advert(const struct eq_attempt *attempt,
			    const struct hc_response *response, bool own);
static void eq_on_end(void *user, enum hc_result end);
static void eq_relay_events(struct eq_attempt *attempt, const void *bytes,
			    size_t len);
static bool eq_may_buffer(struct eq_attempt *attempt, size_t unsent);
static void eq_note_started(struct eq *eq);
static void eq_update_interval(struct eq *eq, int64_t now);
static bool eq_is_success(const struct eq_attempt *attempt);
static void eq_on_kept_end(struct eq *eq, struct eq_attempt *attempt,
			   enum hc_result end, int64_t now);
static void eq_on_complete(struct eq *eq, struct wk *wk, int64_t now);
static void eq_on_broken(struct eq *eq, struct wk *wk, enum hc_result end,
			 int64_t now);
static void eq_note_broken(struct eq *eq, struct wk *wk, enum hc_result end,
			   int64_t now);
static void eq_on_not_run(struct eq *eq, struct wk *wk, int64_t now);
static void eq_note_not_run(struct eq *eq, struct wk *wk, int64_t now);

const struct hc_ops eq_ops = {
	.headers = eq_on_headers,
	.body = eq_take_body,
	.ended = eq_on_end,
};

/* Tells whether a request may be sent again although it may have run. */
bool eq_is_repeatable(const struct eq *eq)
{
	const struct rt_route *route = eq->route;

	return route->kind == RT_IDEMPOTENT ||
	       (route->kind == RT_STREAMING && route->resumable);
}

/*
 * Logs that an attempt is given up, and the worker that is held to be at fault,
 * if one is known.
 */
void eq_log_again(const struct eq *eq, const struct wk *fault, const char *why)
{
	int64_t now = clk_boot_us();
	char fingerprint[QUAR_TEXT_SIZE];
	char parts[EQ_PARTS_TEXT];
	char at_fault[MAG_ADDR_MAX];
	char id[WIRE_ID_MAX];

	jlog(LOG_EQ_AGAIN,
	     "\"request\":\"%s\",\"why\":\"%s\",\"sends\":%d,\"runs\":%d,"
	     "\"may_have_run\":%s,\"last_event\":%lld,\"answer\":%d,"
	     "\"at_fault\":\"%s\",\"fault\":\"%s\",\"fault_state\":\"%s\","
	     "\"silent_ms\":%d,\"fingerprint\":\"%s\","
	     "\"parts\":\"%s\",\"framing\":\"%s\",\"events\":%lld,"
	     "\"partial_bytes\":%zu",
	     jlog_sanitize(id, sizeof(id), eq->request.attempt_id), why,
	     eq->sends, eq->runs, eq->may_have_run ? "true" : "false",
	     (long long)eq->last_event,
	     eq->attempt->answered ? eq->attempt->status : 0,
	     jlog_sanitize(at_fault, sizeof(at_fault), eq->attempt->at_fault),
	     fault ? fault->label : "", fault ? wk_state_text(fault, now) : "",
	     (int)((now - eq->progress_us) / MAG_US_PER_MS),
	     quar_text(eq->fingerprint, fingerprint),
	     eq_parts_text(eq, parts, sizeof(parts)), eq_framing_text(eq),
	     (long long)eq->attempt->events.count,
	     evs_pending(&eq->attempt->events));
}

/*
 * Handles an attempt that ended without its answer: returns to an earlier one,
 * or retries the request if the route allows it; ends it otherwise.
 */
void eq_retry_or_fail(struct eq *eq, const char *why)
{
	eq_log_again(eq, NULL, why);
	if (eq->kept) {
		eq_fall_back(eq, why, clk_boot_us());
		return;
	}
	eq_release(eq);
	if (eq->may_have_run && !eq_is_repeatable(eq)) {
		eq_fail(eq, 502, why);
		return;
	}
	if (eq->runs >= eq->route->max_attempts) {
		eq_fail(eq, 502, why);
		return;
	}
	if (eq->state == EQ_SENT)
		eq->state = EQ_WAITING;
	if (eq->state == EQ_STREAMING)
		met_increment(&eq->edge->met, MET_RESUMES);
	eq_dispatch(eq, clk_boot_us());
}

/* Formats the parts of a request's prompt that others may share, for the log.
 */
static const char *eq_parts_text(const struct eq *eq, char *dst, size_t size)
{
	size_t len = 0;
	int i;

	dst[0] = '\0';
	for (i = 0; i < eq->request.part_count && len < size; i++)
		len += (size_t)snprintf(dst + len, size - len, "%s%" PRIx64,
					i > 0 ? " " : "", eq->request.parts[i]);
	return dst;
}

/* Returns how the answer of the last attempt was framed, for the log. */
const char *eq_framing_text(const struct eq *eq)
{
	static const char *const texts[] = {
		[RSP_FRAMING_NONE] = "none",
		[RSP_FRAMING_LENGTH] = "length",
		[RSP_FRAMING_CHUNKED] = "chunked",
		[RSP_FRAMING_CLOSE] = "close",
	};

	return eq->attempt->answered ? texts[eq->attempt->framing] : "";
}

static bool eq_on_headers(void *user, const struct hc_response *response)
{
	struct eq_attempt *attempt = user;
	bool own = eq_take_headers(attempt, response);

	attempt->eq->edge->workers.heard_us = clk_boot_us();
	eq_apply_advert(attempt, response, own);
	return own;
}

/*
 * Takes the header of an answer.  Returns false to skip one that names another
 * request: this request's answer may follow.
 */
bool eq_take_headers(struct eq_attempt *attempt,
		     const struct hc_response *response)
{
	struct eq *eq = attempt->eq;
	bool own;

	pl_response_decode(response->status, response->headers,
			   &attempt->answer);
	own = !attempt->answer.attempt_id || !eq->request.attempt_id ||
	      strcmp(attempt->answer.attempt_id, eq->request.attempt_id) == 0;
	attempt->at_fault[0] = '\0';
	if (own && attempt->answer.at_fault &&
	    strlen(attempt->answer.at_fault) < sizeof(attempt->at_fault))
		mag_copy_name(attempt->at_fault, sizeof(attempt->at_fault),
			      attempt->answer.at_fault);
	if (!own)
		return false;
	attempt->answered = true;
	attempt->status = response->status;
	attempt->framing = response->framing;
	if (attempt->status / 100 == 2 &&
	    (!attempt->answer.sealed || attempt->answer.encoded))
		attempt->garbled = true;
	if (eq->state != EQ_STREAMING) {
		evbuffer_drain(attempt->fields,
			       evbuffer_get_length(attempt->fields));
		pl_response_fields(response->headers, attempt->fields);
		evbuffer_add(attempt->fields, "", 1);
	}
	return true;
}

/*
 * Applies what the first worker's answer advertises, which holds also if it
 * answers another request (own is false).  A worker of the chain that refused
 * through the first one has requested the backoff, too.
 */
static void eq_apply_advert(const struct eq_attempt *attempt,
			    const struct hc_response *response, bool own)
{
	struct eq *eq = attempt->eq;
	bool sound =
		own && response->status / 100 == 2 && attempt->answer.sealed;
	struct wk *wk = attempt->hops[0].worker;
	struct wire_advert advert;
	struct wk *fault;

	pl_advert_decode(response->status, response->headers, &advert);
	wkp_apply_advert(eq->edge, wk, &advert,
			 sound ? WK_ANSWER_SUCCESS : WK_ANSWER_OTHER,
			 attempt->sent_us);
	fault = eq_worker_at_address(attempt, attempt->at_fault);
	if (fault && fault != wk)
		wk_apply_backoff(fault, &advert.backoff_s, WK_ANSWER_OTHER,
				 clk_boot_us());
}

/* Ends a request whose caller has not read what was sent to it. */
void eq_end_unread(struct eq *eq)
{
	eq_release(eq);
	eq_fail(eq, 502, "caller does not read");
}

/* Takes a part of the answer's body: forwards its events, or stores it. */
void eq_take_body(void *user, const void *bytes, size_t len)
{
	struct eq_attempt *attempt = user;

	if (attempt->garbled) {
		attempt->garbled_bytes += len;
		if (attempt->garbled_bytes > EQ_GARBLED_MAX)
			hc_abort(attempt->call);
	} else if (attempt->status / 100 == 2 &&
		   attempt->eq->route->kind == RT_STREAMING) {
		eq_relay_events(attempt, bytes, len);
	} else {
		if (!evbuffer_add(attempt->body, bytes, len) &&
		    evbuffer_get_length(attempt->body) <= EQ_ANSWER_MAX &&
		    eq_may_buffer(attempt, 0))
			return;
		evbuffer_drain(attempt->body,
			       evbuffer_get_length(attempt->body));
		eq_count_buffered(attempt);
		attempt->garbled = true;
		hc_abort(attempt->call);
	}
}

/*
 * Tells whether there is memory for what is buffered of an answer, and for
 * bytes of it that the caller has not read.
 */
static bool eq_may_buffer(struct eq_attempt *attempt, size_t unsent)
{
	const struct edge *edge = attempt->eq->edge;

	eq_count_buffered(attempt);
	return abuf_fits(attempt->buffered + unsent,
			 edge->answer_bytes + hs_unsent_all(edge->callers));
}

/* Relays complete events of a stream, each once and in order. */
static void eq_relay_events(struct eq_attempt *attempt, const void *bytes,
			    size_t len)
{
	struct eq *eq = attempt->eq;
	int64_t now = clk_boot_us();
	struct evs_event event;
	struct evbuffer *out;
	size_t ready;

	if (evs_feed(&attempt->events, bytes, len) ||
	    !eq_may_buffer(attempt, 0)) {
		attempt->garbled = true;
		hc_abort(attempt->call);
		return;
	}
	out = attempt->body;
	while (evs_next(&attempt->events, &event)) {
		if (event.id != EVS_NO_ID) {
			if (event.id <= eq->last_event)
				continue;
			if (eq->last_event >= 0 &&
			    event.id != eq->last_event + 1) {
				/* Event ids have a gap: an event is missing. */
				attempt->garbled = true;
				break;
			}
			eq->last_event = event.id;
		}
		met_increment(&eq->edge->met, MET_EVENTS);
		if (evbuffer_add(out, event.bytes, event.len)) {
			/* Without memory for it the event is missing. */
			attempt->garbled = true;
			break;
		}
	}
	ready = evbuffer_get_length(out);
	if (ready == 0)
		return;
	eq_prefer(eq, attempt, now);
	if (eq->state != EQ_STREAMING) {
		eq->state = EQ_STREAMING;
		eq->first_event_us = now;
		eq_note_started(eq);
		hs_stream_begin(
			eq->caller, attempt->status,
			(const char *)evbuffer_pullup(attempt->fields, -1));
	} else {
		eq_update_interval(eq, now);
	}
	eq->progress_us = now;
	attempt->heard_run_us = run_at(&eq->edge->workers.run, now);
	attempt->misrouted = false;
	if (!attempt->begun_us)
		attempt->begun_us = now;
	eq_on_progress(eq, now);
	eq_clear_suspect(eq, now);
	hs_stream_data(eq->caller, evbuffer_pullup(out, -1), ready);
	evbuffer_drain(out, ready);
	if (!eq_may_buffer(attempt, hs_unsent(eq->caller))) {
		eq->unread = true;
		hc_abort(attempt->call);
	}
}

/* Notes that all workers of the chain have accepted the request. */
static void eq_note_started(struct eq *eq)
{
	int i;

	eq_count_outcome(eq, true);
	if (eq->attempt->hop_count > 0) {
		wk_on_success(eq->attempt->hops[0].worker);
		wk_add_entry(eq->attempt->hops[0].worker, true, clk_boot_us());
	}
	for (i = 0; i < eq->attempt->hop_count; i++)
		wk_on_start(eq->attempt->hops[i].worker);
}

/*
 * Updates the longest gap that the caller saw, and the stream's pace, in which
 * pauses of this router do not count.
 */
static void eq_update_interval(struct eq *eq, int64_t now)
{
	const struct run *run = &eq->edge->workers.run;
	int64_t interval_us = run_since(run, eq->attempt->heard_run_us, now);

	if (now - eq->progress_us > eq->max_gap_us)
		eq->max_gap_us = now - eq->progress_us;
	/* The first event after a move tells nothing of the stream's pace. */
	if (!eq->attempt->begun_us)
		return;
	if (interval_us > eq->attempt->longest_run_us)
		eq->attempt->longest_run_us = interval_us;
	if (eq->event_interval_us == 0)
		eq->event_interval_us = interval_us;
	eq->event_interval_us +=
		(interval_us - eq->event_interval_us) / EQ_INTERVAL_WEIGHT;
}

/* Called at the end of an attempt; the call has been released. */
static void eq_on_end(void *user, enum hc_result end)
{
	struct eq_attempt *attempt = user;
	struct eq *eq = attempt->eq;
	struct wk *wk = attempt->hops[0].worker;
	int64_t now = clk_boot_us();
	bool whole;

	attempt->call = NULL;
	if (eq->unread) {
		eq_end_unread(eq);
		return;
	}
	if (end == HC_COMPLETE && eq_is_truncated(attempt))
		end = HC_CONN_LOST;
	whole = end == HC_COMPLETE && !attempt->garbled && attempt->answered;
	if (whole && eq_is_success(attempt))
		eq_prefer(eq, attempt, now);
	if (attempt != eq->attempt)
		eq_on_kept_end(eq, attempt, end, now);
	else if (whole)
		eq_on_complete(eq, wk, now);
	else
		eq_on_broken(eq, wk, end, now);
}

static bool eq_is_success(const struct eq_attempt *attempt)
{
	return attempt->status / 100 == 2 && !attempt->answer.not_run;
}

/*
 * Handles the end of an attempt that is kept without a whole answer: the others
 * go on.
 */
static void eq_on_kept_end(struct eq *eq, struct eq_attempt *attempt,
			   enum hc_result end, int64_t now)
{
	struct eq_attempt *present = eq->attempt;
	struct wk *wk = attempt->hops[0].worker;

	eq->attempt = attempt;
	eq_log_again(eq, NULL, "earlier attempt ended");
	eq->runs--;
	if (end != HC_COMPLETE)
		eq_note_broken(eq, wk, end, now);
	else if (eq->attempt->answer.not_run)
		eq_note_not_run(eq, wk, now);
	else
		eq->runs++;
	eq->may_have_run = eq->runs > 0;
	eq->attempt = present;
	eq_end_kept(eq, attempt);
}

/*
 * Tells whether a stream was broken off although its framing is complete.  A
 * whole one has an event at least, and ends after an event.  If it resumes
 * another one, there may be no event left; that its connection closes does not
 * say so, because a crash closes it as well.
 */
bool eq_is_truncated(const struct eq_attempt *attempt)
{
	const struct eq *eq = attempt->eq;

	if (eq->route->kind != RT_STREAMING || attempt->status / 100 != 2 ||
	    attempt->framing == RSP_FRAMING_NONE)
		return false;
	if (evs_pending(&attempt->events) > 0)
		return true;
	return attempt->events.count == 0 &&
	       (eq->last_event < 0 || attempt->framing == RSP_FRAMING_CLOSE);
}

/* Handles a complete answer of the worker. */
static void eq_on_complete(struct eq *eq, struct wk *wk, int64_t now)
{
	bool idempotent = eq->route->kind == RT_IDEMPOTENT;
	bool success = eq->attempt->status / 100 == 2;

	if (eq->attempt->answer.not_run) {
		eq_on_not_run(eq, wk, now);
		return;
	}
	eq->may_have_run = true;
	eq->runs++;
	wk_add_result(wk, success || eq->attempt->status / 100 == 4,
		      now - eq->attempt->sent_us);
	wk_clear_suspicion(wk, now);
	wk_on_success(wk);
	eq_count_outcome(eq, true);
	if (success) {
		eq_did_well(eq,
			    eq->attempt->begun_us ? eq->attempt->begun_us
						  : eq->attempt->sent_us,
			    now);
		eq_relay(eq);
		return;
	}
	/*
	 * An idempotent request that fails at one worker may succeed at
	 * another.
	 */
	if (eq->attempt->status / 100 == 5 && eq->state != EQ_STREAMING &&
	    idempotent && eq->runs < eq->route->max_attempts &&
	    bud_may_retry(edge_budget(eq->edge, eq->service->name, now), now)) {
		eq_avoid_everywhere(eq, wk);
		eq_retry_or_fail(eq, "worker failed it");
		return;
	}
	if (eq->kept && eq->attempt->status / 100 == 5) {
		eq_avoid_everywhere(eq, wk);
		eq_retry_or_fail(eq, "worker failed it");
		return;
	}
	if (eq->state == EQ_STREAMING) {
		eq_retry_or_fail(eq, "worker refused to go on");
		return;
	}
	eq_relay(eq);
}

/* Forwards the worker's complete answer to the caller unchanged. */
void eq_relay(struct eq *eq)
{
	size_t len;

	if (eq->state == EQ_STREAMING) {
		hs_stream_end(eq->caller);
		eq_finish(eq);
		return;
	}
	len = evbuffer_get_length(eq->attempt->body);
	hs_reply(eq->caller, eq->attempt->status,
		 (const char *)evbuffer_pullup(eq->attempt->fields, -1),
		 evbuffer_pullup(eq->attempt->body, -1), len);
	eq_finish(eq);
}

/*
 * Handles an answer that says the request was not started.  In a chain the
 * answer names the worker at fault, which may be dead, leaving or out of
 * memory.  That worker is probed to find out which, and receives nothing new
 * until then.
 */
static void eq_on_not_run(struct eq *eq, struct wk *wk, int64_t now)
{
	eq_note_not_run(eq, wk, now);
	eq_retry_or_fail(eq, "worker did not begin it");
}

static void eq_note_not_run(struct eq *eq, struct wk *wk, int64_t now)
{
	struct edge *edge = eq->edge;
	struct wk *fault = NULL;

	if (eq->attempt->at_fault[0])
		fault = eq_worker_at_address(eq->attempt,
					     eq->attempt->at_fault);
	if (!fault)
		fault = wk;
	eq_avoid_everywhere(eq, fault);
	if (eq->service->has_engine) {
		/* A backoff that it requested says itself when it ends. */
		if (fault == wk && !adv_backs_off(&wk->proc.adv, now))
			wk_add_entry(wk, false, now);
		wk_on_refusal(fault, now);
		wkp_probe(edge, fault, now);
	} else if (eq->attempt->status == 421) {
		wk_suspect(fault, now, "another worker has its address");
	}
}

/* Handles an attempt that ended without a complete answer. */
static void eq_on_broken(struct eq *eq, struct wk *wk, enum hc_result end,
			 int64_t now)
{
	struct edge *edge = eq->edge;
	bool malformed = eq->attempt->garbled || end == HC_PROTOCOL_ERROR;

	eq_note_broken(eq, wk, end, now);
	if (end == HC_UNSENT) {
		eq_retry_or_fail(eq, "not sent");
		eq_on_suspect(edge, wk, now);
		return;
	}
	eq_retry_or_fail(eq,
			 malformed ? "malformed answer" : "connection broke");
}

/* Notes what the end of an attempt tells of its worker and of the request. */
static void eq_note_broken(struct eq *eq, struct wk *wk, enum hc_result end,
			   int64_t now)
{
	eq_avoid(eq, wk);
	if (end == HC_UNSENT) {
		eq_return_send(eq, now);
		/* A probe tells a death, and suspects the worker, too. */
		if (wk_count_interrupted(wk, now) > 0)
			wkp_probe(eq->edge, wk, now);
		wk_on_unsent(wk);
		if (!wk->probing)
			wk_suspect(wk, now, "no connection");
		return;
	}
	if (!eq_doubts_path(eq) && !reach_is_doubted(&eq->edge->workers.reach))
		eq_avoid_everywhere(eq, wk);
	eq->may_have_run = true;
	eq->runs++;
	wk_add_result(wk, false, 0);
	if (!eq->attempt->answered || eq_is_truncated(eq->attempt)) {
		wk_on_break(wk, now);
		wk_add_entry(wk, false, now);
	}
	if (end == HC_CONN_LOST) {
		eq_add_crash_candidate(eq, wk, now);
		wkp_probe(eq->edge, wk, now);
	}
}
