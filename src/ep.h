#ifndef EP_H
#define EP_H

/*
 * Calls to endpoints: one attempt at a time, in the thread of its request.
 * The protocol of each kind of service stands behind a table of functions.
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

/* What the attempt sends; all pointers belong to the caller. */
struct ep_request {
	const struct core_dispatch *dispatch;
	const char *id; /* Magnolia-Request */
	const char *method;
	const char *path; /* with its query */
	const char *content_type;
	const char *const *headers; /* plain: "Name: value", for the endpoint */
	size_t header_count;
	const char *body;
	size_t body_len;
	const char *prompt; /* model: the rest */
	uint32_t max_tokens;
	char *const *delivered; /* tokens delivered so far */
	uint32_t delivered_count;
};

enum ep_poll_result {
	EP_CONTINUE,
	EP_CANCEL,
	EP_PROBE, /* cancel if a stage gives no sign of life */
};

/* Where the attempt reports to while it runs. */
struct ep_sink {
	/* A token with the expected index; false stops the attempt. */
	bool (*on_token)(void *ctx, uint32_t index, const char *text,
			 const uint32_t *hop_us, int hop_count);
	/* Called often; says whether the attempt is to go on. */
	enum ep_poll_result (*poll)(void *ctx);
	/* Every stage gave a sign of life; the attempt goes on. */
	void (*on_stages_alive)(void *ctx);
	void *ctx;
};

struct ep_answer {
	enum core_end end;
	int failed_stage;
	uint32_t silent_stages; /* stages, as bits, that did not answer the
				   probe */
	int status;
	char content_type[EP_TYPE_MAX];
	char *headers; /* plain: lines for the caller; the caller frees it */
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
