#ifndef STALL_H
#define STALL_H

/*
 * Decides whether a worker is called unresponsive, and whether a stream is
 * taken off it.  Pure.  All times are of the clock run.h.
 *
 * Load pattern: a worker hangs under full load and every stream through it
 * stands still; callers count an event as late after some hundred milliseconds,
 * so that the streams have to be moved before that.  On a busy machine sound
 * workers let streams wait for nearly as long.  A stream that is taken off one
 * repeats its prompt elsewhere, which costs a retry and makes the others
 * slower.
 */

#include <stdbool.h>
#include <stdint.h>

struct stall_stream {
	int64_t silent_us;  /* since its last event, send or repair */
	bool flows;	    /* an event has come through its present chain */
	int64_t limit_us;   /* silence after which its workers are probed */
	int64_t longest_us; /* between two events through its present chain */
	int64_t allowed_us; /* gap that the route allows */
};

struct stall_worker {
	int64_t silent_us; /* since an event of any stream came through it */
	bool dead;	   /* it refused or reset a connection, or is gone */
};

struct stall_probe {
	int64_t asked_us; /* since it was sent */
	int open;	  /* probes that workers have not answered for long */
	bool answered;	  /* a worker has answered a probe since */
};

bool stall_is_late(const struct stall_probe *probe);
bool stall_is_overdue(const struct stall_probe *probe);
int64_t stall_limit(const struct stall_stream *stream, bool dead);
bool stall_is_lost(const struct stall_stream *stream,
		   const struct stall_worker *worker);

#endif /* STALL_H */
