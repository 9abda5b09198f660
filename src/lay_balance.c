#include <string.h>

#include "lay_int.h"

/*
 * Load pattern: workers are lost for good, taken away or replaced, and each
 * data centre ends with some layer that a single card holds.  All streams of
 * the data centre pass that card: they wait for its memory, or for a place at
 * the only first worker, while other layers have three holders, and the next
 * loss breaks every one of them.  A card is moved from where most is held.
 */

/*
 * Weight of what is left after the worst single loss beside what there is
 * now: a loss comes a few times in a day, the load is always there.
 */
#define LAY_SURVIVES 0.5
/* A card may become so many layers wider or narrower by its move. */
#define LAY_RESIZE 2
/*
 * Gain for which a card is moved, as a part of what there is.  Nothing is
 * loaded yet when copies are assigned; later a move takes a holder away until
 * its requests have ended and the layers are read, some seconds.
 */
#define LAY_GAIN_FRESH 0.02
#define LAY_GAIN       0.2
/* Moves in a data centre's freshly assigned copies; each takes a pass. */
#define LAY_MOVES_FRESH 16

/* What a data centre's cards hold of each layer, in tokens. */
struct lay_tally {
	double sum[LAY_LAYERS_MAX];
	double most[LAY_LAYERS_MAX]; /* by one card */
	double next[LAY_LAYERS_MAX]; /* by another one */
	int owner[LAY_LAYERS_MAX];   /* of the most, -1: none */
};

struct lay_best {
	double value;
	int card;
	int from;
	int to;
};

static bool lay_balance_one(const struct lay_model *model,
			    struct lay_card *cards, int count, int centre,
			    double gain, bool fresh);
static void lay_count(const struct lay_model *model,
		      const struct lay_card *cards, int count, int centre,
		      struct lay_tally *tally);
static void lay_add(struct lay_tally *tally, int layer, int card, double part);
static double lay_worth(const struct lay_model *model,
			const struct lay_tally *tally, int *weakest);
static double lay_worth_moved(const struct lay_model *model,
			      const struct lay_tally *tally,
			      const struct lay_card *was,
			      const struct lay_card *moved, int at);
static void lay_try_card(const struct lay_model *model,
			 const struct lay_tally *tally,
			 const struct lay_card *cards, int at, int weakest,
			 double least, struct lay_best *best);
static bool lay_settled(const struct lay_card *cards, int count, int centre);
static bool lay_holds(const struct lay_card *card, int layer);
static double lay_part(const struct lay_model *model,
		       const struct lay_card *card, int layer);
static bool lay_may_leave(const struct lay_model *model,
			  const struct lay_tally *tally,
			  const struct lay_card *was,
			  const struct lay_card *moved, double least);

/*
 * Returns how much a data centre can run: the tokens of its least layer, and
 * a part of those that are left there after the loss of one card.
 */
double lay_capacity_score(const struct lay_model *model,
			  const struct lay_card *cards, int count, int centre,
			  int *weakest)
{
	struct lay_tally tally;

	lay_count(model, cards, count, centre, &tally);
	return lay_worth(model, &tally, weakest);
}

/*
 * Moves cards to where their data centres can run the least.  On a fresh plan
 * as long as that helps; else one card at a time, and only where all that was
 * ordered is held.
 */
void lay_balance(const struct lay_model *model, struct lay_card *cards,
		 int count, bool fresh)
{
	double gain = fresh ? LAY_GAIN_FRESH : LAY_GAIN;
	int moves = fresh ? LAY_MOVES_FRESH : 1;
	int centre;
	int i;

	for (centre = 0; centre < LAY_CENTRES_MAX; centre++) {
		if (!fresh && !lay_settled(cards, count, centre))
			continue;
		for (i = 0; i < moves; i++) {
			if (!lay_balance_one(model, cards, count, centre, gain,
					     fresh))
				break;
		}
	}
}

/* Makes the move of one card that gains the most; false if none does. */
static bool lay_balance_one(const struct lay_model *model,
			    struct lay_card *cards, int count, int centre,
			    double gain, bool fresh)
{
	struct lay_best best = { 0, -1, 0, 0 };
	struct lay_tally tally;
	double value;
	int weakest;
	int i;

	lay_count(model, cards, count, centre, &tally);
	value = lay_worth(model, &tally, &weakest);
	if (value <= 0)
		return false;
	best.value = value * (1 + gain);
	for (i = 0; i < count; i++) {
		if (cards[i].centre == centre && cards[i].usable &&
		    cards[i].planned_from < cards[i].planned_to)
			lay_try_card(model, &tally, cards, i, weakest,
				     fresh ? 0 : value, &best);
	}
	if (best.card < 0)
		return false;
	cards[best.card].planned_from = best.from;
	cards[best.card].planned_to = best.to;
	return true;
}

static void lay_count(const struct lay_model *model,
		      const struct lay_card *cards, int count, int centre,
		      struct lay_tally *tally)
{
	int i;
	int k;

