#include <stdlib.h>
#include <string.h>

#include "rsp.h"
#include "rsp_syntax.h"

#define RSP_SWITCHING_PROTOCOLS 101
#define RSP_NO_CONTENT		204
#define RSP_NOT_MODIFIED	304

/* A complete line, without its terminator. */
struct rsp_line {
	const char *at;
	size_t len;
	bool crlf; /* ended by CR LF, not by a single LF */
};

static int rsp_feed_some(struct rsp *rsp, const char *bytes, size_t len,
			 size_t *used);
static int rsp_feed_body(struct rsp *rsp, const char *bytes, size_t len,
			 size_t *used);
static int rsp_feed_chunk_end(struct rsp *rsp, char byte, size_t *used);
static int rsp_feed_line(struct rsp *rsp, const char *bytes, size_t len,
			 size_t *used);
static int rsp_check_beginning(const struct rsp *rsp);
static int rsp_keep_line(struct rsp *rsp, const char *bytes, size_t len);
static int rsp_take_line(struct rsp *rsp, const struct rsp_line *line);
static int rsp_take_field(struct rsp *rsp, const struct rsp_line *line);
static int rsp_take_framing(struct rsp *rsp, const struct rsp_text *name,
			    const struct rsp_text *value);
static void rsp_take_codings(struct rsp *rsp, struct rsp_text list);
static void rsp_take_connection(struct rsp *rsp, struct rsp_text list);
static int rsp_end_head(struct rsp *rsp);
static enum rsp_framing rsp_find_framing(const struct rsp *rsp);
static int rsp_take_chunk_size(struct rsp *rsp, const struct rsp_line *line);
static int rsp_take_trailer(struct rsp *rsp, const struct rsp_line *line);
static void rsp_reset_head(struct rsp *rsp);

/* Prepares a parser; rsp_begin() must follow. */
void rsp_init(struct rsp *rsp, const struct rsp_ops *ops, void *ctx)
{
	memset(rsp, 0, sizeof(*rsp));
	rsp->ops = ops;
	rsp->ctx = ctx;
}

/* Frees the memory of a parser, but not the parser itself. */
void rsp_free(struct rsp *rsp)
{
	hdr_free(&rsp->headers);
	free(rsp->line);
	rsp->line = NULL;
	rsp->line_cap = 0;
}

/* Begins the response to a request. */
void rsp_begin(struct rsp *rsp, bool head_request)
{
	rsp->head_request = head_request;
	rsp->head_len = 0;
	rsp->interim_count = 0;
	rsp_reset_head(rsp);
}

/* Begins another response within the same call; the limits hold for both. */
void rsp_begin_next(struct rsp *rsp)
{
	rsp_reset_head(rsp);
}

static void rsp_reset_head(struct rsp *rsp)
{
	rsp->state = RSP_STATUS_LINE;
	rsp->status = 0;
	rsp->framing = RSP_FRAMING_NONE;
	rsp->persistent = false;
	rsp->has_length = false;
	rsp->has_coding = false;
	rsp->chunked = false;
	rsp->says_close = false;
	rsp->says_keep_alive = false;
	rsp->left = 0;
	rsp->line_len = 0;
	hdr_reset(&rsp->headers);
}

/*
 * Parses received bytes up to the end of the response, if it is among them, and
 * stores how many were used.  Returns RSP_OK or the first error, after which
 * the parser must not be fed any more.
 */
int rsp_feed(struct rsp *rsp, const char *bytes, size_t len, size_t *used)
{
	size_t part;
	int err;

	*used = 0;
	while (*used < len && rsp->state != RSP_COMPLETE) {
		err = rsp_feed_some(rsp, bytes + *used, len - *used, &part);
		*used += part;
		if (err)
			return err;
	}
	return RSP_OK;
}

/* Tells whether the response is complete if the connection ends now. */
bool rsp_ends_with_connection(const struct rsp *rsp)
{
	return rsp->state == RSP_BODY_CLOSE;
}

/* Returns what an error says of the response, for the log. */
const char *rsp_err_text(int err)
{
	switch (err) {
	case RSP_E_STATUS_LINE:
		return "status line";
	case RSP_E_FIELD:
		return "field line";
	case RSP_E_LENGTH:
		return "length";
	case RSP_E_CHUNK:
		return "chunk";
	case RSP_E_INTERIM:
		return "interim response";
	case RSP_E_TOO_LONG:
		return "too long";
	default:
		return "not read";
	}
}

static int rsp_feed_some(struct rsp *rsp, const char *bytes, size_t len,
			 size_t *used)
{
	switch (rsp->state) {
	case RSP_BODY_LENGTH:
	case RSP_BODY_CLOSE:
	case RSP_CHUNK_DATA:
		return rsp_feed_body(rsp, bytes, len, used);
	case RSP_CHUNK_CR:
	case RSP_CHUNK_LF:
		return rsp_feed_chunk_end(rsp, bytes[0], used);
	default:
		return rsp_feed_line(rsp, bytes, len, used);
	}
}

