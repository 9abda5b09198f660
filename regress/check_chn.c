#include <string.h>

#include "chn.h"
#include "room.h"
#include "script.h"

#define WORKERS_MAX	 8192
#define RUSH_WORKERS_MAX 128
#define LINE_MAX_	 256
#define STREAMS_MAX	 4096
/* Tokens that a stream of a burst generates. */
#define RUSH_TOKENS  225
#define RUSH_STEP_US 1000
/* Interval at which routers exchange their loads, and number of routers. */
#define RUSH_EXCHANGE_US 200000
#define RUSH_ROUTERS	 8
/* A refused caller retries after this time, or up to twice as long. */
#define RUSH_RETRY_US 3.2e6

static struct chn_worker workers[WORKERS_MAX];
static int count;
static struct chn_request request;

/* "worker CENTRE FROM TO LAYER_US MEMORY HELD FIRSTS_LEFT" */
static void add_worker(const char *line)
{
	struct chn_worker w = { .ref = count };

	if (count < WORKERS_MAX &&
	    sscanf(line, "%*s %d %d %d %lf %lf %lf %d", &w.centre, &w.from,
		   &w.to, &w.layer_us, &w.memory, &w.held,
		   &w.first_hops_left) == 7)
		workers[count++] = w;
}

/* "entry REF US": the price of a chain that begins there. */
static void set_entry(const char *line)
{
	double us;
	int ref;

	if (sscanf(line, "%*s %d %lf", &ref, &us) == 2 && ref < count)
		workers[ref].entry_us = us;
}

/* "workers N CENTRE FROM TO LAYER_US": so many alike. */
static void add_workers(const char *line)
{
	struct chn_worker w = { .memory = 1e7, .first_hops_left = 192 };
	int n = 0;

	sscanf(line, "%*s %d %d %d %d %lf", &n, &w.centre, &w.from, &w.to,
	       &w.layer_us);
	for (; n > 0 && count < WORKERS_MAX; n--) {
		w.ref = count;
		workers[count++] = w;
	}
}

/* "want LAYERS CENTRE TOKENS CROSS" */
static void set_request(const char *line)
{
	int cross = 0;

	sscanf(line, "%*s %d %d %lf %d", &request.layers, &request.centre,
	       &request.tokens, &cross);
	request.hop_us = 250;
	request.centre_us = 40000;
	request.remote_entry_us = 8000;
	request.may_cross_centres = cross != 0;
	request.memory_limit = CHN_MEMORY_LIMIT;
}

