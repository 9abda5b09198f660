#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <event2/event.h>
#include <sodium.h>

#include "clk.h"
#include "edge.h"
#include "eq.h"
#include "hint.h"
#include "jlog.h"
#include "log.h"
#include "pl_env.h"
#include "plr.h"
#include "quar_keep.h"
#include "wkp.h"

#define EDGE_EXIT_SETTINGS 2
#define EDGE_EXIT_START	   3

/*
 * Interval of the tick that checks deadlines: 1/25 of the shortest deadline
 * that matters to a caller, the 250 ms between two events.
 */
#define EDGE_TICK_MS 10
/*
 * Log lines per second: three for each of the 100 requests a second that a
 * router receives at its peak, and some for other events.
 */
#define EDGE_LOG_LINES_S 400
#define EDGE_WHY_MAX	 256
/*
 * Interval of placement planning.  Workers join and leave within seconds, and a
 * plan takes a millisecond.
 */
#define EDGE_PLAN_US (50 * MAG_US_PER_MS)
/*
 * The settings file is checked this often, as it may change without a signal.
 */
#define EDGE_SETTINGS_US MAG_US_PER_S
/*
 * The balancer polls readiness every second and removes a router after two
 * failed polls.
 */
#define EDGE_LINGER_US (2500 * MAG_US_PER_MS)
/*
 * The router stops listening this long before it must exit, so that the last
 * callers to connect are answered.
 */
#define EDGE_LAST_CALLERS_US (300 * MAG_US_PER_MS)
/* The router ends all requests this long before it would be killed. */
#define EDGE_STOP_MARGIN_US (600 * MAG_US_PER_MS)
/* Time to send the last answers after that. */
#define EDGE_LAST_ANSWERS_US (200 * MAG_US_PER_MS)
/*
 * Number of remembered requests that crashed workers, and how long each is
 * remembered.
 */
#define EDGE_QUARANTINE_MAX 4096
#define EDGE_QUARANTINE_US  (60 * MAG_US_PER_S)
/*
 * The same of what requests have in common: most entries are traits of sound
 * requests.  Each end of a quarantine costs a worker, if the trait is harmful.
 */
#define EDGE_TRAITS_MAX 8192
#define EDGE_TRAITS_US	(600 * MAG_US_PER_S)

struct edge_run {
	struct edge edge;
	const char *settings_path;
	struct timespec settings_time;
	int64_t settings_next_us;
	struct event *tick;
	struct event *term;
	struct event *hup;
	bool hup_seen;
};

static int edge_start(struct edge_run *run);
static void edge_describe(const struct edge *edge, struct pres_peer *self);
static int edge_listen(struct edge *edge);
static void edge_tick(evutil_socket_t fd, short what, void *arg);
static void edge_on_term(evutil_socket_t fd, short what, void *arg);
static void edge_on_hup(evutil_socket_t fd, short what, void *arg);
static void edge_reload(struct edge_run *run, int64_t now);
static void edge_stop_tick(struct edge *edge, int64_t now);
static void edge_on_readiness(void *ctx, struct hs_conn *conn);
static void edge_on_metrics(void *ctx, struct hs_conn *conn);
static void edge_on_client_gone(void *ctx, struct hs_conn *conn, void *user);

/*
 * Router process on a platform: serves until SIGTERM, then lets open requests
 * end.
 */