/* Passes bytes of the body on. */
static int rsp_feed_body(struct rsp *rsp, const char *bytes, size_t len,
			 size_t *used)
{
	if (rsp->state != RSP_BODY_CLOSE && len > rsp->left)
		len = rsp->left;
	*used = len;
	if (!rsp->ops->body(rsp->ctx, bytes, len))
		return RSP_E_ABORTED;
	if (rsp->state == RSP_BODY_CLOSE)
		return RSP_OK;
	rsp->left -= len;
	if (rsp->left == 0)
		rsp->state = rsp->state == RSP_CHUNK_DATA ? RSP_CHUNK_CR
							  : RSP_COMPLETE;
	return RSP_OK;
}

/* Takes the line terminator after the data of a chunk. */
static int rsp_feed_chunk_end(struct rsp *rsp, char byte, size_t *used)
{
	bool first = rsp->state == RSP_CHUNK_CR;

	*used = 1;
	if (byte != (first ? '\r' : '\n'))
		return RSP_E_CHUNK;
	rsp->state = first ? RSP_CHUNK_LF : RSP_CHUNK_SIZE;
	return RSP_OK;
}

/* Takes a line if its end is among the bytes; keeps its beginning otherwise. */
static int rsp_feed_line(struct rsp *rsp, const char *bytes, size_t len,
			 size_t *used)
{
	const char *end = memchr(bytes, '\n', len);
	struct rsp_line line = { bytes, 0, false };
	int err;

	*used = end ? (size_t)(end - bytes) + 1 : len;
	if (rsp->state == RSP_CHUNK_SIZE) {
		if (rsp->line_len + *used > RSP_CHUNK_LINE_MAX)
			return RSP_E_TOO_LONG;
	} else {
		rsp->head_len += *used;
		if (rsp->head_len > RSP_HEAD_MAX)
			return RSP_E_TOO_LONG;
	}
	if (!end) {
		err = rsp_keep_line(rsp, bytes, len);
		return err ? err : rsp_check_beginning(rsp);
	}
	line.len = *used;
	if (rsp->line_len > 0) {
		err = rsp_keep_line(rsp, bytes, *used);
		if (err)
			return err;
		line.at = rsp->line;
		line.len = rsp->line_len;
		rsp->line_len = 0;
	}
	line.len--;
	if (line.len > 0 && line.at[line.len - 1] == '\r') {
		line.len--;
		line.crlf = true;
	}
	return rsp_take_line(rsp, &line);
}

/*
 * Rejects a line by its beginning.  Its end may never come, and the call would
 * wait for it until its deadline.
 */
static int rsp_check_beginning(const struct rsp *rsp)
{
	switch (rsp->state) {
	case RSP_STATUS_LINE:
		return rsp_may_be_status_line(rsp->line, rsp->line_len)
			       ? RSP_OK
			       : RSP_E_STATUS_LINE;
	case RSP_CHUNK_SIZE:
		return rsp_may_be_chunk_size(rsp->line, rsp->line_len)
			       ? RSP_OK
			       : RSP_E_CHUNK;
	default:
		return rsp_may_be_field(rsp->line, rsp->line_len) ? RSP_OK
								  : RSP_E_FIELD;
	}
}

static int rsp_keep_line(struct rsp *rsp, const char *bytes, size_t len)
{
	size_t need = rsp->line_len + len;
	size_t cap = rsp->line_cap ? rsp->line_cap : 256;
	char *line;

	while (cap < need)
		cap *= 2;
	if (cap > rsp->line_cap) {
		line = realloc(rsp->line, cap);
		if (!line)
			return RSP_E_MEMORY;
		rsp->line = line;
		rsp->line_cap = cap;
	}
	memcpy(rsp->line + rsp->line_len, bytes, len);
	rsp->line_len = need;
	return RSP_OK;
}

static int rsp_take_line(struct rsp *rsp, const struct rsp_line *line)
{
	switch (rsp->state) {
	case RSP_STATUS_LINE:
		if (!rsp_read_status_line(line->at, line->len, &rsp->minor,
					  &rsp->status))
			return RSP_E_STATUS_LINE;
		rsp->state = RSP_FIELDS;
		return RSP_OK;
	case RSP_FIELDS:
		return line->len > 0 ? rsp_take_field(rsp, line)
				     : rsp_end_head(rsp);
	case RSP_CHUNK_SIZE:
		return rsp_take_chunk_size(rsp, line);
	default:
		return rsp_take_trailer(rsp, line);
	}
}

