#include <stdlib.h>
#include <string.h>

#include "pub_int.h"

#define PUB_PRUNE_MAX 64 /* past heads that one publication removes */
#define PUB_GAP_MAX   4	 /* revisions that may be missing in a row */

static int pub_walk(struct pub *pub, int64_t deadline_us,
		    struct pub_head *head);
static void pub_prune_one(struct pub *pub, int64_t deadline_us,
			  uint64_t revision);
static bool pub_names(const struct pub_head *head,
		      const struct pub_chunk *chunk);
static void pub_prune_chunk(struct pub *pub, int64_t deadline_us,
			    const struct pub_chunk *chunk);

/*
 * Looks for a change id in a head and in the past heads that are kept.
 * *revision is the one that holds it, or 0 if it is in none of them.  Returns
 * PUB_E_UNKNOWN if the history that is kept does not reach back to the first
 * change, so that an older one may hold it.
 */
int pub_find_change(struct pub *pub, int64_t deadline_us,
		    const struct pub_head *head, const char *id,
		    uint64_t *revision)
{
	struct pub_head at;
	size_t i;
	int err = PUB_OK;

	pub_head_copy(&at, head);
	*revision = 0;
	while (err == PUB_OK) {
		for (i = 0; i < at.change_count; i++) {
			if (strcmp(at.changes[i].id, id) == 0) {
				*revision = at.changes[i].revision;
				pub_head_free(&at);
				return PUB_OK;
			}
		}
		err = pub_walk(pub, deadline_us, &at);
	}
	if (err == PUB_E_ABSENT)
		return PUB_OK;
	return err == PUB_E_GONE ? PUB_E_UNKNOWN : err;
}

/* Lists the changes that are kept, newest first, at most max of them. */
int pub_history(struct pub *pub, int64_t deadline_us,
		struct pub_change *changes, size_t max, size_t *count)
{
	uint64_t above = UINT64_MAX;
	struct pub_head at;
	uint64_t version;
	size_t i;
	int err = pub_load_head(pub, deadline_us, &at, &version);

	*count = 0;
	if (err != PUB_OK)
		return err;
	while (err == PUB_OK && *count < max) {
		for (i = 0; i < at.change_count && *count < max; i++) {
			if (at.changes[i].revision >= above)
				continue;
			above = at.changes[i].revision;
			changes[(*count)++] = at.changes[i];
		}
		err = pub_walk(pub, deadline_us, &at);
	}
	if (err == PUB_OK)
		pub_head_free(&at);
	return err == PUB_E_ABSENT || err == PUB_E_GONE ? PUB_OK : err;
}

/*
 * Removes the past heads that fall out of those kept when a revision follows
 * on another, and the chunks that no later head names.  A chunk's key holds
 * the revision that wrote it, so that no later publication can name it anew;
 * else one could take over a chunk just as it is removed here, and leave a
 * head that can't be read.
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
		pub_prune_one(pub, deadline_us, at);
}

/*
 * Goes from a head to the past one whose list starts where its own ends.
 * Frees the head on any error; PUB_E_ABSENT at the first change.
 */
static int pub_walk(struct pub *pub, int64_t deadline_us, struct pub_head *head)
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

static void pub_prune_one(struct pub *pub, int64_t deadline_us,
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

			if (c->digest[0] && !pub_names(&next, c))
				pub_prune_chunk(pub, deadline_us, c);
		}
	}
	if (err == PUB_OK)
		pub_head_free(&next);
	pub_head_free(&old);
	pub_past_key(key, revision);
	pub_delete(pub, key, version, deadline_us);
}

static bool pub_names(const struct pub_head *head,
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
