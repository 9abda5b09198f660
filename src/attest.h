#ifndef ATTEST_H
#define ATTEST_H

/*
 * How old the configuration in force may be, and who attests it.  Pure.
 *
 * Load pattern: the store goes away, for one router or for all.  Keys may be
 * trusted for a bounded time after they were last known to be current, and
 * then every request with a key is refused.  Each call of a router to the
 * store therefore serves all of them: routers tell each other which version
 * they know to be the newest, and since when.  The time is always one of the
 * receiver's own clock, which the sender gives back: a message that was held
 * up, or a sender that slept, can make knowledge older than it is, and never
 * younger.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

/* What one router tells another one of the configuration. */
struct attest_claim {
	uint32_t session; /* of the receiver, 0: it was not heard yet */
	int64_t echo_us;  /* newest time heard from the receiver */
	int64_t age_us;	  /* so old is what the sender knows; -1: nothing */
	int64_t version;  /* of the configuration that it knows */
};

struct attest {
	uint32_t session;     /* of this process; not 0 */
	int64_t confirmed_us; /* the set in force was the newest then; 0: never
			       */
	int64_t query_us;     /* when the store is asked next */
	int64_t planned_for_us; /* the fresh_us for which that was planned */
	int queries;		/* since then, without an answer */
	uint64_t seed;
};

void attest_init(struct attest *attest, uint32_t session, uint64_t seed);
void attest_from_store(struct attest *attest, int64_t at_us);
bool attest_from_peer(struct attest *attest, const struct attest_claim *claim,
		      int64_t version, int64_t now);
void attest_fill_claim(const struct attest *attest, int64_t version,
		       int64_t now, struct attest_claim *claim);
bool attest_is_trusted(const struct attest *attest, int64_t bound_us,
		       int64_t now);
bool attest_soon_untrusted(const struct attest *attest, int64_t bound_us,
			   int64_t now);
int64_t attest_retry_max_us(int routers);
int64_t attest_coalesce_us(int64_t config_apply_us, int64_t drain_us);
bool attest_query_due(struct attest *attest, int routers, int64_t now);

#endif /* ATTEST_H */
