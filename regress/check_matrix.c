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
 * The fault matrix: two cores, a key-value table and endpoints, all in memory
 * and in virtual time.  A caller sends a request through the first core, and
 * one fault is injected at one step of the request.  The caller retries
 * through the other core until it receives an answer or gives up.  A checker
 * then compares what the endpoints ran with what the caller was told.
 * docs/FAULTS.md holds the resulting tables; FAULTS_WRITE=1 writes it.
 */

#define MX_MS		    MAG_US_PER_MS
#define MX_TOKENS	    8
#define MX_LAYERS	    4
#define MX_FILLERS	    3 /* requests that occupy the endpoints */
#define MX_REQUESTS	    16
#define MX_ATTEMPTS	    64
#define MX_CALLS	    64
#define MX_KV_ENTRIES	    16
#define MX_ENDPOINTS	    6
#define MX_REPEATS	    5
#define MX_DEADLINE	    3000 /* of a request, ms */
#define MX_OUTAGE	    (1500 * MX_MS)
#define MX_HANG		    (5000 * MX_MS) /* duration of a hang */
#define MX_LATE		    (2500 * MX_MS) /* delay of a late write */
#define MX_WAKE		    (50 * MX_MS)
#define MX_PAUSE	    (4000 * MX_MS)
#define MX_END		    (60 * MAG_US_PER_S)
#define MX_STOP		    (60 * MAG_US_PER_S)
#define MX_WALL_MS	    INT64_C(1800000000000)
#define MX_POISON_ENDPOINTS 2 /* a request may kill at most this many */

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

struct mx_endpoint {
	bool dead, wrong;
	bool poisoned; /* killed by the poison request */
	int64_t hung_until, slow_until;
};

struct mx_request {
	int router;
	uint64_t req;
	int key;
	uint64_t incarnation;
	int64_t sent_us, closed_us; /* closed: answered or abandoned */
	int answers, status;
	bool received;	/* the answer came before closed_us */
	bool wrong_ids; /* the last attempt ended with wrong ids */
	enum mag_outcome outcome;
	char body[32];
	int seen[2 * MX_TOKENS], seen_count;
	bool effect; /* an endpoint started the work */
};

