#include <stdlib.h>
#include <string.h>

#include "pub_int.h"

/*
 * What differs between two texts of a set that hold one object a line, as
 * pub_read and pub_objects_text write them, found and passed on line by line.
 */

#define PUB_EDIT_SPAN  64  /* lines that are searched for the next equal one */
#define PUB_EDIT_LINES 512 /* that may differ; above, whole sets are passed */
#define PUB_OPEN       "{\"objects\":["
#define PUB_OPEN_AT    "{\"revision\":"
#define PUB_OPEN_LIST  ",\"objects\":["
#define PUB_CLOSE      "\n]}\n"

/* The lines of a text; each without its comma. */
struct pub_lines {
	struct cfg_object_text *list;
	size_t count;
};

static int pub_split(struct pub_lines *lines, const char *text);
static const char *pub_opened(const char *text);
static bool pub_balanced(const struct cfg_object_text *line);
static bool pub_same(const struct cfg_object_text *a,
		     const struct cfg_object_text *b);
static bool pub_resync(const struct pub_lines *old, const struct pub_lines *new,
		       size_t a, size_t b, struct pub_hunk *hunk);
static int pub_add_hunk(struct pub_edit *edit, const struct pub_lines *old,
			const struct pub_lines *new, size_t b,
			const struct pub_hunk *hunk);
static char *pub_edit_lines(const struct pub_lines *old, const char *hunks,
			    uint64_t revision);
static const char *pub_read_hunk(const char *at, struct pub_hunk *hunk);
static const char *pub_put_lines(FILE *out, size_t *count, const char *at,
				 size_t puts);
static void pub_put_line(FILE *out, size_t *count,
			 const struct cfg_object_text *line);

/*
 * Tells whether every line of a valid set's text is one whole object, so that
 * its lines may be taken one by one.  Else what looks like an object in a line
 * could be a part of a larger one.
 */
bool pub_is_lined(const char *text)
{
	struct pub_lines lines = { 0 };
	bool lined = pub_split(&lines, text) == PUB_OK;
	size_t i;

	for (i = 0; lined && i < lines.count; i++)
		lined = pub_balanced(&lines.list[i]);
	free(lines.list);
	return lined;
}

/*
 * Finds the lines that differ.  The old text must be one that pub_is_lined
 * takes; the lines point into both texts.  Returns PUB_OK, PUB_E_SIZE if too
 * much differs, or PUB_E_DAMAGED if the new one isn't made of lines; the edit
 * is to be freed with pub_edit_free in each case.
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
	err = pub_split(&old, old_text);
	if (err == PUB_OK)
		err = pub_split(&new, new_text);
	while (err == PUB_OK && (a < old.count || b < new.count)) {
		if (a < old.count &&
		    b < new.count &&pub_same(&old.list[a], &new.list[b])) {
			a++;
			b++;
			continue;
		}
		if (!pub_resync(&old, &new, a, b, &hunk))
			err = PUB_E_SIZE;
		else
			err = pub_add_hunk(edit, &old, &new, b, &hunk);
		a += hunk.drops;
		b += hunk.puts;
	}
	free(old.list);
	free(new.list);
	return err;
}

/* Frees an edit, not the texts. */
void pub_edit_free(struct pub_edit *edit)
{
	free(edit->hunks);
	free(edit->drop);
	free(edit->put);
	memset(edit, 0, sizeof(*edit));
}

/*
 * Writes an edit for peers: the revision it leads to, the digest of the whole
 * new text, and for each place the lines that go, by number, and come.  The
 * caller frees it; NULL without memory.
 */
