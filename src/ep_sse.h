#ifndef EP_SSE_H
#define EP_SSE_H

/* Parser for the server-sent events of an engine's stream. */

#include <stddef.h>

#define EP_SSE_LINE_MAX 16384
#define EP_SSE_NAME_MAX 32

enum ep_sse_err {
	EP_SSE_OK = 0,
	EP_SSE_E_TOO_LONG = -1, /* a line, name or data is too long */
	EP_SSE_E_STOPPED = -2,	/* the handler stopped the parser */
};

/* Handles one event; a value other than 0 stops the parser. */
typedef int (*ep_sse_fn)(void *ctx, const char *name, const char *data);

struct ep_sse {
	ep_sse_fn handler;
	void *ctx;
	char name[EP_SSE_NAME_MAX];
	char line[EP_SSE_LINE_MAX];
	char data[EP_SSE_LINE_MAX];
	size_t line_len;
	size_t data_len;
	int has_data;
};

void ep_sse_init(struct ep_sse *sse, ep_sse_fn handler, void *ctx);
int ep_sse_feed(struct ep_sse *sse, const char *bytes, size_t len);

#endif /* EP_SSE_H */
