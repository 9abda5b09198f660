#include <string.h>

#include "vch.h"

/* Part of the bound for which keys are trusted: clocks run slightly apart. */
#define VCH_TRUST_SHARE 0.98
/*
 * After this part of the bound a router says that it is not ready, so that
 * the balancer has moved its callers when it must refuse them.
 */
#define VCH_READY_SHARE 0.6
/*
 * The store is asked when knowledge has not become younger for so long, or
 * up to so much later for each router that hears the answer: mostly one of
 * them asks for all.  The spread ends where keys would be refused for it.
 */
#define VCH_ASK_US	  (400 * MAG_US_PER_MS)
#define VCH_ASK_EACH_US	  (100 * MAG_US_PER_MS)
#define VCH_ASK_SPREAD_US (1600 * MAG_US_PER_MS)
/* Pause after an ask that changed nothing; twice as long each time. */
#define VCH_ASK_AGAIN_US (500 * MAG_US_PER_MS)
#define VCH_ASK_DOUBLE	 2
/*
 * A watch that fails is tried again after so long for each router at most:
 * in an outage of the store the calls of all of them together stay bounded,
 * and the first one that is answered tells the others.
 */
#define VCH_RETRY_EACH_US  (50 * MAG_US_PER_MS)
#define VCH_RETRY_LEAST_US (500 * MAG_US_PER_MS)
#define VCH_RETRY_MOST_US  (2 * MAG_US_PER_S)
/*
 * Changes are gathered for so long before the next watch, so that one call
 * tells of many, but for no more than a part of the shorter bound: a lost call
 * can be made again within it.  Work is placed by what workers were last told
 * to hold, which is why a longer bound does not make it longer.
 */
#define VCH_GATHER_US	 (800 * MAG_US_PER_MS)
#define VCH_GATHER_SHARE 0.4

static int64_t vch_pause(struct vch *vch, int routers);

void vch_init(struct vch *vch, uint32_t session, uint64_t seed)
{
	memset(vch, 0, sizeof(*vch));
	vch->session = session ? session : 1;
	vch->seed = seed | 1;
}

/* The store has shown that the set in force was the newest at a time. */
void vch_from_store(struct vch *vch, int64_t at_us)
{
	if (at_us > vch->fresh_us)
		vch->fresh_us = at_us;
}

/*
 * Takes a peer's word if it is about the version in force here, or an older
 * one, and answers a message of this process.  Returns true if knowledge
 * became younger by it.
 */
bool vch_from_peer(struct vch *vch, const struct vch_word *word,
		   int64_t version, int64_t now)
{
	int64_t fresh_us;

	if (word->session != vch->session || word->version > version ||
	    word->echo_us < 0 || word->echo_us > now || word->age_us < 0)
		return false;
	fresh_us = word->echo_us - word->age_us;
	if (fresh_us <= vch->fresh_us)
		return false;
	vch->fresh_us = fresh_us;
	return true;
}

/* Fills in what this instance knows; the receiver's fields are the caller's. */
void vch_tell(const struct vch *vch, int64_t version, int64_t now,
	      struct vch_word *word)
{
	word->version = version;
	word->age_us = vch->fresh_us ? now - vch->fresh_us : -1;
}

/* Tells whether a key that is in force here may be accepted. */
bool vch_trusted(const struct vch *vch, int64_t bound_us, int64_t now)
{
	return vch->fresh_us && (double)(now - vch->fresh_us) <
					(double)bound_us * VCH_TRUST_SHARE;
}

/* Tells whether keys will be refused here if nothing comes in some time. */
bool vch_soon_untrusted(const struct vch *vch, int64_t bound_us, int64_t now)
{
	return !vch->fresh_us || (double)(now - vch->fresh_us) >=
					 (double)bound_us * VCH_READY_SHARE;
}

/* Returns the longest pause between two tries of a watch that fails. */
int64_t vch_retry_us(int routers)
{
	int64_t pause = VCH_RETRY_EACH_US * routers;

	if (pause < VCH_RETRY_LEAST_US)
		return VCH_RETRY_LEAST_US;
	return pause < VCH_RETRY_MOST_US ? pause : VCH_RETRY_MOST_US;
}

/*
 * Returns how long changes of the store may gather, under the bounds within
 * which a configuration is in force and a leaving worker gets nothing new.
 */
int64_t vch_gather_us(int64_t config_apply_us, int64_t drain_us)
{
	int64_t bound_us =
		config_apply_us < drain_us ? config_apply_us : drain_us;
	int64_t most_us = (int64_t)((double)bound_us * VCH_GATHER_SHARE);

	return most_us < VCH_GATHER_US ? most_us : VCH_GATHER_US;
}

/* Tells whether this instance should ask the store now, and plans the next. */
bool vch_is_time_to_ask(struct vch *vch, int routers, int64_t now)
{
	if (vch->planned_us != vch->fresh_us) {
		vch->planned_us = vch->fresh_us;
		vch->ask_us = vch->fresh_us + vch_pause(vch, routers);
		vch->asks = 0;
	}
	if (now < vch->ask_us)
		return false;
	vch->ask_us =
		now + mag_backoff(VCH_ASK_AGAIN_US, vch->asks, VCH_ASK_DOUBLE);
	vch->asks++;
	return true;
}

static int64_t vch_pause(struct vch *vch, int routers)
{
	int64_t spread = VCH_ASK_EACH_US * routers;

	if (spread > VCH_ASK_SPREAD_US)
		spread = VCH_ASK_SPREAD_US;
	return VCH_ASK_US +
	       (int64_t)(mag_random(&vch->seed) % (uint64_t)spread);
}
