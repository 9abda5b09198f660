#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "clk.h"
#include "eq.h"
#include "hint.h"
#include "jlog.h"

/*
 * Requests that wait for a place are tried again this often: each choice goes
 * over all workers, which takes a millisecond with 3,000 of them.
 */
#define EQ_WAIT_TRY_US (25 * MAG_US_PER_MS)
/* A caller that another router can take at once comes back after this. */
#define EQ_RETRY_ELSEWHERE_S 0.05
/*
 * A caller whose request met a worker at fault comes back after this, or up
 * to twice as long: by then the worker is held off and its reports have come.
 */
#define EQ_RETRY_SOON_S 0.25
/* Part of its time that a caller waits at most before it comes back. */
#define EQ_RETRY_SHARE 0.32
/* The answer is written so long before the deadline that it arrives by it. */
#define EQ_ANSWER_MARGIN_US (15 * MAG_US_PER_MS)
/*
 * A stopping router takes new requests for this long: the balancer asks every
 * second and moves callers away after two misses.
 */
#define EQ_STOP_TAKES_US (2600 * MAG_US_PER_MS)

static struct eq *eq_new(struct edge *edge, struct hs_conn *conn, int64_t now);
static bool eq_route(struct eq *eq);
static bool eq_admit(struct eq *eq, int64_t now);
static enum eq_retry eq_where(const struct eq *eq, int64_t now);
static void eq_fingerprint(struct eq *eq);
static void eq_deadlines(struct eq *eq);
static const struct rt_service *eq_service(struct eq *eq);
static void eq_log_end(const struct eq *eq, int status, const char *why);
static void eq_try_waiting(struct edge *edge, int64_t now);
static void eq_free(struct eq *eq);
static void eq_retry_fields(const struct eq *eq, enum eq_retry retry,
			    char *fields, size_t size);
static void eq_refuse_early(struct edge *edge, struct hs_conn *conn);
static bool eq_too_late_to_begin(const struct eq *eq, int64_t now);

/* A whole request of a caller has been read. */
void eq_arrive(void *ctx, struct hs_conn *conn)
{
	struct edge *edge = ctx;
	int64_t now = clk_boot_us();
	struct eq *eq;

	met_increment(&edge->met, MET_REQUESTS);
	if (!edge_has_config(edge, now)) {
		/* No configuration yet: nobody knows what is a route. */
		eq_refuse_early(edge, conn);
		return;
	}
	eq = eq_new(edge, conn, now);
	if (!eq) {
		eq_refuse_early(edge, conn);
		return;
	}
	if (!eq_route(eq) || !eq_admit(eq, now))
		return;
	eq_deadlines(eq);
	if (eq_too_late_to_begin(eq, now)) {
		eq_refuse(eq, 503, eq_where(eq, now), "stopping");
		return;
	}
	eq_try(eq, now);
}

/* The caller left: whatever works for it stops. */
void eq_caller_gone(void *ctx, struct hs_conn *conn, void *user)
{
	struct edge *edge = ctx;
	struct eq *eq = user;

	(void)conn;
	met_increment(&edge->met, MET_GONE);
	eq_log_end(eq, 0, "caller left");
	eq->caller = NULL;
	eq_free(eq);
}

/* Tries again what waits for a place; streams that wait to go on, too. */
static void eq_try_waiting(struct edge *edge, int64_t now)
{
	struct eq *eq;
	struct eq *next;

	cds_list_for_each_entry_safe (eq, next, &edge->requests, node) {
		if (!eq->call)
			eq_try(eq, now);
	}
}

/* Ends what has reached its deadline and tries again what waits. */
void eq_tick(struct edge *edge, int64_t now)
{
	struct eq *eq;
	struct eq *next;

	cds_list_for_each_entry_safe (eq, next, &edge->requests, node) {
		if (now >= eq->deadline_us)
			eq_fail(eq, 504, "deadline");
	}
	if (now >= edge->wait_us) {
		edge->wait_us = now + EQ_WAIT_TRY_US;
		eq_try_waiting(edge, now);
	}
	eq_stall_tick(edge, now);
	eq_cover_tick(edge, now);
}

/*
 * Refuses a request that has not run and never will.  Where it may have run,
 * the caller hears 502 instead.
 */
void eq_refuse(struct eq *eq, int status, enum eq_retry retry, const char *why)
{
	char fields[64];

	if (eq->may_have_run) {
		eq_fail(eq, 502, why);
		return;
	}
	eq_retry_fields(eq, retry, fields, sizeof(fields));
	met_increment(&eq->edge->met, MET_REFUSED);
	eq_log_end(eq, status, why);
	if (retry == EQ_RETRY_ELSEWHERE)
		hs_close_after_reply(eq->caller);
	hs_reply(eq->caller, status, fields, NULL, 0);
	eq->caller = NULL;
	eq_free(eq);
}

