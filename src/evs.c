#include <stdlib.h>
#include <string.h>

#include "evs.h"

static int64_t evs_id(const char *bytes, size_t len);
static int64_t evs_number(const char *text, const char *end);
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
	evs->count++;
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
	evs->count = 0;
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

	while (line < end) {
		next = memchr(line, '\n', (size_t)(end - line));
		if (!next)
			break;
		if (next - line >= 3 && memcmp(line, "id:", 3) == 0)
			return evs_number(line + 3, next);
		line = next + 1;
	}
	return EVS_NO_ID;
}

/* Returns the decimal number of a field, or EVS_NO_ID if it is none. */
static int64_t evs_number(const char *text, const char *end)
{
	int64_t number = 0;
	const char *digits;

	while (text < end && *text == ' ')
		text++;
	for (digits = text; text < end && *text >= '0' && *text <= '9';
	     text++) {
		if (number > (INT64_MAX - (*text - '0')) / 10)
			return EVS_NO_ID;
		number = number * 10 + (*text - '0');
	}
	if (text == digits)
		return EVS_NO_ID;
	if (text < end && *text == '\r')
		text++;
	return text == end ? number : EVS_NO_ID;
}
