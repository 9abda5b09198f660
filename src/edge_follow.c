#include <string.h>

#include "clk.h"
#include "edge.h"
#include "hint.h"
#include "jlog.h"
#include "pl_config.h"
#include "pl_store.h"
#include "pl_worker.h"

/*
 * A watch is answered after this at the latest.  Each one that comes back is
 * paid for; that a watch has fallen silent shows by what peers were told.
 */
#define EDGE_WATCH_MS 10000
/* What is known of the store goes to peers at once if younger by so much. */
#define EDGE_ANNOUNCE_US (200 * MAG_US_PER_MS)
/* Entries that lapsed in an outage of the store are back by then. */
#define EDGE_LAPSED_US (1700 * MAG_US_PER_MS)
/*
 * A worker resets connections beyond its bound, which all routers share.
 * Each takes its part of four fifths of it; until the others are seen, the
 * part is that of four routers.
 */
#define EDGE_CONNECTIONS_SHARE 0.8
#define EDGE_ROUTERS_LEAST     4
#define EDGE_CONNECTIONS_LEAST 2
#define EDGE_WHY_MAX	       256

static void edge_begin(void *user);
static void edge_item(void *user, const struct wire_item *item);
static void edge_end(void *user);
static void edge_fresh(void *user, int64_t sent_us);
static void edge_config_item(struct edge *edge, const struct wire_item *item);
static void edge_worker_item(struct edge *edge, const struct wire_item *item);
static int edge_connections(const struct edge *edge,
			    const struct rt_service *service);
static void edge_returned(void *user);
static void edge_settle(struct edge *edge);
static void edge_log_settled(struct edge *edge, int64_t now);
static void edge_reachable(void *user, bool reachable);
static int64_t edge_gone_us(const struct edge *edge, int64_t now);

static const struct sto_follow_ops edge_ops = {
	.begin = edge_begin,
	.item = edge_item,
	.end = edge_end,
	.fresh = edge_fresh,
	.returned = edge_returned,
	.reachable = edge_reachable,
};

/*
 * Follows all that the store holds by one watch: configuration, workers and
 * routers.  A watch for each would cost as many calls each time that one
 * comes back, and calls are paid for.
 */
int edge_follow(struct edge *edge)
{
	struct sto_follow_settings all = {
		"",
		EDGE_WATCH_MS,
		attest_gather_us(edge->set.config_apply_us, edge->set.drain_us),
		attest_retry_us(1),
		&edge_ops,
		edge
	};

	edge->store_reachable = true;
	if (sto_follow(edge->sto, &all, &edge->follow)) {
		jlog(LOG_START_FAILED, "\"why\":\"out of memory\"");
		return -1;
	}
	return 0;
}

/* Goes on with the follower, and asks the store where nobody else did. */
void edge_follow_tick(struct edge *edge, int64_t now)
{
	int routers = 1 + pres_peer_count(edge->pres);

	sto_follow_retry(edge->follow, attest_retry_us(routers));
	if (era_ends(&edge->era, now))
		edge_settle(edge);
	sto_tick(edge->sto, now);
	if (attest_is_time_to_ask(&edge->attest, routers, now))
		sto_follow_ask(edge->follow);
}

/* A whole list of the store's keys begins. */
static void edge_begin(void *user)
{
	struct edge *edge = user;

	wk_list_begin(&edge->workers);
	pres_begin(edge->pres);
}

/* Hands a key to the module that it belongs to. */
static void edge_item(void *user, const struct wire_item *item)
{
	struct edge *edge = user;

	if (strcmp(item->key, PL_CONFIG_KEY) == 0)
		edge_config_item(edge, item);
	else if (strncmp(item->key, PL_WORKERS_PREFIX,
			 strlen(PL_WORKERS_PREFIX)) == 0)
		edge_worker_item(edge, item);
	else if (strncmp(item->key, PRES_PREFIX, strlen(PRES_PREFIX)) == 0)
		pres_item(edge->pres, item);
}

static void edge_end(void *user)
{
	struct edge *edge = user;
	int64_t now = clk_boot_us();

	if (era_settled(&edge->era))
		edge_log_settled(edge, now);
	wk_list_end(&edge->workers, edge_gone_us(edge, now), now);
	edge->workers_listed = true;
	pres_end(edge->pres);
}

/*
 * All that was reported was the newest when the call was sent, unless the store
 * has just come back from a copy, or a peer has a newer configuration.
 */
static void edge_fresh(void *user, int64_t sent_us)
{
	struct edge *edge = user;
	int64_t before_us = edge->attest.fresh_us;
	int64_t now = clk_boot_us();

	if (!era_is_news(&edge->era, sent_us) || !edge_has_config(edge, now) ||
	    edge->rt->version < edge->newest_version)
		return;
	attest_from_store(&edge->attest, sent_us);
	if (edge->attest.fresh_us - before_us >= EDGE_ANNOUNCE_US)
		hint_soon(edge->hint, clk_boot_us());
}

