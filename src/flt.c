#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flt.h"

#define FLT_TEXT_MAX   1024
#define FLT_ROOM_LEAST 8

struct flt_list {
	char **texts;
	size_t count;
	size_t room;
	bool lost;
};

static bool flt_grow(struct flt_list *list);
static void flt_make_plain(char *text);

/* Returns an empty list, or NULL without memory. */
struct flt_list *flt_new(void)
{
	return calloc(1, sizeof(struct flt_list));
}

/* Frees a list; NULL is taken. */
void flt_free(struct flt_list *list)
{
	size_t i;

	if (!list)
		return;
	for (i = 0; i < list->count; i++)
		free(list->texts[i]);
	free(list->texts);
	free(list);
}

/* Adds a fault; one that memory does not allow marks the list as not whole. */
void flt_add(struct flt_list *list, const char *fmt, ...)
{
	char text[FLT_TEXT_MAX];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	flt_make_plain(text);
	if (!flt_grow(list)) {
		list->lost = true;
		return;
	}
	list->texts[list->count] = strdup(text);
	if (list->texts[list->count])
		list->count++;
	else
		list->lost = true;
}

/* Notes that memory ran out, so that what was read can't be judged. */
void flt_mark_incomplete(struct flt_list *list)
{
	list->lost = true;
}

/* Tells whether memory ran out while faults were looked for. */
bool flt_is_incomplete(const struct flt_list *list)
{
	return list->lost;
}

/* Returns how many faults were found; a NULL list holds none. */
size_t flt_count(const struct flt_list *list)
{
	return list ? list->count : 0;
}

/* Returns the text of one fault; it lives as long as the list. */
const char *flt_text(const struct flt_list *list, size_t i)
{
	return list->texts[i];
}

static bool flt_grow(struct flt_list *list)
{
	size_t room = list->room ? 2 * list->room : FLT_ROOM_LEAST;
	char **grown;

	if (list->count < list->room)
		return true;
	grown = realloc(list->texts, room * sizeof(*grown));
	if (!grown)
		return false;
	list->texts = grown;
	list->room = room;
	return true;
}

/*
 * Replaces all that is not printable ASCII.  A text quotes what a file holds:
 * a line feed or an escape sequence in it would forge other lines on the
 * operator's terminal, and a character that is cut in two is no JSON.
 */
static void flt_make_plain(char *text)
{
	for (; *text; text++) {
		if (*text < ' ' || *text > '~')
			*text = '?';
	}
}
