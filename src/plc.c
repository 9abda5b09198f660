#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "plc_int.h"

#define PLC_LINK_UNKNOWN 1e18 /* tokens/s; no limit by the link */

static void plc_set_engine(struct plc *plc, struct plc_engine *engine,
			   int endpoint);
static int plc_index_centres(struct plc *plc, const struct cfg_set *set);
static int plc_data_centre_index(const struct plc *plc, const char *name);
static void plc_check_lease(struct plc *plc, int64_t now);
static void plc_lease_granted(struct plc *plc, uint64_t fence, int64_t now);
static void plc_reset_engine(struct plc_engine *engine, int64_t now);
static void plc_lease_lost(struct plc *plc, const char *why, int64_t now);
static void plc_drop_orders(struct plc *plc);
static void plc_request_states(struct plc *plc, int64_t now);
static void plc_decide(struct plc *plc, int64_t now);
static bool plc_all_states_known(const struct plc *plc);
static int plc_load_count(const struct plc *plc);
static void plc_schedule_load(struct plc *plc,
			      const struct plc_candidate *candidate,
			      double flow_now, uint32_t uncovered_now,
			      int64_t now);
static void plc_queue_order(struct plc *plc, struct plc_engine *engine,
			    enum plc_order_kind kind, int64_t now);
static void plc_handle_state(struct plc *plc, struct plc_engine *engine,
			     const struct plc_order_result *result,
			     int64_t now);
static void plc_store_state(struct plc *plc, struct plc_engine *engine,
			    const struct plc_order_result *result);
static void plc_check_target(struct plc *plc, struct plc_engine *engine,
			     int64_t now);
static void plc_load_done(struct plc *plc, struct plc_engine *engine,
			  const struct plc_order_result *result, int64_t now);

/* Creates the placement of one data centre; returns NULL if out of memory. */
struct plc *plc_new(const struct plc_settings *settings, int64_t now)
{
	struct plc *plc = calloc(1, sizeof(*plc));

	if (!plc)
		return NULL;
	plc->settings = *settings;
	/*
	 * The incarnation makes a restarted instance a different lease holder.
	 * Under the same name it would receive its old fencing number again,
	 * and engines could not tell its orders from those that it sent before
	 * the restart.
	 */
	snprintf(plc->holder, sizeof(plc->holder), "%s#%llu",
		 settings->instance, (unsigned long long)settings->incarnation);
	plc->lease_due_us = now;
	return plc;
}

/* Frees a placement; NULL is a no-op. */
void plc_free(struct plc *plc)
{
	if (!plc)
		return;
	free(plc->engines);
	free(plc->orders);
	free(plc->data_centres);
	free(plc);
}

/*
 * Applies a new set, which must remain valid until the next call.  The state
 * of an engine is carried over by its name.
 */
int plc_config(struct plc *plc, const struct cfg_set *set, int64_t now)
{
	struct plc_engine *engines =
		calloc(set->endpoint_count + 1, sizeof(*engines));
	struct plc_order *orders =
		calloc(set->endpoint_count + 1, sizeof(*orders));
	struct plc_engine *old;
	size_t old_count = plc->engine_count;
	size_t i;
	size_t j = 0;

	if (!engines || !orders || plc_index_centres(plc, set)) {
		free(engines);
		free(orders);
		return PLC_E_MEMORY;
	}
	plc_drop_orders(plc);
	old = plc->engines;
	plc->set = set;
	plc->engines = engines;
	plc->engine_count = 0;
	for (i = 0; i < set->endpoint_count; i++) {
		const struct cfg_endpoint *from = &set->endpoints[i];
		struct plc_engine *to = &engines[plc->engine_count];

		if (set->service_count == 0 ||
		    set->services[from->service].kind != CFG_MODEL)
			continue;
		/* Both are sorted by name, as in every set. */
		while (j < old_count && strcmp(old[j].name, from->name) < 0)
			j++;
		if (j < old_count && strcmp(old[j].name, from->name) == 0)
			*to = old[j];
		plc_set_engine(plc, to, (int)i);
		plc->engine_count++;
	}
	free(old);
	free(plc->orders);
	plc->orders = orders;
	plc->decide_due_us = now;
	return PLC_OK;
}

