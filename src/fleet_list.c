#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_list.h"

static int fleet_list_parse_all(struct fleet_list *list,
				const json_t *instances);
static int fleet_list_parse_line(struct fleet_list *list, const json_t *line);

/*
 * Reads the list.  A line that lacks a field, or has one that is too long,
 * is left out; only a text that is no list at all fails, so that one bad
 * line can't hide all others.
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

/* Frees what fleet_list_parse made. */
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

/* Takes one line; one that is at fault is left out. */
static int fleet_list_parse_line(struct fleet_list *list, const json_t *line)
{
	const char *name = json_string_value(json_object_get(line, "name"));
	const char *state = json_string_value(json_object_get(line, "state"));
	const char *kind = json_string_value(json_object_get(line, "kind"));
	const char *dc =
		json_string_value(json_object_get(line, "data_centre"));
	const char *at = json_string_value(json_object_get(line, "address"));
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
	if (leaving || !dc || !at ||
	    mag_copy_name(entry->name, MAG_NAME_MAX, name) ||
	    mag_copy_name(entry->data_centre, MAG_NAME_MAX, dc) ||
	    mag_copy_name(entry->address, MAG_ADDR_MAX, at))
		return FLEET_LIST_E_FORMAT;
	list->entry_count++;
	return FLEET_LIST_OK;
}
