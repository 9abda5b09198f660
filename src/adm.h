#ifndef ADM_H
#define ADM_H

/*
 * Admission control.  Each service schedules its client accounts by deficit
 * round robin with weights; costs are in tokens.  Admission also enforces
 * limits, refuses early what would miss its deadline, and holds the retry
 * budgets.  It is deterministic.
 */

#include <stdbool.h>
#include <stdint.h>

#include "cfg.h"
#include "mag.h"

struct adm;

enum adm_verdict {
	ADM_QUEUED,
	ADM_QUEUE_FULL, /* status 503 */
	ADM_TOO_LATE,	/* status 503: its answer would miss its deadline */
	ADM_OVER_LIMIT, /* status 429: a limit object is exhausted */
	ADM_OVER_SHARE, /* status 429: the account is far over its share */
};

struct adm_offer {
	uint64_t req;
	int account;
	int service;
	uint32_t cost_tokens; /* charged to the account */
	uint32_t run_tokens;  /* maximum length of the answer; 0: cost_tokens */
	int64_t deadline_us;
	uint32_t priority;
};

const char *adm_verdict_name(enum adm_verdict verdict);
struct adm *adm_new(uint64_t seed, bool budgets);
void adm_free(struct adm *adm);
int adm_config(struct adm *adm, const struct cfg_set *set, int64_t now);

/* Sets this instance's share of a fleet-wide limit. */
void adm_set_share(struct adm *adm, int limit, double requests_per_s,
		   double tokens_per_s, double concurrent);

/* Sets a service's throughput, from which waiting times are estimated. */
void adm_set_capacity(struct adm *adm, int service, double tokens_per_s);

enum adm_verdict adm_offer(struct adm *adm, const struct adm_offer *offer,
			   int64_t now);
bool adm_peek(struct adm *adm, int service, uint64_t *req);
void adm_start(struct adm *adm, uint64_t req, int64_t now);
void adm_skip(struct adm *adm, int service);
bool adm_next_expired(struct adm *adm, int64_t now, uint64_t *req);
void adm_drop(struct adm *adm, uint64_t req, int64_t now);
void adm_answered(struct adm *adm, uint64_t req, uint32_t tokens, int64_t now);
void adm_done(struct adm *adm, uint64_t req, uint32_t tokens, int64_t now);

bool adm_may_retry(struct adm *adm, int account, int service, int endpoint,
		   int64_t now);
uint32_t adm_retry_after_s(struct adm *adm, int account, int service,
			   int64_t now);
double adm_demand(const struct adm *adm, int limit, int64_t now);
int64_t adm_next_deadline(const struct adm *adm);
double adm_expected_tokens(const struct adm *adm, int service,
			   uint32_t max_tokens);
uint32_t adm_waiting(const struct adm *adm, int service);

#endif /* ADM_H */