char *pub_edit_text(const struct pub_edit *edit, uint64_t revision,
		    const char *new_text)
{
	char digest[PUB_DIGEST_HEX];
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	size_t put = 0;
	size_t i;
	size_t k;

	if (!out)
		return NULL;
	pub_digest_bytes(new_text, strlen(new_text), digest);
	fprintf(out, "%llu %s\n", (unsigned long long)revision, digest);
	for (i = 0; i < edit->hunk_count; i++) {
		const struct pub_hunk *hunk = &edit->hunks[i];

		fprintf(out, "@%zu %zu %zu\n", hunk->at, hunk->drops,
			hunk->puts);
		for (k = 0; k < hunk->puts; k++, put++)
			fprintf(out, "%.*s\n", (int)edit->put[put].len,
				edit->put[put].text);
	}
	if (fclose(out) == 0)
		return text;
	free(text);
	return NULL;
}

/*
 * Makes the next text from the one that the edit was made for.  What doesn't
 * lead to the digest that it names is PUB_E_HOSTILE, as is anything that isn't
 * an edit at all.  The set is to be checked after; the caller frees *new_text.
 */
int pub_edit_apply(const char *old_text, const char *edit, uint64_t *revision,
		   char **new_text)
{
	struct pub_lines old = { 0 };
	char digest[PUB_DIGEST_HEX];
	char found[PUB_DIGEST_HEX];
	unsigned long long number;
	int skip = 0;
	int err = PUB_E_HOSTILE;

	*new_text = NULL;
	if (sscanf(edit, "%20llu %40[0-9a-f]%n", &number, digest, &skip) != 2 ||
	    edit[skip] != '\n' || strlen(digest) != PUB_DIGEST_HEX - 1)
		return PUB_E_HOSTILE;
	if (pub_split(&old, old_text) == PUB_OK)
		*new_text = pub_edit_lines(&old, edit + skip + 1, number);
	if (*new_text) {
		pub_digest_bytes(*new_text, strlen(*new_text), found);
		err = strcmp(found, digest) == 0 ? PUB_OK : PUB_E_HOSTILE;
	}
	free(old.list);
	if (err != PUB_OK) {
		free(*new_text);
		*new_text = NULL;
	}
	*revision = number;
	return err;
}

