#include <stdlib.h>
#include <string.h>

#include "pub.h"
#include "rev.h"

#define REV_EDITS	32    /* edits stored for peers */
#define REV_EDITS_BYTES 65536 /* most in one reply to a peer */

/* The edit from one revision to a later one. */
struct rev_edit {
	uint64_t from_revision;
	uint64_t to_revision;
	char *text; /* as from pub_edit_text; NULL: unused */
};

struct rev {
	uint64_t revision;
	char *text;
	bool object_per_line; /* each line is one whole object */
	struct rev_edit edits[REV_EDITS];
	size_t next_edit;	    /* slot for the next edit */
	unsigned long patched_sets; /* sets built by patching */
};

static int rev_adopt(struct rev *rev, const struct cfg_set *base,
		     const char *text, uint64_t revision, const char *known,
		     struct cfg_set **set);
static int rev_build_set(struct rev *rev, const struct cfg_set *base,
			 const char *text, uint64_t revision,
			 struct cfg_set **set, char **edit);
static int rev_parse(const char *text, struct cfg_set **set);
static void rev_replace_text(struct rev *rev, char *text, uint64_t revision,
			     char *edit);
static const struct rev_edit *rev_find_edit(const struct rev *rev,
					    uint64_t from);

/* Returns a state without a revision, NULL if out of memory. */
struct rev *rev_new(void)
{
	return calloc(1, sizeof(struct rev));
}

/* Frees a state; NULL is allowed. */
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
 * Adopts the text of a new revision.  base is the set of the revision held so
 * far, NULL for none.  On PUB_OK *set is the new set, which the caller frees.
 * On an error the state stays the same: PUB_E_STALE if the revision is not
 * newer, PUB_E_REJECTED if its number is beyond the limits of
 * pub_accepts_revision or the set is not valid.
 */
int rev_offer(struct rev *rev, const struct cfg_set *base, const char *text,
	      uint64_t revision, struct cfg_set **set)
{
	return rev_adopt(rev, base, text, revision, NULL, set);
}

/* As rev_offer; known is the edit that leads to the text, or NULL. */
static int rev_adopt(struct rev *rev, const struct cfg_set *base,
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
		err = rev_build_set(rev, base, copy, revision, set, &edit);
	if (err == PUB_OK) {
		(*set)->revision = revision;
		rev_replace_text(rev, copy, revision, edit);
	} else {
		free(copy);
		free(edit);
	}
	return err;
}

/*
 * Applies edits from a peer that start at base_revision.  Otherwise as
 * rev_offer; PUB_E_BASE if the revision held is another one by now.
 */
int rev_offer_edits(struct rev *rev, const struct cfg_set *base,
		    uint64_t base_revision, const char *edits,
		    struct cfg_set **set)
{
	char *copy = strdup(edits);
	char *edit = copy;
	char *text = NULL;
	uint64_t revision = rev->revision;
	uint64_t last = revision;
	int err = copy ? PUB_OK : PUB_E_MEMORY;

	*set = NULL;
	if (base_revision != rev->revision || !rev->text)
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
		err = rev_adopt(rev, base, text, revision,
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

/* Returns how many sets were built by patching the previous one. */
unsigned long rev_patched_sets(const struct rev *rev)
{
	return rev->patched_sets;
}

/*
 * Returns the edits that lead from from_revision to the revision held; the
 * caller frees them.  NULL if an edit is not stored or if they exceed
 * REV_EDITS_BYTES.
 */
char *rev_edits(const struct rev *rev, uint64_t from_revision)
{
	const struct rev_edit *edit;
	char *text = NULL;
	size_t len = 0;
	FILE *out;

	if (from_revision >= rev->revision ||
	    !rev_find_edit(rev, from_revision))
		return NULL;
	out = open_memstream(&text, &len);
	if (!out)
		return NULL;
	while (from_revision < rev->revision &&
	       (edit = rev_find_edit(rev, from_revision))) {
		fprintf(out, "%s%s", ftell(out) > 0 ? "\n" : "", edit->text);
		from_revision = edit->to_revision;
	}
	if (fclose(out) == 0 && from_revision == rev->revision &&
	    len <= REV_EDITS_BYTES)
		return text;
	free(text);
	return NULL;
}

/* Builds the set by patching base, or else by parsing the whole text. */
static int rev_build_set(struct rev *rev, const struct cfg_set *base,
			 const char *text, uint64_t revision,
			 struct cfg_set **set, char **edit)
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

/* Replaces the text held and stores the edit that led to it, if any. */
static void rev_replace_text(struct rev *rev, char *text, uint64_t revision,
			     char *edit)
{
	struct rev_edit *slot = &rev->edits[rev->next_edit];

	if (edit) {
		free(slot->text);
		slot->text = edit;
		slot->from_revision = rev->revision;
		slot->to_revision = revision;
		rev->next_edit = (rev->next_edit + 1) % REV_EDITS;
	}
	free(rev->text);
	rev->text = text;
	rev->revision = revision;
}

/* Finds the stored edit that starts at a revision. */
static const struct rev_edit *rev_find_edit(const struct rev *rev,
					    uint64_t from)
{
	size_t i;

	for (i = 0; i < REV_EDITS; i++) {
		if (rev->edits[i].text && rev->edits[i].from_revision == from)
			return &rev->edits[i];
	}
	return NULL;
}
