#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "eq.h"
#include "jlog.h"

/* Connection timeout.  A reachable worker accepts within a few milliseconds. */
#define EQ_CONNECT_US (250 * MAG_US_PER_MS)
/* Sends of one request, including refused and unsent ones. */
#define EQ_SENDS_MAX 6
/* Requests that a plain worker may queue beyond its slots. */
#define EQ_PLAIN_QUEUE 3
/* Cost factor of a worker in another data centre. */
#define EQ_PLAIN_REMOTE 1.3
/*
 * A request that crashes its worker does so within this time after its first
 * event, with a margin.
 */
#define EQ_BEGINNING_US (500 * MAG_US_PER_MS)
/*
 * A process that is dead resets a connection within this time, also from
 * another data centre.
 */
#define EQ_RESET_US (20 * MAG_US_PER_MS)
/* Time until a probe has told a crash and all routers have judged it. */
#define EQ_VERDICT_US (QUAR_SETTLE_US + 50 * MAG_US_PER_MS)

static enum eq_choice eq_choose_plain(struct eq *eq, int64_t now);
static enum eq_choice eq_choose_suspect(struct eq *eq, int64_t now);
static enum eq_choice eq_choose_plain_of(struct eq *eq, eq_usable_fn usable,
					 int64_t now);
static double eq_plain_cost(const struct eq *eq, const struct wk *wk);
static bool eq_is_evidence(const struct eq *eq, const struct eq_hop *hop,
			   int64_t now);
static bool eq_add_interrupted(struct eq *eq, const struct eq_hop *hop,
			       bool left, int64_t now);
static bool eq_is_blamed(const struct eq *eq, const struct wk *wk);
static bool eq_runs_beside_others(const struct eq *eq, struct wk *wk,
				  int64_t now);
static bool eq_has_run_well(const struct eq *eq);
static struct evbuffer *eq_encode(struct eq *eq, int64_t now);

/*
 * Places a request at a worker and sends it, leaves it waiting, or ends it.
 * Returns true if it has found no room, whether it goes on waiting or not.
 */
bool eq_dispatch(struct eq *eq, int64_t now)
{
	enum eq_choice choice;

	if (now < eq->resend_us || eq_refuse_quarantined(eq, now))
		return false;
	if (!eq_may_send_again(eq)) {
		eq_refuse(eq, 503, EQ_RETRY_LATER, "no worker accepted it");
		return false;
	}
	if (eq->state == EQ_WAITING && !eq->may_have_run &&
	    !eq->ran_elsewhere && eq_is_refused_by_all(eq, now)) {
		eq_refuse(eq, 503, EQ_RETRY_LATER, "all workers refused it");
		return true;
	}
	if (eq_doubts_path(eq) && eq_forward_start(eq, now))
		return false;
	if (eq_waits_for_budget(eq, now))
		return false;
	choice = EQ_BUSY;
	if (hc_has_room(eq->edge->hc) && !eq_must_queue(eq, now))
		choice = eq_choose(eq, now);
	if (choice == EQ_NO_WORKER && eq_forward_start(eq, now))
		return false;
	if (choice == EQ_NO_WORKER && !eq->service->has_engine)
		choice = eq_choose_suspect(eq, now);
	if (choice != EQ_CHOSEN) {
		eq_on_unplaced(eq, choice, now);
		return choice != EQ_NO_WORKER;
	}
	eq_note_placed(eq, now);
	eq_send(eq, now);
	return false;
}

/* Tells whether the limit on sends of one request leaves another one. */
bool eq_may_send_again(const struct eq *eq)
{
	return eq->sends + eq->unsent < EQ_SENDS_MAX;
}

/* Chooses the worker or the chain of a request and reserves room there. */
enum eq_choice eq_choose(struct eq *eq, int64_t now)
{
	if (eq->service->has_engine)
		return eq_choose_chain(eq, now);
	return eq_choose_plain(eq, now);
}

/*
 * Tells whether a peer rather serves a request than this router: its path to
 * the workers is lost, or nothing has come from any worker since this router
 * last sent the request.
 */
bool eq_doubts_path(const struct eq *eq)
{
	const struct wk_table *workers = &eq->edge->workers;

	return reach_is_lost(&workers->reach) ||
	       (eq->own_sent_us && workers->heard_us < eq->own_sent_us);
}

/* Releases slots and memory of the present attempt and abandons its repair. */
void eq_release(struct eq *eq)
{
	eq_repair_cancel(eq);
	eq->attempt->repairs = 0;
	eq->attempt->blamed[0] = '\0';
	eq_release_hops(eq->attempt);
}

