#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "jlog.h"
#include "pl_store.h"
#include "sto_int.h"

/*
 * Delay after a failure.  The first delay is short, because a disconnected
 * watch does not imply an outage, and the longest is bounded, so that the end
 * of an outage is noticed soon.  Each delay is drawn between half of its value
 * and the whole, so that instances do not reconnect at the same moment.
 */
#define STO_RETRY_US (80 * MAG_US_PER_MS)
/*
 * Positions beyond a refuted one are ignored for this long, doubled each time,
 * so that a peer that reports them costs few calls.
 */
#define STO_REFUTED_US	      (2 * MAG_US_PER_S)
#define STO_REFUTED_DOUBLINGS 4
/* Duration of the first watch after a failure. */
#define STO_PROBE_WAIT_MS 20
/* Instances that relist because of the same event are spread over this time. */
#define STO_LIST_SPREAD_US (150 * MAG_US_PER_MS)
/* A watch is also abandoned after this many consecutive unanswered queries. */
#define STO_QUERIES_LOST_MAX 2

/*
 * A query for the store's revision.  Several may be in progress at once,
 * because an answer can be lost.
 */
struct sto_query {
	struct sto_follow *follow;
	int64_t sent_us;
};

static void sto_on_watch(void *user, enum sto_result result, const char *body,
			 size_t len);
static void sto_on_query(void *user, enum sto_result result, const char *body,
			 size_t len);
static bool sto_is_pos_refuted(const struct sto_follow *follow,
			       int64_t revision, int64_t sent_us);
static bool sto_is_watch_stuck(struct sto_follow *follow, int64_t now);
static void sto_on_query_lost(struct sto_follow *follow);
static void sto_fail_watch(struct sto_follow *follow);
static void sto_start_over(struct sto_follow *follow);
static void sto_cancel_current(struct sto_follow *follow);
static void sto_on_answered(struct sto_follow *follow);
static void sto_set_reachable(struct sto_follow *follow, bool reachable);
static void sto_on_restored(struct sto *sto);

/* Starts following all keys under a prefix. */
int sto_follow(struct sto *sto, const struct sto_follow_settings *settings,
	       struct sto_follow **out)
{
	struct sto_follow *follow = calloc(1, sizeof(*follow));

	if (!follow)
		return STO_E_MEMORY;
	follow->sto = sto;
	strncpy(follow->prefix, settings->prefix, sizeof(follow->prefix) - 1);
	follow->wait_ms = settings->wait_ms;
	follow->coalesce_us = settings->coalesce_us;
	follow->retry_max_us = settings->retry_max_us;
	follow->ops = settings->ops;
	follow->user = settings->user;
	follow->pos.era = POS_ERA_NONE;
	follow->store_pos.era = POS_ERA_NONE;
	follow->known_pos.era = POS_ERA_NONE;
	cds_list_add_tail(&follow->node, &sto->followers);
	sto->on_restored = sto_on_restored;
	if (settings->paused)
		follow->state = STO_PAUSED;
	else
		sto_start_list(follow);
	if (out)
		*out = follow;
	return STO_OK;
}

/* Stops following the store; calls in progress are cancelled. */
void sto_follow_pause(struct sto_follow *follow)
{
	sto_cancel_current(follow);
	follow->state = STO_PAUSED;
	sto_reset_list(follow);
	follow->failures = 0;
	follow->queries_lost = 0;
}

/* Follows the store from the position that has been reached. */
void sto_follow_resume(struct sto_follow *follow)
{
	if (follow->state != STO_PAUSED)
		return;
	if (follow->pos.revision > 0)
		sto_start_watch(follow);
	else
		sto_start_list(follow);
}

/* Tells whether the last list was left unfinished, so that items are missing.
 */
bool sto_follow_is_unfinished(const struct sto_follow *follow)
{
	return follow->list_again_us != 0;
}

bool sto_follow_is_paused(const struct sto_follow *follow)
{
	return follow->state == STO_PAUSED;
}

/* Sets the position that a paused follower's owner has reached. */
void sto_follow_set_pos(struct sto_follow *follow, struct pos pos)
{
	follow->pos = pos;
	follow->pos_us = clk_boot_us();
}

/* Continues followers whose delay has expired and restarts stuck watches. */
void sto_tick(struct sto *sto, int64_t now)
{
	struct sto_follow *follow;

	cds_list_for_each_entry (follow, &sto->followers, node) {
		if (sto_is_watch_stuck(follow, now))
			sto_fail_watch(follow);
		if (follow->list_again_us && now >= follow->list_again_us &&
		    follow->state == STO_WATCHING)
			sto_follow_relist(follow);
		if (follow->state != STO_DELAYING || now < follow->retry_us)
			continue;
		if (follow->list_after_delay)
			sto_start_list(follow);
		else
			sto_start_watch(follow);
	}
}

