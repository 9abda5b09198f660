#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "clk.h"
#include "ep_int.h"

#define EP_POLL_MS 200

static const struct ep_protocol *const ep_protocols[] = {
	[CFG_MODEL] = &ep_engine,
	[CFG_PLAIN] = &ep_plain,
};

static size_t on_body(char *bytes, size_t size, size_t count, void *ctx);
static size_t on_header(char *bytes, size_t size, size_t count, void *ctx);
static bool began(enum core_end end);
static int prepare(struct ep_call *call);
static CURLcode transfer(struct ep_call *call, bool *cancelled);
static bool to_cancel(struct ep_call *call);
static bool finished(struct ep_call *call, CURLcode *code);
static void copy_header(char *dst, size_t size, const char *line, size_t len,
			const char *name);

/* Makes the state of one thread for its calls; NULL if memory is short. */
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

/* Frees the state of a thread and closes its connections. */
void ep_free(struct ep *ep)
{
	if (!ep)
		return;
	curl_multi_cleanup(ep->multi);
	free(ep);
}

/* Lets a running call look at once whether it is cancelled; any thread. */
void ep_wake(struct ep *ep)
{
	curl_multi_wakeup(ep->multi);
}

/*
 * Carries one attempt to its end and says in answer how it ended.  Without
 * memory for it nothing is sent, which CORE_END_UNSENT says.
 */
void ep_run(struct ep *ep, const struct ep_request *request,
	    const struct ep_sink *sink, struct ep_answer *answer)
{
	struct ep_call *call = calloc(1, sizeof(*call));
	bool cancelled = false;
	CURLcode code;

	memset(answer, 0, sizeof(*answer));
	answer->end = CORE_END_UNSENT;
	if (!call)
		return;
	call->ep = ep;
	call->request = request;
	call->sink = sink;
	call->answer = answer;
	call->next_token = request->dispatch->resume;
	call->protocol = ep_protocols[request->dispatch->kind];
	call->easy = curl_easy_init();
	if (call->easy && prepare(call) == EP_OK) {
		code = transfer(call, &cancelled);
		call->protocol->finish(call, code);
	}
	if (cancelled && answer->end != CORE_END_WHOLE)
		answer->end = CORE_END_CANCELLED;
	if (began(answer->end))
		call->protocol->cancel(call);
	curl_slist_free_all(call->headers);
	curl_easy_cleanup(call->easy);
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

/* Adds a whole line of a request's head.  Returns 0 or EP_E_MEMORY. */
int ep_add_header_line(struct ep_call *call, const char *line)
{
	struct curl_slist *list = curl_slist_append(call->headers, line);

	if (!list)
		return EP_E_MEMORY;
	call->headers = list;
	return EP_OK;
}

/* Keeps bytes of the answer; false if it grows beyond EP_BODY_MAX. */
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

/* Tells whether the service declares the answer's status as a proof that
 * nothing began, and the answer carries the mark of it. */
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
 * Tells whether a transfer failed before any byte of the request could leave:
 * there never was a connection.  Anything later is ambiguous.
 */
bool ep_never_sent(const struct ep_call *call, CURLcode code)
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

/* Tells whether endpoints may still be at work on an attempt that ended. */
static bool began(enum core_end end)
{
	return end != CORE_END_WHOLE && end != CORE_END_UNSENT &&
	       end != CORE_END_REFUSED;
}

/* Sets what all protocols share, then lets the protocol add its own. */
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
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call);
	/*
	 * libcurl sends a request again by itself when a reused connection
	 * closes before the first byte of the answer.  The endpoint may have
	 * run the first one, and nobody would notice the second.  A fresh
	 * connection is never retried that way.
	 */
	if (dispatch->once) {
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

/* Runs the transfer until it ends or the sink asks to cancel it. */
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
		if (to_cancel(call)) {
			*cancelled = true;
			code = CURLE_ABORTED_BY_CALLBACK;
			break;
		}
		curl_multi_poll(multi, NULL, 0, EP_POLL_MS, NULL);
	}
	curl_multi_remove_handle(multi, call->easy);
	return code;
}

/* Does what the sink wishes; true ends the transfer. */
static bool to_cancel(struct ep_call *call)
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

/* Takes the transfer's result once there is one. */
static bool finished(struct ep_call *call, CURLcode *code)
{
	long status = 0;
	CURLMsg *msg;
	int left;

	msg = curl_multi_info_read(call->ep->multi, &left);
	if (!msg || msg->msg != CURLMSG_DONE)
		return false;
	*code = msg->data.result;
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	call->answer->status = (int)status;
	return true;
}

static size_t on_body(char *bytes, size_t size, size_t count, void *ctx)
{
	struct ep_call *call = ctx;
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	call->answer->status = (int)status;
	if (!call->protocol->receive_body(call, bytes, size * count))
		return 0;
	return size * count;
}

/* Notes the headers that matter: the ids, the proof, the type. */
static size_t on_header(char *bytes, size_t size, size_t count, void *ctx)
{
	struct ep_call *call = ctx;
	size_t len = size * count;
	char mark[4] = "";

	copy_header(call->echoed_request, sizeof(call->echoed_request), bytes,
		    len, "Magnolia-Request");
	copy_header(call->echoed_attempt, sizeof(call->echoed_attempt), bytes,
		    len, "Magnolia-Attempt");
	copy_header(call->answer->content_type,
		    sizeof(call->answer->content_type), bytes, len,
		    "Content-Type");
	copy_header(mark, sizeof(mark), bytes, len, "X-Not-Begun");
	if (mark[0])
		call->not_begun = true;
	return call->protocol->receive_header(call, bytes, len) ? len : 0;
}

/* Copies a header's value if the line is that header's. */
static void copy_header(char *dst, size_t size, const char *line, size_t len,
			const char *name)
{
	size_t name_len = strlen(name);
	size_t end = len;
	size_t start;

	if (len <= name_len || strncasecmp(line, name, name_len) != 0 ||
	    line[name_len] != ':')
		return;
	start = name_len + 1;
	while (start < len && line[start] == ' ')
		start++;
	while (end > start && (line[end - 1] == '\r' || line[end - 1] == '\n'))
		end--;
	if (end - start >= size)
		end = start + size - 1;
	memcpy(dst, line + start, end - start);
	dst[end - start] = '\0';
}
