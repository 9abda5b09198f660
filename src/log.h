#ifndef LOG_H
#define LOG_H

#include "log_events.h"

/* Priorities with the numbers of syslog. */
enum log_prio {
	LOG_PRIO_ERR = 3,
	LOG_PRIO_WARNING = 4,
	LOG_PRIO_NOTICE = 5,
	LOG_PRIO_INFO = 6,
	LOG_PRIO_DEBUG = 7,
};

/* Writes a formatted line; the default writes to standard error. */
typedef void (*log_sink_fn)(void *ctx, enum log_prio prio, const char *line);
/* Writes an event in the program's own format; fields are key=value. */
typedef void (*log_fields_fn)(enum log_id id, const char *fields);

void log_open(const char *program, enum log_prio threshold);
void log_never_block(void);
void log_set_sink(log_sink_fn sink, void *ctx);
void log_set_fields_sink(log_fields_fn sink);
const char *log_event_name(enum log_id id);
void log_event(enum log_id id, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#endif /* LOG_H */
