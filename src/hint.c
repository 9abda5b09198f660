#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>
#include <event2/util.h>

#include "clk.h"
#include "hint_int.h"
#include "hint_suspect.h"
#include "jlog.h"
#include "pres.h"

/*
 * Routers of a data centre share its workers: a router that does not know of
 * the others' new streams sends to workers that are full.  A data centre starts
 * 60 to 90 streams a second and has capacity for about 250, so at this interval
 * the reported load is off by a twentieth.
 */
#define HINT_INTERVAL_US (150 * MAG_US_PER_MS)
/*
 * The load of a router counts as zero after this long without a message, or
 * after as many of the intervals at which it sends to the same peer.
 */
#define HINT_EXPIRY_US	      (1200 * MAG_US_PER_MS)
#define HINT_EXPIRY_INTERVALS 3
/*
 * A router loses its part of a worker's limit after this long without a
 * message.
 */
#define HINT_MEMBER_EXPIRY_US (10 * MAG_US_PER_S)
/*
 * A peer that has been silent for this long is forgotten.  In large fleets
 * routers of other data centres hear of each other every few minutes.
 */
#define HINT_FORGET_US	    (1800 * MAG_US_PER_S)
#define HINT_FORGET_EACH_US (60 * MAG_US_PER_S)
/* Caller demand is smoothed over this time. */
#define HINT_DEMAND_SMOOTHING_US (2 * MAG_US_PER_S)
/* Connections for requests that are forwarded to one peer. */
#define HINT_CONNECTIONS_MAX 1024

static void hint_free_peer(struct hint *hint, struct hint_peer *peer);
static void hint_forget_peers(struct hint *hint, int64_t silent_us,
			      int64_t now);
static struct hc_host *hint_connect_host(struct hint *hint,
					 struct hint_peer *peer);
static void hint_sum_loads(struct hint *hint, int64_t now);
static void hint_update_demand(struct hint *hint, int64_t now);
static void hint_update_limit_parts(struct hint *hint, int64_t now);
static void hint_update_service_parts(struct hint *hint,
				      const struct edge_service *service,
				      int64_t now);
static const struct hint_router *hint_list_senders(struct hint *hint,
						   const char *service,
						   int64_t now, int *count);

/*
 * Starts to receive datagrams of peers on a UDP socket, which is closed with
 * the result, and on an error.
 */
int hint_new(struct edge *edge, int fd, struct hint **out)
{
	struct hint *hint = calloc(1, sizeof(*hint));

	if (!hint) {
		close(fd);
		return HINT_E_MEMORY;
	}
	hint->edge = edge;
	hint->fd = fd;
	dgram_key_init(&hint->key, edge->set.deployment);
	hint->self.id = htab_hash(edge->set.instance);
	hint->self.data_centre = htab_hash(edge->set.data_centre);
	CDS_INIT_LIST_HEAD(&hint->peers);
	hint->local.turn.next = (uint32_t)edge_random(edge);
	hint->remote.turn.next = (uint32_t)edge_random(edge);
	hint->next_suspect = (uint32_t)edge_random(edge);
	hint->readable = event_new(edge->base, hint->fd, EV_READ | EV_PERSIST,
				   hint_on_readable, hint);
	if (!hint->readable || event_add(hint->readable, NULL)) {
		hint_free(hint);
		return HINT_E_MEMORY;
	}
	*out = hint;
	return HINT_OK;
}

void hint_free(struct hint *hint)
{
	struct hint_peer *peer;
	struct hint_peer *next;

	if (!hint)
		return;
	if (hint->readable)
		event_free(hint->readable);
	if (hint->fd >= 0)
		close(hint->fd);
	cds_list_for_each_entry_safe (peer, next, &hint->peers, node)
		hint_free_peer(hint, peer);
	htab_free(&hint->names);
	free(hint->local.eligible);
	free(hint->routers);
	free(hint);
}

static void hint_free_peer(struct hint *hint, struct hint_peer *peer)
{
	attest_forget(&hint->edge->attest, &peer->report);
	cds_list_del(&peer->node);
	htab_del(&hint->names, &peer->by_name);
	hint->peer_count--;
	hint_load_free(&peer->loads);
	hc_host_free(peer->host);
	free(peer);
}

