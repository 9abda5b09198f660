#include "hint_suspect.h"

/*
 * Rounds of messages that have a suspicion, as some of them may be lost; one
 * that was heard from a peer reaches others by many ways.
 */
#define HINT_SUSPECT_ROUNDS	  4
#define HINT_SUSPECT_RELAY_ROUNDS 3
/* Peers avoid a suspect for this long, and hear of it again before that. */
#define HINT_SUSPECT_US	      (3 * MAG_US_PER_S)
#define HINT_SUSPECT_AGAIN_US (2 * MAG_US_PER_S)
/* Routers of a data centre that probe a worker on the word of another one. */
#define HINT_SUSPECT_PROBERS 2
/* The same if their own requests wait for it. */
#define HINT_SUSPECT_PROBERS_IN_USE 6
/* They do so again after this, if more routers find it dead. */
#define HINT_SUSPECT_PROBE_US MAG_US_PER_S

static void hint_suspect_add(struct wk_table *table, bool own, uint32_t self,
			     int64_t now, uint32_t *next,
			     struct hint_message *message);
static void hint_suspect_fill(const struct wk *wk, uint32_t self, int64_t now,
			      struct hint_suspect *suspect);
static uint32_t hint_suspect_mix(uint32_t a, uint32_t b);

/*
 * Marks the workers that came under suspicion because of our own requests, or
 * are still so, to be announced.  Returns whether one is new: peers are then
 * told at once.  While our own path to the workers is in doubt, peers are told
 * nothing.
 */
bool hint_suspect_announce(struct wk_table *table, int64_t now)
{
	bool found = false;
	struct wk *wk;

	if (reach_is_doubted(&table->reach))
		return false;
	cds_list_for_each_entry (wk, &table->attended, attended) {
		if (!wk->proc.to_announce &&
		    !(wk->proc.suspected && now >= wk->next_announce_us))
			continue;
		found |= wk->proc.to_announce;
		wk->proc.to_announce = false;
		wk->announce_rounds = HINT_SUSPECT_ROUNDS;
		wk->next_announce_us = now + HINT_SUSPECT_AGAIN_US;
	}
	return found;
}

/*
 * Adds the workers under suspicion: first our own, which no other router may
 * know of, then those that peers have reported.
 */
void hint_suspect_collect(struct wk_table *table, uint32_t self, int64_t now,
			  uint32_t *next, struct hint_message *message)
{
	message->suspect_count = 0;
	if (!reach_is_doubted(&table->reach))
		hint_suspect_add(table, true, self, now, next, message);
	hint_suspect_add(table, false, self, now, next, message);
}

/*
 * Adds our own suspicions or those heard from peers.  If they do not all fit,
 * each message has others.
 */
static void hint_suspect_add(struct wk_table *table, bool own, uint32_t self,
			     int64_t now, uint32_t *next,
			     struct hint_message *message)
{
	uint32_t known = 0;
	uint32_t skip = 0;
	struct wk *wk;

	cds_list_for_each_entry (wk, &table->attended, attended)
		known += wk->announce_rounds > 0 && wk->proc.suspected == own;
	if (known > HINT_SUSPECTS_MAX)
		skip = *next % known;
	*next += HINT_SUSPECTS_MAX;
	cds_list_for_each_entry (wk, &table->attended, attended) {
		if (wk->announce_rounds == 0 || wk->proc.suspected != own)
			continue;
		if (skip > 0) {
			skip--;
			continue;
		}
		if (message->suspect_count == HINT_SUSPECTS_MAX)
			break;
		wk->announce_rounds--;
		hint_suspect_fill(wk, self, now,
				  &message->suspects[message->suspect_count++]);
	}
}

static void hint_suspect_fill(const struct wk *wk, uint32_t self, int64_t now,
			      struct hint_suspect *suspect)
{
	int64_t left_us = wk->proc.hearsay_until_us - now;

	suspect->worker = htab_hash(wk->entry.id);
	suspect->witnesses = wk->proc.witnesses;
	if (wk->proc.suspected) {
		suspect->witnesses |= 1U << self % HINT_WITNESS_BITS;
		left_us = HINT_SUSPECT_US;
	}
	suspect->for_ms = left_us > 0 ? (uint32_t)(left_us / MAG_US_PER_MS) : 0;
}

/*
 * Notes a suspicion that a peer reported.  Returns whether it is news; then it
 * is passed on.
 */
bool hint_suspect_hear(struct wk *wk, const struct hint_suspect *suspect,
		       int64_t now)
{
	int64_t until_us = now + suspect->for_ms * MAG_US_PER_MS;

	if (!wk_hear_suspicion(wk, suspect->witnesses, until_us, now))
		return false;
	if (wk->announce_rounds < HINT_SUSPECT_RELAY_ROUNDS)
		wk->announce_rounds = HINT_SUSPECT_RELAY_ROUNDS;
	wk_attend(wk);
	return true;
}

/*
 * Returns whether a router that has heard of a suspicion probes the worker: it
 * is among those of its data centre that do so for the others, the ones with
 * the lowest hashes with the worker's.  There are more of them if their own
 * requests wait for it, yet no more the more routers there are: a worker that
 * answers late must not be probed more often for that.  The others find out
 * when their requests are silent.
 */
bool hint_suspect_probes(const struct wk *wk, const struct hint_router *routers,
			 int count, const struct hint_router *self, int64_t now)
{
	uint32_t worker = htab_hash(wk->entry.id);
	uint32_t own = hint_suspect_mix(worker, self->id);
	int max = wk->refs > 0 ? HINT_SUSPECT_PROBERS_IN_USE
			       : HINT_SUSPECT_PROBERS;
	int before = 0;
	int i;

	if (now - wk->probed_us < HINT_SUSPECT_PROBE_US)
		return false;
	for (i = 0; i < count && before < max; i++)
		before += routers[i].data_centre == self->data_centre &&
			  hint_suspect_mix(worker, routers[i].id) < own;
	return before < max;
}

/* Returns how many routers come before this one in the order of a key. */
int hint_suspect_rank(uint32_t key, const struct hint_router *routers,
		      int count, uint32_t self)
{
	uint32_t own = hint_suspect_mix(key, self);
	int before = 0;
	int i;

	for (i = 0; i < count; i++)
		before += hint_suspect_mix(key, routers[i].id) < own;
	return before;
}

/* Mixes two hashes. */
static uint32_t hint_suspect_mix(uint32_t a, uint32_t b)
{
	uint32_t mixed = (a ^ b) * 0x9e3779b1U;

	return mixed ^ mixed >> 15;
}
