#ifndef CORE_H
#define CORE_H

/*
 * The deterministic core of a router.  It uses no clock, socket or thread.
 * The I/O code around it posts typed events and executes typed actions;
 * core_tick runs the systems over the tables in a fixed order.  A core belongs
 * to one thread.
 */

#include <stdbool.h>
#include <stdint.h>

#include "cfg.h"
#include "kv.h"
#include "ldg.h"
#include "mag.h"
#include "pick.h"

#define CORE_HOST_MAX  128
#define CORE_PATH_MAX  256
#define CORE_WHY_MAX   160
#define CORE_AVOID_MAX 8

struct core;

struct core_settings {
	char cluster[MAG_NAME_MAX];
	char instance[MAG_NAME_MAX];
	char data_centre[MAG_NAME_MAX];
	uint64_t incarnation; /* random, drawn when the process starts */
	uint64_t seed;
	enum pick_policy policy;
	bool no_retry_budgets;	     /* retries are not limited by budgets */
	bool no_resume;		     /* streams restart at their first token */
	int64_t progress_timeout_us; /* longest wait for the next token */
	int64_t first_token_timeout_us; /* longest wait for the first token */
	int64_t kv_timeout_us;
	struct ldg_settings ledger;
};

/* A caller's request as the HTTP front end passes it to the core. */
struct core_arrival {
	uint64_t req; /* chosen by the front end, unique in this incarnation */
	char account_key_hash[MAG_DIGEST_HEX]; /* "" if it has no bearer */
	char host[CORE_HOST_MAX];
	char path[CORE_PATH_MAX];
	char key[LDG_KEY_MAX]; /* Idempotency-Key, "" if the request has none */
	bool safe_method;      /* GET, HEAD or OPTIONS */
	uint8_t fingerprint[MAG_DIGEST_BYTES];
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	uint64_t prefix_hash;
	uint32_t timeout_ms; /* sent by the caller, 0 if it sent none */
	int64_t wall_ms;
};

/* How an attempt ended, as seen by the I/O code that made it. */
enum core_end {
	CORE_END_COMPLETE,	/* the complete answer was received */
	CORE_END_NOT_CONNECTED, /* the connection was never established */
	CORE_END_REFUSED,	/* a status its service declares as proof */
	CORE_END_STAGE,		/* the stream reports which stage failed */
	CORE_END_DISCONNECTED,	/* the connection broke after the send */
	CORE_END_WRONG_IDS, /* the ids belong to another request or attempt */
	CORE_END_MALFORMED, /* the bytes received are no response */
	CORE_END_CANCELLED, /* cancelled on request of the core */
	CORE_END_STATUS,    /* the endpoint returned an error status */
	CORE_END_COUNT
};

struct core_ended {
	uint64_t req;
	uint32_t attempt;
	enum core_end end;
	int stage; /* for CORE_END_STAGE: the failed stage, from 0 */
	uint32_t silent_stages; /* bit set: did not respond to the probe */
	int status;		/* HTTP status of the endpoint, 0 if none */
	uint32_t tokens; /* delivered to the caller so far by all attempts */
	char *answer; /* for the record, NULL if too long; the core frees it */
	size_t answer_len;
};

struct core_progress {
	uint64_t req;
	uint32_t attempt;
	bool stages_alive; /* no token, but every stage responded */
	uint32_t tokens;   /* delivered so far by all attempts */
	uint32_t hop_us[MAG_CHAIN_MAX]; /* mean time per token of each stage */
	int hop_count;
};

enum core_event_type {
	CORE_EV_ARRIVAL,
	CORE_EV_PROGRESS,
	CORE_EV_ENDED,
	CORE_EV_CALLER_GONE,
	CORE_EV_CONFIG,
	CORE_EV_KV_REPLY,
	CORE_EV_LOAD,
	CORE_EV_LEAVING,
	CORE_EV_CACHE,
	CORE_EV_STOP,
	CORE_EVENT_COUNT
};

