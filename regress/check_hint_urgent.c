#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/event.h>

#include "clk.h"
#include "hint_int.h"
#include "pres.h"
#include "script.h"

/* Datagrams after which the router reads its socket, which holds some. */
#define READ_EACH  16
#define LINE_MAX_  256
#define TICK_US	   (10 * MAG_US_PER_MS)
#define WORD_BYTES 4
/* A round is 150 ms, and 36 peers are sent to in each. */
#define DATAGRAMS_MAX (7 * 36)
#define SOURCES_MAX   32

/* What a service is asked for all the time. */
struct source {
	char service[MAG_NAME_MAX];
	int urgency;
	double need_per_s;
};

/*
 * One router in virtual time.  All its peers have the address of one socket of
 * the test, which counts what they would receive.
 */
struct world {
	struct world *next; /* in ended */
	struct edge edge;
	struct event_base *base;
	int sink;
	struct sockaddr_in router;
	int64_t now;
	struct source sources[SOURCES_MAX];
	int source_count;
	int datagrams; /* with demand by urgency */
	size_t bytes;
	size_t longest;
	int services; /* in the last one */
};

static struct world *world;
/*
 * Worlds that are over.  Clients of the store cannot be freed; here they stay
 * reachable, so that the leak check finds only what was lost.
 */
static struct world *ended;
static struct hint_urgent_message sent;

int64_t clk_boot_us(void)
{
	return world->now;
}

int64_t clk_now_us(void)
{
	return world->now;
}

int64_t clk_wall_ms(void)
{
	return world->now / MAG_US_PER_MS;
}

/* Opens a socket on a free port of the loopback. */
static int open_sink(char *address, size_t size)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&addr, len) ||
	    getsockname(fd, (struct sockaddr *)&addr, &len))
		abort();
	snprintf(address, size, "127.0.0.1:%d", ntohs(addr.sin_port));
	return fd;
}

/* Lists the peers r-1 to r-COUNT, in so many data centres. */
static void list_peers(struct pres *pres, const char *address, int count,
		       int centres)
{
	struct wire_item item = { .revision = 1 };
	char value[128];
	int i;

	pres_list_begin(pres);
	for (i = 1; i <= count; i++) {
		snprintf(item.key, sizeof(item.key),
			 PRES_INSTANCE_PREFIX "d-%d/r-%d", i % centres, i);
		snprintf(value, sizeof(value), "%s d-%d 1000", address,
			 i % centres);
		item.value = value;
		item.len = strlen(value);
		pres_item(pres, &item);
	}
	pres_list_end(pres);
}

/* "routers COUNT CENTRES": begins anew with one router of so many. */
static void start_world(int routers, int centres)
{
	static const struct sto_follow_ops no_ops;
	struct pres_settings presence = {
		{ "r-0", "127.0.0.1:1", "d-0", 1000 }, 1000, 1, false
	};
	struct sto_follow_settings follow = { .prefix = "x",
					      .paused = true,
					      .ops = &no_ops };
	struct edge *edge;
	char address[MAG_ADDR_MAX];
	char own[MAG_ADDR_MAX];
	char name[MAG_NAME_MAX];
	socklen_t len;
	int i;

	world = calloc(1, sizeof(*world));
	edge = &world->edge;
	world->now = 100 * MAG_US_PER_S;
	world->base = event_base_new();
	world->sink = open_sink(address, sizeof(address));
	edge->base = world->base;
	edge->seed = 1;
	edge->hc = hc_new(world->base);
	snprintf(edge->set.instance, sizeof(edge->set.instance), "r-0");
	snprintf(edge->set.data_centre, sizeof(edge->set.data_centre), "d-0");
	snprintf(edge->set.address, sizeof(edge->set.address), "127.0.0.1");
	edge->set.retry_window_us = 100 * MAG_US_PER_S;
	edge_init(edge);
	attest_init(&edge->attest, 1, 1);
	CDS_INIT_LIST_HEAD(&edge->requests);
	for (i = 0; i < centres; i++) {
		snprintf(name, sizeof(name), "d-%d", i);
		edge_data_centre_index(edge, name);
	}
	wk_init(&edge->workers, edge->hc);
	edge->quar = quar_new(16, MAG_US_PER_S);
	edge->traits = quar_traits_new(16, MAG_US_PER_S);
	if (sto_new(edge->hc, address, 1, &edge->sto) ||
	    sto_follow(edge->sto, &follow, &edge->follow))
		abort();
	edge->pres = pres_new(edge->sto, &presence);
	list_peers(edge->pres, address, routers - 1, centres);
	if (hint_new(edge, open_sink(own, sizeof(own)), &edge->hint))
		abort();
	len = sizeof(world->router);
	getsockname(edge->hint->fd, (struct sockaddr *)&world->router, &len);
}

static void end_world(void)
{
	if (!world)
		return;
	hint_free(world->edge.hint);
	pres_free(world->edge.pres);
	edge_free_services(&world->edge);
	quar_free(world->edge.quar);
	quar_traits_free(world->edge.traits);
	close(world->sink);
	world->next = ended;
	ended = world;
	world = NULL;
}