int main(void)
{
	static struct edge_run run;
	char why[EDGE_WHY_MAX];
	int rc;

	run.settings_path = getenv(PL_SETTINGS_ENV);
	jlog_open("starting", 1, EDGE_LOG_LINES_S);
	if (!run.settings_path) {
		jlog(LOG_SET_BAD, "\"why\":\"%s is not set\"", PL_SETTINGS_ENV);
		jlog_flush();
		return EDGE_EXIT_SETTINGS;
	}
	rc = eset_load(run.settings_path, &run.edge.set, why, sizeof(why));
	if (rc) {
		jlog(LOG_SET_BAD, "\"why\":\"%s\"", why);
		jlog_flush();
		return EDGE_EXIT_SETTINGS;
	}
	jlog_open(run.edge.set.instance, 1, EDGE_LOG_LINES_S);
	log_set_fields_sink(jlog_fields);
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0 || edge_start(&run)) {
		jlog_flush();
		return EDGE_EXIT_START;
	}
	jlog(LOG_STARTED, "\"data_centre\":\"%s\",\"callers\":\"%s\"",
	     run.edge.set.data_centre, run.edge.set.callers);
	event_base_dispatch(run.edge.base);
	jlog(LOG_STOPPED, "\"requests_open\":%d,\"connections_unused\":%d",
	     run.edge.request_count, hs_unused_count(run.edge.callers));
	jlog_flush();
	return 0;
}

static int edge_start(struct edge_run *run)
{
	static const struct hs_ops forwarded = { eq_on_forwarded,
						 eq_on_caller_gone };
	static const struct wkp_ops probe_ops = { eq_on_suspect, eq_on_report,
						  hint_own_limit_part };
	struct timeval every = { 0, EDGE_TICK_MS * 1000 };
	struct event_config *config = event_config_new();
	struct edge *edge = &run->edge;
	uint64_t incarnation;
	struct pres_settings presence = { 0 };

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER |
					      EVENT_BASE_FLAG_NOLOCK);
	edge->base = event_base_new_with_config(config);
	event_config_free(config);
	randombytes_buf(&edge->seed, sizeof(edge->seed));
	randombytes_buf(&incarnation, sizeof(incarnation));
	edge->seed |= 1;
	edge->started_us = clk_boot_us();
	era_start(&edge->era, edge->started_us);
	attest_init(&edge->attest, (uint32_t)incarnation, edge_random(edge));
	CDS_INIT_LIST_HEAD(&edge->requests);
	edge->hc = edge->base ? hc_new(edge->base) : NULL;
	wkp_set_ops(edge, &probe_ops);
	edge->quar = quar_new(EDGE_QUARANTINE_MAX, EDGE_QUARANTINE_US);
	edge->traits = quar_traits_new(EDGE_TRAITS_MAX, EDGE_TRAITS_US);
	edge->keep = quar_keep_new(edge);
	if (!edge->hc || !edge->quar || !edge->traits || !edge->keep) {
		jlog(LOG_START_FAILED, "\"why\":\"out of memory\"");
		return -1;
	}
	wk_init(&edge->workers, edge->hc);
	edge_init(edge);
	edge_data_centre_index(edge, edge->set.data_centre);
	if (edge_listen(edge))
		return -1;
	if (sto_new(edge->hc, edge->set.store, edge_random(edge), &edge->sto)) {
		jlog(LOG_START_FAILED, "\"why\":\"store %s\"", edge->set.store);
		return -1;
	}
	edge_describe(edge, &presence.self);
	presence.lease_ms_min = edge->set.store_lease_ms_min;
	presence.incarnation = incarnation;
	presence.first_start = edge->set.first_start;
	edge->pres = pres_new(edge->sto, &presence);
	if (!edge->pres || hint_new(edge, &edge->hint)) {
		jlog(LOG_START_FAILED, "\"why\":\"peer socket %s\"",
		     presence.self.address);
		return -1;
	}
	if (edge_follow(edge, &presence.self, &forwarded))
		return -1;
	run->tick = event_new(edge->base, -1, EV_PERSIST, edge_tick, run);
	run->term = evsignal_new(edge->base, SIGTERM, edge_on_term, run);
	run->hup = evsignal_new(edge->base, SIGHUP, edge_on_hup, run);
	event_add(run->tick, &every);
	event_add(run->term, NULL);
	event_add(run->hup, NULL);
	return 0;
}