void sto_start_watch(struct sto_follow *follow)
{
	int64_t wait_ms = follow->wait_ms;
	char path[PL_PATH_MAX];

	/*
	 * After an outage, a long watch without changes would show only when it
	 * ends that the store is back, and account keys would be refused until
	 * then.  Another router may have been followed in between.
	 */
	if (follow->unproven)
		wait_ms = STO_PROBE_WAIT_MS;
	follow->state = STO_WATCHING;
	follow->lagging_since_us = 0;
	follow->sent_us = clk_boot_us();
	if (pl_store_watch_path(path, follow->prefix, follow->pos.revision,
				wait_ms)) {
		sto_on_watch(follow, STO_REFUSED, NULL, 0);
		return;
	}
	follow->call =
		sto_send_call(follow->sto, "GET", path, NULL,
			      wait_ms * MAG_US_PER_MS, sto_on_watch, follow);
}

static void sto_on_watch(void *user, enum sto_result result, const char *body,
			 size_t len)
{
	struct sto_follow *follow = user;
	struct wire_items items;

	follow->call = NULL;
	if (result == STO_CONFLICT) {
		/*
		 * The store no longer has the changes since then: list all keys
		 * again.
		 */
		sto_on_success(follow);
		sto_start_list(follow);
		return;
	}
	if (result != STO_DONE || pl_store_events(body, len, &items)) {
		sto_back_off(follow, false);
		return;
	}
	sto_on_success(follow);
	if (sto_is_pos_refuted(follow, items.revision, follow->sent_us)) {
		pl_store_items_free(&items);
		sto_follow_relist(follow);
		return;
	}
	sto_report_items(follow, &items);
	follow->pos.era = sto_era(follow->sto);
	if (items.revision > follow->pos.revision)
		follow->pos.revision = items.revision;
	follow->pos_us = clk_boot_us();
	sto_refute_pos(follow, follow->pos, follow->sent_us);
	pl_store_items_free(&items);
	follow->ops->confirmed(follow->user, follow->sent_us);
	sto_check_confirmed(follow);
	if (clk_boot_us() - follow->sent_us < follow->wait_ms * MAG_US_PER_MS) {
		/*
		 * Changes come in bursts; a delay lets one watch return
		 * several.
		 */
		follow->state = STO_DELAYING;
		follow->list_after_delay = false;
		follow->retry_us = clk_boot_us() + follow->coalesce_us;
		return;
	}
	sto_start_watch(follow);
}

/*
 * Uses the smallest request whose answer contains the store's revision: a list
 * of the keys that follow the last key under a prefix, where the prefix is
 * itself a key.
 */
void sto_follow_query(struct sto_follow *follow)
{
	struct sto_query *query = calloc(1, sizeof(*query));
	char path[PL_PATH_MAX];

	if (!query)
		return;
	query->follow = follow;
	query->sent_us = clk_boot_us();
	if (pl_store_range_path(path, PL_CONFIG_KEY, PL_CONFIG_KEY)) {
		sto_on_query(query, STO_REFUSED, NULL, 0);
		return;
	}
	sto_send_call(follow->sto, "GET", path, NULL, 0, sto_on_query, query);
}

static void sto_on_query(void *user, enum sto_result result, const char *body,
			 size_t len)
{
	struct sto_query *query = user;
	struct sto_follow *follow = query->follow;
	int64_t sent_us = query->sent_us;
	struct wire_items items;
	bool refuted;

	free(query);
	if (result != STO_DONE || pl_store_items(body, len, &items)) {
		sto_on_query_lost(follow);
		return;
	}
	follow->queries_lost = 0;
	if (follow->state == STO_PAUSED)
		sto_set_reachable(follow, true);
	else
		sto_on_answered(follow);
	if (sent_us > follow->store_pos_sent_us) {
		follow->store_pos =
			(struct pos){ sto_era(follow->sto), items.revision };
		follow->store_pos_sent_us = sent_us;
	}
	sto_refute_pos(follow,
		       (struct pos){ sto_era(follow->sto), items.revision },
		       sent_us);
	sto_follow_learn_pos(
		follow, (struct pos){ sto_era(follow->sto), items.revision },
		"");
	refuted = sto_is_pos_refuted(follow, items.revision, sent_us);
	pl_store_items_free(&items);
	if (refuted)
		sto_follow_relist(follow);
	if (refuted || follow->state == STO_PAUSED)
		return;
	sto_check_confirmed(follow);
	if (follow->failures > 0)
		sto_start_over(follow);
}

/*
 * Confirms what was reported if the follower has reached the store's queried
 * position.
 */
