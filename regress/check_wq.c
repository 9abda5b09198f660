#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mag.h"
#include "script.h"
#include "wq.h"

#define LINE_MAX_    256
#define ENTRIES_MAX  64
#define REQUESTS_MAX 200000
#define KINDS	     3
#define ACCOUNTS     4 /* of each kind */
#define EVENTS_MAX   16
#define START_US     (10 * MAG_US_PER_S)
#define TICK_US	     (5 * MAG_US_PER_MS)
/* Longest Retry-After that callers accept: a third of 20 s. */
#define RETURN_MAX_S (20.0 / 3)
/* Capacity that is kept while nobody asks for it, in seconds of the rate. */
#define ROOM_S 0.05

/*
 * A refused request counts with this in the comparison of ranks, the shortest
 * aim: the mean of those that were started favours a rank of which only short
 * waits were allowed.
 */
#define REFUSED_MS 500

/* A change of the load, from and until in seconds of the replay. */
enum event {
	LOAD,
	DRAIN,
	FROZEN,
	RANKS
};

struct request {
	struct wq_entry entry; /* first: entries are cast to requests */
	int kind;
	int account;
	bool queued;
	bool held;   /* its estimate held when it began to wait */
	bool frozen; /* waited while the router did not run */
	bool slot;   /* returned at a slot */
	bool again;  /* has returned */
	bool ended;
	int64_t arrive_us; /* when it arrives, or returns */
};

static struct wq wq;
static int64_t now;
static uint64_t seed;
static struct request *requests;
static int count;
static double rate; /* starts a second of this router's part */
static double part;
static double room;
static struct {
	double rate; /* of the whole service */
	int64_t aim_us;
	int64_t start_us; /* latest useful start, after the arrival */
	int rank;
	double usage[ACCOUNTS];
} kinds[KINDS];
static struct {
	enum event type;
	int kind;
	double factor;
	double from_s;
	double until_s;
} events[EVENTS_MAX];
static int event_count;
static struct {
	int asked, started, refused, queued;
	double waited_ms;  /* of those queued and started */
	double charged_ms; /* of all; refused ones with REFUSED_MS */
	int charged;
} by_rank[KINDS];
static int waited_long, estimated, in_time, slots, slots_refused, unordered;

/* Returns the factor of a kind of event that is in effect, 1 without. */
static double factor(enum event type, int kind)
{
	double s = (double)(now - START_US) / MAG_US_PER_S;
	double product = 1;
	int i;

	for (i = 0; i < event_count; i++) {
		if (events[i].type == type && events[i].kind == kind &&
		    s >= events[i].from_s && s < events[i].until_s)
			product *= events[i].factor;
	}
	return product;
}

/* Returns how often something with a mean number happens in a step. */
static int draw(double mean)
{
	int times = 0;
	int i;

	for (i = 0; i < 20; i++)
		times += mag_random_unit(&seed) < mean / 20;
	return times;
}

static struct request *new_request(int kind)
{
	struct request *request;

	if (count == REQUESTS_MAX)
		abort();
	request = &requests[count++];
	memset(request, 0, sizeof(*request));
	request->kind = kind;
	request->account = (int)(mag_random_unit(&seed) * ACCOUNTS);
	request->arrive_us = now;
	return request;
}

/* Adds to the comparison of ranks, not for what waited on a frozen router. */
static void charge(const struct request *request, double ms)
{
	if (request->frozen)
		return;
	by_rank[request->entry.rank].charged_ms += ms;
	by_rank[request->entry.rank].charged++;
}

static void start(struct request *request)
{
	int rank = request->entry.rank;

	room--;
	kinds[request->kind].usage[request->account]++;
	wq_started(&wq, now);
	wq_remove(&wq, &request->entry);
	request->ended = true;
	by_rank[rank].started++;
	by_rank[rank].queued += request->queued;
	by_rank[rank].waited_ms +=
		(double)(now - request->entry.since_us) / MAG_US_PER_MS;
	charge(request,
	       (double)(now - request->entry.since_us) / MAG_US_PER_MS);
	if (!request->queued || !request->held)
		return;
	estimated++;
	in_time += now <= request->entry.start_by_us;
}

