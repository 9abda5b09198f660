#include <errno.h>
#include <limits.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/bufferevent.h>
#include <event2/util.h>
#include <urcu/list.h>

#include "clk.h"
#include "fd.h"
#include "hc.h"
#include "jlog.h"

/*
 * An idle connection is closed after this time, because the host may drop it
 * without notice.  A shorter timeout in the host's Keep-Alive field applies.
 */
#define HC_IDLE_US (4 * MAG_US_PER_S)

/* A lack of descriptors is rarely over sooner. */
#define HC_OPEN_PAUSE_US (50 * MAG_US_PER_MS)
/* Failures that follow each other within this time are logged once. */
#define HC_OPEN_SERIES_US (10 * MAG_US_PER_S)

/* Bytes of other requests' responses that one call skips. */
#define HC_SKIPPED_MAX ((size_t)1 << 20)

enum hc_state {
	HC_CONNECTING,
	HC_ACTIVE,
	HC_IDLE,
};

struct hc {
	struct event_base *base;
	struct cds_list_head hosts;
	struct cds_list_head busy; /* hosts with connections */
	int connections;
	int connections_max;
	int64_t open_from_us;	     /* after a failure */
	int64_t open_failures_by_us; /* their series ends without another */
	uint64_t open_failures;
};

struct hc_host {
	struct cds_list_head node;
	struct cds_list_head in_busy;
	struct hc *hc;
	struct sockaddr_storage addr;
	int addr_len;
	int max_connections;
	int open;
	bool refused; /* the last connection attempt */
	struct cds_list_head conns;
	struct cds_list_head idle; /* most recently used first */
	void (*observe)(void *ctx, bool reached);
	void *observe_ctx;
};

/* A connection and the call on it; in state HC_IDLE it carries no call. */
struct hc_call {
	struct cds_list_head node;
	struct cds_list_head in_idle;
	struct hc_host *host;
	struct bufferevent *bev;
	struct rsp rsp;
	enum hc_state state;
	const struct hc_ops *ops;
	void *user;
	struct evbuffer *request; /* until the connection is established */
	size_t request_len;
	int64_t connect_by_us;
	int64_t deadline_us;
	int64_t idle_until_us;
	bool skipping; /* the response belongs to another request */
	bool bytes_received;
	bool is_first;	/* the first call on its connection */
	bool cancelled; /* by a callback while the parser runs */
	bool aborted;	/* the response is useless */
	size_t body_max;
	size_t body_len;    /* received; the limit is on all of a call */
	size_t skipped_len; /* the same of responses to other requests */
	bool parsing;
};

static struct hc_call *hc_open(struct hc_host *host, int fd);
static struct hc_call *hc_conn_new(struct hc_host *host, int fd);
static bool hc_socket(struct hc_host *host, int *out);
static bool hc_drop_one_idle(struct hc *hc);
static void hc_observe(struct hc_call *call, bool reached);
static void hc_begin(struct hc_call *call, const struct hc_send *send);
static void hc_write(struct hc_call *call);
static void hc_read(struct bufferevent *bev, void *arg);
static void hc_event(struct bufferevent *bev, short what, void *arg);
static void hc_parse(struct hc_call *call);
static void hc_complete(struct hc_call *call);
static void hc_connect_failed(struct hc_call *call, int error);
static void hc_finish(struct hc_call *call, enum hc_result result);
static void hc_close(struct hc_call *call);
static void hc_set_idle_timeout(struct hc_call *call, int64_t now);
static bool hc_expire_any(struct hc *hc, int64_t now);
static bool hc_expire_one(struct hc_host *host, int64_t now);
static bool hc_on_head(void *ctx, const struct rsp *rsp);
static bool hc_on_body(void *ctx, const char *bytes, size_t len);

static const struct rsp_ops hc_rsp_ops = {
	.head = hc_on_head,
	.body = hc_on_body,
};

struct hc *hc_new(struct event_base *base)
{
	struct hc *hc = calloc(1, sizeof(*hc));

	if (!hc)
		return NULL;
	hc->base = base;
	hc->connections_max = INT_MAX;
	CDS_INIT_LIST_HEAD(&hc->hosts);
	CDS_INIT_LIST_HEAD(&hc->busy);
	return hc;
}

/* Closes all connections without calling the callbacks. */
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

/* Sets how many connections requests may use, to all hosts together. */
void hc_set_connections_max(struct hc *hc, int connections_max)
{
	hc->connections_max = connections_max;
}

/* Returns the number of open connections, idle ones included. */
int hc_connections(const struct hc *hc)
{
	return hc->connections;
}

/* Returns how often there was no descriptor for a connection. */
uint64_t hc_open_failures(const struct hc *hc)
{
	return hc->open_failures;
}

