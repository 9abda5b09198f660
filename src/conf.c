#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf.h"
#include "pl_config.h"
#include "pl_store.h"

/* Keys of the mirror, which the store does not have. */
#define CONF_PREFIX	  "config/"
#define CONF_HEAD_KEY	  CONF_PREFIX "head"
#define CONF_SEAL_KEY	  CONF_PREFIX "seal"
#define CONF_ROUTE_PREFIX CONF_PREFIX "route/"
#define CONF_SEAL_MAX	  48

/* What the seal holds. */
struct conf_seal {
	int routes;
	uint64_t digest; /* sum over all routes, in any order */
};

static int conf_mirror_whole(struct mir *mir, const struct wire_item *item);
static int conf_mirror_parts(struct mir *mir, const struct wire_item *item,
			     struct wire_items *parts);
static int conf_put(struct mir *mir, struct wire_item *part);
static int conf_delete(struct mir *mir, const char *key, int64_t revision);
static int conf_delete_others(struct mir *mir, const struct wire_items *parts,
			      int64_t revision);
static int conf_by_key(const void *a, const void *b);
static int conf_write_seal(struct mir *mir, int64_t revision);
static void conf_sum(const struct mir *mir, struct conf_seal *seal);
static bool conf_is_route(const struct mir_item *entry);
static const struct wire_item *conf_find(const struct mir *mir,
					 const char *key);
static bool conf_is_whole(const struct mir *mir, struct conf_seal *seal);
static int conf_build_routes(const struct conf *conf, const struct mir *mir,
			     struct rt_set *set, int count, char *why,
			     size_t why_size);
static int conf_decode_since(const struct mir *mir, int64_t after,
			     struct rt_set *set, struct rt_changes *changes,
			     char *why, size_t why_size);

/*
 * Puts a configuration that was read from the store into the mirror.  An older
 * one has no effect.  Returns MIR_OK or MIR_E_MEMORY.
 */
int conf_mirror(struct mir *mir, const struct wire_item *item)
{
	const struct mir_item *seal = mir_find(mir, CONF_SEAL_KEY);
	struct wire_items parts;
	int rc;

	if (item->deleted)
		return MIR_OK;
	if (seal && seal->item.revision >= item->revision) {
		mir_list_prefix(mir, CONF_PREFIX);
		return MIR_OK;
	}
	if (pl_config_split(item->value, item->len, &parts))
		return conf_mirror_whole(mir, item);
	rc = conf_mirror_parts(mir, item, &parts);
	pl_store_items_free(&parts);
	return rc;
}

/* Tells whether a key of the mirror is that of the configuration or a part. */
bool conf_is_part(const char *key)
{
	return strcmp(key, PL_CONFIG_KEY) == 0 ||
	       strncmp(key, CONF_PREFIX, strlen(CONF_PREFIX)) == 0;
}

/*
 * Notes the set that the mirror holds at a revision; NULL: none that the next
 * one can be built from.
 */
void conf_set_base(struct conf *conf, struct rt_set *set, int64_t revision)
{
	rt_drop(conf->base);
	conf->base = set ? rt_hold(set) : NULL;
	conf->base_revision = revision;
}

/*
 * Builds the configuration in the mirror if it is newer than a version.  Routes
 * that have not changed since the base are copied from it.  *found is set to
 * the version in the mirror, if that can be told.
 */