	memset(tally, 0, sizeof(*tally));
	for (k = 0; k < LAY_LAYERS_MAX; k++)
		tally->owner[k] = -1;
	for (i = 0; i < count; i++) {
		if (cards[i].centre != centre || !cards[i].usable)
			continue;
		for (k = cards[i].planned_from; k < cards[i].planned_to; k++)
			lay_add(tally, k, i, lay_part(model, &cards[i], k));
	}
}

static void lay_add(struct lay_tally *tally, int layer, int card, double part)
{
	tally->sum[layer] += part;
	if (tally->owner[layer] < 0 || part > tally->most[layer]) {
		tally->next[layer] = tally->most[layer];
		tally->most[layer] = part;
		tally->owner[layer] = card;
	} else if (part > tally->next[layer]) {
		tally->next[layer] = part;
	}
}

/* Values what is held; weakest is the layer that needs a holder the most. */
static double lay_worth(const struct lay_model *model,
			const struct lay_tally *tally, int *weakest)
{
	double least = -1;
	double left = -1;
	double rank = -1;
	double survives;
	double both;
	int k;

	*weakest = 0;
	for (k = 0; k < model->layers; k++) {
		survives = tally->sum[k] - tally->most[k];
		both = tally->sum[k] + LAY_SURVIVES * survives;
		if (least < 0 || tally->sum[k] < least)
			least = tally->sum[k];
		if (left < 0 || survives < left)
			left = survives;
		if (rank < 0 || both < rank) {
			rank = both;
			*weakest = k;
		}
	}
	return least + LAY_SURVIVES * left;
}

/* Values what would be held after the move of one card. */
static double lay_worth_moved(const struct lay_model *model,
			      const struct lay_tally *tally,
			      const struct lay_card *was,
			      const struct lay_card *moved, int at)
{
	double least = -1;
	double left = -1;
	double most;
	double part;
	double sum;
	int k;

	for (k = 0; k < model->layers; k++) {
		sum = tally->sum[k];
		if (lay_holds(was, k))
			sum -= lay_part(model, was, k);
		most = tally->owner[k] == at ? tally->next[k] : tally->most[k];
		if (lay_holds(moved, k)) {
			part = lay_part(model, moved, k);
			sum += part;
			if (part > most)
				most = part;
		}
		if (least < 0 || sum < least)
			least = sum;
		if (left < 0 || sum - most < left)
			left = sum - most;
	}
	return least + LAY_SURVIVES * left;
}

/*
 * Tries all windows of one card that hold the weakest layer; least is what the
 * others must hold meanwhile of what it gives up.
 */
static void lay_try_card(const struct lay_model *model,
			 const struct lay_tally *tally,
			 const struct lay_card *cards, int at, int weakest,
			 double least, struct lay_best *best)
{
	const struct lay_card *was = &cards[at];
	struct lay_card moved = *was;
	int now = was->planned_to - was->planned_from;
	int most = lay_max_layers(model, was);
	double value;
	int width;
	int from;

	for (width = now - LAY_RESIZE; width <= now + LAY_RESIZE; width++) {
		if (width < 1 || width > most || width > model->layers)
			continue;
		for (from = weakest - width + 1; from <= weakest; from++) {
			if (from < 0 || from + width > model->layers)
				continue;
			moved.planned_from = from;
			moved.planned_to = from + width;
			value = lay_worth_moved(model, tally, was, &moved, at);
			if (value <= best->value ||
			    !lay_may_leave(model, tally, was, &moved, least))
				continue;
			best->value = value;
			best->card = at;
			best->from = from;
			best->to = from + width;
		}
	}
}

/*
 * Tells whether a data centre holds what it is to hold, as far as is known: of
 * a suspect it is not, and what it holds may hang on the card that would move.
 */
static bool lay_settled(const struct lay_card *cards, int count, int centre)
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
 * Tells whether the others can do without a card while it moves: what it
 * gives up is held by them for as many tokens as are asked for.
 */
static bool lay_may_leave(const struct lay_model *model,
			  const struct lay_tally *tally,
			  const struct lay_card *was,
			  const struct lay_card *moved, double least)
{
	int k;

	for (k = was->planned_from; k < was->planned_to; k++) {
		if (!lay_holds(moved, k) &&
		    tally->sum[k] - lay_part(model, was, k) < least)
			return false;
	}
	return true;
}

static bool lay_holds(const struct lay_card *card, int layer)
{
	return layer >= card->planned_from && layer < card->planned_to;
}

/*
 * Returns the tokens for which a card has room in one of its layers.  The
 * first layer's holders are first workers, whose places bind, too.
 */
static double lay_part(const struct lay_model *model,
		       const struct lay_card *card, int layer)
{
	int held = card->planned_to - card->planned_from;
	double tokens = (card->memory_mb - held * model->layer_mb) /
			(held * model->token_mb);
	double places = model->slots * model->request_tokens;

	if (tokens < 0)
		tokens = 0;
	return layer == 0 && tokens > places ? places : tokens;
}
