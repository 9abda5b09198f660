#ifndef EP_H
#define EP_H

/*
 * Calls to endpoints.  Each attempt runs in the thread of its request, one at
 * a time.  Each kind of service has its protocol as a table of functions.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core.h"
#include "ep_cancel.h"

#define EP_ID_MAX   128
#define EP_TYPE_MAX 64

struct ep;

enum ep_err {
	EP_OK = 0,
	EP_E_MEMORY = -1,
};

/* Input of an attempt; the caller of ep_run owns everything it points to. */
struct ep_request {
	const struct core_dispatch *dispatch;
	const char *id; /* value of the header Magnolia-Request */
	const char *method;
	const char *path; /* includes the query string */
	const char *content_type;
	const char *const *headers; /* plain services: "Name: value" */
	size_t header_count;
	const char *body;
	size_t body_len;
	/* The rest is used for model services only. */
	const char *prompt;
	uint32_t max_tokens;
	char *const *delivered; /* tokens that the caller already has */
	uint32_t delivered_count;
};

enum ep_poll_result {
	EP_CONTINUE,
	EP_CANCEL,
	EP_PROBE, /* probe the stages; cancel if one does not respond */
};

/* Callbacks of a running attempt. */
struct ep_sink {
	/* Receives the next token in order; false stops the attempt. */
	bool (*on_token)(void *ctx, uint32_t index, const char *text,
			 const uint32_t *hop_us, int hop_count);
	/* Called repeatedly; decides whether the attempt continues. */
	enum ep_poll_result (*poll)(void *ctx);
	/* Every stage responded to the probe; the attempt continues. */
	void (*on_stages_alive)(void *ctx);
	void *ctx;
};

struct ep_answer {
	enum core_end end;
	int failed_stage;
	uint32_t silent_stages; /* bit set: did not respond to the probe */
	int status;
	char content_type[EP_TYPE_MAX];
	char *headers; /* plain: header lines to relay; the caller frees it */
	size_t headers_len;
	char *body; /* the caller frees it */
	size_t body_len;
};

struct ep *ep_new(long connect_ms, struct ep_cancel *cancel);
void ep_free(struct ep *ep);
void ep_run(struct ep *ep, const struct ep_request *request,
	    const struct ep_sink *sink, struct ep_answer *answer);
void ep_wake(struct ep *ep);

#endif /* EP_H */
