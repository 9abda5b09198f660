#ifndef NET_H
#define NET_H

/*
 * Simulates many fleets in one process in virtual time.  A message arrives one
 * step later, may be lost or blocked in one direction, and the platform's list
 * of instances arrives with a delay.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <time.h>

#include "fleet.h"
#include "peer_wire.h"

#define NET_MAX	    1024
#define NET_STEP_US (10 * MAG_US_PER_MS)
#define NET_IP_UDP  28 /* bytes of IP and UDP headers per datagram */

struct net_message {
	int from;
	int to;
	int64_t at_us;
	struct peer_msg msg;
};

struct net_node {
	struct fleet *fleet;
	int dc;
	bool alive;
	bool paused;
	uint64_t incarnation;
	uint64_t bytes_out;
	uint64_t bytes_in;
	uint64_t sent;
	uint64_t received;
	uint64_t work_ns; /* processor time, if net.timed */
	bool call_running;
	uint64_t call_id;
	int64_t call_done_us;
};

struct net {
	struct net_node nodes[NET_MAX];
	int count;
	int dcs;
	int64_t now;
	struct net_message *queue;
	size_t queue_len;
	size_t queue_cap;
	bool *cut; /* [from * count + to]: messages are dropped */
	uint64_t random;
	int loss_percent;
	bool platform_down;
	bool platform_cut[NET_MAX]; /* unreachable for this instance */
	bool unlisted[NET_MAX];	    /* missing from the platform's list */
	int64_t platform_delay_us;
	uint64_t calls;
	const char *leaving; /* an endpoint that the list reports as leaving */
	int leaving_seen_by; /* only to this instance; -1: to all */
	const struct cfg_set *set;
	void (*news)(struct net *net, int node,
		     const struct fleet_update *news);
	void (*order)(struct net *net, int node, const struct plc_order *order);
	bool place;
	bool timed;
	uint64_t timer_ns; /* cost of two clock reads, subtracted */
	void *ctx;
};

static inline uint64_t net_clock(const struct net *net)
{
	struct timespec ts;

	if (!net->timed)
		return 0;
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (uint64_t)ts.tv_sec * 1000000000u + (uint64_t)ts.tv_nsec;
}

static inline void net_add_work(struct net *net, int node, uint64_t since)
{
	uint64_t spent = net_clock(net) - since;

	if (spent > net->timer_ns)
		net->nodes[node].work_ns += spent - net->timer_ns;
}

static inline uint32_t net_random(struct net *net)
{
	net->random = net->random * UINT64_C(6364136223846793005) +
		      UINT64_C(1442695040888963407);
	return (uint32_t)(net->random >> 33);
}

static inline void net_name(char name[MAG_NAME_MAX], int node)
{
	snprintf(name, MAG_NAME_MAX, "i%d", node);
}

/* Starts an instance, or restarts it without its state. */
static inline void net_start(struct net *net, int i)
{
	struct net_node *node = &net->nodes[i];
	struct fleet_settings settings = { .seed = (uint64_t)i + 1,
					   .kv_timeout_us = MAG_US_PER_S };

	fleet_free(node->fleet);
	strcpy(settings.cluster, "test");
	net_name(settings.instance, i);
	snprintf(settings.data_centre, MAG_NAME_MAX, "d%d", node->dc);
	snprintf(settings.address, MAG_ADDR_MAX, "%d", i);
	settings.incarnation = ++node->incarnation * 1000 + (uint64_t)i;
	settings.may_place = net->place;
	settings.instances_max = (uint32_t)net->count;
	node->fleet = fleet_new(&settings, net->now);
	node->alive = true;
	node->paused = false;
	node->call_running = false;
	if (net->set)
		fleet_config(node->fleet, net->set, net->now);
}

static inline void net_init(struct net *net, int dcs, int count)
{
	int i;

	net->dcs = dcs;
	net->count = count;
	net->now = MAG_US_PER_S;
	net->random = 7;
	net->leaving_seen_by = -1;
	net->platform_delay_us = 5 * MAG_US_PER_MS;
	net->cut = calloc((size_t)count * (size_t)count, sizeof(bool));
	if (!net->cut)
		abort();
	for (i = 0; i < count; i++) {
		net->nodes[i].dc = i % dcs;
		net_start(net, i);
	}
}

static inline void net_free(struct net *net)
{
	int i;

	for (i = 0; i < net->count; i++)
		fleet_free(net->nodes[i].fleet);
	free(net->queue);
	free(net->cut);
}

