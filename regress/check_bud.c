#include <string.h>

#include "bud.h"
#include "mag.h"
#include "script.h"

#define LINE_MAX_ 256

/*
 * Runs retries against the budget: "budget WINDOW_S RATIO SLACK", "at MS",
 * "requests N", "steady N MS" (every 100 ms, for so long), "take N", "return N
 * MS" (taken then), "slack SLACK" and "first MS" (the whole system was
 * started).
 */
/*
 * "fleet INSTANCES SLACK": each instance has its part of the slack and wants
 * three retries in one window; prints whether the sum keeps to the slack, and
 * whether half of it could be used.
 */
static void run_fleet(FILE *out, int instances, double slack)
{
	uint64_t seed = 99;
	struct bud bud;
	int taken = 0;
	int i;
	int k;

	for (i = 0; i < instances; i++) {
		bud_init(&bud, 10 * MAG_US_PER_S, 0.2,
			 slack / (instances * 1.5 + 1));
		bud_set_draw(&bud, mag_random_unit(&seed));
		for (k = 0; k < 3; k++)
			taken += bud_take_retry(&bud, 0);
	}
	fprintf(out, "%s, %s\n", taken <= slack ? "in bounds" : "too many",
		taken >= slack / 2 ? "half or more is used" : "too few");
}

/*
 * "restarts ROUTERS EVERY_MS FOR_MS": routers that are restarted in turns of so
 * long, for so long, after they have run for long, spend all that they may.
 * Prints what the worst ten seconds used of a slack of 200.
 */
static void run_restarts(FILE *out, int routers, long every_ms, long for_ms)
{
	const int64_t window_us = 10 * MAG_US_PER_S;
	uint64_t seed = 99;
	int64_t start_us;
	int taken[600] = { 0 };
	struct bud bud;
	int worst = 0;
	int sum = 0;
	int i;
	int k;

	for (k = 0; k < routers; k++) {
		start_us = -2 * window_us;
		bud_init(&bud, window_us, 0, 0);
		bud_set_draw(&bud, mag_random_unit(&seed));
		for (i = 0; i < (int)MAG_ARRAY_SIZE(taken); i++) {
			int64_t now = i * 100 * MAG_US_PER_MS;

			if (i * 100 < for_ms && i * 100 % every_ms == 0 &&
			    i > 0) {
				start_us = now;
				bud_init(&bud, window_us, 0, 0);
				bud_set_draw(&bud, mag_random_unit(&seed));
			}
			bud_set_slack(&bud, bud_slack_part(200, routers,
							   now - start_us,
							   window_us));
			while (bud_take_retry(&bud, now))
				taken[i]++;
		}
	}
	for (i = 0; i < (int)MAG_ARRAY_SIZE(taken); i++) {
		sum += taken[i] - (i < 100 ? 0 : taken[i - 100]);
		if (sum > worst)
			worst = sum;
	}
	fprintf(out, "%s\n",
		worst <= 200 ? "in bounds" : "too many in ten seconds");
}

/* Steps of 100 ms in the window of the bound, and in the longest load. */
#define WINDOW_STEPS 100
#define STEPS_MAX    600

/* What all routers together were sent and sent again, by step. */
struct load {
	int requests[STEPS_MAX];
	int retries[STEPS_MAX];
	int steps;
};

static int sum_of(const int *counts, int from, int to, int steps)
{
	int sum = 0;

	for (from = from < 0 ? 0 : from; from < to && from < steps; from++)
		sum += counts[from];
	return sum;
}

/*
 * Returns the largest part that a window of the bound uses of what it allows:
 * the slack and a fifth of the requests in that window, in the one before it,
 * or in the one half a window before it, whichever are most.
 */
static double worst_part(const struct load *load, double slack)
{
	double worst = 0;
	double part;
	int requests;
	int from;
	int before;
	int n;

	for (from = 0; from < load->steps; from++) {
		requests = 0;
		for (before = 0; before <= WINDOW_STEPS;
		     before += WINDOW_STEPS / 2) {
			n = sum_of(load->requests, from - before,
				   from - before + WINDOW_STEPS, load->steps);
			if (n > requests)
				requests = n;
		}
		part = sum_of(load->retries, from, from + WINDOW_STEPS,
			      load->steps) /
		       (0.2 * requests + slack);
		if (part > worst)
			worst = part;
	}
	return worst;
}

/* A rush: so many times the requests, from one step to another. */
struct rush {
	double times;
	int from;
	int to;
};

/*
 * "load ROUTERS SLACK PER_S FOR_MS SPEND_MS [TIMES FROM_MS TO_MS ...]": callers
 * send so many requests a second to routers that have run for long, with up to
 * two rushes, and the routers send again as often as they may from SPEND_MS on.
 * With "moves" before, the callers of half of the routers move to the others at
 * SPEND_MS.  Prints what the worst ten seconds use of what is allowed.
 */
