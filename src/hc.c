#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/util.h>
#include <http_parser.h>
#include <urcu/list.h>

#include "clk.h"
#include "hc.h"

/*
 * An idle connection is not used again after this, because a host may drop
 * it without notice; hosts that name a shorter time are followed.
 */
#define HC_IDLE_US (4 * MAG_US_PER_S)
/* Unacknowledged bytes for so long end a connection (milliseconds). */
#define HC_USER_TIMEOUT 3000

enum hc_state {
	HC_CONNECTING,
	HC_ACTIVE,
	HC_IDLE,
};

struct hc {
	struct event_base *base;
	struct cds_list_head hosts;
};

struct hc_host {
	struct cds_list_head node;
	struct hc *hc;
	struct sockaddr_storage addr;
	int addr_len;
	int max_connections;
	int open;
	struct cds_list_head conns;
	struct cds_list_head idle; /* the one used last comes first */
};

/* A connection and the call on it; idle ones carry no call. */
struct hc_call {
	struct cds_list_head node;
	struct cds_list_head in_idle;
	struct hc_host *host;
	struct bufferevent *bev;
	http_parser parser;
	enum hc_state state;
	struct hdr_list headers;
	const struct hc_ops *ops;
	void *user;
	struct evbuffer *request; /* until the connection stands */
	size_t request_len;
	int64_t connect_by_us;
	int64_t deadline_us;
	int64_t idle_until_us;
	bool head;
	bool skipping;	/* an answer that belongs to another request */
	bool until_eof; /* the answer's length is the connection's */
	bool got_bytes;
	bool whole;
	bool keep_alive;
	bool cancelled; /* by a callback, while the parser runs */
	bool parsing;
};

static struct hc_call *hc_open(struct hc_host *host);
static void hc_begin(struct hc_call *call, const struct hc_send *send);
static void hc_write(struct hc_call *call);
static void hc_read(struct bufferevent *bev, void *arg);
static void hc_event(struct bufferevent *bev, short what, void *arg);
static void hc_parse(struct hc_call *call);
static void hc_complete(struct hc_call *call);
static void hc_finish(struct hc_call *call, enum hc_result end);
static void hc_close(struct hc_call *call);
static void hc_hint(struct hc_call *call, int64_t now);
static bool hc_end_one_due(struct hc_host *host, int64_t now);
static int hc_on_field(http_parser *parser, const char *at, size_t len);
static int hc_on_value(http_parser *parser, const char *at, size_t len);
static int hc_on_begin(http_parser *parser);
static int hc_on_headers(http_parser *parser);
static int hc_on_body(http_parser *parser, const char *at, size_t len);
static int hc_on_complete(http_parser *parser);
static bool hc_ends_with_connection(const http_parser *parser);

static const http_parser_settings hc_settings = {
	.on_message_begin = hc_on_begin,
	.on_header_field = hc_on_field,
	.on_header_value = hc_on_value,
	.on_headers_complete = hc_on_headers,
	.on_body = hc_on_body,
	.on_message_complete = hc_on_complete,
};

struct hc *hc_new(struct event_base *base)
{
	struct hc *hc = calloc(1, sizeof(*hc));

	if (!hc)
		return NULL;
	hc->base = base;
	CDS_INIT_LIST_HEAD(&hc->hosts);
	return hc;
}

/* Closes every connection without ending the calls on them. */
void hc_free(struct hc *hc)
{
	struct hc_host *host;
	struct hc_host *next;

	if (!hc)
		return;
	cds_list_for_each_entry_safe (host, next, &hc->hosts, node)
		hc_host_free(host);
	free(hc);
}

/*
 * Puts the deadlines of all calls off.  For a process that did not run for a
 * while, as on a machine that was paused: answers that came meanwhile lie
 * unread, and connections that stand have not been written to.  Without this
 * each call in progress would seem unanswered, and sound hosts dead.
 */
void hc_extend_deadlines(struct hc *hc, int64_t by_us)
{
	struct hc_host *host;
	struct hc_call *call;

	cds_list_for_each_entry (host, &hc->hosts, node) {
		cds_list_for_each_entry (call, &host->conns, node) {
			if (call->state == HC_IDLE)
				continue;
			call->connect_by_us += by_us;
			if (call->deadline_us != MAG_NEVER)
				call->deadline_us += by_us;
		}
	}
}

