/*
 * Stand-in for model engines: each port is an endpoint that holds a range of
 * layers.  The first stage of a chain receives the request; for each token,
 * every stage runs its layers and calls the next stage.
 *
 * Faults: refuse, die, die_at (token index), hang_ms, delay_us and link_us (per
 * token), wrong_id, duplicate.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>

#include "eng.h"

#define ENG_THREADS   96
#define ENG_PORTS_MAX 256
#define ENG_REPORT_US (500 * MAG_US_PER_MS)

static struct eng_endpoint eng_endpoints[ENG_PORTS_MAX];
static int eng_count;
static int eng_threads = ENG_THREADS;
static const char *eng_poison;
static const char *eng_platform;

/* Frees the curl handle of a closed connection. */
static void eng_closed(const struct mg_connection *conn)
{
	curl_easy_cleanup(mg_get_user_connection_data(conn));
}

/*
 * Returns the curl handle for calls to the next stage.  It lives as long as the
 * connection from the previous stage, so the end of a stream closes its
 * connections along the whole chain.
 */
static CURL *eng_conn_curl(struct mg_connection *conn)
{
	CURL *curl = mg_get_user_connection_data(conn);

	if (!curl) {
		curl = curl_easy_init();
		mg_set_user_connection_data(conn, curl);
	}
	return curl;
}

/* POST /v1/step: a token from the previous stage. */
static void eng_on_step(struct fk_request *req, json_t *body)
{
	struct eng_endpoint *ep = fk_ctx(req->fk);
	struct eng_step step = { .chain = json_object_get(body, "chain") };
	const char *state = json_string_value(json_object_get(body, "state"));

	step.request = json_string_value(json_object_get(body, "request"));
	step.attempt = json_integer_value(json_object_get(body, "attempt"));
	step.index =
		(uint32_t)json_integer_value(json_object_get(body, "index"));
	step.stage = (size_t)json_integer_value(json_object_get(body, "stage"));
	if (!step.request || !state) {
		fk_reply(req, 400, "", "", 0);
		return;
	}
	step.state = strtoull(state, NULL, 16);
	if (!eng_register_attempt(ep, step.request, step.attempt, false))
		fk_reply_json(req, 409, "",
			      json_pack("{s:I, s:s}", "stage",
					(json_int_t)step.stage, "why",
					"old attempt"));
	else if (eng_run(ep, &step, eng_conn_curl(req->conn)) < 0)
		fk_reply_json(req, 502, "",
			      json_pack("{s:I, s:s}", "stage",
					(json_int_t)step.failed_stage, "why",
					step.why));
	else
		fk_reply_json(req, 200, "",
			      json_pack("{s:s, s:o}", "token", step.token,
					"hops_us", eng_hops_json(&step)));
}

/* Sends one event; false if the client has disconnected. */
static bool eng_event(struct fk_request *req, const char *name, json_t *data)
{
	char *text = json_dumps(data, JSON_COMPACT);
	char *event = NULL;
	int len;
	bool sent;

	json_decref(data);
	if (name)
		len = asprintf(&event, "event: %s\ndata: %s\n\n", name, text);
	else
		len = asprintf(&event, "data: %s\n\n", text);
	sent = len > 0 &&
	       mg_send_chunk(req->conn, event, (unsigned int)len) > 0;
	free(event);
	free(text);
	return sent;
}

/* Sends a token; faults make it one of another request or send it twice. */
static bool eng_send_token(struct fk_request *req, const struct eng_step *step)
{
	struct eng_endpoint *ep = fk_ctx(req->fk);
	const char *id = step->request;
	int times = fk_use_fault(ep->fk, "duplicate", NULL) ? 2 : 1;

	if (fk_use_fault(ep->fk, "wrong_id", NULL))
		id = "another";
	while (times-- > 0) {
		if (!eng_event(req, NULL,
			       json_pack("{s:s, s:I, s:I, s:s, s:o}", "request",
					 id, "attempt",
					 (json_int_t)step->attempt, "index",
					 (json_int_t)step->index, "token",
					 step->token, "hops_us",
					 eng_hops_json(step))))
			return false;
	}
	return true;
}

