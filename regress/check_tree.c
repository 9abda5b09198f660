#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf.h"
#include "pl_store.h"
#include "rel_msg.h"
#include "script.h"
#include "tree.h"
#include "xfer.h"

#define LINE_MAX_   256
#define STEP_US	    (10 * MAG_US_PER_MS)
#define BOUND_US    (5 * MAG_US_PER_S) /* of a change, and of removed keys */
#define COALESCE_US (800 * MAG_US_PER_MS)
#define QUERY_US    MAG_US_PER_S
#define RETRY_US    (500 * MAG_US_PER_MS)
#define TIMEOUT_US  (300 * MAG_US_PER_MS)
#define FAST_LINKS  25 /* routers of a data centre with a faster link */
#define START_US    (100 * MAG_US_PER_S)
#define STORE_PAGES 9 /* calls of a complete list */
/* Datagrams between routers, as hint.c sends them. */
#define HINT_US		  (150 * MAG_US_PER_MS)
#define HINT_LOCAL_PEERS  32
#define REVISIONS_MAX	  64
#define ROUTE_BYTES	  320
#define ANSWER_HEAD_BYTES 160 /* with that of HTTP */
#define WORKERS		  93

/*
 * A fleet of routers and a store in virtual time: each router follows the store
 * or another router, as tree.c decides, and a message takes one step.  With
 * "routes", an answer takes as long as its bytes need on the links, of which
 * each one is shared equally by the answers on it.
 */
struct router {
	struct pres_peer self;
	struct tree tree;
	bool up;
	bool frozen;	    /* it runs no more, but its connections stay */
	bool cut;	    /* from the store */
	bool rejected;	    /* by the store */
	bool marked;	    /* see tree.h */
	int next_peer;	    /* to send a datagram to */
	bool gone;	    /* its machine was removed */
	int source;	    /* a router, TREE_STORE or TREE_WAIT */
	long long revision; /* 0: nothing is known */
	int64_t fresh_us;
	int64_t joined_us;
	/* Followers of the store. */
	int64_t watch_us; /* not before then */
	int64_t query_us;
	/* The poll in progress. */
	int poll_to; /* -1: none */
	int candidate;
	int64_t sent_us;
	int64_t answer_by_us;
	/* Its answer on the way. */
	bool receiving;
	long long answer_revision;
	double answer_bytes;
	struct xfer xfer;
	int sending;	   /* answers that this router sends now */
	double sent_bytes; /* since the last "busiest" */
};

/* The store's items; without "routes" there are none, and answers are empty. */
static struct mir store;
static int route_count;
static unsigned int route_generation; /* of the next routes that change */
static long long config_version;
static double answer_sizes[REVISIONS_MAX][REVISIONS_MAX]; /* after, up to */

static struct router *routers;
static int count;
static int64_t now;
static bool store_up;
static long long newest; /* revision of the store */
static int64_t changed_us;
static long calls;
static int64_t oldest_us; /* greatest age of any router's data */
static int rejects_left;  /* routers that the store is still to reject */

static bool is_running(const struct router *router)
{
	return router->up && !router->frozen;
}

/* Notes how large the answer is for a follower at each earlier revision. */
static void measure_answers(void)
{
	struct rel_items items;
	long long after;

	for (after = 0; mir_may_serve(&store) && after < newest; after++) {
		if (rel_items_encode(&store, after, &items))
			continue;
		answer_sizes[after][newest] =
			(double)items.len + ANSWER_HEAD_BYTES;
		rel_items_free(&items);
	}
}

/* A route with names that are hardly alike, as those of users are. */
static int write_route(char *to, size_t size, int i, unsigned int generation)
{
	uint64_t seed = ((uint64_t)i + 1) * 0x9e3779b97f4a7c15ULL;
	char host[16];
	int k;

	for (k = 0; k < 15; k++)
		host[k] = (char)('a' + mag_random(&seed) % 26);
	host[k] = '\0';
	return snprintf(to, size,
			"%s{\"Name\":\"r-%.7s%d\",\"Host\":\"%s.example\","
			"\"PathPrefix\":\"/%.8s/\",\"Kind\":\"idempotent\","
			"\"TimeoutMs\":%u,\"TargetLatencyMs\":300,"
			"\"MaxAttempts\":2,\"Priority\":2,"
			"\"AuthExempt\":true,\"Service\":\"app\"}",
			i ? "," : "", host, i, host + 3, host + 6,
			800 + generation);
}

