#include <stdio.h>
#include <string.h>

#include "era.h"
#include "pos.h"
#include "script.h"

#define LINE_MAX_ 256
#define START_US  MAG_US_PER_S

/* A store client: its eras, a position, and the time after a restore. */
static struct pos_eras eras;
static struct era era;
static int64_t now;

/*
 * "answer SENT NAMED": an answer that names one era, to a call sent in another.
 */
static void receive_answer(FILE *out, long long sent, long long named)
{
	int64_t before = eras.newest;
	bool counts = pos_accept_era(&eras, sent, named);

	fprintf(out, "%s, era %lld%s\n", counts ? "accepted" : "rejected",
		(long long)eras.newest,
		before != POS_ERA_NONE && eras.newest != before
			? ", the store was restored"
			: "");
	if (before != POS_ERA_NONE && eras.newest != before)
		era_store_restored(&era, now);
}

/* "learn ERA": a peer names an era. */
static void learn_era(FILE *out, long long named)
{
	pos_learn_era(&eras, named);
	fprintf(out, "era %lld\n", (long long)eras.newest);
}

/* "behind ERA REVISION ERA REVISION": compares two positions. */
static void compare_positions(FILE *out, const char *line)
{
	long long x[4];
	struct pos at;
	struct pos known;

	if (sscanf(line, "%*s %lld %lld %lld %lld", &x[0], &x[1], &x[2],
		   &x[3]) != 4)
		return;
	at = (struct pos){ x[0], x[1] };
	known = (struct pos){ x[2], x[3] };
	fprintf(out, "%s, %s\n",
		pos_compare(at, known) < 0 ? "older" : "not older",
		pos_is_behind(at, known) ? "behind" : "not behind");
}

static void print_state(FILE *out)
{
	fprintf(out, "%s, %s, %s\n",
		era_is_authoritative(&era, now) ? "the store is authoritative"
						: "the store may be outdated",
		era.settling ? "settling" : "settled",
		era_may_use_config(&era, eras.newest != POS_ERA_NONE, now)
			? "may use the configuration"
			: "waits for peers");
}

static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	long long a;
	long long b;

	eras = (struct pos_eras){ POS_ERA_NONE, POS_ERA_NONE, false };
	now = START_US;
	era_start(&era, now);
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "answer %lld %lld", &a, &b) == 2)
			receive_answer(out, a, b);
		else if (sscanf(line, "learn %lld", &a) == 1)
			learn_era(out, a);
		else if (strncmp(line, "behind", 6) == 0)
			compare_positions(out, line);
		else if (sscanf(line, "after %lld", &a) == 1)
			now += a * MAG_US_PER_MS;
		else if (strncmp(line, "peer", 4) == 0)
			era.peer_message_seen = true;
		else if (strncmp(line, "config", 6) == 0)
			era.config_written = true;
		else if (strncmp(line, "ends", 4) == 0)
			fprintf(out, "%s\n",
				era_relist_due(&era, now) ? "list again"
							  : "no");
		else if (strncmp(line, "listed", 6) == 0)
			fprintf(out, "%s\n",
				era_list_done(&era) ? "complete" : "no");
		else if (strncmp(line, "show", 4) == 0)
			print_state(out);
	}
}

int main(void)
{
	return script_main("regress/era", run_script);
}
