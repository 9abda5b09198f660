#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "core.h"
#include "log.h"

/*
 * The fault matrix: two cores, a key-value table and endpoints in memory, in
 * virtual time.  A caller sends one request through the first core, a fault
 * strikes at one step of it, and the caller goes on as callers do: it sends
 * again, through the other core, until it has its answer or gives up.  Then
 * a checker compares what the endpoints ran with what the caller was told.
 * docs/FAULTS.md is the table of a run; FAULTS_WRITE=1 writes it.
 */

#define MX_MS	     MAG_US_PER_MS
#define MX_TOKENS    8
#define MX_LAYERS    4
#define MX_FILLERS   3 /* requests that fill the endpoints */
#define MX_ASKS	     16
#define MX_ATTS	     64
#define MX_CALLS     64
#define MX_CELLS     16
#define MX_EPS	     6
#define MX_REPEATS   5
#define MX_DEADLINE  3000 /* of a request, in ms */
#define MX_OUTAGE    (1500 * MX_MS)
#define MX_HANG	     (5000 * MX_MS) /* until a hung endpoint wakes */
#define MX_LATE	     (2500 * MX_MS) /* until a hanging write lands */
#define MX_WAKE	     (50 * MX_MS)
#define MX_PAUSE     (4000 * MX_MS)
#define MX_END	     (60 * MAG_US_PER_S)
#define MX_STOP	     (60 * MAG_US_PER_S)
#define MX_WALL_MS   INT64_C(1800000000000)
#define MX_POISON_EP 2 /* most endpoints that one request may cost */

#define MX_STEPS                                                               \
	X(ACCEPT, "accept")                                                    \
	X(IDENTIFY, "identify")                                                \
	X(ADMIT, "admit")                                                      \
	X(RESERVE, "reserve")                                                  \
	X(PICK, "pick")                                                        \
	X(CONNECT, "connect")                                                  \
	X(SEND, "send")                                                        \
	X(FIRST, "first byte")                                                 \
	X(MID, "mid-stream")                                                   \
	X(LAST, "last byte") X(SETTLE, "settle") X(ANSWER, "answer")
#define MX_FAULTS                                                              \
	X(NONE, "none")                                                        \
	X(EP_KILLED, "endpoint killed")                                        \
	X(EP_HUNG, "endpoint hung")                                            \
	X(EP_SLOW, "endpoint slow")                                            \
	X(EP_WRONG, "answers wrong id")                                        \
	X(LINK, "link cut")                                                    \
	X(KILLED, "router killed")                                             \
	X(PAUSED, "router paused")                                             \
	X(RESTARTED, "router restarted")                                       \
	X(KV_DOWN, "service down")                                             \
	X(KV_SLOW, "service slow")                                             \
	X(KV_LOSE, "answer lost after the write")                              \
	X(KV_HANG, "write hangs, lands late")                                  \
	X(POISON, "poison") X(TWO, "two at once")

#define X(id, name) STEP_##id,
enum mx_step {
	MX_STEPS STEP_COUNT
};
#undef X
#define X(id, name) FAULT_##id,
enum mx_fault {
	MX_FAULTS FAULT_COUNT
};
#undef X
#define X(id, name) name,
static const char *const step_names[] = { MX_STEPS };
static const char *const fault_names[] = { MX_FAULTS };
#undef X

enum mx_kind {
	KIND_MODEL,
	KIND_BOOKING,
	KIND_RESEND,
	KIND_COUNT
};
static const char *const kind_names[] = {
	"Model streams", "Bookings under a key, no downstream key",
	"Bookings under a key, endpoints run a downstream key once"
};

enum mx_phase {
	ATT_NONE,
	ATT_CONNECT,
	ATT_SENT,
	ATT_RUNS,
	ATT_DONE
};

struct mx_ep {
	bool dead, wrong;
	bool poisoned; /* the request's own doing */
	int64_t hung_until, slow_until;
};

struct mx_ask {
	int router;
	uint64_t req;
	int key;
	uint64_t incarnation;
	int64_t sent_us, closed_us; /* closed: answered or given up */
	int answers, status;
	bool heard;   /* the caller was still there */
	bool crossed; /* the last end carried another's ids */
	enum mag_outcome outcome;
	char body[32];
	int seen[2 * MX_TOKENS], seen_count;
	bool effect; /* an endpoint began it */
};

struct mx_att {
	enum mx_phase phase;
	int ask;
	bool open, cancelled; /* its connection */
	int eps[MAG_CHAIN_MAX];
	struct core_dispatch d;
	uint32_t tokens;
	int64_t at_us;
};

struct mx_call {
	bool used, applied;
	int router;
	uint64_t incarnation;
	int64_t apply_us, reply_us;
	struct kv_call call;
	struct kv_reply reply;
};