static void run_load(FILE *out, const char *line, bool moves)
{
	const int64_t step_us = 100 * MAG_US_PER_MS;
	struct rush rushes[2] = { 0 };
	struct load load = { 0 };
	uint64_t seed = 99;
	long ms[6] = { 0 };
	struct bud bud;
	double slack;
	double per_s;
	double part;
	double due;
	int routers;
	int spend;
	int n;
	int k;
	int i;

	if (sscanf(line, "load %d %lf %lf %ld %ld %lf %ld %ld %lf %ld %ld",
		   &routers, &slack, &per_s, &ms[0], &ms[1], &rushes[0].times,
		   &ms[2], &ms[3], &rushes[1].times, &ms[4], &ms[5]) < 5)
		return;
	load.steps = (int)(ms[0] / 100);
	spend = (int)(ms[1] / 100);
	for (i = 0; i < 2; i++) {
		rushes[i].from = (int)(ms[2 + 2 * i] / 100);
		rushes[i].to = (int)(ms[3 + 2 * i] / 100);
	}
	for (k = 0; k < routers; k++) {
		bud_init(&bud, 10 * MAG_US_PER_S, 0.2,
			 bud_slack_part(slack, routers, MAG_NEVER,
					10 * MAG_US_PER_S));
		bud_set_draw(&bud, mag_random_unit(&seed));
		due = 0;
		for (i = 0; i < load.steps; i++) {
			double rate = per_s / routers / 10;

			if (rushes[0].from <= i && i < rushes[0].to)
				rate *= rushes[0].times;
			if (rushes[1].from <= i && i < rushes[1].to)
				rate *= rushes[1].times;
			if (moves && i >= spend)
				rate *= k < routers / 2 ? 0 : 2;
			due += rate;
			for (n = (int)due; n > 0; n--) {
				bud_add_request(&bud, i * step_us);
				load.requests[i]++;
			}
			due -= (int)due;
			while (i >= spend && bud_take_retry(&bud, i * step_us))
				load.retries[i]++;
		}
	}
	part = worst_part(&load, slack);
	fprintf(out, "the worst ten seconds use %.2f, %s\n", part,
		part < 0.9  ? "below nine tenths"
		: part <= 1 ? "in bounds"
			    : "too many");
}

/* Runs a line about a whole fleet; returns false if it is none. */
static bool run_fleet_line(FILE *out, const char *line)
{
	double slack;
	long every_ms;
	long for_ms;
	int n;

	if (strncmp(line, "load ", 5) == 0)
		run_load(out, line, false);
	else if (strncmp(line, "moves load ", 11) == 0)
		run_load(out, line + 6, true);
	else if (sscanf(line, "fleet %d %lf", &n, &slack) == 2)
		run_fleet(out, n, slack);
	else if (sscanf(line, "restarts %d %ld %ld", &n, &every_ms, &for_ms) ==
		 3)
		run_restarts(out, n, every_ms, for_ms);
	else
		return false;
	return true;
}

static void run_script(FILE *in, FILE *out)
{
	struct bud bud;
	char line[LINE_MAX_];
	int64_t now = 0;
	double window_s;
	double ratio;
	double slack;
	long ms;
	int taken;
	int k;
	int n;

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (run_fleet_line(out, line))
			continue;
		if (sscanf(line, "budget %lf %lf %lf", &window_s, &ratio,
			   &slack) == 3) {
			bud_init(&bud, (int64_t)(window_s * MAG_US_PER_S),
				 ratio, slack);
		} else if (sscanf(line, "at %ld", &ms) == 1) {
			now = ms * MAG_US_PER_MS;
		} else if (sscanf(line, "requests %d", &n) == 1) {
			while (n-- > 0)
				bud_add_request(&bud, now);
		} else if (sscanf(line, "steady %d %ld", &n, &ms) == 2) {
			for (; ms > 0; ms -= 100) {
				now += 100 * MAG_US_PER_MS;
				for (k = 0; k < n; k++)
					bud_add_request(&bud, now);
			}
		} else if (sscanf(line, "take %d", &n) == 1) {
			taken = 0;
			while (n-- > 0)
				taken += bud_take_retry(&bud, now);
			fprintf(out, "%d taken\n", taken);
		} else if (sscanf(line, "return %d %ld", &n, &ms) == 2) {
			while (n-- > 0)
				bud_return_retry(&bud, ms * MAG_US_PER_MS);
		} else if (sscanf(line, "first %ld", &ms) == 1) {
			bud_set_first(&bud, ms * MAG_US_PER_MS);
		} else if (sscanf(line, "slack %lf", &slack) == 1) {
			bud_set_slack(&bud, slack);
		}
	}
}

int main(void)
{
	return script_main("regress/bud", run_script);
}
