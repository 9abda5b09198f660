#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge.h"
#include "jlog.h"

/*
 * A router without a chain counts as not ready after this: longer than a worker
 * is excluded after one refusal, shorter than a restart.
 */
#define EDGE_UNCOVERED_US (600 * MAG_US_PER_MS)
/* Fraction of a link between data centres that all streams together may use. */
#define EDGE_LINK_FRACTION 0.5

/* A service counts as short of capacity for so long after it lacked some. */
#define EDGE_SHORT_US (5 * MAG_US_PER_S)

/* A router that is not ready logs why after this, and then twice as late. */
#define EDGE_UNREADY_LOG_US    (3 * MAG_US_PER_S)
#define EDGE_UNREADY_DOUBLINGS 10

static const char *edge_unready_why(const struct edge *edge, int64_t now);
static const char *edge_unserved_why(const struct edge *edge, int64_t now);
static void edge_init_urgency(struct edge_service *service);
static void edge_expire_services(struct edge *edge, int64_t now);

/* Initialises the tables of data centres and services. */
void edge_init(struct edge *edge)
{
	CDS_INIT_LIST_HEAD(&edge->services);
	bud_init(&edge->no_service.bud, MAG_US_PER_S, 0, 0);
	edge_init_urgency(&edge->no_service);
}

/* Initialises what decides between the requests of a service. */
static void edge_init_urgency(struct edge_service *service)
{
	urg_init(&service->urg);
	urg_floor_init(&service->floor);
	wq_init(&service->wq);
}

/* Frees the table of services. */
void edge_free_services(struct edge *edge)
{
	struct edge_service *service;
	struct edge_service *next;

	cds_list_for_each_entry_safe (service, next, &edge->services, node)
		free(service);
}

/*
 * Returns the index of a data centre, adding a new name to the table; -1 if the
 * table is full.  Workers of such a data centre are not used.
 */
int edge_data_centre_index(struct edge *edge, const char *name)
{
	char text[MAG_NAME_MAX];
	int i;

	for (i = 0; i < edge->data_centre_count; i++) {
		if (strcmp(edge->data_centres[i], name) == 0)
			return i;
	}
	if (i == MAG_DATA_CENTRES_MAX) {
		if (!edge->data_centres_full)
			jlog(LOG_EDGE_CENTRES,
			     "\"data_centre\":\"%s\",\"max\":%d",
			     jlog_sanitize(text, sizeof(text), name),
			     MAG_DATA_CENTRES_MAX);
		edge->data_centres_full = true;
		return -1;
	}
	snprintf(edge->data_centres[i], sizeof(edge->data_centres[i]), "%s",
		 name);
	return edge->data_centre_count++;
}

/*
 * Returns what is kept of a service, adding it to the table.  Without memory
 * for it, the result is an entry whose requests are not retried.
 */
struct edge_service *edge_service(struct edge *edge, const char *name,
				  int64_t now)
{
	struct edge_service *service;

	cds_list_for_each_entry (service, &edge->services, node) {
		if (strcmp(service->name, name) != 0)
			continue;
		service->used_us = now;
		return service;
	}
	edge_expire_services(edge, now);
	service = calloc(1, sizeof(*service));
	if (!service) {
		jlog(LOG_EDGE_MEMORY, "\"service\":\"%s\"", name);
		return &edge->no_service;
	}
	mag_copy_name(service->name, sizeof(service->name), name);
	service->used_us = now;
	bud_init(&service->bud, edge->set.retry_window_us,
		 edge->set.retry_ratio, 0);
	bud_set_draw(&service->bud, mag_random_unit(&edge->seed));
	edge_init_urgency(service);
	cds_list_add_tail(&service->node, &edge->services);
	edge->service_count++;
	return service;
}

/* Drops the services that have not been used for longer than a budget lasts. */
static void edge_expire_services(struct edge *edge, int64_t now)
{
	struct edge_service *service;
	struct edge_service *next;

	cds_list_for_each_entry_safe (service, next, &edge->services, node) {
		if (now - service->used_us < 2 * edge->set.retry_window_us ||
		    wq_first(&service->wq))
			continue;
		cds_list_del(&service->node);
		edge->service_count--;
		free(service);
	}
}

/* Tells whether a request for a service lacked capacity lately. */
bool edge_service_is_short(const struct edge_service *service, int64_t now)
{
	return service->short_us && now - service->short_us <= EDGE_SHORT_US;
}

/*
 * Returns the retry budget of a service with this instance's part of the slack.
 * There is none before the whole list of instances has been read; those of a
 * data centre are read before the others.  At the first start of the whole
 * system no process before this one has spent any; the settings of an instance
 * that is started once more may still say that it is the first start.
 */
struct bud *edge_budget(struct edge *edge, const char *name, int64_t now)
{
	struct edge_service *service = edge_service(edge, name, now);
	int routers = 1 + pres_peer_count(edge->pres);
	bool first = edge->set.first_start && !pres_is_preceded(edge->pres);
	int64_t age_us = first ? MAG_NEVER : now - edge->started_us;
	double part = 0;

	if (routers > edge->max_routers_seen)
		edge->max_routers_seen = routers;
	edge->routers_listed |= pres_is_listed(edge->pres);
	if (edge->routers_listed)
		part = bud_slack_part(edge->set.retry_slack,
				      edge->max_routers_seen, age_us,
				      edge->set.retry_window_us);
	if (service == &edge->no_service)
		return &service->bud;
	bud_set_first(&service->bud, first ? edge->started_us : -MAG_NEVER);
	bud_set_slack(&service->bud, part);
	return &service->bud;
}

