#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hint_limit.h"
#include "script.h"

#define LINE_MAX_   256
#define ROUTERS_MAX 64
#define SENDS_MAX   100000
#define START_US    (10 * MAG_US_PER_S)
#define STEP_US	    (5 * MAG_US_PER_MS)
#define HINT_US	    (150 * MAG_US_PER_MS)
#define ANSWER_US   (50 * MAG_US_PER_MS)
/* The users' rule counts over so long. */
#define WINDOW_US (4 * MAG_US_PER_S)

/*
 * Routers of one data centre before one worker, in virtual time: each takes
 * its callers at a rate, sends to the worker while it may, and hears of the
 * limit in answers and from peers.
 */
static struct {
	struct wk_table table;
	struct wk wk;
	struct hint_router self; /* as reported last */
	double rate;		 /* of its callers */
	struct hint_message heard[ROUTERS_MAX];
	int64_t heard_us[ROUTERS_MAX];
	int64_t hint_us;
} routers[ROUTERS_MAX];
static int count;
static double limit;	  /* of the worker; below 0: none */
static double loss;	  /* of messages between routers */
static int64_t judged_us; /* windows that end from then on are judged */
static int64_t now;
static uint64_t seed;
static struct {
	int64_t at_us;
	int router;
} sends[SENDS_MAX];
static int send_count;
static int answered; /* of the sends */

/* "routers N LOSS SEED" */
static void set_routers(int n, double lost, int number)
{
	int i;

	memset(routers, 0, sizeof(routers));
	count = n;
	loss = lost;
	seed = (uint64_t)number;
	now = START_US;
	limit = -1;
	send_count = 0;
	answered = 0;
	for (i = 0; i < count; i++) {
		CDS_INIT_LIST_HEAD(&routers[i].table.workers);
		cds_list_add_tail(&routers[i].wk.node,
				  &routers[i].table.workers);
		snprintf(routers[i].wk.is.id, sizeof(routers[i].wk.is.id),
			 "w-1");
		strcpy(routers[i].wk.is.data_centre, "a");
		routers[i].self.id = (uint32_t)(i * 7919 + 1);
		routers[i].self.centre = hint_load_hash("a");
		routers[i].hint_us = now + HINT_US * i / count;
	}
}

static void share(int r)
{
	struct hint_router known[ROUTERS_MAX];
	int n = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (i == r)
			known[n++] = routers[r].self;
		else if (routers[r].heard_us[i])
			known[n++] = (struct hint_router){
				routers[i].self.id, routers[r].heard[i].centre,
				(double)routers[r].heard[i].demand
			};
	}
	thr_set_part(
		&routers[r].wk.thr,
		hint_limit_part(known, n, routers[r].self.id, &routers[r].wk),
		now);
}

/* A router tells all others, and adds up what they said. */
static void hint(int r)
{
	static struct hint_message message;
	struct hint_index index = { 0 };
	int turn = 0;
	int i;

	routers[r].hint_us += HINT_US;
	routers[r].self.demand = routers[r].rate;
	memset(&message, 0, sizeof(message));
	message.centre = routers[r].self.centre;
	message.demand = (uint32_t)routers[r].self.demand;
	hint_limit_collect(&routers[r].table, now, &turn, &message);
	for (i = 0; i < count; i++) {
		if (i == r || mag_random_unit(&seed) < loss)
			continue;
		routers[i].heard[r] = message;
		routers[i].heard_us[r] = now;
	}
	hint_load_begin(&index, &routers[r].table);
	for (i = 0; i < count; i++)
		hint_limit_add(&index, routers[r].heard[i].limits,
			       routers[r].heard[i].limit_count,
			       routers[r].heard_us[i], now);
	hint_load_free(&index);
	share(r);
}

static void answer(int64_t sent_us, int r)
{
	struct wire_limit said = { limit < 0 ? WIRE_LIMIT_NONE
					     : WIRE_LIMIT_VALID,
				   limit };

	if (wk_take_limit(&routers[r].wk, &said, WK_ANSWER_SOUND, sent_us,
			  now) != THR_SAME)
		share(r);
}

static void step(void)
{
	double wanted;
	int r;

	now += STEP_US;
	for (;
	     answered < send_count && sends[answered].at_us + ANSWER_US <= now;
	     answered++)
		answer(sends[answered].at_us, sends[answered].router);
	for (r = 0; r < count; r++) {
		if (now >= routers[r].hint_us)
			hint(r);
		wk_limit_tick(&routers[r].wk, now);
		wanted = routers[r].rate * STEP_US / MAG_US_PER_S;
		if (mag_random_unit(&seed) >= wanted ||
		    !thr_may_send(&routers[r].wk.thr, now) ||
		    send_count == SENDS_MAX)
			continue;
		thr_sent(&routers[r].wk.thr, now);
		sends[send_count].at_us = now;
		sends[send_count++].router = r;
	}
}

/* Returns the most sends in a window that ends after a moment. */
static int most_since(int64_t since_us)
{
	int most = 0;
	int first = 0;
	int i;

	for (i = 0; i < send_count; i++) {
		while (sends[first].at_us <= sends[i].at_us - WINDOW_US)
			first++;
		if (sends[i].at_us >= since_us && i - first + 1 > most)
			most = i - first + 1;
	}
	return most;
}

/* "run MS": prints what the worker got, and whether that keeps its limit. */
static void run(FILE *out, long ms)
{
	int64_t from_us = now;
	int before = send_count;
	int most;

	while (now < from_us + ms * MAG_US_PER_MS)
		step();
	fprintf(out, "%.1f a second",
		(send_count - before) * 1000.0 / (double)ms);
	if (limit >= 0 && now > judged_us) {
		most = most_since(judged_us);
		fprintf(out, ", %s", most <= 6 * limit + 5 ? "kept" : "BROKEN");
	}
	fprintf(out, "\n");
}

static void drive(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	double x;
	long ms;
	int a;
	int b;

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "routers %d %lf %d", &a, &x, &b) == 3) {
			set_routers(a, x, b);
		} else if (sscanf(line, "callers %d %d %lf", &a, &b, &x) == 3) {
			for (; a <= b; a++)
				routers[a].rate = x;
		} else if (strncmp(line, "limit none", 10) == 0) {
			limit = -1;
		} else if (sscanf(line, "limit %lf", &x) == 1) {
			judged_us = now + WINDOW_US;
			limit = x;
		} else if (sscanf(line, "judge %ld", &ms) == 1) {
			judged_us = now + ms * MAG_US_PER_MS;
		} else if (sscanf(line, "run %ld", &ms) == 1) {
			run(out, ms);
		}
	}
}

int main(void)
{
	return script_main("regress/thr", drive);
}
