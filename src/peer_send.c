#include <string.h>

#include "cnt.h"
#include "peer_table.h"

/*
 * Destinations and times of messages, and their headers.  The budget of bytes
 * per second is met by construction: the periods grow with the number of
 * links, and the rest of the budget bounds the demand entries of a message.
 */

/* Links of one kind; with more, a new revision waits for the heartbeats. */
#define PEER_EARLY_LINKS_MAX 8

static bool peer_may_send_early(const struct peer *peer,
				const struct peer_node *node, bool first);
static bool peer_is_active(const struct peer_node *node);
static void peer_update_liveness(struct peer *peer, int64_t now);
static void peer_compute_digests(struct peer *peer);
static void peer_count_links(struct peer *peer);
static void peer_queue_due(struct peer *peer, int64_t now);
static int64_t peer_send_time(const struct peer_node *node);
static int peer_node_at_rank(const struct peer *peer, int dc, uint32_t rank);
static void peer_select_rail_target(struct peer *peer, int dc, int rail,
				    int64_t now);
static bool peer_bridges_rail(const struct peer *peer, int link, int rail,
			      int64_t now);

/*
 * Updates the table: which instances are up, which of them are bridges, the
 * target of each rail, and which links are due.
 */
void peer_tick(struct peer *peer, int64_t now)
{
	if (now < peer->next_tick_us)
		return;
	peer->next_tick_us = MAG_NEVER;
	peer_update_liveness(peer, now);
	peer_elect(peer);
	peer_select_targets(peer, now);
	peer_compute_digests(peer);
	peer_count_links(peer);
	peer_queue_due(peer, now);
}

/* Returns when peer_tick is due next. */
int64_t peer_next_deadline(const struct peer *peer)
{
	return peer->next_tick_us;
}

/*
 * Returns the next link to send to, false if none is due; peer_fill_header then
 * fills its message.
 */
bool peer_next_due(struct peer *peer, int64_t now, int *link)
{
	struct peer_node *node;

	do {
		if (peer->due_next == peer->due_count) {
			peer->due_next = 0;
			peer->due_count = 0;
			return false;
		}
		*link = peer->due[peer->due_next++];
		node = &peer->nodes[*link];
		node->queued = false;
	} while (!node->used);
	node->early_send_us = MAG_NEVER;
	node->early_not_before_us = now + PEER_EARLY_INTERVAL_US;
	node->next_send_us = now + (node->dc == 0 ? peer->local_period_us
						  : peer->bridge_period_us);
	if (node->next_send_us < peer->next_tick_us)
		peer->next_tick_us = node->next_send_us;
	return true;
}

/* Fills the header of the next message to a link. */
void peer_fill_header(struct peer *peer, int link, int64_t now,
		      struct peer_msg *msg)
{
	struct peer_node *node = &peer->nodes[link];
	bool local = node->dc == 0;

	memset(msg, 0, offsetof(struct peer_msg, records));
	msg->record_count = 0;
	msg->demand_count = 0;
	msg->version = PEER_VERSION;
	msg->cluster = peer->cluster;
	msg->sender = peer->self;
	msg->incarnation = peer->settings.incarnation;
	msg->seq = ++node->seq_sent;
	msg->next_ms = (uint32_t)((local ? peer->local_period_us
					 : peer->bridge_period_us) /
				  MAG_US_PER_MS);
	msg->acked_incarnation =
		peer_is_alive(node, now) ? (uint32_t)node->incarnation : 0;
	msg->revision = peer->revision;
	msg->listed_count = peer->listed_count;
	msg->group_size = peer->local_group_size;
	msg->group_hash = peer->local_hash;
	msg->reach_hash = peer->reach_hash;
	msg->flags = (peer->rails[0] ? PEER_F_RAIL0 : 0) |
		     (peer->rails[1] ? PEER_F_RAIL1 : 0) |
		     (node->message_lost ? PEER_F_GAP : 0) |
		     (peer->stopping ? PEER_F_STOPPING : 0);
	node->message_lost = false;
	if (node->acked_until_us <= now) {
		msg->flags |= PEER_F_INTRO;
		memcpy(msg->name, peer->settings.instance, MAG_NAME_MAX);
		memcpy(msg->data_centre, peer->settings.data_centre,
		       MAG_NAME_MAX);
		memcpy(msg->address, peer->settings.address, MAG_ADDR_MAX);
	}
	cnt_add(CNT_PEER_SENT, 1);
}

