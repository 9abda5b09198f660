#include <malloc.h>
#include <sodium.h>

#include "../regress/net.h"
#include "cnt.h"
#include "log.h"

/*
 * Measures the cost of peer coordination per instance: many fleets run in one
 * process in virtual time.  Arguments: data centres, instances, limits,
 * seconds.  Each second the demand of a tenth of the limits changes; a
 * revision is published 0.44 times per second and an endpoint leaves every
 * 50 s.
 */

#define CHANGES_PER_S 0.44
#define WARMUP_S      30

struct bench {
	struct net net;
	struct cfg_set set;
	uint64_t revision;
	uint64_t told[NET_MAX];
	uint64_t shares;
};

struct sum {
	int count;
	double sent;
	double received;
	double bytes;
	double most_bytes;
	double work;
};

static void on_news(struct net *net, int node, const struct fleet_update *news)
{
	struct bench *bench = net->ctx;

	if (news->type == FLEET_UPDATE_SHARE)
		bench->shares++;
	if (news->type == FLEET_UPDATE_REVISION)
		fleet_note_revision(net->nodes[node].fleet,
				    news->revision.revision, net->now);
}

/* Changes demands, publishes revisions and lets endpoints leave. */
static void generate_changes(struct bench *bench, long step)
{
	struct net *net = &bench->net;
	size_t i;
	int n;

	if (step % 227 == 0)
		fleet_note_revision(
			net->nodes[net_random(net) % net->count].fleet,
			++bench->revision, net->now);
	if (step % 5000 == 0)
		fleet_note_leaving(
			net->nodes[net_random(net) % net->count].fleet,
			step % 10000 ? "e1" : "e2", true, net->now);
	if (step % 100)
		return;
	for (n = 0; n < net->count; n++) {
		for (i = 0; i < bench->set.limit_count; i++) {
			if (net_random(net) % 10 == 0)
				fleet_note_demand(net->nodes[n].fleet, (int)i,
						  net_random(net) % 100);
		}
	}
}

static void reset_counters(struct net *net)
{
	int i;

	for (i = 0; i < net->count; i++) {
		struct net_node *node = &net->nodes[i];

		node->sent = 0;
		node->received = 0;
		node->bytes_in = 0;
		node->bytes_out = 0;
		node->work_ns = 0;
	}
	net->calls = 0;
}

static void add(struct sum *sum, const struct net_node *node, double seconds)
{
	double bytes = (double)(node->bytes_in + node->bytes_out) / seconds;

	sum->count++;
	sum->sent += (double)node->sent / seconds;
	sum->received += (double)node->received / seconds;
	sum->bytes += bytes;
	sum->work += (double)node->work_ns / seconds / 1000;
	if (bytes > sum->most_bytes)
		sum->most_bytes = bytes;
}

static void print_row(const struct bench *bench, const char *role,
		      const struct sum *sum, double memory, double seconds)
{
	double n = sum->count ? sum->count : 1;

	printf("%s\t%d\t%d\t%zu\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\n",
	       role, bench->net.dcs, bench->net.count, bench->set.limit_count,
	       sum->sent / n, sum->received / n, sum->bytes / n,
	       sum->most_bytes, sum->work / n, memory,
	       (double)bench->net.calls / seconds);
}

static double heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd);
}

/* Measures the cost of two clock reads, which is subtracted from results. */
static void calibrate_timer(struct net *net)
{
	uint64_t least = UINT64_MAX;
	int i;

	net->timed = true;
	for (i = 0; i < 10000; i++) {
		uint64_t since = net_clock(net);
		uint64_t took = net_clock(net) - since;

		least = took < least ? took : least;
	}
	net->timer_ns = least;
}

static void run(struct bench *bench, long seconds)
{
	long step;

	for (step = 0; step < (WARMUP_S + seconds) * 100; step++) {
		if (step == WARMUP_S * 100)
			reset_counters(&bench->net);
		generate_changes(bench, step);
		net_step(&bench->net);
	}
}

int main(int argc, char **argv)
{
	struct bench *bench = calloc(1, sizeof(*bench));
	struct sum bridge = { 0 };
	struct sum member = { 0 };
	double before;
	double memory;
	long seconds;
	size_t i;
	int n;

	if (argc < 5 || sodium_init() < 0 || !bench)
		return 1;
	log_set_sink(NULL, NULL);
	seconds = atol(argv[4]);
	bench->set.limit_count = (size_t)atol(argv[3]);
	bench->set.limits =
		calloc(bench->set.limit_count + 1, sizeof(struct cfg_limit));
	for (i = 0; i < bench->set.limit_count; i++) {
		snprintf(bench->set.limits[i].name, MAG_NAME_MAX, "limit%zu",
			 i);
		bench->set.limits[i].requests_per_s = 1000;
	}
	bench->net.set = &bench->set;
	bench->net.news = on_news;
	bench->net.ctx = bench;
	calibrate_timer(&bench->net);
	before = heap_bytes();
	net_init(&bench->net, atoi(argv[1]), atoi(argv[2]));
	run(bench, seconds);
	memory = heap_bytes() - before -
		 (double)(bench->net.queue_cap * sizeof(struct net_message));
	memory /= bench->net.count;
	for (n = 0; n < bench->net.count; n++)
		add(fleet_is_bridge(bench->net.nodes[n].fleet) ? &bridge
							       : &member,
		    &bench->net.nodes[n], (double)seconds);
	print_row(bench, "member", &member, memory, (double)seconds);
	print_row(bench, "bridge", &bridge, memory, (double)seconds);
	return 0;
}
