#include <string.h>

#include "clk.h"
#include "conf.h"
#include "edge.h"
#include "hint.h"
#include "jlog.h"
#include "pl_store.h"
#include "pl_worker.h"
#include "quar_keep.h"

/*
 * Timeout of a watch at the store.  Each watch that returns is a billed call.
 * A watch that has fallen silent is detected through what peers report.
 */
#define EDGE_WATCH_MS 10000
/*
 * If the time at which the configuration was confirmed as current advances by
 * at least this, peers are told at once.
 */
#define EDGE_ANNOUNCE_US (200 * MAG_US_PER_MS)
/*
 * Entries that expired during an outage of the store are written again within
 * this time of its return.
 */
#define EDGE_REWRITE_US (1700 * MAG_US_PER_MS)
/*
 * An entry expires after three report intervals without a report, so that none
 * can have expired while the store was unreachable for less than two.
 */
#define EDGE_OUTAGE_INTERVALS 1.75
/* A router finds another source within this fraction of the shorter bound. */
#define EDGE_SEARCH_FRACTION 0.8
/*
 * A worker resets connections beyond its limit, which all routers share.  Each
 * router uses its part of four fifths of that limit; until other routers are
 * seen, the part is that of one of four routers.
 */
#define EDGE_CONNECTIONS_FRACTION 0.8
#define EDGE_MIN_ROUTERS	  4
#define EDGE_MIN_CONNECTIONS	  2
#define EDGE_WHY_MAX		  256

static void edge_list_begin(void *user);
static void edge_on_entry(void *user, const struct wire_item *item);
static void edge_list_end(void *user);
static void edge_list_unfinished(void *user, const char *after);
static bool edge_on_applied(void *user);
static void edge_on_fresh(void *user, int64_t sent_us);
static void edge_on_stored_config(struct edge *edge,
				  const struct wire_item *item);
static void edge_refute_versions(struct edge *edge, int64_t read_us,
				 int64_t now);
static bool edge_verify_due(struct edge *edge, int64_t now);
static int64_t edge_version(const struct edge *edge);
static void edge_log_refuted(const struct edge *edge,
			     const struct attest_report *report,
			     const char *why, int64_t now);
static bool edge_take_config(struct edge *edge);
static void edge_put_in_force(struct edge *edge, struct rt_set *set,
			      int64_t revision);
static void edge_log_unsupported(const struct rt_set *set);
static void edge_limit_connections(struct edge *edge, struct wk *wk,
				   const char *service);
static void edge_apply_worker(struct edge *edge, const struct wire_item *item);
static int edge_max_connections(const struct edge *edge,
				const struct rt_service *service);
static void edge_on_store_restored(void *user);
static void edge_end_recovery(struct edge *edge);
static void edge_log_recovery(struct edge *edge, int64_t now);
static void edge_on_reachable(void *user, bool reachable);
static void edge_on_answered(void *user, int64_t at_us);
static int64_t edge_outage_us(const struct edge *edge);
static int64_t edge_gone_us(const struct edge *edge, int64_t now);

static const struct sto_follow_ops edge_ops = {
	.list_begin = edge_list_begin,
	.item = edge_on_entry,
	.list_end = edge_list_end,
	.list_unfinished = edge_list_unfinished,
	.confirmed = edge_on_fresh,
	.restored = edge_on_store_restored,
	.answered = edge_on_answered,
	.reachable = edge_on_reachable,
};

/*
 * Follows everything in the store, by itself or through another router:
 * configuration, workers and routers.  One watch covers all of it; separate
 * ones would each cost a call whenever one returns, and calls are billed.
 * Other routers follow this one through a socket that listens.  Returns -1 if
 * out of memory.
 */
int edge_follow(struct edge *edge, const struct pres_peer *self, int fd,
		const struct hs_ops *forwarded)
{
	struct sto_follow_settings settings = {
		"",
		EDGE_WATCH_MS,
		attest_coalesce_us(edge->set.config_apply_us,
				   edge->set.drain_us),
		attest_retry_max_us(1),
		true,
		&edge_ops,
		edge
	};
	struct rel_owner owner = { &edge_ops, edge_on_applied, edge,
				   forwarded };

	mir_init(&edge->mir);
	edge->store_reachable = true;
	if (sto_follow(edge->sto, &settings, &edge->follow) ||
	    rel_new(edge, self, &owner, fd, &edge->rel))
		return -1;
	return 0;
}