/*
 * Tells whether a connection may be opened for a request: neither is the limit
 * reached, but for idle ones, nor did one fail lately for lack of a descriptor.
 */
bool hc_has_room(const struct hc *hc)
{
	const struct hc_host *host;

	if (hc->open_failures && clk_boot_us() < hc->open_from_us)
		return false;
	if (hc->connections < hc->connections_max)
		return true;
	cds_list_for_each_entry (host, &hc->busy, in_busy) {
		if (host->idle.next != &host->idle)
			return true;
	}
	return false;
}

/*
 * Extends the deadlines of all calls.  Used after the process did not run for
 * a while, for example because the machine was paused: responses that arrived
 * meanwhile are still unread, and requests on established connections are not
 * sent yet.  Otherwise all calls in progress would time out and healthy hosts
 * would look dead.
 */
void hc_extend_deadlines(struct hc *hc, int64_t by_us)
{
	struct hc_host *host;
	struct hc_call *call;

	cds_list_for_each_entry (host, &hc->busy, in_busy) {
		cds_list_for_each_entry (call, &host->conns, node) {
			if (call->state == HC_IDLE)
				continue;
			call->connect_by_us += by_us;
			if (call->deadline_us != MAG_NEVER)
				call->deadline_us += by_us;
		}
	}
}

/* Ends calls whose deadline has passed and closes expired idle connections. */
void hc_tick(struct hc *hc, int64_t now)
{
	/*
	 * The ended callback may close other connections, so the iteration
	 * restarts after each one.
	 */
	while (hc_expire_any(hc, now))
		;
}

/* Ends one expired call or idle connection; false if there is none. */
static bool hc_expire_any(struct hc *hc, int64_t now)
{
	struct hc_host *host;

	cds_list_for_each_entry (host, &hc->busy, in_busy) {
		if (hc_expire_one(host, now))
			return true;
	}
	return false;
}

/* The same for one host. */
static bool hc_expire_one(struct hc_host *host, int64_t now)
{
	struct hc_call *call;

	cds_list_for_each_entry (call, &host->conns, node) {
		if (call->state == HC_IDLE && now >= call->idle_until_us)
			hc_close(call);
		else if (call->state == HC_CONNECTING &&
			 now >= call->connect_by_us)
			hc_connect_failed(call, ETIMEDOUT);
		else if (call->state == HC_ACTIVE && now >= call->deadline_us)
			hc_finish(call, HC_TIMED_OUT);
		else
			continue;
		return true;
	}
	return false;
}

/* Creates a host from "ip:port"; opens no connection yet. */
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

/*
 * Sets a function that is called when a host answers on a new connection, or
 * when one to it cannot be established.  It must not start or cancel calls.
 */
void hc_host_observe(struct hc_host *host,
		     void (*observe)(void *ctx, bool reached), void *ctx)
{
	host->observe = observe;
	host->observe_ctx = ctx;
}

static void hc_observe(struct hc_call *call, bool reached)
{
	if (call->host->observe)
		call->host->observe(call->host->observe_ctx, reached);
}

void hc_host_limit(struct hc_host *host, int max_connections)
{
	host->max_connections = max_connections;
}

/* Closes all connections of a host without calling the callbacks. */
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

/* Returns the number of open connections, idle ones included. */
int hc_host_open_count(const struct hc_host *host)
{
	return host->open;
}

/* Tells whether a call can be started now. */
bool hc_host_has_room(const struct hc_host *host)
{
	return host->idle.next != &host->idle ||
	       (host->open < host->max_connections && hc_has_room(host->hc));
}

/*
 * Tells whether the last connection attempt was refused: no process listens at
 * the host's address.  An attempt that timed out does not say so.
 */
bool hc_host_is_refused(const struct hc_host *host)
{
	return host->refused;
}

/* Closes the idle connections of a host. */
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
 * Sends a request.  On success the ended callback is called exactly once
 * unless the call is cancelled, and never from within this function.  A lack of
 * descriptors is no failure of the host: HC_E_FULL.
 */
