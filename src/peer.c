#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "cnt.h"
#include "peer_table.h"

/* A seq that is lower than the last by less than this is a late message. */
#define PEER_SEQ_WINDOW 1024

static uint32_t peer_count_retained(struct peer *peer, int64_t now);
static int peer_grow(struct peer *peer);
static int peer_alloc_node(struct peer *peer);
static int peer_insert(struct peer *peer, uint64_t id, const char *name,
		       const char *dc, const char *address, int64_t now);
static int peer_validate(const struct peer *peer, const struct peer_msg *msg);
static void peer_drop_seed(struct peer *peer, const struct peer_msg *msg);
static int peer_find_sender(struct peer *peer, const struct peer_msg *msg,
			    int64_t now);
static int peer_check_seq(struct peer_node *node, const struct peer_msg *msg,
			  int64_t now);
static void peer_apply_header(struct peer *peer, int link,
			      const struct peer_msg *msg, int64_t now);
static int peer_count_drop(int err);

/*
 * Creates the membership of one instance.  Returns NULL if out of memory.
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
	peer->local_group_size = 1;
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

/* Returns a 64-bit hash that is equal on every instance; never 0. */
uint64_t peer_hash(const char *text)
{
	static const uint8_t key[crypto_shorthash_KEYBYTES] = "magnolia";
	uint64_t hash;

	crypto_shorthash((uint8_t *)&hash, (const uint8_t *)text, strlen(text),
			 key);
	return hash ? hash : 1;
}

/*
 * Applies the platform's complete list.  The list may be stale, so an instance
 * whose heartbeats arrive stays up even if the list lacks it, and a listed
 * instance only gets messages until it responds.  Returns PEER_E_MEMORY or
 * PEER_E_FULL if some entries had no room.
 */
int peer_apply_list(struct peer *peer, const struct peer_list_entry *entries,
		    size_t count, int64_t now)
{
	size_t i;
	int err = PEER_OK;

	for (i = 0; i < peer->node_count; i++)
		peer->nodes[i].listed = false;
	for (i = 0; i < count; i++) {
		int link = peer_add(peer, &entries[i], now);

		if (link >= 0)
			peer->nodes[link].listed = true;
		else if (link != PEER_E_SELF)
			err = link;
	}
	peer->listed_count = (uint32_t)count + peer_count_retained(peer, now);
	peer->next_tick_us = now;
	return err;
}

/*
 * Returns the number of instances of data centres that disappeared from the
 * list completely.  Such a data centre is more likely cut off from the
 * platform than dead, and continues to use its part of each limit.  Dividing
 * its part among the others at once would give the account more than its
 * limit.  A single instance that disappears counts as dead, as it usually is.
 */
static uint32_t peer_count_retained(struct peer *peer, int64_t now)
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
		struct peer_dc *remote = &peer->dcs[dc];

		if (remote->listed > 0) {
			remote->retained = remote->listed;
			remote->retained_until_us = now + PEER_RETAIN_US;
		} else if (remote->retained >= PEER_RETAIN_MIN &&
			   remote->retained_until_us > now) {
			count += remote->retained;
		}
	}
	return count;
}

/*
 * Adds one instance or updates its address.  Returns its link, or a negative
 * enum peer_err.
 */
int peer_add(struct peer *peer, const struct peer_list_entry *entry,
	     int64_t now)
{
	uint64_t id = peer_hash(entry->name);
	int link = peer_find(peer, id);

	if (id == peer->self)
		return PEER_E_SELF;
	if (link < 0)
		return peer_insert(peer, id, entry->name, entry->data_centre,
				   entry->address, now);
	/*
	 * A replaced instance may have the same name and another address.
	 * While its heartbeats arrive, the address in its introduction is newer
	 * than the one in the list.
	 */
	if (!peer_is_alive(&peer->nodes[link], now))
		mag_copy_name(peer->nodes[link].address, MAG_ADDR_MAX,
			      entry->address);
	return link;
}

/*
 * Processes a message and sets link to that of its sender.  Returns 0, or the
 * negative enum peer_err under which the message was counted and dropped.
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
	err = peer_check_seq(&peer->nodes[*link], msg, now);
	if (err)
		return peer_count_drop(err);
	cnt_add(CNT_PEER_RECEIVED, 1);
	peer_apply_header(peer, *link, msg, now);
	return PEER_OK;
}

/*
 * Returns the link of an instance by the hash of its name; PEER_NO_NODE if
 * unknown.
 */
int peer_find(const struct peer *peer, uint64_t id)
{
	size_t i;

	for (i = 0; i < peer->node_count; i++) {
		if (peer->nodes[i].used && peer->nodes[i].id == id)
			return (int)i;
	}
	return PEER_NO_NODE;
}

