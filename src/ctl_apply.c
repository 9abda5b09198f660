#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "chk.h"
#include "clk.h"
#include "ctl.h"

#define CTL_ID_BYTES 16
#define CTL_RETRY_US (200 * MAG_US_PER_MS) /* pause between tries */
#define CTL_POLL_US  (100 * MAG_US_PER_MS)
#define CTL_FLOOR_US (1 * MAG_US_PER_S) /* longest query of instances */

static bool ctl_init_request(const struct ctl_args *args, const char *text,
			     struct pub_request *request);
static bool ctl_init_change(const struct ctl_args *args,
			    struct pub_change *change);
static uint64_t ctl_file_revision(const char *text);
static int ctl_publish(const struct ctl_args *args, struct pub_request *request,
		       struct pub_result *result);
static void ctl_report(const struct pub_request *request, int err,
		       const struct pub_result *result);
static void ctl_report_json(const struct pub_request *request, int err,
			    const struct pub_result *result, int64_t holders);
static enum ctl_exit ctl_wait_for_instances(const struct ctl_args *args,
					    uint64_t revision,
					    int64_t *holders);

/* magctl apply: publishes a whole set, completely or not at all. */
enum ctl_exit ctl_apply(const struct ctl_args *args)
{
	char *text = ctl_read_file(args->value[CTL_OPT_FILE]);
	struct pub_request request;
	struct pub_result result;
	int64_t holders = -1;
	enum ctl_exit code;
	int err;

	if (!text)
		return CTL_USAGE;
	if (!ctl_init_request(args, text, &request)) {
		free(text);
		return CTL_USAGE;
	}
	err = ctl_publish(args, &request, &result);
	code = ctl_exit_for_error(err);
	if (!args->json)
		ctl_report(&request, err, &result);
	if (err == PUB_OK && args->value[CTL_OPT_WAIT])
		code = ctl_wait_for_instances(args, result.revision, &holders);
	if (args->json)
		ctl_report_json(&request, err, &result, holders);
	pub_result_clear(&result);
	free(text);
	return code;
}

static bool ctl_init_request(const struct ctl_args *args, const char *text,
			     struct pub_request *request)
{
	memset(request, 0, sizeof(*request));
	request->text = text;
	request->len = strlen(text);
	request->base = ctl_file_revision(text);
	request->replace = args->value[CTL_OPT_REPLACE] != NULL;
	request->merge = args->value[CTL_OPT_MERGE] != NULL;
	request->resume = args->value[CTL_OPT_CHANGE_ID] != NULL;
	request->deadline_us = args->deadline_us;
	if (!ctl_number(args, CTL_OPT_BASE, PUB_REVISION_MAX, &request->base) ||
	    !ctl_number(args, CTL_OPT_FLOOR, PUB_REVISION_MAX, &request->floor))
		return false;
	/*
	 * Instances ignore a revision that is not above the one they hold, so
	 * the new one has to be above the highest of them.
	 */
	if (!args->value[CTL_OPT_FLOOR])
		request->floor = ctl_highest_revision(
			&args->admin, clk_now_us() + CTL_FLOOR_US);
	return ctl_init_change(args, &request->change);
}

static bool ctl_init_change(const struct ctl_args *args,
			    struct pub_change *change)
{
	const char *id = args->value[CTL_OPT_CHANGE_ID];
	const char *author = args->value[CTL_OPT_OPERATOR];
	const char *note = args->value[CTL_OPT_NOTE];
	unsigned char bytes[CTL_ID_BYTES];

	change->time_ms = clk_wall_ms();
	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(change->id, sizeof(change->id), bytes, sizeof(bytes));
	if (id && (strlen(id) >= PUB_ID_MAX || !chk_name(id))) {
		fprintf(stderr, "magctl: --change-id: not an id\n");
		return false;
	}
	if (id)
		mag_copy_name(change->id, sizeof(change->id), id);
	if (mag_copy_name(change->author, sizeof(change->author),
			  author ? author : "unknown") < 0) {
		fprintf(stderr, "magctl: --operator: longer than %d bytes\n",
			MAG_NAME_MAX - 1);
		return false;
	}
	if (mag_copy_name(change->note, sizeof(change->note),
			  note ? note : "") < 0) {
		fprintf(stderr, "magctl: --note: longer than %d bytes\n",
			PUB_NOTE_MAX - 1);
		return false;
	}
	return true;
}

