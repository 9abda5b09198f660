#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "eq.h"
#include "jlog.h"

/* A worker in reach accepts a connection in a few milliseconds. */
#define EQ_CONNECT_US (250 * MAG_US_PER_MS)
/* Time between two workers of a data centre for one token. */
#define EQ_HOP_US 250
/*
 * Price of a hop from one data centre to another.  Its delay is 1 ms, but all
 * streams share one pipe there, and each stream's prompt alone holds it for
 * 10 ms: beyond some 80 crossings a second every stream waits for the pipe.
 * Priced as several chains' worth of steps, a crossing is taken only where
 * no chain stays inside one data centre.
 */
#define EQ_CENTRE_US 40000
/*
 * Price of a first worker in another data centre: only the stream's own bytes
 * cross there, which the users pay for, so that a whole chain elsewhere goes
 * before a crossing, and a chain at home before both.
 */
#define EQ_AWAY_US 8000
/* Spread of the price of a worker, as a part of it. */
#define EQ_NOISE 0.1
/* Sends of one request, refused ones included. */
#define EQ_SENDS_MAX 6
/*
 * A request waits for a place only this part of its objective: longer, and
 * it is better served elsewhere or later.
 */
#define EQ_WAIT_SHARE	     0.5
#define EQ_CHAIN_WORKERS_MAX 4096
/* Requests beyond a plain worker's slots that it may queue for us. */
#define EQ_PLAIN_QUEUE 3
/* How much a worker in another data centre must be better. */
#define EQ_PLAIN_AWAY 1.3

enum eq_choice {
	EQ_CHOSEN,
	EQ_BUSY, /* all are at their limit */
	EQ_NONE, /* there is no worker for it */
};

static enum eq_choice eq_choose_plain(struct eq *eq, int64_t now);
static enum eq_choice eq_choose_chain(struct eq *eq, int64_t now);
static double eq_plain_cost(const struct eq *eq, const struct wk *wk);
static int eq_chain_workers(struct eq *eq, struct chn_worker *list,
			    struct wk **workers, int64_t now);
static double eq_tokens(const struct eq *eq);
static double eq_noise(struct edge *edge);
static void eq_take_hop(struct eq *eq, struct wk *wk, int from, int to);
static void eq_send(struct eq *eq, int64_t now);
static void eq_not_placed(struct eq *eq, enum eq_choice choice, int64_t now);
static struct evbuffer *eq_message(struct eq *eq, int64_t now);

/* Finds a place for a request and sends it, or lets it wait, or ends it. */
void eq_try(struct eq *eq, int64_t now)
{
	enum eq_choice choice;

	if (eq->sends >= EQ_SENDS_MAX) {
		eq_refuse(eq, 503, EQ_RETRY_LATER, "no worker took it");
		return;
	}
	if (eq->service->has_engine)
		choice = eq_choose_chain(eq, now);
	else
		choice = eq_choose_plain(eq, now);
	if (choice != EQ_CHOSEN) {
		eq_not_placed(eq, choice, now);
		return;
	}
	eq_send(eq, now);
}

/* Gives places and memory of the last attempt back. */
void eq_release(struct eq *eq)
{
	int i;

	for (i = 0; i < eq->hop_count; i++) {
		eq->hops[i].worker->held -= eq->hops[i].held;
		if (i == 0)
			eq->hops[i].worker->firsts--;
		wk_drop(eq->hops[i].worker);
	}
	eq->hop_count = 0;
}

bool eq_avoids(const struct eq *eq, const struct wk *wk)
{
	int i;

	for (i = 0; i < eq->avoid_count; i++) {
		if (strcmp(eq->avoid[i], wk->is.id) == 0)
			return true;
	}
	return false;
}

/* Keeps the next attempts of a request off a worker. */
void eq_avoid(struct eq *eq, const struct wk *wk)
{
	if (eq->avoid_count == EQ_AVOID_MAX || eq_avoids(eq, wk))
		return;
	mag_copy_name(eq->avoid[eq->avoid_count], sizeof(eq->avoid[0]),
		      wk->is.id);
	eq->avoid_count++;
}

bool eq_uses(const struct eq *eq, const struct wk *wk)
{
	int i;

	for (i = 0; i < eq->hop_count; i++) {
		if (eq->hops[i].worker == wk)
			return true;
	}
	return false;
}

/* Waits while that can help, else ends the request at once. */
static void eq_not_placed(struct eq *eq, enum eq_choice choice, int64_t now)
{
	int64_t patience =
		(int64_t)((double)eq->route->target_us * EQ_WAIT_SHARE);

	if (eq->state == EQ_STREAMS) {
		/* It began: the caller waits until the pause is too long. */
		if (now - eq->progress_us > 1500 * MAG_US_PER_MS)
			eq_fail(eq, 502, "no chain to go on");
		return;
	}
	if (!eq->wait_until_us)
		eq->wait_until_us = now + patience;
	if (now < eq->wait_until_us && eq->sends < EQ_SENDS_MAX)
		return;
	eq_refuse(eq, 503, EQ_RETRY_LATER,
		  choice == EQ_BUSY ? "all workers busy" : "no worker");
}

