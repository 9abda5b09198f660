#include <stdlib.h>
#include <string.h>

#include "cfg_int.h"
#include "chk.h"

/*
 * The next set made from the one in force and the objects that differ.  It
 * takes only what it can be sure of: the result is what cfg_parse makes of the
 * whole text, or CFG_E_NOT_PATCHABLE, and then cfg_parse has to say.
 */

/* Objects that go or come, sorted by kind and name. */
struct cfg_changes {
	struct cfg_item *items;
	json_t **docs;
	size_t count;
};

struct cfg_patch {
	const struct cfg_set *old;
	struct cfg_build
		build; /* the new set, with items for all its objects */
	struct cfg_changes drop;
	struct cfg_changes put;
	int *accounts; /* by old index: the new one, -1 if it is gone */
	bool *touched; /* by service: what covers its layers changed */
};

/* How far the table of one kind is made. */
struct cfg_merge {
	enum cfg_kind kind;
	size_t at;  /* rows of the new table */
	size_t put; /* next of what comes */
	size_t dropped;
};

static int cfg_patch_make(struct cfg_patch *p);
static int cfg_read_lines(struct cfg_patch *p, struct cfg_changes *changes,
			  const struct cfg_object_text *lines, size_t count);
static void cfg_changes_free(struct cfg_changes *changes);
static bool cfg_has(const struct cfg_changes *changes, enum cfg_kind kind,
		    const char *name);
static bool cfg_lists_fit(const struct cfg_patch *p);
static int cfg_splice(struct cfg_patch *p, enum cfg_kind kind);
static int cfg_merge_row(struct cfg_patch *p, struct cfg_merge *m, size_t i);
static void cfg_merge_puts(struct cfg_patch *p, struct cfg_merge *m,
			   const char *before);
static int cfg_splice_one(struct cfg_patch *p, struct cfg_merge *m,
			  const void *from);
static int cfg_read_puts(struct cfg_patch *p);
static bool cfg_remap_accounts(struct cfg_patch *p);
static bool cfg_remap_account(const struct cfg_patch *p, int *account);
static bool cfg_check_puts(struct cfg_patch *p);
static void cfg_touch(struct cfg_patch *p);
static const char *cfg_row(const struct cfg_set *set, enum cfg_kind kind,
			   size_t at);

/*
 * Makes the set that follows an older one when the objects of some lines go
 * and those of others come; an object that changed is in both lists.  Each
 * line is one object as JSON.  The new set has the old one's revision.
 * Returns CFG_OK, CFG_E_MEMORY, or CFG_E_NOT_PATCHABLE, which says nothing of
 * whether the set is valid.  *set is NULL then.
 */
int cfg_patch(const struct cfg_set *old, const struct cfg_object_text *drop,
	      size_t drops, const struct cfg_object_text *put, size_t puts,
	      struct cfg_set **set)
{
	struct cfg_patch p = { .old = old };
	int err = CFG_E_MEMORY;

	*set = NULL;
	p.build.faults = cfg_faults_new();
	p.build.set = calloc(1, sizeof(*p.build.set));
	p.accounts = calloc(old->account_count + 1, sizeof(*p.accounts));
	p.touched = calloc(old->service_count + 1, sizeof(*p.touched));
	if (p.build.faults && p.build.set && p.accounts && p.touched)
		err = cfg_read_lines(&p, &p.drop, drop, drops);
	if (err == CFG_OK)
		err = cfg_read_lines(&p, &p.put, put, puts);
	if (err == CFG_OK)
		err = cfg_patch_make(&p);
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
	cfg_changes_free(&p.drop);
	cfg_changes_free(&p.put);
	cfg_faults_free(p.build.faults);
	free(p.build.items);
	free(p.accounts);
	free(p.touched);
	return err;
}

