#include <stdlib.h>

#include "lay_int.h"

/* Weight of the deficit in all data centres relative to that in one. */
#define LAY_ALL_CENTRES_WEIGHT 0.05
/*
 * Fraction of the target tokens that a card must still have memory for after it
 * has taken over its neighbours' layers: by then streams also use other copies.
 */
#define LAY_TAKEOVER_FRACTION 0.6
/* Added weight of a layer without a holder; a deficit weighs at most 1. */
#define LAY_HOLE_WEIGHT 10.0
/* Added weight of all layers of a card that no other card backs up. */
#define LAY_UNBACKED_WEIGHT 4.0

static void lay_fill_card(const struct lay_model *model, struct lay_card *cards,
			  int count, struct lay_card *card);
static void lay_weigh_unbacked(const struct lay_model *model,
			       const struct lay_card *cards, int count,
			       int centre, double *unbacked);
static void lay_close_holes(const struct lay_model *model,
			    struct lay_card *cards, int count, int centre);
static void lay_save(const struct lay_card *cards, int count,
		     struct lay_saved_range *saved);
static void lay_restore(struct lay_card *cards, int count,
			const struct lay_saved_range *saved);
static void lay_set_deficits(const struct lay_model *model, double *memory);
static void lay_sum_memory(const struct lay_model *model,
			   const struct lay_card *cards, int count, int centre,
			   double *memory);
static void lay_widen_neighbours(const struct lay_model *model,
				 struct lay_card *cards, int count, int centre);
static void lay_move_redundant_card(const struct lay_model *model,
				    struct lay_card *cards, int count,
				    int centre);
static bool lay_first_hole(const struct lay_model *model,
			   const struct lay_card *cards, int count, int centre,
			   int *from, int *to);
static int lay_nearest_window(const struct lay_model *model,
			      const struct lay_card *card, int from, int to);
static bool lay_can_move(const struct lay_card *cards, int count, int index,
			 int from, int to);

/*
 * Repairs the plan after workers came and went.  Empty cards get the window
 * with the largest deficit.  If widen is set, holes are closed by the cards
 * beside them, or by one that others back up.
 */
void lay_repair(const struct lay_model *model, struct lay_card *cards,
		int count, bool widen)
{
	int centres = lay_count_centres(cards, count);
	int centre;
	int i;

	for (i = 0; i < count; i++) {
		if (cards[i].usable &&
		    cards[i].planned_from == cards[i].planned_to)
			lay_fill_card(model, cards, count, &cards[i]);
	}
	for (centre = 0; widen && centre < centres; centre++) {
		if (lay_has_hole(model, cards, count, centre))
			lay_close_holes(model, cards, count, centre);
	}
}

/*
 * Closes all holes of a data centre or none: a hole that is only made smaller
 * still serves nobody, and costs memory.  The methods are tried in the order of
 * how many layers they load, fewest first.
 */
static void lay_close_holes(const struct lay_model *model,
			    struct lay_card *cards, int count, int centre)
{
	struct lay_saved_range *saved =
		calloc((size_t)count + 1, sizeof(*saved));

	/* Without memory the holes stay until the next plan. */
	if (!saved)
		return;
	lay_save(cards, count, saved);
	lay_widen_neighbours(model, cards, count, centre);
	if (lay_has_hole(model, cards, count, centre)) {
		lay_restore(cards, count, saved);
		lay_move_redundant_card(model, cards, count, centre);
	}
	if (lay_has_hole(model, cards, count, centre)) {
		lay_restore(cards, count, saved);
		if (!lay_reassign(model, cards, count, centre))
			lay_restore(cards, count, saved);
	}
	free(saved);
}

static void lay_save(const struct lay_card *cards, int count,
		     struct lay_saved_range *saved)
{
	int i;

	for (i = 0; i < count; i++) {
		saved[i].from = cards[i].planned_from;
		saved[i].to = cards[i].planned_to;
	}
}

static void lay_restore(struct lay_card *cards, int count,
			const struct lay_saved_range *saved)
{
	int i;

	for (i = 0; i < count; i++) {
		cards[i].planned_from = saved[i].from;
		cards[i].planned_to = saved[i].to;
	}
}

/* Tells whether the plan has a holder for every layer in a data centre. */
bool lay_is_complete(const struct lay_model *model,
		     const struct lay_card *cards, int count, int centre)
{
	double memory[LAY_LAYERS_MAX] = { 0 };
	int i;

	lay_sum_memory(model, cards, count, centre, memory);
	for (i = 0; i < model->layers && memory[i] > 0; i++)
		;
	return i == model->layers;
}

/*
 * Tells whether a data centre whose cards are to hold any layers lacks a holder
 * for some layer.  Before planning, the planned ranges equal those held.
 */
