#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pub_int.h"

/*
 * Differences between sets.  Between two sets, a JSON list of:
 *	{"object": "kind/name", "change": "added" | "removed" | "changed",
 *	 "fields": {"field": [old, new]}}
 * Between a base and two sets edited from it, a JSON list of:
 *	{"object": "kind/name", "yours": .., "theirs": .., "clash": true}
 * where "yours" and "theirs" have the form above, and each is absent if that
 * side did not change the object.
 */

/* Iterates over three sorted lists in parallel, object by object. */
struct pub_cursor {
	const struct pub_objects *sets[3];   /* base, mine, theirs */
	size_t index[3];		     /* of the next object */
	const struct pub_object *current[3]; /* NULL in a set without it */
};

static json_t *pub_diff_object(const struct pub_object *old,
			       const struct pub_object *new);
static json_t *pub_diff_fields(const char *old_text, const char *new_text);
static bool pub_object_differs(const struct pub_object *a,
			       const struct pub_object *b);
static const char *pub_cursor_id(const struct pub_cursor *cursor, size_t i);
static bool pub_cursor_next(struct pub_cursor *cursor);
static int pub_add_copy(struct pub_objects *merged,
			const struct pub_object *object);
static json_t *pub_merge_entry(const struct pub_cursor *cursor);
static void pub_print_entry(const json_t *entry, const char *prefix, FILE *out);
static void pub_print_value(const json_t *value, FILE *out);

/*
 * Returns the differences between the texts of two sets, an empty list if they
 * are equal, or NULL if one of them can't be parsed.
 */
json_t *pub_diff(const char *old_text, const char *new_text)
{
	struct pub_objects old;
	struct pub_objects new;
	json_t *list = NULL;

	if (pub_objects_parse(&old, old_text, strlen(old_text)) != PUB_OK)
		return NULL;
	if (pub_objects_parse(&new, new_text, strlen(new_text)) == PUB_OK) {
		list = pub_diff_objects(&old, &new);
		pub_objects_free(&new);
	}
	pub_objects_free(&old);
	return list;
}

/* Returns the differences between two sorted lists of objects. */
json_t *pub_diff_objects(const struct pub_objects *old,
			 const struct pub_objects *new)
{
	struct pub_cursor cursor = { .sets = { old, new, new } };
	json_t *list = json_array();

	while (pub_cursor_next(&cursor)) {
		if (pub_object_differs(cursor.current[0], cursor.current[1]))
			json_array_append_new(
				list, pub_diff_object(cursor.current[0],
						      cursor.current[1]));
	}
	return list;
}

/*
 * Three-way merge: applies the changes from base to mine on top of theirs.
 * Returns PUB_OK with the merged set, or PUB_E_CONFLICT if both sides changed
 * an object in different ways.  In either case *difference lists the changes of
 * both sides.
 */
int pub_merge(const struct pub_objects *base, const struct pub_objects *mine,
	      const struct pub_objects *theirs, struct pub_objects *merged,
	      json_t **difference)
{
	struct pub_cursor cursor = { .sets = { base, mine, theirs } };
	int err = PUB_OK;

	memset(merged, 0, sizeof(*merged));
	*difference = json_array();
	while (pub_cursor_next(&cursor)) {
		const struct pub_object *b = cursor.current[0];
		const struct pub_object *m = cursor.current[1];
		const struct pub_object *t = cursor.current[2];
		bool changed = pub_object_differs(b, m);

		if (changed || pub_object_differs(b, t))
			json_array_append_new(*difference,
					      pub_merge_entry(&cursor));
		if (changed && pub_object_differs(b, t) &&
		    pub_object_differs(m, t))
			err = PUB_E_CONFLICT;
		if (pub_add_copy(merged, changed ? m : t) != PUB_OK)
			err = PUB_E_MEMORY;
		if (err == PUB_E_MEMORY)
			break;
	}
	pub_objects_sort(merged);
	if (err != PUB_OK)
		pub_objects_free(merged);
	return err;
}

/* Prints a difference for operators, one line per changed field. */
void pub_diff_print(const json_t *difference, FILE *out)
{
	size_t i;

	for (i = 0; i < json_array_size(difference); i++) {
		const json_t *entry = json_array_get(difference, i);
		const json_t *yours = json_object_get(entry, "yours");
		const json_t *theirs = json_object_get(entry, "theirs");

		if (json_object_get(entry, "change"))
			pub_print_entry(entry, "", out);
		if (yours)
			pub_print_entry(yours, "yours  ", out);
		if (theirs)
			pub_print_entry(theirs, "theirs ", out);
		if (json_is_true(json_object_get(entry, "clash")))
			fprintf(out, "clash  %s\n",
				json_string_value(
					json_object_get(entry, "object")));
	}
}

