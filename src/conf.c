#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "conf.h"
#include "pl_config.h"
#include "pl_store.h"

/* Keys of the mirror, which the store does not have. */
#define CONF_PREFIX	  "config/"
#define CONF_HEAD_KEY	  CONF_PREFIX "head"
#define CONF_SEAL_KEY	  CONF_PREFIX "seal"
#define CONF_ROUTE_PREFIX CONF_PREFIX "route/"
#define CONF_SEAL_MAX	  48
/* Room for routes that have come grows by this factor, from this number. */
#define CONF_DECODED_GROWTH 2
#define CONF_DECODED_MIN    64
#define CONF_WHY_MAX	    64

/* What the seal holds. */
struct conf_seal {
	int routes;
	uint64_t digest; /* sum over all routes, in any order */
};

static int conf_mirror_whole(struct mir *mir, const struct wire_item *item);
static int conf_mirror_parts(struct mir *mir, int64_t revision,
			     const struct pl_config_parts *parts);
static int conf_mirror_route(struct mir *mir, int64_t revision,
			     const struct pl_span *route,
			     const struct rt_part *part);
static int conf_delete(struct mir *mir, const char *key, int64_t revision);
static int conf_delete_others(struct mir *mir, const struct rt_part *parts,
			      int count, int64_t revision);
static void conf_write_key(const struct rt_part *part, char *key);
static int conf_write_seal(struct mir *mir, int64_t revision);
static void conf_sum(const struct mir *mir, struct conf_seal *seal);
static void conf_identify(const struct pl_span *route, struct rt_part *part);
static bool conf_is_route(const char *key);
static bool conf_part_of_key(const char *key, struct rt_part *part);
static const struct wire_item *conf_find(const struct mir *mir,
					 const char *key);
static bool conf_is_whole(const struct mir *mir, struct conf_seal *seal);
static int conf_build_routes(struct conf *conf, const struct mir *mir,
			     struct rt_set *set, int count, char *why,
			     size_t why_size);
static int conf_decode_since(const struct conf *conf, const struct mir *mir,
			     int64_t after, struct rt_set *set,
			     struct rt_changes *changes, char *why,
			     size_t why_size);
static void conf_forget_decoded(struct conf *conf);
static bool conf_is_decoded(const struct conf *conf, const struct rt_part *part,
			    struct rt_route *route);

/*
 * Puts a configuration that was read from the store into the mirror.  An older
 * one has no effect.  Returns MIR_OK or MIR_E_MEMORY.
 */
int conf_mirror(struct mir *mir, const struct wire_item *item)
{
	const struct mir_item *seal = mir_find(mir, CONF_SEAL_KEY);
	const struct mir_item *whole = mir_find(mir, PL_CONFIG_KEY);
	struct pl_config_parts parts;
	int rc;

	if (item->deleted)
		return MIR_OK;
	if ((seal && seal->item.revision >= item->revision) ||
	    (whole && whole->item.revision >= item->revision)) {
		mir_list_prefix(mir, CONF_PREFIX);
		mir_list_prefix(mir, PL_CONFIG_KEY);
		return MIR_OK;
	}
	if (pl_config_split(item->value, item->len, &parts))
		return conf_mirror_whole(mir, item);
	rc = conf_mirror_parts(mir, item->revision, &parts);
	pl_config_parts_free(&parts);
	return rc;
}

/* Tells whether a key of the mirror is that of the configuration or a part. */
bool conf_is_part(const char *key)
{
	return strcmp(key, PL_CONFIG_KEY) == 0 ||
	       strncmp(key, CONF_PREFIX, strlen(CONF_PREFIX)) == 0;
}

/*
 * Notes a part that has come from another router.  A route is decoded at once,
 * so that this is done for many of them in slices.
 */
void conf_on_part(struct conf *conf, const struct wire_item *part)
{
	struct rt_route *routes = conf->decoded;
	int max = conf->decoded_max ? conf->decoded_max * CONF_DECODED_GROWTH
				    : CONF_DECODED_MIN;
	char why[CONF_WHY_MAX];
	struct rt_route *route;

	conf->changed = true;
	if (!conf->base || part->deleted || !conf_is_route(part->key))
		return;
	if (conf->decoded_count == conf->decoded_max) {
		routes = realloc(conf->decoded, (size_t)max * sizeof(*routes));
		if (!routes)
			return;
		conf->decoded = routes;
		conf->decoded_max = max;
	}
	route = &routes[conf->decoded_count];
	memset(route, 0, sizeof(*route));
	/* What cannot be decoded now is reported when the set is built. */
	if (conf_part_of_key(part->key, &route->part) &&
	    !pl_config_decode_route(part->value, part->len, conf->base, route,
				    why, sizeof(why)))
		conf->decoded_count++;
}

