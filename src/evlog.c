#include <stdint.h>
#include <unistd.h>

#include <event2/event.h>

#include "clk.h"
#include "evlog.h"
#include "jlog.h"
#include "mag.h"

#define EVLOG_TEXT_MAX 256
/* Time for the reader of the log to take the last lines. */
#define EVLOG_LAST_LINES_US (200 * MAG_US_PER_MS)

static int64_t evlog_next_us;
static unsigned long evlog_left_out;

static void evlog_on_message(int severity, const char *text);
static void evlog_on_fatal(int error);

static int evlog_fatal_status;

/*
 * Sends the library's messages to the log.  On standard error they would block
 * the process as soon as nobody reads them.  fatal_status is the exit status
 * after an error with which the library can't go on.
 */
void evlog_start(int fatal_status)
{
	evlog_fatal_status = fatal_status;
	event_set_log_callback(evlog_on_message);
	event_set_fatal_callback(evlog_on_fatal);
}

/* The process ends after an error, so that one is always logged. */
static void evlog_on_message(int severity, const char *text)
{
	char clean[EVLOG_TEXT_MAX];
	int64_t now = clk_boot_us();

	if (severity < EVENT_LOG_WARN)
		return;
	if (severity < EVENT_LOG_ERR && now < evlog_next_us) {
		evlog_left_out++;
		return;
	}
	jlog(LOG_LIBRARY, "\"text\":\"%s\",\"more\":%lu",
	     jlog_sanitize(clean, sizeof(clean), text), evlog_left_out);
	if (severity >= EVENT_LOG_ERR)
		jlog_flush();
	evlog_left_out = 0;
	evlog_next_us = now + MAG_US_PER_S;
}

static void evlog_on_fatal(int error)
{
	(void)error;
	jlog_finish(clk_boot_us() + EVLOG_LAST_LINES_US);
	_exit(evlog_fatal_status);
}