struct mx_cell {
	char key[KV_KEY_MAX];
	char *value;
	uint64_t version;
};

static struct core *cores[2];
static uint64_t incarnations[2];
static int64_t paused_until[2];
static struct mx_ep eps[MX_EPS];
static struct mx_ask asks[MX_ASKS];
static struct mx_att atts[MX_ATTS];
static struct mx_call calls[MX_CALLS];
static struct mx_cell cells[MX_CELLS];
static int ask_count, target, repeats, effects[MX_ASKS], effect_ask[MX_ASKS];
static int64_t now, kv_down_until, kv_slow_until;
static bool stopped[2];
static bool kv_lose, kv_hang, link_cut, poison, fired;
static enum mx_kind kind;
static enum mx_step step;
static enum mx_fault fault;
static enum mx_step second_step; /* of a pair */
static enum mx_fault second;	 /* FAULT_NONE: no pair */
static bool fired_second;
static char verdict[256];

static void mx_strike(enum mx_step at, const struct mx_att *att);
static void mx_inflict(enum mx_fault which, const struct mx_att *att);

static void mx_bad(const char *what, int ask)
{
	if (!verdict[0])
		snprintf(verdict, sizeof(verdict), "%s (request %d)", what,
			 ask + 1);
}

static struct cfg_set *mx_config(void)
{
	struct cfg_faults *faults = NULL;
	struct cfg_set *set = NULL;
	char text[4096];
	int len;
	int i;

	len = snprintf(text, sizeof(text),
		       "{\"objects\":[{\"kind\":\"service\",\"name\":\"s\","
		       "\"type\":\"%s\"%s},{\"kind\":\"account\",\"name\":"
		       "\"a\",\"key_hash\":\"%064d\",\"weight\":1},{\"kind\":"
		       "\"route\",\"name\":\"r\",\"path\":\"/s\",\"service\":"
		       "\"s\",\"idempotent\":%s,\"key\":\"%s\"}",
		       kind == KIND_MODEL ? "model" : "plain",
		       kind == KIND_MODEL ? ",\"layers\":4" : "", 1,
		       kind == KIND_MODEL ? "true" : "false",
		       kind == KIND_MODEL ? "optional" : "required");
	for (i = 0; i < (kind == KIND_MODEL ? 6 : 3); i++) {
		len += snprintf(text + len, sizeof(text) - (size_t)len,
				",{\"kind\":\"endpoint\",\"name\":\"e%d\","
				"\"service\":\"s\",\"data_centre\":\"d\","
				"\"address\":\"10.0.0.%d:80\","
				"\"concurrency\":%d",
				i, i + 1, step == STEP_ADMIT ? 1 : 8);
		if (kind == KIND_MODEL)
			len += snprintf(text + len, sizeof(text) - (size_t)len,
					",\"first_layer\":%d,\"last_layer\":%d,"
					"\"tokens_per_s\":100}",
					i < 3 ? 0 : 2, i < 3 ? 1 : 3);
		else
			len += snprintf(text + len, sizeof(text) - (size_t)len,
					",\"downstream_key\":\"%s\"}",
					kind == KIND_RESEND ? "resend"
							    : "none");
	}
	snprintf(text + len, sizeof(text) - (size_t)len, "]}");
	assert_int_equal(cfg_parse(text, strlen(text), &set, &faults), 0);
	set->revision = 1;
	return set;
}

static void mx_start(int router)
{
	struct core_settings set = {
		.cluster = "c",
		.data_centre = "d",
		.seed = 1,
		.progress_timeout_us = 400 * MX_MS,
		.first_token_timeout_us = 400 * MX_MS,
		.kv_timeout_us = 500 * MX_MS,
		.ledger = { .shards = 1,
			    .segment_bytes = 16384,
			    .call_timeout_us = 500 * MX_MS,
			    .batch_max = 64 },
	};
	struct core_event config = { .type = CORE_EV_CONFIG,
				     .config = mx_config() };

	snprintf(set.instance, sizeof(set.instance), "%c", 'a' + router);
	snprintf(set.ledger.instance, sizeof(set.ledger.instance), "%c",
		 'a' + router);
	set.incarnation = ++incarnations[router] * 2 + (uint64_t)router;
	set.ledger.incarnation = set.incarnation;
	stopped[router] = false;
	cores[router] = core_new(&set);
	core_post(cores[router], &config);
	core_tick(cores[router], now);
}

