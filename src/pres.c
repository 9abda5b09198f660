#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <urcu/list.h>

#include "clk.h"
#include "htab.h"
#include "jlog.h"
#include "pl_store.h"
#include "pres.h"

#define PRES_PLACER_KEY PRES_PREFIX "placer"
/*
 * Only the placer holds a lease; it expires this long after its holder's last
 * renewal.  It is long enough to survive two lost renewals, and short enough
 * for another placer to order layers before the callers of a lost data centre
 * give up.
 */
#define PRES_LEASE_MS 1600
#define PRES_RENEW_US (500 * MAG_US_PER_MS)
/*
 * Safety margin subtracted from the lease for the time that a renewal takes to
 * reach the store.
 */
#define PRES_LEASE_MARGIN_US (300 * MAG_US_PER_MS)
/*
 * When there is no placer, the other instances try to acquire the role at
 * random times, spread over this time per instance: each attempt takes two
 * calls, and one attempt is enough.
 */
#define PRES_ACQUIRE_SPREAD_US (75 * MAG_US_PER_MS)
#define PRES_RETRY_US	       (500 * MAG_US_PER_MS)
/*
 * Instances that are missing from the restored store register again, spread
 * over this time per instance, but over at most PRES_REREGISTER_MAX_US, so as
 * not to exceed the store's write rate.
 */
#define PRES_REREGISTER_EACH_US (4 * MAG_US_PER_MS)
#define PRES_REREGISTER_MAX_US	(1200 * MAG_US_PER_MS)
/* Instances that start together register within this time. */
#define PRES_REGISTER_SPREAD_US (500 * MAG_US_PER_MS)
#define PRES_PEERS_MIN		64

/* A peer in the table; its place there changes when others are removed. */
struct pres_entry {
	struct htab_node by_name;
	struct pres_peer peer;
	int index;
	bool seen; /* in the list being read */
};

struct pres {
	struct sto *sto;
	char name[MAG_NAME_MAX];
	char key[WIRE_KEY_MAX];
	char value[160]; /* address of the peer sockets, data centre, link */
	char placer_value[128]; /* value of the placer's key if we hold it */
	int64_t lease_ms;
	int64_t lease;		 /* 0: none */
	int64_t sent_us;	 /* when the renewal in progress was sent */
	int64_t valid_until_us;	 /* the lease is valid at least until then */
	int64_t renew_us;	 /* when to renew the lease next */
	bool lease_call_pending; /* a call about the lease is in progress */
	bool may_register;	 /* whether our key exists has been read */
	bool registering;
	bool registered;     /* this process has written our key */
	bool preceded;	     /* our key was there before that */
	int64_t register_us; /* earliest time of the next attempt */
	bool acquiring;	     /* an attempt to become placer is in progress */
	bool leaving;
	bool yields; /* may not be the placer */

	bool listed;
	int64_t own_revision;	  /* of our key as listed, 0: none */
	bool own_seen;		  /* our key is in the list being read */
	bool placer_seen;	  /* the same for the placer's */
	bool own_key_valid;	  /* our key holds our address */
	char placer[128];	  /* value of the placer's key, "": no placer */
	int64_t acquire_us;	  /* when to acquire the role if still free */
	int64_t acquire_after_us; /* roles from before a restore expire */
	int64_t previous_lease;	  /* our lease before the restore; 0: none */
	bool settling;		  /* the store lacks recently written entries */
	uint64_t seed;
	struct htab names;
	struct pres_entry **peers;
	int peer_count;
	int peer_max;
	unsigned int changes; /* of the peers so far */
};

static void pres_renew(struct pres *pres, int64_t now);
static void pres_acquire(struct pres *pres, int64_t now);
static void pres_schedule_acquire(struct pres *pres, int64_t now);
static void pres_release_lease(struct pres *pres);
static void pres_on_lease_created(void *user, enum sto_result result,
				  const char *body, size_t len);
static void pres_on_renewed(void *user, enum sto_result result,
			    const char *body, size_t len);
static void pres_on_registered(void *user, enum sto_result result,
			       const char *body, size_t len);
