#ifndef ASK_H
#define ASK_H

/*
 * Decides which workers of a stream to ask how they are.  Pure.
 *
 * Load pattern: a worker dies, falls silent or turns slow under full load.
 * One that is silent passes nothing; one that is slow passes all, and its own
 * report is the only sign.  Every question is paid for, so that workers are
 * not asked while the streams through them go on in time.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

enum ask_reason {
	ASK_NONE,
	ASK_SILENT, /* nothing came through the worker for too long */
	ASK_SLOW,   /* a first event is late, and its pace is not known */
};

struct ask_stream {
	int64_t sent_us;	  /* this attempt */
	int64_t last_progress_us; /* its last event, repair or send */
	int64_t silence_limit_us; /* a silence this long is a sign */
	bool began;		  /* its first event has come */
};

struct ask_worker {
	int64_t passed_us; /* an event of any stream came through it */
	int64_t probed_us;
	int64_t slowdown_us; /* its pace was learned */
	int probes;	     /* since an event came through it */
};

/* A pause between two questions about one stream, at least. */
#define ASK_INTERVAL_US (150 * MAG_US_PER_MS)

enum ask_reason ask_worker(const struct ask_stream *stream,
			   const struct ask_worker *worker, int64_t now);

#endif /* ASK_H */
