#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/util.h>

#include "clk.h"
#include "hs_int.h"

/*
 * Bytes that one connection may hold unread beyond the request in progress:
 * a caller that pipelines waits in its own socket beyond this.
 */
#define HS_READ_AHEAD 65536
#define HS_BACKLOG    1024
/* A caller that takes no byte for so long is taken for gone (milliseconds). */
#define HS_USER_TIMEOUT 5000
#define HS_DEFAULT_IDLE 15000
#define HS_DEFAULT_HEAD 3000
#define HS_HEADER_BYTES 16384
#define HS_BODY_BYTES	(4U << 20)

static void hs_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int addr_len, void *arg);
static void hs_read(struct bufferevent *bev, void *arg);
static void hs_written(struct bufferevent *bev, void *arg);
static void hs_event(struct bufferevent *bev, short what, void *arg);
static void hs_parse(struct hs_conn *conn);
static void hs_next(struct hs_conn *conn);
static void hs_refuse(struct hs_conn *conn, int status);
static void hs_close(struct hs_conn *conn);
static void hs_lost(struct hs_conn *conn);
static void hs_end_answer(struct hs_conn *conn);
static const char *hs_reason(int status);

/*
 * Listens on "ip:port".  Returns HS_E_LISTEN if the address is not free or
 * not this machine's.
 */
int hs_new(struct event_base *base, const char *address,
	   const struct hs_ops *ops, void *ctx, struct hs **out)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);
	struct hs *hs;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr, &len))
		return HS_E_LISTEN;
	hs = calloc(1, sizeof(*hs));
	if (!hs)
		return HS_E_MEMORY;
	hs->base = base;
	hs->ops = *ops;
	hs->ctx = ctx;
	hs->keep = true;
	hs->limits = (struct hs_limits){ HS_HEADER_BYTES, HS_BODY_BYTES,
					 HS_DEFAULT_HEAD, HS_DEFAULT_IDLE };
	CDS_INIT_LIST_HEAD(&hs->conns);
	hs->listener = evconnlistener_new_bind(
		base, hs_accept, hs,
		LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE |
			LEV_OPT_CLOSE_ON_EXEC,
		HS_BACKLOG, (struct sockaddr *)&addr, len);
	if (!hs->listener) {
		free(hs);
		return HS_E_LISTEN;
	}
	*out = hs;
	return HS_OK;
}

/* Closes the listener and every connection without calling the owner. */
void hs_free(struct hs *hs)
{
	struct hs_conn *conn;
	struct hs_conn *next;

	if (!hs)
		return;
	cds_list_for_each_entry_safe (conn, next, &hs->conns, node)
		hs_close(conn);
	evconnlistener_free(hs->listener);
	free(hs);
}

/* Takes new limits; they hold from the next request of each connection. */
void hs_set_limits(struct hs *hs, const struct hs_limits *limits)
{
	hs->limits = *limits;
}

/*
 * From now on each answer says that its connection closes after it, and
 * connections that wait for a request close at once.
 */
void hs_stop_keep_alive(struct hs *hs)
{
	struct hs_conn *conn;
	struct hs_conn *next;

	hs->keep = false;
	cds_list_for_each_entry_safe (conn, next, &hs->conns, node) {
		if (conn->state == HS_READING && !conn->begun &&
		    hs_unsent(conn) == 0)
			conn->due_us = 0;
		else if (conn->state == HS_READING && !conn->begun)
			conn->state = HS_CLOSING;
	}
}

/*
 * Returns the connections with a request that is read or answered, or with an
 * answer of which some bytes still wait to be sent.
 */
int hs_open_count(const struct hs *hs)
{
	const struct hs_conn *conn;
	int count = 0;

	cds_list_for_each_entry (conn, &hs->conns, node)
		count += conn->state != HS_READING || conn->begun ||
			 evbuffer_get_length(
				 bufferevent_get_output(conn->bev)) > 0;
	return count;
}

/* Ends connections whose header or next request did not come in time. */
void hs_tick(struct hs *hs, int64_t now)
{
	struct hs_conn *conn;
	struct hs_conn *next;

	cds_list_for_each_entry_safe (conn, next, &hs->conns, node) {
		if (conn->state != HS_READING || now < conn->due_us)
			continue;
		if (conn->begun)
			hs_refuse(conn, 408);
		else
			hs_close(conn);
	}
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

/* Sets what the owner is given back when the caller leaves. */
void hs_set_user(struct hs_conn *conn, void *user)
{
	conn->user = user;
}

void hs_close_after_reply(struct hs_conn *conn)
{
	conn->keep_alive = false;
}

/*
 * Answers the request with a whole body.  fields holds further header lines,
 * each ended by CR LF, or is NULL.
 */
void hs_reply(struct hs_conn *conn, int status, const char *fields,
	      const void *body, size_t len)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	bool keep = conn->keep_alive && conn->hs->keep;

	evbuffer_add_printf(out,
			    "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n%s\r\n",
			    status, hs_reason(status), fields ? fields : "",
			    len, keep ? "" : "Connection: close\r\n");
	if (len > 0 && conn->parser.method != HTTP_HEAD)
		evbuffer_add(out, body, len);
	conn->keep_alive = keep;
	hs_end_answer(conn);
}

/* Begins an answer whose length is not known; it is sent in chunks. */
void hs_stream_begin(struct hs_conn *conn, int status, const char *fields)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	bool keep = conn->keep_alive && conn->hs->keep;

	conn->keep_alive = keep;
	conn->chunked = true;
	evbuffer_add_printf(
		out, "HTTP/1.1 %d %s\r\n%sTransfer-Encoding: chunked\r\n%s\r\n",
		status, hs_reason(status), fields,
		keep ? "" : "Connection: close\r\n");
}

