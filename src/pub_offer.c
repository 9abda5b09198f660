#include <stdlib.h>
#include <string.h>

#include "pub_int.h"

/* Exchange between instances: offers of whole sets, and deltas. */

static json_t *pub_delta_json(const struct pub_objects *old,
			      const struct pub_objects *new);
static int pub_patch_objects(const struct pub_objects *old, const json_t *delta,
			     struct pub_objects *new);
static bool pub_delta_affects(const json_t *delta, const char *id);
static uint64_t pub_text_revision(const char *text);

/*
 * Returns true if an instance that holds the current revision may adopt the
 * offered one.  Revisions only increase, whoever offers them.  A step that is
 * too large to be real is refused, because no later change could get above such
 * a revision.
 */
bool pub_accepts_revision(uint64_t current, uint64_t offered)
{
	if (offered <= current || offered > PUB_REVISION_MAX)
		return false;
	return current == 0 || offered - current <= PUB_REVISION_STEP_MAX;
}

/*
 * Checks a set offered by a peer: its revision, its digest as other peers
 * report it, and the whole set.  Returns PUB_OK with the set, which gets the
 * offered revision; on any error the caller must not adopt anything.
 */
int pub_check_offer(uint64_t current, uint64_t offered, const char *digest,
		    const char *text, size_t len, struct cfg_set **set)
{
	char found[PUB_DIGEST_HEX];
	struct cfg_faults *faults;
	int err;

	*set = NULL;
	if (offered <= current)
		return PUB_E_STALE;
	if (!pub_accepts_revision(current, offered))
		return PUB_E_REJECTED;
	if (pub_digest(text, len, found) != PUB_OK ||
	    strcmp(found, digest) != 0)
		return PUB_E_REJECTED;
	err = cfg_parse(text, len, set, &faults);
	cfg_faults_free(faults);
	if (err == CFG_E_MEMORY)
		return PUB_E_MEMORY;
	if (err != CFG_OK)
		return PUB_E_REJECTED;
	(*set)->revision = offered;
	return PUB_OK;
}

/*
 * Returns in *delta the difference from the text of one set to that of another.
 * It has some hundred bytes per change, while a chunk and the head have tens of
 * thousands.  The caller frees it.
 */
int pub_delta(const char *old_text, const char *new_text, char **delta)
{
	struct pub_objects old = { 0 };
	struct pub_objects new = { 0 };
	char digest[PUB_DIGEST_HEX];
	json_t *doc;
	int err;

	*delta = NULL;
	err = pub_digest(new_text, strlen(new_text), digest);
	if (err == PUB_OK)
		err = pub_objects_parse(&old, old_text, strlen(old_text));
	if (err == PUB_OK)
		err = pub_objects_parse(&new, new_text, strlen(new_text));
	if (err == PUB_OK) {
		doc = pub_delta_json(&old, &new);
		json_object_set_new(
			doc, "from",
			json_integer((json_int_t)pub_text_revision(old_text)));
		json_object_set_new(
			doc, "to",
			json_integer((json_int_t)pub_text_revision(new_text)));
		json_object_set_new(doc, "digest", json_string(digest));
		*delta = json_dumps(doc, JSON_COMPACT | JSON_SORT_KEYS);
		json_decref(doc);
		err = *delta ? PUB_OK : PUB_E_MEMORY;
	}
	pub_objects_free(&old);
	pub_objects_free(&new);
	return err;
}

/*
 * Applies a delta to the set that it was made from.  Returns PUB_E_REJECTED if
 * it was made from another revision or if the result does not have the digest
 * that the delta states.  The caller frees *new_text and checks it with
 * pub_check_offer.
 */
