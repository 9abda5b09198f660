#ifndef CORE_H
#define CORE_H

/*
 * The deterministic core: no clock, socket or thread in it.  Shells post
 * typed events and carry out typed actions; core_tick runs the systems over
 * the tables in a fixed order.  One thread owns a core.
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
	uint64_t incarnation; /* drawn at random at start */
	uint64_t seed;
	enum pick_policy policy;
	bool no_retry_budgets; /* second sends have no bound */
	bool no_resume;	       /* a stream begins again at its first token */
	int64_t progress_timeout_us;	/* longest wait for the next token */
	int64_t first_token_timeout_us; /* longest wait for the first */
	int64_t kv_timeout_us;
	struct ldg_settings ledger;
};

/* A request of a caller as the front hands it over. */
struct core_arrival {
	uint64_t req; /* chosen by the front, unique in this incarnation */
	char account_key_hash[MAG_DIGEST_HEX]; /* "" if no bearer was sent */
	char host[CORE_HOST_MAX];
	char path[CORE_PATH_MAX];
	char key[LDG_KEY_MAX]; /* Idempotency-Key, "" if none */
	bool safe_method;      /* GET, HEAD, OPTIONS */
	uint8_t fingerprint[MAG_DIGEST_BYTES];
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	uint64_t prefix;
	uint32_t timeout_ms; /* the caller's, 0 if it stated none */
	int64_t wall_ms;
};

/* How an attempt ended, as the shell that carried it saw it. */
enum core_end {
	CORE_END_COMPLETE,	/* the whole answer is here */
	CORE_END_NOT_CONNECTED, /* the connection was never made */
	CORE_END_REFUSED,      /* a status that the service declares as proof */
	CORE_END_STAGE,	       /* the stream says which stage failed */
	CORE_END_DISCONNECTED, /* the connection broke after the send */
	CORE_END_WRONG_IDS,    /* ids of another request or attempt */
	CORE_END_CANCELLED,    /* as the core asked */
	CORE_END_STATUS,       /* the endpoint answered an error status */
	CORE_END_COUNT
};

struct core_ended {
	uint64_t req;
	uint32_t attempt;
	enum core_end end;
	int stage;		/* CORE_END_STAGE: which one, from 0 */
	uint32_t silent_stages; /* stages, as bits, that gave no sign of life */
	int status;		/* HTTP status of the endpoint, 0 if none */
	uint32_t tokens; /* delivered to the caller so far, all attempts */
	char *answer;	 /* for the record, NULL if too long; core frees */
	size_t answer_len;
};

struct core_progress {
	uint64_t req;
	uint32_t attempt;
	bool stages_alive; /* nothing came, but every stage gives a sign of life
			    */
	uint32_t tokens;   /* delivered so far, all attempts */
	uint32_t hop_us[MAG_CHAIN_MAX]; /* mean a token, by stage */
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

/* An event of an engine's prefix cache; late, and with gaps. */
struct core_cache {
	char endpoint[MAG_NAME_MAX];
	uint64_t sequence; /* one higher with each event of the endpoint */
	uint64_t prefix;
	bool stored; /* false: dropped */
};

struct core_event {
	enum core_event_type type;
	union {
		struct core_arrival arrival;
		struct core_progress progress;
		struct core_ended ended;
		uint64_t caller_gone;
		struct cfg_set *config; /* the core owns it from here */
		struct kv_reply kv;
		struct core_load load;
		struct core_leaving leaving;
		struct core_cache cache;
	};
};

/* One stage of a dispatched chain, all that the shell needs. */
struct core_stage {
	char endpoint[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX];
	uint32_t first_layer;
	uint32_t last_layer;
};

struct core_dispatch {
	uint64_t req;
	uint32_t attempt; /* from 1 */
	uint32_t resume;  /* index of the next token to deliver */
	enum cfg_service_kind kind;
	uint32_t layers;
	uint32_t priority;
	int64_t deadline_us;
	bool at_most_once; /* a second send could run it twice */
	char downstream_key[MAG_DIGEST_HEX]; /* "" if none is sent */
	int not_begun_status[CFG_NOT_BEGUN_MAX];
	struct core_stage stages[MAG_CHAIN_MAX];
	int stage_count;
	char account[MAG_NAME_MAX];
};

enum core_answer_kind {
	CORE_ANSWER_RELAY,  /* the answer that the attempt brought */
	CORE_ANSWER_REPLAY, /* the answer that the record kept */
	CORE_ANSWER_REFUSE, /* made by the router */
};

struct core_answer {
	uint64_t req;
	enum core_answer_kind kind;
	enum mag_outcome outcome;
	int status;
	uint32_t retry_after_s; /* 0: none */
	char why[CORE_WHY_MAX];
	char *body; /* CORE_ANSWER_REPLAY; the shell frees it */
	size_t body_len;
};

struct core_cancel {
	uint64_t req;
	uint32_t attempt;
	bool probe; /* only if a stage gives no sign of life */
};

enum core_action_type {
	CORE_ACT_DISPATCH,
	CORE_ACT_CANCEL,
	CORE_ACT_ANSWER,
	CORE_ACT_KV,
	CORE_ACT_STOPPED, /* nothing is left in progress */
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
/* What the node carries between a core and the other instances. */
const struct cfg_set *core_config(const struct core *core);
bool core_next_quarantine(struct core *core, uint8_t print[MAG_DIGEST_BYTES],
			  uint32_t *endpoints_lost, int64_t *until_us);
void core_merge_quarantine(struct core *core,
			   const uint8_t print[MAG_DIGEST_BYTES],
			   uint32_t endpoints_lost, int64_t until_us);
void core_set_share(struct core *core, int limit, double requests_per_s,
		    double tokens_per_s, double concurrent);
double core_demand(const struct core *core, int limit);

uint64_t core_revision(const struct core *core);
bool core_ready(const struct core *core);

#endif /* CORE_H */