struct core_load {
	char endpoint[MAG_NAME_MAX];
	struct pick_report report;
};

struct core_leaving {
	char endpoint[MAG_NAME_MAX];
	bool leaving;
};

/* An event of an engine's prefix cache.  Events may be late or missing. */
struct core_cache {
	char endpoint[MAG_NAME_MAX];
	uint64_t sequence; /* increases by 1 per event of the endpoint */
	uint64_t prefix_hash;
	bool stored; /* false: the prefix was evicted */
};

struct core_event {
	enum core_event_type type;
	union {
		struct core_arrival arrival;
		struct core_progress progress;
		struct core_ended ended;
		uint64_t caller_gone;
		struct cfg_set *config; /* ownership passes to the core */
		struct kv_reply kv;
		struct core_load load;
		struct core_leaving leaving;
		struct core_cache cache;
	};
};

/* One stage of a dispatched chain, with all that the I/O code needs. */
struct core_stage {
	char endpoint[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX];
	uint32_t first_layer;
	uint32_t last_layer;
};

struct core_dispatch {
	uint64_t req;
	uint32_t attempt;      /* number of the attempt, from 1 */
	uint32_t resume_token; /* index of the next token to deliver */
	enum cfg_service_kind kind;
	uint32_t layers;
	uint32_t priority;
	int64_t deadline_us;
	bool at_most_once; /* sending it twice could run it twice */
	char downstream_key[MAG_DIGEST_HEX]; /* "" if none is sent */
	int not_begun_status[CFG_NOT_BEGUN_MAX];
	struct core_stage stages[MAG_CHAIN_MAX];
	int stage_count;
	char account[MAG_NAME_MAX];
};

enum core_answer_kind {
	CORE_ANSWER_RELAY,  /* the answer that the attempt returned */
	CORE_ANSWER_REPLAY, /* the answer stored in the record */
	CORE_ANSWER_REFUSE, /* an error answer of the router itself */
};

struct core_answer {
	uint64_t req;
	enum core_answer_kind kind;
	enum mag_outcome outcome;
	int status;
	uint32_t retry_after_s; /* 0: no Retry-After */
	char why[CORE_WHY_MAX];
	char *body; /* for CORE_ANSWER_REPLAY; the I/O code frees it */
	size_t body_len;
};

struct core_cancel {
	uint64_t req;
	uint32_t attempt;
	bool probe; /* cancel only if a stage does not respond to a probe */
};

enum core_action_type {
	CORE_ACT_DISPATCH,
	CORE_ACT_CANCEL,
	CORE_ACT_ANSWER,
	CORE_ACT_KV,
	CORE_ACT_STOPPED, /* after a stop: no request in progress */
	CORE_ACTION_COUNT
};

struct core_action {
	enum core_action_type type;
	union {
		struct core_dispatch dispatch;
		struct core_cancel cancel;
		struct core_answer answer;
		struct kv_call kv;
	};
};

struct core *core_new(const struct core_settings *settings);
void core_free(struct core *core);
int core_post(struct core *core, const struct core_event *event);
void core_tick(struct core *core, int64_t now);
bool core_next_action(struct core *core, struct core_action *action);
int64_t core_next_deadline(const struct core *core);
/* State that the instance exchanges between its core and other instances. */
const struct cfg_set *core_config(const struct core *core);
bool core_next_quarantine(struct core *core,
			  uint8_t fingerprint[MAG_DIGEST_BYTES],
			  uint32_t *endpoints_lost, int64_t *until_us);
void core_merge_quarantine(struct core *core,
			   const uint8_t fingerprint[MAG_DIGEST_BYTES],
			   uint32_t endpoints_lost, int64_t until_us);
void core_set_share(struct core *core, int limit, double requests_per_s,
		    double tokens_per_s, double concurrent);
double core_demand(const struct core *core, int limit);

uint64_t core_revision(const struct core *core);
bool core_ready(const struct core *core);

#endif /* CORE_H */
