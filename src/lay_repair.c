#include "lay_int.h"

/* Weight of what all data centres lack beside what one lacks. */
#define LAY_ELSEWHERE 0.05
/*
 * Part of the wanted tokens that a card must hold when it has taken over its
 * neighbours' layers: by then streams go to other copies, too.
 */
#define LAY_BACK_UP 0.6
/* Weights, beside a layer that lacks all memory, of one without a holder... */
#define LAY_HOLE 10.0
/* ...and of a card that nobody backs up. */
#define LAY_ALONE 4.0

/* What a card was to hold before something was tried. */
struct lay_want {
	int from;
	int to;
};

static void lay_fill(const struct lay_model *model, struct lay_card *cards,
		     int count, struct lay_card *card);
static void lay_alone(const struct lay_model *model,
		      const struct lay_card *cards, int count, int centre,
		      double *alone);
static void lay_close(const struct lay_model *model, struct lay_card *cards,
		      int count, int centre);
static void lay_save(const struct lay_card *cards, int count,
		     struct lay_want *saved);
static void lay_restore(struct lay_card *cards, int count,
			const struct lay_want *saved);
static void lay_lacks(const struct lay_model *model, double *cover);
static void lay_sum_memory(const struct lay_model *model,
			   const struct lay_card *cards, int count, int centre,
			   double *cover);
static void lay_widen(const struct lay_model *model, struct lay_card *cards,
		      int count, int centre);
static void lay_move(const struct lay_model *model, struct lay_card *cards,
		     int count, int centre);
static bool lay_first_hole(const struct lay_model *model,
			   const struct lay_card *cards, int count, int centre,
			   int *from, int *to);
static int lay_window(const struct lay_model *model,
		      const struct lay_card *card, int from, int to);
static bool lay_can_leave(const struct lay_card *cards, int count, int at,
			  int from, int to);

/*
 * Repairs what the plan lacks after workers came and went: empty cards take the
 * window that lacks the most; if widen is set, holes are closed by the cards
 * beside them, or by one that others back up.
 */
void lay_repair(const struct lay_model *model, struct lay_card *cards,
		int count, bool widen)
{
	int centre;
	int i;

	for (i = 0; i < count; i++) {
		if (cards[i].usable &&
		    cards[i].planned_from == cards[i].planned_to)
			lay_fill(model, cards, count, &cards[i]);
	}
	for (centre = 0; widen && centre < LAY_CENTRES_MAX; centre++) {
		if (lay_has_hole(model, cards, count, centre))
			lay_close(model, cards, count, centre);
	}
}

/*
 * Closes a data centre's holes whole, or not at all: a hole that is made
 * smaller serves nobody and takes memory.  The fewest loads come first.
 */
static void lay_close(const struct lay_model *model, struct lay_card *cards,
		      int count, int centre)
{
	struct lay_want saved[LAY_CARDS_MAX];

	lay_save(cards, count, saved);
	lay_widen(model, cards, count, centre);
	if (!lay_has_hole(model, cards, count, centre))
		return;
	lay_restore(cards, count, saved);
	lay_move(model, cards, count, centre);
	if (!lay_has_hole(model, cards, count, centre))
		return;
	lay_restore(cards, count, saved);
	if (!lay_reassign(model, cards, count, centre))
		lay_restore(cards, count, saved);
}

static void lay_save(const struct lay_card *cards, int count,
		     struct lay_want *saved)
{
	int i;

	for (i = 0; i < count; i++) {
		saved[i].from = cards[i].planned_from;
		saved[i].to = cards[i].planned_to;
	}
}

static void lay_restore(struct lay_card *cards, int count,
			const struct lay_want *saved)
{
	int i;

	for (i = 0; i < count; i++) {
		cards[i].planned_from = saved[i].from;
		cards[i].planned_to = saved[i].to;
	}
}

/* Tells whether every layer is to have a holder in a data centre. */
bool lay_is_complete(const struct lay_model *model,
		     const struct lay_card *cards, int count, int centre)
{
	double cover[LAY_LAYERS_MAX] = { 0 };
	int i;

	lay_sum_memory(model, cards, count, centre, cover);
	for (i = 0; i < model->layers && cover[i] > 0; i++)
		;
	return i == model->layers;
}

/*
 * Tells whether some layer of a data centre that is to hold any is to have no
 * holder; before a plan, what is wanted is what is held.
 */
bool lay_has_hole(const struct lay_model *model, const struct lay_card *cards,
		  int count, int centre)
{
	int from;
	int to;

	return lay_first_hole(model, cards, count, centre, &from, &to);
}

/*
 * Gives an empty card the window of layers in which its data centre lacks the
 * most; what all data centres lack decides between equal ones.
 */
static void lay_fill(const struct lay_model *model, struct lay_card *cards,
		     int count, struct lay_card *card)
{
	double near[LAY_LAYERS_MAX] = { 0 };
	double all[LAY_LAYERS_MAX] = { 0 };
	double alone[LAY_LAYERS_MAX] = { 0 };
	double best = -1;
	double wanted = lay_target_tokens(model);
	double lacks;
	int width;
	int start;
	int i;

	width = lay_layers_beside(model, card, wanted);
	if (width < 1)
		width = 1;
	if (width > model->layers)
		width = model->layers;
	lay_sum_memory(model, cards, count, card->centre, near);
	lay_sum_memory(model, cards, count, -1, all);
	lay_lacks(model, near);
	lay_lacks(model, all);
	lay_alone(model, cards, count, card->centre, alone);
	for (start = 0; start + width <= model->layers; start++) {
		lacks = 0;
		for (i = start; i < start + width; i++)
			lacks += LAY_HOLE * (near[i] >= 1) +
				 LAY_ALONE * alone[i] + near[i] +
				 LAY_ELSEWHERE * all[i];
		if (lacks > best) {
			best = lacks;
			card->planned_from = start;
			card->planned_to = start + width;
		}
	}
	/*
	 * A hole that is not closed whole serves nobody; but a card without
	 * memory for requests serves few, so the rest is left to others.
	 */
	width = lay_layers_beside(model, card, wanted * LAY_BACK_UP);
	while (card->planned_to < model->layers &&
	       near[card->planned_to] >= 1 &&
	       card->planned_to - card->planned_from < width)
		card->planned_to++;
	while (card->planned_from > 0 && near[card->planned_from - 1] >= 1 &&
	       card->planned_to - card->planned_from < width)
		card->planned_from--;
}

