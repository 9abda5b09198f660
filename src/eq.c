#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "clk.h"
#include "eq.h"
#include "hint.h"
#include "hint_msg.h"
#include "jlog.h"

/*
 * Retry-After of a router that has no configuration yet, in seconds and as a
 * fraction of the time that the caller has: after a restart of the whole fleet
 * the last routers are configured later, and a caller that has time should not
 * come back before that.
 */
#define EQ_RETRY_UNCONFIGURED_S	       0.5
#define EQ_RETRY_UNCONFIGURED_FRACTION 0.1
/*
 * The answer is sent this long before the deadline so that it arrives in time.
 */
#define EQ_ANSWER_MARGIN_US (15 * MAG_US_PER_MS)
/*
 * A stopping router accepts new requests for this long.  The balancer polls
 * readiness every second and moves callers away after two failed polls.
 */
#define EQ_STOP_ACCEPT_US (2600 * MAG_US_PER_MS)

static struct eq *eq_new(struct edge *edge, struct hs_conn *conn, int64_t now);
static void eq_begin(struct edge *edge, struct hs_conn *conn,
		     bool is_forwarded);
static void eq_take_forwarded(struct eq *eq);
static bool eq_resolve_route(struct eq *eq);
static bool eq_admit(struct eq *eq, int64_t now);
static enum eq_retry eq_retry_target(const struct eq *eq, int64_t now);
static void eq_set_fingerprint(struct eq *eq);
static void eq_set_deadlines(struct eq *eq);
static const struct rt_service *eq_pick_service(struct eq *eq);
static void eq_log_end(const struct eq *eq, int status, const char *why);
static void eq_free(struct eq *eq);
static void eq_refuse_early(struct edge *edge, struct hs_conn *conn,
			    bool is_forwarded);
static bool eq_refuses_while_stopping(const struct eq *eq, int64_t now);

/* Called when a caller's request has been read completely. */
void eq_on_request(void *ctx, struct hs_conn *conn)
{
	eq_begin(ctx, conn, false);
}

/* The same for a request that a router which reaches no worker forwards. */
void eq_on_forwarded(void *ctx, struct hs_conn *conn)
{
	eq_begin(ctx, conn, true);
}

/* Begins a request; refuses it at once if it cannot be served. */
static void eq_begin(struct edge *edge, struct hs_conn *conn, bool is_forwarded)
{
	int64_t now = clk_boot_us();
	struct eq *eq;

	met_increment(&edge->met, MET_REQUESTS);
	if (!edge_has_config(edge, now)) {
		/* Without a configuration no route is known. */
		eq_refuse_early(edge, conn, is_forwarded);
		return;
	}
	eq = eq_new(edge, conn, now);
	if (!eq) {
		eq_refuse_early(edge, conn, is_forwarded);
		return;
	}
	eq->is_forwarded = is_forwarded;
	if (is_forwarded)
		eq_take_forwarded(eq);
	if (eq->bad_field) {
		eq_refuse(eq, 400, EQ_RETRY_NEVER, eq->bad_field);
		return;
	}
	if (edge_is_outdated(edge, now)) {
		eq_refuse(eq, 503, EQ_RETRY_SOON, "configuration outdated");
		return;
	}
	if (!eq_resolve_route(eq) || !eq_admit(eq, now))
		return;
	edge_service(edge, eq->service->name, now)->requests++;
	eq_set_deadlines(eq);
	eq_set_wait(eq, now);
	eq_set_urgency(eq, now);
	if (eq_refuses_while_stopping(eq, now)) {
		eq_refuse(eq, 503, eq_retry_target(eq, now), "stopping");
		return;
	}
	eq_dispatch(eq, now);
}

/*
 * Continues the counts of the router that forwarded a request.  Whether it has
 * run elsewhere is no matter of the answer to that router, which knows it.
 */
