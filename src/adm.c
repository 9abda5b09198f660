#include <stdlib.h>
#include <string.h>

#include "adm_int.h"
#include "log.h"

#define ADM_START_US_PER_TOKEN 1000 /* until some request has ended */
#define ADM_START_COST	       100
#define ADM_SEED_MIX	       UINT64_C(0x2545f4914f6cdd1d)
#define ADM_USED_DEVIATIONS    2
#define ADM_ANSWERS_LEAST      20
#define ADM_LEAST_WEIGHT       1

static int adm_take_services(struct adm *adm, const struct cfg_set *set);
static void adm_take_service(struct adm_service *service,
			     const struct cfg_service *cfg,
			     const struct adm_service *old, int old_count,
			     int hint);
static int adm_take_accounts(struct adm *adm, const struct cfg_set *set);
static int adm_take_limits(struct adm *adm, const struct cfg_set *set,
			   int64_t now);
static void adm_take_limit(struct adm_limit *limit, const struct cfg_limit *cfg,
			   int64_t now);
static int adm_take_endpoints(struct adm *adm, const struct cfg_set *set,
			      int64_t now);
static int adm_move_requests(struct adm *adm, const struct adm *old);
static void adm_move_limits(struct adm *adm, const struct adm *old,
			    int64_t now);
static void adm_move_endpoints(struct adm *adm, const struct adm *old,
			       int64_t now);
static void adm_move_request(struct adm *adm, const struct adm *old,
			     struct adm_request *request);
static void adm_free_tables(struct adm *adm);
static bool adm_known(const struct adm *adm, int account, int service);
static enum adm_verdict adm_judge(struct adm *adm,
				  const struct adm_offer *offer,
				  struct adm_queue *queue, int64_t now);
static uint32_t adm_run_tokens(const struct adm_offer *offer);
static int adm_admit(struct adm *adm, const struct adm_offer *offer,
		     int64_t now);
static void adm_forget(struct adm *adm, struct adm_request *request);

/*
 * Makes an empty admission.  The seed fixes how refused callers are spread;
 * without budgets every retry is allowed, which is the bench's baseline.
 * Returns NULL if memory is short.
 */
struct adm *adm_new(uint64_t seed, bool budgets)
{
	struct adm *adm = calloc(1, sizeof(*adm));
	int i;

	if (!adm)
		return NULL;
	adm->budgets = budgets;
	adm->random = seed ^ ADM_SEED_MIX;
	adm->by_id = malloc(ADM_BUCKETS * sizeof(*adm->by_id));
	if (!adm->by_id) {
		free(adm);
		return NULL;
	}
	for (i = 0; i < ADM_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&adm->by_id[i]);
	return adm;
}

/* Frees an admission; NULL is allowed. */
void adm_free(struct adm *adm)
{
	struct adm_request *request;
	struct adm_request *next;
	int i;

	if (!adm)
		return;
	for (i = 0; i < ADM_BUCKETS; i++) {
		cds_list_for_each_entry_safe (request, next, &adm->by_id[i],
					      by_id)
			free(request);
	}
	adm_free_tables(adm);
	free(adm->heap);
	free(adm->by_id);
	free(adm);
}

/*
 * Takes a new set.  Requests, budgets and estimates of accounts and services
 * that both sets name are kept; what waits for one that is gone is given up
 * by the next adm_next_expired.  Returns 0, or -1 if memory is short.
 */
int adm_config(struct adm *adm, const struct cfg_set *set, int64_t now)
{
	struct adm old = *adm;
	size_t queues = (set->service_count + 1) * (set->account_count + 1);
	size_t i;

	adm->services = NULL;
	adm->accounts = NULL;
	adm->limits = NULL;
	adm->endpoints = NULL;
	adm->queues = calloc(queues, sizeof(*adm->queues));
	adm->service_count = (int)set->service_count;
	adm->account_count = (int)set->account_count;
	if (!adm->queues || adm_take_services(adm, set) < 0 ||
	    adm_take_accounts(adm, set) < 0 ||
	    adm_take_limits(adm, set, now) < 0 ||
	    adm_take_endpoints(adm, set, now) < 0)
		return -1;
	for (i = 0; i < set->service_count; i++)
		adm_take_service(&adm->services[i], &set->services[i],
				 old.services, old.service_count, (int)i);
	if (adm_move_requests(adm, &old) < 0)
		return -1;
	adm_move_limits(adm, &old, now);
	adm_move_endpoints(adm, &old, now);
	adm_free_tables(&old);
	return 0;
}