static void refuse(struct request *request)
{
	int64_t slot_us = wq.next_slot_us;
	struct request *again;
	double s;

	wq_remove(&wq, &request->entry);
	request->ended = true;
	by_rank[request->entry.rank].refused++;
	charge(request, REFUSED_MS);
	if (request->queued && request->held)
		estimated++;
	else if (!request->frozen && now - request->entry.since_us >
					     kinds[request->kind].aim_us / 8)
		waited_long++;
	s = wq_return_s(&wq, RETURN_MAX_S, mag_random_unit(&seed), now);
	if (request->again) {
		slots_refused += request->slot;
		return;
	}
	again = new_request(request->kind);
	again->account = request->account;
	again->again = true;
	again->slot = wq.next_slot_us != slot_us;
	again->arrive_us = now + (int64_t)(s * MAG_US_PER_S);
	slots += again->slot;
}

static void arrive(struct request *request)
{
	struct wq_entry *entry = &request->entry;

	wq_entry_init(entry);
	entry->rank = kinds[request->kind].rank;
	entry->claim = kinds[request->kind].usage[request->account];
	entry->since_us = now;
	entry->start_by_us = now + kinds[request->kind].start_us;
	entry->grace_until_us = now + kinds[request->kind].aim_us / 8 - TICK_US;
	request->arrive_us = MAG_NEVER;
	by_rank[entry->rank].asked++;
	if (room >= 1 && !wq_has_ahead(&wq, entry)) {
		wq_arrived(&wq, entry);
		start(request);
		return;
	}
	request->held = wq_turn_us(&wq, entry, now) <= entry->start_by_us;
	if (!wq_may_wait(&wq, entry, now)) {
		refuse(request);
		return;
	}
	request->queued = true;
	wq_add(&wq, entry);
}

/* Starts and refuses queued requests, in order. */
static void serve(void)
{
	struct wq_entry *entry;
	struct wq_entry *next;
	const struct wq_entry *last = NULL;

	for (entry = wq_first(&wq); entry; entry = next) {
		next = wq_next(&wq, entry);
		unordered += last && last->rank > entry->rank;
		last = entry;
		if (now > entry->start_by_us)
			refuse((struct request *)entry);
		else if (room >= 1)
			start((struct request *)entry);
		else if (!wq_may_wait(&wq, entry, now))
			refuse((struct request *)entry);
	}
}

/* One step; a frozen router neither serves nor accepts. */
static void step(bool frozen)
{
	double mean = rate * factor(DRAIN, 0) * TICK_US / MAG_US_PER_S;
	double max = rate * ROOM_S > 2 ? rate * ROOM_S : 2;
	int i;
	int k;
	int n;

	room += draw(mean);
	if (room > max)
		room = max;
	for (k = 0; k < KINDS; k++) {
		for (i = 0; i < ACCOUNTS; i++)
			kinds[k].usage[i] *= 0.995;
		mean = kinds[k].rate * part * factor(LOAD, k) * TICK_US /
		       MAG_US_PER_S;
		for (n = draw(mean); n > 0; n--)
			new_request(k);
	}
	if (frozen) {
		for (i = 0; i < count; i++)
			requests[i].frozen |= requests[i].queued ||
					      requests[i].arrive_us <= now;
		return;
	}
	serve();
	for (i = 0; i < count; i++) {
		if (!requests[i].ended && requests[i].arrive_us <= now)
			arrive(&requests[i]);
	}
}

static void verdict(FILE *out, const char *what, int part_of, int all, bool met)
{
	fprintf(out, "%s: %d of %d, %s\n", what, part_of, all,
		met ? "met" : "MISSED");
}

