#ifndef ATTEST_H
#define ATTEST_H

/*
 * The maximum age of the configuration in force, and who attests it.  Pure.
 *
 * Load pattern: the store becomes unreachable, for one router or for all.
 * Account keys may be trusted for a bounded time after they were last known to
 * be current; after that every request with a key is refused.  Each store call
 * of a router therefore serves all of them: routers tell each other which
 * version they know to be the newest, and since when.  The time is always a
 * reading of the receiver's own clock, which the sender echoes.  A message that
 * was delayed, or a sender that was suspended, can therefore make the
 * configuration look older than it is, and never newer.
 */

#include <stdbool.h>
#include <stdint.h>

#include <urcu/list.h>

#include "mag.h"

/* One router's claim to another on the configuration. */
struct attest_claim {
	uint32_t session; /* of the receiver; 0: no message from it yet */
	int64_t echo_us;  /* newest clock reading received from it */
	int64_t age_us;	  /* age of the sender's knowledge; -1: none */
	int64_t version;  /* of the configuration that it knows */
};

/*
 * What one peer last reported of the newest configuration that it knows.  It is
 * believed until the peer reports something else, falls silent, or is refuted.
 */
struct attest_report {
	struct cds_list_head node; /* in struct attest */
	const char *peer;	   /* its name; lives as long as this */
	int64_t version;
	int64_t era;	  /* of the store when the peer read it there */
	int64_t since_us; /* when the version was first reported */
	int64_t heard_us; /* when anything was last reported; 0: never */
	/*
	 * The first of the newer versions that the peer has reported and that
	 * have not been read here; first_us is 0 if there is none.
	 */
	int64_t first_version;
	int64_t first_us;
	bool ignored; /* it was refuted, until ignored_until_us */
	int64_t ignored_until_us;
	int refutals; /* in a row */
};

struct attest {
	uint32_t session;	/* of this process; not 0 */
	int64_t confirmed_us;	/* set in force was the newest; 0: never */
	int64_t query_us;	/* when to query the store next */
	int64_t planned_for_us; /* confirmed_us on which query_us is based */
	int queries;		/* since then, unanswered */
	struct cds_list_head reports; /* of struct attest_report */
	int64_t newest_version;	 /* that a peer is believed to have; -1: none */
	int64_t behind_since_us; /* reported versions are newer since then */
	int64_t read_us;	 /* changes of the store are known up to it */
	int64_t verify_us;	 /* when to query the store for it again */
	int verifications;	 /* queries for it so far */
	/*
	 * Not 0: others learn from this router alone, and must know a change
	 * within this time.
	 */
	int64_t bound_us;
	uint64_t seed;
};

void attest_init(struct attest *attest, uint32_t session, uint64_t seed);
void attest_from_store(struct attest *attest, int64_t at_us);
bool attest_from_peer(struct attest *attest, const struct attest_claim *claim,
		      int64_t version, int64_t now);
void attest_fill_claim(const struct attest *attest, int64_t version,
		       int64_t now, struct attest_claim *claim);
void attest_hear_version(struct attest *attest, struct attest_report *report,
			 int64_t version, int64_t era, int64_t in_force,
			 int64_t now);
void attest_forget(struct attest *attest, struct attest_report *report);
const struct attest_report *attest_refute(struct attest *attest, int64_t known,
					  int64_t era, int64_t read_us,
					  int64_t now);
const struct attest_report *attest_expire(struct attest *attest,
					  int64_t in_force, int64_t era,
					  int64_t now);
const struct attest_report *attest_newest(const struct attest *attest);
bool attest_verify_due(struct attest *attest, int64_t in_force,
		       int64_t bound_us, int64_t now);
bool attest_is_behind(const struct attest *attest, int64_t in_force);
bool attest_is_outdated(const struct attest *attest, int64_t in_force,
			int64_t bound_us, int64_t now);
bool attest_is_trusted(const struct attest *attest, int64_t bound_us,
		       int64_t now);
bool attest_soon_untrusted(const struct attest *attest, int64_t bound_us,
			   int64_t now);
int64_t attest_retry_max_us(int routers);
int64_t attest_coalesce_us(int64_t config_apply_us, int64_t drain_us);
bool attest_query_due(struct attest *attest, int routers, int64_t now);

#endif /* ATTEST_H */
