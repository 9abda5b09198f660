#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "eq.h"
#include "room.h"

/*
 * Cost of a hop between two data centres.  Its latency is 1 ms, but all streams
 * share one link there, and the prompt of each stream alone occupies the link
 * for 10 ms: beyond about 80 crossings a second every stream queues for it.
 * The cost equals several chains' worth of steps, so that a chain crosses only
 * if no chain fits inside one data centre.
 */
#define EQ_CROSSING_US 40000
/*
 * Cost of a first worker in another data centre.  Only the stream's own bytes,
 * which the users pay for, cross the link then.  A chain entirely in another
 * data centre is therefore preferred to one that crosses, and a local chain to
 * both.
 */
#define EQ_REMOTE_US 8000
/*
 * Cost of a first worker that begins none of the requests sent to it.  Beyond
 * the time of another send it includes the retry, which other requests lack.
 */
#define EQ_ENTRY_FAILURE_US 40000
/* Random variation of a worker's cost, as a fraction of it. */
#define EQ_COST_VARIATION 0.1
/*
 * Interval between coverage checks: a quarter of the shortest outage that
 * matters.
 */
#define EQ_COVERAGE_US (250 * MAG_US_PER_MS)

/* Candidates of the choice in progress; one thread makes all choices. */
static struct chn_worker *eq_candidates;
static struct wk **eq_candidate_workers;
static int eq_candidates_max;

/* Tells whether a worker is of no use to a request. */
typedef bool (*eq_left_out_fn)(const struct eq *eq, const struct wk *wk);

static int eq_reserve_candidates(const struct edge *edge);
static int64_t eq_covered_at(struct eq *eq, eq_left_out_fn left_out,
			     int64_t now);

static bool eq_is_covered(struct edge *edge, const struct rt_service *service,
			  int64_t now);
static void eq_fill_chain_request(struct eq *eq,
				  struct chn_request *chain_request,
				  int64_t now);
static void eq_update_capacity(struct edge *edge,
			       const struct rt_service *service, int64_t now);
static double eq_worker_memory(const struct rt_engine *engine,
			       const struct rt_accelerator *accelerator,
			       int layers);
static int eq_list_candidates(struct eq *eq, const struct eq_hop *first,
			      eq_usable_fn usable, int64_t now);
static void eq_add_prefill(const struct eq *eq, int index, int layers,
			   int64_t now);
static void eq_replace_hops(struct eq *eq, const struct chn_chain *replacement,
			    int64_t now);
static void eq_known_load(const struct eq *eq, const struct wk *wk, int64_t now,
			  struct chn_worker *w);
static double eq_crossing_bytes(const struct eq *eq, int crossings);
static double eq_prefill_us(const struct eq *eq,
			    const struct rt_accelerator *accelerator);
static double eq_random_factor(struct edge *edge);

/*
 * Chooses the cheapest chain that fits and reserves its hops.  Workers that
 * other routers suspect are used only if there is no chain without them.
 */
enum eq_choice eq_choose_chain(struct eq *eq, int64_t now)
{
	struct edge *edge = eq->edge;
	struct chn_request chain_request;
	struct chn_chain chain;
	int count;
	int all;
	int rc;
	int i;

	eq_update_reserve(eq, now);
	eq_fill_chain_request(eq, &chain_request, now);
	count = eq_list_candidates(eq, NULL, wk_usable, now);
	rc = chn_choose(&chain_request, eq_candidates, count, &chain);
	if (rc) {
		all = eq_list_candidates(eq, NULL, wk_usable_by_own, now);
		if (all > count)
			rc = chn_choose(&chain_request, eq_candidates, all,
					&chain);
	}
	if (rc == CHN_E_NO_CHAIN)
		return EQ_NO_WORKER;
	if (rc)
		return rc == CHN_E_CROSSING ? EQ_NO_CROSSING : EQ_BUSY;
	edge->crossing_budget_bytes -= eq_crossing_bytes(eq, chain.crossings);
	for (i = 0; i < chain.count; i++) {
		eq_add_prefill(eq, chain.hops[i].ref,
			       chain.hops[i].to - chain.hops[i].from, now);
		eq_reserve_hop(eq, eq_candidate_workers[chain.hops[i].ref],
			       chain.hops[i].from, chain.hops[i].to);
	}
	return EQ_CHOSEN;
}

