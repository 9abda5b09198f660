#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/util.h>

#include "clk.h"
#include "hint_int.h"
#include "hint_suspect.h"
#include "pres.h"

/*
 * Peers in other data centres that are sent a message in each round.  Where
 * there are more peers than that, each receives messages less often, so that
 * the traffic of a router does not grow with the fleet.
 */
#define HINT_REMOTE_PEERS_MAX 4
/* Messages with quarantined requests to a router that has started. */
#define HINT_FIRST_MESSAGES_MAX 16
/* Peers of other data centres that hear of a new suspicion at once. */
#define HINT_REMOTE_PEERS_ALERTED 32

static bool hint_has_remote_turn(const struct hint *hint);
static void hint_send(struct hint *hint, int local, int remote);
static void hint_fill_traits(struct hint *hint);
static void hint_fill_demands(struct hint *hint, bool needed);
static void hint_send_first_traits(struct hint *hint,
				   const struct hint_peer *peer);
static int hint_sort_peers(struct hint *hint);
static void hint_send_round(struct hint *hint, struct hint_group *group,
			    int max, struct hint_message *message);
static void hint_send_to_senders(struct hint *hint,
				 struct hint_message *message);
static void hint_send_to(struct hint *hint, const struct sockaddr_in *addr,
			 struct hint_peer *peer, struct hint_message *message);
static void hint_send_bytes(struct hint *hint, const struct sockaddr_in *addr,
			    const char *bytes, size_t len);
static void hint_fill(struct hint *hint, struct hint_message *message);

/* Sends messages to the peers whose turn it is. */
void hint_send_turn(struct hint *hint)
{
	hint_urgent_fill(hint, clk_boot_us());
	hint_send(hint, HINT_LOCAL_PEERS_MAX,
		  hint_has_remote_turn(hint) ? HINT_REMOTE_PEERS_MAX : 0);
	hint->urgent_len = 0;
}

/*
 * Sends messages because of news that must not wait.  What is only passed on
 * stays in the data centre, as messages across cost more.
 */
void hint_send_alert(struct hint *hint, enum quar_alert alert)
{
	hint_send(hint, HINT_LOCAL_PEERS_MAX,
		  alert == QUAR_ALERT_ALL ? HINT_REMOTE_PEERS_ALERTED : 0);
}

/*
 * Returns whether this round goes to other data centres, too.  Messages across
 * data centres cost more than others; those of a data centre together do not
 * grow with its routers, as each of them takes turns.
 */
static bool hint_has_remote_turn(const struct hint *hint)
{
	int routers = edge_routers_per_data_centre(hint->edge);

	return routers <= HINT_LOCAL_PEERS_MAX ||
	       edge_random(hint->edge) % (uint64_t)routers <
		       HINT_LOCAL_PEERS_MAX;
}

/*
 * Sends a message to at most this many peers of our data centre (local), and of
 * others (remote).
 */
static void hint_send(struct hint *hint, int local, int remote)
{
	static struct hint_message message;

	hint_fill(hint, &message);
	message.crash_count =
		(uint32_t)quar_collect(hint->edge->quar, message.crashes,
				       HINT_CRASHES_MAX, clk_boot_us());
	hint_fill_traits(hint);
	hint_fill_demands(hint, message.limit_count > 0);
	if (pres_peer_count(hint->edge->pres) == 0)
		hint_send_to_senders(hint, &message);
	else if (!hint_sort_peers(hint)) {
		hint_send_round(hint, &hint->local, local, &message);
		hint_send_round(hint, &hint->remote, remote, &message);
	}
	hint->traits_len = 0;
	hint->demands_len = 0;
}

/* Encodes the losses under traits that are to be reported, if any. */
static void hint_fill_traits(struct hint *hint)
{
	static struct hint_trait_message message;

	hint->traits_len = 0;
	message.count = (uint32_t)quar_traits_collect(
		hint->edge->traits, message.reports, HINT_TRAITS_MAX,
		clk_boot_us());
	if (message.count > 0 &&
	    hint_trait_encode(&message, hint->traits, &hint->traits_len))
		hint->traits_len = 0;
}

