#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "set_int.h"

/*
 * The command line of magnoliad: four general options, then one option for each
 * setting.
 */

#define SET_GENERAL_OPTIONS 4
#define SET_TABLE_MAX	    (SET_GENERAL_OPTIONS + 64 + 1)
#define SET_ERRORS_MAX	    20
#define SET_OPTION_MAX	    64

struct set_table {
	void *args[SET_TABLE_MAX];
	char names[64][SET_OPTION_MAX];
	struct arg_file *file;
	struct arg_lit *check;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_str **fields; /* part of args, one per setting */
	struct arg_end *end;
};

static const char *set_program_name(const char *program);
static int set_table_init(struct set_table *table);
static void set_table_free(struct set_table *table);
static void set_process_options(struct set_build *build,
				struct set_table *table);
static void set_read_options(struct set_build *build, struct set_table *table);
static void set_option_errors(struct set_build *build, struct set_table *table);
static json_t *set_option_value(const struct set_field *field,
				const char *text);
static json_t *set_option_list(const char *text);
static bool set_read_file(struct set_build *build, const char *path);

/*
 * Reads the options and the settings file that they name, and checks the
 * settings.  Returns SET_OK and sets *faults to NULL, or returns an error and
 * sets *faults to the list of all faults, unless memory ran out; the caller
 * frees it with flt_free.  Actions SET_HELP and SET_SHOW_VERSION read no
 * settings.
 */
int set_load(int argc, char **argv, struct set_settings *settings,
	     struct flt_list **faults)
{
	struct set_table table = { 0 };
	struct set_build build = { .settings = settings, .source = "option/-" };
	int errors;

	set_defaults(settings);
	*faults = NULL;
	build.faults = flt_new();
	if (!build.faults || set_table_init(&table) < 0) {
		flt_free(build.faults);
		return SET_E_MEMORY;
	}
	errors = arg_parse(argc, argv, table.args);
	if (errors)
		set_option_errors(&build, &table);
	else
		set_process_options(&build, &table);
	set_table_free(&table);
	if (flt_is_incomplete(build.faults)) {
		flt_free(build.faults);
		return SET_E_MEMORY;
	}
	if (flt_count(build.faults)) {
		*faults = build.faults;
		if (build.unsettled == flt_count(build.faults))
			return SET_E_TEXT;
		return build.incomplete && flt_count(build.faults) == 1
			       ? SET_E_READ
			       : SET_E_INVALID;
	}
	flt_free(build.faults);
	return SET_OK;
}

/* Returns the name of a program without its directory. */
static const char *set_program_name(const char *program)
{
	const char *slash = strrchr(program, '/');

	return slash ? slash + 1 : program;
}

/* Prints the usage text, with all options and settings. */
void set_help(FILE *out, const char *program)
{
	struct set_table table = { 0 };

	if (set_table_init(&table) < 0)
		return;
	fprintf(out, "usage: %s --settings FILE [--check] [--SETTING VALUE]\n",
		set_program_name(program));
	fputs("Routes requests of client accounts to endpoints.  An option "
	      "overrides "
	      "the\nsame setting in the file.\n\n",
	      out);
	arg_print_glossary(out, table.args, "  %-34s %s\n");
	set_table_free(&table);
}

/* Prints the name and the version of the program. */
void set_version(FILE *out, const char *program)
{
	fprintf(out, "%s %s\n", set_program_name(program), SET_VERSION);
}

static int set_table_init(struct set_table *table)
{
	size_t i;
	size_t k;

	table->file =
		arg_file0("s", "settings", "FILE", "settings file, as JSON");
	table->check = arg_lit0(NULL, "check", "check the settings and exit");
	table->help = arg_lit0("h", "help", "print this text");
	table->version = arg_lit0(NULL, "version", "print the version");
	table->args[0] = table->file;
	table->args[1] = table->check;
	table->args[2] = table->help;
	table->args[3] = table->version;
	table->fields = (struct arg_str **)&table->args[SET_GENERAL_OPTIONS];
	for (i = 0; i < set_field_count; i++) {
		mag_copy_name(table->names[i], SET_OPTION_MAX,
			      set_fields[i].name);
		for (k = 0; table->names[i][k]; k++) {
			if (table->names[i][k] == '_')
				table->names[i][k] = '-';
		}
		table->fields[i] =
			arg_str0(NULL, table->names[i], set_fields[i].datatype,
				 set_fields[i].help);
	}
	table->end = arg_end(SET_ERRORS_MAX);
	table->args[SET_GENERAL_OPTIONS + set_field_count] = table->end;
	if (arg_nullcheck(table->args) == 0)
		return 0;
	set_table_free(table);
	return -1;
}