static void pres_on_acquired(void *user, enum sto_result result,
			     const char *body, size_t len);
static void pres_on_lease_ended(void *user, enum sto_result result,
				const char *body, size_t len);
static void pres_learn_own_key(struct pres *pres, const char *body, size_t len);
static void pres_own_item(struct pres *pres, const struct wire_item *item);
static void pres_peer_item(struct pres *pres, const struct wire_item *item);
static struct pres_entry *pres_find(const struct pres *pres, const char *name);
static struct pres_entry *pres_add_peer(struct pres *pres, const char *name);
static void pres_remove_peer(struct pres *pres, struct pres_entry *entry);

/* Starts presence. */
struct pres *pres_new(struct sto *sto, const struct pres_settings *settings)
{
	const struct pres_peer *self = &settings->self;
	struct pres *pres = calloc(1, sizeof(*pres));

	if (!pres)
		return NULL;
	pres->sto = sto;
	pres->lease_ms = PRES_LEASE_MS;
	if (pres->lease_ms < settings->lease_ms_min)
		pres->lease_ms = settings->lease_ms_min;
	snprintf(pres->name, sizeof(pres->name), "%s", self->name);
	snprintf(pres->key, sizeof(pres->key), PRES_INSTANCE_PREFIX "%s/%s",
		 self->data_centre, self->name);
	snprintf(pres->value, sizeof(pres->value), "%s %s %d", self->address,
		 self->data_centre, self->link_mbps);
	snprintf(pres->placer_value, sizeof(pres->placer_value), "%s %" PRIx64,
		 self->name, settings->incarnation);
	pres->seed = settings->incarnation | 1;
	pres->may_register = settings->first_start;
	pres->register_us = clk_boot_us() + (int64_t)(mag_random(&pres->seed) %
						      PRES_REGISTER_SPREAD_US);
	return pres;
}

void pres_free(struct pres *pres)
{
	if (!pres)
		return;
	while (pres->peer_count > 0)
		pres_remove_peer(pres, pres->peers[pres->peer_count - 1]);
	htab_free(&pres->names);
	free(pres->peers);
	free(pres);
}

/*
 * Registers the instance, acquires the placer role if it is free, and renews
 * its lease.
 */
void pres_tick(struct pres *pres, int64_t now)
{
	if (pres->leaving)
		return;
	if (pres->may_register && !pres->own_key_valid && !pres->registering &&
	    now >= pres->register_us) {
		pres->registering = true;
		sto_swap(pres->sto, pres->key, pres->value, pres->own_revision,
			 0, pres_on_registered, pres);
	}
	if (!pres->listed)
		return;
	if (pres->placer[0])
		pres_renew(pres, now);
	else if (!pres->yields && now >= pres->acquire_us &&
		 now >= pres->acquire_after_us)
		pres_acquire(pres, now);
}

/*
 * The store was restored from an older backup.  Its lease numbers may now
 * belong to other holders, so our lease counts only if the placer's key still
 * has our value under that lease.  No instance tries to become placer until the
 * lease of a placer that does not know of the restore has expired.
 */
void pres_store_restored(struct pres *pres, int64_t now)
{
	uint64_t spread = (uint64_t)PRES_REREGISTER_EACH_US *
			  (uint64_t)(pres->peer_count + 1);

	if (spread > PRES_REREGISTER_MAX_US)
		spread = PRES_REREGISTER_MAX_US;
	pres->previous_lease = pres->lease;
	pres->lease = 0;
	pres->valid_until_us = 0;
	pres->placer[0] = '\0';
	pres->own_key_valid = false;
	pres->may_register = false;
	pres->listed = false;
	pres->settling = true;
	pres->acquire_after_us = now + pres->lease_ms * MAG_US_PER_MS;
	pres->register_us = now + (int64_t)(mag_random(&pres->seed) % spread);
}

/*
 * All instances have registered again: those missing from the next list are
 * gone.
 */
void pres_store_settled(struct pres *pres)
{
	pres->settling = false;
}

