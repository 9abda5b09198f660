#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "chk.h"
#include "clk.h"
#include "ctl.h"

#define CTL_ERRORS_MAX	20
#define CTL_TIMEOUT_MS	10000
#define CTL_TIMEOUT_MAX 3600000

/* Description of one option; without a datatype it has no value. */
struct ctl_option_info {
	const char *name; /* NULL: positional */
	const char *letter;
	const char *datatype;
	const char *help;
	const char *variable; /* environment variable with the default */
};

struct ctl_arg_table {
	void *args[CTL_OPTION_COUNT + 1];
	enum ctl_option options[CTL_OPTION_COUNT];
	size_t count;
	struct arg_end *end;
};

static int ctl_table_make(struct ctl_arg_table *table,
			  const struct ctl_command *command);
static void *ctl_make_arg(enum ctl_option option);
static void ctl_table_free(struct ctl_arg_table *table);
static int ctl_copy_values(const struct ctl_arg_table *table,
			   struct ctl_args *args);
static char *ctl_value(const struct ctl_arg_table *table, size_t i);
static int ctl_check_args(const struct ctl_command *command,
			  struct ctl_args *args);
static int ctl_read_addresses(const char *name, const char *text,
			      struct ctl_addresses *addresses);

static const struct ctl_option_info option_info[CTL_OPTION_COUNT] = {
	[CTL_OPT_FILE] = { NULL, NULL, "FILE",
			   "set of objects; - or none reads "
			   "standard input",
			   NULL },
	[CTL_OPT_OBJECT] = { NULL, NULL, "KIND/NAME", "only this object",
			     NULL },
	[CTL_OPT_PLATFORM] = { "platform", NULL, "IP:PORT,..",
			       "the platform's service", "MAGNOLIA_PLATFORM" },
	[CTL_OPT_ADMIN] = { "admin", NULL, "IP:PORT,..",
			    "admin ports of the instances", "MAGNOLIA_ADMIN" },
	[CTL_OPT_TIMEOUT] = { "timeout-ms", NULL, "MS",
			      "longest wait; 10000 if absent", NULL },
	[CTL_OPT_REVISION] = { "revision", NULL, "N",
			       "this past revision in place of the one in "
			       "force",
			       NULL },
	[CTL_OPT_BASE] = { "base", NULL, "N",
			   "revision that the set was made from; absent: the "
			   "one "
			   "that it names",
			   NULL },
	[CTL_OPT_REPLACE] = { "replace", NULL, NULL,
			      "replace whatever is in force", NULL },
	[CTL_OPT_MERGE] = { "merge", NULL, NULL,
			    "merge with changes to other objects", NULL },
	[CTL_OPT_CHANGE_ID] = { "change-id", NULL, "ID",
				"id of an earlier try that got no answer",
				NULL },
	[CTL_OPT_FLOOR] = { "floor", NULL, "N",
			    "publish above this revision; absent: the highest "
			    "that an instance holds",
			    NULL },
	[CTL_OPT_OPERATOR] = { "operator", NULL, "NAME",
			       "operator who makes the change", "USER" },
	[CTL_OPT_NOTE] = { "note", NULL, "TEXT", "reason for the change",
			   NULL },
	[CTL_OPT_WAIT] = { "wait", "w", NULL,
			   "wait until all instances hold the revision", NULL },
	[CTL_OPT_COUNT] = { "count", "n", "N",
			    "maximum number of changes to list", NULL },
	[CTL_OPT_SERVICE] = { "service", "s", "NAME", "service to explain",
			      NULL },
	[CTL_OPT_JSON] = { "json", "j", NULL, "write JSON", NULL },
	[CTL_OPT_HELP] = { "help", "h", NULL, "write this text", NULL },
};

/*
 * Parses the command line of one command.  Returns 0, or -1 after a message on
 * standard error.
 */
int ctl_read_args(const struct ctl_command *command, int argc, char **argv,
		  struct ctl_args *args)
{
	struct ctl_arg_table table = { 0 };
	int err = -1;

	memset(args, 0, sizeof(*args));
	if (ctl_table_make(&table, command) < 0)
		return -1;
	if (arg_parse(argc, argv, table.args) > 0)
		arg_print_errors(stderr, table.end, command->name);
	else
		err = ctl_copy_values(&table, args);
	ctl_table_free(&table);
	if (err == 0 && !args->value[CTL_OPT_HELP])
		err = ctl_check_args(command, args);
	if (err < 0)
		ctl_free_args(args);
	return err;
}

/* Frees a parsed command line. */
void ctl_free_args(struct ctl_args *args)
{
	size_t i;

	for (i = 0; i < CTL_OPTION_COUNT; i++)
		free(args->value[i]);
	memset(args, 0, sizeof(*args));
}

/* Prints the usage of a command and its options. */
void ctl_help(const struct ctl_command *command, FILE *out)
{
	struct ctl_arg_table table = { 0 };

	if (ctl_table_make(&table, command) < 0)
		return;
	fprintf(out, "usage: magctl %s", command->name);
	arg_print_syntax(out, table.args, "\n");
	fprintf(out, "%s\n\n", command->help);
	arg_print_glossary(out, table.args, "  %-24s %s\n");
	ctl_table_free(&table);
}

