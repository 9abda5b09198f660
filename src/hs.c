#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clk.h"
#include "hs_int.h"
#include "jlog.h"
#include "lsn.h"

/*
 * Maximum of unparsed input that is buffered for a connection (bytes).  Further
 * pipelined requests stay in the socket.
 */
#define HS_INPUT_MAX 65536
/* Unsent bytes of a connection above which no further request is read. */
#define HS_UNSENT_MAX 65536
/*
 * A client sends its first request right after it has connected.  Without
 * keep-alive, or when connections are short, one on which none has come is
 * closed after this time.
 */
#define HS_FIRST_REQUEST_US (500 * MAG_US_PER_MS)
/* Time for the client to end a connection after its last response. */
#define HS_LINGER_US		(500 * MAG_US_PER_MS)
#define HS_DEFAULT_IDLE_MS	15000
#define HS_DEFAULT_HEADER_MS	3000
#define HS_DEFAULT_HEADER_BYTES 16384
#define HS_DEFAULT_BODY_BYTES	(4U << 20)

static void hs_read(struct bufferevent *bev, void *arg);
static void hs_written(struct bufferevent *bev, void *arg);
static void hs_linger(struct hs_conn *conn);
static void hs_event(struct bufferevent *bev, short what, void *arg);
static void hs_count(struct evbuffer *buffer,
		     const struct evbuffer_cb_info *info, void *arg);
static void hs_parse(struct hs_conn *conn);
static int64_t hs_idle_deadline(const struct hs_conn *conn);
static void hs_reset_conn(struct hs_conn *conn);
static void hs_drop_body(struct hs_conn *conn);
static void hs_disconnect(struct hs_conn *conn);
static void hs_break(struct hs_conn *conn);
static void hs_end_response(struct hs_conn *conn);
static const char *hs_reason(int status);

/*
 * Listens on "ip:port".  Returns HS_E_LISTEN if the address is malformed, in
 * use or not local.
 */
int hs_new(struct event_base *base, const char *address,
	   const struct hs_ops *ops, void *ctx, struct hs **out)
{
	int fd;

	if (lsn_open(address, LSN_TCP, &fd))
		return HS_E_LISTEN;
	return hs_serve(base, fd, ops, ctx, out);
}

/* Serves a socket that listens; closes it, also on an error. */
int hs_serve(struct event_base *base, int fd, const struct hs_ops *ops,
	     void *ctx, struct hs **out)
{
	struct hs *hs = calloc(1, sizeof(*hs));

	if (!hs) {
		close(fd);
		return HS_E_MEMORY;
	}
	hs->base = base;
	hs->ops = *ops;
	hs->ctx = ctx;
	hs->keep_alive = true;
	hs->limits =
		(struct hs_limits){ HS_DEFAULT_HEADER_BYTES,
				    HS_DEFAULT_BODY_BYTES, HS_DEFAULT_HEADER_MS,
				    HS_DEFAULT_IDLE_MS };
	CDS_INIT_LIST_HEAD(&hs->conns);
	if (hs_listen(hs, fd)) {
		close(fd);
		free(hs);
		return HS_E_MEMORY;
	}
	*out = hs;
	return HS_OK;
}

/* Closes the listener and all connections without calling the owner. */
void hs_free(struct hs *hs)
{
	struct hs_conn *conn;
	struct hs_conn *next;

	if (!hs)
		return;
	cds_list_for_each_entry_safe (conn, next, &hs->conns, node)
		hs_close(conn);
	if (hs->listener)
		evconnlistener_free(hs->listener);
	free(hs);
}

/* Sets limits; header and idle timeouts that run already keep their value. */
void hs_set_limits(struct hs *hs, const struct hs_limits *limits)
{
	hs->limits = *limits;
}

/*
 * Disables keep-alive: every further response carries "Connection: close", and
 * idle connections are closed, by the next tick or once their last response
 * has been sent.  New ones may still send their first request.
 */
