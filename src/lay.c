#include <stdlib.h>
#include <string.h>

#include "lay.h"

/*
 * Share of a data centre's memory that weights may take.  A copy of the model
 * takes 140 GB of about 290 GB in each data centre of the users' sites; half
 * leaves room for some 280 requests of 900 tokens beside one copy.
 */
#define LAY_WEIGHTS_SHARE 0.52
/* Share of one card's memory that its layers may take at most. */
#define LAY_CARD_SHARE 0.85
/* A chain has at most 32 hops; copies stay below it with some to spare. */
#define LAY_CARDS_A_COPY 26
/* How much less memory for requests is wanted where layers do not fit. */
#define LAY_SHRINK 0.93
#define LAY_STEPS  40
/*
 * Part of the wanted tokens that a card must hold when it has taken over its
 * neighbours' layers: by then streams go to other copies, too.
 */
#define LAY_BACK_UP 0.6
#define LAY_CENTRES_MAX	 32
#define LAY_CARDS_MAX	 4096

static void lay_deal_all(const struct lay_model *model, struct lay_card *cards,
			 int count);
static void lay_deal_centres(const struct lay_model *model,
			     struct lay_card *cards, int count);
static int lay_copies(const struct lay_model *model, double memory_mb,
		      int cards);
static void lay_deal_copies(const struct lay_model *model,
			    struct lay_card **group, int count, int copies);
static void lay_deal_copy(const struct lay_model *model, struct lay_card **copy,
			  int count);
static bool lay_widths(const struct lay_model *model, struct lay_card **copy,
		       int count, int *widths);
static int lay_beside(const struct lay_model *model,
		      const struct lay_card *card, double tokens);
static void lay_interleave(struct lay_card **copy, int *widths, int count,
			   struct lay_card **order);
static void lay_back_up(const struct lay_model *model, struct lay_card **order,
			int count);
static void lay_back_up_one(const struct lay_model *model,
			    struct lay_card **order, int count, int at);
static bool lay_can_back_up(const struct lay_model *model,
			    const struct lay_card *card, int own, int holds);
static void lay_join_back_up(struct lay_card *cards, int count);
static int lay_by_speed(const void *a, const void *b);
static int lay_most(const struct lay_model *model, const struct lay_card *card);
static int lay_by_memory(const void *a, const void *b);
static void lay_repair(const struct lay_model *model, struct lay_card *cards,
		       int count, bool widen);
static void lay_fill(const struct lay_model *model, struct lay_card *cards,
		     int count, struct lay_card *card);
static void lay_cover(const struct lay_model *model,
		      const struct lay_card *cards, int count, int centre,
		      double *cover);
static void lay_widen(const struct lay_model *model, struct lay_card *cards,
		      int count, int centre);

/* Takes the layers that cards back up into what they are to hold. */
static void lay_join_back_up(struct lay_card *cards, int count)
{
	int i;

	for (i = 0; i < count; i++) {
		if (cards[i].back_to <= cards[i].back_from)
			continue;
		cards[i].want_from = cards[i].back_from;
		cards[i].want_to = cards[i].back_to;
	}
}

/*
 * Sets what each card is to hold.  While nobody holds anything, whole copies
 * are dealt; later only empty cards are filled and, if widen is set, holders
 * beside a hole take it over.  A card that holds layers never gives one up,
 * because it would have to hold old and new ones at the same time.
 */
void lay_plan(const struct lay_model *model, struct lay_card *cards, int count,
	      bool widen)
{
	int i;

	if (model->layers > LAY_LAYERS_MAX || count > LAY_CARDS_MAX)
		return;
	for (i = 0; i < count; i++) {
		cards[i].want_from = cards[i].from;
		cards[i].want_to = cards[i].to;
		cards[i].back_from = 0;
		cards[i].back_to = 0;
	}
	if (lay_is_fresh(cards, count)) {
		lay_deal_all(model, cards, count);
		lay_join_back_up(cards, count);
	} else {
		lay_repair(model, cards, count, widen);
	}
}