/*
 * Tells whether a chain may cross between two data centres now.
 *
 * Load pattern: layers are lost, every router finds chains through another data
 * centre, and the one link between the two carries all of their prompts, one
 * after the other.  Beyond its capacity every stream on it stalls until its
 * caller leaves and the stream is sent again.  Each router therefore uses at
 * most its part of half of the link's capacity; requests that do not fit are
 * refused at once.
 */
bool edge_may_cross_data_centres(struct edge *edge,
				 const struct rt_engine *engine, int64_t now)
{
	double bytes_per_s =
		engine->link_mbps * 1e6 / 8 * EDGE_LINK_FRACTION /
		(edge->max_routers_seen > 0 ? edge->max_routers_seen : 1);

	edge->crossing_budget_bytes +=
		bytes_per_s * (double)(now - edge->crossing_budget_us) /
		MAG_US_PER_S;
	edge->crossing_budget_us = now;
	if (edge->crossing_budget_bytes > bytes_per_s)
		edge->crossing_budget_bytes = bytes_per_s;
	return edge->crossing_budget_bytes > 0;
}

/*
 * Returns the number of routers in a data centre, assuming an even
 * distribution.  These routers react to the same fault at the same moment.
 */
int edge_routers_per_data_centre(const struct edge *edge)
{
	int routers = 1 + pres_peer_count(edge->pres);

	if (edge->data_centre_count > 1)
		routers = (routers + edge->data_centre_count - 1) /
			  edge->data_centre_count;
	return routers;
}

/* Returns a random number; not for secrets. */
uint64_t edge_random(struct edge *edge)
{
	return mag_random(&edge->seed);
}

/*
 * Tells whether there is a configuration to serve by, and a list of workers.  A
 * router that starts after the store was restored from a backup may read an
 * older configuration than the one in force.  It waits for the reports of its
 * peers, and for the operator to write the version that they report again.
 */
bool edge_has_config(const struct edge *edge, int64_t now)
{
	if (!edge->rt || !edge->workers_listed)
		return false;
	if (edge->attest.confirmed_us)
		return true;
	return !edge_is_behind(edge) &&
	       era_may_use_config(&edge->era,
				  sto_era(edge->sto) != POS_ERA_NONE, now);
}

/*
 * Tells whether this router should receive callers.  One that reaches no
 * complete copy of the model cannot run streams: other routers, if there are
 * any, serve its callers better.
 */
bool edge_is_ready(const struct edge *edge, int64_t now)
{
	return !edge_unready_why(edge, now);
}

/* Returns why this router should not receive callers; NULL if it should. */
static const char *edge_unready_why(const struct edge *edge, int64_t now)
{
	const char *why = edge_unserved_why(edge, now);

	if (!why && edge->was_covered && edge->uncovered_since_us &&
	    now - edge->uncovered_since_us > EDGE_UNCOVERED_US)
		why = "no chain";
	return why;
}

/* Logs why this router is not ready, at first after some seconds. */
void edge_log_unready(struct edge *edge, int64_t now)
{
	const char *why = edge_unready_why(edge, now);

	if (!why || edge->stopping) {
		edge->unready_since_us = 0;
		return;
	}
	if (!edge->unready_since_us) {
		edge->unready_since_us = now;
		edge->unready_logs = 0;
	}
	if (now - edge->unready_since_us < mag_backoff(EDGE_UNREADY_LOG_US,
						       edge->unready_logs,
						       EDGE_UNREADY_DOUBLINGS))
		return;
	edge->unready_logs++;
	jlog(LOG_EDGE_UNREADY,
	     "\"why\":\"%s\",\"since_ms\":%d,\"config\":%lld,"
	     "\"workers\":%d,\"store_reachable\":%s",
	     why, (int)((now - edge->unready_since_us) / MAG_US_PER_MS),
	     edge->rt ? (long long)edge->rt->version : -1LL,
	     edge->workers.count, edge->store_reachable ? "true" : "false");
}

/*
 * Tells whether there is a newer configuration than the one in force here:
 * another router has it in force, or it cannot be put in force.
 */
bool edge_is_behind(const struct edge *edge)
{
	return edge->config_refused ||
	       attest_is_behind(&edge->attest,
				edge->rt ? edge->rt->version : -1);
}

/* Tells whether the store or another router answers this one. */
bool edge_has_source(const struct edge *edge)
{
	return edge->store_reachable || !rel_follows_store(edge->rel);
}

/*
 * Tells whether this router should have had the newer configuration of another
 * one long ago, so that it must not go by its own any more.  One that can
 * reach neither the store nor another router serves what it can.
 */
bool edge_is_outdated(const struct edge *edge, int64_t now)
{
	return edge_has_source(edge) && edge->rt &&
	       attest_is_outdated(&edge->attest, edge->rt->version,
				  edge->set.config_apply_us, now);
}

/*
 * Tells whether this router can accept requests.  A router that is cut off from
 * the store can soon no longer check keys.
 */
bool edge_may_serve(const struct edge *edge, int64_t now)
{
	return !edge_unserved_why(edge, now);
}

/* Returns why this router cannot accept requests; NULL if it can. */
static const char *edge_unserved_why(const struct edge *edge, int64_t now)
{
	if (!edge->rt)
		return "no configuration";
	if (!edge->workers_listed)
		return "no list of workers";
	if (!edge_has_config(edge, now))
		return "configuration unconfirmed";
	if (edge->stopping)
		return "stopping";
	if (edge_is_outdated(edge, now))
		return "configuration outdated";
	if (edge->rt->has_accounts && edge->set.keys_fail_closed &&
	    attest_soon_untrusted(&edge->attest, edge->set.keys_stale_us, now))
		return "keys too old";
	return NULL;
}
