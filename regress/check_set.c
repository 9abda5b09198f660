#include <dirent.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "check_msgs.h"
#include "script.h"
#include "set_int.h"

/*
 * Tests of the settings file and of the command line.  A script writes a
 * settings file and loads it:
 *	file TEXT (writes TEXT; @ stands for a NUL byte)
 *	fill N (writes {} and N blanks)
 *	load OPTIONS (FILE stands for the path of the settings file)
 */

#define CHECK_DIR "regress/set"
#define ARGS_MAX  64

static void print_list(FILE *out, const char *name,
		       const struct set_addresses *list)
{
	size_t i;

	fprintf(out, "  %s", name);
	for (i = 0; i < list->count; i++)
		fprintf(out, " %s", list->list[i]);
	fputs("\n", out);
}

static void print_settings(FILE *out, const struct set_settings *s)
{
	fprintf(out, "  action %d %s/%s/%s %s %s %s\n", (int)s->action,
		s->cluster, s->data_centre, s->instance, s->listen, s->admin,
		s->rpc);
	print_list(out, "platform", &s->platform);
	print_list(out, "peers", &s->peers);
	fprintf(out, "  threads %u notice %u place %d level %d seed %llu\n",
		s->threads, s->shutdown_notice_ms, s->place, (int)s->log_level,
		(unsigned long long)s->seed);
}

static void load(FILE *out, char *rest, char *path)
{
	char *argv[ARGS_MAX] = { "magnoliad" };
	struct set_settings settings;
	struct flt_list *faults;
	int argc = 1;
	char *word;
	size_t i;
	int err;

	for (word = strtok(rest, " "); word; word = strtok(NULL, " "))
		argv[argc++] = strcmp(word, "FILE") == 0 ? path : word;
	err = set_load(argc, argv, &settings, &faults);
	fprintf(out, "%s\n", err == SET_OK ? "ok" : "refused");
	for (i = 0; i < flt_count(faults); i++)
		fprintf(out, "  %s\n", flt_text(faults, i));
	flt_free(faults);
	if (err == SET_OK && settings.action <= SET_CHECK)
		print_settings(out, &settings);
	else if (settings.action == SET_HELP)
		set_help(out, "magnoliad");
	else if (settings.action == SET_SHOW_VERSION)
		set_version(out, "magnoliad");
}

/* Writes text and blanks to a file; @ in the text becomes a NUL byte. */
static void write_file(const char *path, const char *text, int blanks)
{
	FILE *file = fopen(path, "w");

	assert_non_null(file);
	for (; *text; text++)
		fputc(*text == '@' ? '\0' : *text, file);
	fprintf(file, "%*s", blanks, "");
	fclose(file);
}

static void driver(FILE *in, FILE *out)
{
	char dir[] = "/tmp/check_set.XXXXXX";
	char path[64];
	char *line = NULL;
	size_t capacity = 0;

	assert_non_null(mkdtemp(dir));
	snprintf(path, sizeof(path), "%s/magnoliad.json", dir);
	while (getline(&line, &capacity, in) > 0) {
		line[strcspn(line, "\n")] = '\0';
		if (strncmp(line, "file ", 5) == 0)
			write_file(path, line + 5, 0);
		else if (strncmp(line, "fill ", 5) == 0)
			write_file(path, "{}", (int)strtol(line + 5, NULL, 10));
		else if (strncmp(line, "load ", 5) == 0)
			load(out, line + 5, path);
	}
	free(line);
	unlink(path);
	rmdir(dir);
}

static void every_message_is_triggered(void **state)
{
	int numbers[MSGS_MAX];

	(void)state;
	check_msgs(CHECK_DIR, numbers, set_msg_list(numbers, MSGS_MAX));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_message_is_triggered),
	};
	int failed = script_main(CHECK_DIR, driver);

	return failed + cmocka_run_group_tests(tests, NULL, NULL);
}
