#include <stdlib.h>

#include "hint_limit.h"

/*
 * Lists the known limits, with the time since the worker advertised each.  If
 * they do not all fit, the next message starts where this one ends.
 */
void hint_limit_collect(const struct wk_table *table, int64_t now, int *next,
			struct hint_message *message)
{
	struct hint_limit *limit;
	struct wk *wk;
	int known = 0;
	int skip;

	cds_list_for_each_entry (wk, &table->attended, attended)
		known += wk->proc.adv.thr.limited;
	message->limit_count = 0;
	if (known == 0)
		return;
	skip = known > HINT_LIMITS_MAX ? *next % known : 0;
	*next = skip + HINT_LIMITS_MAX;
	cds_list_for_each_entry (wk, &table->attended, attended) {
		if (!wk->proc.adv.thr.limited || skip-- > 0)
			continue;
		if (message->limit_count == HINT_LIMITS_MAX)
			break;
		limit = &message->limits[message->limit_count++];
		limit->worker = htab_hash(wk->entry.id);
		limit->per_s = (float)wk->proc.adv.thr.limit;
		limit->age_ms =
			(uint32_t)((now - wk->proc.adv.thr.advertised_us) /
				   MAG_US_PER_MS);
	}
}

/* Applies the limits in a peer's message that was received at received_us. */
void hint_limit_add(const struct wk_table *table,
		    const struct hint_limit *limits, uint32_t count,
		    int64_t received_us, int64_t now)
{
	int64_t advertised_us;
	struct wk *wk;
	uint32_t i;

	for (i = 0; i < count; i++) {
		advertised_us = received_us - limits[i].age_ms * MAG_US_PER_MS;
		wk = wk_by_hash(table, limits[i].worker);
		for (; wk; wk = wk_next_by_hash(wk))
			wk_apply_peer_limit(wk, (double)limits[i].per_s,
					    advertised_us, now);
	}
}

/*
 * Returns a router's part of a worker's limit.  The routers of the worker's
 * data centre share it, or all routers if there is none: routers of other data
 * centres have workers of their own.  Without memory each gets the same part.
 */
double hint_limit_part(const struct hint_router *routers, int count,
		       uint32_t self, const struct wk *wk)
{
	uint32_t centre = htab_hash(wk->entry.data_centre);
	struct thr_router *members;
	int found = 0;
	double part;
	bool all;
	int i;

	for (i = 0; i < count; i++)
		found += routers[i].data_centre == centre;
	all = found == 0;
	if (all)
		found = count;
	members = calloc((size_t)(found > 0 ? found : 1), sizeof(*members));
	if (!members)
		return 1.0 / found;
	found = 0;
	for (i = 0; i < count; i++) {
		if (all || routers[i].data_centre == centre)
			members[found++] =
				(struct thr_router){ routers[i].id,
						     routers[i].demand };
	}
	part = thr_router_fraction(members, found, self,
				   htab_hash(wk->entry.id),
				   wk->proc.adv.thr.limit);
	free(members);
	return part;
}
