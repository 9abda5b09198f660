#include <math.h>

#include "chn_int.h"

/*
 * Price of a full worker's memory: a stream that used only full workers would
 * cost as much as one that takes this many times as long.
 */
#define CHN_PRICE_FULL 8.0
/*
 * Steepness of the price: the ratio of its slopes at a full and an empty
 * worker.
 */
#define CHN_PRICE_GROWTH 64.0

static double chn_layer_us(const struct chn_request *request,
			   const struct chn_worker *worker);
static double chn_scarcity(const struct chn_worker *worker);

/*
 * Sets the price of a layer's memory on each worker.
 *
 * Load pattern: during a burst all memory is in use, and the throughput depends
 * on how many streams it serves in a second.  A stream holds its memory on each
 * worker until its last token, so the memory of a fast worker is wasted in a
 * chain with a slow hop.  The price of a worker's memory therefore grows with
 * its speed.  With this price, chains consist of workers of similar speed, and
 * slow workers get streams of their own before the fast ones are full.
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

/* Returns the cost of a chain: its time, and its memory for that time. */
double chn_price_of_chain(const struct chn_chain *chain)
{
	return chain->token_us * (1 + chain->memory_price);
}

/*
 * Returns the time of a token in one layer, including a proportional part of
 * the next hop.
 */
static double chn_layer_us(const struct chn_request *request,
			   const struct chn_worker *worker)
{
	int held = worker->to - worker->from;

	return worker->layer_us + (held > 0 ? request->hop_us / held : 0);
}

/* Returns the price of memory for the part of it that is in use. */
static double chn_scarcity(const struct chn_worker *worker)
{
	double used;

	if (worker->memory <= 0)
		return 0;
	used = worker->held / worker->memory;
	return CHN_PRICE_FULL * (pow(CHN_PRICE_GROWTH, used) - 1) /
	       (CHN_PRICE_GROWTH - 1);
}
