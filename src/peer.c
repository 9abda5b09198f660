#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "cnt.h"
#include "peer_table.h"

#define PEER_SEQ_WINDOW 1024 /* a lower seq within this is a late message */

static uint32_t peer_held(struct peer *peer, int64_t now);
static int peer_grow(struct peer *peer);
static int peer_alloc_node(struct peer *peer);
static int peer_insert(struct peer *peer, uint64_t id, const char *name,
		       const char *dc, const char *address, int64_t now);
static int peer_validate(const struct peer *peer, const struct peer_msg *msg);
static void peer_drop_seed(struct peer *peer, const struct peer_msg *msg);
static int peer_find_sender(struct peer *peer, const struct peer_msg *msg,
			    int64_t now);
static int peer_check_seq(struct peer_node *node, const struct peer_msg *msg);
static void peer_apply_header(struct peer *peer, int link,
			      const struct peer_msg *msg, int64_t now);
static int peer_count_drop(int err);

/*
 * Makes the membership of one instance.  Returns NULL when memory is short.
 */
struct peer *peer_new(const struct peer_settings *settings, int64_t now)
{
	struct peer *peer = calloc(1, sizeof(*peer));

	if (!peer)
		return NULL;
	peer->settings = *settings;
	peer->self = peer_hash(settings->instance);
	peer->cluster = (uint32_t)peer_hash(settings->cluster);
	peer->aggregator = PEER_NO_NODE;
	peer->local_group = 1;
	peer->local_period_us = PEER_PERIOD_MIN_US;
	peer->bridge_period_us = PEER_PERIOD_MIN_US;
	peer->rail_period_us = PEER_PERIOD_MIN_US;
	peer->next_tick_us = now;
	if (peer_find_dc(peer, settings->data_centre) < 0 || peer_grow(peer)) {
		peer_free(peer);
		return NULL;
	}
	peer_elect(peer);
	return peer;
}

/* Frees a membership; NULL is allowed. */
void peer_free(struct peer *peer)
{
	if (!peer)
		return;
	free(peer->nodes);
	free(peer->due);
	free(peer->changes);
	free(peer);
}

/* Returns a 64-bit hash that is the same on every instance. */
uint64_t peer_hash(const char *text)
{
	static const uint8_t key[crypto_shorthash_KEYBYTES] = "magnolia";
	uint64_t hash;

	crypto_shorthash((uint8_t *)&hash, (const uint8_t *)text, strlen(text),
			 key);
	return hash ? hash : 1;
}

/*
 * Takes the platform's list as a whole.  It lags, so an instance that is
 * heard stays up though the list lacks it, and one that the list holds is
 * only tried.  Returns PEER_E_MEMORY or PEER_E_FULL if some had no room.
 */
int peer_apply_list(struct peer *peer, const struct peer_list_entry *listed,
		    size_t count, int64_t now)
{
	size_t i;
	int err = PEER_OK;

	for (i = 0; i < peer->node_count; i++)
		peer->nodes[i].listed = false;
	for (i = 0; i < count; i++) {
		int link = peer_add(peer, &listed[i], now);

		if (link >= 0)
			peer->nodes[link].listed = true;
		else if (link != PEER_E_SELF)
			err = link;
	}
	peer->listed_count = (uint32_t)count + peer_held(peer, now);
	peer->next_tick_us = now;
	return err;
}

/*
 * Counts the instances of data centres that the list lost as a whole.  Such a
 * data centre is rather cut off from the platform than dead, and goes on with
 * its part of each limit; were its part divided among the others at once, the
 * account would get more than its limit.  One instance that goes alone is
 * taken for dead, as it most often is.
 */
static uint32_t peer_held(struct peer *peer, int64_t now)
{
	uint32_t count = 0;
	size_t i;
	int dc;

	for (dc = 1; dc < peer->dc_count; dc++)
		peer->dcs[dc].listed = 0;
	for (i = 0; i < peer->node_count; i++)
		peer->dcs[peer->nodes[i].dc].listed +=
			peer->nodes[i].used && peer->nodes[i].listed;
	for (dc = 1; dc < peer->dc_count; dc++) {
		struct peer_dc *at = &peer->dcs[dc];

		if (at->listed > 0) {
			at->retained = at->listed;
			at->retained_until_us = now + PEER_RETAIN_US;
		} else if (at->retained >= PEER_RETAIN_MIN &&
			   at->retained_until_us > now) {
			count += at->retained;
		}
	}
	return count;
}

/*
 * Adds one instance, or takes its new address.  Returns its link, or a
 * negative enum peer_err.
 */