/*
 * Finds replacements for those workers behind the first one that the request
 * now avoids; the others retain their layers.  Returns false if no such chain
 * fits.  Until eq_use_repair, nothing else may be chosen.
 */
bool eq_find_repair(struct eq *eq, struct chn_chain *replacement, int64_t now)
{
	struct edge *edge = eq->edge;
	const struct eq_hop *hop = &eq->attempt->hops[0];
	struct chn_first_hop first;
	struct chn_request chain_request;
	int count;

	first.to = hop->to;
	first.centre =
		edge_data_centre_index(edge, hop->worker->entry.data_centre);
	eq_update_reserve(eq, now);
	eq_fill_chain_request(eq, &chain_request, now);
	count = eq_list_candidates(eq, hop, wk_usable, now);
	return !chn_repair(&chain_request, &first, eq_candidates, count,
			   replacement) &&
	       replacement->count < CHN_HOPS_MAX;
}

/* Replaces the hops of a chain as found. */
void eq_use_repair(struct eq *eq, const struct chn_chain *replacement,
		   int64_t now)
{
	eq->edge->crossing_budget_bytes -=
		eq_crossing_bytes(eq, replacement->crossings);
	eq_replace_hops(eq, replacement, now);
}

/*
 * Returns when the backoffs that workers requested leave enough of them to
 * serve the request; 0, if other reasons keep it from being placed.
 */
int64_t eq_backoff_end(struct eq *eq, int64_t now)
{
	int64_t end_us = eq_covered_at(eq, eq_avoids, now);

	return end_us == MAG_NEVER || end_us <= now ? 0 : end_us;
}

/*
 * Tells whether the workers that refused the request, failed it or broke it off
 * are so many that no router can serve it with the others.
 */
bool eq_is_refused_by_all(struct eq *eq, int64_t now)
{
	return eq_avoids_any_everywhere(eq) &&
	       eq_covered_at(eq, eq_avoids_everywhere, now) == MAG_NEVER &&
	       eq_covered_at(eq, NULL, now) != MAG_NEVER;
}

/*
 * Returns from when on the workers that are alive and not left out hold all
 * layers, or one of a plain service takes requests; MAG_NEVER if they do not.
 */
static int64_t eq_covered_at(struct eq *eq, eq_left_out_fn left_out,
			     int64_t now)
{
	bool engine = eq->service->has_engine;
	struct wk *wk;
	int max = eq_reserve_candidates(eq->edge);
	int count = 0;

	cds_list_for_each_entry (wk, &eq->edge->workers.workers, node) {
		if (count == max)
			break;
		if (!wk_alive(wk, now) || (left_out && left_out(eq, wk)) ||
		    strcmp(wk->entry.service, eq->service->name) != 0 ||
		    (engine && !wk_holds_of(wk, eq->service->engine.layers)))
			continue;
		eq_candidates[count].from = engine ? wk->layers.from : 0;
		eq_candidates[count].to = engine ? wk->layers.to : 1;
		eq_candidates[count++].barred_until_us =
			wk->proc.adv.backoff_until_us;
	}
	return chn_covered_at(eq_candidates, count,
			      engine ? eq->service->engine.layers : 1, now);
}

/*
 * Periodically checks whether every engine service has a chain through all of
 * its layers.  A router that is cut off with part of the model's layers would
 * attract its data centre's callers and refuse them all; see edge_is_ready.
 */
