#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <event2/event.h>
#include <sodium.h>

#include "chk.h"
#include "clk.h"
#include "edge.h"
#include "eq.h"
#include "evlog.h"
#include "hint.h"
#include "jlog.h"
#include "log.h"
#include "pl_env.h"
#include "plr.h"
#include "proc.h"
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
/* What the start waits for is tried again after this, and logged again. */
#define EDGE_START_RETRY_US (50 * MAG_US_PER_MS)
#define EDGE_START_LOG_US   (5 * MAG_US_PER_S)
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
/* Time for the reader of the log to take the last lines after that. */
#define EDGE_LAST_LINES_US (200 * MAG_US_PER_MS)

struct edge_run {
	struct edge edge;
	const char *settings_path;
	bool settings_loaded;
	int64_t settings_settle_us; /* how long malformed ones are retried */
	struct eset settings_read;  /* as they were last in the file */
	char settings_why[EDGE_WHY_MAX]; /* why they can't be loaded, or "" */
	int64_t settings_next_us;
	bool started;
	int64_t start_us;	      /* when to try to start again */
	char start_why[EDGE_WHY_MAX]; /* what the start waits for */
	int64_t start_log_us;	      /* when to log that again */
	int exit_status;
	struct event *tick;
	struct event *term;
	struct event *interrupt;
	struct event *hup;
	bool hup_seen;
};

static int edge_run_loop(struct edge_run *run);
static int edge_add_events(struct edge_run *run);
static void edge_on_tick(evutil_socket_t fd, short what, void *arg);
static void edge_try_start(struct edge_run *run, int64_t now);
static enum edge_start edge_load_settings(struct edge_run *run, int64_t now,
					  char *why, size_t why_size);
static void edge_wait(struct edge_run *run, const char *why, int64_t now);
static void edge_tick(struct edge_run *run, int64_t now);
static void edge_on_term(evutil_socket_t fd, short what, void *arg);
static void edge_on_hup(evutil_socket_t fd, short what, void *arg);
static void edge_reload(struct edge_run *run, int64_t now);
static void edge_stop_tick(struct edge *edge, int64_t now);

/*
 * Router process on a platform: serves until SIGTERM or SIGINT, then lets open
 * requests end.
 */
int main(void)
{
	static struct edge_run run;
	int status;

	proc_block_signals(NULL);
	proc_open_std();
	jlog_open("starting", STDOUT_FILENO, EDGE_LOG_LINES_S);
	evlog_start(EDGE_EXIT_START);
	jlog(LOG_STARTING, "\"pid\":%d", (int)getpid());
	jlog_flush();
	status = edge_run_loop(&run);
	jlog_finish(clk_boot_us() + EDGE_LAST_LINES_US);
	return status;
}

/*
 * Runs the event loop, which starts the router once everything that it needs is
 * there.  Returns the exit status.
 */
static int edge_run_loop(struct edge_run *run)
{
	struct edge *edge = &run->edge;

	run->settings_path = getenv(PL_SETTINGS_ENV);
	if (!run->settings_path) {
		jlog(LOG_SET_BAD, "\"why\":\"%s is not set\"", PL_SETTINGS_ENV);
		return EDGE_EXIT_SETTINGS;
	}
	log_set_fields_sink(jlog_fields);
	if (sodium_init() < 0 || edge_add_events(run)) {
		jlog(LOG_START_FAILED, "\"why\":\"no event loop\"");
		return EDGE_EXIT_START;
	}
	proc_unblock_signals();
	if (event_base_dispatch(edge->base) < 0) {
		jlog(LOG_START_FAILED, "\"why\":\"the event loop failed\"");
		return EDGE_EXIT_START;
	}
	if (run->exit_status == 0)
		jlog(LOG_STOPPED,
		     "\"requests_open\":%d,\"connections_unused\":%d",
		     edge->request_count,
		     run->started ? hs_unused_count(edge->callers) : 0);
	return run->exit_status;
}

/* Creates the event loop with its tick and signals; -1 if that fails. */
static int edge_add_events(struct edge_run *run)
{
	struct timeval every = { 0, EDGE_TICK_MS * 1000 };
	struct event_config *config = event_config_new();
	struct event_base *base;

	if (!config)
		return -1;
	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER |
					      EVENT_BASE_FLAG_NOLOCK);
	base = event_base_new_with_config(config);
	event_config_free(config);
	if (!base)
		return -1;
	run->edge.base = base;
	run->tick = event_new(base, -1, EV_PERSIST, edge_on_tick, run);
	run->term = evsignal_new(base, SIGTERM, edge_on_term, run);
	run->interrupt = evsignal_new(base, SIGINT, edge_on_term, run);
	run->hup = evsignal_new(base, SIGHUP, edge_on_hup, run);
	if (!run->tick || !run->term || !run->interrupt || !run->hup ||
	    event_add(run->term, NULL) || event_add(run->interrupt, NULL) ||
	    event_add(run->hup, NULL) || event_add(run->tick, &every))
		return -1;
	event_active(run->tick, EV_TIMEOUT, 1);
	return 0;
}

static void edge_on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct edge_run *run = arg;
	int64_t now = clk_boot_us();

	(void)fd;
	(void)what;
	if (run->started)
		edge_tick(run, now);
	else if (now >= run->start_us && !run->edge.stopping)
		edge_try_start(run, now);
	jlog_flush();
}

/*
 * Starts the router, or waits for what it needs and what is not there yet: a
 * settings file that is being written, or an address that another process has.
 */
