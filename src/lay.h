#ifndef LAY_H
#define LAY_H

/*
 * Plans which layers each worker holds.  A card is a worker as the planner sees
 * it.  Pure.
 *
 * Load pattern: at the evening peak a data centre runs about a hundred streams
 * at once, and half as many more when another data centre loses a worker; any
 * worker, rack or data centre may be lost at that time.  A loss breaks every
 * stream whose chain contains the lost worker, so chains should be short and
 * streams should end soon.  Each data centre therefore holds whole copies of
 * its own where its memory allows it: the first on its fastest cards alone, the
 * next on the fastest cards that are left.  Cards that are too few for another
 * copy hold the layers that the copies hold least of, so that the copies stay
 * whole after a loss.
 */

#include <stdbool.h>

#include "mag.h"

#define LAY_LAYERS_MAX MAG_LAYERS_MAX

struct lay_card {
	int centre; /* data centre, from 0 */
	double memory_mb;
	double step_factor; /* step time relative to the reference */
	int from; /* layers [from, to) that it holds; from == to: none */
	int to;
	bool usable;	    /* neither draining nor considered lost */
	bool order_pending; /* an order to it is not carried out yet */
	bool suspect;	    /* it may be lost, or answer again soon */
	int planned_from;   /* out: layers that it is to hold */
	int planned_to;
};

struct lay_model {
	int layers;
	double layer_mb;
	double token_mb;       /* memory of one token in one layer */
	int slots;	       /* concurrent requests at a first worker */
	double request_tokens; /* of one request, in the middle of its run */
	double layer_us;       /* time of a token in a layer at step factor 1 */
	double hop_us;	       /* between two workers of a data centre */
};

/* The layer of a data centre that has memory for the fewest tokens. */
struct lay_bottleneck {
	int cards; /* cards of the data centre that hold layers */
	int layer;
	int holders; /* cards that hold this layer */
	double tokens;
};

void lay_find_bottleneck(const struct lay_model *model,
			 const struct lay_card *cards, int count, int centre,
			 struct lay_bottleneck *bottleneck);
bool lay_is_empty(const struct lay_card *cards, int count);
void lay_plan(const struct lay_model *model, struct lay_card *cards, int count,
	      bool widen);
void lay_balance(const struct lay_model *model, struct lay_card *cards,
		 int count, bool initial);
bool lay_has_hole(const struct lay_model *model, const struct lay_card *cards,
		  int count, int centre);
double lay_capacity_score(const struct lay_model *model,
			  const struct lay_card *cards, int count, int centre,
			  int *weakest);

#endif /* LAY_H */