/* Returns the revision that magctl get wrote into a set, 0 if there is none. */
static uint64_t ctl_file_revision(const char *text)
{
	json_t *doc = json_loads(text, 0, NULL);
	json_int_t n = json_integer_value(json_object_get(doc, "revision"));

	json_decref(doc);
	return n > 0 ? (uint64_t)n : 0;
}

/*
 * Publishes, and repeats on failure until the deadline.  Repeating is safe
 * because the change id stays the same: if a try took effect but its answer was
 * lost, the next one finds it instead of publishing twice.
 */
static int ctl_publish(const struct ctl_args *args, struct pub_request *request,
		       struct pub_result *result)
{
	struct ctl_store store;
	bool unknown = false;
	int err;

	memset(result, 0, sizeof(*result));
	if (!ctl_store_open(&store, args))
		return PUB_E_MEMORY;
	for (;;) {
		err = pub_apply(store.pub, request, result);
		unknown |= err == PUB_E_UNKNOWN;
		request->resume |= unknown;
		if (err != PUB_E_DOWN && err != PUB_E_UNKNOWN)
			break;
		if (clk_now_us() + CTL_RETRY_US >= args->deadline_us)
			break;
		pub_result_clear(result);
		usleep(CTL_RETRY_US);
	}
	ctl_store_close(&store);
	return err == PUB_E_DOWN && unknown ? PUB_E_UNKNOWN : err;
}

static void ctl_report(const struct pub_request *request, int err,
		       const struct pub_result *result)
{
	size_t i;

	if (err == PUB_OK && result->unchanged)
		printf("revision %llu: nothing to change\n",
		       (unsigned long long)result->revision);
	else if (err == PUB_OK)
		printf("revision %llu: published%s\n",
		       (unsigned long long)result->revision,
		       result->already_published ? " by an earlier try" : "");
	else
		fprintf(stderr, "magctl: %s\n",
			pub_err_text((enum pub_err)err));
	for (i = 0; i < cfg_fault_count(result->faults); i++)
		printf("%s\n", cfg_fault_text(result->faults, i));
	if (err != PUB_OK)
		pub_diff_print(result->difference, stdout);
	if (err == PUB_E_UNKNOWN)
		fprintf(stderr,
			"magctl: apply again with --change-id %s to find out\n",
			request->change.id);
}

/* Prints one JSON document; holders is -1 if instances were not asked. */
static void ctl_report_json(const struct pub_request *request, int err,
			    const struct pub_result *result, int64_t holders)
{
	json_t *doc = json_pack("{s:s, s:i, s:s}", "result",
				pub_err_text((enum pub_err)err), "exit",
				(int)ctl_exit_for_error(err), "change_id",
				request->change.id);

	if (err == PUB_OK)
		json_object_update_new(
			doc,
			json_pack("{s:I, s:b, s:b}", "revision",
				  (json_int_t)result->revision,
				  "by_earlier_try", result->already_published,
				  "nothing_to_change", result->unchanged));
	if (result->faults)
		json_object_set_new(doc, "faults",
				    ctl_fault_list(result->faults));
	if (result->difference)
		json_object_set(doc, "difference", result->difference);
	if (holders >= 0)
		json_object_set_new(doc, "holders", json_integer(holders));
	ctl_print_json(doc);
}

/* Polls the instances until all hold the revision or the deadline passes. */
static enum ctl_exit ctl_wait_for_instances(const struct ctl_args *args,
					    uint64_t revision, int64_t *holders)
{
	size_t count;

	for (;;) {
		count = ctl_count_holders(&args->admin, revision,
					  args->deadline_us);
		if (count == args->admin.count ||
		    clk_now_us() + CTL_POLL_US >= args->deadline_us)
			break;
		usleep(CTL_POLL_US);
	}
	*holders = (int64_t)count;
	if (!args->json)
		printf("%zu of %zu instances hold revision %llu\n", count,
		       args->admin.count, (unsigned long long)revision);
	return count == args->admin.count ? CTL_DONE : CTL_PENDING;
}