/*
 * Notes the set that the mirror holds at a revision; NULL: none that the next
 * one can be built from.
 */
void conf_set_base(struct conf *conf, struct rt_set *set, int64_t revision)
{
	conf_forget_decoded(conf);
	rt_drop(conf->base);
	conf->base = set ? rt_hold(set) : NULL;
	conf->base_revision = revision;
	free(conf->decoded);
	conf->decoded = NULL;
	conf->decoded_max = 0;
}

/* Drops the routes that were decoded when they came. */
static void conf_forget_decoded(struct conf *conf)
{
	int i;

	for (i = 0; i < conf->decoded_count; i++)
		rt_route_drop(&conf->decoded[i]);
	conf->decoded_count = 0;
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
	int rc = mir_put(mir, item);

	rc |= conf_delete(mir, CONF_HEAD_KEY, item->revision);
	rc |= conf_delete(mir, CONF_SEAL_KEY, item->revision);
	rc |= conf_delete_others(mir, NULL, 0, item->revision);
	return rc ? MIR_E_MEMORY : MIR_OK;
}

static int conf_mirror_parts(struct mir *mir, int64_t revision,
			     const struct pl_config_parts *parts)
{
	struct wire_item head = { .key = CONF_HEAD_KEY,
				  .value = parts->head,
				  .len = parts->head_len,
				  .revision = revision };
	struct rt_part *ids =
		calloc((size_t)parts->route_count + 1, sizeof(*ids));
	int rc;
	int i;

	if (!ids)
		return MIR_E_MEMORY;
	rc = mir_put(mir, &head);
	for (i = 0; i < parts->route_count; i++) {
		conf_identify(&parts->routes[i], &ids[i]);
		rc |= conf_mirror_route(mir, revision, &parts->routes[i],
					&ids[i]);
	}
	qsort(ids, (size_t)parts->route_count, sizeof(*ids), rt_by_part);
	rc |= conf_delete_others(mir, ids, parts->route_count, revision);
	rc |= conf_delete(mir, PL_CONFIG_KEY, revision);
	free(ids);
	if (!rc)
		rc = conf_write_seal(mir, revision);
	return rc ? MIR_E_MEMORY : MIR_OK;
}

/* Writes a route; one that is known already keeps its revision. */
static int conf_mirror_route(struct mir *mir, int64_t revision,
			     const struct pl_span *route,
			     const struct rt_part *part)
{
	struct wire_item item = { .value = (char *)route->at,
				  .len = route->len,
				  .revision = revision };
	const struct wire_item *known;

	conf_write_key(part, item.key);
	known = conf_find(mir, item.key);
	if (known)
		item.revision = known->revision;
	return mir_put(mir, &item);
}

static int conf_delete(struct mir *mir, const char *key, int64_t revision)
{
	struct wire_item deletion = { .deleted = true, .revision = revision };

	if (!conf_find(mir, key))
		return MIR_OK;
	mag_copy_name(deletion.key, sizeof(deletion.key), key);
	return mir_put(mir, &deletion);
}

/* Deletes the routes that are not among the parts, which are sorted. */
static int conf_delete_others(struct mir *mir, const struct rt_part *parts,
			      int count, int64_t revision)
{
	struct rt_part *gone =
		calloc((size_t)mir->live_count + 1, sizeof(*gone));
	const struct mir_item *entry = mir_first_change(mir, 0);
	char key[WIRE_KEY_MAX];
	int gone_count = 0;
	int rc = 0;
	int i;

	if (!gone)
		return MIR_E_MEMORY;
	/* A deletion may drop other entries, so it waits for the whole walk. */
	for (; entry; entry = mir_next_change(mir, entry)) {
		if (entry->item.deleted ||
		    !conf_part_of_key(entry->item.key, &gone[gone_count]))
			continue;
		if (!count || !bsearch(&gone[gone_count], parts, (size_t)count,
				       sizeof(*parts), rt_by_part))
			gone_count++;
	}
	for (i = 0; i < gone_count; i++) {
		conf_write_key(&gone[i], key);
		rc |= conf_delete(mir, key, revision);
	}
	free(gone);
	return rc;
}

