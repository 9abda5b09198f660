#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cfg_int.h"
#include "chk.h"

/* State for reading one field. */
struct cfg_reader {
	struct cfg_build *build;
	const struct cfg_item *item;
	const struct cfg_field *field;
	json_t *value;
	char *dst; /* the object's structure */
};

typedef void (*cfg_read_fn)(struct cfg_reader *r);

static void cfg_read_field(struct cfg_reader *r);
static void cfg_check_unknown(struct cfg_build *build, struct cfg_item *item);
static void cfg_set_default(struct cfg_reader *r);
static const char *cfg_get_string(struct cfg_reader *r);
static void cfg_read_name(struct cfg_reader *r);
static void cfg_read_host(struct cfg_reader *r);
static void cfg_read_path(struct cfg_reader *r);
static void cfg_read_hash(struct cfg_reader *r);
static void cfg_read_address(struct cfg_reader *r);
static void cfg_read_number(struct cfg_reader *r);
static void cfg_read_bool(struct cfg_reader *r);
static void cfg_read_enum(struct cfg_reader *r);
static void cfg_read_reference(struct cfg_reader *r);
static void cfg_read_statuses(struct cfg_reader *r);
static void cfg_read_splits(struct cfg_reader *r);
static bool cfg_read_split(struct cfg_reader *r, json_t *entry,
			   struct cfg_split *split);
static bool cfg_host_ok(const char *host);
static bool cfg_path_ok(const char *path);
static bool cfg_segment_ok(const char *segment);

static const cfg_read_fn read_fns[CFG_TYPE_COUNT] = {
	[CFG_T_NAME] = cfg_read_name,
	[CFG_T_HOST] = cfg_read_host,
	[CFG_T_PATH] = cfg_read_path,
	[CFG_T_HASH] = cfg_read_hash,
	[CFG_T_ADDRESS] = cfg_read_address,
	[CFG_T_U32] = cfg_read_number,
	[CFG_T_U64] = cfg_read_number,
	[CFG_T_BOOL] = cfg_read_bool,
	[CFG_T_ENUM] = cfg_read_enum,
	[CFG_T_REFERENCE] = cfg_read_reference,
	[CFG_T_STATUSES] = cfg_read_statuses,
	[CFG_T_SPLITS] = cfg_read_splits,
};