/* Runs the follower and queries the store if no other router has done so. */
void edge_follow_tick(struct edge *edge, int64_t now)
{
	int routers = 1 + pres_peer_count(edge->pres);
	const struct attest_report *report;

	sto_follow_set_retry_max(edge->follow, attest_retry_max_us(routers));
	if (era_relist_due(&edge->era, now))
		edge_end_recovery(edge);
	rel_tick(edge->rel, now);
	sto_tick(edge->sto, now);
	edge->attest.bound_us = rel_served_bound_us(edge->rel);
	if (rel_follows_store(edge->rel) &&
	    (edge_verify_due(edge, now) ||
	     attest_query_due(&edge->attest, routers, now)))
		sto_follow_query(edge->follow);
	while ((report = attest_expire(&edge->attest, edge_version(edge),
				       sto_era(edge->sto), now)))
		edge_log_refuted(edge, report, "unconfirmed", now);
}

/*
 * Tells whether to ask the store for a newer version that a peer has reported
 * for some time; logs the first time.
 */
static bool edge_verify_due(struct edge *edge, int64_t now)
{
	int64_t version = edge_version(edge);
	const struct attest_report *newest;

	if (!attest_verify_due(&edge->attest, version,
			       edge->set.config_apply_us, now))
		return false;
	newest = attest_newest(&edge->attest);
	if (edge->attest.verifications == 1 && newest)
		jlog(LOG_EDGE_BEHIND,
		     "\"peer\":\"%s\",\"version\":%lld,\"heard\":%lld,"
		     "\"since_ms\":%d",
		     newest->peer, (long long)version,
		     (long long)newest->version,
		     (int)((now - edge->attest.behind_since_us) /
			   MAG_US_PER_MS));
	return true;
}

/* Returns the version in force, -1 if there is none. */
static int64_t edge_version(const struct edge *edge)
{
	return edge->rt ? edge->rt->version : -1;
}

static void edge_log_refuted(const struct edge *edge,
			     const struct attest_report *report,
			     const char *why, int64_t now)
{
	jlog(LOG_HINT_REFUTED,
	     "\"peer\":\"%s\",\"field\":\"version\",\"value\":%lld,"
	     "\"own\":%lld,\"era\":%lld,\"own_era\":%lld,\"why\":\"%s\","
	     "\"after_ms\":%d",
	     report->peer, (long long)report->version,
	     (long long)edge_version(edge), (long long)report->era,
	     (long long)sto_era(edge->sto), why,
	     (int)((now - report->since_us) / MAG_US_PER_MS));
}

/* Called when a complete listing of the store's keys begins. */
static void edge_list_begin(void *user)
{
	struct edge *edge = user;

	if (!rel_is_applying(edge->rel))
		mir_list_begin(&edge->mir);
	conf_set_base(&edge->conf, NULL, 0);
	wk_list_begin(&edge->workers);
	pres_list_begin(edge->pres);
	quar_keep_list_begin(edge->keep);
}

/* Passes an entry to the module that its key belongs to. */
static void edge_on_entry(void *user, const struct wire_item *item)
{
	struct edge *edge = user;

	if (conf_is_part(item->key)) {
		if (rel_is_applying(edge->rel))
			conf_on_part(&edge->conf, item);
		else if (strcmp(item->key, PL_CONFIG_KEY) == 0)
			edge_on_stored_config(edge, item);
		return;
	}
	if (!rel_is_applying(edge->rel) && mir_put(&edge->mir, item))
		jlog(LOG_REL_BAD, "\"peer\":\"\",\"why\":\"out of memory\"");
	if (strncmp(item->key, PL_WORKERS_PREFIX, strlen(PL_WORKERS_PREFIX)) ==
	    0)
		edge_apply_worker(edge, item);
	else if (strncmp(item->key, PRES_PREFIX, strlen(PRES_PREFIX)) == 0)
		pres_item(edge->pres, item);
	else if (strncmp(item->key, QUAR_KEEP_PREFIX,
			 strlen(QUAR_KEEP_PREFIX)) == 0)
		quar_keep_item(edge->keep, item, clk_boot_us());
}