/* Writes the key of a route, of WIRE_KEY_MAX bytes. */
static void conf_write_key(const struct rt_part *part, char *key)
{
	char hex[2 * RT_PART_BYTES + 1];

	sodium_bin2hex(hex, sizeof(hex), part->id, sizeof(part->id));
	snprintf(key, WIRE_KEY_MAX, CONF_ROUTE_PREFIX "%s", hex);
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
		if (entry->item.deleted || !conf_is_route(entry->item.key))
			continue;
		seal->routes++;
		seal->digest += entry->digest;
	}
}

/* Sets the identity of a route's text. */
static void conf_identify(const struct pl_span *route, struct rt_part *part)
{
	crypto_generichash(part->id, sizeof(part->id),
			   (const unsigned char *)route->at, route->len, NULL,
			   0);
}

static bool conf_is_route(const char *key)
{
	return strncmp(key, CONF_ROUTE_PREFIX, strlen(CONF_ROUTE_PREFIX)) == 0;
}

/* Reads the identity of a route from its key; false for other keys. */
static bool conf_part_of_key(const char *key, struct rt_part *part)
{
	const char *hex = key + strlen(CONF_ROUTE_PREFIX);
	size_t len;

	return conf_is_route(key) &&
	       sodium_hex2bin(part->id, sizeof(part->id), hex, strlen(hex),
			      NULL, &len, NULL) == 0 &&
	       len == sizeof(part->id);
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
static int conf_build_routes(struct conf *conf, const struct mir *mir,
			     struct rt_set *set, int count, char *why,
			     size_t why_size)
{
	struct rt_changes changes;
	int rc;

	if (conf->base && rt_has_same_services(conf->base, set)) {
		if (conf->decoded_count)
			qsort(conf->decoded, (size_t)conf->decoded_count,
			      sizeof(*conf->decoded), rt_by_part);
		rc = conf_decode_since(conf, mir, conf->base_revision, set,
				       &changes, why, why_size);
		if (!rc)
			rc = rt_merge_routes(set, conf->base, &changes, count);
		rt_changes_free(&changes);
		if (rc == RT_OK)
			return RT_OK;
		/* Deletions may have been forgotten by the mirror. */
	}
	conf_forget_decoded(conf);
	rc = conf_decode_since(conf, mir, 0, set, &changes, why, why_size);
	if (!rc)
		rc = rt_merge_routes(set, NULL, &changes, count);
	rt_changes_free(&changes);
	return rc;
}

/* Decodes the routes that have changed after a revision. */
static int conf_decode_since(const struct conf *conf, const struct mir *mir,
			     int64_t after, struct rt_set *set,
			     struct rt_changes *changes, char *why,
			     size_t why_size)
{
	const struct mir_item *first = mir_first_change(mir, after);
	const struct mir_item *entry;
	struct rt_route *route;
	struct rt_part *part;
	int count = 0;
	int rc;

	for (entry = first; entry; entry = mir_next_change(mir, entry))
		count++;
	rc = rt_changes_init(changes, count);
	for (entry = first; entry && !rc; entry = mir_next_change(mir, entry)) {
		part = &changes->gone[changes->gone_count];
		if (!conf_part_of_key(entry->item.key, part))
			continue;
		changes->gone_count++;
		if (entry->item.deleted)
			continue;
		route = &changes->routes[changes->route_count++];
		if (!conf_is_decoded(conf, part, route))
			rc = pl_config_decode_route(entry->item.value,
						    entry->item.len, set, route,
						    why, why_size);
		route->part = *part;
	}
	return rc;
}

/* Copies a route that was decoded when it came; false if it was not. */
static bool conf_is_decoded(const struct conf *conf, const struct rt_part *part,
			    struct rt_route *route)
{
	const struct rt_route *found =
		conf->decoded_count
			? bsearch(part, conf->decoded,
				  (size_t)conf->decoded_count,
				  sizeof(*conf->decoded), rt_by_part)
			: NULL;

	if (found) {
		*route = *found;
		rt_route_hold(route);
	}
	return found;
}