int peer_add(struct peer *peer, const struct peer_list_entry *listed,
	     int64_t now)
{
	uint64_t id = peer_hash(listed->name);
	int link = peer_find(peer, id);

	if (id == peer->self)
		return PEER_E_SELF;
	if (link < 0)
		return peer_insert(peer, id, listed->name, listed->data_centre,
				   listed->address, now);
	/*
	 * A replaced instance may keep its name and change its address; while
	 * it is heard its own introduction is newer than the list.
	 */
	if (!peer_is_heard_from(&peer->nodes[link], now))
		mag_copy_name(peer->nodes[link].address, MAG_ADDR_MAX,
			      listed->address);
	return link;
}

/*
 * Takes a message.  Sets link to its sender's.  Returns 0, or the negative
 * enum peer_err under which it was counted and dropped.
 */
int peer_receive(struct peer *peer, const struct peer_msg *msg, int64_t now,
		 int *link)
{
	int err = peer_validate(peer, msg);

	if (err)
		return peer_count_drop(err);
	*link = peer_find_sender(peer, msg, now);
	if (*link < 0)
		return peer_count_drop(*link);
	err = peer_check_seq(&peer->nodes[*link], msg);
	if (err)
		return peer_count_drop(err);
	cnt_add(CNT_PEER_RECEIVED, 1);
	peer_apply_header(peer, *link, msg, now);
	return PEER_OK;
}

/* Finds the link of an instance by the hash of its name; -1 if unknown. */
int peer_find(const struct peer *peer, uint64_t id)
{
	size_t i;

	for (i = 0; i < peer->node_count; i++) {
		if (peer->nodes[i].used && peer->nodes[i].id == id)
			return (int)i;
	}
	return PEER_NO_NODE;
}

/* Finds or adds a data centre; PEER_E_FULL when the table is. */
int peer_find_dc(struct peer *peer, const char *name)
{
	struct peer_dc *dc;
	int rail;
	int i;

	for (i = 0; i < peer->dc_count; i++) {
		if (strcmp(peer->dcs[i].name, name) == 0)
			return i;
	}
	if (peer->dc_count == PEER_DC_MAX)
		return PEER_E_FULL;
	dc = &peer->dcs[peer->dc_count];
	if (mag_copy_name(dc->name, MAG_NAME_MAX, name))
		return PEER_E_FORMAT;
	dc->id = peer_hash(name);
	for (rail = 0; rail < PEER_RAILS; rail++) {
		dc->target[rail] = PEER_NO_NODE;
		dc->try_until_us[rail] = 0;
	}
	return peer->dc_count++;
}

/* True while a node's last message still counts. */
bool peer_is_heard_from(const struct peer_node *node, int64_t now)
{
	return node->heard_until_us > now;
}

/* Doubles the tables that are indexed by link. */
static int peer_grow(struct peer *peer)
{
	size_t cap = peer->node_cap ? 2 * peer->node_cap : 16;
	struct peer_node *nodes;
	struct peer_change *changes;
	int *due;

	if (cap > PEER_TABLE_MAX)
		return PEER_E_FULL;
	nodes = realloc(peer->nodes, cap * sizeof(*nodes));
	if (!nodes)
		return PEER_E_MEMORY;
	peer->nodes = nodes;
	due = realloc(peer->due, cap * sizeof(*due));
	if (!due)
		return PEER_E_MEMORY;
	peer->due = due;
	changes = realloc(peer->changes, cap * sizeof(*changes));
	if (!changes)
		return PEER_E_MEMORY;
	peer->changes = changes;
	peer->node_cap = cap;
	return PEER_OK;
}

/* Returns a free entry of the table, or a negative enum peer_err. */
static int peer_alloc_node(struct peer *peer)
{
	size_t i;
	int err;

	for (i = 0; i < peer->node_count; i++) {
		if (!peer->nodes[i].used)
			return (int)i;
	}
	if (peer->node_count == peer->node_cap) {
		err = peer_grow(peer);
		if (err)
			return err;
	}
	memset(&peer->nodes[peer->node_count], 0, sizeof(*peer->nodes));
	return (int)peer->node_count++;
}

/* Adds an instance that nothing is known of yet. */
static int peer_insert(struct peer *peer, uint64_t id, const char *name,
		       const char *dc, const char *address, int64_t now)
{
	struct peer_node *node;
	int dc_index = peer_find_dc(peer, dc);
	int link;
	uint32_t epoch;

	if (dc_index < 0)
		return dc_index;
	link = peer_alloc_node(peer);
	if (link < 0)
		return link;
	node = &peer->nodes[link];
	epoch = node->epoch;
	memset(node, 0, sizeof(*node));
	node->epoch = epoch + 1;
	if (mag_copy_name(node->name, MAG_NAME_MAX, name) ||
	    mag_copy_name(node->address, MAG_ADDR_MAX, address))
		return PEER_E_FORMAT;
	node->used = true;
	node->id = id;
	node->dc = dc_index;
	node->next_send_us = now;
	node->early_send_us = MAG_NEVER;
	peer->next_tick_us = now;
	return link;
}