/*
 * Parses the numeric value of an option; without the option *number is
 * unchanged.  Returns false, after a message on standard error, if the value is
 * not a number or greater than max.
 */
bool ctl_number(const struct ctl_args *args, enum ctl_option option,
		uint64_t max, uint64_t *number)
{
	const char *text = args->value[option];
	unsigned long long n;
	char *end;

	if (!text)
		return true;
	errno = 0;
	n = strtoull(text, &end, 10);
	if (errno || *end || text[0] < '0' || text[0] > '9' || n > max) {
		fprintf(stderr, "magctl: --%s: not a number up to %llu\n",
			option_info[option].name, (unsigned long long)max);
		return false;
	}
	*number = n;
	return true;
}

static int ctl_table_make(struct ctl_arg_table *table,
			  const struct ctl_command *command)
{
	int option;

	for (option = 0; option < CTL_OPTION_COUNT; option++) {
		if (!(command->options & CTL_BIT(option)))
			continue;
		table->options[table->count] = (enum ctl_option)option;
		table->args[table->count++] =
			ctl_make_arg((enum ctl_option)option);
	}
	table->end = arg_end(CTL_ERRORS_MAX);
	table->args[table->count] = table->end;
	if (arg_nullcheck(table->args) == 0)
		return 0;
	ctl_table_free(table);
	return -1;
}

static void *ctl_make_arg(enum ctl_option option)
{
	const struct ctl_option_info *e = &option_info[option];

	if (!e->datatype)
		return arg_lit0(e->letter, e->name, e->help);
	return arg_str0(e->letter, e->name, e->datatype, e->help);
}

static void ctl_table_free(struct ctl_arg_table *table)
{
	arg_freetable(table->args, table->count + 1);
}

static int ctl_copy_values(const struct ctl_arg_table *table,
			   struct ctl_args *args)
{
	size_t i;

	for (i = 0; i < table->count; i++) {
		enum ctl_option option = table->options[i];
		const char *variable = option_info[option].variable;
		const char *fallback = variable ? getenv(variable) : NULL;
		char *value = ctl_value(table, i);

		if (!value && fallback)
			value = strdup(fallback);
		args->value[option] = value;
	}
	args->json = args->value[CTL_OPT_JSON] != NULL;
	return 0;
}

/* Returns a copy of the value of an option, NULL if it was not given. */
static char *ctl_value(const struct ctl_arg_table *table, size_t i)
{
	const struct arg_lit *lit = table->args[i];
	const struct arg_str *str = table->args[i];

	if (!option_info[table->options[i]].datatype)
		return lit->count ? strdup("") : NULL;
	return str->count ? strdup(str->sval[0]) : NULL;
}

/* Checks the options that several commands share, and fills in addresses. */
static int ctl_check_args(const struct ctl_command *command,
			  struct ctl_args *args)
{
	uint64_t timeout_ms = CTL_TIMEOUT_MS;

	if (!ctl_number(args, CTL_OPT_TIMEOUT, CTL_TIMEOUT_MAX, &timeout_ms))
		return -1;
	args->deadline_us = clk_now_us() + (int64_t)timeout_ms * MAG_US_PER_MS;
	if (ctl_read_addresses("platform", args->value[CTL_OPT_PLATFORM],
			       &args->platform) < 0 ||
	    ctl_read_addresses("admin", args->value[CTL_OPT_ADMIN],
			       &args->admin) < 0)
		return -1;
	if ((command->options & CTL_BIT(CTL_OPT_PLATFORM)) &&
	    !(command->run == ctl_status) && args->platform.count == 0) {
		fputs("magctl: --platform or MAGNOLIA_PLATFORM is needed\n",
		      stderr);
		return -1;
	}
	if ((command->options & CTL_BIT(CTL_OPT_ADMIN)) &&
	    (command->run != ctl_apply || args->value[CTL_OPT_WAIT]) &&
	    args->admin.count == 0) {
		fputs("magctl: --admin or MAGNOLIA_ADMIN is needed\n", stderr);
		return -1;
	}
	return 0;
}

static int ctl_read_addresses(const char *name, const char *text,
			      struct ctl_addresses *addresses)
{
	while (text && *text) {
		size_t len = strcspn(text, ",");
		char *address = addresses->list[addresses->count];

		if (addresses->count + 1 == CTL_ADDRESSES_MAX) {
			fprintf(stderr, "magctl: --%s: more than %d\n", name,
				CTL_ADDRESSES_MAX - 1);
			return -1;
		}
		if (len < MAG_ADDR_MAX) {
			memcpy(address, text, len);
			address[len] = '\0';
		}
		if (len >= MAG_ADDR_MAX || !chk_address(address)) {
			fprintf(stderr, "magctl: --%s: %.*s is not %s\n", name,
				(int)len, text, CHK_ADDRESS_RULE);
			return -1;
		}
		addresses->count++;
		text += len;
		text += *text == ',';
	}
	return 0;
}
