#include <event2/event.h>

#include "clk.h"
#include "jlog.h"
#include "pl_store.h"
#include "rel_int.h"

/* Items applied at a time; between them the event loop serves others. */
#define REL_SLICE_ITEMS 64
/* Answers of at least this size are logged. */
#define REL_LOG_BYTES 4096

static void rel_mirror(struct rel *rel, const struct rel_answer *answer,
		       const struct wire_items *items);
static void rel_apply_slice(struct rel *rel);
static void rel_on_mismatch(struct rel *rel);
static void rel_log_taken(const struct rel *rel, int64_t now);

/*
 * Takes over the changes of an answer, and follows its sender if it may.  They
 * are served to other routers first, so that the time that it takes to apply
 * many of them does not add up along the tree.  Frees the items.
 */
void rel_apply(struct rel *rel, const struct rel_answer *answer,
	       struct wire_items *items)
{
	struct sto_follow *follow = rel->edge->follow;
	int64_t now = clk_boot_us();
	int64_t fresh_us = rel->sent_us + answer->fresh_us;
	struct tree_answer shown = {
		.marked = answer->marked,
		.is_source = rel_is_source(rel),
		.own_us = rel->fresh_us,
	};
	bool good;

	if (!answer->has_fresh || fresh_us > now)
		fresh_us = 0;
	shown.fresh_us = fresh_us;
	/* Changes that the store has reported meanwhile are newer. */
	if (!sto_follow_is_paused(follow) &&
	    pos_compare(answer->pos, sto_follow_pos(follow)) < 0) {
		tree_on_empty(&rel->tree, rel->call_source, now);
		pl_store_items_free(items);
		return;
	}
	good = tree_on_answer(&rel->tree, rel->call_source, &shown, now);
	if (good || rel->source == TREE_WAIT)
		rel_follow_peer(rel, answer->marked);
	if (!sto_follow_is_paused(follow)) {
		pl_store_items_free(items);
		return;
	}
	sto_learn_era(rel->edge->sto, answer->pos.era);
	if (fresh_us > rel->fresh_us)
		rel->owner.ops->answered(rel->owner.user, fresh_us);
	rel_mirror(rel, answer, items);
	rel_on_fresh(rel, fresh_us);
	rel->pending.active = true;
	rel->pending.pos = answer->pos;
	rel->pending.complete = answer->complete;
	rel->pending.bytes = evbuffer_get_length(rel->body);
	rel->pending.fresh_us = fresh_us;
	rel->pending.items = *items;
	rel->pending.next = 0;
	rel_serve_tick(rel, now);
	if (answer->complete)
		rel->owner.ops->list_begin(rel->owner.user);
	rel_apply_slice(rel);
}

/* Drops changes that are not applied yet. */
void rel_drop_pending(struct rel *rel)
{
	if (!rel->pending.active)
		return;
	rel->pending.active = false;
	pl_store_items_free(&rel->pending.items);
}

/* Returns whether an answer is being applied; the mirror has all of it. */
bool rel_is_applying(const struct rel *rel)
{
	return rel->pending.active;
}

/* Returns the position up to which the mirror has all changes. */
struct pos rel_mirror_pos(const struct rel *rel)
{
	return rel->pending.active ? rel->pending.pos
				   : sto_follow_pos(rel->edge->follow);
}

void rel_on_slice(evutil_socket_t fd, short what, void *arg)
{
	struct rel *rel = arg;

	(void)fd;
	(void)what;
	if (rel->pending.active)
		rel_apply_slice(rel);
}

/* Applies the next items of an answer, and ends it after the last one. */
static void rel_apply_slice(struct rel *rel)
{
	const struct sto_follow_ops *ops = rel->owner.ops;
	struct rel_pending *pending = &rel->pending;
	struct timeval at_once = { 0, 0 };
	int end = pending->next + REL_SLICE_ITEMS;

	if (end > pending->items.count)
		end = pending->items.count;
	for (; pending->next < end; pending->next++)
		ops->item(rel->owner.user,
			  &pending->items.items[pending->next]);
	if (pending->next < pending->items.count) {
		evtimer_add(pending->event, &at_once);
		return;
	}
	sto_follow_set_pos(rel->edge->follow, pending->pos);
	if (!rel->owner.applied(rel->owner.user)) {
		rel_on_mismatch(rel);
		return;
	}
	if (pending->complete)
		ops->list_end(rel->owner.user);
	if (pending->fresh_us)
		ops->confirmed(rel->owner.user, pending->fresh_us);
	if (pending->bytes >= REL_LOG_BYTES)
		rel_log_taken(rel, clk_boot_us());
	rel_drop_pending(rel);
}

/*
 * The changes do not lead to what the sender has: reads a complete list, from
 * another router if this was one.
 */
static void rel_on_mismatch(struct rel *rel)
{
	struct rel_pending *pending = &rel->pending;
	int64_t now = clk_boot_us();

	rel->bad_answers++;
	jlog(LOG_REL_BAD,
	     "\"peer\":\"%s\",\"why\":\"configuration incomplete\"",
	     rel->source_name);
	sto_follow_relist(rel->edge->follow);
	/* A part may be older in the list than its deletion is here. */
	mir_clear(&rel->edge->mir);
	if (pending->complete) {
		tree_on_failure(&rel->tree, rel->call_source, now);
		rel->owner.ops->list_end(rel->owner.user);
	}
	rel_drop_pending(rel);
}

/* Logs how long a large answer took to arrive and to be applied. */
static void rel_log_taken(const struct rel *rel, int64_t now)
{
	const struct rel_pending *pending = &rel->pending;

	jlog(LOG_REL_TAKEN,
	     "\"peer\":\"%s\",\"complete\":%s,\"items\":%d,\"bytes\":%zu,"
	     "\"first_ms\":%d,\"arrived_ms\":%d,\"applied_ms\":%d,"
	     "\"revision\":%lld",
	     rel->source_name, pending->complete ? "true" : "false",
	     pending->items.count, pending->bytes,
	     (int)((rel->xfer.begun_us - rel->sent_us) / MAG_US_PER_MS),
	     (int)((rel->arrived_us - rel->sent_us) / MAG_US_PER_MS),
	     (int)((now - rel->arrived_us) / MAG_US_PER_MS),
	     (long long)pending->pos.revision);
}

/* Puts the changes of an answer into the mirror. */
static void rel_mirror(struct rel *rel, const struct rel_answer *answer,
		       const struct wire_items *items)
{
	struct mir *mir = &rel->edge->mir;
	int lost = 0;
	int i;

	if (answer->complete)
		mir_list_begin(mir);
	for (i = 0; i < items->count; i++)
		lost |= mir_put(mir, &items->items[i]);
	if (answer->complete)
		mir_list_end(mir, answer->pos.revision);
	if (lost)
		jlog(LOG_REL_BAD, "\"peer\":\"\",\"why\":\"out of memory\"");
}