/* Returns how many known peers were missing from the last list. */
int pres_missing_count(const struct pres *pres)
{
	int missing = 0;
	int i;

	for (i = 0; i < pres->peer_count; i++)
		missing += !pres->peers[i]->seen;
	return missing;
}

/* Releases the placer's lease, so that another instance takes over at once. */
void pres_leave(struct pres *pres)
{
	if (pres->leaving)
		return;
	pres->leaving = true;
	pres_release_lease(pres);
}

/*
 * Releases the placer's lease while this instance could not carry the role out,
 * so that another one does.
 */
void pres_yield_placer(struct pres *pres, bool yields)
{
	if (yields && !pres->yields)
		pres_release_lease(pres);
	pres->yields = yields;
}

static void pres_release_lease(struct pres *pres)
{
	if (pres->lease)
		sto_end_lease(pres->sto, pres->lease, pres_on_lease_ended,
			      pres);
	pres->lease = 0;
}

/*
 * Returns whether this instance may send placement orders now.  Call it
 * immediately before each send: the lease of a process that was paused may have
 * expired long ago.
 */
bool pres_is_placer(const struct pres *pres, int64_t now)
{
	return !pres->leaving && pres->lease && now < pres->valid_until_us &&
	       strcmp(pres->placer, pres->placer_value) == 0;
}

/* Tells whether the other instances in the store's list are known. */
bool pres_is_listed(const struct pres *pres)
{
	return pres->listed;
}

/* Returns whether our own key has been seen in the store. */
bool pres_own_listed(const struct pres *pres)
{
	return pres->own_key_valid;
}

/*
 * Tells whether a process before this one has registered this instance, or may
 * have: a write whose answer was lost looks the same.
 */
bool pres_is_preceded(const struct pres *pres)
{
	return pres->preceded;
}

/* Returns a number that changes whenever the peers do. */
unsigned int pres_changes(const struct pres *pres)
{
	return pres->changes;
}

int pres_peer_count(const struct pres *pres)
{
	return pres->peer_count;
}

const struct pres_peer *pres_peer(const struct pres *pres, int i)
{
	return &pres->peers[i]->peer;
}

/*
 * Renews the lease while this instance is the placer, even if it may have
 * expired: the store may suspend the expiry of leases while it is unreachable,
 * and resuming as placer spares the data centres several seconds without one.
 */
static void pres_renew(struct pres *pres, int64_t now)
{
	if (!pres->lease || pres->lease_call_pending || now < pres->renew_us ||
	    strcmp(pres->placer, pres->placer_value) != 0)
		return;
	pres->lease_call_pending = true;
	pres->sent_us = now;
	sto_renew_lease(pres->sto, pres->lease, pres_on_renewed, pres);
}

/*
 * Creates a lease, then writes the placer's key under it if that is still free.
 */
static void pres_acquire(struct pres *pres, int64_t now)
{
	if (pres->lease_call_pending || pres->acquiring)
		return;
	if (!pres->lease || now >= pres->valid_until_us) {
		pres->lease = 0;
		pres->lease_call_pending = true;
		pres->sent_us = now;
		pres->acquire_us = now + PRES_RETRY_US;
		sto_create_lease(pres->sto, pres->lease_ms,
				 pres_on_lease_created, pres);
		return;
	}
	pres->acquiring = true;
	sto_swap(pres->sto, PRES_PLACER_KEY, pres->placer_value, 0, pres->lease,
		 pres_on_acquired, pres);
}

/* Spreads the attempts of all instances, starting when the role became free. */
static void pres_schedule_acquire(struct pres *pres, int64_t now)
{
	uint64_t spread = (uint64_t)PRES_ACQUIRE_SPREAD_US *
			  (uint64_t)(pres->peer_count + 1);

	pres->acquire_us = now + (int64_t)(mag_random(&pres->seed) % spread);
}

