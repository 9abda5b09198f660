#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "chk.h"
#include "pub_int.h"

/* FNV-1a.  It must not change, because stored chunks depend on it. */
#define PUB_HASH_START 2166136261U
#define PUB_HASH_PRIME 16777619U

static const char *const kind_names[CFG_KIND_COUNT] = {
	[CFG_SERVICE] = "service",   [CFG_ACCOUNT] = "account",
	[CFG_ROUTE] = "route",	     [CFG_LIMIT] = "limit",
	[CFG_ENDPOINT] = "endpoint",
};

static int pub_compare_objects(const void *a, const void *b);
static int pub_kind_by_name(const char *name);

/* Returns the name of a kind of object as the set's text has it. */
const char *pub_kind_name(enum cfg_kind kind)
{
	return kind_names[kind];
}

/*
 * Parses the text of a set into its objects.  Fields other than kind and name
 * are not validated here.  Returns PUB_E_DAMAGED if an entry lacks a valid kind
 * or name.
 */
int pub_objects_parse(struct pub_objects *objects, const char *text, size_t len)
{
	json_error_t error;
	json_t *doc = chk_json(text, len, &error);
	const json_t *list = json_object_get(doc, "objects");
	int err = json_is_array(list) ? PUB_OK : PUB_E_DAMAGED;
	size_t i;

	memset(objects, 0, sizeof(*objects));
	for (i = 0; i < json_array_size(list) && err == PUB_OK; i++)
		err = pub_objects_add(objects, json_array_get(list, i));
	json_decref(doc);
	if (err == PUB_OK)
		pub_objects_sort(objects);
	else
		pub_objects_free(objects);
	return err;
}

/* Appends one object in canonical form; the caller sorts the list later. */
int pub_objects_add(struct pub_objects *objects, const json_t *object)
{
	const char *kind = json_string_value(json_object_get(object, "kind"));
	const char *name = json_string_value(json_object_get(object, "name"));
	size_t capacity = objects->capacity ? 2 * objects->capacity : 64;
	struct pub_object *grown;
	struct pub_object *entry;

	if (!kind || !name || pub_kind_by_name(kind) < 0 ||
	    strlen(name) >= MAG_NAME_MAX)
		return PUB_E_DAMAGED;
	if (objects->count == objects->capacity) {
		grown = realloc(objects->list, capacity * sizeof(*grown));
		if (!grown)
			return PUB_E_MEMORY;
		objects->list = grown;
		objects->capacity = capacity;
	}
	entry = &objects->list[objects->count];
	entry->kind = (enum cfg_kind)pub_kind_by_name(kind);
	entry->text = json_dumps(object, JSON_COMPACT | JSON_SORT_KEYS);
	if (!entry->text)
		return PUB_E_MEMORY;
	if (asprintf(&entry->id, "%s/%s", kind, name) < 0) {
		free(entry->text);
		return PUB_E_MEMORY;
	}
	objects->count++;
	return PUB_OK;
}

/* Sorts the objects by id, as pub_objects_find requires. */
void pub_objects_sort(struct pub_objects *objects)
{
	if (objects->count)
		qsort(objects->list, objects->count, sizeof(*objects->list),
		      pub_compare_objects);
}

/* Frees the objects; the list is empty afterwards. */
void pub_objects_free(struct pub_objects *objects)
{
	size_t i;

	for (i = 0; i < objects->count; i++) {
		free(objects->list[i].id);
		free(objects->list[i].text);
	}
	free(objects->list);
	memset(objects, 0, sizeof(*objects));
}

/* Finds an object in a sorted list by kind/name; NULL if there is none. */
const struct pub_object *pub_objects_find(const struct pub_objects *objects,
					  const char *id)
{
	struct pub_object wanted = { .id = (char *)id };

	if (objects->count == 0)
		return NULL;
	return bsearch(&wanted, objects->list, objects->count,
		       sizeof(*objects->list), pub_compare_objects);
}