/* Tells whether no card holds any layer. */
bool lay_is_fresh(const struct lay_card *cards, int count)
{
	int i;

	for (i = 0; i < count; i++) {
		if (cards[i].from != cards[i].to)
			return false;
	}
	return true;
}

/* Deals copies in each data centre that has room, else over all of them. */
static void lay_deal_all(const struct lay_model *model, struct lay_card *cards,
			 int count)
{
	struct lay_card *pool[LAY_CARDS_MAX];
	double memory = 0;
	int left = 0;
	int i;

	lay_deal_centres(model, cards, count);
	for (i = 0; i < count; i++) {
		if (!cards[i].usable || cards[i].want_from != cards[i].want_to)
			continue;
		pool[left++] = &cards[i];
		memory += cards[i].memory_mb;
	}
	if (left > 0 &&
	    memory * LAY_CARD_SHARE >= model->layers * model->layer_mb)
		lay_deal_copies(model, pool, left,
				lay_copies(model, memory, left));
}

static void lay_deal_centres(const struct lay_model *model,
			     struct lay_card *cards, int count)
{
	struct lay_card *group[LAY_CARDS_MAX];
	double memory;
	int centre;
	int size;
	int i;

	for (centre = 0; centre < LAY_CENTRES_MAX; centre++) {
		memory = 0;
		size = 0;
		for (i = 0; i < count; i++) {
			if (!cards[i].usable || cards[i].centre != centre)
				continue;
			group[size++] = &cards[i];
			memory += cards[i].memory_mb;
		}
		if (memory * LAY_CARD_SHARE < model->layers * model->layer_mb)
			continue;
		lay_deal_copies(model, group, size,
				lay_copies(model, memory, size));
	}
}

/* Returns how many copies of the model a group of cards is to hold. */
static int lay_copies(const struct lay_model *model, double memory_mb,
		      int cards)
{
	int copies = (int)(memory_mb * LAY_WEIGHTS_SHARE /
			   (model->layers * model->layer_mb));
	int least = (cards + LAY_CARDS_A_COPY - 1) / LAY_CARDS_A_COPY;

	if (copies < least)
		copies = least;
	return copies < 1 ? 1 : copies;
}

/* Splits a group into copies of like memory and deals the layers of each. */
static void lay_deal_copies(const struct lay_model *model,
			    struct lay_card **group, int count, int copies)
{
	struct lay_card *copy[LAY_CARDS_MAX];
	int round;
	int slot;
	int size;
	int k;
	int i;

	qsort(group, (size_t)count, sizeof(*group), lay_by_memory);
	for (k = 0; k < copies; k++) {
		size = 0;
		for (i = 0; i < count; i++) {
			/* To and fro, so that each copy gets its part of
			 * the large cards. */
			round = i / copies;
			slot = i % copies;
			if (round % 2)
				slot = copies - 1 - slot;
			if (slot == k)
				copy[size++] = group[i];
		}
		lay_deal_copy(model, copy, size);
	}
}

/* Deals all layers over the cards of one copy. */
static void lay_deal_copy(const struct lay_model *model,
			  struct lay_card **copy, int count)
{
	int widths[LAY_CARDS_MAX];
	struct lay_card *order[LAY_CARDS_MAX];
	int position = 0;
	int i;

	qsort(copy, (size_t)count, sizeof(*copy), lay_by_speed);
	if (!lay_widths(model, copy, count, widths))
		return;
	lay_interleave(copy, widths, count, order);
	for (i = 0; i < count; i++) {
		order[i]->want_from = position;
		position += widths[i];
		order[i]->want_to = position;
	}
	lay_back_up(model, order, count);
}

/*
 * Sets how many layers each card of a copy holds, the fast ones first.  Where
 * the layers do not fit beside the wanted memory for requests, less memory
 * is wanted.  Returns false if they do not fit at all.
 */
static bool lay_widths(const struct lay_model *model, struct lay_card **copy,
		       int count, int *widths)
{
	double tokens = model->tokens;
	int left;
	int most;
	int i;
	int step;

	for (step = 0; step < LAY_STEPS; step++) {
		left = model->layers - count;
		for (i = 0; i < count; i++) {
			widths[i] = 1;
			most = lay_beside(model, copy[i], tokens) - 1;
			if (most > left)
				most = left;
			if (most > 0) {
				widths[i] += most;
				left -= most;
			}
		}
		if (left <= 0)
			return left == 0;
		tokens *= LAY_SHRINK;
	}
	return false;
}

