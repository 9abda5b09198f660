#include <stdlib.h>
#include <string.h>

#include "pub_int.h"

/* One request to publish, while it is tried. */
struct pub_job {
	struct pub *pub;
	const struct pub_request *request;
	struct pub_result *result;
	struct pub_objects mine;   /* as the operator wants it */
	struct pub_objects theirs; /* in force now */
	struct pub_objects merged;
	const struct pub_objects *wanted; /* mine or merged */
	struct pub_head head;		  /* in force now */
	uint64_t version;
	struct pub_head next; /* to be swapped in */
	bool damaged;	      /* what is in force can't be read */
	bool lost;	      /* a swap got no answer and is not settled */
};

/* Internal: the head moved on, try again from its reading. */
#define PUB_AGAIN 1

static int pub_check(const char *text, size_t len, struct pub_result *result);
static int pub_try(struct pub_job *job);
static int pub_settle(struct pub_job *job);
static int pub_load(struct pub_job *job);
static int pub_choose(struct pub_job *job);
static int pub_rebase(struct pub_job *job);
static int pub_write(struct pub_job *job);
static int pub_make_next(struct pub_job *job);
static int pub_make_kind(struct pub_job *job, enum cfg_kind kind,
			 size_t objects);
static int pub_make_chunk(struct pub_job *job, enum cfg_kind kind,
			  size_t bucket);
static int pub_write_chunk(struct pub_job *job, const struct pub_chunk *chunk,
			   const char *text);
static int pub_write_past(struct pub_job *job);
static int pub_swap(struct pub_job *job);
static int pub_swap_text(struct pub_job *job, const char *text);
static void pub_job_clear(struct pub_job *job);

/*
 * Publishes a whole set.  PUB_OK says that result->revision holds it.  A
 * change id that was tried before settles an answer that was lost: the same
 * request under the same id publishes once, however often it is made.  The
 * caller clears the result in every case.
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
	err = pub_check(request->text, request->len, result);
	if (err == PUB_OK)
		err = pub_objects_parse(&job.mine, request->text, request->len);
	if (err != PUB_OK)
		return err;
	job.lost = request->resume;
	err = PUB_AGAIN;
	for (try = 0; try < PUB_TRIES && err == PUB_AGAIN; try++) {
		pub_job_clear(&job);
		err = pub_try(&job);
	}
	if (err == PUB_AGAIN)
		err = job.lost ? PUB_E_UNKNOWN : PUB_E_CONFLICT;
	else if (err == PUB_E_DOWN && job.lost)
		err = PUB_E_UNKNOWN;
	pub_job_clear(&job);
	pub_objects_free(&job.mine);
	return err;
}

/* Frees what a result holds. */
void pub_result_clear(struct pub_result *result)
{
	json_decref(result->difference);
	cfg_faults_free(result->faults);
	result->difference = NULL;
	result->faults = NULL;
}

/* Checks a whole set as the instances will. */
static int pub_check(const char *text, size_t len, struct pub_result *result)
{
	struct cfg_set *set;
	int err = cfg_parse(text, len, &set, &result->faults);

	cfg_free(set);
	if (err == CFG_OK)
		return PUB_OK;
	return err == CFG_E_MEMORY ? PUB_E_MEMORY : PUB_E_INVALID;
}

/* Reads what is in force, decides what to publish, and publishes it. */
static int pub_try(struct pub_job *job)
{
	int err = pub_load(job);

	if (err == PUB_OK)
		err = pub_settle(job);
	if (err != PUB_OK || job->result->already_published)
		return err;
	err = pub_load_objects(job->pub, job->request->deadline_us, &job->head,
			       &job->theirs);
	if (err == PUB_E_DAMAGED && job->request->replace) {
		job->damaged = true;
		err = PUB_OK;
	}
	if (err == PUB_OK)
		err = pub_choose(job);
	if (err != PUB_OK || job->result->unchanged)
		return err;
	return pub_write(job);
}

/*
 * Looks for the change's id.  After a swap without an answer, or if the
 * operator says that an earlier try may have landed, past heads are searched
 * as well: others may have published since.
 *
 * A swap of this run that got no answer can't land any more, as the head was
 * seen to move on.  That of an earlier run may, as the head may still be the
 * one that it replaces; so its request never ends with "nothing changed".
 */