/* Takes the worker of a plain service that should answer first. */
static enum eq_choice eq_choose_plain(struct eq *eq, int64_t now)
{
	struct wk *best = NULL;
	bool any = false;
	double best_cost = 0;
	double cost;
	int pass;
	struct wk *wk;

	/* Workers under suspicion are better than none. */
	for (pass = 0; pass < 2 && !best; pass++) {
		cds_list_for_each_entry (wk, &eq->edge->workers.workers, node) {
			if (strcmp(wk->is.service, eq->service->name) != 0 ||
			    !wk_alive(wk, now) || eq_avoids(eq, wk))
				continue;
			if (pass == 0 && !wk_usable(wk, now))
				continue;
			any = true;
			if (wk->firsts >= wk->is.slots + EQ_PLAIN_QUEUE)
				continue;
			cost = eq_plain_cost(eq, wk);
			if (!best || cost < best_cost) {
				best = wk;
				best_cost = cost;
			}
		}
	}
	if (!best)
		return any ? EQ_BUSY : EQ_NONE;
	eq_take_hop(eq, best, 0, 0);
	return EQ_CHOSEN;
}

/* Expected time of an answer, in units of a free worker's. */
static double eq_plain_cost(const struct eq *eq, const struct wk *wk)
{
	int running = wk->firsts + wk->peer_firsts;
	double cost = wk->answer_us > 0 ? wk->answer_us : 50000;

	if (running >= wk->is.slots)
		cost *= (double)(running + 1) / (wk->is.slots + 1) + 1;
	else
		cost *= 1 + (double)running / (wk->is.slots + 1);
	/* Each failure costs another try, or the caller its answer. */
	cost *= 1 + 5 * wk->fail_share;
	if (strcmp(wk->is.data_centre, eq->edge->set.data_centre) != 0)
		cost *= EQ_PLAIN_AWAY;
	return cost;
}

static enum eq_choice eq_choose_chain(struct eq *eq, int64_t now)
{
	static struct chn_worker list[EQ_CHAIN_WORKERS_MAX];
	static struct wk *workers[EQ_CHAIN_WORKERS_MAX];
	struct edge *edge = eq->edge;
	struct chn_want want = { 0 };
	struct chn_chain chain;
	int count;
	int rc;
	int i;

	want.layers = eq->service->engine.layers;
	want.centre = edge_centre(edge, edge->set.data_centre);
	want.tokens = eq_tokens(eq);
	want.hop_us = EQ_HOP_US;
	want.centre_us = EQ_CENTRE_US;
	want.away_us = EQ_AWAY_US;
	want.may_cross = edge_may_cross(edge, &eq->service->engine, now);
	count = eq_chain_workers(eq, list, workers, now);
	rc = chn_choose(&want, list, count, &chain);
	if (rc)
		return rc == CHN_E_NONE ? EQ_NONE : EQ_BUSY;
	edge->cross_bytes -= chain.crossings * want.tokens *
			     eq->service->engine.handed_bytes;
	for (i = 0; i < chain.count; i++)
		eq_take_hop(eq, workers[chain.hops[i].ref], chain.hops[i].from,
			    chain.hops[i].to);
	return EQ_CHOSEN;
}

/* Lists the workers that may take a part of the request. */
static int eq_chain_workers(struct eq *eq, struct chn_worker *list,
			    struct wk **workers, int64_t now)
{
	const struct rt_engine *engine = &eq->service->engine;
	const struct rt_kind *kind;
	struct edge *edge = eq->edge;
	struct chn_worker *w;
	struct wk *wk;
	double spare_mb;
	int held;
	int count = 0;

	cds_list_for_each_entry (wk, &edge->workers.workers, node) {
		held = wk->layers.to - wk->layers.from;
		if (count == EQ_CHAIN_WORKERS_MAX)
			break;
		if (held <= 0 || !wk_usable(wk, now) || eq_avoids(eq, wk) ||
		    strcmp(wk->is.service, eq->service->name) != 0)
			continue;
		kind = rt_kind_named(engine, wk->is.kind);
		if (!kind)
			continue;
		w = &list[count];
		workers[count] = wk;
		w->ref = count++;
		w->centre = edge_centre(edge, wk->is.data_centre);
		w->from = wk->layers.from;
		w->to = wk->layers.to;
		w->layer_us = engine->step_ms * 1000 * kind->step_factor *
			      wk->slowdown * eq_noise(edge) / engine->layers;
		spare_mb = kind->memory_mb - held * engine->layer_mb;
		w->memory =
			spare_mb * 1e6 * engine->layers / engine->token_bytes;
		w->held = wk->held + wk->peer_held;
		w->firsts_left = wk->is.slots - wk->firsts - wk->peer_firsts;
	}
	return count;
}

/*
 * Routers know each other's load of a moment ago only: without this all of
 * them would send to the one cheapest chain until they hear that it is full.
 */
