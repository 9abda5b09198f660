#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <urcu/list.h>

#include "clk.h"
#include "jlog.h"
#include "pl_header.h"
#include "pl_store.h"
#include "sto_int.h"

#define STO_CONNECT_TIMEOUT_US (400 * MAG_US_PER_MS)
#define STO_CONNECTIONS_MAX    16
/* Longest body of an answer that is accepted (bytes). */
#define STO_BODY_MAX ((size_t)16 << 20)
/* Minimum interval between log lines about malformed eras. */
#define STO_BAD_ERA_LOG_US MAG_US_PER_S

static bool sto_on_headers(void *user, const struct hc_response *response);
static void sto_on_body(void *user, const void *bytes, size_t len);
static void sto_on_end(void *user, enum hc_result end);
static enum sto_result sto_result_from_status(int status);
static bool sto_accept_era(struct sto *sto, const struct sto_call *call);
static void sto_note_era(struct sto *sto, int64_t from_era);

static const struct hc_ops sto_ops = {
	.headers = sto_on_headers,
	.body = sto_on_body,
	.ended = sto_on_end,
};

int sto_new(struct hc *hc, const char *address, uint64_t seed, struct sto **out)
{
	struct sto *sto = calloc(1, sizeof(*sto));

	if (!sto)
		return STO_E_MEMORY;
	sto->hc = hc;
	sto->seed = seed | 1;
	sto->eras.newest = POS_ERA_NONE;
	sto->eras.named = POS_ERA_NONE;
	strncpy(sto->address, address, sizeof(sto->address) - 1);
	CDS_INIT_LIST_HEAD(&sto->followers);
	if (hc_host_new(hc, address, STO_CONNECTIONS_MAX, &sto->host)) {
		free(sto);
		return STO_E_ADDRESS;
	}
	*out = sto;
	return STO_OK;
}

/* Returns the number of calls made so far; an open watch counts as one. */
uint64_t sto_calls(const struct sto *sto)
{
	return sto->call_count;
}

void sto_create_lease(struct sto *sto, int64_t ttl_ms, sto_done_fn done,
		      void *user)
{
	char path[PL_PATH_MAX];
	char body[64];

	pl_store_lease_path(path);
	pl_store_lease_body(body, sizeof(body), ttl_ms);
	sto_send_call(sto, "POST", path, body, 0, done, user);
}

void sto_renew_lease(struct sto *sto, int64_t lease, sto_done_fn done,
		     void *user)
{
	char path[PL_PATH_MAX];

	pl_store_renew_path(path, lease);
	sto_send_call(sto, "POST", path, NULL, 0, done, user);
}

void sto_end_lease(struct sto *sto, int64_t lease, sto_done_fn done, void *user)
{
	char path[PL_PATH_MAX];

	pl_store_revoke_path(path, lease);
	sto_send_call(sto, "DELETE", path, NULL, 0, done, user);
}

void sto_swap(struct sto *sto, const char *key, const char *value,
	      int64_t revision, int64_t lease, sto_done_fn done, void *user)
{
	struct pl_swap swap = { key, value, revision, lease };
	char path[PL_PATH_MAX];
	char *body = pl_store_swap_body(&swap);

	if (!body) {
		done(user, STO_REFUSED, NULL, 0);
		return;
	}
	pl_store_swap_path(path);
	sto_send_call(sto, "POST", path, body, 0, done, user);
	free(body);
}

void sto_read_stale(struct sto *sto, const char *prefix, const char *after,
		    sto_done_fn done, void *user)
{
	struct sto_call *call;
	char path[PL_PATH_MAX];

	if (pl_store_stale_range_path(path, prefix, after)) {
		done(user, STO_REFUSED, NULL, 0);
		return;
	}
	call = sto_send_call(sto, "GET", path, NULL, 0, done, user);
	if (call)
		call->stale = true;
}

/*
 * Sets the last key of a page, of WIRE_KEY_MAX bytes, after which the next page
 * begins.  The keys of a list increase; one that does not would be listed again
 * and again.
 */
enum sto_page sto_next_page(const struct wire_items *items, char *after)
{
	const char *last;

	if (!items->has_more)
		return STO_PAGE_LAST;
	if (items->count == 0)
		return STO_PAGE_STUCK;
	last = items->items[items->count - 1].key;
	if (strcmp(last, after) <= 0)
		return STO_PAGE_STUCK;
	mag_copy_name(after, WIRE_KEY_MAX, last);
	return STO_PAGE_MORE;
}

/* Parses the answer to sto_create_lease; negative if it is malformed. */
int sto_parse_lease(const char *body, size_t len, int64_t *lease,
		    int64_t *ttl_ms)
{
	return pl_store_lease_id(body, len, lease, ttl_ms);
}