/*
 * Tells a caller when to come back.  Load drains at the pace at which streams
 * end, in some seconds; a caller that comes sooner is refused again and gives
 * up.  Callers take a wait of up to a third of the time that they have, so
 * the wait is drawn from the upper half of that, which also spreads them.
 */
static void eq_retry_fields(const struct eq *eq, enum eq_retry retry,
			    char *fields, size_t size)
{
	int64_t wait = eq->asks.timeout_ms;
	double spread = (double)(edge_random(eq->edge) % 1000) / 1000;
	double left;

	fields[0] = '\0';
	if (retry == EQ_RETRY_NEVER)
		return;
	if (retry == EQ_RETRY_ELSEWHERE) {
		snprintf(fields, size, "Retry-After: %.2f\r\n",
			 EQ_RETRY_ELSEWHERE_S);
		return;
	}
	if (retry == EQ_RETRY_SOON) {
		snprintf(fields, size, "Retry-After: %.2f\r\n",
			 EQ_RETRY_SOON_S * (1 + spread));
		return;
	}
	if (wait <= 0)
		wait = eq->route ? eq->route->timeout_us / MAG_US_PER_MS : 1000;
	left = (double)wait / 1000 -
	       (double)(clk_boot_us() - eq->arrived_us) / MAG_US_PER_S;
	left = left * EQ_RETRY_SHARE * (0.5 + 0.5 * spread);
	if (left < 0.05)
		left = 0.05;
	snprintf(fields, size, "Retry-After: %.2f\r\n", left);
}

/* Ends a request that may have run, or that ran out of time. */
void eq_fail(struct eq *eq, int status, const char *why)
{
	met_increment(&eq->edge->met,
		      eq->state == EQ_STREAMS ? MET_CUT : MET_FAILED);
	eq_log_end(eq, status, why);
	if (eq->state == EQ_STREAMS)
		hs_abort(eq->caller);
	else
		hs_reply(eq->caller, status, NULL, NULL, 0);
	eq->caller = NULL;
	eq_free(eq);
}

/* The answer has been handed to the caller whole. */
void eq_finish(struct eq *eq)
{
	int64_t now = clk_boot_us();

	met_increment(&eq->edge->met, MET_ANSWERED);
	if (eq->first_us) {
		met_observe(&eq->edge->met, MET_FIRST_EVENT,
			    eq->first_us - eq->arrived_us);
		met_observe(&eq->edge->met, MET_GAP, eq->gap_us);
	} else {
		met_observe(&eq->edge->met, MET_ANSWER, now - eq->arrived_us);
	}
	eq_log_end(eq, eq->status, "answered");
	eq->caller = NULL;
	eq_free(eq);
}

/*
 * A router that stops takes what still reaches it while the balancer moves
 * callers away.  Where all routers of a data centre stop at once, callers
 * keep coming: a stream that begins late is cut by the kill at the end, and
 * its caller has waited in vain.  It is refused at once instead.
 */
static bool eq_too_late_to_begin(const struct eq *eq, int64_t now)
{
	const struct edge *edge = eq->edge;

	if (!edge->stopping)
		return false;
	return now - edge->stopped_us > EQ_STOP_TAKES_US;
}

static void eq_refuse_early(struct edge *edge, struct hs_conn *conn)
{
	met_increment(&edge->met, MET_REFUSED);
	jlog(LOG_EQ_END, "\"status\":503,\"why\":\"no configuration yet\"");
	hs_reply(conn, 503, "Retry-After: 0.5\r\n", NULL, 0);
}

static struct eq *eq_new(struct edge *edge, struct hs_conn *conn, int64_t now)
{
	struct eq *eq = calloc(1, sizeof(*eq));

	if (!eq)
		return NULL;
	eq->fields = evbuffer_new();
	eq->body = evbuffer_new();
	if (!eq->fields || !eq->body) {
		if (eq->fields)
			evbuffer_free(eq->fields);
		if (eq->body)
			evbuffer_free(eq->body);
		free(eq);
		return NULL;
	}
	eq->edge = edge;
	eq->caller = conn;
	eq->rt = rt_hold(edge->rt);
	eq->arrived_us = now;
	eq->deadline_us = MAG_NEVER;
	pl_request_decode(hs_headers(conn), &eq->asks);
	eq->last_event = eq->asks.last_event;
	cds_list_add_tail(&eq->node, &edge->requests);
	edge->request_count++;
	hs_set_user(conn, eq);
	return eq;
}

/* Finds route, account and service; answers and returns false if it cannot. */
static bool eq_route(struct eq *eq)
{
	int account;

	if (eq->asks.host)
		eq->route =
			rt_find(eq->rt, eq->asks.host, hs_target(eq->caller));
	if (!eq->route) {
		met_increment(&eq->edge->met, MET_NO_ROUTE);
		eq_refuse(eq, 404, EQ_RETRY_NEVER, "no route");
		return false;
	}
	eq->service = eq_service(eq);
	if (!eq->service) {
		eq_refuse(eq, 503, EQ_RETRY_LATER, "route has no service");
		return false;
	}
	if (!eq->rt->has_accounts || eq->route->no_account)
		return true;
	account = eq->asks.key ? rt_account_of(eq->rt, eq->asks.key) : -1;
	if (account < 0) {
		met_increment(&eq->edge->met, MET_NO_KEY);
		eq_refuse(eq, 401, EQ_RETRY_NEVER, "unknown key");
		return false;
	}
	eq->account = eq->rt->accounts[account].name;
	return true;
}

