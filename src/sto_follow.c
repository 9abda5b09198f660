#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "pl_store.h"
#include "sto_int.h"

/*
 * Waits after a failure: short at first, because a cut watch is no outage,
 * and bounded so that an outage's end is seen soon.  Drawn between half and
 * the whole, so that instances do not come back at once.
 */
#define STO_RETRY_US (80 * MAG_US_PER_MS)
/* How long the first watch after a failure stays open. */
#define STO_BACK_WAIT_MS 20
/* Instances that read all again at one event are spread over this. */
#define STO_LIST_SPREAD_US (150 * MAG_US_PER_MS)
/* Asks in a row without an answer after which a watch is given up, too. */
#define STO_ASKS_LOST_MAX 2

enum sto_follow_state {
	STO_LISTING,
	STO_WATCHING,
	STO_PAUSING, /* until retry_us, then a list or a watch */
};

struct sto_follow {
	struct cds_list_head node;
	struct sto *sto;
	char prefix[WIRE_KEY_MAX];
	char after[WIRE_KEY_MAX]; /* last key of the page before */
	int64_t wait_ms;
	int64_t gather_us;
	int64_t retry_max_us;
	const struct sto_follow_ops *ops;
	void *user;
	enum sto_follow_state state;
	bool list_next; /* after the pause: a list, not a watch */
	struct pos at;	/* in the store's history; all up to it was reported */
	int64_t list_revision;
	int64_t sent_us;
	int64_t list_sent_us;
	int64_t retry_us;
	int failures; /* in a row */

	struct sto_call *call;	  /* the list or watch in progress */
	struct pos reported;	  /* of the store, by the newest ask */
	int64_t reported_sent_us; /* when that was asked */
	struct pos known;	  /* that the store had, by any word */
	int64_t behind_us; /* this watch lags behind it since then; 0: no */
	int asks_lost;	   /* in a row */
};

/* How far is the store?  Several may be on their way: answers get lost. */
struct sto_ask {
	struct sto_follow *follow;
	int64_t sent_us;
};

static void sto_list(struct sto_follow *follow);
static void sto_watch(struct sto_follow *follow);
static void sto_listed(void *user, enum sto_result result, const char *body,
		       size_t len);
static void sto_watched(void *user, enum sto_result result, const char *body,
			size_t len);
static void sto_asked(void *user, enum sto_result result, const char *body,
		      size_t len);
static void sto_compare(struct sto_follow *follow);
static bool sto_is_deaf(struct sto_follow *follow, int64_t now);
static void sto_ask_lost(struct sto_follow *follow);
static void sto_give_up(struct sto_follow *follow);
static void sto_wake(struct sto_follow *follow);
static void sto_drop_call(struct sto_follow *follow);
static void sto_tell(struct sto_follow *follow, struct wire_items *items);
static void sto_pause(struct sto_follow *follow, bool list_next);
static void sto_answered(struct sto_follow *follow);
static void sto_come_back(struct sto *sto);

/* Follows all keys under a prefix from now on. */
int sto_follow(struct sto *sto, const struct sto_follow_settings *settings,
	       struct sto_follow **out)
{
	struct sto_follow *follow = calloc(1, sizeof(*follow));

	if (!follow)
		return STO_E_MEMORY;
	follow->sto = sto;
	strncpy(follow->prefix, settings->prefix, sizeof(follow->prefix) - 1);
	follow->wait_ms = settings->wait_ms;
	follow->gather_us = settings->gather_us;
	follow->retry_max_us = settings->retry_max_us;
	follow->ops = settings->ops;
	follow->user = settings->user;
	follow->at.era = POS_ERA_NONE;
	follow->reported.era = POS_ERA_NONE;
	follow->known.era = POS_ERA_NONE;
	cds_list_add_tail(&follow->node, &sto->follows);
	sto->come_back = sto_come_back;
	sto_list(follow);
	if (out)
		*out = follow;
	return STO_OK;
}

/* Goes on with followers whose pause is over. */
void sto_tick(struct sto *sto, int64_t now)
{
	struct sto_follow *follow;

	cds_list_for_each_entry (follow, &sto->follows, node) {
		if (sto_is_deaf(follow, now))
			sto_give_up(follow);
		if (follow->state != STO_PAUSING || now < follow->retry_us)
			continue;
		if (follow->list_next)
			sto_list(follow);
		else
			sto_watch(follow);
	}
}

static void sto_list(struct sto_follow *follow)
{
	char path[PL_PATH_MAX];

	follow->state = STO_LISTING;
	follow->sent_us = clk_boot_us();
	if (!follow->after[0])
		follow->list_sent_us = follow->sent_us;
	pl_store_range_path(path, follow->prefix, follow->after);
	follow->call = sto_start(follow->sto, "GET", path, NULL, 0, sto_listed,
				 follow);
}

