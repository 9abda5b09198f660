#ifndef HINT_URGENT_H
#define HINT_URGENT_H

/*
 * The datagram in which routers report the demand for services by urgency, and
 * its XDR encoding.
 *
 * Load pattern: requests of several urgencies share a service that lacks
 * capacity, and the more urgent ones come to some routers only.  Without
 * reports the other routers would give the last capacity to less urgent
 * requests.
 */

#include <stddef.h>
#include <stdint.h>

#include "mag.h"
#include "urg.h"

#define HINT_URGENT_SERVICES_MAX 8
#define HINT_URGENT_REPORTS_MAX	 8   /* urgencies of a service */
#define HINT_URGENT_BYTES	 800 /* of a datagram */
#define HINT_URGENT_URGENCY_MAX	 0xffff
/* Greatest need that is reported, in tokens x layers per second. */
#define HINT_URGENT_NEED_MAX 1e12

/* Demand for a service. */
struct hint_urgent {
	uint32_t service; /* hash of its name */
	uint32_t count;
	struct urg_report reports[HINT_URGENT_REPORTS_MAX];
};

struct hint_urgent_message {
	char name[MAG_NAME_MAX]; /* of the sender */
	uint32_t count;
	struct hint_urgent services[HINT_URGENT_SERVICES_MAX];
};

/* Both return a negative number if the message is invalid or does not fit. */
int hint_urgent_encode(struct hint_urgent_message *message, char *bytes,
		       size_t *len);
int hint_urgent_decode(struct hint_urgent_message *message, char *bytes,
		       size_t len);
const struct hint_urgent *
hint_urgent_find(const struct hint_urgent_message *message, uint32_t service);

#endif /* HINT_URGENT_H */
