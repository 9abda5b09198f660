#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "eq.h"
#include "room.h"

/*
 * Price of a hop from one data centre to another.  Its delay is 1 ms, but all
 * streams share one pipe there, and each stream's prompt alone holds it for
 * 10 ms: beyond some 80 crossings a second every stream waits for the pipe.
 * Priced as several chains' worth of steps, a crossing is taken only where
 * no chain stays inside one data centre.
 */
#define EQ_CENTRE_US 40000
/*
 * Price of a first worker in another data centre: only the stream's own bytes
 * cross there, which the users pay for, so that a whole chain elsewhere goes
 * before a crossing, and a chain at home before both.
 */
#define EQ_AWAY_US 8000
/* Spread of the price of a worker, as a part of it. */
#define EQ_NOISE 0.1
/* How often it is looked whether chains stand: a quarter of what matters. */
#define EQ_COVER_US (250 * MAG_US_PER_MS)

/* What the choice in progress looks at; one thread makes all choices. */
static struct chn_worker eq_list[CHN_WORKERS_MAX];
static struct wk *eq_listed[CHN_WORKERS_MAX];

static bool eq_covered(struct edge *edge, const struct rt_service *service,
		       int64_t now);
static void eq_chain_want(struct eq *eq, struct chn_want *want, int64_t now);
static int eq_chain_workers(struct eq *eq, const struct eq_hop *first,
			    int64_t now);
static void eq_reads(const struct eq *eq, int listed, int layers, int64_t now);
static void eq_change_hops(struct eq *eq, const struct chn_chain *rest,
			   int64_t now);
static void eq_known_load(const struct eq *eq, const struct wk *wk, int64_t now,
			  struct chn_worker *w);
static struct room_request eq_room(const struct eq *eq);
static double eq_handed_bytes(const struct eq *eq, int crossings);
static double eq_read_us(const struct eq *eq,
			 const struct rt_accelerator *kind);
static double eq_noise(struct edge *edge);

/* Takes the cheapest chain that fits. */
enum eq_choice eq_choose_chain(struct eq *eq, int64_t now)
{
	struct edge *edge = eq->edge;
	struct chn_want want;
	struct chn_chain chain;
	int count;
	int rc;
	int i;

	eq_chain_want(eq, &want, now);
	count = eq_chain_workers(eq, NULL, now);
	rc = chn_choose(&want, eq_list, count, &chain);
	if (rc)
		return rc == CHN_E_NONE ? EQ_NO_WORKER : EQ_BUSY;
	edge->crossing_budget_bytes -= eq_handed_bytes(eq, chain.crossings);
	for (i = 0; i < chain.count; i++) {
		eq_reads(eq, chain.hops[i].ref,
			 chain.hops[i].to - chain.hops[i].from, now);
		eq_reserve_hop(eq, eq_listed[chain.hops[i].ref],
			       chain.hops[i].from, chain.hops[i].to);
	}
	return EQ_CHOSEN;
}

/*
 * Replaces the workers behind the first one that the request avoids by now;
 * the others keep their part.  Returns false if no such chain fits.
 */
bool eq_choose_repair(struct eq *eq, int64_t now)
{
	struct edge *edge = eq->edge;
	const struct eq_hop *hop = &eq->hops[0];
	struct chn_first first;
	struct chn_want want;
	struct chn_chain rest;
	int count;

	first.to = hop->to;
	first.centre =
		edge_data_centre_index(edge, hop->worker->is.data_centre);
	eq_chain_want(eq, &want, now);
	count = eq_chain_workers(eq, hop, now);
	if (chn_repair(&want, &first, eq_list, count, &rest) ||
	    rest.count >= CHN_HOPS_MAX)
		return false;
	edge->crossing_budget_bytes -= eq_handed_bytes(eq, rest.crossings);
	eq_change_hops(eq, &rest, now);
	return true;
}

/*
 * Looks now and then whether a chain leads through all layers of each engine
 * service.  A router that is cut off with half a copy of the model would take
 * its data centre's callers and refuse them all; see edge_is_ready.
 */
void eq_coverage_tick(struct edge *edge, int64_t now)
{
	bool stands = true;
	int i;

	if (!edge->rt || now < edge->next_coverage_check_us)
		return;
	edge->next_coverage_check_us = now + EQ_COVER_US;
	for (i = 0; i < edge->rt->service_count; i++) {
		if (edge->rt->services[i].has_engine)
			stands &= eq_covered(edge, &edge->rt->services[i], now);
	}
	edge->was_covered |= stands;
	if (stands)
		edge->uncovered_since_us = 0;
	else if (!edge->uncovered_since_us)
		edge->uncovered_since_us = now;
}

/* Writes the hops of a request down as they go onto the wire. */
int eq_wire_hops(const struct eq *eq, struct wire_hop *hops)
{
	int i;

	for (i = 0; i < eq->hop_count; i++) {
		mag_copy_name(hops[i].address, sizeof(hops[i].address),
			      eq->hops[i].worker->is.address);
		hops[i].from = eq->hops[i].from;
		hops[i].to = eq->hops[i].to;
	}
	return eq->hop_count;
}