void hs_stop_keep_alive(struct hs *hs)
{
	struct hs_conn *conn;
	struct hs_conn *next;

	hs->keep_alive = false;
	cds_list_for_each_entry_safe (conn, next, &hs->conns, node) {
		if (conn->state != HS_READING || conn->started)
			continue;
		if (!conn->used)
			conn->deadline_us = hs_idle_deadline(conn);
		else if (hs_unsent(conn) == 0)
			conn->deadline_us = 0;
		else
			conn->state = HS_CLOSING;
	}
}

/*
 * Returns the number of connections with a request in progress, with unsent
 * bytes of a response or, once keep-alive is disabled, without a request so
 * far.
 */
int hs_open_count(const struct hs *hs)
{
	const struct hs_conn *conn;
	int count = 0;

	cds_list_for_each_entry (conn, &hs->conns, node)
		count += conn->state != HS_READING || conn->started ||
			 (!conn->used && !hs->keep_alive) ||
			 evbuffer_get_length(
				 bufferevent_get_output(conn->bev)) > 0;
	return count;
}

/* Returns the number of connections on which no byte of a request was read. */
int hs_unused_count(const struct hs *hs)
{
	const struct hs_conn *conn;
	int count = 0;

	cds_list_for_each_entry (conn, &hs->conns, node)
		count += conn->state == HS_READING && !conn->used &&
			 !conn->started;
	return count;
}

/*
 * Closes connections whose header or next request did not arrive in time, and
 * accepts again when a pause is over.
 */
void hs_tick(struct hs *hs, int64_t now)
{
	struct hs_conn *conn;
	struct hs_conn *next;

	cds_list_for_each_entry_safe (conn, next, &hs->conns, node) {
		if ((conn->state != HS_READING &&
		     conn->state != HS_LINGERING) ||
		    now < conn->deadline_us)
			continue;
		if (conn->state == HS_READING && conn->started)
			hs_send_error(conn, 408);
		else
			hs_close(conn);
	}
	hs_choose_accepting(hs, now);
}

const char *hs_method(const struct hs_conn *conn)
{
	return http_method_str((enum http_method)conn->parser.method);
}

const char *hs_target(const struct hs_conn *conn)
{
	return conn->target;
}

const struct hdr_list *hs_headers(const struct hs_conn *conn)
{
	return &conn->headers;
}

struct evbuffer *hs_body(struct hs_conn *conn)
{
	return conn->body;
}

/* Sets the argument for the disconnected callback; NULL: do not call it. */
void hs_set_user(struct hs_conn *conn, void *user)
{
	conn->user = user;
}

void hs_close_after_reply(struct hs_conn *conn)
{
	conn->keep_alive = false;
}

/*
 * Sends a response with a complete body.  fields holds additional header
 * lines, each terminated by CR LF, or is NULL.
 */
void hs_reply(struct hs_conn *conn, int status, const char *fields,
	      const void *body, size_t len)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	bool keep = conn->keep_alive && conn->hs->keep_alive;

	conn->keep_alive = keep;
	evbuffer_add_printf(out,
			    "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n%s\r\n",
			    status, hs_reason(status), fields ? fields : "",
			    len, keep ? "" : "Connection: close\r\n");
	if (len > 0 && conn->parser.method != HTTP_HEAD &&
	    (!body || evbuffer_add(out, body, len)))
		hs_break(conn);
	hs_end_response(conn);
}

/*
 * Starts a response of unknown length with chunked transfer coding.  For a
 * client of HTTP/1.0, which does not know it, the connection ends the response.
 */
void hs_stream_begin(struct hs_conn *conn, int status, const char *fields)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	const http_parser *parser = &conn->parser;

	conn->chunked = parser->http_major > 1 ||
			(parser->http_major == 1 && parser->http_minor >= 1);
	conn->keep_alive =
		conn->keep_alive && conn->hs->keep_alive && conn->chunked;
	evbuffer_add_printf(
		out, "HTTP/1.1 %d %s\r\n%s%s%s\r\n", status, hs_reason(status),
		fields, conn->chunked ? "Transfer-Encoding: chunked\r\n" : "",
		conn->keep_alive ? "" : "Connection: close\r\n");
}

