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
/*
 * Window over which the limit is checked; the users' rule is defined over it.
 */
#define WINDOW_US (4 * MAG_US_PER_S)

/*
 * Simulates routers of one data centre and one worker in virtual time.  Each
 * router receives requests at a rate, sends to the worker while it may, and
 * learns of the limit from answers and from peers.
 */
static struct {
	struct wk_table table;
	struct wk wk;
	struct hint_router self; /* as last reported to peers */
	double rate;		 /* requests a second of its callers */
	struct hint_message received[ROUTERS_MAX];
	int64_t received_us[ROUTERS_MAX];
	int64_t hint_us;
} routers[ROUTERS_MAX];
static int count;
static double limit; /* of the worker; below 0: none */
static double loss;  /* fraction of messages between routers that are lost */
static int64_t checked_from_us; /* windows that end from then on are checked */
static int64_t now;
static uint64_t seed;
static struct {
	int64_t at_us;
	int router;
} sends[SENDS_MAX];
static int send_count;
static int answered; /* number of sends whose answer has arrived */

/* "routers N LOSS SEED": resets the simulation. */
static void set_routers(int n, double lost, int number)
{
	int i;

	for (i = 0; i < count; i++) {
		htab_free(&routers[i].table.ids);
		htab_free(&routers[i].table.addresses);
	}
	memset(routers, 0, sizeof(routers));
	count = n;
	loss = lost;
	seed = (uint64_t)number;
	now = START_US;
	limit = -1;
	send_count = 0;
	answered = 0;
	for (i = 0; i < count; i++) {
		snprintf(routers[i].wk.entry.id, sizeof(routers[i].wk.entry.id),
			 "w-1");
		strcpy(routers[i].wk.entry.data_centre, "a");
		wk_init(&routers[i].table, NULL);
		wk_link(&routers[i].table, &routers[i].wk);
		routers[i].self.id = (uint32_t)(i * 7919 + 1);
		routers[i].self.data_centre = htab_hash("a");
		routers[i].hint_us = now + HINT_US * i / count;
	}
}

static void update_fraction(int r)
{
	struct hint_router known[ROUTERS_MAX];
	int n = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (i == r)
			known[n++] = routers[r].self;
		else if (routers[r].received_us[i])
			known[n++] = (struct hint_router){
				routers[i].self.id,
				routers[r].received[i].data_centre,
				(double)routers[r].received[i].demand
			};
	}
	thr_set_fraction(
		&routers[r].wk.proc.adv.thr,
		hint_limit_part(known, n, routers[r].self.id, &routers[r].wk),
		now);
}

/* Sends a router's message to all others and adds up what they reported. */
static void send_hint(int r)
{
	static struct hint_message message;
	int turn = 0;
	int i;

	routers[r].hint_us += HINT_US;
	routers[r].self.demand = routers[r].rate;
	memset(&message, 0, sizeof(message));
	message.data_centre = routers[r].self.data_centre;
	message.demand = (uint32_t)routers[r].self.demand;
	hint_limit_collect(&routers[r].table, now, &turn, &message);
	for (i = 0; i < count; i++) {
		if (i == r || mag_random_unit(&seed) < loss)
			continue;
		routers[i].received[r] = message;
		routers[i].received_us[r] = now;
	}
	for (i = 0; i < count; i++)
		hint_limit_add(&routers[r].table, routers[r].received[i].limits,
			       routers[r].received[i].limit_count,
			       routers[r].received_us[i], now);
	update_fraction(r);
}

static void receive_answer(int64_t sent_us, int r)
{
	struct wire_advert advert = { 0 };

	if (limit >= 0)
		advert.limit = (struct wire_number){ WIRE_NUMBER_VALID, limit };
	if (wk_apply_advert(&routers[r].wk, &advert, WK_ANSWER_SUCCESS, sent_us,
			    now) != THR_UNCHANGED)
		update_fraction(r);
}

static void step(void)
{
	double wanted;
	int r;

	now += STEP_US;
	for (;
	     answered < send_count && sends[answered].at_us + ANSWER_US <= now;
	     answered++)
		receive_answer(sends[answered].at_us, sends[answered].router);
	for (r = 0; r < count; r++) {
		if (now >= routers[r].hint_us)
			send_hint(r);
		wk_expire_limit(&routers[r].wk, now);
		wanted = routers[r].rate * STEP_US / MAG_US_PER_S;
		if (mag_random_unit(&seed) >= wanted ||
		    !thr_may_send(&routers[r].wk.proc.adv.thr, now) ||
		    send_count == SENDS_MAX)
			continue;
		thr_sent(&routers[r].wk.proc.adv.thr, now);
		sends[send_count].at_us = now;
		sends[send_count++].router = r;
	}
}

/* Returns the most sends in any window that ends at since_us or later. */
static int max_in_window(int64_t since_us)
{
	int max_sends = 0;
	int first = 0;
	int i;

	for (i = 0; i < send_count; i++) {
		while (sends[first].at_us <= sends[i].at_us - WINDOW_US)
			first++;
		if (sends[i].at_us >= since_us && i - first + 1 > max_sends)
			max_sends = i - first + 1;
	}
	return max_sends;
}

/*
 * "run MS": prints the rate at which the worker received requests, and whether
 * its limit was kept.
 */
static void run(FILE *out, long ms)
{
	int64_t from_us = now;
	int before = send_count;
	int max_sends;

	while (now < from_us + ms * MAG_US_PER_MS)
		step();
	fprintf(out, "%.1f a second",
		(send_count - before) * 1000.0 / (double)ms);
	if (limit >= 0 && now > checked_from_us) {
		max_sends = max_in_window(checked_from_us);
		fprintf(out, ", %s",
			max_sends <= 6 * limit + 5 ? "kept" : "BROKEN");
	}
	fprintf(out, "\n");
}

static void run_script(FILE *in, FILE *out)
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
			checked_from_us = now + WINDOW_US;
			limit = x;
		} else if (sscanf(line, "judge %ld", &ms) == 1) {
			checked_from_us = now + ms * MAG_US_PER_MS;
		} else if (sscanf(line, "run %ld", &ms) == 1) {
			run(out, ms);
		}
	}
}

int main(void)
{
	return script_main("regress/thr", run_script);
}
