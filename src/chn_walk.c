#include <stdlib.h>
#include <string.h>

#include "chn_int.h"

static int chn_reserve(struct chn_walk *walk, int count);
static void chn_set_boundaries(struct chn_walk *walk);
static void chn_relax(struct chn_walk *walk, int position, int worker);
static double chn_entry_cost(const struct chn_walk *walk, int position,
			     int worker, int *previous_centre);
static bool chn_retains(const struct chn_worker *worker, int from, int to);
static double chn_prefill_cost(const struct chn_worker *worker, int from,
			       int to);
static bool chn_has_room(const struct chn_request *request,
			 const struct chn_worker *worker, int layers);
static int chn_backtrack(const struct chn_walk *walk, int centre,
			 struct chn_chain *chain);
static void chn_merge_repeats(struct chn_chain *chain);

/* Prepares a search over a list of workers. */
int chn_walk_begin(struct chn_walk *walk, const struct chn_request *request,
		   const struct chn_worker *workers, int count)
{
	int i;

	if (request->layers > CHN_LAYERS_MAX || chn_reserve(walk, count))
		return CHN_E_NO_CHAIN;
	walk->request = request;
	walk->workers = workers;
	walk->count = count;
	walk->centres = 1;
	for (i = 0; i < count; i++) {
		if (workers[i].centre >= CHN_CENTRES_MAX)
			return CHN_E_NO_CHAIN;
		if (workers[i].centre >= walk->centres)
			walk->centres = workers[i].centre + 1;
	}
	chn_set_boundaries(walk);
	walk->use_memory = true;
	walk->start = 0;
	walk->start_centre = 0;
	return CHN_OK;
}

/* Makes room for the prices of so many workers. */
static int chn_reserve(struct chn_walk *walk, int count)
{
	double *price;

	if (count <= walk->price_max)
		return CHN_OK;
	price = realloc(walk->price, (size_t)count * sizeof(*price));
	if (!price)
		return CHN_E_NO_CHAIN;
	walk->price = price;
	walk->price_max = count;
	return CHN_OK;
}

/* Hops begin and end only where the range of some worker does. */
static void chn_set_boundaries(struct chn_walk *walk)
{
	int i;

	memset(walk->boundary, 0, sizeof(walk->boundary));
	walk->boundary[0] = true;
	walk->boundary[walk->request->layers] = true;
	for (i = 0; i < walk->count; i++) {
		if (walk->workers[i].to > walk->request->layers)
			continue;
		walk->boundary[walk->workers[i].from] = true;
		walk->boundary[walk->workers[i].to] = true;
	}
}

/* Finds the chain with the least sum of time and weighted memory. */
int chn_walk_solve(struct chn_walk *walk, struct chn_chain *chain)
{
	int layers = walk->request->layers;
	double best = CHN_INFINITE_COST;
	int centre = -1;
	int position;
	int i;

	for (position = 0; position <= layers; position++) {
		for (i = 0; i < walk->centres; i++)
			walk->cheapest[position][i] =
				(struct chn_step){ CHN_INFINITE_COST, -1, 0,
						   -1 };
	}
	if (walk->start > 0)
		walk->cheapest[walk->start][walk->start_centre].cost = 0;
	for (position = walk->start; position < layers; position++) {
		if (!walk->boundary[position])
			continue;
		for (i = 0; i < walk->count; i++) {
			if (walk->workers[i].from <= position &&
			    walk->workers[i].to > position)
				chn_relax(walk, position, i);
		}
	}
	for (i = 0; i < walk->centres; i++) {
		if (walk->cheapest[layers][i].cost < best) {
			best = walk->cheapest[layers][i].cost;
			centre = i;
		}
	}
	if (centre < 0)
		return CHN_E_NO_CHAIN;
	return chn_backtrack(walk, centre, chain);
}

