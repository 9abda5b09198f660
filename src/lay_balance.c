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
 * loaded yet when copies are dealt; later a move takes a holder away until
 * its requests have ended and the layers are read, some seconds.
 */
#define LAY_GAIN_FRESH 0.02
#define LAY_GAIN       0.2
/* Moves over freshly dealt copies, as a part of the cards. */
#define LAY_MOVES_FRESH 2

struct lay_best {
	double value;
	int card;
	int from;
	int to;
};

static bool lay_balance_one(const struct lay_model *model,
			    struct lay_card *cards, int count, int centre,
			    double gain, bool fresh);
static void lay_try_card(const struct lay_model *model, struct lay_card *cards,
			 int count, int at, int weakest, bool fresh,
			 struct lay_best *best);
static bool lay_settled(const struct lay_card *cards, int count, int centre);
static double lay_part(const struct lay_model *model,
		       const struct lay_card *card, int layer);
static bool lay_may_leave(const struct lay_model *model,
			  const struct lay_card *cards, int count, int at,
			  double least);

/*
 * Returns how much a data centre can run: the tokens of its least layer, and
 * a part of those that are left there after the loss of one card.
 */
double lay_value(const struct lay_model *model, const struct lay_card *cards,
		 int count, int centre, int *weakest)
{
	double sum[LAY_LAYERS_MAX] = { 0 };
	double most[LAY_LAYERS_MAX] = { 0 };
	double least = -1;
	double left = -1;
	double rank = -1;
	double part;
	int i;
	int k;

	for (i = 0; i < count; i++) {
		if (cards[i].centre != centre || !cards[i].usable)
			continue;
		for (k = cards[i].want_from; k < cards[i].want_to; k++) {
			part = lay_part(model, &cards[i], k);
			sum[k] += part;
			if (part > most[k])
				most[k] = part;
		}
	}
	*weakest = 0;
	for (k = 0; k < model->layers; k++) {
		if (least < 0 || sum[k] < least)
			least = sum[k];
		if (left < 0 || sum[k] - most[k] < left)
			left = sum[k] - most[k];
		part = sum[k] + LAY_SURVIVES * (sum[k] - most[k]);
		if (rank < 0 || part < rank) {
			rank = part;
			*weakest = k;
		}
	}
	return least + LAY_SURVIVES * left;
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
	int moves = fresh ? count * LAY_MOVES_FRESH : 1;
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
	double value;
	int weakest;
	int i;

	value = lay_value(model, cards, count, centre, &weakest);
	if (value <= 0)
		return false;
	best.value = value * (1 + gain);
	for (i = 0; i < count; i++) {
		if (cards[i].centre == centre && cards[i].usable &&
		    cards[i].want_from < cards[i].want_to)
			lay_try_card(model, cards, count, i, weakest, fresh,
				     &best);
	}
	if (best.card < 0)
		return false;
	cards[best.card].want_from = best.from;
	cards[best.card].want_to = best.to;
	return true;
}

/* Tries all windows of one card that hold the weakest layer. */
static void lay_try_card(const struct lay_model *model, struct lay_card *cards,
			 int count, int at, int weakest, bool fresh,
			 struct lay_best *best)
{
	struct lay_card *card = &cards[at];
	struct lay_card was = *card;
	int now = was.want_to - was.want_from;
	int most = lay_most(model, card);
	double least;
	double value;
	int width;
	int from;
	int unused;

	least = lay_value(model, cards, count, was.centre, &unused);
	for (width = now - LAY_RESIZE; width <= now + LAY_RESIZE; width++) {
		if (width < 1 || width > most || width > model->layers)
			continue;
		for (from = weakest - width + 1; from <= weakest; from++) {
			if (from < 0 || from + width > model->layers)
				continue;
			card->want_from = from;
			card->want_to = from + width;
			value = lay_value(model, cards, count, was.centre,
					  &unused);
			if (value <= best->value ||
			    (!fresh &&
			     !lay_may_leave(model, cards, count, at, least)))
				continue;
			best->value = value;
			best->card = at;
			best->from = from;
			best->to = from + width;
		}
	}
	*card = was;
}

/* Tells whether a data centre holds what it is to hold. */
static bool lay_settled(const struct lay_card *cards, int count, int centre)
{
	int i;

	for (i = 0; i < count; i++) {
		if (cards[i].centre == centre && cards[i].usable &&
		    (cards[i].moving || cards[i].from != cards[i].want_from ||
		     cards[i].to != cards[i].want_to))
			return false;
	}
	return true;
}

/*
 * Tells whether the others can do without a card while it moves: what it
 * gives up is held by them for as many tokens as the weakest layer now.
 */
static bool lay_may_leave(const struct lay_model *model,
			  const struct lay_card *cards, int count, int at,
			  double least)
{
	const struct lay_card *card = &cards[at];
	double left;
	int k;
	int i;

	for (k = card->from; k < card->to; k++) {
		if (k >= card->want_from && k < card->want_to)
			continue;
		left = 0;
		for (i = 0; i < count; i++) {
			if (i != at && cards[i].usable &&
			    cards[i].centre == card->centre &&
			    cards[i].want_from <= k && cards[i].want_to > k)
				left += lay_part(model, &cards[i], k);
		}
		if (left < least)
			return false;
	}
	return true;
}

/*
 * Returns the tokens for which a card has room in one of its layers.  The
 * first layer's holders are first workers, whose places bind, too.
 */
static double lay_part(const struct lay_model *model,
		       const struct lay_card *card, int layer)
{
	int held = card->want_to - card->want_from;
	double tokens = (card->memory_mb - held * model->layer_mb) /
			(held * model->token_mb);
	double places = model->places * model->request_tokens;

	if (tokens < 0)
		tokens = 0;
	return layer == 0 && tokens > places ? places : tokens;
}
