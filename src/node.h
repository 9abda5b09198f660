#ifndef NODE_H
#define NODE_H

/*
 * One instance without its shells: a core and a fleet, and what passes
 * between them.  Deterministic, as they are; one thread owns a node.
 */

#include "core.h"
#include "fleet.h"

struct node;

struct node_settings {
	struct core_settings core;
	struct fleet_settings fleet;
};

enum node_event_type {
	NODE_EV_CORE,	  /* an event of the core */
	NODE_EV_PEER_MSG, /* a heartbeat came */
	NODE_EV_ORDER,	  /* an order to an engine ended */
	NODE_EV_SEED,	  /* the settings name a peer */
	NODE_EVENT_COUNT
};

struct node_event {
	enum node_event_type type;
	union {
		struct core_event core;
		struct peer_msg msg;
		struct plc_order_result order;
		char seed[MAG_ADDR_MAX];
	};
};

enum node_action_type {
	NODE_ACT_CORE,	/* an action of the core */
	NODE_ACT_SEND,	/* a heartbeat to a peer */
	NODE_ACT_FETCH, /* get the configuration from a peer */
	NODE_ACT_ORDER, /* an order to an engine */
	NODE_ACT_ROLE,	/* towards the platform's service */
	NODE_ACTION_COUNT
};

struct node_fetch {
	uint64_t revision;
	char address[MAG_ADDR_MAX];
};

struct node_send {
	char address[MAG_ADDR_MAX];
	struct peer_msg msg;
};

/* What this instance does towards the platform's service. */
struct node_role {
	bool bridge;	 /* watches the head for its data centre */
	uint32_t listed; /* instances that share the fleet's budget; 0: unknown
			  */
};

struct node_action {
	enum node_action_type type;
	union {
		struct core_action core;
		struct node_send send;
		struct node_fetch fetch;
		struct plc_order order;
		struct node_role role;
	};
};

struct node *node_new(const struct node_settings *settings, int64_t now);
void node_free(struct node *node);
int node_post(struct node *node, const struct node_event *event, int64_t now);
void node_tick(struct node *node, int64_t now);
bool node_next_action(struct node *node, struct node_action *action);
int64_t node_next_deadline(const struct node *node);
struct core *node_core(struct node *node);
struct fleet *node_fleet(struct node *node);

#endif /* NODE_H */
