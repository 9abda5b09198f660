#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "jlog.h"
#include "pres.h"

#define PRES_PEER   PRES_PREFIX "instance/"
#define PRES_PLACER PRES_PREFIX "placer"
/*
 * Only the placer holds a lease; it ends this long after its holder was heard
 * last.  Long enough for two lost renewals, short enough that another one
 * orders layers before the callers of a lost data centre have given up.
 */
#define PRES_LEASE_MS 1600
#define PRES_RENEW_US (500 * MAG_US_PER_MS)
/* Taken off the lease, for the time that a renewal was on its way. */
#define PRES_MARGIN_US (300 * MAG_US_PER_MS)
/*
 * When the placer is gone, the others stand for it spread over this much for
 * each of them: every try costs two calls, and one is enough.
 */
#define PRES_SPREAD_US (75 * MAG_US_PER_MS)
#define PRES_RETRY_US  (500 * MAG_US_PER_MS)
/*
 * Instances that the store has lost register again spread over so much for
 * each of them, and over no more than the second: its rate of writes holds.
 */
#define PRES_AGAIN_EACH_US (4 * MAG_US_PER_MS)
#define PRES_AGAIN_MOST_US (1200 * MAG_US_PER_MS)

struct pres {
	struct sto *sto;
	char name[MAG_NAME_MAX];
	char key[WIRE_KEY_MAX];
	char value[128]; /* address of the peer socket, data centre */
	char title[128]; /* what the placer's key holds if it is us */
	int64_t lease_ms;
	int64_t lease;	  /* 0: none */
	int64_t sent_us;  /* of the renewal in progress */
	int64_t valid_us; /* the lease holds until then at least */
	int64_t next_us;  /* when to renew the lease next */
	bool asking;	  /* a call about the lease is in progress */
	bool registering;
	int64_t register_us; /* when to try that next */
	bool standing;	     /* a try to become placer is in progress */
	bool leaving;

	bool listed;
	int64_t own_revision;	/* of our key as listed, 0: none */
	bool own_right;		/* it holds our address */
	char placer[128];	/* what the placer's key holds, "": free */
	int64_t placer_free_us; /* when to stand for it, if it is free then */
	int64_t stand_after_us; /* titles of before a return of the store end */
	int64_t lost_lease;	/* ours when the store came back; 0: none */
	bool settling;		/* the store lacks what was written lately */
	uint64_t seed;
	struct pres_peer *peers;
	bool *seen;
	int peer_count;
};

static void pres_renew(struct pres *pres, int64_t now);
static void pres_stand(struct pres *pres, int64_t now);
static void pres_wait_to_stand(struct pres *pres, int64_t now);
static void pres_taken(void *user, enum sto_result result, const char *body,
		       size_t len);
static void pres_kept(void *user, enum sto_result result, const char *body,
		      size_t len);
static void pres_registered(void *user, enum sto_result result,
			    const char *body, size_t len);
static void pres_stood(void *user, enum sto_result result, const char *body,
		       size_t len);
static void pres_ended(void *user, enum sto_result result, const char *body,
		       size_t len);
static void pres_peer_item(struct pres *pres, const struct wire_item *item);
static void pres_forget(struct pres *pres, int i);

/* Begins to take part; address is that of the peer socket. */
struct pres *pres_new(struct sto *sto, const char *name, const char *address,
		      const char *data_centre, int64_t lease_ms_min,
		      uint64_t incarnation)
{
	struct pres *pres = calloc(1, sizeof(*pres));

	if (!pres)
		return NULL;
	pres->peers = calloc(PRES_PEERS_MAX, sizeof(*pres->peers));
	pres->seen = calloc(PRES_PEERS_MAX, sizeof(*pres->seen));
	if (!pres->peers || !pres->seen) {
		pres_free(pres);
		return NULL;
	}
	pres->sto = sto;
	pres->lease_ms = PRES_LEASE_MS;
	if (pres->lease_ms < lease_ms_min)
		pres->lease_ms = lease_ms_min;
	snprintf(pres->name, sizeof(pres->name), "%s", name);
	snprintf(pres->key, sizeof(pres->key), PRES_PEER "%s", name);
	snprintf(pres->value, sizeof(pres->value), "%s %s", address,
		 data_centre);
	snprintf(pres->title, sizeof(pres->title), "%s %" PRIx64, name,
		 incarnation);
	pres->seed = incarnation | 1;
	return pres;
}

void pres_free(struct pres *pres)
{
	if (!pres)
		return;
	free(pres->peers);
	free(pres->seen);
	free(pres);
}

