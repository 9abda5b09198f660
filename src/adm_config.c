#include <stdlib.h>
#include <string.h>

#include "adm_int.h"

#define ADM_INITIAL_US_PER_TOKEN 1000 /* until a request has ended */
#define ADM_INITIAL_COST	 100
#define ADM_MIN_WEIGHT		 1

static int adm_load_services(struct adm *adm, const struct cfg_set *set);
static void adm_load_service(struct adm_service *service,
			     const struct cfg_service *cfg,
			     const struct adm_service *old, int old_count,
			     int hint);
static int adm_load_accounts(struct adm *adm, const struct cfg_set *set);
static int adm_load_limits(struct adm *adm, const struct cfg_set *set,
			   int64_t now);
static void adm_load_limit(struct adm_limit *limit, const struct cfg_limit *cfg,
			   int64_t now);
static int adm_load_endpoints(struct adm *adm, const struct cfg_set *set,
			      int64_t now);
static int adm_move_requests(struct adm *adm, const struct adm *old);
static void adm_move_limits(struct adm *adm, const struct adm *old,
			    int64_t now);
static void adm_move_endpoints(struct adm *adm, const struct adm *old,
			       int64_t now);
static void adm_move_request(struct adm *adm, const struct adm *old,
			     struct adm_request *request);

/*
 * Applies a configuration.  Requests, budgets and estimates of accounts and
 * services that exist in both configurations are retained.  Waiting requests
 * whose account or service was removed expire at the next adm_next_expired.
 * Returns 0, or -1 if out of memory.
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
	if (!adm->queues || adm_load_services(adm, set) < 0 ||
	    adm_load_accounts(adm, set) < 0 ||
	    adm_load_limits(adm, set, now) < 0 ||
	    adm_load_endpoints(adm, set, now) < 0)
		return -1;
	for (i = 0; i < set->service_count; i++)
		adm_load_service(&adm->services[i], &set->services[i],
				 old.services, old.service_count, (int)i);
	if (adm_move_requests(adm, &old) < 0)
		return -1;
	adm_move_limits(adm, &old, now);
	adm_move_endpoints(adm, &old, now);
	adm_free_tables(&old);
	return 0;
}

/* Creates the services and the queues of their accounts. */
static int adm_load_services(struct adm *adm, const struct cfg_set *set)
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
			queue->retry_balance = ADM_RETRY_BURST;
		}
	}
	return 0;
}

/* Sets up a service from its object and copies its former estimates. */
static void adm_load_service(struct adm_service *service,
			     const struct cfg_service *cfg,
			     const struct adm_service *old, int old_count,
			     int hint)
{
	int old_index = -1;

	mag_copy_name(service->name, sizeof(service->name), cfg->name);
	service->counts_requests = cfg->kind == CFG_PLAIN;
	service->queue_max = cfg->queue_max;
	service->retry_percent = cfg->retry_percent;
	service->us_per_token = ADM_INITIAL_US_PER_TOKEN;
	service->mean_cost = ADM_INITIAL_COST;
	service->answer_ratio = 1;
	if (old)
		old_index = mag_find_name(old->name, sizeof(*old),
					  (size_t)old_count, cfg->name, hint);
	if (old_index < 0)
		return;
	service->capacity = old[old_index].capacity;
	service->measured_rate = old[old_index].measured_rate;
	service->us_per_token = old[old_index].us_per_token;
	service->mean_cost = old[old_index].mean_cost;
	service->us_deviation = old[old_index].us_deviation;
	service->answer_ratio = old[old_index].answer_ratio;
	service->ratio_deviation = old[old_index].ratio_deviation;
	service->answer_count = old[old_index].answer_count;
}

/* Creates the accounts. */
static int adm_load_accounts(struct adm *adm, const struct cfg_set *set)
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
		if (account->weight < ADM_MIN_WEIGHT)
			account->weight = ADM_MIN_WEIGHT;
	}
	return 0;
}

/* Creates the limits, each with its full amount until adm_set_share. */
static int adm_load_limits(struct adm *adm, const struct cfg_set *set,
			   int64_t now)
{
	size_t i;

	adm->limit_count = (int)set->limit_count;
	adm->limits = calloc(set->limit_count + 1, sizeof(*adm->limits));
	if (!adm->limits)
		return -1;
	for (i = 0; i < set->limit_count; i++)
		adm_load_limit(&adm->limits[i], &set->limits[i], now);
	return 0;
}

