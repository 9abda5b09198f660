#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "cfg_int.h"
#include "pub.h"
#include "rev.h"
#include "script.h"

/*
 * Scripts of regress/patch.  "objects:" is followed by lines of objects up to
 * an empty one: each such block is the next revision.  "random SEED STEPS"
 * goes on from the last with changes drawn at random; "lined" shows whether a
 * text is made of lines.  For each revision the
 * set made from the one in force must be what the whole text makes.
 */

#define LINES_MAX 400

struct state {
	char *text; /* in force */
	struct cfg_set *set;
	char *lines[LINES_MAX];
	size_t count;
	uint64_t revision;
	struct rev *rev;  /* of an instance that reads the texts */
	struct rev *peer; /* of one that gets edits from it */
	struct cfg_set *peer_set;
	uint64_t random;
	long tally[2][2]; /* whole: refused, ok; short: none, made */
	FILE *out;
};

static uint32_t draw(struct state *s, uint32_t below)
{
	s->random = s->random * UINT64_C(6364136223846793005) +
		    UINT64_C(1442695040888963407);
	return below ? (uint32_t)(s->random >> 33) % below : 0;
}

static void dump_field(FILE *out, const struct cfg_field *f, const char *at)
{
	const struct cfg_route *r = (const void *)(at - f->offset);
	size_t i;

	at = f->type == CFG_T_SPLITS ? at - f->offset : at;
	if (f->type == CFG_T_U32 || f->type == CFG_T_ENUM ||
	    f->type == CFG_T_REFERENCE)
		fprintf(out, " %d", *(const int *)(const void *)at);
	else if (f->type == CFG_T_U64)
		fprintf(out, " %llu", *(const unsigned long long *)(void *)at);
	else if (f->type == CFG_T_BOOL)
		fprintf(out, " %d", *at);
	else if (f->type == CFG_T_STATUSES)
		for (i = 0; i < CFG_NOT_BEGUN_MAX; i++)
			fprintf(out, " %d", ((const int *)(const void *)at)[i]);
	else if (f->type == CFG_T_SPLITS)
		for (i = 0; i < r->split_count; i++)
			fprintf(out, " %d=%s", r->splits[i].account,
				r->splits[i].group);
	else
		fprintf(out, " \"%s\"", at);
}

/* Every field of every object, by the layouts of the parser itself. */
static char *dump(struct cfg_set *set)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	int kind;

	fprintf(out, "%llu\n", (unsigned long long)set->revision);
	for (kind = 0; kind < CFG_KIND_COUNT; kind++) {
		const struct cfg_layout *layout = cfg_layout(kind);
		size_t *count;
		const char *row = *cfg_table(set, kind, &count);
		size_t i;
		size_t k;

		for (i = 0; i < *count; i++, row += layout->size) {
			fprintf(out, "%s %s", layout->kind, row);
			for (k = 0; k < layout->count; k++)
				dump_field(out, &layout->fields[k],
					   row + layout->fields[k].offset);
			fputc('\n', out);
		}
	}
	fclose(out);
	return text;
}

static char *text_of(struct state *s, uint64_t revision)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	size_t i;

	fprintf(out, "{\"revision\":%llu,\"objects\":[",
		(unsigned long long)revision);
	for (i = 0; i < s->count; i++)
		fprintf(out, "%s\n%s", i ? "," : "", s->lines[i]);
	fputs("\n]}\n", out);
	fclose(out);
	return text;
}

/* Passes an edit on as peers do, whole and damaged in each of its bytes. */
static void pass_on(struct state *s, const struct pub_edit *edit,
		    const char *next)
{
	char *text = pub_edit_text(edit, s->revision + 1, next);
	size_t len = strlen(text);
	uint64_t revision;
	char *got;
	size_t i;

	assert_int_equal(pub_edit_apply(s->text, text, &revision, &got),
			 PUB_OK);
	assert_string_equal(got, next);
	assert_int_equal(revision, s->revision + 1);
	free(got);
	for (i = 0; i < len; i += 1 + len / 50) {
		char was = text[i];

		text[i] = (char)(was == '1' ? '2' : '1');
		assert_int_equal(pub_edit_apply(s->text, text, &revision, &got),
				 PUB_E_HOSTILE);
		assert_null(got);
		text[i] = was;
	}
	free(text);
}

