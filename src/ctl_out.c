#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define CTL_COLUMNS_MAX 24
#define CTL_CELL_MAX	96
#define CTL_BLOCK	16384

static char *ctl_read_all(FILE *in, size_t *len);
static const char *ctl_cell(const json_t *value, char text[CTL_CELL_MAX]);
static void ctl_print_cell(const char *text, size_t width, bool last);
static size_t ctl_columns(const json_t *rows, const char **names);

/*
 * Reads a whole file, or standard input for NULL and "-".  The caller frees it.
 * Returns NULL after a message on standard error if it can't be read or
 * contains a NUL byte.
 */
char *ctl_read_file(const char *path)
{
	bool standard = !path || strcmp(path, "-") == 0;
	FILE *in = standard ? stdin : fopen(path, "r");
	const char *name = standard ? "standard input" : path;
	char *text = NULL;
	size_t len = 0;

	if (in)
		text = ctl_read_all(in, &len);
	if (!text)
		fprintf(stderr, "magctl: %s: cannot be read\n", name);
	if (in && !standard)
		fclose(in);
	if (!text || strlen(text) == len)
		return text;
	/* Otherwise only the text before the NUL byte would be published. */
	fprintf(stderr, "magctl: %s: holds a NUL byte\n", name);
	free(text);
	return NULL;
}

/* Prints the error that made a command fail and returns its exit code. */
enum ctl_exit ctl_report_error(const struct ctl_args *args, enum ctl_exit code,
			       const char *fmt, ...)
{
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (args->json)
		ctl_print_json(json_pack("{s:s, s:i}", "error", text, "exit",
					 (int)code));
	else
		fprintf(stderr, "magctl: %s\n", text);
	return code;
}

/* Returns the exit code for an enum pub_err. */
enum ctl_exit ctl_exit_for_error(int err)
{
	switch (err) {
	case PUB_OK:
		return CTL_DONE;
	case PUB_E_INVALID:
		return CTL_FAULTS;
	case PUB_E_CONFLICT:
	case PUB_E_BASE:
		return CTL_CONFLICT;
	case PUB_E_DOWN:
		return CTL_DOWN;
	case PUB_E_UNKNOWN:
		return CTL_UNKNOWN;
	default:
		return CTL_REFUSED;
	}
}

/* Prints a document on one line and releases it. */
void ctl_print_json(json_t *doc)
{
	json_dumpf(doc, stdout, JSON_COMPACT | JSON_REAL_PRECISION(6));
	putchar('\n');
	json_decref(doc);
}

/* Prints a list of objects as a table: objects as rows, fields as columns. */
void ctl_print_table(const json_t *rows)
{
	const char *names[CTL_COLUMNS_MAX];
	size_t widths[CTL_COLUMNS_MAX];
	size_t columns = ctl_columns(rows, names);
	char text[CTL_CELL_MAX];
	size_t i;
	size_t k;

	for (k = 0; k < columns; k++) {
		widths[k] = strlen(names[k]);
		for (i = 0; i < json_array_size(rows); i++) {
			const json_t *row = json_array_get(rows, i);
			size_t len = strlen(
				ctl_cell(json_object_get(row, names[k]), text));

			if (len > widths[k])
				widths[k] = len;
		}
	}
	for (k = 0; k < columns; k++)
		ctl_print_cell(names[k], widths[k], k + 1 == columns);
	for (i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);

		for (k = 0; k < columns; k++)
			ctl_print_cell(
				ctl_cell(json_object_get(row, names[k]), text),
				widths[k], k + 1 == columns);
	}
}

/* Returns the faults of a set as a JSON list of strings. */
json_t *ctl_fault_list(const struct cfg_faults *faults)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < cfg_fault_count(faults); i++)
		json_array_append_new(list,
				      json_string(cfg_fault_text(faults, i)));
	return list;
}

/* Reads a stream to its end; NULL on failure. */
static char *ctl_read_all(FILE *in, size_t *len)
{
	char *text = NULL;
	char block[CTL_BLOCK];
	FILE *out = open_memstream(&text, len);
	size_t count;

	if (!out)
		return NULL;
	while ((count = fread(block, 1, sizeof(block), in)) > 0)
		fwrite(block, 1, count, out);
	if (fclose(out) == 0 && !ferror(in))
		return text;
	free(text);
	return NULL;
}

/* Pads the cell to the column's width, except for the last one. */
static void ctl_print_cell(const char *text, size_t width, bool last)
{
	if (last)
		puts(text);
	else
		printf("%-*s  ", (int)width, text);
}

static const char *ctl_cell(const json_t *value, char text[CTL_CELL_MAX])
{
	text[0] = '\0';
	if (json_is_string(value))
		snprintf(text, CTL_CELL_MAX, "%s", json_string_value(value));
	else if (json_is_integer(value))
		snprintf(text, CTL_CELL_MAX, "%lld",
			 (long long)json_integer_value(value));
	else if (json_is_real(value))
		snprintf(text, CTL_CELL_MAX, "%.1f", json_real_value(value));
	else if (json_is_boolean(value))
		snprintf(text, CTL_CELL_MAX, "%s",
			 json_is_true(value) ? "yes" : "no");
	return text;
}

/* Lists the fields of all rows, in order of first occurrence. */
static size_t ctl_columns(const json_t *rows, const char **names)
{
	size_t count = 0;
	const char *key;
	json_t *value;
	size_t i;
	size_t k;

	for (i = 0; i < json_array_size(rows); i++) {
		json_object_foreach (json_array_get(rows, i), key, value) {
			for (k = 0; k < count; k++) {
				if (strcmp(names[k], key) == 0)
					break;
			}
			if (k == count && count < CTL_COLUMNS_MAX)
				names[count++] = key;
		}
	}
	return count;
}