static void pres_on_lease_created(void *user, enum sto_result result,
				  const char *body, size_t len)
{
	struct pres *pres = user;
	int64_t ttl_ms;

	pres->lease_call_pending = false;
	if (result != STO_DONE ||
	    sto_parse_lease(body, len, &pres->lease, &ttl_ms))
		return;
	pres->lease_ms = ttl_ms;
	pres->valid_until_us =
		pres->sent_us + ttl_ms * MAG_US_PER_MS - PRES_LEASE_MARGIN_US;
	pres->renew_us = pres->sent_us + PRES_RENEW_US;
	/* As far as is known the role is still free: continue at once. */
	pres->acquire_us = pres->sent_us;
}

static void pres_on_renewed(void *user, enum sto_result result,
			    const char *body, size_t len)
{
	struct pres *pres = user;

	(void)body;
	(void)len;
	pres->lease_call_pending = false;
	pres->renew_us = pres->sent_us + PRES_RETRY_US;
	if (result == STO_DONE) {
		pres->valid_until_us = pres->sent_us +
				       pres->lease_ms * MAG_US_PER_MS -
				       PRES_LEASE_MARGIN_US;
		pres->renew_us = pres->sent_us + PRES_RENEW_US;
	} else if (result == STO_MISSING) {
		pres->lease = 0;
	}
}

static void pres_on_registered(void *user, enum sto_result result,
			       const char *body, size_t len)
{
	struct pres *pres = user;

	pres->registering = false;
	/* After a lost answer the watch shows the result. */
	pres->own_key_valid = result == STO_DONE;
	pres->registered |= result == STO_DONE;
	pres->register_us = clk_boot_us() + PRES_RETRY_US;
	if (result == STO_CONFLICT)
		pres_learn_own_key(pres, body, len);
}

/* Takes our key's revision and value from the answer to a conflicting write. */
static void pres_learn_own_key(struct pres *pres, const char *body, size_t len)
{
	struct wire_items items;
	int i;

	if (pl_store_conflict(body, len, &items))
		return;
	for (i = 0; i < items.count; i++) {
		if (strcmp(items.items[i].key, pres->key) == 0)
			pres_own_item(pres, &items.items[i]);
	}
	pl_store_items_free(&items);
}

static void pres_own_item(struct pres *pres, const struct wire_item *item)
{
	pres->own_seen = true;
	pres->preceded |=
		!item->deleted && !pres->registering && !pres->registered;
	pres->own_revision = item->deleted ? 0 : item->revision;
	pres->own_key_valid =
		!item->deleted && strcmp(item->value, pres->value) == 0;
}

static void pres_on_acquired(void *user, enum sto_result result,
			     const char *body, size_t len)
{
	struct pres *pres = user;

	(void)body;
	(void)len;
	pres->acquiring = false;
	pres->acquire_us = clk_boot_us() + PRES_RETRY_US;
	if (result != STO_DONE) {
		/* The watch shows who was first; our lease expires. */
		pres->lease = 0;
		return;
	}
	mag_copy_name(pres->placer, sizeof(pres->placer), pres->placer_value);
	jlog(LOG_PRES_PLACER, "\"placer\":\"%s\",\"self\":true", pres->name);
}

static void pres_on_lease_ended(void *user, enum sto_result result,
				const char *body, size_t len)
{
	(void)user;
	(void)result;
	(void)body;
	(void)len;
}

/* Starts a complete list of the keys. */
void pres_list_begin(struct pres *pres)
{
	int i;

	for (i = 0; i < pres->peer_count; i++)
		pres->peers[i]->seen = false;
	pres->own_seen = false;
	pres->placer_seen = false;
}

/* Handles a key that was added, changed or deleted. */
void pres_item(struct pres *pres, const struct wire_item *item)
{
	if (strncmp(item->key, PRES_INSTANCE_PREFIX,
		    strlen(PRES_INSTANCE_PREFIX)) == 0) {
		pres_peer_item(pres, item);
		return;
	}
	if (strcmp(item->key, PRES_PLACER_KEY) != 0)
		return;
	pres->placer[0] = '\0';
	pres->placer_seen = true;
	pres_schedule_acquire(pres, clk_boot_us());
	if (!item->deleted)
		snprintf(pres->placer, sizeof(pres->placer), "%s", item->value);
	if (pres->previous_lease && item->lease == pres->previous_lease &&
	    strcmp(pres->placer, pres->placer_value) == 0) {
		/* The role is still ours; it is valid after a renewal. */
		pres->lease = pres->previous_lease;
		pres->renew_us = 0;
	}
	pres->previous_lease = 0;
	jlog(LOG_PRES_PLACER, "\"placer\":\"%s\",\"self\":%s", pres->placer,
	     strcmp(pres->placer, pres->placer_value) ? "false" : "true");
}