/* A caller's request; key 0 is the one that the fault strikes. */
static void mx_ask(int router, int key)
{
	struct core_event event = { .type = CORE_EV_ARRIVAL };
	struct core_arrival *a = &event.arrival;
	struct mx_ask *ask = &asks[ask_count];

	assert_true(ask_count < MX_ASKS);
	memset(ask, 0, sizeof(*ask));
	ask->router = router;
	ask->incarnation = incarnations[router];
	ask->key = key;
	ask->sent_us = now;
	ask->req = (uint64_t)++ask_count;
	a->req = ask->req;
	snprintf(a->account_key_hash, sizeof(a->account_key_hash), "%064d", 1);
	snprintf(a->path, sizeof(a->path), "/s");
	if (kind != KIND_MODEL)
		snprintf(a->key, sizeof(a->key), "K%d", key);
	a->fingerprint[0] = (uint8_t)(key + 1);
	a->prompt_tokens = 10;
	a->max_tokens = MX_TOKENS;
	a->timeout_ms = MX_DEADLINE;
	a->wall_ms = MX_WALL_MS + now / MX_MS;
	if (!cores[router])
		ask->closed_us = now; /* connection refused */
	else
		core_post(cores[router], &event);
}

static bool mx_alive(const struct mx_ask *ask)
{
	return cores[ask->router] &&
	       incarnations[ask->router] == ask->incarnation;
}

static void mx_kill(int router)
{
	int i;

	if (cores[router])
		core_free(cores[router]);
	cores[router] = NULL;
	stopped[router] = true;
	for (i = 0; i < MX_ATTS; i++) {
		if (asks[atts[i].ask].router == router)
			atts[i].open = false;
	}
	for (i = 0; i < ask_count; i++) {
		if (asks[i].router == router && !asks[i].closed_us)
			asks[i].closed_us = now;
	}
}

/* The endpoint that a fault strikes: the last stage of the attempt's chain. */
static int mx_target(const struct mx_att *att)
{
	return att ? att->eps[att->d.stage_count - 1] : 0;
}

/* Lets each fault strike once, when the first request reaches its step. */
static void mx_strike(enum mx_step at, const struct mx_att *att)
{
	if (!fired && at == step) {
		fired = true;
		mx_inflict(fault, att);
	} else if (fired && second && !fired_second && at == second_step) {
		fired_second = true;
		mx_inflict(second, att);
	}
}

static void mx_inflict(enum mx_fault which, const struct mx_att *att)
{
	struct mx_ep *ep = &eps[mx_target(att)];

	switch (which) {
	case FAULT_EP_KILLED:
		ep->dead = true;
		break;
	case FAULT_EP_HUNG:
		ep->hung_until = now + MX_HANG;
		break;
	case FAULT_EP_SLOW:
		ep->slow_until = MAG_NEVER;
		break;
	case FAULT_EP_WRONG:
		ep->wrong = true;
		break;
	case FAULT_LINK:
		link_cut = true;
		break;
	case FAULT_KILLED:
	case FAULT_RESTARTED:
		mx_kill(0);
		if (which == FAULT_RESTARTED)
			mx_start(0);
		break;
	case FAULT_PAUSED:
		paused_until[0] = now + MX_PAUSE;
		break;
	case FAULT_KV_DOWN:
		kv_down_until = now + MX_OUTAGE;
		break;
	case FAULT_KV_SLOW:
		kv_slow_until = now + MX_OUTAGE;
		break;
	case FAULT_KV_LOSE:
		kv_lose = true;
		break;
	case FAULT_KV_HANG:
		kv_hang = true;
		break;
	case FAULT_POISON:
		poison = true;
		break;
	case FAULT_TWO:
		mx_ask(1, 0);
		break;
	case FAULT_NONE:
	case FAULT_COUNT:
		break;
	}
}

static void mx_end(struct mx_att *att, enum core_end end, int stage)
{
	struct core_event event = { .type = CORE_EV_ENDED };
	const struct mx_ask *ask = &asks[att->ask];

	att->phase = ATT_NONE;
	if (!att->open || !mx_alive(ask))
		return;
	asks[att->ask].crossed = end == CORE_END_WRONG_IDS;
	event.ended.req = ask->req;
	event.ended.attempt = att->d.attempt;
	event.ended.end = end;
	event.ended.stage = stage;
	event.ended.status = end == CORE_END_COMPLETE ? 201 : 0;
	event.ended.tokens = att->tokens;
	if (end == CORE_END_COMPLETE && kind != KIND_MODEL &&
	    asprintf(&event.ended.answer, "booked for %d",
		     effect_ask[ask->key] + 1) > 0)
		event.ended.answer_len = strlen(event.ended.answer);
	core_post(cores[ask->router], &event);
}

/* The endpoint begins the work: this is the effect that counts. */
static void mx_effect(struct mx_att *att)
{
	struct mx_ask *ask = &asks[att->ask];

	ask->effect = true;
	if (kind == KIND_MODEL)
		return;
	if (kind == KIND_RESEND && effects[ask->key] > 0)
		return;
	effects[ask->key]++;
	effect_ask[ask->key] = att->ask;
	if (effects[ask->key] > 1)
		mx_bad("ran twice", att->ask);
}

