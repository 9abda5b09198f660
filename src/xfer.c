#include "xfer.h"

/* An answer that has begun fails if nothing more comes for this long. */
#define XFER_STALL_US (300 * MAG_US_PER_MS)
/* Slowest transfer that is waited for (bytes per second). */
#define XFER_RATE_MIN 65536

/*
 * Returns when the answer has failed unless more of it comes (boot clock).  Its
 * size does not matter as long as it comes fast enough.
 */
int64_t xfer_deadline_us(const struct xfer *xfer)
{
	int64_t stalled_us = xfer->progress_us + XFER_STALL_US;
	int64_t slow_us = xfer->begin_by_us + (int64_t)(xfer->received) *
						      MAG_US_PER_S /
						      XFER_RATE_MIN;

	if (!xfer->begun_us || slow_us < xfer->begin_by_us)
		return xfer->begin_by_us;
	if (stalled_us < xfer->begin_by_us)
		stalled_us = xfer->begin_by_us;
	return stalled_us < slow_us ? stalled_us : slow_us;
}

/* Notes that bytes have come at a time. */
void xfer_receive(struct xfer *xfer, size_t len, int64_t now)
{
	xfer->received += len;
	xfer->progress_us = now;
	if (!xfer->begun_us)
		xfer->begun_us = now;
}