int hc_start(struct hc_host *host, const struct hc_send *send,
	     struct hc_call **out)
{
	struct hc_call *call = NULL;
	int fd;

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
		if (!hc_socket(host, &fd)) {
			evbuffer_free(send->request);
			return HC_E_FULL;
		}
		call = hc_open(host, fd);
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
 * Cancels a call and closes its connection, so that the host stops working on
 * it.  The ended callback is not called.
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

/* Sets a later deadline of a call; an earlier one has no effect. */
void hc_extend_deadline(struct hc_call *call, int64_t deadline_us)
{
	if (deadline_us > call->deadline_us)
		call->deadline_us = deadline_us;
}

/*
 * Ends a call whose response is useless, as a protocol error; to be called from
 * its body callback.
 */
void hc_abort(struct hc_call *call)
{
	call->aborted = true;
}

/* Returns true if no byte of the request has been sent so far. */
bool hc_unsent(const struct hc_call *call)
{
	size_t left;

	if (call->state == HC_CONNECTING)
		return true;
	left = evbuffer_get_length(bufferevent_get_output(call->bev));
	return !call->bytes_received && left >= call->request_len;
}

/*
 * Opens a socket for a new connection.  Idle connections give way to it; if
 * there is still no descriptor, that is logged and counted, and the result is
 * false.  After any other error, such as an address family that the machine
 * lacks, the socket is -1, and connecting it fails like a refused connection.
 */
static bool hc_socket(struct hc_host *host, int *out)
{
	struct hc *hc = host->hc;
	int64_t now = clk_boot_us();
	int fd;

	if (hc->connections >= hc->connections_max)
		hc_drop_one_idle(hc);
	do {
		fd = socket(host->addr.ss_family,
			    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	} while (fd < 0 && fd_is_missing(errno) && hc_drop_one_idle(hc));
	*out = fd;
	if (fd >= 0 || !fd_is_missing(errno))
		return true;
	hc->open_failures++;
	if (now >= hc->open_failures_by_us)
		jlog(LOG_CONNECTION_FAILED, "\"why\":\"%s\",\"connections\":%d",
		     strerror(errno), hc->connections);
	hc->open_failures_by_us = now + HC_OPEN_SERIES_US;
	hc->open_from_us = now + HC_OPEN_PAUSE_US;
	return false;
}

/* Closes an idle connection to any host; false if there is none. */
static bool hc_drop_one_idle(struct hc *hc)
{
	struct hc_host *host;

	cds_list_for_each_entry (host, &hc->busy, in_busy) {
		if (cds_list_empty(&host->idle))
			continue;
		hc_close(cds_list_entry(host->idle.prev, struct hc_call,
					in_idle));
		return true;
	}
	return false;
}

/* Connects a socket; closes it on an error. */
static struct hc_call *hc_open(struct hc_host *host, int fd)
{
	struct hc_call *call = hc_conn_new(host, fd);
	int on = 1;

	if (!call)
		return NULL;
	rsp_init(&call->rsp, &hc_rsp_ops, call);
	call->state = HC_CONNECTING;
	call->is_first = true;
	host->hc->connections++;
	if (host->open++ == 0)
		cds_list_add_tail(&host->in_busy, &host->hc->busy);
	cds_list_add_tail(&call->node, &host->conns);
	bufferevent_setcb(call->bev, hc_read, NULL, hc_event, call);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	/* A connect that fails at once is reported through hc_event(), too. */
	if (bufferevent_socket_connect(call->bev,
				       (struct sockaddr *)&host->addr,
				       host->addr_len) == 0) {
		bufferevent_enable(call->bev, EV_READ | EV_WRITE);
	} else {
		/*
		 * The next hc_tick() ends the call, because hc_start() must
		 * not call the callbacks.
		 */
		call->connect_by_us = 0;
	}
	return call;
}

/* Creates a connection; without memory, closes fd and returns NULL. */
static struct hc_call *hc_conn_new(struct hc_host *host, int fd)
{
	struct hc_call *call = calloc(1, sizeof(*call));

	if (call) {
		call->host = host;
		call->bev = bufferevent_socket_new(host->hc->base, fd,
						   BEV_OPT_CLOSE_ON_FREE);
	}
	if (call && call->bev)
		return call;
	close(fd);
	free(call);
	return NULL;
}

static void hc_begin(struct hc_call *call, const struct hc_send *send)
{
	call->ops = send->ops;
	call->user = send->user;
	call->request = send->request;
	call->request_len = evbuffer_get_length(send->request);
	call->connect_by_us = send->connect_by_us;
	call->deadline_us = send->deadline_us;
	call->body_max = send->body_max;
	call->body_len = 0;
	call->skipped_len = 0;
	call->aborted = false;
	call->skipping = false;
	call->bytes_received = false;
	rsp_begin(&call->rsp, send->head_request);
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
	/* Bytes without a request in progress are a protocol error. */
	hc_close(call);
}

static void hc_event(struct bufferevent *bev, short what, void *arg)
{
	struct hc_call *call = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		call->host->refused = false;
		call->state = HC_ACTIVE;
		hc_write(call);
		return;
	}
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	switch (call->state) {
	case HC_CONNECTING:
		hc_connect_failed(call, EVUTIL_SOCKET_ERROR());
		return;
	case HC_IDLE:
		hc_close(call);
		return;
	case HC_ACTIVE:
		break;
	}
	if ((what & BEV_EVENT_EOF) && !call->skipping &&
	    rsp_ends_with_connection(&call->rsp)) {
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
	int err;

	if (call->is_first && !call->bytes_received)
		hc_observe(call, true);
	call->bytes_received = true;
	for (;;) {
		len = evbuffer_get_contiguous_space(in);
		if (len == 0)
			return;
		bytes = evbuffer_pullup(in, (ev_ssize_t)len);
		call->parsing = true;
		err = rsp_feed(&call->rsp, (const char *)bytes, len, &used);
		call->parsing = false;
		if (call->cancelled) {
			hc_close(call);
			return;
		}
		evbuffer_drain(in, used);
		if (err) {
			hc_finish(call, HC_PROTOCOL_ERROR);
			return;
		}
		if (call->rsp.state != RSP_COMPLETE)
			continue;
		if (!call->skipping) {
			hc_complete(call);
			return;
		}
		rsp_begin_next(&call->rsp);
	}
}

/* Ends a call with a complete response; reuses the connection if possible. */
static void hc_complete(struct hc_call *call)
{
	struct evbuffer *in = bufferevent_get_input(call->bev);
	struct evbuffer *out = bufferevent_get_output(call->bev);
	const struct hc_ops *ops = call->ops;
	void *user = call->user;
	int64_t now = clk_boot_us();

	call->ops = NULL;
	/*
	 * A response that arrived before the request was completely sent, or
	 * bytes after the response, leave the connection in an undefined
	 * state.
	 */
	if (!call->rsp.persistent || evbuffer_get_length(in) > 0 ||
	    evbuffer_get_length(out) > 0) {
		hc_close(call);
	} else {
		call->state = HC_IDLE;
		call->is_first = false;
		hc_set_idle_timeout(call, now);
		cds_list_add(&call->in_idle, &call->host->idle);
	}
	if (ops)
		ops->ended(user, HC_COMPLETE);
}

/* Ends a call whose connection could not be established, for this errno. */
static void hc_connect_failed(struct hc_call *call, int error)
{
	call->host->refused = error == ECONNREFUSED;
	hc_finish(call, HC_UNSENT);
}

/* Ends a call that failed, or whose response ended with its connection. */
static void hc_finish(struct hc_call *call, enum hc_result result)
{
	const struct hc_ops *ops = call->ops;
	void *user = call->user;

	if (call->state == HC_CONNECTING)
		hc_observe(call, false);
	hc_close(call);
	if (ops)
		ops->ended(user, result);
}

static void hc_close(struct hc_call *call)
{
	if (call->state == HC_IDLE)
		cds_list_del(&call->in_idle);
	cds_list_del(&call->node);
	call->host->hc->connections--;
	if (--call->host->open == 0)
		cds_list_del(&call->host->in_busy);
	if (call->request)
		evbuffer_free(call->request);
	bufferevent_free(call->bev);
	rsp_free(&call->rsp);
	free(call);
}

/*
 * Sets the idle timeout to HC_IDLE_US, or to half of the host's Keep-Alive
 * timeout if that is shorter.
 */
static void hc_set_idle_timeout(struct hc_call *call, int64_t now)
{
	const char *field = hdr_get(&call->rsp.headers, "Keep-Alive");
	const char *value = field ? strstr(field, "timeout=") : NULL;
	int64_t idle_us = HC_IDLE_US;
	long timeout_s;

	if (value) {
		timeout_s = strtol(value + strlen("timeout="), NULL, 10);
		if (timeout_s >= 0 && timeout_s * MAG_US_PER_S / 2 < idle_us)
			idle_us = timeout_s * MAG_US_PER_S / 2;
	}
	call->idle_until_us = now + idle_us;
}

static bool hc_on_head(void *ctx, const struct rsp *rsp)
{
	struct hc_call *call = ctx;
	struct hc_response response = { rsp->status, rsp->framing,
					&rsp->headers };

	call->skipping = false;
	if (call->ops)
		call->skipping = !call->ops->headers(call->user, &response);
	return !call->cancelled;
}

static bool hc_on_body(void *ctx, const char *bytes, size_t len)
{
	struct hc_call *call = ctx;

	if (call->skipping) {
		call->skipped_len += len;
		return call->skipped_len <= HC_SKIPPED_MAX;
	}
	call->body_len += len;
	if (call->body_max && call->body_len > call->body_max)
		return false;
	if (call->ops)
		call->ops->body(call->user, bytes, len);
	return !call->cancelled && !call->aborted;
}
