#ifndef SIM_H
#define SIM_H

/*
 * Discrete-event simulation of callers, several instances of the core and
 * stages in virtual time.  A stage is a server with a processing rate, a
 * concurrency limit, a link and a delay.  All random numbers derive from one
 * seed, so a run is reproducible.
 */

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "core.h"

#define SIM_STAGES_MAX	     64
#define SIM_ROUTERS_MAX	     16
#define SIM_ACCOUNTS	     10
#define SIM_CENTRES	     3
#define SIM_LAYERS	     48
#define SIM_ACTIVATION_BYTES 16384 /* bytes per token */
#define SIM_TOKENS_MEAN	     80
#define SIM_TOKENS_MAX	     240
#define SIM_BUCKET_US	     (50 * MAG_US_PER_MS) /* goodput histogram */
#define SIM_BUCKETS_MAX	     2400
#define SIM_FAULTS_MAX	     8
#define SIM_QUARANTINES_MAX  64
#define SIM_CACHE	     16	  /* prefixes per stage */
#define SIM_PREFIXES	     120  /* distinct prompt prefixes */
#define SIM_PROMPT_LONG	     600  /* tokens of a prompt with a prefix */
#define SIM_LARGEST	     (-2) /* fault target: the largest stage */
#define SIM_ALL		     (-3) /* fault target: every stage */
#define SIM_REPORT_LAG_US    (700 * MAG_US_PER_MS)

enum sim_event_type {
	SIM_EV_ARRIVAL, /* a = account */
	SIM_EV_RETRY,	/* a = call: a refused caller retries */
	SIM_EV_TOKEN,	/* a = stream, b = its generation */
	SIM_EV_ENDED,	/* a = stream, b = its generation */
	SIM_EV_TICK,	/* a = router */
	SIM_EV_REPORT,
	SIM_EV_FAULT,	   /* a = fault */
	SIM_EV_QUARANTINE, /* a = quarantine */
	SIM_EV_CACHE,	   /* a = stage, b = prefix: a cache event arrives */
	SIM_EVENT_COUNT
};

struct sim_event {
	int64_t at_us;
	uint64_t seq;
	enum sim_event_type type;
	int a;
	uint32_t b;
};

/* Scheduled changes of stages, links and callers. */
enum sim_fault_kind {
	SIM_KILL, /* connections are reset */
	SIM_HANG, /* connections stay open, no data arrives */
	SIM_RESTORE,
	SIM_LINK, /* factor on the link rate */
	SIM_SLOW, /* factor on the rate, absent from load reports */
	SIM_CUT,  /* partitions a data centre in both directions */
	SIM_RECONNECT,
	SIM_REPORTS, /* load reports: 0 stops, 1 resumes them */
	SIM_DEMAND,  /* factor on an account's demand; -1: all */
	SIM_POISON,  /* an account sends one request that kills stages */
};

struct sim_fault {
	int64_t at_us;
	enum sim_fault_kind kind;
	int target;
	double factor;
};

struct sim_stage {
	char name[MAG_NAME_MAX];
	int centre;
	uint32_t first; /* layer range [first, end) */
	uint32_t end;
	double rate; /* tokens per second for the whole layer range */
	double link; /* tokens per second in each direction */
	uint32_t concurrency;
	int64_t step_us; /* fixed delay per token, in addition to its work */
	bool dead;
	bool hung;
	double slow;
	double link_factor;
	int64_t free_us; /* when the processor and the links are idle */
	int64_t in_free_us;
	int64_t out_free_us;
	uint32_t running;
	uint32_t cache[SIM_CACHE]; /* held prefixes, most recently used first */
	uint64_t cache_sequence;
};

/* One attempt on its chain. */
struct sim_stream {
	bool used;
	uint32_t generation;
	int router;
	int call;
	uint32_t attempt;
	int stage[MAG_CHAIN_MAX];
	double share[MAG_CHAIN_MAX];
	int count;
	int at;			       /* index of the token's current stage */
	uint32_t next;		       /* index of the next token */
	uint32_t rebuild;	       /* cached tokens to rebuild */
	bool prefilled[MAG_CHAIN_MAX]; /* stages that processed the prompt */
	int64_t entered_us;
	uint32_t hop_us[MAG_CHAIN_MAX];
	int64_t progress_us; /* when the next progress event is due */
	enum core_end end;
	int end_stage;
};

/* One request of a caller; a retry is a new call. */
struct sim_call {
	uint64_t req;
	int account;
	int router;
	uint32_t tokens;
	int64_t sent_us;
	int64_t deadline_us;
	uint32_t allowance_ms;
	int retries;
	uint32_t prefix; /* 0: none */
	bool poison;
	bool open;
	int32_t *token_ms; /* delivery time of each token */
};