/* Records whether an endpoint is leaving. */
void plc_note_leaving(struct plc *plc, const char *endpoint, bool leaving)
{
	size_t i;

	for (i = 0; i < plc->engine_count; i++) {
		if (strcmp(plc->engines[i].name, endpoint) == 0)
			plc->engines[i].leaving = leaving;
	}
}

/*
 * Stops placement in this instance.  The lease is released only if no order
 * is in flight: the next holder relies on a released lease to have no order
 * left in the network.  Otherwise the lease expires.
 */
void plc_stop(struct plc *plc, int64_t now)
{
	size_t i;

	if (plc->stopping)
		return;
	plc->stopping = true;
	if (plc->lease != PLC_LEASE_HELD)
		return;
	plc_lease_lost(plc, "stopping", now);
	plc->drop_pending = true;
	for (i = 0; i < plc->engine_count; i++) {
		if (plc->engines[i].pending_id &&
		    plc->engines[i].pending_kind == PLC_LOAD)
			plc->drop_pending = false;
	}
}

/* Runs what is due: lease calls, state requests and placement decisions. */
void plc_tick(struct plc *plc, int64_t now)
{
	if (!plc->settings.enabled || plc->stopping)
		return;
	plc_check_lease(plc, now);
	if (plc->lease != PLC_LEASE_HELD || !plc->set)
		return;
	plc_request_states(plc, now);
	if (now >= plc->decide_due_us) {
		plc->decide_due_us = now + PLC_DECIDE_PERIOD_US;
		plc_decide(plc, now);
	}
}

/* Returns when plc_tick is due next. */
int64_t plc_next_deadline(const struct plc *plc)
{
	int64_t next = MAG_NEVER;

	if (!plc->settings.enabled || plc->stopping)
		return MAG_NEVER;
	if (!plc->call_running)
		next = plc->lease_due_us;
	if (plc->lease != PLC_LEASE_HELD)
		return next;
	if (plc->lease_until_us < next)
		next = plc->lease_until_us;
	if (plc->decide_due_us < next && plc->engine_count > 0)
		next = plc->decide_due_us;
	return next;
}

/* Returns the next lease call that the caller must make, if any. */
bool plc_next_call(struct plc *plc, struct kv_call *call)
{
	bool drop = plc->drop_pending;

	if (!plc->call_pending && !drop)
		return false;
	memset(call, 0, sizeof(*call));
	call->id = drop ? 2 : 1;
	call->op = drop ? KV_LEASE_RELEASE : KV_LEASE_ACQUIRE;
	call->ttl_ms = (uint32_t)(PLC_LEASE_TTL_US / MAG_US_PER_MS);
	snprintf(call->key, sizeof(call->key), "place/%s",
		 plc->settings.data_centre);
	call->value = strdup(plc->holder);
	call->len = call->value ? strlen(call->value) : 0;
	if (drop)
		plc->drop_pending = false;
	else
		plc->call_pending = false;
	return true;
}

/* Handles the reply to a lease call; the caller still owns the value. */
int plc_reply(struct plc *plc, const struct kv_reply *reply, int64_t now)
{
	if (reply->id != 1)
		return reply->id == 2 ? PLC_OK : PLC_E_UNKNOWN;
	if (!plc->call_running)
		return PLC_E_UNKNOWN;
	plc->call_running = false;
	plc->lease_due_us = now + PLC_LEASE_RETRY_US;
	if (reply->status == KV_OK && !plc->stopping)
		plc_lease_granted(plc, reply->version, now);
	else if (reply->status == KV_CONFLICT && plc->lease == PLC_LEASE_HELD)
		plc_lease_lost(plc, "another instance holds it", now);
	return PLC_OK;
}

/* Returns the next order or state request to send to an engine. */
bool plc_next_order(struct plc *plc, struct plc_order *order)
{
	if (plc->order_next == plc->order_count) {
		plc->order_next = 0;
		plc->order_count = 0;
		return false;
	}
	*order = plc->orders[plc->order_next++];
	return true;
}

