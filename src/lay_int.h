#ifndef LAY_INT_H
#define LAY_INT_H

/* What the parts of the planner share. */

#include "lay.h"

#define LAY_CENTRES_MAX 32
#define LAY_CARDS_MAX	4096

/* Tokens for which a card is to have memory. */
double lay_target_tokens(const struct lay_model *model);
/* Layers that fit on a card beside the memory of so many tokens. */
int lay_layers_beside(const struct lay_model *model,
		      const struct lay_card *card, double tokens);
/* The most layers that a card may hold. */
int lay_max_layers(const struct lay_model *model, const struct lay_card *card);

/* Assigns copies over a data centre's cards; returns how many it took. */
int lay_assign_centre(const struct lay_model *model, struct lay_card *cards,
		      int count, int centre);
/* Tells whether every layer is to have a holder in a data centre. */
bool lay_is_complete(const struct lay_model *model,
		     const struct lay_card *cards, int count, int centre);
/* Assigns a data centre anew to close a hole; false if that is not possible. */
bool lay_reassign(const struct lay_model *model, struct lay_card *cards,
		  int count, int centre);

void lay_repair(const struct lay_model *model, struct lay_card *cards,
		int count, bool widen);

#endif /* LAY_INT_H */