enum conf_result conf_build(struct conf *conf, const struct mir *mir,
			    int64_t version, struct rt_set **out,
			    int64_t *found, char *why, size_t why_size)
{
	const struct wire_item *item = conf_find(mir, PL_CONFIG_KEY);
	const struct wire_item *head = conf_find(mir, CONF_HEAD_KEY);
	struct conf_seal seal = { 0 };
	struct rt_set *set;
	int rc;

	conf->changed = false;
	if (!item && !head)
		return CONF_NONE;
	if (!item && !conf_is_whole(mir, &seal))
		return CONF_INCOMPLETE;
	rc = item ? pl_config_decode(item->value, item->len, &set, why,
				     why_size)
		  : pl_config_decode_head(head->value, head->len, seal.routes,
					  &set, why, why_size);
	if (rc)
		return CONF_BAD;
	*found = set->version;
	if (set->version <= version) {
		rt_drop(set);
		conf_set_base(conf, NULL, 0);
		return CONF_NONE;
	}
	if (!item &&
	    conf_build_routes(conf, mir, set, seal.routes, why, why_size)) {
		rt_drop(set);
		return CONF_BAD;
	}
	conf_set_base(conf, item ? NULL : set,
		      item ? 0 : mir_find(mir, CONF_SEAL_KEY)->item.revision);
	*out = set;
	return CONF_NEW;
}

static int conf_mirror_whole(struct mir *mir, const struct wire_item *item)
{
	static const struct wire_items none;
	int rc = mir_put(mir, item);

	rc |= conf_delete(mir, CONF_HEAD_KEY, item->revision);
	rc |= conf_delete(mir, CONF_SEAL_KEY, item->revision);
	rc |= conf_delete_others(mir, &none, item->revision);
	return rc ? MIR_E_MEMORY : MIR_OK;
}

static int conf_mirror_parts(struct mir *mir, const struct wire_item *item,
			     struct wire_items *parts)
{
	char key[WIRE_KEY_MAX];
	int rc = 0;
	int i;

	for (i = 0; i < parts->count; i++) {
		struct wire_item *part = &parts->items[i];

		if (i == 0)
			snprintf(key, sizeof(key), CONF_HEAD_KEY);
		else
			snprintf(key, sizeof(key), CONF_ROUTE_PREFIX "%.*s",
				 MAG_NAME_MAX, part->key);
		mag_copy_name(part->key, sizeof(part->key), key);
		part->revision = item->revision;
		rc |= conf_put(mir, part);
	}
	rc |= conf_delete_others(mir, parts, item->revision);
	rc |= conf_delete(mir, PL_CONFIG_KEY, item->revision);
	if (!rc)
		rc = conf_write_seal(mir, item->revision);
	return rc ? MIR_E_MEMORY : MIR_OK;
}

/* Writes a part; one that has not changed keeps its revision. */
static int conf_put(struct mir *mir, struct wire_item *part)
{
	const struct wire_item *known = conf_find(mir, part->key);

	if (known && known->len == part->len &&
	    memcmp(known->value, part->value, part->len) == 0)
		part->revision = known->revision;
	return mir_put(mir, part);
}

static int conf_delete(struct mir *mir, const char *key, int64_t revision)
{
	struct wire_item deletion = { .deleted = true, .revision = revision };

	if (!conf_find(mir, key))
		return MIR_OK;
	mag_copy_name(deletion.key, sizeof(deletion.key), key);
	return mir_put(mir, &deletion);
}

/* Deletes the routes that are not among the parts. */
static int conf_delete_others(struct mir *mir, const struct wire_items *parts,
			      int64_t revision)
{
	const struct mir_item *entry = mir_first_change(mir, 0);
	const struct mir_item *next;
	int rc = 0;

	if (parts->count)
		qsort(parts->items, (size_t)parts->count, sizeof(*parts->items),
		      conf_by_key);
	for (; entry; entry = next) {
		next = mir_next_change(mir, entry);
		if (conf_is_route(entry) &&
		    (!parts->count ||
		     !bsearch(&entry->item, parts->items, (size_t)parts->count,
			      sizeof(*parts->items), conf_by_key)))
			rc |= conf_delete(mir, entry->item.key, revision);
	}
	return rc;
}

static int conf_by_key(const void *a, const void *b)
{
	const struct wire_item *x = a;
	const struct wire_item *y = b;

	return strcmp(x->key, y->key);
}

