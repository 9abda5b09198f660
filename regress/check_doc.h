#ifndef CHECK_DOC_H
#define CHECK_DOC_H

#include <stdbool.h>
#include <stdio.h>

#include <jansson.h>

/*
 * Script commands that edit the document of a set:
 *	add OBJECT | change KIND/NAME FIELDS | drop KIND/NAME
 */

static json_t *doc_find(json_t *doc, const char *id, size_t *index)
{
	json_t *list = json_object_get(doc, "objects");
	char text[256];

	for (*index = 0; *index < json_array_size(list); (*index)++) {
		json_t *object = json_array_get(list, *index);

		snprintf(text, sizeof(text), "%s/%s",
			 json_string_value(json_object_get(object, "kind")),
			 json_string_value(json_object_get(object, "name")));
		if (strcmp(text, id) == 0)
			return object;
	}
	fail_msg("no object %s", id);
	return NULL;
}

static void doc_change(json_t *doc, char *rest)
{
	char *json = strchr(rest, ' ');
	json_t *fields;
	size_t i;

	*json++ = '\0';
	fields = json_loads(json, 0, NULL);
	assert_non_null(fields);
	json_object_update(doc_find(doc, rest, &i), fields);
	json_decref(fields);
}

/* Runs an edit command.  Returns false if the command is a different one. */
static bool doc_edit(json_t *doc, const char *command, char *rest)
{
	json_t *list = json_object_get(doc, "objects");
	json_t *value;
	size_t i;

	if (strcmp(command, "add") == 0) {
		value = json_loads(rest, JSON_DECODE_ANY, NULL);
		assert_non_null(value);
		json_array_append_new(list, value);
	} else if (strcmp(command, "change") == 0) {
		doc_change(doc, rest);
	} else if (strcmp(command, "drop") == 0) {
		doc_find(doc, rest, &i);
		json_array_remove(list, i);
	} else {
		return false;
	}
	return true;
}

#endif /* CHECK_DOC_H */
