#ifndef EVS_H
#define EVS_H

/*
 * Splits a stream of server-sent events into events; performs no I/O.  Only
 * complete events are relayed to a client, so that after a failure another
 * worker can resume the stream after the last one.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define EVS_NO_ID (-1)
/* Longest accepted event (bytes); a longer one is treated as an error. */
#define EVS_EVENT_MAX (1 << 20)

struct evs {
	char *bytes;
	size_t start; /* offset of the next event */
	size_t len;
	size_t cap;
	size_t scanned; /* no event ends before this offset */
	int64_t count;	/* events returned */
};

struct evs_event {
	const char
		*bytes; /* includes the blank line; valid until the next feed */
	size_t len;
	int64_t id; /* EVS_NO_ID if it has none */
};

int evs_feed(struct evs *evs, const void *bytes, size_t len);
bool evs_next(struct evs *evs, struct evs_event *event);
size_t evs_pending(const struct evs *evs);
void evs_reset(struct evs *evs);
void evs_free(struct evs *evs);

#endif /* EVS_H */
