#include <stdlib.h>
#include <string.h>

#include "pub_int.h"

/* State of one publish request. */
struct pub_job {
	struct pub *pub;
	const struct pub_request *request;
	struct pub_result *result;
	struct pub_objects mine;   /* the operator's set */
	struct pub_objects theirs; /* the set in force */
	struct pub_objects merged;
	const struct pub_objects *wanted; /* mine or merged */
	struct pub_head head;		  /* the head in force */
	uint64_t version;		  /* of the head's key */
	struct pub_head next;		  /* replaces the head */
	bool damaged;			  /* the set in force can't be read */
	bool unresolved; /* a swap got no reply, its result is unknown */
};

/* Internal: the head changed; read it and try again. */
#define PUB_RETRY 1

static int pub_validate(const char *text, size_t len,
			struct pub_result *result);
static int pub_apply_once(struct pub_job *job);
static int pub_find_earlier_try(struct pub_job *job);
static int pub_load_current(struct pub_job *job);
static int pub_select_set(struct pub_job *job);
static int pub_merge_changes(struct pub_job *job);
static int pub_publish(struct pub_job *job);
static int pub_build_head(struct pub_job *job);
static int pub_build_kind(struct pub_job *job, enum cfg_kind kind,
			  size_t objects);
static int pub_build_chunk(struct pub_job *job, enum cfg_kind kind,
			   size_t bucket);
static int pub_write_chunk(struct pub_job *job, const struct pub_chunk *chunk,
			   const char *text);
static int pub_write_past(struct pub_job *job);
static int pub_swap_head(struct pub_job *job);
static int pub_swap_head_text(struct pub_job *job, const char *text);
static void pub_job_clear(struct pub_job *job);

/*
 * Publishes a whole set.  On PUB_OK result->revision holds it.  The change id
 * makes the request idempotent: if a reply was lost, the same request with
 * the same id can be repeated and is published only once.  The caller must
 * clear the result in every case.
 */
int pub_apply(struct pub *pub, const struct pub_request *request,
	      struct pub_result *result)
{
	struct pub_job job = { .pub = pub,
			       .request = request,
			       .result = result };
	int err;
	int try;

	memset(result, 0, sizeof(*result));
	err = pub_validate(request->text, request->len, result);
	if (err == PUB_OK)
		err = pub_objects_parse(&job.mine, request->text, request->len);
	if (err != PUB_OK)
		return err;
	job.unresolved = request->resume;
	err = PUB_RETRY;
	for (try = 0; try < PUB_TRIES && err == PUB_RETRY; try++) {
		pub_job_clear(&job);
		err = pub_apply_once(&job);
	}
	if (err == PUB_RETRY)
		err = job.unresolved ? PUB_E_UNKNOWN : PUB_E_CONFLICT;
	else if (err == PUB_E_DOWN && job.unresolved)
		err = PUB_E_UNKNOWN;
	pub_job_clear(&job);
	pub_objects_free(&job.mine);
	return err;
}

/* Frees the members of a result. */
void pub_result_clear(struct pub_result *result)
{
	json_decref(result->difference);
	cfg_faults_free(result->faults);
	result->difference = NULL;
	result->faults = NULL;
}

/* Validates a set with the parser that the instances use. */
static int pub_validate(const char *text, size_t len, struct pub_result *result)
{
	struct cfg_set *set;
	int err = cfg_parse(text, len, &set, &result->faults);

	cfg_free(set);
	if (err == CFG_OK)
		return PUB_OK;
	return err == CFG_E_MEMORY ? PUB_E_MEMORY : PUB_E_INVALID;
}

/* Reads the set in force, selects the set to publish and publishes it. */
static int pub_apply_once(struct pub_job *job)
{
	int err = pub_load_current(job);

	if (err == PUB_OK)
		err = pub_find_earlier_try(job);
	if (err != PUB_OK || job->result->already_published)
		return err;
	err = pub_load_objects(job->pub, job->request->deadline_us, &job->head,
			       &job->theirs);
	if (err == PUB_E_DAMAGED && job->request->replace) {
		job->damaged = true;
		err = PUB_OK;
	}
	if (err == PUB_OK)
		err = pub_select_set(job);
	if (err != PUB_OK || job->result->unchanged)
		return err;
	return pub_publish(job);
}

/*
 * Searches for the change id.  After a swap without a reply, or if the
 * operator says that an earlier try may be in force, past heads are searched
 * too, because other changes may have been published since.
 *
 * A swap of this run that got no reply can't take effect any more: the head
 * has changed since, so its expected version no longer matches.  A swap of an
 * earlier run still can, because the head may be the one that it replaces.  A
 * request with the resume flag is therefore never reported as "nothing
 * changed".
 */