/*
 * Encodes what this router has to send by service, while limits are known. More
 * services than fit count as all requests of its callers do.
 */
static void hint_fill_demands(struct hint *hint, bool needed)
{
	static struct hint_demand_message message;
	const struct edge_service *service;
	struct hint_demand *demand;

	hint->demands_len = 0;
	if (!needed || hint->edge->service_count > HINT_DEMANDS_MAX)
		return;
	mag_copy_name(message.name, sizeof(message.name),
		      hint->edge->set.instance);
	message.count = 0;
	cds_list_for_each_entry (service, &hint->edge->services, node) {
		demand = &message.demands[message.count++];
		demand->service = htab_hash(service->name);
		demand->per_s = service->demand;
	}
	if (hint_demand_encode(&message, hint->demands, &hint->demands_len))
		hint->demands_len = 0;
}

/* Notes which peers are in our data centre, if the peers have changed. */
static int hint_sort_peers(struct hint *hint)
{
	const struct pres *pres = hint->edge->pres;
	int count = pres_peer_count(pres);
	bool *flags;
	bool local;
	int i;

	if (hint->local.eligible && hint->peers_seen == pres_changes(pres))
		return HINT_OK;
	flags = realloc(hint->local.eligible, (size_t)count * 2);
	if (!flags)
		return HINT_E_MEMORY;
	hint->local.eligible = flags;
	hint->remote.eligible = flags + count;
	hint->local.count = 0;
	for (i = 0; i < count; i++) {
		local = strcmp(pres_peer(pres, i)->data_centre,
			       hint->edge->set.data_centre) == 0;
		hint->local.eligible[i] = local;
		hint->remote.eligible[i] = !local;
		hint->local.count += local;
	}
	hint->remote.count = count - hint->local.count;
	hint->peers_seen = pres_changes(pres);
	return HINT_OK;
}

/* Sends a message to the next peers of a group, at most this many. */
static void hint_send_round(struct hint *hint, struct hint_group *group,
			    int max, struct hint_message *message)
{
	const struct pres *pres = hint->edge->pres;
	const struct pres_peer *peer;
	struct sockaddr_in addr;
	int addr_len;
	int i;

	for (i = 0; i < max && i < group->count; i++) {
		peer = pres_peer(pres,
				 hint_turn_next(&group->turn, group->eligible,
						pres_peer_count(pres)));
		addr_len = sizeof(addr);
		if (!evutil_parse_sockaddr_port(
			    peer->address, (struct sockaddr *)&addr, &addr_len))
			hint_send_to(hint, &addr,
				     hint_find_peer(hint, peer->name), message);
	}
}

/*
 * A router that started while the store is unreachable has no list of peers; it
 * learns their addresses from the messages of those that know its own.
 */
static void hint_send_to_senders(struct hint *hint,
				 struct hint_message *message)
{
	struct hint_peer *peer;

	cds_list_for_each_entry (peer, &hint->peers, node)
		hint_send_to(hint, &peer->address, peer, message);
}

/*
 * Sends all parts of a message, with the receiver's own clock echoed if it is
 * known.
 */
static void hint_send_to(struct hint *hint, const struct sockaddr_in *addr,
			 struct hint_peer *peer, struct hint_message *message)
{
	char bytes[HINT_BYTES_MAX];
	uint32_t part;
	size_t len;

	message->claim.session = peer ? peer->session : 0;
	message->claim.echo_us = peer ? peer->clock_us : 0;
	for (part = 0; part < hint_load_part_count(&hint->own); part++) {
		hint_load_fill(&hint->own, part, message);
		if (hint_msg_encode(message, bytes, &len))
			return;
		hint_send_bytes(hint, addr, bytes, len);
	}
	hint_send_bytes(hint, addr, hint->traits, hint->traits_len);
	hint_send_bytes(hint, addr, hint->demands, hint->demands_len);
	hint_send_bytes(hint, addr, hint->urgent, hint->urgent_len);
}

