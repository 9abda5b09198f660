#include <errno.h>
#include <limits.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "chk.h"
#include "eset.h"
#include "jlog.h"

/* A settings file has about a kilobyte. */
#define ESET_FILE_MAX 65536

enum eset_type {
	ESET_TEXT,
	ESET_OPTIONAL_TEXT, /* the same; what is missing is empty */
	ESET_INT,	    /* int */
	ESET_INT64,	    /* int64_t */
	ESET_MS,	    /* milliseconds, stored as int64_t microseconds */
	ESET_OPTIONAL_MS,   /* the same; what is missing keeps its default */
	ESET_S,		    /* seconds, stored as int64_t microseconds */
	ESET_WINDOW_S,	    /* the same, a millisecond or more */
	ESET_NUMBER,	    /* double */
	ESET_FLAG,
};

struct eset_field {
	const char *name;
	enum eset_type type;
	size_t offset;
	size_t size; /* of the buffer of a text */
};

/* Of settings without it. */
#define ESET_WORKER_REPORT_US (1200 * MAG_US_PER_MS)

#define ESET_TEXT_FIELD(member)                                                \
	{                                                                      \
#member, ESET_TEXT, offsetof(struct eset, member),             \
			sizeof(((struct eset *)0)->member)                     \
	}

static const struct eset_field eset_fields[] = {
	ESET_TEXT_FIELD(instance),
	ESET_TEXT_FIELD(data_centre),
	ESET_TEXT_FIELD(address),
	ESET_TEXT_FIELD(callers),
	ESET_TEXT_FIELD(readiness),
	ESET_TEXT_FIELD(store),
	{ "deployment", ESET_OPTIONAL_TEXT, offsetof(struct eset, deployment),
	  sizeof(((struct eset *)0)->deployment) },
	{ "peer_port", ESET_INT, offsetof(struct eset, peer_port), 0 },
	{ "metrics_port", ESET_INT, offsetof(struct eset, metrics_port), 0 },
	{ "store_lease_ms_min", ESET_INT64,
	  offsetof(struct eset, store_lease_ms_min), 0 },
	{ "first_start", ESET_FLAG, offsetof(struct eset, first_start), 0 },
	{ "stop_s", ESET_S, offsetof(struct eset, stop_us), 0 },
	{ "config_apply_ms", ESET_MS, offsetof(struct eset, config_apply_us),
	  0 },
	{ "drain_ms", ESET_MS, offsetof(struct eset, drain_us), 0 },
	{ "keys_stale_ms", ESET_MS, offsetof(struct eset, keys_stale_us), 0 },
	{ "keys_fail_closed", ESET_FLAG,
	  offsetof(struct eset, keys_fail_closed), 0 },
	{ "retry_ratio", ESET_NUMBER, offsetof(struct eset, retry_ratio), 0 },
	{ "retry_window_s", ESET_WINDOW_S,
	  offsetof(struct eset, retry_window_us), 0 },
	{ "retry_slack", ESET_NUMBER, offsetof(struct eset, retry_slack), 0 },
	{ "stall_ms", ESET_MS, offsetof(struct eset, stall_us), 0 },
	{ "open_files", ESET_INT, offsetof(struct eset, open_files), 0 },
	{ "link_mbps", ESET_INT, offsetof(struct eset, link_mbps), 0 },
	{ "worker_report_ms", ESET_OPTIONAL_MS,
	  offsetof(struct eset, worker_report_us), 0 },
};

static int eset_read(const char *path, char *text, size_t size, size_t *len);
static int eset_parse(const char *path, const char *text, size_t len,
		      struct eset *parsed, char *why, int why_size);
static int eset_check_addresses(const struct eset *set, char *why,
				int why_size);
static bool eset_field_equal(const struct eset_field *field,
			     const struct eset *a, const struct eset *b);
static int eset_parse_field(const struct eset_field *field, const json_t *value,
			    struct eset *set);
static int eset_parse_number(const struct eset_field *field,
			     const json_t *value, void *at);

