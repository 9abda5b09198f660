#ifndef CFG_INT_H
#define CFG_INT_H

/* Internal interface of the cfg files; other modules must not include it. */

#include <jansson.h>

#include "cfg.h"
#include "chk.h"

/*
 * All messages of the validator: CFG_MSG(id, number, format).  The meaning of
 * a number must never change, because operators and scripts look it up in
 * magnolia.conf(5).
 */
/* clang-format off */
#define CFG_MSGS \
	/* 1: the document and its objects */ \
	CFG_MSG(CFG_M_SYNTAX, 1, "not JSON: line %d: %s") \
	CFG_MSG(CFG_M_DOCUMENT, 2, "not an object that consists of a list named \"objects\" and, optionally, a number named \"revision\"") \
	CFG_MSG(CFG_M_NOT_OBJECT, 3, "entry %zu of the list is not an object") \
	CFG_MSG(CFG_M_KIND, 4, "not one of service, account, route, limit, endpoint") \
	CFG_MSG(CFG_M_NAME, 5, "not " CHK_NAME_RULE) \
	CFG_MSG(CFG_M_NAME_TWICE, 6, "another %s has this name") \
	CFG_MSG(CFG_M_TOO_MANY, 7, "%zu objects; a set holds at most %zu") \
	\
	/* 20: one field */ \
	CFG_MSG(CFG_M_UNKNOWN, 20, "no such field in an object of kind %s") \
	CFG_MSG(CFG_M_MISSING, 21, "missing") \
	CFG_MSG(CFG_M_TYPE, 22, "not %s") \
	CFG_MSG(CFG_M_RANGE, 23, "%lld is not between %llu and %llu") \
	CFG_MSG(CFG_M_ZERO, 24, "zero would give it no work at all") \
	CFG_MSG(CFG_M_ENUM, 25, "\"%.40s\" is not one of %s") \
	CFG_MSG(CFG_M_LENGTH, 26, "longer than %zu bytes") \
	CFG_MSG(CFG_M_HASH, 27, "not 64 hexadecimal digits in lower case") \
	CFG_MSG(CFG_M_ADDRESS, 28, "\"%.60s\" is not " CHK_ADDRESS_RULE) \
	CFG_MSG(CFG_M_HOST, 29, "\"%.60s\" is not a host name in lower case without a port") \
	CFG_MSG(CFG_M_PATH, 30, "\"%.60s\" is not a path that starts with '/' and has no query, blank, empty segment, \".\" or \"..\"") \
	CFG_MSG(CFG_M_LIST_LONG, 31, "%zu entries; at most %zu are allowed") \
	CFG_MSG(CFG_M_LIST_TWICE, 32, "lists %.64s twice") \
	CFG_MSG(CFG_M_REFERENCE, 33, "there is no %s named \"%.64s\"") \
	\
	/* 40: one object */ \
	CFG_MSG(CFG_M_MODEL_ONLY, 40, "only a service of kind model has layers") \
	CFG_MSG(CFG_M_DEADLINES, 41, "default_deadline_ms %u is above max_deadline_ms %u") \
	CFG_MSG(CFG_M_KEY_WINDOW, 42, "a key would be forgotten after %u s while its request may run for %u ms") \
	CFG_MSG(CFG_M_LAYER_ORDER, 44, "first_layer %u is above last_layer %u") \
	CFG_MSG(CFG_M_LIMIT_EMPTY, 45, "has no effect: requests_per_s, tokens_per_s and concurrent are all zero") \
	CFG_MSG(CFG_M_LIMIT_TOKENS, 46, "%u is below the %u tokens of a request without max_tokens, so no such request could start") \
	\
	/* 60: the whole set */ \
	CFG_MSG(CFG_M_LAYER_BEYOND, 60, "layer %u lies beyond the last layer %u of service/%s") \
	CFG_MSG(CFG_M_GAP, 61, "no active endpoint holds layers %u to %u") \
	CFG_MSG(CFG_M_GROUP_GAP, 62, "no active endpoint of group %s holds layers %u to %u of service/%s") \
	CFG_MSG(CFG_M_NO_ENDPOINT, 63, "no active endpoint serves it") \
	CFG_MSG(CFG_M_GROUP_EMPTY, 64, "no active endpoint of service/%s is in group %s") \
	CFG_MSG(CFG_M_CHAIN_LONG, 65, "the shortest chain has %u stages; at most %u are allowed") \
	CFG_MSG(CFG_M_ROUTE_OVERLAP, 66, "matches the same host and path as route/%s") \
	CFG_MSG(CFG_M_LIMIT_TWICE, 67, "the same account and service as limit/%s") \
	CFG_MSG(CFG_M_LIMIT_PLAIN, 68, "service/%s is plain and produces no tokens") \
	CFG_MSG(CFG_M_LIMIT_UNREACHABLE, 69, "%u can never be reached: limit/%s, which applies to the same requests, allows %u") \
	CFG_MSG(CFG_M_HASH_TWICE, 70, "the same key as account/%s, so that their callers could not be distinguished") \
	CFG_MSG(CFG_M_ADDRESS_TWICE, 71, "the same address as endpoint/%s of this service")
