#include <stdlib.h>
#include <string.h>

#include "pick_int.h"

static uint64_t *pick_cache_find_set(struct pick_cache *cache, uint64_t prefix);

/*
 * Applies an event of an endpoint's prefix cache.  Events arrive late and some
 * are lost.  After a gap in the sequence numbers all prefixes are discarded,
 * because any of them may have been evicted by a lost event.
 */
void pick_cache_event(struct pick *pick, int endpoint, uint64_t sequence,
		      uint64_t prefix, bool stored, int64_t now)
{
	struct pick_cache *cache;
	struct pick_ep *ep;
	uint64_t *ways;
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
	ways = pick_cache_find_set(cache, prefix);
	for (i = 0; i < PICK_CACHE_WAYS; i++) {
		if (ways[i] == prefix)
			ways[i] = 0;
	}
	if (!stored)
		return;
	memmove(ways + 1, ways, (PICK_CACHE_WAYS - 1) * sizeof(*ways));
	ways[0] = prefix;
}

/* Tells whether an endpoint probably caches a prefix. */
bool pick_cache_holds(const struct pick_ep *ep, uint64_t prefix)
{
	const uint64_t *ways;
	int i;

	if (!ep->cache || prefix == 0)
		return false;
	ways = pick_cache_find_set(ep->cache, prefix);
	for (i = 0; i < PICK_CACHE_WAYS; i++) {
		if (ways[i] == prefix)
			return true;
	}
	return false;
}

/*
 * Returns the set of entries in which a prefix may be stored.  The prefix is
 * already a hash, so its remainder selects the set.
 */
static uint64_t *pick_cache_find_set(struct pick_cache *cache, uint64_t prefix)
{
	return &cache->prefix_hashes[(prefix % PICK_CACHE_SETS) *
				     PICK_CACHE_WAYS];
}