/*
 * Frees the peers that have been silent for so long, but not those to which
 * requests are forwarded.
 */
static void hint_forget_peers(struct hint *hint, int64_t silent_us, int64_t now)
{
	struct hint_peer *peer;
	struct hint_peer *next;

	cds_list_for_each_entry_safe (peer, next, &hint->peers, node) {
		if (now - peer->received_us > silent_us &&
		    (!peer->host || hc_host_open_count(peer->host) == 0))
			hint_free_peer(hint, peer);
	}
}

/*
 * Tells whether another peer can be added.  If there are too many, those that
 * are silent are forgotten, once a second.
 */
bool hint_has_room(struct hint *hint, int64_t now)
{
	if (hint->peer_count < HINT_PEERS_MAX)
		return true;
	if (now < hint->next_clear_us)
		return false;
	hint->next_clear_us = now + MAG_US_PER_S;
	hint_forget_peers(hint, HINT_MEMBER_EXPIRY_US, now);
	return hint->peer_count < HINT_PEERS_MAX;
}

/* Sends messages to some peers, and sums the load reported by all. */
void hint_tick(struct hint *hint, int64_t now)
{
	enum quar_alert alert = quar_take_alert(hint->edge->quar);

	hint_urgent_tick(hint, now);
	if (quar_traits_take_alert(hint->edge->traits) == QUAR_ALERT_ALL)
		alert = QUAR_ALERT_ALL;
	if (hint_suspect_announce(&hint->edge->workers, now))
		alert = QUAR_ALERT_ALL;
	if (alert != QUAR_ALERT_NONE) {
		hint_send_alert(hint, alert);
		return;
	}
	if (now < hint->next_us)
		return;
	hint->next_us = now + HINT_INTERVAL_US;
	if (now >= hint->next_forget_us) {
		hint->next_forget_us = now + HINT_FORGET_EACH_US;
		hint_forget_peers(hint, HINT_FORGET_US, now);
	}
	hint_update_demand(hint, now);
	hint_sum_loads(hint, now);
	hint_update_limit_parts(hint, now);
	hint_urgent_sum(hint, now);
	hint_send_turn(hint);
}

/*
 * Makes the next tick send messages: what the store has just confirmed to this
 * router saves the other routers of the data centre a call each.
 */
void hint_send_soon(struct hint *hint, int64_t now)
{
	hint->next_us = now;
}

/* Writes the metrics of what peers send. */
void hint_write_metrics(const struct hint *hint, struct evbuffer *out)
{
	evbuffer_add_printf(out, "magnolia_peers_heard %d\n", hint->peer_count);
	hint_drop_write(&hint->drops, out);
}

struct hint_peer *hint_find_peer(struct hint *hint, const char *name)
{
	struct htab_node *node = htab_first(&hint->names, htab_hash(name));
	struct hint_peer *peer;

	for (; node; node = htab_next(node)) {
		peer = cds_list_entry(node, struct hint_peer, by_name);
		if (strcmp(peer->name, name) == 0)
			return peer;
	}
	return NULL;
}

/*
 * Returns whether another router would accept a caller that is refused here: a
 * peer reported that it is ready, or no peer has sent a message lately, which
 * means that this router is the one that is cut off.
 */
bool hint_others_ready(const struct hint *hint, int64_t now)
{
	int64_t expiry_us = hint_expiry_us(hint);
	const struct hint_peer *peer;
	bool any_recent = false;

	cds_list_for_each_entry (peer, &hint->peers, node) {
		if (now - peer->received_us > expiry_us)
			continue;
		any_recent = true;
		if (peer->ready)
			return true;
	}
	return !any_recent;
}

/*
 * Returns the place of this router among all that it hears of, in an order that
 * depends on the key.
 */
int hint_rank(struct hint *hint, uint32_t key, int64_t now)
{
	const struct hint_router *routers;
	int count;

	routers = hint_list_routers(hint, now, &count);
	return hint_suspect_rank(key, routers, count, hint->self.id);
}

/* Counts the peers that serve their callers by paths of their own. */
int hint_count_servers(const struct hint *hint, int64_t now)
{
	int64_t expiry_us = hint_expiry_us(hint);
	const struct hint_peer *peer;
	int count = 0;

	cds_list_for_each_entry (peer, &hint->peers, node)
		count += peer->ready && now - peer->received_us <= expiry_us;
	return count;
}

