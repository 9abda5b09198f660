#ifndef SET_INT_H
#define SET_INT_H

/* Internal interface of the set files; other modules must not include it. */

#include <jansson.h>

#include "chk.h"
#include "set.h"

/* All messages on settings.  The meaning of a number must never change. */
/* clang-format off */
#define SET_MSGS \
	SET_MSG(SET_M_FILE, 101, "cannot be read: %s") \
	SET_MSG(SET_M_LARGE, 102, "larger than %d bytes") \
	SET_MSG(SET_M_SYNTAX, 103, "not JSON: line %d: %s") \
	SET_MSG(SET_M_DOCUMENT, 104, "not an object of settings") \
	SET_MSG(SET_M_UNKNOWN, 105, "no such setting") \
	SET_MSG(SET_M_OPTION, 106, "%s") \
	SET_MSG(SET_M_MISSING, 107, "missing; it has no default") \
	SET_MSG(SET_M_TYPE, 108, "not %s") \
	SET_MSG(SET_M_RANGE, 109, "%lld is not between %llu and %llu") \
	SET_MSG(SET_M_ENUM, 110, "\"%.40s\" is not one of %s") \
	SET_MSG(SET_M_NAME, 111, "\"%.64s\" is not " CHK_NAME_RULE) \
	SET_MSG(SET_M_ADDRESS, 112, "\"%.60s\" is not " CHK_ADDRESS_RULE) \
	SET_MSG(SET_M_COUNT, 113, "%zu addresses; 1 to %zu are allowed") \
	SET_MSG(SET_M_TWICE, 114, "%s is listed twice") \
	SET_MSG(SET_M_SAME_ADDRESS, 115, "the same address as %s")
/* clang-format on */

#define SET_MSG(id, number, format) id = number,
enum set_msg {
	SET_MSGS
};
#undef SET_MSG

#define SET_FILE_MAX   65536
#define SET_SOURCE_MAX 256

enum set_type {
	SET_T_NAME,
	SET_T_ADDRESS,
	SET_T_ADDRESSES,
	SET_T_U32,
	SET_T_U64,
	SET_T_BOOL,
	SET_T_LEVEL,
	SET_TYPE_COUNT
};

struct set_field {
	const char *name;
	enum set_type type;
	bool required;
	size_t offset;
	uint64_t min;
	uint64_t max; /* of a number, or of the length of a list */
	uint64_t default_value;
	const char *datatype;
	const char *help;
};

/* State for reading the settings. */
struct set_build {
	struct set_settings *settings;
	struct flt_list *faults;
	const char *source; /* for messages: settings/FILE, option/-, .. */
	uint64_t given;	    /* one bit per field that was set */
	bool from_file;
	bool incomplete;  /* the file is not there or ends early */
	size_t unsettled; /* faults that a file overwritten in place has */
};

extern const struct set_field set_fields[];
extern const size_t set_field_count;

void set_defaults(struct set_settings *settings);
void set_read_field(struct set_build *build, size_t field, json_t *value);
bool set_parse(struct set_build *build, const char *text, size_t len);
void set_check(struct set_build *build);
void set_fault(struct set_build *build, const char *field, enum set_msg msg,
	       ...);
size_t set_msg_list(int *numbers, size_t max);

#endif /* SET_INT_H */
