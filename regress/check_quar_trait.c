#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "quar_trait.h"
#include "script.h"

#define TEXT_MAX      128
#define INSTANCES_MAX 1000
#define PRINTED_MAX   3 /* instances whose states are printed */
#define REPORTS_MAX   55
#define HOLD_US	      (600 * MAG_US_PER_S)

static FILE *script_out;
static struct quar_traits *instances[INSTANCES_MAX];
static int instance_count;
static int fanout; /* instances that a message reaches */
static int turn;
static long sent;
static uint64_t seed;

/* Prints log lines as part of the output. */
static void log_line(void *ctx, enum log_prio prio, const char *line)
{
	(void)ctx;
	(void)prio;
	if (instance_count <= PRINTED_MAX)
		fprintf(script_out, "  log %s\n", line);
}

/* Returns a part of a prompt, named by a letter; a content for a capital one.
 */
static struct quar_trait trait_of(char letter)
{
	struct quar_trait trait = { .value = (uint64_t)letter };

	if (letter < 'a')
		trait.kind = QUAR_TRAIT_CONTENT;
	return trait;
}

/* Delivers the reports of each instance to so many of the others. */
static void exchange(int64_t now)
{
	struct quar_trait_report reports[REPORTS_MAX];
	int count;
	int from;
	int to;
	int i;
	int k;

	for (from = 0; from < instance_count; from++) {
		count = quar_traits_collect(instances[from], reports,
					    REPORTS_MAX, now);
		for (k = 0; count > 0 && k < fanout; k++) {
			to = (from + 1 + turn++ % (instance_count - 1)) %
			     instance_count;
			sent++;
			for (i = 0; i < count; i++)
				quar_trait_hear(instances[to], &reports[i],
						now);
		}
	}
}

/* Passes time in ticks of 10 ms, with messages between the instances. */
static void pass(int64_t from, int64_t to)
{
	int64_t now;
	int i;

	for (now = from; now < to; now += 10 * MAG_US_PER_MS) {
		for (i = 0; i < instance_count; i++)
			quar_traits_tick(instances[i], now);
		exchange(now);
	}
}

/* Prints the state of a trait at each instance. */
static void print_state(char letter, int64_t now)
{
	static const char *const states[] = {
		[QUAR_CLEAR] = "clear",
		[QUAR_SUSPECT] = "suspect",
		[QUAR_QUARANTINED] = "quarantined",
	};
	struct quar_trait trait = trait_of(letter);
	int i;

	fprintf(script_out, "%c is", letter);
	for (i = 0; i < instance_count && i < PRINTED_MAX; i++)
		fprintf(script_out, " %s%s",
			states[quar_trait_check(instances[i], &trait, now)],
			quar_trait_is_in_doubt(instances[i], &trait, now)
				? " in doubt"
				: "");
	fprintf(script_out, "\n");
}

/* Tells an instance that has started what another one quarantines. */
static void restart(int started, int other, int64_t now)
{
	struct quar_trait_report reports[REPORTS_MAX];
	int index = 0;
	int count;
	int i;

	quar_traits_free(instances[started]);
	instances[started] = quar_traits_new(64, HOLD_US);
	while ((count = quar_traits_held(instances[other], &index, reports,
					 REPORTS_MAX, now)) > 0) {
		for (i = 0; i < count; i++)
			quar_trait_hear(instances[started], &reports[i], now);
	}
}

/* Prints at how many instances a trait is quarantined. */
static void count_held(char letter, int64_t now)
{
	struct quar_trait trait = trait_of(letter);
	int held = 0;
	int i;

	for (i = 0; i < instance_count; i++)
		held += quar_trait_check(instances[i], &trait, now) ==
			QUAR_QUARANTINED;
	fprintf(script_out, "%c is quarantined at %d of %d\n", letter, held,
		instance_count);
}

/*
 * Endpoints are lost at once, each with so many requests of instances drawn at
 * random, and two traits each.
 */
static void lose_many(int endpoints, int requests, int64_t now)
{
	struct quar_trait_report loss = { 0 };
	int at;
	int e;
	int r;

	for (e = 0; e < endpoints; e++) {
		for (r = 0; r < requests; r++) {
			at = (int)(mag_random(&seed) %
				   (uint64_t)instance_count);
			loss.endpoint = (uint32_t)(100000 + e);
			loss.request = (uint32_t)mag_random(&seed);
			loss.trait.kind = QUAR_TRAIT_PART;
			loss.trait.value = 1000 + mag_random(&seed) % 500;
			quar_trait_add_loss(instances[at], &loss, now);
			loss.trait.kind = QUAR_TRAIT_CONTENT;
			loss.trait.value = mag_random(&seed);
			quar_trait_add_loss(instances[at], &loss, now);
		}
	}
}