/*
 * Returns the index of a data centre, which is added if unknown; PEER_E_FULL if
 * the table is full.
 */
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

/* Returns whether a node's last heartbeat is recent enough. */
bool peer_is_alive(const struct peer_node *node, int64_t now)
{
	return node->alive_until_us > now;
}

/* Doubles the capacity of the tables that are indexed by link. */
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

/* Returns the index of a free node, or a negative enum peer_err. */
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

/* Adds an unknown instance; returns its link or a negative enum peer_err. */
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

/*
 * Validates the header of a message: protocol version, cluster, sender and the
 * bounds of its fields.
 */
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
 * Removes the link that was added for an address in the settings when the
 * instance at that address introduces itself.  Each link numbers its messages
 * on its own, so with two links to one instance, the instance would drop the
 * messages of one of them as old.
 */
static void peer_drop_seed(struct peer *peer, const struct peer_msg *msg)
{
	int link = peer_find(peer, peer_hash(msg->address));

	if (link >= 0 && strcmp(msg->address, msg->name) != 0)
		peer->nodes[link].used = false;
}

/*
 * Returns the sender's link; an unknown sender that introduces itself is added.
 */
static int peer_find_sender(struct peer *peer, const struct peer_msg *msg,
			    int64_t now)
{
	int link = peer_find(peer, msg->sender);
	struct peer_node *node;

	if (msg->flags & PEER_F_INTRO)
		peer_drop_seed(peer, msg);

	if (!(msg->flags & PEER_F_INTRO))
		return link < 0 ? PEER_E_UNKNOWN : link;
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
 * Checks a message against the sender's incarnation and sequence number.
 * Datagrams may arrive late or twice.  One of an incarnation that was already
 * replaced, or one older than the last, would revert newer information.  But
 * if nothing newer has followed until the sender counted as down, and for
 * longer than datagrams are late, what made the message look old was false, and
 * the sender refutes it.
 */
static int peer_check_seq(struct peer_node *node, const struct peer_msg *msg,
			  int64_t now)
{
	uint32_t behind = node->seq_received - msg->seq;
	bool recent = node->alive_until_us + PEER_PERIOD_MAX_US > now;

	if (recent && msg->incarnation == node->old_incarnation)
		return PEER_E_STALE;
	if (msg->incarnation != node->incarnation) {
		node->old_incarnation = node->incarnation;
		node->incarnation = msg->incarnation;
		node->epoch++;
		node->acked_until_us = 0;
		node->message_lost = false;
	} else if (recent && behind < PEER_SEQ_WINDOW) {
		return PEER_E_STALE;
	} else if (msg->seq != node->seq_received + 1) {
		node->message_lost = true;
	}
	node->seq_received = msg->seq;
	return PEER_OK;
}

/* Stores the sender's state from the header of a message. */
static void peer_apply_header(struct peer *peer, int link,
			      const struct peer_msg *msg, int64_t now)
{
	struct peer_node *node = &peer->nodes[link];
	int64_t until = now + PEER_SLACK_US +
			PEER_MISSED_MAX * (int64_t)msg->next_ms * MAG_US_PER_MS;
	bool was_alive = peer_is_alive(node, now);

	node->alive_until_us = until;
	if (peer_acks_us(peer, msg))
		node->acked_until_us = until;
	node->flags = msg->flags;
	node->group_size = msg->group_size;
	node->group_hash = msg->group_hash;
	node->reach_hash = msg->reach_hash;
	node->listed_count = msg->listed_count;
	node->revision = msg->revision;
	if (msg->flags & PEER_F_STOPPING)
		node->alive_until_us = now;
	peer_note_bridge(peer, link, now);
	if (!was_alive || node->acked_until_us <= now)
		peer_send_early(peer, link, now);
	peer->next_tick_us = now;
}

/* Counts a dropped message by its reason; returns err. */
static int peer_count_drop(int err)
{
	static const enum cnt_id counters[] = {
		[-PEER_E_CLUSTER] = CNT_PEER_DROP_CLUSTER,
		[-PEER_E_VERSION] = CNT_PEER_DROP_VERSION,
		[-PEER_E_FORMAT] = CNT_PEER_DROP_MALFORMED,
		[-PEER_E_STALE] = CNT_PEER_DROP_OLD,
		[-PEER_E_UNKNOWN] = CNT_PEER_DROP_UNKNOWN,
		[-PEER_E_FULL] = CNT_PEER_DROP_FULL,
		[-PEER_E_SELF] = CNT_PEER_DROP_MALFORMED,
		[-PEER_E_MEMORY] = CNT_PEER_DROP_FULL,
	};

	cnt_add(counters[-err], 1);
	return err;
}
