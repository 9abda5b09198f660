#include <stdlib.h>
#include <string.h>

#include "cfg_int.h"
#include "chk.h"

/*
 * Builds the next set from the current one and the objects that differ.  The
 * result equals that of cfg_parse on the whole text.  Any change for which this
 * is not certain returns CFG_E_NOT_PATCHABLE, and the caller uses cfg_parse.
 */

/* Removed or added objects, sorted by kind and name. */
struct cfg_changes {
	struct cfg_item *items;
	json_t **docs;
	size_t count;
};

struct cfg_patch {
	const struct cfg_set *old;
	struct cfg_build build; /* has items for all objects of the new set */
	struct cfg_changes removed;
	struct cfg_changes added;
	int *account_map; /* new index by old index; -1: removed */
	bool *affected;	  /* by service: check its layer coverage again */
};

/* State of merging the table of one kind. */
struct cfg_merge {
	enum cfg_kind kind;
	size_t rows;	     /* rows of the new table filled so far */
	size_t next_added;   /* next entry of the added list */
	size_t rows_removed; /* rows of the old table left out */
};

static int cfg_apply_changes(struct cfg_patch *p);
static int cfg_read_changes(struct cfg_patch *p, struct cfg_changes *changes,
			    const struct cfg_object_text *texts, size_t count);
static void cfg_changes_free(struct cfg_changes *changes);
static bool cfg_changes_include(const struct cfg_changes *changes,
				enum cfg_kind kind, const char *name);
static bool cfg_services_retained(const struct cfg_patch *p);
static int cfg_merge_table(struct cfg_patch *p, enum cfg_kind kind);
static int cfg_merge_row(struct cfg_patch *p, struct cfg_merge *m, size_t i);
static void cfg_insert_added(struct cfg_patch *p, struct cfg_merge *m,
			     const char *before);
static int cfg_copy_row(struct cfg_patch *p, struct cfg_merge *m,
			const void *from);
static int cfg_read_added(struct cfg_patch *p);
static bool cfg_remap_accounts(struct cfg_patch *p);
static bool cfg_remap_account(const struct cfg_patch *p, int *account);
static bool cfg_check_added(struct cfg_patch *p);
static void cfg_mark_affected(struct cfg_patch *p);
static const char *cfg_get_row(const struct cfg_set *set, enum cfg_kind kind,
			       size_t index);

/*
 * Builds a new set from an old one by removing and adding objects; a changed
 * object is in both lists.  The new set has the old set's revision.  Returns
 * CFG_OK, CFG_E_MEMORY, or CFG_E_NOT_PATCHABLE, which does not imply that the
 * new set is invalid.  *set is NULL on errors.
 */
int cfg_patch(const struct cfg_set *old, const struct cfg_object_text *removed,
	      size_t removed_count, const struct cfg_object_text *added,
	      size_t added_count, struct cfg_set **set)
{
	struct cfg_patch p = { .old = old };
	int err = CFG_E_MEMORY;

	*set = NULL;
	p.build.faults = cfg_faults_new();
	p.build.set = calloc(1, sizeof(*p.build.set));
	p.account_map = calloc(old->account_count + 1, sizeof(*p.account_map));
	p.affected = calloc(old->service_count + 1, sizeof(*p.affected));
	if (p.build.faults && p.build.set && p.account_map && p.affected)
		err = cfg_read_changes(&p, &p.removed, removed, removed_count);
	if (err == CFG_OK)
		err = cfg_read_changes(&p, &p.added, added, added_count);
	if (err == CFG_OK)
		err = cfg_apply_changes(&p);
	if (err == CFG_OK && cfg_faults_incomplete(p.build.faults))
		err = CFG_E_MEMORY;
	if (err == CFG_OK && cfg_fault_count(p.build.faults))
		err = CFG_E_NOT_PATCHABLE;
	if (err == CFG_OK) {
		p.build.set->revision = old->revision;
		*set = p.build.set;
	} else {
		cfg_free(p.build.set);
	}
	cfg_changes_free(&p.removed);
	cfg_changes_free(&p.added);
	cfg_faults_free(p.build.faults);
	free(p.build.items);
	free(p.account_map);
	free(p.affected);
	return err;
}

/* Builds the tables, then reads and checks the added objects. */
static int cfg_apply_changes(struct cfg_patch *p)
{
	size_t total = p->old->service_count + p->old->account_count +
		       p->old->route_count + p->old->limit_count +
		       p->old->endpoint_count + p->added.count;
	int err = CFG_OK;
	int kind;

	if (!cfg_services_retained(p) ||
	    total - p->removed.count > CFG_OBJECTS_MAX)
		return CFG_E_NOT_PATCHABLE;
	p->build.items = calloc(total + 1, sizeof(*p->build.items));
	if (!p->build.items)
		return CFG_E_MEMORY;
	for (kind = 0; kind < CFG_KIND_COUNT && err == CFG_OK; kind++)
		err = cfg_merge_table(p, kind);
	if (err == CFG_OK)
		err = cfg_read_added(p);
	if (err != CFG_OK)
		return err;
	if (cfg_fault_count(p->build.faults) || !cfg_remap_accounts(p) ||
	    !cfg_check_added(p))
		return CFG_E_NOT_PATCHABLE;
	cfg_mark_affected(p);
	cfg_check_coverage(&p->build, p->affected);
	return CFG_OK;
}

