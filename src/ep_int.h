#ifndef EP_INT_H
#define EP_INT_H

/* Internal interface between ep.c and the protocols of the endpoints. */

#include <curl/curl.h>

#include "crsp.h"
#include "ep.h"
#include "ep_sse.h"

#define EP_HEADERS_MAX 16384	     /* longest response headers, in bytes */
#define EP_BODY_MAX    (1024 * 1024) /* longest response body, in bytes */

struct ep {
	CURLM *multi;
	long connect_ms; /* timeout for connecting, in ms */
	struct ep_cancel *cancel;
};

struct ep_call;

/* Protocol of an endpoint; there is one for each enum cfg_service_kind. */
struct ep_protocol {
	/* Sets URL, headers and body.  Returns 0 or EP_E_MEMORY. */
	int (*prepare)(struct ep_call *call);
	/* Receives the headers of the response; false aborts. */
	bool (*receive_headers)(struct ep_call *call,
				const struct hdr_list *headers);
	/* Receives a part of the response body; false aborts. */
	bool (*receive_body)(struct ep_call *call, const char *bytes,
			     size_t len);
	/* Sets how the attempt ended; called after the transfer. */
	void (*finish)(struct ep_call *call, CURLcode code);
	/* Probes each stage; returns a mask of those that did not respond. */
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
	struct crsp response;
	char *request_body;		/* if the protocol allocated it */
	char echoed_request[EP_ID_MAX]; /* Magnolia-Request of the response */
	char echoed_attempt[16];
	bool not_begun;	   /* the response has the header X-Not-Begun */
	bool stream_ended; /* received the event done or failed */
	bool invalid;	   /* wrong ids, or an event that breaks the protocol */
	bool too_long;	   /* the body exceeds EP_BODY_MAX */
	uint32_t next_token; /* index of the next token to deliver */
};

extern const struct ep_protocol ep_engine;
extern const struct ep_protocol ep_plain;

uint32_t ep_engine_probe(struct ep_call *call);
int ep_add_header_line(struct ep_call *call, const char *line);
int ep_add_header(struct ep_call *call, const char *name, const char *value);
bool ep_append_body(struct ep_call *call, const char *bytes, size_t len);
bool ep_status_proves_not_begun(const struct ep_call *call);
enum core_end ep_end_of_failure(const struct ep_call *call, CURLcode code);

#endif /* EP_INT_H */
