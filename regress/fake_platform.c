/*
 * Fake of the platform's service: keys with compare-and-swap, leases, watches,
 * the list of instances, which lags behind, load reports and a weight store.
 *
 * Faults: lose_after_write (applies a write but does not reply), delay_ms
 * (delays each reply), refuse (closes the connection without a reply),
 * limit_per_s (replies 429 above this rate), snapshot and rewind (saves and
 * restores the values, like a service that returns with an older state).
 */
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <argtable2.h>
#include <urcu/list.h>

#include "fk.h"
#include "mag.h"

#define PLAT_THREADS   256
#define PLAT_NAME_MAX  160
#define PLAT_VALUE_MAX (1U << 20)

struct plat_entry {
	struct cds_list_head node;
	char key[PLAT_NAME_MAX];
	char *value; /* NULL: deleted; the version remains */
	size_t len;
	uint64_t version;
	char *old_value; /* value at the last "snapshot" */
	size_t old_len;
	uint64_t old_version;
};

struct plat_lease {
	struct cds_list_head node;
	char name[PLAT_NAME_MAX];
	char holder[PLAT_NAME_MAX];
	uint64_t fence;
	int64_t until_us;
};

struct plat_call {
	const char *method;
	const char *prefix;
	const char *counted_as; /* key in /stats; NULL: not counted */
	void (*handle)(struct fk_request *req, const char *name);
};

static void plat_get(struct fk_request *req, const char *name);
static void plat_put(struct fk_request *req, const char *name);
static void plat_delete(struct fk_request *req, const char *name);
static void plat_lease_acquire(struct fk_request *req, const char *name);
static void plat_lease_release(struct fk_request *req, const char *name);
static void plat_instances(struct fk_request *req, const char *name);
static void plat_set_instances(struct fk_request *req, const char *name);
static void plat_loads(struct fk_request *req, const char *name);
static void plat_add_loads(struct fk_request *req, const char *name);
static void plat_weights(struct fk_request *req, const char *name);
static void plat_stats(struct fk_request *req, const char *name);

static const struct plat_call plat_calls[] = {
	{ "GET", "/kv/", "gets", plat_get },
	{ "PUT", "/kv/", "swaps", plat_put },
	{ "DELETE", "/kv/", "deletes", plat_delete },
	{ "POST", "/lease/", "lease_takes", plat_lease_acquire },
	{ "DELETE", "/lease/", "lease_drops", plat_lease_release },
	{ "GET", "/instances", "instances", plat_instances },
	{ "PUT", "/instances", NULL, plat_set_instances },
	{ "GET", "/loads", "loads", plat_loads },
	{ "POST", "/loads", NULL, plat_add_loads },
	{ "GET", "/weights/", "weights", plat_weights },
	{ "GET", "/stats", NULL, plat_stats },
};

static CDS_LIST_HEAD(plat_entries);
static CDS_LIST_HEAD(plat_leases);
static pthread_mutex_t plat_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t plat_changed;
static json_t *plat_instance_list;
static json_t *plat_pending_list; /* visible from plat_pending_us on */
static int64_t plat_pending_us;
static json_t *plat_reports; /* endpoint -> report with taken_us */
static json_t *plat_counts;
static int64_t plat_lag_us;
static long plat_weights_per_s = 1L << 30;
static int64_t plat_weights_busy_until_us;
static int64_t plat_second;
static long plat_calls_this_second;

/* Returns the entry of a key; adds an empty one if there is none. */
static struct plat_entry *plat_find_entry(const char *key)
{
	struct plat_entry *entry;

	cds_list_for_each_entry (entry, &plat_entries, node) {
		if (strcmp(entry->key, key) == 0)
			return entry;
	}
	entry = calloc(1, sizeof(*entry));
	if (!entry || mag_copy_name(entry->key, sizeof(entry->key), key) < 0)
		abort();
	cds_list_add_tail(&entry->node, &plat_entries);
	return entry;
}

