#ifndef PEER_H
#define PEER_H

/*
 * Membership of the instances.  The platform's list may be stale and only
 * seeds the membership; heartbeats decide which instances are up.  Within a
 * data centre every instance sends to every other.  Each data centre elects
 * one bridge instance per rail, and the bridges of one rail send to each other
 * between data centres.  Deterministic: time is passed in.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mag.h"

#define PEER_VERSION	  1
#define PEER_RAILS	  2    /* bridge instances per data centre */
#define PEER_RECORDS_MAX  8    /* records in one message */
#define PEER_DEMANDS_MAX  32   /* demand entries in one message */
#define PEER_TABLE_MAX	  4096 /* capacity of the instance table */
#define PEER_BYTES_FIXED  84   /* encoded message without its lists */
#define PEER_BYTES_RPC	  68   /* IP, UDP and RPC headers */
#define PEER_BYTES_DEMAND 8    /* one encoded demand entry */

struct peer;

enum peer_err {
	PEER_OK = 0,
	PEER_E_CLUSTER = -1, /* message of another cluster */
	PEER_E_VERSION = -2,
	PEER_E_FORMAT = -3,  /* a field out of bounds */
	PEER_E_STALE = -4,   /* earlier incarnation or sequence number */
	PEER_E_UNKNOWN = -5, /* unknown sender without PEER_F_INTRO */
	PEER_E_FULL = -6,
	PEER_E_SELF = -7, /* this instance's own name */
	PEER_E_MEMORY = -8,
};

enum peer_flag {
	PEER_F_RAIL0 = 1,    /* the sender is the bridge of rail 0 */
	PEER_F_RAIL1 = 2,    /* ... of rail 1 */
	PEER_F_GAP = 4,	     /* a message from the receiver was lost */
	PEER_F_STOPPING = 8, /* the sender stops and counts as down */
	PEER_F_INTRO = 16,   /* name, data centre and address are present */
};

enum peer_record_kind {
	PEER_REC_LEAVING,    /* an endpoint starts or stops leaving */
	PEER_REC_QUARANTINE, /* a fingerprint is refused for some time */
	PEER_REC_COUNT
};

/* A record that is distributed to every instance. */
struct peer_record {
	enum peer_record_kind kind;
	char endpoint[MAG_NAME_MAX];	       /* PEER_REC_LEAVING */
	uint8_t fingerprint[MAG_DIGEST_BYTES]; /* PEER_REC_QUARANTINE */
	bool leaving;
	uint32_t version;	 /* PEER_REC_LEAVING: the highest one applies */
	uint32_t endpoints_lost; /* PEER_REC_QUARANTINE */
	uint32_t remaining_ms;	 /* PEER_REC_QUARANTINE: time until it ends */
};

struct peer_demand {
	uint32_t limit; /* hash of the limit's name */
	float demand;
};

/* One heartbeat; src/magnolia.x defines its encoding. */
struct peer_msg {
	uint32_t version;
	uint32_t cluster; /* hash of the cluster's name */
	uint64_t sender;  /* hash of the sender's name */
	uint64_t incarnation;
	uint32_t seq;
	uint32_t flags;
	uint32_t next_ms; /* the sender's next message is due within this */
	/*
	 * Low 32 bits of the incarnation of the receiver from which the sender
	 * receives heartbeats; 0: none.
	 */
	uint32_t acked_incarnation;
	uint64_t revision;     /* configuration in force at the sender */
	uint32_t records_seq;  /* the receiver has all records up to this */
	uint32_t records_ack;  /* the sender has the receiver's up to this */
	uint32_t listed_count; /* instances in the platform's list */
	uint32_t group_size;   /* instances that the sender reaches */
	uint32_t group_hash;   /* over the instances up in its data centre */
	uint32_t reach_hash;   /* over the data centres that a bridge reaches */
	char name[MAG_NAME_MAX]; /* this and the next two: with PEER_F_INTRO */
	char data_centre[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX];
	struct peer_record records[PEER_RECORDS_MAX];
	uint32_t record_count;
	struct peer_demand demands[PEER_DEMANDS_MAX];
	uint32_t demand_count;
};

struct peer_settings {
	char cluster[MAG_NAME_MAX];
	char instance[MAG_NAME_MAX];
	char data_centre[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX];
	uint64_t incarnation;
	uint32_t bytes_per_s;
};

/* One entry of the platform's list. */
struct peer_list_entry {
	char name[MAG_NAME_MAX];
	char data_centre[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX];
};

/* What a link is used for. */
enum peer_link_kind {
	PEER_LINK_NONE,	  /* no messages are sent */
	PEER_LINK_LOCAL,  /* to an instance of the same data centre */
	PEER_LINK_BRIDGE, /* to a bridge of another data centre */
};

struct peer_change {
	int link;
	bool up;
};

struct peer *peer_new(const struct peer_settings *settings, int64_t now);
void peer_free(struct peer *peer);
int peer_apply_list(struct peer *peer, const struct peer_list_entry *entries,
		    size_t count, int64_t now);
int peer_add(struct peer *peer, const struct peer_list_entry *entry,
	     int64_t now);
int peer_receive(struct peer *peer, const struct peer_msg *msg, int64_t now,
		 int *link);
void peer_tick(struct peer *peer, int64_t now);
bool peer_next_due(struct peer *peer, int64_t now, int *link);
void peer_fill_header(struct peer *peer, int link, int64_t now,
		      struct peer_msg *msg);
bool peer_next_change(struct peer *peer, struct peer_change *change);
int64_t peer_next_deadline(const struct peer *peer);

void peer_set_revision(struct peer *peer, uint64_t revision, int64_t now);
void peer_set_stopping(struct peer *peer, int64_t now);
void peer_send_early(struct peer *peer, int link, int64_t at_us);

size_t peer_link_count(const struct peer *peer);
enum peer_link_kind peer_link_kind(const struct peer *peer, int link);
bool peer_link_up(const struct peer *peer, int link);
uint32_t peer_link_epoch(const struct peer *peer, int link);
int peer_link_rail(const struct peer *peer, int link);
const char *peer_link_name(const struct peer *peer, int link);
const char *peer_link_address(const struct peer *peer, int link);
bool peer_link_agrees(const struct peer *peer, int link);
uint32_t peer_link_group_size(const struct peer *peer, int link);
uint32_t peer_link_listed_count(const struct peer *peer, int link);
uint64_t peer_link_revision(const struct peer *peer, int link);
bool peer_acks_us(const struct peer *peer, const struct peer_msg *msg);
int peer_rail(const struct peer *peer);
int peer_aggregator(const struct peer *peer);
uint32_t peer_local_group_size(const struct peer *peer);
uint32_t peer_listed_count(const struct peer *peer);
uint32_t peer_demand_capacity(const struct peer *peer);
int64_t peer_raise_delay_us(const struct peer *peer);
int peer_data_centres(const struct peer *peer);
uint64_t peer_hash(const char *text);

#endif /* PEER_H */