struct mx_attempt {
	enum mx_phase phase;
	int request;
	bool open, cancelled; /* state of the connection */
	int endpoints[MAG_CHAIN_MAX];
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

struct mx_kv_entry {
	char key[KV_KEY_MAX];
	char *value;
	uint64_t version;
};

static struct core *cores[2];
static uint64_t incarnations[2];
static int64_t paused_until[2];
static struct mx_endpoint endpoints[MX_ENDPOINTS];
static struct mx_request requests[MX_REQUESTS];
static struct mx_attempt attempts[MX_ATTEMPTS];
static struct mx_call calls[MX_CALLS];
static struct mx_kv_entry kv_entries[MX_KV_ENTRIES];
static int request_count, target, repeats, effects[MX_REQUESTS],
	effect_request[MX_REQUESTS];
static int64_t now, kv_down_until, kv_slow_until;
static bool stopped[2];
static bool kv_lose_reply, kv_hang, link_cut, poison, injected;
static enum mx_kind kind;
static enum mx_step step;
static enum mx_fault fault;
static enum mx_step second_step; /* second fault of a pair */
static enum mx_fault second;	 /* FAULT_NONE: no pair */
static bool injected_second;
static char violation[256];

static void mx_reach_step(enum mx_step at, const struct mx_attempt *attempt);
static void mx_inject(enum mx_fault which, const struct mx_attempt *attempt);

static void mx_violation(const char *what, int request)
{
	if (!violation[0])
		snprintf(violation, sizeof(violation), "%s (request %d)", what,
			 request + 1);
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

static void mx_start_router(int router)
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

/* Sends a caller's request; the fault hits the request with key 0. */
static void mx_send_request(int router, int key)
{
	struct core_event event = { .type = CORE_EV_ARRIVAL };
	struct core_arrival *a = &event.arrival;
	struct mx_request *request = &requests[request_count];

	assert_true(request_count < MX_REQUESTS);
	memset(request, 0, sizeof(*request));
	request->router = router;
	request->incarnation = incarnations[router];
	request->key = key;
	request->sent_us = now;
	request->req = (uint64_t)++request_count;
	a->req = request->req;
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
		request->closed_us = now; /* connection refused */
	else
		core_post(cores[router], &event);
}

static bool mx_router_alive(const struct mx_request *request)
{
	return cores[request->router] &&
	       incarnations[request->router] == request->incarnation;
}

static void mx_kill_router(int router)
{
	int i;

	if (cores[router])
		core_free(cores[router]);
	cores[router] = NULL;
	stopped[router] = true;
	for (i = 0; i < MX_ATTEMPTS; i++) {
		if (requests[attempts[i].request].router == router)
			attempts[i].open = false;
	}
	for (i = 0; i < request_count; i++) {
		if (requests[i].router == router && !requests[i].closed_us)
			requests[i].closed_us = now;
	}
}

/* Returns the endpoint to fault: the last stage of the attempt's chain. */
static int mx_target_endpoint(const struct mx_attempt *attempt)
{
	return attempt ? attempt->endpoints[attempt->d.stage_count - 1] : 0;
}

/* Injects each fault once, when the target request reaches its step. */
static void mx_reach_step(enum mx_step at, const struct mx_attempt *attempt)
{
	if (!injected && at == step) {
		injected = true;
		mx_inject(fault, attempt);
	} else if (injected && second && !injected_second &&
		   at == second_step) {
		injected_second = true;
		mx_inject(second, attempt);
	}
}

static void mx_inject(enum mx_fault which, const struct mx_attempt *attempt)
{
	struct mx_endpoint *ep = &endpoints[mx_target_endpoint(attempt)];

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
		mx_kill_router(0);
		if (which == FAULT_RESTARTED)
			mx_start_router(0);
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
		kv_lose_reply = true;
		break;
	case FAULT_KV_HANG:
		kv_hang = true;
		break;
	case FAULT_POISON:
		poison = true;
		break;
	case FAULT_TWO:
		mx_send_request(1, 0);
		break;
	case FAULT_NONE:
	case FAULT_COUNT:
		break;
	}
}

static void mx_end_attempt(struct mx_attempt *attempt, enum core_end end,
			   int stage)
{
	struct core_event event = { .type = CORE_EV_ENDED };
	const struct mx_request *request = &requests[attempt->request];

	attempt->phase = ATT_NONE;
	if (!attempt->open || !mx_router_alive(request))
		return;
	requests[attempt->request].wrong_ids = end == CORE_END_WRONG_IDS;
	event.ended.req = request->req;
	event.ended.attempt = attempt->d.attempt;
	event.ended.end = end;
	event.ended.stage = stage;
	event.ended.status = end == CORE_END_COMPLETE ? 201 : 0;
	event.ended.tokens = attempt->tokens;
	if (end == CORE_END_COMPLETE && kind != KIND_MODEL &&
	    asprintf(&event.ended.answer, "booked for %d",
		     effect_request[request->key] + 1) > 0)
		event.ended.answer_len = strlen(event.ended.answer);
	core_post(cores[request->router], &event);
}

/* Records that an endpoint starts the work; this counts as the effect. */
static void mx_record_effect(struct mx_attempt *attempt)
{
	struct mx_request *request = &requests[attempt->request];

	request->effect = true;
	if (kind == KIND_MODEL)
		return;
	if (kind == KIND_RESEND && effects[request->key] > 0)
		return;
	effects[request->key]++;
	effect_request[request->key] = attempt->request;
	if (effects[request->key] > 1)
		mx_violation("ran twice", attempt->request);
}

/* Relays a token of the last stage to the caller and reports progress. */
static void mx_deliver_token(struct mx_attempt *attempt)
{
	struct core_event event = { .type = CORE_EV_PROGRESS };
	struct mx_request *request = &requests[attempt->request];
	uint32_t layer = 0;
	int i;

	for (i = 0; i < attempt->d.stage_count; i++) {
		if (attempt->d.stages[i].first_layer != layer)
			mx_violation("layers out of order", attempt->request);
		layer = attempt->d.stages[i].last_layer + 1;
	}
	if (layer != MX_LAYERS)
		mx_violation("layers left out", attempt->request);
	if (attempt->open && !attempt->cancelled && !request->closed_us &&
	    request->seen_count < 2 * MX_TOKENS)
		request->seen[request->seen_count++] = (int)attempt->tokens;
	attempt->tokens++;
	if (!attempt->open || !mx_router_alive(request))
		return;
	event.progress.req = request->req;
	event.progress.attempt = attempt->d.attempt;
	event.progress.tokens = attempt->tokens;
	core_post(cores[request->router], &event);
}

static bool mx_first_attempt(const struct mx_attempt *attempt)
{
	return attempt->request == target && attempt->d.attempt == 1;
}

/* Returns the index of the first dead stage, or -1. */
static int mx_dead_stage(const struct mx_attempt *attempt)
{
	int i;

	for (i = 0; i < attempt->d.stage_count; i++) {
		if (endpoints[attempt->endpoints[i]].dead)
			return i;
	}
	return -1;
}

static bool mx_is_blocked(const struct mx_attempt *attempt, int64_t *step_us)
{
	int i;

	*step_us = 10 * MX_MS;
	for (i = 0; i < attempt->d.stage_count; i++) {
		if (endpoints[attempt->endpoints[i]].hung_until > now)
			return true;
		if (endpoints[attempt->endpoints[i]].slow_until > now)
			*step_us = 300 * MX_MS;
	}
	return false;
}

static void mx_poison_endpoint(const struct mx_attempt *attempt)
{
	endpoints[mx_target_endpoint(attempt)].dead = true;
	endpoints[mx_target_endpoint(attempt)].poisoned = true;
}

static void mx_run_attempt(struct mx_attempt *attempt, int64_t step_us)
{
	bool first = mx_first_attempt(attempt);
	int dead;

	attempt->at_us = now + step_us;
	if (attempt->phase == ATT_SENT) {
		attempt->phase = ATT_RUNS;
		mx_record_effect(attempt);
		if (poison && requests[attempt->request].key == 0)
			mx_poison_endpoint(attempt);
		if (first)
			mx_reach_step(STEP_FIRST, attempt);
		dead = mx_dead_stage(attempt);
		if (dead >= 0)
			mx_end_attempt(attempt,
				       dead ? CORE_END_STAGE
					    : CORE_END_DISCONNECTED,
				       dead);
		return;
	}
	if (attempt->tokens < MX_TOKENS) {
		if (kind == KIND_MODEL)
			mx_deliver_token(attempt);
		else
			attempt->tokens++;
		if (first && attempt->tokens == MX_TOKENS / 2)
			mx_reach_step(STEP_MID, attempt);
		return;
	}
	if (first)
		mx_reach_step(STEP_LAST, attempt);
	if (endpoints[mx_target_endpoint(attempt)].wrong) {
		endpoints[mx_target_endpoint(attempt)].wrong = false;
		mx_end_attempt(attempt, CORE_END_WRONG_IDS, 0);
	} else {
		mx_end_attempt(attempt, CORE_END_COMPLETE, 0);
	}
}

/* Advances an attempt by one step at its endpoints. */
static void mx_advance_attempt(struct mx_attempt *attempt)
{
	bool first = mx_first_attempt(attempt);
	int64_t step_us;
	int dead = mx_dead_stage(attempt);

	if (attempt->phase == ATT_NONE || attempt->at_us > now)
		return;
	if (first && poison && attempt->phase == ATT_RUNS)
		mx_poison_endpoint(attempt);
	if (attempt->phase == ATT_CONNECT) {
		attempt->at_us = now + MX_MS;
		if (dead == 0 || link_cut) {
			link_cut = false;
			mx_end_attempt(attempt, CORE_END_NOT_CONNECTED, 0);
			return;
		}
		attempt->phase = ATT_SENT;
		if (first)
			mx_reach_step(STEP_SEND, attempt);
		return;
	}
	if (dead >= 0) {
		mx_end_attempt(attempt,
			       dead ? CORE_END_STAGE : CORE_END_DISCONNECTED,
			       dead);
		return;
	}
	if (link_cut && first) {
		struct mx_attempt saved = *attempt;

		link_cut = false;
		mx_end_attempt(attempt, CORE_END_DISCONNECTED, 0);
		if (kind != KIND_MODEL) { /* the endpoint continues */
			*attempt = saved;
			attempt->open = false;
		}
		return;
	}
	if (mx_is_blocked(attempt, &step_us))
		return;
	if (!attempt->open && kind == KIND_MODEL)
		attempt->phase = ATT_NONE; /* engine detects the disconnect */
	else
		mx_run_attempt(attempt, step_us);
}

static void mx_dispatch(int router, const struct core_dispatch *d)
{
	struct mx_attempt *attempt = attempts;
	int i;

	while (attempt->phase != ATT_NONE)
		attempt++;
	assert_true(attempt < attempts + MX_ATTEMPTS);
	memset(attempt, 0, sizeof(*attempt));
	attempt->phase = ATT_CONNECT;
	attempt->request = (int)d->req - 1;
	attempt->open = true;
	attempt->d = *d;
	attempt->tokens = d->resume_token;
	attempt->at_us = now + MX_MS;
	for (i = 0; i < d->stage_count; i++)
		attempt->endpoints[i] = d->stages[i].endpoint[1] - '0';
	if (mx_first_attempt(attempt))
		mx_reach_step(STEP_CONNECT, attempt);
	(void)router;
}

/* Closes the connection; a booking that has started continues. */
static void mx_cancel(const struct core_cancel *cancel)
{
	struct mx_attempt *attempt;

	for (attempt = attempts; attempt < attempts + MX_ATTEMPTS; attempt++) {
		struct mx_attempt saved = *attempt;

		if (attempt->phase == ATT_NONE || !attempt->open ||
		    attempt->request != (int)cancel->req - 1 ||
		    attempt->d.attempt != cancel->attempt)
			continue;
		mx_end_attempt(attempt, CORE_END_CANCELLED, 0);
		if (kind != KIND_MODEL) {
			*attempt = saved;
			attempt->open = false;
		}
	}
}

static void mx_answer(struct core_answer *answer)
{
	struct mx_request *request = &requests[answer->req - 1];

	if (request == &requests[target])
		mx_reach_step(STEP_ANSWER, NULL);
	if (++request->answers > 1)
		mx_violation("two answers", (int)answer->req - 1);
	if (!request->closed_us) {
		request->closed_us = now;
		request->received = true;
		request->outcome = answer->outcome;
		request->status = answer->status;
		if (answer->kind == CORE_ANSWER_REPLAY)
			snprintf(request->body, sizeof(request->body), "%.*s",
				 (int)answer->body_len, answer->body);
		else if (answer->kind == CORE_ANSWER_RELAY)
			snprintf(request->body, sizeof(request->body),
				 "booked for %d",
				 request->wrong_ids
					 ? 0
					 : effect_request[request->key] + 1);
	}
	free(answer->body);
}

static struct mx_kv_entry *mx_kv_find(const char *key)
{
	struct mx_kv_entry *entry = kv_entries;

