#ifndef THR_H
#define THR_H

/*
 * Rate limit that a worker advertises for all routers together, and this
 * router's fraction of it.  Pure.
 *
 * Load pattern: an overloaded worker advertises a limit far below the rate at
 * which the routers of its data centre send to it.  The routers learn of the
 * limit at different moments and of each other's requests a fraction of a
 * second late, and cannot consult each other before each request.  Each router
 * therefore uses its own fraction of the limit, in proportion to the load of
 * its callers; all compute the fractions from the same reports.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

#define THR_SLICES 8

/* Effect of an answer or a peer's report on a worker's limit. */
enum thr_change {
	THR_UNCHANGED,
	THR_BEGAN,
	THR_CHANGED,
	THR_ENDED,
};

/* Requests sent in one time slice. */
struct thr_slice {
	int64_t number; /* slices since time zero */
	int sends;
};

struct thr {
	bool limited;
	double limit;	       /* requests a second of all routers together */
	int64_t advertised_us; /* when last advertised; 0: never */
	int64_t absent_us;     /* last send answered without one; 0: never */
	double fraction; /* of the limit for this router; below 0: unset */
	double level; /* of the leaky bucket: requests sent ahead of the rate */
	int64_t level_us; /* when the level was computed */
	int64_t sent_us;  /* last request to the worker */
	struct thr_slice slices[THR_SLICES];
};

/* A router that may send to the worker. */
struct thr_router {
	uint32_t id;
	double demand; /* requests a second for the service, as last reported */
};

enum thr_change thr_limit_advertised(struct thr *thr, double limit,
				     int64_t at_us, int64_t now);
enum thr_change thr_limit_absent(struct thr *thr, int64_t sent_us);
enum thr_change thr_expire(struct thr *thr, int64_t now);
void thr_set_fraction(struct thr *thr, double fraction, int64_t now);
void thr_sent(struct thr *thr, int64_t now);
bool thr_may_send(const struct thr *thr, int64_t now);
bool thr_may_probe(const struct thr *thr, int64_t probed_us, int64_t now);
double thr_router_fraction(const struct thr_router *routers, int count,
			   uint32_t self, uint32_t worker, double limit);

#endif /* THR_H */
