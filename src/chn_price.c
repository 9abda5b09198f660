#include <math.h>

#include "chn_int.h"

/*
 * Price of a full worker's memory: a stream that would hold nothing but full
 * memory counts as if it took so many times as long.
 */
#define CHN_PRICE_FULL 8.0
/* How steeply the price rises: its growth from an empty to a full worker. */
#define CHN_PRICE_GROWTH 64.0

static double chn_layer_us(const struct chn_request *want,
			   const struct chn_worker *worker);
static double chn_scarcity(const struct chn_worker *worker);

/*
 * Sets the price of a layer's memory on each worker.
 *
 * Load pattern: in a rush all memory is taken, and what counts is how many
 * streams it serves in a second.  A stream holds its memory on each worker
 * until its last token, so fast memory behind a slow hop is wasted: it is
 * worth as much more as its streams would be over sooner.  With this price,
 * chains stay among workers of like speed, and slow ones get streams of their
 * own before the fast ones are full.
 */
void chn_price_workers(struct chn_walk *walk)
{
	double layer_us;
	int i;

	walk->fastest_us = CHN_INFINITE_COST;
	for (i = 0; i < walk->count; i++) {
		layer_us = chn_layer_us(walk->request, &walk->workers[i]);
		if (layer_us * walk->request->layers < walk->fastest_us)
			walk->fastest_us = layer_us * walk->request->layers;
	}
	for (i = 0; i < walk->count; i++) {
		layer_us = chn_layer_us(walk->request, &walk->workers[i]);
		walk->price[i] = chn_scarcity(&walk->workers[i]) *
				 walk->fastest_us /
				 (layer_us * walk->request->layers *
				  walk->request->layers);
	}
}

/* Returns what a chain costs: its time, and its memory for that time. */
double chn_price_of_chain(const struct chn_chain *chain)
{
	return chain->token_us * (1 + chain->memory_price);
}

/* Returns a token's time in one layer, its part of the next hop included. */
static double chn_layer_us(const struct chn_request *want,
			   const struct chn_worker *worker)
{
	int held = worker->to - worker->from;

	return worker->layer_us + (held > 0 ? want->hop_us / held : 0);
}

/* Returns the price of memory by how much of it is taken. */
static double chn_scarcity(const struct chn_worker *worker)
{
	double used;

	if (worker->memory <= 0)
		return 0;
	used = worker->held / worker->memory;
	return CHN_PRICE_FULL * (pow(CHN_PRICE_GROWTH, used) - 1) /
	       (CHN_PRICE_GROWTH - 1);
}
