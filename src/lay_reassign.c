#include <stdlib.h>

#include "lay_int.h"

/*
 * Load pattern: a data centre with one copy permanently loses a large card.
 * Each layer had one holder, so no neighbour can grow over the hole and no card
 * can be moved.  The data centre would serve nothing for the rest of the day,
 * and its load would fill the memory of the others.  Its cards are therefore
 * planned from scratch.  Cards of one kind keep their order, so that each loads
 * as few new layers as possible.
 */

static void lay_preserve_order(struct lay_card *cards, int count, int centre);
static void lay_preserve_order_of_kind(struct lay_card **kind, int size);
static int lay_compare_held(const void *a, const void *b);
static int lay_compare_planned(const void *a, const void *b);

/* On failure, the plan is left in an undefined state. */
bool lay_reassign(const struct lay_model *model, struct lay_card *cards,
		  int count, int centre)
{
	int i;

	for (i = 0; i < count; i++) {
		if (cards[i].centre == centre && cards[i].usable &&
		    cards[i].order_pending)
			return false;
	}
	for (i = 0; i < count; i++) {
		if (cards[i].centre != centre || !cards[i].usable)
			continue;
		cards[i].planned_from = 0;
		cards[i].planned_to = 0;
	}
	lay_assign_centre(model, cards, count, centre);
	if (!lay_is_complete(model, cards, count, centre))
		return false;
	lay_preserve_order(cards, count, centre);
	return true;
}

/*
 * Permutes the planned ranges among cards of one kind, so that they are in the
 * same order as the ranges that these cards hold.
 */
static void lay_preserve_order(struct lay_card *cards, int count, int centre)
{
	struct lay_card **kind =
		calloc((size_t)count + 1, sizeof(struct lay_card *));
	int size;
	int i;
	int k;

	for (i = 0; kind && i < count; i++) {
		if (cards[i].centre != centre || !cards[i].usable)
			continue;
		size = 0;
		for (k = 0; k < count; k++) {
			if (cards[k].centre != centre || !cards[k].usable ||
			    cards[k].memory_mb != cards[i].memory_mb ||
			    cards[k].step_factor != cards[i].step_factor)
				continue;
			/* A kind is handled at its first card. */
			if (k < i)
				break;
			kind[size++] = &cards[k];
		}
		if (k == count)
			lay_preserve_order_of_kind(kind, size);
	}
	free(kind);
}

static void lay_preserve_order_of_kind(struct lay_card **kind, int size)
{
	struct lay_saved_range *ranges =
		calloc((size_t)size + 1, sizeof(*ranges));
	int i;

	/* Without memory the order is not preserved, which costs loads. */
	if (!ranges)
		return;
	qsort(kind, (size_t)size, sizeof(struct lay_card *),
	      lay_compare_planned);
	for (i = 0; i < size; i++)
		ranges[i] = (struct lay_saved_range){ kind[i]->planned_from,
						      kind[i]->planned_to };
	qsort(kind, (size_t)size, sizeof(struct lay_card *), lay_compare_held);
	for (i = 0; i < size; i++) {
		kind[i]->planned_from = ranges[i].from;
		kind[i]->planned_to = ranges[i].to;
	}
	free(ranges);
}

static int lay_compare_held(const void *a, const void *b)
{
	const struct lay_card *x = *(struct lay_card *const *)a;
	const struct lay_card *y = *(struct lay_card *const *)b;

	return x->from != y->from ? x->from - y->from : (x > y) - (x < y);
}

static int lay_compare_planned(const void *a, const void *b)
{
	const struct lay_card *x = *(struct lay_card *const *)a;
	const struct lay_card *y = *(struct lay_card *const *)b;

	return x->planned_from != y->planned_from
		       ? x->planned_from - y->planned_from
		       : (x > y) - (x < y);
}
