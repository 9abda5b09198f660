#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clk.h"
#include "ep_int.h"

#define EP_URL_MAX 256

static int engine_prepare(struct ep_call *call);
static bool engine_headers(struct ep_call *call,
			   const struct hdr_list *headers);
static bool engine_receive(struct ep_call *call, const char *bytes, size_t len);
static void engine_finish(struct ep_call *call, CURLcode code);
static void engine_cancel(struct ep_call *call);
static char *engine_body(const struct ep_call *call);
static json_t *engine_chain(const struct core_dispatch *dispatch);
static json_t *engine_delivered(const struct ep_request *request);
static int on_event(void *ctx, const char *name, const char *data);
static int on_token(struct ep_call *call, const json_t *object);
static void on_failed(struct ep_call *call, const json_t *object);
static void on_done(struct ep_call *call, const json_t *object);
static bool ids_match(const struct ep_call *call, const json_t *object);
static int read_hop_times(const json_t *object, uint32_t *hop_us);

const struct ep_protocol ep_engine = {
	.prepare = engine_prepare,
	.receive_headers = engine_headers,
	.receive_body = engine_receive,
	.finish = engine_finish,
	.probe = ep_engine_probe,
	.cancel = engine_cancel,
};

static int engine_prepare(struct ep_call *call)
{
	char url[EP_URL_MAX];

	snprintf(url, sizeof(url), "http://%s/v1/generate",
		 call->request->dispatch->stages[0].address);
	ep_sse_init(&call->sse, on_event, call);
	call->request_body = engine_body(call);
	if (!call->request_body)
		return EP_E_MEMORY;
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, call->request_body);
	return ep_add_header(call, "Content-Type", "application/json");
}

