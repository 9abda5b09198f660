#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "eq.h"
#include "jlog.h"

/* A worker in reach accepts a connection in a few milliseconds. */
#define EQ_CONNECT_US (250 * MAG_US_PER_MS)
/* Sends of one request, refused ones included. */
#define EQ_SENDS_MAX 6
/*
 * A request waits for a place only this part of its objective: longer, and
 * it is better served elsewhere or later.
 */
#define EQ_WAIT_SHARE 0.5
/*
 * A request that is late already waits this long: its caller would only come
 * back later still, and leaves a stream without a first event after 2 s.
 */
#define EQ_LATE_WAIT_US (1200 * MAG_US_PER_MS)
/* Requests beyond a plain worker's slots that it may queue for us. */
#define EQ_PLAIN_QUEUE 3
/* How much a worker in another data centre must be better. */
#define EQ_PLAIN_AWAY 1.3

static enum eq_choice eq_choose_plain(struct eq *eq, int64_t now);
static double eq_plain_cost(const struct eq *eq, const struct wk *wk);
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

/* Gives places and memory of the last attempt back, and its repair up. */
void eq_release(struct eq *eq)
{
	int i;

	eq_repair_cancel(eq);
	eq->repairs = 0;
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

/*
 * Remembers a request as one that may have crashed a worker of its chain,
 * unless that worker was silent before the request came there.
 */
void eq_blame(struct eq *eq, struct wk *wk, int64_t now)
{
	int64_t began_us = eq->sent_us;
	const struct eq_hop *hop = eq_hop_of(eq, wk);
	bool others = false;

	/* Of plain workers it is not known when they were heard last. */
	if (eq->service->has_engine && hop)
		others = wk->firsts > (hop == eq->hops) || wk->held > hop->held;
	if (eq->repaired_us > began_us)
		began_us = eq->repaired_us;
	if (quar_is_evidence(began_us, wk->passed_us, others))
		wk_add_victim(wk, eq->print, now);
}

/* Waits while that can help, else ends the request at once. */
static void eq_not_placed(struct eq *eq, enum eq_choice choice, int64_t now)
{
	int64_t patience =
		(int64_t)((double)eq->route->target_us * EQ_WAIT_SHARE);

	if (eq->service->has_engine && eq->arrived_us >= eq->aim_us)
		patience = EQ_LATE_WAIT_US;
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
			if (!thr_may_send(&wk->thr, now))
				continue;
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

static void eq_send(struct eq *eq, int64_t now)
{
	struct wk *wk = eq->hops[0].worker;
	struct bud *bud = edge_budget(eq->edge, eq->service->name, now);
	struct hc_send send = { 0 };
	char chain[EQ_CHAIN_TEXT];
	char id[WIRE_ID_MAX];
	int i;

	if (eq->sends == 0) {
		bud_request(bud, now);
		met_observe(&eq->edge->met, MET_WAIT, now - eq->arrived_us);
	} else if (!bud_take(bud, now)) {
		eq_release(eq);
		if (eq->state == EQ_STREAMS)
			eq_fail(eq, 502, "retry budget spent");
		else
			eq_refuse(eq, 503, EQ_RETRY_SOON, "retry budget spent");
		return;
	} else {
		met_increment(&eq->edge->met, MET_REPEATS);
	}
	eq->sends++;
	met_increment(&eq->edge->met, MET_SENDS);
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
	send.new_connection = eq->route->repeat == RT_ONCE;
	send.head_request = strcmp(hs_method(eq->caller), "HEAD") == 0;
	jlog(LOG_EQ_SENT,
	     "\"request\":\"%s\",\"worker\":\"%s\",\"hops\":%d,"
	     "\"chain\":\"%s\",\"send\":%d,\"from_event\":%lld,"
	     "\"requests_there\":%d,"
	     "\"left_ms\":%d",
	     jlog_sanitize(id, sizeof(id), eq->asks.attempt_id), wk->is.id,
	     eq->hop_count, eq_chain_text(eq, chain, sizeof(chain)), eq->sends,
	     (long long)eq->last_event, wk->firsts,
	     (int)((eq->deadline_us - now) / MAG_US_PER_MS));
	if (!send.request || hc_start(wk->host, &send, &eq->call)) {
		eq->call = NULL;
		eq_avoid(eq, wk);
		eq_release(eq);
		if (eq->state == EQ_SENT)
			eq->state = EQ_WAITING;
		return;
	}
	for (i = 0; i < eq->hop_count; i++)
		thr_sent(&eq->hops[i].worker->thr, now);
}

/* Makes the message to the first worker. */
static struct evbuffer *eq_message(struct eq *eq, int64_t now)
{
	struct pl_worker_request out = { 0 };
	struct wire_hop hops[CHN_HOPS_MAX];

	out.method = hs_method(eq->caller);
	out.target = hs_target(eq->caller);
	out.headers = hs_headers(eq->caller);
	out.worker_id = eq->hops[0].worker->is.id;
	out.account = eq->account;
	out.remaining_ms = (eq->deadline_us - now) / MAG_US_PER_MS;
	out.last_event = -1;
	if (eq->state == EQ_STREAMS)
		out.last_event = eq->last_event;
	out.urgency = -1;
	out.body = hs_body(eq->caller);
	if (eq->service->has_engine) {
		out.hops = hops;
		out.hop_count = eq_wire_hops(eq, hops);
	}
	return pl_worker_request_encode(&out);
}