/* Describes this router as other routers see it. */
static void edge_describe(const struct edge *edge, struct pres_peer *self)
{
	char address[MAG_ADDR_MAX * 2];

	snprintf(address, sizeof(address), "%s:%d", edge->set.address,
		 edge->set.peer_port);
	mag_copy_name(self->name, sizeof(self->name), edge->set.instance);
	mag_copy_name(self->address, sizeof(self->address), address);
	mag_copy_name(self->data_centre, sizeof(self->data_centre),
		      edge->set.data_centre);
	self->link_mbps = edge->set.link_mbps;
}

static int edge_listen(struct edge *edge)
{
	static const struct hs_ops callers = { eq_on_request,
					       eq_on_caller_gone };
	static const struct hs_ops ready = { edge_on_readiness,
					     edge_on_client_gone };
	static const struct hs_ops metrics = { edge_on_metrics,
					       edge_on_client_gone };
	char address[MAG_ADDR_MAX * 2];

	if (hs_new(edge->base, edge->set.callers, &callers, edge,
		   &edge->callers)) {
		jlog(LOG_START_FAILED, "\"why\":\"cannot listen on %s\"",
		     edge->set.callers);
		return -1;
	}
	if (hs_new(edge->base, edge->set.readiness, &ready, edge,
		   &edge->readiness)) {
		jlog(LOG_START_FAILED, "\"why\":\"cannot listen on %s\"",
		     edge->set.readiness);
		return -1;
	}
	snprintf(address, sizeof(address), "%s:%d", edge->set.address,
		 edge->set.metrics_port);
	if (hs_new(edge->base, address, &metrics, edge, &edge->metrics)) {
		jlog(LOG_START_FAILED, "\"why\":\"cannot listen on %s\"",
		     address);
		return -1;
	}
	return 0;
}

/* Runs the periodic work of all modules, in this order. */
static void edge_tick(evutil_socket_t fd, short what, void *arg)
{
	struct edge_run *run = arg;
	struct edge *edge = &run->edge;
	int64_t now = clk_boot_us();
	int64_t paused_us = run_tick(&edge->workers.run, now);

	(void)fd;
	(void)what;
	if (paused_us > 0)
		hc_extend_deadlines(edge->hc, paused_us);
	edge_reload(run, now);
	hc_tick(edge->hc, now);
	hs_tick(edge->callers, now);
	hs_tick(edge->readiness, now);
	hs_tick(edge->metrics, now);
	edge_follow_tick(edge, now);
	pres_tick(edge->pres, now);
	quar_keep_tick(edge->keep, now);
	wk_tick(&edge->workers, now);
	wkp_tick(edge, now);
	if (now >= edge->placer.next_plan_us) {
		edge->placer.next_plan_us = now + EDGE_PLAN_US;
		plr_tick(edge, now);
	}
	hint_tick(edge->hint, now);
	eq_tick(edge, now);
	if (edge->stopping)
		edge_stop_tick(edge, now);
	jlog_flush();
}

/*
 * Begins to stop: readiness fails so that the balancer moves callers away,
 * connections close after their next answer, and open requests continue.
 */
static void edge_on_term(evutil_socket_t fd, short what, void *arg)
{
	struct edge_run *run = arg;
	struct edge *edge = &run->edge;
	int64_t now = clk_boot_us();

	(void)fd;
	(void)what;
	if (edge->stopping)
		return;
	edge->stopping = true;
	edge->stopped_us = now;
	edge->stop_by_us = now + edge->set.stop_us - EDGE_STOP_MARGIN_US;
	jlog(LOG_STOPPING, "\"requests_open\":%d,\"connections_unused\":%d",
	     edge->request_count, hs_unused_count(edge->callers));
	pres_leave(edge->pres);
	hs_stop_keep_alive(edge->callers);
}

/*
 * Ends the loop once nothing is open, or at the latest time for it; what is
 * open shortly before that is answered as it is.  Callers that have connected
 * by the time the router stops listening are still answered.
 */
