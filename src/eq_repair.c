#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "eq.h"
#include "jlog.h"
#include "pl_worker.h"
#include "wkp.h"

/*
 * Load pattern: a worker in the middle of chains dies, and every stream that
 * runs through it stalls.  A stream that is sent again from its last event
 * repeats the prefill of its prompt on all workers of a new chain, at the same
 * time as all the other affected streams.  If the chain is repaired in place,
 * only the replacement worker does the prefill.  The first worker retains the
 * stream and receives the new chain.
 */

/* Repairs of one attempt; a chain that needs more is abandoned. */
#define EQ_REPAIRS_MAX 3
/*
 * Timeout of the repair order.  A first worker that is alive accepts it within
 * a few milliseconds.
 */
#define EQ_REPAIR_ANSWER_US (60 * MAG_US_PER_MS)
/*
 * The first worker counts as alive if it passed an event or answered a probe
 * within this time; it was probed when its stream had been silent for 100 ms.
 * If a whole data centre is cut off, all of its workers fall silent together,
 * and waiting for one of them to accept an order would be useless.
 */
#define EQ_REPAIR_ALIVE_US (120 * MAG_US_PER_MS)

/* A repair order in progress at the first worker. */
struct eq_repair {
	struct eq *eq;
	struct hc_call *call;
	int status;
	struct evbuffer *body;
};

static bool eq_repair_headers(void *user, const struct hc_response *response);
static void eq_repair_body(void *user, const void *bytes, size_t len);
static void eq_repair_end(void *user, enum hc_result end);
static bool eq_is_first_alive(const struct wk *wk, int64_t now);
static bool eq_runs_there_twice(const struct eq *eq);
static struct evbuffer *eq_repair_encode(const struct eq *eq);
static void eq_repair_refused(struct eq *eq, const char *address, int64_t now);
static void eq_repair_free(struct eq_repair *repair);

static const struct hc_ops eq_repair_ops = {
	.headers = eq_repair_headers,
	.body = eq_repair_body,
	.ended = eq_repair_end,
};

/*
 * Replaces a worker behind the first one of a running chain, which the request
 * may have crashed.  Returns false if that is not possible.
 */
bool eq_repair_start(struct eq *eq, struct wk *fault, bool may_have_crashed,
		     int64_t now)
{
	struct chn_chain replacement;
	struct hc_send send = { 0 };
	struct eq_repair *repair;

	if (!eq->attempt->call || eq->repair ||
	    eq->attempt->repairs >= EQ_REPAIRS_MAX || !eq->request.attempt_id ||
	    eq->attempt->hops[0].worker == fault || eq_runs_there_twice(eq) ||
	    !adv_may_send(&eq->attempt->hops[0].worker->proc.adv, ADV_REPAIR,
			  now) ||
	    !eq_is_first_alive(eq->attempt->hops[0].worker, now) ||
	    !hc_host_has_room(eq->attempt->hops[0].worker->host) ||
	    eq_check_quarantine(eq, now) == QUAR_QUARANTINED)
		return false;
	eq_avoid(eq, fault);
	if (!eq_find_repair(eq, &replacement, now))
		return false;
	repair = calloc(1, sizeof(*repair));
	if (!repair)
		return false;
	repair->eq = eq;
	repair->body = evbuffer_new();
	if (!repair->body) {
		free(repair);
		return false;
	}
	if (may_have_crashed)
		eq_add_crash_candidate(eq, fault, now);
	eq_use_repair(eq, &replacement, now);
	send.request = eq_repair_encode(eq);
	send.ops = &eq_repair_ops;
	send.user = repair;
	send.connect_by_us = now + EQ_REPAIR_ANSWER_US;
	send.deadline_us = now + EQ_REPAIR_ANSWER_US;
	if (!send.request || wk_send(eq->attempt->hops[0].worker, ADV_REPAIR,
				     &send, now, &repair->call)) {
		repair->call = NULL;
		eq_repair_free(repair);
		eq->attempt->misrouted = true;
		return false;
	}
	eq->repair = repair;
	eq->attempt->repairs++;
	eq->attempt->repaired_us = now;
	eq->attempt->heard_run_us = run_at(&eq->edge->workers.run, now);
	eq->attempt->longest_run_us = 0;
	eq->attempt->begun_us = 0;
	eq->attempt->ran_well = false;
	return true;
}

/*
 * Tells whether a first worker gave a recent sign of life and is not suspected.
 */
