#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "clk.h"
#include "ctl.h"

#define CTL_QUERY_US (1 * MAG_US_PER_S) /* for all instances together */
#define CTL_PATH_MAX 256

/* The revisions held by the instances and by the platform. */
struct ctl_fleet {
	int head_err; /* result of reading the platform's head */
	uint64_t revision;
	size_t holders;
	json_t *rows;
};

static int64_t ctl_query_deadline(int64_t deadline_us);
static uint64_t ctl_revision_of(const json_t *status);
static int ctl_read_head_revision(const struct ctl_args *args,
				  uint64_t *revision);
static json_t *ctl_status_row(const struct ctl_answer *answer);
static void ctl_print_fleet(const struct ctl_args *args,
			    const struct ctl_fleet *fleet);
static enum ctl_exit ctl_print_page(const struct ctl_args *args,
				    const char *path, const char *list,
				    bool sum);
static json_t *ctl_bodies_by_instance(const struct ctl_answer *answers,
				      size_t count);
static void ctl_sum_rows(json_t *rows, const json_t *more);
static bool ctl_same_row(const json_t *a, const json_t *b);
static bool ctl_has_strings(const json_t *row, const json_t *other);
static void ctl_add_row(json_t *row, const json_t *more);

/* Returns the highest revision of any instance, 0 if none answers. */
uint64_t ctl_highest_revision(const struct ctl_addresses *admin,
			      int64_t deadline_us)
{
	struct ctl_answer answers[CTL_ADDRESSES_MAX];
	uint64_t highest = 0;
	size_t i;

	ctl_query_instances(admin, "/admin/status",
			    ctl_query_deadline(deadline_us), answers);
	for (i = 0; i < admin->count; i++) {
		uint64_t revision = ctl_revision_of(answers[i].body);

		if (revision > highest && revision < PUB_REVISION_MAX)
			highest = revision;
	}
	ctl_answers_free(answers, admin->count);
	return highest;
}

/* Counts the instances that hold a revision or a later one. */
size_t ctl_count_holders(const struct ctl_addresses *admin, uint64_t revision,
			 int64_t deadline_us)
{
	struct ctl_answer answers[CTL_ADDRESSES_MAX];
	size_t holders = 0;
	size_t i;

	ctl_query_instances(admin, "/admin/status",
			    ctl_query_deadline(deadline_us), answers);
	for (i = 0; i < admin->count; i++)
		holders += ctl_revision_of(answers[i].body) >= revision;
	ctl_answers_free(answers, admin->count);
	return holders;
}

/* magctl status: the revisions of each instance and of the platform. */
enum ctl_exit ctl_status(const struct ctl_args *args)
{
	struct ctl_answer answers[CTL_ADDRESSES_MAX];
	size_t count = args->admin.count;
	struct ctl_fleet fleet = { .rows = json_array() };
	size_t i;

	fleet.head_err = ctl_read_head_revision(args, &fleet.revision);
	ctl_query_instances(&args->admin, "/admin/status",
			    ctl_query_deadline(args->deadline_us), answers);
	/*
	 * Without the platform, compares with the newest revision that any
	 * instance holds.
	 */
	for (i = 0; i < count && fleet.head_err != PUB_OK; i++) {
		if (ctl_revision_of(answers[i].body) > fleet.revision)
			fleet.revision = ctl_revision_of(answers[i].body);
	}
	for (i = 0; i < count; i++) {
		json_array_append_new(fleet.rows, ctl_status_row(&answers[i]));
		fleet.holders +=
			answers[i].body &&
			ctl_revision_of(answers[i].body) >= fleet.revision;
	}
	ctl_answers_free(answers, count);
	ctl_print_fleet(args, &fleet);
	json_decref(fleet.rows);
	return fleet.holders == count ? CTL_DONE : CTL_PENDING;
}

/* magctl shares: the load of each account, summed over the instances. */
enum ctl_exit ctl_shares(const struct ctl_args *args)
{
	return ctl_print_page(args, "/admin/shares", "shares", true);
}

/* magctl bound: the bounds that the first answering instance reports. */
enum ctl_exit ctl_bound(const struct ctl_args *args)
{
	return ctl_print_page(args, "/admin/bound", "services", false);
}

/* magctl explain: the endpoints the first answering instance can choose. */
enum ctl_exit ctl_explain(const struct ctl_args *args)
{
	char path[CTL_PATH_MAX] = "/admin/explain";
	char *service;

	if (args->value[CTL_OPT_SERVICE]) {
		service =
			curl_easy_escape(NULL, args->value[CTL_OPT_SERVICE], 0);
		snprintf(path, sizeof(path), "/admin/explain?service=%.128s",
			 service ? service : "");
		curl_free(service);
	}
	return ctl_print_page(args, path, "endpoints", false);
}

static int64_t ctl_query_deadline(int64_t deadline_us)
{
	int64_t query_us = clk_now_us() + CTL_QUERY_US;

	return query_us < deadline_us ? query_us : deadline_us;
}

static uint64_t ctl_revision_of(const json_t *status)
{
	json_int_t n = json_integer_value(json_object_get(status, "revision"));

	return n > 0 ? (uint64_t)n : 0;
}