/* Handles the result of an order or a state request. */
int plc_order_done(struct plc *plc, const struct plc_order_result *result,
		   int64_t now)
{
	size_t i;

	for (i = 0; i < plc->engine_count; i++) {
		struct plc_engine *engine = &plc->engines[i];

		if (engine->pending_id != result->id || result->id == 0)
			continue;
		engine->pending_id = 0;
		if (engine->pending_kind == PLC_READ_STATE)
			plc_handle_state(plc, engine, result, now);
		else
			plc_load_done(plc, engine, result, now);
		return PLC_OK;
	}
	return PLC_E_UNKNOWN;
}

/* Copies the configuration of an engine. */
static void plc_set_engine(struct plc *plc, struct plc_engine *engine,
			   int endpoint)
{
	const struct cfg_endpoint *from = &plc->set->endpoints[endpoint];
	const struct cfg_service *service = &plc->set->services[from->service];

	memcpy(engine->name, from->name, MAG_NAME_MAX);
	memcpy(engine->address, from->address, MAG_ADDR_MAX);
	engine->service = from->service;
	engine->data_centre = plc_data_centre_index(plc, from->data_centre);
	engine->local =
		strcmp(from->data_centre, plc->settings.data_centre) == 0;
	engine->checks_fencing = from->checks_fencing;
	if (from->state == CFG_DRAIN)
		engine->leaving = true;
	engine->declared.first = from->first_layer;
	engine->declared.last = from->last_layer;
	engine->tokens_per_s = from->tokens_per_s;
	engine->link_tokens_per_s = PLC_LINK_UNKNOWN;
	if (from->link_bytes_per_s && service->activation_bytes)
		engine->link_tokens_per_s = (double)from->link_bytes_per_s /
					    service->activation_bytes;
}

/* Numbers the data centres in the order in which endpoints name them. */
static int plc_index_centres(struct plc *plc, const struct cfg_set *set)
{
	const char **data_centres =
		calloc(set->endpoint_count + 1, sizeof(*data_centres));
	size_t i;

	if (!data_centres)
		return PLC_E_MEMORY;
	free(plc->data_centres);
	plc->data_centres = data_centres;
	plc->data_centre_count = 0;
	for (i = 0; i < set->endpoint_count; i++) {
		const char *name = set->endpoints[i].data_centre;

		if (plc_data_centre_index(plc, name) == plc->data_centre_count)
			data_centres[plc->data_centre_count++] = name;
	}
	return PLC_OK;
}

/* Returns a data centre's index, or their count if it has none yet. */
static int plc_data_centre_index(const struct plc *plc, const char *name)
{
	int i;

	for (i = 0; i < plc->data_centre_count; i++) {
		if (strcmp(plc->data_centres[i], name) == 0)
			break;
	}
	return i;
}

/* Gives up an expired lease, and calls for a new one or a renewal when due. */
static void plc_check_lease(struct plc *plc, int64_t now)
{
	if (plc->lease == PLC_LEASE_HELD && now >= plc->lease_until_us)
		plc_lease_lost(plc, "not renewed in time", now);
	if (plc->call_running || now < plc->lease_due_us)
		return;
	plc->call_running = true;
	plc->call_pending = true;
	plc->lease_call_us = now;
}

/*
 * Handles a granted or renewed lease.  Its time runs from the moment of the
 * call, as the platform may have granted it at any time since then.
 */
static void plc_lease_granted(struct plc *plc, uint64_t fence, int64_t now)
{
	bool renewed = plc->lease == PLC_LEASE_HELD && plc->fence == fence;
	size_t i;

	plc->lease_until_us =
		plc->lease_call_us + PLC_LEASE_TTL_US - PLC_CLOCK_MARGIN_US;
	plc->lease_due_us = plc->lease_call_us + PLC_LEASE_RENEW_US;
	if (renewed)
		return;
	if (plc->lease_until_us <= now)
		return;
	plc->lease = PLC_LEASE_HELD;
	plc->fence = fence;
	/*
	 * The previous holder may have sent an order just as its lease ended,
	 * and an engine that ignores fencing numbers would carry it out late,
	 * after an order of this instance.  After this wait all such orders
	 * are past their deadlines.
	 */
	plc->handover_until_us = now + PLC_LEASE_TTL_US + PLC_ORDER_TIMEOUT_US +
				 PLC_CLOCK_MARGIN_US;
	for (i = 0; i < plc->engine_count; i++)
		plc_reset_engine(&plc->engines[i], now);
	plc->decide_due_us = now;
	log_event(LOG_PLC_LEASE, "dc=%s fence=%llu held=1",
		  plc->settings.data_centre, (unsigned long long)fence);
}