/*
 * Sends a datagram; none if it is empty.  If the socket buffer is full, it is
 * dropped; the next one repeats it.
 */
static void hint_send_bytes(struct hint *hint, const struct sockaddr_in *addr,
			    const char *bytes, size_t len)
{
	if (len > 0)
		(void)dgram_send(hint->fd, &hint->key, addr, bytes, len);
}

/*
 * Sends messages to a router from which the first one was received, or the
 * first one since it started or was cut off; it may not be in the list of
 * peers.  They hold
 * all quarantined requests, as far as that router can take them in one go.
 */
void hint_send_first(struct hint *hint, struct hint_peer *peer)
{
	static struct hint_message message;
	const struct quar *quar = hint->edge->quar;
	int64_t now = clk_boot_us();
	int sent = 0;
	int held = 0;
	int count;

	do {
		hint_fill(hint, &message);
		do {
			count = quar_held_losses(
				quar, held,
				message.crashes + message.crash_count, now);
			message.crash_count += (uint32_t)count;
			held += count > 0;
		} while (count > 0 && message.crash_count + QUAR_LOSSES_MAX <=
					      HINT_CRASHES_MAX);
		hint_send_to(hint, &peer->address, peer, &message);
	} while (count > 0 && ++sent < HINT_FIRST_MESSAGES_MAX);
	hint_send_first_traits(hint, peer);
}

/* Sends the quarantined traits, as far as a router can take them in one go. */
static void hint_send_first_traits(struct hint *hint,
				   const struct hint_peer *peer)
{
	static struct hint_trait_message message;
	char bytes[HINT_TRAIT_BYTES];
	int index = 0;
	size_t len;
	int sent;

	for (sent = 0; sent < HINT_FIRST_MESSAGES_MAX; sent++) {
		message.count = (uint32_t)quar_traits_held(
			hint->edge->traits, &index, message.reports,
			HINT_TRAITS_MAX, clk_boot_us());
		if (message.count == 0 ||
		    hint_trait_encode(&message, bytes, &len))
			return;
		hint_send_bytes(hint, &peer->address, bytes, len);
	}
}

/* Fills in our load and the other fields that every message has. */
static void hint_fill(struct hint *hint, struct hint_message *message)
{
	struct edge *edge = hint->edge;
	int64_t now = clk_boot_us();

	mag_copy_name(message->name, sizeof(message->name), edge->set.instance);
	message->ready = 0;
	if (edge_is_ready(edge, now) && !reach_is_lost(&edge->workers.reach))
		message->ready = hint_msg_ready(
			rel_fresh_us(edge->rel) ? now - rel_fresh_us(edge->rel)
						: -1);
	message->session = edge->attest.session;
	message->sent_us = now;
	message->store_pos = sto_follow_pos(edge->follow);
	attest_fill_claim(&edge->attest, edge->rt ? edge->rt->version : -1, now,
			  &message->claim);
	message->version_era = edge->version_era;
	hint_load_collect(&edge->workers, now, &hint->own);
	message->data_centre = hint->self.data_centre;
	message->demand = (uint32_t)(hint->self.demand * HINT_DEMAND_S);
	hint_limit_collect(&edge->workers, now, &hint->next_limit, message);
	message->crash_count = 0;
	hint_suspect_collect(&edge->workers, hint->self.id, now,
			     &hint->next_suspect, message);
}

/* Tells whether this router quarantines anything. */
bool hint_has_quarantines(const struct hint *hint, int64_t now)
{
	struct quar_trait_report traits[QUAR_TRAIT_PAIRS];
	struct quar_report held[QUAR_LOSSES_MAX];
	int index = 0;

	return quar_held_losses(hint->edge->quar, 0, held, now) > 0 ||
	       quar_traits_held(hint->edge->traits, &index, traits,
				QUAR_TRAIT_PAIRS, now) > 0;
}