/* Reads the revision on the platform; PUB_E_ABSENT without its address. */
static int ctl_read_head_revision(const struct ctl_args *args,
				  uint64_t *revision)
{
	struct ctl_store store;
	struct pub_change change;
	size_t count;
	int err;

	*revision = 0;
	if (args->platform.count == 0)
		return PUB_E_ABSENT;
	if (!ctl_store_open(&store, args))
		return PUB_E_MEMORY;
	err = pub_history(store.pub, args->deadline_us, &change, 1, &count);
	ctl_store_close(&store);
	if (err == PUB_OK && count)
		*revision = change.revision;
	return err;
}

static json_t *ctl_status_row(const struct ctl_answer *answer)
{
	json_t *row = json_pack("{s:s}", "admin", answer->address);

	if (answer->body)
		json_object_update(row, answer->body);
	else
		json_object_set_new(row, "instance",
				    json_string("(no answer)"));
	return row;
}

static void ctl_print_fleet(const struct ctl_args *args,
			    const struct ctl_fleet *fleet)
{
	size_t count = args->admin.count;

	if (args->json) {
		ctl_print_json(json_pack(
			"{s:I, s:s, s:I, s:O}", "revision",
			(json_int_t)fleet->revision, "platform",
			pub_err_text((enum pub_err)fleet->head_err), "holders",
			(json_int_t)fleet->holders, "instances", fleet->rows));
		return;
	}
	ctl_print_table(fleet->rows);
	printf("%zu of %zu instances hold revision %llu\n", fleet->holders,
	       count, (unsigned long long)fleet->revision);
	if (args->platform.count && fleet->head_err != PUB_OK)
		printf("platform: %s\n",
		       pub_err_text((enum pub_err)fleet->head_err));
}

/* Prints an admin page of the instances, as JSON or one list as a table. */
static enum ctl_exit ctl_print_page(const struct ctl_args *args,
				    const char *path, const char *list,
				    bool sum)
{
	struct ctl_answer answers[CTL_ADDRESSES_MAX];
	json_t *rows = json_array();
	enum ctl_exit result = CTL_DONE;
	const char *error = NULL;
	size_t answered = 0;
	size_t i;

	ctl_query_instances(&args->admin, path,
			    ctl_query_deadline(args->deadline_us), answers);
	for (i = 0; i < args->admin.count; i++) {
		answered += answers[i].body != NULL;
		if (!error)
			error = json_string_value(
				json_object_get(answers[i].body, "error"));
		if (list && answers[i].body && (sum || answered == 1))
			ctl_sum_rows(rows,
				     json_object_get(answers[i].body, list));
	}
	if (args->json || !list)
		ctl_print_json(
			ctl_bodies_by_instance(answers, args->admin.count));
	else
		ctl_print_table(rows);
	if (answered < args->admin.count)
		fprintf(stderr, "magctl: %zu of %zu instances answer\n",
			answered, args->admin.count);
	if (error)
		fprintf(stderr, "magctl: %s\n", error);
	if (!answered)
		result = CTL_DOWN;
	else if (error)
		result = CTL_REFUSED;
	ctl_answers_free(answers, args->admin.count);
	json_decref(rows);
	return result;
}

static json_t *ctl_bodies_by_instance(const struct ctl_answer *answers,
				      size_t count)
{
	json_t *doc = json_object();
	size_t i;

	for (i = 0; i < count; i++)
		json_object_set(doc, answers[i].address,
				answers[i].body ? answers[i].body
						: json_null());
	return doc;
}

/* Merges rows into a list; numbers of rows with equal strings are summed. */
static void ctl_sum_rows(json_t *rows, const json_t *more)
{
	size_t i;
	size_t k;

	for (i = 0; i < json_array_size(more); i++) {
		const json_t *row = json_array_get(more, i);

		for (k = 0; k < json_array_size(rows); k++) {
			if (ctl_same_row(json_array_get(rows, k), row))
				break;
		}
		if (k < json_array_size(rows))
			ctl_add_row(json_array_get(rows, k), row);
		else
			json_array_append_new(rows, json_deep_copy(row));
	}
}

static bool ctl_same_row(const json_t *a, const json_t *b)
{
	return ctl_has_strings(a, b) && ctl_has_strings(b, a);
}

/* Returns true if a row contains every string member of another one. */
static bool ctl_has_strings(const json_t *row, const json_t *other)
{
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)other, key, value) {
		if (json_is_string(value) &&
		    !json_equal(value, json_object_get(row, key)))
			return false;
	}
	return true;
}

static void ctl_add_row(json_t *row, const json_t *more)
{
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)more, key, value) {
		json_t *sum = json_object_get(row, key);

		if (!sum)
			json_object_set(row, key, value);
		else if (json_is_integer(sum) && json_is_integer(value))
			json_object_set_new(
				row, key,
				json_integer(json_integer_value(sum) +
					     json_integer_value(value)));
		else if (json_is_number(sum))
			json_object_set_new(
				row, key,
				json_real(json_number_value(sum) +
					  json_number_value(value)));
	}
}
