#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "rsp.h"

/*
 * Feeds arbitrary bytes as a response.  It arrives in pieces of any size, so
 * what is made of it must not depend on where it is split.  The first byte
 * selects the size of the pieces.
 */

#define BODY_MAX 16384

struct result {
	bool failed;
	bool complete;
	int status;
	size_t used;
	char body[BODY_MAX];
	size_t body_len;
};

static bool on_head(void *ctx, const struct rsp *rsp);
static bool on_body(void *ctx, const char *bytes, size_t len);
static void parse(const char *bytes, size_t len, size_t piece,
		  struct result *result);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const struct rsp_ops ops = { on_head, on_body };

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct result whole;
	static struct result pieces;

	if (size < 2)
		return 0;
	parse((const char *)data + 1, size - 1, size - 1, &whole);
	parse((const char *)data + 1, size - 1, data[0] % 16 + 1, &pieces);
	if (whole.failed != pieces.failed)
		abort();
	if (whole.failed)
		return 0;
	if (whole.complete != pieces.complete ||
	    whole.status != pieces.status || whole.used != pieces.used ||
	    whole.body_len != pieces.body_len ||
	    memcmp(whole.body, pieces.body, whole.body_len) != 0)
		abort();
	if (whole.status != 0 && (whole.status < 200 || whole.status > 599))
		abort();
	return 0;
}

static bool on_head(void *ctx, const struct rsp *rsp)
{
	struct result *result = ctx;

	result->status = rsp->status;
	return true;
}

static bool on_body(void *ctx, const char *bytes, size_t len)
{
	struct result *result = ctx;

	if (result->body_len + len > BODY_MAX)
		abort();
	memcpy(result->body + result->body_len, bytes, len);
	result->body_len += len;
	return true;
}

static void parse(const char *bytes, size_t len, size_t piece,
		  struct result *result)
{
	struct rsp rsp;
	size_t part;
	size_t used;

	memset(result, 0, sizeof(*result));
	rsp_init(&rsp, &ops, result);
	rsp_begin(&rsp, false);
	while (result->used < len && !result->failed &&
	       rsp.state != RSP_COMPLETE) {
		part = len - result->used < piece ? len - result->used : piece;
		result->failed =
			rsp_feed(&rsp, bytes + result->used, part, &used);
		result->used += used;
	}
	result->complete = rsp.state == RSP_COMPLETE;
	rsp_free(&rsp);
}
