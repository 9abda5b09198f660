#ifndef JLOG_H
#define JLOG_H

/*
 * Structured log lines on standard output: one JSON object a line, with the
 * numbered event first.  Lines are buffered and written when the loop is
 * idle; what a slow reader or the budget of lines leaves no room for is
 * dropped and counted, so that no request ever waits for a log.
 */

#include <stdint.h>

#include "log_events.h"

void jlog_open(const char *instance, int fd, int lines_per_s);
/* fmt makes further members, such as "\"request\":\"%s\"". */
void jlog(enum log_id id, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* fields are key=value, separated by spaces. */
void jlog_fields(enum log_id id, const char *fields);
void jlog_flush(void);
uint64_t jlog_dropped(void);
/* Copies text with what JSON does not allow in a string replaced. */
const char *jlog_sanitize(char *dst, unsigned int size, const char *text);

#endif /* JLOG_H */