/* Ends calls whose deadline has passed and idle connections grown old. */
void hc_tick(struct hc *hc, int64_t now)
{
	struct hc_host *host;

	cds_list_for_each_entry (host, &hc->hosts, node) {
		/*
		 * What is told of an end may close other connections of the
		 * host, so the list is read anew after each one.
		 */
		while (hc_end_one_due(host, now))
			;
	}
}

/* Ends one call or idle connection that is due; false if there is none. */
static bool hc_end_one_due(struct hc_host *host, int64_t now)
{
	struct hc_call *call;

	cds_list_for_each_entry (call, &host->conns, node) {
		if (call->state == HC_IDLE && now >= call->idle_until_us)
			hc_close(call);
		else if (call->state == HC_CONNECTING &&
			 now >= call->connect_by_us)
			hc_finish(call, HC_UNSENT);
		else if (call->state == HC_ACTIVE && now >= call->deadline_us)
			hc_finish(call, HC_TIMED_OUT);
		else
			continue;
		return true;
	}
	return false;
}

/* Makes a host of "ip:port"; nothing is opened yet. */
int hc_host_new(struct hc *hc, const char *address, int max_connections,
		struct hc_host **out)
{
	struct hc_host *host = calloc(1, sizeof(*host));

	if (!host)
		return HC_E_MEMORY;
	host->addr_len = sizeof(host->addr);
	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&host->addr,
				       &host->addr_len)) {
		free(host);
		return HC_E_ADDRESS;
	}
	host->hc = hc;
	host->max_connections = max_connections;
	CDS_INIT_LIST_HEAD(&host->conns);
	CDS_INIT_LIST_HEAD(&host->idle);
	cds_list_add_tail(&host->node, &hc->hosts);
	*out = host;
	return HC_OK;
}

void hc_host_limit(struct hc_host *host, int max_connections)
{
	host->max_connections = max_connections;
}

/* Closes all connections of a host; calls on them are not told. */
void hc_host_free(struct hc_host *host)
{
	struct hc_call *call;
	struct hc_call *next;

	if (!host)
		return;
	cds_list_for_each_entry_safe (call, next, &host->conns, node)
		hc_close(call);
	cds_list_del(&host->node);
	free(host);
}

/* Closes the connections that carry nothing. */
void hc_host_drop_idle(struct hc_host *host)
{
	struct hc_call *call;
	struct hc_call *next;

	cds_list_for_each_entry_safe (call, next, &host->conns, node) {
		if (call->state == HC_IDLE)
			hc_close(call);
	}
}

/*
 * Sends a request.  The call's end is told exactly once, never from within
 * this function.
 */
int hc_start(struct hc_host *host, const struct hc_send *send,
	     struct hc_call **out)
{
	struct hc_call *call = NULL;

	if (!send->new_connection && !cds_list_empty(&host->idle)) {
		call = cds_list_first_entry(&host->idle, struct hc_call,
					    in_idle);
		cds_list_del(&call->in_idle);
		call->state = HC_ACTIVE;
	} else if (host->open >= host->max_connections &&
		   cds_list_empty(&host->idle)) {
		evbuffer_free(send->request);
		return HC_E_FULL;
	} else {
		if (host->open >= host->max_connections)
			hc_close(cds_list_first_entry(&host->idle,
						      struct hc_call, in_idle));
		call = hc_open(host);
		if (!call) {
			evbuffer_free(send->request);
			return HC_E_MEMORY;
		}
	}
	hc_begin(call, send);
	if (call->state == HC_ACTIVE)
		hc_write(call);
	*out = call;
	return HC_OK;
}

/*
 * Gives a call up: its connection closes, so that the host stops working on
 * it.  Its end is not told.
 */
void hc_cancel(struct hc_call *call)
{
	call->ops = NULL;
	if (call->parsing) {
		call->cancelled = true;
		return;
	}
	hc_close(call);
}