static json_t *pub_diff_object(const struct pub_object *old,
			       const struct pub_object *new)
{
	const struct pub_object *object = new ? new : old;

	if (!old || !new)
		return json_pack("{s:s, s:s}", "object", object->id, "change",
				 new ? "added" : "removed");
	return json_pack("{s:s, s:s, s:o}", "object", object->id, "change",
			 "changed", "fields",
			 pub_diff_fields(old->text, new->text));
}

static json_t *pub_diff_fields(const char *old_text, const char *new_text)
{
	json_t *old = json_loads(old_text, 0, NULL);
	json_t *new = json_loads(new_text, 0, NULL);
	json_t *fields = json_object();
	const char *key;
	json_t *value;

	json_object_foreach (old, key, value) {
		json_t *other = json_object_get(new, key);

		if (!json_equal(value, other))
			json_object_set_new(fields, key,
					    json_pack("[O, O*]", value, other));
	}
	json_object_foreach (new, key, value) {
		if (!json_object_get(old, key))
			json_object_set_new(fields, key,
					    json_pack("[n, O]", value));
	}
	json_decref(old);
	json_decref(new);
	return fields;
}

static bool pub_object_differs(const struct pub_object *a,
			       const struct pub_object *b)
{
	if (!a || !b)
		return a != b;
	return strcmp(a->text, b->text) != 0;
}

/* Returns the id of the next object of a set, NULL at its end. */
static const char *pub_cursor_id(const struct pub_cursor *cursor, size_t i)
{
	if (cursor->index[i] == cursor->sets[i]->count)
		return NULL;
	return cursor->sets[i]->list[cursor->index[i]].id;
}

/* Advances to the next id in the three sets; false at the end of all. */
static bool pub_cursor_next(struct pub_cursor *cursor)
{
	const char *least = NULL;
	const char *id;
	size_t i;

	memset(cursor->current, 0, sizeof(cursor->current));
	for (i = 0; i < 3; i++) {
		id = pub_cursor_id(cursor, i);
		if (id && (!least || strcmp(id, least) < 0))
			least = id;
	}
	for (i = 0; i < 3 && least; i++) {
		id = pub_cursor_id(cursor, i);
		if (id && strcmp(id, least) == 0)
			cursor->current[i] =
				&cursor->sets[i]->list[cursor->index[i]++];
	}
	return least != NULL;
}

static int pub_add_copy(struct pub_objects *merged,
			const struct pub_object *object)
{
	json_t *value;
	int err;

	if (!object)
		return PUB_OK;
	value = json_loads(object->text, 0, NULL);
	err = value ? pub_objects_add(merged, value) : PUB_E_MEMORY;
	json_decref(value);
	return err;
}

static json_t *pub_merge_entry(const struct pub_cursor *cursor)
{
	const struct pub_object *b = cursor->current[0];
	const struct pub_object *m = cursor->current[1];
	const struct pub_object *t = cursor->current[2];
	json_t *entry = json_object();

	json_object_set_new(entry, "object",
			    json_string(b   ? b->id
					: m ? m->id
					    : t->id));
	if (pub_object_differs(b, m))
		json_object_set_new(entry, "yours", pub_diff_object(b, m));
	if (pub_object_differs(b, t))
		json_object_set_new(entry, "theirs", pub_diff_object(b, t));
	if (pub_object_differs(b, m) && pub_object_differs(b, t) &&
	    pub_object_differs(m, t))
		json_object_set_new(entry, "clash", json_true());
	return entry;
}

static void pub_print_entry(const json_t *entry, const char *prefix, FILE *out)
{
	const char *object =
		json_string_value(json_object_get(entry, "object"));
	const char *change =
		json_string_value(json_object_get(entry, "change"));
	json_t *fields = json_object_get(entry, "fields");
	const char *key;
	json_t *pair;

	if (!fields) {
		fprintf(out, "%s%s: %s\n", prefix, object, change);
		return;
	}
	json_object_foreach (fields, key, pair) {
		fprintf(out, "%s%s: %s: ", prefix, object, key);
		pub_print_value(json_array_get(pair, 0), out);
		fputs(" -> ", out);
		pub_print_value(json_array_get(pair, 1), out);
		fputs("\n", out);
	}
}

static void pub_print_value(const json_t *value, FILE *out)
{
	if (!value || json_is_null(value))
		fputs("(absent)", out);
	else
		json_dumpf(value, out,
			   JSON_ENCODE_ANY | JSON_COMPACT | JSON_ENSURE_ASCII);
}
