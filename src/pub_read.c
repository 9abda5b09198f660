#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "log.h"
#include "pub_int.h"

static int pub_load_key(struct pub *pub, const char *key, int64_t deadline_us,
			struct pub_head *head, uint64_t *version);
static bool pub_is_stale(const struct pub *pub, const struct pub_head *head);
static void pub_log_refused_head(struct pub *pub, int err);
static int pub_read_once(struct pub *pub, int64_t deadline_us, char **text,
			 uint64_t *revision);

static const char *const err_texts[] = {
	[PUB_OK] = "done",
	[-PUB_E_ABSENT] = "nothing was ever published",
	[-PUB_E_DOWN] = "the platform's service does not answer",
	[-PUB_E_UNKNOWN] = "no answer to the write; it may be in force",
	[-PUB_E_CONFLICT] = "another change came first",
	[-PUB_E_INVALID] = "the set has faults",
	[-PUB_E_DAMAGED] = "the stored configuration is damaged",
	[-PUB_E_BASE] = "the set does not say which revision it was made from",
	[-PUB_E_STALE] =
		"the service holds an older revision than one read before",
	[-PUB_E_SIZE] = "too large for the platform's service",
	[-PUB_E_GONE] = "that revision is not kept",
	[-PUB_E_REJECTED] = "the offered configuration fails its checks",
	[-PUB_E_MEMORY] = "out of memory",
};

/* Returns the message for an error. */
const char *pub_err_text(enum pub_err err)
{
	return err_texts[-(int)err];
}

/* Returns a reader and publisher for a platform, NULL if out of memory. */
struct pub *pub_new(struct kv_backend backend)
{
	struct pub *pub = calloc(1, sizeof(*pub));

	if (!pub || sodium_init() < 0) {
		free(pub);
		return NULL;
	}
	pub->backend = backend;
	pub->cache = json_object();
	return pub;
}

/* Frees a reader or publisher; NULL is allowed. */
void pub_free(struct pub *pub)
{
	if (!pub)
		return;
	json_decref(pub->cache);
	free(pub);
}

/*
 * Reads the set in force.  On PUB_OK the caller frees *text, which includes its
 * revision.  Chunks that were read before are not read again.  The objects are
 * in chunk order: sorting 10,000 of them for each change would cost more than
 * the rest of the function.
 *
 * After an outage the platform may return an older head.  An instance that
 * adopted it would undo changes that operators were told are in force.  A head
 * below the highest revision read or published so far is therefore PUB_E_STALE
 * and changes nothing.
 */
int pub_read(struct pub *pub, int64_t deadline_us, char **text,
	     uint64_t *revision)
{
	int err = PUB_E_DAMAGED;
	int try;

	*text = NULL;
	*revision = 0;
	/*
	 * A chunk may be pruned after the head was read and before the chunk
	 * is; then both are read again.
	 */
	for (try = 0; try < PUB_TRIES && err == PUB_E_DAMAGED; try++)
		err = pub_read_once(pub, deadline_us, text, revision);
	pub_log_refused_head(pub, err);
	return err;
}

/*
 * Waits until the head differs from the one that was read last, or until the
 * deadline.  Returns PUB_OK if it differs, PUB_E_ABSENT if it is the same when
 * the wait ends, PUB_E_DOWN if the platform does not reply.
 */
int pub_watch(struct pub *pub, int64_t deadline_us)
{
	struct kv_call call = { .op = KV_WATCH,
				.key = PUB_HEAD_KEY,
				.version = pub->head_version,
				.deadline_us = deadline_us };
	struct kv_reply reply = { 0 };

	call.id = ++pub->next_call_id;
	pub->backend.call(pub->backend.ctx, &call, &reply);
	free(reply.value);
	if (reply.status == KV_OK && reply.version != pub->head_version)
		return PUB_OK;
	if (reply.status == KV_OK || reply.status == KV_ABSENT ||
	    reply.status == KV_CONFLICT)
		return PUB_E_ABSENT;
	return PUB_E_DOWN;
}