/* Schedules a message to a link ahead of its period. */
void peer_send_early(struct peer *peer, int link, int64_t at_us)
{
	struct peer_node *node = &peer->nodes[link];

	if (at_us < node->early_send_us)
		node->early_send_us = at_us;
	if (peer->next_tick_us > peer_send_time(node))
		peer->next_tick_us = peer_send_time(node);
}

/*
 * Sets the revision that is in force on this instance and announces it to
 * peers with a lower one ahead of the next heartbeat.  A revision that some
 * peer already has is announced early only by the first bridge.  With more
 * than PEER_EARLY_LINKS_MAX links it is not announced early at all: each link
 * would carry every change twice, which alone would use up the byte budget of
 * a large fleet.
 */
void peer_set_revision(struct peer *peer, uint64_t revision, int64_t now)
{
	bool first = true;
	size_t i;

	if (revision <= peer->revision)
		return;
	peer->revision = revision;
	for (i = 0; i < peer->node_count; i++) {
		if (peer->nodes[i].up && peer->nodes[i].revision >= revision)
			first = false;
	}
	for (i = 0; i < peer->node_count; i++) {
		const struct peer_node *node = &peer->nodes[i];

		if (node->up && node->revision < revision &&
		    peer_may_send_early(peer, node, first))
			peer_send_early(peer, (int)i, now);
	}
}

/* Returns whether a new revision is sent to a link ahead of its heartbeat. */
static bool peer_may_send_early(const struct peer *peer,
				const struct peer_node *node, bool first)
{
	uint32_t links = node->dc == 0 ? peer->local_links : peer->bridge_links;

	return (first || peer->rails[0]) && links <= PEER_EARLY_LINKS_MAX;
}

/*
 * Announces to every peer that this instance stops, so that none waits for it.
 */
void peer_set_stopping(struct peer *peer, int64_t now)
{
	size_t i;

	peer->stopping = true;
	for (i = 0; i < peer->node_count; i++) {
		if (peer->nodes[i].up)
			peer_send_early(peer, (int)i, now);
	}
}

/* Returns an instance's rendezvous hash score within its data centre. */
uint64_t peer_score(const struct peer *peer, int dc, uint64_t id)
{
	uint64_t x = id ^ peer->dcs[dc].id;

	x ^= x >> 30;
	x *= UINT64_C(0xbf58476d1ce4e5b9);
	x ^= x >> 27;
	x *= UINT64_C(0x94d049bb133111eb);
	x ^= x >> 31;
	return x;
}

/*
 * Elects the bridges of this data centre: the two instances with the highest
 * rendezvous scores among those that are up.  The first also sums up demand.
 */
void peer_elect(struct peer *peer)
{
	uint64_t own = peer_score(peer, 0, peer->self);
	uint64_t best = own;
	uint32_t above = 0;
	uint32_t count = 0;
	size_t i;

	peer->aggregator = PEER_NO_NODE;
	for (i = 0; i < peer->node_count; i++) {
		const struct peer_node *node = &peer->nodes[i];
		uint64_t score;

		if (!peer_is_active(node) || node->dc != 0)
			continue;
		count++;
		score = peer_score(peer, 0, node->id);
		if (score > own)
			above++;
		if (score > best) {
			best = score;
			peer->aggregator = (int)i;
		}
	}
	peer->rails[0] = above == 0;
	peer->rails[1] = count == 0 || above == 1;
}

/*
 * Selects the node to send to in each data centre, for each rail that this
 * instance bridges.
 */
void peer_select_targets(struct peer *peer, int64_t now)
{
	int dc;
	int rail;

	for (dc = 1; dc < peer->dc_count; dc++) {
		for (rail = 0; rail < PEER_RAILS; rail++) {
			if (peer->rails[rail])
				peer_select_rail_target(peer, dc, rail, now);
			else
				peer->dcs[dc].target[rail] = PEER_NO_NODE;
		}
	}
}