static int conf_write_seal(struct mir *mir, int64_t revision)
{
	struct wire_item item = { .key = CONF_SEAL_KEY, .revision = revision };
	struct conf_seal seal;
	char text[CONF_SEAL_MAX];

	conf_sum(mir, &seal);
	item.len = (size_t)snprintf(text, sizeof(text), "%d %" PRIx64,
				    seal.routes, seal.digest);
	item.value = text;
	return mir_put(mir, &item);
}

/* Sums up the routes in the mirror. */
static void conf_sum(const struct mir *mir, struct conf_seal *seal)
{
	const struct mir_item *entry = mir_first_change(mir, 0);

	memset(seal, 0, sizeof(*seal));
	for (; entry; entry = mir_next_change(mir, entry)) {
		if (!conf_is_route(entry))
			continue;
		seal->routes++;
		seal->digest += entry->digest;
	}
}

static bool conf_is_route(const struct mir_item *entry)
{
	return !entry->item.deleted &&
	       strncmp(entry->item.key, CONF_ROUTE_PREFIX,
		       strlen(CONF_ROUTE_PREFIX)) == 0;
}

/* Returns an item of the mirror that is not deleted, or NULL. */
static const struct wire_item *conf_find(const struct mir *mir, const char *key)
{
	const struct mir_item *entry = mir_find(mir, key);

	return entry && !entry->item.deleted ? &entry->item : NULL;
}

/* Tells whether the routes in the mirror are those that were sealed. */
static bool conf_is_whole(const struct mir *mir, struct conf_seal *seal)
{
	const struct wire_item *item = conf_find(mir, CONF_SEAL_KEY);
	struct conf_seal found;

	conf_sum(mir, &found);
	return item &&
	       sscanf(item->value, "%d %" SCNx64, &seal->routes,
		      &seal->digest) == 2 &&
	       seal->routes == found.routes && seal->digest == found.digest;
}

/*
 * Fills in the routes of a set: those of the base and what has changed since,
 * or all parts if the base does not fit.
 */
static int conf_build_routes(const struct conf *conf, const struct mir *mir,
			     struct rt_set *set, int count, char *why,
			     size_t why_size)
{
	struct rt_changes changes;
	int rc;

	if (conf->base && rt_has_same_services(conf->base, set)) {
		rc = conf_decode_since(mir, conf->base_revision, set, &changes,
				       why, why_size);
		if (!rc)
			rc = rt_merge_routes(set, conf->base, &changes, count);
		rt_changes_free(&changes);
		if (rc == RT_OK)
			return RT_OK;
		/* Deletions may have been forgotten by the mirror. */
	}
	rc = conf_decode_since(mir, 0, set, &changes, why, why_size);
	if (!rc)
		rc = rt_merge_routes(set, NULL, &changes, count);
	rt_changes_free(&changes);
	return rc;
}

/* Decodes the routes that have changed after a revision. */
static int conf_decode_since(const struct mir *mir, int64_t after,
			     struct rt_set *set, struct rt_changes *changes,
			     char *why, size_t why_size)
{
	const struct mir_item *first = mir_first_change(mir, after);
	const struct mir_item *entry;
	const char *name;
	int count = 0;
	int rc;

	for (entry = first; entry; entry = mir_next_change(mir, entry))
		count++;
	rc = rt_changes_init(changes, count);
	for (entry = first; entry && !rc; entry = mir_next_change(mir, entry)) {
		if (strncmp(entry->item.key, CONF_ROUTE_PREFIX,
			    strlen(CONF_ROUTE_PREFIX)) != 0)
			continue;
		name = entry->item.key + strlen(CONF_ROUTE_PREFIX);
		changes->names[changes->name_count++] = name;
		if (entry->item.deleted)
			continue;
		rc = pl_config_decode_route(
			entry->item.value, entry->item.len, set,
			&changes->routes[changes->route_count++], why,
			why_size);
	}
	return rc;
}