/* Generates the tokens up to index max - 1; true if all were sent. */
static bool eng_generate(struct fk_request *req, struct eng_step *step,
			 const char *prompt, uint32_t max)
{
	struct eng_endpoint *ep = fk_ctx(req->fk);
	CURL *curl = curl_easy_init();
	bool ok = true;

	for (; ok && step->index < max; step->index++) {
		step->state = fk_initial_state(prompt, step->index);
		step->stage = 0;
		if (!eng_register_attempt(ep, step->request, step->attempt,
					  false)) {
			ok = false;
		} else if (eng_run(ep, step, curl) == 0) {
			ok = eng_send_token(req, step);
		} else {
			eng_event(req, "failed",
				  json_pack("{s:s, s:I, s:I, s:s}", "request",
					    step->request, "attempt",
					    (json_int_t)step->attempt, "stage",
					    (json_int_t)step->failed_stage,
					    "why", step->why));
			ok = false;
		}
	}
	curl_easy_cleanup(curl);
	return ok;
}

/* Checks the tokens that the router reports as delivered; NULL if correct. */
static const char *eng_check_given(json_t *body, const char *prompt,
				   uint32_t from)
{
	json_t *given = json_object_get(body, "given");
	uint32_t layers =
		(uint32_t)json_integer_value(json_object_get(body, "layers"));
	char expected[FK_TOKEN_MAX];
	json_t *token;
	size_t i;

	if (!layers || !json_array_size(json_object_get(body, "chain")))
		return "no layers or no chain";
	if (json_array_size(given) != from)
		return "given tokens and from differ";
	json_array_foreach (given, i, token) {
		fk_expected_token(expected, prompt, (uint32_t)i, layers);
		if (!json_is_string(token) ||
		    strcmp(json_string_value(token), expected) != 0)
			return "a given token is wrong";
	}
	return NULL;
}

/* POST /v1/generate: a request; this endpoint is its first stage. */
static void eng_on_generate(struct fk_request *req, json_t *body)
{
	struct eng_endpoint *ep = fk_ctx(req->fk);
	struct eng_step step = { .chain = json_object_get(body, "chain") };
	const char *prompt = json_string_value(json_object_get(body, "prompt"));
	uint32_t max = (uint32_t)json_integer_value(
		json_object_get(body, "max_tokens"));
	const char *error;

	step.request = json_string_value(json_object_get(body, "request"));
	step.attempt = json_integer_value(json_object_get(body, "attempt"));
	step.index =
		(uint32_t)json_integer_value(json_object_get(body, "from"));
	error = prompt && step.request
			? eng_check_given(body, prompt, step.index)
			: "no prompt or no request";
	if (error) {
		fk_reply(req, 400, "", error, strlen(error));
		return;
	}
	if (atomic_load(&ep->running) >= ep->concurrency ||
	    fk_use_fault(ep->fk, "refuse", NULL)) {
		fk_reply(req, 503, "X-Not-Begun: 1\r\n", "", 0);
		return;
	}
	if (!eng_register_attempt(ep, step.request, step.attempt, false)) {
		fk_reply(req, 409, "", "", 0);
		return;
	}
	if (eng_poison && strstr(prompt, eng_poison))
		_exit(ENG_EXIT_DIED);
	atomic_fetch_add(&ep->running, 1);
	fk_begin_chunks(req, "Content-Type: text/event-stream\r\n");
	if (eng_generate(req, &step, prompt, max))
		eng_event(req, "done",
			  json_pack("{s:s, s:I, s:I}", "request", step.request,
				    "attempt", (json_int_t)step.attempt,
				    "tokens", (json_int_t)max));
	mg_send_chunk(req->conn, "", 0);
	atomic_fetch_sub(&ep->running, 1);
}