/*
 * Makes a node of another data centre the target of the rails that it bridges.
 * If two nodes claim a rail, the one with the higher score remains.
 */
void peer_note_bridge(struct peer *peer, int link, int64_t now)
{
	const struct peer_node *node = &peer->nodes[link];
	int rail;

	for (rail = 0; rail < PEER_RAILS && node->dc != 0; rail++) {
		struct peer_dc *dc = &peer->dcs[node->dc];
		int old = dc->target[rail];

		if (!peer_bridges_rail(peer, link, rail, now))
			continue;
		if (peer_bridges_rail(peer, old, rail, now) &&
		    peer_score(peer, node->dc, peer->nodes[old].id) >
			    peer_score(peer, node->dc, node->id))
			continue;
		dc->target[rail] = link;
	}
}

/* Returns whether a rail that this instance bridges sends to this link. */
bool peer_is_target(const struct peer *peer, int link)
{
	const struct peer_dc *dc = &peer->dcs[peer->nodes[link].dc];

	return (peer->rails[0] && dc->target[0] == link) ||
	       (peer->rails[1] && dc->target[1] == link);
}

/* Returns whether a node is up and does not stop. */
static bool peer_is_active(const struct peer_node *node)
{
	return node->used && node->up && !(node->flags & PEER_F_STOPPING);
}

/*
 * Updates which nodes are up, queues the changes, and frees nodes that have
 * been gone for PEER_FORGET_US.
 */
static void peer_update_liveness(struct peer *peer, int64_t now)
{
	size_t i;

	for (i = 0; i < peer->node_count; i++) {
		struct peer_node *node = &peer->nodes[i];

		if (!node->used)
			continue;
		node->up =
			peer_is_alive(node, now) && node->acked_until_us > now;
		if (node->up && node->alive_until_us < peer->next_tick_us)
			peer->next_tick_us = node->alive_until_us;
		if (node->up && node->acked_until_us < peer->next_tick_us)
			peer->next_tick_us = node->acked_until_us;
		if (node->up != node->reported_up &&
		    peer->change_count < peer->node_cap) {
			node->reported_up = node->up;
			peer->changes[peer->change_count++] =
				(struct peer_change){ (int)i, node->up };
		}
		if (!node->listed && !node->queued && !node->reported_up &&
		    node->incarnation != 0 &&
		    node->alive_until_us + PEER_FORGET_US < now)
			node->used = false;
	}
}

/* Returns the next peer that came up or went down; false if none. */
bool peer_next_change(struct peer *peer, struct peer_change *change)
{
	if (peer->change_next == peer->change_count) {
		peer->change_next = 0;
		peer->change_count = 0;
		return false;
	}
	*change = peer->changes[peer->change_next++];
	return true;
}

/* Computes the digests of what this instance reaches. */
static void peer_compute_digests(struct peer *peer)
{
	uint32_t reach = (uint32_t)peer->dcs[0].id;
	uint64_t hash = peer->self;
	uint32_t group = 1;
	size_t i;
	int dc;

	for (i = 0; i < peer->node_count; i++) {
		if (peer->nodes[i].dc == 0 && peer_is_active(&peer->nodes[i])) {
			group++;
			hash ^= peer->nodes[i].id;
		}
	}
	for (dc = 1; dc < peer->dc_count; dc++) {
		int rail = peer_rail(peer);
		int link = rail < 0 ? PEER_NO_NODE : peer->dcs[dc].target[rail];

		if (link >= 0 && peer_is_active(&peer->nodes[link]))
			reach ^= (uint32_t)peer->dcs[dc].id;
	}
	peer->local_group_size = group;
	peer->local_hash = (uint32_t)hash;
	peer->reach_hash = reach;
}

