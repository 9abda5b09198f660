#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ep_header.h"
#include "ep_int.h"

#define EP_URL_MAX	  1024
#define HTTP_SERVER_ERROR 500

static int plain_prepare(struct ep_call *call);
static bool plain_headers(struct ep_call *call, const struct hdr_list *headers);
static bool plain_add_header(struct ep_answer *answer, const char *name,
			     const char *value);
static bool plain_receive(struct ep_call *call, const char *bytes, size_t len);
static void plain_finish(struct ep_call *call, CURLcode code);
static uint32_t plain_probe(struct ep_call *call);
static void plain_cancel(struct ep_call *call);
static bool has_wrong_ids(const struct ep_call *call);

const struct ep_protocol ep_plain = {
	.prepare = plain_prepare,
	.receive_headers = plain_headers,
	.receive_body = plain_receive,
	.finish = plain_finish,
	.probe = plain_probe,
	.cancel = plain_cancel,
};

/* Sends the caller's request with the router's ids and downstream key. */
static int plain_prepare(struct ep_call *call)
{
	const struct ep_request *request = call->request;
	const struct core_dispatch *dispatch = request->dispatch;
	char url[EP_URL_MAX];
	size_t i;

	snprintf(url, sizeof(url), "http://%s%s", dispatch->stages[0].address,
		 request->path);
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	if (strcmp(request->method, "HEAD") == 0) {
		curl_easy_setopt(call->easy, CURLOPT_NOBODY, 1L);
		rsp_begin(&call->response.rsp, true);
	} else if (strcmp(request->method, "GET") != 0 || request->body_len) {
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE,
				 (long)request->body_len);
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, request->body);
	}
	curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, request->method);
	for (i = 0; i < request->header_count; i++) {
		if (ep_add_header_line(call, request->headers[i]))
			return EP_E_MEMORY;
	}
	if (request->content_type &&
	    ep_add_header(call, "Content-Type", request->content_type))
		return EP_E_MEMORY;
	if (dispatch->downstream_key[0] &&
	    ep_add_header(call, "Idempotency-Key", dispatch->downstream_key))
		return EP_E_MEMORY;
	return EP_OK;
}

static bool plain_receive(struct ep_call *call, const char *bytes, size_t len)
{
	return ep_append_body(call, bytes, len);
}

/*
 * A response is valid only if it is complete and has the ids of this attempt.
 * Otherwise an endpoint or a relay that mixes up responses would give one
 * caller the response to another.  A service that echoes no ids is accepted:
 * a request that must not run twice has a connection of its own.
 */
static void plain_finish(struct ep_call *call, CURLcode code)
{
	struct ep_answer *answer = call->answer;

	if (code != CURLE_OK)
		answer->end = ep_end_of_failure(call, code);
	else if (has_wrong_ids(call))
		answer->end = CORE_END_WRONG_IDS;
	else if (ep_status_proves_not_begun(call))
		answer->end = CORE_END_REFUSED;
	else if (answer->status >= HTTP_SERVER_ERROR)
		answer->end = CORE_END_STATUS;
	else
		answer->end = CORE_END_COMPLETE;
}

static bool has_wrong_ids(const struct ep_call *call)
{
	char attempt[16];

	snprintf(attempt, sizeof(attempt), "%u",
		 call->request->dispatch->attempt);
	if (call->echoed_request[0] &&
	    strcmp(call->echoed_request, call->request->id) != 0)
		return true;
	return call->echoed_attempt[0] &&
	       strcmp(call->echoed_attempt, attempt) != 0;
}

/* A plain service has no cancel call; closing the connection must do. */
static void plain_cancel(struct ep_call *call)
{
	(void)call;
}

/* A plain service has no probe; its only stage counts as not responding. */
static uint32_t plain_probe(struct ep_call *call)
{
	(void)call;
	return 1;
}

/* Stores the headers that the caller receives. */
static bool plain_headers(struct ep_call *call, const struct hdr_list *headers)
{
	int i;

	for (i = 0; i < headers->count; i++) {
		if (ep_header_to_caller(hdr_name(headers, i)) &&
		    !plain_add_header(call->answer, hdr_name(headers, i),
				      hdr_value(headers, i)))
			return false;
	}
	return true;
}

/*
 * Adds a header line.  Beyond EP_HEADERS_MAX the attempt is aborted, as a
 * response with missing headers is incomplete.
 */
static bool plain_add_header(struct ep_answer *answer, const char *name,
			     const char *value)
{
	size_t len = strlen(name) + strlen(": ") + strlen(value) + 2;
	char *grown;

	if (answer->headers_len + len > EP_HEADERS_MAX)
		return false;
	grown = realloc(answer->headers, answer->headers_len + len + 1);
	if (!grown)
		return false;
	snprintf(grown + answer->headers_len, len + 1, "%s: %s\r\n", name,
		 value);
	answer->headers = grown;
	answer->headers_len += len;
	return true;
}
