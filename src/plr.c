#include <stdlib.h>
#include <string.h>

#include "chn.h"
#include "clk.h"
#include "jlog.h"
#include "lay.h"
#include "pl_header.h"
#include "pl_worker.h"
#include "plr.h"
#include "pres.h"
#include "wkp.h"

#define PLR_CARDS_MAX 4096
/*
 * Workers that start together register within a second or so.  Copies are
 * assigned once no new one has come for this long: assigned over half of them,
 * the layers would leave no memory for requests, and a worker gives none up.
 */
#define PLR_SETTLE_US (1200 * MAG_US_PER_MS)
/*
 * A hole in a data centre's copy is closed by widening its neighbours only
 * after this long: a worker that crashed is mostly back, and empty, by then,
 * and a widened worker keeps less memory for requests for good.
 */
#define PLR_WIDEN_US (3 * MAG_US_PER_S)
/*
 * How often a card may be moved to where its data centre holds least.  What
 * the move before has brought shows in the list a second after its end.
 */
#define PLR_BALANCE_US MAG_US_PER_S
/* How often the cover of the layers is logged. */
#define PLR_COVER_US (2 * MAG_US_PER_S)
/*
 * A worker that comes while its data centre lacks nothing waits so long for
 * its layers: in a release the new one starts first and the old one leaves a
 * moment later, and what it leaves is what the new one should hold.
 */
#define PLR_SPARE_US (1800 * MAG_US_PER_MS)
#define PLR_ORDER_US (600 * MAG_US_PER_MS)
/* A worker that is busy with an order is asked again after this. */
#define PLR_ASK_US (700 * MAG_US_PER_MS)
/*
 * An order without an effect is given again after this; a late one may still
 * arrive, and does no harm: it names the same layers and the order count.
 */
#define PLR_AGAIN_US (2500 * MAG_US_PER_MS)

struct plr_call {
	struct edge *edge;
	struct wk *wk;
	int status;
};

static void plr_service(struct edge *edge, int index, int64_t now);
static void plr_balance(struct edge *edge, int index,
			const struct lay_model *model, struct lay_card *cards,
			int count, bool fresh, int64_t now);
static void plr_log_cover(struct edge *edge, const struct lay_model *model,
			  const struct lay_card *cards, int count, int64_t now);
static struct lay_model plr_model(const struct rt_engine *engine);
static int plr_cards(struct edge *edge, const struct rt_service *service,
		     struct lay_card *cards, struct wk **workers, int64_t now);
static void plr_order(struct edge *edge, struct wk *wk,
		      const struct wire_range *range, int64_t now);
static bool plr_on_headers(void *user, const struct hc_response *answer);
static void plr_on_body(void *user, const void *bytes, size_t len);
static void plr_on_end(void *user, enum hc_result end);

static const struct hc_ops plr_ops = {
	.headers = plr_on_headers,
	.body = plr_on_body,
	.ended = plr_on_end,
};

/* Plans and orders while this instance holds the placer's lease. */
void plr_tick(struct edge *edge, int64_t now)
{
	int i;

	if (!pres_is_placer(edge->pres, now) || !edge->rt ||
	    !edge->workers_listed)
		return;
	for (i = 0; i < edge->rt->service_count && i < EDGE_SERVICES_MAX; i++) {
		if (edge->rt->services[i].has_engine)
			plr_service(edge, i, now);
	}
}

/* Plans one service's layers and gives the orders that are missing. */
static void plr_service(struct edge *edge, int index, int64_t now)
{
	const struct rt_service *service = &edge->rt->services[index];
	int64_t *hole_since_us = &edge->placer.hole_since_us[index];
	static struct lay_card cards[PLR_CARDS_MAX];
	static struct wk *workers[PLR_CARDS_MAX];
	struct lay_model model = plr_model(&service->engine);
	struct wire_range range;
	bool holes[EDGE_CENTRES_MAX];
	bool hole = false;
	bool fresh;
	int count;
	int i;

	count = plr_cards(edge, service, cards, workers, now);
	fresh = lay_is_fresh(cards, count);
	if (fresh && now - edge->workers.grew_us < PLR_SETTLE_US)
		return;
	for (i = 0; i < edge->centre_count; i++) {
		holes[i] = lay_has_hole(&model, cards, count, i);
		hole |= holes[i];
	}
	if (!hole)
		*hole_since_us = 0;
	else if (!*hole_since_us)
		*hole_since_us = now;
	plr_log_cover(edge, &model, cards, count, now);
	lay_plan(&model, cards, count,
		 hole && now - *hole_since_us > PLR_WIDEN_US);
	plr_balance(edge, index, &model, cards, count, fresh, now);
	for (i = 0; i < count; i++) {
		range = (struct wire_range){ cards[i].want_from,
					     cards[i].want_to };
		if (range.from == range.to ||
		    (range.from == workers[i]->layers.from &&
		     range.to == workers[i]->layers.to))
			continue;
		if (!fresh && now - workers[i]->seen_us < PLR_SPARE_US &&
		    !holes[cards[i].centre])
			continue;
		plr_order(edge, workers[i], &range, now);
	}
}

/* Moves cards, now and then, to where their data centre holds the least. */
static void plr_balance(struct edge *edge, int index,
			const struct lay_model *model, struct lay_card *cards,
			int count, bool fresh, int64_t now)
{
	int64_t *next_us = &edge->placer.balance_us[index];

	if (!fresh && now < *next_us)
		return;
	*next_us = now + PLR_BALANCE_US;
	lay_balance(model, cards, count, fresh);
}

/*
 * Says for each data centre how many tokens its least held layer has room
 * for: zero is a hole, and a figure far below the others is a bottleneck.
 */