/* Resets an engine's state; an order in flight may still take effect. */
static void plc_reset_engine(struct plc_engine *engine, int64_t now)
{
	if (engine->pending_id && engine->pending_kind == PLC_LOAD)
		engine->no_order_until_us = now + PLC_ORDER_TIMEOUT_US;
	engine->pending_id = 0;
	engine->state_known = false;
	engine->load_due = false;
	engine->failures = 0;
	engine->next_read_us = now;
}

/* Gives up the lease: no order is sent from now on. */
static void plc_lease_lost(struct plc *plc, const char *why, int64_t now)
{
	plc->lease = PLC_LEASE_NONE;
	plc_drop_orders(plc);
	plc->lease_due_us = now + PLC_LEASE_RETRY_US;
	log_event(LOG_PLC_LEASE, "dc=%s fence=%llu held=0 why=\"%s\"",
		  plc->settings.data_centre, (unsigned long long)plc->fence,
		  why);
}

/* Drops the orders that the caller hasn't fetched yet. */
static void plc_drop_orders(struct plc *plc)
{
	size_t i;
	size_t j;

	for (i = plc->order_next; i < plc->order_count; i++) {
		for (j = 0; j < plc->engine_count; j++) {
			if (plc->engines[j].pending_id == plc->orders[i].id)
				plc->engines[j].pending_id = 0;
		}
	}
	plc->order_count = 0;
	plc->order_next = 0;
}

/* Queues a state request for each engine whose next one is due. */
static void plc_request_states(struct plc *plc, int64_t now)
{
	size_t i;

	for (i = 0; i < plc->engine_count; i++) {
		struct plc_engine *engine = &plc->engines[i];

		if (engine->local && !engine->pending_id &&
		    now >= engine->next_read_us)
			plc_queue_order(plc, engine, PLC_READ_STATE, now);
	}
}

/* Decides on at most one order per service. */
static void plc_decide(struct plc *plc, int64_t now)
{
	struct plc_candidate candidate;
	uint32_t uncovered = 0;
	double flow = 0;
	size_t i;

	if (!plc_all_states_known(plc))
		return;
	for (i = 0; i < plc->set->service_count; i++) {
		if (plc->set->services[i].kind != CFG_MODEL ||
		    plc_load_count(plc) >= PLC_LOADS_MAX)
			continue;
		if (plc_choose_order(plc, (int)i, now, &candidate, &flow,
				     &uncovered))
			plc_schedule_load(plc, &candidate, flow, uncovered,
					  now);
	}
}

/* True once each local engine has reported its state or is down. */
static bool plc_all_states_known(const struct plc *plc)
{
	size_t i;

	for (i = 0; i < plc->engine_count; i++) {
		const struct plc_engine *engine = &plc->engines[i];

		if (engine->local && !engine->state_known &&
		    engine->failures < PLC_FAILURES_MAX)
			return false;
	}
	return true;
}

/* Returns how many loads are due or in progress. */
static int plc_load_count(const struct plc *plc)
{
	int count = 0;
	size_t i;

	for (i = 0; i < plc->engine_count; i++)
		count += plc->engines[i].local &&
			 (plc->engines[i].load_due || plc->engines[i].loading);
	return count;
}

/* Sets an engine's target range; its state is read again before the order. */
static void plc_schedule_load(struct plc *plc,
			      const struct plc_candidate *candidate,
			      double flow_now, uint32_t uncovered_now,
			      int64_t now)
{
	struct plc_engine *engine = &plc->engines[candidate->engine];

	engine->load_due = true;
	engine->target = candidate->range;
	engine->load_until_us = now + PLC_LOAD_TIMEOUT_US;
	engine->next_read_us = now;
	log_event(LOG_PLC_DECIDED,
		  "engine=%s model=%s layers=%u-%u load=%u uncovered=%u->%u "
		  "flow=%.0f->%.0f",
		  engine->name, plc->set->services[engine->service].name,
		  candidate->range.first, candidate->range.last,
		  candidate->layers_to_load, uncovered_now,
		  candidate->uncovered, flow_now, candidate->flow);
}

