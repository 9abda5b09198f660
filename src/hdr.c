#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "hdr.h"

static int hdr_reserve(struct hdr_list *list, size_t more);
static int hdr_append(struct hdr_list *list, const char *bytes, size_t len);
static int hdr_new_field(struct hdr_list *list);

/* Removes all fields but retains the memory for the next message. */
void hdr_reset(struct hdr_list *list)
{
	list->len = 0;
	list->count = 0;
	list->in_value = false;
}

/* Frees the memory of a list, but not the list itself. */
void hdr_free(struct hdr_list *list)
{
	free(list->text);
	free(list->fields);
	memset(list, 0, sizeof(*list));
}

/* Appends to a field's name; the first bytes after a value start a field. */
int hdr_add_name(struct hdr_list *list, const char *bytes, size_t len)
{
	if (list->in_value || list->count == 0) {
		if (hdr_new_field(list))
			return HDR_E_MEMORY;
		list->in_value = false;
	}
	return hdr_append(list, bytes, len);
}

/* Appends to the value of the last field. */
int hdr_add_value(struct hdr_list *list, const char *bytes, size_t len)
{
	if (!list->in_value) {
		if (hdr_reserve(list, 1))
			return HDR_E_MEMORY;
		list->text[list->len++] = '\0';
		list->fields[list->count - 1].value = (uint32_t)list->len;
		list->in_value = true;
	}
	return hdr_append(list, bytes, len);
}

/* Returns the value of the first field with a name (case ignored), or NULL. */
const char *hdr_get(const struct hdr_list *list, const char *name)
{
	int i;

	for (i = 0; i < list->count; i++) {
		if (strcasecmp(hdr_name(list, i), name) == 0)
			return hdr_value(list, i);
	}
	return NULL;
}

const char *hdr_name(const struct hdr_list *list, int i)
{
	return list->text + list->fields[i].name;
}

const char *hdr_value(const struct hdr_list *list, int i)
{
	return list->text + list->fields[i].value;
}

/* Ensures space for more bytes and a terminating NUL. */
static int hdr_reserve(struct hdr_list *list, size_t more)
{
	size_t need = list->len + more + 1;
	size_t cap = list->cap ? list->cap : 512;
	char *text;

	if (need <= list->cap)
		return HDR_OK;
	while (cap < need)
		cap *= 2;
	text = realloc(list->text, cap);
	if (!text)
		return HDR_E_MEMORY;
	list->text = text;
	list->cap = cap;
	return HDR_OK;
}

static int hdr_append(struct hdr_list *list, const char *bytes, size_t len)
{
	if (hdr_reserve(list, len))
		return HDR_E_MEMORY;
	memcpy(list->text + list->len, bytes, len);
	list->len += len;
	list->text[list->len] = '\0';
	return HDR_OK;
}

/* Starts a field with an empty name and an empty value. */
static int hdr_new_field(struct hdr_list *list)
{
	struct hdr_field *fields;
	int cap;

	if (list->count == list->field_cap) {
		cap = list->field_cap ? list->field_cap * 2 : 16;
		fields = realloc(list->fields, (size_t)cap * sizeof(*fields));
		if (!fields)
			return HDR_E_MEMORY;
		list->fields = fields;
		list->field_cap = cap;
	}
	if (hdr_reserve(list, 1))
		return HDR_E_MEMORY;
	if (list->count > 0)
		list->text[list->len++] = '\0';
	list->text[list->len] = '\0';
	list->fields[list->count].name = (uint32_t)list->len;
	list->fields[list->count].value = (uint32_t)list->len;
	list->count++;
	return HDR_OK;
}