static void sto_watch(struct sto_follow *follow)
{
	int64_t wait_ms = follow->wait_ms;
	char path[PL_PATH_MAX];

	/*
	 * After an outage an empty watch would tell only at its end that the
	 * store is back, and keys would be refused for that much longer.
	 */
	if (follow->failures > 0)
		wait_ms = STO_BACK_WAIT_MS;
	follow->state = STO_WATCHING;
	follow->behind_us = 0;
	follow->sent_us = clk_boot_us();
	pl_store_watch_path(path, follow->prefix, follow->at.revision, wait_ms);
	follow->call = sto_start(follow->sto, "GET", path, NULL,
				 wait_ms * MAG_US_PER_MS, sto_watched, follow);
}

/* A page of the list has come, or has not. */
static void sto_listed(void *user, enum sto_result result, const char *body,
		       size_t len)
{
	struct sto_follow *follow = user;
	struct wire_items items;

	follow->call = NULL;
	if (result != STO_DONE || pl_store_items(body, len, &items)) {
		follow->after[0] = '\0';
		sto_pause(follow, true);
		return;
	}
	sto_answered(follow);
	if (!follow->after[0]) {
		/* Pages are no snapshot: watch from before the first one. */
		follow->list_revision = items.revision;
		follow->ops->begin(follow->user);
	}
	sto_tell(follow, &items);
	if (items.has_more && items.count > 0) {
		mag_copy_name(follow->after, sizeof(follow->after),
			      items.items[items.count - 1].key);
		pl_store_items_free(&items);
		sto_list(follow);
		return;
	}
	pl_store_items_free(&items);
	follow->after[0] = '\0';
	follow->at =
		(struct pos){ sto_era(follow->sto), follow->list_revision };
	follow->ops->end(follow->user);
	follow->ops->fresh(follow->user, follow->list_sent_us);
	sto_compare(follow);
	sto_watch(follow);
}

static void sto_watched(void *user, enum sto_result result, const char *body,
			size_t len)
{
	struct sto_follow *follow = user;
	struct wire_items items;

	follow->call = NULL;
	if (result == STO_CONFLICT) {
		/* The store forgot what lies between: read all again. */
		sto_answered(follow);
		sto_list(follow);
		return;
	}
	if (result != STO_DONE || pl_store_events(body, len, &items)) {
		sto_pause(follow, false);
		return;
	}
	sto_answered(follow);
	sto_tell(follow, &items);
	follow->at.era = sto_era(follow->sto);
	if (items.revision > follow->at.revision)
		follow->at.revision = items.revision;
	pl_store_items_free(&items);
	follow->ops->fresh(follow->user, follow->sent_us);
	sto_compare(follow);
	if (clk_boot_us() - follow->sent_us < follow->wait_ms * MAG_US_PER_MS) {
		/* Changes come in bursts; one call takes what gathers. */
		follow->state = STO_PAUSING;
		follow->list_next = false;
		follow->retry_us = clk_boot_us() + follow->gather_us;
		return;
	}
	sto_watch(follow);
}

/*
 * The smallest question that the store answers with its revision: what lies
 * behind the last key under a prefix that is a key itself.
 */
void sto_follow_ask(struct sto_follow *follow)
{
	struct sto_ask *ask = calloc(1, sizeof(*ask));
	char path[PL_PATH_MAX];

	if (!ask)
		return;
	ask->follow = follow;
	ask->sent_us = clk_boot_us();
	pl_store_range_path(path, PL_CONFIG_KEY, PL_CONFIG_KEY);
	sto_start(follow->sto, "GET", path, NULL, 0, sto_asked, ask);
}

static void sto_asked(void *user, enum sto_result result, const char *body,
		      size_t len)
{
	struct sto_ask *ask = user;
	struct sto_follow *follow = ask->follow;
	int64_t sent_us = ask->sent_us;
	struct wire_items items;

	free(ask);
	if (result != STO_DONE || pl_store_items(body, len, &items)) {
		sto_ask_lost(follow);
		return;
	}
	follow->asks_lost = 0;
	if (sent_us > follow->reported_sent_us) {
		follow->reported =
			(struct pos){ sto_era(follow->sto), items.revision };
		follow->reported_sent_us = sent_us;
	}
	sto_follow_heard(follow,
			 (struct pos){ sto_era(follow->sto), items.revision });
	pl_store_items_free(&items);
	sto_compare(follow);
	if (follow->failures > 0)
		sto_wake(follow);
}

/* Tells that all was told, if the follower is as far as the store was. */
static void sto_compare(struct sto_follow *follow)
{
	if (follow->reported_sent_us && follow->state != STO_LISTING &&
	    pos_compare(follow->at, follow->reported) >= 0)
		follow->ops->fresh(follow->user, follow->reported_sent_us);
}

/*
 * Another one, or an answer, has shown that the store has a position.  Of a
 * new era the store itself is asked: a peer's word proves nothing.
 */
