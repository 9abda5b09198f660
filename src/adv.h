#ifndef ADV_H
#define ADV_H

/*
 * What a worker advertises of itself in its answers, and which messages this
 * router may send it because of that.  Pure.
 *
 * All of it is the state of one process of the worker: a new process at the
 * same address or under the same id starts without it.
 *
 * Load pattern: an overloaded worker refuses requests and names the time for
 * which it wants nothing.  The router has requests to place, streams to repair,
 * silence to probe and layers to order, each in a module of its own; what is
 * sent by any of them prolongs the overload and costs its caller a send.
 */

#include <stdbool.h>
#include <stdint.h>

#include "thr.h"

struct adv {
	struct thr thr;		  /* rate limit */
	int64_t backoff_until_us; /* no messages until then */
	bool leaving;		  /* no new work until the process has ended */
};

/* Messages to a worker, by what they are for. */
enum adv_message {
	ADV_REQUEST, /* a request, or a part of a stream that is new to it */
	ADV_PROBE,
	ADV_REPAIR, /* an order to move on a stream that it already runs */
	ADV_PLACE,  /* an order to hold layers */
};

bool adv_may_send(const struct adv *adv, enum adv_message message, int64_t now);
bool adv_backs_off(const struct adv *adv, int64_t now);
bool adv_request_backoff(struct adv *adv, double for_s, int64_t now);

#endif /* ADV_H */