/* Writes a chain for the log: each worker and its first layer. */
const char *eq_chain_text(const struct eq *eq, char *dst, size_t size)
{
	size_t len = 0;
	int i;

	dst[0] = '\0';
	for (i = 0; i < eq->hop_count && len < size; i++)
		len += (size_t)snprintf(
			dst + len, size - len, "%s%s@%d", i > 0 ? " " : "",
			eq->hops[i].worker->is.id, eq->hops[i].from);
	return dst;
}

/* Takes a place at a worker and, for layers, memory of it. */
void eq_reserve_hop(struct eq *eq, struct wk *wk, int from, int to)
{
	struct room_request request = eq_room(eq);
	struct eq_hop *hop = &eq->hops[eq->hop_count];

	hop->worker = wk_hold(wk);
	hop->from = from;
	hop->to = to;
	hop->held = to > from ? room_mean_tokens(&request) * (to - from) : 0;
	wk->held += hop->held;
	wk->recent_held += hop->held;
	if (eq->hop_count == 0)
		wk->firsts++;
	eq->hop_count++;
}

/* Tells whether workers that may get new work hold every layer. */
static bool eq_covered(struct edge *edge, const struct rt_service *service,
		       int64_t now)
{
	struct wk *wk;
	int count = 0;

	cds_list_for_each_entry (wk, &edge->workers.workers, node) {
		if (count == CHN_WORKERS_MAX)
			break;
		if (!wk_usable(wk, now) ||
		    strcmp(wk->is.service, service->name) != 0)
			continue;
		eq_list[count].from = wk->layers.from;
		eq_list[count++].to = wk->layers.to;
	}
	return chn_covered(eq_list, count, service->engine.layers);
}

static void eq_chain_want(struct eq *eq, struct chn_want *want, int64_t now)
{
	struct room_request request = eq_room(eq);
	struct edge *edge = eq->edge;

	want->layers = eq->service->engine.layers;
	want->centre = edge_data_centre_index(edge, edge->set.data_centre);
	want->tokens = room_mean_tokens(&request);
	want->hop_us = CHN_HOP_US;
	want->centre_us = EQ_CENTRE_US;
	want->away_us = EQ_AWAY_US;
	want->reads = eq->state == EQ_STREAMING;
	want->yields = eq->last_event < 0 && now >= eq->target_deadline_us;
	want->may_cross =
		edge_may_cross_data_centres(edge, &eq->service->engine, now);
}

/* Returns the bytes that a stream hands on between data centres. */
static double eq_handed_bytes(const struct eq *eq, int crossings)
{
	struct room_request request = eq_room(eq);

	return crossings * room_final_tokens(&request) *
	       eq->service->engine.activation_bytes;
}

/*
 * Lists the workers that may take a part of the request.  For the repair of
 * its chain the first one is left out, and those that keep their part count
 * also while they refuse new requests.
 */
static int eq_chain_workers(struct eq *eq, const struct eq_hop *first,
			    int64_t now)
{
	const struct eq_hop *keeps;
	const struct rt_engine *engine = &eq->service->engine;
	const struct rt_accelerator *kind;
	struct edge *edge = eq->edge;
	struct chn_worker *w;
	struct wk *wk;
	double spare_mb;
	int held;
	int count = 0;

	cds_list_for_each_entry (wk, &edge->workers.workers, node) {
		held = wk->layers.to - wk->layers.from;
		if (count == CHN_WORKERS_MAX)
			break;
		keeps = first ? eq_find_hop(eq, wk) : NULL;
		if (held <= 0 || eq_avoids(eq, wk) ||
		    !(keeps ? wk_alive(wk, now) && !wk->on_trial
			    : wk_usable(wk, now)) ||
		    strcmp(wk->is.service, eq->service->name) != 0)
			continue;
		if (first && wk == first->worker)
			continue;
		kind = rt_find_accelerator(engine, wk->is.kind);
		if (!kind)
			continue;
		w = &eq_list[count];
		eq_listed[count] = wk;
		w->ref = count++;
		w->centre = edge_data_centre_index(edge, wk->is.data_centre);
		w->from = wk->layers.from;
		w->to = wk->layers.to;
		w->layer_us = engine->step_ms * 1000 * kind->step_factor *
			      wk->slowdown * eq_noise(edge) / engine->layers;
		spare_mb = kind->memory_mb - held * engine->layer_mb;
		w->memory = spare_mb * 1e6 * engine->layers /
			    engine->kv_token_bytes;
		eq_known_load(eq, wk, now, w);
		w->keeps_from = keeps ? keeps->from : 0;
		w->keeps_to = keeps ? keeps->to : 0;
		w->read_us = eq_read_us(eq, kind) * wk->slowdown;
		w->backlog_us = wk->read_until_us > now
					? (double)(wk->read_until_us - now)
					: 0;
	}
	return count;
}

