#ifndef RUN_H
#define RUN_H

/*
 * A clock of the time during which this process ran and read its sockets.
 * Pure.
 *
 * Load pattern: the machine pauses a router, gives it the processor in short
 * turns, or keeps it busy with one large change of the store.  What workers
 * sent meanwhile is unread, and on the usual clock all of them have been
 * silent.  On this clock a pause takes next to no time, so that silence on it
 * is the workers' own.
 *
 * The tick of the event loop drives the clock.  A tick that comes late adds
 * only a little: the sockets were read at most once since the last one.  It
 * adds something, so that a router that is late in every tick still finds a
 * worker that is hung.
 */

#include <stdint.h>

struct run {
	int64_t us;	   /* time run until the last tick */
	int64_t ticked_us; /* when that was, on the usual clock; 0: never */
};

int64_t run_tick(struct run *run, int64_t now);
int64_t run_at(const struct run *run, int64_t now);
int64_t run_since(const struct run *run, int64_t from_us, int64_t now);

#endif /* RUN_H */