/* clang-format on */

#define CFG_MSG(id, number, format) id = number,
enum cfg_msg {
	CFG_MSGS
};
#undef CFG_MSG

#define CFG_OBJECTS_MAX 100000

#define CFG_DEADLINE_MAX_MS  3600000
#define CFG_KEY_WINDOW_MAX_S 2592000

/* One entry of the document.  object is NULL if it came from an older set. */
struct cfg_item {
	enum cfg_kind kind;
	const char *name;
	json_t *object;
	size_t fault_count; /* faults found while reading its fields */
};

/* A set under construction. */
struct cfg_build {
	struct cfg_set *set;
	struct cfg_faults *faults;
	struct cfg_item *items; /* by kind, then by name */
	size_t count;
	size_t first[CFG_KIND_COUNT + 1]; /* index in items, by kind */
};

enum cfg_type {
	CFG_T_NAME,
	CFG_T_HOST,
	CFG_T_PATH,
	CFG_T_HASH,
	CFG_T_ADDRESS,
	CFG_T_U32,
	CFG_T_U64,
	CFG_T_BOOL,
	CFG_T_ENUM,
	CFG_T_REFERENCE,
	CFG_T_STATUSES,
	CFG_T_SPLITS,
	CFG_TYPE_COUNT
};

enum cfg_requirement {
	CFG_OPTIONAL,
	CFG_REQUIRED,
	CFG_POSITIVE, /* required; zero has its own message */
};

/* One field of an object: its offset in the structure and allowed values. */
struct cfg_field {
	const char *name;
	enum cfg_type type;
	enum cfg_requirement requirement;
	size_t offset;
	size_t size; /* of a string */
	uint64_t min;
	uint64_t max;
	int64_t default_value; /* if the field is absent */
	const char *const *values;
	enum cfg_kind target; /* of a reference */
};

struct cfg_layout {
	const char *kind;
	size_t size; /* of the object's structure */
	const struct cfg_field *fields;
	size_t count;
};

const struct cfg_layout *cfg_layout(enum cfg_kind kind);
void cfg_read_item(struct cfg_build *build, struct cfg_item *item, void *dst);
void cfg_check_set(struct cfg_build *build);
void cfg_check_coverage(struct cfg_build *build, const bool *affected);
void cfg_check_item(struct cfg_build *build, size_t i);
void cfg_check_limits(struct cfg_build *build);
bool cfg_has_duplicate(const struct cfg_build *build, enum cfg_kind kind,
		       size_t i);
bool cfg_service_is_compatible(struct cfg_build *build,
			       const struct cfg_service *old, size_t service);
bool cfg_read_identity(struct cfg_build *build, json_t *object, size_t i,
		       struct cfg_item *item);
int cfg_item_cmp(const void *a, const void *b);
void **cfg_table(struct cfg_set *set, enum cfg_kind kind, size_t **count);
void *cfg_copy_table(const void *table, size_t count, size_t size);
int cfg_item_index(const struct cfg_build *build, enum cfg_kind kind,
		   const char *name);
bool cfg_fields_valid(const struct cfg_build *build, enum cfg_kind kind,
		      int index);

struct cfg_faults *cfg_faults_new(void);
void cfg_faults_mark_incomplete(struct cfg_faults *faults);
bool cfg_faults_incomplete(const struct cfg_faults *faults);
void cfg_fault(struct cfg_faults *faults, const char *kind, const char *name,
	       const char *field, enum cfg_msg msg, ...);
size_t cfg_msg_list(int *numbers, size_t max);

#endif /* CFG_INT_H */
