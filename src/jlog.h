#ifndef JLOG_H
#define JLOG_H

/*
 * Structured log lines on standard output: one JSON object per line, with the
 * number and the name of the event.  Lines are buffered and written when the
 * event loop is idle.  Lines beyond the rate limit, or beyond the buffer if the
 * reader is slow, are dropped and counted, so that no request waits for
 * logging.  The lines that say why the process ends have room of their own.
 */

#include <stdint.h>

#include "log_events.h"

void jlog_open(const char *instance, int fd, int lines_per_s);
/* fmt formats additional members, such as "\"request\":\"%s\"". */
void jlog(enum log_id id, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* fields holds key=value pairs separated by spaces. */
void jlog_fields(enum log_id id, const char *fields);
void jlog_set_instance(const char *instance);
void jlog_flush(void);
void jlog_finish(int64_t until_us);
uint64_t jlog_dropped(void);
/*
 * Copies text for use in a JSON string: replaces control characters, quotes,
 * backslashes and bytes from 0x7f on by '?'.  text may be dst.
 */
const char *jlog_sanitize(char *dst, unsigned int size, const char *text);

#endif /* JLOG_H */
