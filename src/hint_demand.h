#ifndef HINT_DEMAND_H
#define HINT_DEMAND_H

/*
 * What each router has to send to the services whose workers have rate limits,
 * and the datagram in which routers report it.
 *
 * Load pattern: callers of a limited service come to some routers, and callers
 * of other services to all.  Divided by all callers, a part of the limit would
 * belong to routers that have nothing to send there.  Routers report their
 * requests by service for as long as a limit is known.
 */

#include <stddef.h>
#include <stdint.h>

#include "mag.h"

#define HINT_DEMANDS_MAX  32  /* services */
#define HINT_DEMAND_BYTES 512 /* of a datagram */

/* Requests for a service. */
struct hint_demand {
	uint32_t service; /* hash of its name */
	double per_s;
};

struct hint_demand_message {
	char name[MAG_NAME_MAX]; /* of the sender */
	uint32_t count;
	struct hint_demand demands[HINT_DEMANDS_MAX];
};

/* Both return a negative number if the message is invalid or does not fit. */
int hint_demand_encode(struct hint_demand_message *message, char *bytes,
		       size_t *len);
int hint_demand_decode(struct hint_demand_message *message, char *bytes,
		       size_t len);
double hint_demand_find(const struct hint_demand_message *message,
			uint32_t service);

#endif /* HINT_DEMAND_H */