/* Parses each text as one object that has a kind and a name. */
static int cfg_read_changes(struct cfg_patch *p, struct cfg_changes *changes,
			    const struct cfg_object_text *texts, size_t count)
{
	json_error_t error;
	size_t i;

	changes->items = calloc(count + 1, sizeof(*changes->items));
	changes->docs = calloc(count + 1, sizeof(json_t *));
	if (!changes->items || !changes->docs)
		return CFG_E_MEMORY;
	for (i = 0; i < count; i++) {
		json_t *doc = chk_json(texts[i].text, texts[i].len, &error);

		changes->docs[i] = doc;
		changes->count++;
		if (!doc ||
		    !cfg_read_identity(&p->build, doc, i, &changes->items[i]))
			return CFG_E_NOT_PATCHABLE;
	}
	if (count > 0)
		qsort(changes->items, count, sizeof(*changes->items),
		      cfg_item_cmp);
	for (i = 1; i < count; i++) {
		if (cfg_item_cmp(&changes->items[i - 1], &changes->items[i]) ==
		    0)
			return CFG_E_NOT_PATCHABLE;
	}
	return CFG_OK;
}

static void cfg_changes_free(struct cfg_changes *changes)
{
	size_t i;

	for (i = 0; i < changes->count; i++)
		json_decref(changes->docs[i]);
	free(changes->docs);
	free(changes->items);
}

static bool cfg_changes_include(const struct cfg_changes *changes,
				enum cfg_kind kind, const char *name)
{
	struct cfg_item key = { .kind = kind, .name = name };

	return changes->count > 0 &&
	       bsearch(&key, changes->items, changes->count, sizeof(key),
		       cfg_item_cmp);
}

/*
 * Returns true if no service is added or removed; a changed one is in both
 * lists.  Adding or removing a service, or changing its kind, changes what the
 * fields of other objects mean, so that such a set must be parsed as a whole.
 * cfg_service_is_compatible checks the kind.
 */
static bool cfg_services_retained(const struct cfg_patch *p)
{
	size_t i;

	for (i = 0; i < p->removed.count; i++) {
		const struct cfg_item *item = &p->removed.items[i];

		if (item->kind == CFG_SERVICE &&
		    !cfg_changes_include(&p->added, CFG_SERVICE, item->name))
			return false;
	}
	for (i = 0; i < p->added.count; i++) {
		const struct cfg_item *item = &p->added.items[i];

		if (item->kind == CFG_SERVICE &&
		    !cfg_changes_include(&p->removed, CFG_SERVICE, item->name))
			return false;
	}
	return true;
}

/*
 * Builds the table of one kind, sorted by name: the rows of the old table
 * without the removed objects, and empty rows for the added ones.  Returns
 * CFG_E_NOT_PATCHABLE if a removed object does not exist or an added one
 * already does.
 */
static int cfg_merge_table(struct cfg_patch *p, enum cfg_kind kind)
{
	struct cfg_merge m = { .kind = kind };
	size_t size = cfg_layout(kind)->size;
	size_t expected = 0;
	size_t *old_count;
	size_t *count;
	void **table = cfg_table(p->build.set, kind, &count);
	int err = CFG_OK;
	size_t i;

	cfg_table((struct cfg_set *)p->old, kind, &old_count);
	for (i = 0; i < p->removed.count; i++)
		expected += p->removed.items[i].kind == kind;
	while (m.next_added < p->added.count &&
	       p->added.items[m.next_added].kind < kind)
		m.next_added++;
	p->build.first[kind] = p->build.count;
	*table = calloc(*old_count + p->added.count + 1, size);
	if (!*table)
		return CFG_E_MEMORY;
	for (i = 0; i < *old_count && err == CFG_OK; i++) {
		err = cfg_merge_row(p, &m, i);
		*count = m.rows;
	}
	cfg_insert_added(p, &m, NULL);
	*count = m.rows;
	p->build.first[kind + 1] = p->build.count;
	if (err == CFG_OK && m.rows_removed != expected)
		err = CFG_E_NOT_PATCHABLE;
	return err;
}

/* Adds the new rows that precede an old one, then copies that one if kept. */
static int cfg_merge_row(struct cfg_patch *p, struct cfg_merge *m, size_t i)
{
	const char *name = cfg_get_row(p->old, m->kind, i);
	bool is_removed = cfg_changes_include(&p->removed, m->kind, name);
	bool is_added = cfg_changes_include(&p->added, m->kind, name);

	cfg_insert_added(p, m, name);
	if (m->kind == CFG_ACCOUNT)
		p->account_map[i] = is_removed && !is_added ? -1 : (int)m->rows;
	if (!is_removed)
		return is_added ? CFG_E_NOT_PATCHABLE
				: cfg_copy_row(p, m, name);
	m->rows_removed++;
	return CFG_OK;
}