static void eq_take_forwarded(struct eq *eq)
{
	struct pl_history history;

	met_increment(&eq->edge->met, MET_TAKEN_OVER);
	if (!pl_history_decode(hs_headers(eq->caller), &history))
		eq->bad_field = PL_FORWARD_FIELD;
	eq_take_history(eq, &history);
	if (history.wait_ms >= 0)
		eq->wait_until_us =
			eq->arrived_us + history.wait_ms * MAG_US_PER_MS;
	eq->ran_elsewhere = eq->runs > 0;
}

/* Called when the caller has disconnected; stops all work for it. */
void eq_on_caller_gone(void *ctx, struct hs_conn *conn, void *user)
{
	struct edge *edge = ctx;
	struct eq *eq = user;

	(void)conn;
	met_increment(&edge->met, MET_GONE);
	eq_log_end(eq, 0, "caller left");
	eq->caller = NULL;
	eq_free(eq);
}

/* Ends requests that have reached their deadline and retries waiting ones. */
void eq_tick(struct edge *edge, int64_t now)
{
	struct eq *eq;
	struct eq *next;

	cds_list_for_each_entry_safe (eq, next, &edge->requests, node) {
		if (now < eq->deadline_us)
			continue;
		if (eq->attempt->call || eq->may_have_run)
			eq_fail(eq, 504, "deadline");
		else
			eq_refuse(eq, 503, EQ_RETRY_LATER, "deadline");
	}
	eq_wait_tick(edge, now);
	eq_stall_tick(edge, now);
	eq_coverage_tick(edge, now);
}

/*
 * Ends all requests, as the process must exit: refuses those that have not run.
 */
void eq_end_all(struct edge *edge)
{
	struct eq *eq;
	struct eq *next;

	cds_list_for_each_entry_safe (eq, next, &edge->requests, node) {
		if (eq->attempt->call)
			eq_fail(eq, 502, "stopped");
		else
			eq_refuse(eq, 503, EQ_RETRY_ELSEWHERE, "stopped");
	}
}

/*
 * Refuses a request that has not run and never will.  If it may have run, the
 * caller receives 502 instead.  A router that forwarded it is told what has
 * been done for it.
 */
void eq_refuse(struct eq *eq, int status, enum eq_retry retry, const char *why)
{
	char fields[64 + PL_HISTORY_TEXT];
	struct pl_history history;
	size_t len;

	if (eq->may_have_run) {
		eq_fail(eq, 502, why);
		return;
	}
	if (retry == EQ_RETRY_LATER || retry == EQ_RETRY_BACKOFF)
		eq_count_outcome(eq, false);
	eq_write_retry_after(eq, retry, fields, sizeof(fields));
	if (eq->is_forwarded) {
		len = strlen(fields);
		eq_history(eq, &history);
		pl_history_field(&history, fields + len, sizeof(fields) - len);
	}
	met_increment(&eq->edge->met, MET_REFUSED);
	eq_log_end(eq, status, why);
	if (retry == EQ_RETRY_ELSEWHERE)
		hs_close_after_reply(eq->caller);
	hs_reply(eq->caller, status, fields, NULL, 0);
	eq->caller = NULL;
	eq_free(eq);
}

/*
 * Ends a request that may have run or that has run out of time.  A router that
 * forwarded it is told what has been done for it, unless a run goes on.
 */
void eq_fail(struct eq *eq, int status, const char *why)
{
	char fields[PL_HISTORY_TEXT] = "";
	struct pl_history history;

	if (eq->is_forwarded && !eq->attempt->call) {
		eq_history(eq, &history);
		pl_history_field(&history, fields, sizeof(fields));
	}
	met_increment(&eq->edge->met,
		      eq->state == EQ_STREAMING ? MET_CUT : MET_FAILED);
	eq_log_end(eq, status, why);
	if (eq->state == EQ_STREAMING)
		hs_abort(eq->caller);
	else
		hs_reply(eq->caller, status, fields, NULL, 0);
	eq->caller = NULL;
	eq_free(eq);
}

