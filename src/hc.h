#ifndef HC_H
#define HC_H

/*
 * HTTP/1.1 client on an event loop.  Each host has a pool of connections; a
 * connection carries one call at a time.  The result of a failed call tells
 * whether any byte of the request may have reached the host: a request that
 * must not run twice may be resent only if none did.  A host that acknowledges
 * nothing may only be paused: a call to it ends by its deadline, or its
 * owner's.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "hdr.h"
#include "mag.h"
#include "rsp.h"

struct hc;
struct hc_host;
struct hc_call;

/* Longest body of a message that is not an answer to a caller (bytes). */
#define HC_MESSAGE_MAX ((size_t)1 << 20)

enum hc_err {
	HC_OK = 0,
	HC_E_MEMORY = -1,
	HC_E_ADDRESS = -2,
	HC_E_FULL = -3, /* no connection is free, here or of the host */
};

enum hc_result {
	HC_COMPLETE,	   /* the response was received completely */
	HC_UNSENT,	   /* no byte of the request was sent */
	HC_CONN_LOST,	   /* the connection closed before the response ended */
	HC_PROTOCOL_ERROR, /* the received bytes are no valid response */
	HC_TIMED_OUT,	   /* the deadline passed */
};

struct hc_response {
	int status;
	enum rsp_framing framing;
	const struct hdr_list *headers;
};

struct hc_ops {
	/*
	 * Called after the header of a response.  Return false to skip the
	 * response, because it belongs to another request, and to wait for
	 * the next one.
	 */
	bool (*headers)(void *user, const struct hc_response *response);
	void (*body)(void *user, const void *bytes, size_t len);
	/* The call has ended and must not be used any more. */
	void (*ended)(void *user, enum hc_result result);
};

struct hc_send {
	struct evbuffer *request; /* complete message; hc_start() frees it */
	const struct hc_ops *ops;
	void *user;
	int64_t connect_by_us;
	int64_t deadline_us; /* MAG_NEVER: none, the owner cancels */
	bool new_connection; /* do not reuse an idle connection */
	bool head_request;   /* the method is HEAD: no response body */
	size_t body_max;     /* bytes; 0: the owner limits it */
};

struct hc *hc_new(struct event_base *base);
void hc_free(struct hc *hc);
void hc_set_connections_max(struct hc *hc, int connections_max);
int hc_connections(const struct hc *hc);
uint64_t hc_open_failures(const struct hc *hc);
bool hc_has_room(const struct hc *hc);
void hc_tick(struct hc *hc, int64_t now);
void hc_extend_deadlines(struct hc *hc, int64_t by_us);

int hc_host_new(struct hc *hc, const char *address, int max_connections,
		struct hc_host **out);
void hc_host_observe(struct hc_host *host,
		     void (*observe)(void *ctx, bool reached), void *ctx);
void hc_host_limit(struct hc_host *host, int max_connections);
void hc_host_free(struct hc_host *host);
void hc_host_drop_idle(struct hc_host *host);
bool hc_host_has_room(const struct hc_host *host);
bool hc_host_is_refused(const struct hc_host *host);
int hc_host_open_count(const struct hc_host *host);

int hc_start(struct hc_host *host, const struct hc_send *send,
	     struct hc_call **out);
void hc_extend_deadline(struct hc_call *call, int64_t deadline_us);
void hc_cancel(struct hc_call *call);
void hc_abort(struct hc_call *call);
bool hc_unsent(const struct hc_call *call);

#endif /* HC_H */