bool lay_has_hole(const struct lay_model *model, const struct lay_card *cards,
		  int count, int centre)
{
	int from;
	int to;

	return lay_first_hole(model, cards, count, centre, &from, &to);
}

/*
 * Gives an empty card the window of layers with the largest deficit in its data
 * centre; the deficit in all data centres decides between equal windows.
 */
static void lay_fill_card(const struct lay_model *model, struct lay_card *cards,
			  int count, struct lay_card *card)
{
	double centre_deficit[LAY_LAYERS_MAX] = { 0 };
	double total_deficit[LAY_LAYERS_MAX] = { 0 };
	double unbacked[LAY_LAYERS_MAX] = { 0 };
	double best = -1;
	double target_tokens = lay_target_tokens(model);
	double deficit;
	int width;
	int start;
	int i;

	if (lay_max_layers(model, card) < 1)
		return;
	width = lay_layers_beside(model, card, target_tokens);
	if (width < 1)
		width = 1;
	if (width > model->layers)
		width = model->layers;
	lay_sum_memory(model, cards, count, card->centre, centre_deficit);
	lay_sum_memory(model, cards, count, -1, total_deficit);
	lay_set_deficits(model, centre_deficit);
	lay_set_deficits(model, total_deficit);
	lay_weigh_unbacked(model, cards, count, card->centre, unbacked);
	for (start = 0; start + width <= model->layers; start++) {
		deficit = 0;
		for (i = start; i < start + width; i++)
			deficit += LAY_HOLE_WEIGHT * (centre_deficit[i] >= 1) +
				   LAY_UNBACKED_WEIGHT * unbacked[i] +
				   centre_deficit[i] +
				   LAY_ALL_CENTRES_WEIGHT * total_deficit[i];
		if (deficit > best) {
			best = deficit;
			card->planned_from = start;
			card->planned_to = start + width;
		}
	}
	/*
	 * A hole that is not closed entirely serves nobody, but a card without
	 * memory for requests serves few.  The rest is left to other cards.
	 */
	width = lay_layers_beside(model, card,
				  target_tokens * LAY_TAKEOVER_FRACTION);
	while (card->planned_to < model->layers &&
	       centre_deficit[card->planned_to] >= 1 &&
	       card->planned_to - card->planned_from < width)
		card->planned_to++;
	while (card->planned_from > 0 &&
	       centre_deficit[card->planned_from - 1] >= 1 &&
	       card->planned_to - card->planned_from < width)
		card->planned_from--;
}

/*
 * Gives each layer with a single holder in a data centre the weight 1/n, where
 * n is the number of layers of that card; other layers get 0.  A window over
 * several narrow cards thus scores more than one over a part of a wide card,
 * which would not keep the loss of that card from breaking the copy.
 */
static void lay_weigh_unbacked(const struct lay_model *model,
			       const struct lay_card *cards, int count,
			       int centre, double *unbacked)
{
	int holders[LAY_LAYERS_MAX] = { 0 };
	int held;
	int i;
	int k;

	for (i = 0; i < count; i++) {
		held = cards[i].planned_to - cards[i].planned_from;
		if (!cards[i].usable || held <= 0 || cards[i].centre != centre)
			continue;
		for (k = cards[i].planned_from; k < cards[i].planned_to; k++) {
			holders[k]++;
			unbacked[k] = 1.0 / held;
		}
	}
	for (k = 0; k < model->layers; k++) {
		if (holders[k] != 1)
			unbacked[k] = 0;
	}
}

/* Turns the memory of each layer into its deficit as a fraction of the mean. */
static void lay_set_deficits(const struct lay_model *model, double *memory)
{
	double mean = 0;
	int i;

	for (i = 0; i < model->layers; i++)
		mean += memory[i] / model->layers;
	for (i = 0; i < model->layers; i++) {
		if (mean <= 0)
			memory[i] = 1;
		else
			memory[i] = memory[i] < mean ? 1 - memory[i] / mean : 0;
		/* Squared: one layer without a holder breaks every chain. */
		memory[i] *= memory[i];
	}
}

/*
 * Sums for each layer the request memory of its holders in one data centre, or
 * in all (centre -1), by the current plan.
 */
static void lay_sum_memory(const struct lay_model *model,
			   const struct lay_card *cards, int count, int centre,
			   double *memory)
{
	double per_layer_mb;
	int held;
	int i;
	int k;

	for (i = 0; i < count; i++) {
		held = cards[i].planned_to - cards[i].planned_from;
		if (!cards[i].usable || held <= 0 ||
		    (centre >= 0 && cards[i].centre != centre))
			continue;
		per_layer_mb =
			(cards[i].memory_mb - held * model->layer_mb) / held;
		for (k = cards[i].planned_from; k < cards[i].planned_to; k++)
			memory[k] += per_layer_mb > 1 ? per_layer_mb : 1;
	}
}

