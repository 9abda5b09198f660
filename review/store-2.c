/*
 * The project's stand-in for the platform's store, whose lists have pages: at
 * most PAGE items (50), in the order of their keys.
 */
#include <jansson.h>

static json_t *page_2(json_t *json);

/* All answers are packed by this function; page_2() changes those with items.
 */
#define json_pack(...) page_2((json_pack)(__VA_ARGS__))
#include "../regress/fake_store.c"

static int compare_keys(const void *a, const void *b)
{
	const json_t *x = *(json_t *const *)a;
	const json_t *y = *(json_t *const *)b;

	return strcmp(json_string_value(json_object_get(x, "Key")),
		      json_string_value(json_object_get(y, "Key")));
}

/* Sorts the items of a list and cuts it to a page. */
static json_t *page_2(json_t *json)
{
	json_t *list = json_object_get(json, "Items");
	size_t count = json_array_size(list);
	const char *text = getenv("PAGE");
	size_t most = text ? (size_t)atoi(text) : 50;
	json_t **sorted;
	size_t i;

	if (!list || !json_object_get(json, "HasMore"))
		return json;
	sorted = calloc(count + 1, sizeof(*sorted));
	for (i = 0; i < count; i++)
		sorted[i] = json_incref(json_array_get(list, i));
	qsort(sorted, count, sizeof(*sorted), compare_keys);
	json_array_clear(list);
	for (i = 0; i < count; i++) {
		if (i < most)
			json_array_append(list, sorted[i]);
		json_decref(sorted[i]);
	}
	free(sorted);
	if (count > most)
		json_object_set_new(json, "HasMore", json_true());
	return json;
}
