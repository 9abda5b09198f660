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
#define SECONDS_MAX  100
/* Below, their number allows no verdict; it adds up over a script's replays. */
#define SLOTS_MIN 30
#define START_US  (10 * MAG_US_PER_S)
#define TICK_US	  (5 * MAG_US_PER_MS)
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
	double waited_ms; /* of those queued and started */
	double mean_ms;	  /* as ranks are compared */
} by_rank[KINDS];
/*
 * Waits by the second of arrival, refused ones with REFUSED_MS.  Ranks are
 * compared over seconds in which each had arrivals, all with the same weight:
 * a rank has most of its requests at the time of its own flood.
 */
static struct {
	double ms;
	int requests;
} waits[SECONDS_MAX][KINDS];
static int all, forgotten, returned, returned_refused, waited_long, estimated,
	in_time, slots, slots_refused, unordered;

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
	int64_t second = (request->entry.since_us - START_US) / MAG_US_PER_S;

	if (request->frozen || second >= SECONDS_MAX)
		return;
	waits[second][request->entry.rank].ms += ms;
	waits[second][request->entry.rank].requests++;
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
		returned_refused++;
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
	returned += request->again;
	if (room >= 1 && !wq_has_ahead(&wq, entry)) {
		wq_arrived(&wq, entry);
		start(request);
		return;
	}
	if (!wq_may_wait(&wq, entry, now)) {
		refuse(request);
		return;
	}
	request->queued = true;
	wq_add(&wq, entry);
	request->held = entry->estimated;
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
		if (now <= entry->start_by_us && room >= 1)
			start((struct request *)entry);
		else if (!wq_may_wait(&wq, entry, now))
			refuse((struct request *)entry);
	}
}

/* One step; a frozen router neither serves nor accepts. */
static void step(bool frozen, bool callers)
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
		mean = callers * kinds[k].rate * part * factor(LOAD, k) *
		       TICK_US / MAG_US_PER_S;
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

static void verdict(FILE *out, const char *what, int some, int of, bool met)
{
	fprintf(out, "%s: %d of %d, %s\n", what, some, of,
		met ? "met" : "MISSED");
}

/* Returns the mean wait of a rank, as ranks are compared. */
static double mean_wait(int rank)
{
	double sum = 0;
	int seconds = 0;
	int i;

	for (i = 0; i < SECONDS_MAX; i++) {
		if (!waits[i][0].requests || !waits[i][1].requests ||
		    !waits[i][2].requests)
			continue;
		sum += waits[i][rank].ms / waits[i][rank].requests;
		seconds++;
	}
	return seconds ? sum / seconds : 0;
}

/* Runs the load once, and until all that waits has ended. */
static void run_load(double length_s)
{
	int64_t until = START_US + (int64_t)(length_s * MAG_US_PER_S);
	bool reversed = false;
	int i;

	wq_init(&wq);
	room = 0;
	count = 0;
	memset(waits, 0, sizeof(waits));
	for (now = START_US; now < until + MAG_US_PER_S; now += TICK_US) {
		if (!reversed && factor(RANKS, 0) > 1) {
			reversed = true;
			for (i = 0; i < KINDS; i++)
				kinds[i].rank = KINDS - 1 - kinds[i].rank;
		}
		step(factor(FROZEN, 0) > 1, now < until);
	}
	for (i = 0; reversed && i < KINDS; i++)
		kinds[i].rank = KINDS - 1 - kinds[i].rank;
	all += count;
	for (i = 0; i < count; i++)
		forgotten += !requests[i].ended &&
			     requests[i].arrive_us <= now - TICK_US;
	for (i = 0; i < KINDS; i++)
		by_rank[i].mean_ms += mean_wait(i);
}

/*
 * "replay S RUNS": runs the load for some seconds, several times with other
 * draws, and reports the sums.
 */