/* Chooses chains, checks that they cover all layers, and reserves memory. */
static void choose_chains(FILE *out, int times)
{
	static const char *const errors[] = { "ok", "no holders", "no memory",
					      "no slots", "no crossing" };
	struct chn_chain chain;
	int position;
	int rc = CHN_OK;
	int n;
	int i;

	for (n = 0; n < times; n++) {
		rc = chn_choose(&request, workers, count, &chain);
		if (rc)
			break;
		position = 0;
		for (i = 0; i < chain.count; i++) {
			if (chain.hops[i].from != position)
				fprintf(out, "gap at %d\n", position);
			position = chain.hops[i].to;
			workers[chain.hops[i].ref].held +=
				request.tokens *
				(chain.hops[i].to - chain.hops[i].from);
		}
		if (position != request.layers)
			fprintf(out, "ends at %d\n", position);
		workers[chain.hops[0].ref].first_hops_left--;
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

/* "barred REF UNTIL_MS": the worker wants nothing until then. */
static void bar_worker(const char *line)
{
	long long until_ms;
	int ref;

	if (sscanf(line, "%*s %d %lld", &ref, &until_ms) == 2 && ref < count)
		workers[ref].barred_until_us = until_ms * MAG_US_PER_MS;
}

/* "covered": prints from when on, at 1 s, every layer has a holder. */
static void print_covered(FILE *out)
{
	int64_t at_us =
		chn_covered_at(workers, count, request.layers, MAG_US_PER_S);

	if (at_us == MAG_NEVER)
		fprintf(out, "never\n");
	else
		fprintf(out, "from %lld ms\n",
			(long long)(at_us / MAG_US_PER_MS));
}

/*
 * "repair TO CENTRE": the first hop, of a worker that is not in the list, runs
 * layers [0, TO).  Reserves memory for new hops, and adds their reading to the
 * backlog.
 */
static void repair_chain(const char *line, FILE *out)
{
	struct chn_first_hop first = { 0, 0 };
	struct chn_chain chain;
	struct chn_worker *w;
	int i;

	sscanf(line, "%*s %d %d", &first.to, &first.centre);
	if (chn_repair(&request, &first, workers, count, &chain)) {
		fprintf(out, "no repair\n");
		return;
	}
	for (i = 0; i < chain.count; i++) {
		w = &workers[chain.hops[i].ref];
		fprintf(out, "%s%d=%d-%d", i ? " " : "", chain.hops[i].ref,
			chain.hops[i].from, chain.hops[i].to);
		if (w->retained_from == chain.hops[i].from &&
		    w->retained_to == chain.hops[i].to)
			continue;
		w->held += request.tokens *
			   (chain.hops[i].to - chain.hops[i].from);
		w->prefill_backlog_us +=
			w->prefill_us * (chain.hops[i].to - chain.hops[i].from);
	}
	fprintf(out, " crossings %d\n", chain.crossings);
}

/*
 * "storm TIMES": so many streams restart at once; prints how many of them begin
 * at each first worker.
 */
static void restart_streams(FILE *out, int times)
{
	int started_at[CHN_LAYERS_MAX] = { 0 };
	struct chn_chain chain;
	struct chn_worker *w;
	int n;
	int i;

	request.price_prefill = true;
	for (n = 0; n < times; n++) {
		if (chn_choose(&request, workers, count, &chain))
			break;
		started_at[chain.hops[0].ref]++;
		for (i = 0; i < chain.count; i++) {
			w = &workers[chain.hops[i].ref];
			w->prefill_backlog_us +=
				w->prefill_us *
				(chain.hops[i].to - chain.hops[i].from);
		}
	}
	request.price_prefill = false;
	for (i = 0; i < count; i++) {
		if (started_at[i] > 0)
			fprintf(out, "worker %d takes %d\n", i, started_at[i]);
	}
}

/* A running stream of a burst and the memory that it holds. */
struct rush_stream {
	struct chn_chain chain;
	double tokens;
	int64_t end_us;
	bool is_retry; /* its caller was refused before */
};

/*
 * Routers that choose chains in turn.  Each knows its own sends at once, and
 * those of the others as of the last exchange of loads.
 */
static struct rush {
	struct rush_stream streams[STREAMS_MAX];
	int running;
	double held[RUSH_WORKERS_MAX];	    /* actual figures */
	double exchanged[RUSH_WORKERS_MAX]; /* as of the last exchange */
	double sent[RUSH_ROUTERS]
		   [RUSH_WORKERS_MAX]; /* by each router, since then */
	int router;		       /* the router whose turn it is */
	uint64_t seed;
	double served; /* streams that ended, retries not counted */
	int refused;   /* sends refused by full workers */
	int64_t retry_us[STREAMS_MAX]; /* when refused callers retry */
	int retry_count;
} rush;

/* Returns the time per token on a chain, at the speed of its workers. */
static double rush_token_us(const struct chn_chain *chain)
{
	const struct chn_hop *hop;
	double us = 0;
	int i;

	for (i = 0; i < chain->count; i++) {
		hop = &chain->hops[i];
		us += request.hop_us +
		      workers[hop->ref].layer_us * (hop->to - hop->from);
	}
	return us;
}

/* Reserves the memory of a stream (sign 1) or releases it (sign -1). */
static void rush_reserve(const struct rush_stream *stream, int sign)
{
	const struct chn_hop *hop;
	int i;

	for (i = 0; i < stream->chain.count; i++) {
		hop = &stream->chain.hops[i];
		rush.held[hop->ref] +=
			sign * stream->tokens * (hop->to - hop->from);
	}
}

/* Tells whether every worker of a chain actually has memory for a stream. */
static bool rush_has_memory(const struct rush_stream *stream)
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

/* All routers learn what the others have sent so far. */
static void rush_exchange_loads(void)
{
	memcpy(rush.exchanged, rush.held, sizeof(rush.exchanged));
	memset(rush.sent, 0, sizeof(rush.sent));
}

/* Returns how much memory of a worker is in use, as far as a router knows. */
static double rush_estimate(int worker, double sent, int64_t now)
{
	struct room_load known = { .own = sent,
				   .recent = sent,
				   .peers = rush.exchanged[worker],
				   .routers = RUSH_ROUTERS };

	return room_held(&known, now);
}

/* Schedules the retry of a caller that is refused for the first time. */
static void rush_schedule_retry(bool is_retry, int64_t now)
{
	if (is_retry || rush.retry_count == STREAMS_MAX)
		return;
	rush.retry_us[rush.retry_count++] =
		now +
		(int64_t)(RUSH_RETRY_US * (1 + mag_random_unit(&rush.seed)));
}

/*
 * The next router starts a stream of random size if it finds memory.  Retries
 * leave the last memory to others.
 */
static void rush_start(bool is_retry, int64_t now)
{
	struct rush_stream *stream = &rush.streams[rush.running];
	double size = 0.2 + 1.6 * mag_random_unit(&rush.seed);
	struct chn_request scaled = request;
	const struct chn_hop *hop;
	double *sent;
	int i;

	rush.router = (rush.router + 1) % RUSH_ROUTERS;
	sent = rush.sent[rush.router];
	for (i = 0; i < count; i++)
		workers[i].held = rush_estimate(i, sent[i], now);
	scaled.tokens *= size;
	scaled.memory_limit = is_retry ? CHN_YIELD_LIMIT : CHN_MEMORY_LIMIT;
	if (rush.running == STREAMS_MAX ||
	    chn_choose(&scaled, workers, count, &stream->chain)) {
		rush_schedule_retry(is_retry, now);
		return;
	}
	stream->tokens = scaled.tokens;
	stream->is_retry = is_retry;
	if (!rush_has_memory(stream)) {
		rush.refused++;
		rush_schedule_retry(is_retry, now);
		return;
	}
	rush_reserve(stream, 1);
	for (i = 0; i < stream->chain.count; i++) {
		hop = &stream->chain.hops[i];
		sent[hop->ref] += stream->tokens * (hop->to - hop->from);
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
		rush_reserve(&rush.streams[i], -1);
		rush.served += counts && !rush.streams[i].is_retry;
		rush.streams[i--] = rush.streams[--rush.running];
	}
}

/* Starts the retries that are due. */
static void rush_retry(int64_t now)
{
	int i;

	for (i = 0; i < rush.retry_count; i++) {
		if (rush.retry_us[i] > now)
			continue;
		rush.retry_us[i--] = rush.retry_us[--rush.retry_count];
		rush_start(true, now);
	}
}

/*
 * Returns how many streams per second are served in time at a rate of arrivals,
 * measured in the second half of the burst.
 */
static double rush_goodput(double rate, double seconds, bool retries)
{
	int started = 0;
	int64_t now;

	memset(&rush, 0, sizeof(rush));
	rush.seed = 1;
	for (now = 0; (double)now < seconds * 1e6; now += RUSH_STEP_US) {
		if (now % RUSH_EXCHANGE_US == 0)
			rush_exchange_loads();
		rush_end(now, (double)now >= seconds * 1e6 / 2);
		if (retries)
			rush_retry(now);
		for (; started < rate * (double)now / 1e6; started++)
			rush_start(false, now);
	}
	return rush.served / (seconds / 2);
}

/*
 * "rush USUAL RATE SECONDS REFUSALS [back]": streams arrive at a rate and hold
 * their memory until their last token.  Prints whether the goodput is at least
 * nine tenths of that at the usual rate, and whether workers refuse at most so
 * many sends.  With "back", refused callers retry once, too late to be in time.
 */
static void run_rush(const char *line, FILE *out)
{
	double goodput;
	double usual;
	double rate;
	double seconds;
	bool retries = strstr(line, "back");
	int max_refusals;

	if (sscanf(line, "%*s %lf %lf %lf %d", &usual, &rate, &seconds,
		   &max_refusals) != 4)
		return;
	usual = rush_goodput(usual, seconds, retries);
	goodput = rush_goodput(rate, seconds, retries);
	fprintf(out, "goodput %s, %s\n",
		goodput >= 0.9 * usual ? "holds" : "falls",
		rush.refused <= max_refusals ? "few refusals"
					     : "too many refusals");
}

/*
 * "keeps WORKER FROM TO": the layers of the stream that the worker already
 * runs.
 */
static void set_retained(const char *line)
{
	int n;
	int from;
	int to;

	if (sscanf(line, "%*s %d %d %d", &n, &from, &to) != 3 || n >= count)
		return;
	workers[n].retained_from = from;
	workers[n].retained_to = to;
}

/* "reads US": time for every worker to read the stream through a layer. */
static void set_prefill(const char *line)
{
	double us = 0;
	int i;

	sscanf(line, "%*s %lf", &us);
	for (i = 0; i < count; i++)
		workers[i].prefill_us = us;
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
		else if (strncmp(line, "workers ", 8) == 0)
			add_workers(line);
		else if (strncmp(line, "entry ", 6) == 0)
			set_entry(line);
		else if (strncmp(line, "want ", 5) == 0)
			set_request(line);
		else if (sscanf(line, "choose %d", &n) == 1)
			choose_chains(out, n);
		else if (sscanf(line, "storm %d", &n) == 1)
			restart_streams(out, n);
		else if (sscanf(line, "hop %d", &n) == 1)
			request.hop_us = n;
		else if (strncmp(line, "rush ", 5) == 0)
			run_rush(line, out);
		else if (strncmp(line, "barred ", 7) == 0)
			bar_worker(line);
		else if (strncmp(line, "covered", 7) == 0)
			print_covered(out);
		else if (strncmp(line, "repair ", 7) == 0)
			repair_chain(line, out);
		else if (strncmp(line, "keeps ", 6) == 0)
			set_retained(line);
		else if (strncmp(line, "reads ", 6) == 0)
			set_prefill(line);
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
