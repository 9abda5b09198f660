#include <string.h>

#include "lay_int.h"

/*
 * Load pattern: workers are permanently lost, removed or replaced, until some
 * layer of a data centre has a single holder.  All streams of the data centre
 * pass through that card.  They wait for its memory, or for a slot if it is the
 * only first worker, while other layers have three holders, and the next loss
 * breaks all of them.  Balancing moves a card there from the layers that are
 * held most.
 */

/*
 * Weight of the capacity after the worst single loss, relative to the present
 * capacity: a loss happens a few times a day, the load is always there.
 */
#define LAY_LOSS_WEIGHT 0.5
/* Largest change of a card's width in a move, in layers. */
#define LAY_RESIZE_MAX 2
/*
 * Minimum gain of a move, as a fraction of the present capacity.  In an initial
 * plan no layers are loaded yet.  Later a move takes a holder away until its
 * requests have ended and the new layers are loaded, some seconds.
 */
#define LAY_GAIN_INITIAL 0.02
#define LAY_GAIN	 0.2
/* Maximum of moves per data centre in an initial plan; each takes a pass. */
#define LAY_MOVES_INITIAL 16

/* Memory of a data centre's cards for each layer, in tokens. */
struct lay_tally {
	double sum[LAY_LAYERS_MAX];
	double largest[LAY_LAYERS_MAX];	       /* of the card with the most */
	double second_largest[LAY_LAYERS_MAX]; /* of the next one */
	int largest_card[LAY_LAYERS_MAX]; /* the one with the most; -1: none */
};

struct lay_best_move {
	double value;
	int card;
	int from;
	int to;
};

static bool lay_make_best_move(const struct lay_model *model,
			       struct lay_card *cards, int count, int centre,
			       double gain, bool initial);
static void lay_tally_centre(const struct lay_model *model,
			     const struct lay_card *cards, int count,
			     int centre, struct lay_tally *tally);
static void lay_tally_add(struct lay_tally *tally, int layer, int card,
			  double tokens);
static double lay_score(const struct lay_model *model,
			const struct lay_tally *tally, int *weakest);
static double lay_score_after_move(const struct lay_model *model,
				   const struct lay_tally *tally,
				   const struct lay_card *current,
				   const struct lay_card *moved, int index);
static void lay_try_card(const struct lay_model *model,
			 const struct lay_tally *tally,
			 const struct lay_card *cards, int index, int weakest,
			 double required, struct lay_best_move *best);
static bool lay_is_settled(const struct lay_card *cards, int count, int centre);
static bool lay_holds(const struct lay_card *card, int layer);
static double lay_layer_tokens(const struct lay_model *model,
			       const struct lay_card *card, int layer);
static bool lay_can_spare(const struct lay_model *model,
			  const struct lay_tally *tally,
			  const struct lay_card *current,
			  const struct lay_card *moved, double required);

/*
 * Returns the capacity of a data centre: the tokens of its bottleneck layer,
 * plus a fraction of the least that is left of any layer after the loss of one
 * card.
 */
double lay_capacity_score(const struct lay_model *model,
			  const struct lay_card *cards, int count, int centre,
			  int *weakest)
{
	struct lay_tally tally;

	lay_tally_centre(model, cards, count, centre, &tally);
	return lay_score(model, &tally, weakest);
}

/*
 * Moves cards to the layers where their data centres have the least capacity.
 * In an initial plan this continues while it helps; later it moves one card at
 * a time, and only in data centres where all orders are carried out.
 */
void lay_balance(const struct lay_model *model, struct lay_card *cards,
		 int count, bool initial)
{
	double gain = initial ? LAY_GAIN_INITIAL : LAY_GAIN;
	int moves = initial ? LAY_MOVES_INITIAL : 1;
	int centres = lay_count_centres(cards, count);
	int centre;
	int i;

	for (centre = 0; centre < centres; centre++) {
		if (!initial && !lay_is_settled(cards, count, centre))
			continue;
		for (i = 0; i < moves; i++) {
			if (!lay_make_best_move(model, cards, count, centre,
						gain, initial))
				break;
		}
	}
}

/* Makes the move of one card that gains the most; false if none does. */
static bool lay_make_best_move(const struct lay_model *model,
			       struct lay_card *cards, int count, int centre,
			       double gain, bool initial)
{
	struct lay_best_move best = { 0, -1, 0, 0 };
	struct lay_tally tally;
	double value;
	int weakest;
	int i;

	lay_tally_centre(model, cards, count, centre, &tally);
	value = lay_score(model, &tally, &weakest);
	if (value <= 0)
		return false;
	best.value = value * (1 + gain);
	for (i = 0; i < count; i++) {
		if (cards[i].centre == centre && cards[i].usable &&
		    cards[i].planned_from < cards[i].planned_to)
			lay_try_card(model, &tally, cards, i, weakest,
				     initial ? 0 : value, &best);
	}
	if (best.card < 0)
		return false;
	cards[best.card].planned_from = best.from;
	cards[best.card].planned_to = best.to;
	return true;
}

static void lay_tally_centre(const struct lay_model *model,
			     const struct lay_card *cards, int count,
			     int centre, struct lay_tally *tally)
{
	int i;
	int k;

	memset(tally, 0, sizeof(*tally));
	for (k = 0; k < LAY_LAYERS_MAX; k++)
		tally->largest_card[k] = -1;
	for (i = 0; i < count; i++) {
		if (cards[i].centre != centre || !cards[i].usable)
			continue;
		for (k = cards[i].planned_from; k < cards[i].planned_to; k++)
			lay_tally_add(tally, k, i,
				      lay_layer_tokens(model, &cards[i], k));
	}
}