/* Ends a request whose whole answer has been passed to the caller. */
void eq_finish(struct eq *eq)
{
	int64_t now = clk_boot_us();

	met_increment(&eq->edge->met, MET_ANSWERED);
	if (eq->first_event_us) {
		met_observe(&eq->edge->met, MET_FIRST_EVENT,
			    eq->first_event_us - eq->arrived_us);
		met_observe(&eq->edge->met, MET_GAP, eq->max_gap_us);
	} else {
		met_observe(&eq->edge->met, MET_ANSWER, now - eq->arrived_us);
	}
	eq_log_end(eq, eq->attempt->status, "answered");
	eq->caller = NULL;
	eq_free(eq);
}

/*
 * Tells whether a stopping router refuses new requests.  It accepts them while
 * the balancer moves callers away.  If all routers of a data centre stop at
 * once, callers keep arriving: a stream that starts late is cut by the kill at
 * the end, and its caller has waited for nothing.  It is therefore refused at
 * once.
 */
static bool eq_refuses_while_stopping(const struct eq *eq, int64_t now)
{
	const struct edge *edge = eq->edge;

	if (!edge->stopping)
		return false;
	return now - edge->stopped_us > EQ_STOP_ACCEPT_US;
}

static void eq_refuse_early(struct edge *edge, struct hs_conn *conn,
			    bool is_forwarded)
{
	struct pl_request request;
	struct pl_history history;
	char fields[64 + PL_HISTORY_TEXT];
	double wait_s;
	int len;

	/* The fields that are decoded count, also if another one is not. */
	memset(&request, 0, sizeof(request));
	(void)pl_request_decode(hs_headers(conn), &request);
	wait_s = (double)request.timeout_ms / 1000 *
		 EQ_RETRY_UNCONFIGURED_FRACTION;
	if (wait_s < EQ_RETRY_UNCONFIGURED_S)
		wait_s = EQ_RETRY_UNCONFIGURED_S;
	met_increment(&edge->met, MET_REFUSED);
	jlog(LOG_EQ_END,
	     "\"status\":503,\"why\":\"no configuration yet\","
	     "\"retry_after_s\":%.2f",
	     wait_s);
	len = snprintf(fields, sizeof(fields), "Retry-After: %.2f\r\n", wait_s);
	/* A router that forwarded it is told that nothing has been done. */
	if (is_forwarded && pl_history_decode(hs_headers(conn), &history)) {
		history.wait_ms = -1;
		pl_history_field(&history, fields + len,
				 sizeof(fields) - (size_t)len);
	}
	hs_reply(conn, 503, fields, NULL, 0);
}

static struct eq *eq_new(struct edge *edge, struct hs_conn *conn, int64_t now)
{
	struct eq *eq = calloc(1, sizeof(*eq));

	if (!eq)
		return NULL;
	eq->edge = edge;
	if (eq_attempts_init(eq)) {
		free(eq);
		return NULL;
	}
	eq->caller = conn;
	eq->rt = rt_hold(edge->rt);
	eq->arrived_us = now;
	eq->progress_us = now;
	eq->deadline_us = MAG_NEVER;
	eq->bad_field = pl_request_decode(hs_headers(conn), &eq->request);
	eq->last_event = eq->request.last_event;
	wq_entry_init(&eq->wait);
	cds_list_add_tail(&eq->node, &edge->requests);
	edge->request_count++;
	hs_set_user(conn, eq);
	return eq;
}

/*
 * Finds route, account and service.  On failure answers the caller and returns
 * false.
 */