int pub_patch(const char *old_text, const char *delta, char **new_text)
{
	json_t *doc = json_loads(delta, JSON_REJECT_DUPLICATES, NULL);
	const char *digest = json_string_value(json_object_get(doc, "digest"));
	json_int_t to = json_integer_value(json_object_get(doc, "to"));
	struct pub_objects old = { 0 };
	struct pub_objects new = { 0 };
	char found[PUB_DIGEST_HEX];
	int err = PUB_E_REJECTED;

	*new_text = NULL;
	if (digest && to > 0 &&
	    (uint64_t)json_integer_value(json_object_get(doc, "from")) ==
		    pub_text_revision(old_text))
		err = pub_objects_parse(&old, old_text, strlen(old_text));
	if (err == PUB_OK)
		err = pub_patch_objects(&old, doc, &new);
	if (err == PUB_OK) {
		*new_text = pub_objects_text(&new, (uint64_t)to);
		err = *new_text ? PUB_OK : PUB_E_MEMORY;
	}
	if (err == PUB_OK &&
	    (pub_digest(*new_text, strlen(*new_text), found) != PUB_OK ||
	     strcmp(found, digest) != 0)) {
		free(*new_text);
		*new_text = NULL;
		err = PUB_E_REJECTED;
	}
	pub_objects_free(&old);
	pub_objects_free(&new);
	json_decref(doc);
	return err;
}

static json_t *pub_delta_json(const struct pub_objects *old,
			      const struct pub_objects *new)
{
	json_t *put = json_array();
	json_t *drop = json_array();
	size_t i;

	for (i = 0; i < new->count; i++) {
		const struct pub_object *was =
			pub_objects_find(old, new->list[i].id);

		if (!was || strcmp(was->text, new->list[i].text) != 0)
			json_array_append_new(
				put, json_loads(new->list[i].text, 0, NULL));
	}
	for (i = 0; i < old->count; i++) {
		if (!pub_objects_find(new, old->list[i].id))
			json_array_append_new(drop,
					      json_string(old->list[i].id));
	}
	return json_pack("{s:o, s:o}", "put", put, "drop", drop);
}

static int pub_patch_objects(const struct pub_objects *old, const json_t *delta,
			     struct pub_objects *new)
{
	const json_t *put = json_object_get(delta, "put");
	int err = json_is_array(put) ? PUB_OK : PUB_E_REJECTED;
	size_t i;

	for (i = 0; i < json_array_size(put) && err == PUB_OK; i++)
		err = pub_objects_add(new, json_array_get(put, i));
	pub_objects_sort(new);
	for (i = 0; i < old->count && err == PUB_OK; i++) {
		json_t *object;

		if (pub_delta_affects(delta, old->list[i].id))
			continue;
		object = json_loads(old->list[i].text, 0, NULL);
		err = object ? pub_objects_add(new, object) : PUB_E_MEMORY;
		json_decref(object);
	}
	pub_objects_sort(new);
	return err == PUB_E_DAMAGED ? PUB_E_REJECTED : err;
}

/* Returns true if a delta replaces or removes an object. */
static bool pub_delta_affects(const json_t *delta, const char *id)
{
	const json_t *put = json_object_get(delta, "put");
	const json_t *drop = json_object_get(delta, "drop");
	char name[2 * MAG_NAME_MAX];
	size_t i;

	for (i = 0; i < json_array_size(drop); i++) {
		const char *text = json_string_value(json_array_get(drop, i));

		if (text && strcmp(text, id) == 0)
			return true;
	}
	for (i = 0; i < json_array_size(put); i++) {
		const json_t *o = json_array_get(put, i);

		snprintf(name, sizeof(name), "%s/%s",
			 json_string_value(json_object_get(o, "kind")),
			 json_string_value(json_object_get(o, "name")));
		if (strcmp(name, id) == 0)
			return true;
	}
	return false;
}

static uint64_t pub_text_revision(const char *text)
{
	json_t *doc = json_loads(text, 0, NULL);
	json_int_t n = json_integer_value(json_object_get(doc, "revision"));

	json_decref(doc);
	return n > 0 ? (uint64_t)n : 0;
}
