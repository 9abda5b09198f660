#include "xfer.h"

/* Returns when the answer has failed unless it is complete (boot clock). */
int64_t xfer_deadline_us(const struct xfer *xfer)
{
	return xfer->begin_by_us;
}