void sto_follow_heard(struct sto_follow *follow, struct pos known)
{
	bool new_era = known.era > follow->known.era &&
		       known.era > sto_era(follow->sto);

	if (pos_compare(known, follow->known) <= 0)
		return;
	follow->known = known;
	if (new_era && sto_era(follow->sto) != POS_ERA_NONE)
		sto_follow_ask(follow);
}

/* Reads all again, soon. */
void sto_follow_list(struct sto_follow *follow)
{
	sto_drop_call(follow);
	follow->after[0] = '\0';
	follow->state = STO_PAUSING;
	follow->list_next = true;
	follow->retry_us =
		clk_boot_us() +
		(int64_t)(mag_random(&follow->sto->seed) % STO_LIST_SPREAD_US);
}

/* The store has come back from an older copy: what was reported may no longer
 * hold. */
static void sto_come_back(struct sto *sto)
{
	struct sto_follow *follow;

	cds_list_for_each_entry (follow, &sto->follows, node) {
		follow->at = (struct pos){ sto_era(sto), 0 };
		follow->reported_sent_us = 0;
		if (follow->ops->returned)
			follow->ops->returned(follow->user);
		sto_follow_list(follow);
	}
}

/* Sets the longest pause between two tries while the store does not answer. */
void sto_follow_retry(struct sto_follow *follow, int64_t retry_max_us)
{
	follow->retry_max_us = retry_max_us;
}

/* Another one was answered after an outage: what failed is tried at once. */
void sto_follow_back(struct sto_follow *follow)
{
	if (follow->failures > 0)
		sto_wake(follow);
}

/* Returns the position up to which all was reported. */
struct pos sto_follow_pos(const struct sto_follow *follow)
{
	return follow->at;
}

/*
 * Tells whether a watch should have been answered long ago.  Connections may
 * fall silent for good while new ones work; nothing that was written since
 * then would be known here until the watch ends by itself.
 */
static bool sto_is_deaf(struct sto_follow *follow, int64_t now)
{
	if (follow->state != STO_WATCHING ||
	    !pos_is_behind(follow->at, follow->known)) {
		follow->behind_us = 0;
		return false;
	}
	if (!follow->behind_us)
		follow->behind_us = now;
	return now - follow->behind_us > STO_PATIENCE_US;
}

/*
 * An ask was not answered.  The watch beside it would be waited for until its
 * end; an outage, in which entries lapse, must be known before it is over.
 */
static void sto_ask_lost(struct sto_follow *follow)
{
	follow->asks_lost++;
	if (follow->asks_lost < STO_ASKS_LOST_MAX ||
	    follow->state != STO_WATCHING || follow->failures > 0)
		return;
	sto_give_up(follow);
}

/*
 * Counts a watch that is not answered as a failure.  Begun anew without that,
 * it could be given up again and again, and nobody would know that the store
 * is out of reach.
 */
static void sto_give_up(struct sto_follow *follow)
{
	sto_drop_call(follow);
	sto_pause(follow, false);
}

/*
 * The store answers, but not this follower, which pauses after a failure or
 * waits on a connection that has fallen silent: it begins anew at once.
 */
static void sto_wake(struct sto_follow *follow)
{
	if (follow->state == STO_LISTING)
		return;
	sto_drop_call(follow);
	if (follow->state == STO_PAUSING && follow->list_next)
		sto_list(follow);
	else
		sto_watch(follow);
}

/* Gives the call of a follower up that is in progress. */
static void sto_drop_call(struct sto_follow *follow)
{
	if (follow->call)
		sto_cancel(follow->call);
	follow->call = NULL;
}

static void sto_tell(struct sto_follow *follow, struct wire_items *items)
{
	int i;

	for (i = 0; i < items->count; i++)
		follow->ops->item(follow->user, &items->items[i]);
}

/* Waits after a failure, longer with each further one. */
static void sto_pause(struct sto_follow *follow, bool list_next)
{
	int64_t wait = STO_RETRY_US;
	int i;

	for (i = 0; i < follow->failures && wait < follow->retry_max_us; i++)
		wait *= 2;
	if (wait > follow->retry_max_us)
		wait = follow->retry_max_us;
	wait = wait / 2 +
	       (int64_t)(mag_random(&follow->sto->seed) % (uint64_t)(wait / 2));
	follow->failures++;
	/* One failure is a cut watch; two in a row are an outage. */
	if (follow->failures == 2 && follow->ops->reachable)
		follow->ops->reachable(follow->user, false);
	follow->state = STO_PAUSING;
	follow->list_next = list_next;
	follow->retry_us = clk_boot_us() + wait;
}

static void sto_answered(struct sto_follow *follow)
{
	if (follow->failures >= 2 && follow->ops->reachable)
		follow->ops->reachable(follow->user, true);
	follow->failures = 0;
}