static void lay_tally_add(struct lay_tally *tally, int layer, int card,
			  double tokens)
{
	tally->sum[layer] += tokens;
	if (tally->largest_card[layer] < 0 || tokens > tally->largest[layer]) {
		tally->second_largest[layer] = tally->largest[layer];
		tally->largest[layer] = tokens;
		tally->largest_card[layer] = card;
	} else if (tokens > tally->second_largest[layer]) {
		tally->second_largest[layer] = tokens;
	}
}

/* Scores the present holders; weakest is the layer that needs a holder most. */
static double lay_score(const struct lay_model *model,
			const struct lay_tally *tally, int *weakest)
{
	double least = -1;
	double least_after_loss = -1;
	double lowest = -1;
	double after_loss;
	double combined;
	int k;

	*weakest = 0;
	for (k = 0; k < model->layers; k++) {
		after_loss = tally->sum[k] - tally->largest[k];
		combined = tally->sum[k] + LAY_LOSS_WEIGHT * after_loss;
		if (least < 0 || tally->sum[k] < least)
			least = tally->sum[k];
		if (least_after_loss < 0 || after_loss < least_after_loss)
			least_after_loss = after_loss;
		if (lowest < 0 || combined < lowest) {
			lowest = combined;
			*weakest = k;
		}
	}
	return least + LAY_LOSS_WEIGHT * least_after_loss;
}

/* Scores the holders as they would be after the move of one card. */
static double lay_score_after_move(const struct lay_model *model,
				   const struct lay_tally *tally,
				   const struct lay_card *current,
				   const struct lay_card *moved, int index)
{
	double least = -1;
	double least_after_loss = -1;
	double largest;
	double tokens;
	double sum;
	int k;

	for (k = 0; k < model->layers; k++) {
		sum = tally->sum[k];
		if (lay_holds(current, k))
			sum -= lay_layer_tokens(model, current, k);
		largest = tally->largest_card[k] == index
				  ? tally->second_largest[k]
				  : tally->largest[k];
		if (lay_holds(moved, k)) {
			tokens = lay_layer_tokens(model, moved, k);
			sum += tokens;
			if (tokens > largest)
				largest = tokens;
		}
		if (least < 0 || sum < least)
			least = sum;
		if (least_after_loss < 0 || sum - largest < least_after_loss)
			least_after_loss = sum - largest;
	}
	return least + LAY_LOSS_WEIGHT * least_after_loss;
}

/*
 * Tries all windows of one card that contain the weakest layer.  The other
 * cards must have memory for at least required tokens in the layers that the
 * card gives up, while it moves.
 */
static void lay_try_card(const struct lay_model *model,
			 const struct lay_tally *tally,
			 const struct lay_card *cards, int index, int weakest,
			 double required, struct lay_best_move *best)
{
	const struct lay_card *current = &cards[index];
	struct lay_card moved = *current;
	int current_width = current->planned_to - current->planned_from;
	int max_width = lay_max_layers(model, current);
	double value;
	int width;
	int from;

	for (width = current_width - LAY_RESIZE_MAX;
	     width <= current_width + LAY_RESIZE_MAX; width++) {
		if (width < 1 || width > max_width || width > model->layers)
			continue;
		for (from = weakest - width + 1; from <= weakest; from++) {
			if (from < 0 || from + width > model->layers)
				continue;
			moved.planned_from = from;
			moved.planned_to = from + width;
			value = lay_score_after_move(model, tally, current,
						     &moved, index);
			if (value <= best->value ||
			    !lay_can_spare(model, tally, current, &moved,
					   required))
				continue;
			best->value = value;
			best->card = index;
			best->from = from;
			best->to = from + width;
		}
	}
}

/*
 * Tells whether a data centre is known to hold what it is to hold.  For a
 * suspect this is unknown, and a layer may depend on the card that would move.
 */
static bool lay_is_settled(const struct lay_card *cards, int count, int centre)
{
	int i;

	for (i = 0; i < count; i++) {
		if (cards[i].centre == centre && cards[i].usable &&
		    (cards[i].order_pending || cards[i].suspect ||
		     cards[i].from != cards[i].planned_from ||
		     cards[i].to != cards[i].planned_to))
			return false;
	}
	return true;
}

/*
 * Tells whether the other cards suffice while a card moves: they have memory
 * for the required tokens in each layer that it gives up.
 */
static bool lay_can_spare(const struct lay_model *model,
			  const struct lay_tally *tally,
			  const struct lay_card *current,
			  const struct lay_card *moved, double required)
{
	int k;

	for (k = current->planned_from; k < current->planned_to; k++) {
		if (!lay_holds(moved, k) &&
		    tally->sum[k] - lay_layer_tokens(model, current, k) <
			    required)
			return false;
	}
	return true;
}

static bool lay_holds(const struct lay_card *card, int layer)
{
	return layer >= card->planned_from && layer < card->planned_to;
}

/*
 * Returns how many tokens a card has memory for in one of its layers.  The
 * holders of the first layer are first workers, whose slots are limited, too.
 */
static double lay_layer_tokens(const struct lay_model *model,
			       const struct lay_card *card, int layer)
{
	int held = card->planned_to - card->planned_from;
	double tokens = (card->memory_mb - held * model->layer_mb) /
			(held * model->token_mb);
	double slot_tokens = model->slots * model->request_tokens;

	if (tokens < 0)
		tokens = 0;
	return layer == 0 && tokens > slot_tokens ? slot_tokens : tokens;
}