void hs_stream_data(struct hs_conn *conn, const void *bytes, size_t len)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	if (len == 0)
		return;
	evbuffer_add_printf(out, "%zx\r\n", len);
	evbuffer_add(out, bytes, len);
	evbuffer_add(out, "\r\n", 2);
}

void hs_stream_end(struct hs_conn *conn)
{
	evbuffer_add(bufferevent_get_output(conn->bev), "0\r\n\r\n", 5);
	hs_end_answer(conn);
}

/*
 * Breaks an answer off.  The connection is reset, so that a caller cannot
 * take what it has for the whole.
 */
void hs_abort(struct hs_conn *conn)
{
	struct linger hard = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(bufferevent_getfd(conn->bev), SOL_SOCKET, SO_LINGER, &hard,
		   sizeof(hard));
	hs_close(conn);
}

/* Returns the bytes of the answer that the caller has not taken yet. */
size_t hs_unsent(struct hs_conn *conn)
{
	return evbuffer_get_length(bufferevent_get_output(conn->bev));
}

static void hs_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int addr_len, void *arg)
{
	struct hs *hs = arg;
	struct hs_conn *conn = calloc(1, sizeof(*conn));
	unsigned int patience = HS_USER_TIMEOUT;
	int on = 1;

	(void)listener;
	(void)addr;
	(void)addr_len;
	if (!conn) {
		close(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &patience,
		   sizeof(patience));
	conn->hs = hs;
	conn->body = evbuffer_new();
	conn->bev = bufferevent_socket_new(hs->base, fd, BEV_OPT_CLOSE_ON_FREE);
	if (!conn->body || !conn->bev) {
		if (conn->body)
			evbuffer_free(conn->body);
		if (conn->bev)
			bufferevent_free(conn->bev);
		else
			close(fd);
		free(conn);
		return;
	}
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	conn->due_us = clk_boot_us() + hs->limits.idle_ms * MAG_US_PER_MS;
	cds_list_add_tail(&conn->node, &hs->conns);
	bufferevent_setcb(conn->bev, hs_read, hs_written, hs_event, conn);
	bufferevent_setwatermark(conn->bev, EV_READ, 0, HS_READ_AHEAD);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
}

static void hs_read(struct bufferevent *bev, void *arg)
{
	struct hs_conn *conn = arg;

	(void)bev;
	if (conn->state == HS_READING)
		hs_parse(conn);
}

/* The answer is out: close where that was agreed. */
static void hs_written(struct bufferevent *bev, void *arg)
{
	struct hs_conn *conn = arg;

	(void)bev;
	if (conn->state == HS_CLOSING)
		hs_close(conn);
}

static void hs_event(struct bufferevent *bev, short what, void *arg)
{
	struct hs_conn *conn = arg;

	(void)bev;
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)))
		return;
	hs_lost(conn);
}

/* Gives the parser what has come, up to the end of one request. */
static void hs_parse(struct hs_conn *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	unsigned char *bytes;
	size_t len;
	size_t used;

	while (conn->state == HS_READING && !conn->whole) {
		len = evbuffer_get_contiguous_space(in);
		if (len == 0)
			return;
		bytes = evbuffer_pullup(in, (ev_ssize_t)len);
		if (!conn->begun) {
			conn->begun = true;
			conn->due_us =
				clk_boot_us() +
				conn->hs->limits.header_ms * MAG_US_PER_MS;
		}
		used = http_parser_execute(&conn->parser, &hs_settings,
					   (const char *)bytes, len);
		evbuffer_drain(in, used);
		if (conn->whole)
			break;
		if (conn->error_status ||
		    HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
			hs_refuse(conn, conn->error_status ? conn->error_status
							   : 400);
			return;
		}
		if (conn->parser.upgrade) {
			hs_refuse(conn, 400);
			return;
		}
	}
	if (!conn->whole)
		return;
	conn->whole = false;
	conn->state = HS_ANSWERING;
	conn->keep_alive = http_should_keep_alive(&conn->parser) != 0;
	conn->hs->ops.request(conn->hs->ctx, conn);
}

/* Makes the connection ready for its next request. */
static void hs_next(struct hs_conn *conn)
{
	conn->state = HS_READING;
	conn->begun = false;
	conn->whole = false;
	conn->user = NULL;
	conn->chunked = false;
	conn->target_len = 0;
	conn->header_len = 0;
	conn->due_us = clk_boot_us() + conn->hs->limits.idle_ms * MAG_US_PER_MS;
	hdr_reset(&conn->headers);
	evbuffer_drain(conn->body, evbuffer_get_length(conn->body));
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	if (evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0)
		bufferevent_trigger(conn->bev, EV_READ,
				    BEV_TRIG_DEFER_CALLBACKS);
}

/* Answers what could not be read as a request, and closes. */
static void hs_refuse(struct hs_conn *conn, int status)
{
	conn->state = HS_ANSWERING;
	conn->keep_alive = false;
	hs_reply(conn, status, NULL, NULL, 0);
}

static void hs_close(struct hs_conn *conn)
{
	cds_list_del(&conn->node);
	bufferevent_free(conn->bev);
	evbuffer_free(conn->body);
	hdr_free(&conn->headers);
	free(conn);
}

/* The peer closed or the connection broke; the owner hears of it first. */
static void hs_lost(struct hs_conn *conn)
{
	void *user = conn->user;

	conn->user = NULL;
	if (conn->state == HS_ANSWERING && user)
		conn->hs->ops.disconnected(conn->hs->ctx, conn, user);
	hs_close(conn);
}

static void hs_end_answer(struct hs_conn *conn)
{
	conn->user = NULL;
	if (conn->keep_alive && conn->hs->keep) {
		hs_next(conn);
		return;
	}
	/* It closes once the last byte is out, not before. */
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
