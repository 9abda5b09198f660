#ifndef HINT_TRAIT_H
#define HINT_TRAIT_H

/*
 * The datagram in which routers report the losses under traits of requests, and
 * its XDR encoding.  It is sent beside the other hints when there is something
 * to report.
 */

#include <stddef.h>
#include <stdint.h>

#include "quar_trait.h"

#define HINT_TRAITS_MAX	 55   /* reports that fit a datagram */
#define HINT_TRAIT_BYTES 1400 /* it must fit the smallest common MTU */

struct hint_trait_message {
	uint32_t count;
	struct quar_trait_report reports[HINT_TRAITS_MAX];
};

/* Both return a negative number if the message is invalid or does not fit. */
int hint_trait_encode(struct hint_trait_message *message, char *bytes,
		      size_t *len);
int hint_trait_decode(struct hint_trait_message *message, char *bytes,
		      size_t len);

#endif /* HINT_TRAIT_H */