/* Returns the layers that fit beside the memory of so many tokens. */
static int lay_beside(const struct lay_model *model,
		      const struct lay_card *card, double tokens)
{
	int fit = (int)(card->memory_mb /
			(model->layer_mb + tokens * model->token_mb));
	int most = lay_most(model, card);

	return fit < most ? fit : most;
}

/*
 * Puts the slowest cards between the others at even distances, because each
 * of them backs up its neighbours.
 */
static void lay_interleave(struct lay_card **copy, int *widths, int count,
			   struct lay_card **order)
{
	int sorted[LAY_CARDS_MAX];
	double slowest = copy[count - 1]->step_factor;
	int slow = 0;
	int taken = 0;
	int put = 0;
	int i;

	memcpy(sorted, widths, (size_t)count * sizeof(*widths));
	while (slow < count && copy[count - 1 - slow]->step_factor >= slowest)
		slow++;
	for (i = 0; i < count; i++) {
		/* The first place is a fast card's: it takes the prompts. */
		if (put < slow && (long)(put + 1) * count <=
					  (long)(i + 1) * (slow + 1) - 1) {
			order[i] = copy[count - slow + put];
			widths[i] = sorted[count - slow + put];
			put++;
		} else if (taken < count - slow) {
			order[i] = copy[taken];
			widths[i] = sorted[taken];
			taken++;
		} else {
			order[i] = copy[count - slow + put];
			widths[i] = sorted[count - slow + put];
			put++;
		}
	}
}

/*
 * Lets the slowest cards hold layers of their neighbours besides their own,
 * while memory is left for the streams that pass them now, and for most of
 * those that would pass if a neighbour were lost.
 */
static void lay_back_up(const struct lay_model *model, struct lay_card **order,
			int count)
{
	double slowest = 0;
	struct lay_card *card;
	int i;

	for (i = 0; i < count; i++) {
		if (order[i]->step_factor > slowest)
			slowest = order[i]->step_factor;
	}
	for (i = 0; i < count; i++) {
		card = order[i];
		if (card->step_factor < slowest)
			continue;
		lay_back_up_one(model, order, count, i);
	}
}

static void lay_back_up_one(const struct lay_model *model,
			    struct lay_card **order, int count, int at)
{
	struct lay_card *card = order[at];
	int own = card->want_to - card->want_from;
	int left = at > 0 ? order[at - 1]->want_from : card->want_from;
	int right = at + 1 < count ? order[at + 1]->want_to : card->want_to;
	int from = card->want_from;
	int to = card->want_to;
	bool grew = true;

	/* A slow neighbour backs nothing up: it has its own to hold. */
	if (at > 0 && order[at - 1]->step_factor >= card->step_factor)
		left = from;
	if (at + 1 < count && order[at + 1]->step_factor >= card->step_factor)
		right = to;
	/* An even larger neighbour is more than this card could take over. */
	if (from - left > lay_most(model, card))
		left = from;
	if (right - to > lay_most(model, card))
		right = to;
	while (grew) {
		grew = false;
		if (to < right &&
		    lay_can_back_up(model, card, own, to - from + 1)) {
			to++;
			grew = true;
		}
		if (from > left &&
		    lay_can_back_up(model, card, own, to - from + 1)) {
			from--;
			grew = true;
		}
	}
	card->back_from = from;
	card->back_to = to;
}

static bool lay_can_back_up(const struct lay_model *model,
			    const struct lay_card *card, int own, int holds)
{
	double spare = card->memory_mb - holds * model->layer_mb;
	double needs = model->tokens * model->token_mb * own;
	double taken_over = model->tokens * model->token_mb * LAY_BACK_UP *
			    (own + (holds - own) / 2.0);

	return holds <= lay_most(model, card) && spare >= needs &&
	       spare >= taken_over;
}

/* Returns the most layers that a card may hold. */
static int lay_most(const struct lay_model *model, const struct lay_card *card)
{
	return (int)(card->memory_mb * LAY_CARD_SHARE / model->layer_mb);
}