	while (entry->key[0] && strcmp(entry->key, key) != 0)
		entry++;
	snprintf(entry->key, sizeof(entry->key), "%s", key);
	return entry;
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
		mx_reach_step(requests[target].effect ? STEP_SETTLE
						      : STEP_RESERVE,
			      NULL);
	c->apply_us = now + (kv_slow_until > now ? 300 * MX_MS : MX_MS);
	c->reply_us = now + (kv_slow_until > now ? 600 * MX_MS : 2 * MX_MS);
}

/*
 * The caller of the write gets no reply before its deadline; the write is
 * applied MX_LATE later, if its version still matches.
 */
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
	c->incarnation = 0; /* its reply is discarded */
	c->call.deadline_us = MAG_NEVER;
	c->apply_us = c->reply_us = now + MX_LATE;
}

static void mx_kv_apply(struct mx_call *c)
{
	struct mx_kv_entry *entry = mx_kv_find(c->call.key);

	if (kv_hang && c->call.op == KV_CAS) {
		kv_hang = false;
		mx_kv_hang(c);
		return;
	}
	c->applied = true;
	c->reply.status = KV_OK;
	if (kv_down_until > now) {
		c->reply.status = KV_NOT_SENT;
	} else if (c->call.op == KV_GET && !entry->version) {
		c->reply.status = KV_ABSENT;
	} else if (c->call.op == KV_GET) {
		c->reply.value = strdup(entry->value);
		c->reply.len = strlen(entry->value);
	} else if (c->call.version != entry->version) {
		c->reply.status = KV_CONFLICT;
	} else {
		free(entry->value);
		entry->value = strndup(c->call.value, c->call.len);
		entry->version++;
		if (kv_lose_reply) {
			kv_lose_reply = false;
			c->reply.status = KV_NO_ANSWER;
			c->reply_us = c->call.deadline_us;
		}
	}
	c->reply.version = entry->version;
	if (c->reply_us > c->call.deadline_us) {
		c->reply_us = c->call.deadline_us;
		c->reply.status = KV_NO_ANSWER;
	}
}

