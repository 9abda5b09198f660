#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "edge.h"
#include "hint.h"
#include "quar_keep.h"
#include "sto.h"

/* Keys at a time; what is quarantined beyond that is lost with all routers. */
#define QUAR_KEEP_MAX 64
/* Time in which a key that one router writes has reached the others. */
#define QUAR_KEEP_RANK_US  (2 * MAG_US_PER_S)
#define QUAR_KEEP_RETRY_US (5 * MAG_US_PER_S)
/* Routers that write a key if those before them do not. */
#define QUAR_KEEP_RANK_MAX 4
/* The store ends leases that are longer (milliseconds). */
#define QUAR_KEEP_LEASE_MS 600000

struct quar_keep {
	struct edge *edge;
	bool busy;		 /* a call is in progress */
	struct quar_trait trait; /* that it is about */
	int64_t lease;
	int64_t retry_us; /* no call before then */
	int count;	  /* keys in the store */
};

static void quar_keep_on_lease(void *user, enum sto_result result,
			       const char *body, size_t len);
static void quar_keep_on_written(void *user, enum sto_result result,
				 const char *body, size_t len);
static void quar_keep_on_lease_ended(void *user, enum sto_result result,
				     const char *body, size_t len);

struct quar_keep *quar_keep_new(struct edge *edge)
{
	struct quar_keep *keep = calloc(1, sizeof(*keep));

	if (keep)
		keep->edge = edge;
	return keep;
}

/* Writes the next trait that is to be kept, if it is this router's turn. */
void quar_keep_tick(struct quar_keep *keep, int64_t now)
{
	struct edge *edge = keep->edge;
	int64_t since_us;
	int rank;

	if (keep->busy || now < keep->retry_us ||
	    keep->count >= QUAR_KEEP_MAX ||
	    !quar_trait_next_unkept(edge->traits, &keep->trait, &since_us, now))
		return;
	rank = hint_rank(edge->hint, (uint32_t)keep->trait.value, now);
	keep->retry_us = since_us + rank * QUAR_KEEP_RANK_US;
	if (rank >= QUAR_KEEP_RANK_MAX)
		quar_trait_set_kept(edge->traits, &keep->trait);
	if (rank >= QUAR_KEEP_RANK_MAX || now < keep->retry_us)
		return;
	keep->busy = true;
	keep->retry_us = now + QUAR_KEEP_RETRY_US;
	sto_create_lease(edge->sto, QUAR_KEEP_LEASE_MS, quar_keep_on_lease,
			 keep);
}

static void quar_keep_on_lease(void *user, enum sto_result result,
			       const char *body, size_t len)
{
	struct quar_keep *keep = user;
	const struct quar_trait *trait = &keep->trait;
	char key[WIRE_KEY_MAX];
	int64_t ttl_ms;

	if (result != STO_DONE ||
	    sto_parse_lease(body, len, &keep->lease, &ttl_ms)) {
		keep->busy = false;
		return;
	}
	snprintf(key, sizeof(key), QUAR_KEEP_PREFIX "%08" PRIx32 "/%s/%" PRIx64,
		 trait->service, quar_trait_kind_name(trait->kind),
		 trait->value);
	sto_swap(keep->edge->sto, key, keep->edge->set.instance, 0, keep->lease,
		 quar_keep_on_written, keep);
}

/* The key may exist already, as another router has written it. */
static void quar_keep_on_written(void *user, enum sto_result result,
				 const char *body, size_t len)
{
	struct quar_keep *keep = user;

	(void)body;
	(void)len;
	keep->busy = false;
	if (result == STO_DONE || result == STO_CONFLICT) {
		quar_trait_set_kept(keep->edge->traits, &keep->trait);
		keep->retry_us = clk_boot_us();
	}
	if (result == STO_CONFLICT)
		sto_end_lease(keep->edge->sto, keep->lease,
			      quar_keep_on_lease_ended, keep);
}

/* A lease that is not ended now ends by itself. */
static void quar_keep_on_lease_ended(void *user, enum sto_result result,
				     const char *body, size_t len)
{
	(void)user;
	(void)result;
	(void)body;
	(void)len;
}

/* Called when a complete listing of the store's keys begins. */
void quar_keep_list_begin(struct quar_keep *keep)
{
	keep->count = 0;
}

/* Applies an entry of the store: quarantines a trait, or no longer. */
void quar_keep_item(struct quar_keep *keep, const struct wire_item *item,
		    int64_t now)
{
	struct quar_trait trait = { 0 };
	char kind[16];

	if (sscanf(item->key, QUAR_KEEP_PREFIX "%" SCNx32 "/%15[a-z]/%" SCNx64,
		   &trait.service, kind, &trait.value) != 3)
		return;
	trait.kind = strcmp(kind, quar_trait_kind_name(QUAR_TRAIT_PART)) == 0
			     ? QUAR_TRAIT_PART
			     : QUAR_TRAIT_CONTENT;
	if (item->deleted) {
		keep->count -= keep->count > 0;
		quar_trait_lift(keep->edge->traits, &trait, now);
		return;
	}
	keep->count++;
	quar_trait_restore(keep->edge->traits, &trait, now);
}
