#include <stdio.h>
#include <string.h>

#include "eq.h"
#include "room.h"

/* The workers of an attempt, and what is reserved for it there. */

/*
 * Adds a hop to the request's chain: reserves a slot at the worker if it is the
 * first one and, if it runs layers, memory there.
 */
void eq_reserve_hop(struct eq *eq, struct wk *wk, int from, int to)
{
	struct room_request request = eq_room_request(eq);
	struct eq_hop *hop = &eq->attempt->hops[eq->attempt->hop_count];

	hop->worker = wk_ref(wk);
	hop->from = from;
	hop->to = to;
	hop->held = to > from ? room_mean_tokens(&request) * (to - from) : 0;
	wk->held += hop->held;
	wk->recent_held += hop->held;
	wk_add_loaded(wk);
	if (eq->attempt->hop_count == 0) {
		wk->first_hops++;
		wk->recent_first_hops++;
	}
	eq->attempt->hop_count++;
}

/* Releases slots and memory at the workers of an attempt. */
void eq_release_hops(struct eq_attempt *attempt)
{
	int i;

	for (i = 0; i < attempt->hop_count; i++) {
		attempt->hops[i].worker->held -= attempt->hops[i].held;
		if (i == 0)
			attempt->hops[i].worker->first_hops--;
		wk_unref(attempt->hops[i].worker);
	}
	attempt->hop_count = 0;
}

/* Returns the hop of the request's chain that runs on the worker, or NULL. */
const struct eq_hop *eq_find_hop(const struct eq *eq, const struct wk *wk)
{
	int i;

	for (i = 0; i < eq->attempt->hop_count; i++) {
		if (eq->attempt->hops[i].worker == wk)
			return &eq->attempt->hops[i];
	}
	return NULL;
}

/*
 * Returns the worker of an attempt's chain with this address, or NULL.  The
 * worker table may hold several with one address; this is the one that the
 * request was sent to.
 */
struct wk *eq_worker_at_address(const struct eq_attempt *attempt,
				const char *address)
{
	int i;

	for (i = 0; i < attempt->hop_count; i++) {
		if (strcmp(attempt->hops[i].worker->entry.address, address) ==
		    0)
			return attempt->hops[i].worker;
	}
	return NULL;
}

/* Writes the hops of a request in their wire form. */
int eq_wire_hops(const struct eq *eq, struct wire_hop *hops)
{
	int i;

	for (i = 0; i < eq->attempt->hop_count; i++) {
		mag_copy_name(hops[i].address, sizeof(hops[i].address),
			      eq->attempt->hops[i].worker->entry.address);
		hops[i].from = eq->attempt->hops[i].from;
		hops[i].to = eq->attempt->hops[i].to;
	}
	return eq->attempt->hop_count;
}

/* Formats a chain for the log: each worker with its first layer. */
const char *eq_chain_text(const struct eq *eq, char *dst, size_t size)
{
	size_t len = 0;
	int i;

	dst[0] = '\0';
	for (i = 0; i < eq->attempt->hop_count && len < size; i++)
		len += (size_t)snprintf(dst + len, size - len, "%s%s@%d",
					i > 0 ? " " : "",
					eq->attempt->hops[i].worker->label,
					eq->attempt->hops[i].from);
	return dst;
}