static void report(FILE *out)
{
	double last = 0;
	bool less = true;
	double mean;
	int open = 0;
	int i;

	for (i = 0; i < KINDS; i++) {
		mean = by_rank[i].queued
			       ? by_rank[i].waited_ms / by_rank[i].queued
			       : 0;
		fprintf(out,
			"rank %d: %d asked, %d started, %d refused, "
			"%.1f ms mean wait of %d\n",
			i, by_rank[i].asked, by_rank[i].started,
			by_rank[i].refused, mean, by_rank[i].queued);
		mean = by_rank[i].asked
			       ? by_rank[i].charged_ms / by_rank[i].asked
			       : 0;
		fprintf(out, "rank %d: %.1f ms with refused ones as %d ms\n", i,
			mean, REFUSED_MS);
		less = less && mean >= last;
		last = mean;
	}
	for (i = 0; i < count; i++)
		open += !requests[i].ended && requests[i].arrive_us <= now;
	verdict(out, "waited over an eighth without an estimate", waited_long,
		count, waited_long == 0);
	verdict(out, "in time on an estimate", in_time, estimated,
		in_time * 10 >= estimated * 9);
	verdict(out, "refused again at a slot", slots_refused, slots,
		slots_refused * 10 <= slots);
	fprintf(out, "more urgent wait less: %s\n", less ? "met" : "MISSED");
	verdict(out, "refused out of order", unordered, count, unordered == 0);
	verdict(out, "forgotten", open, count, open == 0);
}

/* "replay S": runs the load for some seconds and reports. */
static void replay(FILE *out, double length_s)
{
	int64_t until = START_US + (int64_t)(length_s * MAG_US_PER_S);
	bool ranks_changed = false;
	int i;

	for (now = START_US; now < until; now += TICK_US) {
		if (!ranks_changed && factor(RANKS, 0) > 1) {
			ranks_changed = true;
			for (i = 0; i < KINDS; i++)
				kinds[i].rank = KINDS - 1 - kinds[i].rank;
		}
		step(factor(FROZEN, 0) > 1);
	}
	/* Callers leave; what waits by then has to end by itself. */
	for (i = 0; i < KINDS; i++)
		kinds[i].rate = 0;
	for (until = now + MAG_US_PER_S; now < until; now += TICK_US)
		step(false);
	report(out);
}

static void reset(double total, double fraction, int number)
{
	requests = realloc(requests, REQUESTS_MAX * sizeof(*requests));
	if (!requests)
		abort();
	wq_init(&wq);
	memset(by_rank, 0, sizeof(by_rank));
	count = event_count = 0;
	waited_long = estimated = in_time = slots = slots_refused = 0;
	unordered = 0;
	room = 0;
	part = fraction;
	rate = total * fraction;
	seed = (uint64_t)number;
	now = START_US;
}

/* Adds an event; returns false if the line is none. */
static bool add_event(const char *line)
{
	static const char *const names[] = { "load %d %lf %lf %lf",
					     "drain %d %lf %lf %lf",
					     "frozen %d %lf %lf %lf",
					     "ranks %d %lf %lf %lf" };
	int i;

	for (i = 0; i < (int)MAG_ARRAY_SIZE(names); i++) {
		if (event_count == EVENTS_MAX ||
		    sscanf(line, names[i], &events[event_count].kind,
			   &events[event_count].factor,
			   &events[event_count].from_s,
			   &events[event_count].until_s) != 4)
			continue;
		events[event_count++].type = (enum event)i;
		return true;
	}
	return false;
}

