#include <stdlib.h>

#include "adm_int.h"

/* Tokens that an account of weight 1 may start per round. */
#define ADM_QUANTUM 64
/* Requests of one queue that may be skipped in a round. */
#define ADM_SKIP_MAX	 4
#define ADM_HEAP_INITIAL 256

static struct adm_request *adm_candidate(const struct adm_queue *queue);
static struct adm_request *adm_select_next(struct adm *adm,
					   struct adm_service *service);
static void adm_reset_skips(struct adm_service *service);
static void adm_insert(struct adm_queue *queue, struct adm_request *request);
static bool adm_starts_before(const struct adm_request *a,
			      const struct adm_request *b);
static void adm_heap_set(struct adm *adm, struct adm_request *request, int at);
static void adm_heap_up(struct adm *adm, int at);
static void adm_heap_down(struct adm *adm, int at);
static void adm_heap_remove(struct adm *adm, struct adm_request *request);

/*
 * Returns the next request of a service.  Returns false if none waits or all
 * were skipped; this ends the round.  The result stays the same until
 * adm_start, adm_skip or adm_drop.
 */
bool adm_peek(struct adm *adm, int service, uint64_t *req)
{
	struct adm_service *s;

	if (service < 0 || service >= adm->service_count)
		return false;
	s = &adm->services[service];
	if (!s->peeked)
		s->peeked = adm_select_next(adm, s);
	if (!s->peeked) {
		adm_reset_skips(s);
		return false;
	}
	*req = s->peeked->id;
	return true;
}

/*
 * Skips the request returned by adm_peek, because no endpoint can run it now.
 * It retains its position, and adm_peek returns other requests for the rest of
 * this round.
 */
void adm_skip(struct adm *adm, int service)
{
	struct adm_service *s = &adm->services[service];

	if (!s->peeked)
		return;
	adm_queue_at(adm, service, s->peeked->account)->skipped++;
	s->peeked = NULL;
}

/*
 * Returns a request that has waited too long to be answered by its deadline.
 * The calling code must answer and drop it.  Returns false if there is none.
 */
bool adm_next_expired(struct adm *adm, int64_t now, uint64_t *req)
{
	if (adm->heap_count == 0 || adm->heap[0]->latest_start_us > now)
		return false;
	*req = adm->heap[0]->id;
	return true;
}

/* Returns when the next waiting request expires, MAG_NEVER if none waits. */
int64_t adm_next_deadline(const struct adm *adm)
{
	return adm->heap_count ? adm->heap[0]->latest_start_us : MAG_NEVER;
}

/* Adds a request to its account's queue.  The heap must have space for it. */
void adm_enqueue(struct adm *adm, struct adm_request *request)
{
	struct adm_service *service;
	struct adm_queue *queue;

	adm_heap_set(adm, request, adm->heap_count++);
	adm_heap_up(adm, request->heap_index);
	if (request->service < 0)
		return;
	service = &adm->services[request->service];
	queue = adm_queue_at(adm, request->service, request->account);
	if (queue->count == 0)
		cds_list_add_tail(&queue->active, &service->active);
	adm_insert(queue, request);
	queue->count++;
	queue->waiting_tokens += request->run_tokens;
	service->waiting++;
	service->waiting_tokens += request->run_tokens;
}

/* Removes a request from its queue. */
void adm_dequeue(struct adm *adm, struct adm_request *request)
{
	struct adm_service *service;
	struct adm_queue *queue;

	adm_heap_remove(adm, request);
	if (request->service < 0)
		return;
	service = &adm->services[request->service];
	queue = adm_queue_at(adm, request->service, request->account);
	if (service->peeked == request)
		service->peeked = NULL;
	cds_list_del(&request->queue_node);
	queue->count--;
	queue->waiting_tokens -= request->run_tokens;
	service->waiting--;
	service->waiting_tokens -= request->run_tokens;
	if (queue->count > 0)
		return;
	queue->skipped = 0;
	cds_list_del(&queue->active);
}