/*
 * Sets for each layer with one holder in a data centre that holder's part of
 * one card: a window over several narrow cards keeps the loss of any of them
 * from breaking the copy, one over a part of a wide card keeps nothing.
 */
static void lay_alone(const struct lay_model *model,
		      const struct lay_card *cards, int count, int centre,
		      double *alone)
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
			alone[k] = 1.0 / held;
		}
	}
	for (k = 0; k < model->layers; k++) {
		if (holders[k] != 1)
			alone[k] = 0;
	}
}

/* Turns the cover of each layer into what it lacks to the mean, in parts. */
static void lay_lacks(const struct lay_model *model, double *cover)
{
	double mean = 0;
	int i;

	for (i = 0; i < model->layers; i++)
		mean += cover[i] / model->layers;
	for (i = 0; i < model->layers; i++) {
		if (mean <= 0)
			cover[i] = 1;
		else
			cover[i] = cover[i] < mean ? 1 - cover[i] / mean : 0;
		/* One layer that nobody holds breaks every chain. */
		cover[i] *= cover[i];
	}
}

/*
 * Sums for each layer the request memory of its holders, in one data centre
 * or in all (centre -1), with the plan as it stands.
 */
static void lay_sum_memory(const struct lay_model *model,
			   const struct lay_card *cards, int count, int centre,
			   double *cover)
{
	double part;
	int held;
	int i;
	int k;

	for (i = 0; i < count; i++) {
		held = cards[i].planned_to - cards[i].planned_from;
		if (!cards[i].usable || held <= 0 ||
		    (centre >= 0 && cards[i].centre != centre))
			continue;
		part = (cards[i].memory_mb - held * model->layer_mb) / held;
		for (k = cards[i].planned_from; k < cards[i].planned_to; k++)
			cover[k] += part > 1 ? part : 1;
	}
}

/*
 * Lets the holders beside a hole of a data centre grow into it, each by half
 * and as far as its memory allows.
 */
static void lay_widen(const struct lay_model *model, struct lay_card *cards,
		      int count, int centre)
{
	double cover[LAY_LAYERS_MAX] = { 0 };
	struct lay_card *card;
	int most;
	int position;
	int step;
	bool grew;
	int i;

	lay_sum_memory(model, cards, count, centre, cover);
	for (i = 0; i < model->layers && cover[i] <= 0; i++)
		;
	if (i == model->layers)
		return; /* it holds nothing at all */
	for (step = 0; step < model->layers; step++) {
		grew = false;
		for (i = 0; i < count; i++) {
			card = &cards[i];
			most = lay_max_layers(model, card);
			if (!card->usable || card->centre != centre ||
			    card->planned_from == card->planned_to ||
			    card->planned_to - card->planned_from >= most)
				continue;
			position = card->planned_to;
			if (position < model->layers && cover[position] <= 0) {
				cover[position] = 1;
				card->planned_to++;
				grew = true;
				continue;
			}
			position = card->planned_from - 1;
			if (position >= 0 && cover[position] <= 0) {
				cover[position] = 1;
				card->planned_from--;
				grew = true;
			}
		}
		if (!grew)
			return;
	}
}

/*
 * Closes a hole that no neighbour can grow into: a card whose layers others
 * of its data centre hold as well moves over it.  Of several the one that has
 * the fewest layers to load goes.  Without this, the loss of one card for good
 * leaves a whole data centre out of service.
 */
static void lay_move(const struct lay_model *model, struct lay_card *cards,
		     int count, int centre)
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
		from = lay_window(model, &cards[i], hole_from, hole_to);
		if (!lay_can_leave(cards, count, i, from, from + width))
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

/* Finds the first run of layers that nobody of a data centre is to hold. */
static bool lay_first_hole(const struct lay_model *model,
			   const struct lay_card *cards, int count, int centre,
			   int *from, int *to)
{
	double cover[LAY_LAYERS_MAX] = { 0 };
	bool any = false;
	int i;

	lay_sum_memory(model, cards, count, centre, cover);
	for (i = 0; i < model->layers; i++)
		any |= cover[i] > 0;
	for (*from = 0; *from < model->layers && cover[*from] > 0; (*from)++)
		;
	for (*to = *from; *to < model->layers && cover[*to] <= 0; (*to)++)
		;
	return any && *from < model->layers;
}

/* Returns where a card of its width holds a hole, nearest to where it is. */
static int lay_window(const struct lay_model *model,
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

/* Tells whether others hold what a card would give up. */
static bool lay_can_leave(const struct lay_card *cards, int count, int at,
			  int from, int to)
{
	bool held;
	int layer;
	int i;

	for (layer = cards[at].planned_from; layer < cards[at].planned_to;
	     layer++) {
		held = layer >= from && layer < to;
		for (i = 0; i < count && !held; i++)
			held = i != at && cards[i].usable &&
			       cards[i].centre == cards[at].centre &&
			       cards[i].planned_from <= layer &&
			       cards[i].planned_to > layer;
		if (!held)
			return false;
	}
	return true;
}
