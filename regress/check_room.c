#include <string.h>

#include "room.h"
#include "script.h"

#define LINE_MAX_ 256
#define NOW_US	  (100 * MAG_US_PER_S)

/*
 * "request PROMPT HINT MAX": prints the expected sizes of a request to a
 * service with a usual prompt of 700 and a usual answer of 200 tokens.
 */
static void print_request(const char *line, FILE *out)
{
	struct room_request r = { .usual_prompt = 700, .usual_answer = 200 };

	if (sscanf(line, "%*s %d %d %d", &r.prompt, &r.answer_hint,
		   &r.answer_max) != 3)
		return;
	fprintf(out, "%.0f tokens, %.0f in all\n", room_mean_tokens(&r),
		room_final_tokens(&r));
}

/*
 * "streams COUNT PROMPT ANSWER": compares the tokens that streams of all ages
 * actually hold with the expected number.
 */
static void compare_streams(const char *line, FILE *out)
{
	struct room_request r = { 0 };
	double held = 0;
	double expected;
	int count;
	int i;

	if (sscanf(line, "%*s %d %d %d", &count, &r.prompt, &r.answer_hint) !=
	    3)
		return;
	for (i = 0; i < count; i++)
		held += r.prompt + (i + 0.5) / count * r.answer_hint;
	expected = count * room_mean_tokens(&r);
	fprintf(out, "%s\n",
		expected < 0.99 * held	 ? "too little"
		: expected > 1.01 * held ? "too much"
					 : "as expected");
}

/*
 * "worker OWN PEERS REPORTED AGE_MS [RECENT ROUTERS]": prints the memory in use
 * by all that is known.
 */
static void print_worker(const char *line, FILE *out)
{
	struct room_load known = { 0 };
	long age_ms;

	if (sscanf(line, "%*s %lf %lf %lf %ld %lf %d", &known.own, &known.peers,
		   &known.reported, &age_ms, &known.recent, &known.routers) < 4)
		return;
	known.reported_us = NOW_US - age_ms * MAG_US_PER_MS;
	fprintf(out, "holds %.0f\n", room_held(&known, NOW_US));
}

static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (strncmp(line, "request ", 8) == 0)
			print_request(line, out);
		else if (strncmp(line, "streams ", 8) == 0)
			compare_streams(line, out);
		else if (strncmp(line, "worker ", 7) == 0)
			print_worker(line, out);
	}
}

int main(void)
{
	return script_main("regress/room", run_script);
}
