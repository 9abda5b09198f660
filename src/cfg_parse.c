#include <stdlib.h>
#include <string.h>

#include "cfg_int.h"
#include "chk.h"

static json_t *cfg_load_document(const char *text, size_t len,
				 struct cfg_faults *faults);
static bool cfg_document_ok(const json_t *doc);
static void cfg_collect_items(struct cfg_build *build, json_t *list);
static void cfg_sort_items(struct cfg_build *build);
static int cfg_read_objects(struct cfg_build *build);

/*
 * Parses and validates a whole set of objects.  The set's revision is the one
 * in the text, or 0.  On CFG_OK *set is the new set, which the caller frees
 * with cfg_free, and *faults is NULL.  Otherwise *set is NULL and *faults lists
 * all faults, unless memory ran out; the caller frees it with cfg_faults_free.
 */
int cfg_parse(const char *text, size_t len, struct cfg_set **set,
	      struct cfg_faults **faults)
{
	struct cfg_build build = { 0 };
	int err = CFG_E_MEMORY;
	json_t *doc;

	*set = NULL;
	*faults = NULL;
	build.faults = cfg_faults_new();
	build.set = calloc(1, sizeof(*build.set));
	if (!build.faults || !build.set) {
		cfg_faults_free(build.faults);
		free(build.set);
		return CFG_E_MEMORY;
	}
	doc = cfg_load_document(text, len, build.faults);
	if (doc) {
		cfg_collect_items(&build, json_object_get(doc, "objects"));
		err = cfg_read_objects(&build);
		build.set->revision = (uint64_t)json_integer_value(
			json_object_get(doc, "revision"));
		free(build.items);
		json_decref(doc);
	} else {
		err = CFG_E_SYNTAX;
	}
	if (cfg_faults_incomplete(build.faults))
		err = CFG_E_MEMORY;
	if (err == CFG_OK) {
		*set = build.set;
		cfg_faults_free(build.faults);
	} else {
		cfg_free(build.set);
		*faults = build.faults;
	}
	return err;
}

/* Frees a set; it may be NULL. */
void cfg_free(struct cfg_set *set)
{
	size_t i;

	if (!set)
		return;
	for (i = 0; i < set->route_count; i++)
		free(set->routes[i].splits);
	free(set->services);
	free(set->accounts);
	free(set->routes);
	free(set->limits);
	free(set->endpoints);
	free(set);
}

/*
 * Finds an object of the set under construction by its name.  Returns its
 * index in the table of its kind, or -1.
 */
int cfg_item_index(const struct cfg_build *build, enum cfg_kind kind,
		   const char *name)
{
	struct cfg_item key = { .kind = kind, .name = name };
	struct cfg_item *found;

	if (build->count == 0)
		return -1;
	found = bsearch(&key, build->items, build->count, sizeof(*build->items),
			cfg_item_cmp);
	return found ? (int)(found - build->items - build->first[kind]) : -1;
}

/* Returns true if all fields of an object are valid. */
bool cfg_fields_valid(const struct cfg_build *build, enum cfg_kind kind,
		      int index)
{
	return build->items[build->first[kind] + (size_t)index].fault_count ==
	       0;
}

/* Parses the text as JSON and checks the structure of the document. */
static json_t *cfg_load_document(const char *text, size_t len,
				 struct cfg_faults *faults)
{
	json_error_t error;
	json_t *doc = chk_json(text, len, &error);

	if (!doc) {
		cfg_fault(faults, "set", "-", "document", CFG_M_SYNTAX,
			  error.line, error.text);
		return NULL;
	}
	if (cfg_document_ok(doc))
		return doc;
	cfg_fault(faults, "set", "-", "document", CFG_M_DOCUMENT);
	json_decref(doc);
	return NULL;
}

/* A published set includes its revision; a new one may omit it. */
static bool cfg_document_ok(const json_t *doc)
{
	const json_t *revision = json_object_get(doc, "revision");
	size_t fields = revision ? 2 : 1;

	if (revision &&
	    (!json_is_integer(revision) || json_integer_value(revision) < 0))
		return false;
	return json_object_size(doc) == fields &&
	       json_is_array(json_object_get(doc, "objects"));
}

