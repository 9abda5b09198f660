#ifndef SPREAD_H
#define SPREAD_H

/*
 * Spreads records to every instance: leaving endpoints and quarantined
 * fingerprints.  Each instance has a log of the newest version of each
 * record.  A link carries what the peer hasn't acknowledged yet, so a lost
 * message or a long partition only delays a record.  Deterministic: the caller
 * passes the time in.
 */

#include <stdbool.h>
#include <stdint.h>

#include "cfg.h"
#include "mag.h"
#include "peer.h"

struct spread;

enum spread_err {
	SPREAD_OK = 0,
	SPREAD_E_FULL = -1,
	SPREAD_E_NAME = -2,
	SPREAD_E_MEMORY = -3,
};

/* Where an instance itself learns that an endpoint is leaving. */
enum spread_source {
	SPREAD_BY_CALLER = 1, /* reported by the fleet's caller */
	SPREAD_BY_LIST = 2,   /* in the platform's list of endpoints */
};

/* The present content of a changed record. */
struct spread_change {
	enum peer_record_kind kind;
	char endpoint[MAG_NAME_MAX];
	bool leaving;
	uint8_t fingerprint[MAG_DIGEST_BYTES];
	uint32_t endpoints_lost;
	int64_t until_us;
};

struct spread *spread_new(uint32_t max_records);
void spread_free(struct spread *spread);
void spread_config(struct spread *spread, const struct cfg_set *set);
int spread_note_leaving(struct spread *spread, const char *endpoint,
			enum spread_source source, bool leaving);
int spread_note_quarantine(struct spread *spread,
			   const uint8_t fingerprint[MAG_DIGEST_BYTES],
			   uint32_t endpoints_lost, int64_t until_us,
			   int64_t now);
int spread_receive(struct spread *spread, const struct peer *peer, int link,
		   const struct peer_msg *msg, int64_t now);
void spread_fill_message(struct spread *spread, const struct peer *peer,
			 int link, int64_t now, struct peer_msg *msg);
bool spread_pending(const struct spread *spread, const struct peer *peer,
		    int link);
void spread_tick(struct spread *spread, const struct peer *peer, int64_t now);
bool spread_next_change(struct spread *spread, struct spread_change *change);
uint32_t spread_count(const struct spread *spread);

#endif /* SPREAD_H */
