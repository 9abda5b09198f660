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

/*
 * Workers that start together register within about a second.  Copies are
 * planned only when no new worker has come for this long.  Planned over half of
 * the workers, the layers would leave no memory for requests, and a worker does
 * not release layers.
 */
#define PLR_SETTLE_US (1200 * MAG_US_PER_MS)
/*
 * Neighbours are widened to close a hole in a data centre's copy only after
 * this delay.  By then a worker that crashed is usually back, without layers,
 * and a widened worker permanently has less memory for requests.
 */
#define PLR_WIDEN_DELAY_US (3 * MAG_US_PER_S)
/*
 * Interval between moves of cards to the layers with the least capacity.  The
 * result of a move is visible in the list a second after its end.
 */
#define PLR_BALANCE_INTERVAL_US MAG_US_PER_S
/* Interval between log lines on the bottleneck layers. */
#define PLR_LOG_INTERVAL_US (2 * MAG_US_PER_S)
/*
 * A new worker waits this long for its layers while its data centre lacks none.
 * In a rolling update the new worker starts first and the old one leaves a
 * moment later; the new one should get the layers of the old one.
 */
#define PLR_SPARE_WAIT_US    (1800 * MAG_US_PER_MS)
#define PLR_ORDER_TIMEOUT_US (600 * MAG_US_PER_MS)
/* Interval between probes of a worker that is busy with an order. */
#define PLR_PROBE_INTERVAL_US (700 * MAG_US_PER_MS)
/*
 * An order without effect is sent again after this time.  A late duplicate does
 * no harm: it names the same layers and the same order count.
 */
#define PLR_REORDER_US (2500 * MAG_US_PER_MS)
/* Interval between log lines on a worker's layers beyond its model. */
#define PLR_LAYERS_LOG_US (10 * MAG_US_PER_S)

struct plr_call {
	struct edge *edge;
	struct wk *wk;
	int status;
};

static void plr_plan_service(struct edge *edge, int index, int64_t now);
static void plr_plan_cards(struct edge *edge, const struct rt_service *service,
			   struct lay_card *cards, struct wk **workers,
			   int count, int64_t now);
static void plr_balance(struct edge_service *state,
			const struct lay_model *model, struct lay_card *cards,
			int count, bool initial, int64_t now);
static void plr_log_bottlenecks(struct edge *edge,
				const struct lay_model *model,
				const struct lay_card *cards, int count,
				int64_t now);
static struct lay_model plr_model(const struct rt_engine *engine);
static int plr_list_cards(struct edge *edge, const struct rt_service *service,
			  struct lay_card *cards, struct wk **workers,
			  int64_t now);
static void plr_log_layers(struct wk *wk, int layers, int64_t now);
static void plr_send_order(struct edge *edge, struct wk *wk,
			   const struct wire_range *range, int64_t now);
static bool plr_on_headers(void *user, const struct hc_response *response);
static void plr_on_body(void *user, const void *bytes, size_t len);
static void plr_on_end(void *user, enum hc_result end);

static const struct hc_ops plr_ops = {
	.headers = plr_on_headers,
	.body = plr_on_body,
	.ended = plr_on_end,
};

/*
 * Plans and sends orders while this instance holds the placer's lease, and does
 * not take the loss of its own path for a loss of workers.
 */
void plr_tick(struct edge *edge, int64_t now)
{
	int i;

	if (!pres_is_placer(edge->pres, now) || !edge->rt ||
	    !edge->workers_listed || reach_is_doubted(&edge->workers.reach))
		return;
	for (i = 0; i < edge->rt->service_count; i++) {
		if (edge->rt->services[i].has_engine &&
		    rt_engine_is_supported(&edge->rt->services[i].engine))
			plr_plan_service(edge, i, now);
	}
}

/* Plans one service's layers and sends the orders that the plan requires. */
static void plr_plan_service(struct edge *edge, int index, int64_t now)
{
	const struct rt_service *service = &edge->rt->services[index];
	size_t max = (size_t)edge->workers.count + 1;
	struct lay_card *cards = calloc(max, sizeof(*cards));
	struct wk **workers = calloc(max, sizeof(struct wk *));
	int count;

	/* Without memory the next plan is the first to notice a change. */
	if (cards && workers) {
		count = plr_list_cards(edge, service, cards, workers, now);
		plr_plan_cards(edge, service, cards, workers, count, now);
	}
	free(cards);
	free(workers);
}

