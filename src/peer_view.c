#include "peer_table.h"

/* Read access to the membership for the other modules of the fleet. */

/* Returns one more than the highest link. */
size_t peer_link_count(const struct peer *peer)
{
	return peer->node_count;
}

/* Returns the current use of a link. */
enum peer_link_kind peer_link_kind(const struct peer *peer, int link)
{
	const struct peer_node *node = &peer->nodes[link];

	if (!node->used)
		return PEER_LINK_NONE;
	if (node->dc == 0)
		return PEER_LINK_LOCAL;
	return peer_is_target(peer, link) ? PEER_LINK_BRIDGE : PEER_LINK_NONE;
}

/*
 * Returns whether heartbeats arrive in both directions and the other side does
 * not stop.
 */
bool peer_link_up(const struct peer *peer, int link)
{
	const struct peer_node *node = &peer->nodes[link];

	return node->used && node->up && !(node->flags & PEER_F_STOPPING);
}

/*
 * Returns a count that grows when the other side loses its state about this
 * instance.
 */
uint32_t peer_link_epoch(const struct peer *peer, int link)
{
	return peer->nodes[link].epoch;
}

/* Returns the rail that the other side bridges, -1 for none. */
int peer_link_rail(const struct peer *peer, int link)
{
	uint32_t flags = peer->nodes[link].flags;

	if (flags & PEER_F_RAIL0)
		return 0;
	return flags & PEER_F_RAIL1 ? 1 : -1;
}

/* Returns the name of the instance at a link. */
const char *peer_link_name(const struct peer *peer, int link)
{
	return peer->nodes[link].name;
}

/* Returns the address of the instance at a link. */
const char *peer_link_address(const struct peer *peer, int link)
{
	return peer->nodes[link].address;
}

/*
 * Returns whether the other side reaches the same set as this instance: the
 * same instances within the data centre, the same data centres between them.
 * Limits are pooled only among instances that agree.  Otherwise, if A and B
 * are cut off from each other and both receive from C, each would count C's
 * part as its own.
 */
bool peer_link_agrees(const struct peer *peer, int link)
{
	const struct peer_node *node = &peer->nodes[link];

	if (!peer_link_up(peer, link))
		return false;
	if (node->dc == 0)
		return node->group_hash == peer->local_hash;
	return node->reach_hash == peer->reach_hash;
}

/* Returns the group size in the other side's last message. */
uint32_t peer_link_group_size(const struct peer *peer, int link)
{
	return peer->nodes[link].group_size;
}

/* Returns the number of instances in the other side's list. */
uint32_t peer_link_listed_count(const struct peer *peer, int link)
{
	return peer->nodes[link].listed_count;
}

/* Returns the revision that is in force at the other side. */
uint64_t peer_link_revision(const struct peer *peer, int link)
{
	return peer->nodes[link].revision;
}

/* Returns whether a message's sender receives from this incarnation. */
bool peer_acks_us(const struct peer *peer, const struct peer_msg *msg)
{
	return msg->acked_incarnation == (uint32_t)peer->settings.incarnation;
}

/* Returns the rail that this instance bridges, -1 for none. */
int peer_rail(const struct peer *peer)
{
	if (peer->rails[0])
		return 0;
	return peer->rails[1] ? 1 : -1;
}

/*
 * Returns the link of this data centre's first bridge, which sums up demand;
 * -1 if it is this instance.
 */
int peer_aggregator(const struct peer *peer)
{
	return peer->aggregator;
}

/*
 * Returns the number of instances up in this data centre, this one included.
 */
uint32_t peer_local_group_size(const struct peer *peer)
{
	return peer->local_group_size;
}

/* Returns the number of instances in the platform's list. */
uint32_t peer_listed_count(const struct peer *peer)
{
	return peer->listed_count;
}

/*
 * Returns the number of demand entries that a message may carry within the byte
 * budget.
 */
uint32_t peer_demand_capacity(const struct peer *peer)
{
	int64_t budget = (int64_t)peer->settings.bytes_per_s *
			 PEER_DEMAND_PARTS / PEER_BUDGET_PARTS;
	int64_t entries = budget / PEER_BYTES_DEMAND;
	int64_t rate =
		1 + peer->local_links * MAG_US_PER_S / peer->local_period_us +
		peer->bridge_links * MAG_US_PER_S / peer->bridge_period_us;

	entries /= rate;
	if (entries < 4)
		return 4;
	return entries < PEER_DEMANDS_MAX ? (uint32_t)entries
					  : PEER_DEMANDS_MAX;
}

/*
 * Returns how long an instance waits before it uses a raised share.  In that
 * time a network partition would have been detected, and the instances that
 * lose the share have been told of it through the bridge, the other bridges
 * and on to their data centres.
 */
int64_t peer_raise_delay_us(const struct peer *peer)
{
	int64_t slowest = peer->local_period_us > peer->rail_period_us
				  ? peer->local_period_us
				  : peer->rail_period_us;

	return PEER_MISSED_MAX * slowest + PEER_SLACK_US +
	       2 * peer->local_period_us + slowest;
}

/* Returns the number of known data centres, the own one included. */
int peer_data_centres(const struct peer *peer)
{
	return peer->dc_count;
}

/*
 * Returns the heartbeat period at which a number of links uses its parts of the
 * byte budget.
 */
int64_t peer_period_us(const struct peer *peer, uint32_t links, int parts)
{
	int64_t bytes = (int64_t)links * (PEER_BYTES_FIXED + PEER_BYTES_RPC);
	int64_t budget =
		(int64_t)peer->settings.bytes_per_s * parts / PEER_BUDGET_PARTS;
	int64_t period = bytes * MAG_US_PER_S / budget;

	if (period < PEER_PERIOD_MIN_US)
		return PEER_PERIOD_MIN_US;
	return period < PEER_PERIOD_MAX_US ? period : PEER_PERIOD_MAX_US;
}