/* Collects the objects that have a kind and a name, sorted by both. */
static void cfg_collect_items(struct cfg_build *build, json_t *list)
{
	size_t count = json_array_size(list);
	size_t i;

	if (count > CFG_OBJECTS_MAX) {
		cfg_fault(build->faults, "set", "-", "objects", CFG_M_TOO_MANY,
			  count, (size_t)CFG_OBJECTS_MAX);
		return;
	}
	build->items = calloc(count ? count : 1, sizeof(*build->items));
	if (!build->items)
		return;
	for (i = 0; i < count; i++) {
		if (cfg_read_identity(build, json_array_get(list, i), i,
				      &build->items[build->count]))
			build->count++;
	}
	cfg_sort_items(build);
}

/* Reads kind and name of one entry.  If one is invalid, adds a fault. */
bool cfg_read_identity(struct cfg_build *build, json_t *object, size_t i,
		       struct cfg_item *item)
{
	const char *kind = json_string_value(json_object_get(object, "kind"));
	const char *name = json_string_value(json_object_get(object, "name"));
	int k;

	if (!json_is_object(object)) {
		cfg_fault(build->faults, "set", "-", "objects",
			  CFG_M_NOT_OBJECT, i);
		return false;
	}
	for (k = 0; kind && k < CFG_KIND_COUNT; k++) {
		if (strcmp(kind, cfg_layout(k)->kind) == 0)
			break;
	}
	if (!kind || k == CFG_KIND_COUNT) {
		cfg_fault(build->faults, "object", name ? name : "-", "kind",
			  CFG_M_KIND);
		return false;
	}
	if (!name || !chk_name(name)) {
		cfg_fault(build->faults, kind, name ? name : "-", "name",
			  CFG_M_NAME);
		return false;
	}
	item->kind = k;
	item->name = name;
	item->object = object;
	return true;
}

/*
 * Sorts the objects by kind and name, so that the order of the text does not
 * matter and names can be found by binary search.
 */
static void cfg_sort_items(struct cfg_build *build)
{
	size_t i;
	int kind;

	qsort(build->items, build->count, sizeof(*build->items), cfg_item_cmp);
	for (i = 0; i < build->count; i++) {
		struct cfg_item *item = &build->items[i];

		for (kind = item->kind + 1; kind <= CFG_KIND_COUNT; kind++)
			build->first[kind] = i + 1;
		if (i == 0 || cfg_item_cmp(item - 1, item) != 0)
			continue;
		cfg_fault(build->faults, cfg_layout(item->kind)->kind,
			  item->name, "name", CFG_M_NAME_TWICE,
			  cfg_layout(item->kind)->kind);
	}
}

/* Orders objects by kind, then by name. */
int cfg_item_cmp(const void *a, const void *b)
{
	const struct cfg_item *x = a;
	const struct cfg_item *y = b;

	if (x->kind != y->kind)
		return x->kind < y->kind ? -1 : 1;
	return strcmp(x->name, y->name);
}

/* Reads the fields of all objects, then checks the set as a whole. */
static int cfg_read_objects(struct cfg_build *build)
{
	size_t i;
	int kind;

	if (!build->items)
		return cfg_fault_count(build->faults) ? CFG_E_INVALID
						      : CFG_E_MEMORY;
	for (kind = 0; kind < CFG_KIND_COUNT; kind++) {
		size_t first = build->first[kind];
		size_t size = cfg_layout(kind)->size;
		size_t *count;
		void **table = cfg_table(build->set, kind, &count);
		size_t n = build->first[kind + 1] - first;

		*table = calloc(n ? n : 1, size);
		if (!*table)
			return CFG_E_MEMORY;
		*count = n;
		for (i = 0; i < n; i++)
			cfg_read_item(build, &build->items[first + i],
				      (char *)*table + i * size);
	}
	cfg_check_set(build);
	cfg_check_coverage(build, NULL);
	return cfg_fault_count(build->faults) ? CFG_E_INVALID : CFG_OK;
}

/* Returns the addresses of a kind's table and of its count in a set. */
void **cfg_table(struct cfg_set *set, enum cfg_kind kind, size_t **count)
{
	switch (kind) {
	case CFG_SERVICE:
		*count = &set->service_count;
		return (void **)&set->services;
	case CFG_ACCOUNT:
		*count = &set->account_count;
		return (void **)&set->accounts;
	case CFG_ROUTE:
		*count = &set->route_count;
		return (void **)&set->routes;
	case CFG_LIMIT:
		*count = &set->limit_count;
		return (void **)&set->limits;
	default:
		*count = &set->endpoint_count;
		return (void **)&set->endpoints;
	}
}