static int rsp_take_field(struct rsp *rsp, const struct rsp_line *line)
{
	struct rsp_text name;
	struct rsp_text value;
	int err;

	if (!rsp_read_field(line->at, line->len, &name, &value))
		return RSP_E_FIELD;
	err = rsp_take_framing(rsp, &name, &value);
	if (err)
		return err;
	if (hdr_add_name(&rsp->headers, name.at, name.len) ||
	    hdr_add_value(&rsp->headers, value.at, value.len))
		return RSP_E_MEMORY;
	return RSP_OK;
}

/* Notes what a field says of the body's end and of the connection. */
static int rsp_take_framing(struct rsp *rsp, const struct rsp_text *name,
			    const struct rsp_text *value)
{
	uint64_t length;

	if (rsp_text_is(name, "Content-Length")) {
		if (!rsp_read_length(value, &length) ||
		    (rsp->has_length && rsp->left != length))
			return RSP_E_LENGTH;
		rsp->has_length = true;
		rsp->left = length;
	} else if (rsp_text_is(name, "Transfer-Encoding")) {
		rsp_take_codings(rsp, *value);
	} else if (rsp_text_is(name, "Connection")) {
		rsp_take_connection(rsp, *value);
	}
	return RSP_OK;
}

/*
 * Notes the transfer codings.  Requests ask for none, so that only chunked may
 * be used, once.
 */
static void rsp_take_codings(struct rsp *rsp, struct rsp_text list)
{
	struct rsp_text coding;

	bool first = !rsp->has_coding;

	rsp->has_coding = true;
	rsp->chunked = false;
	while (rsp_next_element(&list, &coding)) {
		rsp->chunked = first && rsp_text_is(&coding, "chunked");
		first = false;
	}
}

static void rsp_take_connection(struct rsp *rsp, struct rsp_text list)
{
	struct rsp_text option;

	while (rsp_next_element(&list, &option)) {
		if (rsp_text_is(&option, "close"))
			rsp->says_close = true;
		else if (rsp_text_is(&option, "keep-alive"))
			rsp->says_keep_alive = true;
	}
}

/* Handles the empty line after the fields. */
static int rsp_end_head(struct rsp *rsp)
{
	if (rsp->has_coding &&
	    (!rsp->chunked || rsp->has_length || rsp->minor == 0))
		return RSP_E_LENGTH;
	if (rsp->status == RSP_SWITCHING_PROTOCOLS)
		return RSP_E_INTERIM;
	if (rsp->status / 100 == 1) {
		if (++rsp->interim_count > RSP_INTERIM_MAX)
			return RSP_E_INTERIM;
		rsp_reset_head(rsp);
		return RSP_OK;
	}
	rsp->framing = rsp_find_framing(rsp);
	rsp->persistent = !rsp->says_close &&
			  (rsp->minor > 0 || rsp->says_keep_alive) &&
			  rsp->framing != RSP_FRAMING_CLOSE;
	switch (rsp->framing) {
	case RSP_FRAMING_LENGTH:
		rsp->state = rsp->left > 0 ? RSP_BODY_LENGTH : RSP_COMPLETE;
		break;
	case RSP_FRAMING_CHUNKED:
		rsp->state = RSP_CHUNK_SIZE;
		break;
	case RSP_FRAMING_CLOSE:
		rsp->state = RSP_BODY_CLOSE;
		break;
	case RSP_FRAMING_NONE:
		rsp->state = RSP_COMPLETE;
		break;
	}
	return rsp->ops->head(rsp->ctx, rsp) ? RSP_OK : RSP_E_ABORTED;
}

static enum rsp_framing rsp_find_framing(const struct rsp *rsp)
{
	if (rsp->head_request || rsp->status == RSP_NO_CONTENT ||
	    rsp->status == RSP_NOT_MODIFIED)
		return RSP_FRAMING_NONE;
	if (rsp->chunked)
		return RSP_FRAMING_CHUNKED;
	return rsp->has_length ? RSP_FRAMING_LENGTH : RSP_FRAMING_CLOSE;
}

/* A single LF may end the lines of a head, but not those of chunks. */
static int rsp_take_chunk_size(struct rsp *rsp, const struct rsp_line *line)
{
	if (!line->crlf ||
	    !rsp_read_chunk_size(line->at, line->len, &rsp->left))
		return RSP_E_CHUNK;
	rsp->state = rsp->left > 0 ? RSP_CHUNK_DATA : RSP_TRAILER;
	return RSP_OK;
}

/* Checks a field after the last chunk, which is not passed on. */
static int rsp_take_trailer(struct rsp *rsp, const struct rsp_line *line)
{
	struct rsp_text name;
	struct rsp_text value;

	if (line->len == 0) {
		rsp->state = RSP_COMPLETE;
		return RSP_OK;
	}
	return rsp_read_field(line->at, line->len, &name, &value) ? RSP_OK
								  : RSP_E_FIELD;
}