/* Registers, stands for placer if there is none, and renews its lease. */
void pres_tick(struct pres *pres, int64_t now)
{
	if (pres->leaving || !pres->listed)
		return;
	if (!pres->own_right && !pres->registering &&
	    now >= pres->register_us) {
		pres->registering = true;
		sto_swap(pres->sto, pres->key, pres->value, pres->own_revision,
			 0, pres_registered, pres);
	}
	if (pres->placer[0])
		pres_renew(pres, now);
	else if (now >= pres->placer_free_us && now >= pres->stand_after_us)
		pres_stand(pres, now);
}

/*
 * The store has come back from an older copy.  Its lease numbers may be those
 * of others now, so that ours counts only if the placer's key is still ours
 * under it.  Nobody stands before the title of one that does not know of the
 * return has ended.
 */
void pres_store_restored(struct pres *pres, int64_t now)
{
	uint64_t spread =
		(uint64_t)PRES_AGAIN_EACH_US * (uint64_t)(pres->peer_count + 1);

	if (spread > PRES_AGAIN_MOST_US)
		spread = PRES_AGAIN_MOST_US;
	pres->lost_lease = pres->lease;
	pres->lease = 0;
	pres->valid_us = 0;
	pres->placer[0] = '\0';
	pres->own_right = false;
	pres->listed = false;
	pres->settling = true;
	pres->stand_after_us = now + pres->lease_ms * MAG_US_PER_MS;
	pres->register_us = now + (int64_t)(mag_random(&pres->seed) % spread);
}

/* All have written again: who is missing from the next list is gone. */
void pres_store_settled(struct pres *pres)
{
	pres->settling = false;
}

/* Returns how many peers the list that was read last lacks. */
int pres_missing_count(const struct pres *pres)
{
	int missing = 0;
	int i;

	for (i = 0; i < pres->peer_count; i++)
		missing += !pres->seen[i];
	return missing;
}

/* Gives the placer's lease back, so that others take over at once. */
void pres_leave(struct pres *pres)
{
	if (pres->leaving)
		return;
	pres->leaving = true;
	if (pres->lease)
		sto_end_lease(pres->sto, pres->lease, pres_ended, pres);
	pres->lease = 0;
}

/*
 * Tells whether this instance may give orders now.  To be asked right before
 * each send: a process that was paused wakes up with a lease long over.
 */
bool pres_is_placer(const struct pres *pres, int64_t now)
{
	return !pres->leaving && pres->lease && now < pres->valid_us &&
	       strcmp(pres->placer, pres->title) == 0;
}

int pres_peer_count(const struct pres *pres)
{
	return pres->peer_count;
}

const struct pres_peer *pres_peer(const struct pres *pres, int i)
{
	return &pres->peers[i];
}

/*
 * Keeps the lease alive while this instance is the placer, also when it may
 * have ended: leases may stand still while the store is away, and to go on as
 * the placer spares the data centres some seconds without one.
 */
static void pres_renew(struct pres *pres, int64_t now)
{
	if (!pres->lease || pres->asking || now < pres->next_us ||
	    strcmp(pres->placer, pres->title) != 0)
		return;
	pres->asking = true;
	pres->sent_us = now;
	sto_renew_lease(pres->sto, pres->lease, pres_kept, pres);
}

/* Takes a lease, and with it the placer's key if that is still free. */
static void pres_stand(struct pres *pres, int64_t now)
{
	if (pres->asking || pres->standing)
		return;
	if (!pres->lease || now >= pres->valid_us) {
		pres->lease = 0;
		pres->asking = true;
		pres->sent_us = now;
		pres->placer_free_us = now + PRES_RETRY_US;
		sto_create_lease(pres->sto, pres->lease_ms, pres_taken, pres);
		return;
	}
	pres->standing = true;
	sto_swap(pres->sto, PRES_PLACER, pres->title, 0, pres->lease,
		 pres_stood, pres);
}

/* Spreads the tries of all instances, since when the placer is free. */
static void pres_wait_to_stand(struct pres *pres, int64_t now)
{
	uint64_t spread =
		(uint64_t)PRES_SPREAD_US * (uint64_t)(pres->peer_count + 1);

	pres->placer_free_us =
		now + (int64_t)(mag_random(&pres->seed) % spread);
}

static void pres_taken(void *user, enum sto_result result, const char *body,
		       size_t len)
{
	struct pres *pres = user;
	int64_t ttl_ms;

	pres->asking = false;
	if (result != STO_DONE ||
	    sto_parse_lease(body, len, &pres->lease, &ttl_ms))
		return;
	pres->lease_ms = ttl_ms;
	pres->valid_us =
		pres->sent_us + ttl_ms * MAG_US_PER_MS - PRES_MARGIN_US;
	pres->next_us = pres->sent_us + PRES_RENEW_US;
	/* Nobody stood first, as far as is known: on with it. */
	pres->placer_free_us = pres->sent_us;
}

