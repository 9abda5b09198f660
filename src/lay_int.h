#ifndef LAY_INT_H
#define LAY_INT_H

/* What the parts of the planner share. */

#include "lay.h"

#define LAY_CENTRES_MAX 32
/*
 * Part of the wanted tokens that a card must hold when it has taken over its
 * neighbours' layers: by then streams go to other copies, too.
 */
#define LAY_BACK_UP 0.6

/* Tokens for which a copy is to have memory, beside so many copies. */
double lay_wanted(const struct lay_model *model, int copies);
/* Layers that fit on a card beside the memory of so many tokens. */
int lay_beside(const struct lay_model *model, const struct lay_card *card,
	       double tokens);
/* The most layers that a card may hold. */
int lay_most(const struct lay_model *model, const struct lay_card *card);

void lay_repair(const struct lay_model *model, struct lay_card *cards,
		int count, bool widen);

#endif /* LAY_INT_H */
