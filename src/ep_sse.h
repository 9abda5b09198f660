#ifndef EP_SSE_H
#define EP_SSE_H

/* Reader of server-sent events as engines stream them. */

#include <stddef.h>

#define EP_SSE_LINE_MAX 16384
#define EP_SSE_NAME_MAX 32

enum ep_sse_err {
	EP_SSE_OK = 0,
	EP_SSE_E_TOO_LONG = -1, /* a line or name beyond its bound */
	EP_SSE_E_STOPPED = -2,	/* the handler asked to stop */
};

/* Takes one event; a value other than 0 stops the reading. */
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
