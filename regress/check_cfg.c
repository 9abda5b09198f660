#include <dirent.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "cfg_int.h"
#include "check_doc.h"
#include "check_msgs.h"
#include "script.h"

/*
 * Tests of the validator and of the lookups in a set.  base.json is a valid
 * set, which a script edits, validates with "check" and then queries:
 *	add OBJECT | change KIND/NAME FIELDS | drop KIND/NAME
 *	text DOCUMENT (replaces the set; @ stands for a NUL byte)
 *	many N (adds N empty objects)
 *	check
 *	route HOST PATH ACCOUNT | key HASH | find KIND NAME (in a valid set)
 */

#define CHECK_DIR "regress/cfg"

struct run {
	json_t *doc;
	char *text; /* if not NULL, checked instead of doc */
	struct cfg_set *set;
	FILE *out;
};

static void add_empty_objects(struct run *run, int count)
{
	json_t *list = json_object_get(run->doc, "objects");

	while (count-- > 0)
		json_array_append_new(list, json_object());
}

/* Replaces the set by a copy, so that the lookups also test cfg_copy. */
static void replace_by_copy(struct run *run)
{
	struct cfg_set *copy;

	if (!run->set)
		return;
	assert_int_equal(cfg_copy(run->set, &copy), CFG_OK);
	cfg_free(run->set);
	run->set = copy;
}

static void check_set(struct run *run)
{
	char *text = run->text ? strdup(run->text) : json_dumps(run->doc, 0);
	size_t len = strlen(text);
	char *nul;
	struct cfg_faults *faults;
	int err;
	size_t i;

	while (run->text && (nul = memchr(text, '@', len)))
		*nul = '\0';
	cfg_free(run->set);
	err = cfg_parse(text, len, &run->set, &faults);
	fprintf(run->out, "%s\n",
		err == CFG_OK	       ? "ok"
		: err == CFG_E_SYNTAX  ? "syntax"
		: err == CFG_E_INVALID ? "invalid"
				       : "memory");
	for (i = 0; i < cfg_fault_count(faults); i++)
		fprintf(run->out, "  %s\n", cfg_fault_text(faults, i));
	cfg_faults_free(faults);
	free(text);
	replace_by_copy(run);
}

static void run_lookup(struct run *run, const char *what, const char *rest)
{
	char a[128] = "";
	char b[128] = "";
	char c[128] = "";
	int i;
	int k;

	if (!run->set)
		return;
	sscanf(rest, "%127s %127s %127s", a, b, c);
	if (strcmp(what, "key") == 0) {
		i = cfg_find_account_by_key(run->set, a);
		fprintf(run->out, "%s\n",
			i < 0 ? "none" : run->set->accounts[i].name);
	} else if (strcmp(what, "find") == 0) {
		i = a[0] == 's' ? cfg_find_service(run->set, b)
				: cfg_find_endpoint(run->set, b);
		fprintf(run->out, "%d\n", i);
	} else {
		i = cfg_find_route(run->set, strcmp(a, "-") == 0 ? "" : a, b);
		for (k = 0; k < (int)run->set->account_count; k++) {
			if (strcmp(run->set->accounts[k].name, c) == 0)
				break;
		}
		fprintf(run->out, "%s %s\n",
			i < 0 ? "none" : run->set->routes[i].name,
			i < 0 ? "-" : cfg_route_group(run->set, i, k));
	}
}

static void run_command(struct run *run, char *line)
{
	char *rest = strchr(line, ' ');

	rest = rest ? (*rest = '\0', rest + 1) : line + strlen(line);
	if (doc_edit(run->doc, line, rest))
		return;
	if (strcmp(line, "text") == 0) {
		free(run->text);
		run->text = strdup(rest);
	} else if (strcmp(line, "many") == 0) {
		add_empty_objects(run, atoi(rest));
	} else if (strcmp(line, "check") == 0) {
		check_set(run);
	} else {
		run_lookup(run, line, rest);
	}
}

static void driver(FILE *in, FILE *out)
{
	struct run run = { .out = out };
	char *line = NULL;
	size_t capacity = 0;

	run.doc = json_load_file(CHECK_DIR "/base.json", 0, NULL);
	assert_non_null(run.doc);
	while (getline(&line, &capacity, in) > 0) {
		line[strcspn(line, "\n")] = '\0';
		if (line[0] && line[0] != '#')
			run_command(&run, line);
	}
	free(line);
	free(run.text);
	cfg_free(run.set);
	json_decref(run.doc);
}

static void every_message_is_triggered(void **state)
{
	int numbers[MSGS_MAX];

	(void)state;
	check_msgs(CHECK_DIR, numbers, cfg_msg_list(numbers, MSGS_MAX));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_message_is_triggered),
	};
	int failed = script_main(CHECK_DIR, driver);

	return failed + cmocka_run_group_tests(tests, NULL, NULL);
}
