/*
 * Stand-in for a plain service.  Each POST has an effect, which is one line in
 * the record file; GET has none.  The reply to both repeats the request.
 *
 * Faults: refuse, die_before, delay_ms (before the effect), hang_ms (after
 * it), die_after, lose_answer, wrong_id, swap (with the previous reply),
 * duplicate.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>
#include <urcu/list.h>

#include "fk.h"
#include "mag.h"

#define SVC_THREADS    64
#define SVC_PORTS_MAX  64
#define SVC_EXIT_DIED  9
#define SVC_HEADER_MAX 256

/* A reply stored under a downstream key. */
struct svc_stored {
	struct cds_list_head node;
	char key[FK_ID_MAX];
	char *body;
};

static CDS_LIST_HEAD(svc_stored_list);
static pthread_mutex_t svc_lock = PTHREAD_MUTEX_INITIALIZER;
static bool svc_honour_keys; /* honours Idempotency-Key */
static long svc_effects;
static char svc_previous_ids[SVC_HEADER_MAX];
static char *svc_previous_body;

/* Returns the reply stored under a key, NULL if there is none. */
static char *svc_find(const char *key)
{
	struct svc_stored *stored;

	cds_list_for_each_entry (stored, &svc_stored_list, node) {
		if (strcmp(stored->key, key) == 0)
			return strdup(stored->body);
	}
	return NULL;
}

static void svc_store(const char *key, const char *body)
{
	struct svc_stored *stored = calloc(1, sizeof(*stored));

	if (!stored || mag_copy_name(stored->key, sizeof(stored->key), key) < 0)
		abort();
	stored->body = strdup(body);
	cds_list_add(&stored->node, &svc_stored_list);
}

/* Runs the request and returns the body of the reply. */
static char *svc_run(struct fk_request *req)
{
	bool effect = strcmp(req->method, "POST") == 0;
	json_t *asked = json_loadb(req->body, req->len, JSON_DECODE_ANY, NULL);
	const char *intent =
		json_string_value(json_object_get(asked, "intent"));
	json_t *reply;
	char *text;

	if (effect) {
		svc_effects++;
		fk_record("effect port=%d request=%s attempt=%s intent=%s",
			  fk_port(req->fk), fk_header(req, "Magnolia-Request"),
			  fk_header(req, "Magnolia-Attempt"),
			  intent ? intent : "-");
	}
	reply = json_pack("{s:s, s:s, s:s, s:I}", "path", req->path, "query",
			  req->query, "intent", intent ? intent : "", "effect",
			  (json_int_t)(effect ? svc_effects : 0));
	text = json_dumps(reply, JSON_COMPACT);
	json_decref(reply);
	json_decref(asked);
	return text;
}

/* Runs the request, or returns the reply stored under its key. */
static char *svc_run_once(struct fk_request *req)
{
	const char *key = fk_header(req, "Idempotency-Key");
	char *text = NULL;

	pthread_mutex_lock(&svc_lock);
	fk_record("asked port=%d method=%s key=%s", fk_port(req->fk),
		  req->method, *key ? key : "-");
	if (svc_honour_keys && *key)
		text = svc_find(key);
	if (!text) {
		text = svc_run(req);
		if (svc_honour_keys && *key)
			svc_store(key, text);
	}
	pthread_mutex_unlock(&svc_lock);
	return text;
}

/* Swaps a reply with the previous one, as if two replies were mixed up. */
static void svc_swap_reply(char *ids, char **body)
{
	char old_ids[SVC_HEADER_MAX];
	char *old_body;

	pthread_mutex_lock(&svc_lock);
	memcpy(old_ids, svc_previous_ids, sizeof(old_ids));
	old_body = svc_previous_body ? svc_previous_body : strdup("{}");
	memcpy(svc_previous_ids, ids, SVC_HEADER_MAX);
	svc_previous_body = strdup(*body);
	pthread_mutex_unlock(&svc_lock);
	if (*old_ids == '\0')
		snprintf(old_ids, sizeof(old_ids),
			 "Magnolia-Request: none\r\nMagnolia-Attempt: 1\r\n");
	memcpy(ids, old_ids, SVC_HEADER_MAX);
	free(*body);
	*body = old_body;
}

static void svc_handle(struct fk_request *req)
{
	char ids[SVC_HEADER_MAX];
	long value = 0;
	char *text;

	if (fk_use_fault(req->fk, "refuse", NULL)) {
		fk_reply(req, 503, "X-Not-Begun: 1\r\n", "", 0);
		return;
	}
	if (fk_use_fault(req->fk, "die_before", NULL))
		_exit(SVC_EXIT_DIED);
	if (fk_use_fault(req->fk, "delay_ms", &value))
		fk_sleep_us(value * MAG_US_PER_MS);
	text = svc_run_once(req);
	if (fk_use_fault(req->fk, "hang_ms", &value))
		fk_sleep_us(value * MAG_US_PER_MS);
	if (fk_use_fault(req->fk, "die_after", NULL))
		_exit(SVC_EXIT_DIED);
	if (fk_use_fault(req->fk, "lose_answer", NULL)) {
		fk_abort(req);
		free(text);
		return;
	}
	snprintf(ids, sizeof(ids),
		 "Magnolia-Request: %.80s\r\nMagnolia-Attempt: %.20s\r\n",
		 fk_use_fault(req->fk, "wrong_id", NULL)
			 ? "another"
			 : fk_header(req, "Magnolia-Request"),
		 fk_header(req, "Magnolia-Attempt"));
	if (*fk_header(req, "X-Ask"))
		snprintf(ids + strlen(ids), sizeof(ids) - strlen(ids),
			 "X-Told: %.60s %s\r\n", fk_header(req, "X-Ask"),
			 *fk_header(req, "Authorization") ? "key" : "no-key");
	if (fk_use_fault(req->fk, "swap", NULL))
		svc_swap_reply(ids, &text);
	fk_reply(req, 200, ids, text, strlen(text));
	if (fk_use_fault(req->fk, "duplicate", NULL))
		fk_reply(req, 200, ids, text, strlen(text));
	free(text);
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1("p", "port", "N", "first port");
	struct arg_int *count = arg_int0("n", "count", "N", "ports from it on");
	struct arg_file *record =
		arg_file0(NULL, "record", "FILE", "a line for each effect");
	struct arg_lit *keys = arg_lit0(NULL, "keys", "honour Idempotency-Key");
	struct arg_end *end = arg_end(8);
	void *table[] = { port, count, record, keys, end };
	int ports;
	int i;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "fake_service");
		return 2;
	}
	ports = count->count ? count->ival[0] : 1;
	svc_honour_keys = keys->count > 0;
	if (record->count && fk_record_open(record->filename[0]) < 0)
		return 1;
	fk_block_signals();
	for (i = 0; i < ports && i < SVC_PORTS_MAX; i++)
		fk_start(port->ival[0] + i, SVC_THREADS, svc_handle, NULL,
			 NULL);
	fk_wait_signal();
	_Exit(0);
}
