#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "clk.h"
#include "crsp.h"
#include "ctl.h"

#define CTL_URL_MAX    512
#define CTL_BODY_MAX   (16U << 20)
#define CTL_CONNECT_MS 500L
#define CTL_POLL_MS    100

/* One request to the admin port of an instance. */
struct ctl_request {
	CURL *curl;
	char *text;
	size_t len;
	struct crsp response;
	bool complete;
};

static void ctl_start_request(struct ctl_request *request, CURLM *multi,
			      const char *address, const char *path,
			      long left_ms);
static void ctl_run_requests(CURLM *multi);
static json_t *ctl_finish_request(struct ctl_request *request, CURLM *multi);
static bool ctl_on_head(void *ctx, const struct rsp *rsp);
static bool ctl_on_body(void *ctx, const char *bytes, size_t len);

static const struct rsp_ops ctl_rsp_ops = {
	.head = ctl_on_head,
	.body = ctl_on_body,
};

/*
 * Requests a page from the admin ports of all instances in parallel and parses
 * the JSON answers.  With sequential requests one instance that hangs would use
 * up the time of those after it, and the whole fleet would seem to be down.
 * The body of an instance that does not answer in time is NULL.
 */
void ctl_query_instances(const struct ctl_addresses *addresses,
			 const char *path, int64_t deadline_us,
			 struct ctl_answer *answers)
{
	struct ctl_request requests[CTL_ADDRESSES_MAX] = { 0 };
	long left_ms = (long)((deadline_us - clk_now_us()) / MAG_US_PER_MS);
	CURLM *multi = curl_multi_init();
	size_t i;

	for (i = 0; i < addresses->count; i++) {
		answers[i].address = addresses->list[i];
		answers[i].body = NULL;
		if (multi && left_ms > 0)
			ctl_start_request(&requests[i], multi,
					  answers[i].address, path, left_ms);
	}
	if (!multi)
		return;
	ctl_run_requests(multi);
	for (i = 0; i < addresses->count; i++)
		answers[i].body = ctl_finish_request(&requests[i], multi);
	curl_multi_cleanup(multi);
}

/* Frees the bodies of answers, not the array. */
void ctl_answers_free(struct ctl_answer *answers, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		json_decref(answers[i].body);
}

static void ctl_start_request(struct ctl_request *request, CURLM *multi,
			      const char *address, const char *path,
			      long left_ms)
{
	char url[CTL_URL_MAX];

	request->curl = curl_easy_init();
	if (!request->curl)
		return;
	snprintf(url, sizeof(url), "http://%s%s", address, path);
	curl_easy_setopt(request->curl, CURLOPT_URL, url);
	curl_easy_setopt(request->curl, CURLOPT_PROXY, "");
	curl_easy_setopt(request->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(request->curl, CURLOPT_CONNECTTIMEOUT_MS,
			 CTL_CONNECT_MS);
	curl_easy_setopt(request->curl, CURLOPT_TIMEOUT_MS, left_ms);
	crsp_begin(&request->response, request->curl, &ctl_rsp_ops, request);
	curl_easy_setopt(request->curl, CURLOPT_PRIVATE, request);
	curl_multi_add_handle(multi, request->curl);
}

/* Runs all requests to their end; each has its own timeout. */
static void ctl_run_requests(CURLM *multi)
{
	struct ctl_request *request;
	CURLMsg *message;
	int running = 1;
	int queued;

	while (running) {
		if (curl_multi_perform(multi, &running) != CURLM_OK)
			return;
		while ((message = curl_multi_info_read(multi, &queued))) {
			if (message->msg != CURLMSG_DONE)
				continue;
			curl_easy_getinfo(message->easy_handle,
					  CURLINFO_PRIVATE, &request);
			request->complete =
				crsp_result(&request->response,
					    message->data.result) == CURLE_OK;
		}
		if (running)
			curl_multi_poll(multi, NULL, 0, CTL_POLL_MS, NULL);
	}
}

/* Parses the JSON of a complete answer and frees the request. */
static json_t *ctl_finish_request(struct ctl_request *request, CURLM *multi)
{
	json_t *body = NULL;

	if (request->complete && request->text)
		body = json_loadb(request->text, request->len, 0, NULL);
	if (request->curl) {
		curl_multi_remove_handle(multi, request->curl);
		curl_easy_cleanup(request->curl);
		crsp_free(&request->response);
	}
	free(request->text);
	return body;
}

/* An answer of any status holds a page. */
static bool ctl_on_head(void *ctx, const struct rsp *rsp)
{
	(void)ctx;
	(void)rsp;
	return true;
}

static bool ctl_on_body(void *ctx, const char *bytes, size_t len)
{
	struct ctl_request *request = ctx;
	char *grown;

	if (request->len + len > CTL_BODY_MAX)
		return false;
	grown = realloc(request->text, request->len + len + 1);
	if (!grown)
		return false;
	request->text = grown;
	memcpy(grown + request->len, bytes, len);
	request->len += len;
	return true;
}
