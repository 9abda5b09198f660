#include <string.h>

#include "mag.h"
#include "run.h"
#include "script.h"
#include "stall.h"

#define LINE_MAX_   256
#define WORKERS_MAX 8
#define TICK_MS	    10
#define PROBE_MS    100 /* least interval between two probes of a worker */
#define ALLOWED_MS  250
#define LIMIT_MS    100
/* The first event after a move comes within this time of it. */
#define MOVE_MS 100
#define WAIT_MS 1000
/* Sound workers may let a stream wait for as much longer. */
#define GAP_MS 100

/*
 * Simulates a router with one stream through some workers, in steps of a
 * millisecond.  When the router runs, it first reads and writes its sockets,
 * then ticks if that is due: it probes the workers of a silent stream and takes
 * the stream off those that are lost.
 */
struct worker {
	bool hung;
	bool dead;
	bool probing;
	long asked_ms;	  /* when the tick asked */
	long flushed_ms;  /* when the probe left the router; 0: not yet */
	int64_t asked_us; /* by the clock of the router */
	bool unresponsive;
};

static struct worker workers[WORKERS_MAX];
static int worker_count;
static long now_ms;
static long next_tick_ms;
static long pace_ms;
static long gap_ms;	/* the next event comes as much later */
static long answer_ms;	/* until a sound worker answers a probe */
static long next_ms;	/* when the workers send the next event */
static long sent_ms;	/* when they sent the last one */
static bool unread;	/* an event that the router has not read */
static int64_t read_us; /* by the clock of the router */
static int64_t longest_us;
static int64_t probe_read_us;
static struct run run;
static int unresponsive; /* workers called so */
static long silent_ms;	 /* of the stream when it was taken off; 0: not */

static int64_t now_us(void)
{
	return now_ms * MAG_US_PER_MS;
}

static bool stands_still(void)
{
	int i;

	for (i = 0; i < worker_count; i++) {
		if (workers[i].hung || workers[i].dead)
			return true;
	}
	return false;
}

static void work(void)
{
	if (now_ms < next_ms || stands_still())
		return;
	sent_ms = now_ms;
	next_ms = now_ms + pace_ms + gap_ms;
	gap_ms = 0;
	unread = true;
}

static void read_sockets(void)
{
	int64_t at_us = run_at(&run, now_us());
	struct worker *worker;
	int i;

	if (unread) {
		if (at_us - read_us > longest_us)
			longest_us = at_us - read_us;
		read_us = at_us;
		unread = false;
	}
	for (i = 0; i < worker_count; i++) {
		worker = &workers[i];
		if (!worker->probing)
			continue;
		if (!worker->flushed_ms) {
			worker->flushed_ms = now_ms;
		} else if (!worker->hung && !worker->dead &&
			   now_ms - worker->flushed_ms >= answer_ms) {
			worker->probing = false;
			worker->unresponsive = false;
			probe_read_us = at_us;
		}
	}
}

static void check(struct worker *worker, const struct stall_stream *stream,
		  int open)
{
	struct stall_probe probe = {
		.asked_us = run_since(&run, worker->asked_us, now_us()),
		.open = open,
		.answered = probe_read_us >= worker->asked_us,
	};
	struct stall_worker view = { stream->silent_us, worker->dead };

	if (worker->probing && !worker->unresponsive &&
	    stall_is_overdue(&probe)) {
		worker->unresponsive = true;
		unresponsive++;
	}
	if ((worker->unresponsive || worker->dead) && !silent_ms &&
	    stall_is_lost(stream, &view))
		silent_ms = now_ms - sent_ms;
	if (worker->probing || stream->silent_us < stream->limit_us ||
	    now_ms - worker->asked_ms < PROBE_MS)
		return;
	worker->probing = true;
	worker->asked_ms = now_ms;
	worker->asked_us = run_at(&run, now_us());
	worker->flushed_ms = 0;
	worker->unresponsive = false;
}

static void tick(void)
{
	struct stall_stream stream = {
		.flows = true,
		.limit_us = LIMIT_MS * MAG_US_PER_MS,
		.longest_us = longest_us,
		.allowed_us = ALLOWED_MS * MAG_US_PER_MS,
	};
	struct stall_probe probe = { 0 };
	int open = 0;
	int i;

	run_tick(&run, now_us());
	stream.silent_us = run_since(&run, read_us, now_us());
	for (i = 0; i < worker_count; i++) {
		probe.asked_us = run_since(&run, workers[i].asked_us, now_us());
		open += workers[i].probing && stall_is_late(&probe);
	}
	for (i = 0; i < worker_count; i++)
		check(&workers[i], &stream, open);
}

static void pass(long ms, bool running)
{
	for (ms += now_ms; now_ms < ms; now_ms++) {
		work();
		if (!running)
			continue;
		read_sockets();
		if (now_ms < next_tick_ms)
			continue;
		next_tick_ms += TICK_MS;
		if (next_tick_ms <= now_ms)
			next_tick_ms = now_ms + TICK_MS;
		tick();
	}
}

/* Runs until the router has just asked a worker; that is not yet sent. */
static void run_until_probe(void)
{
	long until_ms = now_ms + WAIT_MS;

	while (now_ms < until_ms &&
	       !(workers[0].probing && !workers[0].flushed_ms))
		pass(1, true);
}

/* Pauses and runs so many times. */
static void take_turns(int count, long off_ms, long on_ms)
{
	while (count-- > 0) {
		pass(off_ms, false);
		pass(on_ms, true);
	}
}

static void report(FILE *out)
{
	fprintf(out, "called unresponsive: %d, stream ", unresponsive);
	if (!silent_ms)
		fprintf(out, "stays\n");
	else
		fprintf(out, "taken off %s\n",
			silent_ms + MOVE_MS <= ALLOWED_MS ? "in time" : "late");
}

static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	long off_ms;
	long ms;
	int n;

	memset(workers, 0, sizeof(workers));
	memset(&run, 0, sizeof(run));
	now_ms = next_ms = next_tick_ms = 1000;
	read_us = longest_us = probe_read_us = 0;
	unresponsive = 0;
	silent_ms = 0;
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "workers %d %ld %ld", &worker_count, &pace_ms,
			   &answer_ms) == 3 ||
		    sscanf(line, "gap %ld", &gap_ms) == 1)
			continue;
		if (sscanf(line, "run %ld", &ms) == 1) {
			pass(ms, true);
		} else if (sscanf(line, "turns %d %ld %ld", &n, &off_ms, &ms) ==
			   3) {
			take_turns(n, off_ms, ms);
		} else if (sscanf(line, "asked %d %ld %ld", &n, &off_ms, &ms) ==
			   3) {
			gap_ms = GAP_MS;
			run_until_probe();
			take_turns(n, off_ms, ms);
			pass(WAIT_MS, true);
			report(out);
		} else if (sscanf(line, "hang %d", &n) == 1) {
			while (n-- > 0)
				workers[n].hung = true;
		} else if (strncmp(line, "die", 3) == 0) {
			workers[0].dead = true;
		} else {
			report(out);
		}
	}
}

int main(void)
{
	return script_main("regress/stall", run_script);
}
