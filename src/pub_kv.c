#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pub_int.h"

static enum kv_status pub_call(struct pub *pub, struct kv_call *call,
			       const char *key, struct kv_reply *reply);

/* Reads a key.  The caller frees the value of the reply. */
enum kv_status pub_get(struct pub *pub, const char *key, int64_t deadline_us,
		       struct kv_reply *reply)
{
	struct kv_call call = { .op = KV_GET, .deadline_us = deadline_us };

	return pub_call(pub, &call, key, reply);
}

/* Replaces the value of a key at a given version; version 0 creates it. */
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
 * Creates a key that only ever gets one value, such as a past head under its
 * revision.  Hence the write is repeated if its reply was lost, and a conflict
 * counts as success because the existing value is the same.
 */
int pub_create(struct pub *pub, const char *key, const char *value,
	       int64_t deadline_us)
{
	enum kv_status status = KV_NO_ANSWER;
	struct kv_reply reply;
	int try;

	for (try = 0; try < PUB_TRIES && status == KV_NO_ANSWER; try++)
		status = pub_put(pub, key, 0, value, deadline_us, &reply);
	return status == KV_OK || status == KV_CONFLICT ? PUB_OK : PUB_E_DOWN;
}

/*
 * Creates a chunk.  If its key exists already, the stored value is compared
 * with the new one, because a head that names a damaged chunk can't be read.
 */
int pub_create_chunk(struct pub *pub, const struct pub_chunk *chunk,
		     const char *text, int64_t deadline_us)
{
	struct kv_reply reply;
	char key[KV_KEY_MAX];
	enum kv_status status = KV_NO_ANSWER;
	int err = PUB_OK;
	int try;

	pub_chunk_key(key, chunk);
	for (try = 0; try < PUB_TRIES && status == KV_NO_ANSWER; try++)
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

/* Deletes a key at a version.  Failures only cost space and are ignored. */
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

/* Writes the key of a chunk: the revision that wrote it and its digest. */
void pub_chunk_key(char key[KV_KEY_MAX], const struct pub_chunk *chunk)
{
	snprintf(key, KV_KEY_MAX, "config/chunk/%llu/%s",
		 (unsigned long long)chunk->revision, chunk->digest);
}

/* Writes the key under which the head of a past revision is stored. */
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