static double eq_noise(struct edge *edge)
{
	double draw = (double)(edge_random(edge) % 1000) / 1000;

	return 1 + EQ_NOISE * (draw - 0.5);
}

/* Tokens that a request is expected to hold at its end. */
static double eq_tokens(const struct eq *eq)
{
	const struct rt_engine *engine = &eq->service->engine;
	int prompt = eq->asks.prompt_tokens;
	int answer = eq->asks.answer_tokens_hint;

	if (prompt <= 0)
		prompt = engine->usual_prompt;
	if (answer <= 0)
		answer = engine->usual_answer;
	if (eq->asks.answer_tokens_max > 0 &&
	    answer > eq->asks.answer_tokens_max)
		answer = eq->asks.answer_tokens_max;
	return prompt + answer;
}

/* Takes a place at a worker and, for layers, memory of it. */
static void eq_take_hop(struct eq *eq, struct wk *wk, int from, int to)
{
	struct eq_hop *hop = &eq->hops[eq->hop_count];

	hop->worker = wk_hold(wk);
	hop->from = from;
	hop->to = to;
	hop->held = to > from ? eq_tokens(eq) * (to - from) : 0;
	wk->held += hop->held;
	if (eq->hop_count == 0)
		wk->firsts++;
	eq->hop_count++;
}

static void eq_send(struct eq *eq, int64_t now)
{
	struct wk *wk = eq->hops[0].worker;
	struct bud *bud = edge_budget(eq->edge, eq->service->name, now);
	struct hc_send send = { 0 };
	char id[WIRE_ID_MAX];

	if (eq->sends == 0) {
		bud_request(bud, now);
		met_time(&eq->edge->met, MET_WAIT, now - eq->arrived_us);
	} else if (!bud_take(bud, now)) {
		eq_release(eq);
		if (eq->state == EQ_STREAMS)
			eq_fail(eq, 502, "retry budget spent");
		else
			eq_refuse(eq, 503, EQ_RETRY_LATER,
				  "retry budget spent");
		return;
	} else {
		met_add(&eq->edge->met, MET_REPEATS);
	}
	eq->sends++;
	met_add(&eq->edge->met, MET_SENDS);
	eq->sent_us = now;
	eq->progress_us = eq->state == EQ_STREAMS ? eq->progress_us : now;
	eq->asked_us = now;
	eq->answered = false;
	eq->garbled = false;
	eq->status = 0;
	evbuffer_drain(eq->body, evbuffer_get_length(eq->body));
	if (eq->state == EQ_WAITING)
		eq->state = EQ_SENT;
	evs_reset(&eq->events);
	send.request = eq_message(eq, now);
	send.ops = &eq_ops;
	send.user = eq;
	send.connect_by_us = now + EQ_CONNECT_US;
	send.deadline_us = MAG_NEVER;
	/*
	 * A worker may close an idle connection while a request is on its
	 * way; nobody could tell then whether it ran.
	 */
	send.fresh = eq->route->repeat == RT_ONCE;
	send.head = strcmp(hs_method(eq->caller), "HEAD") == 0;
	jlog(LOG_EQ_SENT,
	     "\"request\":\"%s\",\"worker\":\"%s\",\"hops\":%d,\"send\":%d,"
	     "\"from_event\":%lld,\"requests_there\":%d,\"left_ms\":%d",
	     jlog_text(id, sizeof(id), eq->asks.attempt_id), wk->is.id,
	     eq->hop_count, eq->sends, (long long)eq->last_event, wk->firsts,
	     (int)((eq->deadline_us - now) / MAG_US_PER_MS));
	if (!send.request || hc_start(wk->host, &send, &eq->call)) {
		eq->call = NULL;
		eq_avoid(eq, wk);
		eq_release(eq);
		if (eq->state == EQ_SENT)
			eq->state = EQ_WAITING;
	}
}

/* Makes the message to the first worker. */
static struct evbuffer *eq_message(struct eq *eq, int64_t now)
{
	struct pl_outgoing out = { 0 };
	struct wire_hop hops[CHN_HOPS_MAX];
	int i;

	out.method = hs_method(eq->caller);
	out.target = hs_target(eq->caller);
	out.headers = hs_headers(eq->caller);
	out.worker_id = eq->hops[0].worker->is.id;
	out.account = eq->account;
	out.left_ms = (eq->deadline_us - now) / MAG_US_PER_MS;
	out.last_event = -1;
	if (eq->state == EQ_STREAMS)
		out.last_event = eq->last_event;
	out.urgency = -1;
	out.body = hs_body(eq->caller);
	if (eq->service->has_engine) {
		for (i = 0; i < eq->hop_count; i++) {
			mag_copy_name(hops[i].address, sizeof(hops[i].address),
				      eq->hops[i].worker->is.address);
			hops[i].from = eq->hops[i].from;
			hops[i].to = eq->hops[i].to;
		}
		out.hops = hops;
		out.hop_count = eq->hop_count;
	}
	return pl_outgoing_encode(&out);
}
