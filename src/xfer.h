#ifndef XFER_H
#define XFER_H

/* When a transfer between routers, or from the store, has failed.  Pure. */

#include <stddef.h>
#include <stdint.h>

#include "mag.h"

/* An answer that is being received. */
struct xfer {
	int64_t begin_by_us; /* it begins by then */
	int64_t begun_us;    /* first byte; 0: none yet */
	int64_t progress_us; /* newest byte */
	size_t received;     /* bytes so far */
};

void xfer_receive(struct xfer *xfer, size_t len, int64_t now);
int64_t xfer_deadline_us(const struct xfer *xfer);

#endif /* XFER_H */
