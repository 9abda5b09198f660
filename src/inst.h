#ifndef INST_H
#define INST_H

/*
 * One instance without its I/O layers: a core and a fleet, and the exchange
 * between them.  Deterministic, as both are; one thread owns an instance.
 */

#include "core.h"
#include "fleet.h"

struct inst;

struct inst_settings {
	struct core_settings core;
	struct fleet_settings fleet;
};

enum inst_event_type {
	INST_EV_CORE,	  /* an event of the core */
	INST_EV_PEER_MSG, /* a heartbeat was received */
	INST_EV_ORDER,	  /* the result of an order to an engine */
	INST_EV_SEED,	  /* a peer's address from the settings */
	INST_EVENT_COUNT
};

struct inst_event {
	enum inst_event_type type;
	union {
		struct core_event core;
		struct peer_msg msg;
		struct plc_order_result order;
		char seed[MAG_ADDR_MAX];
	};
};

enum inst_action_type {
	INST_ACT_CORE,	/* an action of the core */
	INST_ACT_SEND,	/* a heartbeat to a peer */
	INST_ACT_FETCH, /* fetch the configuration from a peer */
	INST_ACT_ORDER, /* an order to an engine */
	INST_ACT_ROLE,	/* this instance's role changed */
	INST_ACTION_COUNT
};

struct inst_fetch {
	uint64_t revision;
	char address[MAG_ADDR_MAX];
};

struct inst_send {
	char address[MAG_ADDR_MAX];
	struct peer_msg msg;
};

/* The role of this instance in the calls to the platform. */
struct inst_role {
	bool bridge;	       /* watches the head record for its data centre */
	uint32_t listed_count; /* that share the call budget; 0: unknown */
};

struct inst_action {
	enum inst_action_type type;
	union {
		struct core_action core;
		struct inst_send send;
		struct inst_fetch fetch;
		struct plc_order order;
		struct inst_role role;
	};
};

struct inst *inst_new(const struct inst_settings *settings, int64_t now);
void inst_free(struct inst *inst);
int inst_post(struct inst *inst, const struct inst_event *event, int64_t now);
void inst_tick(struct inst *inst, int64_t now);
bool inst_next_action(struct inst *inst, struct inst_action *action);
int64_t inst_next_deadline(const struct inst *inst);
struct core *inst_core(struct inst *inst);
struct fleet *inst_fleet(struct inst *inst);

#endif /* INST_H */
