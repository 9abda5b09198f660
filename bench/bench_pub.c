#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "pub.h"

/*
 * Measures the cost of one configuration change at a given size: bytes written
 * to the service, bytes read by an instance, bytes of the delta between peers,
 * and the time to check the whole set.  The service is a table in memory, so
 * its latency is not included.
 * usage: bench_pub [ACCOUNTS ENDPOINTS SERVICES]
 */

#define KEYS_MAX 2048

struct entry {
	char key[KV_KEY_MAX];
	uint64_t version;
	char *value;
};

static struct entry entries[KEYS_MAX];
static size_t entry_count;
static size_t bytes_read;

static struct entry *find(const char *key)
{
	size_t i;

	for (i = 0; i < entry_count; i++) {
		if (strcmp(entries[i].key, key) == 0)
			return &entries[i];
	}
	return NULL;
}

static void backend_call(void *ctx, const struct kv_call *call,
			 struct kv_reply *reply)
{
	struct entry *e = find(call->key);

	(void)ctx;
	reply->status = e ? KV_OK : KV_ABSENT;
	if (call->op == KV_GET && e) {
		reply->value = strdup(e->value);
		reply->len = strlen(e->value);
		bytes_read += reply->len;
	} else if (call->op == KV_CAS && entry_count < KEYS_MAX) {
		if (!e) {
			e = &entries[entry_count++];
			mag_copy_name(e->key, sizeof(e->key), call->key);
		}
		free(e->value);
		e->value = strndup(call->value, call->len);
		e->version++;
		reply->status = KV_OK;
	}
	reply->version = e ? e->version : 0;
}

static void add(json_t *list, json_t *object)
{
	json_array_append_new(list, object);
}

static json_t *make_set(int accounts, int endpoints, int services)
{
	json_t *list = json_array();
	int i;

	for (i = 0; i < services; i++) {
		add(list, json_pack("{s:s, s:s++, s:s, s:i}", "kind", "service",
				    "name", "model-", i < 10 ? "0" : "1",
				    (char[]){ (char)('0' + i % 10), 0 }, "type",
				    "model", "layers", 80));
		add(list,
		    json_pack("{s:s, s:o, s:o, s:o, s:b, s:s}", "kind", "route",
			      "name", json_sprintf("route-%d", i), "path",
			      json_sprintf("/v1/m%d", i), "service",
			      json_sprintf("model-%02d", i), "idempotent", 1,
			      "key", "optional"));
	}
	for (i = 0; i < accounts; i++) {
		add(list,
		    json_pack("{s:s, s:o, s:o, s:i}", "kind", "account", "name",
			      json_sprintf("account-%03d", i), "key_hash",
			      json_sprintf("%064x", i + 1), "weight", 1));
		add(list,
		    json_pack("{s:s, s:o, s:o, s:o, s:i, s:i}", "kind", "limit",
			      "name", json_sprintf("limit-%03d", i), "account",
			      json_sprintf("account-%03d", i), "service",
			      json_sprintf("model-%02d", i % services),
			      "tokens_per_s", 40000, "concurrent", 64));
	}
	for (i = 0; i < endpoints; i++)
		add(list,
		    json_pack("{s:s, s:o, s:o, s:o, s:o, s:s, s:i, s:i, "
			      "s:i, s:i, s:I, s:b}",
			      "kind", "endpoint", "name",
			      json_sprintf("engine-%05d", i), "service",
			      json_sprintf("model-%02d", i % services),
			      "data_centre", json_sprintf("dc-%02d", i % 30),
			      "address",
			      json_sprintf("10.%d.%d.%d:8000", i % 30,
					   i / 250 % 250, i % 250),
			      "accelerator", "kind-a", "first_layer",
			      i / services % 4 * 20, "last_layer",
			      i / services % 4 * 20 + 19, "tokens_per_s", 1500,
			      "concurrency", 32, "link_bytes_per_s",
			      (json_int_t)1250000000, "checks_fencing", 1));
	return json_pack("{s:o}", "objects", list);
}

static double now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static char *publish(struct pub *pub, struct pub *reader, json_t *doc,
		     const char *id, const char *old_text)
{
	char *text = json_dumps(doc, JSON_COMPACT);
	struct pub_request request = { .text = text,
				       .len = strlen(text),
				       .replace = true };
	struct pub_result result;
	char *delta = NULL;
	char *fetched = NULL;
	uint64_t revision;
	double start = now_ms();
	double read_ms;
	int err;

	mag_copy_name(request.change.id, PUB_ID_MAX, id);
	err = pub_apply(pub, &request, &result);
	printf("%s: %s, %zu writes, %zu bytes written, %.1f ms", id,
	       pub_err_text((enum pub_err)err), result.writes,
	       result.written_bytes, now_ms() - start);
	pub_result_clear(&result);
	bytes_read = 0;
	start = now_ms();
	err = pub_read(reader, 0, &fetched, &revision);
	read_ms = now_ms() - start;
	if (old_text && err == PUB_OK)
		pub_delta(old_text, fetched, &delta);
	printf(", %zu bytes read in %.1f ms, %zu bytes of delta\n", bytes_read,
	       read_ms, delta ? strlen(delta) : 0);
	free(delta);
	free(text);
	return fetched;
}

static void set_first(json_t *doc, const char *kind, const char *field,
		      int value)
{
	json_t *list = json_object_get(doc, "objects");
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		json_t *o = json_array_get(list, i);

		if (strcmp(json_string_value(json_object_get(o, "kind")),
			   kind) != 0)
			continue;
		json_object_set_new(o, field, json_integer(value));
		return;
	}
}

static void measure_parse(const char *text)
{
	struct cfg_faults *faults;
	struct cfg_set *copy = NULL;
	struct cfg_set *set;
	double start = now_ms();
	int err = cfg_parse(text, strlen(text), &set, &faults);

	printf("check of the whole set: %s, %zu bytes of text, %.1f ms\n",
	       err == CFG_OK ? "ok" : "refused", strlen(text),
	       now_ms() - start);
	if (err != CFG_OK && cfg_fault_count(faults))
		printf("%s\n", cfg_fault_text(faults, 0));
	start = now_ms();
	if (set && cfg_copy(set, &copy) == CFG_OK)
		printf("copy of the set: %.2f ms\n", now_ms() - start);
	cfg_faults_free(faults);
	cfg_free(set);
	cfg_free(copy);
}

int main(int argc, char **argv)
{
	int accounts = argc > 3 ? (int)strtol(argv[1], NULL, 10) : 400;
	int endpoints = argc > 3 ? (int)strtol(argv[2], NULL, 10) : 10000;
	int services = argc > 3 ? (int)strtol(argv[3], NULL, 10) : 19;
	struct kv_backend backend = { backend_call, NULL };
	struct pub *pub = pub_new(backend);
	struct pub *reader = pub_new(backend);
	json_t *doc = make_set(accounts, endpoints, services);
	char *text = publish(pub, reader, doc, "first", NULL);
	char *next;

	if (!text)
		return 1;
	measure_parse(text);
	set_first(doc, "endpoint", "concurrency", 33);
	next = publish(pub, reader, doc, "endpoint", text);
	free(text);
	set_first(doc, "account", "weight", 2);
	text = publish(pub, reader, doc, "account", next);
	free(next);
	printf("head record: %zu bytes\n", strlen(find("config/head")->value));
	free(text);
	json_decref(doc);
	pub_free(pub);
	pub_free(reader);
	return 0;
}