/* One token from the last stage; the shell relays it to the caller. */
static void mx_token(struct mx_att *att)
{
	struct core_event event = { .type = CORE_EV_PROGRESS };
	struct mx_ask *ask = &asks[att->ask];
	uint32_t layer = 0;
	int i;

	for (i = 0; i < att->d.stage_count; i++) {
		if (att->d.stages[i].first_layer != layer)
			mx_bad("layers out of order", att->ask);
		layer = att->d.stages[i].last_layer + 1;
	}
	if (layer != MX_LAYERS)
		mx_bad("layers left out", att->ask);
	if (att->open && !att->cancelled && !ask->closed_us &&
	    ask->seen_count < 2 * MX_TOKENS)
		ask->seen[ask->seen_count++] = (int)att->tokens;
	att->tokens++;
	if (!att->open || !mx_alive(ask))
		return;
	event.progress.req = ask->req;
	event.progress.attempt = att->d.attempt;
	event.progress.tokens = att->tokens;
	core_post(cores[ask->router], &event);
}

static bool mx_first_attempt(const struct mx_att *att)
{
	return att->ask == target && att->d.attempt == 1;
}

/* Returns the first stage that is dead, or -1. */
static int mx_dead_stage(const struct mx_att *att)
{
	int i;

	for (i = 0; i < att->d.stage_count; i++) {
		if (eps[att->eps[i]].dead)
			return i;
	}
	return -1;
}

static bool mx_waits(const struct mx_att *att, int64_t *step_us)
{
	int i;

	*step_us = 10 * MX_MS;
	for (i = 0; i < att->d.stage_count; i++) {
		if (eps[att->eps[i]].hung_until > now)
			return true;
		if (eps[att->eps[i]].slow_until > now)
			*step_us = 300 * MX_MS;
	}
	return false;
}

static void mx_poisoned(const struct mx_att *att)
{
	eps[mx_target(att)].dead = true;
	eps[mx_target(att)].poisoned = true;
}

static void mx_run(struct mx_att *att, int64_t step_us)
{
	bool first = mx_first_attempt(att);
	int dead;

	att->at_us = now + step_us;
	if (att->phase == ATT_SENT) {
		att->phase = ATT_RUNS;
		mx_effect(att);
		if (poison && asks[att->ask].key == 0)
			mx_poisoned(att);
		if (first)
			mx_strike(STEP_FIRST, att);
		dead = mx_dead_stage(att);
		if (dead >= 0)
			mx_end(att,
			       dead ? CORE_END_STAGE : CORE_END_DISCONNECTED,
			       dead);
		return;
	}
	if (att->tokens < MX_TOKENS) {
		if (kind == KIND_MODEL)
			mx_token(att);
		else
			att->tokens++;
		if (first && att->tokens == MX_TOKENS / 2)
			mx_strike(STEP_MID, att);
		return;
	}
	if (first)
		mx_strike(STEP_LAST, att);
	if (eps[mx_target(att)].wrong) {
		eps[mx_target(att)].wrong = false;
		mx_end(att, CORE_END_WRONG_IDS, 0);
	} else {
		mx_end(att, CORE_END_COMPLETE, 0);
	}
}

/* Moves one attempt on at its endpoints. */
static void mx_attempt(struct mx_att *att)
{
	bool first = mx_first_attempt(att);
	int64_t step_us;
	int dead = mx_dead_stage(att);

	if (att->phase == ATT_NONE || att->at_us > now)
		return;
	if (first && poison && att->phase == ATT_RUNS)
		mx_poisoned(att);
	if (att->phase == ATT_CONNECT) {
		att->at_us = now + MX_MS;
		if (dead == 0 || link_cut) {
			link_cut = false;
			mx_end(att, CORE_END_NOT_CONNECTED, 0);
			return;
		}
		att->phase = ATT_SENT;
		if (first)
			mx_strike(STEP_SEND, att);
		return;
	}
	if (dead >= 0) {
		mx_end(att, dead ? CORE_END_STAGE : CORE_END_DISCONNECTED,
		       dead);
		return;
	}
	if (link_cut && first) {
		struct mx_att rest = *att;

		link_cut = false;
		mx_end(att, CORE_END_DISCONNECTED, 0);
		if (kind != KIND_MODEL) { /* the endpoint works on */
			*att = rest;
			att->open = false;
		}
		return;
	}
	if (mx_waits(att, &step_us))
		return;
	if (!att->open && kind == KIND_MODEL)
		att->phase = ATT_NONE; /* the engine sees its reader gone */
	else
		mx_run(att, step_us);
}