/*
 * Tells the rate at which a service's work gets done, in tokens a second.
 * What is measured while callers wait goes before it, but a change of
 * capacity changes that at once in proportion, long before it is measured.
 */
void adm_set_capacity(struct adm *adm, int service, double tokens_per_s)
{
	struct adm_service *s;

	if (service < 0 || service >= adm->service_count)
		return;
	s = &adm->services[service];
	if (s->capacity > 0 && tokens_per_s > 0)
		s->measured *= tokens_per_s / s->capacity;
	s->capacity = tokens_per_s;
}

/*
 * Offers a request.  ADM_QUEUED means that adm_peek will name it in its
 * turn; everything else is a refusal, and nothing is kept of it.
 */
enum adm_verdict adm_offer(struct adm *adm, const struct adm_offer *offer,
			   int64_t now)
{
	struct adm_queue *queue;
	enum adm_verdict verdict;

	if (!adm_known(adm, offer->account, offer->service))
		return ADM_OVER_LIMIT;
	queue = adm_queue_at(adm, offer->service, offer->account);
	adm_limits_demand(adm, offer, now);
	verdict = adm_judge(adm, offer, queue, now);
	if (verdict == ADM_QUEUED && adm_admit(adm, offer, now) < 0)
		verdict = ADM_QUEUE_FULL;
	if (verdict != ADM_QUEUED) {
		log_event(LOG_ADM_REFUSED,
			  "account=%s service=%s why=%s waiting=%u "
			  "wait_ms=%lld",
			  adm->accounts[offer->account].name,
			  adm->services[offer->service].name,
			  adm_verdict_name(verdict),
			  adm->services[offer->service].waiting,
			  (long long)(adm_wait_us(adm, queue) / MAG_US_PER_MS));
	}
	return verdict;
}

/* Notes that a request goes to endpoints now. */
void adm_start(struct adm *adm, uint64_t req, int64_t now)
{
	struct adm_request *request = adm_find(adm, req);
	struct adm_queue *queue;

	if (!request || request->started_us)
		return;
	queue = adm_queue_at(adm, request->service, request->account);
	adm_dequeue(adm, request);
	request->started_us = now ? now : 1;
	queue->deficit -= request->cost;
	adm_spend(queue, request->run, now);
	if (queue->count == 0)
		queue->deficit = 0;
	adm_first_attempt(adm, queue, now);
}

/* Takes out a request that never started, as its caller is gone. */
void adm_drop(struct adm *adm, uint64_t req, int64_t now)
{
	struct adm_request *request = adm_find(adm, req);

	(void)now;
	if (request)
		adm_forget(adm, request);
}

/* Takes out a request whose whole answer came, and learns from its length. */
void adm_answered(struct adm *adm, uint64_t req, uint32_t tokens, int64_t now)
{
	struct adm_request *request = adm_find(adm, req);

	if (request && request->started_us && request->service >= 0)
		adm_learn(adm, request, tokens, now);
	adm_done(adm, req, tokens, now);
}

/*
 * Takes out a request that ended.  What it cost less than it was charged is
 * given back to its account.
 */
void adm_done(struct adm *adm, uint64_t req, uint32_t tokens, int64_t now)
{
	struct adm_request *request = adm_find(adm, req);
	struct adm_queue *queue;

	if (!request)
		return;
	if (request->started_us && request->service >= 0) {
		queue = adm_queue_at(adm, request->service, request->account);
		adm_work_done(adm, request, tokens, now);
		if (queue->count > 0 && tokens < request->cost)
			queue->deficit += request->cost - tokens;
	}
	adm_forget(adm, request);
}

/* Returns how many requests wait for a service. */
uint32_t adm_waiting(const struct adm *adm, int service)
{
	if (service < 0 || service >= adm->service_count)
		return 0;
	return adm->services[service].waiting;
}

/*
 * Returns how many tokens an answer of at most max_tokens will have at least,
 * but for a few; 0 while too few answers are known.  Callers often allow far
 * more tokens than they get.
 */
double adm_expected(const struct adm *adm, int service, uint32_t max_tokens)
{
	const struct adm_service *s;
	double part;

	if (service < 0 || service >= adm->service_count)
		return 0;
	s = &adm->services[service];
	part = s->used_part - ADM_USED_DEVIATIONS * s->used_deviation;
	if (s->answers < ADM_ANSWERS_LEAST || part < 0)
		return 0;
	return part * max_tokens;
}

