#ifndef HINT_INT_H
#define HINT_INT_H

/* Parts of hint: what is kept of the peers, and what is sent to them. */

#include <netinet/in.h>

#include <event2/event.h>
#include <urcu/list.h>

#include "hint.h"
#include "hint_demand.h"
#include "hint_drop.h"
#include "hint_limit.h"
#include "hint_load.h"
#include "hint_trait.h"
#include "hint_turn.h"
#include "hint_urgent.h"
#include "htab.h"

/* Routers that are kept at a time, several times as many as a fleet has. */
#define HINT_PEERS_MAX 4096
/* Peers in the own data centre that are sent a message in each round. */
#define HINT_LOCAL_PEERS_MAX 32
/* Caller demand is reported as the number of requests in this many seconds. */
#define HINT_DEMAND_S 100.0

/* The last message of a peer. */
struct hint_peer {
	struct cds_list_head node;
	struct htab_node by_name;
	char name[MAG_NAME_MAX];
	struct attest_report report;
	int64_t received_us;
	bool ready;
	struct sockaddr_in address; /* source address of its last message */
	struct hc_host *host;	    /* for requests forwarded to it, or NULL */
	struct sockaddr_in host_address;
	uint32_t session;
	int64_t clock_us; /* its newest clock reading, echoed to it */
	struct hint_peer_loads loads;
	struct hint_router router;
	uint32_t limit_count;
	struct hint_limit limits[HINT_LIMITS_MAX];
	struct hint_demand_message demands;
	int64_t demands_us; /* when they were received; 0: never */
	struct hint_urgent_message urgent;
	int64_t urgent_us; /* when it was received; 0: never */
};

/* The peers of our data centre, or of the others. */
struct hint_group {
	struct hint_turn turn;
	bool *eligible; /* by index of pres_peer() */
	int count;
};

struct hint {
	struct edge *edge;
	int fd;
	struct dgram_key key;
	struct hint_drops drops;
	struct event *readable;
	int64_t next_us;
	unsigned int peers_seen; /* pres_changes() when the groups were made */
	struct hint_group local;
	struct hint_group remote;
	struct cds_list_head peers; /* of struct hint_peer */
	struct htab names;
	int peer_count;
	struct hint_loads own;
	/* Routers that share the limits of workers, this one first. */
	struct hint_router *routers;
	int router_max;
	struct hint_router self; /* as last reported to peers */
	double demand;		 /* requests per second, smoothed */
	uint64_t requests;	 /* of callers, when demand was updated */
	int64_t demand_us;	 /* when demand was updated */
	uint32_t next_suspect; /* the suspect to begin the next message with */
	/* Losses under traits that go with each message of a round. */
	char traits[HINT_TRAIT_BYTES];
	size_t traits_len; /* 0: none */
	/* What this router has to send by service; the same. */
	char demands[HINT_DEMAND_BYTES];
	size_t demands_len;
	/* Its demand by urgency; the same. */
	char urgent[HINT_URGENT_BYTES];
	size_t urgent_len;
	int64_t urgent_summed_us; /* when peers' demand was last summed */
	int64_t ticked_us;	  /* last tick; 0: none */
	double unheard_factor;
	int64_t behind_until_us; /* see hint_is_behind */
	bool urgent_unread;	 /* the socket may hold old datagrams */
	bool unread;		/* the last read left datagrams in the socket */
	int64_t next_forget_us; /* when to look for peers to forget */
	int64_t next_clear_us;	/* the same if there are too many */
	int next_limit;		/* the limit to begin the next message with */
};

/* hint.c */
struct hint_peer *hint_find_peer(struct hint *hint, const char *name);
int64_t hint_expiry_us(const struct hint *hint);
int64_t hint_round_us(const struct hint *hint);
bool hint_has_room(struct hint *hint, int64_t now);
void hint_write_address(const struct hint_peer *peer, char *dst);
const struct hint_router *hint_list_routers(struct hint *hint, int64_t now,
					    int *count);

/* hint_receive.c */
void hint_on_readable(evutil_socket_t fd, short what, void *arg);

/* hint_send.c */
void hint_send_turn(struct hint *hint);
void hint_send_alert(struct hint *hint, enum quar_alert alert);
void hint_send_first(struct hint *hint, struct hint_peer *peer);
bool hint_has_quarantines(const struct hint *hint, int64_t now);

/* hint_urgent_peers.c */
bool hint_urgent_read(struct hint *hint, char *bytes, size_t len);
void hint_urgent_tick(struct hint *hint, int64_t now);
void hint_urgent_sum(struct hint *hint, int64_t now);
void hint_urgent_fill(struct hint *hint, int64_t now);

#endif /* HINT_INT_H */
