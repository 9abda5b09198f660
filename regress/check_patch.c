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
 * Driver of the scripts in regress/patch:
 *	objects:		the lines up to an empty one are the objects of
 *				the next revision
 *	random SEED STEPS	makes random changes to the last revision
 *	lined TEXT		prints whether TEXT has one object per line
 * For each revision the set patched from the one in force must equal the set
 * parsed from the whole text.
 */

#define LINES_MAX 400

struct state {
	char *text; /* of the revision in force */
	struct cfg_set *set;
	char *lines[LINES_MAX];
	size_t count;
	uint64_t revision;
	struct rev *rev;  /* of an instance that reads whole texts */
	struct rev *peer; /* of an instance that gets edits from rev */
	struct cfg_set *peer_set;
	uint64_t random;
	long counts[2][2]; /* [text is valid][set was patched] */
	FILE *out;
};

static uint32_t random_below(struct state *s, uint32_t below)
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

/* Prints every field of every object, using the parser's own layouts. */
static char *dump_set(struct cfg_set *set)
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

static char *set_text(struct state *s, uint64_t revision)
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

/* Applies an edit as a peer does: intact, and with single bytes damaged. */
static void check_edit(struct state *s, const struct pub_edit *edit,
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
				 PUB_E_REJECTED);
		assert_null(got);
		text[i] = was;
	}
	free(text);
}

/* Offers damaged edits, which must not change the state of the peer. */
static void offer_damaged(struct state *s, uint64_t held, const char *edits)
{
	char *copy = strdup(edits);
	struct cfg_set *set;
	size_t i = random_below(s, (uint32_t)strlen(copy));

	copy[i] = (char)(copy[i] == '0' ? '1' : '0');
	assert_int_not_equal(
		rev_offer_edits(s->peer, s->peer_set, held, copy, &set),
		PUB_OK);
	assert_null(set);
	assert_int_equal(rev_revision(s->peer), held);
	assert_int_equal(
		rev_offer_edits(s->peer, s->peer_set, held - 1, edits, &set),
		PUB_E_BASE);
	free(copy);
}