#define READ_FAULT(r, msg, ...)                                                \
	cfg_fault((r)->build->faults, cfg_layout((r)->item->kind)->kind,       \
		  (r)->item->name, (r)->field->name, (msg), ##__VA_ARGS__)

/*
 * Reads all fields of one object into its structure and adds their faults to
 * the list.  The name is the first member of every structure.
 */
void cfg_read_item(struct cfg_build *build, struct cfg_item *item, void *dst)
{
	const struct cfg_layout *layout = cfg_layout(item->kind);
	size_t before = cfg_fault_count(build->faults);
	size_t i;

	mag_copy_name(dst, MAG_NAME_MAX, item->name);
	for (i = 0; i < layout->count; i++) {
		const struct cfg_field *field = &layout->fields[i];
		struct cfg_reader r = {
			build, item, field,
			json_object_get(item->object, field->name), dst
		};

		cfg_read_field(&r);
	}
	cfg_check_unknown(build, item);
	item->fault_count = cfg_fault_count(build->faults) - before;
}

static void cfg_read_field(struct cfg_reader *r)
{
	cfg_set_default(r);
	if (r->value)
		read_fns[r->field->type](r);
	else if (r->field->requirement != CFG_OPTIONAL)
		READ_FAULT(r, CFG_M_MISSING);
}

/* Refuses unknown fields: a misspelt one would otherwise be ignored. */
static void cfg_check_unknown(struct cfg_build *build, struct cfg_item *item)
{
	const struct cfg_layout *layout = cfg_layout(item->kind);
	const char *key;
	json_t *value;
	size_t i;

	json_object_foreach (item->object, key, value) {
		if (strcmp(key, "kind") == 0 || strcmp(key, "name") == 0)
			continue;
		for (i = 0; i < layout->count; i++) {
			if (strcmp(key, layout->fields[i].name) == 0)
				break;
		}
		if (i == layout->count)
			cfg_fault(build->faults, layout->kind, item->name, key,
				  CFG_M_UNKNOWN, layout->kind);
	}
}

/* Sets a field to the value that it has when it is absent. */
static void cfg_set_default(struct cfg_reader *r)
{
	void *dst = r->dst + r->field->offset;

	switch (r->field->type) {
	case CFG_T_U32:
		*(uint32_t *)dst = (uint32_t)r->field->default_value;
		break;
	case CFG_T_U64:
		*(uint64_t *)dst = (uint64_t)r->field->default_value;
		break;
	case CFG_T_ENUM:
	case CFG_T_REFERENCE:
		*(int *)dst = (int)r->field->default_value;
		break;
	default:
		break;
	}
}

/* Returns the value if it is a string that fits; else adds a fault. */
static const char *cfg_get_string(struct cfg_reader *r)
{
	const char *s = json_string_value(r->value);

	if (!s) {
		READ_FAULT(r, CFG_M_TYPE, "a string");
		return NULL;
	}
	if (strlen(s) >= r->field->size) {
		READ_FAULT(r, CFG_M_LENGTH, r->field->size - 1);
		return NULL;
	}
	return s;
}

/* Reads a group, data centre or accelerator; "" is the same as absent. */
static void cfg_read_name(struct cfg_reader *r)
{
	const char *s = cfg_get_string(r);

	if (!s)
		return;
	if (s[0] == '\0' && r->field->requirement == CFG_OPTIONAL)
		return;
	if (chk_name(s))
		mag_copy_name(r->dst + r->field->offset, r->field->size, s);
	else
		READ_FAULT(r, CFG_M_NAME);
}

static void cfg_read_host(struct cfg_reader *r)
{
	const char *s = cfg_get_string(r);

	if (s && cfg_host_ok(s))
		mag_copy_name(r->dst + r->field->offset, r->field->size, s);
	else if (s)
		READ_FAULT(r, CFG_M_HOST, s);
}

/* Removes a trailing slash, so that "/a" and "/a/" are the same path. */
static void cfg_read_path(struct cfg_reader *r)
{
	char *path = r->dst + r->field->offset;
	const char *s = cfg_get_string(r);
	size_t len;

	if (!s)
		return;
	if (!cfg_path_ok(s)) {
		READ_FAULT(r, CFG_M_PATH, s);
		return;
	}
	mag_copy_name(path, r->field->size, s);
	len = strlen(path);
	if (len > 1 && path[len - 1] == '/')
		path[len - 1] = '\0';
}

static void cfg_read_hash(struct cfg_reader *r)
{
	const char *s = cfg_get_string(r);

	if (!s)
		return;
	if (strlen(s) == MAG_DIGEST_HEX - 1 &&
	    strspn(s, "0123456789abcdef") == MAG_DIGEST_HEX - 1)
		mag_copy_name(r->dst + r->field->offset, r->field->size, s);
	else
		READ_FAULT(r, CFG_M_HASH);
}

static void cfg_read_address(struct cfg_reader *r)
{
	const char *s = cfg_get_string(r);

	if (s && chk_address(s))
		mag_copy_name(r->dst + r->field->offset, r->field->size, s);
	else if (s)
		READ_FAULT(r, CFG_M_ADDRESS, s);
}

static void cfg_read_number(struct cfg_reader *r)
{
	void *dst = r->dst + r->field->offset;
	json_int_t n = json_integer_value(r->value);

	if (!json_is_integer(r->value)) {
		READ_FAULT(r, CFG_M_TYPE, "a whole number");
		return;
	}
	if (n == 0 && r->field->requirement == CFG_POSITIVE) {
		READ_FAULT(r, CFG_M_ZERO);
		return;
	}
	if (n < 0 || (uint64_t)n < r->field->min ||
	    (uint64_t)n > r->field->max) {
		READ_FAULT(r, CFG_M_RANGE, (long long)n,
			   (unsigned long long)r->field->min,
			   (unsigned long long)r->field->max);
		return;
	}
	if (r->field->type == CFG_T_U64)
		*(uint64_t *)dst = (uint64_t)n;
	else
		*(uint32_t *)dst = (uint32_t)n;
}

static void cfg_read_bool(struct cfg_reader *r)
{
	if (json_is_boolean(r->value))
		*(bool *)(r->dst + r->field->offset) = json_is_true(r->value);
	else
		READ_FAULT(r, CFG_M_TYPE, "true or false");
}

static void cfg_read_enum(struct cfg_reader *r)
{
	const char *s = json_string_value(r->value);
	char list[128] = "";
	size_t used = 0;
	int i;

	if (!s) {
		READ_FAULT(r, CFG_M_TYPE, "a string");
		return;
	}
	for (i = 0; r->field->values[i]; i++) {
		if (strcmp(r->field->values[i], s) == 0) {
			*(int *)(r->dst + r->field->offset) = i;
			return;
		}
		used += (size_t)snprintf(list + used, sizeof(list) - used,
					 "%s%s", i ? ", " : "",
					 r->field->values[i]);
	}
	READ_FAULT(r, CFG_M_ENUM, s, list);
}

static void cfg_read_reference(struct cfg_reader *r)
{
	const char *s = json_string_value(r->value);
	int index;

	if (!s) {
		READ_FAULT(r, CFG_M_TYPE, "a string");
		return;
	}
	index = cfg_item_index(r->build, r->field->target, s);
	if (index < 0)
		READ_FAULT(r, CFG_M_REFERENCE,
			   cfg_layout(r->field->target)->kind, s);
	*(int *)(r->dst + r->field->offset) = index;
}

/* Reads the statuses by which a service proves that it started nothing. */
static void cfg_read_statuses(struct cfg_reader *r)
{
	int *list = (int *)(r->dst + r->field->offset);
	size_t count = json_array_size(r->value);
	char text[32];
	size_t i;
	size_t k;

	if (!json_is_array(r->value)) {
		READ_FAULT(r, CFG_M_TYPE, "a list of HTTP statuses");
		return;
	}
	if (count > CFG_NOT_BEGUN_MAX) {
		READ_FAULT(r, CFG_M_LIST_LONG, count,
			   (size_t)CFG_NOT_BEGUN_MAX);
		return;
	}
	for (i = 0; i < count; i++) {
		json_t *entry = json_array_get(r->value, i);
		json_int_t n = json_integer_value(entry);

		if (!json_is_integer(entry)) {
			READ_FAULT(r, CFG_M_TYPE, "a list of HTTP statuses");
			return;
		}
		if (n < (json_int_t)r->field->min ||
		    n > (json_int_t)r->field->max) {
			READ_FAULT(r, CFG_M_RANGE, (long long)n,
				   (unsigned long long)r->field->min,
				   (unsigned long long)r->field->max);
			return;
		}
		for (k = 0; k < i; k++) {
			if (list[k] != (int)n)
				continue;
			snprintf(text, sizeof(text), "%d", (int)n);
			READ_FAULT(r, CFG_M_LIST_TWICE, text);
		}
		list[i] = (int)n;
	}
}

/* Reads the accounts that a route sends to another group of endpoints. */
static void cfg_read_splits(struct cfg_reader *r)
{
	struct cfg_route *route = (struct cfg_route *)r->dst;
	size_t count = json_array_size(r->value);
	size_t i;
	size_t k;

	if (!json_is_array(r->value)) {
		READ_FAULT(r, CFG_M_TYPE, "a list of {account, group}");
		return;
	}
	if (count > CFG_SPLIT_MAX) {
		READ_FAULT(r, CFG_M_LIST_LONG, count, (size_t)CFG_SPLIT_MAX);
		return;
	}
	route->splits = calloc(count ? count : 1, sizeof(*route->splits));
	if (!route->splits) {
		cfg_faults_mark_incomplete(r->build->faults);
		return;
	}
	for (i = 0; i < count; i++) {
		struct cfg_split *split = &route->splits[route->split_count];
		json_t *entry = json_array_get(r->value, i);

		if (!cfg_read_split(r, entry, split))
			continue;
		for (k = 0; k < route->split_count; k++) {
			if (route->splits[k].account == split->account)
				READ_FAULT(r, CFG_M_LIST_TWICE,
					   json_string_value(json_object_get(
						   entry, "account")));
		}
		route->split_count++;
	}
}

static bool cfg_read_split(struct cfg_reader *r, json_t *entry,
			   struct cfg_split *split)
{
	const char *account =
		json_string_value(json_object_get(entry, "account"));
	const char *group = json_string_value(json_object_get(entry, "group"));

	if (!account || !group || json_object_size(entry) != 2) {
		READ_FAULT(r, CFG_M_TYPE, "a list of {account, group}");
		return false;
	}
	if (!chk_name(group)) {
		READ_FAULT(r, CFG_M_NAME);
		return false;
	}
	split->account = cfg_item_index(r->build, CFG_ACCOUNT, account);
	if (split->account < 0) {
		READ_FAULT(r, CFG_M_REFERENCE, "account", account);
		return false;
	}
	mag_copy_name(split->group, sizeof(split->group), group);
	return true;
}

static bool cfg_host_ok(const char *host)
{
	size_t len = strlen(host);
	size_t i;

	for (i = 0; i < len; i++) {
		if (islower((unsigned char)host[i]) ||
		    isdigit((unsigned char)host[i]))
			continue;
		if (i == 0 || i + 1 == len || !strchr("-.", host[i]))
			return false;
	}
	return true;
}

static bool cfg_path_ok(const char *path)
{
	size_t i;

	if (path[0] != '/')
		return false;
	for (i = 0; path[i]; i++) {
		if (!isgraph((unsigned char)path[i]) || strchr("?#", path[i]))
			return false;
		if (path[i] == '/' && !cfg_segment_ok(path + i + 1))
			return false;
	}
	return true;
}

/*
 * A request's path is normalised before the route lookup, so that a route with
 * an empty segment, "." or ".." would never match.
 */
static bool cfg_segment_ok(const char *segment)
{
	size_t len = strcspn(segment, "/");

	if (len == 0)
		return segment[0] == '\0';
	return !(len <= 2 && strspn(segment, ".") >= len);
}
