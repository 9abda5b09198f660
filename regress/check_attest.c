#include <string.h>

#include "script.h"
#include "attest.h"

#define ROUTERS_MAX 32
#define LINE_MAX_   256

/*
 * Routers with clocks of their own, messages that can be delayed, and a store
 * whose configuration changes.  What each router trusts is compared with what
 * the store contained.
 */
struct router {
	struct attest attest;
	long clock_ms; /* its own clock at common time 0 */
	long long version;
	struct attest_claim delayed;		   /* written but not sent */
	struct attest_report reports[ROUTERS_MAX]; /* of peers */
};

static struct router routers[ROUTERS_MAX];
static long now_ms;
static long bound_ms;
static long changed_ms; /* when the store's newest version was written */
static long long newest;

static int64_t router_clock(const struct router *router)
{
	return (now_ms + router->clock_ms) * MAG_US_PER_MS;
}

/* "router N CLOCK_MS": starts a router, which knows nothing yet. */
static void start_router(int n, long clock_ms)
{
	static uint32_t session = 100;
	struct router *router = &routers[n];

	memset(router, 0, sizeof(*router));
	session++;
	/* Each has a seed of its own, as a real router does. */
	attest_init(&router->attest, session, session * 0x9e3779b97f4a7c15ULL);
	router->clock_ms = clock_ms;
	router->version = -1;
}

/*
 * Returns a router's claim for another one; received_ms is the time of the
 * newest message that it has received from that router.
 */
static struct attest_claim make_claim(int from, int to, long received_ms)
{
	const struct router *sender = &routers[from];
	const struct router *receiver = &routers[to];
	struct attest_claim claim;

	attest_fill_claim(&sender->attest, sender->version,
			  router_clock(sender), &claim);
	claim.session = receiver->attest.session;
	claim.echo_us = (received_ms + receiver->clock_ms) * MAG_US_PER_MS;
	return claim;
}

/* Prints whether a router trusts a key, and whether that is wrong. */
static void print_trust(FILE *out, int n)
{
	const struct router *router = &routers[n];
	bool trusted =
		attest_is_trusted(&router->attest, bound_ms * MAG_US_PER_MS,
				  router_clock(router));
	bool is_wrong = trusted && router->version < newest &&
			now_ms - changed_ms > bound_ms;

	fprintf(out, "%d %s%s\n", n, trusted ? "trusts" : "refuses",
		is_wrong ? " a removed key" : "");
}

/* "apply N MS": prints whether router N goes by an older version than others.
 */
static void print_behind(FILE *out, int n, long ms)
{
	const struct router *router = &routers[n];

	if (attest_is_outdated(&router->attest, router->version,
			       ms * MAG_US_PER_MS, router_clock(router)))
		fprintf(out, "%d outdated\n", n);
	else
		fprintf(out, "%d %s\n", n,
			attest_is_behind(&router->attest, router->version)
				? "behind"
				: "current");
}

/*
 * "hear N VERSION": the same of peer 0, in era 0 of the store.
 * "hear N VERSION PEER ERA": a peer reports to router N that it has a version,
 * which it read in an era.
 */
static void hear(int n, int peer, long version, long era)
{
	static const char *const names[] = { "0", "1", "2", "3" };
	struct router *router = &routers[n];

	router->reports[peer].peer = names[peer];
	attest_hear_version(&router->attest, &router->reports[peer], version,
			    era, router->version, router_clock(router));
}

/*
 * "read N ERA MS": router N knows all changes of the store, which is in an era,
 * up to MS ago.
 */
static void read_all(FILE *out, int n, long era, long ms)
{
	struct router *router = &routers[n];
	const struct attest_report *report;

	while ((report =
			attest_refute(&router->attest, router->version, era,
				      router_clock(router) - ms * MAG_US_PER_MS,
				      router_clock(router))))
		fprintf(out, "%d refutes %lld of peer %s\n", n,
			(long long)report->version, report->peer);
}

/* "expire N ERA": what a router has been told for too long, in an era. */
static void expire(FILE *out, int n, long era)
{
	struct router *router = &routers[n];
	const struct attest_report *report;

	while ((report = attest_expire(&router->attest, router->version, era,
				       router_clock(router))))
		fprintf(out, "%d gives up %lld of peer %s\n", n,
			(long long)report->version, report->peer);
}

/*
 * "verify N MS END": prints when router N queries the store for a newer
 * version, which must be in force MS after it was heard of, until END.
 */
static void verify(FILE *out, int n, long ms, long end_ms)
{
	struct router *router = &routers[n];

	for (; now_ms < end_ms; now_ms += 10) {
		if (attest_verify_due(&router->attest, router->version,
				      ms * MAG_US_PER_MS, router_clock(router)))
			fprintf(out, "%d queries at %ld\n", n, now_ms);
	}
}

static void deliver(FILE *out, int from, int to)
{
	struct router *router = &routers[to];

	fprintf(out, "%s\n",
		attest_from_peer(&router->attest, &routers[from].delayed,
				 router->version, router_clock(router))
			? "accepted"
			: "not accepted");
}

