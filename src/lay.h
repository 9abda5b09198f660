#ifndef LAY_H
#define LAY_H

/*
 * Plans which layers each worker holds.  Pure.
 *
 * Load pattern: memory for requests binds at the evening's peak, and any
 * worker, rack or data centre may be lost at that time.  Each data centre
 * therefore holds whole copies of its own where its memory allows, so that
 * its streams stay inside it; within a copy the layers are dealt in
 * proportion to memory, so that all workers of a chain fill at the same
 * number of requests; a hole left by a loss is closed by workers that are
 * empty or, if there are none, by widening the holders beside it.
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
	int want_from; /* out: what it is to hold */
	int want_to;
};

struct lay_model {
	int layers;
	double layer_mb;
};

void lay_plan(const struct lay_model *model, struct lay_card *cards, int count,
	      bool widen);

#endif /* LAY_H */