/* Damaged edits change nothing; after them the right ones are still taken. */
static void damage(struct state *s, uint64_t have, const char *edits)
{
	char *copy = strdup(edits);
	struct cfg_set *set;
	size_t i = draw(s, (uint32_t)strlen(copy));

	copy[i] = (char)(copy[i] == '0' ? '1' : '0');
	assert_int_not_equal(
		rev_offer_edits(s->peer, s->peer_set, have, copy, &set),
		PUB_OK);
	assert_null(set);
	assert_int_equal(rev_revision(s->peer), have);
	assert_int_equal(
		rev_offer_edits(s->peer, s->peer_set, have - 1, edits, &set),
		PUB_E_BASE);
	free(copy);
}

/* Lets the peer follow, now and then over several revisions at once. */
static void follow(struct state *s, struct cfg_set *whole, const char *text)
{
	uint64_t have = rev_revision(s->peer);
	struct cfg_set *set;
	char *edits;
	char *a;
	char *b;

	assert_int_equal(rev_offer(s->rev, s->set, text, s->revision + 1, &set),
			 PUB_OK);
	cfg_free(set);
	assert_int_equal(rev_offer(s->rev, s->set, text, s->revision + 1, &set),
			 PUB_E_STALE);
	if (have > 0 && draw(s, 3) == 0)
		return;
	edits = rev_edits(s->rev, have);
	if (edits) {
		damage(s, have, edits);
		assert_int_equal(rev_offer_edits(s->peer, s->peer_set, have,
						 edits, &set),
				 PUB_OK);
	} else {
		assert_int_equal(rev_offer(s->peer, s->peer_set, text,
					   s->revision + 1, &set),
				 PUB_OK);
	}
	free(edits);
	cfg_free(s->peer_set);
	s->peer_set = set;
	whole->revision = s->revision + 1;
	a = dump(whole);
	b = dump(set);
	assert_string_equal(a, b);
	assert_string_equal(rev_text(s->peer), text);
	free(a);
	free(b);
}

/* Makes the next set in both ways; returns whether it is valid. */
static bool step(struct state *s, bool show)
{
	char *next = text_of(s, s->revision + 1);
	struct cfg_faults *faults = NULL;
	struct cfg_set *whole = NULL;
	struct cfg_set *made = NULL;
	struct pub_edit edit = { 0 };
	int err = cfg_parse(next, strlen(next), &whole, &faults);
	bool lined = whole && pub_is_lined(next);

	if (s->set && pub_edit_make(s->text, next, &edit) == PUB_OK &&
	    cfg_patch(s->set, edit.drop, edit.drops, edit.put, edit.puts,
		      &made) == CFG_OK) {
		char *a = NULL;
		char *b = dump(made);

		assert_int_equal(err, CFG_OK);
		made->revision = s->revision + 1;
		free(b);
		a = dump(whole);
		b = dump(made);
		assert_string_equal(a, b);
		free(a);
		free(b);
		pass_on(s, &edit, next);
	}
	s->tally[err == CFG_OK][made != NULL]++;
	if (show)
		fprintf(s->out, "%s, %s, %zu out, %zu in\n",
			err == CFG_OK ? "valid" : cfg_fault_text(faults, 0),
			made ? "short way" : "whole", edit.drops, edit.puts);
	pub_edit_free(&edit);
	cfg_free(made);
	cfg_faults_free(faults);
	if (!lined) {
		cfg_free(whole);
		free(next);
		return false;
	}
	follow(s, whole, next);
	cfg_free(s->set);
	free(s->text);
	s->set = whole;
	s->text = next;
	s->revision++;
	return true;
}

static void take(struct state *s, size_t at, char *line)
{
	memmove(&s->lines[at + 1], &s->lines[at],
		(s->count++ - at) * sizeof(s->lines[0]));
	s->lines[at] = line;
}

static char *leave(struct state *s, size_t at)
{
	char *line = s->lines[at];

	memmove(&s->lines[at], &s->lines[at + 1],
		(--s->count - at) * sizeof(s->lines[0]));
	return line;
}

