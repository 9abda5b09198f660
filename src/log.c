#include <fcntl.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "log.h"
#include "mag.h"
#include "proc.h"

#define LOG_LINE_MAX 1024
/* With the priority, time and program; a pipe takes it whole or not at all. */
#define LOG_WRITE_MAX (LOG_LINE_MAX + 128)

struct log_entry {
	enum log_id id;
	const char *name;
	enum log_prio prio;
};

static const struct log_entry *log_find(enum log_id id);
static void log_to_stderr(void *ctx, enum log_prio prio, const char *line);
static int log_write_drops(void);
static int log_write(enum log_prio prio, const char *line);

#define LOG_EVENT(id, number, name, prio) { id, name, prio },
static const struct log_entry log_entries[] = { LOG_EVENTS };
#undef LOG_EVENT

static const char *log_program = "magnolia";
static enum log_prio log_threshold = LOG_PRIO_INFO;
static log_sink_fn log_sink = log_to_stderr;
static void *log_sink_ctx;
static log_fields_fn log_fields_sink;
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
/* Not yet logged, under log_lock. */
static uint64_t log_drop_count;
static bool log_is_cut; /* the last line was written in part */

/*
 * Sets the program's name and the least severe priority that is logged.  Must
 * be called before threads start.
 */
void log_open(const char *program, enum log_prio threshold)
{
	log_program = program;
	log_threshold = threshold;
}

/*
 * From now on, a line that standard error does not accept at once is dropped
 * and counted: a reader that stops reading must not block the program.  Must be
 * called before threads start.
 */
void log_never_block(void)
{
	int flags;

	if (proc_unshare(STDERR_FILENO) == 0)
		return;
	flags = fcntl(STDERR_FILENO, F_GETFL);
	if (flags >= 0)
		fcntl(STDERR_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/*
 * Redirects formatted lines, for tests; a NULL sink drops them.  Must be called
 * before threads start.
 */
void log_set_sink(log_sink_fn sink, void *ctx)
{
	log_sink = sink;
	log_sink_ctx = ctx;
}

/*
 * Passes events to a program that logs them in its own format, in place of
 * formatted lines.  Must be called before threads start.
 */
void log_set_fields_sink(log_fields_fn sink)
{
	log_fields_sink = sink;
}

/* Returns the name of an event in LOG_EVENTS. */
const char *log_event_name(enum log_id id)
{
	return log_find(id)->name;
}

/*
 * Logs an event in one line: its number and name, then the key=value fields
 * formatted by fmt.
 */
void log_event(enum log_id id, const char *fmt, ...)
{
	const struct log_entry *entry = log_find(id);
	char line[LOG_LINE_MAX];
	va_list ap;
	int used;

	if ((!log_sink && !log_fields_sink) || entry->prio > log_threshold)
		return;
	used = snprintf(line, sizeof(line), "%d %s ", (int)id, entry->name);
	va_start(ap, fmt);
	vsnprintf(line + used, sizeof(line) - (size_t)used, fmt, ap);
	va_end(ap);
	if (log_fields_sink) {
		log_fields_sink(id, line + used);
		return;
	}
	log_sink(log_sink_ctx, entry->prio, line);
}

/*
 * Returns the entry of an event, or the first entry if there is none.  The
 * table is short, so a linear search is enough.
 */
static const struct log_entry *log_find(enum log_id id)
{
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(log_entries); i++) {
		if (log_entries[i].id == id)
			return &log_entries[i];
	}
	return &log_entries[0];
}

/* Writes a line, and before it how many were dropped since the last one. */
static void log_to_stderr(void *ctx, enum log_prio prio, const char *line)
{
	(void)ctx;
	pthread_mutex_lock(&log_lock);
	if (log_write_drops() || log_write(prio, line))
		log_drop_count++;
	pthread_mutex_unlock(&log_lock);
}

/* Logs how many lines were dropped.  Returns -1 if that is dropped as well. */
static int log_write_drops(void)
{
	char line[LOG_LINE_MAX];

	if (log_drop_count == 0 || log_threshold < LOG_PRIO_WARNING)
		return 0;
	snprintf(line, sizeof(line), "%d %s lines=%" PRIu64, (int)LOG_DROPPED,
		 log_event_name(LOG_DROPPED), log_drop_count);
	if (log_write(LOG_PRIO_WARNING, line))
		return -1;
	log_drop_count = 0;
	return 0;
}

/*
 * Writes a line in syslog style: priority, UTC time, program, process id.
 * Returns -1 if not all of it was written.
 */
static int log_write(enum log_prio prio, const char *line)
{
	char text[LOG_WRITE_MAX];
	char stamp[32];
	struct timespec now;
	struct tm utc;
	ssize_t written;
	int len;

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &utc);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
	len = snprintf(text, sizeof(text), "%s<%d>%s.%03ldZ %s[%d]: %s\n",
		       log_is_cut ? "\n" : "", (int)prio, stamp,
		       now.tv_nsec / 1000000, log_program, (int)getpid(), line);
	if (len >= (int)sizeof(text))
		len = (int)sizeof(text) - 1;
	written = write(STDERR_FILENO, text, (size_t)len);
	if (written > 0)
		log_is_cut = written < len;
	return written == len ? 0 : -1;
}
