/*
 * Reads the records of the stand-ins and callers and reports every
 * contradiction: a delivered token whose layers did not run once and in order
 * in one attempt, a booking with two effects, a booking reported as not-run
 * that ran, and a booking reported as ran that did not.  All processes must
 * append to the same file, because the order of the lines matters.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <urcu/list.h>

#include "fk.h"
#include "mag.h"

#define VER_LINE_MAX 1024
#define VER_BUCKETS  65536

/* The layers run for one token in one attempt. */
struct ver_token {
	struct cds_list_head node;
	char request[FK_ID_MAX];
	long attempt;
	long index;
	long next_layer; /* expected next */
	bool broken;	 /* skipped, repeated or out of order */
};

struct ver_intent {
	struct cds_list_head node;
	char name[FK_ID_MAX];
	long effects;
	bool told_ran;
	bool told_not_run; /* in the last answer */
};

/* An answer that a caller received, checked after all lines are read. */
struct ver_answer {
	struct cds_list_head node;
	char request[FK_ID_MAX];
	long tokens;
	long layers;
};

static struct cds_list_head ver_tokens[VER_BUCKETS];
static struct cds_list_head ver_intents[VER_BUCKETS];
static CDS_LIST_HEAD(ver_answers);
static long ver_contradictions;
static long ver_token_count;
static long ver_effect_count;
static long ver_answer_count;

static size_t ver_hash(const char *name, long index)
{
	return fk_initial_state(name, (uint32_t)index) % VER_BUCKETS;
}

/* Copies the value of key=value from a line; "" if the key is missing. */
static void ver_field(const char *line, const char *key, char *value,
		      size_t size)
{
	char pattern[32];
	const char *at;

	snprintf(pattern, sizeof(pattern), " %s=", key);
	at = strstr(line, pattern);
	value[0] = '\0';
	if (!at)
		return;
	at += strlen(pattern);
	snprintf(value, size, "%.*s", (int)strcspn(at, " \n"), at);
}

static long ver_number(const char *line, const char *key)
{
	char value[32];

	ver_field(line, key, value, sizeof(value));
	return strtol(value, NULL, 10);
}

static struct ver_intent *ver_intent(const char *name)
{
	struct cds_list_head *bucket = &ver_intents[ver_hash(name, 0)];
	struct ver_intent *intent;

	cds_list_for_each_entry (intent, bucket, node) {
		if (strcmp(intent->name, name) == 0)
			return intent;
	}
	intent = calloc(1, sizeof(*intent));
	if (!intent || mag_copy_name(intent->name, sizeof(intent->name), name))
		abort();
	cds_list_add_tail(&intent->node, bucket);
	return intent;
}

/* Handles a "step" line: a stage ran a range of layers for a token. */
static void ver_step(const char *line)
{
	char request[FK_ID_MAX];
	long attempt = ver_number(line, "attempt");
	long index = ver_number(line, "index");
	struct cds_list_head *bucket;
	struct ver_token *token;
	bool found = false;

	ver_field(line, "request", request, sizeof(request));
	bucket = &ver_tokens[ver_hash(request, index)];
	cds_list_for_each_entry (token, bucket, node) {
		if (token->attempt == attempt && token->index == index &&
		    strcmp(token->request, request) == 0) {
			found = true;
			break;
		}
	}
	if (!found) {
		token = calloc(1, sizeof(*token));
		if (!token || mag_copy_name(token->request, FK_ID_MAX, request))
			abort();
		token->attempt = attempt;
		token->index = index;
		cds_list_add_tail(&token->node, bucket);
		ver_token_count++;
	}
	if (ver_number(line, "first") != token->next_layer)
		token->broken = true;
	token->next_layer = ver_number(line, "last") + 1;
}

static void ver_effect(const char *line)
{
	char name[FK_ID_MAX];

	ver_field(line, "intent", name, sizeof(name));
	ver_intent(name)->effects++;
	ver_effect_count++;
}

/* A caller may retry after not-run, so no effect may precede this line. */
static void ver_check_not_run(const struct ver_intent *intent)
{
	if (intent->effects == 0)
		return;
	printf("contradiction: %s was told not-run and ran\n", intent->name);
	ver_contradictions++;
}