/* Counts the links of each kind and derives the periods. */
static void peer_count_links(struct peer *peer)
{
	size_t i;

	peer->local_links = 0;
	peer->bridge_links = 0;
	for (i = 0; i < peer->node_count; i++) {
		enum peer_link_kind kind = peer_link_kind(peer, (int)i);

		peer->local_links += kind == PEER_LINK_LOCAL;
		peer->bridge_links += kind == PEER_LINK_BRIDGE;
	}
	peer->local_period_us =
		peer_period_us(peer, peer->local_links, PEER_LOCAL_PARTS);
	peer->bridge_period_us =
		peer_period_us(peer, peer->bridge_links, PEER_BRIDGE_PARTS);
	peer->rail_period_us = peer_period_us(
		peer, (uint32_t)peer->dc_count - 1, PEER_BRIDGE_PARTS);
}

/* Queues the links that are due and sets the time of the next one. */
static void peer_queue_due(struct peer *peer, int64_t now)
{
	size_t i;

	for (i = 0; i < peer->node_count; i++) {
		struct peer_node *node = &peer->nodes[i];
		int64_t at = peer_send_time(node);

		if (node->queued ||
		    peer_link_kind(peer, (int)i) == PEER_LINK_NONE)
			continue;
		if (at <= now) {
			node->queued = true;
			peer->due[peer->due_count++] = (int)i;
		} else if (at < peer->next_tick_us) {
			peer->next_tick_us = at;
		}
	}
}

/* Returns when a message to a link is due next. */
static int64_t peer_send_time(const struct peer_node *node)
{
	int64_t early = node->early_send_us;

	if (early < node->early_not_before_us)
		early = node->early_not_before_us;
	return early < node->next_send_us ? early : node->next_send_us;
}

/*
 * Returns the node of a data centre at a rank in descending order of rendezvous
 * scores.
 */
static int peer_node_at_rank(const struct peer *peer, int dc, uint32_t rank)
{
	uint64_t below = UINT64_MAX;
	int found = PEER_NO_NODE;
	uint32_t i;
	size_t n;

	for (i = 0; i <= rank; i++) {
		uint64_t best = 0;

		found = PEER_NO_NODE;
		for (n = 0; n < peer->node_count; n++) {
			const struct peer_node *node = &peer->nodes[n];
			uint64_t score = peer_score(peer, dc, node->id);

			if (node->used && node->dc == dc && score < below &&
			    score >= best) {
				best = score;
				found = (int)n;
			}
		}
		below = best;
	}
	return found;
}

/*
 * Selects the target of a rail in a data centre.  A target that responds as
 * bridge is retained.  Otherwise the instances of the data centre are tried in
 * order of rank.  Every other try goes to the expected bridge, whose rank is
 * the rail's number; the others go to lower ranks, as the bridge may be an
 * instance that the list lacks or ranks lower.
 */
static void peer_select_rail_target(struct peer *peer, int dc, int rail,
				    int64_t now)
{
	struct peer_dc *remote = &peer->dcs[dc];
	uint32_t rank;

	if (peer_bridges_rail(peer, remote->target[rail], rail, now)) {
		remote->tries[rail] = 0;
		return;
	}
	if (remote->target[rail] >= 0 &&
	    peer->nodes[remote->target[rail]].used &&
	    remote->try_until_us[rail] > now)
		return;
	rank = (uint32_t)rail;
	if (remote->tries[rail] % 2 == 1)
		rank += (remote->tries[rail] + 1) / 2;
	remote->tries[rail]++;
	remote->target[rail] = peer_node_at_rank(peer, dc, rank);
	if (remote->target[rail] < 0) {
		remote->tries[rail] = 0;
		remote->target[rail] = peer_node_at_rank(peer, dc, 0);
	}
	remote->try_until_us[rail] = now + 2 * peer->bridge_period_us;
	if (remote->try_until_us[rail] < peer->next_tick_us)
		peer->next_tick_us = remote->try_until_us[rail];
	if (remote->target[rail] >= 0)
		peer_send_early(peer, remote->target[rail], now);
}

/* Returns whether a node is alive and bridges the rail. */
static bool peer_bridges_rail(const struct peer *peer, int link, int rail,
			      int64_t now)
{
	const struct peer_node *node;

	if (link < 0)
		return false;
	node = &peer->nodes[link];
	return node->used && peer_is_alive(node, now) &&
	       (node->flags & (rail == 0 ? PEER_F_RAIL0 : PEER_F_RAIL1));
}