/*
 * Writes a configuration in which the last routes up to changed have the
 * present generation.
 */
static void write_config(int changed)
{
	static unsigned int generations[1 << 16];
	size_t size = 4096 + (size_t)route_count * ROUTE_BYTES;
	struct wire_item item = { .key = PL_CONFIG_KEY, .revision = newest };
	size_t len;
	int i;

	item.value = malloc(size);
	for (i = route_count - changed; i < route_count; i++)
		generations[i] = route_generation;
	len = (size_t)snprintf(
		item.value, size,
		"{\"Version\":%lld,\"Limits\":{\"MaxHeaderBytes\":16384,"
		"\"MaxBodyBytes\":65536,\"HeaderTimeoutMs\":3000,"
		"\"IdleTimeoutMs\":15000},\"Services\":[{\"Name\":\"app\","
		"\"HealthPath\":\"/healthz\",\"MaxConnections\":900}],"
		"\"Tenants\":[],\"Routes\":[",
		++config_version);
	for (i = 0; i < route_count; i++)
		len += (size_t)write_route(item.value + len, size - len, i,
					   generations[i]);
	len += (size_t)snprintf(item.value + len, size - len, "]}");
	item.len = len;
	conf_mirror(&store, &item);
	free(item.value);
}

/* Writes a worker's entry; it leaves if draining. */
static void write_worker(int i, bool draining)
{
	struct wire_item item = { .revision = newest };
	char value[256];

	snprintf(item.key, sizeof(item.key), "servers/i-%d", i);
	item.len = (size_t)snprintf(
		value, sizeof(value),
		"{\"Service\":\"app\",\"Address\":\"10.1.64.%d:8384\","
		"\"Zone\":\"a\",\"Slots\":6,\"State\":\"%s\"}",
		i, draining ? "draining" : "ready");
	item.value = value;
	mir_put(&store, &item);
}

/* "routes N": the store's items, which all routers of the fleet know. */
static void set_routes(int n)
{
	int i;

	mir_clear(&store);
	mir_list_begin(&store);
	route_count = n;
	for (i = 0; i < WORKERS; i++)
		write_worker(i, false);
	write_config(n);
	mir_list_end(&store, newest);
	measure_answers();
	for (i = 0; i < count; i++)
		routers[i].revision = newest;
}

/* A change of the store: "add N" or "alter N" routes, or "leave" of a worker.
 */
static bool change_items(const char *line)
{
	static int leaving;
	int n = 0;

	if (strncmp(line, "leave", 5) != 0 && sscanf(line, "add %d", &n) != 1 &&
	    sscanf(line, "alter %d", &n) != 1)
		return false;
	newest++;
	changed_us = now;
	route_generation++;
	if (line[0] == 'l') {
		write_worker(leaving++ % WORKERS, true);
	} else {
		if (line[1] == 'd')
			route_count += n;
		write_config(n);
	}
	measure_answers();
	return true;
}

static int find_router(const char *name)
{
	return atoi(name + 2);
}

/* Starts a router's process: it knows the list of routers, and nothing else. */
static void start_router(struct router *router)
{
	const struct pres_peer **peers =
		calloc((size_t)count, sizeof(const struct pres_peer *));
	int found = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (&routers[i] != router)
			peers[found++] = &routers[i].self;
	}
	tree_init(&router->tree, &router->self,
		  ((uint64_t)(router - routers) + 1) * 0x9e3779b97f4a7c15ULL,
		  BOUND_US);
	tree_update(&router->tree, peers, found);
	free(peers);
	router->up = true;
	router->frozen = false;
	router->source = TREE_WAIT;
	router->revision = 0;
	router->fresh_us = 0;
	router->joined_us = now;
	router->watch_us = 0;
	router->query_us = 0;
	router->poll_to = -1;
	router->marked = false;
}

