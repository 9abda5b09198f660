#ifndef LAY_INT_H
#define LAY_INT_H

/* Declarations shared by the files of lay. */

#include "lay.h"

/* A card's planned range before a tentative change. */
struct lay_saved_range {
	int from;
	int to;
};

/* Tokens that each card should have memory for. */
double lay_target_tokens(const struct lay_model *model);
/* Layers that fit on a card together with the memory of so many tokens. */
int lay_layers_beside(const struct lay_model *model,
		      const struct lay_card *card, double tokens);
/* The maximum of layers that a card may hold. */
int lay_max_layers(const struct lay_model *model, const struct lay_card *card);

/* Returns one more than the highest data centre of the cards. */
int lay_count_centres(const struct lay_card *cards, int count);
/* Plans copies over a data centre's cards; returns how many cards it used. */
int lay_assign_centre(const struct lay_model *model, struct lay_card *cards,
		      int count, int centre);
/* Tells whether the plan has a holder for every layer in a data centre. */
bool lay_is_complete(const struct lay_model *model,
		     const struct lay_card *cards, int count, int centre);
/* Plans a data centre from scratch to close a hole; false if impossible. */
bool lay_reassign(const struct lay_model *model, struct lay_card *cards,
		  int count, int centre);

void lay_repair(const struct lay_model *model, struct lay_card *cards,
		int count, bool widen);

#endif /* LAY_INT_H */
