#include "clk.h"
#include "eq.h"
#include "hint.h"

/*
 * What the urgency of a request means for it: the room that it leaves free, its
 * rank in the queue, and the least part of its route and account that is
 * served.  Only requests of services with several urgencies are ranked; others
 * are served as they come.
 */

/* Distinguishes accounts from routes of the same name. */
#define EQ_ACCOUNT_KEY 0x61636374U

/*
 * Largest factor for peers that are not heard of: routers that are gone stay in
 * the list for a while.
 */
#define EQ_LOAD_FACTOR_MAX 2.0

static bool eq_is_below_floor(const struct eq *eq, int64_t now);
static uint32_t eq_account_key(const struct eq *eq);

/* Returns the key under which a request is counted in the metrics. */
struct met_urgent_key eq_met_key(const struct eq *eq)
{
	return (struct met_urgent_key){ eq->service->name, eq->account,
					eq->urgency };
}

/* Counts an arrived request in the demand, and sets its place in the queue. */
void eq_set_urgency(struct eq *eq, int64_t now)
{
	struct met_urgent_key key;

	if (!eq_is_ranked(eq))
		return;
	eq->asked = true;
	key = eq_met_key(eq);
	met_urgent_asked(&eq->edge->met_urgent, &key);
	urg_arrived(&eq_edge_service(eq, now)->urg, eq->urgency, eq_need(eq));
	eq->wait.late = now >= eq->target_deadline_us;
	eq->wait.rank =
		eq_is_below_floor(eq, now)
			? 0
			: urg_set_rank(&eq->service->urgencies, eq->urgency);
}

/* Tells whether the configuration gives the service's requests priorities. */
bool eq_is_ranked(const struct eq *eq)
{
	return eq->service && eq->service->urgencies.count > 1;
}

/* Returns what is kept of the request's service. */
struct edge_service *eq_edge_service(const struct eq *eq, int64_t now)
{
	return edge_service(eq->edge, eq->service->name, now);
}

/*
 * Computes which fractions of the capacity the request leaves free for more
 * urgent ones; to be called before workers are chosen for it.  A stream that
 * goes on leaves none: its first part has run already.
 */
void eq_update_reserve(struct eq *eq, int64_t now)
{
	const struct edge_service *service;
	struct met_urgent_key key;

	eq->reserve = 0;
	eq->slot_reserve = 0;
	if (!eq_is_ranked(eq) || eq->state == EQ_STREAMING ||
	    eq_is_below_floor(eq, now))
		return;
	hint_drop_expired(eq->edge->hint, now);
	service = eq_edge_service(eq, now);
	if (service->capacity > 0)
		eq->reserve = urg_reserve(&service->urg, eq->urgency,
					  service->capacity);
	if (service->slot_capacity > 0)
		eq->slot_reserve = urg_reserve(&service->urg, eq->urgency,
					       service->slot_capacity);
	key = eq_met_key(eq);
	met_urgent_reserved(&eq->edge->met_urgent, &key,
			    eq->reserve > eq->slot_reserve ? eq->reserve
							   : eq->slot_reserve,
			    now);
}

/*
 * Returns the fraction of a worker's memory that the request may use up to.
 * Late requests leave the last memory to those of their urgency in time.
 */
double eq_memory_limit(const struct eq *eq, int64_t now)
{
	double limit = CHN_MEMORY_LIMIT - eq->reserve;

	if (eq->last_event < 0 && now >= eq->target_deadline_us)
		limit -= CHN_MEMORY_LIMIT - CHN_YIELD_LIMIT;
	return limit;
}

/*
 * Returns by which factor what routers are known to hold is multiplied for the
 * request.  While the service is short, peers that this router does not hear
 * of hold as much as the others; less urgent requests would otherwise take what
 * they keep free.
 */
double eq_load_factor(const struct eq *eq, int64_t now)
{
	double factor;

	if (!eq_is_ranked(eq) || eq->wait.rank == 0 ||
	    eq->state == EQ_STREAMING ||
	    !edge_service_is_short(eq_edge_service(eq, now), now))
		return 1;
	factor = hint_unheard_factor(eq->edge->hint);
	return factor < EQ_LOAD_FACTOR_MAX ? factor : EQ_LOAD_FACTOR_MAX;
}

/*
 * Returns how many requests peers are assumed to have begun at a worker since
 * they last reported: each as many as this router.  All routers see the same
 * slots become free.  Less urgent requests would use them several times over in
 * a round of messages, and more urgent ones would find none until enough of
 * those have ended.
 */
int eq_unreported_firsts(const struct eq *eq, const struct wk *wk)
{
	if (!(eq->slot_reserve > 0))
		return 0;
	return wk->recent_first_hops *
	       (edge_routers_per_data_centre(eq->edge) - 1);
}

/*
 * Returns how many requests a plain worker may have, of its slots and places in
 * its queue together.
 */
int eq_slot_limit(const struct eq *eq, int slots)
{
	return (int)(slots * (1 - eq->slot_reserve) + 0.5);
}

/*
 * Counts once whether an admitted request was served or lacked capacity, for
 * the floor of its route and its account.  Others are not counted: callers with
 * unknown keys or requests that crash workers would put a route or an account
 * below the floor.
 */
void eq_count_outcome(struct eq *eq, bool served)
{
	struct met_urgent_key key;
	int64_t now = clk_boot_us();
	struct urg_floor *floor;

	if (eq->counted || !eq->asked)
		return;
	eq->counted = true;
	key = eq_met_key(eq);
	if (served)
		met_urgent_begun(&eq->edge->met_urgent, &key, eq_need(eq));
	else
		met_urgent_refused(&eq->edge->met_urgent, &key);
	floor = &eq_edge_service(eq, now)->floor;
	urg_floor_count(floor, htab_hash(eq->route->name), served, now);
	if (eq->account)
		urg_floor_count(floor, eq_account_key(eq), served, now);
}

/* Tells whether too few requests of its route or account are served. */
static bool eq_is_below_floor(const struct eq *eq, int64_t now)
{
	const struct urg_floor *floor = &eq_edge_service(eq, now)->floor;

	return urg_floor_is_below(floor, htab_hash(eq->route->name), now) ||
	       (eq->account &&
		urg_floor_is_below(floor, eq_account_key(eq), now));
}

static uint32_t eq_account_key(const struct eq *eq)
{
	return htab_hash(eq->account) ^ EQ_ACCOUNT_KEY;
}
