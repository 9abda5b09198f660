#include <string.h>

#include "lay.h"
#include "script.h"

#define CARDS_MAX 256
#define LINE_MAX_ 256

static struct lay_card cards[CARDS_MAX];
static int count;
/* A token's time in a layer and between workers, as an engine tells it. */
static struct lay_model model = { .layer_us = 12.75, .hop_us = 250 };

/* Adds N alike cards; "card CENTRE N MEMORY_MB FACTOR [FROM TO]". */
static void add_cards(const char *line)
{
	struct lay_card card = { .usable = true };
	int n = 0;

	sscanf(line, "%*s %d %d %lf %lf %d %d", &card.centre, &n,
	       &card.memory_mb, &card.step_factor, &card.from, &card.to);
	while (n-- > 0 && count < CARDS_MAX)
		cards[count++] = card;
}

/* Carries the plan out: what is wanted is held. */
static void hold(void)
{
	int i;

	for (i = 0; i < count; i++) {
		cards[i].from = cards[i].planned_from;
		cards[i].to = cards[i].planned_to;
	}
}

/* Takes a card out of its data centre, or brings it back empty. */
static void lose(int i, bool back)
{
	cards[i].usable = back;
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

/* Says how each data centre stands; a layer without holder is a hole. */
static void print_cover(FILE *out, int centre)
{
	struct lay_bottleneck cover;
	double value;
	int weakest;

	lay_find_bottleneck(&model, cards, count, centre, &cover);
	fprintf(out, "centre %d least layer %d holders %d tokens %.0f\n",
		centre, cover.layer, cover.holders, cover.tokens);
	value = lay_capacity_score(&model, cards, count, centre, &weakest);
	fprintf(out, "centre %d value %.0f weakest %d\n", centre, value,
		weakest);
}

/* Loses each card alone and counts the losses that leave a hole. */
static void print_single_losses(FILE *out, int centre)
{
	struct lay_bottleneck cover;
	int holes = 0;
	int all = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (cards[i].centre != centre)
			continue;
		cards[i].usable = false;
		lay_find_bottleneck(&model, cards, count, centre, &cover);
		cards[i].usable = true;
		all++;
		holes += cover.holders == 0;
	}
	fprintf(out, "centre %d: %d of %d single losses leave a hole\n", centre,
		holes, all);
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
			hold();
		else if (sscanf(line, "lose %d", &n) == 1)
			lose(n, false);
		else if (sscanf(line, "suspect %d", &n) == 1)
			cards[n].suspect = true;
		else if (sscanf(line, "cleared %d", &n) == 1)
			cards[n].suspect = false;
		else if (sscanf(line, "back %d", &n) == 1)
			lose(n, true);
		else if (sscanf(line, "cover %d", &n) == 1)
			print_cover(out, n);
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