static void set_table_free(struct set_table *table)
{
	arg_freetable(table->args, SET_GENERAL_OPTIONS + set_field_count + 1);
}

/* Sets the action and reads file and options, if the syntax is correct. */
static void set_process_options(struct set_build *build,
				struct set_table *table)
{
	struct set_settings *settings = build->settings;
	char source[SET_SOURCE_MAX];
	bool valid = true;

	if (table->help->count || table->version->count) {
		settings->action =
			table->help->count ? SET_HELP : SET_SHOW_VERSION;
		return;
	}
	settings->action = table->check->count ? SET_CHECK : SET_RUN;
	if (table->file->count) {
		snprintf(source, sizeof(source), "settings/%s",
			 table->file->basename[0]);
		build->source = source;
		build->from_file = true;
		valid = set_read_file(build, table->file->filename[0]);
	}
	build->source = "option/-";
	set_read_options(build, table);
	build->source = "settings/-";
	if (valid)
		set_check(build);
}

static void set_read_options(struct set_build *build, struct set_table *table)
{
	size_t i;

	for (i = 0; i < set_field_count; i++) {
		json_t *value;

		if (table->fields[i]->count == 0)
			continue;
		value = set_option_value(&set_fields[i],
					 table->fields[i]->sval[0]);
		if (value)
			set_read_field(build, i, value);
		else
			set_fault(build, set_fields[i].name, SET_M_TYPE,
				  "text in UTF-8");
		json_decref(value);
	}
}

/* Converts the text of an option into the JSON value of the file. */
static json_t *set_option_value(const struct set_field *field, const char *text)
{
	char *end;
	long long n;

	switch (field->type) {
	case SET_T_U32:
	case SET_T_U64:
		errno = 0;
		n = strtoll(text, &end, 10);
		if (errno || end == text || *end)
			return json_string(text);
		return json_integer(n);
	case SET_T_BOOL:
		if (strcmp(text, "true") == 0 || strcmp(text, "false") == 0)
			return json_boolean(text[0] == 't');
		return json_string(text);
	case SET_T_ADDRESSES:
		return set_option_list(text);
	default:
		return json_string(text);
	}
}

static json_t *set_option_list(const char *text)
{
	json_t *list = json_array();

	while (*text) {
		size_t len = strcspn(text, ",");
		json_t *address = json_stringn(text, len);

		json_array_append_new(list, address ? address : json_null());
		text += len;
		text += *text == ',';
	}
	return list;
}

/* Adds the errors reported by argtable, one fault per line. */
static void set_option_errors(struct set_build *build, struct set_table *table)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	char *line;
	char *rest;

	if (!out) {
		flt_mark_incomplete(build->faults);
		return;
	}
	arg_print_errors(out, table->end, "option");
	fclose(out);
	for (line = strtok_r(text, "\n", &rest); line;
	     line = strtok_r(NULL, "\n", &rest))
		set_fault(build, "option", SET_M_OPTION,
			  line + strlen("option: "));
	free(text);
}

/* Returns false and adds a fault if the file is not a readable JSON object. */
static bool set_read_file(struct set_build *build, const char *path)
{
	char *text = malloc(SET_FILE_MAX + 1);
	FILE *file = fopen(path, "r");
	bool valid = false;
	size_t len = 0;

	if (!text)
		flt_mark_incomplete(build->faults);
	else if (file)
		len = fread(text, 1, SET_FILE_MAX + 1, file);
	build->incomplete = !file || ferror(file);
	if (build->incomplete)
		set_fault(build, "file", SET_M_FILE, strerror(errno));
	else if (len > SET_FILE_MAX)
		set_fault(build, "file", SET_M_LARGE, SET_FILE_MAX);
	else if (text)
		valid = set_parse(build, text, len);
	if (file)
		fclose(file);
	free(text);
	return valid;
}
