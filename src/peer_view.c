#include "peer_table.h"

/* What the other modules of the fleet read from the membership. */

/* One more than the highest link. */
size_t peer_link_count(const struct peer *peer)
{
	return peer->node_count;
}

/* Tells what a link is used for now. */
enum peer_link_kind peer_link_kind(const struct peer *peer, int link)
{
	const struct peer_node *node = &peer->nodes[link];

	if (!node->used)
		return PEER_LINK_NONE;
	if (node->dc == 0)
		return PEER_LINK_LOCAL;
	return peer_is_target(peer, link) ? PEER_LINK_BRIDGE : PEER_LINK_NONE;
}

/* True while each side hears the other and neither stops. */
bool peer_link_up(const struct peer *peer, int link)
{
	const struct peer_node *node = &peer->nodes[link];

	return node->used && node->up && !(node->flags & PEER_F_STOPPING);
}

/* Grows when what the other side keeps of this one is lost. */
uint32_t peer_link_epoch(const struct peer *peer, int link)
{
	return peer->nodes[link].epoch;
}

/* The rail that the other side bridges, -1 for none. */
int peer_link_rail(const struct peer *peer, int link)
{
	uint32_t flags = peer->nodes[link].flags;

	if (flags & PEER_F_RAIL0)
		return 0;
	return flags & PEER_F_RAIL1 ? 1 : -1;
}

/* The name of the instance at a link. */
const char *peer_link_name(const struct peer *peer, int link)
{
	return peer->nodes[link].name;
}

/* The address of the instance at a link. */
const char *peer_link_address(const struct peer *peer, int link)
{
	return peer->nodes[link].address;
}

/*
 * True if the other side reaches just what this one does: within the data
 * centre the same instances, between data centres the same data centres.
 * Limits are only pooled among those who agree.  If A and B are cut off from
 * each other and both hear C, each would otherwise count C's part as its own.
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

/* What the other side's last message said of its group. */
uint32_t peer_link_group_size(const struct peer *peer, int link)
{
	return peer->nodes[link].group;
}

/* How many instances the other side's list holds. */
uint32_t peer_link_listed_count(const struct peer *peer, int link)
{
	return peer->nodes[link].listed_count;
}

/* The revision that is in force at the other side. */
uint64_t peer_link_revision(const struct peer *peer, int link)
{
	return peer->nodes[link].revision;
}

/* True if the sender of a message hears this incarnation. */
bool peer_acks_us(const struct peer *peer, const struct peer_msg *msg)
{
	return msg->acked_incarnation == (uint32_t)peer->settings.incarnation;
}

/* The rail that this instance bridges, -1 for none. */
int peer_rail(const struct peer *peer)
{
	if (peer->rails[0])
		return 0;
	return peer->rails[1] ? 1 : -1;
}

/* The link of the first bridge of this data centre; -1 if it is this one. */
int peer_aggregator(const struct peer *peer)
{
	return peer->aggregator;
}

/* How many instances of this data centre are up, this one included. */
uint32_t peer_local_group_size(const struct peer *peer)
{
	return peer->local_group;
}

/* How many instances the platform's list holds. */
uint32_t peer_listed_count(const struct peer *peer)
{
	return peer->listed_count;
}

/* How many demand entries fit a message under the budget of bytes. */
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
 * How long a raised share waits: until a cut would have been noticed, and
 * those who lose the share have heard of it, through the bridge, the other
 * bridges and on to their data centres.
 */
int64_t peer_raise_delay_us(const struct peer *peer)
{
	int64_t slowest = peer->local_period_us > peer->rail_period_us
				  ? peer->local_period_us
				  : peer->rail_period_us;

	return PEER_MISSED_MAX * slowest + PEER_SLACK_US +
	       2 * peer->local_period_us + slowest;
}

/* How many data centres this instance knows, its own included. */
int peer_data_centres(const struct peer *peer)
{
	return peer->dc_count;
}

/* The period at which some links use their part of the budget. */
int64_t peer_period_us(const struct peer *peer, uint32_t links, int part)
{
	int64_t bytes = (int64_t)links * (PEER_BYTES_FIXED + PEER_BYTES_RPC);
	int64_t budget =
		(int64_t)peer->settings.bytes_per_s * part / PEER_BUDGET_PARTS;
	int64_t period = bytes * MAG_US_PER_S / budget;

	if (period < PEER_PERIOD_MIN_US)
		return PEER_PERIOD_MIN_US;
	return period < PEER_PERIOD_MAX_US ? period : PEER_PERIOD_MAX_US;
}
