#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "eq.h"
#include "hint.h"
#include "jlog.h"

/*
 * Load pattern: a router is cut off from all workers, or from all of a service,
 * while callers and other routers reach it.  Refused callers would come back to
 * it on their open connections, and the platform may have no other router to
 * send them to.  A peer that reaches the workers serves them instead.  It gets
 * the caller's request as it came, treats it as one of its own callers', and
 * does not forward it again.
 */

/* Peers that one request is forwarded to. */
#define EQ_FORWARDS_MAX 2
/* Connection timeout to a peer, which may be in another region. */
#define EQ_FORWARD_CONNECT_US (250 * MAG_US_PER_MS)
/*
 * Least time left to a request that is forwarded.  A peer would take one that
 * is rounded to zero for none given.
 */
#define EQ_FORWARD_LEFT_US MAG_US_PER_MS

static int eq_forward_wait_ms(struct eq *eq, int64_t now);
static void eq_assume_sent(struct eq *eq);
static struct evbuffer *eq_forward_encode(const struct eq *eq, int wait_ms,
					  int64_t now);
static bool eq_forward_headers(void *user, const struct hc_response *response);
static void eq_forward_end(void *user, enum hc_result end);
static void eq_forward_answered(struct eq *eq, int64_t now);
static void eq_forward_refused(struct eq *eq, int64_t now);
static bool eq_is_refusal(const struct eq *eq);
static void eq_log_forward_end(const struct eq *eq, const char *why);

static const struct hc_ops eq_forward_ops = {
	.headers = eq_forward_headers,
	.body = eq_take_body,
	.ended = eq_forward_end,
};

/* Tells whether a request may be forwarded, and a peer takes it. */
bool eq_may_forward(const struct eq *eq, int64_t now)
{
	return !eq->is_forwarded && eq->forwards < EQ_FORWARDS_MAX &&
	       eq->deadline_us - now >= EQ_FORWARD_LEFT_US &&
	       hint_count_servers(eq->edge->hint, now) > 0;
}

/*
 * Forwards a request to a peer that reaches the workers.  Returns false if
 * there is none, or if the request may not be forwarded.
 */
bool eq_forward_start(struct eq *eq, int64_t now)
{
	struct edge *edge = eq->edge;
	struct hc_send send = { 0 };
	struct hc_host *host;
	char id[WIRE_ID_MAX];
	int wait_ms;

	if (!eq_may_forward(eq, now))
		return false;
	wait_ms = eq_forward_wait_ms(eq, now);
	host = hint_pick_server(edge->hint, eq->forwarded_to, now,
				&eq->forwarded_to);
	if (!host)
		return false;
	send.request = eq_forward_encode(eq, wait_ms, now);
	if (!send.request)
		return false;
	send.ops = &eq_forward_ops;
	eq_fill_send(eq, &send);
	send.connect_by_us = now + EQ_FORWARD_CONNECT_US;
	if (hc_start(host, &send, &eq->attempt->call)) {
		eq->attempt->call = NULL;
		return false;
	}
	eq_leave_queue(eq, now);
	eq_begin_attempt(eq, now);
	eq->forwards++;
	met_increment(&edge->met, MET_FORWARDED);
	jlog(LOG_EQ_FORWARDED,
	     "\"request\":\"%s\",\"peer\":%u,\"forward\":%d,\"path_lost\":%s,"
	     "\"sends\":%d,\"runs\":%d,\"from_event\":%lld,"
	     "\"wait_ms\":%d",
	     jlog_sanitize(id, sizeof(id), eq->request.attempt_id),
	     eq->forwarded_to, eq->forwards,
	     reach_is_lost(&edge->workers.reach) ? "true" : "false", eq->sends,
	     eq->runs, (long long)eq->last_event, wait_ms);
	eq_assume_sent(eq);
	return true;
}

/*
 * Returns how long a peer may let the request wait for a worker.  While there
 * is another peer to ask, it does not wait at this one; at the last one it
 * waits for as long as it would here.  One that has begun or may have run waits
 * as its peer decides, because no refusal of it is passed on (-1).
 */
static int eq_forward_wait_ms(struct eq *eq, int64_t now)
{
	int64_t until_us;

	if (eq->state == EQ_STREAMING || eq->may_have_run || eq->kept)
		return -1;
	if (eq->forwards + 1 < EQ_FORWARDS_MAX &&
	    hint_count_servers(eq->edge->hint, now) > 1)
		return 0;
	until_us = eq_wait_until(eq, now);
	return until_us > now ? (int)((until_us - now) / MAG_US_PER_MS) : 0;
}

/* Counts a request as sent by a peer that has not said whether it did. */
static void eq_assume_sent(struct eq *eq)
{
	if (eq->sends > 0)
		return;
	eq->sends = 1;
	eq->attempt->assumed_sent = true;
}

/* Takes that back, as the peer has said so or got nothing. */
void eq_drop_assumed_send(struct eq *eq)
{
	if (!eq->attempt->assumed_sent)
		return;
	eq->sends--;
	eq->attempt->assumed_sent = false;
}