/* Returns the name of a verdict, as logs and answers show it. */
const char *adm_verdict_name(enum adm_verdict verdict)
{
	static const char *const names[] = {
		[ADM_QUEUED] = "queued",
		[ADM_QUEUE_FULL] = "queue-full",
		[ADM_TOO_LATE] = "too-late",
		[ADM_OVER_LIMIT] = "over-limit",
		[ADM_OVER_SHARE] = "over-share",
	};

	return names[verdict];
}

/* Returns the queue of an account at a service. */
struct adm_queue *adm_queue_at(struct adm *adm, int service, int account)
{
	return &adm->queues[service * adm->account_count + account];
}

/* Finds a request by its id; NULL if it is not here. */
struct adm_request *adm_find(struct adm *adm, uint64_t id)
{
	struct cds_list_head *bucket = &adm->by_id[id & (ADM_BUCKETS - 1)];
	struct adm_request *request;

	cds_list_for_each_entry (request, bucket, by_id) {
		if (request->id == id)
			return request;
	}
	return NULL;
}

/* Makes the services and the queues of their accounts. */
static int adm_take_services(struct adm *adm, const struct cfg_set *set)
{
	size_t i;
	size_t j;

	adm->services = calloc(set->service_count + 1, sizeof(*adm->services));
	if (!adm->services)
		return -1;
	for (i = 0; i < set->service_count; i++) {
		CDS_INIT_LIST_HEAD(&adm->services[i].active);
		for (j = 0; j < set->account_count; j++) {
			struct adm_queue *queue =
				adm_queue_at(adm, (int)i, (int)j);

			CDS_INIT_LIST_HEAD(&queue->waiting);
			queue->service = (int)i;
			queue->account = (int)j;
			queue->retries = ADM_RETRY_BURST;
		}
	}
	return 0;
}

/* Sets a service to what its object says, and keeps its estimates. */
static void adm_take_service(struct adm_service *service,
			     const struct cfg_service *cfg,
			     const struct adm_service *old, int old_count,
			     int hint)
{
	int at = -1;

	mag_copy_name(service->name, sizeof(service->name), cfg->name);
	service->plain = cfg->kind == CFG_PLAIN;
	service->queue_max = cfg->queue_max;
	service->retry_percent = cfg->retry_percent;
	service->us_per_token = ADM_START_US_PER_TOKEN;
	service->mean_cost = ADM_START_COST;
	service->used_part = 1;
	if (old)
		at = mag_name_near(old->name, sizeof(*old), (size_t)old_count,
				   cfg->name, hint);
	if (at < 0)
		return;
	service->capacity = old[at].capacity;
	service->measured = old[at].measured;
	service->us_per_token = old[at].us_per_token;
	service->mean_cost = old[at].mean_cost;
	service->us_deviation = old[at].us_deviation;
	service->used_part = old[at].used_part;
	service->used_deviation = old[at].used_deviation;
	service->answers = old[at].answers;
}

/* Makes the accounts. */
static int adm_take_accounts(struct adm *adm, const struct cfg_set *set)
{
	size_t i;

	adm->accounts = calloc(set->account_count + 1, sizeof(*adm->accounts));
	if (!adm->accounts)
		return -1;
	for (i = 0; i < set->account_count; i++) {
		struct adm_account *account = &adm->accounts[i];

		mag_copy_name(account->name, sizeof(account->name),
			      set->accounts[i].name);
		account->weight = set->accounts[i].weight;
		if (account->weight < ADM_LEAST_WEIGHT)
			account->weight = ADM_LEAST_WEIGHT;
	}
	return 0;
}

/* Makes the limits, each with its whole amount until adm_set_share. */
static int adm_take_limits(struct adm *adm, const struct cfg_set *set,
			   int64_t now)
{
	size_t i;

	adm->limit_count = (int)set->limit_count;
	adm->limits = calloc(set->limit_count + 1, sizeof(*adm->limits));
	if (!adm->limits)
		return -1;
	for (i = 0; i < set->limit_count; i++)
		adm_take_limit(&adm->limits[i], &set->limits[i], now);
	return 0;
}