static void mx_kv_reply(struct mx_call *c)
{
	struct core_event event = { .type = CORE_EV_KV_REPLY };

	if (c->router == 0 && c->call.op == KV_CAS)
		mx_reach_step(STEP_PICK, NULL);
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

/* Spreads quarantines between the instances, within one step of 1 ms. */
static void mx_spread(void)
{
	uint8_t fingerprint[MAG_DIGEST_BYTES];
	uint32_t lost;
	int64_t until;
	int i;

	for (i = 0; i < 2; i++) {
		while (cores[i] && core_next_quarantine(cores[i], fingerprint,
							&lost, &until)) {
			if (cores[1 - i])
				core_merge_quarantine(cores[1 - i], fingerprint,
						      lost, until);
		}
	}
}

/* Resends the caller's request until it is answered, at most five times. */
static void mx_retry(void)
{
	struct mx_request *last = NULL;
	int i;

	for (i = 0; i < request_count; i++) {
		if (!requests[i].closed_us &&
		    requests[i].sent_us + (MX_DEADLINE + 100) * MX_MS <= now)
			requests[i].closed_us = now; /* times out */
		if (requests[i].key == 0)
			last = &requests[i];
	}
	for (i = 0; i < request_count; i++) {
		if (requests[i].key == 0 && !requests[i].closed_us)
			return;
		if (requests[i].key == 0 && requests[i].received &&
		    requests[i].outcome == MAG_RAN)
			return;
	}
	if (last && repeats < MX_REPEATS &&
	    last->closed_us + 1200 * MX_MS <= now) {
		repeats++;
		i = fault == FAULT_RESTARTED ? 0 : 1 - last->router;
		mx_send_request(cores[i] ? i : 1 - i, 0);
	}
}

static void mx_step_all(void)
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
	for (i = 0; i < MX_ATTEMPTS; i++)
		mx_advance_attempt(&attempts[i]);
	for (i = 0; i < 2; i++) {
		if (!cores[i] || paused_until[i] > now)
			continue;
		core_tick(cores[i], now);
		mx_actions(i);
	}
	mx_spread();
	mx_retry();
}

