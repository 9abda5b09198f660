#ifndef PLC_H
#define PLC_H

/*
 * Placement of model layers.  The instance that holds a data centre's lease
 * orders engines to load ranges of layers of a model.  An order states the
 * range that the engine shall hold, and carries a fencing number and a
 * deadline.  Deterministic: the caller passes the time in.
 */

#include <stdbool.h>
#include <stdint.h>

#include "cfg.h"
#include "kv.h"
#include "mag.h"

struct plc;

enum plc_order_kind {
	PLC_READ_STATE, /* ask the engine which layers it holds */
	PLC_LOAD,	/* load and hold these layers of the model */
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
	 * The sender compares this with the clock right before it sends the
	 * first byte, and drops the order if the time has passed.  A process
	 * that was paused must not send orders under a lease that another
	 * instance may hold by now.
	 */
	int64_t send_before_us;
	int64_t deadline_us; /* the engine ignores the order after that */
};

enum plc_order_status {
	PLC_DONE,
	PLC_REFUSED,   /* the engine has seen a higher fencing number */
	PLC_UNSENT,    /* dropped before its first byte was sent */
	PLC_NO_ANSWER, /* sent but not answered: may be carried out */
};

struct plc_order_result {
	uint64_t id;
	enum plc_order_status status;
	char model[MAG_NAME_MAX]; /* held by the engine, if it reports one */
	uint32_t first_layer;
	uint32_t last_layer;
	bool loading;
};

struct plc_settings {
	char instance[MAG_NAME_MAX];
	char data_centre[MAG_NAME_MAX];
	uint64_t incarnation;
	bool enabled;
	/*
	 * Allows orders for other ranges than the operators declare.  Routers
	 * assume that an engine holds its declared range, so this stays off
	 * until they are informed of such orders.
	 */
	bool allow_moves;
};

enum plc_err {
	PLC_OK = 0,
	PLC_E_MEMORY = -1,
	PLC_E_UNKNOWN = -2, /* no such call or order */
};

struct plc *plc_new(const struct plc_settings *settings, int64_t now);
void plc_free(struct plc *plc);
int plc_config(struct plc *plc, const struct cfg_set *set, int64_t now);
void plc_note_leaving(struct plc *plc, const char *endpoint, bool leaving);
void plc_stop(struct plc *plc, int64_t now);
void plc_tick(struct plc *plc, int64_t now);
int64_t plc_next_deadline(const struct plc *plc);
bool plc_next_call(struct plc *plc, struct kv_call *call);
int plc_reply(struct plc *plc, const struct kv_reply *reply, int64_t now);
bool plc_next_order(struct plc *plc, struct plc_order *order);
int plc_order_done(struct plc *plc, const struct plc_order_result *result,
		   int64_t now);

#endif /* PLC_H */