/* Sets one limit to what its object says. */
static void adm_take_limit(struct adm_limit *limit, const struct cfg_limit *cfg,
			   int64_t now)
{
	mag_copy_name(limit->name, sizeof(limit->name), cfg->name);
	limit->account = cfg->account;
	limit->service = cfg->service;
	limit->concurrent = cfg->concurrent;
	limit->whole_requests = cfg->requests_per_s;
	limit->whole_tokens = cfg->tokens_per_s;
	limit->whole_concurrent = cfg->concurrent;
	limit->demand_us = now;
	adm_bucket_set(&limit->requests, cfg->requests_per_s,
		       cfg->requests_per_s, now);
	adm_bucket_set(&limit->tokens, cfg->tokens_per_s, cfg->tokens_per_s,
		       now);
	limit->requests.level = limit->requests.most;
	limit->tokens.level = limit->tokens.most;
}

/* Makes the retry budgets of the endpoints. */
static int adm_take_endpoints(struct adm *adm, const struct cfg_set *set,
			      int64_t now)
{
	size_t i;

	adm->endpoint_count = (int)set->endpoint_count;
	adm->endpoints =
		calloc(set->endpoint_count + 1, sizeof(*adm->endpoints));
	if (!adm->endpoints)
		return -1;
	for (i = 0; i < set->endpoint_count; i++) {
		struct adm_endpoint *endpoint = &adm->endpoints[i];
		double most = set->endpoints[i].concurrency;

		mag_copy_name(endpoint->name, sizeof(endpoint->name),
			      set->endpoints[i].name);
		if (most < ADM_RETRY_BURST)
			most = ADM_RETRY_BURST;
		adm_bucket_set(&endpoint->retries, most * ADM_RETRY_REFILL,
			       most, now);
		endpoint->retries.level = most;
	}
	return 0;
}

/* Moves the requests and budgets of the former set to the new tables. */
static int adm_move_requests(struct adm *adm, const struct adm *old)
{
	struct adm_request *request;
	int b;
	int i;

	adm->heap_count = 0;
	for (b = 0; b < ADM_BUCKETS; b++) {
		cds_list_for_each_entry (request, &adm->by_id[b], by_id)
			adm_move_request(adm, old, request);
	}
	for (i = 0; i < old->service_count * old->account_count; i++) {
		const struct adm_queue *from = &old->queues[i];
		const char *service = old->services[from->service].name;
		const char *account = old->accounts[from->account].name;
		int s = mag_name_near(
			adm->services->name, sizeof(*adm->services),
			(size_t)adm->service_count, service, from->service);
		int a = mag_name_near(
			adm->accounts->name, sizeof(*adm->accounts),
			(size_t)adm->account_count, account, from->account);

		if (s < 0 || a < 0)
			continue;
		adm_queue_at(adm, s, a)->retries = from->retries;
		adm_queue_at(adm, s, a)->firsts = from->firsts;
		adm_queue_at(adm, s, a)->firsts_us = from->firsts_us;
		adm_queue_at(adm, s, a)->return_us = from->return_us;
	}
	return 0;
}

/*
 * Keeps what is left of each limit, and this instance's part of it.  A limit
 * that started full after every change of some object would let in its whole
 * amount once more each time.
 */
static void adm_move_limits(struct adm *adm, const struct adm *old, int64_t now)
{
	int next = 0;
	int i;

	for (i = 0; i < adm->limit_count; i++) {
		struct adm_limit *to = &adm->limits[i];
		int at = -1;

		if (old->limits)
			at = mag_name_near(
				old->limits->name, sizeof(*old->limits),
				(size_t)old->limit_count, to->name, next);
		if (at < 0)
			continue;
		next = at + 1;
		adm_keep_limit(to, &old->limits[at], now);
	}
}

/* The same for the retries that each endpoint may cause. */
static void adm_move_endpoints(struct adm *adm, const struct adm *old,
			       int64_t now)
{
	int next = 0;
	int i;

	for (i = 0; i < adm->endpoint_count; i++) {
		struct adm_endpoint *to = &adm->endpoints[i];
		int at = -1;

		if (old->endpoints)
			at = mag_name_near(
				old->endpoints->name, sizeof(*old->endpoints),
				(size_t)old->endpoint_count, to->name, next);
		if (at < 0)
			continue;
		next = at + 1;
		adm_bucket_keep(&to->retries, &old->endpoints[at].retries, now);
	}
}

/* Moves one request; without its account or service it is given up. */
static void adm_move_request(struct adm *adm, const struct adm *old,
			     struct adm_request *request)
{
	int service = -1;
	int account = -1;

