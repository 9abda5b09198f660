#include <stdlib.h>
#include <string.h>

#include "pub_int.h"

/*
 * Line-based edits between two texts of a set with one object per line, the
 * form that pub_read and pub_objects_text write.
 */

#define PUB_RESYNC_LINES_MAX 64	 /* lines searched for the next equal one */
#define PUB_EDIT_LINES_MAX   512 /* above, whole sets are sent */
#define PUB_PREFIX	     "{\"objects\":["
#define PUB_PREFIX_REVISION  "{\"revision\":"
#define PUB_PREFIX_OBJECTS   ",\"objects\":["
#define PUB_SUFFIX	     "\n]}\n"

/* The object lines of a text, without the commas that separate them. */
struct pub_lines {
	struct cfg_object_text *list;
	size_t count;
};

static int pub_split_lines(struct pub_lines *lines, const char *text);
static const char *pub_skip_prefix(const char *text);
static bool pub_is_whole_object(const struct cfg_object_text *line);
static bool pub_lines_equal(const struct cfg_object_text *a,
			    const struct cfg_object_text *b);
static bool pub_resync(const struct pub_lines *old, const struct pub_lines *new,
		       size_t a, size_t b, struct pub_hunk *hunk);
static int pub_add_hunk(struct pub_edit *edit, const struct pub_lines *old,
			const struct pub_lines *new, size_t b,
			const struct pub_hunk *hunk);
static char *pub_apply_hunks(const struct pub_lines *old, const char *hunks,
			     uint64_t revision);
static const char *pub_read_hunk(const char *at, struct pub_hunk *hunk);
static const char *pub_copy_lines(FILE *out, size_t *count, const char *at,
				  size_t remaining);
static void pub_write_line(FILE *out, size_t *count,
			   const struct cfg_object_text *line);

/*
 * Returns true if every line of a valid set's text is one complete object, so
 * that lines can be added and removed separately.  In any other text a line
 * that looks like an object may be part of a larger one.
 */
bool pub_is_object_per_line(const char *text)
{
	struct pub_lines lines = { 0 };
	bool per_line = pub_split_lines(&lines, text) == PUB_OK;
	size_t i;

	for (i = 0; per_line && i < lines.count; i++)
		per_line = pub_is_whole_object(&lines.list[i]);
	free(lines.list);
	return per_line;
}

/*
 * Finds the lines that differ.  pub_is_object_per_line must be true for the old
 * text.  The lines of the edit point into both texts.  Returns PUB_OK,
 * PUB_E_SIZE if too many lines differ, or PUB_E_DAMAGED if the new text does
 * not have one object per line.  The caller frees the edit with pub_edit_free
 * in every case.
 */
int pub_edit_make(const char *old_text, const char *new_text,
		  struct pub_edit *edit)
{
	struct pub_lines old = { 0 };
	struct pub_lines new = { 0 };
	struct pub_hunk hunk;
	size_t a = 0;
	size_t b = 0;
	int err;

	memset(edit, 0, sizeof(*edit));
	err = pub_split_lines(&old, old_text);
	if (err == PUB_OK)
		err = pub_split_lines(&new, new_text);
	while (err == PUB_OK && (a < old.count || b < new.count)) {
		if (a < old.count && b < new.count &&pub_lines_equal(
						 &old.list[a], &new.list[b])) {
			a++;
			b++;
			continue;
		}
		if (!pub_resync(&old, &new, a, b, &hunk))
			err = PUB_E_SIZE;
		else
			err = pub_add_hunk(edit, &old, &new, b, &hunk);
		a += hunk.removed;
		b += hunk.added;
	}
	free(old.list);
	free(new.list);
	return err;
}

/* Frees the members of an edit, not the texts that it points into. */
void pub_edit_free(struct pub_edit *edit)
{
	free(edit->hunks);
	free(edit->removed);
	free(edit->added);
	memset(edit, 0, sizeof(*edit));
}

/*
 * Returns the text of an edit for peers: the new revision, the digest of the
 * whole new text, and for each hunk the index and count of the removed lines
 * and the text of the added ones.  The caller frees it; NULL if out of memory.
 */
char *pub_edit_text(const struct pub_edit *edit, uint64_t revision,
		    const char *new_text)
{
	char digest[PUB_DIGEST_HEX];
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	size_t next_added = 0;
	size_t i;
	size_t k;

	if (!out)
		return NULL;
	pub_digest_bytes(new_text, strlen(new_text), digest);
	fprintf(out, "%llu %s\n", (unsigned long long)revision, digest);
	for (i = 0; i < edit->hunk_count; i++) {
		const struct pub_hunk *hunk = &edit->hunks[i];

		fprintf(out, "@%zu %zu %zu\n", hunk->line, hunk->removed,
			hunk->added);
		for (k = 0; k < hunk->added; k++, next_added++)
			fprintf(out, "%.*s\n", (int)edit->added[next_added].len,
				edit->added[next_added].text);
	}
	if (fclose(out) == 0)
		return text;
	free(text);
	return NULL;
}

