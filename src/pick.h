#ifndef PICK_H
#define PICK_H

/*
 * Chooses the chain of endpoints for an attempt.  A chain is a list of stages
 * whose layer ranges cover every layer of the model exactly once and in order.
 * Chains are chosen in proportion to a maximum flow over stages and links,
 * corrected by the work in flight and by load reports, which arrive late.
 */

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "cfg.h"
#include "mag.h"

struct pick;

enum pick_err {
	PICK_OK = 0,
	PICK_E_BUSY = -1,     /* every chain has a stage at its limit */
	PICK_E_NO_CHAIN = -2, /* no live chain covers all layers */
	PICK_E_MEMORY = -3,
};

struct pick_stage {
	int endpoint; /* index into the set's endpoints */
	uint32_t first_layer;
	uint32_t last_layer; /* inclusive */
};

struct pick_chain {
	struct pick_stage stages[MAG_CHAIN_MAX];
	int count;
	bool alone; /* a suspect, and the only one on its endpoints */
};

/*
 * How chains are chosen.  PICK_FLOW is the production policy; the others are
 * baselines that the benchmarks compare it with.
 */
enum pick_policy {
	PICK_FLOW,
	PICK_LEAST_IN_FLIGHT,
	PICK_RANDOM,
	PICK_STATIC_WEIGHTS,
	PICK_POLICY_COUNT
};

struct pick_request {
	int service;
	const char *group; /* "" allows any group */
	/* The broken chain whose stages are to be reused, or NULL. */
	const struct pick_chain *resume_from;
	const int *avoid; /* endpoints that failed this request */
	int avoid_count;
	bool alone;	      /* a suspect: avoid endpoints with another one */
	bool at_most_once;    /* must not run twice, so never used as a probe */
	uint64_t prefix_hash; /* of the prompt's prefix, 0 for none */
	uint32_t prompt_tokens;
	/* Slowest time per token that still meets the deadline, 0: no limit. */
	int64_t max_token_us;
};

enum pick_result_kind {
	PICK_ENDED_COMPLETE,
	PICK_ENDED_FAILED,  /* the endpoint died or broke off the stream */
	PICK_ENDED_STALLED, /* no progress within the time limit for it */
	PICK_ENDED_REFUSED, /* the endpoint answered that it is full */
	PICK_ENDED_OTHER,   /* cancelled, or not caused by an endpoint */
};

struct pick_result {
	enum pick_result_kind kind;
	int failed_stage;	/* the stage at fault, or -1 */
	uint32_t silent_stages; /* bit set: did not respond to the probe */
	uint32_t tokens;
	int64_t first_token_us; /* from dispatch, 0 without a token */
	int64_t duration_us;
};

struct pick_report {
	uint32_t tokens_per_s; /* what the endpoint states it can do now */
	uint32_t running;
	int64_t measured_at_us; /* as far as known */
};

struct pick *pick_new(enum pick_policy policy, uint64_t seed);
void pick_free(struct pick *pick);

/* Applies a new set; the state of an endpoint is carried over by its name. */
int pick_config(struct pick *pick, const struct cfg_set *set, int64_t now);
void pick_remap(const struct pick *pick, struct pick_chain *chain);
void pick_set_leaving(struct pick *pick, int endpoint, bool leaving,
		      int64_t now);
void pick_report(struct pick *pick, int endpoint,
		 const struct pick_report *report, int64_t now);
void pick_cache_event(struct pick *pick, int endpoint, uint64_t sequence,
		      uint64_t prefix, bool stored, int64_t now);

int pick_choose(struct pick *pick, const struct pick_request *request,
		int64_t now, struct pick_chain *chain);
void pick_started(struct pick *pick, const struct pick_chain *chain,
		  int64_t now);
void pick_add_hop_times(struct pick *pick, const struct pick_chain *chain,
			const uint32_t *hop_us, int count, int64_t now);
void pick_release_suspect(struct pick *pick, struct pick_chain *chain);
void pick_ended(struct pick *pick, const struct pick_chain *chain,
		const struct pick_result *result, int64_t now);
int pick_find_silent_stage(const struct pick *pick,
			   const struct pick_chain *chain, int64_t now);
int pick_find_degraded_stage(const struct pick *pick,
			     const struct pick_chain *chain);
void pick_tick(struct pick *pick, int64_t now);
int64_t pick_next_deadline(const struct pick *pick);

bool pick_is_usable(const struct pick *pick, int endpoint, int64_t now);
double pick_bound(const struct pick *pick, int service);
int pick_write_bound(struct pick *pick, int service, int64_t now, FILE *out);
int pick_explain_request(struct pick *pick, const struct pick_request *request,
			 int64_t now, FILE *out);
double pick_bound_without(struct pick *pick, int service, int endpoint);

#endif /* PICK_H */