/* Makes so many instances, of which a message reaches some. */
static void make_instances(int count, int reached)
{
	int i;

	for (i = 0; i < instance_count; i++)
		quar_traits_free(instances[i]);
	instance_count = count;
	fanout = reached;
	for (i = 0; i < count; i++)
		instances[i] = quar_traits_new(64, HOLD_US);
	seed = 1;
}

/* Prints the traits that an instance has to keep in the store, each once. */
static void keep(int at, int64_t now)
{
	struct quar_trait trait;
	int64_t since_us;

	while (quar_trait_next_unkept(instances[at], &trait, &since_us, now)) {
		fprintf(script_out, "keeps %c\n", (char)trait.value);
		quar_trait_set_kept(instances[at], &trait);
	}
}

/*
 * Runs a line: "loss INSTANCE TRAIT ENDPOINT REQUEST"; "well INSTANCE TRAIT
 * MS", a run that began at MS did well; "try INSTANCE TRAIT RANK"; "restart
 * INSTANCE OTHER"; "keep INSTANCE", what it has to keep in the store; "restore
 * INSTANCE TRAIT", "lift INSTANCE TRAIT", as the store says; "check TRAIT";
 * "instances N M", a message of N instances reaches M; "many ENDPOINTS
 * REQUESTS"; "held TRAIT"; "messages MOST".
 */
static void run_line(const char *line, int64_t now)
{
	struct quar_trait_report loss = { 0 };
	unsigned int endpoint;
	unsigned int request;
	char letter;
	int at;
	int a;

	if (sscanf(line, "instances %d %d", &at, &a) == 2) {
		make_instances(at, a);
	} else if (sscanf(line, "many %d %d", &at, &a) == 2) {
		lose_many(at, a, now);
	} else if (sscanf(line, "held %c", &letter) == 1) {
		count_held(letter, now);
	} else if (sscanf(line, "messages %d", &a) == 1) {
		fprintf(script_out, "%s %d messages from each\n",
			sent <= (long)a * instance_count ? "at most" : "over",
			a);
		sent = 0;
	} else if (sscanf(line, "loss %d %c %u %u", &at, &letter, &endpoint,
			  &request) == 4) {
		loss.trait = trait_of(letter);
		loss.endpoint = endpoint;
		loss.request = request;
		quar_trait_add_loss(instances[at], &loss, now);
	} else if (sscanf(line, "well %d %c %d", &at, &letter, &a) == 3) {
		loss.trait = trait_of(letter);
		quar_trait_did_well(instances[at], &loss.trait,
				    a * MAG_US_PER_MS, now);
	} else if (sscanf(line, "try %d %c %d", &at, &letter, &a) == 3) {
		loss.trait = trait_of(letter);
		fprintf(script_out, "%c %s\n", letter,
			quar_trait_take_trial(instances[at], &loss.trait, a,
					      now)
				? "is tried"
				: "is not tried");
	} else if (sscanf(line, "restart %d %d", &at, &a) == 2) {
		restart(at, a, now);
	} else if (sscanf(line, "restore %d %c", &at, &letter) == 2) {
		loss.trait = trait_of(letter);
		quar_trait_restore(instances[at], &loss.trait, now);
	} else if (sscanf(line, "lift %d %c", &at, &letter) == 2) {
		loss.trait = trait_of(letter);
		quar_trait_lift(instances[at], &loss.trait, now);
	} else if (sscanf(line, "keep %d", &at) == 1) {
		keep(at, now);
	} else if (sscanf(line, "check %c", &letter) == 1) {
		print_state(letter, now);
	}
}

/* Runs one script; "at MS" passes time until then. */
static void run_script(FILE *in, FILE *out)
{
	char line[TEXT_MAX];
	int64_t now = 0;
	int ms;

	script_out = out;
	log_set_sink(log_line, NULL);
	make_instances(3, 2);
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#')
			fputs(line, out);
		if (sscanf(line, "at %d", &ms) == 1) {
			pass(now, ms * MAG_US_PER_MS);
			now = ms * MAG_US_PER_MS;
			fputs(line, out);
		} else {
			run_line(line, now);
		}
	}
	make_instances(0, 0);
}

int main(void)
{
	return script_main("regress/quar_trait", run_script);
}