/* Splits a text into lines; PUB_E_DAMAGED if it has another shape. */
static int pub_split(struct pub_lines *lines, const char *text)
{
	const char *at = pub_opened(text);
	const char *end;
	size_t room = 0;

	for (end = at; end && (end = strchr(end, '\n')); end++)
		room++;
	lines->list = calloc(room + 1, sizeof(*lines->list));
	if (!lines->list)
		return PUB_E_MEMORY;
	for (; at && (end = strchr(at, '\n')); at = end + 1) {
		bool last = strcmp(end, PUB_CLOSE) == 0;
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

/* Returns where the first line of objects begins; NULL without the opening. */
static const char *pub_opened(const char *text)
{
	size_t digits;

	if (strncmp(text, PUB_OPEN_AT, strlen(PUB_OPEN_AT)) == 0) {
		text += strlen(PUB_OPEN_AT);
		digits = strspn(text, "0123456789");
		if (digits == 0 || digits > 18 ||
		    (text[0] == '0' && digits > 1) ||
		    strncmp(text + digits, PUB_OPEN_LIST,
			    strlen(PUB_OPEN_LIST)) != 0)
			return NULL;
		text += digits + strlen(PUB_OPEN_LIST);
	} else if (strncmp(text, PUB_OPEN, strlen(PUB_OPEN)) == 0) {
		text += strlen(PUB_OPEN);
	} else {
		return NULL;
	}
	return *text == '\n' ? text + 1 : NULL;
}

/* Tells whether a line opens with a brace that its last byte closes. */
static bool pub_balanced(const struct cfg_object_text *line)
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

static bool pub_same(const struct cfg_object_text *a,
		     const struct cfg_object_text *b)
{
	return a->len == b->len && memcmp(a->text, b->text, a->len) == 0;
}

/* Finds the nearest equal lines, or both ends, after some that differ. */
static bool pub_resync(const struct pub_lines *old, const struct pub_lines *new,
		       size_t a, size_t b, struct pub_hunk *hunk)
{
	size_t sum;
	size_t i;

	hunk->at = a;
	hunk->drops = 0;
	hunk->puts = 0;
	for (sum = 1; sum <= PUB_EDIT_SPAN; sum++) {
		for (i = 0; i <= sum; i++) {
			size_t x = a + i;
			size_t y = b + sum - i;
			bool ends = x == old->count && y == new->count;

			if (x > old->count || y > new->count)
				continue;
			if (!ends && (x == old->count || y == new->count ||
				      !pub_same(&old->list[x], &new->list[y])))
				continue;
			hunk->drops = i;
			hunk->puts = sum - i;
			return true;
		}
	}
	return false;
}

/* Adds one place with its lines to an edit. */
static int pub_add_hunk(struct pub_edit *edit, const struct pub_lines *old,
			const struct pub_lines *new, size_t b,
			const struct pub_hunk *hunk)
{
	size_t i;

	if (!edit->hunks) {
		edit->hunks = calloc(PUB_EDIT_LINES, sizeof(*edit->hunks));
		edit->drop = calloc(PUB_EDIT_LINES, sizeof(*edit->drop));
		edit->put = calloc(PUB_EDIT_LINES, sizeof(*edit->put));
		if (!edit->hunks || !edit->drop || !edit->put)
			return PUB_E_MEMORY;
	}
	if (edit->hunk_count + 1 > PUB_EDIT_LINES ||
	    edit->drops + hunk->drops > PUB_EDIT_LINES ||
	    edit->puts + hunk->puts > PUB_EDIT_LINES)
		return PUB_E_SIZE;
	edit->hunks[edit->hunk_count++] = *hunk;
	for (i = 0; i < hunk->drops; i++)
		edit->drop[edit->drops++] = old->list[hunk->at + i];
	for (i = 0; i < hunk->puts; i++)
		edit->put[edit->puts++] = new->list[b + i];
	return PUB_OK;
}

/* Writes the new text; NULL if the hunks don't fit the old one. */
static char *pub_edit_lines(const struct pub_lines *old, const char *hunks,
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
	fprintf(out, PUB_OPEN_AT "%llu" PUB_OPEN_LIST,
		(unsigned long long)revision);
	while (at && *at) {
		at = pub_read_hunk(at, &hunk);
		if (!at || hunk.at < a || hunk.at > old->count ||
		    hunk.drops > old->count - hunk.at) {
			at = NULL;
			break;
		}
		while (a < hunk.at)
			pub_put_line(out, &count, &old->list[a++]);
		a += hunk.drops;
		at = pub_put_lines(out, &count, at, hunk.puts);
	}
	while (a < old->count)
		pub_put_line(out, &count, &old->list[a++]);
	fputs(PUB_CLOSE, out);
	if (fclose(out) == 0 && at)
		return text;
	free(text);
	return NULL;
}

/* Reads the head of one place; returns what follows it, NULL if it is none. */
static const char *pub_read_hunk(const char *at, struct pub_hunk *hunk)
{
	int skip = 0;

	if (sscanf(at, "@%9zu %9zu %9zu%n", &hunk->at, &hunk->drops,
		   &hunk->puts, &skip) != 3 ||
	    at[skip] != '\n')
		return NULL;
	return at + skip + 1;
}

/* Writes lines of an edit; returns what follows, NULL if there are too few. */
static const char *pub_put_lines(FILE *out, size_t *count, const char *at,
				 size_t puts)
{
	while (puts-- > 0 && at) {
		const char *end = strchr(at, '\n');
		struct cfg_object_text line = { at,
						end ? (size_t)(end - at) : 0 };

		if (line.len > 0)
			pub_put_line(out, count, &line);
		at = line.len > 0 ? end + 1 : NULL;
	}
	return at;
}

static void pub_put_line(FILE *out, size_t *count,
			 const struct cfg_object_text *line)
{
	fputs((*count)++ ? ",\n" : "\n", out);
	fwrite(line->text, 1, line->len, out);
}