static void edge_try_start(struct edge_run *run, int64_t now)
{
	struct edge *edge = &run->edge;
	char why[EDGE_WHY_MAX];
	enum edge_start rc = edge_load_settings(run, now, why, sizeof(why));

	if (rc == EDGE_STARTED) {
		edge_allow_files(edge);
		rc = edge_start(edge, why, sizeof(why));
	}
	if (rc != EDGE_STARTED)
		jlog_sanitize(why, sizeof(why), why);
	if (rc == EDGE_START_WAITS) {
		edge_wait(run, why, now);
		return;
	}
	if (rc == EDGE_START_FAILED) {
		run->exit_status = run->settings_loaded ? EDGE_EXIT_START
							: EDGE_EXIT_SETTINGS;
		jlog(run->settings_loaded ? LOG_START_FAILED : LOG_SET_BAD,
		     "\"why\":\"%s\"", why);
		event_base_loopbreak(edge->base);
		return;
	}
	run->started = true;
	run->settings_read = edge->set;
	run->settings_next_us = now + EDGE_SETTINGS_US;
	jlog(LOG_STARTED, "\"data_centre\":\"%s\",\"callers\":\"%s\"",
	     jlog_sanitize(why, sizeof(why), edge->set.data_centre),
	     edge->set.callers);
}

/* Loads the settings at each attempt to start, as they may have changed. */
static enum edge_start edge_load_settings(struct edge_run *run, int64_t now,
					  char *why, size_t why_size)
{
	int rc = eset_load(run->settings_path, &run->edge.set, why,
			   (int)why_size);

	run->settings_loaded = rc == ESET_OK;
	if (rc == ESET_OK)
		jlog_set_instance(run->edge.set.instance);
	if (rc == ESET_E_TEXT && chk_may_settle(&run->settings_settle_us, now))
		return EDGE_START_WAITS;
	if (rc != ESET_E_TEXT)
		run->settings_settle_us = 0;
	if (rc == ESET_E_READ)
		return EDGE_START_WAITS;
	return rc ? EDGE_START_FAILED : EDGE_STARTED;
}

/* Tries again later; logs why when that changes, and now and then. */
static void edge_wait(struct edge_run *run, const char *why, int64_t now)
{
	run->start_us = now + EDGE_START_RETRY_US;
	if (now < run->start_log_us && strcmp(why, run->start_why) == 0)
		return;
	mag_copy_name(run->start_why, sizeof(run->start_why), why);
	run->start_log_us = now + EDGE_START_LOG_US;
	jlog(LOG_START_DELAYED, "\"why\":\"%s\"", why);
}

/* Runs the periodic work of all modules, in this order. */
static void edge_tick(struct edge_run *run, int64_t now)
{
	struct edge *edge = &run->edge;
	int64_t paused_us = run_tick(&edge->workers.run, now);

	if (paused_us > 0)
		hc_extend_deadlines(edge->hc, paused_us);
	edge_reload(run, now);
	edge_share_files(edge);
	hc_tick(edge->hc, now);
	hs_tick(edge->callers, now);
	hs_tick(edge->readiness, now);
	edge_retry_metrics(edge, now);
	if (edge->metrics)
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
	edge_log_unready(edge, now);
	if (edge->stopping)
		edge_stop_tick(edge, now);
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

	(void)what;
	if (edge->stopping)
		return;
	edge->stopping = true;
	if (!run->started) {
		jlog(LOG_STOPPING, "\"signal\":%d,\"requests_open\":0",
		     (int)fd);
		event_base_loopbreak(edge->base);
		return;
	}
	edge->stopped_us = now;
	edge->stop_by_us = now + edge->set.stop_us - EDGE_STOP_MARGIN_US;
	jlog(LOG_STOPPING,
	     "\"signal\":%d,\"requests_open\":%d,\"connections_unused\":%d",
	     (int)fd, edge->request_count, hs_unused_count(edge->callers));
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

/*
 * Reads the settings again after SIGHUP, and each second, as they may change
 * without a signal.  What is not a file, such as a pipe, is read at the start
 * only.  The time of the file's change is not relied on: it may be the same
 * before and after the rest of the file is written.
 */
static void edge_reload(struct edge_run *run, int64_t now)
{
	struct eset loaded;
	struct stat file;
	char why[EDGE_WHY_MAX];

	if (!run->hup_seen && now < run->settings_next_us)
		return;
	run->settings_next_us = now + EDGE_SETTINGS_US;
	/* Reading a pipe would block the router. */
	if (stat(run->settings_path, &file) == 0 && !S_ISREG(file.st_mode)) {
		run->hup_seen = false;
		return;
	}
	if (eset_load(run->settings_path, &loaded, why, sizeof(why))) {
		if (run->hup_seen || strcmp(why, run->settings_why) != 0)
			jlog(LOG_SET_BAD, "\"why\":\"%s\",\"kept\":true", why);
		mag_copy_name(run->settings_why, sizeof(run->settings_why),
			      why);
		run->hup_seen = false;
		return;
	}
	run->settings_why[0] = '\0';
	if (run->hup_seen || !eset_equal(&loaded, &run->settings_read))
		jlog(LOG_SET_RELOADED, "\"path\":\"%s\"", run->settings_path);
	run->hup_seen = false;
	run->settings_read = loaded;
	eset_update(&run->edge.set, &loaded);
	edge_allow_files(&run->edge);
}
