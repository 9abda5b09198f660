#ifndef PLC_H
#define PLC_H

/*
 * Placement: the holder of a data centre's lease orders engines to hold
 * ranges of layers of a model, as wanted states with a fencing number and a
 * deadline.  Deterministic: time is passed in.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

struct plc;

enum plc_order_kind {
	PLC_READ_STATE, /* ask the engine what it holds */
	PLC_LOAD,	/* hold these layers of this model */
};

struct plc_order {
	uint64_t id;
	enum plc_order_kind kind;
	char endpoint[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX];
	char model[MAG_NAME_MAX];
	uint32_t first_layer;
	uint32_t last_layer;
	uint64_t fence;
	/*
	 * The shell compares this with the clock right before the first byte
	 * goes out and drops the order if it has passed: a holder that was
	 * paused must not order under a lease that is another's by now.
	 */
	int64_t send_before_us;
	int64_t deadline_us; /* the engine ignores the order after this */
};

enum plc_order_status {
	PLC_DONE,
	PLC_REFUSED, /* the engine knows a higher fencing number */
	PLC_UNSENT,  /* dropped before the first byte */
	PLC_LOST,    /* sent, no answer: it may be carried out */
};

struct plc_order_result {
	uint64_t id;
	enum plc_order_status status;
	char model[MAG_NAME_MAX]; /* what the engine holds, if it says so */
	uint32_t first_layer;
	uint32_t last_layer;
	bool loading;
};

#endif /* PLC_H */