/* Reads the set of a past revision or of the one in force, sorted by id. */
int pub_read_past(struct pub *pub, int64_t deadline_us, uint64_t revision,
		  char **text)
{
	struct pub_objects objects = { 0 };
	struct pub_head head;
	uint64_t version;
	int err = pub_load_head(pub, deadline_us, &head, &version);

	*text = NULL;
	if (err == PUB_OK && head.revision != revision) {
		pub_head_free(&head);
		err = pub_load_past(pub, deadline_us, revision, &head,
				    &version);
	}
	if (err != PUB_OK)
		return err;
	err = pub_load_objects(pub, deadline_us, &head, &objects);
	pub_head_free(&head);
	if (err == PUB_OK)
		*text = pub_objects_text(&objects, revision);
	pub_objects_free(&objects);
	return err == PUB_OK && !*text ? PUB_E_MEMORY : err;
}

/* Records a head that was read completely or published as the highest. */
void pub_set_highest(struct pub *pub, const struct pub_head *head)
{
	pub->highest_revision = head->revision;
	mag_copy_name(pub->highest_change_id, sizeof(pub->highest_change_id),
		      head->change_count ? head->changes[0].id : "");
}

/* Reads the head record and its version; the caller frees the head. */
int pub_load_head(struct pub *pub, int64_t deadline_us, struct pub_head *head,
		  uint64_t *version)
{
	return pub_load_key(pub, PUB_HEAD_KEY, deadline_us, head, version);
}

/* Reads the head of a past revision; PUB_E_GONE if it is not stored. */
int pub_load_past(struct pub *pub, int64_t deadline_us, uint64_t revision,
		  struct pub_head *head, uint64_t *version)
{
	char key[KV_KEY_MAX];
	int err;

	pub_past_key(key, revision);
	err = pub_load_key(pub, key, deadline_us, head, version);
	return err == PUB_E_ABSENT ? PUB_E_GONE : err;
}

/* Logs a refused head, once for a series of equal failures. */
static void pub_log_refused_head(struct pub *pub, int err)
{
	if (err == PUB_E_STALE && pub->last_result != err)
		log_event(LOG_CONFIG_STALE, "revision=%llu",
			  (unsigned long long)pub->highest_revision);
	if (err == PUB_E_DAMAGED && pub->last_result != err)
		log_event(LOG_CONFIG_DAMAGED, "revision=%llu",
			  (unsigned long long)pub->highest_revision);
	pub->last_result = err;
}

static int pub_read_once(struct pub *pub, int64_t deadline_us, char **text,
			 uint64_t *revision)
{
	struct pub_head head;
	uint64_t version;
	int err = pub_load_head(pub, deadline_us, &head, &version);

	if (err != PUB_OK)
		return err;
	pub->head_version = version;
	if (pub_is_stale(pub, &head)) {
		pub_head_free(&head);
		return PUB_E_STALE;
	}
	err = pub_load_text(pub, deadline_us, &head, text);
	if (err == PUB_OK) {
		pub_set_highest(pub, &head);
		*revision = head.revision;
	}
	pub_head_free(&head);
	return err;
}

/*
 * Returns true if a head is older than one that was read before.  If the
 * platform returns an older head after an outage, new publications can reach a
 * revision number that other content already had.  So for an equal revision the
 * change that made it has to be the same too.
 */
static bool pub_is_stale(const struct pub *pub, const struct pub_head *head)
{
	const char *id = head->change_count ? head->changes[0].id : "";

	if (head->revision != pub->highest_revision)
		return head->revision < pub->highest_revision;
	return strcmp(id, pub->highest_change_id) != 0;
}

static int pub_load_key(struct pub *pub, const char *key, int64_t deadline_us,
			struct pub_head *head, uint64_t *version)
{
	struct kv_reply reply;
	enum kv_status status = pub_get(pub, key, deadline_us, &reply);
	int err;

	*version = reply.version;
	if (status == KV_ABSENT)
		err = PUB_E_ABSENT;
	else if (status != KV_OK)
		err = PUB_E_DOWN;
	else
		err = pub_head_parse(head, reply.value, reply.len);
	free(reply.value);
	return err;
}
