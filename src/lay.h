#ifndef LAY_H
#define LAY_H

/*
 * Plans which layers each worker holds.  Pure.
 *
 * Load pattern: at the evening's peak a data centre runs about a hundred
 * streams at once, half as many more when another one loses a worker, and any
 * worker, rack or data centre may be lost at that time.  A loss breaks every
 * stream whose chain has the lost worker in it, so chains are to be short and
 * streams soon over: each data centre holds whole copies of its own where its
 * memory allows, the first one on its fastest cards alone, the next one on
 * the fastest that are left.  Cards that are too few for another copy hold
 * what the copies hold least of, so that a loss leaves them whole.
 */

#include <stdbool.h>

#include "mag.h"

#define LAY_LAYERS_MAX 256

struct lay_card {
	int centre; /* data centre, from 0 */
	double memory_mb;
	double step_factor; /* time of a step against the reference */
	int from; /* layers [from, to) that it holds, from == to: none */
	int to;
	bool usable;	    /* neither leaving nor thought lost */
	bool order_pending; /* an order to it is not carried out yet */
	bool suspect;	    /* it may be lost, or answer again in a moment */
	int planned_from;   /* out: what it is to hold */
	int planned_to;
};

struct lay_model {
	int layers;
	double layer_mb;
	double token_mb;       /* memory of a token in one layer */
	int slots;	       /* requests that a first worker takes at once */
	double request_tokens; /* of one request, in the middle of its life */
	double layer_us;       /* a token's time in a layer at step factor 1 */
	double hop_us;	       /* between two workers of a data centre */
};

/* The layer of a data centre that has room for the fewest tokens. */
struct lay_bottleneck {
	int cards; /* that hold layers there */
	int layer;
	int holders; /* of that layer */
	double tokens;
};

void lay_find_bottleneck(const struct lay_model *model,
			 const struct lay_card *cards, int count, int centre,
			 struct lay_bottleneck *cover);
bool lay_is_empty(const struct lay_card *cards, int count);
void lay_plan(const struct lay_model *model, struct lay_card *cards, int count,
	      bool widen);
void lay_balance(const struct lay_model *model, struct lay_card *cards,
		 int count, bool fresh);
bool lay_has_hole(const struct lay_model *model, const struct lay_card *cards,
		  int count, int centre);
double lay_capacity_score(const struct lay_model *model,
			  const struct lay_card *cards, int count, int centre,
			  int *weakest);

#endif /* LAY_H */