void sto_check_confirmed(struct sto_follow *follow)
{
	if (follow->store_pos_sent_us && follow->state != STO_LISTING &&
	    follow->state != STO_PAUSED &&
	    pos_compare(follow->pos, follow->store_pos) >= 0)
		follow->ops->confirmed(follow->user, follow->store_pos_sent_us);
}

/*
 * Records a store position learned from a peer, or from an answer if peer is
 * "".  If it has a newer era, queries the store itself: a position learned from
 * a peer proves nothing.
 */
void sto_follow_learn_pos(struct sto_follow *follow, struct pos known,
			  const char *peer)
{
	bool new_era = known.era > follow->known_pos.era &&
		       known.era > sto_era(follow->sto);

	if (pos_compare(known, follow->known_pos) <= 0 ||
	    (peer[0] && clk_boot_us() < follow->refuted_until_us &&
	     pos_compare(known, follow->refuted_pos) >= 0))
		return;
	follow->known_pos = known;
	follow->known_us = clk_boot_us();
	mag_copy_name(follow->known_from, sizeof(follow->known_from), peer);
	if (new_era && sto_era(follow->sto) != POS_ERA_NONE &&
	    follow->state != STO_PAUSED)
		sto_follow_query(follow);
}

/*
 * The store was at a position when it answered a call that was sent at sent_us.
 * A later one that was learned before that, from a peer or from the store,
 * cannot be right.
 */
void sto_refute_pos(struct sto_follow *follow, struct pos answered,
		    int64_t sent_us)
{
	int64_t now = clk_boot_us();

	if (follow->refutals > 0 &&
	    (now >= follow->refuted_until_us + STO_REFUTED_US ||
	     pos_compare(answered, follow->refuted_pos) >= 0)) {
		follow->refuted_until_us = 0;
		follow->refutals = 0;
	}
	if (follow->known_us >= sent_us ||
	    pos_compare(follow->known_pos, answered) <= 0)
		return;
	jlog(LOG_HINT_REFUTED,
	     "\"peer\":\"%s\",\"field\":\"position\",\"value\":%lld,"
	     "\"own\":%lld,\"era\":%lld,\"own_era\":%lld,"
	     "\"why\":\"read later\",\"after_ms\":%d",
	     follow->known_from, (long long)follow->known_pos.revision,
	     (long long)answered.revision, (long long)follow->known_pos.era,
	     (long long)answered.era,
	     (int)((now - follow->known_us) / MAG_US_PER_MS));
	follow->refuted_pos = follow->known_pos;
	follow->refuted_until_us =
		now + mag_backoff(STO_REFUTED_US, follow->refutals,
				  STO_REFUTED_DOUBLINGS);
	follow->refutals++;
	follow->known_pos = answered;
	follow->known_from[0] = '\0';
}

/*
 * Tells whether the position that has been reached cannot be right, as the
 * store was before it when it answered a call that was sent later: it came from
 * another router, or the store went back without naming a new era.
 */
static bool sto_is_pos_refuted(const struct sto_follow *follow,
			       int64_t revision, int64_t sent_us)
{
	if (follow->state == STO_LISTING || follow->pos_us >= sent_us ||
	    follow->pos.era != sto_era(follow->sto) ||
	    revision >= follow->pos.revision)
		return false;
	jlog(LOG_HINT_REFUTED,
	     "\"peer\":\"\",\"field\":\"own position\",\"value\":%lld,"
	     "\"own\":%lld,\"own_era\":%lld,\"why\":\"read later\"",
	     (long long)follow->pos.revision, (long long)revision,
	     (long long)follow->pos.era);
	return true;
}

/* Lists all keys again after a short random delay. */
void sto_follow_relist(struct sto_follow *follow)
{
	sto_reset_list(follow);
	if (follow->state == STO_PAUSED) {
		/* The owner gets a complete list from its source. */
		follow->pos.revision = 0;
		return;
	}
	sto_cancel_current(follow);
	follow->state = STO_DELAYING;
	follow->list_after_delay = true;
	follow->retry_us =
		clk_boot_us() +
		(int64_t)(mag_random(&follow->sto->seed) % STO_LIST_SPREAD_US);
}

/*
 * The store was restored from an older backup: what was reported earlier may no
 * longer hold.
 */
static void sto_on_restored(struct sto *sto)
{
	struct sto_follow *follow;

	cds_list_for_each_entry (follow, &sto->followers, node) {
		follow->pos = (struct pos){ sto_era(sto), 0 };
		follow->store_pos_sent_us = 0;
		if (follow->ops->restored)
			follow->ops->restored(follow->user);
		sto_follow_relist(follow);
	}
}

/* Returns when the newest answered query was sent; 0: none since a restore. */
int64_t sto_follow_query_answered_us(const struct sto_follow *follow)
{
	return follow->store_pos_sent_us;
}

