#include <string.h>

#include "bud.h"
#include "mag.h"
#include "script.h"

#define LINE_MAX_ 256

/*
 * Runs retries against the budget: "budget WINDOW_S RATIO SLACK", "at MS",
 * "requests N", "steady N MS" (every 100 ms, for so long), "take N", "return N
 * MS" (taken then) and "slack SLACK".
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

static void run_script(FILE *in, FILE *out)
{
	struct bud bud;
	char line[LINE_MAX_];
	int64_t now = 0;
	double window_s;
	double ratio;
	double slack;
	long for_ms;
	long ms;
	int taken;
	int k;
	int n;

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
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
		} else if (sscanf(line, "fleet %d %lf", &n, &slack) == 2) {
			run_fleet(out, n, slack);
		} else if (sscanf(line, "restarts %d %ld %ld", &n, &ms,
				  &for_ms) == 3) {
			run_restarts(out, n, ms, for_ms);
		} else if (sscanf(line, "slack %lf", &slack) == 1) {
			bud_set_slack(&bud, slack);
		}
	}
}

int main(void)
{
	return script_main("regress/bud", run_script);
}
