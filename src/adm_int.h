#ifndef ADM_INT_H
#define ADM_INT_H

/* Declarations shared by the adm files; no other module includes them. */

#include <urcu/list.h>

#include "adm.h"

#define ADM_BUCKETS 4096 /* of the table of requests; a power of two */

/* Retries that an account or an endpoint can always accumulate. */
#define ADM_RETRY_BURST 10
/* Fraction of an endpoint's retry budget that is refilled per second. */
#define ADM_RETRY_REFILL_PER_S 0.1

/* A token bucket: fills at a rate up to its burst size. */
struct adm_bucket {
	double level;
	double rate; /* units per second; 0: the bucket is not in use */
	double burst;
	int64_t updated_us; /* time for which level is valid */
};

/* A request that is waiting or running. */
struct adm_request {
	struct cds_list_head id_node;
	struct cds_list_head queue_node; /* while it is waiting */
	uint64_t id;
	int account;
	int service;
	uint32_t cost_tokens;
	uint32_t run_tokens;
	uint32_t priority;
	int64_t offered_us;
	int64_t latest_start_us; /* a later start would miss the deadline */
	int64_t started_us;	 /* 0 while it is waiting */
	int heap_index;		 /* index in adm->heap while it is waiting */
	uint32_t seq;		 /* order of arrival, to break ties */
};

/* The requests of one account at one service. */
struct adm_queue {
	struct cds_list_head active; /* in adm_service.active while waiting */
	struct cds_list_head waiting;
	int account;
	int service;
	double deficit;	       /* tokens that it may start now */
	double waiting_tokens; /* sum of run_tokens of the waiting requests */
	uint32_t count;
	uint32_t in_progress; /* waiting or running */
	uint32_t skipped;     /* requests skipped in this round */
	double recent_tokens; /* recently started tokens, decayed */
	int64_t recent_us;
	double retry_balance;  /* balance of the retry budget */
	double first_attempts; /* recent first attempts, decayed */
	int64_t first_attempts_us;
	int64_t return_us; /* earliest return of the next refused caller */
};

struct adm_service {
	char name[MAG_NAME_MAX];
	struct cds_list_head active; /* queues with waiting requests */
	struct adm_request *peeked;
	uint32_t waiting;
	double waiting_tokens; /* sum of run_tokens of the waiting requests */
	bool counts_requests;  /* work is counted in requests, not tokens */
	uint32_t queue_max;
	uint32_t retry_percent;
	double capacity;      /* tokens per second, from adm_set_capacity */
	double measured_rate; /* tokens per second, measured while requests wait
			       */
	double measured_tokens; /* tokens since measure_from_us */
	int64_t measure_from_us;
	double us_per_token;
	double us_deviation; /* mean absolute deviation of us_per_token */
	double mean_cost;
	double answer_ratio;	/* delivered tokens / requested tokens */
	double ratio_deviation; /* mean absolute deviation of answer_ratio */
	uint32_t answer_count;	/* number of answers in the estimates */
};

struct adm_account {
	char name[MAG_NAME_MAX];
	uint32_t weight;
};

/* A limit object and this instance's share of it. */
struct adm_limit {
	char name[MAG_NAME_MAX];
	int account;
	int service;
	struct adm_bucket requests;
	struct adm_bucket tokens;
	double concurrent; /* 0: no limit on concurrent requests */
	uint32_t in_progress;
	double demand; /* offered units per second, decayed */
	int64_t demand_us;
	double fleet_requests; /* the object's limits, fleet-wide */
	double fleet_tokens;
	double fleet_concurrent;
};

struct adm_endpoint {
	char name[MAG_NAME_MAX];
	struct adm_bucket retries;
};

struct adm {
	bool budgets;
	uint64_t random;
	struct cds_list_head *by_id;
	struct adm_service *services;
	int service_count;
	struct adm_account *accounts;
	int account_count;
	struct adm_queue *queues; /* one per service and account */
	struct adm_limit *limits;
	int limit_count;
	struct adm_endpoint *endpoints;
	int endpoint_count;
	struct adm_request **heap; /* waiting, by latest_start_us */
	int heap_count;
	int heap_capacity;
	uint32_t seq;
};

/* adm.c */
struct adm_queue *adm_queue_at(struct adm *adm, int service, int account);
struct adm_request *adm_find(struct adm *adm, uint64_t id);

/* adm_config.c */
void adm_free_tables(struct adm *adm);

/* adm_queue.c */
void adm_enqueue(struct adm *adm, struct adm_request *request);
void adm_dequeue(struct adm *adm, struct adm_request *request);
int adm_heap_reserve(struct adm *adm);

/* adm_rate.c */
double adm_service_rate(const struct adm_service *service);
double adm_share(const struct adm *adm, const struct adm_queue *queue);
int64_t adm_wait_us(const struct adm *adm, const struct adm_queue *queue);
int64_t adm_run_us(const struct adm_service *service, double tokens,
		   bool below_share);
bool adm_is_below_share(const struct adm *adm, const struct adm_queue *queue,
			int64_t now);
void adm_count_started_tokens(struct adm_queue *queue, double tokens,
			      int64_t now);
double adm_decay(double value, int64_t since_us, int64_t now, double span_s);
void adm_measure_rate(struct adm_service *service, double tokens, int64_t now);
void adm_count_work(struct adm *adm, const struct adm_request *request,
		    uint32_t tokens, int64_t now);
void adm_update_estimates(struct adm *adm, const struct adm_request *request,
			  uint32_t tokens, int64_t now);

/* adm_limit.c */
void adm_bucket_carry_over(struct adm_bucket *bucket, struct adm_bucket *old,
			   int64_t now);
void adm_limit_carry_over(struct adm_limit *limit, struct adm_limit *old,
			  int64_t now);
void adm_bucket_set(struct adm_bucket *bucket, double rate, double burst,
		    int64_t now);
bool adm_bucket_has(struct adm_bucket *bucket, double units, int64_t now);
void adm_bucket_take(struct adm_bucket *bucket, double units);
void adm_limits_count_demand(struct adm *adm, const struct adm_offer *offer,
			     int64_t now);
bool adm_limits_take(struct adm *adm, const struct adm_offer *offer,
		     int64_t now);
void adm_limits_enter(struct adm *adm, const struct adm_offer *offer);
void adm_limits_leave(struct adm *adm, const struct adm_request *request);
int64_t adm_limits_wait_us(struct adm *adm, int account, int service,
			   int64_t now);
void adm_earn_retry(struct adm *adm, struct adm_queue *queue, int64_t now);

#endif /* ADM_INT_H */