void hs_stream_data(struct hs_conn *conn, const void *bytes, size_t len)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	if (len == 0)
		return;
	if (conn->chunked)
		evbuffer_add_printf(out, "%zx\r\n", len);
	if (!bytes || evbuffer_add(out, bytes, len)) {
		hs_break(conn);
		return;
	}
	if (conn->chunked)
		evbuffer_add(out, "\r\n", 2);
}

void hs_stream_end(struct hs_conn *conn)
{
	if (conn->chunked)
		evbuffer_add(bufferevent_get_output(conn->bev), "0\r\n\r\n", 5);
	hs_end_response(conn);
}

/*
 * Aborts a response.  The connection is reset, so that the client cannot take
 * a truncated response for a complete one.
 */
void hs_abort(struct hs_conn *conn)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(bufferevent_getfd(conn->bev), SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
	hs_close(conn);
}

/* Returns the bytes of all responses that are not yet passed to a socket. */
size_t hs_unsent_all(const struct hs *hs)
{
	return hs->unsent;
}

/* Returns the response bytes that are not yet passed to the socket. */
size_t hs_unsent(struct hs_conn *conn)
{
	return evbuffer_get_length(bufferevent_get_output(conn->bev));
}

/* Begins to read requests from a new connection. */
void hs_conn_begin(struct hs_conn *conn)
{
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	conn->deadline_us = hs_idle_deadline(conn);
	conn->first_by_us = clk_boot_us() + HS_FIRST_REQUEST_US;
	cds_list_add_tail(&conn->node, &conn->hs->conns);
	conn->hs->connections++;
	bufferevent_setcb(conn->bev, hs_read, hs_written, hs_event, conn);
	evbuffer_add_cb(bufferevent_get_output(conn->bev), hs_count,
			&conn->hs->unsent);
	bufferevent_setwatermark(conn->bev, EV_READ, 0, HS_INPUT_MAX);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
}

static void hs_read(struct bufferevent *bev, void *arg)
{
	struct hs_conn *conn = arg;

	if (conn->state == HS_READING)
		hs_parse(conn);
	else if (conn->state == HS_LINGERING)
		evbuffer_drain(bufferevent_get_input(bev), SIZE_MAX);
}

/*
 * All output has been written: closes the connection if it is closing, and
 * reads a request that waited for that.
 */
static void hs_written(struct bufferevent *bev, void *arg)
{
	struct hs_conn *conn = arg;

	(void)bev;
	if (conn->state == HS_CLOSING)
		hs_linger(conn);
	else if (conn->state == HS_READING)
		hs_parse(conn);
}

/*
 * Tells the client that no more comes, and waits for its end.  The kernel would
 * reset a connection that is closed while the client still sends, and the
 * client might lose the end of its answer.
 */
static void hs_linger(struct hs_conn *conn)
{
	if (shutdown(bufferevent_getfd(conn->bev), SHUT_WR)) {
		hs_close(conn);
		return;
	}
	conn->state = HS_LINGERING;
	conn->deadline_us = clk_boot_us() + HS_LINGER_US;
	hs_read(conn->bev, conn);
}

static void hs_event(struct bufferevent *bev, short what, void *arg)
{
	struct hs_conn *conn = arg;

	(void)bev;
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)))
		return;
	hs_disconnect(conn);
}

/*
 * Parses the input up to the end of one request.  A client that does not read
 * its answers must read some before its next request is.
 */
static void hs_parse(struct hs_conn *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	unsigned char *bytes;
	size_t len;
	size_t used;

	if (!conn->started && hs_unsent(conn) > HS_UNSENT_MAX)
		return;
	while (conn->state == HS_READING && !conn->complete) {
		len = evbuffer_get_contiguous_space(in);
		if (len == 0)
			return;
		bytes = evbuffer_pullup(in, (ev_ssize_t)len);
		if (!conn->started) {
			conn->started = true;
			conn->deadline_us =
				clk_boot_us() +
				conn->hs->limits.header_ms * MAG_US_PER_MS;
		}
		used = http_parser_execute(&conn->parser, &hs_settings,
					   (const char *)bytes, len);
		evbuffer_drain(in, used);
		if (conn->complete)
			break;
		if (conn->error_status ||
		    HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
			hs_send_error(conn, conn->error_status
						    ? conn->error_status
						    : 400);
			return;
		}
		if (conn->parser.upgrade) {
			hs_send_error(conn, 400);
			return;
		}
	}
	if (!conn->complete)
		return;
	conn->complete = false;
	conn->state = HS_RESPONDING;
	conn->used = true;
	conn->keep_alive = http_should_keep_alive(&conn->parser) != 0;
	conn->hs->ops.request(conn->hs->ctx, conn);
}

