#include <string.h>

#include "script.h"
#include "attest.h"

#define ROUTERS_MAX 32
#define LINE_MAX_   256

/*
 * Routers with clocks of their own, messages that can be held up, and a store
 * whose configuration changes: what each router takes for trusted is compared
 * with what the store has held.
 */
struct router {
	struct attest attest;
	long clock_ms; /* its own clock, when the common one says 0 */
	long long version;
	struct attest_claim kept; /* a message that was written and not sent */
};

static struct router routers[ROUTERS_MAX];
static long now_ms;
static long bound_ms;
static long changed_ms; /* the store's newest version holds since then */
static long long newest;

static int64_t clock_of(const struct router *router)
{
	return (now_ms + router->clock_ms) * MAG_US_PER_MS;
}

/* "router N CLOCK_MS": a router that starts knows nothing. */
static void start(int n, long clock_ms)
{
	static uint32_t session = 100;
	struct router *router = &routers[n];

	memset(router, 0, sizeof(*router));
	session++;
	/* Seeds of their own, as routers draw them. */
	attest_init(&router->attest, session, session * 0x9e3779b97f4a7c15ULL);
	router->clock_ms = clock_ms;
	router->version = -1;
}

/* What one router writes to another one, with the newest time heard of it. */
static struct attest_claim claim_of(int from, int to, long heard_ms)
{
	const struct router *sender = &routers[from];
	const struct router *receiver = &routers[to];
	struct attest_claim claim;

	attest_fill_claim(&sender->attest, sender->version, clock_of(sender),
			  &claim);
	claim.session = receiver->attest.session;
	claim.echo_us = (heard_ms + receiver->clock_ms) * MAG_US_PER_MS;
	return claim;
}

/* Prints what a router does with a key, and whether that is right. */
static void print(FILE *out, int n)
{
	const struct router *router = &routers[n];
	bool trusted = attest_is_trusted(
		&router->attest, bound_ms * MAG_US_PER_MS, clock_of(router));
	bool wrong = trusted && router->version < newest &&
		     now_ms - changed_ms > bound_ms;

	fprintf(out, "%d %s%s\n", n, trusted ? "trusts" : "refuses",
		wrong ? " a key that was taken away" : "");
}

static void arrive(FILE *out, int from, int to)
{
	struct router *router = &routers[to];

	fprintf(out, "%s\n",
		attest_from_peer(&router->attest, &routers[from].kept,
				 router->version, clock_of(router))
			? "taken"
			: "not taken");
}

/* It hears of what the store held MS ago. */
static void hear_store(int n, long ms)
{
	struct router *router = &routers[n];

	if (now_ms - ms >= changed_ms)
		router->version = newest;
	attest_from_store(&router->attest,
			  clock_of(router) - ms * MAG_US_PER_MS);
}

/* Each router tells the next one, around the ring and once more. */
static void tell_around(int count)
{
	struct attest_claim claim;
	int next;
	int i;

	for (i = 0; i < 2 * count; i++) {
		next = (i + 1) % count;
		claim = claim_of(i % count, next, now_ms);
		attest_from_peer(&routers[next].attest, &claim,
				 routers[next].version,
				 clock_of(&routers[next]));
	}
}

/*
 * Routers 0 to COUNT-1 ask the store for ten seconds and hear of each answer
 * at once; prints whether it was asked more than MOST times a second.
 */
static void asks(FILE *out, int count, int most)
{
	long end_ms = now_ms + 10000;
	int asked = 0;
	int i;

	for (; now_ms < end_ms; now_ms += 10) {
		for (i = 0; i < count; i++) {
			if (!attest_query_due(&routers[i].attest, count,
					      clock_of(&routers[i])))
				continue;
			asked++;
			hear_store(i, 0);
		}
		tell_around(count);
	}
	fprintf(out, "%s\n", asked <= most * 10 ? "in bounds" : "too many");
}

/* "lost N MS": prints how often a router asks a store that does not answer. */
static void lost(FILE *out, int n, long ms)
{
	long end_ms = now_ms + ms;
	int asked = 0;

	for (; now_ms < end_ms; now_ms += 10)
		asked += attest_query_due(&routers[n].attest, 1,
					  clock_of(&routers[n]));
	fprintf(out, "%d asks\n", asked);
}

/* A line about one router or the time; returns false if it is another one. */
static bool drive_one(const char *line, FILE *out)
{
	long ms;
	int a;

	if (sscanf(line, "bound %ld", &bound_ms) == 1) {
		now_ms = 0;
		newest = 1;
		changed_ms = 0;
	} else if (sscanf(line, "at %ld", &ms) == 1) {
		now_ms = ms;
	} else if (sscanf(line, "router %d %ld", &a, &ms) == 2) {
		start(a, ms);
	} else if (strncmp(line, "change", 6) == 0) {
		newest++;
		changed_ms = now_ms;
	} else if (sscanf(line, "store %d %ld", &a, &ms) == 2) {
		hear_store(a, ms);
	} else if (sscanf(line, "lost %d %ld", &a, &ms) == 2) {
		lost(out, a, ms);
	} else if (sscanf(line, "retry %d", &a) == 1) {
		fprintf(out, "%lld ms\n",
			(long long)(attest_retry_max_us(a) / MAG_US_PER_MS));
	} else if (sscanf(line, "gather %ld %d", &ms, &a) == 2) {
		fprintf(out, "%lld ms\n",
			(long long)(attest_coalesce_us(ms * MAG_US_PER_MS,
						       a * MAG_US_PER_MS) /
				    MAG_US_PER_MS));
	} else if (sscanf(line, "key %d", &a) == 1) {
		print(out, a);
	} else {
		return false;
	}
	return true;
}

static void drive(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	long ms;
	int a;
	int b;

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (drive_one(line, out))
			continue;
		if (sscanf(line, "tell %d %d %ld", &a, &b, &ms) == 3) {
			routers[a].kept = claim_of(a, b, now_ms - ms);
			arrive(out, a, b);
		} else if (sscanf(line, "write %d %d %ld", &a, &b, &ms) == 3) {
			routers[a].kept = claim_of(a, b, now_ms - ms);
		} else if (sscanf(line, "arrive %d %d", &a, &b) == 2) {
			arrive(out, a, b);
		} else if (sscanf(line, "asks %d %d", &a, &b) == 2) {
			asks(out, a, b);
		}
	}
}

int main(void)
{
	return script_main("regress/attest", drive);
}