/* Changes a digit or a letter, or puts in a field of another object. */
static char *mutate(struct state *s, const char *line)
{
	char *copy = strdup(line ? line : "");
	size_t len = strlen(copy);
	size_t i = draw(s, (uint32_t)len);
	size_t k;

	for (k = 0; k < len; k++) {
		char *c = &copy[(i + k) % len];

		if (*c >= '0' && *c <= '9') {
			*c = (char)('0' + draw(s, 10));
			break;
		}
		if (draw(s, 40) == 0 && *c >= 'a' && *c <= 'z') {
			*c = (char)('a' + draw(s, 26));
			break;
		}
	}
	return copy;
}

static void change(struct state *s)
{
	size_t at = draw(s, (uint32_t)s->count);
	uint32_t what = draw(s, 10);
	char *line;

	if (what < 6) {
		line = mutate(s, s->lines[at]);
		free(s->lines[at]);
		s->lines[at] = line;
	} else if (what < 8 && s->count < LINES_MAX - 1) {
		line = mutate(s, s->lines[at]);
		if (draw(s, 2)) {
			char *again = mutate(s, line);

			free(line);
			line = again;
		}
		take(s, draw(s, (uint32_t)s->count), line);
	} else if (what == 8 && s->count > 20) {
		free(leave(s, at));
	} else {
		line = leave(s, at);
		take(s, draw(s, (uint32_t)s->count), line);
	}
}

static void clear(struct state *s)
{
	while (s->count)
		free(leave(s, s->count - 1));
}

/* Goes back to the lines of the set in force after one that failed. */
static void restore(struct state *s, char **kept, size_t count)
{
	clear(s);
	while (s->count < count) {
		s->lines[s->count] = strdup(kept[s->count]);
		s->count++;
	}
}

static void random_steps(struct state *s, unsigned long seed, long steps)
{
	char *kept[LINES_MAX];
	size_t i;

	s->random = seed;
	memset(s->tally, 0, sizeof(s->tally));
	while (steps-- > 0) {
		size_t count = s->count;
		uint32_t changes = 1 + draw(s, 3);

		for (i = 0; i < count; i++)
			kept[i] = strdup(s->lines[i]);
		while (changes-- > 0)
			change(s);
		if (!step(s, false))
			restore(s, kept, count);
		for (i = 0; i < count; i++)
			free(kept[i]);
	}
	fprintf(s->out,
		"valid: %ld short way, %ld whole; with faults: %ld whole\n",
		s->tally[1][1], s->tally[1][0], s->tally[0][0]);
	assert_int_equal(s->tally[0][1], 0);
}

/* Tells whether a text may be taken line by line; '|' ends a line. */
static void show_lined(struct state *s, char *text)
{
	char *at;

	for (at = text; (at = strchr(at, '|')); at++)
		*at = '\n';
	fprintf(s->out, "%s\n", pub_is_lined(text) ? "lined" : "whole only");
}

static void run(FILE *in, FILE *out)
{
	struct state s = { .out = out };
	char *line = NULL;
	size_t room = 0;
	ssize_t len;
	bool objects = false;

	s.rev = rev_new();
	s.peer = rev_new();
	while ((len = getline(&line, &room, in)) > 0) {
		unsigned long seed;
		long steps;

		line[len - 1] = '\0';
		if (objects && line[0] == '{') {
			take(&s, s.count, strdup(line));
		} else if (strcmp(line, "objects:") == 0) {
			objects = true;
			clear(&s);
		} else if (objects && line[0] == '\0') {
			objects = false;
			step(&s, true);
		} else if (strncmp(line, "lined ", 6) == 0) {
			show_lined(&s, line + 6);
		} else if (sscanf(line, "random %lu %ld", &seed, &steps) == 2) {
			random_steps(&s, seed, steps);
		}
	}
	clear(&s);
	free(line);
	free(s.text);
	cfg_free(s.set);
	cfg_free(s.peer_set);
	rev_free(s.rev);
	rev_free(s.peer);
}

int main(void)
{
	return script_main("regress/patch", run);
}