/* Runs one line of a replay's set-up; returns false if it is none. */
static bool run_replay_line(FILE *out, const char *line)
{
	double x;
	double y;
	long aim;
	long by;
	int n;

	if (sscanf(line, "service %lf %lf %d", &x, &y, &n) == 3) {
		reset(x, y, n);
	} else if (sscanf(line, "kind %d %lf %ld %ld", &n, &x, &aim, &by) ==
		   4) {
		memset(&kinds[n], 0, sizeof(kinds[n]));
		kinds[n].rank = n;
		kinds[n].rate = x;
		kinds[n].aim_us = aim * MAG_US_PER_MS;
		kinds[n].start_us = by * MAG_US_PER_MS;
	} else if (sscanf(line, "replay %lf", &x) == 1) {
		replay(out, x);
	} else {
		return add_event(line);
	}
	return true;
}

/*
 * Entries are named by numbers and times are in milliseconds of the script:
 * "add ENTRY RANK LATE CLAIM START_BY GRACE_UNTIL" and "remove ENTRY"; "starts
 * N MS" starts N requests over a time; "drop RANK" removes entries while
 * iterating; "is ENTRY" prints what is known of an entry.
 */
static void run_queue_line(FILE *out, const char *line,
			   struct wq_entry *entries)
{
	static const char format[] = "add %d %d %d %lf %ld %ld";
	struct wq_entry *entry;
	struct wq_entry *next;
	int64_t turn_us;
	double claim;
	double spread;
	long by;
	long grace;
	int late;
	int rank;
	int i;

	if (sscanf(line, format, &i, &rank, &late, &claim, &by, &grace) == 6) {
		entry = &entries[i];
		wq_remove(&wq, entry);
		wq_entry_init(entry);
		entry->rank = rank;
		entry->late = late;
		entry->claim = claim;
		entry->since_us = now;
		entry->start_by_us = START_US + by * MAG_US_PER_MS;
		entry->grace_until_us = START_US + grace * MAG_US_PER_MS;
		wq_add(&wq, entry);
	} else if (sscanf(line, "at %ld", &by) == 1) {
		now = START_US + by * MAG_US_PER_MS;
	} else if (sscanf(line, "remove %d", &i) == 1) {
		wq_remove(&wq, &entries[i]);
	} else if (sscanf(line, "starts %d %ld", &rank, &by) == 2) {
		for (i = 0; i < rank; i++) {
			now += by * MAG_US_PER_MS / rank;
			wq_started(&wq, now);
		}
	} else if (sscanf(line, "drop %d", &rank) == 1) {
		for (entry = wq_first(&wq); entry; entry = next) {
			next = wq_next(&wq, entry);
			if (entry->rank == rank)
				wq_remove(&wq, entry);
		}
	} else if (sscanf(line, "is %d", &i) == 1) {
		turn_us = wq_turn_us(&wq, &entries[i], now);
		fprintf(out, "%s ahead, may%s wait, ",
			wq_has_ahead(&wq, &entries[i]) ? "some" : "none",
			wq_may_wait(&wq, &entries[i], now) ? "" : " not");
		if (turn_us >= MAG_NEVER - 1)
			fprintf(out, "no turn\n");
		else
			fprintf(out, "turn in %.0f ms\n",
				(double)(turn_us - now) / MAG_US_PER_MS);
	} else if (sscanf(line, "return %lf %lf", &claim, &spread) == 2) {
		fprintf(out, "%.2f s\n", wq_return_s(&wq, claim, spread, now));
	} else if (strncmp(line, "show", 4) == 0) {
		for (entry = wq_first(&wq); entry; entry = wq_next(&wq, entry))
			fprintf(out, "%d ", (int)(entry - entries));
		fprintf(out, "(%d)\n", wq.count);
	}
}

static void run_script(FILE *in, FILE *out)
{
	static struct wq_entry entries[ENTRIES_MAX];
	char line[LINE_MAX_];
	int i;

	reset(0, 1, 1);
	for (i = 0; i < ENTRIES_MAX; i++)
		wq_entry_init(&entries[i]);
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (!run_replay_line(out, line))
			run_queue_line(out, line, entries);
	}
}

int main(void)
{
	return script_main("regress/wq", run_script);
}
