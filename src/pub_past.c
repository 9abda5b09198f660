#include <stdlib.h>
#include <string.h>

#include "pub_int.h"

#define PUB_PRUNE_MAX 64 /* past heads that one publication removes */
#define PUB_GAP_MAX   4	 /* consecutive revisions that may be missing */

static int pub_load_older(struct pub *pub, int64_t deadline_us,
			  struct pub_head *head);
static void pub_prune_revision(struct pub *pub, int64_t deadline_us,
			       uint64_t revision);
static bool pub_head_names_chunk(const struct pub_head *head,
				 const struct pub_chunk *chunk);
static void pub_prune_chunk(struct pub *pub, int64_t deadline_us,
			    const struct pub_chunk *chunk);

/*
 * Searches for a change id in a head and in the stored past heads.  *revision
 * is the one that contains the change, or 0 if none does.  Returns
 * PUB_E_UNKNOWN if the change is not found and the stored history does not
 * reach back to the first change, because an older revision may contain it.
 */
int pub_find_change(struct pub *pub, int64_t deadline_us,
		    const struct pub_head *head, const char *id,
		    uint64_t *revision)
{
	struct pub_head cursor;
	size_t i;
	int err = PUB_OK;

	pub_head_copy(&cursor, head);
	*revision = 0;
	while (err == PUB_OK) {
		for (i = 0; i < cursor.change_count; i++) {
			if (strcmp(cursor.changes[i].id, id) == 0) {
				*revision = cursor.changes[i].revision;
				pub_head_free(&cursor);
				return PUB_OK;
			}
		}
		err = pub_load_older(pub, deadline_us, &cursor);
	}
	if (err == PUB_E_ABSENT)
		return PUB_OK;
	return err == PUB_E_GONE ? PUB_E_UNKNOWN : err;
}

/* Lists at most max of the stored changes, newest first. */
int pub_history(struct pub *pub, int64_t deadline_us,
		struct pub_change *changes, size_t max, size_t *count)
{
	uint64_t last_listed = UINT64_MAX;
	struct pub_head cursor;
	uint64_t version;
	size_t i;
	int err = pub_load_head(pub, deadline_us, &cursor, &version);

	*count = 0;
	if (err != PUB_OK)
		return err;
	while (err == PUB_OK && *count < max) {
		for (i = 0; i < cursor.change_count && *count < max; i++) {
			if (cursor.changes[i].revision >= last_listed)
				continue;
			last_listed = cursor.changes[i].revision;
			changes[(*count)++] = cursor.changes[i];
		}
		err = pub_load_older(pub, deadline_us, &cursor);
	}
	if (err == PUB_OK)
		pub_head_free(&cursor);
	return err == PUB_E_ABSENT || err == PUB_E_GONE ? PUB_OK : err;
}

/*
 * Removes the past heads beyond the retained number after a new revision was
 * published, and the chunks that no later head names.  The key of a chunk
 * contains the revision that wrote it, so that a later publication that needs
 * the same content again writes another key.  Otherwise a publication could
 * reuse a chunk while it is removed here, and its head could not be read.
 */
void pub_prune(struct pub *pub, int64_t deadline_us, uint64_t previous,
	       uint64_t revision)
{
	uint64_t first = previous > PUB_RETAINED_REVISIONS
				 ? previous - PUB_RETAINED_REVISIONS + 1
				 : 1;
	uint64_t at;

	for (at = first; at + PUB_RETAINED_REVISIONS <= revision &&
			 at < first + PUB_PRUNE_MAX;
	     at++)
		pub_prune_revision(pub, deadline_us, at);
}

/*
 * Replaces a head by the past head whose list of changes starts where its own
 * list ends.  Frees the head on any error.  Returns PUB_E_ABSENT if the head
 * already lists the first change.
 */
static int pub_load_older(struct pub *pub, int64_t deadline_us,
			  struct pub_head *head)
{
	uint64_t oldest = 0;
	uint64_t newest = head->revision;
	uint64_t version;

	if (head->change_count == PUB_CHANGES_MAX)
		oldest = head->changes[head->change_count - 1].revision;
	pub_head_free(head);
	if (oldest == 0)
		return PUB_E_ABSENT;
	if (oldest >= newest)
		return PUB_E_DAMAGED;
	return pub_load_past(pub, deadline_us, oldest, head, &version);
}

static void pub_prune_revision(struct pub *pub, int64_t deadline_us,
			       uint64_t revision)
{
	struct pub_head next;
	struct pub_head old;
	char key[KV_KEY_MAX];
	uint64_t version;
	uint64_t ignored;
	uint64_t later;
	int err = PUB_E_GONE;
	size_t kind;
	size_t i;

	if (pub_load_past(pub, deadline_us, revision, &old, &version) != PUB_OK)
		return;
	for (later = revision + 1;
	     later <= revision + PUB_GAP_MAX && err == PUB_E_GONE; later++)
		err = pub_load_past(pub, deadline_us, later, &next, &ignored);
	for (kind = 0; kind < CFG_KIND_COUNT && err == PUB_OK; kind++) {
		for (i = 0; i < old.kinds[kind].count; i++) {
			const struct pub_chunk *c = &old.kinds[kind].chunks[i];

			if (c->digest[0] && !pub_head_names_chunk(&next, c))
				pub_prune_chunk(pub, deadline_us, c);
		}
	}
	if (err == PUB_OK)
		pub_head_free(&next);
	pub_head_free(&old);
	pub_past_key(key, revision);
	pub_delete(pub, key, version, deadline_us);
}

static bool pub_head_names_chunk(const struct pub_head *head,
				 const struct pub_chunk *chunk)
{
	size_t kind;
	size_t i;

	for (kind = 0; kind < CFG_KIND_COUNT; kind++) {
		for (i = 0; i < head->kinds[kind].count; i++) {
			const struct pub_chunk *c =
				&head->kinds[kind].chunks[i];

			if (c->revision == chunk->revision &&
			    strcmp(c->digest, chunk->digest) == 0)
				return true;
		}
	}
	return false;
}

static void pub_prune_chunk(struct pub *pub, int64_t deadline_us,
			    const struct pub_chunk *chunk)
{
	struct kv_reply reply;
	char key[KV_KEY_MAX];

	pub_chunk_key(key, chunk);
	if (pub_get(pub, key, deadline_us, &reply) == KV_OK)
		pub_delete(pub, key, reply.version, deadline_us);
	free(reply.value);
}
