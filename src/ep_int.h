#ifndef EP_INT_H
#define EP_INT_H

/* Between the call to an endpoint and the protocol that it speaks. */

#include <curl/curl.h>

#include "ep.h"
#include "ep_sse.h"

#define EP_HEADERS_MAX 16384	     /* longest headers that are taken */
#define EP_BODY_MAX    (1024 * 1024) /* longest answer that is taken */

struct ep {
	CURLM *multi;
	long connect_ms; /* longest wait for a connection */
	struct ep_cancel *cancel;
};

struct ep_call;

/* A protocol towards endpoints; one for each enum cfg_service_kind. */
struct ep_protocol {
	/* Sets URL, headers and body; 0 or EP_E_MEMORY. */
	int (*prepare)(struct ep_call *call);
	/* Takes a header line of the answer; false breaks the transfer off. */
	bool (*receive_header)(struct ep_call *call, const char *line,
			       size_t len);
	/* Takes bytes of the answer; false breaks the transfer off. */
	bool (*receive_body)(struct ep_call *call, const char *bytes,
			     size_t len);
	/* Says how the attempt ended, once the transfer has. */
	void (*finish)(struct ep_call *call, CURLcode code);
	/* Asks each stage for a sign of life; returns the silent ones. */
	uint32_t (*probe)(struct ep_call *call);
	/* Tells the endpoint that the attempt is cancelled. */
	void (*cancel)(struct ep_call *call);
};

struct ep_call {
	struct ep *ep;
	CURL *easy;
	struct curl_slist *headers;
	const struct ep_protocol *protocol;
	const struct ep_request *request;
	const struct ep_sink *sink;
	struct ep_answer *answer;
	struct ep_sse sse;
	char *request_body; /* the body, when the protocol made it */
	char echoed_request[EP_ID_MAX]; /* Magnolia-Request of the answer */
	char echoed_attempt[16];
	bool not_begun;	   /* header X-Not-Begun of the answer */
	bool stream_ended; /* the stream said done or failed */
	bool invalid;	   /* ids of another request or attempt */
	bool too_long;
	uint32_t next_token; /* index of the next token to deliver */
};

extern const struct ep_protocol ep_engine;
extern const struct ep_protocol ep_plain;

uint32_t ep_engine_probe(struct ep_call *call);
int ep_add_header_line(struct ep_call *call, const char *line);
int ep_add_header(struct ep_call *call, const char *name, const char *value);
bool ep_append_body(struct ep_call *call, const char *bytes, size_t len);
bool ep_status_proves_not_begun(const struct ep_call *call);
bool ep_never_sent(const struct ep_call *call, CURLcode code);

#endif /* EP_INT_H */
