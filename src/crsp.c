#include <string.h>

#include "crsp.h"

static size_t crsp_on_bytes(char *bytes, size_t size, size_t count, void *ctx);
static bool crsp_ignore_head(void *ctx, const struct rsp *rsp);
static bool crsp_ignore_body(void *ctx, const char *bytes, size_t len);

static const struct rsp_ops crsp_ignore = {
	.head = crsp_ignore_head,
	.body = crsp_ignore_body,
};

/*
 * Sets the options by which the response of the next transfer is passed to the
 * parser, and from there to the callbacks; crsp_free() must follow.  libcurl
 * finds the end of chunks, but passes them on as they are.
 */
void crsp_begin(struct crsp *crsp, CURL *easy, const struct rsp_ops *ops,
		void *ctx)
{
	rsp_init(&crsp->rsp, ops, ctx);
	rsp_begin(&crsp->rsp, false);
	crsp->err = RSP_OK;
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, crsp_on_bytes);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, crsp);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, crsp_on_bytes);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, crsp);
	curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
}

/* The same for a response of which only counts whether it is valid. */
void crsp_begin_ignored(struct crsp *crsp, CURL *easy)
{
	crsp_begin(crsp, easy, &crsp_ignore, NULL);
}

/* Frees the memory of a response, but not the response itself. */
void crsp_free(struct crsp *crsp)
{
	rsp_free(&crsp->rsp);
}

/* Returns the result of a transfer; a success needs a whole, valid response. */
CURLcode crsp_result(const struct crsp *crsp, CURLcode code)
{
	if (crsp->err && crsp->err != RSP_E_ABORTED)
		return CURLE_WEIRD_SERVER_REPLY;
	if (code == CURLE_OK && crsp->rsp.state != RSP_COMPLETE &&
	    !rsp_ends_with_connection(&crsp->rsp))
		return CURLE_PARTIAL_FILE;
	return code;
}

/* Bytes after the end of the response are ignored: they belong to none. */
static size_t crsp_on_bytes(char *bytes, size_t size, size_t count, void *ctx)
{
	struct crsp *crsp = ctx;
	size_t len = size * count;
	size_t used;

	if (crsp->err)
		return 0;
	crsp->err = rsp_feed(&crsp->rsp, bytes, len, &used);
	return crsp->err ? 0 : len;
}

static bool crsp_ignore_head(void *ctx, const struct rsp *rsp)
{
	(void)ctx;
	(void)rsp;
	return true;
}

static bool crsp_ignore_body(void *ctx, const char *bytes, size_t len)
{
	(void)ctx;
	(void)bytes;
	(void)len;
	return true;
}