static inline void net_send(struct net *net, int from, int to,
			    const struct peer_msg *msg)
{
	char buf[PEER_WIRE_MAX];
	uint64_t since = net_clock(net);
	int len = peer_wire_encode(msg, 1, buf, sizeof(buf));

	net_add_work(net, from, since);
	net->nodes[from].bytes_out += (uint64_t)len + NET_IP_UDP;
	net->nodes[from].sent++;
	if (net->cut[from * net->count + to] || !net->nodes[to].alive ||
	    (net->loss_percent &&
	     net_random(net) % 100 < (uint32_t)net->loss_percent))
		return;
	if (net->queue_len == net->queue_cap) {
		net->queue_cap = net->queue_cap ? 2 * net->queue_cap : 256;
		net->queue = realloc(net->queue,
				     net->queue_cap * sizeof(*net->queue));
	}
	net->queue[net->queue_len++] =
		(struct net_message){ from, to, net->now + NET_STEP_US, *msg };
	net->nodes[to].bytes_in += (uint64_t)len + NET_IP_UDP;
	net->nodes[to].received++;
	since = net_clock(net);
	if (net->timed)
		peer_wire_decode(buf, (size_t)len,
				 &net->queue[net->queue_len - 1].msg);
	net_add_work(net, to, since);
}

static inline void net_receive(struct net *net, struct net_message *m)
{
	uint64_t since = net_clock(net);

	fleet_receive(net->nodes[m->to].fleet, &m->msg, net->now);
	net_add_work(net, m->to, since);
}

/* Delivers the due messages; those for a paused instance stay queued. */
static inline void net_deliver(struct net *net)
{
	size_t remaining = 0;
	size_t count = net->queue_len;
	size_t i;

	for (i = 0; i < count; i++) {
		struct net_message *m = &net->queue[i];
		struct net_node *to = &net->nodes[m->to];

		if (m->at_us > net->now || (to->paused && to->alive))
			net->queue[remaining++] = *m;
		else if (to->alive)
			net_receive(net, m);
	}
	net->queue_len = remaining;
}

/* Returns the platform's list as JSON: the live, listed instances. */
static inline char *net_list_json(struct net *net, int for_node, size_t *len)
{
	char *text = NULL;
	FILE *out = open_memstream(&text, len);
	bool show = net->leaving && (net->leaving_seen_by < 0 ||
				     net->leaving_seen_by == for_node);
	int i;

	fprintf(out, "{\"instances\":[");
	for (i = 0; i < net->count; i++) {
		if (net->nodes[i].alive && !net->unlisted[i])
			fprintf(out,
				"{\"name\":\"i%d\",\"address\":\"%d\","
				"\"data_centre\":\"d%d\",\"state\":\"live\","
				"\"kind\":\"entry\"},",
				i, i, net->nodes[i].dc);
	}
	fprintf(out,
		"{\"name\":\"%s\",\"state\":\"%s\",\"kind\":\"endpoint\"}]}",
		net->leaving ? net->leaving : "e0", show ? "leaving" : "live");
	fclose(out);
	return text;
}

static inline void net_run_platform(struct net *net, int i)
{
	struct net_node *node = &net->nodes[i];
	struct kv_call call;
	struct kv_reply reply = { 0 };

	while (!node->call_running && fleet_next_call(node->fleet, &call)) {
		net->calls++;
		node->call_running = true;
		node->call_id = call.id;
		node->call_done_us = net->now + net->platform_delay_us;
		free(call.value);
	}
	if (!node->call_running || net->now < node->call_done_us)
		return;
	node->call_running = false;
	reply.id = node->call_id;
	reply.status = KV_NOT_SENT;
	if (!net->platform_down && !net->platform_cut[i]) {
		reply.status = KV_OK;
		reply.value = net_list_json(net, i, &reply.len);
	}
	fleet_reply(node->fleet, &reply, net->now);
	free(reply.value);
}

static inline bool net_next_send(struct net *net, int i, char *address,
				 struct peer_msg *msg)
{
	uint64_t since = net_clock(net);
	bool any = fleet_next_send(net->nodes[i].fleet, address, msg);

	net_add_work(net, i, since);
	return any;
}

/* Ticks one instance and processes its messages, news, orders and calls. */
static inline void net_tick(struct net *net, int i)
{
	struct net_node *node = &net->nodes[i];
	struct fleet_update news;
	struct plc_order order;
	char address[MAG_ADDR_MAX];
	struct peer_msg msg;

	if (fleet_next_deadline(node->fleet) <= net->now) {
		uint64_t since = net_clock(net);

		fleet_tick(node->fleet, net->now);
		net_add_work(net, i, since);
	}
	while (net_next_send(net, i, address, &msg))
		net_send(net, i, atoi(address), &msg);
	while (fleet_next_update(node->fleet, &news)) {
		if (net->news)
			net->news(net, i, &news);
	}
	while (fleet_next_order(node->fleet, &order)) {
		if (net->order)
			net->order(net, i, &order);
	}
	net_run_platform(net, i);
}

static inline void net_step(struct net *net)
{
	int i;

	net->now += NET_STEP_US;
	net_deliver(net);
	for (i = 0; i < net->count; i++) {
		if (net->nodes[i].alive && !net->nodes[i].paused)
			net_tick(net, i);
	}
}

/* Blocks or unblocks messages from one instance to another. */
static inline void net_cut(struct net *net, int from, int to, bool cut)
{
	net->cut[from * net->count + to] = cut;
}

#endif /* NET_H */