void eq_coverage_tick(struct edge *edge, int64_t now)
{
	bool covered = true;
	int i;

	if (!edge->rt || now < edge->next_coverage_check_us)
		return;
	edge->next_coverage_check_us = now + EQ_COVERAGE_US;
	for (i = 0; i < edge->rt->service_count; i++) {
		if (edge->rt->services[i].has_engine)
			covered &= eq_is_covered(edge, &edge->rt->services[i],
						 now);
		eq_update_capacity(edge, &edge->rt->services[i], now);
	}
	edge->was_covered |= covered;
	if (covered)
		edge->uncovered_since_us = 0;
	else if (!edge->uncovered_since_us)
		edge->uncovered_since_us = now;
}

/*
 * Makes room for all workers as candidates.  Returns for how many there is
 * room: without memory for more, some are not considered.
 */
static int eq_reserve_candidates(const struct edge *edge)
{
	int count = edge->workers.count;
	struct chn_worker *candidates;
	struct wk **workers;

	if (count <= eq_candidates_max)
		return eq_candidates_max;
	candidates =
		realloc(eq_candidates, (size_t)count * sizeof(*candidates));
	if (!candidates)
		return eq_candidates_max;
	eq_candidates = candidates;
	workers = realloc(eq_candidate_workers,
			  (size_t)count * sizeof(struct wk *));
	if (!workers)
		return eq_candidates_max;
	eq_candidate_workers = workers;
	eq_candidates_max = count;
	return count;
}

/* Tells whether the workers that accept new work hold every layer. */
static bool eq_is_covered(struct edge *edge, const struct rt_service *service,
			  int64_t now)
{
	struct wk *wk;
	int max = eq_reserve_candidates(edge);
	int count = 0;

	cds_list_for_each_entry (wk, &edge->workers.workers, node) {
		if (count == max)
			break;
		if (!wk_usable_by_own(wk, now) ||
		    strcmp(wk->entry.service, service->name) != 0 ||
		    !wk_holds_of(wk, service->engine.layers))
			continue;
		eq_candidates[count].from = wk->layers.from;
		eq_candidates[count].to = wk->layers.to;
		eq_candidates[count++].barred_until_us = 0;
	}
	return chn_covers_layers(eq_candidates, count, service->engine.layers);
}

/*
 * Sums up the slots of a service's usable workers, of an engine service only
 * those of workers that begin chains, and their memory for requests.
 */
static void eq_update_capacity(struct edge *edge,
			       const struct rt_service *service, int64_t now)
{
	const struct rt_engine *engine = &service->engine;
	struct edge_service *kept = edge_service(edge, service->name, now);
	const struct room_request usual = {
		.usual_prompt = engine->usual_prompt,
		.usual_answer = engine->usual_answer,
	};
	const struct rt_accelerator *accelerator;
	struct wk *wk;
	double slots = 0;

	kept->capacity = 0;
	cds_list_for_each_entry (wk, &edge->workers.workers, node) {
		if (strcmp(wk->entry.service, service->name) != 0 ||
		    !wk_usable_by_own(wk, now) ||
		    (service->has_engine && !wk_holds_of(wk, engine->layers)))
			continue;
		if (!service->has_engine || wk->layers.from == 0)
			slots += wk->entry.slots;
		accelerator = rt_find_accelerator(engine, wk->entry.kind);
		if (accelerator && wk->layers.to > wk->layers.from)
			kept->capacity += eq_worker_memory(
				engine, accelerator,
				wk->layers.to - wk->layers.from);
	}
	kept->slot_capacity = slots;
	if (service->has_engine)
		kept->slot_capacity *=
			room_mean_tokens(&usual) * engine->layers;
}

/*
 * Returns the memory that a worker has for requests beside its layers, tokens x
 * layers.
 */
static double eq_worker_memory(const struct rt_engine *engine,
			       const struct rt_accelerator *accelerator,
			       int layers)
{
	double spare_mb = accelerator->memory_mb - layers * engine->layer_mb;

	return spare_mb * 1e6 * engine->layers / engine->kv_token_bytes;
}

