#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "clk.h"
#include "jlog.h"
#include "log.h"
#include "mag.h"
#include "proc.h"

#define JLOG_BUFFER   65536
#define JLOG_LINE_MAX 1024
/* Part of the buffer for the lines that say why the process ends. */
#define JLOG_LAST_BYTES (4 * JLOG_LINE_MAX)

static char jlog_buffer[JLOG_BUFFER];
static size_t jlog_len;
static char jlog_instance[MAG_NAME_MAX];
static int jlog_fd = STDOUT_FILENO;
static int jlog_max_per_s;
static int64_t jlog_second;
static int jlog_second_lines;
static uint64_t jlog_drop_count;
static uint64_t jlog_drops_logged;

static int jlog_write(void);
static void jlog_report_drops(int64_t now);
static bool jlog_is_last(enum log_id id);
static void jlog_put(enum log_id id, const char *fmt, va_list ap)
	__attribute__((format(printf, 2, 0)));
static void jlog_put_drops(const char *fmt, ...)
	__attribute__((format(printf, 1, 2)));

/*
 * Sets the output and the maximum of lines per second; 0: no limit.  A reader
 * that stops reading must not block the router, neither through the log nor
 * through what libraries write to standard error.
 */
void jlog_open(const char *instance, int fd, int lines_per_s)
{
	int flags;

	jlog_set_instance(instance);
	jlog_fd = fd;
	jlog_max_per_s = lines_per_s;
	if (fd != STDERR_FILENO)
		(void)proc_unshare(STDERR_FILENO);
	if (proc_unshare(fd) == 0)
		return;
	flags = fcntl(fd, F_GETFL);
	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

/* Sets the name of the instance in the lines that follow. */
void jlog_set_instance(const char *instance)
{
	jlog_sanitize(jlog_instance, sizeof(jlog_instance), instance);
}

void jlog(enum log_id id, const char *fmt, ...)
{
	int64_t now = clk_boot_us();
	va_list ap;

	jlog_report_drops(now);
	if (jlog_max_per_s > 0 && jlog_second_lines >= jlog_max_per_s &&
	    !jlog_is_last(id)) {
		jlog_drop_count++;
		return;
	}
	jlog_second_lines++;
	va_start(ap, fmt);
	jlog_put(id, fmt, ap);
	va_end(ap);
}

/* Each second that begins, logs how many lines were dropped. */
static void jlog_report_drops(int64_t now)
{
	if (now / MAG_US_PER_S == jlog_second)
		return;
	jlog_second = now / MAG_US_PER_S;
	jlog_second_lines = 0;
	if (jlog_drop_count > jlog_drops_logged)
		jlog_put_drops("\"lines\":%" PRIu64,
			       jlog_drop_count - jlog_drops_logged);
}

/* Tells whether a line says why the process ends; each comes once. */
static bool jlog_is_last(enum log_id id)
{
	return id == LOG_STOPPING || id == LOG_STOPPED ||
	       id == LOG_START_FAILED;
}

/* Logs how many lines were dropped since that was last logged. */
static void jlog_put_drops(const char *fmt, ...)
{
	uint64_t dropped = jlog_drop_count;
	va_list ap;

	va_start(ap, fmt);
	jlog_put(LOG_DROPPED, fmt, ap);
	va_end(ap);
	if (jlog_drop_count == dropped)
		jlog_drops_logged = dropped;
}

/* Adds a line to the buffer, or counts it as dropped. */
static void jlog_put(enum log_id id, const char *fmt, va_list ap)
{
	size_t max = sizeof(jlog_buffer);
	char line[JLOG_LINE_MAX];
	int used;
	int more;

	if (!jlog_is_last(id))
		max -= JLOG_LAST_BYTES;
	used = snprintf(line, sizeof(line),
			"{\"t_ms\":%" PRId64 ",\"instance\":\"%s\","
			"\"event\":%d,\"name\":\"%s\",",
			clk_wall_ms(), jlog_instance, (int)id,
			log_event_name(id));
	more = vsnprintf(line + used, sizeof(line) - (size_t)used - 3, fmt, ap);
	used += more;
	if (more < 0 || used >= JLOG_LINE_MAX - 3 ||
	    jlog_len + (size_t)used + 2 > max) {
		jlog_drop_count++;
		return;
	}
	line[used++] = '}';
	line[used++] = '\n';
	memcpy(jlog_buffer + jlog_len, line, (size_t)used);
	jlog_len += (size_t)used;
}

/*
 * Logs an event whose fields are key=value text, as the modules write them that
 * are shared with other programs.  All values become strings, because a
 * fingerprint may consist of digits only.
 */
void jlog_fields(enum log_id id, const char *fields)
{
	char members[JLOG_LINE_MAX];
	char value[JLOG_LINE_MAX];
	size_t used = 0;
	int key;
	int len;

	members[0] = '\0';
	for (; *fields; fields += len + (fields[len] == ' ')) {
		len = (int)strcspn(fields, " ");
		key = (int)strcspn(fields, "= ");
		if (key >= len || used >= sizeof(members))
			continue;
		snprintf(value, sizeof(value), "%.*s", len - key - 1,
			 fields + key + 1);
		jlog_sanitize(value, sizeof(value), value);
		used += (size_t)snprintf(members + used, sizeof(members) - used,
					 "%s\"%.*s\":\"%s\"",
					 used > 0 ? "," : "", key, fields,
					 value);
	}
	jlog(id, "%s", members);
}

/*
 * Writes what the descriptor accepts without blocking; the rest is retained.
 * What was dropped is reported without another line, too.
 */
void jlog_flush(void)
{
	if (jlog_drop_count > jlog_drops_logged)
		jlog_report_drops(clk_boot_us());
	(void)jlog_write();
}

/*
 * Writes what is left when the process ends, and what was dropped.  Waits for a
 * slow reader until until_us at most.
 */
void jlog_finish(int64_t until_us)
{
	struct pollfd ready = { .fd = jlog_fd, .events = POLLOUT };
	int64_t now = clk_boot_us();

	while (jlog_write() == 0 && jlog_len > 0 && now < until_us) {
		poll(&ready, 1, (int)((until_us - now) / MAG_US_PER_MS) + 1);
		now = clk_boot_us();
	}
	if (jlog_drop_count > jlog_drops_logged) {
		jlog_put_drops("\"lines\":%" PRIu64,
			       jlog_drop_count - jlog_drops_logged);
		(void)jlog_write();
	}
}

/*
 * Writes once.  Returns -1 if that fails for another reason than a slow reader:
 * there is no reader, or no room.  The lines are retained, as both may change;
 * jlog() drops and counts what does not fit.
 */
static int jlog_write(void)
{
	ssize_t n;

	if (jlog_len == 0)
		return 0;
	n = write(jlog_fd, jlog_buffer, jlog_len);
	if (n < 0)
		return errno == EAGAIN || errno == EINTR ? 0 : -1;
	memmove(jlog_buffer, jlog_buffer + n, jlog_len - (size_t)n);
	jlog_len -= (size_t)n;
	return 0;
}

uint64_t jlog_dropped(void)
{
	return jlog_drop_count;
}

const char *jlog_sanitize(char *dst, unsigned int size, const char *text)
{
	unsigned int i;

	for (i = 0; text && text[i] && i + 1 < size; i++) {
		dst[i] = text[i];
		if ((unsigned char)text[i] < 0x20 || text[i] == '"' ||
		    text[i] == '\\' || (unsigned char)text[i] >= 0x7f)
			dst[i] = '?';
	}
	dst[i] = '\0';
	return dst;
}
