#ifndef HC_H
#define HC_H

/*
 * The client's side of HTTP/1.1 on an event loop: one call at a time on a
 * connection, connections kept for a host.  A failure says whether a byte of
 * the request may have reached the host, because only a call that provably
 * did not may be sent again where the work must not be repeated.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "hdr.h"
#include "mag.h"

struct hc;
struct hc_host;
struct hc_call;

enum hc_err {
	HC_OK = 0,
	HC_E_MEMORY = -1,
	HC_E_ADDRESS = -2,
	HC_E_FULL = -3, /* the host's bound on connections is reached */
};

enum hc_result {
	HC_COMPLETE,	   /* the answer is complete */
	HC_UNSENT,	   /* no byte of the request left this machine */
	HC_CONN_LOST,	   /* the connection ended before the answer did */
	HC_PROTOCOL_ERROR, /* what came is no answer in the protocol */
	HC_TIMED_OUT,	   /* the deadline of the call has passed */
};

struct hc_response {
	int status;
	const struct hdr_list *headers;
};

struct hc_ops {
	/* Header of the answer; return false to skip this answer, because
	 * it belongs to another request, and to wait for the next one. */
	bool (*headers)(void *user, const struct hc_response *answer);
	void (*body)(void *user, const void *bytes, size_t len);
	/* The call is over and released. */
	void (*ended)(void *user, enum hc_result end);
};

struct hc_send {
	struct evbuffer *request; /* the whole message; taken over */
	const struct hc_ops *ops;
	void *user;
	int64_t connect_by_us;
	int64_t deadline_us; /* MAG_NEVER: the owner cancels */
	bool new_connection; /* never on a connection that was used before */
	bool head_request;   /* the answer has no body */
};

struct hc *hc_new(struct event_base *base);
void hc_free(struct hc *hc);
void hc_tick(struct hc *hc, int64_t now);
void hc_extend_deadlines(struct hc *hc, int64_t by_us);

int hc_host_new(struct hc *hc, const char *address, int max_connections,
		struct hc_host **out);
void hc_host_limit(struct hc_host *host, int max_connections);
void hc_host_free(struct hc_host *host);
void hc_host_drop_idle(struct hc_host *host);

int hc_start(struct hc_host *host, const struct hc_send *send,
	     struct hc_call **out);
void hc_cancel(struct hc_call *call);
bool hc_unsent(const struct hc_call *call);

#endif /* HC_H */