static void plr_plan_cards(struct edge *edge, const struct rt_service *service,
			   struct lay_card *cards, struct wk **workers,
			   int count, int64_t now)
{
	struct edge_service *state = edge_service(edge, service->name, now);
	int64_t *hole_since_us = &state->coverage_gap_since_us;
	struct lay_model model = plr_model(&service->engine);
	struct wire_range range;
	bool holes[MAG_DATA_CENTRES_MAX];
	bool hole = false;
	bool initial = lay_is_empty(cards, count);
	int i;

	if (initial && now - edge->workers.last_added_us < PLR_SETTLE_US)
		return;
	for (i = 0; i < edge->data_centre_count; i++) {
		holes[i] = lay_has_hole(&model, cards, count, i);
		hole |= holes[i];
	}
	if (!hole)
		*hole_since_us = 0;
	else if (!*hole_since_us)
		*hole_since_us = now;
	plr_log_bottlenecks(edge, &model, cards, count, now);
	lay_plan(&model, cards, count,
		 hole && now - *hole_since_us > PLR_WIDEN_DELAY_US);
	plr_balance(state, &model, cards, count, initial, now);
	for (i = 0; i < count; i++) {
		range = (struct wire_range){ cards[i].planned_from,
					     cards[i].planned_to };
		if (range.from == range.to ||
		    (range.from == workers[i]->layers.from &&
		     range.to == workers[i]->layers.to))
			continue;
		if (!initial &&
		    now - workers[i]->first_seen_us < PLR_SPARE_WAIT_US &&
		    !holes[cards[i].centre])
			continue;
		plr_send_order(edge, workers[i], &range, now);
	}
}

/* Moves cards to the layers with the least capacity, once in an interval. */
static void plr_balance(struct edge_service *state,
			const struct lay_model *model, struct lay_card *cards,
			int count, bool initial, int64_t now)
{
	if (!initial && now < state->next_balance_us)
		return;
	state->next_balance_us = now + PLR_BALANCE_INTERVAL_US;
	lay_balance(model, cards, count, initial);
}

/*
 * Logs for each data centre how many tokens the layer with the least memory has
 * room for.  Zero is a hole; a figure far below the others' is a bottleneck.
 */
static void plr_log_bottlenecks(struct edge *edge,
				const struct lay_model *model,
				const struct lay_card *cards, int count,
				int64_t now)
{
	struct lay_bottleneck bottleneck;
	char centre[MAG_NAME_MAX];
	int i;

	if (now < edge->placer.next_coverage_log_us)
		return;
	edge->placer.next_coverage_log_us = now + PLR_LOG_INTERVAL_US;
	for (i = 0; i < edge->data_centre_count; i++) {
		lay_find_bottleneck(model, cards, count, i, &bottleneck);
		jlog(LOG_PLR_COVER,
		     "\"data_centre\":\"%s\",\"workers\":%d,"
		     "\"least_layer\":%d,\"holders\":%d,\"tokens\":%.0f",
		     jlog_sanitize(centre, sizeof(centre),
				   edge->data_centres[i]),
		     bottleneck.cards, bottleneck.layer, bottleneck.holders,
		     bottleneck.tokens);
	}
}

/* Describes an engine's model to the planner. */
static struct lay_model plr_model(const struct rt_engine *engine)
{
	struct lay_model model;

	model.layers = engine->layers;
	model.layer_mb = engine->layer_mb;
	model.token_mb = engine->kv_token_bytes / 1e6 / engine->layers;
	model.slots = engine->slots;
	model.request_tokens =
		engine->usual_prompt + engine->usual_answer / 2.0;
	model.layer_us = engine->step_ms * MAG_US_PER_MS / engine->layers;
	model.hop_us = CHN_HOP_US;
	return model;
}

