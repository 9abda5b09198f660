#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "pick.h"
#include "script.h"

#define ENDPOINTS_MAX 64
#define CHAINS_MAX    256
#define TEXT_MAX      256

/*
 * State of one script: the set being built, the picker, and the chains by id.
 */
struct run {
	FILE *out;
	struct cfg_service services[4];
	struct cfg_endpoint endpoints[ENDPOINTS_MAX];
	struct cfg_set set;
	struct pick *pick;
	struct pick_chain chains[CHAINS_MAX];
	int64_t now;
};

typedef void (*command_fn)(struct run *run, char **word, int words);

struct command {
	const char *name;
	command_fn fn;
};

static struct run run;

/* Prints log lines as part of the output. */
static void log_line(void *ctx, enum log_prio prio, const char *line)
{
	(void)prio;
	fprintf(((struct run *)ctx)->out, "  log %s\n", line);
}

/* Returns the index of an endpoint by name, or -1. */
static int endpoint(const char *name)
{
	size_t i;

	for (i = 0; i < run.set.endpoint_count; i++) {
		if (strcmp(run.endpoints[i].name, name) == 0)
			return (int)i;
	}
	return -1;
}

/* Prints a chain. */
static void print_chain(const struct pick_chain *chain)
{
	int i;

	for (i = 0; i < chain->count; i++) {
		const struct pick_stage *s = &chain->stages[i];

		fprintf(run.out, " %s[%u-%u]",
			s->endpoint < 0 ? "gone"
					: run.endpoints[s->endpoint].name,
			s->first_layer, s->last_layer);
	}
	fprintf(run.out, "\n");
}

/* service NAME LAYERS ACTIVATION: adds a service; 0 layers make it plain */
static void do_service(struct run *r, char **word, int words)
{
	struct cfg_service *s = &r->services[r->set.service_count++];

	(void)words;
	mag_copy_name(s->name, sizeof(s->name), word[1]);
	s->layers = (uint32_t)atoi(word[2]);
	s->kind = s->layers ? CFG_MODEL : CFG_PLAIN;
	s->activation_bytes = (uint32_t)atoi(word[3]);
}

/* endpoint NAME SERVICE CENTRE FIRST LAST RATE LINK CONCURRENCY [GROUP] */
static void do_endpoint(struct run *r, char **word, int words)
{
	struct cfg_endpoint *e = &r->endpoints[r->set.endpoint_count++];

	memset(e, 0, sizeof(*e));
	mag_copy_name(e->name, sizeof(e->name), word[1]);
	e->service = atoi(word[2]);
	mag_copy_name(e->data_centre, sizeof(e->data_centre), word[3]);
	e->first_layer = (uint32_t)atoi(word[4]);
	e->last_layer = (uint32_t)atoi(word[5]);
	e->tokens_per_s = (uint32_t)atoi(word[6]);
	e->link_bytes_per_s = (uint64_t)atoll(word[7]);
	e->concurrency = (uint32_t)atoi(word[8]);
	if (words > 9)
		mag_copy_name(e->group, sizeof(e->group), word[9]);
}

/* remove NAME: removes an endpoint from the next set */
static void do_remove(struct run *r, char **word, int words)
{
	int e = endpoint(word[1]);

	(void)words;
	r->set.endpoint_count--;
	memmove(&r->endpoints[e], &r->endpoints[e + 1],
		(r->set.endpoint_count - (size_t)e) * sizeof(*r->endpoints));
}

/* rate NAME RATE: changes the rate in the next set; 0 drains the endpoint */
static void do_rate(struct run *r, char **word, int words)
{
	struct cfg_endpoint *e = &r->endpoints[endpoint(word[1])];

	(void)words;
	e->tokens_per_s = (uint32_t)atoi(word[2]);
	e->state = e->tokens_per_s ? CFG_ACTIVE : CFG_DRAIN;
}

/* config: applies the set and translates all chains to it */
static void do_config(struct run *r, char **word, int words)
{
	int i;

	(void)word;
	(void)words;
	pick_config(r->pick, &r->set, r->now);
	for (i = 0; i < CHAINS_MAX; i++)
		pick_remap(r->pick, &r->chains[i]);
}

