#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "ep_int.h"

#define EP_POLL_MS 200

static const struct ep_protocol *const ep_protocols[] = {
	[CFG_MODEL] = &ep_engine,
	[CFG_PLAIN] = &ep_plain,
};

static bool ep_never_sent(const struct ep_call *call, CURLcode code);
static bool on_head(void *ctx, const struct rsp *rsp);
static bool on_body(void *ctx, const char *bytes, size_t len);
static bool may_be_running(enum core_end end);
static int prepare(struct ep_call *call);
static CURLcode transfer(struct ep_call *call, bool *cancelled);
static bool should_cancel(struct ep_call *call);
static bool finished(struct ep_call *call, CURLcode *code);
static void copy_header(char *dst, size_t size, const struct hdr_list *headers,
			const char *name);

static const struct rsp_ops response_ops = {
	.head = on_head,
	.body = on_body,
};

/* Creates a server thread's state for calls; NULL if out of memory. */
struct ep *ep_new(long connect_ms, struct ep_cancel *cancel)
{
	struct ep *ep = calloc(1, sizeof(*ep));

	if (!ep)
		return NULL;
	ep->connect_ms = connect_ms;
	ep->cancel = cancel;
	ep->multi = curl_multi_init();
	if (!ep->multi) {
		free(ep);
		return NULL;
	}
	return ep;
}

/* Frees a thread's state and closes its connections. */
void ep_free(struct ep *ep)
{
	if (!ep)
		return;
	curl_multi_cleanup(ep->multi);
	free(ep);
}

/* Makes a running call poll its sink immediately; called from any thread. */
void ep_wake(struct ep *ep)
{
	curl_multi_wakeup(ep->multi);
}

/*
 * Runs one attempt to its end and stores in answer how it ended.  If out of
 * memory, nothing is sent and the attempt ends as CORE_END_NOT_CONNECTED.
 */
void ep_run(struct ep *ep, const struct ep_request *request,
	    const struct ep_sink *sink, struct ep_answer *answer)
{
	struct ep_call *call = calloc(1, sizeof(*call));
	bool cancelled = false;
	CURLcode code;

	memset(answer, 0, sizeof(*answer));
	answer->end = CORE_END_NOT_CONNECTED;
	if (!call)
		return;
	call->ep = ep;
	call->request = request;
	call->sink = sink;
	call->answer = answer;
	call->next_token = request->dispatch->resume_token;
	call->protocol = ep_protocols[request->dispatch->kind];
	call->easy = curl_easy_init();
	if (call->easy && prepare(call) == EP_OK) {
		code = transfer(call, &cancelled);
		call->protocol->finish(call, code);
	}
	if (cancelled && answer->end != CORE_END_COMPLETE)
		answer->end = CORE_END_CANCELLED;
	if (may_be_running(answer->end))
		call->protocol->cancel(call);
	curl_slist_free_all(call->headers);
	curl_easy_cleanup(call->easy);
	crsp_free(&call->response);
	free(call->request_body);
	free(call);
}

/* Adds a request header.  Returns 0 or EP_E_MEMORY. */
int ep_add_header(struct ep_call *call, const char *name, const char *value)
{
	char line[512];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	return ep_add_header_line(call, line);
}

/* Adds a complete header line to the request.  Returns 0 or EP_E_MEMORY. */
int ep_add_header_line(struct ep_call *call, const char *line)
{
	struct curl_slist *list = curl_slist_append(call->headers, line);

	if (!list)
		return EP_E_MEMORY;
	call->headers = list;
	return EP_OK;
}

/* Appends to the response body; false beyond EP_BODY_MAX or out of memory. */
bool ep_append_body(struct ep_call *call, const char *bytes, size_t len)
{
	struct ep_answer *answer = call->answer;
	char *body;

	if (answer->body_len + len > EP_BODY_MAX) {
		call->too_long = true;
		return false;
	}
	body = realloc(answer->body, answer->body_len + len + 1);
	if (!body)
		return false;
	memcpy(body + answer->body_len, bytes, len);
	answer->body = body;
	answer->body_len += len;
	body[answer->body_len] = '\0';
	return true;
}

/*
 * Returns whether the response proves that the endpoint did not begin the
 * request: the service's configuration lists its status in not_begun_status,
 * and it has the header X-Not-Begun.
 */
bool ep_status_proves_not_begun(const struct ep_call *call)
{
	const int *list = call->request->dispatch->not_begun_status;
	int i;

	if (!call->not_begun)
		return false;
	for (i = 0; i < CFG_NOT_BEGUN_MAX && list[i]; i++) {
		if (list[i] == call->answer->status)
			return true;
	}
	return false;
}

/*
 * Returns how an attempt ended whose transfer failed.  Only a connection that
 * breaks tells that the endpoint may have died; one that sends something else
 * than a response is alive.
 */
