#include <stdlib.h>
#include <string.h>

#include "lay_int.h"

/*
 * Number of requests that a copy reserves memory for, as a fraction of a first
 * worker's slots.  With fewer layers per card there would be memory for more
 * requests, but all chains would be longer and slower, and slow streams hold
 * their memory for longer.
 */
#define LAY_PEAK_LOAD 0.7
/* Maximum fraction of a card's memory for its layers. */
#define LAY_LAYERS_FRACTION 0.85
/* A chain has at most 32 hops; copies stay below that, with a margin. */
#define LAY_COPY_CARDS_MAX 26
/*
 * Factor, and number of steps, by which the target for request memory is
 * lowered while the layers do not fit.
 */
#define LAY_TARGET_FACTOR 0.93
#define LAY_TARGET_STEPS  40

static int lay_count_layers(const struct lay_model *model, double layers);
static int lay_assign_all(const struct lay_model *model, struct lay_card *cards,
			  int count);
static int lay_assign_centres(const struct lay_model *model,
			      struct lay_card *cards, int count);
static int lay_assign_group(const struct lay_model *model,
			    struct lay_card **group, int count);
static int lay_assign_copy(const struct lay_model *model,
			   struct lay_card **copy, int count,
			   double target_tokens);
static void lay_spread_evenly(struct lay_card **copy, int count, int *widths);
static void lay_sort_by_cost(const struct lay_model *model,
			     struct lay_card **group, int count);
static double lay_layer_cost(const struct lay_model *model,
			     const struct lay_card *card);

/*
 * Plans what each card is to hold.  While no card holds anything, whole copies
 * are planned.  Cards that are left over or come later get the layers with the
 * largest deficit.  If widen is set, holes (layers without a holder) are
 * closed: the cards beside a hole take it over, or a card whose layers others
 * hold as well moves there.
 */