static bool eq_resolve_route(struct eq *eq)
{
	int account;

	if (eq->request.host)
		eq->route = rt_find_route(eq->rt, eq->request.host,
					  hs_target(eq->caller));
	if (!eq->route && edge_is_behind(eq->edge)) {
		eq_refuse(eq, 503, EQ_RETRY_SOON, "no route yet");
		return false;
	}
	if (!eq->route) {
		met_increment(&eq->edge->met, MET_NO_ROUTE);
		eq_refuse(eq, 404, EQ_RETRY_NEVER, "no route");
		return false;
	}
	eq->urgency = urg_value(-1, eq->route->priority);
	eq->service = eq_pick_service(eq);
	if (!eq->service) {
		eq_refuse(eq, 503, EQ_RETRY_LATER, "route has no service");
		return false;
	}
	if (eq->service->has_engine &&
	    !rt_engine_is_supported(&eq->service->engine)) {
		eq_refuse(eq, 503, EQ_RETRY_LATER, "model too large");
		return false;
	}
	if (!eq->rt->has_accounts || eq->route->auth_exempt)
		return true;
	account = eq->request.key ? rt_account_by_key(eq->rt, eq->request.key)
				  : -1;
	if (account < 0 && edge_is_behind(eq->edge)) {
		eq_refuse(eq, 503, EQ_RETRY_SOON, "unknown key yet");
		return false;
	}
	if (account < 0) {
		met_increment(&eq->edge->met, MET_NO_KEY);
		eq_refuse(eq, 401, EQ_RETRY_NEVER, "unknown key");
		return false;
	}
	eq->account = eq->rt->accounts[account].name;
	eq->urgency = urg_value(eq->rt->accounts[account].priority,
				eq->route->priority);
	return true;
}

/*
 * Refuses keys while they cannot be checked, and requests that crash workers.
 * A key that is revoked while this instance is cut off from the store must stop
 * working within the configured bound; after that, the configuration known here
 * is too old to accept any key.
 */
static bool eq_admit(struct eq *eq, int64_t now)
{
	const struct edge *edge = eq->edge;

	if (eq->account && edge->set.keys_fail_closed &&
	    !attest_is_trusted(&edge->attest, edge->set.keys_stale_us, now)) {
		eq_refuse(eq, 503, eq_retry_target(eq, now), "keys too old");
		return false;
	}
	eq_set_fingerprint(eq);
	eq_set_traits(eq);
	return !eq_refuse_quarantined(eq, now);
}

/*
 * Ends a request that crashes workers, wherever that was found; also one that
 * waits at a worker to begin.  Returns whether it did.
 */
bool eq_refuse_quarantined(struct eq *eq, int64_t now)
{
	if (eq_check_quarantine(eq, now) != QUAR_QUARANTINED ||
	    eq_may_try(eq, now))
		return false;
	if (eq->kept) {
		eq_fall_back(eq, "crashes workers", now);
		return true;
	}
	met_increment(&eq->edge->met, MET_POISON);
	eq->may_have_run |= eq->attempt->call != NULL;
	eq_refuse(eq, 503,
		  eq_is_in_doubt(eq, now) ? EQ_RETRY_TRIED : EQ_RETRY_NEVER,
		  "crashes workers");
	return true;
}

/*
 * Decides when refused callers retry: at once if another router is ready to
 * accept them; later if none is, as in an outage of the store, because they
 * would only be refused again.
 */
static enum eq_retry eq_retry_target(const struct eq *eq, int64_t now)
{
	return hint_others_ready(eq->edge->hint, now) ? EQ_RETRY_ELSEWHERE
						      : EQ_RETRY_LATER;
}

/*
 * Computes the fingerprint from the path, the caller's key and the body: as
 * many bytes as routers exchange, the others are zero.
 */
static void eq_set_fingerprint(struct eq *eq)
{
	struct evbuffer *body = hs_body(eq->caller);
	size_t len = evbuffer_get_length(body);
	const char *target = hs_target(eq->caller);
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, HINT_DIGEST_BYTES);
	crypto_generichash_update(&state, (const unsigned char *)target,
				  strlen(target) + 1);
	if (eq->request.key)
		crypto_generichash_update(
			&state, (const unsigned char *)eq->request.key,
			strlen(eq->request.key) + 1);
	if (len > 0)
		crypto_generichash_update(&state, evbuffer_pullup(body, -1),
					  len);
	crypto_generichash_final(&state, eq->fingerprint, HINT_DIGEST_BYTES);
}

/*
 * Sets the deadline of the request and the time until which its answer is on
 * time.  A caller cannot make other callers appear late by stating more time
 * than the route's timeout.
 */
