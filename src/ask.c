#include "ask.h"

/* A worker that answers but passes nothing is asked half as often each time:
 * those that all slow down together would be asked without end. */
#define ASK_DOUBLE 3
/* A first event that takes longer than this is late for a reason. */
#define ASK_SLOW_FIRST_US (150 * MAG_US_PER_MS)
/* How often a worker's pace is asked for while first events are late. */
#define ASK_SLOW_US (500 * MAG_US_PER_MS)

static bool ask_is_quiet(const struct ask_stream *stream,
			 const struct ask_worker *worker, int64_t now);
static bool ask_is_slow(const struct ask_stream *stream,
			const struct ask_worker *worker, int64_t now);

/* Tells whether, and why, to ask a worker of a stream now. */
enum ask_reason ask_worker(const struct ask_stream *stream,
			   const struct ask_worker *worker, int64_t now)
{
	if (ask_is_quiet(stream, worker, now))
		return ASK_SILENT;
	return ask_is_slow(stream, worker, now) ? ASK_SLOW : ASK_NONE;
}

/* A stream is silent, and so is all else that runs through the worker. */
static bool ask_is_quiet(const struct ask_stream *stream,
			 const struct ask_worker *worker, int64_t now)
{
	return now - stream->last_progress_us >= stream->silence_limit_us &&
	       now - worker->passed_us >= stream->silence_limit_us &&
	       now - worker->probed_us >=
		       mag_backoff(ASK_INTERVAL_US, worker->probes, ASK_DOUBLE);
}

/*
 * A first event is late although its workers may pass others' events: one of
 * them may have turned slow.  Not knowing it, every router goes on to send
 * there, prompts wait for each other, and callers leave before their first
 * event.
 */
static bool ask_is_slow(const struct ask_stream *stream,
			const struct ask_worker *worker, int64_t now)
{
	return !stream->began && now - stream->sent_us >= ASK_SLOW_FIRST_US &&
	       now - worker->slowdown_us >= ASK_SLOW_US &&
	       now - worker->probed_us >= ASK_SLOW_US;
}
