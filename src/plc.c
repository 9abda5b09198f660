#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "plc_int.h"

#define PLC_LINK_UNKNOWN 1e18 /* tokens a second */

static void plc_fill(struct plc *plc, struct plc_engine *engine, int endpoint);
static int plc_centres(struct plc *plc, const struct cfg_set *set);
static int plc_centre(const struct plc *plc, const char *name);
static void plc_lease_step(struct plc *plc, int64_t now);
static void plc_lease_taken(struct plc *plc, uint64_t fence, int64_t now);
static void plc_start_over(struct plc_engine *engine, int64_t now);
static void plc_lease_lost(struct plc *plc, const char *why, int64_t now);
static void plc_forget_orders(struct plc *plc);
static void plc_ask_states(struct plc *plc, int64_t now);
static void plc_decide(struct plc *plc, int64_t now);
static bool plc_all_read(const struct plc *plc);
static int plc_loads(const struct plc *plc);
static void plc_want(struct plc *plc, const struct plc_move *move,
		     double flow_now, uint32_t gap_now, int64_t now);
static void plc_send(struct plc *plc, struct plc_engine *engine,
		     enum plc_order_kind kind, int64_t now);
static void plc_state_read(struct plc *plc, struct plc_engine *engine,
			   const struct plc_order_result *result, int64_t now);
static void plc_state_taken(struct plc *plc, struct plc_engine *engine,
			    const struct plc_order_result *result);
static void plc_follow_up(struct plc *plc, struct plc_engine *engine,
			  int64_t now);
static void plc_load_done(struct plc *plc, struct plc_engine *engine,
			  const struct plc_order_result *result, int64_t now);

/* Makes the placement of one data centre; NULL when memory is short. */
struct plc *plc_new(const struct plc_settings *settings, int64_t now)
{
	struct plc *plc = calloc(1, sizeof(*plc));

	if (!plc)
		return NULL;
	plc->settings = *settings;
	/*
	 * A restarted instance is another holder: under its old name it would
	 * get its old fencing number again, and could not be told from what
	 * it sent before.
	 */
	snprintf(plc->holder, sizeof(plc->holder), "%s#%llu",
		 settings->instance, (unsigned long long)settings->incarnation);
	plc->lease_due_us = now;
	return plc;
}

/* Frees a placement; NULL is allowed. */
void plc_free(struct plc *plc)
{
	if (!plc)
		return;
	free(plc->engines);
	free(plc->orders);
	free(plc->centres);
	free(plc);
}

/*
 * Takes a new set, which must stay until the next call; what is known of an
 * engine is kept by its name.
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

	if (!engines || !orders || plc_centres(plc, set)) {
		free(engines);
		free(orders);
		return PLC_E_MEMORY;
	}
	plc_forget_orders(plc);
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
		/* Both stand in the order of names, as every set does. */
		while (j < old_count && strcmp(old[j].name, from->name) < 0)
			j++;
		if (j < old_count && strcmp(old[j].name, from->name) == 0)
			*to = old[j];
		plc_fill(plc, to, (int)i);
		plc->engine_count++;
	}
	free(old);
	free(plc->orders);
	plc->orders = orders;
	plc->decide_due_us = now;
	return PLC_OK;
}

/* Notes that an endpoint leaves, or no longer does. */
void plc_note_leaving(struct plc *plc, const char *endpoint, bool leaving)
{
	size_t i;

	for (i = 0; i < plc->engine_count; i++) {
		if (strcmp(plc->engines[i].name, endpoint) == 0)
			plc->engines[i].leaving = leaving;
	}
}

/*
 * Ends the placement of this instance.  The lease is given back only if no
 * order is under way, as its successor would take it for one that has no
 * order in the network; else it lapses.
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
		if (plc->engines[i].running &&
		    plc->engines[i].running_kind == PLC_LOAD)
			plc->drop_pending = false;
	}
}

/* Runs what is due: the lease, questions for states, decisions. */
void plc_tick(struct plc *plc, int64_t now)
{
	if (!plc->settings.enabled || plc->stopping)
		return;
	plc_lease_step(plc, now);
	if (plc->lease != PLC_LEASE_HELD || !plc->set)
		return;
	plc_ask_states(plc, now);
	if (now >= plc->decide_due_us) {
		plc->decide_due_us = now + PLC_DECIDE_US;
		plc_decide(plc, now);
	}
}

