#include <string.h>

#include "lay.h"
#include "script.h"

#define CARDS_MAX 8192
#define LINE_MAX_ 256

static struct lay_card cards[CARDS_MAX];
static int count;
/* Time of a token in a layer and between workers, as an engine reports it. */
static struct lay_model model = { .layer_us = 12.75, .hop_us = 250 };

/* "card CENTRE N MEMORY_MB FACTOR [FROM TO]": adds N identical cards. */
static void add_cards(const char *line)
{
	struct lay_card card = { .usable = true };
	int n = 0;

	sscanf(line, "%*s %d %d %lf %lf %d %d", &card.centre, &n,
	       &card.memory_mb, &card.step_factor, &card.from, &card.to);
	while (n-- > 0 && count < CARDS_MAX)
		cards[count++] = card;
}

/* Carries out the plan: all cards hold their planned ranges. */
static void apply_plan(void)
{
	int i;

	for (i = 0; i < count; i++) {
		cards[i].from = cards[i].planned_from;
		cards[i].to = cards[i].planned_to;
	}
}

/* Removes a card from its data centre, or brings it back without layers. */
static void reset_card(int i, bool usable)
{
	cards[i].usable = usable;
	cards[i].from = 0;
	cards[i].to = 0;
}

static void print_cards(FILE *out)
{
	int i;

	for (i = 0; i < count; i++)
		fprintf(out, "card %d centre %d mb %.0f holds %d-%d%s\n", i,
			cards[i].centre, cards[i].memory_mb,
			cards[i].planned_from, cards[i].planned_to,
			(cards[i].planned_to - cards[i].planned_from) *
						model.layer_mb >
					cards[i].memory_mb
				? " too much"
				: "");
}

/*
 * Prints the bottleneck and the capacity of a data centre.  A layer without
 * holders is a hole.
 */
static void print_capacity(FILE *out, int centre)
{
	struct lay_bottleneck bottleneck;
	double value;
	int weakest;

	lay_find_bottleneck(&model, cards, count, centre, &bottleneck);
	fprintf(out, "centre %d least layer %d holders %d tokens %.0f\n",
		centre, bottleneck.layer, bottleneck.holders,
		bottleneck.tokens);
	value = lay_capacity_score(&model, cards, count, centre, &weakest);
	fprintf(out, "centre %d value %.0f weakest %d\n", centre, value,
		weakest);
}

/* Removes each card in turn and counts the losses that leave a hole. */
static void print_single_losses(FILE *out, int centre)
{
	struct lay_bottleneck bottleneck;
	int holes = 0;
	int losses = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (cards[i].centre != centre)
			continue;
		cards[i].usable = false;
		lay_find_bottleneck(&model, cards, count, centre, &bottleneck);
		cards[i].usable = true;
		losses++;
		holes += bottleneck.holders == 0;
	}
	fprintf(out, "centre %d: %d of %d single losses leave a hole\n", centre,
		holes, losses);
}

static void drive(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	int n;

	count = 0;
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "model %d %lf %lf %d %lf", &model.layers,
			   &model.layer_mb, &model.token_mb, &model.slots,
			   &model.request_tokens) == 5)
			continue;
		if (strncmp(line, "card ", 5) == 0)
			add_cards(line);
		else if (strncmp(line, "plan", 4) == 0)
			lay_plan(&model, cards, count,
				 strstr(line, "widen") != NULL);
		else if (strncmp(line, "balance", 7) == 0)
			lay_balance(&model, cards, count,
				    strstr(line, "fresh") != NULL);
		else if (strncmp(line, "hold", 4) == 0)
			apply_plan();
		else if (sscanf(line, "lose %d", &n) == 1)
			reset_card(n, false);
		else if (sscanf(line, "suspect %d", &n) == 1)
			cards[n].suspect = true;
		else if (sscanf(line, "cleared %d", &n) == 1)
			cards[n].suspect = false;
		else if (sscanf(line, "back %d", &n) == 1)
			reset_card(n, true);
		else if (sscanf(line, "cover %d", &n) == 1)
			print_capacity(out, n);
		else if (sscanf(line, "losses %d", &n) == 1)
			print_single_losses(out, n);
		else if (strncmp(line, "show", 4) == 0)
			print_cards(out);
	}
}

int main(void)
{
	return script_main("regress/lay", drive);
}
