#include <stdlib.h>
#include <string.h>

#include "evs.h"

static int64_t evs_id(const char *bytes, size_t len);
static bool evs_find_end(const struct evs *evs, size_t *end);

/*
 * Appends received bytes.  Returns a negative value if memory is exhausted or
 * if the unfinished event would exceed EVS_EVENT_MAX.
 */
int evs_feed(struct evs *evs, const void *bytes, size_t len)
{
	size_t cap = evs->cap ? evs->cap : 1024;
	char *grown;

	if (evs->start > 0) {
		memmove(evs->bytes, evs->bytes + evs->start,
			evs->len - evs->start);
		evs->len -= evs->start;
		evs->scanned -= evs->start;
		evs->start = 0;
	}
	if (evs->len + len > EVS_EVENT_MAX)
		return -1;
	while (cap < evs->len + len)
		cap *= 2;
	if (cap != evs->cap) {
		grown = realloc(evs->bytes, cap);
		if (!grown)
			return -1;
		evs->bytes = grown;
		evs->cap = cap;
	}
	memcpy(evs->bytes + evs->len, bytes, len);
	evs->len += len;
	return 0;
}

/* Returns the next complete event; false if there is none. */
bool evs_next(struct evs *evs, struct evs_event *event)
{
	size_t end;

	if (!evs_find_end(evs, &end)) {
		/*
		 * Up to three bytes of the blank line that ends an event
		 * may precede the rest of it in the next feed.
		 */
		evs->scanned = evs->len > 3 ? evs->len - 3 : 0;
		if (evs->scanned < evs->start)
			evs->scanned = evs->start;
		return false;
	}
	event->bytes = evs->bytes + evs->start;
	event->len = end - evs->start;
	event->id = evs_id(event->bytes, event->len);
	evs->start = end;
	evs->scanned = end;
	return true;
}

/* Returns the number of buffered bytes of an incomplete event. */
size_t evs_pending(const struct evs *evs)
{
	return evs->len - evs->start;
}

void evs_reset(struct evs *evs)
{
	evs->start = 0;
	evs->len = 0;
	evs->scanned = 0;
}

void evs_free(struct evs *evs)
{
	free(evs->bytes);
	memset(evs, 0, sizeof(*evs));
}

/* Finds the blank line that ends an event. */
static bool evs_find_end(const struct evs *evs, size_t *end)
{
	size_t i;

	for (i = evs->scanned; i < evs->len; i++) {
		if (evs->bytes[i] != '\n')
			continue;
		if (i > evs->start && evs->bytes[i - 1] == '\n') {
			*end = i + 1;
			return true;
		}
		if (i > evs->start + 1 && evs->bytes[i - 1] == '\r' &&
		    evs->bytes[i - 2] == '\n') {
			*end = i + 1;
			return true;
		}
	}
	return false;
}

/* Returns the number in an event's id line, or EVS_NO_ID. */
static int64_t evs_id(const char *bytes, size_t len)
{
	const char *end = bytes + len;
	const char *line = bytes;
	const char *next;
	int64_t id;

	while (line < end) {
		next = memchr(line, '\n', (size_t)(end - line));
		if (!next)
			break;
		if (next - line > 3 && memcmp(line, "id:", 3) == 0) {
			id = 0;
			for (line += 3; line < next && *line == ' '; line++)
				;
			for (; line < next && *line >= '0' && *line <= '9' &&
			       id < INT64_MAX / 16;
			     line++)
				id = id * 10 + (*line - '0');
			return id;
		}
		line = next + 1;
	}
	return EVS_NO_ID;
}