	if (request->service >= 0) {
		service = mag_name_near(
			adm->services->name, sizeof(*adm->services),
			(size_t)adm->service_count,
			old->services[request->service].name, request->service);
		account = mag_name_near(
			adm->accounts->name, sizeof(*adm->accounts),
			(size_t)adm->account_count,
			old->accounts[request->account].name, request->account);
	}
	if (service < 0 || account < 0) {
		service = -1;
		account = -1;
		request->give_up_us = 0;
	}
	request->service = service;
	request->account = account;
	if (!request->started_us)
		adm_enqueue(adm, request);
	if (service >= 0) {
		struct adm_offer offer = { .account = account,
					   .service = service };

		adm_queue_at(adm, service, account)->inside++;
		adm_limits_enter(adm, &offer);
	}
}

/* Frees the tables that a set fills. */
static void adm_free_tables(struct adm *adm)
{
	free(adm->services);
	free(adm->accounts);
	free(adm->queues);
	free(adm->limits);
	free(adm->endpoints);
}

/* Tells whether both indices name an object of the present set. */
static bool adm_known(const struct adm *adm, int account, int service)
{
	return account >= 0 && account < adm->account_count && service >= 0 &&
	       service < adm->service_count;
}

/*
 * Judges an offer.  A request that would miss its deadline is refused now:
 * admitted, it would wait, run and be thrown away, and under overload the
 * endpoints would work on nothing else; goodput would fall while throughput
 * stays.
 */
static enum adm_verdict adm_judge(struct adm *adm,
				  const struct adm_offer *offer,
				  struct adm_queue *queue, int64_t now)
{
	struct adm_service *service = &adm->services[offer->service];
	double share = adm_share(adm, queue);
	double fair = service->queue_max * share;
	int64_t run = adm_run_us(service, adm_run_tokens(offer),
				 adm_is_modest(adm, queue, now));

	if (now + adm_wait_us(adm, queue) + run > offer->deadline_us)
		return ADM_TOO_LATE;
	if (service->waiting >= service->queue_max &&
	    queue->count >= (uint32_t)fair)
		return queue->count > 2 * fair + 1 ? ADM_OVER_SHARE
						   : ADM_QUEUE_FULL;
	if (service->waiting >= service->queue_max / 2 &&
	    queue->count > (uint32_t)fair + 1)
		return ADM_OVER_SHARE;
	if (!adm_limits_allow(adm, offer, now))
		return ADM_OVER_LIMIT;
	return ADM_QUEUED;
}

/* Returns the tokens that a request may run for. */
static uint32_t adm_run_tokens(const struct adm_offer *offer)
{
	uint32_t tokens = offer->run_tokens;

	if (tokens == 0)
		tokens = offer->cost_tokens;
	return tokens ? tokens : 1;
}

/* Puts an admitted request into its queue. */
static int adm_admit(struct adm *adm, const struct adm_offer *offer,
		     int64_t now)
{
	struct adm_service *service = &adm->services[offer->service];
	struct adm_request *request = calloc(1, sizeof(*request));

	if (!request || adm_heap_reserve(adm) < 0) {
		free(request);
		return -1;
	}
	request->id = offer->req;
	request->account = offer->account;
	request->service = offer->service;
	request->cost = offer->cost_tokens ? offer->cost_tokens : 1;
	request->run = adm_run_tokens(offer);
	request->priority = offer->priority;
	request->offered_us = now;
	request->give_up_us =
		offer->deadline_us -
		adm_run_us(service, request->run,
			   adm_is_modest(adm,
					 adm_queue_at(adm, offer->service,
						      offer->account),
					 now));
	request->seq = adm->seq++;
	cds_list_add_tail(&request->by_id,
			  &adm->by_id[offer->req & (ADM_BUCKETS - 1)]);
	adm_queue_at(adm, offer->service, offer->account)->inside++;
	adm_limits_enter(adm, offer);
	adm_enqueue(adm, request);
	return 0;
}

/* Takes a request out of every table. */
static void adm_forget(struct adm *adm, struct adm_request *request)
{
	if (!request->started_us)
		adm_dequeue(adm, request);
	if (request->service >= 0) {
		adm_queue_at(adm, request->service, request->account)->inside--;
		adm_limits_leave(adm, request);
	}
	cds_list_del(&request->by_id);
	free(request);
}