/* Compares the outcome that the caller was told with what ran. */
static void mx_check_request(int i)
{
	const struct mx_request *request = &requests[i];
	bool ran = request->received && request->outcome == MAG_RAN;
	char expected[32];
	int j;

	if (request->received && request->outcome == MAG_NOT_RUN) {
		for (j = 0; j <= i; j++) {
			bool earlier =
				kind != KIND_MODEL &&
				requests[j].key == request->key &&
				requests[j].closed_us <= request->sent_us;

			if ((j == i || earlier) && requests[j].effect)
				mx_violation("told not-run, and it ran", i);
		}
	}
	if (!request->answers && mx_router_alive(request))
		mx_violation("no answer", i);
	if (!request->received && mx_router_alive(request) &&
	    paused_until[request->router] == 0)
		mx_violation("no answer in time", i);
	if (!ran)
		return;
	snprintf(expected, sizeof(expected), "booked for %d",
		 effect_request[request->key] + 1);
	if (kind != KIND_MODEL &&
	    (!effects[request->key] || strcmp(request->body, expected) != 0))
		mx_violation("told another's answer", i);
	for (j = 0; kind == KIND_MODEL && j < MX_TOKENS; j++) {
		if (request->seen_count != MX_TOKENS || request->seen[j] != j)
			mx_violation("tokens lost, doubled or out of order", i);
	}
}

static void mx_stop(void);

static void mx_check(void)
{
	int dead = 0;
	int i;

	for (i = 0; i < request_count; i++)
		mx_check_request(i);
	for (i = 0; i < MX_ENDPOINTS; i++)
		dead += endpoints[i].poisoned;
	/*
	 * A killed router loses its count of killed endpoints, so the other
	 * router starts counting from zero.
	 */
	if (dead >
	    MX_POISON_ENDPOINTS * (1 + (incarnations[0] > 1 || !cores[0])))
		mx_violation("lost too many endpoints", 0);
	mx_stop();
}