/*
 * Applies the text of an edit to the text that it was made from.  Returns
 * PUB_E_REJECTED if the result does not have the digest that the edit states or
 * if the edit is malformed.  The caller must still validate the new set, and
 * frees *new_text.
 */
int pub_edit_apply(const char *old_text, const char *edit, uint64_t *revision,
		   char **new_text)
{
	struct pub_lines old = { 0 };
	char digest[PUB_DIGEST_HEX];
	char found[PUB_DIGEST_HEX];
	unsigned long long number;
	int used = 0;
	int err = PUB_E_REJECTED;

	*new_text = NULL;
	if (sscanf(edit, "%20llu %40[0-9a-f]%n", &number, digest, &used) != 2 ||
	    edit[used] != '\n' || strlen(digest) != PUB_DIGEST_HEX - 1)
		return PUB_E_REJECTED;
	if (pub_split_lines(&old, old_text) == PUB_OK)
		*new_text = pub_apply_hunks(&old, edit + used + 1, number);
	if (*new_text) {
		pub_digest_bytes(*new_text, strlen(*new_text), found);
		err = strcmp(found, digest) == 0 ? PUB_OK : PUB_E_REJECTED;
	}
	free(old.list);
	if (err != PUB_OK) {
		free(*new_text);
		*new_text = NULL;
	}
	*revision = number;
	return err;
}

/* Splits a text into object lines; PUB_E_DAMAGED for another layout. */
static int pub_split_lines(struct pub_lines *lines, const char *text)
{
	const char *at = pub_skip_prefix(text);
	const char *end;
	size_t capacity = 0;

	for (end = at; end && (end = strchr(end, '\n')); end++)
		capacity++;
	lines->list = calloc(capacity + 1, sizeof(*lines->list));
	if (!lines->list)
		return PUB_E_MEMORY;
	for (; at && (end = strchr(at, '\n')); at = end + 1) {
		bool last = strcmp(end, PUB_SUFFIX) == 0;
		size_t len = (size_t)(end - at);

		if (len < 2 || (at[len - 1] == ',') == last)
			return PUB_E_DAMAGED;
		lines->list[lines->count++] =
			(struct cfg_object_text){ at, last ? len : len - 1 };
		if (last)
			return PUB_OK;
	}
	return PUB_E_DAMAGED;
}

/* Returns the start of the first object line, NULL if the prefix is wrong. */
static const char *pub_skip_prefix(const char *text)
{
	size_t digits;

	if (strncmp(text, PUB_PREFIX_REVISION, strlen(PUB_PREFIX_REVISION)) ==
	    0) {
		text += strlen(PUB_PREFIX_REVISION);
		digits = strspn(text, "0123456789");
		if (digits == 0 || digits > 18 ||
		    (text[0] == '0' && digits > 1) ||
		    strncmp(text + digits, PUB_PREFIX_OBJECTS,
			    strlen(PUB_PREFIX_OBJECTS)) != 0)
			return NULL;
		text += digits + strlen(PUB_PREFIX_OBJECTS);
	} else if (strncmp(text, PUB_PREFIX, strlen(PUB_PREFIX)) == 0) {
		text += strlen(PUB_PREFIX);
	} else {
		return NULL;
	}
	return *text == '\n' ? text + 1 : NULL;
}

/* Returns true if the line's first byte is a brace closed by its last one. */
static bool pub_is_whole_object(const struct cfg_object_text *line)
{
	bool quoted = false;
	int depth = 0;
	size_t i;

	for (i = 0; i < line->len; i++) {
		char c = line->text[i];

		if (quoted && c == '\\')
			i++;
		else if (c == '"')
			quoted = !quoted;
		else if (!quoted && (c == '{' || c == '['))
			depth++;
		else if (!quoted && (c == '}' || c == ']'))
			depth--;
		if (depth == 0)
			break;
	}
	return line->text[0] == '{' && !quoted && i == line->len - 1;
}

static bool pub_lines_equal(const struct cfg_object_text *a,
			    const struct cfg_object_text *b)
{
	return a->len == b->len && memcmp(a->text, b->text, a->len) == 0;
}

