#include <stdlib.h>
#include <string.h>

#include "adm_int.h"

#define ADM_START_US_PER_TOKEN 1000 /* until some request has ended */
#define ADM_START_COST	       100
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
		at = mag_find_name(old->name, sizeof(*old), (size_t)old_count,
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
		int s = mag_find_name(
			adm->services->name, sizeof(*adm->services),
			(size_t)adm->service_count, service, from->service);
		int a = mag_find_name(
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
			at = mag_find_name(
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
			at = mag_find_name(
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
		service = mag_find_name(
			adm->services->name, sizeof(*adm->services),
			(size_t)adm->service_count,
			old->services[request->service].name, request->service);
		account = mag_find_name(
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
void adm_free_tables(struct adm *adm)
{
	free(adm->services);
	free(adm->accounts);
	free(adm->queues);
	free(adm->limits);
	free(adm->endpoints);
}