static void eq_fill_chain_request(struct eq *eq,
				  struct chn_request *chain_request,
				  int64_t now)
{
	struct room_request request = eq_room_request(eq);
	struct edge *edge = eq->edge;

	chain_request->layers = eq->service->engine.layers;
	chain_request->centre =
		edge_data_centre_index(edge, edge->set.data_centre);
	chain_request->tokens = room_mean_tokens(&request);
	chain_request->hop_us = CHN_HOP_US;
	chain_request->centre_us = EQ_CROSSING_US;
	chain_request->remote_entry_us = EQ_REMOTE_US;
	chain_request->price_prefill = eq->state == EQ_STREAMING;
	chain_request->memory_limit = eq_memory_limit(eq, now);
	chain_request->may_cross_centres =
		edge_may_cross_data_centres(edge, &eq->service->engine, now);
}

/* Returns the bytes that a stream transfers between data centres. */
static double eq_crossing_bytes(const struct eq *eq, int crossings)
{
	struct room_request request = eq_room_request(eq);

	return crossings * room_final_tokens(&request) *
	       eq->service->engine.activation_bytes;
}

/*
 * Lists the workers that may run a part of the request.  For a repair the first
 * worker of the chain is left out, and workers that retain their layers are
 * listed even if they accept no new requests.
 */
static int eq_list_candidates(struct eq *eq, const struct eq_hop *first,
			      eq_usable_fn usable, int64_t now)
{
	const struct eq_hop *retained;
	const struct rt_engine *engine = &eq->service->engine;
	const struct rt_accelerator *accelerator;
	struct edge *edge = eq->edge;
	struct chn_worker *w;
	struct wk *wk;
	int max = eq_reserve_candidates(edge);
	int centre;
	int layers;
	int count = 0;

	cds_list_for_each_entry (wk, &edge->workers.workers, node) {
		layers = wk->layers.to - wk->layers.from;
		if (count == max)
			break;
		retained = first ? eq_find_hop(eq, wk) : NULL;
		if (layers <= 0 || !wk_holds_of(wk, engine->layers) ||
		    eq_avoids(eq, wk) ||
		    !(retained ? wk_alive(wk, now) && !wk->proc.suspected
			       : usable(wk, now)) ||
		    strcmp(wk->entry.service, eq->service->name) != 0)
			continue;
		if (first && wk == first->worker)
			continue;
		accelerator = rt_find_accelerator(engine, wk->entry.kind);
		centre = edge_data_centre_index(edge, wk->entry.data_centre);
		if (!accelerator || centre < 0)
			continue;
		w = &eq_candidates[count];
		eq_candidate_workers[count] = wk;
		w->ref = count++;
		w->centre = centre;
		w->from = wk->layers.from;
		w->to = wk->layers.to;
		w->layer_us = engine->step_ms * 1000 *
			      accelerator->step_factor * wk->proc.slowdown *
			      eq_random_factor(edge) / engine->layers;
		w->memory = eq_worker_memory(engine, accelerator, layers);
		eq_known_load(eq, wk, now, w);
		w->retained_from = retained ? retained->from : 0;
		w->retained_to = retained ? retained->to : 0;
		w->prefill_us =
			eq_prefill_us(eq, accelerator) * wk->proc.slowdown;
		w->entry_us =
			EQ_ENTRY_FAILURE_US * wk_entry_failure_rate(wk, now);
		w->prefill_backlog_us =
			wk->proc.prefill_until_us > now
				? (double)(wk->proc.prefill_until_us - now)
				: 0;
	}
	return count;
}

/*
 * Adds the prefill of a prompt through some layers to a candidate's backlog.
 * The other routers of the data centre are assumed to move as many streams
 * there.
 */
static void eq_add_prefill(const struct eq *eq, int index, int layers,
			   int64_t now)
{
	struct wk *wk = eq_candidate_workers[index];

	if (wk->proc.prefill_until_us < now)
		wk->proc.prefill_until_us = now;
	wk->proc.prefill_until_us +=
		(int64_t)(eq_candidates[index].prefill_us * layers *
			  edge_routers_per_data_centre(eq->edge));
}