static void plr_log_cover(struct edge *edge, const struct lay_model *model,
			  const struct lay_card *cards, int count, int64_t now)
{
	struct lay_cover cover;
	int i;

	if (now < edge->placer.cover_log_us)
		return;
	edge->placer.cover_log_us = now + PLR_COVER_US;
	for (i = 0; i < edge->centre_count; i++) {
		lay_least(model, cards, count, i, &cover);
		jlog(LOG_PLR_COVER,
		     "\"data_centre\":\"%s\",\"workers\":%d,"
		     "\"least_layer\":%d,\"holders\":%d,\"tokens\":%.0f",
		     edge->centres[i], cover.cards, cover.layer, cover.holders,
		     cover.tokens);
	}
}

/* Describes the model of an engine to the planner. */
static struct lay_model plr_model(const struct rt_engine *engine)
{
	struct lay_model model;

	model.layers = engine->layers;
	model.layer_mb = engine->layer_mb;
	model.token_mb = engine->token_bytes / 1e6 / engine->layers;
	model.places = engine->slots;
	model.request_tokens =
		engine->usual_prompt + engine->usual_answer / 2.0;
	model.layer_us = engine->step_ms * MAG_US_PER_MS / engine->layers;
	model.hop_us = CHN_HOP_US;
	return model;
}

/* Lists the workers of a service as cards; what is ordered counts as held. */
static int plr_cards(struct edge *edge, const struct rt_service *service,
		     struct lay_card *cards, struct wk **workers, int64_t now)
{
	const struct rt_kind *kind;
	struct lay_card *card;
	struct wk *wk;
	int count = 0;

	cds_list_for_each_entry (wk, &edge->workers.workers, node) {
		if (count == PLR_CARDS_MAX)
			break;
		if (strcmp(wk->is.service, service->name) != 0 || !wk->listed ||
		    !wk_alive(wk, now))
			continue;
		kind = rt_kind_named(&service->engine, wk->is.kind);
		if (!kind)
			continue;
		card = &cards[count];
		workers[count++] = wk;
		memset(card, 0, sizeof(*card));
		card->centre = edge_centre(edge, wk->is.data_centre);
		card->memory_mb = kind->memory_mb;
		card->step_factor = kind->step_factor;
		card->from = wk->ordered ? wk->order.from : wk->layers.from;
		card->to = wk->ordered ? wk->order.to : wk->layers.to;
		card->want_from = card->from;
		card->want_to = card->to;
		card->usable = true;
		card->moving = wk->ordered || wk->busy;
		card->suspect = wk->on_trial || wk->unresponsive;
	}
	return count;
}

/*
 * Orders a worker to hold layers.  The order carries the count of orders that
 * the worker has taken, so that it is refused if another one came between;
 * the lease is checked last, because this process may have been paused.
 */
static void plr_order(struct edge *edge, struct wk *wk,
		      const struct wire_range *range, int64_t now)
{
	struct hc_send send = { 0 };
	struct plr_call *call;
	struct hc_call *started;
	char body[256];

	if (wk->ordered && now - wk->ordered_us < PLR_AGAIN_US)
		return;
	if (wk->on_trial && now < wk->suspect_until_us)
		return;
	if (wk->orders_taken < 0 || wk->busy ||
	    (wk->ordered && wk->reported_us < wk->ordered_us)) {
		if (now - wk->probed_us >= PLR_ASK_US)
			wkp_ask(edge, wk, now);
		return;
	}
	call = calloc(1, sizeof(*call));
	if (!call)
		return;
	pl_order_place_encode(body, sizeof(body), range, wk->orders_taken);
	call->edge = edge;
	call->wk = wk;
	send.request =
		pl_call_encode("POST", PL_ORDER_PATH, wk->is.address, body);
	send.ops = &plr_ops;
	send.user = call;
	send.connect_by_us = now + PLR_ORDER_US;
	send.deadline_us = now + PLR_ORDER_US;
	if (!send.request || !pres_is_placer(edge->pres, clk_boot_us()) ||
	    hc_start(wk->host, &send, &started)) {
		free(call);
		return;
	}
	wk_hold(wk);
	thr_sent(&wk->thr, now);
	met_increment(&edge->met, MET_ORDERS);
	wk->ordered = true;
	wk->ordered_us = now;
	wk->order = *range;
	jlog(LOG_PLR_ORDERED,
	     "\"worker\":\"%s\",\"holds\":\"%d-%d\",\"layers\":\"%d-%d\","
	     "\"orders_taken\":%lld",
	     wk->is.id, wk->layers.from, wk->layers.to, range->from, range->to,
	     (long long)wk->orders_taken);
}

static bool plr_on_headers(void *user, const struct hc_response *answer)
{
	struct plr_call *call = user;

	wkp_take_limit(call->edge, call->wk, answer, WK_ANSWER_ORDER,
		       call->wk->ordered_us);
	call->status = answer->status;
	return true;
}

static void plr_on_body(void *user, const void *bytes, size_t len)
{
	(void)user;
	(void)bytes;
	(void)len;
}

static void plr_on_end(void *user, enum hc_result end)
{
	struct plr_call *call = user;
	struct wk *wk = call->wk;

	if (end == HC_COMPLETE && call->status / 100 != 2) {
		/* It was not taken: the state it rested on has changed. */
		wk->ordered = false;
		wk->orders_taken = -1;
	}
	if (end != HC_COMPLETE || call->status / 100 != 2)
		jlog(LOG_PLR_UNSURE, "\"worker\":\"%s\",\"status\":%d",
		     wk->is.id, end == HC_COMPLETE ? call->status : 0);
	wk_drop(wk);
	free(call);
}