/* Lists the workers of a service as cards; ordered layers count as held. */
static int plr_list_cards(struct edge *edge, const struct rt_service *service,
			  struct lay_card *cards, struct wk **workers,
			  int64_t now)
{
	const struct rt_accelerator *accelerator;
	struct lay_card *card;
	struct wk *wk;
	int centre;
	int count = 0;

	cds_list_for_each_entry (wk, &edge->workers.workers, node) {
		if (strcmp(wk->entry.service, service->name) != 0 ||
		    !wk->listed || !wk_alive(wk, now))
			continue;
		accelerator =
			rt_find_accelerator(&service->engine, wk->entry.kind);
		if (!accelerator)
			continue;
		if (!wk_holds_of(wk, service->engine.layers)) {
			plr_log_layers(wk, service->engine.layers, now);
			continue;
		}
		centre = edge_data_centre_index(edge, wk->entry.data_centre);
		if (centre < 0)
			continue;
		card = &cards[count];
		workers[count++] = wk;
		memset(card, 0, sizeof(*card));
		card->centre = centre;
		card->memory_mb = accelerator->memory_mb;
		card->step_factor = accelerator->step_factor;
		card->from = wk->proc.ordered ? wk->proc.order.from
					      : wk->layers.from;
		card->to = wk->proc.ordered ? wk->proc.order.to : wk->layers.to;
		card->planned_from = card->from;
		card->planned_to = card->to;
		card->usable = true;
		card->order_pending = wk->proc.ordered || wk->proc.busy;
		card->suspect = wk->proc.suspected || wk->proc.unresponsive;
	}
	return count;
}

/* Logs that a worker names layers that its service's model does not have. */
static void plr_log_layers(struct wk *wk, int layers, int64_t now)
{
	if (now < wk->next_layers_log_us)
		return;
	wk->next_layers_log_us = now + PLR_LAYERS_LOG_US;
	jlog(LOG_WK_LAYERS,
	     "\"worker\":\"%s\",\"address\":\"%s\",\"layers\":\"%d-%d\","
	     "\"model_layers\":%d",
	     wk->label, wk->entry.address, wk->layers.from, wk->layers.to,
	     layers);
}

/*
 * Orders a worker to hold layers.  The order carries the number of orders that
 * the worker has accepted, so that it is refused if another order came between.
 * The lease is checked last, because this process may have been paused.
 */
static void plr_send_order(struct edge *edge, struct wk *wk,
			   const struct wire_range *range, int64_t now)
{
	struct hc_send send = { 0 };
	struct plr_call *call;
	struct hc_call *started;
	char body[256];

	if (wk->proc.ordered && now - wk->proc.ordered_us < PLR_REORDER_US)
		return;
	if (wk->proc.suspected && now < wk->proc.suspect_until_us)
		return;
	if (!adv_may_send(&wk->proc.adv, ADV_PLACE, now))
		return;
	if (wk->proc.orders_taken < 0 || wk->proc.busy ||
	    (wk->proc.ordered && wk->proc.reported_us < wk->proc.ordered_us)) {
		if (now - wk->probed_us >= PLR_PROBE_INTERVAL_US)
			wkp_probe(edge, wk, now);
		return;
	}
	call = calloc(1, sizeof(*call));
	if (!call)
		return;
	pl_order_place_encode(body, sizeof(body), range, wk->proc.orders_taken);
	call->edge = edge;
	call->wk = wk;
	send.request = pl_order_encode(wk->entry.address, wk->entry.id, body);
	send.ops = &plr_ops;
	send.user = call;
	send.connect_by_us = now + PLR_ORDER_TIMEOUT_US;
	send.deadline_us = now + PLR_ORDER_TIMEOUT_US;
	if (!send.request || !pres_is_placer(edge->pres, clk_boot_us()) ||
	    wk_send(wk, ADV_PLACE, &send, now, &started)) {
		free(call);
		return;
	}
	wk_ref(wk);
	met_increment(&edge->met, MET_ORDERS);
	wk->proc.ordered = true;
	wk->proc.ordered_us = now;
	wk->proc.order = *range;
	jlog(LOG_PLR_ORDERED,
	     "\"worker\":\"%s\",\"holds\":\"%d-%d\",\"layers\":\"%d-%d\","
	     "\"orders_taken\":%lld",
	     wk->label, wk->layers.from, wk->layers.to, range->from, range->to,
	     (long long)wk->proc.orders_taken);
}

static bool plr_on_headers(void *user, const struct hc_response *response)
{
	struct plr_call *call = user;
	struct wire_advert advert;

	pl_advert_decode(response->status, response->headers, &advert);
	wkp_apply_advert(call->edge, call->wk, &advert, WK_ANSWER_ORDER,
			 call->wk->proc.ordered_us);
	call->status = response->status;
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
		/* Refused: the state that the order relied on has changed. */
		wk->proc.ordered = false;
		wk->proc.orders_taken = -1;
	}
	if (end != HC_COMPLETE || call->status / 100 != 2)
		jlog(LOG_PLR_UNSURE, "\"worker\":\"%s\",\"status\":%d",
		     wk->label, end == HC_COMPLETE ? call->status : 0);
	wk_unref(wk);
	free(call);
}
