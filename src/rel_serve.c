#include <stdlib.h>

#include "clk.h"
#include "pl_header.h"
#include "rel_int.h"

/*
 * Polls that are open at once: those of the routers next in the tree, and of
 * the ones after them while these fail.
 */
#define REL_WAITS_MAX (TREE_FANOUT * (TREE_FANOUT + 2))

/* Room for the fields that a router adds to a request that it forwards. */
#define REL_FORWARD_FIELDS_BYTES 256
/*
 * Time that a connection of a router may be idle; routers reuse one for 4 s
 * (hc.c).  A request on a connection that closes at that moment would be lost.
 */
#define REL_IDLE_MS 15000

/* A poll that is not answered yet. */
struct rel_wait {
	struct cds_list_head node;
	struct rel *rel;
	struct hs_conn *conn;
	struct pos after;
	int64_t received_us;
	int64_t answer_by_us;
};

static void rel_on_request(void *ctx, struct hs_conn *conn);
static void rel_on_disconnect(void *ctx, struct hs_conn *conn, void *user);
static bool rel_is_due(const struct rel *rel, const struct rel_wait *wait,
		       int64_t now);
static bool rel_may_answer(const struct rel *rel, const struct rel_wait *wait);
static void rel_answer(struct rel *rel, struct rel_wait *wait);
static int rel_encode(struct rel *rel, int64_t after);
static void rel_drop_wait(struct rel_wait *wait);

/* Serves the polls of other routers on a socket that listens; closes it. */
int rel_serve_start(struct rel *rel, int fd)
{
	static const struct hs_ops ops = { rel_on_request, rel_on_disconnect };

	CDS_INIT_LIST_HEAD(&rel->waits);
	if (hs_serve(rel->edge->base, fd, &ops, rel, &rel->hs))
		return REL_E_MEMORY;
	return REL_OK;
}

void rel_serve_stop(struct rel *rel)
{
	struct rel_wait *wait;
	struct rel_wait *next;

	cds_list_for_each_entry_safe (wait, next, &rel->waits, node) {
		hs_set_user(wait->conn, NULL);
		rel_drop_wait(wait);
	}
	hs_free(rel->hs);
	rel_items_free(&rel->encoded.items);
}

/* Answers the polls that have waited long enough or for which there is news. */
void rel_serve_tick(struct rel *rel, int64_t now)
{
	struct rel_wait *wait;
	struct rel_wait *next;

	cds_list_for_each_entry_safe (wait, next, &rel->waits, node) {
		if (!rel_is_due(rel, wait, now))
			continue;
		hs_set_user(wait->conn, NULL);
		rel_answer(rel, wait);
		rel_drop_wait(wait);
	}
	hs_tick(rel->hs, now);
}

static void rel_on_request(void *ctx, struct hs_conn *conn)
{
	struct rel *rel = ctx;
	struct rel_wait *wait;
	struct rel_poll poll;

	if (hdr_get(hs_headers(conn), PL_FORWARD_FIELD)) {
		rel->owner.forwarded->request(rel->owner.user, conn);
		return;
	}
	if (rel_poll_parse(hs_target(conn), &poll)) {
		hs_reply(conn, 404, NULL, NULL, 0);
		return;
	}
	/* It has the address of a router that is gone. */
	if (poll.has_deployment &&
	    poll.deployment != htab_hash(rel->edge->set.deployment)) {
		hs_reply(conn, 421, NULL, NULL, 0);
		return;
	}
	wait = rel->wait_count < REL_WAITS_MAX ? calloc(1, sizeof(*wait))
					       : NULL;
	if (!wait) {
		hs_reply(conn, 503, NULL, NULL, 0);
		return;
	}
	wait->rel = rel;
	wait->conn = conn;
	wait->after = poll.after;
	wait->received_us = clk_boot_us();
	wait->answer_by_us = wait->received_us + poll.wait_us;
	cds_list_add_tail(&wait->node, &rel->waits);
	rel->wait_count++;
	hs_set_user(conn, wait);
}

static void rel_on_disconnect(void *ctx, struct hs_conn *conn, void *user)
{
	struct rel *rel = ctx;
	struct rel_wait *wait;

	cds_list_for_each_entry (wait, &rel->waits, node) {
		if (wait->conn == conn) {
			rel_drop_wait(wait);
			return;
		}
	}
	rel->owner.forwarded->disconnected(rel->owner.user, conn, user);
}

