#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ep_sse.h"

/*
 * Feeds arbitrary bytes as an engine's stream.  It arrives in pieces of any
 * size, so the events must not depend on where it is split.  The first byte
 * selects the size of the pieces.
 */

#define EVENTS_MAX 65536

struct events {
	char text[EVENTS_MAX];
	size_t len;
};

static int record_event(void *ctx, const char *name, const char *data);
static int feed(const uint8_t *data, size_t size, size_t piece,
		struct events *events);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct events whole;
	static struct events pieces;
	int err;

	if (size < 2)
		return 0;
	err = feed(data + 1, size - 1, size - 1, &whole);
	if (feed(data + 1, size - 1, data[0] % 16 + 1, &pieces) != err ||
	    whole.len != pieces.len ||
	    memcmp(whole.text, pieces.text, whole.len) != 0)
		abort();
	return 0;
}

static int record_event(void *ctx, const char *name, const char *data)
{
	struct events *events = ctx;
	size_t space = EVENTS_MAX - events->len;
	int used = snprintf(events->text + events->len, space, "%s=%s\n", name,
			    data);

	if (used < 0 || (size_t)used >= space)
		return 1;
	events->len += (size_t)used;
	return 0;
}

static int feed(const uint8_t *data, size_t size, size_t piece,
		struct events *events)
{
	static struct ep_sse sse;
	int err = EP_SSE_OK;
	size_t at;

	events->len = 0;
	ep_sse_init(&sse, record_event, events);
	for (at = 0; at < size && err == EP_SSE_OK; at += piece) {
		size_t len = size - at < piece ? size - at : piece;
		char *copy = malloc(len);

		memcpy(copy, data + at, len);
		err = ep_sse_feed(&sse, copy, len);
		free(copy);
	}
	return err;
}
