#include <stdlib.h>
#include <string.h>

#include "adm.h"
#include "log.h"
#include "pick.h"
#include "script.h"
#include "shr.h"

#define OBJECTS_MAX 16
#define TEXT_MAX    256
#define LISTED_MAX  20 /* requests up to which a line lists each one */

/*
 * The state of one script: the next configuration, and the admission and
 * shares under test.
 */
struct run {
	FILE *out;
	struct cfg_service services[OBJECTS_MAX];
	struct cfg_account accounts[OBJECTS_MAX];
	struct cfg_limit limits[OBJECTS_MAX];
	struct cfg_endpoint endpoints[OBJECTS_MAX];
	struct cfg_set set;
	struct adm *adm;
	struct shr *shr;
	int64_t now;
	long id; /* id of the next request made by "offers" */
};

typedef void (*command_fn)(char **word);

struct command {
	const char *name;
	int words;
	command_fn fn;
};

static struct run run;

/* Adds log lines to the output. */
static void log_line(void *ctx, enum log_prio prio, const char *line)
{
	(void)ctx;
	(void)prio;
	fprintf(run.out, "  log %s\n", line);
}

/* service NAME QUEUE_MAX RETRY_PERCENT */
static void do_service(char **word)
{
	struct cfg_service *s = &run.services[run.set.service_count++];

	mag_copy_name(s->name, sizeof(s->name), word[1]);
	s->queue_max = (uint32_t)atoi(word[2]);
	s->retry_percent = (uint32_t)atoi(word[3]);
}

/* account NAME WEIGHT */
static void do_account(char **word)
{
	struct cfg_account *a = &run.accounts[run.set.account_count++];

	mag_copy_name(a->name, sizeof(a->name), word[1]);
	a->weight = (uint32_t)atoi(word[2]);
}

/* limit NAME ACCOUNT SERVICE REQUESTS TOKENS CONCURRENT */
static void do_limit(char **word)
{
	struct cfg_limit *l = &run.limits[run.set.limit_count++];

	mag_copy_name(l->name, sizeof(l->name), word[1]);
	l->account = atoi(word[2]);
	l->service = atoi(word[3]);
	l->requests_per_s = (uint32_t)atoi(word[4]);
	l->tokens_per_s = (uint32_t)atoi(word[5]);
	l->concurrent = (uint32_t)atoi(word[6]);
}

/* endpoint NAME CONCURRENCY */
static void do_endpoint(char **word)
{
	struct cfg_endpoint *e = &run.endpoints[run.set.endpoint_count++];

	mag_copy_name(e->name, sizeof(e->name), word[1]);
	e->concurrency = (uint32_t)atoi(word[2]);
}

/* swap-accounts: the next configuration lists the first two in reverse order */
static void do_swap(char **word)
{
	struct cfg_account first = run.accounts[0];

	(void)word;
	run.accounts[0] = run.accounts[1];
	run.accounts[1] = first;
}

/* remove-account: the next configuration lacks the last account */
static void do_remove(char **word)
{
	(void)word;
	run.set.account_count--;
}

/* config: applies the next configuration */
static void do_config(char **word)
{
	(void)word;
	adm_config(run.adm, &run.set, run.now);
	shr_config(run.shr, &run.set);
}

/* capacity SERVICE TOKENS_PER_S */
static void do_capacity(char **word)
{
	adm_set_capacity(run.adm, atoi(word[1]), atof(word[2]));
}

/* share LIMIT REQUESTS TOKENS CONCURRENT */
static void do_share(char **word)
{
	adm_set_share(run.adm, atoi(word[1]), atof(word[2]), atof(word[3]),
		      atof(word[4]));
}

/* at MS: sets the time */
static void do_at(char **word)
{
	run.now = atoll(word[1]) * MAG_US_PER_MS;
}

/* Offers one request. */
static enum adm_verdict offer(long id, char **word)
{
	struct adm_offer o = {
		.req = (uint64_t)id,
		.account = atoi(word[1]),
		.service = 0,
		.cost_tokens = (uint32_t)atoi(word[2]),
		.deadline_us = run.now + atoll(word[3]) * MAG_US_PER_MS,
		.priority = (uint32_t)atoi(word[4]),
	};
	enum adm_verdict verdict = adm_offer(run.adm, &o, run.now);

	shr_add(run.shr, o.account, 0, SHR_OFFERED);
	shr_add(run.shr, o.account, 0,
		verdict == ADM_QUEUED ? SHR_ADMITTED : SHR_REFUSED);
	return verdict;
}