static void mx_dispatch(int router, const struct core_dispatch *d)
{
	struct mx_att *att = atts;
	int i;

	while (att->phase != ATT_NONE)
		att++;
	assert_true(att < atts + MX_ATTS);
	memset(att, 0, sizeof(*att));
	att->phase = ATT_CONNECT;
	att->ask = (int)d->req - 1;
	att->open = true;
	att->d = *d;
	att->tokens = d->resume_token;
	att->at_us = now + MX_MS;
	for (i = 0; i < d->stage_count; i++)
		att->eps[i] = d->stages[i].endpoint[1] - '0';
	if (mx_first_attempt(att))
		mx_strike(STEP_CONNECT, att);
	(void)router;
}

/* The shell closes the connection; a booking at work isn't undone by it. */
static void mx_cancel(const struct core_cancel *cancel)
{
	struct mx_att *att;

	for (att = atts; att < atts + MX_ATTS; att++) {
		struct mx_att rest = *att;

		if (att->phase == ATT_NONE || !att->open ||
		    att->ask != (int)cancel->req - 1 ||
		    att->d.attempt != cancel->attempt)
			continue;
		mx_end(att, CORE_END_CANCELLED, 0);
		if (kind != KIND_MODEL) {
			*att = rest;
			att->open = false;
		}
	}
}

static void mx_answer(struct core_answer *answer)
{
	struct mx_ask *ask = &asks[answer->req - 1];

	if (ask == &asks[target])
		mx_strike(STEP_ANSWER, NULL);
	if (++ask->answers > 1)
		mx_bad("two answers", (int)answer->req - 1);
	if (!ask->closed_us) {
		ask->closed_us = now;
		ask->heard = true;
		ask->outcome = answer->outcome;
		ask->status = answer->status;
		if (answer->kind == CORE_ANSWER_REPLAY)
			snprintf(ask->body, sizeof(ask->body), "%.*s",
				 (int)answer->body_len, answer->body);
		else if (answer->kind == CORE_ANSWER_RELAY)
			snprintf(ask->body, sizeof(ask->body), "booked for %d",
				 ask->crossed ? 0 : effect_ask[ask->key] + 1);
	}
	free(answer->body);
}

static struct mx_cell *mx_cell(const char *key)
{
	struct mx_cell *cell = cells;

	while (cell->key[0] && strcmp(cell->key, key) != 0)
		cell++;
	snprintf(cell->key, sizeof(cell->key), "%s", key);
	return cell;
}

static void mx_kv_call(int router, const struct kv_call *call)
{
	struct mx_call *c = calls;

	while (c->used)
		c++;
	assert_true(c < calls + MX_CALLS);
	memset(c, 0, sizeof(*c));
	c->used = true;
	c->router = router;
	c->incarnation = incarnations[router];
	c->call = *call;
	c->reply.id = call->id;
	if (router == 0 && call->op == KV_CAS)
		mx_strike(asks[target].effect ? STEP_SETTLE : STEP_RESERVE,
			  NULL);
	c->apply_us = now + (kv_slow_until > now ? 300 * MX_MS : MX_MS);
	c->reply_us = now + (kv_slow_until > now ? 600 * MX_MS : 2 * MX_MS);
}

/* The sender hears nothing; the write itself lands later, if it still can. */
static void mx_kv_hang(struct mx_call *c)
{
	struct mx_call *lost = calls;

	while (lost->used)
		lost++;
	assert_true(lost < calls + MX_CALLS);
	*lost = *c;
	lost->applied = true;
	lost->call.value = NULL;
	lost->reply.status = KV_NO_ANSWER;
	lost->reply_us = c->call.deadline_us;
	c->incarnation = 0; /* nobody waits for this one */
	c->call.deadline_us = MAG_NEVER;
	c->apply_us = c->reply_us = now + MX_LATE;
}

static void mx_kv_apply(struct mx_call *c)
{
	struct mx_cell *cell = mx_cell(c->call.key);

	if (kv_hang && c->call.op == KV_CAS) {
		kv_hang = false;
		mx_kv_hang(c);
		return;
	}
	c->applied = true;
	c->reply.status = KV_OK;
	if (kv_down_until > now) {
		c->reply.status = KV_NOT_SENT;
	} else if (c->call.op == KV_GET && !cell->version) {
		c->reply.status = KV_ABSENT;
	} else if (c->call.op == KV_GET) {
		c->reply.value = strdup(cell->value);
		c->reply.len = strlen(cell->value);
	} else if (c->call.version != cell->version) {
		c->reply.status = KV_CONFLICT;
	} else {
		free(cell->value);
		cell->value = strndup(c->call.value, c->call.len);
		cell->version++;
		if (kv_lose) {
			kv_lose = false;
			c->reply.status = KV_NO_ANSWER;
			c->reply_us = c->call.deadline_us;
		}
	}
	c->reply.version = cell->version;
	if (c->reply_us > c->call.deadline_us) {
		c->reply_us = c->call.deadline_us;
		c->reply.status = KV_NO_ANSWER;
	}
}

