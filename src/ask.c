#include "ask.h"

/*
 * Maximum number of doublings of the probe interval for a worker that answers
 * probes but passes no events: a group of workers that all slow down together
 * would otherwise be probed without end.
 */
#define ASK_DOUBLINGS_MAX 3
/* A first event that takes longer than this is late. */
#define ASK_LATE_FIRST_US (150 * MAG_US_PER_MS)
/* Interval of probes for a worker's slowdown while first events are late. */
#define ASK_SLOW_US (500 * MAG_US_PER_MS)

static bool ask_is_silent(const struct ask_stream *stream,
			  const struct ask_worker *worker, int64_t now);
static bool ask_is_slow(const struct ask_stream *stream,
			const struct ask_worker *worker, int64_t now);

/* Tells whether, and why, to probe a worker of a stream now. */
enum ask_reason ask_worker(const struct ask_stream *stream,
			   const struct ask_worker *worker, int64_t now)
{
	if (ask_is_silent(stream, worker, now))
		return ASK_SILENT;
	return ask_is_slow(stream, worker, now) ? ASK_SLOW : ASK_NONE;
}

/* Tells whether a stream is silent and no other stream passes the worker. */
static bool ask_is_silent(const struct ask_stream *stream,
			  const struct ask_worker *worker, int64_t now)
{
	return now - stream->last_progress_us >= stream->silence_limit_us &&
	       now - worker->last_event_us >= stream->silence_limit_us &&
	       now - worker->probed_us >= mag_backoff(ASK_INTERVAL_US,
						      worker->probes,
						      ASK_DOUBLINGS_MAX);
}

/*
 * Tells whether to probe for a slow worker.  If a first event is late although
 * the workers pass events of other streams, one of them may have become slow.
 * Without knowing it, every router continues to send there, prompts queue, and
 * callers leave before their first event.
 */
static bool ask_is_slow(const struct ask_stream *stream,
			const struct ask_worker *worker, int64_t now)
{
	return !stream->began && now - stream->sent_us >= ASK_LATE_FIRST_US &&
	       now - worker->slowdown_us >= ASK_SLOW_US &&
	       now - worker->probed_us >= ASK_SLOW_US;
}
