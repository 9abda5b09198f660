#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pub_int.h"

/*
 * What differs between two sets, as a JSON list:
 *	{"object": "kind/name", "change": "added" | "removed" | "changed",
 *	 "fields": {"field": [old, new]}}
 * and between three:
 *	{"object": "kind/name", "yours": .., "theirs": .., "clash": true}
 * where yours and theirs have the form above, or are absent.
 */

/* The same place in three sorted lists. */
struct pub_three {
	const struct pub_objects *sets[3]; /* base, mine, theirs */
	size_t at[3];
	const struct pub_object *now[3]; /* NULL where the object is absent */
};

static json_t *pub_diff_one(const struct pub_object *old,
			    const struct pub_object *new);
static json_t *pub_diff_fields(const char *old_text, const char *new_text);
static bool pub_differ(const struct pub_object *a, const struct pub_object *b);
static const char *pub_three_id(const struct pub_three *three, size_t i);
static bool pub_three_next(struct pub_three *three);
static int pub_keep(struct pub_objects *merged,
		    const struct pub_object *object);
static json_t *pub_three_entry(const struct pub_three *three);
static void pub_print_one(const json_t *entry, const char *prefix, FILE *out);
static void pub_print_value(const json_t *value, FILE *out);

/*
 * Returns what differs between two sets' texts; an empty list if nothing
 * does, NULL if one can't be read.
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

/* Returns what differs between two sorted lists of objects. */
json_t *pub_diff_objects(const struct pub_objects *old,
			 const struct pub_objects *new)
{
	struct pub_three three = { .sets = { old, new, new } };
	json_t *list = json_array();

	while (pub_three_next(&three)) {
		if (pub_differ(three.now[0], three.now[1]))
			json_array_append_new(
				list, pub_diff_one(three.now[0], three.now[1]));
	}
	return list;
}

/*
 * Takes over into theirs what was changed from base to mine.  Returns PUB_OK
 * with the merged set, or PUB_E_CONFLICT if an object was changed on both sides
 * in different ways.  *difference, if asked for, lists the changes of both
 * sides in either case.
 */
int pub_merge(const struct pub_objects *base, const struct pub_objects *mine,
	      const struct pub_objects *theirs, struct pub_objects *merged,
	      json_t **difference)
{
	struct pub_three three = { .sets = { base, mine, theirs } };
	int err = PUB_OK;

	memset(merged, 0, sizeof(*merged));
	*difference = json_array();
	while (pub_three_next(&three)) {
		const struct pub_object *b = three.now[0];
		const struct pub_object *m = three.now[1];
		const struct pub_object *t = three.now[2];
		bool changed = pub_differ(b, m);

		if (changed || pub_differ(b, t))
			json_array_append_new(*difference,
					      pub_three_entry(&three));
		if (changed && pub_differ(b, t) && pub_differ(m, t))
			err = PUB_E_CONFLICT;
		if (pub_keep(merged, changed ? m : t) != PUB_OK)
			err = PUB_E_MEMORY;
		if (err == PUB_E_MEMORY)
			break;
	}
	pub_objects_sort(merged);
	if (err != PUB_OK)
		pub_objects_free(merged);
	return err;
}

/* Writes a difference as operators read it, one line a field. */
void pub_diff_print(const json_t *difference, FILE *out)
{
	size_t i;

	for (i = 0; i < json_array_size(difference); i++) {
		const json_t *entry = json_array_get(difference, i);
		const json_t *yours = json_object_get(entry, "yours");
		const json_t *theirs = json_object_get(entry, "theirs");

		if (json_object_get(entry, "change"))
			pub_print_one(entry, "", out);
		if (yours)
			pub_print_one(yours, "yours  ", out);
		if (theirs)
			pub_print_one(theirs, "theirs ", out);
		if (json_is_true(json_object_get(entry, "clash")))
			fprintf(out, "clash  %s\n",
				json_string_value(
					json_object_get(entry, "object")));
	}
}

static json_t *pub_diff_one(const struct pub_object *old,
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

static bool pub_differ(const struct pub_object *a, const struct pub_object *b)
{
	if (!a || !b)
		return a != b;
	return strcmp(a->text, b->text) != 0;
}

/* Returns the id at the place in one of the sets, NULL at its end. */
static const char *pub_three_id(const struct pub_three *three, size_t i)
{
	if (three->at[i] == three->sets[i]->count)
		return NULL;
	return three->sets[i]->list[three->at[i]].id;
}

/* Steps to the next id that any of the three sets holds. */
static bool pub_three_next(struct pub_three *three)
{
	const char *least = NULL;
	const char *id;
	size_t i;

	memset(three->now, 0, sizeof(three->now));
	for (i = 0; i < 3; i++) {
		id = pub_three_id(three, i);
		if (id && (!least || strcmp(id, least) < 0))
			least = id;
	}
	for (i = 0; i < 3 && least; i++) {
		id = pub_three_id(three, i);
		if (id && strcmp(id, least) == 0)
			three->now[i] = &three->sets[i]->list[three->at[i]++];
	}
	return least != NULL;
}

static int pub_keep(struct pub_objects *merged, const struct pub_object *object)
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

static json_t *pub_three_entry(const struct pub_three *three)
{
	const struct pub_object *b = three->now[0];
	const struct pub_object *m = three->now[1];
	const struct pub_object *t = three->now[2];
	json_t *entry = json_object();

	json_object_set_new(entry, "object",
			    json_string(b   ? b->id
					: m ? m->id
					    : t->id));
	if (pub_differ(b, m))
		json_object_set_new(entry, "yours", pub_diff_one(b, m));
	if (pub_differ(b, t))
		json_object_set_new(entry, "theirs", pub_diff_one(b, t));
	if (pub_differ(b, m) && pub_differ(b, t) && pub_differ(m, t))
		json_object_set_new(entry, "clash", json_true());
	return entry;
}

static void pub_print_one(const json_t *entry, const char *prefix, FILE *out)
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