static void mx_kv_reply(struct mx_call *c)
{
	struct core_event event = { .type = CORE_EV_KV_REPLY };

	if (c->router == 0 && c->call.op == KV_CAS)
		mx_strike(STEP_PICK, NULL);
	event.kv = c->reply;
	if (cores[c->router] && c->incarnation == incarnations[c->router])
		core_post(cores[c->router], &event);
	else
		free(c->reply.value);
	free(c->call.value);
	memset(c, 0, sizeof(*c));
}

static void mx_actions(int router)
{
	struct core_action action;

	while (cores[router] && core_next_action(cores[router], &action)) {
		switch (action.type) {
		case CORE_ACT_DISPATCH:
			mx_dispatch(router, &action.dispatch);
			break;
		case CORE_ACT_CANCEL:
			mx_cancel(&action.cancel);
			break;
		case CORE_ACT_ANSWER:
			mx_answer(&action.answer);
			break;
		case CORE_ACT_KV:
			mx_kv_call(router, &action.kv);
			break;
		case CORE_ACT_STOPPED:
			stopped[router] = true;
			break;
		default:
			break;
		}
	}
}

/* Quarantines spread between the instances within a millisecond here. */
static void mx_spread(void)
{
	uint8_t print[MAG_DIGEST_BYTES];
	uint32_t lost;
	int64_t until;
	int i;

	for (i = 0; i < 2; i++) {
		while (cores[i] &&
		       core_next_quarantine(cores[i], print, &lost, &until)) {
			if (cores[1 - i])
				core_merge_quarantine(cores[1 - i], print, lost,
						      until);
		}
	}
}

/* The caller: sends again until it has its answer, five times at most. */
static void mx_caller(void)
{
	struct mx_ask *last = NULL;
	int i;

	for (i = 0; i < ask_count; i++) {
		if (!asks[i].closed_us &&
		    asks[i].sent_us + (MX_DEADLINE + 100) * MX_MS <= now)
			asks[i].closed_us = now; /* gives up waiting */
		if (asks[i].key == 0)
			last = &asks[i];
	}
	for (i = 0; i < ask_count; i++) {
		if (asks[i].key == 0 && !asks[i].closed_us)
			return;
		if (asks[i].key == 0 && asks[i].heard &&
		    asks[i].outcome == MAG_RAN)
			return;
	}
	if (last && repeats < MX_REPEATS &&
	    last->closed_us + 1200 * MX_MS <= now) {
		repeats++;
		i = fault == FAULT_RESTARTED ? 0 : 1 - last->router;
		mx_ask(cores[i] ? i : 1 - i, 0);
	}
}

static void mx_step_world(void)
{
	int i;

	for (i = 0; i < MX_CALLS; i++) {
		if (calls[i].used && !calls[i].applied &&
		    calls[i].apply_us <= now)
			mx_kv_apply(&calls[i]);
		if (calls[i].used && calls[i].applied &&
		    calls[i].reply_us <= now)
			mx_kv_reply(&calls[i]);
	}
	for (i = 0; i < MX_ATTS; i++)
		mx_attempt(&atts[i]);
	for (i = 0; i < 2; i++) {
		if (!cores[i] || paused_until[i] > now)
			continue;
		core_tick(cores[i], now);
		mx_actions(i);
	}
	mx_spread();
	mx_caller();
}

/* What was told against what ran. */
static void mx_check_ask(int i)
{
	const struct mx_ask *ask = &asks[i];
	bool ran = ask->heard && ask->outcome == MAG_RAN;
	char right[32];
	int j;

	if (ask->heard && ask->outcome == MAG_NOT_RUN) {
		for (j = 0; j <= i; j++) {
			bool earlier = kind != KIND_MODEL &&
				       asks[j].key == ask->key &&
				       asks[j].closed_us <= ask->sent_us;

			if ((j == i || earlier) && asks[j].effect)
				mx_bad("told not-run, and it ran", i);
		}
	}
	if (!ask->answers && mx_alive(ask))
		mx_bad("no answer", i);
	if (!ask->heard && mx_alive(ask) && paused_until[ask->router] == 0)
		mx_bad("no answer in time", i);
	if (!ran)
		return;
	snprintf(right, sizeof(right), "booked for %d",
		 effect_ask[ask->key] + 1);
	if (kind != KIND_MODEL &&
	    (!effects[ask->key] || strcmp(ask->body, right) != 0))
		mx_bad("told another's answer", i);
	for (j = 0; kind == KIND_MODEL && j < MX_TOKENS; j++) {
		if (ask->seen_count != MX_TOKENS || ask->seen[j] != j)
			mx_bad("tokens lost, doubled or out of order", i);
	}
}

static void mx_stop(void);