static void ver_booking(const char *line, const char *outcome)
{
	char name[FK_ID_MAX];
	struct ver_intent *intent;

	ver_field(line, "intent", name, sizeof(name));
	intent = ver_intent(name);
	if (strcmp(outcome, "ran") == 0)
		intent->told_ran = true;
	intent->told_not_run = strcmp(outcome, "not-run") == 0;
	if (intent->told_not_run)
		ver_check_not_run(intent);
}

static void ver_answer(const char *line)
{
	struct ver_answer *answer;
	char outcome[16];
	char kind[16];

	ver_answer_count++;
	ver_field(line, "kind", kind, sizeof(kind));
	ver_field(line, "outcome", outcome, sizeof(outcome));
	if (strcmp(outcome, "wrong") == 0) {
		printf("contradiction: a wrong answer: %s", line);
		ver_contradictions++;
	}
	if (strcmp(kind, "booking") == 0)
		ver_booking(line, outcome);
	if (strcmp(kind, "stream") != 0 && strcmp(kind, "unary") != 0)
		return;
	answer = calloc(1, sizeof(*answer));
	if (!answer)
		abort();
	ver_field(line, "request", answer->request, sizeof(answer->request));
	answer->tokens = ver_number(line, "tokens");
	answer->layers = ver_number(line, "layers");
	cds_list_add_tail(&answer->node, &ver_answers);
}

/* A delivered token needs one attempt that ran all layers once, in order. */
static void ver_check_token(const struct ver_answer *answer, long index)
{
	struct cds_list_head *bucket =
		&ver_tokens[ver_hash(answer->request, index)];
	struct ver_token *token;

	cds_list_for_each_entry (token, bucket, node) {
		if (token->index == index && !token->broken &&
		    token->next_layer == answer->layers &&
		    strcmp(token->request, answer->request) == 0)
			return;
	}
	printf("contradiction: request %s token %ld: no attempt ran each "
	       "layer once and in order\n",
	       answer->request, index);
	ver_contradictions++;
}

static void ver_check_intent(const struct ver_intent *intent)
{
	if (intent->effects > 1) {
		printf("contradiction: %s ran %ld times\n", intent->name,
		       intent->effects);
		ver_contradictions++;
	}
	if (intent->told_not_run)
		ver_check_not_run(intent);
	if (intent->told_ran && intent->effects == 0) {
		printf("contradiction: %s was told ran and didn't\n",
		       intent->name);
		ver_contradictions++;
	}
}

static void ver_check(void)
{
	struct ver_answer *answer;
	struct ver_intent *intent;
	long i;

	cds_list_for_each_entry (answer, &ver_answers, node) {
		for (i = 0; i < answer->tokens; i++)
			ver_check_token(answer, i);
	}
	for (i = 0; i < VER_BUCKETS; i++) {
		cds_list_for_each_entry (intent, &ver_intents[i], node)
			ver_check_intent(intent);
	}
}

static void ver_read(const char *path)
{
	FILE *file = fopen(path, "r");
	char line[VER_LINE_MAX];

	if (!file) {
		fprintf(stderr, "can't read %s\n", path);
		exit(2);
	}
	while (fgets(line, sizeof(line), file)) {
		if (strncmp(line, "step ", 5) == 0)
			ver_step(line);
		else if (strncmp(line, "effect ", 7) == 0)
			ver_effect(line);
		else if (strncmp(line, "answer ", 7) == 0)
			ver_answer(line);
	}
	fclose(file);
}

int main(int argc, char **argv)
{
	int i;

	for (i = 0; i < VER_BUCKETS; i++) {
		CDS_INIT_LIST_HEAD(&ver_tokens[i]);
		CDS_INIT_LIST_HEAD(&ver_intents[i]);
	}
	for (i = 1; i < argc; i++)
		ver_read(argv[i]);
	ver_check();
	fprintf(stderr, "%ld answers, %ld tokens run, %ld effects\n",
		ver_answer_count, ver_token_count, ver_effect_count);
	printf("%ld contradictions\n", ver_contradictions);
	return ver_contradictions ? 1 : 0;
}