/* Reserves rows for added objects before a name; NULL: for all the rest. */
static void cfg_insert_added(struct cfg_patch *p, struct cfg_merge *m,
			     const char *before)
{
	const struct cfg_changes *added = &p->added;

	while (m->next_added < added->count &&
	       added->items[m->next_added].kind == m->kind &&
	       (!before ||
		strcmp(added->items[m->next_added].name, before) < 0)) {
		p->build.items[p->build.count++] =
			added->items[m->next_added++];
		m->rows++;
	}
}

/* Copies one object of the old set into the new table. */
static int cfg_copy_row(struct cfg_patch *p, struct cfg_merge *m,
			const void *from)
{
	struct cfg_item *item = &p->build.items[p->build.count++];
	char *to = (char *)cfg_get_row(p->build.set, m->kind, m->rows++);
	struct cfg_route *route = (struct cfg_route *)(void *)to;

	memcpy(to, from, cfg_layout(m->kind)->size);
	item->kind = m->kind;
	item->name = to;
	if (m->kind != CFG_ROUTE)
		return CFG_OK;
	route->splits = cfg_copy_table(route->splits, route->split_count,
				       sizeof(*route->splits));
	return route->splits ? CFG_OK : CFG_E_MEMORY;
}

/* Reads the fields of added objects, now that references can be resolved. */
static int cfg_read_added(struct cfg_patch *p)
{
	size_t i;

	for (i = 0; i < p->build.count; i++) {
		struct cfg_item *item = &p->build.items[i];
		size_t index = i - p->build.first[item->kind];

		if (item->object)
			cfg_read_item(&p->build, item,
				      (char *)cfg_get_row(p->build.set,
							  item->kind, index));
	}
	return cfg_faults_incomplete(p->build.faults) ? CFG_E_MEMORY : CFG_OK;
}

/* Updates the account indices in objects that were copied. */
static bool cfg_remap_accounts(struct cfg_patch *p)
{
	struct cfg_set *set = p->build.set;
	size_t i;
	size_t k;

	for (i = 0; i < set->route_count; i++) {
		if (p->build.items[p->build.first[CFG_ROUTE] + i].object)
			continue;
		for (k = 0; k < set->routes[i].split_count; k++) {
			if (!cfg_remap_account(
				    p, &set->routes[i].splits[k].account))
				return false;
		}
	}
	for (i = 0; i < set->limit_count; i++) {
		if (!p->build.items[p->build.first[CFG_LIMIT] + i].object &&
		    !cfg_remap_account(p, &set->limits[i].account))
			return false;
	}
	return true;
}

/* Returns false if the account was removed. */
static bool cfg_remap_account(const struct cfg_patch *p, int *account)
{
	if (*account < 0)
		return true;
	*account = p->account_map[*account];
	return *account >= 0;
}

/* Checks each added object by itself and against all others of its kind. */
static bool cfg_check_added(struct cfg_patch *p)
{
	bool limits = false;
	size_t i;

	for (i = 0; i < p->build.count; i++) {
		const struct cfg_item *item = &p->build.items[i];
		size_t index = i - p->build.first[item->kind];

		if (!item->object)
			continue;
		cfg_check_item(&p->build, i);
		if (cfg_has_duplicate(&p->build, item->kind, index))
			return false;
		limits = limits || item->kind == CFG_LIMIT;
		if (item->kind == CFG_SERVICE &&
		    !cfg_service_is_compatible(&p->build,
					       &p->old->services[index], index))
			return false;
	}
	if (limits)
		cfg_check_limits(&p->build);
	return cfg_fault_count(p->build.faults) == 0;
}

/*
 * Marks the services whose layers may no longer all be held.  An added endpoint
 * can only improve coverage; a changed one is also in the list of removed ones.
 */
static void cfg_mark_affected(struct cfg_patch *p)
{
	const struct cfg_set *set = p->build.set;
	size_t i;

	for (i = 0; i < p->removed.count; i++) {
		const struct cfg_item *item = &p->removed.items[i];
		int index = -1;

		if (item->kind == CFG_ENDPOINT)
			index = cfg_find_endpoint(p->old, item->name);
		if (index >= 0)
			p->affected[p->old->endpoints[index].service] = true;
	}
	for (i = 0; i < p->build.count; i++) {
		const struct cfg_item *item = &p->build.items[i];
		size_t index = i - p->build.first[item->kind];

		if (!item->object)
			continue;
		if (item->kind == CFG_SERVICE)
			p->affected[index] = true;
		if (item->kind == CFG_ROUTE)
			p->affected[set->routes[index].service] = true;
	}
}

/* Returns an object of a set, which starts with its name. */
static const char *cfg_get_row(const struct cfg_set *set, enum cfg_kind kind,
			       size_t index)
{
	size_t *count;
	void **table = cfg_table((struct cfg_set *)set, kind, &count);

	return (const char *)*table + index * cfg_layout(kind)->size;
}
