#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_list.h"

static int fleet_list_parse_all(struct fleet_list *list,
				const json_t *instances);
static int fleet_list_parse_line(struct fleet_list *list, const json_t *item);

/*
 * Parses the list.  An entry that lacks a field or has one that is too long is
 * skipped.  Only a text that is not a list fails, so that one bad entry cannot
 * hide all others.
 */
int fleet_list_parse(const char *text, size_t len, struct fleet_list *list)
{
	json_t *root;
	int err;

	memset(list, 0, sizeof(*list));
	root = json_loadb(text ? text : "", text ? len : 0, 0, NULL);
	if (!root)
		return FLEET_LIST_E_FORMAT;
	err = fleet_list_parse_all(list, json_object_get(root, "instances"));
	json_decref(root);
	if (err)
		fleet_list_free(list);
	return err;
}

/* Frees the tables that fleet_list_parse allocated. */
void fleet_list_free(struct fleet_list *list)
{
	free(list->entries);
	free(list->endpoints);
	memset(list, 0, sizeof(*list));
}

static int fleet_list_parse_all(struct fleet_list *list,
				const json_t *instances)
{
	size_t count = json_array_size(instances);
	size_t i;

	if (!json_is_array(instances))
		return FLEET_LIST_E_FORMAT;
	list->entries = calloc(count + 1, sizeof(*list->entries));
	list->endpoints = calloc(count + 1, sizeof(*list->endpoints));
	if (!list->entries || !list->endpoints)
		return FLEET_LIST_E_MEMORY;
	for (i = 0; i < count; i++)
		fleet_list_parse_line(list, json_array_get(instances, i));
	return FLEET_LIST_OK;
}

/* Parses one entry; a malformed one is not added. */
static int fleet_list_parse_line(struct fleet_list *list, const json_t *item)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	const char *state = json_string_value(json_object_get(item, "state"));
	const char *kind = json_string_value(json_object_get(item, "kind"));
	const char *dc =
		json_string_value(json_object_get(item, "data_centre"));
	const char *address =
		json_string_value(json_object_get(item, "address"));
	struct peer_list_entry *entry = &list->entries[list->entry_count];
	bool leaving = state && strcmp(state, "leaving") == 0;

	if (!name || !state || !kind)
		return FLEET_LIST_E_FORMAT;
	if (strcmp(kind, "endpoint") == 0) {
		struct fleet_list_endpoint *endpoint =
			&list->endpoints[list->endpoint_count];

		if (mag_copy_name(endpoint->name, MAG_NAME_MAX, name))
			return FLEET_LIST_E_FORMAT;
		endpoint->leaving = leaving;
		list->endpoint_count++;
		return FLEET_LIST_OK;
	}
	if (leaving || !dc || !address ||
	    mag_copy_name(entry->name, MAG_NAME_MAX, name) ||
	    mag_copy_name(entry->data_centre, MAG_NAME_MAX, dc) ||
	    mag_copy_name(entry->address, MAG_ADDR_MAX, address))
		return FLEET_LIST_E_FORMAT;
	list->entry_count++;
	return FLEET_LIST_OK;
}
