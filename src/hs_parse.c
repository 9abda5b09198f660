#include <string.h>
#include <strings.h>

#include "hs_int.h"

#define HS_FIELD_BYTES 32  /* of the limit on a header, for each field */
#define HS_FIELDS_MIN  100 /* allowed whatever the limit */

static int hs_count_header(struct hs_conn *conn, size_t len);
static int hs_on_url(http_parser *parser, const char *at, size_t len);
static int hs_on_field(http_parser *parser, const char *at, size_t len);
static int hs_on_value(http_parser *parser, const char *at, size_t len);
static int hs_on_headers(http_parser *parser);
static int hs_on_body(http_parser *parser, const char *at, size_t len);
static int hs_on_complete(http_parser *parser);

const http_parser_settings hs_settings = {
	.on_url = hs_on_url,
	.on_header_field = hs_on_field,
	.on_header_value = hs_on_value,
	.on_headers_complete = hs_on_headers,
	.on_body = hs_on_body,
	.on_message_complete = hs_on_complete,
};

static int hs_on_url(http_parser *parser, const char *at, size_t len)
{
	struct hs_conn *conn = parser->data;

	if (conn->target_len + len + 1 > sizeof(conn->target)) {
		conn->error_status = 431;
		return -1;
	}
	memcpy(conn->target + conn->target_len, at, len);
	conn->target_len += len;
	conn->target[conn->target_len] = '\0';
	return 0;
}

/* Counts header bytes against the limit, which bounds the memory they use. */
static int hs_count_header(struct hs_conn *conn, size_t len)
{
	conn->header_len += len;
	if (conn->header_len <= conn->hs->limits.header_bytes)
		return 0;
	conn->error_status = 431;
	return -1;
}

/*
 * The number of fields is bounded, too: an empty one is a byte of the limit,
 * but takes some twenty to keep.
 */
static int hs_on_field(http_parser *parser, const char *at, size_t len)
{
	struct hs_conn *conn = parser->data;
	size_t most = conn->hs->limits.header_bytes / HS_FIELD_BYTES;

	if (hs_count_header(conn, len))
		return -1;
	if (hdr_add_name(&conn->headers, at, len))
		return -1;
	if ((size_t)conn->headers.count <=
	    (most > HS_FIELDS_MIN ? most : HS_FIELDS_MIN))
		return 0;
	conn->error_status = 431;
	return -1;
}

static int hs_on_value(http_parser *parser, const char *at, size_t len)
{
	struct hs_conn *conn = parser->data;

	if (hs_count_header(conn, len))
		return -1;
	return hdr_add_value(&conn->headers, at, len);
}

/*
 * Rejects a body whose Content-Length exceeds the limit, or what is free now;
 * otherwise replies to "Expect: 100-continue", so that the client sends the
 * body.
 */
static int hs_on_headers(http_parser *parser)
{
	struct hs_conn *conn = parser->data;
	const char *expect = hdr_get(&conn->headers, "Expect");

	conn->deadline_us = MAG_NEVER;
	if (parser->content_length != UINT64_MAX &&
	    parser->content_length > conn->hs->limits.body_bytes) {
		conn->error_status = 413;
		return -1;
	}
	if (parser->content_length != UINT64_MAX &&
	    !hs_claim_body(conn, parser->content_length)) {
		conn->error_status = 503;
		return -1;
	}
	if (expect && strcasecmp(expect, "100-continue") == 0)
		evbuffer_add_printf(bufferevent_get_output(conn->bev),
				    "HTTP/1.1 100 Continue\r\n\r\n");
	return 0;
}

static int hs_on_body(http_parser *parser, const char *at, size_t len)
{
	struct hs_conn *conn = parser->data;
	size_t have = evbuffer_get_length(conn->body);

	if (have + len > conn->hs->limits.body_bytes) {
		conn->error_status = 413;
		return -1;
	}
	if (!hs_claim_body(conn, have + len)) {
		conn->error_status = 503;
		return -1;
	}
	if (evbuffer_add(conn->body, at, len)) {
		conn->error_status = 503;
		return -1;
	}
	return 0;
}

/* Makes the body contiguous, as its readers expect, or refuses the request. */
static int hs_on_complete(http_parser *parser)
{
	struct hs_conn *conn = parser->data;

	if (evbuffer_get_length(conn->body) > 0 &&
	    !evbuffer_pullup(conn->body, -1)) {
		conn->error_status = 503;
		return -1;
	}
	conn->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}