/*
 * Reads and checks a settings file.  Unknown fields are ignored, because a
 * newer platform may add some.  On an error set is unchanged and why says what
 * is wrong: ESET_E_READ if the file can't be read or ends before its object
 * does, as it may still be written, ESET_E_TEXT if it is malformed as one is
 * that is overwritten in place, and ESET_E_BAD if a value can't be right.
 */
int eset_load(const char *path, struct eset *set, char *why, int why_size)
{
	char text[ESET_FILE_MAX + 1];
	struct eset parsed;
	size_t len;
	int rc;

	if (eset_read(path, text, sizeof(text), &len)) {
		snprintf(why, (size_t)why_size, "%s: %s", path,
			 strerror(errno));
		rc = ESET_E_READ;
	} else if (len > ESET_FILE_MAX) {
		snprintf(why, (size_t)why_size, "%s: over %d bytes", path,
			 ESET_FILE_MAX);
		rc = ESET_E_BAD;
	} else {
		rc = eset_parse(path, text, len, &parsed, why, why_size);
	}
	if (rc == ESET_OK)
		*set = parsed;
	else
		jlog_sanitize(why, (unsigned int)why_size, why);
	return rc;
}

/*
 * Puts what may change while the router runs in force: all but its names and
 * addresses, which others know and sockets are bound to.
 */
void eset_update(struct eset *set, const struct eset *loaded)
{
	struct eset former = *set;

	*set = *loaded;
	memcpy(set->instance, former.instance, sizeof(set->instance));
	memcpy(set->data_centre, former.data_centre, sizeof(set->data_centre));
	memcpy(set->address, former.address, sizeof(set->address));
	memcpy(set->callers, former.callers, sizeof(set->callers));
	memcpy(set->readiness, former.readiness, sizeof(set->readiness));
	memcpy(set->store, former.store, sizeof(set->store));
	memcpy(set->deployment, former.deployment, sizeof(set->deployment));
	set->peer_port = former.peer_port;
	set->metrics_port = former.metrics_port;
}

/* Tells whether two settings are the same. */
bool eset_equal(const struct eset *a, const struct eset *b)
{
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(eset_fields); i++) {
		if (!eset_field_equal(&eset_fields[i], a, b))
			return false;
	}
	return true;
}

static bool eset_field_equal(const struct eset_field *field,
			     const struct eset *a, const struct eset *b)
{
	const void *x = (const char *)a + field->offset;
	const void *y = (const char *)b + field->offset;

	switch (field->type) {
	case ESET_TEXT:
	case ESET_OPTIONAL_TEXT:
		return strcmp(x, y) == 0;
	case ESET_FLAG:
		return *(const bool *)x == *(const bool *)y;
	case ESET_INT:
		return *(const int *)x == *(const int *)y;
	case ESET_NUMBER:
		return *(const double *)x == *(const double *)y;
	default:
		return *(const int64_t *)x == *(const int64_t *)y;
	}
}

/* Reads up to size bytes of a file.  Returns -1, with the reason in errno. */
static int eset_read(const char *path, char *text, size_t size, size_t *len)
{
	FILE *file = fopen(path, "re");
	int failed;

	if (!file)
		return -1;
	*len = fread(text, 1, size, file);
	failed = ferror(file) ? errno : 0;
	fclose(file);
	errno = failed;
	return failed ? -1 : 0;
}

static int eset_parse(const char *path, const char *text, size_t len,
		      struct eset *parsed, char *why, int why_size)
{
	json_error_t error = { 0 };
	json_t *root = json_loadb(text, len, 0, &error);
	json_t *value;
	int rc = ESET_OK;
	size_t i;