/*
 * Tells whether all forwarded requests have been answered to the last byte.
 * Polls do not count.
 */
bool rel_is_idle(const struct rel *rel)
{
	return hs_open_count(rel->hs) <= rel->wait_count;
}

/*
 * Sets the limits of forwarded requests, which have passed those of the router
 * that forwards them and carry some fields more.  The idle time of callers does
 * not apply to routers.
 */
void rel_set_limits(struct rel *rel, const struct hs_limits *limits)
{
	struct hs_limits more = *limits;

	more.header_bytes += REL_FORWARD_FIELDS_BYTES;
	more.idle_ms = REL_IDLE_MS;
	hs_set_limits(rel->hs, &more);
}

/*
 * Returns whether a poll is to be answered now: its time is up, there are
 * changes, or the store has confirmed since its receipt that there are none.
 */
static bool rel_is_due(const struct rel *rel, const struct rel_wait *wait,
		       int64_t now)
{
	struct pos pos = rel_mirror_pos(rel);

	if (now >= wait->answer_by_us || rel->edge->stopping)
		return true;
	if (!rel_may_answer(rel, wait))
		return false;
	return pos_compare(pos, wait->after) > 0 ||
	       rel->fresh_us > wait->received_us;
}

/*
 * Returns whether all items are known here up to the position of the router
 * that polls; after a change of source it may be ahead.
 */
static bool rel_may_answer(const struct rel *rel, const struct rel_wait *wait)
{
	struct pos pos = rel_mirror_pos(rel);

	return mir_may_serve(&rel->edge->mir) && pos.revision > 0 &&
	       pos_compare(pos, wait->after) >= 0;
}

/* A router that is stopping tells its followers to find another source. */
static void rel_answer(struct rel *rel, struct rel_wait *wait)
{
	struct edge *edge = rel->edge;
	struct rel_answer answer = { 0 };
	char *body;
	size_t len;

	if (edge->stopping || !rel_may_answer(rel, wait)) {
		hs_reply(wait->conn, edge->stopping ? 410 : 503, NULL, NULL, 0);
		return;
	}
	answer.pos = rel_mirror_pos(rel);
	answer.complete = answer.pos.era != wait->after.era ||
			  !mir_has_changes(&edge->mir, wait->after.revision);
	answer.marked = rel->marked;
	answer.has_fresh = rel->fresh_us != 0;
	answer.fresh_us = rel->fresh_us - wait->received_us;
	answer.reachable = edge_has_source(edge);
	answer.has_regained = edge->store_regained_us != 0;
	answer.regained_us = edge->store_regained_us - wait->received_us;
	if (rel_encode(rel, answer.complete ? 0 : wait->after.revision) ||
	    rel_answer_encode(&answer, &rel->encoded.items, &body, &len)) {
		hs_reply(wait->conn, 503, NULL, NULL, 0);
		return;
	}
	hs_reply(wait->conn, 200, NULL, body, len);
	free(body);
	rel->answers++;
	rel->bytes_sent += len;
}

/*
 * Encodes the changes after a revision, or all items if it is 0, unless the
 * last answer had the same.
 */
static int rel_encode(struct rel *rel, int64_t after)
{
	struct rel_encoded *encoded = &rel->encoded;
	struct pos pos = rel_mirror_pos(rel);

	if (encoded->items.bytes && encoded->after == after &&
	    pos_compare(encoded->pos, pos) == 0)
		return REL_MSG_OK;
	rel_items_free(&encoded->items);
	encoded->after = after;
	encoded->pos = pos;
	return rel_items_encode(&rel->edge->mir, after, &encoded->items);
}

static void rel_drop_wait(struct rel_wait *wait)
{
	cds_list_del(&wait->node);
	wait->rel->wait_count--;
	free(wait);
}

/* Returns the number of connections of peers. */
int rel_connections(const struct rel *rel)
{
	return hs_connections(rel->hs);
}

/* Sets how many connections of peers may be open. */
void rel_set_connections_max(struct rel *rel, int connections_max)
{
	hs_set_connections_max(rel->hs, connections_max);
}
