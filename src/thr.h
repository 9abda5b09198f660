#ifndef THR_H
#define THR_H

/*
 * Rate limit that a worker names for all routers together, and this router's
 * part of it.  Pure.
 *
 * Load pattern: a worker in need names a limit far below what the routers of
 * its data centre send it.  They hear of it at different moments and of each
 * other's sends a fraction of a second late, and none may ask another before
 * it sends.  Each therefore keeps to a part of its own, by how much of the
 * callers' load comes to it; all compute the parts from the same words.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

#define THR_SLICES 8

/* What a word of the worker changed. */
enum thr_change {
	THR_UNCHANGED,
	THR_BEGAN,
	THR_CHANGED,
	THR_ENDED,
};

/* Sends in a piece of time. */
struct thr_slice {
	int64_t number; /* of the piece since the clock's zero */
	int sends;
};

struct thr {
	bool limited;
	double limit;	       /* requests a second of all routers */
	int64_t advertised_us; /* when the worker named it last; 0: never */
	int64_t absent_us; /* at some time since then it named none; 0: never */
	double fraction;   /* of the limit that is this router's; below 0: unset
			    */
	double level;	   /* sends that its rate has not made up for yet */
	int64_t level_us;  /* when that was so */
	int64_t sent_us;   /* when something was sent to it last */
	struct thr_slice slices[THR_SLICES];
};

/* A router that may send to the worker. */
struct thr_router {
	uint32_t id;
	double demand; /* requests a second of callers, as reported last */
};

enum thr_change thr_limit_advertised(struct thr *thr, double limit,
				     int64_t at_us, int64_t now);
enum thr_change thr_limit_absent(struct thr *thr, int64_t sent_us);
enum thr_change thr_expire(struct thr *thr, int64_t now);
void thr_set_fraction(struct thr *thr, double part, int64_t now);
void thr_sent(struct thr *thr, int64_t now);
bool thr_may_send(const struct thr *thr, int64_t now);
bool thr_may_probe(const struct thr *thr, int64_t asked_us, int64_t now);
double thr_router_fraction(const struct thr_router *members, int count,
			   uint32_t self, uint32_t worker, double limit);

#endif /* THR_H */