/* offer ID ACCOUNT COST ALLOWANCE_MS PRIORITY */
static void do_offer(char **word)
{
	enum adm_verdict verdict = offer(atol(word[1]), word + 1);

	fprintf(run.out, "offer %s: %s\n", word[1], adm_verdict_name(verdict));
}

/* offers COUNT ACCOUNT COST ALLOWANCE_MS PRIORITY: prints verdict counts */
static void do_offers(char **word)
{
	int counts[ADM_OVER_SHARE + 1] = { 0 };
	int i;

	log_set_sink(NULL, NULL);
	for (i = 0; i < atoi(word[1]); i++)
		counts[offer(1000 + run.id++, word + 1)]++;
	log_set_sink(log_line, NULL);
	fprintf(run.out, "offers of account %s:", word[2]);
	for (i = 0; i <= ADM_OVER_SHARE; i++) {
		if (counts[i])
			fprintf(run.out, " %s=%d",
				adm_verdict_name((enum adm_verdict)i),
				counts[i]);
	}
	fprintf(run.out, "\n");
}

/* start COUNT: starts requests in order; lists up to LISTED_MAX of them */
static void do_start(char **word)
{
	uint64_t req;
	int i;

	fprintf(run.out, "start:");
	for (i = 0; i < atoi(word[1]) && adm_peek(run.adm, 0, &req); i++) {
		adm_start(run.adm, req, run.now);
		if (atoi(word[1]) <= LISTED_MAX)
			fprintf(run.out, " %d", (int)req);
	}
	fprintf(run.out, atoi(word[1]) <= LISTED_MAX ? "\n" : " %d\n", i);
}

/* skip COUNT: skips requests and lists them */
static void do_skip(char **word)
{
	uint64_t req;
	int i;

	fprintf(run.out, "skip:");
	for (i = 0; i < atoi(word[1]) && adm_peek(run.adm, 0, &req); i++) {
		adm_skip(run.adm, 0);
		fprintf(run.out, " %d", (int)req);
	}
	fprintf(run.out, "\n");
}

/*
 * serve TOKENS_PER_S UNTIL_MS: runs one request at a time; prints tokens per
 * account
 */
static void do_serve(char **word)
{
	double served[OBJECTS_MAX] = { 0 };
	int64_t until = atoll(word[2]) * MAG_US_PER_MS;
	uint64_t req;
	size_t a;

	while (run.now < until && adm_peek(run.adm, 0, &req)) {
		uint32_t account = (uint32_t)(req / 100000);

		adm_start(run.adm, req, run.now);
		run.now += (int64_t)(100 * 1e6 / atof(word[1]));
		adm_answered(run.adm, req, 100, run.now);
		if (account < OBJECTS_MAX)
			served[account] += 100;
	}
	for (a = 0; a < run.set.account_count; a++)
		fprintf(run.out, "%s served %.0f\n", run.accounts[a].name,
			served[a]);
}

/* backlog ACCOUNT COUNT: queues requests whose ids tell serve the account */
static void do_backlog(char **word)
{
	char *args[] = { "", word[1], "100", "3600000", "0" };
	int i;

	for (i = 0; i < atoi(word[2]); i++)
		offer(atol(word[1]) * 100000 + i, args);
}

/* done ID TOKENS: the request was answered completely */
static void do_done(char **word)
{
	adm_answered(run.adm, (uint64_t)atoll(word[1]), (uint32_t)atoi(word[2]),
		     run.now);
}

/* cut ID TOKENS: the request failed after so many tokens */
static void do_cut(char **word)
{
	adm_done(run.adm, (uint64_t)atoll(word[1]), (uint32_t)atoi(word[2]),
		 run.now);
}

/* drop ID */
static void do_drop(char **word)
{
	adm_drop(run.adm, (uint64_t)atoll(word[1]), run.now);
}

/* expired: lists and drops requests that waited too long */
static void do_expired(char **word)
{
	uint64_t req;

	(void)word;
	fprintf(run.out, "expired:");
	while (adm_next_expired(run.adm, run.now, &req)) {
		fprintf(run.out, " %d", (int)req);
		adm_drop(run.adm, req, run.now);
	}
	fprintf(run.out, "\n");
}

/* retries COUNT ACCOUNT ENDPOINT: prints how many the budgets allow */
static void do_retries(char **word)
{
	int allowed = 0;
	int i;

	for (i = 0; i < atoi(word[1]); i++) {
		if (!adm_may_retry(run.adm, atoi(word[2]), 0, atoi(word[3]),
				   run.now))
			continue;
		shr_add_retry(run.shr, atoi(word[2]), 0, atoi(word[3]));
		allowed++;
	}
	fprintf(run.out, "retries of account %s at endpoint %s: %d of %s\n",
		word[2], word[3], allowed, word[1]);
}