/* Gives a router the store's state as it was MS ago. */
static void read_store(int n, long ms)
{
	struct router *router = &routers[n];

	if (now_ms - ms >= changed_ms)
		router->version = newest;
	attest_from_store(&router->attest,
			  router_clock(router) - ms * MAG_US_PER_MS);
}

/* Each router sends a claim to the next one, twice around the ring. */
static void send_around_ring(int count)
{
	struct attest_claim claim;
	int next;
	int i;

	for (i = 0; i < 2 * count; i++) {
		next = (i + 1) % count;
		claim = make_claim(i % count, next, now_ms);
		attest_from_peer(&routers[next].attest, &claim,
				 routers[next].version,
				 router_clock(&routers[next]));
	}
}

/*
 * Routers 0 to COUNT-1 query the store for ten seconds and pass on each answer
 * at once; prints whether it received more than MAX queries a second.
 */
static void run_queries(FILE *out, int count, int max)
{
	long end_ms = now_ms + 10000;
	int queried = 0;
	int i;

	for (; now_ms < end_ms; now_ms += 10) {
		for (i = 0; i < count; i++) {
			if (!attest_query_due(&routers[i].attest, count,
					      router_clock(&routers[i])))
				continue;
			queried++;
			read_store(i, 0);
		}
		send_around_ring(count);
	}
	fprintf(out, "%s\n", queried <= max * 10 ? "in bounds" : "too many");
}

/*
 * "lost N MS": prints how often a router queries a store that does not answer.
 */
static void run_unanswered(FILE *out, int n, long ms)
{
	long end_ms = now_ms + ms;
	int queried = 0;

	for (; now_ms < end_ms; now_ms += 10)
		queried += attest_query_due(&routers[n].attest, 1,
					    router_clock(&routers[n]));
	fprintf(out, "%d queries\n", queried);
}

/* Runs a command about one router or the time; returns false for others. */
static bool run_router_command(const char *line, FILE *out)
{
	long era;
	long ms;
	int a;
	int b;

	if (sscanf(line, "bound %ld", &bound_ms) == 1) {
		now_ms = 0;
		newest = 1;
		changed_ms = 0;
	} else if (sscanf(line, "at %ld", &ms) == 1) {
		now_ms = ms;
	} else if (sscanf(line, "router %d %ld", &a, &ms) == 2) {
		start_router(a, ms);
	} else if (strncmp(line, "change", 6) == 0) {
		newest++;
		changed_ms = now_ms;
	} else if (sscanf(line, "store %d %ld", &a, &ms) == 2) {
		read_store(a, ms);
	} else if (sscanf(line, "lost %d %ld", &a, &ms) == 2) {
		run_unanswered(out, a, ms);
	} else if (sscanf(line, "retry %d", &a) == 1) {
		fprintf(out, "%lld ms\n",
			(long long)(attest_retry_max_us(a) / MAG_US_PER_MS));
	} else if (sscanf(line, "gather %ld %d", &ms, &a) == 2) {
		fprintf(out, "%lld ms\n",
			(long long)(attest_coalesce_us(ms * MAG_US_PER_MS,
						       a * MAG_US_PER_MS) /
				    MAG_US_PER_MS));
	} else if (sscanf(line, "hear %d %ld %d %ld", &a, &ms, &b, &era) == 4) {
		hear(a, b, ms, era);
	} else if (sscanf(line, "hear %d %ld", &a, &ms) == 2) {
		hear(a, 0, ms, 0);
	} else if (sscanf(line, "apply %d %ld", &a, &ms) == 2) {
		print_behind(out, a, ms);
	} else if (sscanf(line, "read %d %ld %ld", &a, &era, &ms) == 3) {
		read_all(out, a, era, ms);
	} else if (sscanf(line, "verify %d %ld %ld", &a, &ms, &era) == 3) {
		verify(out, a, ms, era);
	} else if (sscanf(line, "expire %d %ld", &a, &era) == 2) {
		expire(out, a, era);
	} else if (sscanf(line, "key %d", &a) == 1) {
		print_trust(out, a);
	} else {
		return false;
	}
	return true;
}

static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	long ms;
	int a;
	int b;

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (run_router_command(line, out))
			continue;
		if (sscanf(line, "tell %d %d %ld", &a, &b, &ms) == 3) {
			routers[a].delayed = make_claim(a, b, now_ms - ms);
			deliver(out, a, b);
		} else if (sscanf(line, "write %d %d %ld", &a, &b, &ms) == 3) {
			routers[a].delayed = make_claim(a, b, now_ms - ms);
		} else if (sscanf(line, "arrive %d %d", &a, &b) == 2) {
			deliver(out, a, b);
		} else if (sscanf(line, "asks %d %d", &a, &b) == 2) {
			run_queries(out, a, b);
		}
	}
}

int main(void)
{
	return script_main("regress/attest", run_script);
}
