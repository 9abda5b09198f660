#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <curl/curl.h>
#include <sodium.h>

#include "chk.h"
#include "clk.h"
#include "daemon.h"
#include "log.h"
#include "proc.h"
#include "set.h"

#define EXIT_SETTINGS 2
#define EXIT_START    3

#define WHY_MAX	     512
#define RETRY_NS     100000000 /* between attempts to start */
#define LOG_AGAIN_US (10 * MAG_US_PER_S)

/* Beside the results of set_load: a signal came first. */
#define STOPPED 1

/* What the start waits for. */
struct delay {
	char why[WHY_MAX];
	int64_t log_us; /* when to log it again */
};

static int load(int argc, char **argv, const sigset_t *signals,
		struct set_settings *settings);
static bool may_mend(int rc, int64_t *settle_us);
static void print_faults(const struct flt_list *faults);
static int run(const struct set_settings *settings, const sigset_t *signals);
static int start(const struct set_settings *settings, const sigset_t *signals,
		 struct daemon **daemon);
static bool wait_retry(const sigset_t *signals, struct delay *delay,
		       const char *why);
static bool is_stop(int signal_number);
static bool is_stop_pending(const sigset_t *signals);
static void wait_stop(const sigset_t *signals);

/*
 * Main function of the router: serves until SIGTERM or SIGINT.  Signals stay
 * blocked in all threads until the process ends, and are received where it can
 * stop.
 */
int main(int argc, char **argv)
{
	struct set_settings settings;
	sigset_t signals;
	int rc;

	proc_block_signals(&signals);
	proc_open_std();
	log_open("magnoliad", LOG_PRIO_INFO);
	rc = load(argc, argv, &signals, &settings);
	if (rc == STOPPED)
		return 0;
	if (rc)
		return EXIT_SETTINGS;
	switch (settings.action) {
	case SET_HELP:
		set_help(stdout, argv[0]);
		return 0;
	case SET_SHOW_VERSION:
		set_version(stdout, argv[0]);
		return 0;
	case SET_CHECK:
		puts("settings pass");
		return 0;
	case SET_RUN:
		break;
	}
	log_open("magnoliad", settings.log_level);
	log_never_block();
	return run(&settings, &signals);
}

/*
 * Loads the settings; to run, as soon as their file is there and written to its
 * end.  Returns 0, STOPPED if a signal came first, or a negative enum set_err,
 * which is logged.
 */
static int load(int argc, char **argv, const sigset_t *signals,
		struct set_settings *settings)
{
	struct delay delay = { 0 };
	struct flt_list *faults;
	int64_t settle_us = 0;
	bool stop;
	int rc;

	while (may_mend(rc = set_load(argc, argv, settings, &faults),
			&settle_us) &&
	       settings->action == SET_RUN) {
		stop = wait_retry(signals, &delay, flt_text(faults, 0));
		flt_free(faults);
		if (stop) {
			log_event(LOG_STOPPED, "open=0");
			return STOPPED;
		}
	}
	if (rc)
		print_faults(faults);
	flt_free(faults);
	return rc;
}

/*
 * Tells whether settings may be right later: the file is not there, or it is
 * being written.  *settle_us is when malformed ones count as wrong, 0 at first.
 */
static bool may_mend(int rc, int64_t *settle_us)
{
	if (rc == SET_E_TEXT)
		return chk_may_settle(settle_us, clk_now_us());
	*settle_us = 0;
	return rc == SET_E_READ;
}

/* Logs every error in the settings, before anything is started. */
static void print_faults(const struct flt_list *faults)
{
	size_t i;

	for (i = 0; i < flt_count(faults); i++)
		log_event(LOG_SET_BAD, "%s", flt_text(faults, i));
	if (flt_count(faults) == 0)
		log_event(LOG_SET_BAD, "memory is short");
}

static int run(const struct set_settings *settings, const sigset_t *signals)
{
	struct daemon *daemon;
	int rc;

	if (is_stop_pending(signals))
		return 0;
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT)) {
		log_event(LOG_START_FAILED, "why=\"a library failed\"");
		return EXIT_START;
	}
	rc = start(settings, signals, &daemon);
	if (daemon) {
		wait_stop(signals);
		daemon_stop(daemon);
	}
	curl_global_cleanup();
	return rc ? EXIT_START : 0;
}

/*
 * Starts the daemon as soon as its addresses and threads are available: the
 * process before this one may still have them.  Returns 0, with no
 * daemon if a signal came first, or a negative enum daemon_err, which is
 * logged.
 */
static int start(const struct set_settings *settings, const sigset_t *signals,
		 struct daemon **daemon)
{
	struct delay delay = { 0 };
	char why[DAEMON_WHY_MAX];
	int rc;

	*daemon = NULL;
	while ((rc = daemon_start(settings, why, sizeof(why), daemon)) ==
		       DAEMON_E_BUSY ||
	       rc == DAEMON_E_THREAD) {
		if (wait_retry(signals, &delay, why)) {
			log_event(LOG_STOPPED, "open=0");
			return DAEMON_OK;
		}
	}
	if (rc)
		log_event(LOG_START_FAILED, "why=\"%s\"", why);
	return rc;
}

/*
 * Waits before the next attempt to start; logs why when that changes, and now
 * and then.  Tells whether a signal has arrived that stops the daemon.
 */
static bool wait_retry(const sigset_t *signals, struct delay *delay,
		       const char *why)
{
	const struct timespec retry = { 0, RETRY_NS };
	int64_t now = clk_now_us();

	if (now >= delay->log_us ||
	    strncmp(why, delay->why, sizeof(delay->why) - 1) != 0) {
		snprintf(delay->why, sizeof(delay->why), "%s", why);
		delay->log_us = now + LOG_AGAIN_US;
		log_event(LOG_START_DELAYED, "why=\"%s\"", why);
	}
	return is_stop(sigtimedwait(signals, NULL, &retry));
}

/* Tells whether a received signal stops the daemon; logs one that does not. */
static bool is_stop(int signal_number)
{
	if (signal_number == SIGHUP)
		log_event(LOG_HANGUP_IGNORED, "signal=%d", signal_number);
	return signal_number == SIGTERM || signal_number == SIGINT;
}

/* Receives the signals that have arrived; tells whether one is a stop. */
static bool is_stop_pending(const sigset_t *signals)
{
	const struct timespec now = { 0 };
	bool stop = false;
	int signal_number;

	while ((signal_number = sigtimedwait(signals, NULL, &now)) > 0)
		stop = is_stop(signal_number) || stop;
	return stop;
}

/* Waits for a signal that stops the daemon. */
static void wait_stop(const sigset_t *signals)
{
	int signal_number = 0;

	while (!is_stop(signal_number))
		sigwait(signals, &signal_number);
}
