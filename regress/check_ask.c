#include <string.h>

#include "ask.h"
#include "script.h"

#define LINE_MAX_   256
#define STREAMS_MAX 64
#define TICK_MS	    10

/*
 * Simulates one worker with streams through it, tick by tick: a stream's first
 * event arrives FIRST ms after its send, then one every GAP ms.  A healthy
 * worker answers a probe at once, a dead one does not.
 */
struct stream {
	long sent_ms;
	long last_ms;
	bool began;
};

static struct stream streams[STREAMS_MAX];
static int count;
static long first_ms;
static long gap_ms;
static struct ask_worker worker;
static bool answers;
static long now_ms;
static int silence_probes;
static int slowdown_probes;

static void probe(struct stream *stream, int64_t now)
{
	struct ask_stream view = { stream->sent_ms * MAG_US_PER_MS,
				   stream->last_ms * MAG_US_PER_MS,
				   100 * MAG_US_PER_MS, stream->began };
	enum ask_reason why = ask_worker(&view, &worker, now);

	if (why == ASK_NONE)
		return;
	silence_probes += why == ASK_SILENT;
	slowdown_probes += why == ASK_SLOW;
	worker.probes += why == ASK_SILENT;
	worker.probed_us = now;
	if (answers)
		worker.slowdown_us = now;
}

static void tick(void)
{
	int64_t now = now_ms * MAG_US_PER_MS;
	struct stream *stream;
	long due;
	int i;

	for (i = 0; i < count; i++) {
		stream = &streams[i];
		due = stream->last_ms + (stream->began ? gap_ms : first_ms);
		if (first_ms > 0 && now_ms >= due) {
			stream->last_ms = now_ms;
			stream->began = true;
			worker.last_event_us = now;
			worker.probes = 0;
		}
	}
	for (i = 0; i < count; i++)
		probe(&streams[i], now);
}

static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	long ms;
	int n;

	count = 0;
	now_ms = 10000;
	answers = true;
	memset(&worker, 0, sizeof(worker));
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "pace %ld %ld", &first_ms, &gap_ms) == 2)
			continue;
		if (strncmp(line, "dead", 4) == 0) {
			first_ms = 0;
			answers = false;
		} else if (sscanf(line, "streams %d", &n) == 1) {
			while (n-- > 0 && count < STREAMS_MAX)
				streams[count++] =
					(struct stream){ now_ms, now_ms,
							 false };
		} else if (sscanf(line, "run %ld", &ms) == 1) {
			silence_probes = 0;
			slowdown_probes = 0;
			for (ms += now_ms; now_ms < ms; now_ms += TICK_MS)
				tick();
			fprintf(out, "probes for silence %d, for slowdown %d\n",
				silence_probes, slowdown_probes);
		}
	}
}

int main(void)
{
	return script_main("regress/ask", run_script);
}
