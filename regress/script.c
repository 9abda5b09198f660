#include <dirent.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "script.h"
#include "mag.h"

#define SCRIPT_TESTS_MAX 512
#define SCRIPT_PATH_MAX	 512

static script_driver_fn script_driver;

static char *script_read(const char *path);
static void script_test(void **state);
static int script_collect(const char *dir, char **paths, size_t max);

/*
 * Runs the driver over each script of a directory, whose path is relative to
 * the root of the repository.  Returns the number of failed tests.
 */
int script_main(const char *dir, script_driver_fn driver)
{
	static struct CMUnitTest tests[SCRIPT_TESTS_MAX];
	static char *paths[SCRIPT_TESTS_MAX];
	int count = script_collect(dir, paths, SCRIPT_TESTS_MAX);
	int i;

	script_driver = driver;
	for (i = 0; i < count; i++) {
		tests[i].name = paths[i];
		tests[i].test_func = script_test;
		tests[i].initial_state = paths[i];
	}
	return _cmocka_run_group_tests(dir, tests, (size_t)count, NULL, NULL);
}

/* Runs one script and compares its output with the expected output. */
static void script_test(void **state)
{
	char out_path[SCRIPT_PATH_MAX];
	char *in_path = *state;
	char *expected;
	char *text = NULL;
	size_t len = 0;
	FILE *in = fopen(in_path, "r");
	FILE *out = open_memstream(&text, &len);

	assert_non_null(in);
	assert_non_null(out);
	script_driver(in, out);
	fclose(in);
	fclose(out);
	snprintf(out_path, sizeof(out_path), "%.*s.out",
		 (int)strlen(in_path) - 3, in_path);
	if (getenv("SCRIPT_WRITE")) {
		out = fopen(out_path, "w");
		assert_non_null(out);
		fputs(text, out);
		fclose(out);
	}
	expected = script_read(out_path);
	assert_string_equal(text, expected ? expected : "");
	free(expected);
	free(text);
}

/* Returns the contents of a file, or NULL if it cannot be opened. */
static char *script_read(const char *path)
{
	char *text = NULL;
	size_t size = 0;
	FILE *file = fopen(path, "r");

	if (!file)
		return NULL;
	if (getdelim(&text, &size, '\0', file) < 0) {
		free(text);
		text = strdup("");
	}
	fclose(file);
	return text;
}

/* Lists the scripts of a directory in alphabetical order. */
static int script_collect(const char *dir, char **paths, size_t max)
{
	struct dirent **names;
	int found = scandir(dir, &names, NULL, alphasort);
	int count = 0;
	int i;

	for (i = 0; i < found; i++) {
		size_t len = strlen(names[i]->d_name);

		if (len > 3 && (size_t)count < max &&
		    strcmp(names[i]->d_name + len - 3, ".in") == 0 &&
		    asprintf(&paths[count], "%s/%s", dir, names[i]->d_name) > 0)
			count++;
		free(names[i]);
	}
	if (found >= 0)
		free(names);
	return count;
}