static int pub_settle(struct pub_job *job)
{
	const char *id = job->request->change.id;
	uint64_t revision = 0;
	int err = PUB_OK;
	size_t i;

	for (i = 0; i < job->head.change_count && !revision; i++) {
		if (strcmp(job->head.changes[i].id, id) == 0)
			revision = job->head.changes[i].revision;
	}
	if (!revision && job->lost)
		err = pub_find_change(job->pub, job->request->deadline_us,
				      &job->head, id, &revision);
	if (err != PUB_OK)
		return PUB_E_UNKNOWN;
	job->lost = job->request->resume;
	job->result->already_published = revision != 0;
	job->result->revision = revision;
	return PUB_OK;
}

/*
 * Reads the head in force; an absent one is revision 0 with no objects, and
 * so is a damaged one for an operator who replaces whatever is there.
 */
static int pub_load(struct pub_job *job)
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

/* Decides which set to publish over the one in force. */
static int pub_choose(struct pub_job *job)
{
	const struct pub_request *request = job->request;
	uint64_t now = job->head.revision;
	json_t *difference = pub_diff_objects(&job->theirs, &job->mine);
	int err = PUB_OK;

	job->wanted = &job->mine;
	if (json_array_size(difference) == 0) {
		job->result->unchanged = true;
		job->result->revision = now;
	} else if (request->replace || request->base == now) {
		err = PUB_OK;
	} else if (request->base > now) {
		err = PUB_E_STALE;
	} else if (request->base == 0) {
		job->result->difference = json_incref(difference);
		err = PUB_E_BASE;
	} else {
		err = pub_rebase(job);
	}
	json_decref(difference);
	return err;
}

/*
 * Another change came first.  The operator sees what both sides changed since
 * the common base; only if asked to, and if no object was changed on both
 * sides, both changes go together into the next revision.
 */
static int pub_rebase(struct pub_job *job)
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
	err = text ? pub_check(text, strlen(text), job->result) : PUB_E_MEMORY;
	free(text);
	return err;
}

/* Writes the chunks that changed and the past head, then swaps the head. */
static int pub_write(struct pub_job *job)
{
	int err = pub_make_next(job);

	if (err == PUB_OK)
		err = pub_write_past(job);
	if (err == PUB_OK)
		err = pub_swap(job);
	return err;
}

static int pub_make_next(struct pub_job *job)
{
	const struct pub_request *request = job->request;
	struct pub_head *next = &job->next;
	uint64_t above = job->head.revision;
	size_t counts[CFG_KIND_COUNT] = { 0 };
	int err = PUB_OK;
	size_t i;

	if (request->floor > above)
		above = request->floor;
	if (job->pub->highest_revision > above)
		above = job->pub->highest_revision;
	/* An instance that reports an absurd number must not lead there. */
	if (!pub_accepts_revision(job->head.revision, above + 1))
		return PUB_E_REJECTED;
	next->revision = above + 1;
	next->previous = job->head.revision;
	next->changes[0] = request->change;
	next->changes[0].revision = next->revision;
	next->change_count = 1;
	for (i = 0; i < job->head.change_count && i + 1 < PUB_CHANGES_MAX; i++)
		next->changes[next->change_count++] = job->head.changes[i];
	for (i = 0; i < job->wanted->count; i++)
		counts[job->wanted->list[i].kind]++;
	for (i = 0; i < CFG_KIND_COUNT && err == PUB_OK; i++)
		err = pub_make_kind(job, i, counts[i]);
	return err;
}

static int pub_make_kind(struct pub_job *job, enum cfg_kind kind,
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
		err = pub_make_chunk(job, kind, i);
	return err;
}

/* Takes a chunk over from the head in force, or writes it. */
static int pub_make_chunk(struct pub_job *job, enum cfg_kind kind,
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

/* Keeps the head in force as a past one before it is replaced. */
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

static int pub_swap(struct pub_job *job)
{
	char *text = pub_head_text(&job->next);
	int err;

	if (!text)
		return PUB_E_MEMORY;
	if (strlen(text) > PUB_VALUE_MAX) {
		free(text);
		return PUB_E_SIZE;
	}
	err = pub_swap_text(job, text);
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
 * Swaps the head.  An unanswered swap may have landed or may land later; the
 * same swap is sent again, as only one of them can: they replace the same
 * version.  A conflict sends back to the reading, where the id tells whether
 * it was our own that came first.
 */
static int pub_swap_text(struct pub_job *job, const char *text)
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
			return PUB_AGAIN;
		if (status != KV_LOST)
			break;
		job->lost = true;
	}
	return job->lost ? PUB_E_UNKNOWN : PUB_E_DOWN;
}

/* Forgets what one try read and made. */
static void pub_job_clear(struct pub_job *job)
{
	pub_objects_free(&job->theirs);
	pub_objects_free(&job->merged);
	pub_head_free(&job->head);
	pub_head_free(&job->next);
	job->damaged = false;
}