static void eng_on_cancel(struct fk_request *req, json_t *body)
{
	const char *request =
		json_string_value(json_object_get(body, "request"));

	if (request)
		eng_register_attempt(
			fk_ctx(req->fk), request,
			json_integer_value(json_object_get(body, "attempt")),
			true);
	fk_reply(req, request ? 200 : 400, "", "", 0);
}

/* POST /v1/order: sets the model and the layers that the endpoint holds. */
static void eng_on_order(struct fk_request *req, json_t *body)
{
	struct eng_endpoint *ep = fk_ctx(req->fk);
	long fence = json_integer_value(json_object_get(body, "fence"));
	const char *model = json_string_value(json_object_get(body, "model"));
	bool accepted = false;

	pthread_mutex_lock(&ep->lock);
	if (!ep->checks_fencing || fence >= ep->fence) {
		ep->fence = fence;
		ep->first = (uint32_t)json_integer_value(
			json_object_get(body, "first"));
		ep->last = (uint32_t)json_integer_value(
			json_object_get(body, "last"));
		if (model)
			snprintf(ep->model, sizeof(ep->model), "%s", model);
		accepted = true;
	}
	pthread_mutex_unlock(&ep->lock);
	fk_record("order endpoint=%s fence=%ld taken=%d first=%u last=%u",
		  ep->name, fence, accepted, ep->first, ep->last);
	fk_reply(req, accepted ? 200 : 409, "", "", 0);
}

static void eng_on_state(struct fk_request *req, json_t *body)
{
	struct eng_endpoint *ep = fk_ctx(req->fk);

	(void)body;
	fk_reply_json(req, 200, "",
		      json_pack("{s:s, s:s, s:I, s:I, s:I, s:I, s:I}",
				"endpoint", ep->name, "model", ep->model,
				"first", (json_int_t)ep->first, "last",
				(json_int_t)ep->last, "running",
				(json_int_t)atomic_load(&ep->running),
				"tokens_per_s", (json_int_t)ep->tokens_per_s,
				"fence", (json_int_t)ep->fence));
}

static void eng_handle(struct fk_request *req)
{
	static const struct {
		const char *path;
		void (*handle)(struct fk_request *req, json_t *body);
	} calls[] = {
		{ "/v1/generate", eng_on_generate },
		{ "/v1/step", eng_on_step },
		{ "/v1/cancel", eng_on_cancel },
		{ "/v1/order", eng_on_order },
		{ "/v1/state", eng_on_state },
	};
	json_t *body = json_loadb(req->body, req->len, 0, NULL);
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(calls); i++) {
		if (strcmp(calls[i].path, req->path) == 0)
			break;
	}
	if (i < MAG_ARRAY_SIZE(calls))
		calls[i].handle(req, body);
	else
		fk_reply(req, 404, "", "", 0);
	json_decref(body);
}

/* Posts load reports of all endpoints of this process periodically. */
static void *eng_report(void *arg)
{
	CURL *curl = curl_easy_init();
	struct eng_response response;
	char url[128];
	json_t *list;
	char *text;
	int i;

	snprintf(url, sizeof(url), "http://%s/loads", eng_platform);
	for (;;) {
		list = json_array();
		for (i = 0; i < eng_count; i++)
			json_array_append_new(
				list,
				json_pack("{s:s, s:I, s:I}", "endpoint",
					  eng_endpoints[i].name, "tokens_per_s",
					  (json_int_t)eng_endpoints[i]
						  .tokens_per_s,
					  "running",
					  (json_int_t)atomic_load(
						  &eng_endpoints[i].running)));
		list = json_pack("{s:o}", "loads", list);
		text = json_dumps(list, JSON_COMPACT);
		json_decref(list);
		eng_post(curl, url, text, &response);
		free(text);
		fk_sleep_us(ENG_REPORT_US);
	}
	return arg;
}