/* Formats the request body for the first stage; the caller frees it. */
static char *engine_body(const struct ep_call *call)
{
	const struct ep_request *request = call->request;
	const struct core_dispatch *dispatch = request->dispatch;
	int64_t left_ms = (dispatch->deadline_us - clk_now_us()) / 1000;
	json_t *body;
	char *text;

	body = json_pack(
		"{s:s, s:i, s:i, s:o, s:i, s:i, s:I, s:s, s:i, s:o}", "request",
		request->id, "attempt", (int)dispatch->attempt, "from",
		(int)dispatch->resume_token, "given", engine_delivered(request),
		"max_tokens", (int)request->max_tokens, "priority",
		(int)dispatch->priority, "deadline_ms", (json_int_t)left_ms,
		"prompt", request->prompt, "layers", (int)dispatch->layers,
		"chain", engine_chain(dispatch));
	if (!body)
		return NULL;
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

static json_t *engine_chain(const struct core_dispatch *dispatch)
{
	json_t *chain = json_array();
	int i;

	for (i = 0; i < dispatch->stage_count; i++) {
		const struct core_stage *stage = &dispatch->stages[i];

		json_array_append_new(
			chain,
			json_pack("{s:s, s:s, s:i, s:i}", "endpoint",
				  stage->endpoint, "address", stage->address,
				  "first", (int)stage->first_layer, "last",
				  (int)stage->last_layer));
	}
	return chain;
}

/* Lists the delivered tokens, from which a new stage rebuilds its cache. */
static json_t *engine_delivered(const struct ep_request *request)
{
	json_t *tokens = json_array();
	uint32_t i;

	for (i = 0; i < request->dispatch->resume_token; i++)
		json_array_append_new(tokens,
				      json_string(request->delivered[i]));
	return tokens;
}

static bool engine_receive(struct ep_call *call, const char *bytes, size_t len)
{
	if (call->answer->status != 200)
		return ep_append_body(call, bytes, len);
	return ep_sse_feed(&call->sse, bytes, len) == EP_SSE_OK;
}

/* Handles one event of the stream; a value other than 0 aborts it. */
static int on_event(void *ctx, const char *name, const char *data)
{
	struct ep_call *call = ctx;
	json_t *object = json_loads(data, 0, NULL);
	int rc = 0;

	if (!json_is_object(object) || !ids_match(call, object)) {
		/* Never deliver a token of another request to this caller. */
		call->invalid = true;
		rc = -1;
	} else if (strcmp(name, "done") == 0) {
		on_done(call, object);
	} else if (strcmp(name, "failed") == 0) {
		on_failed(call, object);
	} else if (name[0] == '\0' && !call->stream_ended) {
		rc = on_token(call, object);
	}
	json_decref(object);
	return rc;
}

/*
 * Delivers a token that has the expected index.  A lower index is a duplicate
 * and is dropped.  A higher index means that a token is missing; the attempt
 * fails, as the caller would get an incomplete response.
 */
static int on_token(struct ep_call *call, const json_t *object)
{
	uint32_t hop_us[MAG_CHAIN_MAX];
	json_int_t index = json_integer_value(json_object_get(object, "index"));
	const char *text = json_string_value(json_object_get(object, "token"));
	int hops;

	if (!text || index < 0) {
		call->invalid = true;
		return -1;
	}
	if (index < (json_int_t)call->next_token)
		return 0;
	if (index > (json_int_t)call->next_token) {
		call->invalid = true;
		return -1;
	}
	hops = read_hop_times(object, hop_us);
	if (!call->sink->on_token(call->sink->ctx, call->next_token, text,
				  hop_us, hops))
		return -1;
	call->next_token++;
	return 0;
}

static void on_failed(struct ep_call *call, const json_t *object)
{
	call->stream_ended = true;
	call->answer->end = CORE_END_STAGE;
	call->answer->failed_stage =
		(int)json_integer_value(json_object_get(object, "stage"));
}

/* The stream is complete only if its token count matches those delivered. */
static void on_done(struct ep_call *call, const json_t *object)
{
	json_int_t tokens =
		json_integer_value(json_object_get(object, "tokens"));

	call->stream_ended = true;
	if (tokens == (json_int_t)call->next_token)
		call->answer->end = CORE_END_COMPLETE;
	else
		call->invalid = true;
}

static bool ids_match(const struct ep_call *call, const json_t *object)
{
	const char *id = json_string_value(json_object_get(object, "request"));
	json_int_t attempt =
		json_integer_value(json_object_get(object, "attempt"));

	return id && strcmp(id, call->request->id) == 0 &&
	       attempt == (json_int_t)call->request->dispatch->attempt;
}

static int read_hop_times(const json_t *object, uint32_t *hop_us)
{
	const json_t *hops = json_object_get(object, "hops_us");
	size_t count = json_array_size(hops);
	size_t i;

	if (count > MAG_CHAIN_MAX)
		count = MAG_CHAIN_MAX;
	for (i = 0; i < count; i++)
		hop_us[i] =
			(uint32_t)json_integer_value(json_array_get(hops, i));
	return (int)count;
}

static void engine_finish(struct ep_call *call, CURLcode code)
{
	struct ep_answer *answer = call->answer;

	if (call->invalid)
		answer->end = CORE_END_WRONG_IDS;
	else if (call->stream_ended)
		return;
	else if (code != CURLE_OK)
		answer->end = ep_end_of_failure(call, code);
	else if (ep_status_proves_not_begun(call))
		answer->end = CORE_END_REFUSED;
	else if (answer->status != 200)
		answer->end = CORE_END_STATUS;
	else
		answer->end = CORE_END_DISCONNECTED;
}

/*
 * Tells every stage to cancel the attempt.  Otherwise the remaining stages of a
 * failed chain would keep working in vain and count as busy.
 */
static void engine_cancel(struct ep_call *call)
{
	const struct core_dispatch *dispatch = call->request->dispatch;
	json_t *object = json_pack("{s:s, s:i}", "request", call->request->id,
				   "attempt", (int)dispatch->attempt);
	char *body = json_dumps(object, JSON_COMPACT);
	int i;

	for (i = 0; body && i < dispatch->stage_count; i++)
		ep_cancel_post(call->ep->cancel, dispatch->stages[i].address,
			       body);
	json_decref(object);
	free(body);
}

/* No header of an engine's response is relayed to the caller. */
static bool engine_headers(struct ep_call *call, const struct hdr_list *headers)
{
	(void)call;
	(void)headers;
	return true;
}
