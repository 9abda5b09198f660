#include <stdlib.h>
#include <string.h>

#include "lay_int.h"

/*
 * Requests for which a copy keeps memory, as a part of a first worker's
 * places.  Fewer layers a card would keep more, but make every chain longer
 * and slower, and slow streams hold their memory for longer.
 */
#define LAY_PEAK 0.7
/* Share of one card's memory that its layers may take at most. */
#define LAY_CARD_SHARE 0.85
/* A chain has at most 32 hops; copies stay below it with some to spare. */
#define LAY_CARDS_A_COPY 26
/* How much less memory for requests is wanted where layers do not fit. */
#define LAY_SHRINK 0.93
#define LAY_STEPS  40

static int lay_assign_all(const struct lay_model *model, struct lay_card *cards,
			  int count);
static int lay_assign_centres(const struct lay_model *model,
			      struct lay_card *cards, int count);
static int lay_assign_group(const struct lay_model *model,
			    struct lay_card **group, int count);
static int lay_assign_copy(const struct lay_model *model,
			   struct lay_card **copy, int count, double wanted);
static void lay_even_out(struct lay_card **copy, int count, int *widths);
static void lay_sort(const struct lay_model *model, struct lay_card **group,
		     int count);
static double lay_layer_cost(const struct lay_model *model,
			     const struct lay_card *card);

/*
 * Sets what each card is to hold.  While nobody holds anything, whole copies
 * are assigned; cards that are left, or that come later, take the layers that
 * lack the most.  If widen is set, holders beside a hole take it over, or a
 * card that others back up moves there.
 */
void lay_plan(const struct lay_model *model, struct lay_card *cards, int count,
	      bool widen)
{
	int i;

	if (model->layers > LAY_LAYERS_MAX || count > LAY_CARDS_MAX)
		return;
	for (i = 0; i < count; i++) {
		cards[i].planned_from = cards[i].from;
		cards[i].planned_to = cards[i].to;
	}
	if (lay_is_empty(cards, count) &&
	    lay_assign_all(model, cards, count) == 0)
		return;
	lay_repair(model, cards, count, widen);
}

/* Finds the layer of a data centre with room for the fewest tokens. */
void lay_find_bottleneck(const struct lay_model *model,
			 const struct lay_card *cards, int count, int centre,
			 struct lay_bottleneck *cover)
{
	double tokens;
	int holders;
	int layer;
	int held;
	int i;

	memset(cover, 0, sizeof(*cover));
	cover->tokens = -1;
	for (i = 0; i < count; i++)
		cover->cards += cards[i].centre == centre &&
				cards[i].from < cards[i].to;
	for (layer = 0; layer < model->layers; layer++) {
		tokens = 0;
		holders = 0;
		for (i = 0; i < count; i++) {
			held = cards[i].to - cards[i].from;
			if (cards[i].centre != centre || !cards[i].usable ||
			    cards[i].from > layer || cards[i].to <= layer)
				continue;
			holders++;
			tokens +=
				(cards[i].memory_mb - held * model->layer_mb) /
				(held * model->token_mb);
		}
		if (cover->tokens >= 0 && tokens >= cover->tokens)
			continue;
		cover->tokens = tokens;
		cover->layer = layer;
		cover->holders = holders;
	}
}

/* Tells whether no card holds any layer. */
bool lay_is_empty(const struct lay_card *cards, int count)
{
	int i;

	for (i = 0; i < count; i++) {
		if (cards[i].from != cards[i].to)
			return false;
	}
	return true;
}

/*
 * Assigns copies in each data centre that has room, and over what is left in
 * all of them; returns how many cards it took.
 */
static int lay_assign_all(const struct lay_model *model, struct lay_card *cards,
			  int count)
{
	struct lay_card *pool[LAY_CARDS_MAX];
	int assigned = lay_assign_centres(model, cards, count);
	double memory = 0;
	int left = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (!cards[i].usable ||
		    cards[i].planned_from != cards[i].planned_to)
			continue;
		pool[left++] = &cards[i];
		memory += cards[i].memory_mb;
	}
	if (left > 0 &&
	    memory * LAY_CARD_SHARE >= model->layers * model->layer_mb)
		assigned += lay_assign_group(model, pool, left);
	return assigned;
}

static int lay_assign_centres(const struct lay_model *model,
			      struct lay_card *cards, int count)
{
	int assigned = 0;
	int centre;

	for (centre = 0; centre < LAY_CENTRES_MAX; centre++)
		assigned += lay_assign_centre(model, cards, count, centre);
	return assigned;
}

/*
 * Assigns whole copies over a data centre's cards, if they have room for one;
 * returns how many cards it took.
 */
