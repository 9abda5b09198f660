#include <signal.h>
#include <stdio.h>

#include <curl/curl.h>
#include <sodium.h>

#include "daemon.h"
#include "log.h"
#include "proc.h"
#include "set.h"

#define EXIT_SETTINGS 2
#define EXIT_START    3

static int print_faults(const struct flt_list *faults);
static int run(const struct set_settings *settings, const sigset_t *signals);
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
	struct flt_list *faults = NULL;
	sigset_t signals;
	int rc;

	proc_block_signals(&signals);
	proc_open_std();
	log_open("magnoliad", LOG_PRIO_INFO);
	rc = set_load(argc, argv, &settings, &faults);
	if (rc)
		return print_faults(faults);
	flt_free(faults);
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
	return run(&settings, &signals);
}

/* Logs every error in the settings, before anything is started. */
static int print_faults(const struct flt_list *faults)
{
	size_t i;

	for (i = 0; i < flt_count(faults); i++)
		log_event(LOG_SET_BAD, "%s", flt_text(faults, i));
	return EXIT_SETTINGS;
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
	rc = daemon_start(settings, &daemon);
	if (rc) {
		log_event(LOG_START_FAILED, "why=\"%s\"", daemon_strerror(rc));
		return EXIT_START;
	}
	wait_stop(signals);
	daemon_stop(daemon);
	curl_global_cleanup();
	return 0;
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
