#ifndef RSP_H
#define RSP_H

/*
 * Parser of HTTP/1.1 responses.  It is as strict as RFC 9110 and RFC 9112: a
 * message that they do not allow is an error, because its recipients may
 * disagree about what it says and where it ends.  Everything that reads
 * responses reads them through this parser.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "hdr.h"

/* Longest sum of the heads and trailers that one call receives (bytes). */
#define RSP_HEAD_MAX ((size_t)80 << 10)
/* Longest line that gives the size of a chunk (bytes). */
#define RSP_CHUNK_LINE_MAX ((size_t)4 << 10)
/* Interim responses of one call. */
#define RSP_INTERIM_MAX 16

enum rsp_err {
	RSP_OK = 0,
	RSP_E_MEMORY = -1,
	RSP_E_STATUS_LINE = -2,
	RSP_E_FIELD = -3,
	RSP_E_LENGTH = -4, /* Content-Length or Transfer-Encoding */
	RSP_E_CHUNK = -5,
	RSP_E_INTERIM = -6, /* too many, or an upgrade */
	RSP_E_TOO_LONG = -7,
	RSP_E_ABORTED = -8, /* a callback returned false */
};

/* What marks the end of a response's body. */
enum rsp_framing {
	RSP_FRAMING_NONE, /* there is no body */
	RSP_FRAMING_LENGTH,
	RSP_FRAMING_CHUNKED,
	RSP_FRAMING_CLOSE, /* the end of the connection */
};

enum rsp_state {
	RSP_STATUS_LINE,
	RSP_FIELDS,
	RSP_BODY_LENGTH,
	RSP_BODY_CLOSE,
	RSP_CHUNK_SIZE,
	RSP_CHUNK_DATA,
	RSP_CHUNK_CR, /* after a chunk's data */
	RSP_CHUNK_LF,
	RSP_TRAILER,
	RSP_COMPLETE,
};

struct rsp;

struct rsp_ops {
	/* Called after the head of a final response; false aborts. */
	bool (*head)(void *ctx, const struct rsp *rsp);
	/* Called with each part of the body; false aborts. */
	bool (*body)(void *ctx, const char *bytes, size_t len);
};

struct rsp {
	const struct rsp_ops *ops;
	void *ctx;
	bool head_request; /* the method is HEAD: no response body */

	/* What the head says; valid from the head callback on. */
	int status;
	enum rsp_framing framing;
	bool persistent; /* the connection may be used again */
	struct hdr_list headers;

	enum rsp_state state;
	int minor; /* version */
	bool has_length;
	bool has_coding;
	bool chunked; /* by the only transfer coding */
	bool says_close;
	bool says_keep_alive;
	uint64_t left; /* bytes of the body or chunk */
	size_t head_len;
	int interim_count;
	char *line; /* the beginning of a line that is not complete yet */
	size_t line_len;
	size_t line_cap;
};

void rsp_init(struct rsp *rsp, const struct rsp_ops *ops, void *ctx);
void rsp_free(struct rsp *rsp);
void rsp_begin(struct rsp *rsp, bool head_request);
void rsp_begin_next(struct rsp *rsp);
int rsp_feed(struct rsp *rsp, const char *bytes, size_t len, size_t *used);
bool rsp_ends_with_connection(const struct rsp *rsp);
const char *rsp_err_text(int err);

#endif /* RSP_H */
