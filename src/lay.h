#ifndef LAY_H
#define LAY_H

/*
 * Plans which layers each worker holds.  Pure.
 *
 * Load pattern: at the evening's peak a data centre runs about a hundred
 * streams at once, half as many more when another one loses a worker, and any
 * worker, rack or data centre may be lost at that time.  Each data centre
 * holds whole copies of its own where its memory allows, so that its streams
 * need no slow link.  In a copy the fast cards hold as many layers as leave
 * memory for the streams of that peak, the slow ones the rest: the time of a
 * token is the sum over all layers, and streams that end sooner hold memory
 * for less long.  The memory that slow cards have left holds the layers of
 * the cards beside them, so that the loss of one leaves the copy whole.
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
	bool usable;   /* neither leaving nor thought lost */
	bool moving;   /* an order to it is not carried out yet */
	int want_from; /* out: what it is to hold */
	int want_to;
	int back_from; /* with its neighbours' layers; planner's own */
	int back_to;
};

struct lay_model {
	int layers;
	double layer_mb;
	double token_mb;       /* memory of a token in one layer */
	int places;	       /* requests that a first worker takes at once */
	double request_tokens; /* of one request, in the middle of its life */
};

/* The layer of a data centre that has room for the fewest tokens. */
struct lay_cover {
	int cards; /* that hold layers there */
	int layer;
	int holders; /* of that layer */
	double tokens;
};

void lay_least(const struct lay_model *model, const struct lay_card *cards,
	       int count, int centre, struct lay_cover *cover);
bool lay_is_fresh(const struct lay_card *cards, int count);
void lay_plan(const struct lay_model *model, struct lay_card *cards, int count,
	      bool widen);
void lay_balance(const struct lay_model *model, struct lay_card *cards,
		 int count, bool fresh);
bool lay_has_hole(const struct lay_model *model, const struct lay_card *cards,
		  int count, int centre);
double lay_value(const struct lay_model *model, const struct lay_card *cards,
		 int count, int centre, int *weakest);

#endif /* LAY_H */