/* Takes a newer configuration; an older one never comes back. */
static void edge_config_item(struct edge *edge, const struct wire_item *item)
{
	char text[EDGE_WHY_MAX];
	char why[EDGE_WHY_MAX];
	struct rt_set *fresh;

	if (item->deleted)
		return;
	if (pl_config_decode(item->value, item->len, &fresh, why,
			     sizeof(why))) {
		jlog(LOG_RT_BAD, "\"why\":\"%s\"",
		     jlog_sanitize(text, sizeof(text), why));
		return;
	}
	edge->listed_version = fresh->version;
	if (!edge->workers.listing)
		edge->era.config_written = true;
	if (edge->rt && fresh->version <= edge->rt->version) {
		rt_drop(fresh);
		return;
	}
	jlog(LOG_RT_TAKEN,
	     "\"version\":%lld,\"before\":%lld,\"routes\":%d,\"services\":%d,"
	     "\"accounts\":%d,\"revision\":%lld",
	     (long long)fresh->version,
	     edge->rt ? (long long)edge->rt->version : -1LL, fresh->route_count,
	     fresh->service_count, fresh->account_count,
	     (long long)item->revision);
	rt_drop(edge->rt);
	edge->rt = fresh;
	hs_set_limits(edge->callers, &fresh->limits);
}

/* Returns how many connections this router may have to one worker. */
static int edge_connections(const struct edge *edge,
			    const struct rt_service *service)
{
	int routers = 1 + pres_peer_count(edge->pres);
	int part;

	if (routers < EDGE_ROUTERS_LEAST)
		routers = EDGE_ROUTERS_LEAST;
	part = (int)(service->max_connections * EDGE_CONNECTIONS_SHARE /
		     routers);
	return part < EDGE_CONNECTIONS_LEAST ? EDGE_CONNECTIONS_LEAST : part;
}

/* Takes an entry of the workers' list; one that cannot be read names none. */
static void edge_worker_item(struct edge *edge, const struct wire_item *item)
{
	struct wire_worker worker;
	char why[EDGE_WHY_MAX];
	char text[EDGE_WHY_MAX];
	int64_t now = clk_boot_us();
	struct wk *wk;
	int service;

	if (item->deleted) {
		wk_remove(&edge->workers, item->key + strlen(PL_WORKERS_PREFIX),
			  edge_gone_us(edge, now), now);
		return;
	}
	if (pl_worker_decode(item->key, item->value, item->len, &worker, why,
			     sizeof(why))) {
		jlog(LOG_WK_UNREAD, "\"why\":\"%s\"",
		     jlog_sanitize(text, sizeof(text), why));
		return;
	}
	if (wk_list_put(&edge->workers, &worker, now, &wk))
		return;
	service = edge->rt ? rt_service_named(edge->rt, worker.service) : -1;
	if (service >= 0)
		hc_host_limit(
			wk->host,
			edge_connections(edge, &edge->rt->services[service]));
}

/*
 * The store has come back from an older copy: until all have written again, a
 * list takes nothing away.
 */
static void edge_returned(void *user)
{
	struct edge *edge = user;
	int64_t now = clk_boot_us();

	met_increment(&edge->met, MET_RETURNS);
	era_returned(&edge->era, now);
	wk_returned(&edge->workers, now);
	pres_returned(edge->pres, now);
	hint_soon(edge->hint, now);
}

/* All have written again by now: the next list is taken as it stands. */
static void edge_settle(struct edge *edge)
{
	wk_settled(&edge->workers);
	pres_settled(edge->pres);
	sto_follow_list(edge->follow);
}

/* All is read again; what is missing from the list is gone. */
static void edge_log_settled(struct edge *edge, int64_t now)
{
	met_observe(&edge->met, MET_RECOVERY, now - edge->era.returned_us);
	jlog(LOG_PF_SETTLED,
	     "\"era\":%lld,\"took_ms\":%d,\"workers_gone\":%d,"
	     "\"peers_gone\":%d,\"config\":%lld,\"config_in_store\":%lld",
	     (long long)sto_era(edge->sto),
	     (int)((now - edge->era.returned_us) / MAG_US_PER_MS),
	     wk_missing(&edge->workers), pres_missing(edge->pres),
	     edge->rt ? (long long)edge->rt->version : -1LL,
	     (long long)edge->listed_version);
}

static void edge_reachable(void *user, bool reachable)
{
	struct edge *edge = user;

	edge->store_reachable = reachable;
	if (reachable)
		edge->store_back_us = clk_boot_us();
	jlog(reachable ? LOG_PF_UP : LOG_PF_DOWN, "\"store\":\"%s\"",
	     edge->set.store);
}

/*
 * When a worker whose entry is missing counts as gone: at once, unless the
 * entry may have lapsed while the store was away.  The worker writes it again
 * within two seconds of the store's return then, and to drop all workers at
 * once would refuse every caller for as long.  The time runs from the return
 * and not from when the entry was missed: a worker that leaves a second later
 * must get nothing new within two seconds of that.
 */
static int64_t edge_gone_us(const struct edge *edge, int64_t now)
{
	int64_t lapsed_us = edge->store_back_us + EDGE_LAPSED_US;

	if (!edge->store_reachable)
		return now + EDGE_LAPSED_US;
	return edge->store_back_us && now < lapsed_us ? lapsed_us : now;
}