/*
 * Tells whether a follower may miss changes: its last call failed, or its watch
 * has not been answered since a time although others know of changes.
 */
bool sto_follow_is_doubtful(const struct sto_follow *follow, int64_t since_us)
{
	return follow->failures > 0 || (follow->lagging_since_us &&
					follow->lagging_since_us < since_us);
}

/* Sets the longest delay between attempts while the store does not answer. */
void sto_follow_set_retry_max(struct sto_follow *follow, int64_t retry_max_us)
{
	follow->retry_max_us = retry_max_us;
}

/* A peer got an answer after an outage: retries a failed call at once. */
void sto_follow_retry_now(struct sto_follow *follow)
{
	if (follow->failures > 0)
		sto_start_over(follow);
}

/* Returns the position up to which everything was reported. */
struct pos sto_follow_pos(const struct sto_follow *follow)
{
	return follow->pos;
}

/*
 * Returns whether a watch should have been answered long ago.  A connection may
 * stop delivering data permanently while new connections work; writes made
 * since then would remain unknown here until the watch times out.
 */
static bool sto_is_watch_stuck(struct sto_follow *follow, int64_t now)
{
	if (follow->state != STO_WATCHING ||
	    !pos_is_behind(follow->pos, follow->known_pos)) {
		follow->lagging_since_us = 0;
		return false;
	}
	if (!follow->lagging_since_us)
		follow->lagging_since_us = now;
	/* The answer is on its way. */
	if (follow->call && follow->call->xfer.begun_us)
		return false;
	return now - follow->lagging_since_us > STO_ANSWER_TIMEOUT_US;
}

/*
 * A query was not answered.  Without this, the follower would wait until its
 * watch times out; but an outage, during which entries expire, must be detected
 * before it is over.  While another router is followed, queries are all that
 * shows whether the store answers.
 */
static void sto_on_query_lost(struct sto_follow *follow)
{
	follow->queries_lost++;
	if (follow->queries_lost < STO_QUERIES_LOST_MAX)
		return;
	if (follow->state == STO_PAUSED) {
		follow->unproven = true;
		sto_set_reachable(follow, false);
	} else if (follow->state == STO_WATCHING && follow->failures == 0) {
		sto_fail_watch(follow);
	}
}

/*
 * Counts an unanswered watch as a failure.  If it were restarted without that,
 * it could be abandoned again and again without the store ever being reported
 * as unreachable.
 */
static void sto_fail_watch(struct sto_follow *follow)
{
	sto_cancel_current(follow);
	sto_back_off(follow, false);
}

/*
 * The store answers queries, but this follower is in its delay after a failure
 * or waits on a connection that no longer delivers data: it starts over at
 * once.
 */
static void sto_start_over(struct sto_follow *follow)
{
	if (follow->state == STO_LISTING)
		return;
	sto_cancel_current(follow);
	if (follow->state == STO_DELAYING && follow->list_after_delay)
		sto_start_list(follow);
	else
		sto_start_watch(follow);
}

/* Cancels the follower's call in progress, if any. */
static void sto_cancel_current(struct sto_follow *follow)
{
	if (follow->call)
		sto_cancel_call(follow->call);
	follow->call = NULL;
}

void sto_report_items(struct sto_follow *follow, struct wire_items *items)
{
	int i;

	for (i = 0; i < items->count; i++)
		follow->ops->item(follow->user, &items->items[i]);
}

/* Waits after a failure; the delay doubles with each consecutive failure. */
void sto_back_off(struct sto_follow *follow, bool list_after_delay)
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
	follow->unproven = true;
	/*
	 * A single failure is a disconnected watch; two in a row are an outage.
	 */
	if (follow->failures >= 2)
		sto_set_reachable(follow, false);
	follow->state = STO_DELAYING;
	follow->list_after_delay = list_after_delay;
	follow->retry_us = clk_boot_us() + wait;
}

/* Notes that a call succeeded whose items are about to be reported. */
void sto_on_success(struct sto_follow *follow)
{
	sto_on_answered(follow);
	follow->failures = 0;
	follow->unproven = false;
}

/* Reports that the store has answered, before what it has answered. */
static void sto_on_answered(struct sto_follow *follow)
{
	if (follow->ops->answered)
		follow->ops->answered(follow->user, clk_boot_us());
	sto_set_reachable(follow, true);
}

/* Reports whether the store answers this router's calls, if that has changed.
 */
static void sto_set_reachable(struct sto_follow *follow, bool reachable)
{
	if (follow->unreachable != reachable)
		return;
	follow->unreachable = !reachable;
	if (follow->ops->reachable)
		follow->ops->reachable(follow->user, reachable);
}