/*
 * Refuses keys while they can't be checked, and requests that crash workers.
 * A key that was taken away while this instance is cut off from the store
 * must stop within the bound; what it knows is too old then.
 */
static bool eq_admit(struct eq *eq, int64_t now)
{
	const struct edge *edge = eq->edge;

	if (eq->account && edge->set.keys_fail_closed &&
	    !attest_trusted(&edge->attest, edge->set.keys_stale_us, now)) {
		eq_refuse(eq, 503, eq_where(eq, now), "keys too old");
		return false;
	}
	eq_fingerprint(eq);
	if (quar_check(edge->quar, eq->print, now) == QUAR_QUARANTINED) {
		met_increment(&eq->edge->met, MET_POISON);
		eq_refuse(eq, 503, EQ_RETRY_NEVER, "crashes workers");
		return false;
	}
	return true;
}

/*
 * Callers of a router that cannot take them go to another one at once; where
 * none can, as in an outage of the store, they would only be refused again.
 */
static enum eq_retry eq_where(const struct eq *eq, int64_t now)
{
	return hint_others_ready(eq->edge->hint, now) ? EQ_RETRY_ELSEWHERE
						      : EQ_RETRY_LATER;
}

/* The same path, caller and body make the same fingerprint. */
static void eq_fingerprint(struct eq *eq)
{
	struct evbuffer *body = hs_body(eq->caller);
	size_t len = evbuffer_get_length(body);
	const char *target = hs_target(eq->caller);
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, sizeof(eq->print));
	crypto_generichash_update(&state, (const unsigned char *)target,
				  strlen(target) + 1);
	if (eq->asks.key)
		crypto_generichash_update(&state,
					  (const unsigned char *)eq->asks.key,
					  strlen(eq->asks.key) + 1);
	if (len > 0)
		crypto_generichash_update(&state, evbuffer_pullup(body, -1),
					  len);
	crypto_generichash_final(&state, eq->print, sizeof(eq->print));
}

/*
 * Sets when the request ends at the latest, and until when it is in time.  A
 * caller cannot make others look late by naming more time than its route has.
 */
static void eq_deadlines(struct eq *eq)
{
	int64_t limit = eq->route->timeout_us;
	int64_t wait = eq->asks.timeout_ms * MAG_US_PER_MS;

	if (wait > 0 && wait < limit)
		limit = wait;
	eq->deadline_us = eq->arrived_us + limit - EQ_ANSWER_MARGIN_US;
	eq->aim_us = eq->arrived_us + eq->route->target_us -
		     age_of(&eq->edge->callers_age, eq->route->name,
			    wait > 0 ? limit : 0, eq->arrived_us);
}

/* Draws the service by the route's weights. */
static const struct rt_service *eq_service(struct eq *eq)
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
	     "\"target_ms\":%d,\"gap_aim_ms\":%d,\"sends\":%d,"
	     "\"may_have_run\":%s,\"config\":%lld,\"config_age_ms\":%d,"
	     "\"worker\":\"%s\"",
	     jlog_sanitize(id, sizeof(id), eq->asks.attempt_id),
	     eq->route ? eq->route->name : "", eq->account ? eq->account : "",
	     status, why, (int)((now - eq->arrived_us) / MAG_US_PER_MS),
	     eq->first_us
		     ? (int)((eq->first_us - eq->arrived_us) / MAG_US_PER_MS)
		     : -1,
	     (int)(eq->gap_us / MAG_US_PER_MS),
	     eq->route ? (int)(eq->route->target_us / MAG_US_PER_MS) : 0,
	     eq->route ? (int)(eq->route->gap_us / MAG_US_PER_MS) : 0,
	     eq->sends, eq->may_have_run ? "true" : "false",
	     (long long)eq->rt->version,
	     (int)((now - eq->edge->attest.fresh_us) / MAG_US_PER_MS),
	     eq->hop_count > 0 ? eq->hops[0].worker->is.id : "");
}

/* Stops what still works for a request and gives everything back. */
static void eq_free(struct eq *eq)
{
	if (eq->call)
		hc_cancel(eq->call);
	eq->call = NULL;
	eq_release(eq);
	cds_list_del(&eq->node);
	eq->edge->request_count--;
	if (eq->caller)
		hs_set_user(eq->caller, NULL);
	evbuffer_free(eq->fields);
	evbuffer_free(eq->body);
	evs_free(&eq->events);
	rt_drop(eq->rt);
	free(eq);
}