/*
 * Records a request that may have crashed a worker of its chain.  It did not if
 * that worker had fallen silent before the request reached it.  A request that
 * crashes workers does so as it begins, so that one which has run for a while
 * did not either, unless nothing else ran there.  A request that may have
 * crashed two workers is not sent again before all routers could report what
 * they know of it.
 */
void eq_add_crash_candidate(struct eq *eq, struct wk *wk, int64_t now)
{
	const struct eq_hop *hop = eq_find_hop(eq, wk);

	if (!hop || !eq_is_evidence(eq, hop, now) ||
	    !eq_add_interrupted(eq, hop, false, now))
		return;
	if (eq->crash_candidate || eq_check_quarantine(eq, now) != QUAR_CLEAR)
		eq->resend_us = now + EQ_VERDICT_US;
	eq->crash_candidate = true;
}

/*
 * Tells whether the worker of a hop was alive when the request reached it.  A
 * dead process resets connections at once; a connection that was reset later,
 * so that the request has no call any more, was open until the crash.  For
 * plain workers the time of the last sign of life is unknown.
 */
static bool eq_is_evidence(const struct eq *eq, const struct eq_hop *hop,
			   int64_t now)
{
	const struct wk *wk = hop->worker;
	int64_t began_us = eq->attempt->sent_us;
	bool others;

	if (!eq->service->has_engine ||
	    (!eq->attempt->call && now - eq->attempt->sent_us >= EQ_RESET_US))
		return true;
	others = wk->first_hops > (hop == eq->attempt->hops) ||
		 wk->held > hop->held;
	if (eq->attempt->repaired_us > began_us)
		began_us = eq->attempt->repaired_us;
	return quar_is_evidence(began_us, wk->proc.last_event_us, others);
}

/*
 * Records a request whose attempts are given up while they wait or begin at
 * their workers, which they may still crash.
 */
void eq_add_left(struct eq *eq, int64_t now)
{
	struct eq_attempt *present = eq->attempt;
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(eq->attempts); i++) {
		eq->attempt = &eq->attempts[i];
		if (eq->attempt->call && eq->attempt->hop_count > 0 &&
		    !eq_has_run_well(eq))
			eq_add_interrupted(eq, &eq->attempt->hops[0], true,
					   now);
	}
	eq->attempt = present;
}

/*
 * Returns whether a request may have crashed the worker of a hop.  It is
 * recorded once there, also if several of its attempts run through the worker.
 */
static bool eq_add_interrupted(struct eq *eq, const struct eq_hop *hop,
			       bool left, int64_t now)
{
	struct wk_interrupted interrupted = { .left = left, .at_us = now };
	bool others;

	if (eq_is_blamed(eq, hop->worker))
		return false;
	others = eq_runs_beside_others(eq, hop->worker, now);
	if (others && eq_has_run_well(eq)) {
		hop->worker->proc.bystander_us = now;
		return false;
	}
	interrupted.alone = !others;
	interrupted.traits = eq->traits;
	memcpy(interrupted.fingerprint, eq->fingerprint, MAG_DIGEST_BYTES);
	wk_add_interrupted(hop->worker, &interrupted);
	mag_copy_name(eq->attempt->blamed, sizeof(eq->attempt->blamed),
		      hop->worker->entry.id);
	return true;
}

/* Tells whether an attempt in progress is recorded at a worker. */
static bool eq_is_blamed(const struct eq *eq, const struct wk *wk)
{
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(eq->attempts); i++) {
		if (strcmp(eq->attempts[i].blamed, wk->entry.id) == 0)
			return true;
	}
	return false;
}

/* Tells whether a worker runs anything besides the attempts of a request. */
static bool eq_runs_beside_others(const struct eq *eq, struct wk *wk,
				  int64_t now)
{
	const struct eq_attempt *attempt = eq->attempts;
	double held = 0;
	int firsts = 0;
	int i;

	for (; attempt < eq->attempts + EQ_ATTEMPTS_MAX; attempt++) {
		for (i = 0; i < attempt->hop_count; i++) {
			if (attempt->hops[i].worker != wk)
				continue;
			held += attempt->hops[i].held;
			firsts += i == 0;
		}
	}
	return wk_runs_others(wk, firsts, held, now);
}

/*
 * Clears a suspect whose attempt has run for so long that it does not crash its
 * workers.
 */
void eq_clear_suspect(struct eq *eq, int64_t now)
{
	if (eq->attempt->ran_well || !eq_has_run_well(eq))
		return;
	eq->attempt->ran_well = true;
	eq_did_well(eq, eq->attempt->begun_us, now);
}

/* Tells whether an attempt was making progress for a while. */
static bool eq_has_run_well(const struct eq *eq)
{
	return eq->attempt->begun_us &&
	       eq->progress_us - eq->attempt->begun_us >= EQ_BEGINNING_US;
}