static int pub_find_earlier_try(struct pub_job *job)
{
	const char *id = job->request->change.id;
	uint64_t revision = 0;
	int err = PUB_OK;
	size_t i;

	for (i = 0; i < job->head.change_count && !revision; i++) {
		if (strcmp(job->head.changes[i].id, id) == 0)
			revision = job->head.changes[i].revision;
	}
	if (!revision && job->unresolved)
		err = pub_find_change(job->pub, job->request->deadline_us,
				      &job->head, id, &revision);
	if (err != PUB_OK)
		return PUB_E_UNKNOWN;
	job->unresolved = job->request->resume;
	job->result->already_published = revision != 0;
	job->result->revision = revision;
	return PUB_OK;
}

/*
 * Reads the head in force.  An absent head counts as revision 0 without
 * objects.  So does a damaged head if the request replaces the set in force.
 */
static int pub_load_current(struct pub_job *job)
{
	int err = pub_load_head(job->pub, job->request->deadline_us, &job->head,
				&job->version);

	if (err == PUB_E_ABSENT) {
		memset(&job->head, 0, sizeof(job->head));
		job->version = 0;
		return PUB_OK;
	}
	if (err == PUB_E_DAMAGED && job->request->replace) {
		job->damaged = true;
		return PUB_OK;
	}
	return err;
}

/* Selects the set to publish: the operator's, a merged one, or none. */
static int pub_select_set(struct pub_job *job)
{
	const struct pub_request *request = job->request;
	uint64_t current = job->head.revision;
	json_t *difference = pub_diff_objects(&job->theirs, &job->mine);
	int err = PUB_OK;

	job->wanted = &job->mine;
	if (json_array_size(difference) == 0) {
		job->result->unchanged = true;
		job->result->revision = current;
	} else if (request->replace || request->base == current) {
		err = PUB_OK;
	} else if (request->base > current) {
		err = PUB_E_STALE;
	} else if (request->base == 0) {
		job->result->difference = json_incref(difference);
		err = PUB_E_BASE;
	} else {
		err = pub_merge_changes(job);
	}
	json_decref(difference);
	return err;
}

/*
 * Handles a base older than the revision in force.  Reports to the operator
 * what both sides changed since the base.  If the operator asked for a merge
 * and no object was changed differently on both sides, the next revision
 * contains both changes.
 */
static int pub_merge_changes(struct pub_job *job)
{
	int64_t deadline_us = job->request->deadline_us;
	struct pub_objects base = { 0 };
	struct pub_head head;
	uint64_t version;
	char *text;
	int err = pub_load_past(job->pub, deadline_us, job->request->base,
				&head, &version);

	if (err != PUB_OK)
		return err;
	err = pub_load_objects(job->pub, deadline_us, &head, &base);
	pub_head_free(&head);
	if (err != PUB_OK)
		return err;
	json_decref(job->result->difference);
	err = pub_merge(&base, &job->mine, &job->theirs, &job->merged,
			&job->result->difference);
	pub_objects_free(&base);
	if (err == PUB_OK && !job->request->merge)
		err = PUB_E_CONFLICT;
	if (err != PUB_OK)
		return err;
	job->wanted = &job->merged;
	text = pub_objects_text(&job->merged, 0);
	err = text ? pub_validate(text, strlen(text), job->result)
		   : PUB_E_MEMORY;
	free(text);
	return err;
}

/* Writes the chunks that changed and the past head, then swaps the head. */
static int pub_publish(struct pub_job *job)
{
	int err = pub_build_head(job);

	if (err == PUB_OK)
		err = pub_write_past(job);
	if (err == PUB_OK)
		err = pub_swap_head(job);
	return err;
}

static int pub_build_head(struct pub_job *job)
{
	const struct pub_request *request = job->request;
	struct pub_head *next = &job->next;
	uint64_t floor = job->head.revision;
	size_t counts[CFG_KIND_COUNT] = { 0 };
	int err = PUB_OK;
	size_t i;

	if (request->floor > floor)
		floor = request->floor;
	if (job->pub->highest_revision > floor)
		floor = job->pub->highest_revision;
	/*
	 * A faulty revision number from an instance must not be adopted: no
	 * later change could be published above it.
	 */
	if (!pub_accepts_revision(job->head.revision, floor + 1))
		return PUB_E_REJECTED;
	next->revision = floor + 1;
	next->previous = job->head.revision;
	next->changes[0] = request->change;
	next->changes[0].revision = next->revision;
	next->change_count = 1;
	for (i = 0; i < job->head.change_count && i + 1 < PUB_CHANGES_MAX; i++)
		next->changes[next->change_count++] = job->head.changes[i];
	for (i = 0; i < job->wanted->count; i++)
		counts[job->wanted->list[i].kind]++;
	for (i = 0; i < CFG_KIND_COUNT && err == PUB_OK; i++)
		err = pub_build_kind(job, i, counts[i]);
	return err;
}

