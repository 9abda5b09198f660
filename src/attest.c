#include <string.h>

#include "attest.h"

/* Part of the bound for which keys are trusted: clocks run slightly apart. */
#define ATTEST_TRUST_SHARE 0.98
/*
 * After this part of the bound a router says that it is not ready, so that
 * the balancer has moved its callers when it must refuse them.
 */
#define ATTEST_READY_SHARE 0.6
/*
 * The store is asked when knowledge has not become younger for so long, or
 * up to so much later for each router that hears the answer: mostly one of
 * them asks for all.  The spread ends where keys would be refused for it.
 */
#define ATTEST_ASK_US	     (400 * MAG_US_PER_MS)
#define ATTEST_ASK_EACH_US   (100 * MAG_US_PER_MS)
#define ATTEST_ASK_SPREAD_US (1600 * MAG_US_PER_MS)
/* Pause after an ask that changed nothing; twice as long each time. */
#define ATTEST_ASK_AGAIN_US (500 * MAG_US_PER_MS)
#define ATTEST_ASK_DOUBLE   2
/*
 * A watch that fails is tried again after so long for each router at most:
 * in an outage of the store the calls of all of them together stay bounded,
 * and the first one that is answered tells the others.
 */
#define ATTEST_RETRY_EACH_US  (50 * MAG_US_PER_MS)
#define ATTEST_RETRY_LEAST_US (500 * MAG_US_PER_MS)
#define ATTEST_RETRY_MOST_US  (2 * MAG_US_PER_S)
/*
 * Changes are gathered for so long before the next watch, so that one call
 * tells of many, but for no more than a part of the shorter bound: a lost call
 * can be made again within it.  Work is placed by what workers were last told
 * to hold, which is why a longer bound does not make it longer.
 */
#define ATTEST_GATHER_US    (800 * MAG_US_PER_MS)
#define ATTEST_GATHER_SHARE 0.4

static int64_t attest_pause(struct attest *attest, int routers);

void attest_init(struct attest *attest, uint32_t session, uint64_t seed)
{
	memset(attest, 0, sizeof(*attest));
	attest->session = session ? session : 1;
	attest->seed = seed | 1;
}

/* The store has shown that the set in force was the newest at a time. */
void attest_from_store(struct attest *attest, int64_t at_us)
{
	if (at_us > attest->confirmed_us)
		attest->confirmed_us = at_us;
}

/*
 * Takes a peer's statement if it is about the version in force here, or an
 * older one, and answers a message of this process.  Returns true if knowledge
 * became younger by it.
 */
bool attest_from_peer(struct attest *attest, const struct attest_claim *claim,
		      int64_t version, int64_t now)
{
	int64_t fresh_us;

	if (claim->session != attest->session || claim->version > version ||
	    claim->echo_us < 0 || claim->echo_us > now || claim->age_us < 0)
		return false;
	fresh_us = claim->echo_us - claim->age_us;
	if (fresh_us <= attest->confirmed_us)
		return false;
	attest->confirmed_us = fresh_us;
	return true;
}

/* Fills in what this instance knows; the receiver's fields are the caller's. */
void attest_fill_claim(const struct attest *attest, int64_t version,
		       int64_t now, struct attest_claim *claim)
{
	claim->version = version;
	claim->age_us = attest->confirmed_us ? now - attest->confirmed_us : -1;
}

/* Tells whether a key that is in force here may be accepted. */
bool attest_is_trusted(const struct attest *attest, int64_t bound_us,
		       int64_t now)
{
	return attest->confirmed_us &&
	       (double)(now - attest->confirmed_us) <
		       (double)bound_us * ATTEST_TRUST_SHARE;
}

/* Tells whether keys will be refused here if nothing comes in some time. */
bool attest_soon_untrusted(const struct attest *attest, int64_t bound_us,
			   int64_t now)
{
	return !attest->confirmed_us ||
	       (double)(now - attest->confirmed_us) >=
		       (double)bound_us * ATTEST_READY_SHARE;
}

/* Returns the longest pause between two tries of a watch that fails. */
int64_t attest_retry_max_us(int routers)
{
	int64_t pause = ATTEST_RETRY_EACH_US * routers;

	if (pause < ATTEST_RETRY_LEAST_US)
		return ATTEST_RETRY_LEAST_US;
	return pause < ATTEST_RETRY_MOST_US ? pause : ATTEST_RETRY_MOST_US;
}

/*
 * Returns how long changes of the store may gather, under the bounds within
 * which a configuration is in force and a leaving worker gets nothing new.
 */
int64_t attest_coalesce_us(int64_t config_apply_us, int64_t drain_us)
{
	int64_t bound_us =
		config_apply_us < drain_us ? config_apply_us : drain_us;
	int64_t most_us = (int64_t)((double)bound_us * ATTEST_GATHER_SHARE);

	return most_us < ATTEST_GATHER_US ? most_us : ATTEST_GATHER_US;
}

/* Tells whether this instance should ask the store now, and plans the next. */
bool attest_query_due(struct attest *attest, int routers, int64_t now)
{
	if (attest->planned_for_us != attest->confirmed_us) {
		attest->planned_for_us = attest->confirmed_us;
		attest->query_us =
			attest->confirmed_us + attest_pause(attest, routers);
		attest->queries = 0;
	}
	if (now < attest->query_us)
		return false;
	attest->query_us =
		now + mag_backoff(ATTEST_ASK_AGAIN_US, attest->queries,
				  ATTEST_ASK_DOUBLE);
	attest->queries++;
	return true;
}

static int64_t attest_pause(struct attest *attest, int routers)
{
	int64_t spread = ATTEST_ASK_EACH_US * routers;

	if (spread > ATTEST_ASK_SPREAD_US)
		spread = ATTEST_ASK_SPREAD_US;
	return ATTEST_ASK_US +
	       (int64_t)(mag_random(&attest->seed) % (uint64_t)spread);
}