/* Builds the tables, then reads and checks what is new in them. */
static int cfg_patch_make(struct cfg_patch *p)
{
	size_t total = p->old->service_count + p->old->account_count +
		       p->old->route_count + p->old->limit_count +
		       p->old->endpoint_count + p->put.count;
	int err = CFG_OK;
	int kind;

	if (!cfg_lists_fit(p) || total - p->drop.count > CFG_OBJECTS_MAX)
		return CFG_E_NOT_PATCHABLE;
	p->build.items = calloc(total + 1, sizeof(*p->build.items));
	if (!p->build.items)
		return CFG_E_MEMORY;
	for (kind = 0; kind < CFG_KIND_COUNT && err == CFG_OK; kind++)
		err = cfg_splice(p, kind);
	if (err == CFG_OK)
		err = cfg_read_puts(p);
	if (err != CFG_OK)
		return err;
	if (cfg_fault_count(p->build.faults) || !cfg_remap_accounts(p) ||
	    !cfg_check_puts(p))
		return CFG_E_NOT_PATCHABLE;
	cfg_touch(p);
	cfg_check_coverage(&p->build, p->touched);
	return CFG_OK;
}

/* Reads each line as one object that has a kind and a name. */
static int cfg_read_lines(struct cfg_patch *p, struct cfg_changes *changes,
			  const struct cfg_object_text *lines, size_t count)
{
	json_error_t error;
	size_t i;

	changes->items = calloc(count + 1, sizeof(*changes->items));
	changes->docs = calloc(count + 1, sizeof(json_t *));
	if (!changes->items || !changes->docs)
		return CFG_E_MEMORY;
	for (i = 0; i < count; i++) {
		json_t *doc = chk_json(lines[i].text, lines[i].len, &error);

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

static bool cfg_has(const struct cfg_changes *changes, enum cfg_kind kind,
		    const char *name)
{
	struct cfg_item wanted = { .kind = kind, .name = name };

	return changes->count > 0 &&
	       bsearch(&wanted, changes->items, changes->count, sizeof(wanted),
		       cfg_item_cmp);
}

/*
 * Services that come or go, or turn from plain to model, change what the
 * fields of other objects mean; those sets are read whole.
 */
static bool cfg_lists_fit(const struct cfg_patch *p)
{
	size_t i;

	for (i = 0; i < p->drop.count; i++) {
		const struct cfg_item *item = &p->drop.items[i];

		if (item->kind == CFG_SERVICE &&
		    !cfg_has(&p->put, CFG_SERVICE, item->name))
			return false;
	}
	for (i = 0; i < p->put.count; i++) {
		const struct cfg_item *item = &p->put.items[i];

		if (item->kind == CFG_SERVICE &&
		    !cfg_has(&p->drop, CFG_SERVICE, item->name))
			return false;
	}
	return true;
}

/*
 * Makes the table of one kind: the old one without what goes, and room for
 * what comes, in the order of names.  CFG_E_NOT_PATCHABLE if an object to go
 * isn't there, or one to come already is.
 */
static int cfg_splice(struct cfg_patch *p, enum cfg_kind kind)
{
	struct cfg_merge m = { .kind = kind };
	size_t size = cfg_layout(kind)->size;
	size_t wanted = 0;
	size_t *old_count;
	size_t *count;
	void **table = cfg_table(p->build.set, kind, &count);
	int err = CFG_OK;
	size_t i;

	cfg_table((struct cfg_set *)p->old, kind, &old_count);
	for (i = 0; i < p->drop.count; i++)
		wanted += p->drop.items[i].kind == kind;
	while (m.put < p->put.count && p->put.items[m.put].kind < kind)
		m.put++;
	p->build.first[kind] = p->build.count;
	*table = calloc(*old_count + p->put.count + 1, size);
	if (!*table)
		return CFG_E_MEMORY;
	for (i = 0; i < *old_count && err == CFG_OK; i++) {
		err = cfg_merge_row(p, &m, i);
		*count = m.at;
	}
	cfg_merge_puts(p, &m, NULL);
	*count = m.at;
	p->build.first[kind + 1] = p->build.count;
	if (err == CFG_OK && m.dropped != wanted)
		err = CFG_E_NOT_PATCHABLE;
	return err;
}

/* Takes over one row of the old table, after what comes before it. */
static int cfg_merge_row(struct cfg_patch *p, struct cfg_merge *m, size_t i)
{
	const char *name = cfg_row(p->old, m->kind, i);
	bool gone = cfg_has(&p->drop, m->kind, name);
	bool back = cfg_has(&p->put, m->kind, name);

	cfg_merge_puts(p, m, name);
	if (m->kind == CFG_ACCOUNT)
		p->accounts[i] = gone && !back ? -1 : (int)m->at;
	if (!gone)
		return back ? CFG_E_NOT_PATCHABLE : cfg_splice_one(p, m, name);
	m->dropped++;
	return CFG_OK;
}

/* Adds what comes up to a name, or all; its fields are read later. */
static void cfg_merge_puts(struct cfg_patch *p, struct cfg_merge *m,
			   const char *before)
{
	const struct cfg_changes *put = &p->put;

	while (m->put < put->count && put->items[m->put].kind == m->kind &&
	       (!before || strcmp(put->items[m->put].name, before) < 0)) {
		p->build.items[p->build.count++] = put->items[m->put++];
		m->at++;
	}
}

/* Copies one object of the old set into the new table. */
static int cfg_splice_one(struct cfg_patch *p, struct cfg_merge *m,
			  const void *from)
{
	struct cfg_item *item = &p->build.items[p->build.count++];
	char *to = (char *)cfg_row(p->build.set, m->kind, m->at++);
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

/* Reads the objects that came, now that all names are known. */
static int cfg_read_puts(struct cfg_patch *p)
{
	size_t i;

	for (i = 0; i < p->build.count; i++) {
		struct cfg_item *item = &p->build.items[i];
		size_t at = i - p->build.first[item->kind];

		if (item->object)
			cfg_read_item(
				&p->build, item,
				(char *)cfg_row(p->build.set, item->kind, at));
	}
	return cfg_faults_incomplete(p->build.faults) ? CFG_E_MEMORY : CFG_OK;
}

/* Moves what objects of the old set say of accounts to the new indices. */
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

/* False if the account is gone, so that the reference leads nowhere. */
static bool cfg_remap_account(const struct cfg_patch *p, int *account)
{
	if (*account < 0)
		return true;
	*account = p->accounts[*account];
	return *account >= 0;
}

/* Checks each object that came, by itself and against all of its kind. */
static bool cfg_check_puts(struct cfg_patch *p)
{
	bool limits = false;
	size_t i;

	for (i = 0; i < p->build.count; i++) {
		const struct cfg_item *item = &p->build.items[i];
		size_t at = i - p->build.first[item->kind];

		if (!item->object)
			continue;
		cfg_check_item(&p->build, i);
		if (cfg_has_duplicate(&p->build, item->kind, at))
			return false;
		limits = limits || item->kind == CFG_LIMIT;
		if (item->kind == CFG_SERVICE &&
		    !cfg_service_is_compatible(&p->build, &p->old->services[at],
					       at))
			return false;
	}
	if (limits)
		cfg_check_limits(&p->build);
	return cfg_fault_count(p->build.faults) == 0;
}

/*
 * Notes the services of which the layers may no longer be held.  An endpoint
 * that comes can only hold more, and one that changed goes first.
 */
static void cfg_touch(struct cfg_patch *p)
{
	const struct cfg_set *set = p->build.set;
	size_t i;

	for (i = 0; i < p->drop.count; i++) {
		const struct cfg_item *item = &p->drop.items[i];
		int at = -1;

		if (item->kind == CFG_ENDPOINT)
			at = cfg_find_endpoint(p->old, item->name);
		if (at >= 0)
			p->touched[p->old->endpoints[at].service] = true;
	}
	for (i = 0; i < p->build.count; i++) {
		const struct cfg_item *item = &p->build.items[i];
		size_t at = i - p->build.first[item->kind];

		if (!item->object)
			continue;
		if (item->kind == CFG_SERVICE)
			p->touched[at] = true;
		if (item->kind == CFG_ROUTE)
			p->touched[set->routes[at].service] = true;
	}
}

/* Returns an object of a set; its name stands first. */
static const char *cfg_row(const struct cfg_set *set, enum cfg_kind kind,
			   size_t at)
{
	size_t *count;
	void **table = cfg_table((struct cfg_set *)set, kind, &count);

	return (const char *)*table + at * cfg_layout(kind)->size;
}