/* When plc_tick has something to do next. */
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

/* Gives the next call for the lease. */
bool plc_next_call(struct plc *plc, struct kv_call *call)
{
	bool drop = plc->drop_pending;

	if (!plc->call_pending && !drop)
		return false;
	memset(call, 0, sizeof(*call));
	call->id = drop ? 2 : 1;
	call->op = drop ? KV_LEASE_RELEASE : KV_LEASE_ACQUIRE;
	call->ttl_ms = (uint32_t)(PLC_TTL_US / MAG_US_PER_MS);
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

/* Takes the end of a call; the value stays the caller's. */
int plc_reply(struct plc *plc, const struct kv_reply *reply, int64_t now)
{
	if (reply->id != 1)
		return reply->id == 2 ? PLC_OK : PLC_E_UNKNOWN;
	if (!plc->call_running)
		return PLC_E_UNKNOWN;
	plc->call_running = false;
	plc->lease_due_us = now + PLC_RETRY_US;
	if (reply->status == KV_OK && !plc->stopping)
		plc_lease_taken(plc, reply->version, now);
	else if (reply->status == KV_CONFLICT && plc->lease == PLC_LEASE_HELD)
		plc_lease_lost(plc, "another instance holds it", now);
	return PLC_OK;
}

/* Gives the next order or question for an engine. */
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

/* Takes the end of an order or question. */
int plc_order_done(struct plc *plc, const struct plc_order_result *result,
		   int64_t now)
{
	size_t i;

	for (i = 0; i < plc->engine_count; i++) {
		struct plc_engine *engine = &plc->engines[i];

		if (engine->running != result->id || result->id == 0)
			continue;
		engine->running = 0;
		if (engine->running_kind == PLC_READ_STATE)
			plc_state_read(plc, engine, result, now);
		else
			plc_load_done(plc, engine, result, now);
		return PLC_OK;
	}
	return PLC_E_UNKNOWN;
}

/* Copies what the operators say of an engine. */
static void plc_fill(struct plc *plc, struct plc_engine *engine, int endpoint)
{
	const struct cfg_endpoint *from = &plc->set->endpoints[endpoint];
	const struct cfg_service *service = &plc->set->services[from->service];

	memcpy(engine->name, from->name, MAG_NAME_MAX);
	memcpy(engine->address, from->address, MAG_ADDR_MAX);
	engine->service = from->service;
	engine->centre = plc_centre(plc, from->data_centre);
	engine->own = strcmp(from->data_centre, plc->settings.data_centre) == 0;
	engine->checks_fencing = from->checks_fencing;
	if (from->state == CFG_DRAIN)
		engine->leaving = true;
	engine->declared.first = from->first_layer;
	engine->declared.last = from->last_layer;
	engine->rate = from->tokens_per_s;
	engine->link = PLC_LINK_UNKNOWN;
	if (from->link_bytes_per_s && service->activation_bytes)
		engine->link = (double)from->link_bytes_per_s /
			       service->activation_bytes;
}

/* Numbers the data centres by the first endpoint that names each. */
static int plc_centres(struct plc *plc, const struct cfg_set *set)
{
	const char **centres =
		calloc(set->endpoint_count + 1, sizeof(*centres));
	size_t i;

	if (!centres)
		return PLC_E_MEMORY;
	free(plc->centres);
	plc->centres = centres;
	plc->centre_count = 0;
	for (i = 0; i < set->endpoint_count; i++) {
		const char *name = set->endpoints[i].data_centre;

		if (plc_centre(plc, name) == plc->centre_count)
			centres[plc->centre_count++] = name;
	}
	return PLC_OK;
}

/* Returns the number of a data centre, their count if it has none yet. */
static int plc_centre(const struct plc *plc, const char *name)
{
	int i;

	for (i = 0; i < plc->centre_count; i++) {
		if (strcmp(plc->centres[i], name) == 0)
			break;
	}
	return i;
}

/* Takes, renews or gives up the lease. */
static void plc_lease_step(struct plc *plc, int64_t now)
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
 * Takes the lease or its renewal.  It counts from when the call was made, as
 * the platform may have granted it at any moment since.
 */
static void plc_lease_taken(struct plc *plc, uint64_t fence, int64_t now)
{
	bool renewed = plc->lease == PLC_LEASE_HELD && plc->fence == fence;
	size_t i;

	plc->lease_until_us = plc->lease_call_us + PLC_TTL_US - PLC_MARGIN_US;
	plc->lease_due_us = plc->lease_call_us + PLC_RENEW_US;
	if (renewed)
		return;
	if (plc->lease_until_us <= now)
		return;
	plc->lease = PLC_LEASE_HELD;
	plc->fence = fence;
	/*
	 * An engine that ignores fencing numbers would carry out an order of
	 * the holder before, sent just as its lease ended and delivered late,
	 * on top of this one's.  After this wait all such orders are past
	 * their deadlines.
	 */
	plc->waited_until_us = now + PLC_TTL_US + PLC_ORDER_US + PLC_MARGIN_US;
	for (i = 0; i < plc->engine_count; i++)
		plc_start_over(&plc->engines[i], now);
	plc->decide_due_us = now;
	log_event(LOG_PLC_LEASE, "dc=%s fence=%llu held=1",
		  plc->settings.data_centre, (unsigned long long)fence);
}

/* Forgets an engine's state; an order still under way may yet land. */
static void plc_start_over(struct plc_engine *engine, int64_t now)
{
	if (engine->running && engine->running_kind == PLC_LOAD)
		engine->quiet_until_us = now + PLC_ORDER_US;
	engine->running = 0;
	engine->known = false;
	engine->wanted = false;
	engine->failures = 0;
	engine->next_read_us = now;
}

/* Gives up the lease: from here on nothing is sent. */
static void plc_lease_lost(struct plc *plc, const char *why, int64_t now)
{
	plc->lease = PLC_LEASE_NONE;
	plc_forget_orders(plc);
	plc->lease_due_us = now + PLC_RETRY_US;
	log_event(LOG_PLC_LEASE, "dc=%s fence=%llu held=0 why=\"%s\"",
		  plc->settings.data_centre, (unsigned long long)plc->fence,
		  why);
}

/* Drops what the owner hasn't taken yet. */
static void plc_forget_orders(struct plc *plc)
{
	size_t i;
	size_t j;

	for (i = plc->order_next; i < plc->order_count; i++) {
		for (j = 0; j < plc->engine_count; j++) {
			if (plc->engines[j].running == plc->orders[i].id)
				plc->engines[j].running = 0;
		}
	}
	plc->order_count = 0;
	plc->order_next = 0;
}

/* Asks the engines for their states, each at its time. */
static void plc_ask_states(struct plc *plc, int64_t now)
{
	size_t i;

	for (i = 0; i < plc->engine_count; i++) {
		struct plc_engine *engine = &plc->engines[i];

		if (engine->own && !engine->running &&
		    now >= engine->next_read_us)
			plc_send(plc, engine, PLC_READ_STATE, now);
	}
}

/* Decides on at most one order for each service. */
static void plc_decide(struct plc *plc, int64_t now)
{
	struct plc_move move;
	uint32_t gap = 0;
	double flow = 0;
	size_t i;

	if (!plc_all_read(plc))
		return;
	for (i = 0; i < plc->set->service_count; i++) {
		if (plc->set->services[i].kind != CFG_MODEL ||
		    plc_loads(plc) >= PLC_LOADS_MAX)
			continue;
		if (plc_choose(plc, (int)i, now, &move, &flow, &gap))
			plc_want(plc, &move, flow, gap, now);
	}
}

/* True once each engine's state was read, or its engine found down. */
static bool plc_all_read(const struct plc *plc)
{
	size_t i;

	for (i = 0; i < plc->engine_count; i++) {
		const struct plc_engine *engine = &plc->engines[i];

		if (engine->own && !engine->known &&
		    engine->failures < PLC_FAILURES_MAX)
			return false;
	}
	return true;
}

/* How many loads are due or under way. */
static int plc_loads(const struct plc *plc)
{
	int count = 0;
	size_t i;

	for (i = 0; i < plc->engine_count; i++)
		count += plc->engines[i].own &&
			 (plc->engines[i].wanted || plc->engines[i].loading);
	return count;
}

/* Notes what an engine is to hold; its state is read once more first. */
static void plc_want(struct plc *plc, const struct plc_move *move,
		     double flow_now, uint32_t gap_now, int64_t now)
{
	struct plc_engine *engine = &plc->engines[move->engine];

	engine->wanted = true;
	engine->want = move->range;
	engine->load_until_us = now + PLC_LOAD_US;
	engine->next_read_us = now;
	log_event(LOG_PLC_DECIDED,
		  "engine=%s model=%s layers=%u-%u load=%u uncovered=%u->%u "
		  "flow=%.0f->%.0f",
		  engine->name, plc->set->services[engine->service].name,
		  move->range.first, move->range.last, move->load, gap_now,
		  move->uncovered, flow_now, move->flow);
}

/* Leaves an order or a question for the shell. */
static void plc_send(struct plc *plc, struct plc_engine *engine,
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
	order->first_layer = engine->want.first;
	order->last_layer = engine->want.last;
	order->fence = plc->fence;
	order->send_before_us = plc->lease_until_us;
	order->deadline_us = now + PLC_ORDER_US;
	engine->running = order->id;
	engine->running_kind = kind;
	engine->next_read_us = now + PLC_READ_US;
}

/* Takes an engine's state, and sends the order that waited for it. */
static void plc_state_read(struct plc *plc, struct plc_engine *engine,
			   const struct plc_order_result *result, int64_t now)
{
	if (result->status != PLC_DONE) {
		engine->failures++;
		engine->next_read_us = now + PLC_WATCH_US;
		if (engine->failures == PLC_FAILURES_MAX) {
			engine->wanted = false;
			log_event(LOG_PLC_DOWN, "engine=%s", engine->name);
		}
		return;
	}
	plc_state_taken(plc, engine, result);
	plc_follow_up(plc, engine, now);
}

static void plc_state_taken(struct plc *plc, struct plc_engine *engine,
			    const struct plc_order_result *result)
{
	const char *model = plc->set->services[engine->service].name;

	engine->known = true;
	engine->failures = 0;
	engine->loading = result->loading;
	engine->holds = !result->loading && strcmp(result->model, model) == 0;
	engine->held.first = result->first_layer;
	engine->held.last = result->last_layer;
}

/* Compares the state with what is wanted, and acts on the difference. */
static void plc_follow_up(struct plc *plc, struct plc_engine *engine,
			  int64_t now)
{
	bool there = engine->holds && plc_same(&engine->held, &engine->want);

	if (!engine->wanted)
		return;
	if (there || now >= engine->load_until_us) {
		engine->wanted = false;
		log_event(LOG_PLC_PLACED, "engine=%s layers=%u-%u reached=%d",
			  engine->name, engine->want.first, engine->want.last,
			  there);
		return;
	}
	engine->next_read_us = now + PLC_WATCH_US;
	if (engine->loading || now < engine->quiet_until_us ||
	    plc->lease != PLC_LEASE_HELD || now >= plc->lease_until_us)
		return;
	plc_send(plc, engine, PLC_LOAD, now);
}

/* Takes the end of an order. */
static void plc_load_done(struct plc *plc, struct plc_engine *engine,
			  const struct plc_order_result *result, int64_t now)
{
	engine->next_read_us = now + PLC_WATCH_US;
	engine->quiet_until_us = now + PLC_WATCH_US;
	if (result->status == PLC_LOST)
		engine->quiet_until_us = now + PLC_ORDER_US;
	log_event(LOG_PLC_ORDERED, "engine=%s layers=%u-%u fence=%llu end=%d",
		  engine->name, engine->want.first, engine->want.last,
		  (unsigned long long)plc->fence, (int)result->status);
	/* A higher number exists, so another instance holds the lease. */
	if (result->status == PLC_REFUSED && plc->lease == PLC_LEASE_HELD)
		plc_lease_lost(plc, "an engine knows a higher number", now);
}
