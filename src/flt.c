#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flt.h"

#define FLT_TEXT_MAX	 1024
#define FLT_MIN_CAPACITY 8

struct flt_list {
	char **texts;
	size_t count;
	size_t capacity;
	bool incomplete;
};

static bool flt_grow(struct flt_list *list);
static void flt_replace_unprintable(char *text);

/* Creates an empty list; returns NULL if out of memory. */
struct flt_list *flt_new(void)
{
	return calloc(1, sizeof(struct flt_list));
}

/* Frees a list; NULL is a no-op. */
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

/* Adds a message; marks the list as incomplete if out of memory. */
void flt_add(struct flt_list *list, const char *fmt, ...)
{
	char text[FLT_TEXT_MAX];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	flt_replace_unprintable(text);
	if (!flt_grow(list)) {
		list->incomplete = true;
		return;
	}
	list->texts[list->count] = strdup(text);
	if (list->texts[list->count])
		list->count++;
	else
		list->incomplete = true;
}

/* Marks the list as incomplete, as memory ran out during the checks. */
void flt_mark_incomplete(struct flt_list *list)
{
	list->incomplete = true;
}

/* True if memory ran out, so an empty list doesn't mean that all is valid. */
bool flt_is_incomplete(const struct flt_list *list)
{
	return list->incomplete;
}

/* Returns the number of messages; 0 for a NULL list. */
size_t flt_count(const struct flt_list *list)
{
	return list ? list->count : 0;
}

/* Returns the text of a message, which is valid as long as the list. */
const char *flt_text(const struct flt_list *list, size_t i)
{
	return list->texts[i];
}

static bool flt_grow(struct flt_list *list)
{
	size_t capacity =
		list->capacity ? 2 * list->capacity : FLT_MIN_CAPACITY;
	char **grown;

	if (list->count < list->capacity)
		return true;
	grown = realloc(list->texts, capacity * sizeof(*grown));
	if (!grown)
		return false;
	list->texts = grown;
	list->capacity = capacity;
	return true;
}

/*
 * Replaces every byte that is not printable ASCII.  A message quotes the
 * content of a file.  A line feed or an escape sequence in it could forge
 * lines on the operator's terminal, and a multibyte character that is cut off
 * is not valid in JSON.
 */
static void flt_replace_unprintable(char *text)
{
	for (; *text; text++) {
		if (*text < ' ' || *text > '~')
			*text = '?';
	}
}