/* "fleet ROUTERS DATA_CENTRES": all routers start at the same moment. */
static void start_fleet(int n, int centres)
{
	int i;

	free(routers);
	routers = calloc((size_t)n, sizeof(*routers));
	count = n;
	now = START_US;
	store_up = true;
	newest = 1;
	mir_clear(&store);
	memset(answer_sizes, 0, sizeof(answer_sizes));
	calls = 0;
	oldest_us = 0;
	for (i = 0; i < n; i++) {
		snprintf(routers[i].self.name, MAG_NAME_MAX, "r-%d", i);
		snprintf(routers[i].self.address, MAG_ADDR_MAX, "10.%d:1", i);
		snprintf(routers[i].self.data_centre, MAG_NAME_MAX, "dc-%d",
			 i % centres);
		routers[i].self.link_mbps =
			i / centres < FAST_LINKS ? 1000 : 50;
	}
	for (i = 0; i < n; i++)
		start_router(&routers[i]);
}

/* Returns whether the store answers a router; it may be the next to reject. */
static bool asks_store(struct router *router)
{
	if (rejects_left && !router->rejected) {
		router->rejected = true;
		rejects_left--;
	}
	return store_up && !router->cut && !router->rejected;
}

/* A follower of the store: its watch, and queries where that is silent. */
static void step_store(struct router *router)
{
	bool reached;

	if (router->revision < newest && now >= router->watch_us) {
		reached = asks_store(router);
		calls += router->revision ? 1 : STORE_PAGES;
		router->watch_us = now + (reached ? COALESCE_US : RETRY_US);
		if (reached) {
			router->revision = newest;
			router->fresh_us = now;
		}
	}
	if (now - router->fresh_us >= QUERY_US && now >= router->query_us) {
		calls++;
		router->query_us = now + RETRY_US;
		reached = asks_store(router);
		if (reached)
			router->fresh_us = now;
	}
}

static void send_poll(struct router *router, int candidate)
{
	int to = find_router(router->tree.candidates[candidate].name);

	router->candidate = candidate;
	router->poll_to = to;
	router->sent_us = now;
	router->answer_by_us =
		now +
		(router->source == to || !router->fresh_us
			 ? tree_wait_us(&router->tree, router->fresh_us, now)
			 : 0);
}

/* The router that was polled answers. */
static void receive_answer(struct router *router, const struct router *from)
{
	struct tree_answer answer = {
		.fresh_us = from->fresh_us,
		.marked = from->marked,
		.is_source = router->source == (int)(from - routers),
		.own_us = router->fresh_us,
	};
	bool good;

	router->poll_to = -1;
	if (from->revision == 0 || from->revision < router->revision ||
	    router->answer_revision < router->revision) {
		tree_on_empty(&router->tree, router->candidate, now);
		return;
	}
	good = tree_on_answer(&router->tree, router->candidate, &answer, now);
	if (good || router->source == TREE_WAIT) {
		router->source = (int)(from - routers);
		router->marked =
			from->marked || router->candidate == TREE_HEARD;
	}
	if (router->source == TREE_STORE)
		return;
	router->revision = router->answer_revision;
	if (from->fresh_us > router->fresh_us)
		router->fresh_us = from->fresh_us;
}

/* Stops the answer that a router waits for. */
static void fail_poll(struct router *router)
{
	if (router->receiving)
		routers[router->poll_to].sending--;
	router->receiving = false;
	router->poll_to = -1;
	tree_on_failure(&router->tree, router->candidate, now);
}