static struct edge_service *service(const char *name)
{
	return edge_service(&world->edge, name, world->now);
}

/* Counts the datagrams with demand by urgency that peers were sent. */
static void count_datagrams(void)
{
	static struct hint_urgent_message message;
	char bytes[DGRAM_BYTES_MAX];
	ssize_t received;
	size_t len;

	while ((received = recv(world->sink, bytes, sizeof(bytes), 0)) > 0) {
		len = (size_t)received;
		if (dgram_check(&world->edge.hint->key, bytes, &len) ||
		    hint_urgent_decode(&message, bytes, len))
			continue;
		world->datagrams++;
		world->bytes += (size_t)received;
		world->services = (int)message.count;
		if (len > world->longest)
			world->longest = len;
	}
}

/* Lets so many seconds pass; the router reads its sockets, then ticks. */
static void run_for(double seconds)
{
	int64_t until = world->now + (int64_t)(seconds * MAG_US_PER_S);
	const struct source *source;
	int i;

	while (world->now < until) {
		world->now += TICK_US;
		event_base_loop(world->base, EVLOOP_NONBLOCK);
		for (i = 0; i < world->source_count; i++) {
			source = &world->sources[i];
			urg_arrived(
				&service(source->service)->urg, source->urgency,
				source->need_per_s * TICK_US / MAG_US_PER_S);
		}
		hint_tick(world->edge.hint, world->now);
		count_datagrams();
	}
}

/* Prints what this router sends in the next second. */
static void measure(FILE *out, const char *what)
{
	world->datagrams = 0;
	world->bytes = 0;
	world->longest = 0;
	world->services = 0;
	run_for(1);
	fprintf(out, "%s: %d datagrams, %zu bytes a second, %d services%s\n",
		what, world->datagrams, world->bytes, world->services,
		world->datagrams > DATAGRAMS_MAX ||
				world->longest > HINT_URGENT_BYTES
			? ", BEYOND THE LIMIT"
			: "");
}

/* Requests of an urgency arrive all the time from now on. */
static void add_source(const char *name, int urgency, double need_per_s)
{
	struct source *source = &world->sources[world->source_count++];

	snprintf(source->service, sizeof(source->service), "%s", name);
	source->urgency = urgency;
	source->need_per_s = need_per_s;
}

/* "traffic ROUTERS CENTRES": what one of so many sends. */
static void measure_traffic(FILE *out, int routers, int centres)
{
	char name[2] = "a";

	start_world(routers, centres);
	add_source("model", 514, 40000);
	run_for(2);
	measure(out, "one urgency, capacity");
	service("model")->short_us = world->now;
	measure(out, "one urgency, none");
	add_source("model", 1285, 80000);
	run_for(10);
	measure(out, "two urgencies, capacity lacked long ago");
	service("model")->short_us = world->now;
	measure(out, "two urgencies, none");
	for (; name[0] <= 'i'; name[0]++) {
		add_source(name, 0, 9);
		add_source(name, 9, 9);
		service(name)->short_us = world->now;
	}
	run_for(1);
	measure(out, "ten services");
	run_for(4);
	measure(out, "five seconds later");
}

/* Sends the router a datagram, which it reads when it next runs. */
static void send_router(const char *bytes, size_t len)
{
	if (dgram_send(world->sink, &world->edge.hint->key, &world->router,
		       bytes, len))
		abort();
}

/*
 * "strangers N": so many routers that it has not heard of before send a message
 * each, within a second or so; prints how many peers the router keeps then, and
 * how many messages it has dropped for that.
 */
static void send_strangers(FILE *out, int n)
{
	static struct hint_message message = {
		.part_count = 1,
		.store_pos = { POS_ERA_NONE, 0 },
	};
	static int stranger;
	char bytes[HINT_BYTES_MAX];
	size_t len;
	int i;

	for (i = 0; i < n; i++) {
		snprintf(message.name, sizeof(message.name), "s-%d",
			 stranger++);
		if (hint_msg_encode(&message, bytes, &len))
			abort();
		send_router(bytes, len);
		if (i % READ_EACH == 0)
			event_base_loop(world->base, EVLOOP_NONBLOCK);
	}
	run_for(1);
	fprintf(out, "peers %d, dropped %llu\n", world->edge.hint->peer_count,
		(unsigned long long)
			world->edge.hint->drops.counts[HINT_DROP_PEERS]);
}

/* "peer NAME SERVICE URGENCY NEED": a peer reports, after its other message. */
static void send_report(const char *name, const char *to, int urgency,
			double need)
{
	static struct hint_message other = {
		.part_count = 1,
		.store_pos = { POS_ERA_NONE, 0 },
	};
	struct hint_urgent_message message = { .count = 1 };
	char bytes[HINT_BYTES_MAX];
	size_t len;

	snprintf(other.name, sizeof(other.name), "%s", name);
	snprintf(message.name, sizeof(message.name), "%s", name);
	if (hint_msg_encode(&other, bytes, &len))
		abort();
	send_router(bytes, len);
	message.services[0].service = htab_hash(to);
	message.services[0].count = 1;
	message.services[0].reports[0] = (struct urg_report){ urgency, need };
	if (hint_urgent_encode(&message, bytes, &len))
		abort();
	send_router(bytes, len);
}

