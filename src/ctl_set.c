#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ctl.h"

#define CTL_HISTORY_COUNT 20

static int ctl_load(const struct ctl_args *args, uint64_t wanted, char **text,
		    uint64_t *revision);
static enum ctl_exit ctl_print_diff(const struct ctl_args *args,
				    uint64_t revision, json_t *difference);
static enum ctl_exit ctl_print_object(const struct ctl_args *args,
				      const char *text);
static void ctl_print_change(const struct pub_change *change);
static json_t *ctl_change_json(const struct pub_change *change);

/* magctl check: validates a whole set and lists every fault. */
enum ctl_exit ctl_check(const struct ctl_args *args)
{
	char *text = ctl_read_file(args->value[CTL_OPT_FILE]);
	struct cfg_faults *faults;
	struct cfg_set *set;
	size_t i;
	int err;

	if (!text)
		return CTL_USAGE;
	err = cfg_parse(text, strlen(text), &set, &faults);
	free(text);
	if (args->json) {
		ctl_print_json(json_pack("{s:b, s:o}", "passes", err == CFG_OK,
					 "faults", ctl_fault_list(faults)));
	} else if (err == CFG_OK) {
		printf("passes: %zu services, %zu accounts, %zu routes, "
		       "%zu limits, %zu endpoints\n",
		       set->service_count, set->account_count, set->route_count,
		       set->limit_count, set->endpoint_count);
	}
	for (i = 0; !args->json && i < cfg_fault_count(faults); i++)
		printf("%s\n", cfg_fault_text(faults, i));
	cfg_faults_free(faults);
	cfg_free(set);
	return err == CFG_OK ? CTL_DONE : CTL_FAULTS;
}

/* magctl diff: prints what applying a file would change. */
enum ctl_exit ctl_diff(const struct ctl_args *args)
{
	uint64_t revision = 0;
	json_t *difference;
	char *text;
	char *current;
	int err;

	if (!ctl_number(args, CTL_OPT_REVISION, PUB_REVISION_MAX, &revision))
		return CTL_USAGE;
	text = ctl_read_file(args->value[CTL_OPT_FILE]);
	if (!text)
		return CTL_USAGE;
	err = ctl_load(args, revision, &current, &revision);
	if (err == PUB_E_ABSENT) {
		current = strdup("{\"objects\":[]}");
		err = PUB_OK;
	}
	difference = err == PUB_OK ? pub_diff(current, text) : NULL;
	free(current);
	free(text);
	if (err != PUB_OK)
		return ctl_report_error(args, ctl_exit_for_error(err), "%s",
					pub_err_text((enum pub_err)err));
	if (!difference)
		return ctl_report_error(
			args, CTL_FAULTS,
			"not a set of objects; magctl check lists why");
	return ctl_print_diff(args, revision, difference);
}

/* magctl get: prints the set in force in the form that apply reads. */
enum ctl_exit ctl_get(const struct ctl_args *args)
{
	uint64_t revision = 0;
	enum ctl_exit code = CTL_DONE;
	char *text;
	int err;

	if (!ctl_number(args, CTL_OPT_REVISION, PUB_REVISION_MAX, &revision))
		return CTL_USAGE;
	err = ctl_load(args, revision, &text, &revision);
	if (err != PUB_OK)
		return ctl_report_error(args, ctl_exit_for_error(err), "%s",
					pub_err_text((enum pub_err)err));
	if (args->value[CTL_OPT_OBJECT])
		code = ctl_print_object(args, text);
	else
		fputs(text, stdout);
	free(text);
	return code;
}

/* magctl history: lists the stored changes, newest first. */
enum ctl_exit ctl_history(const struct ctl_args *args)
{
	struct pub_change changes[PUB_RETAINED_REVISIONS];
	uint64_t max = CTL_HISTORY_COUNT;
	struct ctl_store store;
	json_t *list;
	size_t count;
	size_t i;
	int err;

	if (!ctl_number(args, CTL_OPT_COUNT, PUB_RETAINED_REVISIONS, &max))
		return CTL_USAGE;
	if (!ctl_store_open(&store, args))
		return CTL_DOWN;
	err = pub_history(store.pub, args->deadline_us, changes, max, &count);
	ctl_store_close(&store);
	if (err != PUB_OK)
		return ctl_report_error(args, ctl_exit_for_error(err), "%s",
					pub_err_text((enum pub_err)err));
	list = json_array();
	for (i = 0; i < count; i++) {
		json_array_append_new(list, ctl_change_json(&changes[i]));
		if (!args->json)
			ctl_print_change(&changes[i]);
	}
	if (args->json)
		ctl_print_json(json_pack("{s:O}", "changes", list));
	json_decref(list);
	return CTL_DONE;
}

/* Reads the set of a revision, or the one in force if wanted is 0. */
static int ctl_load(const struct ctl_args *args, uint64_t wanted, char **text,
		    uint64_t *revision)
{
	struct ctl_store store;
	int err = PUB_OK;

	*text = NULL;
	*revision = wanted;
	if (!ctl_store_open(&store, args))
		return PUB_E_MEMORY;
	if (!wanted)
		err = pub_read(store.pub, args->deadline_us, text, revision);
	free(*text);
	*text = NULL;
	/*
	 * Reads it again in sorted order, which is easier for people; the
	 * chunks are in the cache by now.
	 */
	if (err == PUB_OK)
		err = pub_read_past(store.pub, args->deadline_us, *revision,
				    text);
	ctl_store_close(&store);
	return err;
}

static enum ctl_exit ctl_print_diff(const struct ctl_args *args,
				    uint64_t revision, json_t *difference)
{
	bool same = json_array_size(difference) == 0;

	if (args->json)
		ctl_print_json(json_pack("{s:I, s:O}", "revision",
					 (json_int_t)revision, "difference",
					 difference));
	else
		pub_diff_print(difference, stdout);
	json_decref(difference);
	return same ? CTL_DONE : CTL_DIFFERS;
}

static enum ctl_exit ctl_print_object(const struct ctl_args *args,
				      const char *text)
{
	const char *wanted = args->value[CTL_OPT_OBJECT];
	json_t *doc = json_loads(text, 0, NULL);
	json_t *list = json_object_get(doc, "objects");
	char id[2 * MAG_NAME_MAX];
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		json_t *o = json_array_get(list, i);

		snprintf(id, sizeof(id), "%s/%s",
			 json_string_value(json_object_get(o, "kind")),
			 json_string_value(json_object_get(o, "name")));
		if (strcmp(id, wanted) == 0) {
			ctl_print_json(json_incref(o));
			json_decref(doc);
			return CTL_DONE;
		}
	}
	json_decref(doc);
	return ctl_report_error(args, CTL_REFUSED, "there is no %s", wanted);
}

static void ctl_print_change(const struct pub_change *change)
{
	time_t seconds = change->time_ms / 1000;
	char stamp[32];
	struct tm utc;

	gmtime_r(&seconds, &utc);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%SZ", &utc);
	printf("%llu %s %s %s%s%s\n", (unsigned long long)change->revision,
	       stamp, change->author, change->id, change->note[0] ? " " : "",
	       change->note);
}

static json_t *ctl_change_json(const struct pub_change *change)
{
	return json_pack("{s:I, s:I, s:s, s:s, s:s}", "revision",
			 (json_int_t)change->revision, "time_ms",
			 (json_int_t)change->time_ms, "operator",
			 change->author, "id", change->id, "note",
			 change->note);
}