static void replay(FILE *out, double length_s, int runs)
{
	double last = 0;
	bool less = true;
	int i;

	for (i = 0; i < runs; i++)
		run_load(length_s);
	for (i = 0; i < KINDS; i++) {
		fprintf(out,
			"rank %d: %d asked, %d started, %d refused; "
			"%d waited %.1f ms until started; "
			"%.1f ms with refused ones\n",
			i, by_rank[i].asked, by_rank[i].started,
			by_rank[i].refused, by_rank[i].queued,
			by_rank[i].waited_ms / (by_rank[i].queued + 1e-9),
			by_rank[i].mean_ms / runs);
		less = less && by_rank[i].mean_ms >= last;
		last = by_rank[i].mean_ms;
	}
	verdict(out, "waited over an eighth without an estimate", waited_long,
		all, waited_long == 0);
	verdict(out, "in time on an estimate", in_time, estimated,
		in_time * 10 >= estimated * 9);
	fprintf(out, "refused again of all that returned: %d of %d\n",
		returned_refused, returned);
	if (slots < SLOTS_MIN)
		fprintf(out, "refused again at a slot: %d of %d, too few\n",
			slots_refused, slots);
	else
		verdict(out, "refused again at a slot", slots_refused, slots,
			slots_refused * 10 <= slots);
	fprintf(out, "more urgent wait less: %s\n", less ? "met" : "MISSED");
	verdict(out, "out of order", unordered, all, unordered == 0);
	verdict(out, "forgotten", forgotten, all, forgotten == 0);
}

static void reset(double total, double fraction, int number)
{
	requests = realloc(requests, REQUESTS_MAX * sizeof(*requests));
	if (!requests)
		abort();
	wq_init(&wq);
	memset(by_rank, 0, sizeof(by_rank));
	event_count = 0;
	all = forgotten = waited_long = estimated = in_time = 0;
	unordered = returned = returned_refused = 0;
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
	} else if (sscanf(line, "replay %lf %d", &x, &n) == 2) {
		replay(out, x, n);
	} else {
		return add_event(line);
	}
	return true;
}

static void print_entry(FILE *out, const struct wq_entry *entry)
{
	int64_t turn_us = wq_turn_us(&wq, entry, now);

	fprintf(out, "%s ahead, may%s wait, ",
		wq_has_ahead(&wq, entry) ? "some" : "none",
		wq_may_wait(&wq, entry, now) ? "" : " not");
	if (turn_us >= MAG_NEVER - 1)
		fprintf(out, "no turn\n");
	else
		fprintf(out, "turn in %.0f ms\n",
			(double)(turn_us - now) / MAG_US_PER_MS);
}

/* "add ENTRY RANK LATE CLAIM START_BY GRACE_UNTIL"; returns false if not. */
static bool add_entry(const char *line, struct wq_entry *entries)
{
	static const char format[] = "add %d %d %d %lf %ld %ld";
	struct wq_entry *entry;
	double claim;
	long by;
	long grace;
	int late;
	int rank;
	int i;

	if (sscanf(line, format, &i, &rank, &late, &claim, &by, &grace) != 6)
		return false;
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
	return true;
}

/* Prints the queue; removes entries of a rank on the way, -1: none. */
static void iterate(FILE *out, const struct wq_entry *entries, int drop)
{
	struct wq_entry *entry;
	struct wq_entry *next;

	for (entry = wq_first(&wq); entry; entry = next) {
		next = wq_next(&wq, entry);
		fprintf(out, "%d ", (int)(entry - entries));
		if (entry->rank == drop)
			wq_remove(&wq, entry);
	}
	fprintf(out, "(%d left)\n", wq.count);
}

/*
 * Entries are named by numbers and times are in milliseconds of the script:
 * "at MS", "remove ENTRY", "starts N MS" for N starts over a time, "show",
 * "drop RANK" to remove while iterating, "is ENTRY", "return MAX_S SPREAD".
 */
static void run_queue_line(FILE *out, const char *line,
			   struct wq_entry *entries)
{
	double max_s;
	double spread;
	long ms;
	int i;
	int n;

	if (add_entry(line, entries))
		return;
	if (sscanf(line, "at %ld", &ms) == 1) {
		now = START_US + ms * MAG_US_PER_MS;
	} else if (sscanf(line, "remove %d", &i) == 1) {
		wq_remove(&wq, &entries[i]);
	} else if (sscanf(line, "starts %d %ld", &n, &ms) == 2) {
		for (i = 0; i < n; i++) {
			now += ms * MAG_US_PER_MS / n;
			wq_started(&wq, now);
		}
	} else if (sscanf(line, "drop %d", &n) == 1) {
		iterate(out, entries, n);
	} else if (strncmp(line, "show", 4) == 0) {
		iterate(out, entries, -1);
	} else if (sscanf(line, "is %d", &i) == 1) {
		print_entry(out, &entries[i]);
	} else if (sscanf(line, "return %lf %lf", &max_s, &spread) == 2) {
		fprintf(out, "%.2f s\n", wq_return_s(&wq, max_s, spread, now));
	}
}

static void run_script(FILE *in, FILE *out)
{
	static struct wq_entry entries[ENTRIES_MAX];
	char line[LINE_MAX_];
	int i;

	reset(0, 1, 1);
	slots = slots_refused = 0;
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