	*parsed = (struct eset){ .worker_report_us = ESET_WORKER_REPORT_US };
	if (!json_is_object(root)) {
		snprintf(why, (size_t)why_size, "%s: line %d: %s", path,
			 error.line, root ? "no object" : error.text);
		json_decref(root);
		return !root && chk_json_is_cut(&error, text, len)
			       ? ESET_E_READ
			       : ESET_E_TEXT;
	}
	for (i = 0; i < MAG_ARRAY_SIZE(eset_fields) && !rc; i++) {
		value = json_object_get(root, eset_fields[i].name);
		rc = eset_parse_field(&eset_fields[i], value, parsed);
		if (rc && !value)
			rc = ESET_E_TEXT;
		if (rc)
			snprintf(why, (size_t)why_size,
				 "settings: %s: missing or malformed",
				 eset_fields[i].name);
	}
	json_decref(root);
	return rc ? rc : eset_check_addresses(parsed, why, why_size);
}

/*
 * A router whose addresses are not all different would wait for itself.  The
 * metrics may have any: without them it serves.
 */
static int eset_check_addresses(const struct eset *set, char *why, int why_size)
{
	static const char *const names[] = { "callers", "readiness",
					     "peer_port" };
	char addresses[MAG_ARRAY_SIZE(names)][2 * MAG_ADDR_MAX];
	size_t i;
	size_t j;

	mag_copy_name(addresses[0], sizeof(addresses[0]), set->callers);
	mag_copy_name(addresses[1], sizeof(addresses[1]), set->readiness);
	snprintf(addresses[2], sizeof(addresses[2]), "%s:%d", set->address,
		 set->peer_port);
	for (i = 1; i < MAG_ARRAY_SIZE(names); i++) {
		for (j = 0; j < i; j++) {
			if (strcmp(addresses[i], addresses[j]) != 0)
				continue;
			snprintf(why, (size_t)why_size,
				 "settings: %s: same address as %s", names[i],
				 names[j]);
			return ESET_E_BAD;
		}
	}
	return ESET_OK;
}

/* Returns the shortest time within which a change must be known everywhere. */
int64_t eset_bound_us(const struct eset *set)
{
	return set->config_apply_us < set->drain_us ? set->config_apply_us
						    : set->drain_us;
}

static int eset_parse_field(const struct eset_field *field, const json_t *value,
			    struct eset *set)
{
	char *at = (char *)set + field->offset;

	switch (field->type) {
	case ESET_OPTIONAL_TEXT:
		if (!value || json_is_null(value))
			return ESET_OK;
		/* fall through */
	case ESET_TEXT:
		if (!json_is_string(value) || json_string_length(value) == 0 ||
		    json_string_length(value) >= field->size)
			return ESET_E_BAD;
		mag_copy_name(at, field->size, json_string_value(value));
		return ESET_OK;
	case ESET_FLAG:
		if (!json_is_boolean(value))
			return ESET_E_BAD;
		*(bool *)at = json_is_true(value);
		return ESET_OK;
	case ESET_OPTIONAL_MS:
		if (!value || json_is_null(value))
			return ESET_OK;
		return eset_parse_number(field, value, at);
	default:
		return eset_parse_number(field, value, at);
	}
}

static int eset_parse_number(const struct eset_field *field,
			     const json_t *value, void *at)
{
	double number;

	if (!json_is_number(value) || json_number_value(value) < 0 ||
	    json_number_value(value) > INT_MAX)
		return ESET_E_BAD;
	number = json_number_value(value);
	switch (field->type) {
	case ESET_INT:
		*(int *)at = (int)number;
		break;
	case ESET_INT64:
		*(int64_t *)at = (int64_t)number;
		break;
	case ESET_MS:
	case ESET_OPTIONAL_MS:
		*(int64_t *)at = (int64_t)(number * MAG_US_PER_MS);
		break;
	case ESET_WINDOW_S:
		if (number * MAG_US_PER_S < MAG_US_PER_MS)
			return ESET_E_BAD;
		*(int64_t *)at = (int64_t)(number * MAG_US_PER_S);
		break;
	case ESET_S:
		*(int64_t *)at = (int64_t)(number * MAG_US_PER_S);
		break;
	default:
		*(double *)at = number;
		break;
	}
	return ESET_OK;
}