static void eq_set_deadlines(struct eq *eq)
{
	int64_t limit = eq->route->timeout_us;
	int64_t wait = eq->request.timeout_ms * MAG_US_PER_MS;

	if (wait > 0 && wait < limit)
		limit = wait;
	eq->deadline_us = eq->arrived_us + limit - EQ_ANSWER_MARGIN_US;
	eq->target_deadline_us =
		eq->arrived_us + eq->route->target_us -
		age_estimate(&eq->edge->caller_ages, eq->route->name,
			     wait > 0 ? limit : 0, eq->arrived_us);
}

/* Picks a service at random by the route's weights. */
static const struct rt_service *eq_pick_service(struct eq *eq)
{
	const struct rt_route *route = eq->route;
	double sum = 0;
	double draw;
	int i;

	for (i = 0; i < route->split_count; i++)
		sum += route->splits[i].weight;
	if (sum <= 0)
		return NULL;
	draw = sum * (double)(edge_random(eq->edge) % 1000000) / 1e6;
	for (i = 0; i < route->split_count - 1; i++) {
		draw -= route->splits[i].weight;
		if (draw < 0)
			break;
	}
	return &eq->rt->services[route->splits[i].service];
}

static void eq_log_end(const struct eq *eq, int status, const char *why)
{
	char id[WIRE_ID_MAX];
	int64_t now = clk_boot_us();

	jlog(LOG_EQ_END,
	     "\"request\":\"%s\",\"route\":\"%s\",\"account\":\"%s\","
	     "\"status\":%d,\"why\":\"%s\",\"took_ms\":%d,"
	     "\"first_event_ms\":%d,\"longest_gap_ms\":%d,"
	     "\"silent_ms\":%d,\"target_ms\":%d,\"gap_aim_ms\":%d,\"sends\":%d,"
	     "\"may_have_run\":%s,\"config\":%lld,\"config_heard\":%lld,"
	     "\"config_age_ms\":%d,"
	     "\"worker\":\"%s\",\"framing\":\"%s\",\"events\":%lld,"
	     "\"partial_bytes\":%zu",
	     jlog_sanitize(id, sizeof(id), eq->request.attempt_id),
	     eq->route ? eq->route->name : "", eq->account ? eq->account : "",
	     status, why, (int)((now - eq->arrived_us) / MAG_US_PER_MS),
	     eq->first_event_us ? (int)((eq->first_event_us - eq->arrived_us) /
					MAG_US_PER_MS)
				: -1,
	     (int)(eq->max_gap_us / MAG_US_PER_MS),
	     (int)((now - eq->progress_us) / MAG_US_PER_MS),
	     eq->route ? (int)(eq->route->target_us / MAG_US_PER_MS) : 0,
	     eq->route ? (int)(eq->route->max_gap_us / MAG_US_PER_MS) : 0,
	     eq->sends, eq->may_have_run ? "true" : "false",
	     (long long)eq->rt->version,
	     (long long)eq->edge->attest.newest_version,
	     (int)((now - eq->edge->attest.confirmed_us) / MAG_US_PER_MS),
	     eq->attempt->hop_count > 0 ? eq->attempt->hops[0].worker->label
					: "",
	     eq_framing_text(eq), (long long)eq->attempt->events.count,
	     evs_pending(&eq->attempt->events));
}

/* Cancels outstanding work for a request and releases all that it holds. */
static void eq_free(struct eq *eq)
{
	eq_add_left(eq, clk_boot_us());
	if (eq->attempt->call)
		hc_cancel(eq->attempt->call);
	eq->attempt->call = NULL;
	eq_release(eq);
	if (eq->kept)
		eq_drop_kept(eq);
	eq_leave_queue(eq, clk_boot_us());
	cds_list_del(&eq->node);
	eq->edge->request_count--;
	if (eq->caller)
		hs_set_user(eq->caller, NULL);
	eq_attempts_free(eq);
	rt_drop(eq->rt);
	free(eq);
}