/*
 * Returns the text of a set, one object per line, without a revision if it is
 * 0.  The caller frees it; NULL if out of memory.
 */
char *pub_objects_text(const struct pub_objects *objects, uint64_t revision)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	size_t i;

	if (!out)
		return NULL;
	fputs("{", out);
	if (revision)
		fprintf(out, "\"revision\":%llu,",
			(unsigned long long)revision);
	fputs("\"objects\":[", out);
	for (i = 0; i < objects->count; i++)
		fprintf(out, "%s\n%s", i ? "," : "", objects->list[i].text);
	fputs("\n]}\n", out);
	if (fclose(out) == 0)
		return text;
	free(text);
	return NULL;
}

/* Writes the BLAKE2b digest of a value in hexadecimal. */
void pub_digest_bytes(const char *text, size_t len, char digest[PUB_DIGEST_HEX])
{
	unsigned char bytes[PUB_DIGEST_BYTES];

	crypto_generichash(bytes, sizeof(bytes), (const unsigned char *)text,
			   len, NULL, 0);
	sodium_bin2hex(digest, PUB_DIGEST_HEX, bytes, sizeof(bytes));
}

/* Returns the bucket of an object; the number of them is a power of two. */
size_t pub_bucket(const char *id, size_t buckets)
{
	uint32_t hash = PUB_HASH_START;

	for (; *id; id++)
		hash = (hash ^ (unsigned char)*id) * PUB_HASH_PRIME;
	hash ^= hash >> 16;
	return hash & (buckets - 1);
}

/*
 * Returns the number of buckets for the objects of a kind.  The current number
 * is retained while the mean objects per bucket is between the two limits.
 * With a single limit, a count that varies around it would rewrite every chunk
 * each time.
 */
size_t pub_bucket_count(size_t objects, size_t current)
{
	size_t buckets = current ? current : 1;

	while (buckets < PUB_BUCKETS_MAX &&
	       objects > buckets * PUB_CHUNK_OBJECTS_MAX)
		buckets *= 2;
	while (buckets > 1 && objects < buckets * PUB_CHUNK_OBJECTS_MIN)
		buckets /= 2;
	return buckets;
}

/*
 * Returns the text of one bucket: a JSON list of its objects, one per line, or
 * "" if it has none.  The caller frees it; NULL if out of memory.
 */
char *pub_chunk_text(const struct pub_objects *objects, enum cfg_kind kind,
		     size_t bucket, size_t buckets)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	size_t count = 0;
	size_t i;

	if (!out)
		return NULL;
	for (i = 0; i < objects->count; i++) {
		const struct pub_object *o = &objects->list[i];

		if (o->kind == kind && pub_bucket(o->id, buckets) == bucket)
			fprintf(out, "%s%s", count++ ? ",\n" : "[", o->text);
	}
	if (count)
		fputs("]", out);
	if (fclose(out) == 0)
		return text;
	free(text);
	return NULL;
}

/*
 * Writes the digest of a set.  It depends only on the objects, not on their
 * order or on white space.
 */
int pub_digest(const char *text, size_t len, char digest[PUB_DIGEST_HEX])
{
	struct pub_objects objects;
	int err = pub_objects_parse(&objects, text, len);
	char *canonical;

	digest[0] = '\0';
	if (err != PUB_OK)
		return err;
	canonical = pub_objects_text(&objects, 0);
	pub_objects_free(&objects);
	if (!canonical)
		return PUB_E_MEMORY;
	pub_digest_bytes(canonical, strlen(canonical), digest);
	free(canonical);
	return PUB_OK;
}

static int pub_compare_objects(const void *a, const void *b)
{
	const struct pub_object *x = a;
	const struct pub_object *y = b;

	return strcmp(x->id, y->id);
}

static int pub_kind_by_name(const char *name)
{
	int kind;

	for (kind = 0; kind < CFG_KIND_COUNT; kind++) {
		if (strcmp(kind_names[kind], name) == 0)
			return kind;
	}
	return -1;
}
