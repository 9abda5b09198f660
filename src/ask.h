#ifndef ASK_H
#define ASK_H

/*
 * Decides which workers of a stream to probe for their state.  Pure.
 *
 * Load pattern: a worker dies, falls silent or becomes slow under full load.  A
 * silent worker passes no events; a slow one passes all of them, and only its
 * own report shows that it is slow.  Every probe is billed, so workers are not
 * probed while the streams through them are on time.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

enum ask_reason {
	ASK_NONE,
	ASK_SILENT, /* no event has passed the worker for too long */
	ASK_SLOW,   /* a first event is late, its slowdown unknown */
};

struct ask_stream {
	int64_t sent_us;	  /* this attempt */
	int64_t last_progress_us; /* last event, repair or send */
	int64_t silence_limit_us; /* workers are probed after this silence */
	bool began;		  /* the first event has been received */
};

struct ask_worker {
	int64_t last_event_us; /* last event of any stream through it */
	int64_t probed_us;
	int64_t slowdown_us; /* when its slowdown was last learned */
	int probes;	     /* since an event last passed through it */
};

/* Minimum interval between two probes for one stream. */
#define ASK_INTERVAL_US (150 * MAG_US_PER_MS)

enum ask_reason ask_worker(const struct ask_stream *stream,
			   const struct ask_worker *worker, int64_t now);

#endif /* ASK_H */
