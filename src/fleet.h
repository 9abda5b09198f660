#ifndef FLEET_H
#define FLEET_H

/*
 * Coordination of this instance with the others: membership (peer), records
 * that every instance receives (spread), this instance's part of the
 * fleet-wide limits (lim), and the placement of models on engines (plc).
 * Deterministic: the owner passes the time in, sends the messages and makes
 * the calls, and passes in messages received and replies.  One thread owns a
 * fleet.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cfg.h"
#include "kv.h"
#include "mag.h"
#include "peer.h"
#include "plc.h"

struct fleet;

enum fleet_err {
	FLEET_OK = 0,
	FLEET_E_MEMORY = -1,
	FLEET_E_TOO_LONG = -2, /* a name or address is too long */
	FLEET_E_DROPPED = -3,  /* the message was counted and dropped */
	FLEET_E_UNKNOWN = -4,  /* no such limit, call or order */
};

struct fleet_settings {
	char cluster[MAG_NAME_MAX];
	char instance[MAG_NAME_MAX];
	char data_centre[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX]; /* where peers reach this instance */
	uint64_t incarnation;	    /* random at each start, not 0 */
	uint64_t seed;
	uint32_t bytes_per_s;	/* for messages sent and received; 0: 9000 */
	uint32_t instances_max; /* upper bound for the site; 0: 12 */
	int64_t kv_timeout_us;
	bool may_place; /* this instance may hold the placement lease */
};

enum fleet_update_type {
	FLEET_UPDATE_LEAVING,	 /* an endpoint starts or stops leaving */
	FLEET_UPDATE_QUARANTINE, /* a fingerprint cost a peer endpoints */
	FLEET_UPDATE_SHARE,	 /* this instance's share of a limit changed */
	FLEET_UPDATE_REVISION, /* a peer has a newer configuration: fetch it */
	FLEET_UPDATE_PEER,     /* a peer came up or went down */
	FLEET_UPDATE_COUNT
};

struct fleet_update {
	enum fleet_update_type type;
	union {
		struct {
			char endpoint[MAG_NAME_MAX];
			bool leaving;
		} leaving;
		struct {
			uint8_t fingerprint[MAG_DIGEST_BYTES];
			uint32_t endpoints_lost;
			int64_t until_us;
		} quarantine;
		struct {
			int limit;	       /* index into the set's limits */
			double requests_per_s; /* 0: not limited */
			double tokens_per_s;
			double concurrent;
		} share;
		struct {
			uint64_t revision;
			char address[MAG_ADDR_MAX]; /* of the peer */
		} revision;
		struct {
			char instance[MAG_NAME_MAX];
			char address[MAG_ADDR_MAX];
			bool up;
		} peer;
	};
};

struct fleet *fleet_new(const struct fleet_settings *settings, int64_t now);
void fleet_free(struct fleet *fleet);
int fleet_config(struct fleet *fleet, const struct cfg_set *set, int64_t now);

int fleet_seed(struct fleet *fleet, const struct peer_list_entry *listed,
	       int64_t now);

/* Events that this instance observed or caused itself. */
int fleet_note_leaving(struct fleet *fleet, const char *endpoint, bool leaving,
		       int64_t now);
int fleet_note_quarantine(struct fleet *fleet,
			  const uint8_t fingerprint[MAG_DIGEST_BYTES],
			  uint32_t endpoints_lost, int64_t until_us,
			  int64_t now);
int fleet_note_demand(struct fleet *fleet, int limit, double demand);
void fleet_note_revision(struct fleet *fleet, uint64_t revision, int64_t now);
void fleet_note_stopping(struct fleet *fleet, int64_t now);

void fleet_tick(struct fleet *fleet, int64_t now);
int64_t fleet_next_deadline(const struct fleet *fleet);

/* Messages to and from peers. */
int fleet_receive(struct fleet *fleet, const struct peer_msg *msg, int64_t now);
bool fleet_next_send(struct fleet *fleet, char address[MAG_ADDR_MAX],
		     struct peer_msg *msg);

/* Calls to the platform; call ids are unique within one fleet. */
bool fleet_next_call(struct fleet *fleet, struct kv_call *call);
int fleet_reply(struct fleet *fleet, const struct kv_reply *reply, int64_t now);

bool fleet_next_update(struct fleet *fleet, struct fleet_update *update);

/*
 * Orders to engines and state queries, made while this instance holds the
 * placement lease.
 */
bool fleet_next_order(struct fleet *fleet, struct plc_order *order);
int fleet_order_done(struct fleet *fleet, const struct plc_order_result *result,
		     int64_t now);

/* The current state. */
bool fleet_is_bridge(const struct fleet *fleet); /* watches the head record */
uint32_t fleet_group_size(const struct fleet *fleet); /* reachable instances */
uint32_t fleet_listed_count(const struct fleet *fleet);
uint32_t fleet_call_part(uint32_t fleet_calls_per_s, uint32_t listed);
size_t fleet_peer_addresses(const struct fleet *fleet,
			    char (*addresses)[MAG_ADDR_MAX], size_t max);

#endif /* FLEET_H */