/* Ensures that the heap has space for one more request. */
int adm_heap_reserve(struct adm *adm)
{
	int capacity =
		adm->heap_capacity ? 2 * adm->heap_capacity : ADM_HEAP_INITIAL;
	struct adm_request **heap;

	if (adm->heap_count < adm->heap_capacity)
		return 0;
	heap = realloc(adm->heap,
		       (size_t)capacity * sizeof(struct adm_request *));
	if (!heap)
		return -1;
	adm->heap = heap;
	adm->heap_capacity = capacity;
	return 0;
}

/* Returns the first request of a queue that was not skipped, or NULL. */
static struct adm_request *adm_candidate(const struct adm_queue *queue)
{
	struct adm_request *request;
	uint32_t at = 0;

	if (queue->skipped >= ADM_SKIP_MAX)
		return NULL;
	cds_list_for_each_entry (request, &queue->waiting, queue_node) {
		if (at++ == queue->skipped)
			return request;
	}
	return NULL;
}

/*
 * Deficit round robin.  The first queue starts requests while its deficit
 * covers their cost, then earns a quantum by its weight and moves to the end.
 * A queue whose requests were all skipped earns nothing.
 */
static struct adm_request *adm_select_next(struct adm *adm,
					   struct adm_service *service)
{
	struct adm_queue *first_skipped = NULL;

	while (!cds_list_empty(&service->active)) {
		struct adm_queue *queue = cds_list_first_entry(
			&service->active, struct adm_queue, active);
		struct adm_request *request = adm_candidate(queue);

		if (request && queue->deficit >= request->cost_tokens)
			return request;
		if (!request && queue == first_skipped)
			return NULL;
		if (request) {
			first_skipped = NULL;
			queue->deficit += ADM_QUANTUM *
					  adm->accounts[queue->account].weight;
		} else if (!first_skipped) {
			first_skipped = queue;
		}
		cds_list_del(&queue->active);
		cds_list_add_tail(&queue->active, &service->active);
	}
	return NULL;
}

/* Starts a new round: no request counts as skipped. */
static void adm_reset_skips(struct adm_service *service)
{
	struct adm_queue *queue;

	cds_list_for_each_entry (queue, &service->active, active)
		queue->skipped = 0;
}

/* Inserts by priority, and in order of arrival within a priority. */
static void adm_insert(struct adm_queue *queue, struct adm_request *request)
{
	struct cds_list_head *at = queue->waiting.prev;

	while (at != &queue->waiting &&
	       adm_starts_before(request, cds_list_entry(at, struct adm_request,
							 queue_node)))
		at = at->prev;
	cds_list_add(&request->queue_node, at);
}

/* Tells whether request a starts before request b of the same account. */
static bool adm_starts_before(const struct adm_request *a,
			      const struct adm_request *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return (int32_t)(a->seq - b->seq) < 0;
}

/* Stores a request at an index of the heap. */
static void adm_heap_set(struct adm *adm, struct adm_request *request, int at)
{
	adm->heap[at] = request;
	request->heap_index = at;
}

/* Moves a request towards the root while it expires before its parent. */
static void adm_heap_up(struct adm *adm, int at)
{
	struct adm_request *request = adm->heap[at];

	while (at > 0) {
		int parent = (at - 1) / 2;

		if (adm->heap[parent]->latest_start_us <=
		    request->latest_start_us)
			break;
		adm_heap_set(adm, adm->heap[parent], at);
		at = parent;
	}
	adm_heap_set(adm, request, at);
}

/* Moves a request towards the leaves while a child expires before it. */
static void adm_heap_down(struct adm *adm, int at)
{
	struct adm_request *request = adm->heap[at];

	for (;;) {
		int child = 2 * at + 1;

		if (child >= adm->heap_count)
			break;
		if (child + 1 < adm->heap_count &&
		    adm->heap[child + 1]->latest_start_us <
			    adm->heap[child]->latest_start_us)
			child++;
		if (request->latest_start_us <=
		    adm->heap[child]->latest_start_us)
			break;
		adm_heap_set(adm, adm->heap[child], at);
		at = child;
	}
	adm_heap_set(adm, request, at);
}

/* Removes a request from the heap. */
static void adm_heap_remove(struct adm *adm, struct adm_request *request)
{
	struct adm_request *last = adm->heap[--adm->heap_count];
	int at = request->heap_index;

	if (last == request)
		return;
	adm_heap_set(adm, last, at);
	adm_heap_down(adm, at);
	adm_heap_up(adm, last->heap_index);
}