static void edge_stop_tick(struct edge *edge, int64_t now)
{
	bool idle = edge->request_count == 0 &&
		    hs_open_count(edge->callers) == 0 &&
		    rel_is_idle(edge->rel) &&
		    now - edge->stopped_us > EDGE_LINGER_US;

	if (!edge->stopped_listening &&
	    (idle || now >= edge->stop_by_us - EDGE_LAST_CALLERS_US)) {
		edge->stopped_listening = true;
		hs_stop_listening(edge->callers);
	} else if (idle || now >= edge->stop_by_us + EDGE_LAST_ANSWERS_US) {
		event_base_loopbreak(edge->base);
	} else if (now >= edge->stop_by_us) {
		eq_end_all(edge);
	}
}

static void edge_on_hup(evutil_socket_t fd, short what, void *arg)
{
	struct edge_run *run = arg;

	(void)fd;
	(void)what;
	run->hup_seen = true;
}

/* Reads the settings again after SIGHUP, or if the file has changed. */
static void edge_reload(struct edge_run *run, int64_t now)
{
	char why[EDGE_WHY_MAX];
	struct eset loaded;
	struct stat st;

	if (!run->hup_seen && now < run->settings_next_us)
		return;
	run->settings_next_us = now + EDGE_SETTINGS_US;
	if (stat(run->settings_path, &st))
		return;
	if (!run->hup_seen && st.st_mtim.tv_sec == run->settings_time.tv_sec &&
	    st.st_mtim.tv_nsec == run->settings_time.tv_nsec)
		return;
	run->hup_seen = false;
	run->settings_time = st.st_mtim;
	if (eset_load(run->settings_path, &loaded, why, sizeof(why))) {
		jlog(LOG_SET_BAD, "\"why\":\"%s\",\"kept\":true", why);
		return;
	}
	/* Addresses change only at a restart, limits at once. */
	run->edge.set = loaded;
	jlog(LOG_SET_RELOADED, "\"path\":\"%s\"", run->settings_path);
}

static void edge_on_readiness(void *ctx, struct hs_conn *conn)
{
	struct edge *edge = ctx;
	int64_t now = clk_boot_us();
	bool ready = edge_is_ready(edge, now);

	/* Peers serve the callers of a router that has lost its path. */
	if (!ready && reach_is_lost(&edge->workers.reach))
		ready = edge_may_serve(edge, now) &&
			hint_count_servers(edge->hint, now) > 0;

	hs_reply(conn, ready ? 200 : 503, NULL, NULL, 0);
}

static void edge_on_metrics(void *ctx, struct hs_conn *conn)
{
	struct edge *edge = ctx;
	struct evbuffer *out = evbuffer_new();

	if (!out) {
		hs_reply(conn, 503, NULL, NULL, 0);
		return;
	}
	met_write(&edge->met, out);
	met_urgent_write(&edge->met_urgent, clk_boot_us(), out);
	evbuffer_add_printf(out,
			    "magnolia_requests_open %d\n"
			    "magnolia_workers %d\n"
			    "magnolia_store_calls_total %llu\n"
			    "magnolia_store_era %lld\n"
			    "magnolia_log_lines_dropped_total %llu\n",
			    edge->request_count, edge->workers.count,
			    (unsigned long long)sto_calls(edge->sto),
			    (long long)sto_era(edge->sto),
			    (unsigned long long)jlog_dropped());
	rel_write_metrics(edge->rel, clk_boot_us(), out);
	hs_reply(conn, 200, "Content-Type: text/plain; version=0.0.4\r\n",
		 evbuffer_pullup(out, -1), evbuffer_get_length(out));
	evbuffer_free(out);
}

static void edge_on_client_gone(void *ctx, struct hs_conn *conn, void *user)
{
	(void)ctx;
	(void)conn;
	(void)user;
}
