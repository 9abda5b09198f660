#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pub_int.h"

static enum kv_status pub_call(struct pub *pub, struct kv_call *call,
			       const char *key, struct kv_reply *reply);

/* Reads a key.  On KV_OK the caller frees the reply's value. */
enum kv_status pub_get(struct pub *pub, const char *key, int64_t deadline_us,
		       struct kv_reply *reply)
{
	struct kv_call call = { .op = KV_GET, .deadline_us = deadline_us };

	return pub_call(pub, &call, key, reply);
}

/* Swaps a key's value if it still has the version; 0 creates it. */
enum kv_status pub_put(struct pub *pub, const char *key, uint64_t version,
		       const char *value, int64_t deadline_us,
		       struct kv_reply *reply)
{
	struct kv_call call = { .op = KV_CAS,
				.version = version,
				.value = (char *)value,
				.len = strlen(value),
				.deadline_us = deadline_us };
	enum kv_status status = pub_call(pub, &call, key, reply);

	free(reply->value);
	reply->value = NULL;
	return status;
}

/*
 * Creates a key that nobody gives another value, as a past head under its
 * revision.  So an answer that was lost is asked for again, and finding the
 * key there is as good as writing it.
 */
int pub_create(struct pub *pub, const char *key, const char *value,
	       int64_t deadline_us)
{
	enum kv_status status = KV_LOST;
	struct kv_reply reply;
	int try;

	for (try = 0; try < PUB_TRIES && status == KV_LOST; try++)
		status = pub_put(pub, key, 0, value, deadline_us, &reply);
	return status == KV_OK || status == KV_CONFLICT ? PUB_OK : PUB_E_DOWN;
}

/*
 * Creates a chunk.  If its key is there already, its value is held against
 * the one wanted: a head that named a damaged chunk could not be read.
 */
int pub_create_chunk(struct pub *pub, const struct pub_chunk *chunk,
		     const char *text, int64_t deadline_us)
{
	struct kv_reply reply;
	char key[KV_KEY_MAX];
	enum kv_status status = KV_LOST;
	int err = PUB_OK;
	int try;

	pub_chunk_key(key, chunk);
	for (try = 0; try < PUB_TRIES && status == KV_LOST; try++)
		status = pub_put(pub, key, 0, text, deadline_us, &reply);
	if (status == KV_OK)
		return PUB_OK;
	if (status != KV_CONFLICT)
		return PUB_E_DOWN;
	if (pub_get(pub, key, deadline_us, &reply) != KV_OK)
		err = PUB_E_DOWN;
	else if (reply.len != strlen(text) ||
		 memcmp(reply.value, text, reply.len) != 0)
		err = PUB_E_DAMAGED;
	free(reply.value);
	return err;
}

/* Deletes a key at a version; one that stays costs space and nothing else. */
void pub_delete(struct pub *pub, const char *key, uint64_t version,
		int64_t deadline_us)
{
	struct kv_call call = { .op = KV_DELETE,
				.version = version,
				.deadline_us = deadline_us };
	struct kv_reply reply;

	pub_call(pub, &call, key, &reply);
	free(reply.value);
}

/* Names the key of a chunk: by the revision that wrote it and its content. */
void pub_chunk_key(char key[KV_KEY_MAX], const struct pub_chunk *chunk)
{
	snprintf(key, KV_KEY_MAX, "config/chunk/%llu/%s",
		 (unsigned long long)chunk->revision, chunk->digest);
}

/* Names the key under which the head of a past revision is kept. */
void pub_past_key(char key[KV_KEY_MAX], uint64_t revision)
{
	snprintf(key, KV_KEY_MAX, "config/past/%llu",
		 (unsigned long long)revision);
}

static enum kv_status pub_call(struct pub *pub, struct kv_call *call,
			       const char *key, struct kv_reply *reply)
{
	memset(reply, 0, sizeof(*reply));
	call->id = ++pub->next_call_id;
	mag_copy_name(call->key, sizeof(call->key), key);
	pub->backend.call(pub->backend.ctx, call, reply);
	return reply->status;
}