/* come-back COUNT ACCOUNT: prints how many callers return in which second */
static void do_come_back(char **word)
{
	int at[256] = { 0 };
	int seconds = 0;
	int max_in_one = 0;
	int i;

	for (i = 0; i < atoi(word[1]); i++)
		at[adm_retry_after_s(run.adm, atoi(word[2]), 0, run.now) &
		   255]++;
	fprintf(run.out, "come back:");
	for (i = 0; i < 256; i++) {
		if (at[i] && atoi(word[1]) <= 2 * LISTED_MAX)
			fprintf(run.out, " %d s: %d", i, at[i]);
		max_in_one = at[i] > max_in_one ? at[i] : max_in_one;
		seconds += at[i] > 0;
	}
	fprintf(run.out, " in %d different seconds, at most %d in one\n",
		seconds, max_in_one);
}

/* state: prints the number of waiting requests and each limit's demand */
static void do_state(char **word)
{
	size_t i;

	(void)word;
	fprintf(run.out, "waiting %u", adm_waiting(run.adm, 0));
	for (i = 0; i < run.set.limit_count; i++)
		fprintf(run.out, " demand of %s %.1f", run.limits[i].name,
			adm_demand(run.adm, (int)i, run.now));
	fprintf(run.out, "\n");
}

/* ran ACCOUNT TOKENS: an attempt ran on the first two endpoints */
static void do_ran(char **word)
{
	struct pick_chain chain = { .stages = { { 0, 0, 3 }, { 1, 4, 7 } },
				    .count = 2 };
	uint32_t hop_us[] = { 100, 300 };

	shr_add_attempt(run.shr, atoi(word[1]), 0, &chain,
			(uint32_t)atoi(word[2]), hop_us);
}

/* shares */
static void do_shares(char **word)
{
	(void)word;
	shr_write_json(run.shr, run.out);
}

/* metrics */
static void do_metrics(char **word)
{
	(void)word;
	shr_write_metrics(run.shr, run.out);
}

static const struct command commands[] = {
	{ "service", 4, do_service },	 { "account", 3, do_account },
	{ "limit", 7, do_limit },	 { "endpoint", 3, do_endpoint },
	{ "swap-accounts", 1, do_swap }, { "remove-account", 1, do_remove },
	{ "config", 1, do_config },	 { "capacity", 3, do_capacity },
	{ "share", 5, do_share },	 { "at", 2, do_at },
	{ "offer", 6, do_offer },	 { "offers", 6, do_offers },
	{ "start", 2, do_start },	 { "skip", 2, do_skip },
	{ "serve", 3, do_serve },	 { "backlog", 3, do_backlog },
	{ "done", 3, do_done },		 { "cut", 3, do_cut },
	{ "drop", 2, do_drop },		 { "expired", 1, do_expired },
	{ "retries", 4, do_retries },	 { "come-back", 3, do_come_back },
	{ "state", 1, do_state },	 { "ran", 3, do_ran },
	{ "shares", 1, do_shares },	 { "metrics", 1, do_metrics },
};

/* Splits a line into words and runs the command. */
static void run_line(char *line)
{
	char *word[16] = { NULL };
	char *save = NULL;
	int words = 0;
	size_t i;

	for (word[words] = strtok_r(line, " \n", &save);
	     word[words] && words < 15;
	     word[++words] = strtok_r(NULL, " \n", &save))
		;
	for (i = 0; words > 0 && i < MAG_ARRAY_SIZE(commands); i++) {
		if (strcmp(commands[i].name, word[0]) == 0 &&
		    commands[i].words == words)
			commands[i].fn(word);
	}
}

/* Runs one script of regress/adm. */
static void run_script(FILE *in, FILE *out)
{
	char line[TEXT_MAX];

	memset(&run, 0, sizeof(run));
	run.out = out;
	run.set.services = run.services;
	run.set.accounts = run.accounts;
	run.set.limits = run.limits;
	run.set.endpoints = run.endpoints;
	run.adm = adm_new(1, true);
	run.shr = shr_new();
	log_set_sink(log_line, NULL);
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#')
			fputs(line, out);
		else
			run_line(line);
	}
	adm_free(run.adm);
	shr_free(run.shr);
}

/* Runs all scripts. */
int main(void)
{
	return script_main("regress/adm", run_script);
}