static int lay_by_memory(const void *a, const void *b)
{
	const struct lay_card *x = *(struct lay_card *const *)a;
	const struct lay_card *y = *(struct lay_card *const *)b;

	if (x->memory_mb != y->memory_mb)
		return x->memory_mb < y->memory_mb ? 1 : -1;
	return x < y ? -1 : x > y;
}

/* The fastest cards first, of equal ones the largest. */
static int lay_by_speed(const void *a, const void *b)
{
	const struct lay_card *x = *(struct lay_card *const *)a;
	const struct lay_card *y = *(struct lay_card *const *)b;

	if (x->step_factor != y->step_factor)
		return x->step_factor > y->step_factor ? 1 : -1;
	return lay_by_memory(a, b);
}

static void lay_repair(const struct lay_model *model, struct lay_card *cards,
		       int count, bool widen)
{
	int centre;
	int i;

	for (i = 0; i < count; i++) {
		if (cards[i].usable && cards[i].want_from == cards[i].want_to)
			lay_fill(model, cards, count, &cards[i]);
	}
	for (centre = 0; widen && centre < LAY_CENTRES_MAX; centre++)
		lay_widen(model, cards, count, centre);
}

/*
 * Gives an empty card the window of layers that its data centre holds least
 * of; where the centre holds all alike, what all centres hold least of.
 */
static void lay_fill(const struct lay_model *model, struct lay_card *cards,
		     int count, struct lay_card *card)
{
	double near[LAY_LAYERS_MAX] = { 0 };
	double all[LAY_LAYERS_MAX] = { 0 };
	double total = 0;
	double best = 0;
	double have;
	int width;
	int from = -1;
	int start;
	int i;

	for (i = 0; i < count; i++) {
		if (cards[i].usable && cards[i].centre == card->centre)
			total += cards[i].memory_mb;
	}
	width = (int)(model->layers * card->memory_mb / total + 0.5);
	if (width > lay_most(model, card))
		width = lay_most(model, card);
	if (width < 1)
		width = 1;
	lay_cover(model, cards, count, card->centre, near);
	lay_cover(model, cards, count, -1, all);
	for (start = 0; start + width <= model->layers; start++) {
		have = 0;
		for (i = start; i < start + width; i++)
			have += near[i] + 0.1 * all[i];
		if (from < 0 || have < best) {
			best = have;
			from = start;
		}
	}
	if (from < 0)
		return;
	card->want_from = from;
	card->want_to = from + width;
}

/*
 * Sums for each layer the request memory of its holders, in one data centre
 * or in all (centre -1), with the plan as it stands.
 */
static void lay_cover(const struct lay_model *model,
		      const struct lay_card *cards, int count, int centre,
		      double *cover)
{
	double part;
	int held;
	int i;
	int k;

	for (i = 0; i < count; i++) {
		held = cards[i].want_to - cards[i].want_from;
		if (!cards[i].usable || held <= 0 ||
		    (centre >= 0 && cards[i].centre != centre))
			continue;
		part = (cards[i].memory_mb - held * model->layer_mb) / held;
		for (k = cards[i].want_from; k < cards[i].want_to; k++)
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

	lay_cover(model, cards, count, centre, cover);
	for (i = 0; i < model->layers && cover[i] <= 0; i++)
		;
	if (i == model->layers)
		return; /* it holds nothing at all */
	for (step = 0; step < model->layers; step++) {
		grew = false;
		for (i = 0; i < count; i++) {
			card = &cards[i];
			most = lay_most(model, card);
			if (!card->usable || card->centre != centre ||
			    card->want_from == card->want_to ||
			    card->want_to - card->want_from >= most)
				continue;
			position = card->want_to;
			if (position < model->layers && cover[position] <= 0) {
				cover[position] = 1;
				card->want_to++;
				grew = true;
				continue;
			}
			position = card->want_from - 1;
			if (position >= 0 && cover[position] <= 0) {
				cover[position] = 1;
				card->want_from--;
				grew = true;
			}
		}
		if (!grew)
			return;
	}
}
