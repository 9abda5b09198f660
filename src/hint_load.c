#include <stdlib.h>
#include <string.h>

#include "hint_load.h"

/* A slowdown that a worker reported is relayed for this long. */
#define HINT_SLOWDOWN_EXPIRY_US (300 * MAG_US_PER_MS)
/* A slowdown outside this range is invalid; a peer may be wrong. */
#define HINT_SLOWDOWN_MIN 0.01F
#define HINT_SLOWDOWN_MAX 1000.0F

static float hint_slowdown(const struct wk *wk, int64_t now);
static void hint_add_load(const struct wk_table *table,
			  const struct hint_load *load, int64_t received_us);
static void hint_set_slowdown(struct wk *wk, const struct hint_load *load,
			      int64_t received_us);

/* Lists the workers to which this router has given load. */
void hint_load_collect(const struct wk_table *table, int64_t now,
		       struct hint_loads *own)
{
	float slowdown;
	struct wk *wk;

	own->count = 0;
	cds_list_for_each_entry (wk, &table->loaded, loaded) {
		if (own->count == MAG_ARRAY_SIZE(own->loads))
			break;
		slowdown = hint_slowdown(wk, now);
		if (wk->first_hops == 0 && wk->held <= 0 && slowdown <= 0)
			continue;
		own->loads[own->count++] = (struct hint_load){
			htab_hash(wk->entry.id),
			(float)wk->held,
			(uint32_t)wk->first_hops,
			slowdown,
		};
	}
}

/* Returns the number of datagrams for a load; an empty load takes one. */
uint32_t hint_load_part_count(const struct hint_loads *own)
{
	if (own->count == 0)
		return 1;
	return (own->count + HINT_LOADS_MAX - 1) / HINT_LOADS_MAX;
}

/* Writes one part of a load into a message. */
void hint_load_fill(const struct hint_loads *own, uint32_t part,
		    struct hint_message *message)
{
	uint32_t first = part * HINT_LOADS_MAX;
	uint32_t count = own->count - first;

	if (count > HINT_LOADS_MAX)
		count = HINT_LOADS_MAX;
	message->part = part;
	message->part_count = hint_load_part_count(own);
	message->load_count = count;
	memcpy(message->loads, &own->loads[first],
	       count * sizeof(message->loads[0]));
}

/*
 * Stores a received part of a peer's load; lost parts keep their old values, as
 * does this one without memory.
 */
int hint_load_receive(struct hint_peer_loads *peer,
		      const struct hint_message *message)
{
	uint32_t count = message->load_count;
	struct hint_load *loads;
	uint32_t part;

	for (part = peer->part_count; part < message->part_count; part++)
		peer->parts[part].count = 0;
	peer->part_count = message->part_count;
	part = message->part;
	if (count > peer->parts[part].max) {
		loads = realloc(peer->parts[part].loads,
				count * sizeof(*loads));
		if (!loads)
			return HINT_LOAD_E_MEMORY;
		peer->parts[part].loads = loads;
		peer->parts[part].max = count;
	}
	peer->parts[part].count = count;
	if (count > 0)
		memcpy(peer->parts[part].loads, message->loads,
		       count * sizeof(message->loads[0]));
	return HINT_LOAD_OK;
}

void hint_load_free(struct hint_peer_loads *peer)
{
	int part;

	for (part = 0; part < HINT_PARTS_MAX; part++)
		free(peer->parts[part].loads);
	memset(peer, 0, sizeof(*peer));
}

/*
 * Clears the peers' load on each worker, and our load that peers cannot have
 * counted yet; workers without any load leave the list.
 */
void hint_load_clear(struct wk_table *table, int64_t now)
{
	struct wk *wk;
	struct wk *next;

	cds_list_for_each_entry_safe (wk, next, &table->loaded, loaded) {
		wk->recent_held = 0;
		wk->recent_first_hops = 0;
		wk->peer_held = 0;
		wk->peer_first_hops = 0;
		if (wk->held <= 0 && wk->first_hops == 0 &&
		    hint_slowdown(wk, now) <= 0)
			cds_list_del_init(&wk->loaded);
	}
}

/* Adds the load of one peer to the workers that it names. */
void hint_load_add(const struct wk_table *table,
		   const struct hint_peer_loads *peer, int64_t received_us)
{
	uint32_t part;
	uint32_t i;

	for (part = 0; part < peer->part_count; part++) {
		for (i = 0; i < peer->parts[part].count; i++)
			hint_add_load(table, &peer->parts[part].loads[i],
				      received_us);
	}
}

/* Returns a worker's slowdown for a message, 0 if it is outdated. */
static float hint_slowdown(const struct wk *wk, int64_t now)
{
	if (!wk->proc.reported_us ||
	    now - wk->proc.reported_us > HINT_SLOWDOWN_EXPIRY_US)
		return 0;
	return (float)wk->proc.slowdown;
}

static void hint_add_load(const struct wk_table *table,
			  const struct hint_load *load, int64_t received_us)
{
	struct wk *wk = wk_by_hash(table, load->worker);

	for (; wk; wk = wk_next_by_hash(wk)) {
		wk_add_loaded(wk);
		wk->peer_held += (double)load->held;
		wk->peer_first_hops += (int)load->first_hops;
		hint_set_slowdown(wk, load, received_us);
	}
}

/* A newer report from a peer saves us a probe of our own. */
static void hint_set_slowdown(struct wk *wk, const struct hint_load *load,
			      int64_t received_us)
{
	if (!(load->slowdown >= HINT_SLOWDOWN_MIN &&
	      load->slowdown <= HINT_SLOWDOWN_MAX) ||
	    received_us <= wk->proc.slowdown_us)
		return;
	wk->proc.slowdown = (double)load->slowdown;
	if (wk->proc.slowdown > 1)
		wk_attend(wk);
	wk->proc.slowdown_us = received_us;
}