static struct evbuffer *eq_forward_encode(const struct eq *eq, int wait_ms,
					  int64_t now)
{
	struct pl_history history;
	struct pl_forward forward = {
		.method = hs_method(eq->caller),
		.target = hs_target(eq->caller),
		.headers = hs_headers(eq->caller),
		.body = hs_body(eq->caller),
		.remaining_ms = (eq->deadline_us - now) / MAG_US_PER_MS,
		.last_event = eq->state == EQ_STREAMING ? eq->last_event : -1,
		.history = &history,
	};

	eq_history(eq, &history);
	history.wait_ms = wait_ms;
	return pl_forward_encode(&forward);
}

static bool eq_forward_headers(void *user, const struct hc_response *response)
{
	struct eq_attempt *attempt = user;

	attempt->peer_told =
		pl_history_decode(response->headers, &attempt->history);
	return eq_take_headers(attempt, response);
}

/* Called when a peer's answer has ended; the call has been released. */
static void eq_forward_end(void *user, enum hc_result end)
{
	struct eq_attempt *attempt = user;
	struct eq *eq = attempt->eq;
	int64_t now = clk_boot_us();

	eq->attempt->call = NULL;
	if (eq->unread) {
		eq_end_unread(eq);
		return;
	}
	if (end == HC_COMPLETE && !eq->attempt->garbled &&
	    eq->attempt->answered && !eq_is_truncated(attempt)) {
		eq_forward_answered(eq, now);
		return;
	}
	if (end == HC_UNSENT) {
		eq_drop_assumed_send(eq);
		eq_log_forward_end(eq, "peer not reached");
		eq_retry_or_fail(eq, "peer not reached");
		return;
	}
	/* The peer may have used up all runs that the route allows. */
	eq->may_have_run = true;
	eq->runs = eq->route->max_attempts;
	eq_assume_sent(eq);
	eq_log_forward_end(eq, "peer broke off");
	eq_retry_or_fail(eq, "peer broke off");
}

/* Handles a peer's complete answer, the worker's or its own. */
static void eq_forward_answered(struct eq *eq, int64_t now)
{
	if (eq->attempt->peer_told) {
		eq_drop_assumed_send(eq);
		eq_take_history(eq, &eq->attempt->history);
	} else {
		eq_assume_sent(eq);
	}
	if (eq_is_refusal(eq)) {
		eq_log_forward_end(eq, "refused");
		eq_forward_refused(eq, now);
		return;
	}
	eq->may_have_run = true;
	/* A peer that does not say may have used all runs that are allowed. */
	if ((eq->attempt->status != 502 || !eq->attempt->peer_told) &&
	    eq->runs < eq->route->max_attempts)
		eq->runs = eq->route->max_attempts;
	eq_log_forward_end(eq, "answered");
	if (eq->attempt->status / 100 == 2)
		eq_did_well(eq, eq->attempt->sent_us, now);
	else if (eq->state == EQ_STREAMING || eq->kept ||
		 (eq->attempt->status == 502 && !eq->attempt->answer.sealed)) {
		eq_retry_or_fail(eq, "peer failed it");
		return;
	}
	eq_relay(eq);
}

/*
 * Goes on as after any attempt that did not run if a refusal would not be true,
 * or would cut a stream.  Tries another peer, or passes the refusal on, else.
 */
static void eq_forward_refused(struct eq *eq, int64_t now)
{
	if (eq->may_have_run || eq->state == EQ_STREAMING) {
		eq_retry_or_fail(eq, "peer refused it");
		return;
	}
	if (!eq_is_refused_by_all(eq, now) && eq_forward_start(eq, now))
		return;
	met_increment(&eq->edge->met, MET_REFUSED);
	eq_relay(eq);
}

/* Tells whether a peer's answer says that the request was not run there. */
static bool eq_is_refusal(const struct eq *eq)
{
	return !eq->attempt->answer.sealed &&
	       (eq->attempt->status == 503 || eq->attempt->status == 429 ||
		eq->attempt->status == 408 || eq->attempt->status == 421);
}

/* Logs what a peer made of a request and what this router knows of it then. */
static void eq_log_forward_end(const struct eq *eq, const char *why)
{
	char id[WIRE_ID_MAX];

	jlog(LOG_EQ_FORWARD_END,
	     "\"request\":\"%s\",\"peer\":%u,\"why\":\"%s\","
	     "\"status\":%d,\"sealed\":%s,\"told\":%s,\"sends\":%d,"
	     "\"runs\":%d",
	     jlog_sanitize(id, sizeof(id), eq->request.attempt_id),
	     eq->forwarded_to, why,
	     eq->attempt->answered ? eq->attempt->status : 0,
	     eq->attempt->answer.sealed ? "true" : "false",
	     eq->attempt->peer_told ? "true" : "false", eq->sends, eq->runs);
}
