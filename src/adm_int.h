#ifndef ADM_INT_H
#define ADM_INT_H

/* What the files of the adm family share; no other module includes it. */

#include <urcu/list.h>

#include "adm.h"

#define ADM_BUCKETS 4096 /* of the table of requests; a power of two */

/* Retries that an account or an endpoint may always have saved up. */
#define ADM_RETRY_BURST 10
/* Part of an endpoint's retry budget that comes back in a second. */
#define ADM_RETRY_REFILL 0.1

/* A store of units that fills at a rate up to a most. */
struct adm_bucket {
	double level;
	double rate; /* units a second; 0: the bucket is not in use */
	double most;
	int64_t at_us; /* when level was right */
};

/* A request that waits or runs. */
struct adm_request {
	struct cds_list_head by_id;
	struct cds_list_head in_queue; /* while it waits */
	uint64_t id;
	int account;
	int service;
	uint32_t cost;
	uint32_t run;
	uint32_t priority;
	int64_t offered_us;
	int64_t give_up_us; /* later starts would miss the deadline */
	int64_t started_us; /* 0 while it waits */
	int heap_at;	    /* place in the heap of those that wait */
	uint32_t seq;	    /* of arrival, to break ties */
};

/* One account at one service. */
struct adm_queue {
	struct cds_list_head active; /* in the service's list while it waits */
	struct cds_list_head waiting;
	int account;
	int service;
	double deficit; /* tokens that it may start now */
	double tokens;	/* to run, of what waits */
	uint32_t count;
	uint32_t inside; /* waiting or running */
	uint32_t passed; /* requests passed over in this round */
	double spent;	 /* tokens started lately, decayed */
	int64_t spent_us;
	double retries; /* balance of the retry budget */
	double firsts;	/* recent first attempts, decayed */
	int64_t firsts_us;
	int64_t return_us; /* when the next refused caller may come back */
};

struct adm_service {
	char name[MAG_NAME_MAX];
	struct cds_list_head active; /* queues with something waiting */
	struct adm_request *peeked;
	uint32_t waiting;
	double tokens; /* to run, of what waits */
	bool plain;    /* requests are counted, not tokens */
	uint32_t queue_max;
	uint32_t retry_percent;
	double capacity; /* tokens a second, as told */
	double measured; /* the same, as seen while callers waited */
	double done;	 /* tokens since the measurement began */
	int64_t since_us;
	double us_per_token;
	double us_deviation; /* mean of how far runs are from it */
	double mean_cost;
	double used_part; /* tokens delivered, as a part of those asked for */
	double used_deviation; /* mean of how far answers are from it */
	uint32_t answers;      /* learnt from */
};

struct adm_account {
	char name[MAG_NAME_MAX];
	uint32_t weight;
};

/* A limit object and what this instance may admit of it. */
struct adm_limit {
	char name[MAG_NAME_MAX];
	int account;
	int service;
	struct adm_bucket requests;
	struct adm_bucket tokens;
	double concurrent; /* 0: no such limit */
	uint32_t inside;
	double demand; /* offered a second, decayed */
	int64_t demand_us;
	double whole_requests; /* what the object says, for the fleet */
	double whole_tokens;
	double whole_concurrent;
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
	struct adm_queue *queues; /* services x accounts */
	struct adm_limit *limits;
	int limit_count;
	struct adm_endpoint *endpoints;
	int endpoint_count;
	struct adm_request **heap; /* those that wait, by give_up_us */
	int heap_count;
	int heap_room;
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
		   bool modest);
bool adm_is_modest(const struct adm *adm, const struct adm_queue *queue,
		   int64_t now);
void adm_spend(struct adm_queue *queue, double tokens, int64_t now);
double adm_decay(double value, int64_t since_us, int64_t now, double span_s);
void adm_measure(struct adm_service *service, double tokens, int64_t now);
void adm_work_done(struct adm *adm, const struct adm_request *request,
		   uint32_t tokens, int64_t now);
void adm_learn(struct adm *adm, const struct adm_request *request,
	       uint32_t tokens, int64_t now);

/* adm_limit.c */
void adm_bucket_keep(struct adm_bucket *bucket, struct adm_bucket *old,
		     int64_t now);
void adm_keep_limit(struct adm_limit *limit, struct adm_limit *old,
		    int64_t now);
void adm_bucket_set(struct adm_bucket *bucket, double rate, double most,
		    int64_t now);
bool adm_bucket_has(struct adm_bucket *bucket, double units, int64_t now);
void adm_bucket_take(struct adm_bucket *bucket, double units);
void adm_limits_demand(struct adm *adm, const struct adm_offer *offer,
		       int64_t now);
bool adm_limits_allow(struct adm *adm, const struct adm_offer *offer,
		      int64_t now);
void adm_limits_enter(struct adm *adm, const struct adm_offer *offer);
void adm_limits_leave(struct adm *adm, const struct adm_request *request);
int64_t adm_limits_wait_us(struct adm *adm, int account, int service,
			   int64_t now);
void adm_first_attempt(struct adm *adm, struct adm_queue *queue, int64_t now);

#endif /* ADM_INT_H */