/* "reserve SERVICE URGENCY CAPACITY": as a caller's request asks for it. */
static void print_reserve(FILE *out, const char *name, int urgency,
			  double capacity)
{
	hint_drop_expired(world->edge.hint, world->now);
	fprintf(out, "reserve %.3f\n",
		urg_reserve(&service(name)->urg, urgency, capacity));
}

/* "services N REPORTS": a message with so many services and reports of each. */
static void fill_message(int services, int reports)
{
	int i;
	int k;

	memset(&sent, 0, sizeof(sent));
	snprintf(sent.name, sizeof(sent.name), "r-1");
	sent.count = (uint32_t)services;
	for (i = 0; i < services && i < HINT_URGENT_SERVICES_MAX; i++) {
		sent.services[i].service = (uint32_t)i + 1;
		sent.services[i].count = (uint32_t)reports;
		for (k = 0; k < reports && k < HINT_URGENT_REPORTS_MAX; k++)
			sent.services[i].reports[k] =
				(struct urg_report){ k << 8 | i,
						     1000.0 * k + 0.5 };
	}
}

/*
 * "pass": encodes and decodes the message; "pass WORD VALUE": with a word of
 * the datagram replaced; "pass cut N": with N bytes missing.
 */
static void pass_message(FILE *out, int word, uint32_t value, int cut)
{
	static struct hint_urgent_message read;
	char bytes[HINT_URGENT_BYTES];
	const struct hint_urgent *last;
	uint32_t net = htonl(value);
	size_t len;

	if (hint_urgent_encode(&sent, bytes, &len)) {
		fprintf(out, "not encoded\n");
		return;
	}
	if (word >= 0)
		memcpy(bytes + (size_t)word * WORD_BYTES, &net, sizeof(net));
	if (hint_urgent_decode(&read, bytes, len - (size_t)cut)) {
		fprintf(out, "rejected\n");
		return;
	}
	fprintf(out, "%zu bytes, from %s, %u services", len, read.name,
		read.count);
	if (read.count > 0) {
		last = &read.services[read.count - 1];
		fprintf(out, ", last %u", last->service);
		if (last->count > 0)
			fprintf(out, ": %u reports, last %d %.1f", last->count,
				last->reports[last->count - 1].urgency,
				last->reports[last->count - 1].need_per_s);
	}
	fprintf(out, "\n");
}

/* "long name": the message with a name as long as it may be. */
static void set_long_name(void)
{
	memset(sent.name, 'n', sizeof(sent.name) - 1);
}

/* Runs a command about a router; false if it is not one. */
static bool run_router(FILE *out, const char *line)
{
	char name[MAG_NAME_MAX];
	char peer[MAG_NAME_MAX];
	double number;
	int n;
	int m;

	if (sscanf(line, "routers %d %d", &n, &m) == 2) {
		end_world();
		start_world(n, m);
	} else if (sscanf(line, "asks %63s %d %lf", name, &n, &number) == 3) {
		add_source(name, n, number);
	} else if (strncmp(line, "asks none", 9) == 0) {
		world->source_count = 0;
	} else if (sscanf(line, "run %lf", &number) == 1) {
		run_for(number);
	} else if (sscanf(line, "pause %lf", &number) == 1) {
		world->now += (int64_t)(number * MAG_US_PER_S);
	} else if (sscanf(line, "stopped %lf", &number) == 1) {
		/* A pause that ends with a tick, before sockets are read. */
		world->now += (int64_t)(number * MAG_US_PER_S);
		hint_tick(world->edge.hint, world->now);
	} else if (sscanf(line, "strangers %d", &n) == 1) {
		send_strangers(out, n);
	} else if (sscanf(line, "traffic %d %d", &n, &m) == 2) {
		end_world();
		measure_traffic(out, n, m);
	} else if (sscanf(line, "peer %63s %63s %d %lf", peer, name, &n,
			  &number) == 4) {
		send_report(peer, name, n, number);
	} else if (sscanf(line, "reserve %63s %d %lf", name, &n, &number) ==
		   3) {
		print_reserve(out, name, n, number);
	} else {
		return false;
	}
	return true;
}

static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	uint32_t value;
	int n;
	int m;

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "services %d %d", &n, &m) == 2)
			fill_message(n, m);
		else if (sscanf(line, "pass cut %d", &n) == 1)
			pass_message(out, -1, 0, n);
		else if (sscanf(line, "pass %d %x", &n, &value) == 2)
			pass_message(out, n, value, 0);
		else if (strncmp(line, "pass", 4) == 0)
			pass_message(out, -1, 0, 0);
		else if (strncmp(line, "long name", 9) == 0)
			set_long_name();
		else if (!run_router(out, line))
			fprintf(out, "unknown command\n");
	}
	end_world();
}

int main(void)
{
	return script_main("regress/hint_urgent", run_script);
}