/* Sends a call.  Its result is reported once, unless the call is cancelled. */
struct sto_call *sto_send_call(struct sto *sto, const char *method,
			       const char *path, const char *body,
			       int64_t wait_us, sto_done_fn done, void *user)
{
	int64_t now = clk_boot_us();
	struct sto_call *call = calloc(1, sizeof(*call));
	struct hc_send send = { 0 };

	if (!call || !(call->body = evbuffer_new())) {
		free(call);
		done(user, STO_REFUSED, NULL, 0);
		return NULL;
	}
	call->sto = sto;
	call->done = done;
	call->user = user;
	call->sent_era = sto->eras.newest;
	call->era = POS_ERA_NONE;
	send.request = pl_call_encode(method, path, sto->address, body);
	send.ops = &sto_ops;
	send.user = call;
	send.connect_by_us = now + STO_CONNECT_TIMEOUT_US;
	call->xfer.begin_by_us = now + wait_us + STO_ANSWER_TIMEOUT_US;
	send.deadline_us = xfer_deadline_us(&call->xfer);
	send.body_max = STO_BODY_MAX;
	sto->call_count++;
	if (send.request && hc_start(sto->host, &send, &call->call) == HC_OK)
		return call;
	evbuffer_free(call->body);
	free(call);
	done(user, STO_REFUSED, NULL, 0);
	return NULL;
}

/* Cancels a call; its result is not reported. */
void sto_cancel_call(struct sto_call *call)
{
	hc_cancel(call->call);
	evbuffer_free(call->body);
	free(call);
}

static bool sto_on_headers(void *user, const struct hc_response *response)
{
	struct sto_call *call = user;

	call->status = response->status;
	call->era = pl_store_era(response->headers);
	return true;
}

static void sto_on_body(void *user, const void *bytes, size_t len)
{
	struct sto_call *call = user;

	xfer_receive(&call->xfer, len, clk_boot_us());
	hc_extend_deadline(call->call, xfer_deadline_us(&call->xfer));
	evbuffer_add(call->body, bytes, len);
}

static void sto_on_end(void *user, enum hc_result end)
{
	struct sto_call *call = user;
	enum sto_result result = STO_LOST;
	struct sto *sto = call->sto;
	int64_t from_era = sto->eras.newest;
	size_t len = evbuffer_get_length(call->body);
	const char *body;

	if (end == HC_COMPLETE && sto_accept_era(sto, call))
		result = sto_result_from_status(call->status);
	else if (end == HC_UNSENT)
		result = STO_REFUSED;
	/* The host's idle connections may have stopped working as well. */
	if (end == HC_TIMED_OUT)
		hc_host_drop_idle(call->sto->host);
	sto->status = call->status;
	body = (const char *)evbuffer_pullup(call->body, -1);
	if (!body)
		len = 0;
	call->done(call->user, result, body, len);
	evbuffer_free(call->body);
	free(call);
	sto_note_era(sto, from_era);
}

/* Takes over a newer era that another router has learned from the store. */
void sto_learn_era(struct sto *sto, int64_t era)
{
	int64_t from_era = sto->eras.newest;

	pos_learn_era(&sto->eras, era);
	sto_note_era(sto, from_era);
}

/*
 * Reports a restore of the store if the era has changed.  A lower one refutes
 * what a peer has named: what was learned in that era is to be read again, too.
 */
static void sto_note_era(struct sto *sto, int64_t from_era)
{
	if (sto->eras.newest == from_era || from_era == POS_ERA_NONE)
		return;
	if (sto->eras.newest < from_era)
		jlog(LOG_HINT_REFUTED,
		     "\"peer\":\"\",\"field\":\"era\",\"value\":%lld,"
		     "\"own\":%lld,\"why\":\"read later\"",
		     (long long)from_era, (long long)sto->eras.newest);
	jlog(LOG_PF_RETURNED, "\"store\":\"%s\",\"from\":%lld,\"to\":%lld",
	     sto->address, (long long)from_era, (long long)sto->eras.newest);
	if (sto->on_restored)
		sto->on_restored(sto);
}

/* Records the era of an answer; returns whether the answer may be used. */
static bool sto_accept_era(struct sto *sto, const struct sto_call *call)
{
	int64_t now = clk_boot_us();

	if (call->era < POS_ERA_NONE && now >= sto->bad_era_log_us) {
		sto->bad_era_log_us = now + STO_BAD_ERA_LOG_US;
		jlog(LOG_PF_ERA_BAD, "\"store\":\"%s\"", sto->address);
	}
	/* A read that may be old says nothing of the present. */
	if (call->stale && call->era < sto->eras.newest)
		return false;
	return pos_accept_era(&sto->eras, call->sent_era, call->era);
}

/* Returns the newest era that the store has named, or POS_ERA_NONE. */
int64_t sto_era(const struct sto *sto)
{
	return sto->eras.newest;
}

static enum sto_result sto_result_from_status(int status)
{
	switch (status) {
	case 200:
		return STO_DONE;
	case 404:
		return STO_MISSING;
	case 410:
	case 412:
		return STO_CONFLICT;
	case 429:
	case 503:
		return STO_REFUSED;
	default:
		return STO_REJECTED;
	}
}