/* Tells whether no byte of the request has left this machine so far. */
bool hc_unsent(const struct hc_call *call)
{
	size_t left;

	if (call->state == HC_CONNECTING)
		return true;
	left = evbuffer_get_length(bufferevent_get_output(call->bev));
	return !call->got_bytes && left >= call->request_len;
}

static struct hc_call *hc_open(struct hc_host *host)
{
	struct hc_call *call = calloc(1, sizeof(*call));
	unsigned int patience = HC_USER_TIMEOUT;
	int on = 1;
	int fd;

	if (!call)
		return NULL;
	call->host = host;
	call->bev = bufferevent_socket_new(host->hc->base, -1,
					   BEV_OPT_CLOSE_ON_FREE);
	if (!call->bev) {
		free(call);
		return NULL;
	}
	call->state = HC_CONNECTING;
	host->open++;
	cds_list_add_tail(&call->node, &host->conns);
	bufferevent_setcb(call->bev, hc_read, NULL, hc_event, call);
	/* A failure at once is told through the event callback, too. */
	if (bufferevent_socket_connect(call->bev,
				       (struct sockaddr *)&host->addr,
				       host->addr_len) == 0) {
		fd = bufferevent_getfd(call->bev);
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &patience,
			   sizeof(patience));
		bufferevent_enable(call->bev, EV_READ | EV_WRITE);
	} else {
		/* The tick ends it; the caller is never called back here. */
		call->connect_by_us = 0;
	}
	return call;
}

static void hc_begin(struct hc_call *call, const struct hc_send *send)
{
	call->ops = send->ops;
	call->user = send->user;
	call->request = send->request;
	call->request_len = evbuffer_get_length(send->request);
	call->connect_by_us = send->connect_by_us;
	call->deadline_us = send->deadline_us;
	call->head = send->head_request;
	call->skipping = false;
	call->until_eof = false;
	call->got_bytes = false;
	call->whole = false;
	call->keep_alive = false;
	hdr_reset(&call->headers);
	http_parser_init(&call->parser, HTTP_RESPONSE);
	call->parser.data = call;
}

static void hc_write(struct hc_call *call)
{
	bufferevent_write_buffer(call->bev, call->request);
	evbuffer_free(call->request);
	call->request = NULL;
}

static void hc_read(struct bufferevent *bev, void *arg)
{
	struct hc_call *call = arg;

	(void)bev;
	if (call->state == HC_ACTIVE) {
		hc_parse(call);
		return;
	}
	/* Bytes that no request asked for belong to nobody. */
	hc_close(call);
}

static void hc_event(struct bufferevent *bev, short what, void *arg)
{
	struct hc_call *call = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		call->state = HC_ACTIVE;
		hc_write(call);
		return;
	}
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	switch (call->state) {
	case HC_CONNECTING:
		hc_finish(call, HC_UNSENT);
		return;
	case HC_IDLE:
		hc_close(call);
		return;
	case HC_ACTIVE:
		break;
	}
	if ((what & BEV_EVENT_EOF) && call->until_eof && !call->skipping) {
		call->keep_alive = false;
		hc_finish(call, HC_COMPLETE);
		return;
	}
	hc_finish(call, hc_unsent(call) ? HC_UNSENT : HC_CONN_LOST);
}

static void hc_parse(struct hc_call *call)
{
	struct evbuffer *in = bufferevent_get_input(call->bev);
	unsigned char *bytes;
	size_t len;
	size_t used;

	call->got_bytes = true;
	for (;;) {
		len = evbuffer_get_contiguous_space(in);
		if (len == 0)
			return;
		bytes = evbuffer_pullup(in, (ev_ssize_t)len);
		call->parsing = true;
		used = http_parser_execute(&call->parser, &hc_settings,
					   (const char *)bytes, len);
		call->parsing = false;
		if (call->cancelled) {
			hc_close(call);
			return;
		}
		evbuffer_drain(in, used);
		if (call->whole) {
			hc_complete(call);
			return;
		}
		if (HTTP_PARSER_ERRNO(&call->parser) != HPE_OK ||
		    call->parser.upgrade) {
			hc_finish(call, HC_PROTOCOL_ERROR);
			return;
		}
	}
}

