#include <stdlib.h>
#include <string.h>

#include "pub.h"
#include "rev.h"

#define REV_EDITS	32    /* that are kept for peers */
#define REV_EDITS_BYTES 65536 /* of them together, in one answer */

/* What led from one revision to a later one. */
struct rev_edit {
	uint64_t from_revision;
	uint64_t to_revision;
	char *text; /* NULL: too much differed */
};

struct rev {
	uint64_t revision;
	char *text;
	bool object_per_line; /* its lines may be taken one by one */
	struct rev_edit edits[REV_EDITS];
	size_t next_edit;	    /* to be overwritten */
	unsigned long patched_sets; /* sets made from the one before */
};

static int rev_take(struct rev *rev, const struct cfg_set *base,
		    const char *text, uint64_t revision, const char *known,
		    struct cfg_set **set);
static int rev_make(struct rev *rev, const struct cfg_set *base,
		    const char *text, uint64_t revision, struct cfg_set **set,
		    char **edit);
static int rev_parse(const char *text, struct cfg_set **set);
static void rev_keep(struct rev *rev, char *text, uint64_t revision,
		     char *edit);
static const struct rev_edit *rev_from(const struct rev *rev, uint64_t from);

/* Makes one that holds nothing; NULL if memory is short. */
struct rev *rev_new(void)
{
	return calloc(1, sizeof(struct rev));
}

/* Frees it; NULL is allowed. */
void rev_free(struct rev *rev)
{
	size_t i;

	if (!rev)
		return;
	for (i = 0; i < REV_EDITS; i++)
		free(rev->edits[i].text);
	free(rev->text);
	free(rev);
}

/*
 * Takes the text of a new revision.  base is the set of the revision held
 * before, NULL for none.  On PUB_OK *set is the new set, to be freed by the
 * caller; else nothing changed: PUB_E_STALE for one that is no newer,
 * PUB_E_REJECTED for one that no site could have made or that has faults.
 */
int rev_offer(struct rev *rev, const struct cfg_set *base, const char *text,
	      uint64_t revision, struct cfg_set **set)
{
	return rev_take(rev, base, text, revision, NULL, set);
}

/* As rev_offer; the edit that leads to the text, if it is known. */
static int rev_take(struct rev *rev, const struct cfg_set *base,
		    const char *text, uint64_t revision, const char *known,
		    struct cfg_set **set)
{
	char *edit = known ? strdup(known) : NULL;
	char *copy = NULL;
	int err = PUB_OK;

	*set = NULL;
	if (revision <= rev->revision)
		err = PUB_E_STALE;
	else if (!pub_accepts_revision(rev->revision, revision))
		err = PUB_E_REJECTED;
	if (err == PUB_OK)
		copy = strdup(text);
	if (err == PUB_OK && !copy)
		err = PUB_E_MEMORY;
	if (err == PUB_OK)
		err = rev_make(rev, base, copy, revision, set, &edit);
	if (err == PUB_OK) {
		(*set)->revision = revision;
		rev_keep(rev, copy, revision, edit);
	} else {
		free(copy);
		free(edit);
	}
	return err;
}

/*
 * Takes edits that a peer made from the revision held here.  As rev_offer;
 * PUB_E_BASE if another one is held by now.
 */
int rev_offer_edits(struct rev *rev, const struct cfg_set *base, uint64_t have,
		    const char *edits, struct cfg_set **set)
{
	char *copy = strdup(edits);
	char *edit = copy;
	char *text = NULL;
	uint64_t revision = rev->revision;
	uint64_t last = revision;
	int err = copy ? PUB_OK : PUB_E_MEMORY;

	*set = NULL;
	if (have != rev->revision || !rev->text)
		err = PUB_E_BASE;
	while (err == PUB_OK && edit) {
		char *end = strstr(edit, "\n\n");
		char *next = NULL;

		if (end)
			end[1] = '\0';
		err = pub_edit_apply(text ? text : rev->text, edit, &revision,
				     &next);
		if (err == PUB_OK && revision <= last)
			err = PUB_E_REJECTED;
		free(text);
		text = next;
		last = revision;
		edit = end ? end + 2 : NULL;
	}
	if (err == PUB_OK)
		err = rev_take(rev, base, text, revision,
			       strstr(edits, "\n\n") ? NULL : edits, set);
	free(text);
	free(copy);
	return err;
}

/* Returns the revision held, 0 before the first. */
uint64_t rev_revision(const struct rev *rev)
{
	return rev->revision;
}

/* Returns the text held, NULL before the first. */
const char *rev_text(const struct rev *rev)
{
	return rev->text;
}

/* Returns how many sets were made from the one before. */
unsigned long rev_patched_sets(const struct rev *rev)
{
	return rev->patched_sets;
}

/*
 * Returns the edits that lead from a revision to the one held, to be freed by
 * the caller; NULL if they are not kept or would be long.
 */
char *rev_edits(const struct rev *rev, uint64_t have)
{
	const struct rev_edit *edit;
	char *text = NULL;
	size_t len = 0;
	FILE *out;

	if (have >= rev->revision || !rev_from(rev, have))
		return NULL;
	out = open_memstream(&text, &len);
	if (!out)
		return NULL;
	while (have < rev->revision && (edit = rev_from(rev, have))) {
		fprintf(out, "%s%s", ftell(out) > 0 ? "\n" : "", edit->text);
		have = edit->to_revision;
	}
	if (fclose(out) == 0 && have == rev->revision && len <= REV_EDITS_BYTES)
		return text;
	free(text);
	return NULL;
}

/* Makes the set in the short way, or from the whole text. */
static int rev_make(struct rev *rev, const struct cfg_set *base,
		    const char *text, uint64_t revision, struct cfg_set **set,
		    char **edit)
{
	struct pub_edit lines = { 0 };
	int err = PUB_E_SIZE;

	if (base && rev->object_per_line)
		err = pub_edit_make(rev->text, text, &lines);
	if (err == PUB_OK && !*edit)
		*edit = pub_edit_text(&lines, revision, text);
	if (err == PUB_OK &&
	    cfg_patch(base, lines.removed, lines.removed_count, lines.added,
		      lines.added_count, set) == CFG_OK) {
		rev->patched_sets++;
	} else {
		err = rev_parse(text, set);
		if (err == PUB_OK)
			rev->object_per_line = pub_is_object_per_line(text);
	}
	pub_edit_free(&lines);
	return err;
}

static int rev_parse(const char *text, struct cfg_set **set)
{
	struct cfg_faults *faults;
	int err = cfg_parse(text, strlen(text), set, &faults);

	cfg_faults_free(faults);
	if (err == CFG_E_MEMORY)
		return PUB_E_MEMORY;
	return err == CFG_OK ? PUB_OK : PUB_E_REJECTED;
}

/* Puts a text in place of the one held, with what led to it if known. */
static void rev_keep(struct rev *rev, char *text, uint64_t revision, char *edit)
{
	struct rev_edit *kept = &rev->edits[rev->next_edit];

	if (edit) {
		free(kept->text);
		kept->text = edit;
		kept->from_revision = rev->revision;
		kept->to_revision = revision;
		rev->next_edit = (rev->next_edit + 1) % REV_EDITS;
	}
	free(rev->text);
	rev->text = text;
	rev->revision = revision;
}

/* Finds the edit that leads on from a revision. */
static const struct rev_edit *rev_from(const struct rev *rev, uint64_t from)
{
	size_t i;

	for (i = 0; i < REV_EDITS; i++) {
		if (rev->edits[i].text && rev->edits[i].from_revision == from)
			return &rev->edits[i];
	}
	return NULL;
}