static int pub_build_kind(struct pub_job *job, enum cfg_kind kind,
			  size_t objects)
{
	struct pub_kind *to = &job->next.kinds[kind];
	int err = PUB_OK;
	size_t i;

	to->count = pub_bucket_count(objects, job->head.kinds[kind].count);
	to->chunks = calloc(to->count, sizeof(*to->chunks));
	if (!to->chunks)
		return PUB_E_MEMORY;
	for (i = 0; i < to->count && err == PUB_OK; i++)
		err = pub_build_chunk(job, kind, i);
	return err;
}

/* Reuses the chunk of the head in force if it is the same, or writes one. */
static int pub_build_chunk(struct pub_job *job, enum cfg_kind kind,
			   size_t bucket)
{
	const struct pub_kind *from = &job->head.kinds[kind];
	struct pub_kind *to = &job->next.kinds[kind];
	struct pub_chunk *chunk = &to->chunks[bucket];
	char *text = pub_chunk_text(job->wanted, kind, bucket, to->count);
	int err = PUB_OK;

	if (!text)
		return PUB_E_MEMORY;
	if (text[0]) {
		pub_digest_bytes(text, strlen(text), chunk->digest);
		chunk->revision = job->next.revision;
		if (from->count == to->count && !job->damaged &&
		    strcmp(from->chunks[bucket].digest, chunk->digest) == 0)
			*chunk = from->chunks[bucket];
		else
			err = pub_write_chunk(job, chunk, text);
	}
	free(text);
	return err;
}

static int pub_write_chunk(struct pub_job *job, const struct pub_chunk *chunk,
			   const char *text)
{
	if (strlen(text) > PUB_VALUE_MAX)
		return PUB_E_SIZE;
	job->result->writes++;
	job->result->written_bytes += strlen(text);
	return pub_create_chunk(job->pub, chunk, text,
				job->request->deadline_us);
}

/* Stores the head in force as a past head before it is replaced. */
static int pub_write_past(struct pub_job *job)
{
	char key[KV_KEY_MAX];
	char *text;
	int err;

	if (job->head.revision == 0 || job->damaged)
		return PUB_OK;
	text = pub_head_text(&job->head);
	if (!text)
		return PUB_E_MEMORY;
	pub_past_key(key, job->head.revision);
	job->result->writes++;
	job->result->written_bytes += strlen(text);
	err = pub_create(job->pub, key, text, job->request->deadline_us);
	free(text);
	return err;
}

static int pub_swap_head(struct pub_job *job)
{
	char *text = pub_head_text(&job->next);
	int err;

	if (!text)
		return PUB_E_MEMORY;
	if (strlen(text) > PUB_VALUE_MAX) {
		free(text);
		return PUB_E_SIZE;
	}
	err = pub_swap_head_text(job, text);
	free(text);
	if (err != PUB_OK)
		return err;
	job->result->revision = job->next.revision;
	pub_set_highest(job->pub, &job->next);
	pub_prune(job->pub, job->request->deadline_us, job->head.revision,
		  job->next.revision);
	return PUB_OK;
}

/*
 * Replaces the head by compare-and-swap.  A swap without a reply may have
 * taken effect or may do so later.  It is sent again, which is safe: all of
 * them expect the same version, so only one can succeed.  After a conflict the
 * caller reads the head again and finds out by the change id whether one of its
 * own swaps succeeded.
 */
static int pub_swap_head_text(struct pub_job *job, const char *text)
{
	struct kv_reply reply;
	enum kv_status status;
	int try;

	for (try = 0; try < PUB_TRIES; try++) {
		job->result->writes++;
		job->result->written_bytes += strlen(text);
		status = pub_put(job->pub, PUB_HEAD_KEY, job->version, text,
				 job->request->deadline_us, &reply);
		if (status == KV_OK)
			return PUB_OK;
		if (status == KV_CONFLICT)
			return PUB_RETRY;
		if (status != KV_NO_ANSWER)
			break;
		job->unresolved = true;
	}
	return job->unresolved ? PUB_E_UNKNOWN : PUB_E_DOWN;
}

/* Frees what one try read and built. */
static void pub_job_clear(struct pub_job *job)
{
	pub_objects_free(&job->theirs);
	pub_objects_free(&job->merged);
	pub_head_free(&job->head);
	pub_head_free(&job->next);
	job->damaged = false;
}
