#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "mir.h"

/*
 * Tombstones that are kept besides one for each live item: a rolling update
 * deletes as many entries as there are workers.
 */
#define MIR_DELETED_MIN 1024

static struct mir_item *mir_lookup(const struct mir *mir, const char *key);
static struct mir_item *mir_add(struct mir *mir, const char *key);
static int mir_set(struct mir *mir, struct mir_item *entry,
		   const struct wire_item *item);
static uint64_t mir_digest(const struct wire_item *item);
static void mir_sort_in(struct mir *mir, struct mir_item *entry);
static void mir_drop_tombstones(struct mir *mir);
static void mir_drop(struct mir *mir, struct mir_item *entry);

void mir_init(struct mir *mir)
{
	memset(mir, 0, sizeof(*mir));
	CDS_INIT_LIST_HEAD(&mir->items);
}

/* Drops all items, as after a restore of the store: nothing may be served. */
void mir_clear(struct mir *mir)
{
	struct mir_item *entry;
	struct mir_item *next;

	cds_list_for_each_entry_safe (entry, next, &mir->items, by_revision)
		mir_drop(mir, entry);
	htab_free(&mir->keys);
	mir_init(mir);
}

/* Begins a complete list; mir_list_end() deletes the items that it lacks. */
void mir_list_begin(struct mir *mir)
{
	struct mir_item *entry;

	mir->listing = true;
	mir->lossy = false;
	cds_list_for_each_entry (entry, &mir->items, by_revision)
		entry->in_listing = false;
}

/*
 * Stores an item or a deletion.  One that is older than what is known of its
 * key has no effect.  After MIR_E_MEMORY nothing is served until a complete
 * list has been read again.
 */
int mir_put(struct mir *mir, const struct wire_item *item)
{
	struct mir_item *entry = mir_lookup(mir, item->key);
	int rc;

	if (!entry)
		entry = mir_add(mir, item->key);
	if (!entry) {
		mir->lossy = true;
		return MIR_E_MEMORY;
	}
	entry->in_listing = true;
	if (item->revision <= entry->item.revision)
		return MIR_OK;
	rc = mir_set(mir, entry, item);
	if (rc)
		mir->lossy = true;
	mir_drop_tombstones(mir);
	return rc;
}

/* The items whose keys begin with a prefix are in the complete list, too. */
void mir_list_prefix(struct mir *mir, const char *prefix)
{
	struct mir_item *entry;

	if (!mir->listing)
		return;
	cds_list_for_each_entry (entry, &mir->items, by_revision) {
		if (strncmp(entry->item.key, prefix, strlen(prefix)) == 0)
			entry->in_listing = true;
	}
}

/*
 * Ends a complete list that holds everything up to a revision: the items that
 * it lacks have been deleted by then.
 */
void mir_list_end(struct mir *mir, int64_t revision)
{
	struct wire_item deletion = { .deleted = true, .revision = revision };
	struct mir_item *entry;
	struct mir_item *next;

	cds_list_for_each_entry_safe (entry, next, &mir->items, by_revision) {
		if (entry->in_listing || entry->item.deleted)
			continue;
		memcpy(deletion.key, entry->item.key, sizeof(deletion.key));
		mir_set(mir, entry, &deletion);
	}
	/* What was deleted before the first list is unknown. */
	if (!mir->complete && mir->changes_from < revision)
		mir->changes_from = revision;
	mir->complete = true;
	mir->listing = false;
	mir_drop_tombstones(mir);
}

/* A list could not be finished: nothing is served until another one is. */
void mir_list_unfinished(struct mir *mir)
{
	mir->listing = false;
	mir->lossy = true;
}

/* Returns whether the mirror holds all items of the store at a position. */
bool mir_may_serve(const struct mir *mir)
{
	return mir->complete && !mir->listing && !mir->lossy;
}

/* Returns whether all changes after a revision are known. */
bool mir_has_changes(const struct mir *mir, int64_t after)
{
	return after > 0 && after >= mir->changes_from;
}

/* Returns the oldest change after a revision, or NULL. */
const struct mir_item *mir_first_change(const struct mir *mir, int64_t after)
{
	const struct mir_item *found = NULL;
	const struct mir_item *entry;

	cds_list_for_each_entry_reverse(entry, &mir->items, by_revision)
	{
		if (entry->item.revision <= after)
			break;
		found = entry;
	}
	return found;
}