/* Queues an order or a state request for the caller to send. */
static void plc_queue_order(struct plc *plc, struct plc_engine *engine,
			    enum plc_order_kind kind, int64_t now)
{
	struct plc_order *order = &plc->orders[plc->order_count];

	if (plc->order_count > plc->engine_count)
		return;
	plc->order_count++;
	memset(order, 0, sizeof(*order));
	order->id = ++plc->next_id;
	order->kind = kind;
	memcpy(order->endpoint, engine->name, MAG_NAME_MAX);
	memcpy(order->address, engine->address, MAG_ADDR_MAX);
	memcpy(order->model, plc->set->services[engine->service].name,
	       MAG_NAME_MAX);
	order->first_layer = engine->target.first;
	order->last_layer = engine->target.last;
	order->fence = plc->fence;
	order->send_before_us = plc->lease_until_us;
	order->deadline_us = now + PLC_ORDER_TIMEOUT_US;
	engine->pending_id = order->id;
	engine->pending_kind = kind;
	engine->next_read_us = now + PLC_STATE_POLL_US;
}

/* Handles the reply to a state request, and queues an order that is due. */
static void plc_handle_state(struct plc *plc, struct plc_engine *engine,
			     const struct plc_order_result *result, int64_t now)
{
	if (result->status != PLC_DONE) {
		engine->failures++;
		engine->next_read_us = now + PLC_LOADING_POLL_US;
		if (engine->failures == PLC_FAILURES_MAX) {
			engine->load_due = false;
			log_event(LOG_PLC_DOWN, "engine=%s", engine->name);
		}
		return;
	}
	plc_store_state(plc, engine, result);
	plc_check_target(plc, engine, now);
}

static void plc_store_state(struct plc *plc, struct plc_engine *engine,
			    const struct plc_order_result *result)
{
	const char *model = plc->set->services[engine->service].name;

	engine->state_known = true;
	engine->failures = 0;
	engine->loading = result->loading;
	engine->holds = !result->loading && strcmp(result->model, model) == 0;
	engine->held.first = result->first_layer;
	engine->held.last = result->last_layer;
}

/* Compares the state with the target, and queues an order if they differ. */
static void plc_check_target(struct plc *plc, struct plc_engine *engine,
			     int64_t now)
{
	bool reached = engine->holds &&
		       plc_range_equal(&engine->held, &engine->target);

	if (!engine->load_due)
		return;
	if (reached || now >= engine->load_until_us) {
		engine->load_due = false;
		log_event(LOG_PLC_PLACED, "engine=%s layers=%u-%u reached=%d",
			  engine->name, engine->target.first,
			  engine->target.last, reached);
		return;
	}
	engine->next_read_us = now + PLC_LOADING_POLL_US;
	if (engine->loading || now < engine->no_order_until_us ||
	    plc->lease != PLC_LEASE_HELD || now >= plc->lease_until_us)
		return;
	plc_queue_order(plc, engine, PLC_LOAD, now);
}

/* Handles the result of an order. */
static void plc_load_done(struct plc *plc, struct plc_engine *engine,
			  const struct plc_order_result *result, int64_t now)
{
	engine->next_read_us = now + PLC_LOADING_POLL_US;
	engine->no_order_until_us = now + PLC_LOADING_POLL_US;
	if (result->status == PLC_NO_ANSWER)
		engine->no_order_until_us = now + PLC_ORDER_TIMEOUT_US;
	log_event(LOG_PLC_ORDERED, "engine=%s layers=%u-%u fence=%llu end=%d",
		  engine->name, engine->target.first, engine->target.last,
		  (unsigned long long)plc->fence, (int)result->status);
	/* Only a later holder of the lease can have a higher number. */
	if (result->status == PLC_REFUSED && plc->lease == PLC_LEASE_HELD)
		plc_lease_lost(
			plc, "an engine has seen a higher fencing number", now);
}