/* Sets up one limit from its object. */
static void adm_load_limit(struct adm_limit *limit, const struct cfg_limit *cfg,
			   int64_t now)
{
	mag_copy_name(limit->name, sizeof(limit->name), cfg->name);
	limit->account = cfg->account;
	limit->service = cfg->service;
	limit->concurrent = cfg->concurrent;
	limit->fleet_requests = cfg->requests_per_s;
	limit->fleet_tokens = cfg->tokens_per_s;
	limit->fleet_concurrent = cfg->concurrent;
	limit->demand_us = now;
	adm_bucket_set(&limit->requests, cfg->requests_per_s,
		       cfg->requests_per_s, now);
	adm_bucket_set(&limit->tokens, cfg->tokens_per_s, cfg->tokens_per_s,
		       now);
	limit->requests.level = limit->requests.burst;
	limit->tokens.level = limit->tokens.burst;
}

/* Creates the retry budgets of the endpoints. */
static int adm_load_endpoints(struct adm *adm, const struct cfg_set *set,
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
		double burst = set->endpoints[i].concurrency;

		mag_copy_name(endpoint->name, sizeof(endpoint->name),
			      set->endpoints[i].name);
		if (burst < ADM_RETRY_BURST)
			burst = ADM_RETRY_BURST;
		adm_bucket_set(&endpoint->retries,
			       burst * ADM_RETRY_REFILL_PER_S, burst, now);
		endpoint->retries.level = burst;
	}
	return 0;
}

/* Moves requests and account budgets from the former tables to the new ones. */
static int adm_move_requests(struct adm *adm, const struct adm *old)
{
	struct adm_request *request;
	int b;
	int i;

	adm->heap_count = 0;
	for (b = 0; b < ADM_BUCKETS; b++) {
		cds_list_for_each_entry (request, &adm->by_id[b], id_node)
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
		adm_queue_at(adm, s, a)->retry_balance = from->retry_balance;
		adm_queue_at(adm, s, a)->first_attempts = from->first_attempts;
		adm_queue_at(adm, s, a)->first_attempts_us =
			from->first_attempts_us;
		adm_queue_at(adm, s, a)->return_us = from->return_us;
	}
	return 0;
}

/*
 * Carries over the remaining amount of each limit and this instance's share of
 * it.  If limits started full after each change of any object, each change
 * would admit the full amount once more.
 */
static void adm_move_limits(struct adm *adm, const struct adm *old, int64_t now)
{
	int next = 0;
	int i;

	for (i = 0; i < adm->limit_count; i++) {
		struct adm_limit *to = &adm->limits[i];
		int old_index = -1;

		if (old->limits)
			old_index = mag_find_name(
				old->limits->name, sizeof(*old->limits),
				(size_t)old->limit_count, to->name, next);
		if (old_index < 0)
			continue;
		next = old_index + 1;
		adm_limit_carry_over(to, &old->limits[old_index], now);
	}
}

/* Carries over the retry budget of each endpoint. */
static void adm_move_endpoints(struct adm *adm, const struct adm *old,
			       int64_t now)
{
	int next = 0;
	int i;

	for (i = 0; i < adm->endpoint_count; i++) {
		struct adm_endpoint *to = &adm->endpoints[i];
		int old_index = -1;

		if (old->endpoints)
			old_index = mag_find_name(
				old->endpoints->name, sizeof(*old->endpoints),
				(size_t)old->endpoint_count, to->name, next);
		if (old_index < 0)
			continue;
		next = old_index + 1;
		adm_bucket_carry_over(&to->retries,
				      &old->endpoints[old_index].retries, now);
	}
}

/* Moves one request.  It expires if its account or service was removed. */
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
		request->latest_start_us = 0;
	}
	request->service = service;
	request->account = account;
	if (!request->started_us)
		adm_enqueue(adm, request);
	if (service >= 0) {
		struct adm_offer offer = { .account = account,
					   .service = service };

		adm_queue_at(adm, service, account)->in_progress++;
		adm_limits_enter(adm, &offer);
	}
}

/* Frees the tables that are created from a configuration. */
void adm_free_tables(struct adm *adm)
{
	free(adm->services);
	free(adm->accounts);
	free(adm->queues);
	free(adm->limits);
	free(adm->endpoints);
}