static void edge_list_end(void *user)
{
	struct edge *edge = user;
	int64_t now = clk_boot_us();

	if (!rel_is_applying(edge->rel))
		mir_list_end(&edge->mir, sto_follow_pos(edge->follow).revision);
	if (era_list_done(&edge->era))
		edge_log_recovery(edge, now);
	wk_list_end(&edge->workers, edge_gone_us(edge, now), now);
	edge->workers_listed = true;
	pres_list_end(edge->pres);
}

/*
 * Called when the store does not serve the rest of a list.  Its keys are in
 * order: routers come before the configuration, and workers after it.  Workers
 * that have not been listed are missing, but the others can be used.
 */
static void edge_list_unfinished(void *user, const char *after)
{
	struct edge *edge = user;

	mir_list_unfinished(&edge->mir);
	wk_list_unfinished(&edge->workers);
	if (strcmp(after, PL_CONFIG_KEY) < 0) {
		/* There may be a newer version than the one in force. */
		edge->config_refused = true;
		return;
	}
	pres_list_end(edge->pres);
	edge->workers_listed = true;
}

/*
 * Called when all entries up to a call sent at sent_us have been reported: they
 * were current then, unless the store was just restored from an older backup or
 * a peer knows a newer configuration.
 */
static void edge_on_fresh(void *user, int64_t sent_us)
{
	struct edge *edge = user;
	int64_t before_us = edge->attest.confirmed_us;
	int64_t now = clk_boot_us();

	rel_on_fresh(edge->rel, sent_us);
	if (!era_is_authoritative(&edge->era, sent_us))
		return;
	if (edge->rt && !edge->config_refused)
		edge_refute_versions(edge, sent_us, now);
	if (!edge_has_config(edge, now) || edge_is_behind(edge))
		return;
	attest_from_store(&edge->attest, sent_us);
	if (rel_follows_store(edge->rel) &&
	    edge->attest.confirmed_us - before_us >= EDGE_ANNOUNCE_US)
		hint_send_soon(edge->hint, clk_boot_us());
}

/*
 * Refutes what peers report of newer versions: no configuration that was stored
 * by read_us is newer than the one that is known here.
 */
static void edge_refute_versions(struct edge *edge, int64_t read_us,
				 int64_t now)
{
	const struct attest_report *report;
	int64_t known = edge_version(edge);

	if (known < edge->store_version)
		known = edge->store_version;
	while ((report = attest_refute(&edge->attest, known, sto_era(edge->sto),
				       read_us, now)))
		edge_log_refuted(edge, report, "read later", now);
}

/* Takes a configuration that was read from the store. */
static void edge_on_stored_config(struct edge *edge,
				  const struct wire_item *item)
{
	if (item->deleted)
		return;
	if (conf_mirror(&edge->mir, item)) {
		edge->config_refused = true;
		jlog(LOG_REL_BAD, "\"peer\":\"\",\"why\":\"out of memory\"");
	} else if (!edge_take_config(edge)) {
		jlog(LOG_RT_BAD, "\"why\":\"parts are missing\"");
	}
}

/*
 * Called when all changes of an answer of another router have been passed on.
 * Returns false if the configuration is not complete, so that the changes do
 * not lead from what was known to what the other router has.
 */
static bool edge_on_applied(void *user)
{
	struct edge *edge = user;

	return !edge->conf.changed || edge_take_config(edge);
}

/*
 * Puts the configuration in the mirror in force if it is newer.  Returns false
 * if it is not complete.  One that cannot be put in force leaves the one before
 * in force, which is not confirmed as the newest any more.
 */
static bool edge_take_config(struct edge *edge)
{
	char text[EDGE_WHY_MAX];
	char why[EDGE_WHY_MAX];
	struct rt_set *set;
	enum conf_result result = conf_build(
		&edge->conf, &edge->mir, edge->rt ? edge->rt->version : -1,
		&set, &edge->store_version, why, sizeof(why));

	edge->config_refused = result == CONF_BAD || result == CONF_INCOMPLETE;
	switch (result) {
	case CONF_NEW:
		edge_put_in_force(edge, set, edge->conf.base_revision);
		break;
	case CONF_NONE:
		if (edge->store_version == edge_version(edge))
			edge->version_era = sto_era(edge->sto);
		break;
	case CONF_INCOMPLETE:
		return false;
	case CONF_BAD:
		jlog(LOG_RT_BAD, "\"why\":\"%s\"",
		     jlog_sanitize(text, sizeof(text), why));
		return true;
	}
	if (!edge->workers.listing)
		edge->era.config_written = true;
	return true;
}