/* Checks that a stop finishes open requests and ends after any fault. */
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
		mx_step_all();
	for (i = 0; i < 2; i++) {
		if (cores[i] && !stopped[i])
			mx_violation("a stopped instance doesn't end", 0);
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
	for (i = 0; i < MX_KV_ENTRIES; i++)
		free(kv_entries[i].value);
	memset(incarnations, 0, sizeof(incarnations));
	memset(paused_until, 0, sizeof(paused_until));
	memset(endpoints, 0, sizeof(endpoints));
	memset(requests, 0, sizeof(requests));
	memset(attempts, 0, sizeof(attempts));
	memset(calls, 0, sizeof(calls));
	memset(kv_entries, 0, sizeof(kv_entries));
	memset(effects, 0, sizeof(effects));
	memset(effect_request, 0, sizeof(effect_request));
	request_count = target = repeats = 0;
	now = MAG_US_PER_S;
	kv_down_until = kv_slow_until = 0;
	kv_lose_reply = kv_hang = link_cut = poison = injected = false;
	injected_second = false;
	violation[0] = '\0';
}

/* Tells whether the caller is done and no attempt or call is pending. */
static bool mx_is_idle(void)
{
	bool done = repeats == MX_REPEATS;
	int i;

	for (i = 0; i < request_count; i++) {
		if (!requests[i].closed_us)
			return false;
		done |= requests[i].key == 0 && requests[i].received &&
			requests[i].outcome == MAG_RAN;
	}
	for (i = 0; i < MX_ATTEMPTS; i++)
		done &= attempts[i].phase == ATT_NONE;
	for (i = 0; i < MX_CALLS; i++)
		done &= !calls[i].used;
	/* A resumed router needs time to process its backlog. */
	return done && paused_until[0] + MX_WAKE < now;
}

/* Runs one cell of the matrix and writes its text: outcome and sends. */
static bool mx_run_cell(char *text, size_t size)
{
	const char *end = "no answer";
	int sent_count = 0;
	int i;

	mx_reset();
	mx_start_router(0);
	mx_start_router(1);
	for (i = 1; step == STEP_ADMIT && i <= MX_FILLERS; i++) {
		mx_send_request(0, i); /* occupies an endpoint */
		mx_step_all();
		now += MX_MS;
	}
	for (; now < MAG_US_PER_S + 20 * MX_MS && step == STEP_ADMIT;
	     now += MX_MS)
		mx_step_all();
	target = request_count;
	mx_send_request(0, 0);
	mx_reach_step(STEP_ACCEPT, NULL);
	for (i = 0; now < MX_END && !(i > 10 && mx_is_idle());
	     now += MX_MS, i++) {
		mx_step_all();
		if (i == 0)
			mx_reach_step(STEP_IDENTIFY, NULL);
		if (i == 5)
			mx_reach_step(STEP_ADMIT, NULL);
	}
	mx_check();
	for (i = 0; i < request_count; i++) {
		if (requests[i].key != 0)
			continue;
		sent_count++;
		if (requests[i].received && strcmp(end, "ran") != 0)
			end = mag_outcome_name(requests[i].outcome);
	}
	if (second && !injected_second)
		injected = false;
	if (!injected)
		snprintf(text, size, "-");
	else if (violation[0])
		snprintf(text, size, "RED");
	else
		snprintf(text, size, "%s %d", end, sent_count);
	return !violation[0];
}

/* Writes a table with a row per fault and a column per step. */
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
					 step_names[s], violation);
			counts[injected ? (violation[0] ? 1 : 0) : 2]++;
			fprintf(out, " %s |", text);
		}
	}
	fprintf(out, "\n%s%s", reds[0] ? "\n" : "", reds);
}

/*
 * If FAULTS_PAIRS names a file, writes more pairs to it: every fault at every
 * step followed by one of these faults.  This takes minutes, so the pairs are
 * not part of docs/FAULTS.md.
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

static void mx_write_page(FILE *out, int *counts)
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

/* Compares docs/FAULTS.md with this run and requires that no cell is red. */
static void test_matrix(void **state)
{
	int counts[3] = { 0 };
	char *text = NULL;
	char *page = NULL;
	size_t len = 0;
	size_t size = 0;
	FILE *out = open_memstream(&text, &len);

	(void)state;
	mx_write_page(out, counts);
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