/* Returns the change that follows one, or NULL. */
const struct mir_item *mir_next_change(const struct mir *mir,
				       const struct mir_item *item)
{
	if (item->by_revision.next == &mir->items)
		return NULL;
	return cds_list_entry(item->by_revision.next, struct mir_item,
			      by_revision);
}

/* Returns the item with a key, which may be a tombstone, or NULL. */
const struct mir_item *mir_find(const struct mir *mir, const char *key)
{
	return mir_lookup(mir, key);
}

static struct mir_item *mir_lookup(const struct mir *mir, const char *key)
{
	struct htab_node *node = htab_first(&mir->keys, htab_hash(key));
	struct mir_item *entry;

	for (; node; node = htab_next(node)) {
		entry = cds_list_entry(node, struct mir_item, by_key);
		if (strcmp(entry->item.key, key) == 0)
			return entry;
	}
	return NULL;
}

/* Adds a deleted item of revision 0, to be set by the caller. */
static struct mir_item *mir_add(struct mir *mir, const char *key)
{
	struct mir_item *entry = calloc(1, sizeof(*entry));

	if (!entry)
		return NULL;
	mag_copy_name(entry->item.key, sizeof(entry->item.key), key);
	entry->item.deleted = true;
	if (htab_add(&mir->keys, &entry->by_key, htab_hash(entry->item.key))) {
		free(entry);
		return NULL;
	}
	cds_list_add(&entry->by_revision, &mir->items);
	mir->deleted_count++;
	return entry;
}

static int mir_set(struct mir *mir, struct mir_item *entry,
		   const struct wire_item *item)
{
	char *value = NULL;

	if (!item->deleted) {
		value = malloc(item->len + 1);
		if (!value)
			return MIR_E_MEMORY;
		memcpy(value, item->value, item->len);
		value[item->len] = '\0';
	}
	mir->deleted_count += item->deleted - entry->item.deleted;
	mir->live_count += entry->item.deleted - item->deleted;
	free(entry->item.value);
	entry->item = *item;
	entry->item.value = value;
	entry->digest = mir_digest(&entry->item);
	cds_list_del(&entry->by_revision);
	mir_sort_in(mir, entry);
	return MIR_OK;
}

/* Returns a hash of key and value, the same at all routers. */
static uint64_t mir_digest(const struct wire_item *item)
{
	static const unsigned char key[crypto_shorthash_KEYBYTES];
	unsigned char sums[2][crypto_shorthash_BYTES];
	unsigned char bytes[crypto_shorthash_BYTES];
	uint64_t digest;

	if (item->deleted)
		return 0;
	crypto_shorthash(sums[0], (const unsigned char *)item->key,
			 strlen(item->key), key);
	crypto_shorthash(sums[1], (const unsigned char *)item->value, item->len,
			 key);
	crypto_shorthash(bytes, sums[0], sizeof(sums), key);
	memcpy(&digest, bytes, sizeof(digest));
	return digest;
}

/* Changes arrive nearly in order, so the place is near the end. */
static void mir_sort_in(struct mir *mir, struct mir_item *entry)
{
	struct mir_item *before;

	cds_list_for_each_entry_reverse(before, &mir->items, by_revision)
	{
		if (before->item.revision <= entry->item.revision)
			break;
	}
	cds_list_add(&entry->by_revision, &before->by_revision);
}

/*
 * Drops the oldest tombstones beyond the limit.  Followers that have not seen
 * them need a complete list.
 */
static void mir_drop_tombstones(struct mir *mir)
{
	int limit = mir->live_count > MIR_DELETED_MIN ? mir->live_count
						      : MIR_DELETED_MIN;
	struct mir_item *entry;
	struct mir_item *next;

	if (mir->deleted_count <= limit)
		return;
	cds_list_for_each_entry_safe (entry, next, &mir->items, by_revision) {
		/* Half of them at a time, as this passes over live items. */
		if (mir->deleted_count <= limit / 2)
			break;
		if (!entry->item.deleted)
			continue;
		if (entry->item.revision > mir->changes_from)
			mir->changes_from = entry->item.revision;
		mir_drop(mir, entry);
	}
}

static void mir_drop(struct mir *mir, struct mir_item *entry)
{
	if (entry->item.deleted)
		mir->deleted_count--;
	else
		mir->live_count--;
	cds_list_del(&entry->by_revision);
	htab_del(&mir->keys, &entry->by_key);
	free(entry->item.value);
	free(entry);
}