/* policy N: starts again with an empty picker and another policy */
static void do_policy(struct run *r, char **word, int words)
{
	(void)words;
	pick_free(r->pick);
	r->pick = pick_new((enum pick_policy)atoi(word[1]), 1);
}

/*
 * choose ID [keep ID] [avoid NAME]... [alone] [careful] [prefix N] [tokens N]
 * [group G] [service N]: chooses a chain and starts an attempt on it
 */
static void do_choose(struct run *r, char **word, int words)
{
	static const char *const errors[] = { "", "busy", "none", "memory" };
	struct pick_request request = { .service = 0, .group = "" };
	struct pick_chain *chain = &r->chains[atoi(word[1])];
	struct pick_chain keep;
	int avoid[8];
	int err;
	int i;

	request.avoid = avoid;
	for (i = 2; i < words; i++) {
		if (strcmp(word[i], "alone") == 0) {
			request.alone = true;
		} else if (strcmp(word[i], "careful") == 0) {
			request.at_most_once = true;
		} else if (strcmp(word[i], "keep") == 0) {
			keep = r->chains[atoi(word[++i])];
			request.resume_from = &keep;
		} else if (strcmp(word[i], "avoid") == 0) {
			avoid[request.avoid_count++] = endpoint(word[++i]);
		} else if (strcmp(word[i], "prefix") == 0) {
			request.prefix_hash = (uint64_t)atoll(word[++i]);
		} else if (strcmp(word[i], "tokens") == 0) {
			request.prompt_tokens = (uint32_t)atoi(word[++i]);
		} else if (strcmp(word[i], "group") == 0) {
			request.group = word[++i];
		} else if (strcmp(word[i], "service") == 0) {
			request.service = atoi(word[++i]);
		}
	}
	err = pick_choose(r->pick, &request, r->now, chain);
	fprintf(r->out, "choose %s: %s", word[1], errors[-err]);
	print_chain(chain);
	if (err == PICK_OK)
		pick_started(r->pick, chain, r->now);
}

/* ended ID well|failed|slow|refused|other [STAGE [TOKENS [US]]] */
static void do_ended(struct run *r, char **word, int words)
{
	static const char *const kinds[] = { "well", "failed", "slow",
					     "refused", "other" };
	struct pick_result result = { .failed_stage = -1, .tokens = 10 };
	int i;

	for (i = 0; i < 5; i++) {
		if (strcmp(word[2], kinds[i]) == 0)
			result.kind = (enum pick_result_kind)i;
	}
	if (words > 3)
		result.failed_stage = atoi(word[3]);
	if (words > 4)
		result.tokens = (uint32_t)atoi(word[4]);
	result.duration_us = words > 5 ? atoll(word[5]) : 1000;
	pick_ended(r->pick, &r->chains[atoi(word[1])], &result, r->now);
}

/* hops ID US...: reports the hop times of a chain */
static void do_hops(struct run *r, char **word, int words)
{
	uint32_t hops[MAG_CHAIN_MAX];
	int i;

	for (i = 2; i < words; i++)
		hops[i - 2] = (uint32_t)atoi(word[i]);
	pick_add_hop_times(r->pick, &r->chains[atoi(word[1])], hops, words - 2,
			   r->now);
}

/*
 * repeat N: makes N choices, each ended at once, and counts how often each
 * endpoint was chosen
 */
static void do_repeat(struct run *r, char **word, int words)
{
	struct pick_request request = { .service = 0, .group = "" };
	struct pick_result result = { .kind = PICK_ENDED_COMPLETE,
				      .tokens = 10 };
	int count[ENDPOINTS_MAX] = { 0 };
	struct pick_chain chain;
	size_t e;
	int i;
	int s;

	(void)words;
	log_set_sink(NULL, NULL);
	for (i = 0; i < atoi(word[1]); i++) {
		if (pick_choose(r->pick, &request, r->now, &chain) < 0)
			continue;
		pick_started(r->pick, &chain, r->now);
		for (s = 0; s < chain.count; s++)
			count[chain.stages[s].endpoint]++;
		pick_ended(r->pick, &chain, &result, r->now);
	}
	log_set_sink(log_line, r);
	for (e = 0; e < r->set.endpoint_count; e++)
		fprintf(r->out, "%s got %d\n", r->endpoints[e].name, count[e]);
}

