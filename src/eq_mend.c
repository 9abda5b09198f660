#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "eq.h"
#include "jlog.h"
#include "pl_worker.h"

/*
 * Load pattern: a worker in the middle of chains dies, and every stream that
 * ran through it stands still.  Sent again from its last event, a stream
 * reads its prompt through all workers of a new chain, beside all the others
 * that do the same; repaired in place, only the worker that is new reads it.
 * The first worker keeps the stream and is told the new chain.
 */

/* Repairs of one attempt; a chain that needs more is not worth keeping. */
#define EQ_MENDS_MAX 3
/* A first worker that lives takes the order in a few milliseconds. */
#define EQ_MEND_ANSWER_US (60 * MAG_US_PER_MS)
/*
 * It lives if it passed an event or answered a question so short a time ago:
 * it was asked when its stream had been silent for 100 ms.  Where a whole data
 * centre is cut off, its workers fall silent together, and an order to one of
 * them would be waited for in vain.
 */
#define EQ_MEND_ALIVE_US (120 * MAG_US_PER_MS)

/* A repair that the first worker was told of. */
struct eq_mend {
	struct eq *eq;
	struct hc_call *call;
	int status;
	struct evbuffer *body;
};

static bool eq_mend_headers(void *user, const struct hc_answer *answer);
static void eq_mend_body(void *user, const void *bytes, size_t len);
static void eq_mend_end(void *user, enum hc_end end);
static bool eq_mend_alive(const struct wk *wk, int64_t now);
static struct evbuffer *eq_mend_message(const struct eq *eq);
static void eq_mend_refused(struct eq *eq, const char *address, int64_t now);
static void eq_mend_free(struct eq_mend *mend);

static const struct hc_ops eq_mend_ops = {
	.headers = eq_mend_headers,
	.body = eq_mend_body,
	.ended = eq_mend_end,
};

/*
 * Replaces a worker behind the first one of a running chain.  Returns false
 * if that is not possible; the request must be sent again then.
 */
bool eq_mend_start(struct eq *eq, struct wk *fault, int64_t now)
{
	struct hc_send send = { 0 };
	struct eq_mend *mend;

	if (!eq->call || eq->mend || eq->mends >= EQ_MENDS_MAX ||
	    !eq->asks.attempt_id || eq->hops[0].worker == fault ||
	    !eq_mend_alive(eq->hops[0].worker, now))
		return false;
	eq_avoid(eq, fault);
	if (!eq_choose_mend(eq, now))
		return false;
	mend = calloc(1, sizeof(*mend));
	if (!mend)
		return false;
	mend->eq = eq;
	mend->body = evbuffer_new();
	if (!mend->body) {
		free(mend);
		return false;
	}
	send.request = eq_mend_message(eq);
	send.ops = &eq_mend_ops;
	send.user = mend;
	send.connect_by_us = now + EQ_MEND_ANSWER_US;
	send.deadline_us = now + EQ_MEND_ANSWER_US;
	if (!send.request ||
	    hc_start(eq->hops[0].worker->host, &send, &mend->call)) {
		mend->call = NULL;
		eq_mend_free(mend);
		return false;
	}
	eq->mend = mend;
	eq->mends++;
	eq->mended_us = now;
	return true;
}

/* Tells whether a first worker was heard a moment ago and not lost since. */
static bool eq_mend_alive(const struct wk *wk, int64_t now)
{
	if (wk->mute || wk->on_trial)
		return false;
	return now - wk->passed_us < EQ_MEND_ALIVE_US ||
	       now - wk->reported_us < EQ_MEND_ALIVE_US;
}

/* Forgets a repair; the order may still be carried out, which harms nobody. */
void eq_mend_cancel(struct eq *eq)
{
	if (!eq->mend)
		return;
	eq_mend_free(eq->mend);
	eq->mend = NULL;
}

static struct evbuffer *eq_mend_message(const struct eq *eq)
{
	struct wire_hop hops[CHN_HOPS_MAX];
	char body[PL_ORDER_MAX];
	int count = eq_wire_hops(eq, hops);

	if (pl_order_repath(body, sizeof(body), eq->asks.attempt_id, hops,
			    count))
		return NULL;
	return pl_call_encode("POST", PL_ORDER_PATH,
			      eq->hops[0].worker->is.address, body);
}

static bool eq_mend_headers(void *user, const struct hc_answer *answer)
{
	struct eq_mend *mend = user;

	mend->status = answer->status;
	return true;
}

static void eq_mend_body(void *user, const void *bytes, size_t len)
{
	struct eq_mend *mend = user;

	evbuffer_add(mend->body, bytes, len);
}

static void eq_mend_end(void *user, enum hc_end end)
{
	struct eq_mend *mend = user;
	struct eq *eq = mend->eq;
	char address[MAG_ADDR_MAX] = "";
	char chain[EQ_CHAIN_TEXT];
	char id[WIRE_ID_MAX];
	int64_t now = clk_boot_us();
	int status = end == HC_WHOLE ? mend->status : 0;

	mend->call = NULL;
	if (status == 409)
		pl_order_fault((char *)evbuffer_pullup(mend->body, -1),
			       evbuffer_get_length(mend->body), address,
			       sizeof(address));
	jlog(LOG_EQ_MENDED,
	     "\"request\":\"%s\",\"worker\":\"%s\",\"hops\":%d,"
	     "\"chain\":\"%s\",\"repair\":%d,\"status\":%d,\"at_fault\":\"%s\","
	     "\"silent_ms\":%d",
	     jlog_text(id, sizeof(id), eq->asks.attempt_id),
	     eq->hops[0].worker->is.id, eq->hop_count,
	     eq_chain_text(eq, chain, sizeof(chain)), eq->mends, status,
	     address, (int)((now - eq->progress_us) / MAG_US_PER_MS));
	eq->mend = NULL;
	eq_mend_free(mend);
	if (status / 100 == 2) {
		met_add(&eq->edge->met, MET_MENDS);
		return;
	}
	eq_mend_refused(eq, address, now);
}

/* A worker of the new chain did not stand: another one is tried, or none. */
static void eq_mend_refused(struct eq *eq, const char *address, int64_t now)
{
	struct wk *fault = NULL;

	if (address[0])
		fault = eq_hop_at(eq, address);
	if (fault) {
		wk_refused(fault, now);
		if (eq_mend_start(eq, fault, now))
			return;
		eq_avoid(eq, fault);
	}
	eq_restart(eq, "chain not repaired");
}

static void eq_mend_free(struct eq_mend *mend)
{
	if (mend->call)
		hc_cancel(mend->call);
	evbuffer_free(mend->body);
	free(mend);
}