static struct plat_lease *plat_find_lease(const char *name)
{
	struct plat_lease *lease;

	cds_list_for_each_entry (lease, &plat_leases, node) {
		if (strcmp(lease->name, name) == 0)
			return lease;
	}
	lease = calloc(1, sizeof(*lease));
	if (!lease || mag_copy_name(lease->name, sizeof(lease->name), name) < 0)
		abort();
	cds_list_add_tail(&lease->node, &plat_leases);
	return lease;
}

/* Replies with the header X-Version; called without the lock. */
static void plat_reply(struct fk_request *req, int status, uint64_t version,
		       const char *value, size_t len)
{
	char header[64];

	snprintf(header, sizeof(header), "X-Version: %" PRIu64 "\r\n", version);
	fk_reply(req, status, header, value, len);
}

/* Waits for a change; returns false once the deadline has passed. */
static bool plat_wait(int64_t until_us)
{
	struct timespec until = { .tv_sec = until_us / MAG_US_PER_S,
				  .tv_nsec = until_us % MAG_US_PER_S * 1000 };

	return pthread_cond_timedwait(&plat_changed, &plat_lock, &until) == 0;
}

/* GET /kv/KEY: replies at once, or once the version is not wait_version. */
static void plat_get(struct fk_request *req, const char *name)
{
	bool watch = strstr(req->query, "wait_version=") != NULL;
	uint64_t known = (uint64_t)fk_query_number(req, "wait_version");
	int64_t until =
		clk_now_us() + fk_query_number(req, "wait_ms") * MAG_US_PER_MS;
	struct plat_entry *entry;
	uint64_t version;
	char *value = NULL;
	size_t len = 0;
	bool absent;

	pthread_mutex_lock(&plat_lock);
	entry = plat_find_entry(name);
	while (watch && (!entry->value || entry->version == known) &&
	       plat_wait(until))
		;
	absent = !entry->value;
	version = entry->version;
	if (!absent) {
		len = entry->len;
		value = malloc(len + 1);
		memcpy(value, entry->value, len);
	}
	pthread_mutex_unlock(&plat_lock);
	if (absent)
		fk_reply(req, 404, "", "", 0);
	else if (watch && version == known)
		plat_reply(req, 304, version, "", 0);
	else
		plat_reply(req, 200, version, value, len);
	free(value);
}

/* Replaces a value if its version is as expected; NULL deletes it. */
static bool plat_swap(struct plat_entry *entry, uint64_t expected,
		      const char *value, size_t len)
{
	uint64_t current = entry->value ? entry->version : 0;

	if (expected != current || (!value && !entry->value))
		return false;
	free(entry->value);
	entry->value = NULL;
	entry->len = 0;
	entry->version++;
	if (value) {
		entry->value = malloc(len + 1);
		memcpy(entry->value, value, len);
		entry->len = len;
	}
	pthread_cond_broadcast(&plat_changed);
	return true;
}

static void plat_write(struct fk_request *req, const char *name,
		       const char *value, size_t len)
{
	uint64_t expected = strtoull(fk_header(req, "If-Version"), NULL, 10);
	struct plat_entry *entry;
	uint64_t version;
	bool done;

	pthread_mutex_lock(&plat_lock);
	entry = plat_find_entry(name);
	done = plat_swap(entry, expected, value, len);
	version = entry->value ? entry->version : 0;
	pthread_mutex_unlock(&plat_lock);
	if (fk_use_fault(req->fk, "lose_after_write", NULL))
		fk_abort(req);
	else
		plat_reply(req, done ? 200 : 409, version, "", 0);
}

static void plat_put(struct fk_request *req, const char *name)
{
	if (req->len > PLAT_VALUE_MAX)
		fk_reply(req, 413, "", "", 0);
	else
		plat_write(req, name, req->body, req->len);
}

static void plat_delete(struct fk_request *req, const char *name)
{
	plat_write(req, name, NULL, 0);
}

