#include <string.h>

#include "bud.h"
#include "mag.h"
#include "script.h"

#define LINE_MAX_ 256

/*
 * Runs retries against the budget: "budget WINDOW_S RATIO SLACK", "at MS",
 * "requests N", "take N" and "slack SLACK".
 */
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
		} else if (sscanf(line, "take %d", &n) == 1) {
			taken = 0;
			while (n-- > 0)
				taken += bud_take_retry(&bud, now);
			fprintf(out, "%d taken\n", taken);
		} else if (sscanf(line, "slack %lf", &slack) == 1) {
			bud_set_slack(&bud, slack);
		}
	}
}

int main(void)
{
	return script_main("regress/bud", run_script);
}
