#include "mag.h"
#include "stall.h"

/*
 * A healthy worker answers a probe within 5 ms, or 8 ms from another data
 * centre.  One that has been unresponsive for longer holds up streams that are
 * already silent; they are moved before the gap makes their events late.  If
 * only a packet was lost, the repair was unnecessary and the worker is cleared.
 */
#define STALL_PROBE_US (20 * MAG_US_PER_MS)
/*
 * The same if several workers leave probes open and none has answered since:
 * that is rather this router's own delay or path than all of them at once.
 */
#define STALL_ALONE_PROBE_US (40 * MAG_US_PER_MS)
/*
 * A worker that is dead, or that leaves a probe open, counts as lost for
 * streams that it has not passed on for this long and that have not begun.  One
 * that is dead does so for all streams.
 */
#define STALL_SUSPECT_US (60 * MAG_US_PER_MS)

/* Tells whether a probe has been open for longer than sound workers need. */
bool stall_is_late(const struct stall_probe *probe)
{
	return probe->asked_us >= STALL_PROBE_US;
}

/* Tells whether a probe shows that its worker is unresponsive. */
bool stall_is_overdue(const struct stall_probe *probe)
{
	if (probe->open > 1 && !probe->answered)
		return probe->asked_us >= STALL_ALONE_PROBE_US;
	return stall_is_late(probe);
}

/*
 * Returns the silence after which a stream is taken off a worker that seems
 * lost.  Unless the worker is dead, a stream that flows is left there for as
 * long as it has been silent before, up to the gap that its route allows: a
 * later event is late in any case.
 */
int64_t stall_limit(const struct stall_stream *stream, bool dead)
{
	int64_t longest_us = stream->longest_us;

	if (dead || !stream->flows)
		return STALL_SUSPECT_US;
	if (longest_us > stream->allowed_us)
		longest_us = stream->allowed_us;
	return longest_us > stream->limit_us ? longest_us : stream->limit_us;
}

/*
 * Tells whether a worker that seems lost holds up a stream: the stream is
 * silent, and no other one passes the worker.
 */
bool stall_is_lost(const struct stall_stream *stream,
		   const struct stall_worker *worker)
{
	return worker->silent_us >= STALL_SUSPECT_US &&
	       stream->silent_us >= stall_limit(stream, worker->dead);
}