/* An answer on its way comes as fast as both links allow. */
static void step_transfer(struct router *router)
{
	struct router *from = &routers[router->poll_to];
	double own = router->self.link_mbps;
	double share = (double)from->self.link_mbps / from->sending;
	double bytes = (own < share ? own : share) / 8 * STEP_US;
	struct xfer *xfer = &router->xfer;

	if (bytes > router->answer_bytes - (double)xfer->received)
		bytes = router->answer_bytes - (double)xfer->received;
	xfer_receive(xfer, (size_t)bytes + 1, now);
	from->sent_bytes += bytes;
	if ((double)xfer->received >= router->answer_bytes) {
		from->sending--;
		router->receiving = false;
		receive_answer(router, from);
	} else if (now >= xfer_deadline_us(xfer)) {
		fail_poll(router);
	}
}

/* The router that was polled sends all that it knows now. */
static void begin_answer(struct router *router, struct router *from)
{
	long long after = router->revision;

	router->answer_revision = from->revision;
	router->answer_bytes = 0;
	if (mir_may_serve(&store) && from->revision > after)
		router->answer_bytes = answer_sizes[after][from->revision];
	router->xfer = (struct xfer){ .begin_by_us = router->answer_by_us +
						     TIMEOUT_US };
	if (router->answer_bytes == 0) {
		receive_answer(router, from);
		return;
	}
	router->receiving = true;
	from->sending++;
}

static void step_poll(struct router *router)
{
	struct router *to = &routers[router->poll_to];
	bool may_answer = to->revision && to->revision >= router->revision;

	if (!to->up ||
	    (!is_running(to) &&
	     now >= (to->gone ? router->sent_us : router->answer_by_us) +
			     TIMEOUT_US)) {
		fail_poll(router);
	} else if (router->receiving) {
		if (is_running(to))
			step_transfer(router);
	} else if (is_running(to) && now > router->sent_us &&
		   (now >= router->answer_by_us ||
		    (may_answer && (to->revision > router->revision ||
				    to->fresh_us > router->sent_us)))) {
		begin_answer(router, to);
	}
}

/* A call that shows whether the store serves a router that does not follow it.
 */
static void probe_store(struct router *router)
{
	calls++;
	if (!asks_store(router))
		return;
	tree_on_probe(&router->tree, now);
	if (router->receiving)
		routers[router->poll_to].sending--;
	router->receiving = false;
	router->poll_to = -1;
	router->source = TREE_STORE;
	router->marked = false;
}

/* A poll is left if there is a better source. */
static void leave_poll(struct router *router, int64_t fresh_us)
{
	if (router->poll_to < 0 || router->receiving ||
	    router->candidate == TREE_HEARD ||
	    tree_choose(&router->tree, fresh_us, now) != TREE_HEARD)
		return;
	router->poll_to = -1;
}

static void step_router(struct router *router)
{
	int64_t fresh_us =
		router->fresh_us ? router->fresh_us : router->joined_us;
	int choice;

	if (router->source == TREE_STORE)
		step_store(router);
	else if (tree_probe_due(&router->tree, fresh_us, now))
		probe_store(router);
	leave_poll(router, fresh_us);
	if (router->poll_to >= 0) {
		step_poll(router);
		return;
	}
	choice = tree_choose(&router->tree, fresh_us, now);
	if (choice == TREE_STORE) {
		router->source = TREE_STORE;
		router->marked = false;
	} else if (choice >= 0) {
		send_poll(router, choice);
	}
}

/* Sends datagrams to the next routers of the data centre, and to one other. */
static void send_hints(struct router *router)
{
	struct router *peer;
	int local = 0;
	int remote = 0;
	int i;

	for (i = 1; i < count && (local < HINT_LOCAL_PEERS || !remote); i++) {
		router->next_peer = (router->next_peer + 1) % count;
		peer = &routers[router->next_peer];
		if (strcmp(peer->self.data_centre, router->self.data_centre) ==
		    0)
			local++;
		else if (remote++)
			continue;
		if (local <= HINT_LOCAL_PEERS && is_running(peer) &&
		    peer != router && router->fresh_us > peer->fresh_us)
			tree_hear(&peer->tree, router->self.name,
				  router->self.address, router->fresh_us, now);
	}
}