enum core_end ep_end_of_failure(const struct ep_call *call, CURLcode code)
{
	if (ep_never_sent(call, code))
		return CORE_END_NOT_CONNECTED;
	if (code == CURLE_WEIRD_SERVER_REPLY ||
	    code == CURLE_UNSUPPORTED_PROTOCOL)
		return CORE_END_MALFORMED;
	return CORE_END_DISCONNECTED;
}

/*
 * Returns whether a transfer failed before any byte of the request could be
 * sent, because no connection was established.  Any later failure is ambiguous.
 */
static bool ep_never_sent(const struct ep_call *call, CURLcode code)
{
	long connects = 0;
	long sent = 0;

	if (code == CURLE_COULDNT_CONNECT ||
	    code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT)
		return true;
	curl_easy_getinfo(call->easy, CURLINFO_NUM_CONNECTS, &connects);
	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &sent);
	return code == CURLE_OPERATION_TIMEDOUT && connects == 0 && sent == 0;
}

/* Returns whether endpoints may still be working on an attempt that ended. */
static bool may_be_running(enum core_end end)
{
	return end != CORE_END_COMPLETE && end != CORE_END_NOT_CONNECTED &&
	       end != CORE_END_REFUSED;
}

/* Sets the options common to all protocols, then those of the protocol. */
static int prepare(struct ep_call *call)
{
	const struct core_dispatch *dispatch = call->request->dispatch;
	char attempt[16];

	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(call->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 call->ep->connect_ms);
	crsp_begin(&call->response, call->easy, &response_ops, call);
	/*
	 * libcurl silently resends a request when a reused connection closes
	 * before the first byte of the response.  The endpoint may have run
	 * the first request, and the second would run unnoticed.  libcurl
	 * never resends on a new connection.
	 */
	if (dispatch->at_most_once) {
		curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
	}
	snprintf(attempt, sizeof(attempt), "%u", dispatch->attempt);
	if (ep_add_header(call, "Magnolia-Request", call->request->id) ||
	    ep_add_header(call, "Magnolia-Attempt", attempt) ||
	    ep_add_header(call, "Expect", ""))
		return EP_E_MEMORY;
	if (call->protocol->prepare(call))
		return EP_E_MEMORY;
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	return EP_OK;
}

/* Runs the transfer until it ends or the sink cancels it. */
static CURLcode transfer(struct ep_call *call, bool *cancelled)
{
	CURLM *multi = call->ep->multi;
	CURLcode code = CURLE_OK;
	int running;

	curl_multi_add_handle(multi, call->easy);
	for (;;) {
		curl_multi_perform(multi, &running);
		if (finished(call, &code))
			break;
		if (should_cancel(call)) {
			*cancelled = true;
			code = CURLE_ABORTED_BY_CALLBACK;
			break;
		}
		curl_multi_poll(multi, NULL, 0, EP_POLL_MS, NULL);
	}
	curl_multi_remove_handle(multi, call->easy);
	return code;
}

/* Polls the sink and probes the stages if asked to; true cancels. */
static bool should_cancel(struct ep_call *call)
{
	switch (call->sink->poll(call->sink->ctx)) {
	case EP_CANCEL:
		return true;
	case EP_PROBE:
		call->answer->silent_stages = call->protocol->probe(call);
		if (call->answer->silent_stages)
			return true;
		call->sink->on_stages_alive(call->sink->ctx);
		return false;
	default:
		return false;
	}
}

/* Returns whether the transfer has ended, with its result. */
static bool finished(struct ep_call *call, CURLcode *code)
{
	CURLMsg *msg;
	int left;

	msg = curl_multi_info_read(call->ep->multi, &left);
	if (!msg || msg->msg != CURLMSG_DONE)
		return false;
	*code = crsp_result(&call->response, msg->data.result);
	return true;
}

/* Stores the status, the ids, the content type and whether it has X-Not-Begun.
 */
static bool on_head(void *ctx, const struct rsp *rsp)
{
	struct ep_call *call = ctx;
	struct ep_answer *answer = call->answer;
	const char *not_begun = hdr_get(&rsp->headers, "X-Not-Begun");

	answer->status = rsp->status;
	copy_header(call->echoed_request, sizeof(call->echoed_request),
		    &rsp->headers, "Magnolia-Request");
	copy_header(call->echoed_attempt, sizeof(call->echoed_attempt),
		    &rsp->headers, "Magnolia-Attempt");
	copy_header(answer->content_type, sizeof(answer->content_type),
		    &rsp->headers, "Content-Type");
	call->not_begun = not_begun && *not_begun;
	return call->protocol->receive_headers(call, &rsp->headers);
}

static bool on_body(void *ctx, const char *bytes, size_t len)
{
	struct ep_call *call = ctx;

	return call->protocol->receive_body(call, bytes, len);
}

/* Copies the value of the first header with a name, cut to the size. */
static void copy_header(char *dst, size_t size, const struct hdr_list *headers,
			const char *name)
{
	const char *value = hdr_get(headers, name);

	if (value)
		snprintf(dst, size, "%s", value);
}