/* Acquires or renews a lease; each new acquisition increments the fence. */
static void plat_lease_acquire(struct fk_request *req, const char *name)
{
	json_t *body = json_loadb(req->body, req->len, 0, NULL);
	const char *holder = json_string_value(json_object_get(body, "holder"));
	long ttl_ms = json_integer_value(json_object_get(body, "ttl_ms"));
	int64_t now = clk_now_us();
	struct plat_lease *lease;
	uint64_t fence = 0;

	pthread_mutex_lock(&plat_lock);
	lease = plat_find_lease(name);
	if (holder && ttl_ms > 0 &&
	    (now >= lease->until_us || strcmp(lease->holder, holder) == 0)) {
		if (now >= lease->until_us ||
		    strcmp(lease->holder, holder) != 0)
			lease->fence++;
		snprintf(lease->holder, sizeof(lease->holder), "%s", holder);
		lease->until_us = now + ttl_ms * MAG_US_PER_MS;
		fence = lease->fence;
	}
	pthread_mutex_unlock(&plat_lock);
	json_decref(body);
	if (fk_use_fault(req->fk, "lose_after_write", NULL))
		fk_abort(req);
	else if (fence)
		fk_reply_json(req, 200, "",
			      json_pack("{s:I}", "fence", (json_int_t)fence));
	else
		fk_reply(req, 409, "", "", 0);
}

static void plat_lease_release(struct fk_request *req, const char *name)
{
	char holder[PLAT_NAME_MAX] = "";
	struct plat_lease *lease;
	bool held;

	mg_get_var(req->query, strlen(req->query), "holder", holder,
		   sizeof(holder));
	pthread_mutex_lock(&plat_lock);
	lease = plat_find_lease(name);
	held = strcmp(lease->holder, holder) == 0;
	if (held)
		lease->until_us = 0;
	pthread_mutex_unlock(&plat_lock);
	fk_reply(req, held ? 200 : 409, "", "", 0);
}

/* GET /instances: the list as it was plat_lag_us ago. */
static void plat_instances(struct fk_request *req, const char *name)
{
	json_t *list;

	(void)name;
	pthread_mutex_lock(&plat_lock);
	if (plat_pending_list && clk_now_us() >= plat_pending_us) {
		json_decref(plat_instance_list);
		plat_instance_list = plat_pending_list;
		plat_pending_list = NULL;
	}
	list = json_deep_copy(plat_instance_list);
	pthread_mutex_unlock(&plat_lock);
	fk_reply_json(req, 200, "", list);
}

/* PUT /instances: sets the list that is visible after plat_lag_us. */
static void plat_set_instances(struct fk_request *req, const char *name)
{
	json_t *list = json_loadb(req->body, req->len, 0, NULL);

	(void)name;
	pthread_mutex_lock(&plat_lock);
	if (list) {
		json_decref(plat_pending_list);
		plat_pending_list = list;
		plat_pending_us = clk_now_us() + plat_lag_us;
	}
	pthread_mutex_unlock(&plat_lock);
	fk_reply(req, list ? 200 : 400, "", "", 0);
}

static void plat_loads(struct fk_request *req, const char *name)
{
	json_t *list = json_array();
	int64_t now = clk_now_us();
	const char *endpoint;
	json_t *report;

	(void)name;
	pthread_mutex_lock(&plat_lock);
	json_object_foreach (plat_reports, endpoint, report) {
		int64_t received_us =
			json_integer_value(json_object_get(report, "taken_us"));
		json_t *shown = json_copy(report);

		json_object_del(shown, "taken_us");
		json_object_set_new(
			shown, "age_ms",
			json_integer((now - received_us) / MAG_US_PER_MS));
		json_array_append_new(list, shown);
	}
	pthread_mutex_unlock(&plat_lock);
	fk_reply_json(req, 200, "", json_pack("{s:o}", "loads", list));
}