/*
 * Chooses the worker of a plain service with the lowest expected answer time.
 */
static enum eq_choice eq_choose_plain(struct eq *eq, int64_t now)
{
	enum eq_choice choice;

	eq_update_reserve(eq, now);
	choice = eq_choose_plain_of(eq, wk_usable, now);
	/* Workers that only others suspect are used if there are no others. */
	if (choice != EQ_CHOSEN)
		choice = eq_choose_plain_of(eq, wk_usable_by_own, now);
	if (choice == EQ_BUSY)
		choice = eq_choose_suspect(eq, now);
	return choice;
}

/* Chooses also among the workers that this router suspects. */
static enum eq_choice eq_choose_suspect(struct eq *eq, int64_t now)
{
	return eq_choose_plain_of(eq, wk_alive, now);
}

static enum eq_choice eq_choose_plain_of(struct eq *eq, eq_usable_fn usable,
					 int64_t now)
{
	struct wk *best = NULL;
	bool any = false;
	double best_cost = 0;
	double cost;
	struct wk *wk;

	cds_list_for_each_entry (wk, &eq->edge->workers.workers, node) {
		if (strcmp(wk->entry.service, eq->service->name) != 0 ||
		    !usable(wk, now) || eq_avoids(eq, wk))
			continue;
		any = true;
		if (!adv_may_send(&wk->proc.adv, ADV_REQUEST, now))
			continue;
		if (wk->first_hops >=
		    eq_slot_limit(eq, wk->entry.slots + EQ_PLAIN_QUEUE))
			continue;
		cost = eq_plain_cost(eq, wk);
		if (!best || cost < best_cost) {
			best = wk;
			best_cost = cost;
		}
	}
	if (!best)
		return any ? EQ_BUSY : EQ_NO_WORKER;
	eq_reserve_hop(eq, best, 0, 0);
	return EQ_CHOSEN;
}

/*
 * Returns the expected answer time at a worker.  A worker without known answer
 * times counts as 50 ms.
 */
static double eq_plain_cost(const struct eq *eq, const struct wk *wk)
{
	int running = wk->first_hops + wk->peer_first_hops;
	double cost = wk->proc.response_us > 0 ? wk->proc.response_us : 50000;

	if (running >= wk->entry.slots)
		cost *= (double)(running + 1) / (wk->entry.slots + 1) + 1;
	else
		cost *= 1 + (double)running / (wk->entry.slots + 1);
	/* A failure costs another attempt, or the caller its answer. */
	cost *= 1 + 5 * wk->proc.failure_rate;
	if (strcmp(wk->entry.data_centre, eq->edge->set.data_centre) != 0)
		cost *= EQ_PLAIN_REMOTE;
	return cost;
}

/* Sends a request to its chosen workers. */
void eq_send(struct eq *eq, int64_t now)
{
	struct wk *wk = eq->attempt->hops[0].worker;
	struct bud *bud = edge_budget(eq->edge, eq->service->name, now);
	struct hc_send send = { 0 };
	char chain[EQ_CHAIN_TEXT];
	char id[WIRE_ID_MAX];
	int i;

	if (eq->sends == 0) {
		bud_add_request(bud, now);
		if (eq->unsent == 0)
			met_observe(&eq->edge->met, MET_WAIT,
				    now - eq->arrived_us);
	} else if (!bud_take_retry(bud, now)) {
		eq_release(eq);
		if (eq->kept)
			eq_fall_back(eq, "retry budget spent", now);
		else if (eq->state == EQ_STREAMING)
			eq_fail(eq, 502, "retry budget spent");
		else
			eq_refuse(eq, 503, EQ_RETRY_SOON, "retry budget spent");
		return;
	} else {
		met_increment(&eq->edge->met, MET_REPEATS);
	}
	eq_begin_attempt(eq, now);
	eq->attempt->is_repeat = eq->sends > 0;
	eq->sends++;
	eq->own_sent_us = now;
	met_increment(&eq->edge->met, MET_SENDS);
	send.request = eq_encode(eq, now);
	send.ops = &eq_ops;
	eq_fill_send(eq, &send);
	send.connect_by_us = now + EQ_CONNECT_US;
	jlog(LOG_EQ_SENT,
	     "\"request\":\"%s\",\"worker\":\"%s\",\"service\":\"%s\","
	     "\"hops\":%d,\"chain\":\"%s\",\"send\":%d,\"from_event\":%lld,"
	     "\"requests_there\":%d,\"left_ms\":%d,\"forwarded\":%s,"
	     "\"repeat\":%s,\"retries_left\":%.1f,\"slack\":%.1f",
	     jlog_sanitize(id, sizeof(id), eq->request.attempt_id), wk->label,
	     eq->service->name, eq->attempt->hop_count,
	     eq_chain_text(eq, chain, sizeof(chain)), eq->sends,
	     (long long)eq->last_event, wk->first_hops,
	     (int)((eq->deadline_us - now) / MAG_US_PER_MS),
	     eq->is_forwarded ? "true" : "false",
	     eq->attempt->is_repeat ? "true" : "false", bud_left(bud, now),
	     bud->slack);
	if (!send.request ||
	    wk_send(wk, ADV_REQUEST, &send, now, &eq->attempt->call)) {
		eq->attempt->call = NULL;
		eq_return_send(eq, now);
		/* A lack of descriptors says nothing about the worker. */
		if (hc_has_room(eq->edge->hc))
			eq_avoid(eq, wk);
		eq_release(eq);
		if (eq->state == EQ_SENT)
			eq->state = EQ_WAITING;
		if (eq->kept)
			eq_fall_back(eq, "not sent", now);
		return;
	}
	for (i = 1; i < eq->attempt->hop_count; i++)
		thr_sent(&eq->attempt->hops[i].worker->proc.adv.thr, now);
}

