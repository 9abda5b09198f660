#include <string.h>

#include "chn.h"
#include "room.h"
#include "script.h"

#define WORKERS_MAX 128
#define LINE_MAX_   256
#define STREAMS_MAX 4096
/* Tokens that a stream of a rush writes. */
#define RUSH_TOKENS  225
#define RUSH_STEP_US 1000
/* How often routers tell each other their load, and how many there are. */
#define RUSH_TELL_US 200000
#define RUSH_ROUTERS 8
/* A refused caller comes back after this, or up to twice as long. */
#define RUSH_BACK_US 3.2e6

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

/* A stream of a rush, with what it holds until it ends. */
struct rush_stream {
	struct chn_chain chain;
	double tokens;
	int64_t end_us;
	bool late; /* its caller was refused before */
};

/*
 * Routers that choose in turn.  Each knows its own sends at once, and those of
 * the others as they were when all told each other last.
 */
static struct rush {
	struct rush_stream streams[STREAMS_MAX];
	int running;
	double held[WORKERS_MAX];	       /* in truth */
	double told[WORKERS_MAX];	       /* as all told each other last */
	double own[RUSH_ROUTERS][WORKERS_MAX]; /* since then, by each */
	int router;			       /* whose turn it is */
	uint64_t seed;
	double served;		      /* in time */
	int refused;		      /* by workers that were full */
	int64_t back_us[STREAMS_MAX]; /* when refused callers come back */
	int back_count;
} rush;

/* Returns how long a token takes on a chain, at the pace of its workers. */
static double rush_token_us(const struct chn_chain *chain)
{
	const struct chn_hop *hop;
	double us = 0;
	int i;

	for (i = 0; i < chain->count; i++) {
		hop = &chain->hops[i];
		us += want.hop_us +
		      workers[hop->ref].layer_us * (hop->to - hop->from);
	}
	return us;
}

/* Takes the memory of a stream, or gives it back. */
static void rush_hold(const struct rush_stream *stream, int sign)
{
	const struct chn_hop *hop;
	int i;

	for (i = 0; i < stream->chain.count; i++) {
		hop = &stream->chain.hops[i];
		rush.held[hop->ref] +=
			sign * stream->tokens * (hop->to - hop->from);
	}
}

/* Tells whether every worker of a chain has room in truth. */
static bool rush_fits(const struct rush_stream *stream)
{
	const struct chn_hop *hop;
	int i;

	for (i = 0; i < stream->chain.count; i++) {
		hop = &stream->chain.hops[i];
		if (rush.held[hop->ref] +
			    stream->tokens * (hop->to - hop->from) >
		    workers[hop->ref].memory)
			return false;
	}
	return true;
}

/* All routers tell each other what they have sent. */
static void rush_tell(void)
{
	memcpy(rush.told, rush.held, sizeof(rush.told));
	memset(rush.own, 0, sizeof(rush.own));
}

/* Returns what a router knows to be held by a worker. */
static double rush_known(int worker, double own, int64_t now)
{
	struct room_load known = { .own = own,
				   .recent = own,
				   .peers = rush.told[worker],
				   .routers = RUSH_ROUTERS };

	return room_held(&known, now);
}

/* A caller that was refused for the first time comes back late. */
static void rush_refuse(bool late, int64_t now)
{
	if (late || rush.back_count == STREAMS_MAX)
		return;
	rush.back_us[rush.back_count++] =
		now +
		(int64_t)(RUSH_BACK_US * (1 + mag_random_unit(&rush.seed)));
}

/*
 * The next router starts a stream of a drawn size where it finds room; late
 * ones leave the last of it to others.
 */
static void rush_start(bool late, int64_t now)
{
	struct rush_stream *stream = &rush.streams[rush.running];
	double size = 0.2 + 1.6 * mag_random_unit(&rush.seed);
	struct chn_want wanted = want;
	const struct chn_hop *hop;
	double *own;
	int i;

	rush.router = (rush.router + 1) % RUSH_ROUTERS;
	own = rush.own[rush.router];
	for (i = 0; i < count; i++)
		workers[i].held = rush_known(i, own[i], now);
	wanted.tokens *= size;
	wanted.yields = late;
	if (rush.running == STREAMS_MAX ||
	    chn_choose(&wanted, workers, count, &stream->chain)) {
		rush_refuse(late, now);
		return;
	}
	stream->tokens = wanted.tokens;
	stream->late = late;
	if (!rush_fits(stream)) {
		rush.refused++;
		rush_refuse(late, now);
		return;
	}
	rush_hold(stream, 1);
	for (i = 0; i < stream->chain.count; i++) {
		hop = &stream->chain.hops[i];
		own[hop->ref] += stream->tokens * (hop->to - hop->from);
	}
	stream->end_us = now + (int64_t)(rush_token_us(&stream->chain) *
					 RUSH_TOKENS * size);
	rush.running++;
}

/* Ends the streams whose last token has come. */
static void rush_end(int64_t now, bool counts)
{
	int i;

	for (i = 0; i < rush.running; i++) {
		if (rush.streams[i].end_us > now)
			continue;
		rush_hold(&rush.streams[i], -1);
		rush.served += counts && !rush.streams[i].late;
		rush.streams[i--] = rush.streams[--rush.running];
	}
}

/* Callers that were refused ask once more. */
static void rush_come_back(int64_t now)
{
	int i;

	for (i = 0; i < rush.back_count; i++) {
		if (rush.back_us[i] > now)
			continue;
		rush.back_us[i--] = rush.back_us[--rush.back_count];
		rush_start(true, now);
	}
}

/*
 * Returns how many streams are served in time a second at a rate of arrivals,
 * in the second half of the rush.
 */
static double rush_goodput(double rate, double seconds, bool comes_back)
{
	int started = 0;
	int64_t now;

	memset(&rush, 0, sizeof(rush));
	rush.seed = 1;
	for (now = 0; (double)now < seconds * 1e6; now += RUSH_STEP_US) {
		if (now % RUSH_TELL_US == 0)
			rush_tell();
		rush_end(now, (double)now >= seconds * 1e6 / 2);
		if (comes_back)
			rush_come_back(now);
		for (; started < rate * (double)now / 1e6; started++)
			rush_start(false, now);
	}
	return rush.served / (seconds / 2);
}

/*
 * "rush USUAL RATE SECONDS REFUSALS [back]": streams arrive at a rate and hold
 * their memory until their last token.  Prints whether nine tenths of the
 * goodput at the usual rate are left, and whether workers refuse at most so
 * many sends. With "back", callers that were refused ask once more, too late.
 */
static void run_rush(const char *line, FILE *out)
{
	double goodput;
	double usual;
	double rate;
	double seconds;
	bool back = strstr(line, "back");
	int most;

	if (sscanf(line, "%*s %lf %lf %lf %d", &usual, &rate, &seconds,
		   &most) != 4)
		return;
	usual = rush_goodput(usual, seconds, back);
	goodput = rush_goodput(rate, seconds, back);
	fprintf(out, "goodput %s, %s\n",
		goodput >= 0.9 * usual ? "holds" : "falls",
		rush.refused <= most ? "few refusals" : "too many refusals");
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
		else if (sscanf(line, "hop %d", &n) == 1)
			want.hop_us = n;
		else if (strncmp(line, "rush ", 5) == 0)
			run_rush(line, out);
		else if (strncmp(line, "repair ", 7) == 0)
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