/* POST /loads: stores the load reports that endpoints send. */
static void plat_add_loads(struct fk_request *req, const char *name)
{
	json_t *body = json_loadb(req->body, req->len, 0, NULL);
	json_t *report;
	size_t i;

	(void)name;
	pthread_mutex_lock(&plat_lock);
	json_array_foreach (json_object_get(body, "loads"), i, report) {
		const char *endpoint =
			json_string_value(json_object_get(report, "endpoint"));

		json_object_set_new(report, "taken_us",
				    json_integer(clk_now_us()));
		if (endpoint)
			json_object_set(plat_reports, endpoint, report);
	}
	pthread_mutex_unlock(&plat_lock);
	json_decref(body);
	fk_reply(req, 200, "", "", 0);
}

/* GET /weights/: delays replies so that all together keep to the rate. */
static void plat_weights(struct fk_request *req, const char *name)
{
	int64_t bytes = fk_query_number(req, "bytes");
	int64_t now = clk_now_us();
	int64_t ready;

	(void)name;
	pthread_mutex_lock(&plat_lock);
	if (plat_weights_busy_until_us < now)
		plat_weights_busy_until_us = now;
	plat_weights_busy_until_us += bytes * MAG_US_PER_S / plat_weights_per_s;
	ready = plat_weights_busy_until_us;
	pthread_mutex_unlock(&plat_lock);
	fk_sleep_us(ready - now);
	fk_reply_json(req, 200, "",
		      json_pack("{s:I}", "bytes", (json_int_t)bytes));
}

/* GET /stats: number of calls by kind since the start. */
static void plat_stats(struct fk_request *req, const char *name)
{
	json_t *counts;

	(void)name;
	pthread_mutex_lock(&plat_lock);
	counts = json_deep_copy(plat_counts);
	pthread_mutex_unlock(&plat_lock);
	fk_reply_json(req, 200, "", counts);
}

/* Counts a call; returns false if it exceeds limit_per_s. */
static bool plat_count(struct fk_request *req, const struct plat_call *call)
{
	const char *as = call->counted_as;
	int64_t second = clk_now_us() / MAG_US_PER_S;
	long limit;
	bool over;

	if (!as)
		return true;
	if (strstr(req->query, "wait_version="))
		as = "watches";
	pthread_mutex_lock(&plat_lock);
	if (second != plat_second)
		plat_calls_this_second = 0;
	plat_second = second;
	plat_calls_this_second++;
	json_object_set_new(plat_counts, as,
			    json_integer(1 + json_integer_value(json_object_get(
						     plat_counts, as))));
	over = fk_use_fault(req->fk, "limit_per_s", &limit) &&
	       plat_calls_this_second > limit;
	pthread_mutex_unlock(&plat_lock);
	return !over;
}

/*
 * Saves all values, or restores the saved ones, which simulates a service that
 * returns from an outage with an older state.
 */
static void plat_save_or_rewind(bool restore)
{
	struct plat_entry *entry;

	pthread_mutex_lock(&plat_lock);
	cds_list_for_each_entry (entry, &plat_entries, node) {
		char **to = restore ? &entry->value : &entry->old_value;
		const char *from = restore ? entry->old_value : entry->value;
		size_t len = restore ? entry->old_len : entry->len;

		free(*to);
		*to = from ? calloc(1, len + 1) : NULL;
		if (from)
			memcpy(*to, from, len);
		if (restore) {
			entry->len = len;
			entry->version = entry->old_version;
		} else {
			entry->old_len = len;
			entry->old_version = entry->version;
		}
	}
	pthread_cond_broadcast(&plat_changed);
	pthread_mutex_unlock(&plat_lock);
}