/*
 * Picks a peer that serves its callers by paths of its own, in our data centre
 * if there is one, but not the one to avoid if there is another one; stores the
 * hash of its name.  NULL if there is none.
 */
struct hc_host *hint_pick_server(struct hint *hint, uint32_t avoid, int64_t now,
				 uint32_t *id)
{
	int64_t expiry_us = hint_expiry_us(hint);
	struct hint_peer *picked = NULL;
	uint64_t eligible = 0;
	struct hint_peer *peer;
	int rank;
	int best = 0;

	cds_list_for_each_entry (peer, &hint->peers, node) {
		if (!peer->ready || now - peer->received_us > expiry_us)
			continue;
		rank = 1 + (peer->router.data_centre == hint->self.data_centre);
		if (peer->router.id != avoid)
			rank += 2;
		if (rank < best)
			continue;
		if (rank > best)
			eligible = 0;
		best = rank;
		if (edge_random(hint->edge) % ++eligible == 0)
			picked = peer;
	}
	if (!picked || !hint_connect_host(hint, picked))
		return NULL;
	*id = picked->router.id;
	return picked->host;
}

/*
 * Returns the host for requests forwarded to a peer; NULL without memory, or if
 * requests are open at an address that the peer had before.
 */
static struct hc_host *hint_connect_host(struct hint *hint,
					 struct hint_peer *peer)
{
	char address[MAG_ADDR_MAX];

	if (peer->host &&
	    (peer->host_address.sin_port != peer->address.sin_port ||
	     peer->host_address.sin_addr.s_addr !=
		     peer->address.sin_addr.s_addr)) {
		if (hc_host_open_count(peer->host) > 0)
			return NULL;
		hc_host_free(peer->host);
		peer->host = NULL;
	}
	if (peer->host)
		return peer->host;
	hint_write_address(peer, address);
	if (hc_host_new(hint->edge->hc, address, HINT_CONNECTIONS_MAX,
			&peer->host)) {
		peer->host = NULL;
		return NULL;
	}
	peer->host_address = peer->address;
	return peer->host;
}

/* Writes the address of a peer's sockets, of MAG_ADDR_MAX bytes. */
void hint_write_address(const struct hint_peer *peer, char *dst)
{
	char ip[INET_ADDRSTRLEN] = "";

	inet_ntop(AF_INET, &peer->address.sin_addr, ip, sizeof(ip));
	snprintf(dst, MAG_ADDR_MAX, "%s:%d", ip, ntohs(peer->address.sin_port));
}

/* Sums the load of all peers for each worker that they name. */
static void hint_sum_loads(struct hint *hint, int64_t now)
{
	struct wk_table *table = &hint->edge->workers;
	int64_t expiry_us = hint_expiry_us(hint);
	const struct hint_peer *peer;

	hint_load_clear(table, now);
	cds_list_for_each_entry (peer, &hint->peers, node) {
		if (now - peer->received_us > expiry_us)
			continue;
		hint_load_add(table, &peer->loads, peer->received_us);
		hint_limit_add(table, peer->limits, peer->limit_count,
			       peer->received_us, now);
	}
}

/*
 * Returns after how long without a message a peer's load no longer counts.  Of
 * many routers in a data centre each sends to a part of the others at a time.
 */
int64_t hint_expiry_us(const struct hint *hint)
{
	int64_t expiry_us = hint_round_us(hint) * HINT_EXPIRY_INTERVALS;

	return expiry_us > HINT_EXPIRY_US ? expiry_us : HINT_EXPIRY_US;
}

/* Returns the time in which a router sends to each peer of its data centre. */
int64_t hint_round_us(const struct hint *hint)
{
	int routers = edge_routers_per_data_centre(hint->edge);

	return (int64_t)(routers + HINT_LOCAL_PEERS_MAX - 1) /
	       HINT_LOCAL_PEERS_MAX * HINT_INTERVAL_US;
}

/*
 * Smooths caller demand; the parts of limits are computed from the demand as
 * reported.
 */