/* Returns the part of a request's chain that a worker runs, or NULL. */
const struct eq_hop *eq_find_hop(const struct eq *eq, const struct wk *wk)
{
	int i;

	for (i = 0; i < eq->hop_count; i++) {
		if (eq->hops[i].worker == wk)
			return &eq->hops[i];
	}
	return NULL;
}

/*
 * Returns the worker of a request's chain that has an address, or NULL.  The
 * list may name several at one address, of which the request met this one.
 */
struct wk *eq_worker_at_address(const struct eq *eq, const char *address)
{
	int i;

	for (i = 0; i < eq->hop_count; i++) {
		if (strcmp(eq->hops[i].worker->is.address, address) == 0)
			return eq->hops[i].worker;
	}
	return NULL;
}

/*
 * Notes that a listed worker has a prompt to read through some layers; the
 * other routers of the data centre move as many streams there.
 */
static void eq_reads(const struct eq *eq, int listed, int layers, int64_t now)
{
	struct wk *wk = eq_listed[listed];

	if (wk->read_until_us < now)
		wk->read_until_us = now;
	wk->read_until_us += (int64_t)(eq_list[listed].read_us * layers *
				       edge_routers_per_data_centre(eq->edge));
}

/* Takes the places of a repaired chain, then gives the old ones back. */
static void eq_change_hops(struct eq *eq, const struct chn_chain *rest,
			   int64_t now)
{
	struct eq_hop old[CHN_HOPS_MAX];
	const struct eq_hop *kept;
	const struct chn_hop *hop;
	int count = eq->hop_count;
	struct wk *wk;
	int i;

	memcpy(old, eq->hops, sizeof(old));
	eq->hop_count = 1;
	for (i = 0; i < rest->count; i++) {
		hop = &rest->hops[i];
		wk = eq_listed[hop->ref];
		eq_reserve_hop(eq, wk, hop->from, hop->to);
		kept = &old[0];
		while (kept < &old[count] && kept->worker != wk)
			kept++;
		if (kept < &old[count] && kept->from == hop->from &&
		    kept->to == hop->to)
			continue;
		thr_sent(&wk->thr, now);
		eq_reads(eq, hop->ref, hop->to - hop->from, now);
	}
	for (i = 1; i < count; i++) {
		old[i].worker->held -= old[i].held;
		wk_drop(old[i].worker);
	}
}

/*
 * Fills in what is known of a worker's load.  After a power loss of all routers
 * the engines go on with requests that no router knows of, and refuse what
 * these send for want of memory, so that their own reports count as well.
 */
static void eq_known_load(const struct eq *eq, const struct wk *wk, int64_t now,
			  struct chn_worker *w)
{
	struct room_load known = {
		.own = wk->held,
		.recent = wk->recent_held,
		.peers = wk->peer_held,
		.routers = edge_routers_per_data_centre(eq->edge),
		.reported = wk->reported_held,
		.reported_us = wk->reported_us,
	};
	int firsts = wk->firsts + wk->peer_firsts;

	if (room_is_report_fresh(wk->reported_us, now) &&
	    wk->reported_firsts > firsts)
		firsts = wk->reported_firsts;
	w->held = room_held(&known, now);
	w->firsts_left = wk->is.slots - firsts;
	/* A worker at its rate limit has no room for anything. */
	if (!thr_may_send(&wk->thr, now)) {
		w->memory = 0;
		w->firsts_left = 0;
	}
}

/*
 * Routers know each other's load of a moment ago only: without this all of
 * them would send to the one cheapest chain until they hear that it is full.
 */
static double eq_noise(struct edge *edge)
{
	double draw = (double)(edge_random(edge) % 1000) / 1000;

	return 1 + EQ_NOISE * (draw - 0.5);
}

static struct room_request eq_room(const struct eq *eq)
{
	const struct rt_engine *engine = &eq->service->engine;

	return (struct room_request){
		.prompt = eq->request.prompt_tokens,
		.answer_hint = eq->request.answer_tokens_hint,
		.answer_max = eq->request.answer_tokens_max,
		.usual_prompt = engine->usual_prompt,
		.usual_answer = engine->usual_answer,
	};
}

/*
 * Time in which a worker reads the request's prompt through one layer.  It
 * reads in pieces, a step of the requests that it writes for between them.
 */
static double eq_read_us(const struct eq *eq, const struct rt_accelerator *kind)
{
	const struct rt_engine *engine = &eq->service->engine;
	int prompt = eq->request.prompt_tokens;
	double pieces = 0;
	double ms;

	if (prompt <= 0)
		prompt = engine->usual_prompt;
	if (engine->prefill_chunk_tokens > 0)
		pieces = (double)prompt / engine->prefill_chunk_tokens;
	ms = prompt / engine->prefill_tokens_per_s * 1000 *
	     kind->prefill_factor;
	ms += pieces * engine->step_ms * kind->step_factor;
	return ms * MAG_US_PER_MS / engine->layers;
}