/* Updates the peer, sometimes over several revisions at once. */
static void update_peer(struct state *s, struct cfg_set *whole,
			const char *text)
{
	uint64_t held = rev_revision(s->peer);
	struct cfg_set *set;
	char *edits;
	char *a;
	char *b;

	assert_int_equal(rev_offer(s->rev, s->set, text, s->revision + 1, &set),
			 PUB_OK);
	cfg_free(set);
	assert_int_equal(rev_offer(s->rev, s->set, text, s->revision + 1, &set),
			 PUB_E_STALE);
	if (held > 0 && random_below(s, 3) == 0)
		return;
	edits = rev_edits(s->rev, held);
	if (edits) {
		offer_damaged(s, held, edits);
		assert_int_equal(rev_offer_edits(s->peer, s->peer_set, held,
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
	a = dump_set(whole);
	b = dump_set(set);
	assert_string_equal(a, b);
	assert_string_equal(rev_text(s->peer), text);
	free(a);
	free(b);
}

/* Patches and parses the next set and compares; false if it is not valid. */
static bool check_revision(struct state *s, bool show)
{
	char *next = set_text(s, s->revision + 1);
	struct cfg_faults *faults = NULL;
	struct cfg_set *whole = NULL;
	struct cfg_set *patched = NULL;
	struct pub_edit edit = { 0 };
	int err = cfg_parse(next, strlen(next), &whole, &faults);
	bool lined = whole && pub_is_object_per_line(next);

	if (s->set && pub_edit_make(s->text, next, &edit) == PUB_OK &&
	    cfg_patch(s->set, edit.removed, edit.removed_count, edit.added,
		      edit.added_count, &patched) == CFG_OK) {
		char *a = NULL;
		char *b = dump_set(patched);

		assert_int_equal(err, CFG_OK);
		patched->revision = s->revision + 1;
		free(b);
		a = dump_set(whole);
		b = dump_set(patched);
		assert_string_equal(a, b);
		free(a);
		free(b);
		check_edit(s, &edit, next);
	}
	s->counts[err == CFG_OK][patched != NULL]++;
	if (show)
		fprintf(s->out, "%s, %s, %zu out, %zu in\n",
			err == CFG_OK ? "valid" : cfg_fault_text(faults, 0),
			patched ? "short way" : "whole", edit.removed_count,
			edit.added_count);
	pub_edit_free(&edit);
	cfg_free(patched);
	cfg_faults_free(faults);
	if (!lined) {
		cfg_free(whole);
		free(next);
		return false;
	}
	update_peer(s, whole, next);
	cfg_free(s->set);
	free(s->text);
	s->set = whole;
	s->text = next;
	s->revision++;
	return true;
}

static void insert_line(struct state *s, size_t at, char *line)
{
	memmove(&s->lines[at + 1], &s->lines[at],
		(s->count++ - at) * sizeof(s->lines[0]));
	s->lines[at] = line;
}

static char *remove_line(struct state *s, size_t at)
{
	char *line = s->lines[at];

	memmove(&s->lines[at], &s->lines[at + 1],
		(--s->count - at) * sizeof(s->lines[0]));
	return line;
}

/* Returns a copy of a line with one digit or letter changed. */
static char *mutate_line(struct state *s, const char *line)
{
	char *copy = strdup(line ? line : "");
	size_t len = strlen(copy);
	size_t i = random_below(s, (uint32_t)len);
	size_t k;

	for (k = 0; k < len; k++) {
		char *c = &copy[(i + k) % len];

		if (*c >= '0' && *c <= '9') {
			*c = (char)('0' + random_below(s, 10));
			break;
		}
		if (random_below(s, 40) == 0 && *c >= 'a' && *c <= 'z') {
			*c = (char)('a' + random_below(s, 26));
			break;
		}
	}
	return copy;
}

static void random_change(struct state *s)
{
	size_t at = random_below(s, (uint32_t)s->count);
	uint32_t what = random_below(s, 10);
	char *line;

	if (what < 6) {
		line = mutate_line(s, s->lines[at]);
		free(s->lines[at]);
		s->lines[at] = line;
	} else if (what < 8 && s->count < LINES_MAX - 1) {
		line = mutate_line(s, s->lines[at]);
		if (random_below(s, 2)) {
			char *twice = mutate_line(s, line);

			free(line);
			line = twice;
		}
		insert_line(s, random_below(s, (uint32_t)s->count), line);
	} else if (what == 8 && s->count > 20) {
		free(remove_line(s, at));
	} else {
		line = remove_line(s, at);
		insert_line(s, random_below(s, (uint32_t)s->count), line);
	}
}

static void clear_lines(struct state *s)
{
	while (s->count)
		free(remove_line(s, s->count - 1));
}

/* Restores the lines of the set in force after an invalid change. */
static void restore_lines(struct state *s, char **saved, size_t count)
{
	clear_lines(s);
	while (s->count < count) {
		s->lines[s->count] = strdup(saved[s->count]);
		s->count++;
	}
}

static void random_steps(struct state *s, unsigned long seed, long steps)
{
	char *saved[LINES_MAX];
	size_t i;

	s->random = seed;
	memset(s->counts, 0, sizeof(s->counts));
	while (steps-- > 0) {
		size_t count = s->count;
		uint32_t changes = 1 + random_below(s, 3);

		for (i = 0; i < count; i++)
			saved[i] = strdup(s->lines[i]);
		while (changes-- > 0)
			random_change(s);
		if (!check_revision(s, false))
			restore_lines(s, saved, count);
		for (i = 0; i < count; i++)
			free(saved[i]);
	}
	fprintf(s->out,
		"valid: %ld short way, %ld whole; with faults: %ld whole\n",
		s->counts[1][1], s->counts[1][0], s->counts[0][0]);
	assert_int_equal(s->counts[0][1], 0);
}

/* Prints whether a text has one object per line; '|' means a newline. */
static void print_lined(struct state *s, char *text)
{
	char *at;

	for (at = text; (at = strchr(at, '|')); at++)
		*at = '\n';
	fprintf(s->out, "%s\n",
		pub_is_object_per_line(text) ? "lined" : "whole only");
}

static void run(FILE *in, FILE *out)
{
	struct state s = { .out = out };
	char *line = NULL;
	size_t capacity = 0;
	ssize_t len;
	bool objects = false;

	s.rev = rev_new();
	s.peer = rev_new();
	while ((len = getline(&line, &capacity, in)) > 0) {
		unsigned long seed;
		long steps;

		line[len - 1] = '\0';
		if (objects && line[0] == '{') {
			insert_line(&s, s.count, strdup(line));
		} else if (strcmp(line, "objects:") == 0) {
			objects = true;
			clear_lines(&s);
		} else if (objects && line[0] == '\0') {
			objects = false;
			check_revision(&s, true);
		} else if (strncmp(line, "lined ", 6) == 0) {
			print_lined(&s, line + 6);
		} else if (sscanf(line, "random %lu %ld", &seed, &steps) == 2) {
			random_steps(&s, seed, steps);
		}
	}
	clear_lines(&s);
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