static bool eq_is_first_alive(const struct wk *wk, int64_t now)
{
	if (wk->proc.unresponsive || wk->proc.suspected)
		return false;
	return run_since(&wk->table->run, wk->proc.last_event_run_us, now) <
		       EQ_REPAIR_ALIVE_US ||
	       now - wk->proc.reported_us < EQ_REPAIR_ALIVE_US;
}

/*
 * Tells whether the first worker has a kept attempt, too.  An order names a
 * request, not one of its attempts.
 */
static bool eq_runs_there_twice(const struct eq *eq)
{
	const struct eq_attempt *kept;

	for (kept = eq->kept; kept; kept = kept->earlier) {
		if (kept->hops[0].worker == eq->attempt->hops[0].worker)
			return true;
	}
	return false;
}

/*
 * Abandons a repair.  The worker may still carry out the order, which is
 * harmless.
 */
void eq_repair_cancel(struct eq *eq)
{
	if (!eq->repair)
		return;
	eq_repair_free(eq->repair);
	eq->repair = NULL;
}

static struct evbuffer *eq_repair_encode(const struct eq *eq)
{
	struct wire_hop hops[CHN_HOPS_MAX];
	const struct wire_worker *first = &eq->attempt->hops[0].worker->entry;
	char body[PL_ORDER_MAX];
	int count = eq_wire_hops(eq, hops);

	if (pl_order_repath_encode(body, sizeof(body), eq->request.attempt_id,
				   hops, count))
		return NULL;
	return pl_order_encode(first->address, first->id, body);
}

static bool eq_repair_headers(void *user, const struct hc_response *response)
{
	struct eq_repair *repair = user;
	struct wire_advert advert;

	pl_advert_decode(response->status, response->headers, &advert);
	wkp_apply_advert(repair->eq->edge, repair->eq->attempt->hops[0].worker,
			 &advert, WK_ANSWER_OTHER,
			 repair->eq->attempt->repaired_us);
	repair->status = response->status;
	return true;
}

static void eq_repair_body(void *user, const void *bytes, size_t len)
{
	struct eq_repair *repair = user;

	evbuffer_add(repair->body, bytes, len);
}

static void eq_repair_end(void *user, enum hc_result end)
{
	struct eq_repair *repair = user;
	struct eq *eq = repair->eq;
	char address[MAG_ADDR_MAX] = "";
	char chain[EQ_CHAIN_TEXT];
	char id[WIRE_ID_MAX];
	int64_t now = clk_boot_us();
	int status = end == HC_COMPLETE ? repair->status : 0;

	repair->call = NULL;
	if (status == 409)
		pl_order_refused_worker(
			(char *)evbuffer_pullup(repair->body, -1),
			evbuffer_get_length(repair->body), address,
			sizeof(address));
	jlog(LOG_EQ_REPAIRED,
	     "\"request\":\"%s\",\"worker\":\"%s\",\"hops\":%d,"
	     "\"chain\":\"%s\",\"repair\":%d,\"status\":%d,\"at_fault\":\"%s\","
	     "\"silent_ms\":%d",
	     jlog_sanitize(id, sizeof(id), eq->request.attempt_id),
	     eq->attempt->hops[0].worker->label, eq->attempt->hop_count,
	     eq_chain_text(eq, chain, sizeof(chain)), eq->attempt->repairs,
	     status, address, (int)((now - eq->progress_us) / MAG_US_PER_MS));
	eq->repair = NULL;
	eq_repair_free(repair);
	if (status / 100 == 2) {
		met_increment(&eq->edge->met, MET_REPAIRS);
		return;
	}
	eq_repair_refused(eq, address, now);
}

/*
 * Handles a repair that the first worker refused or did not answer: tries again
 * without the worker at fault, or restarts the stream, at the latest once that
 * is possible.
 */
static void eq_repair_refused(struct eq *eq, const char *address, int64_t now)
{
	struct wk *fault = NULL;

	if (address[0])
		fault = eq_worker_at_address(eq->attempt, address);
	if (fault) {
		wk_on_refusal(fault, now);
		if (eq_repair_start(eq, fault, false, now))
			return;
		eq_avoid(eq, fault);
	}
	/* Otherwise the stream may still flow on its old chain. */
	if (!eq_restart(eq, NULL, "chain not repaired", now))
		eq->attempt->misrouted = true;
}

static void eq_repair_free(struct eq_repair *repair)
{
	if (repair->call)
		hc_cancel(repair->call);
	evbuffer_free(repair->body);
	free(repair);
}