/* Refuses what this version and cluster can't have sent. */
static int peer_validate(const struct peer *peer, const struct peer_msg *msg)
{
	if (msg->version != PEER_VERSION)
		return PEER_E_VERSION;
	if (msg->cluster != peer->cluster)
		return PEER_E_CLUSTER;
	if (msg->sender == peer->self)
		return PEER_E_SELF;
	if (msg->incarnation == 0 || msg->record_count > PEER_RECORDS_MAX ||
	    msg->demand_count > PEER_DEMANDS_MAX || msg->next_ms == 0 ||
	    msg->next_ms > 4 * PEER_PERIOD_MAX_US / MAG_US_PER_MS)
		return PEER_E_FORMAT;
	if ((msg->flags & PEER_F_INTRO) && peer_hash(msg->name) != msg->sender)
		return PEER_E_FORMAT;
	return PEER_OK;
}

/*
 * An instance that the settings name is known by its address only, until it
 * introduces itself.  Two links to it would number their messages apart, and
 * it would drop those of one of them as old.
 */
static void peer_drop_seed(struct peer *peer, const struct peer_msg *msg)
{
	int link = peer_find(peer, peer_hash(msg->address));

	if (link >= 0 && strcmp(msg->address, msg->name) != 0)
		peer->nodes[link].used = false;
}

/* Finds the sender's link; a newcomer that introduces itself gets one. */
static int peer_find_sender(struct peer *peer, const struct peer_msg *msg,
			    int64_t now)
{
	int link = peer_find(peer, msg->sender);
	struct peer_node *node;

	if (msg->flags & PEER_F_INTRO)
		peer_drop_seed(peer, msg);

	if (!(msg->flags & PEER_F_INTRO))
		return link < 0 ? PEER_E_UNKNOWN_SENDER : link;
	if (link < 0)
		return peer_insert(peer, msg->sender, msg->name,
				   msg->data_centre, msg->address, now);
	node = &peer->nodes[link];
	if (msg->incarnation != node->incarnation &&
	    msg->incarnation != node->old_incarnation)
		mag_copy_name(node->address, MAG_ADDR_MAX, msg->address);
	return link;
}

/*
 * Orders a message among those of its sender.  Datagrams may come late and
 * twice: one of an incarnation that was already replaced, or older than the
 * last, would turn back what was learned since.
 */
static int peer_check_seq(struct peer_node *node, const struct peer_msg *msg)
{
	uint32_t behind = node->seq_received - msg->seq;

	if (msg->incarnation == node->old_incarnation)
		return PEER_E_STALE;
	if (msg->incarnation != node->incarnation) {
		node->old_incarnation = node->incarnation;
		node->incarnation = msg->incarnation;
		node->epoch++;
		node->acked_until_us = 0;
		node->message_lost = false;
	} else if (behind < PEER_SEQ_WINDOW) {
		return PEER_E_STALE;
	} else if (msg->seq != node->seq_received + 1) {
		node->message_lost = true;
	}
	node->seq_received = msg->seq;
	return PEER_OK;
}

/* Keeps what the header of a message says about its sender. */
static void peer_apply_header(struct peer *peer, int link,
			      const struct peer_msg *msg, int64_t now)
{
	struct peer_node *node = &peer->nodes[link];
	int64_t until = now + PEER_SLACK_US +
			PEER_MISSED_MAX * (int64_t)msg->next_ms * MAG_US_PER_MS;
	bool was_heard = peer_is_heard_from(node, now);

	node->heard_until_us = until;
	if (peer_acks_us(peer, msg))
		node->acked_until_us = until;
	node->flags = msg->flags;
	node->group = msg->group_size;
	node->group_hash = msg->group_hash;
	node->reach_hash = msg->reach_hash;
	node->listed_count = msg->listed_count;
	node->revision = msg->revision;
	if (msg->flags & PEER_F_STOPPING)
		node->heard_until_us = now;
	peer_note_bridge(peer, link, now);
	if (!was_heard || node->acked_until_us <= now)
		peer_send_early(peer, link, now);
	peer->next_tick_us = now;
}

/* Counts a message that is dropped, by its reason. */
static int peer_count_drop(int err)
{
	static const enum cnt_id counters[] = {
		[-PEER_E_CLUSTER] = CNT_PEER_DROP_CLUSTER,
		[-PEER_E_VERSION] = CNT_PEER_DROP_VERSION,
		[-PEER_E_FORMAT] = CNT_PEER_DROP_FORM,
		[-PEER_E_STALE] = CNT_PEER_DROP_OLD,
		[-PEER_E_UNKNOWN_SENDER] = CNT_PEER_DROP_STRANGER,
		[-PEER_E_FULL] = CNT_PEER_DROP_FULL,
		[-PEER_E_SELF] = CNT_PEER_DROP_FORM,
		[-PEER_E_MEMORY] = CNT_PEER_DROP_FULL,
	};

	cnt_add(counters[-err], 1);
	return err;
}