/* The answer is whole: keep the connection if that is sound. */
static void hc_complete(struct hc_call *call)
{
	struct evbuffer *in = bufferevent_get_input(call->bev);
	struct evbuffer *out = bufferevent_get_output(call->bev);
	const struct hc_ops *ops = call->ops;
	void *user = call->user;
	int64_t now = clk_boot_us();

	call->ops = NULL;
	/* An answer that came before the request was out, or bytes behind
	 * it, leave the connection in a state that nobody knows. */
	if (!call->keep_alive || evbuffer_get_length(in) > 0 ||
	    evbuffer_get_length(out) > 0) {
		hc_close(call);
	} else {
		call->state = HC_IDLE;
		hc_hint(call, now);
		cds_list_add(&call->in_idle, &call->host->idle);
	}
	if (ops)
		ops->ended(user, HC_COMPLETE);
}

/* Ends a call that failed, or whose answer ended with its connection. */
static void hc_finish(struct hc_call *call, enum hc_result end)
{
	const struct hc_ops *ops = call->ops;
	void *user = call->user;

	hc_close(call);
	if (ops)
		ops->ended(user, end);
}

static void hc_close(struct hc_call *call)
{
	if (call->state == HC_IDLE)
		cds_list_del(&call->in_idle);
	cds_list_del(&call->node);
	call->host->open--;
	if (call->request)
		evbuffer_free(call->request);
	bufferevent_free(call->bev);
	hdr_free(&call->headers);
	free(call);
}

/* Keeps an idle connection for less than the host says it will. */
static void hc_hint(struct hc_call *call, int64_t now)
{
	const char *keep = hdr_get(&call->headers, "Keep-Alive");
	const char *timeout = keep ? strstr(keep, "timeout=") : NULL;
	int64_t hold = HC_IDLE_US;
	long seconds;

	if (timeout) {
		seconds = strtol(timeout + strlen("timeout="), NULL, 10);
		if (seconds >= 0 && seconds * MAG_US_PER_S / 2 < hold)
			hold = seconds * MAG_US_PER_S / 2;
	}
	call->idle_until_us = now + hold;
}

static int hc_on_begin(http_parser *parser)
{
	struct hc_call *call = parser->data;

	hdr_reset(&call->headers);
	return 0;
}

static int hc_on_field(http_parser *parser, const char *at, size_t len)
{
	struct hc_call *call = parser->data;

	return hdr_add_name(&call->headers, at, len);
}

static int hc_on_value(http_parser *parser, const char *at, size_t len)
{
	struct hc_call *call = parser->data;

	return hdr_add_value(&call->headers, at, len);
}

/* Returns 1 for an answer without a body, as the parser wants it. */
static int hc_on_headers(http_parser *parser)
{
	struct hc_call *call = parser->data;
	struct hc_response answer = { (int)parser->status_code,
				      &call->headers };

	if (parser->status_code / 100 == 1)
		return 0;
	call->skipping = false;
	if (call->ops)
		call->skipping = !call->ops->headers(call->user, &answer);
	if (call->cancelled)
		return -1;
	call->keep_alive = http_should_keep_alive(parser) != 0;
	call->until_eof = !call->head && hc_ends_with_connection(parser);
	return call->head ? 1 : 0;
}

static int hc_on_body(http_parser *parser, const char *at, size_t len)
{
	struct hc_call *call = parser->data;

	if (call->ops && !call->skipping)
		call->ops->body(call->user, at, len);
	return call->cancelled ? -1 : 0;
}

static int hc_on_complete(http_parser *parser)
{
	struct hc_call *call = parser->data;

	if (parser->status_code / 100 == 1 || call->skipping)
		return 0;
	call->whole = true;
	http_parser_pause(parser, 1);
	return 0;
}

/* Tells whether an answer has neither a length nor chunks. */
static bool hc_ends_with_connection(const http_parser *parser)
{
	if (parser->status_code == 204 || parser->status_code == 304)
		return false;
	return !(parser->flags & F_CHUNKED) &&
	       parser->content_length == UINT64_MAX;
}