static void hint_update_demand(struct hint *hint, int64_t now)
{
	uint64_t requests = hint->edge->met.counters[MET_REQUESTS];
	double elapsed_us = (double)(now - hint->demand_us);
	double weight = elapsed_us / HINT_DEMAND_SMOOTHING_US;
	struct edge_service *service;
	double rate;

	if (elapsed_us <= 0)
		return;
	if (weight > 1)
		weight = 1;
	rate = (double)(requests - hint->requests) * MAG_US_PER_S / elapsed_us;
	hint->demand += weight * (rate - hint->demand);
	hint->requests = requests;
	hint->demand_us = now;
	hint->self.demand = hint->demand;
	cds_list_for_each_entry (service, &hint->edge->services, node) {
		rate = (double)(service->requests - service->requests_counted) *
		       MAG_US_PER_S / elapsed_us;
		service->demand += weight * (rate - service->demand);
		service->requests_counted = service->requests;
	}
}

/* Sets this router's part of each limit that a worker has advertised. */
static void hint_update_limit_parts(struct hint *hint, int64_t now)
{
	struct edge_service *service;
	struct wk *wk;

	cds_list_for_each_entry (wk, &hint->edge->workers.attended, attended) {
		if (!wk->proc.adv.thr.limited)
			continue;
		cds_list_for_each_entry (service, &hint->edge->services, node)
			hint_update_service_parts(hint, service, now);
		return;
	}
}

/* Computes this router's parts of the limits of a service's workers. */
static void hint_update_service_parts(struct hint *hint,
				      const struct edge_service *service,
				      int64_t now)
{
	const struct hint_router *routers = NULL;
	int count = 0;
	struct wk *wk;

	cds_list_for_each_entry (wk, &hint->edge->workers.attended, attended) {
		if (!wk->proc.adv.thr.limited ||
		    strcmp(wk->entry.service, service->name) != 0)
			continue;
		if (!routers)
			routers = hint_list_senders(hint, service->name, now,
						    &count);
		thr_set_fraction(
			&wk->proc.adv.thr,
			hint_limit_part(routers, count, hint->self.id, wk),
			now);
	}
}

/* Returns this router's part of the limit that a worker has advertised. */
double hint_own_limit_part(struct edge *edge, const struct wk *wk, int64_t now)
{
	struct hint *hint = edge->hint;
	int count;
	const struct hint_router *routers =
		hint_list_senders(hint, wk->entry.service, now, &count);

	return hint_limit_part(routers, count, hint->self.id, wk);
}

/*
 * The same as hint_list_routers, with what each of them has to send to a
 * service, or all that its callers send if it does not report that.
 */
static const struct hint_router *hint_list_senders(struct hint *hint,
						   const char *service,
						   int64_t now, int *count)
{
	const struct hint_router *routers = hint_list_routers(hint, now, count);
	uint32_t hash = htab_hash(service);
	const struct hint_peer *peer;
	int i = 0;

	if (hint->router_max == 0)
		return routers;
	hint->routers[i++].demand =
		edge_service(hint->edge, service, now)->demand;
	cds_list_for_each_entry (peer, &hint->peers, node) {
		if (i >= *count)
			break;
		if (now - peer->received_us > HINT_MEMBER_EXPIRY_US)
			continue;
		if (peer->demands_us &&
		    now - peer->demands_us <= HINT_MEMBER_EXPIRY_US)
			hint->routers[i].demand =
				hint_demand_find(&peer->demands, hash);
		i++;
	}
	return hint->routers;
}

/*
 * Lists this router and its recent senders; valid until the next call.  Without
 * memory for all of them, fewer share the limits.
 */
const struct hint_router *hint_list_routers(struct hint *hint, int64_t now,
					    int *count)
{
	const struct hint_peer *peer;
	struct hint_router *routers;
	int max = hint->peer_count + 1;

	if (max > hint->router_max) {
		routers =
			realloc(hint->routers, (size_t)max * sizeof(*routers));
		if (routers) {
			hint->routers = routers;
			hint->router_max = max;
		}
	}
	*count = 1;
	if (hint->router_max == 0)
		return &hint->self;
	hint->routers[0] = hint->self;
	cds_list_for_each_entry (peer, &hint->peers, node) {
		if (*count < hint->router_max &&
		    now - peer->received_us <= HINT_MEMBER_EXPIRY_US)
			hint->routers[(*count)++] = peer->router;
	}
	return hint->routers;
}