/*
 * Widens the cards beside a hole of a data centre alternately, so that each
 * takes half of it, as far as its memory allows.
 */
static void lay_widen_neighbours(const struct lay_model *model,
				 struct lay_card *cards, int count, int centre)
{
	double memory[LAY_LAYERS_MAX] = { 0 };
	struct lay_card *card;
	int max_layers;
	int position;
	int step;
	bool grew;
	int i;

	lay_sum_memory(model, cards, count, centre, memory);
	for (i = 0; i < model->layers && memory[i] <= 0; i++)
		;
	if (i == model->layers)
		return; /* the data centre holds no layers */
	for (step = 0; step < model->layers; step++) {
		grew = false;
		for (i = 0; i < count; i++) {
			card = &cards[i];
			max_layers = lay_max_layers(model, card);
			if (!card->usable || card->centre != centre ||
			    card->planned_from == card->planned_to ||
			    card->planned_to - card->planned_from >= max_layers)
				continue;
			position = card->planned_to;
			if (position < model->layers && memory[position] <= 0) {
				memory[position] = 1;
				card->planned_to++;
				grew = true;
				continue;
			}
			position = card->planned_from - 1;
			if (position >= 0 && memory[position] <= 0) {
				memory[position] = 1;
				card->planned_from--;
				grew = true;
			}
		}
		if (!grew)
			return;
	}
}

/*
 * Closes a hole that no neighbour can grow into, by moving a card whose layers
 * others of its data centre hold as well.  Of several such cards the one with
 * the fewest layers to load is moved.  Without this, a single permanent loss
 * puts the whole data centre out of service.
 */
static void lay_move_redundant_card(const struct lay_model *model,
				    struct lay_card *cards, int count,
				    int centre)
{
	int best_loads = model->layers + 1;
	int best = -1;
	int best_from = 0;
	int hole_from;
	int hole_to;
	int width;
	int from;
	int loads;
	int i;
	int k;

	if (!lay_first_hole(model, cards, count, centre, &hole_from, &hole_to))
		return;
	for (i = 0; i < count; i++) {
		width = cards[i].planned_to - cards[i].planned_from;
		if (cards[i].centre != centre || !cards[i].usable ||
		    cards[i].from != cards[i].planned_from ||
		    cards[i].to != cards[i].planned_to ||
		    width < hole_to - hole_from)
			continue;
		from = lay_nearest_window(model, &cards[i], hole_from, hole_to);
		if (!lay_can_move(cards, count, i, from, from + width))
			continue;
		loads = 0;
		for (k = from; k < from + width; k++)
			loads += k < cards[i].from || k >= cards[i].to;
		if (loads < best_loads) {
			best_loads = loads;
			best = i;
			best_from = from;
		}
	}
	if (best < 0)
		return;
	width = cards[best].planned_to - cards[best].planned_from;
	cards[best].planned_from = best_from;
	cards[best].planned_to = best_from + width;
}

/* Finds the first run of layers without a planned holder in a data centre. */
static bool lay_first_hole(const struct lay_model *model,
			   const struct lay_card *cards, int count, int centre,
			   int *from, int *to)
{
	double memory[LAY_LAYERS_MAX] = { 0 };
	bool any = false;
	int i;

	lay_sum_memory(model, cards, count, centre, memory);
	for (i = 0; i < model->layers; i++)
		any |= memory[i] > 0;
	for (*from = 0; *from < model->layers && memory[*from] > 0; (*from)++)
		;
	for (*to = *from; *to < model->layers && memory[*to] <= 0; (*to)++)
		;
	return any && *from < model->layers;
}

/* Returns where a card of this width covers a hole, nearest to its place. */
static int lay_nearest_window(const struct lay_model *model,
			      const struct lay_card *card, int from, int to)
{
	int width = card->planned_to - card->planned_from;
	int start = card->planned_from;

	if (start > from)
		start = from;
	if (start + width < to)
		start = to - width;
	if (start + width > model->layers)
		start = model->layers - width;
	return start < 0 ? 0 : start;
}

/* Tells whether others hold all layers that a card would give up. */
static bool lay_can_move(const struct lay_card *cards, int count, int index,
			 int from, int to)
{
	bool held;
	int layer;
	int i;

	for (layer = cards[index].planned_from; layer < cards[index].planned_to;
	     layer++) {
		held = layer >= from && layer < to;
		for (i = 0; i < count && !held; i++)
			held = i != index && cards[i].usable &&
			       cards[i].centre == cards[index].centre &&
			       cards[i].planned_from <= layer &&
			       cards[i].planned_to > layer;
		if (!held)
			return false;
	}
	return true;
}
