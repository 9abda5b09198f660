#include <string.h>

#include "set_int.h"

/* The settings file, and the checks over all settings. */

static void set_check_addresses(struct set_build *build);

/*
 * Reads the text of a settings file into the settings that are being made
 * and lists all faults of it.  Returns false if it holds no settings at all.
 */
bool set_parse(struct set_build *build, const char *text, size_t len)
{
	json_error_t error;
	json_t *doc = chk_json(text, len, &error);
	const char *key;
	json_t *value;
	size_t i;

	if (!doc) {
		set_fault(build, "file", SET_M_SYNTAX, error.line, error.text);
		return false;
	}
	if (!json_is_object(doc)) {
		set_fault(build, "file", SET_M_DOCUMENT);
		json_decref(doc);
		return false;
	}
	json_object_foreach (doc, key, value) {
		for (i = 0; i < set_field_count; i++) {
			if (strcmp(set_fields[i].name, key) == 0)
				break;
		}
		if (i == set_field_count)
			set_fault(build, key, SET_M_UNKNOWN);
		else
			set_read(build, i, value);
	}
	json_decref(doc);
	return true;
}

/* Checks what no single setting shows, once file and options are read. */
void set_check(struct set_build *build)
{
	size_t i;

	for (i = 0; i < set_field_count; i++) {
		if (set_fields[i].required &&
		    !(build->given & (UINT64_C(1) << i)))
			set_fault(build, set_fields[i].name, SET_M_MISSING);
	}
	set_check_addresses(build);
}

/*
 * Two listeners at one address: the second would fail at start, after the
 * first had already been taking callers.
 */
static void set_check_addresses(struct set_build *build)
{
	const struct set_settings *s = build->settings;
	const char *const names[] = { "listen", "admin", "rpc" };
	const char *const addresses[] = { s->listen, s->admin, s->rpc };
	size_t i;
	size_t k;

	for (i = 1; i < MAG_ARRAY_SIZE(names); i++) {
		for (k = 0; k < i; k++) {
			if (addresses[i][0] &&
			    strcmp(addresses[i], addresses[k]) == 0)
				set_fault(build, names[i], SET_M_SAME_ADDRESS,
					  names[k]);
		}
	}
}
