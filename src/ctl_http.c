#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "clk.h"
#include "ctl.h"

#define CTL_URL_MAX	  512
#define CTL_BODY_MAX	  (16U << 20)
#define CTL_CONNECT_MS	  500L
#define CTL_HTTP_NOTFOUND 404

struct ctl_body {
	char *text;
	size_t len;
};

static json_t *ctl_ask_one(const char *address, const char *path,
			   int64_t deadline_us);
static size_t ctl_on_body(char *data, size_t size, size_t count, void *ctx);

/*
 * Asks each instance's admin port for a page and reads its JSON.  An instance
 * that does not answer in time has no body.
 */
void ctl_ask(const struct ctl_addresses *addresses, const char *path,
	     int64_t deadline_us, struct ctl_answer *answers)
{
	size_t i;

	for (i = 0; i < addresses->count; i++) {
		answers[i].address = addresses->list[i];
		answers[i].body =
			ctl_ask_one(addresses->list[i], path, deadline_us);
	}
}

/* Frees the bodies of answers. */
void ctl_answers_free(struct ctl_answer *answers, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		json_decref(answers[i].body);
}

static json_t *ctl_ask_one(const char *address, const char *path,
			   int64_t deadline_us)
{
	struct ctl_body body = { 0 };
	int64_t left_ms = (deadline_us - clk_now_us()) / MAG_US_PER_MS;
	CURL *curl = curl_easy_init();
	char url[CTL_URL_MAX];
	json_t *doc = NULL;

	if (!curl || left_ms <= 0) {
		curl_easy_cleanup(curl);
		return NULL;
	}
	snprintf(url, sizeof(url), "http://%s%s", address, path);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CTL_CONNECT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)left_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, ctl_on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &body);
	if (curl_easy_perform(curl) == CURLE_OK && body.text)
		doc = json_loadb(body.text, body.len, 0, NULL);
	curl_easy_cleanup(curl);
	free(body.text);
	return doc;
}

static size_t ctl_on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct ctl_body *body = ctx;
	size_t len = size * count;
	char *grown;

	if (body->len + len > CTL_BODY_MAX)
		return 0;
	grown = realloc(body->text, body->len + len + 1);
	if (!grown)
		return 0;
	body->text = grown;
	memcpy(grown + body->len, data, len);
	body->len += len;
	return len;
}