void lay_plan(const struct lay_model *model, struct lay_card *cards, int count,
	      bool widen)
{
	int i;

	if (model->layers > LAY_LAYERS_MAX)
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

/* Finds the layer of a data centre that has memory for the fewest tokens. */
void lay_find_bottleneck(const struct lay_model *model,
			 const struct lay_card *cards, int count, int centre,
			 struct lay_bottleneck *bottleneck)
{
	double tokens;
	int holders;
	int layer;
	int held;
	int i;

	memset(bottleneck, 0, sizeof(*bottleneck));
	bottleneck->tokens = -1;
	for (i = 0; i < count; i++)
		bottleneck->cards += cards[i].centre == centre &&
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
		if (bottleneck->tokens >= 0 && tokens >= bottleneck->tokens)
			continue;
		bottleneck->tokens = tokens;
		bottleneck->layer = layer;
		bottleneck->holders = holders;
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
 * Plans copies in each data centre that has room for one, then over the cards
 * left in all of them together.  Returns how many cards it used.
 */
static int lay_assign_all(const struct lay_model *model, struct lay_card *cards,
			  int count)
{
	struct lay_card **pool =
		calloc((size_t)count + 1, sizeof(struct lay_card *));
	int assigned = lay_assign_centres(model, cards, count);
	double memory = 0;
	int left = 0;
	int i;

	for (i = 0; pool && i < count; i++) {
		if (!cards[i].usable ||
		    cards[i].planned_from != cards[i].planned_to)
			continue;
		pool[left++] = &cards[i];
		memory += cards[i].memory_mb;
	}
	if (left > 0 &&
	    memory * LAY_LAYERS_FRACTION >= model->layers * model->layer_mb)
		assigned += lay_assign_group(model, pool, left);
	free(pool);
	return assigned;
}

/* Returns one more than the highest data centre of the cards. */
int lay_count_centres(const struct lay_card *cards, int count)
{
	int centres = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (cards[i].centre >= centres)
			centres = cards[i].centre + 1;
	}
	return centres;
}

static int lay_assign_centres(const struct lay_model *model,
			      struct lay_card *cards, int count)
{
	int centres = lay_count_centres(cards, count);
	int assigned = 0;
	int centre;

	for (centre = 0; centre < centres; centre++)
		assigned += lay_assign_centre(model, cards, count, centre);
	return assigned;
}

/*
 * Plans whole copies over a data centre's cards if they have room for one.
 * Returns how many cards it used.
 */
int lay_assign_centre(const struct lay_model *model, struct lay_card *cards,
		      int count, int centre)
{
	struct lay_card **group =
		calloc((size_t)count + 1, sizeof(struct lay_card *));
	double memory = 0;
	int assigned = 0;
	int size = 0;
	int i;

	for (i = 0; group && i < count; i++) {
		if (!cards[i].usable || cards[i].centre != centre)
			continue;
		group[size++] = &cards[i];
		memory += cards[i].memory_mb;
	}
	if (size > 0 &&
	    memory * LAY_LAYERS_FRACTION >= model->layers * model->layer_mb)
		assigned = lay_assign_group(model, group, size);
	free(group);
	return assigned;
}

/*
 * Plans one copy after the other, each over the fastest cards that are left,
 * until these have no room for a whole one.  If not even the first copy fits
 * together with the target memory for requests, the target is lowered.  Returns
 * how many cards it used.
 */
static int lay_assign_group(const struct lay_model *model,
			    struct lay_card **group, int count)
{
	double target_tokens = lay_target_tokens(model);
	int assigned = 0;
	int used;
	int step;

	lay_sort_by_cost(model, group, count);
	for (step = 0; step < LAY_TARGET_STEPS && assigned == 0; step++) {
		assigned = lay_assign_copy(model, group, count, target_tokens);
		if (assigned == 0)
			target_tokens *= LAY_TARGET_FACTOR;
	}
	used = assigned;
	while (used > 0 && assigned < count) {
		used = lay_assign_copy(model, group + assigned,
				       count - assigned, target_tokens);
		assigned += used;
	}
	return assigned;
}

/*
 * Plans all layers over the first cards of a list.  Returns how many cards it
 * used, 0 if the layers do not fit.
 */
static int lay_assign_copy(const struct lay_model *model,
			   struct lay_card **copy, int count,
			   double target_tokens)
{
	int widths[LAY_COPY_CARDS_MAX];
	int left = model->layers;
	int position = 0;
	int used = 0;
	int i;

	while (used < count && used < LAY_COPY_CARDS_MAX && left > 0) {
		widths[used] =
			lay_layers_beside(model, copy[used], target_tokens);
		if (widths[used] > left)
			widths[used] = left;
		left -= widths[used];
		used++;
	}
	if (used == 0 || left > 0)
		return 0;
	lay_spread_evenly(copy, used, widths);
	for (i = 0; i < used; i++) {
		copy[i]->planned_from = position;
		position += widths[i];
		copy[i]->planned_to = position;
	}
	/* The last card backs up the one before it with its spare memory. */
	copy[used - 1]->planned_from =
		model->layers -
		lay_layers_beside(model, copy[used - 1], target_tokens);
	if (copy[used - 1]->planned_from < 0)
		copy[used - 1]->planned_from = 0;
	return used;
}

/*
 * Spreads the layers of identical cards evenly over them, so that none has less
 * memory for requests than another.
 */
static void lay_spread_evenly(struct lay_card **copy, int count, int *widths)
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

/* Returns the tokens that each card should have memory for. */
double lay_target_tokens(const struct lay_model *model)
{
	return LAY_PEAK_LOAD * model->slots * model->request_tokens;
}

/* Returns the layers that fit together with the memory of so many tokens. */
int lay_layers_beside(const struct lay_model *model,
		      const struct lay_card *card, double tokens)
{
	int fit = lay_count_layers(
		model,
		card->memory_mb / (model->layer_mb + tokens * model->token_mb));
	int max_layers = lay_max_layers(model, card);

	return fit < max_layers ? fit : max_layers;
}

/*
 * Returns a number of layers as an integer: none below 0, and all of the model
 * for what is more than that or no number.
 */
static int lay_count_layers(const struct lay_model *model, double layers)
{
	if (layers < 0)
		return 0;
	return layers < model->layers ? (int)layers : model->layers;
}

/* Returns the maximum of layers that a card may hold. */
int lay_max_layers(const struct lay_model *model, const struct lay_card *card)
{
	return lay_count_layers(model, card->memory_mb * LAY_LAYERS_FRACTION /
					       model->layer_mb);
}

/* Sorts cards by their cost per layer; the sort is stable. */
static void lay_sort_by_cost(const struct lay_model *model,
			     struct lay_card **group, int count)
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
 * Returns the time of a token in one layer of a full card, including a
 * proportional part of the hop to the next card: small cards make a chain
 * longer.
 */
static double lay_layer_cost(const struct lay_model *model,
			     const struct lay_card *card)
{
	int max_layers = lay_max_layers(model, card);

	return card->step_factor * model->layer_us +
	       model->hop_us / (max_layers > 0 ? max_layers : 1);
}