/* Fills in how a request is sent, to a worker or to a peer. */
void eq_fill_send(struct eq *eq, struct hc_send *send)
{
	send->user = eq->attempt;
	send->deadline_us = MAG_NEVER;
	/*
	 * The other side may close an idle connection while a request is in
	 * transit; it would then be unknown whether the request ran.  That must
	 * not cost a request its last run.
	 */
	send->new_connection =
		eq->route->kind == RT_NON_IDEMPOTENT ||
		(eq->runs > 0 && eq->runs + 1 >= eq->route->max_attempts);
	send->head_request = strcmp(hs_method(eq->caller), "HEAD") == 0;
}

/*
 * Takes back the send of an attempt of which no byte was sent: the next one is
 * as this one would have been, the first send or a retry.
 */
void eq_return_send(struct eq *eq, int64_t now)
{
	struct bud *bud = edge_budget(eq->edge, eq->service->name, now);
	char id[WIRE_ID_MAX];

	jlog(LOG_EQ_UNSENT,
	     "\"request\":\"%s\",\"worker\":\"%s\",\"repeat\":%s",
	     jlog_sanitize(id, sizeof(id), eq->request.attempt_id),
	     eq->attempt->hops[0].worker->label,
	     eq->attempt->is_repeat ? "true" : "false");
	if (eq->attempt->is_repeat)
		bud_return_retry(bud, eq->attempt->sent_us);
	else
		bud_return_request(bud, eq->attempt->sent_us);
	eq->attempt->is_repeat = false;
	eq->sends--;
	eq->unsent++;
}

/* Clears what is known of the last attempt, as another one begins. */
void eq_begin_attempt(struct eq *eq, int64_t now)
{
	eq->attempt->sent_us = now;
	eq->attempt->is_repeat = false;
	eq->progress_us = eq->state == EQ_STREAMING ? eq->progress_us : now;
	eq->probed_us = now;
	eq->attempt->heard_run_us = run_at(&eq->edge->workers.run, now);
	eq->attempt->longest_run_us = 0;
	eq->attempt->misrouted = false;
	eq->attempt->begun_us = 0;
	eq->attempt->ran_well = false;
	eq->attempt->answered = false;
	eq->attempt->peer_told = false;
	eq->attempt->assumed_sent = false;
	eq->attempt->garbled = false;
	eq->attempt->garbled_bytes = 0;
	eq->attempt->status = 0;
	evbuffer_drain(eq->attempt->body,
		       evbuffer_get_length(eq->attempt->body));
	if (eq->state == EQ_WAITING)
		eq->state = EQ_SENT;
	evs_reset(&eq->attempt->events);
	eq_count_buffered(eq->attempt);
}

/* Encodes the message to the first worker. */
static struct evbuffer *eq_encode(struct eq *eq, int64_t now)
{
	struct pl_worker_request out = { 0 };
	struct wire_hop hops[CHN_HOPS_MAX];

	out.method = hs_method(eq->caller);
	out.target = hs_target(eq->caller);
	out.headers = hs_headers(eq->caller);
	out.worker_id = eq->attempt->hops[0].worker->entry.id;
	out.account = eq->account;
	out.remaining_ms = (eq->deadline_us - now) / MAG_US_PER_MS;
	out.last_event = -1;
	if (eq->state == EQ_STREAMING)
		out.last_event = eq->last_event;
	out.urgency = urg_set_wire(&eq->service->urgencies, eq->urgency);
	out.body = hs_body(eq->caller);
	if (eq->service->has_engine) {
		out.hops = hops;
		out.hop_count = eq_wire_hops(eq, hops);
	}
	return pl_worker_request_encode(&out);
}