/* Reads an endpoint object; false unless it is an engine on our ports. */
static bool eng_read_endpoint(json_t *objects, json_t *object, int port,
			      int count, struct eng_endpoint *ep, int *at)
{
	const char *name = "";
	const char *service = "";
	const char *address = "";
	int64_t link = 125000000; /* the default in magnolia.conf(5) */
	int first = 0;
	int last = -1;
	int rate = 0;
	int most = 1;
	json_t *other;
	size_t i;

	json_unpack(object, "{s:s, s:s, s:s, s?:i, s:i, s:i, s?:i, s?:I, s?:b}",
		    "name", &name, "service", &service, "address", &address,
		    "first_layer", &first, "last_layer", &last, "tokens_per_s",
		    &rate, "concurrency", &most, "link_bytes_per_s", &link,
		    "checks_fencing", &ep->checks_fencing);
	*at = strchr(address, ':') ? atoi(strchr(address, ':') + 1) : 0;
	if (last < 0 || *at < port || *at >= port + count)
		return false;
	ep->activation_bytes = 16384;
	json_array_foreach (objects, i, other) {
		const char *of =
			json_string_value(json_object_get(other, "name"));
		json_t *bytes = json_object_get(other, "activation_bytes");

		if (bytes && of && strcmp(of, service) == 0)
			ep->activation_bytes = json_integer_value(bytes);
	}
	snprintf(ep->name, sizeof(ep->name), "%s", name);
	snprintf(ep->model, sizeof(ep->model), "%s", service);
	ep->first = (uint32_t)first;
	ep->last = (uint32_t)last;
	ep->tokens_per_s = rate ? rate : 1000;
	ep->concurrency = most;
	ep->link_bytes_per_s = link;
	return true;
}

/* Starts a server for each endpoint object within the range of ports. */
static void eng_start(const char *path, int port, int count)
{
	json_t *objects = fk_load_set(path);
	json_t *object;
	size_t i;
	int at;

	json_array_foreach (objects, i, object) {
		const char *kind =
			json_string_value(json_object_get(object, "kind"));
		struct eng_endpoint *ep = &eng_endpoints[eng_count];

		if (!kind || strcmp(kind, "endpoint") != 0 ||
		    !eng_read_endpoint(objects, object, port, count, ep, &at))
			continue;
		pthread_mutex_init(&ep->lock, NULL);
		CDS_INIT_LIST_HEAD(&ep->attempts);
		ep->fk = fk_start(at, eng_threads, eng_handle, eng_closed, ep);
		eng_count++;
	}
	json_decref(objects);
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1("p", "port", "N", "first port");
	struct arg_int *count = arg_int0("n", "count", "N", "ports from it on");
	struct arg_file *set = arg_file1(NULL, "set", "FILE",
					 "objects that say what each port is");
	struct arg_file *record = arg_file0(NULL, "record", "FILE",
					    "a line for each token and stage");
	struct arg_dbl *speed =
		arg_dbl0(NULL, "speed", "X", "times faster than rated");
	struct arg_str *poison =
		arg_str0(NULL, "poison", "WORD", "die when a prompt holds it");
	struct arg_str *platform =
		arg_str0(NULL, "platform", "IP:PORT", "where load reports go");
	struct arg_int *threads = arg_int0(NULL, "threads", "N", "a port");
	struct arg_end *end = arg_end(8);
	void *table[] = { port,	  count,    set,     record, speed,
			  poison, platform, threads, end };
	pthread_t reporter;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "fake_engine");
		return 2;
	}
	if (speed->count)
		eng_speed = speed->dval[0];
	if (threads->count)
		eng_threads = threads->ival[0];
	if (poison->count)
		eng_poison = poison->sval[0];
	if (record->count && fk_record_open(record->filename[0]) < 0)
		return 1;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	fk_block_signals();
	eng_start(set->filename[0], port->ival[0],
		  count->count ? count->ival[0] : 1);
	if (platform->count) {
		eng_platform = platform->sval[0];
		pthread_create(&reporter, NULL, eng_report, NULL);
	}
	fk_wait_signal();
	_Exit(0);
}
