#ifndef PEER_TABLE_H
#define PEER_TABLE_H

/* Internal tables of the peer modules; only peer*.c include this header. */

#include "peer.h"

#define PEER_DC_MAX	64
#define PEER_NO_NODE	(-1)
#define PEER_MISSED_MAX 3 /* missed in a row by a peer that is down */
#define PEER_SLACK_US	(200 * MAG_US_PER_MS)
/* Least time between two early messages to a peer. */
#define PEER_EARLY_INTERVAL_US (150 * MAG_US_PER_MS)
#define PEER_PERIOD_MIN_US     (250 * MAG_US_PER_MS)
#define PEER_PERIOD_MAX_US     (5 * MAG_US_PER_S)
/*
 * The byte budget has 36 parts.  Sending uses these parts of it, and receiving
 * uses as much again.
 */
#define PEER_LOCAL_PARTS  5
#define PEER_BRIDGE_PARTS 4
#define PEER_DEMAND_PARTS 4
#define PEER_BUDGET_PARTS 36
#define PEER_RETAIN_US	  (300 * MAG_US_PER_S)
#define PEER_RETAIN_MIN	  2 /* instances of a retained data centre */
#define PEER_FORGET_US	  (60 * MAG_US_PER_S)

struct peer_node {
	bool used;
	bool listed;
	bool up;	   /* heartbeats arrive in both directions */
	bool reported_up;  /* up or down as last reported in a change */
	bool queued;	   /* is in the queue of due links */
	bool message_lost; /* one of its messages was lost */
	int dc;
	uint64_t id;
	char name[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX];
	uint64_t incarnation;
	uint64_t old_incarnation; /* late messages from it are refused */
	uint32_t epoch;		  /* grows with each incarnation or reuse */
	uint32_t seq_received;
	uint32_t seq_sent;
	int64_t alive_until_us; /* heartbeats from it are recent until then */
	int64_t acked_until_us; /* it receives this instance's until then */
	int64_t next_send_us;
	int64_t early_not_before_us; /* earliest next early message */
	int64_t early_send_us;	     /* requested early message; or MAG_NEVER */
	uint32_t flags;
	uint32_t group_size;
	uint32_t group_hash;
	uint32_t reach_hash;
	uint32_t listed_count;
	uint64_t revision;
};

struct peer_dc {
	char name[MAG_NAME_MAX];
	uint64_t id;
	uint32_t listed;	   /* its instances in the last list */
	uint32_t retained;	   /* in the last list that had any */
	int64_t retained_until_us; /* the retained ones count until then */
	int target[PEER_RAILS];	   /* the node that the rail sends to */
	uint32_t tries[PEER_RAILS];
	int64_t try_until_us[PEER_RAILS];
};

struct peer {
	struct peer_settings settings;
	uint64_t self;
	uint32_t cluster;
	struct peer_node *nodes;
	size_t node_count;
	size_t node_cap;
	struct peer_dc dcs[PEER_DC_MAX];
	int dc_count; /* index 0 is this instance's own */
	int *due;
	size_t due_count;
	size_t due_next;
	struct peer_change *changes;
	size_t change_count;
	size_t change_next;
	uint32_t listed_count;
	bool rails[PEER_RAILS]; /* this instance is the rail's bridge */
	int aggregator; /* sums up demand; PEER_NO_NODE: this instance */
	uint32_t local_group_size;
	uint32_t local_hash;
	uint32_t reach_hash;
	uint32_t local_links;
	uint32_t bridge_links;
	int64_t local_period_us;
	int64_t bridge_period_us;
	int64_t rail_period_us; /* of a bridge, estimated on any instance */
	int64_t next_tick_us;
	uint64_t revision;
	bool stopping;
};

int64_t peer_period_us(const struct peer *peer, uint32_t links, int parts);
int peer_find(const struct peer *peer, uint64_t id);
int peer_find_dc(struct peer *peer, const char *name);
uint64_t peer_score(const struct peer *peer, int dc, uint64_t id);
bool peer_is_alive(const struct peer_node *node, int64_t now);
void peer_elect(struct peer *peer);
void peer_select_targets(struct peer *peer, int64_t now);
void peer_note_bridge(struct peer *peer, int link, int64_t now);
bool peer_is_target(const struct peer *peer, int link);

#endif /* PEER_TABLE_H */