static void step(void)
{
	int i;

	now += STEP_US;
	for (i = 0; i < count; i++) {
		if (!is_running(&routers[i]))
			continue;
		if (routers[i].fresh_us &&
		    now / HINT_US != (now - STEP_US) / HINT_US)
			send_hints(&routers[i]);
		step_router(&routers[i]);
		if (routers[i].fresh_us && !routers[i].cut &&
		    now - routers[i].fresh_us > oldest_us)
			oldest_us = now - routers[i].fresh_us;
	}
}

static int count_behind(void)
{
	int behind = 0;
	int i;

	for (i = 0; i < count; i++)
		behind += is_running(&routers[i]) && !routers[i].cut &&
			  routers[i].revision < newest;
	return behind;
}

static int count_followers(void)
{
	int followers = 0;
	int i;

	for (i = 0; i < count; i++)
		followers += is_running(&routers[i]) &&
			     routers[i].source == TREE_STORE;
	return followers;
}

/* "known MS": runs until all know the newest change, at most so long after it.
 */
static void wait_known(FILE *out, long ms)
{
	while (count_behind() && now < changed_us + ms * MAG_US_PER_MS)
		step();
	if (count_behind())
		fprintf(out, "%d routers do not know it\n", count_behind());
	else
		fprintf(out, "all know it within %ld ms\n", ms);
}

/* "run MS CALLS FOLLOWERS AGE_MS": prints what exceeds its bound meanwhile. */
static void run(FILE *out, long ms, long calls_max, int followers_max,
		long age_ms)
{
	int64_t end_us = now + ms * MAG_US_PER_MS;
	int followers = 0;

	calls = 0;
	oldest_us = 0;
	while (now < end_us) {
		step();
		if (count_followers() > followers)
			followers = count_followers();
	}
	if (calls > calls_max)
		fprintf(out, "too many calls: %ld\n", calls);
	if (followers > followers_max)
		fprintf(out, "too many follow the store: %d\n", followers);
	if (oldest_us > age_ms * MAG_US_PER_MS)
		fprintf(out, "data is too old: %ld ms\n",
			(long)(oldest_us / MAG_US_PER_MS));
	if (calls <= calls_max && followers <= followers_max &&
	    oldest_us <= age_ms * MAG_US_PER_MS)
		fprintf(out, "in bounds\n");
}

/*
 * "busiest KB": prints how much one router has sent since the last time if it
 * is more than that.
 */
static void print_busiest(FILE *out, long kb)
{
	double most = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (routers[i].sent_bytes > most)
			most = routers[i].sent_bytes;
		routers[i].sent_bytes = 0;
	}
	if (most > (double)kb * 1000)
		fprintf(out, "too many: %.0f KB\n", most / 1000);
	else
		fprintf(out, "in bounds\n");
}

/* "links N FAST SLOW": Mbit/s of the first N of each data centre, and others.
 */
static void set_links(int n, int centres, int fast, int slow)
{
	int i;

	for (i = 0; i < count; i++)
		routers[i].self.link_mbps = i / centres < n ? fast : slow;
	for (i = 0; i < count; i++)
		start_router(&routers[i]);
}

/* "series N EACH_MS": one route changes so often, always as fast. */
static void run_series(FILE *out, int n, long gap_ms, long ms)
{
	int64_t next_us;
	int i;

	for (i = 0; i < n; i++) {
		change_items("alter 1");
		next_us = now + gap_ms * MAG_US_PER_MS;
		while (now < next_us)
			step();
	}
	wait_known(out, ms);
}

/* Returns the router at a place of the tree: the root, a head, or the last. */
static struct router *find_place(const char *place)
{
	int i;

	if (strcmp(place, "last") == 0)
		return &routers[count - 1];
	for (i = 0; i < count; i++) {
		if (routers[i].up && routers[i].tree.rank == 0 &&
		    (strcmp(place, "root") == 0) ==
			    (routers[i].tree.candidate_count == 0))
			return &routers[i];
	}
	return NULL;
}

