/*
 * Stand-in of a plain service.  POST has an effect, one line each in the
 * record file; GET has none.  Both answer with what they were asked.
 *
 * Faults: refuse, die_before, delay_ms (before the effect), hang_ms (after
 * it), die_after, lose_answer, wrong_id, swap (with the answer before it),
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

/* An answer under a downstream key. */
struct svc_kept {
	struct cds_list_head node;
	char key[FK_ID_MAX];
	char *body;
};

static CDS_LIST_HEAD(svc_kept_list);
static pthread_mutex_t svc_lock = PTHREAD_MUTEX_INITIALIZER;
static bool svc_keys; /* honours Idempotency-Key */
static long svc_effects;
static char svc_last_ids[SVC_HEADER_MAX];
static char *svc_last_body;

/* Finds the answer kept under a key, NULL if there is none. */
static char *svc_find(const char *key)
{
	struct svc_kept *kept;

	cds_list_for_each_entry (kept, &svc_kept_list, node) {
		if (strcmp(kept->key, key) == 0)
			return strdup(kept->body);
	}
	return NULL;
}

static void svc_keep(const char *key, const char *body)
{
	struct svc_kept *kept = calloc(1, sizeof(*kept));

	if (!kept || mag_copy_name(kept->key, sizeof(kept->key), key) < 0)
		abort();
	kept->body = strdup(body);
	cds_list_add(&kept->node, &svc_kept_list);
}

/* Runs the request once and returns the answer's text. */
static char *svc_run(struct fk_request *req)
{
	bool effect = strcmp(req->method, "POST") == 0;
	json_t *asked = json_loadb(req->body, req->len, JSON_DECODE_ANY, NULL);
	const char *intent =
		json_string_value(json_object_get(asked, "intent"));
	json_t *answer;
	char *text;

	if (effect) {
		svc_effects++;
		fk_record("effect port=%d request=%s attempt=%s intent=%s",
			  fk_port(req->fk), fk_header(req, "Magnolia-Request"),
			  fk_header(req, "Magnolia-Attempt"),
			  intent ? intent : "-");
	}
	answer = json_pack("{s:s, s:s, s:s, s:I}", "path", req->path, "query",
			   req->query, "intent", intent ? intent : "", "effect",
			   (json_int_t)(effect ? svc_effects : 0));
	text = json_dumps(answer, JSON_COMPACT);
	json_decref(answer);
	json_decref(asked);
	return text;
}

/* Runs the request, or finds what it answered under the same key. */
static char *svc_run_once(struct fk_request *req)
{
	const char *key = fk_header(req, "Idempotency-Key");
	char *text = NULL;

	pthread_mutex_lock(&svc_lock);
	fk_record("asked port=%d method=%s key=%s", fk_port(req->fk),
		  req->method, *key ? key : "-");
	if (svc_keys && *key)
		text = svc_find(key);
	if (!text) {
		text = svc_run(req);
		if (svc_keys && *key)
			svc_keep(key, text);
	}
	pthread_mutex_unlock(&svc_lock);
	return text;
}

/* Exchanges an answer for the one before it, as a crossed answer would. */
static void svc_cross(char *ids, char **body)
{
	char ids_before[SVC_HEADER_MAX];
	char *body_before;

	pthread_mutex_lock(&svc_lock);
	memcpy(ids_before, svc_last_ids, sizeof(ids_before));
	body_before = svc_last_body ? svc_last_body : strdup("{}");
	memcpy(svc_last_ids, ids, SVC_HEADER_MAX);
	svc_last_body = strdup(*body);
	pthread_mutex_unlock(&svc_lock);
	if (*ids_before == '\0')
		snprintf(ids_before, sizeof(ids_before),
			 "Magnolia-Request: none\r\nMagnolia-Attempt: 1\r\n");
	memcpy(ids, ids_before, SVC_HEADER_MAX);
	free(*body);
	*body = body_before;
}

static void svc_handle(struct fk_request *req)
{
	char ids[SVC_HEADER_MAX];
	long value = 0;
	char *text;

	if (fk_fault(req->fk, "refuse", NULL)) {
		fk_answer(req, 503, "X-Not-Begun: 1\r\n", "", 0);
		return;
	}
	if (fk_fault(req->fk, "die_before", NULL))
		_exit(SVC_EXIT_DIED);
	if (fk_fault(req->fk, "delay_ms", &value))
		fk_sleep_us(value * MAG_US_PER_MS);
	text = svc_run_once(req);
	if (fk_fault(req->fk, "hang_ms", &value))
		fk_sleep_us(value * MAG_US_PER_MS);
	if (fk_fault(req->fk, "die_after", NULL))
		_exit(SVC_EXIT_DIED);
	if (fk_fault(req->fk, "lose_answer", NULL)) {
		fk_abort(req);
		free(text);
		return;
	}
	snprintf(ids, sizeof(ids),
		 "Magnolia-Request: %.80s\r\nMagnolia-Attempt: %.20s\r\n",
		 fk_fault(req->fk, "wrong_id", NULL)
			 ? "another"
			 : fk_header(req, "Magnolia-Request"),
		 fk_header(req, "Magnolia-Attempt"));
	if (*fk_header(req, "X-Ask"))
		snprintf(ids + strlen(ids), sizeof(ids) - strlen(ids),
			 "X-Told: %.60s %s\r\n", fk_header(req, "X-Ask"),
			 *fk_header(req, "Authorization") ? "key" : "no-key");
	if (fk_fault(req->fk, "swap", NULL))
		svc_cross(ids, &text);
	fk_answer(req, 200, ids, text, strlen(text));
	if (fk_fault(req->fk, "duplicate", NULL))
		fk_answer(req, 200, ids, text, strlen(text));
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
	svc_keys = keys->count > 0;
	if (record->count && fk_record_open(record->filename[0]) < 0)
		return 1;
	fk_block_signals();
	for (i = 0; i < ports && i < SVC_PORTS_MAX; i++)
		fk_start(port->ival[0] + i, SVC_THREADS, svc_handle, NULL,
			 NULL);
	fk_wait_signal();
	_Exit(0);
}
