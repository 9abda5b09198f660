#include "chn_int.h"

/*
 * Weights of memory against time with which chains are looked for, as parts
 * of the fastest time of a token.  They are a few steps on the way from "only
 * time counts" to "only memory counts".
 */
static const double chn_weights[] = { 0, 0.5, 1, 2, 4, 8, 16 };

/* A price of memory below this changes no choice worth the search. */
#define CHN_NEGLIGIBLE 0.02

static int chn_solve(struct chn_walk *walk, struct chn_chain *chain);

/*
 * Finds the cheapest chain.  If none fits, the error says what was missing:
 * holders, memory or places at first workers.
 *
 * Load pattern: a worker is lost and all streams of its data centre begin
 * anew within milliseconds.  Sent to the one cheapest chain, the last of them
 * waits until all prompts before it are read there; priced with the reading
 * that each worker has before it, they spread over the chains of all data
 * centres.
 */
int chn_choose(const struct chn_request *want, const struct chn_worker *workers,
	       int count, struct chn_chain *chain)
{
	static _Thread_local struct chn_walk walk;

	if (chn_walk_begin(&walk, want, workers, count))
		return CHN_E_NO_CHAIN;
	if (chn_solve(&walk, chain) == CHN_OK)
		return CHN_OK;
	if (!chn_covers_layers(workers, count, want->layers))
		return CHN_E_NO_CHAIN;
	walk.use_memory = false;
	return chn_solve(&walk, chain) == CHN_OK ? CHN_E_MEMORY : CHN_E_SLOTS;
}

/*
 * Finds the cheapest rest of a chain whose first hop stays: workers that keep
 * their part cost a token's time only, others read the whole stream so far
 * through their layers first.  The chain that is returned begins behind the
 * first hop, whose worker must not be in the list.
 *
 * Load pattern: a worker dies and all the streams of a data centre lose the
 * same layers at once.  Begun anew, each of them reads its prompt through
 * every worker; repaired, through the new one only, which is why the reading
 * that a worker already has to do is part of its price.
 */
int chn_repair(const struct chn_request *want,
	       const struct chn_first_hop *first,
	       const struct chn_worker *workers, int count,
	       struct chn_chain *chain)
{
	static _Thread_local struct chn_walk walk;

	if (first->to <= 0 || first->to >= want->layers ||
	    first->centre >= CHN_CENTRES_MAX ||
	    chn_walk_begin(&walk, want, workers, count))
		return CHN_E_NO_CHAIN;
	walk.start = first->to;
	walk.start_centre = first->centre;
	if (first->centre >= walk.centres)
		walk.centres = first->centre + 1;
	walk.boundary[first->to] = true;
	return chn_solve(&walk, chain) == CHN_OK ? CHN_OK : CHN_E_MEMORY;
}

/* Tells whether every layer has a holder. */
bool chn_covers_layers(const struct chn_worker *workers, int count, int layers)
{
	int position = 0;
	int reach;
	int i;

	while (position < layers) {
		reach = position;
		for (i = 0; i < count; i++) {
			if (workers[i].from <= position &&
			    workers[i].to > reach)
				reach = workers[i].to;
		}
		if (reach == position)
			return false;
		position = reach;
	}
	return true;
}

/*
 * Finds the chain that costs callers least: its time, and the memory that it
 * holds for that time.  A product has no shortest path, so the cheapest sums
 * of time and weighted memory are found, and the best product among them.
 */
static int chn_solve(struct chn_walk *walk, struct chn_chain *chain)
{
	struct chn_chain found;
	double best = CHN_INFINITE_COST;
	double cost;
	size_t i;
	int rc;

	chn_price_workers(walk);
	for (i = 0; i < MAG_ARRAY_SIZE(chn_weights); i++) {
		walk->weight_us = chn_weights[i] * walk->fastest_us;
		rc = chn_walk_solve(walk, &found);
		if (rc)
			return rc;
		cost = chn_price_of_chain(&found);
		if (cost < best) {
			best = cost;
			*chain = found;
		}
		if (i == 0 && found.memory_price < CHN_NEGLIGIBLE)
			break;
	}
	return CHN_OK;
}
