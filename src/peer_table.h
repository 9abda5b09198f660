#ifndef PEER_TABLE_H
#define PEER_TABLE_H

/* The tables of the peer family; nothing outside of it includes this. */

#include "peer.h"

#define PEER_DC_MAX	64
#define PEER_NO_NODE	(-1)
#define PEER_MISSED_MAX 3 /* heartbeats in a row before one counts as down */
#define PEER_SLACK_US	(200 * MAG_US_PER_MS)
#define PEER_EARLY_INTERVAL_US                                                 \
	(150 * MAG_US_PER_MS) /* between two early sends */
#define PEER_PERIOD_MIN_US (250 * MAG_US_PER_MS)
#define PEER_PERIOD_MAX_US (5 * MAG_US_PER_S)
#define PEER_LOCAL_PARTS   5 /* of 36 parts of the budget, for sending ... */
#define PEER_BRIDGE_PARTS  4
#define PEER_DEMAND_PARTS  4
#define PEER_BUDGET_PARTS  36 /* ... as much again is received */
#define PEER_RETAIN_US	   (300 * MAG_US_PER_S)
#define PEER_RETAIN_MIN	   2 /* instances of a data centre */
#define PEER_FORGET_US	   (60 * MAG_US_PER_S)

struct peer_node {
	bool used;
	bool listed;
	bool up;	   /* each hears the other */
	bool reported_up;  /* what the last change said */
	bool queued;	   /* stands in the queue of due links */
	bool message_lost; /* one of its messages was lost */
	int dc;
	uint64_t id;
	char name[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX];
	uint64_t incarnation;
	uint64_t old_incarnation; /* its late messages are refused */
	uint32_t epoch;		  /* grows when its memory is a new one */
	uint32_t seq_received;
	uint32_t seq_sent;
	int64_t heard_until_us; /* it is heard here */
	int64_t acked_until_us; /* it hears this instance */
	int64_t next_send_us;
	int64_t early_not_before_us; /* of the next early send */
	int64_t early_send_us;	     /* an early send is asked for */
	uint32_t flags;
	uint32_t group;
	uint32_t group_hash;
	uint32_t reach_hash;
	uint32_t listed_count;
	uint64_t revision;
};

struct peer_dc {
	char name[MAG_NAME_MAX];
	uint64_t id;
	uint32_t listed;	   /* its instances by the last list */
	uint32_t retained;	   /* of a list that still had some */
	int64_t retained_until_us; /* they count as long */
	int target[PEER_RAILS];	   /* the node that a rail sends to */
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
	int dc_count; /* 0 is this instance's own */
	int *due;
	size_t due_count;
	size_t due_next;
	struct peer_change *changes;
	size_t change_count;
	size_t change_next;
	uint32_t listed_count;
	bool rails[PEER_RAILS]; /* this instance is the bridge of the rail */
	int aggregator;		/* node that sums up demand; or this one */
	uint32_t local_group;
	uint32_t local_hash;
	uint32_t reach_hash;
	uint32_t local_links;
	uint32_t bridge_links;
	int64_t local_period_us;
	int64_t bridge_period_us;
	int64_t rail_period_us; /* of the bridges, as far as known here */
	int64_t next_tick_us;
	uint64_t revision;
	bool stopping;
};

int64_t peer_period_us(const struct peer *peer, uint32_t links, int part);
int peer_find(const struct peer *peer, uint64_t id);
int peer_find_dc(struct peer *peer, const char *name);
uint64_t peer_score(const struct peer *peer, int dc, uint64_t id);
bool peer_is_heard_from(const struct peer_node *node, int64_t now);
void peer_elect(struct peer *peer);
void peer_select_targets(struct peer *peer, int64_t now);
void peer_note_bridge(struct peer *peer, int link, int64_t now);
bool peer_is_target(const struct peer *peer, int link);

#endif /* PEER_TABLE_H */
