#include <signal.h>
#include <stdio.h>

#include <curl/curl.h>
#include <sodium.h>

#include "daemon.h"
#include "log.h"
#include "set.h"

#define EXIT_SETTINGS 2
#define EXIT_START    3

static int print_faults(const struct flt_list *faults);
static int run(const struct set_settings *settings);
static void block_signals(sigset_t *signals);

/* Main function of the router: serves until SIGTERM or SIGINT. */
int main(int argc, char **argv)
{
	struct set_settings settings;
	struct flt_list *faults = NULL;
	int rc;

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
	return run(&settings);
}

/* Logs every error in the settings, before anything is started. */
static int print_faults(const struct flt_list *faults)
{
	size_t i;

	for (i = 0; i < flt_count(faults); i++)
		log_event(LOG_SET_BAD, "%s", flt_text(faults, i));
	return EXIT_SETTINGS;
}

static int run(const struct set_settings *settings)
{
	struct daemon *daemon;
	sigset_t signals;
	int signal_number;
	int rc;

	block_signals(&signals);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return EXIT_START;
	rc = daemon_start(settings, &daemon);
	if (rc) {
		log_event(LOG_START_FAILED, "why=\"%s\"", daemon_strerror(rc));
		return EXIT_START;
	}
	sigwait(&signals, &signal_number);
	daemon_stop(daemon);
	curl_global_cleanup();
	return 0;
}

/* Blocks the signals that stop the daemon, so that sigwait receives them. */
static void block_signals(sigset_t *signals)
{
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, signals, NULL);
}
