#include "chn_int.h"

/*
 * Weights of memory against time for the searches, as multiples of the shortest
 * time per token.  They range in a few steps from "only time counts" to "only
 * memory counts".
 */
static const double chn_memory_weights[] = { 0, 0.5, 1, 2, 4, 8, 16 };

/* Below this memory price, searches with other weights gain too little. */
#define CHN_NEGLIGIBLE_PRICE 0.02

static int chn_find_cheapest(struct chn_walk *walk, struct chn_chain *chain);
static bool chn_covers_by(const struct chn_worker *workers, int count,
			  int layers, int64_t at_us);

/*
 * Finds the cheapest chain.  If none fits, the error tells what is missing:
 * holders of a layer, memory, a crossing, or slots at first workers.
 *
 * Load pattern: a worker is lost, and all streams of its data centre restart
 * within milliseconds.  If all went to the single cheapest chain, the last of
 * them would wait for the prefill of all prompts before it.  The price includes
 * the prefill that is queued at each worker, so the streams spread over the
 * chains of all data centres.
 */
int chn_choose(const struct chn_request *request,
	       const struct chn_worker *workers, int count,
	       struct chn_chain *chain)
{
	static struct chn_walk walk;
	struct chn_request crossing = *request;

	if (chn_walk_begin(&walk, request, workers, count))
		return CHN_E_NO_CHAIN;
	if (chn_find_cheapest(&walk, chain) == CHN_OK)
		return CHN_OK;
	if (!chn_covers_layers(workers, count, request->layers))
		return CHN_E_NO_CHAIN;
	walk.use_memory = false;
	if (chn_find_cheapest(&walk, chain) == CHN_OK)
		return CHN_E_MEMORY;
	crossing.may_cross_centres = true;
	walk.request = &crossing;
	return chn_find_cheapest(&walk, chain) == CHN_OK ? CHN_E_CROSSING
							 : CHN_E_SLOTS;
}

/*
 * Finds the cheapest continuation of a chain whose first hop stays.  Workers
 * that retain their layers cost only their time per token; others first
 * prefill the whole stream so far through their layers.  The returned chain
 * begins after the first hop, whose worker must not be in the list.
 *
 * Load pattern: a worker dies, and all streams of a data centre lose the same
 * layers at once.  After a restart every worker of the chain does the prefill
 * of the stream, after a repair only the new worker does.  The prefill queued
 * at a worker is therefore part of its price.
 */
int chn_repair(const struct chn_request *request,
	       const struct chn_first_hop *first,
	       const struct chn_worker *workers, int count,
	       struct chn_chain *chain)
{
	static struct chn_walk walk;

	if (first->to <= 0 || first->to >= request->layers ||
	    first->centre < 0 || first->centre >= CHN_CENTRES_MAX ||
	    chn_walk_begin(&walk, request, workers, count))
		return CHN_E_NO_CHAIN;
	walk.start = first->to;
	walk.start_centre = first->centre;
	if (first->centre >= walk.centres)
		walk.centres = first->centre + 1;
	walk.boundary[first->to] = true;
	return chn_find_cheapest(&walk, chain) == CHN_OK ? CHN_OK
							 : CHN_E_MEMORY;
}

/* Tells whether every layer has a holder. */
bool chn_covers_layers(const struct chn_worker *workers, int count, int layers)
{
	return chn_covers_by(workers, count, layers, INT64_MAX);
}

/*
 * Returns from when on every layer has a holder that is not barred: now, if
 * that is so already, or MAG_NEVER.
 *
 * Load pattern: workers refuse for lack of resources and name the time for
 * which they want nothing.  A request that lacks them until after its time to
 * wait can be refused at once, and its caller told when to return.
 */
int64_t chn_covered_at(const struct chn_worker *workers, int count, int layers,
		       int64_t now)
{
	int64_t at_us = now;
	int64_t next_us;
	int i;

	while (!chn_covers_by(workers, count, layers, at_us)) {
		next_us = MAG_NEVER;
		for (i = 0; i < count; i++) {
			if (workers[i].barred_until_us > at_us &&
			    workers[i].barred_until_us < next_us)
				next_us = workers[i].barred_until_us;
		}
		if (next_us == MAG_NEVER)
			return MAG_NEVER;
		at_us = next_us;
	}
	return at_us;
}

/* Tells whether every layer has a holder that is not barred after a time. */
static bool chn_covers_by(const struct chn_worker *workers, int count,
			  int layers, int64_t at_us)
{
	int position = 0;
	int reach;
	int i;

	while (position < layers) {
		reach = position;
		for (i = 0; i < count; i++) {
			if (workers[i].from <= position &&
			    workers[i].to > reach &&
			    workers[i].barred_until_us <= at_us)
				reach = workers[i].to;
		}
		if (reach == position)
			return false;
		position = reach;
	}
	return true;
}

/*
 * Finds the chain with the least product of its time and the price of the
 * memory that it holds for that time.  A shortest-path search cannot minimise a
 * product, so it finds the least sum of time and memory for several weights of
 * memory; the chain with the least product of these is chosen.
 */
static int chn_find_cheapest(struct chn_walk *walk, struct chn_chain *chain)
{
	struct chn_chain found;
	double best = CHN_INFINITE_COST;
	double cost;
	size_t i;
	int rc;

	chn_price_workers(walk);
	for (i = 0; i < MAG_ARRAY_SIZE(chn_memory_weights); i++) {
		walk->weight_us = chn_memory_weights[i] * walk->fastest_us;
		rc = chn_walk_solve(walk, &found);
		if (rc)
			return rc;
		cost = chn_price_of_chain(&found);
		if (cost < best) {
			best = cost;
			*chain = found;
		}
		if (i == 0 && found.memory_price < CHN_NEGLIGIBLE_PRICE)
			break;
	}
	return CHN_OK;
}