/* Finds the nearest pair of equal lines, or both ends, after a difference. */
static bool pub_resync(const struct pub_lines *old, const struct pub_lines *new,
		       size_t a, size_t b, struct pub_hunk *hunk)
{
	size_t sum;
	size_t i;

	hunk->line = a;
	hunk->removed = 0;
	hunk->added = 0;
	for (sum = 1; sum <= PUB_RESYNC_LINES_MAX; sum++) {
		for (i = 0; i <= sum; i++) {
			size_t x = a + i;
			size_t y = b + sum - i;
			bool ends = x == old->count && y == new->count;

			if (x > old->count || y > new->count)
				continue;
			if (!ends &&
			    (x == old->count || y == new->count ||
			     !pub_lines_equal(&old->list[x], &new->list[y])))
				continue;
			hunk->removed = i;
			hunk->added = sum - i;
			return true;
		}
	}
	return false;
}

/* Appends one hunk with its lines to an edit. */
static int pub_add_hunk(struct pub_edit *edit, const struct pub_lines *old,
			const struct pub_lines *new, size_t b,
			const struct pub_hunk *hunk)
{
	size_t i;

	if (!edit->hunks) {
		edit->hunks = calloc(PUB_EDIT_LINES_MAX, sizeof(*edit->hunks));
		edit->removed =
			calloc(PUB_EDIT_LINES_MAX, sizeof(*edit->removed));
		edit->added = calloc(PUB_EDIT_LINES_MAX, sizeof(*edit->added));
		if (!edit->hunks || !edit->removed || !edit->added)
			return PUB_E_MEMORY;
	}
	if (edit->hunk_count + 1 > PUB_EDIT_LINES_MAX ||
	    edit->removed_count + hunk->removed > PUB_EDIT_LINES_MAX ||
	    edit->added_count + hunk->added > PUB_EDIT_LINES_MAX)
		return PUB_E_SIZE;
	edit->hunks[edit->hunk_count++] = *hunk;
	for (i = 0; i < hunk->removed; i++)
		edit->removed[edit->removed_count++] =
			old->list[hunk->line + i];
	for (i = 0; i < hunk->added; i++)
		edit->added[edit->added_count++] = new->list[b + i];
	return PUB_OK;
}

/* Returns the new text, NULL if the hunks don't fit the old one. */
static char *pub_apply_hunks(const struct pub_lines *old, const char *hunks,
			     uint64_t revision)
{
	struct pub_hunk hunk = { 0 };
	const char *at = hunks;
	char *text = NULL;
	size_t len = 0;
	size_t count = 0;
	size_t a = 0;
	FILE *out = open_memstream(&text, &len);

	if (!out)
		return NULL;
	fprintf(out, PUB_PREFIX_REVISION "%llu" PUB_PREFIX_OBJECTS,
		(unsigned long long)revision);
	while (at && *at) {
		at = pub_read_hunk(at, &hunk);
		if (!at || hunk.line < a || hunk.line > old->count ||
		    hunk.removed > old->count - hunk.line) {
			at = NULL;
			break;
		}
		while (a < hunk.line)
			pub_write_line(out, &count, &old->list[a++]);
		a += hunk.removed;
		at = pub_copy_lines(out, &count, at, hunk.added);
	}
	while (a < old->count)
		pub_write_line(out, &count, &old->list[a++]);
	fputs(PUB_SUFFIX, out);
	if (fclose(out) == 0 && at)
		return text;
	free(text);
	return NULL;
}

/* Parses a hunk header; returns the text after it, NULL if it is malformed. */
static const char *pub_read_hunk(const char *at, struct pub_hunk *hunk)
{
	int used = 0;

	if (sscanf(at, "@%9zu %9zu %9zu%n", &hunk->line, &hunk->removed,
		   &hunk->added, &used) != 3 ||
	    at[used] != '\n')
		return NULL;
	return at + used + 1;
}

/* Copies lines of an edit; returns the rest, NULL if there are too few. */
static const char *pub_copy_lines(FILE *out, size_t *count, const char *at,
				  size_t remaining)
{
	while (remaining-- > 0 && at) {
		const char *end = strchr(at, '\n');
		struct cfg_object_text line = { at,
						end ? (size_t)(end - at) : 0 };

		if (line.len > 0)
			pub_write_line(out, count, &line);
		at = line.len > 0 ? end + 1 : NULL;
	}
	return at;
}

static void pub_write_line(FILE *out, size_t *count,
			   const struct cfg_object_text *line)
{
	fputs((*count)++ ? ",\n" : "\n", out);
	fwrite(line->text, 1, line->len, out);
}
