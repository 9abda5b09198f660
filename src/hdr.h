#ifndef HDR_H
#define HDR_H

/*
 * Header fields of one HTTP message in the order received.  Names and values
 * may be added in several pieces, as a parser delivers them.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Offsets of a name and its value in the text of the list. */
struct hdr_field {
	uint32_t name;
	uint32_t value;
};

struct hdr_list {
	char *text; /* names and values, each NUL-terminated */
	size_t len;
	size_t cap;
	struct hdr_field *fields;
	int count;
	int field_cap;
	bool in_value; /* the last bytes added belong to a value */
};

enum hdr_err {
	HDR_OK = 0,
	HDR_E_MEMORY = -1,
};

void hdr_reset(struct hdr_list *list);
void hdr_free(struct hdr_list *list);
int hdr_add_name(struct hdr_list *list, const char *bytes, size_t len);
int hdr_add_value(struct hdr_list *list, const char *bytes, size_t len);
const char *hdr_get(const struct hdr_list *list, const char *name);
const char *hdr_name(const struct hdr_list *list, int i);
const char *hdr_value(const struct hdr_list *list, int i);

#endif /* HDR_H */
