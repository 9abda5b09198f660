#include <stdlib.h>
#include <string.h>

#include "pick_int.h"

/*
 * Takes an event of an endpoint's prefix cache.  Events come late and with
 * gaps: a gap forgets everything, as any prefix may have been dropped in it.
 */
void pick_cache_event(struct pick *pick, int endpoint, uint64_t sequence,
		      uint64_t prefix, bool stored, int64_t now)
{
	struct pick_cache *cache;
	struct pick_ep *ep;
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
		memset(cache->prefix, 0, sizeof(cache->prefix));
	cache->next_sequence = sequence + 1;
	for (i = 0; i < PICK_PREFIXES; i++) {
		if (cache->prefix[i] == prefix)
			cache->prefix[i] = 0;
	}
	if (!stored)
		return;
	cache->prefix[cache->next] = prefix;
	cache->next = (cache->next + 1) % PICK_PREFIXES;
}

/* Tells whether an endpoint likely holds a prefix. */
bool pick_cache_holds(const struct pick_ep *ep, uint64_t prefix)
{
	int i;

	if (!ep->cache || prefix == 0)
		return false;
	for (i = 0; i < PICK_PREFIXES; i++) {
		if (ep->cache->prefix[i] == prefix)
			return true;
	}
	return false;
}
