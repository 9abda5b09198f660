#include <string.h>

#include "chn.h"
#include "script.h"

#define WORKERS_MAX 64
#define LINE_MAX_   256

static struct chn_worker workers[WORKERS_MAX];
static int count;
static struct chn_want want;

/* "worker CENTRE FROM TO LAYER_US MEMORY HELD FIRSTS_LEFT" */
static void add_worker(const char *line)
{
	struct chn_worker w = { .ref = count };

	if (count < WORKERS_MAX &&
	    sscanf(line, "%*s %d %d %d %lf %lf %lf %d", &w.centre, &w.from,
		   &w.to, &w.layer_us, &w.memory, &w.held, &w.firsts_left) == 7)
		workers[count++] = w;
}

/* "want LAYERS CENTRE TOKENS CROSS" */
static void set_want(const char *line)
{
	int cross = 0;

	sscanf(line, "%*s %d %d %lf %d", &want.layers, &want.centre,
	       &want.tokens, &cross);
	want.hop_us = 250;
	want.centre_us = 40000;
	want.away_us = 8000;
	want.may_cross = cross != 0;
}

/* Chooses, checks that the layers are tiled, and takes the memory. */
static void choose(FILE *out, int times)
{
	static const char *const errors[] = { "ok", "no holders", "no memory",
					      "no places" };
	struct chn_chain chain;
	int position;
	int rc = CHN_OK;
	int n;
	int i;

	for (n = 0; n < times; n++) {
		rc = chn_choose(&want, workers, count, &chain);
		if (rc)
			break;
		position = 0;
		for (i = 0; i < chain.count; i++) {
			if (chain.hops[i].from != position)
				fprintf(out, "gap at %d\n", position);
			position = chain.hops[i].to;
			workers[chain.hops[i].ref].held +=
				want.tokens *
				(chain.hops[i].to - chain.hops[i].from);
		}
		if (position != want.layers)
			fprintf(out, "ends at %d\n", position);
		workers[chain.hops[0].ref].firsts_left--;
		if (times > 1)
			continue;
		for (i = 0; i < chain.count; i++)
			fprintf(out, "%s%d=%d-%d", i ? " " : "",
				chain.hops[i].ref, chain.hops[i].from,
				chain.hops[i].to);
		fprintf(out, " crossings %d\n", chain.crossings);
	}
	if (times > 1)
		fprintf(out, "%d chosen\n", n);
	if (rc)
		fprintf(out, "%s\n", errors[-rc]);
}

/*
 * "repair TO CENTRE": the first hop, of a worker that is not in the list, runs
 * [0, TO); takes the memory of new parts, and their reading as backlog.
 */
static void repair(const char *line, FILE *out)
{
	struct chn_first first = { 0, 0 };
	struct chn_chain chain;
	struct chn_worker *w;
	int i;

	sscanf(line, "%*s %d %d", &first.to, &first.centre);
	if (chn_repair(&want, &first, workers, count, &chain)) {
		fprintf(out, "no repair\n");
		return;
	}
	for (i = 0; i < chain.count; i++) {
		w = &workers[chain.hops[i].ref];
		fprintf(out, "%s%d=%d-%d", i ? " " : "", chain.hops[i].ref,
			chain.hops[i].from, chain.hops[i].to);
		if (w->keeps_from == chain.hops[i].from &&
		    w->keeps_to == chain.hops[i].to)
			continue;
		w->held +=
			want.tokens * (chain.hops[i].to - chain.hops[i].from);
		w->backlog_us +=
			w->read_us * (chain.hops[i].to - chain.hops[i].from);
	}
	fprintf(out, " crossings %d\n", chain.crossings);
}

/*
 * "storm TIMES": so many streams begin anew at once; prints how many of them
 * each first worker takes.
 */
static void storm(FILE *out, int times)
{
	int taken[CHN_LAYERS_MAX] = { 0 };
	struct chn_chain chain;
	struct chn_worker *w;
	int n;
	int i;

	want.reads = true;
	for (n = 0; n < times; n++) {
		if (chn_choose(&want, workers, count, &chain))
			break;
		taken[chain.hops[0].ref]++;
		for (i = 0; i < chain.count; i++) {
			w = &workers[chain.hops[i].ref];
			w->backlog_us += w->read_us * (chain.hops[i].to -
						       chain.hops[i].from);
		}
	}
	want.reads = false;
	for (i = 0; i < count; i++) {
		if (taken[i] > 0)
			fprintf(out, "worker %d takes %d\n", i, taken[i]);
	}
}

/* "keeps WORKER FROM TO": the part of the stream that it runs already. */
static void keep(const char *line)
{
	int n;
	int from;
	int to;

	if (sscanf(line, "%*s %d %d %d", &n, &from, &to) != 3 || n >= count)
		return;
	workers[n].keeps_from = from;
	workers[n].keeps_to = to;
}

/* "reads US": every worker reads the stream through a layer in this time. */
static void set_read(const char *line)
{
	double us = 0;
	int i;

	sscanf(line, "%*s %lf", &us);
	for (i = 0; i < count; i++)
		workers[i].read_us = us;
}

static void print_held(FILE *out)
{
	int i;

	for (i = 0; i < count; i++)
		fprintf(out, "worker %d holds %.0f of %.0f\n", i,
			workers[i].held, workers[i].memory);
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
		if (strncmp(line, "worker ", 7) == 0)
			add_worker(line);
		else if (strncmp(line, "want ", 5) == 0)
			set_want(line);
		else if (sscanf(line, "choose %d", &n) == 1)
			choose(out, n);
		else if (sscanf(line, "storm %d", &n) == 1)
			storm(out, n);
		else if (strncmp(line, "repair ", 5) == 0)
			repair(line, out);
		else if (strncmp(line, "keeps ", 6) == 0)
			keep(line);
		else if (strncmp(line, "reads ", 6) == 0)
			set_read(line);
		else if (strncmp(line, "held", 4) == 0)
			print_held(out);
		else if (sscanf(line, "lose %d", &n) == 1)
			workers[n].to = workers[n].from;
	}
}

int main(void)
{
	return script_main("regress/chn", drive);
}
