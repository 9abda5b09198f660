#include <stdlib.h>
#include <string.h>

#include "pick_int.h"

static uint64_t *pick_cache_set(struct pick_cache *cache, uint64_t prefix);

/*
 * Takes an event of an endpoint's prefix cache.  Events come late and with
 * gaps: a gap forgets everything, as any prefix may have been dropped in it.
 */
void pick_cache_event(struct pick *pick, int endpoint, uint64_t sequence,
		      uint64_t prefix, bool stored, int64_t now)
{
	struct pick_cache *cache;
	struct pick_ep *ep;
	uint64_t *set;
	int i;

	(void)now;
	if (endpoint < 0 || endpoint >= pick->ep_count || prefix == 0)
		return;
	ep = &pick->eps[endpoint];
	if (!ep->cache)
		ep->cache = calloc(1, sizeof(*ep->cache));
	cache = ep->cache;
	if (!cache)
		return;
	if (sequence != cache->next_sequence)
		memset(cache->prefix_hashes, 0, sizeof(cache->prefix_hashes));
	cache->next_sequence = sequence + 1;
	set = pick_cache_set(cache, prefix);
	for (i = 0; i < PICK_CACHE_WAYS; i++) {
		if (set[i] == prefix)
			set[i] = 0;
	}
	if (!stored)
		return;
	memmove(set + 1, set, (PICK_CACHE_WAYS - 1) * sizeof(*set));
	set[0] = prefix;
}

/* Tells whether an endpoint likely holds a prefix. */
bool pick_cache_holds(const struct pick_ep *ep, uint64_t prefix)
{
	const uint64_t *set;
	int i;

	if (!ep->cache || prefix == 0)
		return false;
	set = pick_cache_set(ep->cache, prefix);
	for (i = 0; i < PICK_CACHE_WAYS; i++) {
		if (set[i] == prefix)
			return true;
	}
	return false;
}

/* Returns the places where a prefix may be; it is a hash already. */
static uint64_t *pick_cache_set(struct pick_cache *cache, uint64_t prefix)
{
	return &cache->prefix_hashes[(prefix % PICK_CACHE_SETS) *
				     PICK_CACHE_WAYS];
}