/* Puts a newer configuration in force; an older one never is again. */
static void edge_put_in_force(struct edge *edge, struct rt_set *set,
			      int64_t revision)
{
	bool is_first = !edge->rt;
	struct wk *wk;

	jlog(LOG_RT_TAKEN,
	     "\"version\":%lld,\"before\":%lld,\"routes\":%d,\"services\":%d,"
	     "\"accounts\":%d,\"revision\":%lld",
	     (long long)set->version,
	     edge->rt ? (long long)edge->rt->version : -1LL, set->route_count,
	     set->service_count, set->account_count, (long long)revision);
	rt_drop(edge->rt);
	edge->rt = set;
	edge->version_era = sto_era(edge->sto);
	edge_log_unsupported(set);
	hs_set_limits(edge->callers, &set->limits);
	rel_set_limits(edge->rel, &set->limits);
	if (!is_first)
		return;
	cds_list_for_each_entry (wk, &edge->workers.workers, node)
		edge_limit_connections(edge, wk, wk->entry.service);
}

/* Logs the services whose requests cannot be placed. */
static void edge_log_unsupported(const struct rt_set *set)
{
	const struct rt_service *service;
	char text[EDGE_WHY_MAX];
	int i;

	for (i = 0; i < set->service_count; i++) {
		service = &set->services[i];
		if (service->has_engine &&
		    !rt_engine_is_supported(&service->engine))
			jlog(LOG_RT_LAYERS,
			     "\"service\":\"%s\",\"layers\":%d,\"max\":%d",
			     jlog_sanitize(text, sizeof(text), service->name),
			     service->engine.layers, MAG_LAYERS_MAX);
	}
}

/* Returns how many connections this router may open to one worker. */
static int edge_max_connections(const struct edge *edge,
				const struct rt_service *service)
{
	int routers = 1 + pres_peer_count(edge->pres);
	int part;

	if (routers < EDGE_MIN_ROUTERS)
		routers = EDGE_MIN_ROUTERS;
	part = (int)(service->max_connections * EDGE_CONNECTIONS_FRACTION /
		     routers);
	return part < EDGE_MIN_CONNECTIONS ? EDGE_MIN_CONNECTIONS : part;
}

/*
 * Applies an entry of the worker list.  An entry that cannot be decoded names
 * no worker to use, whatever was there before.
 */
static void edge_apply_worker(struct edge *edge, const struct wire_item *item)
{
	struct wire_worker worker;
	char why[EDGE_WHY_MAX];
	char text[EDGE_WHY_MAX];
	int64_t now = clk_boot_us();
	struct wk *wk;

	if (item->deleted) {
		wk_remove(&edge->workers, item->key + strlen(PL_WORKERS_PREFIX),
			  edge_gone_us(edge, now), now);
		return;
	}
	if (pl_worker_decode(item->key, item->value, item->len, &worker, why,
			     sizeof(why))) {
		jlog(LOG_WK_UNREAD, "\"why\":\"%s\"",
		     jlog_sanitize(text, sizeof(text), why));
		wk_remove(&edge->workers, item->key + strlen(PL_WORKERS_PREFIX),
			  now, now);
		return;
	}
	if (wk_list_put(&edge->workers, &worker, now, &wk))
		return;
	edge_limit_connections(edge, wk, worker.service);
}

/* Limits the connections to a worker of a service that is configured. */
static void edge_limit_connections(struct edge *edge, struct wk *wk,
				   const char *service)
{
	int i = edge->rt ? rt_find_service(edge->rt, service) : -1;

	if (i >= 0 && wk->host)
		hc_host_limit(wk->host, edge_max_connections(
						edge, &edge->rt->services[i]));
}