/* Returns when a connection on which no request comes is closed. */
static int64_t hs_idle_deadline(const struct hs_conn *conn)
{
	int64_t idle_us = conn->hs->limits.idle_ms * MAG_US_PER_MS;

	if (!conn->hs->keep_alive && idle_us > HS_FIRST_REQUEST_US)
		idle_us = HS_FIRST_REQUEST_US;
	return clk_boot_us() + idle_us;
}

/* Resets the connection for its next request. */
static void hs_reset_conn(struct hs_conn *conn)
{
	conn->state = HS_READING;
	conn->started = false;
	conn->complete = false;
	conn->user = NULL;
	conn->chunked = false;
	conn->target_len = 0;
	conn->header_len = 0;
	conn->deadline_us = hs_idle_deadline(conn);
	hdr_reset(&conn->headers);
	hs_drop_body(conn);
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	if (evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0)
		bufferevent_trigger(conn->bev, EV_READ,
				    BEV_TRIG_DEFER_CALLBACKS);
}

/* Frees the memory of the request's body, which nobody needs any more. */
static void hs_drop_body(struct hs_conn *conn)
{
	evbuffer_drain(conn->body, evbuffer_get_length(conn->body));
	hs_claim(conn, 0);
}

/* Sends an error for a request that could not be read, then closes. */
void hs_send_error(struct hs_conn *conn, int status)
{
	conn->state = HS_RESPONDING;
	conn->keep_alive = false;
	hs_drop_body(conn);
	hs_reply(conn, status, status == 503 ? "Retry-After: 1\r\n" : NULL,
		 NULL, 0);
}

/* Counts the bytes that were added to, or taken from, a buffer. */
static void hs_count(struct evbuffer *buffer,
		     const struct evbuffer_cb_info *info, void *arg)
{
	size_t *bytes = arg;

	(void)buffer;
	*bytes += info->n_added;
	*bytes -= info->n_deleted;
}

/* Closes a connection without calling the owner. */
void hs_close(struct hs_conn *conn)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	evbuffer_remove_cb(out, hs_count, &conn->hs->unsent);
	conn->hs->unsent -= evbuffer_get_length(out);
	hs_claim(conn, 0);
	cds_list_del(&conn->node);
	conn->hs->connections--;
	bufferevent_free(conn->bev);
	evbuffer_free(conn->body);
	hdr_free(&conn->headers);
	free(conn);
}

/* The client closed or the connection failed: notifies the owner first. */
static void hs_disconnect(struct hs_conn *conn)
{
	void *user = conn->user;

	conn->user = NULL;
	if (conn->state == HS_RESPONDING && user)
		conn->hs->ops.disconnected(conn->hs->ctx, conn, user);
	hs_close(conn);
}

/*
 * Ends a connection on which bytes of a response are missing, as there was no
 * memory for them.  The owner may still use it; the loop then finds it closed.
 */
static void hs_break(struct hs_conn *conn)
{
	jlog(LOG_RESPONSE_LOST, "\"why\":\"out of memory\"");
	conn->keep_alive = false;
	shutdown(bufferevent_getfd(conn->bev), SHUT_RDWR);
}

static void hs_end_response(struct hs_conn *conn)
{
	conn->user = NULL;
	if (conn->keep_alive && conn->hs->keep_alive) {
		hs_reset_conn(conn);
		return;
	}
	/* hs_written() closes the connection after the last byte. */
	hs_drop_body(conn);
	conn->state = HS_CLOSING;
	bufferevent_enable(conn->bev, EV_WRITE);
}

static const char *hs_reason(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 421:
		return "Misdirected Request";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 500:
		return "Internal Server Error";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Status";
	}
}
