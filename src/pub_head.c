#include <stdlib.h>
#include <string.h>

#include "chk.h"
#include "pub_int.h"

static int pub_head_read(struct pub_head *head, const json_t *doc);
static bool pub_read_revision(const json_t *value, uint64_t min,
			      uint64_t *revision);
static int pub_read_kind(struct pub_head *head, struct pub_kind *kind,
			 const json_t *list);
static bool pub_read_chunk(struct pub_chunk *chunk, const char *text,
			   uint64_t newest);
static bool pub_read_change(struct pub_change *change, const json_t *value);
static bool pub_read_string(char *dst, size_t size, const json_t *value);
static json_t *pub_kind_json(const struct pub_kind *kind);
static json_t *pub_change_json(const struct pub_change *change);

/*
 * Parses a head record and validates all of it, because other tools can write
 * to the platform as well.  Returns PUB_E_DAMAGED if it is not valid.
 */
int pub_head_parse(struct pub_head *head, const char *text, size_t len)
{
	json_error_t error;
	json_t *doc = chk_json(text, len, &error);
	int err;

	memset(head, 0, sizeof(*head));
	err = pub_head_read(head, doc);
	json_decref(doc);
	if (err != PUB_OK)
		pub_head_free(head);
	return err;
}

/* Returns the text of a head record, NULL if out of memory. */
char *pub_head_text(const struct pub_head *head)
{
	json_t *doc = json_object();
	json_t *chunks = json_object();
	json_t *changes = json_array();
	char *text;
	size_t i;

	for (i = 0; i < CFG_KIND_COUNT; i++)
		json_object_set_new(chunks, pub_kind_name(i),
				    pub_kind_json(&head->kinds[i]));
	for (i = 0; i < head->change_count; i++)
		json_array_append_new(changes,
				      pub_change_json(&head->changes[i]));
	json_object_set_new(doc, "revision",
			    json_integer((json_int_t)head->revision));
	json_object_set_new(doc, "previous",
			    json_integer((json_int_t)head->previous));
	json_object_set_new(doc, "chunks", chunks);
	json_object_set_new(doc, "changes", changes);
	text = json_dumps(doc, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(doc);
	return text;
}

/* Copies a head without its chunks, for searching the history. */
void pub_head_copy(struct pub_head *copy, const struct pub_head *head)
{
	*copy = *head;
	memset(copy->kinds, 0, sizeof(copy->kinds));
}

/* Frees the members of a head. */
void pub_head_free(struct pub_head *head)
{
	size_t i;

	for (i = 0; i < CFG_KIND_COUNT; i++)
		free(head->kinds[i].chunks);
	memset(head, 0, sizeof(*head));
}

static int pub_head_read(struct pub_head *head, const json_t *doc)
{
	const json_t *chunks = json_object_get(doc, "chunks");
	const json_t *changes = json_object_get(doc, "changes");
	size_t count = json_array_size(changes);
	size_t i;
	int err;

	if (!pub_read_revision(json_object_get(doc, "revision"), 1,
			       &head->revision) ||
	    !pub_read_revision(json_object_get(doc, "previous"), 0,
			       &head->previous) ||
	    head->previous >= head->revision)
		return PUB_E_DAMAGED;
	if (json_object_size(chunks) != CFG_KIND_COUNT ||
	    !json_is_array(changes) || count > PUB_CHANGES_MAX)
		return PUB_E_DAMAGED;
	for (i = 0; i < CFG_KIND_COUNT; i++) {
		err = pub_read_kind(head, &head->kinds[i],
				    json_object_get(chunks, pub_kind_name(i)));
		if (err != PUB_OK)
			return err;
	}
	for (i = 0; i < count; i++) {
		if (!pub_read_change(&head->changes[i],
				     json_array_get(changes, i)))
			return PUB_E_DAMAGED;
		head->change_count++;
	}
	return PUB_OK;
}

static bool pub_read_revision(const json_t *value, uint64_t min,
			      uint64_t *revision)
{
	json_int_t n = json_integer_value(value);

	if (!json_is_integer(value) || n < 0 || (uint64_t)n < min ||
	    (uint64_t)n > PUB_REVISION_MAX)
		return false;
	*revision = (uint64_t)n;
	return true;
}

static int pub_read_kind(struct pub_head *head, struct pub_kind *kind,
			 const json_t *list)
{
	size_t count = json_array_size(list);
	size_t i;

	if (count == 0 || count > PUB_BUCKETS_MAX || (count & (count - 1)))
		return PUB_E_DAMAGED;
	kind->chunks = calloc(count, sizeof(*kind->chunks));
	if (!kind->chunks)
		return PUB_E_MEMORY;
	kind->count = count;
	for (i = 0; i < count; i++) {
		const char *text = json_string_value(json_array_get(list, i));

		if (!text ||
		    !pub_read_chunk(&kind->chunks[i], text, head->revision))
			return PUB_E_DAMAGED;
	}
	return PUB_OK;
}

/* Parses a chunk reference: "revision/digest", or "" for an empty chunk. */
static bool pub_read_chunk(struct pub_chunk *chunk, const char *text,
			   uint64_t newest)
{
	char *end;

	if (text[0] == '\0')
		return true;
	if (text[0] < '1' || text[0] > '9')
		return false;
	chunk->revision = strtoull(text, &end, 10);
	if (chunk->revision > newest || *end != '/' ||
	    strlen(end + 1) != PUB_DIGEST_HEX - 1 ||
	    strspn(end + 1, "0123456789abcdef") != PUB_DIGEST_HEX - 1)
		return false;
	return mag_copy_name(chunk->digest, PUB_DIGEST_HEX, end + 1) == 0;
}

static bool pub_read_change(struct pub_change *change, const json_t *value)
{
	const json_t *time = json_object_get(value, "time_ms");

	change->time_ms = json_integer_value(time);
	return json_is_integer(time) &&
	       pub_read_revision(json_object_get(value, "revision"), 1,
				 &change->revision) &&
	       pub_read_string(change->id, sizeof(change->id),
			       json_object_get(value, "id")) &&
	       pub_read_string(change->author, sizeof(change->author),
			       json_object_get(value, "operator")) &&
	       pub_read_string(change->note, sizeof(change->note),
			       json_object_get(value, "note"));
}

static bool pub_read_string(char *dst, size_t size, const json_t *value)
{
	const char *text = json_string_value(value);

	return text && mag_copy_name(dst, size, text) == 0;
}

static json_t *pub_kind_json(const struct pub_kind *kind)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < kind->count; i++) {
		const struct pub_chunk *c = &kind->chunks[i];

		json_array_append_new(
			list,
			c->digest[0]
				? json_sprintf("%llu/%s",
					       (unsigned long long)c->revision,
					       c->digest)
				: json_string(""));
	}
	return list;
}

static json_t *pub_change_json(const struct pub_change *change)
{
	return json_pack("{s:s, s:s, s:s, s:I, s:I}", "id", change->id,
			 "operator", change->author, "note", change->note,
			 "time_ms", (json_int_t)change->time_ms, "revision",
			 (json_int_t)change->revision);
}