/* Tries every hop of a worker that begins at a position. */
static void chn_relax(struct chn_walk *walk, int position, int worker)
{
	const struct chn_worker *w = &walk->workers[worker];
	double layer_cost = w->layer_us + walk->weight_us * walk->price[worker];
	struct chn_step *step;
	double entry_cost;
	double cost;
	int previous_centre;
	int end;

	entry_cost = chn_entry_cost(walk, position, worker, &previous_centre);
	if (entry_cost >= CHN_INFINITE_COST)
		return;
	for (end = position + 1; end <= w->to && end <= walk->request->layers;
	     end++) {
		if (!walk->boundary[end])
			continue;
		if (walk->use_memory && !chn_retains(w, position, end) &&
		    !chn_has_room(walk->request, w, end - position))
			continue;
		cost = entry_cost + layer_cost * (end - position);
		if (walk->start > 0 || walk->request->price_prefill)
			cost += chn_prefill_cost(w, position, end);
		step = &walk->cheapest[end][w->centre];
		if (cost >= step->cost)
			continue;
		step->cost = cost;
		step->worker = worker;
		step->start = position;
		step->previous_centre = previous_centre;
	}
}

/* Returns the cost of all hops before this one and of the transfer to it. */
static double chn_entry_cost(const struct chn_walk *walk, int position,
			     int worker, int *previous_centre)
{
	const struct chn_request *request = walk->request;
	const struct chn_worker *w = &walk->workers[worker];
	double best = CHN_INFINITE_COST;
	double cost;
	int i;

	*previous_centre = -1;
	if (position == 0) {
		if (w->first_hops_left <= 0)
			return CHN_INFINITE_COST;
		cost = w->entry_us;
		if (request->centre != w->centre)
			cost += request->remote_entry_us;
		return cost;
	}
	for (i = 0; i < walk->centres; i++) {
		cost = walk->cheapest[position][i].cost;
		if (cost >= CHN_INFINITE_COST ||
		    (i != w->centre && !request->may_cross_centres))
			continue;
		cost += i == w->centre ? request->hop_us : request->centre_us;
		if (cost < best) {
			best = cost;
			*previous_centre = i;
		}
	}
	return best;
}

/* Tells whether a worker already runs exactly these layers of the stream. */
static bool chn_retains(const struct chn_worker *worker, int from, int to)
{
	return worker->retained_from == from && worker->retained_to == to;
}

/*
 * Returns the time until a worker has finished the prefill of the stream so far
 * through layers that it does not run yet.
 */
static double chn_prefill_cost(const struct chn_worker *worker, int from,
			       int to)
{
	if (chn_retains(worker, from, to))
		return 0;
	return worker->prefill_backlog_us + worker->prefill_us * (to - from);
}

static bool chn_has_room(const struct chn_request *request,
			 const struct chn_worker *worker, int layers)
{
	return worker->held + request->tokens * layers <=
	       worker->memory * request->memory_limit;
}

/* Follows the hops back from the last one and stores them in order. */
static int chn_backtrack(const struct chn_walk *walk, int centre,
			 struct chn_chain *chain)
{
	struct chn_hop reversed[CHN_LAYERS_MAX];
	const struct chn_step *step;
	int position = walk->request->layers;
	double cost = walk->cheapest[position][centre].cost;
	int count = 0;
	int i;

	chain->crossings = 0;
	chain->memory_price = 0;
	while (position > walk->start) {
		step = &walk->cheapest[position][centre];
		if (step->previous_centre >= 0 &&
		    step->previous_centre != centre)
			chain->crossings++;
		reversed[count].ref = walk->workers[step->worker].ref;
		reversed[count].from = step->start;
		reversed[count].to = position;
		chain->memory_price +=
			walk->price[step->worker] * (position - step->start);
		count++;
		position = step->start;
		centre = step->previous_centre;
	}
	if (count > CHN_HOPS_MAX)
		return CHN_E_NO_CHAIN;
	for (i = 0; i < count; i++)
		chain->hops[i] = reversed[count - 1 - i];
	chain->count = count;
	chain->token_us = cost - walk->weight_us * chain->memory_price;
	chn_merge_repeats(chain);
	return CHN_OK;
}

/*
 * A worker may appear in a chain only once.  Where the cheapest path leaves a
 * worker and returns to it, that worker also runs the layers between: its range
 * has no gaps.
 */
static void chn_merge_repeats(struct chn_chain *chain)
{
	int i;
	int k;

	for (i = 0; i < chain->count; i++) {
		for (k = chain->count - 1; k > i; k--) {
			if (chain->hops[k].ref != chain->hops[i].ref)
				continue;
			chain->hops[i].to = chain->hops[k].to;
			memmove(&chain->hops[i + 1], &chain->hops[k + 1],
				(size_t)(chain->count - k - 1) *
					sizeof(chain->hops[0]));
			chain->count -= k - i;
			break;
		}
	}
}