/* "kill|freeze|cut root|head": a fault of the router at a place. */
static bool run_fault(const char *line)
{
	struct router *router;
	char place[16];
	char what[16];

	if (sscanf(line, "%15s %15s", what, place) != 2 ||
	    (strcmp(place, "root") != 0 && strcmp(place, "head") != 0))
		return false;
	router = find_place(place);
	if (strcmp(what, "kill") == 0)
		router->up = false;
	else if (strcmp(what, "freeze") == 0)
		router->frozen = true;
	else if (strcmp(what, "cut") == 0)
		router->cut = true;
	return true;
}

/*
 * "gone PERCENT": the machines of so many routers are removed for good; the
 * list still names them.
 */
static void remove_machines(int percent)
{
	uint64_t seed = 7;
	int i;

	for (i = 0; i < count; i++) {
		if (mag_random(&seed) % 100 >= (uint64_t)percent)
			continue;
		routers[i].frozen = true;
		routers[i].gone = true;
	}
}

/* "herd PERCENT": so many routers start again at the same moment. */
static void restart_herd(int percent)
{
	uint64_t seed = 42;
	int i;

	for (i = 0; i < count; i++) {
		if (mag_random(&seed) % 100 < (uint64_t)percent &&
		    !routers[i].gone)
			start_router(&routers[i]);
	}
	changed_us = now;
}

/*
 * "reject first N": the store rejects the first routers of each data centre;
 * "reject readers N": the next routers to call it; "reject none": serves all.
 */
static bool reject(const char *line)
{
	int n = 0;
	int i;

	if (sscanf(line, "reject readers %d", &n) == 1) {
		rejects_left = n;
		return true;
	}
	if (sscanf(line, "reject first %d", &n) != 1 &&
	    strncmp(line, "reject none", 11) != 0)
		return false;
	rejects_left = 0;
	for (i = 0; i < count; i++)
		routers[i].rejected = routers[i].tree.rank < n;
	return true;
}

/* Runs a command on the routers or the store; returns false for others. */
static bool run_fleet_command(char *line, FILE *out, int centres)
{
	long ms;
	long gap_ms;
	int a;
	int b;
	int c;

	if (reject(line)) {
		return true;
	} else if (sscanf(line, "store %d", &a) == 1) {
		store_up = a;
	} else if (sscanf(line, "gone %d", &a) == 1) {
		remove_machines(a);
	} else if (sscanf(line, "herd %d", &a) == 1) {
		restart_herd(a);
	} else if (sscanf(line, "links %d %d %d", &a, &b, &c) == 3) {
		set_links(a, centres, b, c);
	} else if (sscanf(line, "routes %d", &a) == 1) {
		set_routes(a);
	} else if (sscanf(line, "series %d %ld %ld", &a, &gap_ms, &ms) == 3) {
		run_series(out, a, gap_ms, ms);
	} else if (sscanf(line, "busiest %ld", &ms) == 1) {
		print_busiest(out, ms);
	} else if (strncmp(line, "start ", 6) == 0) {
		line[strcspn(line, "\n")] = '\0';
		start_router(find_place(line + 6));
		changed_us = now;
	} else {
		return false;
	}
	return true;
}

static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	long ms;
	long most;
	long age;
	int centres = 1;
	int a;
	int b;

	mir_init(&store);
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "fleet %d %d", &a, &b) == 2) {
			start_fleet(a, b);
			centres = b;
			changed_us = now;
		} else if (strncmp(line, "change", 6) == 0) {
			newest++;
			changed_us = now;
		} else if (sscanf(line, "known %ld", &ms) == 1) {
			wait_known(out, ms);
		} else if (sscanf(line, "run %ld %ld %d %ld", &ms, &most, &a,
				  &age) == 4) {
			run(out, ms, most, a, age);
		} else if (!run_fleet_command(line, out, centres) &&
			   !change_items(line) && !run_fault(line)) {
			fprintf(out, "unknown command\n");
		}
	}
	mir_clear(&store);
	free(routers);
	routers = NULL;
}

int main(void)
{
	return script_main("regress/tree", run_script);
}