/* Reserves the hops of a repaired chain, then releases the replaced ones. */
static void eq_replace_hops(struct eq *eq, const struct chn_chain *replacement,
			    int64_t now)
{
	struct eq_hop old[CHN_HOPS_MAX];
	const struct eq_hop *kept;
	const struct chn_hop *hop;
	int count = eq->attempt->hop_count;
	struct wk *wk;
	int i;

	memcpy(old, eq->attempt->hops, sizeof(old));
	eq->attempt->hop_count = 1;
	for (i = 0; i < replacement->count; i++) {
		hop = &replacement->hops[i];
		wk = eq_candidate_workers[hop->ref];
		eq_reserve_hop(eq, wk, hop->from, hop->to);
		kept = &old[0];
		while (kept < &old[count] && kept->worker != wk)
			kept++;
		if (kept < &old[count] && kept->from == hop->from &&
		    kept->to == hop->to)
			continue;
		thr_sent(&wk->proc.adv.thr, now);
		eq_add_prefill(eq, hop->ref, hop->to - hop->from, now);
	}
	for (i = 1; i < count; i++) {
		old[i].worker->held -= old[i].held;
		wk_unref(old[i].worker);
	}
}

/*
 * Fills in the known load of a worker.  After a power loss of all routers the
 * engines continue requests that no router knows of, and refuse new ones for
 * lack of memory; the workers' own reports are therefore counted as well.
 */
static void eq_known_load(const struct eq *eq, const struct wk *wk, int64_t now,
			  struct chn_worker *w)
{
	struct room_load load = {
		.own = wk->held,
		.recent = wk->recent_held,
		.peers = wk->peer_held,
		.routers = edge_routers_per_data_centre(eq->edge),
		.reported = wk->proc.reported_held,
		.reported_us = wk->proc.reported_us,
	};
	double factor = eq_load_factor(eq, now);
	int firsts = (int)ceil((wk->first_hops + wk->peer_first_hops) * factor);

	firsts += eq_unreported_firsts(eq, wk);

	load.peers += (wk->held + wk->peer_held) * (factor - 1);
	if (room_is_report_fresh(wk->proc.reported_us, now) &&
	    wk->proc.reported_first_hops > firsts)
		firsts = wk->proc.reported_first_hops;
	w->held = room_held(&load, now);
	w->first_hops_left = eq_slot_limit(eq, wk->entry.slots) - firsts;
	/* A worker that advertises so accepts nothing. */
	if (!adv_may_send(&wk->proc.adv, ADV_REQUEST, now)) {
		w->memory = 0;
		w->first_hops_left = 0;
	}
}

/*
 * Returns a random cost factor.  Routers know only a slightly outdated load of
 * each other; without the variation all of them would send to the one cheapest
 * chain until they learn that it is full.
 */
static double eq_random_factor(struct edge *edge)
{
	double draw = (double)(edge_random(edge) % 1000) / 1000;

	return 1 + EQ_COST_VARIATION * (draw - 0.5);
}

/*
 * Returns the prefill time of the request's prompt through one layer.  A worker
 * processes the prompt in chunks, with one decode step of its running requests
 * after each chunk.
 */
static double eq_prefill_us(const struct eq *eq,
			    const struct rt_accelerator *accelerator)
{
	const struct rt_engine *engine = &eq->service->engine;
	int prompt = eq->request.prompt_tokens;
	double chunks = 0;
	double ms;

	if (prompt <= 0)
		prompt = engine->usual_prompt;
	if (engine->prefill_chunk_tokens > 0)
		chunks = (double)prompt / engine->prefill_chunk_tokens;
	ms = prompt / engine->prefill_tokens_per_s * 1000 *
	     accelerator->prefill_factor;
	ms += chunks * engine->step_ms * accelerator->step_factor;
	return ms * MAG_US_PER_MS / engine->layers;
}