static void mx_check(void)
{
	int dead = 0;
	int i;

	for (i = 0; i < ask_count; i++)
		mx_check_ask(i);
	for (i = 0; i < MX_EPS; i++)
		dead += eps[i].poisoned;
	/*
	 * A router that is killed takes along what it knew of the losses, so
	 * the other one counts from nothing.
	 */
	if (dead > MX_POISON_EP * (1 + (incarnations[0] > 1 || !cores[0])))
		mx_bad("lost too many endpoints", 0);
	mx_stop();
}

/* A stop finishes what runs and ends, whatever happened before. */
static void mx_stop(void)
{
	struct core_event stop = { .type = CORE_EV_STOP };
	int64_t end = now + MX_STOP;
	int i;

	repeats = MX_REPEATS;
	for (i = 0; i < 2; i++) {
		if (cores[i])
			core_post(cores[i], &stop);
	}
	for (; now < end && !(stopped[0] && stopped[1]); now += MX_MS)
		mx_step_world();
	for (i = 0; i < 2; i++) {
		if (cores[i] && !stopped[i])
			mx_bad("a stopped instance doesn't end", 0);
	}
}

static void mx_reset(void)
{
	int i;

	for (i = 0; i < 2; i++) {
		if (cores[i])
			core_free(cores[i]);
		cores[i] = NULL;
	}
	for (i = 0; i < MX_CALLS; i++) {
		free(calls[i].call.value);
		free(calls[i].reply.value);
	}
	for (i = 0; i < MX_CELLS; i++)
		free(cells[i].value);
	memset(incarnations, 0, sizeof(incarnations));
	memset(paused_until, 0, sizeof(paused_until));
	memset(eps, 0, sizeof(eps));
	memset(asks, 0, sizeof(asks));
	memset(atts, 0, sizeof(atts));
	memset(calls, 0, sizeof(calls));
	memset(cells, 0, sizeof(cells));
	memset(effects, 0, sizeof(effects));
	memset(effect_ask, 0, sizeof(effect_ask));
	ask_count = target = repeats = 0;
	now = MAG_US_PER_S;
	kv_down_until = kv_slow_until = 0;
	kv_lose = kv_hang = link_cut = poison = fired = false;
	fired_second = false;
	verdict[0] = '\0';
}

/* True once the caller is done and nothing is under way anywhere. */
static bool mx_quiet(void)
{
	bool done = repeats == MX_REPEATS;
	int i;

	for (i = 0; i < ask_count; i++) {
		if (!asks[i].closed_us)
			return false;
		done |= asks[i].key == 0 && asks[i].heard &&
			asks[i].outcome == MAG_RAN;
	}
	for (i = 0; i < MX_ATTS; i++)
		done &= atts[i].phase == ATT_NONE;
	for (i = 0; i < MX_CALLS; i++)
		done &= !calls[i].used;
	/* A router that wakes still has to do what piled up. */
	return done && paused_until[0] + MX_WAKE < now;
}

/* Runs one cell and writes what a reader needs to know of it. */
static bool mx_run_cell(char *text, size_t size)
{
	const char *end = "no answer";
	int asked = 0;
	int i;

	mx_reset();
	mx_start(0);
	mx_start(1);
	for (i = 1; step == STEP_ADMIT && i <= MX_FILLERS; i++) {
		mx_ask(0, i); /* they fill the endpoints */
		mx_step_world();
		now += MX_MS;
	}
	for (; now < MAG_US_PER_S + 20 * MX_MS && step == STEP_ADMIT;
	     now += MX_MS)
		mx_step_world();
	target = ask_count;
	mx_ask(0, 0);
	mx_strike(STEP_ACCEPT, NULL);
	for (i = 0; now < MX_END && !(i > 10 && mx_quiet());
	     now += MX_MS, i++) {
		mx_step_world();
		if (i == 0)
			mx_strike(STEP_IDENTIFY, NULL);
		if (i == 5)
			mx_strike(STEP_ADMIT, NULL);
	}
	mx_check();
	for (i = 0; i < ask_count; i++) {
		if (asks[i].key != 0)
			continue;
		asked++;
		if (asks[i].heard && strcmp(end, "ran") != 0)
			end = mag_outcome_name(asks[i].outcome);
	}
	if (second && !fired_second)
		fired = false;
	if (!fired)
		snprintf(text, size, "-");
	else if (verdict[0])
		snprintf(text, size, "RED");
	else
		snprintf(text, size, "%s %d", end, asked);
	return !verdict[0];
}