enum sim_retry_policy {
	SIM_NO_RETRY,	   /* a refused caller gives up */
	SIM_RETRY_AFTER,   /* retries after Retry-After */
	SIM_RETRY_AT_ONCE, /* retries immediately, a limited number of times */
};

struct sim_settings {
	uint64_t seed;
	int routers;
	enum pick_policy policy;
	bool no_budgets;
	bool no_resume;
	enum sim_retry_policy retry_policy;
	double load;	   /* offered load as a fraction of the bound */
	bool equal_demand; /* all accounts have the same demand */
	bool prefixes; /* long prompts with shared prefixes that cost work */
	bool no_affinity;
	double cache_lost; /* fraction of the cache events that are lost */
	int64_t from_us;   /* start of the measured interval */
	int64_t to_us;
	int64_t end_us; /* requests admitted before to_us can finish by then */
	struct sim_fault faults[SIM_FAULTS_MAX];
	int fault_count;
};

struct sim_result {
	double bound;	    /* before any fault, tokens per second */
	double bound_after; /* after the last fault */
	double offered;
	double goodput; /* tokens delivered between from_us and to_us */
	double served[SIM_ACCOUNTS];
	double requested[SIM_ACCOUNTS];
	double answered_in_time[SIM_ACCOUNTS]; /* part of requested */
	double bucket[SIM_BUCKETS_MAX];	       /* goodput by delivery time */
	uint32_t calls;
	uint32_t refused;
	uint32_t late;	 /* admitted, incomplete at the deadline */
	uint32_t failed; /* admitted, abandoned by the router */
	uint32_t quarantined;
	uint32_t attempts;
	uint32_t killed;	 /* stages killed by poison requests */
	double tokens_processed; /* whether delivered or not */
	double prefills;	 /* prompts received by a stage */
	double prefill_hits;	 /* prompts whose prefix the stage held */
};

/* A quarantined fingerprint that one instance spreads to the others. */
struct sim_quarantine {
	int router;
	uint8_t fingerprint[MAG_DIGEST_BYTES];
	uint32_t endpoints_lost;
	int64_t until_us;
};

struct sim {
	struct sim_settings settings;
	struct sim_result *result;
	int64_t now;
	uint64_t seq;
	uint64_t random;
	struct sim_event *heap;
	int heap_count;
	int heap_capacity;
	struct sim_stage stages[SIM_STAGES_MAX];
	int stage_count;
	bool cut[SIM_CENTRES];
	bool reports;
	struct core *cores[SIM_ROUTERS_MAX];
	int64_t tick_at[SIM_ROUTERS_MAX];
	struct sim_stream *streams;
	int stream_count;
	int stream_capacity;
	int stream_free; /* free list linked through call, -1 ends it */
	struct sim_call *calls;
	int call_count;
	int call_capacity;
	struct sim_quarantine quarantines[SIM_QUARANTINES_MAX];
	int quarantine_count;
	double demand[SIM_ACCOUNTS]; /* requests per second */
	double demand_factor[SIM_ACCOUNTS];
};

/* sim.c */
int sim_run(const struct sim_settings *settings, struct sim_result *result);
void sim_schedule(struct sim *sim, int64_t at_us, enum sim_event_type type,
		  int a, uint32_t b);
double sim_random(struct sim *sim);

/* sim_make_stages.c */
void sim_make_stages(struct sim *sim);
char *sim_config_json(const struct sim *sim);
double sim_bound(const struct sim *sim);
int sim_largest(const struct sim *sim);
int sim_stage_by_name(const struct sim *sim, const char *name);
void sim_account_hash(int account, char hash[MAG_DIGEST_HEX]);

/* sim_stage.c */
void sim_dispatch(struct sim *sim, int router,
		  const struct core_dispatch *dispatch);
void sim_cancel(struct sim *sim, int router, const struct core_cancel *cancel);
void sim_token(struct sim *sim, int stream, uint32_t generation);
void sim_ended(struct sim *sim, int stream, uint32_t generation);
void sim_fault(struct sim *sim, const struct sim_fault *fault);
void sim_report(struct sim *sim);

/* sim_cache.c */
double sim_prefill(struct sim *sim, struct sim_stream *s);
void sim_cache_event(struct sim *sim, int stage, uint32_t prefix);

/* sim_caller.c */
void sim_arrival(struct sim *sim, int account);
void sim_retry(struct sim *sim, int call);
void sim_answer(struct sim *sim, const struct core_answer *answer);
void sim_poison(struct sim *sim, int account);
struct sim_call *sim_call_of(struct sim *sim, uint64_t req);

/* sim_router.c */
void sim_post(struct sim *sim, int router, const struct core_event *event);
void sim_tick(struct sim *sim, int router);
int sim_routers(struct sim *sim);
void sim_learn_quarantine(struct sim *sim, int quarantine);

#endif /* SIM_H */
