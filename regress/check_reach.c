#include <string.h>

#include "mag.h"
#include "reach.h"
#include "script.h"

#define LINE_MAX_ 128

static void print_state(FILE *out, const struct reach *reach)
{
	if (reach_is_lost(reach))
		fprintf(out, "lost\n");
	else
		fprintf(out, "%s\n",
			reach_is_doubted(reach) ? "in doubt" : "well");
}

static void drive(FILE *in, FILE *out)
{
	struct reach_workers workers = { 0 };
	struct reach reach = { 0 };
	char line[LINE_MAX_];
	unsigned int worker;
	unsigned int centre;
	int64_t now = MAG_US_PER_S;
	int routers = 1;
	int centres;
	int ms;

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "workers %d centres %d", &workers.count,
			   &centres) == 2) {
			workers.several_centres = centres > 1;
		} else if (sscanf(line, "fails %u centre %u", &worker,
				  &centre) == 2) {
			reach_on_failure(&reach, worker, centre);
		} else if (sscanf(line, "routers %d", &routers) == 1) {
			continue;
		} else if (strncmp(line, "answers", 7) == 0) {
			reach_on_answer(&reach);
		} else if (sscanf(line, "tick %d", &ms) == 1) {
			now += ms * MAG_US_PER_MS;
			if (reach_take_regained(&reach))
				fprintf(out, "regained\n");
			if (reach_take_probe(&reach, routers, now))
				fprintf(out, "probe\n");
			if (reach_update(&reach, &workers, now))
				fprintf(out, "just lost\n");
			print_state(out, &reach);
		}
	}
}

int main(void)
{
	return script_main("regress/reach", drive);
}