/*
 * The list is complete: what is missing from it is gone.  Until then what was
 * known holds, as a long list is read in parts and ticks run between them.
 */
void pres_list_end(struct pres *pres)
{
	int i;

	if (!pres->own_seen) {
		pres->own_revision = 0;
		pres->own_key_valid = false;
	}
	if (!pres->placer_seen && pres->placer[0]) {
		pres->placer[0] = '\0';
		pres_schedule_acquire(pres, clk_boot_us());
	}

	for (i = pres->peer_count - 1; i >= 0 && !pres->settling; i--) {
		if (!pres->peers[i]->seen)
			pres_remove_peer(pres, pres->peers[i]);
	}
	if (!pres->listed && !pres->placer[0])
		pres_schedule_acquire(pres, clk_boot_us());
	pres->listed = true;
	pres->may_register = true;
}

/*
 * Our data centre's instances were read before the store is followed: whether
 * our own key exists is known.
 */
void pres_read_own(struct pres *pres)
{
	pres->may_register = true;
}

/* Handles the key of an instance, "data-centre/name", with its addresses. */
static void pres_peer_item(struct pres *pres, const struct wire_item *item)
{
	const char *name = strrchr(item->key, '/') + 1;
	struct pres_entry *entry = pres_find(pres, name);
	struct pres_peer peer = { 0 };

	if (strcmp(item->key, pres->key) == 0) {
		pres_own_item(pres, item);
		return;
	}
	if (item->deleted) {
		if (entry)
			pres_remove_peer(pres, entry);
		return;
	}
	if (strlen(name) >= MAG_NAME_MAX ||
	    sscanf(item->value, "%47s %63s %d", peer.address, peer.data_centre,
		   &peer.link_mbps) < 2)
		return;
	mag_copy_name(peer.name, sizeof(peer.name), name);
	if (!entry)
		entry = pres_add_peer(pres, name);
	if (!entry)
		return;
	entry->seen = true;
	if (memcmp(&entry->peer, &peer, sizeof(peer)) == 0)
		return;
	entry->peer = peer;
	pres->changes++;
}

static struct pres_entry *pres_find(const struct pres *pres, const char *name)
{
	struct htab_node *node = htab_first(&pres->names, htab_hash(name));
	struct pres_entry *entry;

	for (; node; node = htab_next(node)) {
		entry = cds_list_entry(node, struct pres_entry, by_name);
		if (strcmp(entry->peer.name, name) == 0)
			return entry;
	}
	return NULL;
}

/* Adds a peer without an address; NULL without memory. */
static struct pres_entry *pres_add_peer(struct pres *pres, const char *name)
{
	int max = pres->peer_max ? pres->peer_max * 2 : PRES_PEERS_MIN;
	struct pres_entry *entry = calloc(1, sizeof(*entry));
	struct pres_entry **peers = pres->peers;

	if (pres->peer_count == pres->peer_max) {
		peers = realloc(pres->peers,
				(size_t)max * sizeof(struct pres_entry *));
		if (!peers) {
			free(entry);
			return NULL;
		}
		pres->peers = peers;
		pres->peer_max = max;
	}
	if (!entry ||
	    htab_add(&pres->names, &entry->by_name, htab_hash(name))) {
		free(entry);
		return NULL;
	}
	entry->index = pres->peer_count++;
	peers[entry->index] = entry;
	return entry;
}

static void pres_remove_peer(struct pres *pres, struct pres_entry *entry)
{
	struct pres_entry *last = pres->peers[--pres->peer_count];

	pres->peers[entry->index] = last;
	last->index = entry->index;
	htab_del(&pres->names, &entry->by_name);
	free(entry);
	pres->changes++;
}