/*
 * Called when the store was restored from an older backup.  Until all writers
 * have written again, entries missing from a listing are not treated as gone.
 */
static void edge_on_store_restored(void *user)
{
	struct edge *edge = user;
	int64_t now = clk_boot_us();

	met_increment(&edge->met, MET_RETURNS);
	rel_drop_pending(edge->rel);
	mir_clear(&edge->mir);
	conf_set_base(&edge->conf, NULL, 0);
	era_store_restored(&edge->era, now);
	wk_store_restored(&edge->workers, now);
	pres_store_restored(edge->pres, now);
	hint_send_soon(edge->hint, now);
}

/*
 * All writers have written again by now: the next listing is taken as complete.
 */
static void edge_end_recovery(struct edge *edge)
{
	wk_store_settled(&edge->workers);
	pres_store_settled(edge->pres);
	sto_follow_relist(edge->follow);
}

/*
 * Logs the end of the recovery: everything has been read again, and entries
 * missing from the listing are gone.
 */
static void edge_log_recovery(struct edge *edge, int64_t now)
{
	met_observe(&edge->met, MET_RECOVERY, now - edge->era.restored_us);
	jlog(LOG_PF_SETTLED,
	     "\"era\":%lld,\"took_ms\":%d,\"workers_gone\":%d,"
	     "\"peers_gone\":%d,\"config\":%lld,\"config_in_store\":%lld",
	     (long long)sto_era(edge->sto),
	     (int)((now - edge->era.restored_us) / MAG_US_PER_MS),
	     wk_count_missing(&edge->workers), pres_missing_count(edge->pres),
	     edge->rt ? (long long)edge->rt->version : -1LL,
	     (long long)edge->store_version);
}

static void edge_on_reachable(void *user, bool reachable)
{
	struct edge *edge = user;

	edge->store_reachable = reachable;
	jlog(reachable ? LOG_PF_UP : LOG_PF_DOWN, "\"store\":\"%s\"",
	     edge->set.store);
}

/*
 * Returns for how long nothing must have been known of the store for an entry
 * to have expired meanwhile.  What other routers say can be late by the search
 * for another source.
 */
static int64_t edge_outage_us(const struct edge *edge)
{
	const struct eset *set = &edge->set;
	double least_us = EDGE_OUTAGE_INTERVALS * (double)set->worker_report_us;
	double search_us = EDGE_SEARCH_FRACTION * (double)eset_bound_us(set);

	if (!rel_follows_store(edge->rel) && least_us < search_us)
		least_us = search_us;
	return (int64_t)least_us;
}

/*
 * Called before items are reported that were current at a time.  If nothing was
 * known of the store for so long before, entries may have expired meanwhile
 * although their workers are alive.  That this router alone lost its way to the
 * store does not matter: while others tell it what changes, the store is up.
 * Nor does it matter that the store had nothing to report for long, as long as
 * no call has failed.
 */
static void edge_on_answered(void *user, int64_t at_us)
{
	struct edge *edge = user;
	int64_t known_us = rel_fresh_us(edge->rel);

	if (rel_follows_store(edge->rel) && edge->store_reachable)
		return;
	if (!known_us || at_us - known_us < edge_outage_us(edge))
		return;
	edge->store_regained_us = at_us;
	jlog(LOG_EDGE_GAP,
	     "\"gap_ms\":%d,\"from_store\":%s,\"entries_kept_ms\":%d",
	     (int)((at_us - known_us) / MAG_US_PER_MS),
	     rel_follows_store(edge->rel) ? "true" : "false",
	     (int)(EDGE_REWRITE_US / MAG_US_PER_MS));
}

/*
 * Returns when a worker without an entry counts as gone: at once, unless its
 * entry may have expired while the store was unreachable.  In that case the
 * worker writes it again within two seconds of the store's return, and dropping
 * all workers at once would refuse every caller for that long.  The time counts
 * from the store's return and not from when the entry was missed: a worker that
 * leaves a second later must receive nothing new within two seconds of that.
 */
static int64_t edge_gone_us(const struct edge *edge, int64_t now)
{
	int64_t rewritten_us = edge->store_regained_us + EDGE_REWRITE_US;

	return edge->store_regained_us && now < rewritten_us ? rewritten_us
							     : now;
}