/* One table: a fault a row, a step a column. */
static void mx_table(FILE *out, int *counts)
{
	char reds[8192] = "";
	char text[64];
	int f;
	int s;

	fprintf(out, "\n## %s", kind_names[kind]);
	if (second)
		fprintf(out, "; then %s at the step %s", fault_names[second],
			step_names[second_step]);
	fprintf(out, "\n\n| fault |");
	for (s = 0; s < STEP_COUNT; s++)
		fprintf(out, " %s |", step_names[s]);
	fprintf(out, "\n|---|");
	for (s = 0; s < STEP_COUNT; s++)
		fprintf(out, "---|");
	for (f = 0; f < FAULT_COUNT; f++) {
		fprintf(out, "\n| %s |", fault_names[f]);
		for (s = 0; s < STEP_COUNT; s++) {
			size_t len = strlen(reds);

			step = (enum mx_step)s;
			fault = (enum mx_fault)f;
			if (!mx_run_cell(text, sizeof(text)))
				snprintf(reds + len, sizeof(reds) - len,
					 "- RED %s, %s: %s\n", fault_names[f],
					 step_names[s], verdict);
			counts[fired ? (verdict[0] ? 1 : 0) : 2]++;
			fprintf(out, " %s |", text);
		}
	}
	fprintf(out, "\n%s%s", reds[0] ? "\n" : "", reds);
}

/*
 * With FAULTS_PAIRS set to a file: more pairs, every fault at every step
 * followed by one of these.  It takes minutes, so the page doesn't hold it.
 */
static void mx_more_pairs(void)
{
	static const enum mx_fault seconds[] = {
		FAULT_KILLED,  FAULT_PAUSED,	FAULT_KV_DOWN,
		FAULT_KV_LOSE, FAULT_EP_KILLED, FAULT_LINK,
	};
	int counts[3] = { 0 };
	FILE *out;
	size_t i;
	int s;

	if (!getenv("FAULTS_PAIRS"))
		return;
	out = fopen(getenv("FAULTS_PAIRS"), "w");
	assert_non_null(out);
	for (i = 0; i < KIND_COUNT * MAG_ARRAY_SIZE(seconds); i++) {
		kind = (enum mx_kind)(i % KIND_COUNT);
		second = seconds[i / KIND_COUNT];
		for (s = STEP_RESERVE; s < STEP_COUNT; s++) {
			second_step = (enum mx_step)s;
			mx_table(out, counts);
		}
	}
	fprintf(out, "\n%d proved, %d red, %d that do not occur.\n", counts[0],
		counts[1], counts[2]);
	fclose(out);
}

static void mx_write(FILE *out, int *counts)
{
	int k;

	fputs("# The fault matrix\n\n"
	      "Written by `make faults` from a run of `regress/check_matrix.c`"
	      "; the check fails if\nthis page differs from its run. Two cores"
	      ", a key-value table and endpoints in\nvirtual time; one fault "
	      "strikes one step of a request, and the caller sends it\nagain "
	      "through the other instance until it has its answer, six times at"
	      " most.\n\nA cell is proved when the checker finds no "
	      "contradiction between what the\nendpoints ran and what the "
	      "caller was told: a booking runs once at most; nothing\nran that "
	      "was told `not-run`; each answer is the caller's own; each token "
	      "comes\nonce, in order, through all layers; one answer a request"
	      "; at most two endpoints\nare lost to a poisonous request, two "
	      "more if a router that knew of it is killed;\neach instance ends "
	      "once it is stopped. A proved cell shows the best that the\n"
	      "caller heard and how often it sent. `-`: the step does not "
	      "occur "
	      "there (a stream\nneeds no record). Not run here: faults on the "
	      "control side (publishing, "
	      "membership,\nplacement) and on real processes; their scripts "
	      "are in `regress/pub`,\n`regress/fleet` and `regress/proc`.\n",
	      out);
	for (k = 0; k < KIND_COUNT; k++) {
		kind = (enum mx_kind)k;
		mx_table(out, counts);
	}
	second = FAULT_KILLED;
	second_step = STEP_ANSWER;
	for (k = KIND_BOOKING; k < KIND_COUNT; k++) {
		kind = (enum mx_kind)k;
		mx_table(out, counts);
	}
	mx_more_pairs();
	second = FAULT_NONE;
	fprintf(out, "\n%d proved, %d red, %d that do not occur.\n", counts[0],
		counts[1], counts[2]);
}

/* The committed page must be what the run says, and show no red cell. */
static void test_matrix(void **state)
{
	int counts[3] = { 0 };
	char *text = NULL;
	char *page = NULL;
	size_t len = 0;
	size_t size = 0;
	FILE *out = open_memstream(&text, &len);

	(void)state;
	mx_write(out, counts);
	fclose(out);
	if (getenv("FAULTS_WRITE")) {
		out = fopen("docs/FAULTS.md", "w");
		assert_non_null(out);
		fputs(text, out);
		fclose(out);
	}
	out = fopen("docs/FAULTS.md", "r");
	assert_non_null(out);
	assert_true(getdelim(&page, &size, '\0', out) > 0);
	fclose(out);
	mx_reset();
	assert_string_equal(text, page);
	assert_int_equal(counts[1], 0);
	free(text);
	free(page);
}

int main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(test_matrix) };

	log_set_sink(NULL, NULL);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
