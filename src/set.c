#include <string.h>

#include "set_int.h"

/* Parses the settings file and checks the settings as a whole. */

static void set_check_addresses(struct set_build *build);

/*
 * Parses the text of a settings file into build->settings and adds all its
 * faults to the list.  Returns false if the text is not a JSON object.
 */
bool set_parse(struct set_build *build, const char *text, size_t len)
{
	json_error_t error = { 0 };
	json_t *doc = chk_json(text, len, &error);
	const char *key;
	json_t *value;
	size_t i;

	if (!doc) {
		build->incomplete = chk_json_is_cut(&error, text, len);
		build->unsettled += !build->incomplete;
		set_fault(build, "file", SET_M_SYNTAX, error.line, error.text);
		return false;
	}
	if (!json_is_object(doc)) {
		build->unsettled++;
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
			set_read_field(build, i, value);
	}
	json_decref(doc);
	return true;
}

/* Checks the settings as a whole, after the file and options are read. */
void set_check(struct set_build *build)
{
	size_t i;

	for (i = 0; i < set_field_count; i++) {
		if (!set_fields[i].required ||
		    (build->given & (UINT64_C(1) << i)))
			continue;
		build->unsettled += build->from_file;
		set_fault(build, set_fields[i].name, SET_M_MISSING);
	}
	set_check_addresses(build);
}

/*
 * Reports listeners that share an address: the second would fail at start,
 * when the first has already accepted callers.
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
