#include <stdlib.h>
#include <string.h>

#include "pub_int.h"

/* Reads the chunks that a head names and extracts their objects. */

static int pub_load_chunks(struct pub *pub, int64_t deadline_us,
			   const struct pub_head *head);
static int pub_load_chunk(struct pub *pub, int64_t deadline_us,
			  const struct pub_chunk *chunk, json_t *cache);
static int pub_fetch_chunk(struct pub *pub, int64_t deadline_us,
			   const struct pub_chunk *chunk, json_t **text);
static const char *pub_cached(const struct pub *pub,
			      const struct pub_chunk *chunk);
static int pub_write_set(const struct pub *pub, const struct pub_head *head,
			 FILE *out);
static int pub_add_chunk(struct pub_objects *objects, const char *text);

/* Reads all objects of a head, sorted by id; the caller frees them. */
int pub_load_objects(struct pub *pub, int64_t deadline_us,
		     const struct pub_head *head, struct pub_objects *objects)
{
	int err = pub_load_chunks(pub, deadline_us, head);
	size_t kind;
	size_t i;

	memset(objects, 0, sizeof(*objects));
	for (kind = 0; kind < CFG_KIND_COUNT; kind++) {
		const struct pub_kind *k = &head->kinds[kind];

		for (i = 0; i < k->count && err == PUB_OK; i++) {
			const char *text = pub_cached(pub, &k->chunks[i]);

			if (text)
				err = pub_add_chunk(objects, text);
		}
	}
	if (err == PUB_OK)
		pub_objects_sort(objects);
	else
		pub_objects_free(objects);
	return err;
}

/* Reads the set of a head as one text, in chunk order; the caller frees it. */
int pub_load_text(struct pub *pub, int64_t deadline_us,
		  const struct pub_head *head, char **text)
{
	int err = pub_load_chunks(pub, deadline_us, head);
	size_t len = 0;
	FILE *out;

	*text = NULL;
	if (err != PUB_OK)
		return err;
	out = open_memstream(text, &len);
	if (!out)
		return PUB_E_MEMORY;
	err = pub_write_set(pub, head, out);
	if (fclose(out) != 0)
		err = PUB_E_MEMORY;
	if (err != PUB_OK) {
		free(*text);
		*text = NULL;
	}
	return err;
}

/*
 * Reads the chunks that are not in the cache.  If one fails, the chunks read so
 * far stay in the cache and the next try continues from there.  Without this, a
 * set could never be read completely from a platform that fails every hundredth
 * call.
 */
static int pub_load_chunks(struct pub *pub, int64_t deadline_us,
			   const struct pub_head *head)
{
	json_t *cache = json_object();
	int err = PUB_OK;
	size_t kind;
	size_t i;

	for (kind = 0; kind < CFG_KIND_COUNT; kind++) {
		const struct pub_kind *k = &head->kinds[kind];

		for (i = 0; i < k->count && err == PUB_OK; i++)
			err = pub_load_chunk(pub, deadline_us, &k->chunks[i],
					     cache);
	}
	if (err != PUB_OK) {
		json_object_update(pub->cache, cache);
		json_decref(cache);
		return err;
	}
	json_decref(pub->cache);
	pub->cache = cache;
	return PUB_OK;
}

static int pub_load_chunk(struct pub *pub, int64_t deadline_us,
			  const struct pub_chunk *chunk, json_t *cache)
{
	json_t *text;
	int err = PUB_OK;

	if (!chunk->digest[0])
		return PUB_OK;
	text = json_incref(json_object_get(pub->cache, chunk->digest));
	if (!text)
		err = pub_fetch_chunk(pub, deadline_us, chunk, &text);
	if (err == PUB_OK)
		json_object_set_new(cache, chunk->digest, text);
	return err;
}

/* Reads a chunk and verifies its digest. */
static int pub_fetch_chunk(struct pub *pub, int64_t deadline_us,
			   const struct pub_chunk *chunk, json_t **text)
{
	char digest[PUB_DIGEST_HEX];
	struct kv_reply reply;
	char key[KV_KEY_MAX];
	enum kv_status status;

	pub_chunk_key(key, chunk);
	status = pub_get(pub, key, deadline_us, &reply);
	*text = NULL;
	if (status == KV_OK) {
		pub_digest_bytes(reply.value, reply.len, digest);
		if (strcmp(digest, chunk->digest) == 0)
			*text = json_stringn(reply.value, reply.len);
	}
	free(reply.value);
	if (*text)
		return PUB_OK;
	return status == KV_OK || status == KV_ABSENT ? PUB_E_DAMAGED
						      : PUB_E_DOWN;
}

/* Returns the cached text of a chunk, NULL for an empty one. */
static const char *pub_cached(const struct pub *pub,
			      const struct pub_chunk *chunk)
{
	return json_string_value(json_object_get(pub->cache, chunk->digest));
}

/* Writes a set whose object list concatenates those of all chunks. */
static int pub_write_set(const struct pub *pub, const struct pub_head *head,
			 FILE *out)
{
	const char *separator = "\n";
	size_t kind;
	size_t i;

	fprintf(out, "{\"revision\":%llu,\"objects\":[",
		(unsigned long long)head->revision);
	for (kind = 0; kind < CFG_KIND_COUNT; kind++) {
		const struct pub_kind *k = &head->kinds[kind];

		for (i = 0; i < k->count; i++) {
			const char *text = pub_cached(pub, &k->chunks[i]);
			size_t len = text ? strlen(text) : 0;

			if (!text)
				continue;
			if (len < 2 || text[0] != '[' || text[len - 1] != ']')
				return PUB_E_DAMAGED;
			fprintf(out, "%s%.*s", separator, (int)len - 2,
				text + 1);
			separator = ",\n";
		}
	}
	fputs("\n]}\n", out);
	return PUB_OK;
}

static int pub_add_chunk(struct pub_objects *objects, const char *text)
{
	json_t *list = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
	int err = json_is_array(list) ? PUB_OK : PUB_E_DAMAGED;
	size_t i;

	for (i = 0; i < json_array_size(list) && err == PUB_OK; i++)
		err = pub_objects_add(objects, json_array_get(list, i));
	json_decref(list);
	return err;
}