int lay_assign_centre(const struct lay_model *model, struct lay_card *cards,
		      int count, int centre)
{
	struct lay_card *group[LAY_CARDS_MAX];
	double memory = 0;
	int size = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (!cards[i].usable || cards[i].centre != centre)
			continue;
		group[size++] = &cards[i];
		memory += cards[i].memory_mb;
	}
	if (memory * LAY_CARD_SHARE < model->layers * model->layer_mb)
		return 0;
	return lay_assign_group(model, group, size);
}

/*
 * Assigns copies one after the other, each over the fastest cards that are
 * left, until these hold no whole one.  Where not even the first copy fits
 * beside the wanted memory for requests, less memory is wanted.  Returns how
 * many cards it took.
 */
static int lay_assign_group(const struct lay_model *model,
			    struct lay_card **group, int count)
{
	double wanted = lay_target_tokens(model);
	int assigned = 0;
	int used;
	int step;

	lay_sort(model, group, count);
	for (step = 0; step < LAY_STEPS && assigned == 0; step++) {
		assigned = lay_assign_copy(model, group, count, wanted);
		if (assigned == 0)
			wanted *= LAY_SHRINK;
	}
	used = assigned;
	while (used > 0 && assigned < count) {
		used = lay_assign_copy(model, group + assigned,
				       count - assigned, wanted);
		assigned += used;
	}
	return assigned;
}

/*
 * Assigns all layers over the first cards of a list; returns how many it took,
 * 0 if the layers do not fit.
 */
static int lay_assign_copy(const struct lay_model *model,
			   struct lay_card **copy, int count, double wanted)
{
	int widths[LAY_CARDS_A_COPY];
	int left = model->layers;
	int position = 0;
	int used = 0;
	int i;

	while (used < count && used < LAY_CARDS_A_COPY && left > 0) {
		widths[used] = lay_layers_beside(model, copy[used], wanted);
		if (widths[used] > left)
			widths[used] = left;
		left -= widths[used];
		used++;
	}
	if (left > 0)
		return 0;
	lay_even_out(copy, used, widths);
	for (i = 0; i < used; i++) {
		copy[i]->planned_from = position;
		position += widths[i];
		copy[i]->planned_to = position;
	}
	/* The last card backs the one before it up with what it has left. */
	copy[used - 1]->planned_from =
		model->layers -
		lay_layers_beside(model, copy[used - 1], wanted);
	if (copy[used - 1]->planned_from < 0)
		copy[used - 1]->planned_from = 0;
	return used;
}

/*
 * Spreads the layers of like cards evenly over them, so that none has less
 * memory for requests than another.
 */
static void lay_even_out(struct lay_card **copy, int count, int *widths)
{
	int first = 0;
	int sum;
	int end;
	int i;

	while (first < count) {
		sum = 0;
		for (end = first;
		     end < count &&
		     copy[end]->step_factor == copy[first]->step_factor &&
		     copy[end]->memory_mb == copy[first]->memory_mb;
		     end++)
			sum += widths[end];
		for (i = first; i < end; i++)
			widths[i] = sum / (end - first) +
				    (i - first < sum % (end - first));
		first = end;
	}
}

/* Returns the tokens for which a card is to have memory. */
double lay_target_tokens(const struct lay_model *model)
{
	return LAY_PEAK * model->slots * model->request_tokens;
}

/* Returns the layers that fit beside the memory of so many tokens. */
int lay_layers_beside(const struct lay_model *model,
		      const struct lay_card *card, double tokens)
{
	int fit = (int)(card->memory_mb /
			(model->layer_mb + tokens * model->token_mb));
	int most = lay_max_layers(model, card);

	return fit < most ? fit : most;
}

/* Returns the most layers that a card may hold. */
int lay_max_layers(const struct lay_model *model, const struct lay_card *card)
{
	return (int)(card->memory_mb * LAY_CARD_SHARE / model->layer_mb);
}

/* Orders cards by what a layer costs on them, equal ones as they came. */
static void lay_sort(const struct lay_model *model, struct lay_card **group,
		     int count)
{
	struct lay_card *card;
	int at;
	int i;

	for (i = 1; i < count; i++) {
		card = group[i];
		for (at = i; at > 0; at--) {
			if (lay_layer_cost(model, group[at - 1]) <=
			    lay_layer_cost(model, card))
				break;
			group[at] = group[at - 1];
		}
		group[at] = card;
	}
}

/*
 * Returns a token's time in one layer of a full card, its part of the way to
 * the next card included: a small card makes a chain longer.
 */
static double lay_layer_cost(const struct lay_model *model,
			     const struct lay_card *card)
{
	int most = lay_max_layers(model, card);

	return card->step_factor * model->layer_us +
	       model->hop_us / (most > 0 ? most : 1);
}