static void pres_kept(void *user, enum sto_result result, const char *body,
		      size_t len)
{
	struct pres *pres = user;

	(void)body;
	(void)len;
	pres->asking = false;
	pres->next_us = pres->sent_us + PRES_RETRY_US;
	if (result == STO_DONE) {
		pres->valid_us = pres->sent_us +
				 pres->lease_ms * MAG_US_PER_MS -
				 PRES_MARGIN_US;
		pres->next_us = pres->sent_us + PRES_RENEW_US;
	} else if (result == STO_MISSING) {
		pres->lease = 0;
	}
}

static void pres_registered(void *user, enum sto_result result,
			    const char *body, size_t len)
{
	struct pres *pres = user;

	(void)body;
	(void)len;
	pres->registering = false;
	/* A lost answer or a conflict: the watch shows what holds. */
	pres->own_right = result == STO_DONE;
	pres->register_us = clk_boot_us() + PRES_RETRY_US;
}

static void pres_stood(void *user, enum sto_result result, const char *body,
		       size_t len)
{
	struct pres *pres = user;

	(void)body;
	(void)len;
	pres->standing = false;
	pres->placer_free_us = clk_boot_us() + PRES_RETRY_US;
	if (result != STO_DONE) {
		/* The watch tells who was first; our lease lapses. */
		pres->lease = 0;
		return;
	}
	mag_copy_name(pres->placer, sizeof(pres->placer), pres->title);
	jlog(LOG_PRES_PLACER, "\"placer\":\"%s\",\"self\":true", pres->name);
}

static void pres_ended(void *user, enum sto_result result, const char *body,
		       size_t len)
{
	(void)user;
	(void)result;
	(void)body;
	(void)len;
}

/* A whole list of the keys begins. */
void pres_list_begin(struct pres *pres)
{
	memset(pres->seen, 0, PRES_PEERS_MAX * sizeof(*pres->seen));
	pres->placer[0] = '\0';
	pres->own_revision = 0;
	pres->own_right = false;
}

/* Takes one key, new, changed or deleted. */
void pres_item(struct pres *pres, const struct wire_item *item)
{
	if (strncmp(item->key, PRES_PEER, strlen(PRES_PEER)) == 0) {
		pres_peer_item(pres, item);
		return;
	}
	if (strcmp(item->key, PRES_PLACER) != 0)
		return;
	pres->placer[0] = '\0';
	pres_wait_to_stand(pres, clk_boot_us());
	if (!item->deleted)
		snprintf(pres->placer, sizeof(pres->placer), "%s", item->value);
	if (pres->lost_lease && item->lease == pres->lost_lease &&
	    strcmp(pres->placer, pres->title) == 0) {
		/* Still ours; it holds once it was renewed. */
		pres->lease = pres->lost_lease;
		pres->next_us = 0;
	}
	pres->lost_lease = 0;
	jlog(LOG_PRES_PLACER, "\"placer\":\"%s\",\"self\":%s", pres->placer,
	     strcmp(pres->placer, pres->title) ? "false" : "true");
}

/* The list is whole: peers that it lacks are gone. */
void pres_list_end(struct pres *pres)
{
	int i;

	for (i = pres->peer_count - 1; i >= 0 && !pres->settling; i--) {
		if (!pres->seen[i])
			pres_forget(pres, i);
	}
	if (!pres->listed && !pres->placer[0])
		pres_wait_to_stand(pres, clk_boot_us());
	pres->listed = true;
}

/* Takes the key of an instance, which holds its peer address. */
static void pres_peer_item(struct pres *pres, const struct wire_item *item)
{
	const char *name = item->key + strlen(PRES_PEER);
	struct pres_peer peer = { 0 };
	int i;

	if (strcmp(name, pres->name) == 0) {
		pres->own_revision = item->deleted ? 0 : item->revision;
		pres->own_right =
			!item->deleted && strcmp(item->value, pres->value) == 0;
		return;
	}
	for (i = 0; i < pres->peer_count; i++) {
		if (strcmp(pres->peers[i].name, name) == 0)
			break;
	}
	if (item->deleted) {
		if (i < pres->peer_count)
			pres_forget(pres, i);
		return;
	}
	if (i == PRES_PEERS_MAX || strlen(name) >= MAG_NAME_MAX ||
	    sscanf(item->value, "%47s %63s", peer.address, peer.data_centre) !=
		    2)
		return;
	if (i == pres->peer_count)
		pres->peer_count++;
	mag_copy_name(peer.name, sizeof(peer.name), name);
	pres->peers[i] = peer;
	pres->seen[i] = true;
}

static void pres_forget(struct pres *pres, int i)
{
	pres->peer_count--;
	pres->peers[i] = pres->peers[pres->peer_count];
	pres->seen[i] = pres->seen[pres->peer_count];
}
