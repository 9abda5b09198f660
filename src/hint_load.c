#include <stdlib.h>
#include <string.h>

#include "hint_load.h"

/* A slowdown that a worker reported is relayed for this long. */
#define HINT_SLOWDOWN_EXPIRY_US (300 * MAG_US_PER_MS)
/* A slowdown outside this range is invalid; a peer may be wrong. */
#define HINT_SLOWDOWN_MIN 0.01F
#define HINT_SLOWDOWN_MAX 1000.0F

static float hint_slowdown(const struct wk *wk, int64_t now);
static void hint_add_load(const struct hint_index *index,
			  const struct hint_load *load, int64_t received_us);
static void hint_set_slowdown(struct wk *wk, const struct hint_load *load,
			      int64_t received_us);
static int hint_compare_hash(const void *a, const void *b);

/* Lists the workers to which this router has given load. */
void hint_load_collect(const struct wk_table *table, int64_t now,
		       struct hint_loads *own)
{
	float slowdown;
	struct wk *wk;

	own->count = 0;
	cds_list_for_each_entry (wk, &table->workers, node) {
		if (own->count == MAG_ARRAY_SIZE(own->loads))
			break;
		slowdown = hint_slowdown(wk, now);
		if (wk->first_hops == 0 && wk->held <= 0 && slowdown <= 0)
			continue;
		own->loads[own->count++] = (struct hint_load){
			hint_load_hash(wk->entry.id),
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

/* Stores a received part of a peer's load; lost parts keep their old values. */
void hint_load_receive(struct hint_peer_loads *peer,
		       const struct hint_message *message)
{
	uint32_t part;

	for (part = peer->part_count; part < message->part_count; part++)
		peer->counts[part] = 0;
	peer->part_count = message->part_count;
	peer->counts[message->part] = message->load_count;
	memcpy(peer->loads[message->part], message->loads,
	       message->load_count * sizeof(message->loads[0]));
}

/*
 * Clears the peers' load on each worker, and our load that peers cannot have
 * counted yet, and indexes the workers by hash.
 */
int hint_load_index_workers(struct hint_index *index,
			    const struct wk_table *table)
{
	struct hint_slot *slots;
	struct wk *wk;
	int count = 0;

	cds_list_for_each_entry (wk, &table->workers, node)
		count++;
	index->count = 0;
	if (count == 0)
		return HINT_LOAD_OK;
	if (count > index->max) {
		slots = realloc(index->slots, (size_t)count * sizeof(*slots));
		if (!slots)
			return HINT_LOAD_E_MEMORY;
		index->slots = slots;
		index->max = count;
	}
	cds_list_for_each_entry (wk, &table->workers, node) {
		wk->recent_held = 0;
		wk->peer_held = 0;
		wk->peer_first_hops = 0;
		index->slots[index->count++] =
			(struct hint_slot){ hint_load_hash(wk->entry.id), wk };
	}
	qsort(index->slots, (size_t)index->count, sizeof(index->slots[0]),
	      hint_compare_hash);
	return HINT_LOAD_OK;
}

/* Adds the load of one peer to the workers that it names. */
void hint_load_add(const struct hint_index *index,
		   const struct hint_peer_loads *peer, int64_t received_us)
{
	uint32_t part;
	uint32_t i;

	for (part = 0; part < peer->part_count; part++) {
		for (i = 0; i < peer->counts[part]; i++)
			hint_add_load(index, &peer->loads[part][i],
				      received_us);
	}
}

/* Returns the first worker with a hash, or NULL; others may follow it. */
const struct hint_slot *hint_load_find(const struct hint_index *index,
				       uint32_t hash)
{
	int low = 0;
	int high = index->count;
	int mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (index->slots[mid].hash < hash)
			low = mid + 1;
		else
			high = mid;
	}
	if (low == index->count || index->slots[low].hash != hash)
		return NULL;
	return &index->slots[low];
}

void hint_load_free(struct hint_index *index)
{
	free(index->slots);
	memset(index, 0, sizeof(*index));
}

/* FNV-1a hash of a worker's id. */
uint32_t hint_load_hash(const char *id)
{
	uint32_t hash = 2166136261U;

	for (; *id; id++)
		hash = (hash ^ (unsigned char)*id) * 16777619U;
	return hash;
}

/* Returns a worker's slowdown for a message, 0 if it is outdated. */
static float hint_slowdown(const struct wk *wk, int64_t now)
{
	if (!wk->proc.reported_us ||
	    now - wk->proc.reported_us > HINT_SLOWDOWN_EXPIRY_US)
		return 0;
	return (float)wk->proc.slowdown;
}

static void hint_add_load(const struct hint_index *index,
			  const struct hint_load *load, int64_t received_us)
{
	const struct hint_slot *end = index->slots + index->count;
	const struct hint_slot *slot = hint_load_find(index, load->worker);

	for (; slot && slot < end && slot->hash == load->worker; slot++) {
		slot->wk->peer_held += (double)load->held;
		slot->wk->peer_first_hops += (int)load->first_hops;
		hint_set_slowdown(slot->wk, load, received_us);
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
	wk->proc.slowdown_us = received_us;
}

static int hint_compare_hash(const void *a, const void *b)
{
	const struct hint_slot *x = a;
	const struct hint_slot *y = b;

	return (x->hash > y->hash) - (x->hash < y->hash);
}