static void plat_handle(struct fk_request *req)
{
	long value = 0;
	size_t i;

	if (fk_use_fault(req->fk, "snapshot", NULL))
		plat_save_or_rewind(false);
	if (fk_use_fault(req->fk, "rewind", NULL))
		plat_save_or_rewind(true);
	if (fk_use_fault(req->fk, "delay_ms", &value))
		fk_sleep_us(value * MAG_US_PER_MS);
	if (fk_use_fault(req->fk, "refuse", NULL)) {
		fk_abort(req);
		return;
	}
	for (i = 0; i < MAG_ARRAY_SIZE(plat_calls); i++) {
		const struct plat_call *call = &plat_calls[i];
		size_t len = strlen(call->prefix);

		if (strcmp(req->method, call->method) != 0 ||
		    strncmp(req->path, call->prefix, len) != 0)
			continue;
		if (plat_count(req, call))
			call->handle(req, req->path + len);
		else
			fk_reply(req, 429, "Retry-After: 1\r\n", "", 0);
		return;
	}
	fk_reply(req, 404, "", "", 0);
}

/* Writes the keys to a file, which plat_restore reads after a restart. */
static void plat_save(const char *path)
{
	json_t *all = json_array();
	struct plat_entry *entry;

	pthread_mutex_lock(&plat_lock);
	cds_list_for_each_entry (entry, &plat_entries, node) {
		char *hex = calloc(2, entry->len + 1);
		size_t i;

		for (i = 0; i < entry->len; i++)
			snprintf(hex + 2 * i, 3, "%02x",
				 (unsigned char)entry->value[i]);
		json_array_append_new(
			all,
			json_pack("{s:s, s:I, s:b, s:s}", "key", entry->key,
				  "version", (json_int_t)entry->version, "live",
				  entry->value != NULL, "hex", hex));
		free(hex);
	}
	pthread_mutex_unlock(&plat_lock);
	if (json_dump_file(all, path, JSON_COMPACT) < 0)
		abort();
	json_decref(all);
}

static void plat_restore(const char *path)
{
	json_t *all = json_load_file(path, 0, NULL);
	json_t *item;
	size_t i;
	size_t k;

	json_array_foreach (all, i, item) {
		const char *key =
			json_string_value(json_object_get(item, "key"));
		const char *hex =
			json_string_value(json_object_get(item, "hex"));
		struct plat_entry *entry = plat_find_entry(key);
		char pair[3] = "";

		entry->version = (uint64_t)json_integer_value(
			json_object_get(item, "version"));
		if (!json_is_true(json_object_get(item, "live")))
			continue;
		entry->len = strlen(hex) / 2;
		entry->value = calloc(1, entry->len + 1);
		for (k = 0; k < entry->len; k++) {
			memcpy(pair, hex + 2 * k, 2);
			entry->value[k] = (char)strtoul(pair, NULL, 16);
		}
	}
	json_decref(all);
}

static void plat_init(void)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&plat_changed, &attr);
	plat_instance_list = json_pack("{s:[]}", "instances");
	plat_reports = json_object();
	plat_counts = json_object();
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1("p", "port", "N", "port to listen on");
	struct arg_int *lag =
		arg_int0(NULL, "lag-ms", "N", "lag of the list of instances");
	struct arg_int *rate =
		arg_int0(NULL, "limit-per-s", "N", "calls a second before 429");
	struct arg_int *weights = arg_int0(NULL, "weights-per-s", "BYTES",
					   "rate of the weight store");
	struct arg_file *state = arg_file0(
		NULL, "state", "FILE", "read at the start, written at stop");
	struct arg_end *end = arg_end(8);
	void *table[] = { port, lag, rate, weights, state, end };
	struct fk *fk;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "fake_platform");
		return 2;
	}
	plat_init();
	plat_lag_us = lag->count ? lag->ival[0] * MAG_US_PER_MS : 0;
	if (weights->count)
		plat_weights_per_s = weights->ival[0];
	if (state->count)
		plat_restore(state->filename[0]);
	fk_block_signals();
	fk = fk_start(port->ival[0], PLAT_THREADS, plat_handle, NULL, NULL);
	if (rate->count)
		fk_set_fault(fk, "limit_per_s", rate->ival[0], -1);
	fk_wait_signal();
	if (state->count)
		plat_save(state->filename[0]);
	_Exit(0);
}