/* report NAME RATE RUNNING MEASURED_MS */
static void do_report(struct run *r, char **word, int words)
{
	struct pick_report report = {
		.tokens_per_s = (uint32_t)atoi(word[2]),
		.running = (uint32_t)atoi(word[3]),
		.measured_at_us = atoll(word[4]) * MAG_US_PER_MS,
	};

	(void)words;
	pick_report(r->pick, endpoint(word[1]), &report, r->now);
}

/* leaving NAME 0|1 */
static void do_leaving(struct run *r, char **word, int words)
{
	(void)words;
	pick_set_leaving(r->pick, endpoint(word[1]), atoi(word[2]), r->now);
}

/* cache NAME SEQUENCE PREFIX 0|1: a cache event; 1 means stored */
static void do_cache(struct run *r, char **word, int words)
{
	(void)words;
	pick_cache_event(r->pick, endpoint(word[1]), (uint64_t)atoll(word[2]),
			 (uint64_t)atoll(word[3]), atoi(word[4]), r->now);
}

/* at MS: advances the time, running every tick that is due until then */
static void do_at(struct run *r, char **word, int words)
{
	int64_t to = atoll(word[1]) * MAG_US_PER_MS;

	(void)words;
	while (pick_next_deadline(r->pick) <= to) {
		if (pick_next_deadline(r->pick) > r->now)
			r->now = pick_next_deadline(r->pick);
		pick_tick(r->pick, r->now);
	}
	r->now = to;
}

/* bound [without NAME] */
static void do_bound(struct run *r, char **word, int words)
{
	if (words > 2)
		fprintf(r->out, "bound without %s: %.1f\n", word[2],
			pick_bound_without(r->pick, 0, endpoint(word[2])));
	else
		fprintf(r->out, "bound %.1f\n", pick_bound(r->pick, 0));
}

/* proved ID: a suspect has run long enough without a crash */
static void do_proved(struct run *r, char **word, int words)
{
	(void)words;
	pick_release_suspect(r->pick, &r->chains[atoi(word[1])]);
}

/* explain [GROUP [PREFIX]] */
static void do_explain(struct run *r, char **word, int words)
{
	struct pick_request request = { .service = 0, .group = "" };

	if (words > 1)
		request.group = word[1];
	if (words > 2)
		request.prefix_hash = (uint64_t)atoll(word[2]);
	pick_explain_request(r->pick, &request, r->now, r->out);
}

/*
 * bounds: prints the bound, what limits it, and the bound without each endpoint
 */
static void do_bounds(struct run *r, char **word, int words)
{
	(void)word;
	(void)words;
	pick_write_bound(r->pick, 0, r->now, r->out);
}

static const struct command commands[] = {
	{ "proved", do_proved },
	{ "explain", do_explain },
	{ "bounds", do_bounds },
	{ "service", do_service },
	{ "endpoint", do_endpoint },
	{ "remove", do_remove },
	{ "rate", do_rate },
	{ "config", do_config },
	{ "policy", do_policy },
	{ "choose", do_choose },
	{ "ended", do_ended },
	{ "hops", do_hops },
	{ "repeat", do_repeat },
	{ "report", do_report },
	{ "leaving", do_leaving },
	{ "cache", do_cache },
	{ "at", do_at },
	{ "bound", do_bound },
};

/* Splits a line into words and runs its command. */
static void run_command(char *line)
{
	char *word[16];
	char *save = NULL;
	int words = 0;
	size_t i;

	for (word[words] = strtok_r(line, " \n", &save);
	     word[words] && words < 15;
	     word[++words] = strtok_r(NULL, " \n", &save))
		;
	for (i = 0; words > 0 && i < MAG_ARRAY_SIZE(commands); i++) {
		if (strcmp(commands[i].name, word[0]) == 0)
			commands[i].fn(&run, word, words);
	}
}

/* Runs one script of regress/pick. */
static void driver(FILE *in, FILE *out)
{
	char line[TEXT_MAX];

	memset(&run, 0, sizeof(run));
	run.out = out;
	run.set.services = run.services;
	run.set.endpoints = run.endpoints;
	run.pick = pick_new(PICK_FLOW, 1);
	log_set_sink(log_line, &run);
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#')
			fputs(line, out);
		else
			run_command(line);
	}
	pick_free(run.pick);
}

/* Runs all scripts. */
int main(void)
{
	return script_main("regress/pick", driver);
}
