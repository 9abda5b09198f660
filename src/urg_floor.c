#include <math.h>
#include <string.h>

#include "urg.h"

/*
 * Time constant of the counts.  It outlasts a peak of more urgent requests of
 * 6 s: with 10 s, the floor serves the least urgent requests more often than
 * others in the middle of it.
 */
#define URG_FLOOR_DECAY_US (18 * MAG_US_PER_S)
/* A margin over the required third of the fraction for all requests. */
#define URG_FLOOR_PART 0.4
/* Places in which a key may be. */
#define URG_FLOOR_PROBES 8
/* A key that was not counted for this long may be replaced. */
#define URG_FLOOR_KEEP_US (60 * MAG_US_PER_S)

static struct urg_floor_count
urg_floor_decayed(const struct urg_floor_count *count, int64_t now);
static void urg_floor_add(struct urg_floor_count *count, bool served,
			  int64_t now);
static uint32_t urg_floor_place(uint32_t key, int probe);
static const struct urg_floor_key *urg_floor_find(const struct urg_floor *floor,
						  uint32_t key);
static struct urg_floor_key *urg_floor_get(struct urg_floor *floor,
					   uint32_t key, int64_t now);

void urg_floor_init(struct urg_floor *floor)
{
	memset(floor, 0, sizeof(*floor));
}

/*
 * Counts a request of a key that was placed or refused, also into the total of
 * the service.  Keys beyond the size of the table are not counted.
 */
void urg_floor_count(struct urg_floor *floor, uint32_t key, bool served,
		     int64_t now)
{
	struct urg_floor_key *entry = urg_floor_get(floor, key, now);

	urg_floor_add(&floor->all, served, now);
	if (!entry)
		return;
	urg_floor_add(&entry->count, served, now);
	floor->seed ^= (uint64_t)now;
	entry->draw = mag_random_unit(&floor->seed);
}

/*
 * Tells whether a key's requests are served far less often than all requests,
 * and at least one more of them is due.  An exempt request is still refused as
 * often as others, so that 1 / fraction of them are due for each one served.  A
 * router that sees a request of a key only now and then is due a part of one;
 * it draws whether that is the present one, so that many such routers together
 * keep the floor without exceeding it.
 */
bool urg_floor_is_below(const struct urg_floor *floor, uint32_t key,
			int64_t now)
{
	const struct urg_floor_key *entry = urg_floor_find(floor, key);
	struct urg_floor_count all = urg_floor_decayed(&floor->all, now);
	struct urg_floor_count own;
	double fraction;

	if (!entry || !(all.asked > 0))
		return false;
	own = urg_floor_decayed(&entry->count, now);
	fraction = all.served / all.asked;
	if (!(own.served < URG_FLOOR_PART * fraction * own.asked))
		return false;
	return URG_FLOOR_PART * (own.asked + 1) - own.served / fraction >
	       entry->draw;
}

/* Returns the counts at a moment. */
static struct urg_floor_count
urg_floor_decayed(const struct urg_floor_count *count, int64_t now)
{
	struct urg_floor_count decayed = *count;
	double keep;

	if (now <= count->at_us)
		return decayed;
	keep = exp(-(double)(now - count->at_us) / URG_FLOOR_DECAY_US);
	decayed.asked *= keep;
	decayed.served *= keep;
	decayed.at_us = now;
	return decayed;
}

static void urg_floor_add(struct urg_floor_count *count, bool served,
			  int64_t now)
{
	*count = urg_floor_decayed(count, now);
	count->asked++;
	count->served += served;
}

static uint32_t urg_floor_place(uint32_t key, int probe)
{
	uint32_t place = key * 0x9e3779b1U;

	place ^= place >> 16;
	return (place + (uint32_t)probe) % URG_FLOOR_KEYS;
}

/* Returns a key's entry, or NULL. */
static const struct urg_floor_key *urg_floor_find(const struct urg_floor *floor,
						  uint32_t key)
{
	const struct urg_floor_key *entry;
	int i;

	for (i = 0; i < URG_FLOOR_PROBES; i++) {
		entry = &floor->keys[urg_floor_place(key, i)];
		if (entry->used && entry->key == key)
			return entry;
	}
	return NULL;
}

/* Returns a key's entry, which may be new, or NULL if there is no place. */
static struct urg_floor_key *urg_floor_get(struct urg_floor *floor,
					   uint32_t key, int64_t now)
{
	struct urg_floor_key *free = NULL;
	struct urg_floor_key *entry;
	int i;

	for (i = 0; i < URG_FLOOR_PROBES; i++) {
		entry = &floor->keys[urg_floor_place(key, i)];
		if (entry->used && entry->key == key)
			return entry;
		if (!free && (!entry->used ||
			      now - entry->count.at_us > URG_FLOOR_KEEP_US))
			free = entry;
	}
	if (!free)
		return NULL;
	memset(free, 0, sizeof(*free));
	free->key = key;
	free->used = true;
	return free;
}
