#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cfg_int.h"

#define CFG_TEXT_MAX 512

struct cfg_faults {
	char **texts;
	size_t count;
	size_t room;
	bool lost; /* memory ran out: the list is not whole */
};

struct cfg_msg_entry {
	enum cfg_msg id;
	const char *format;
};

static const char *cfg_msg_format(enum cfg_msg msg);
static void cfg_make_plain(char *text);
static void cfg_faults_add(struct cfg_faults *faults, const char *text);

#define CFG_MSG(id, number, format) { id, format },
static const struct cfg_msg_entry cfg_msgs[] = { CFG_MSGS };
#undef CFG_MSG

/* Returns an empty list of faults, or NULL without memory. */
struct cfg_faults *cfg_faults_new(void)
{
	return calloc(1, sizeof(struct cfg_faults));
}

/* Notes that memory ran out, so that the set can't be judged. */
void cfg_faults_lose(struct cfg_faults *faults)
{
	faults->lost = true;
}

/* Tells whether a fault could not be kept for want of memory. */
bool cfg_faults_lost(const struct cfg_faults *faults)
{
	return faults->lost;
}

/* Returns how many faults were found; a NULL list holds none. */
size_t cfg_fault_count(const struct cfg_faults *faults)
{
	return faults ? faults->count : 0;
}

/*
 * Returns the text of one fault, `kind/name: field: what is wrong (number)`.
 * It lives as long as the list.
 */
const char *cfg_fault_text(const struct cfg_faults *faults, size_t i)
{
	return faults->texts[i];
}

/* Frees a list of faults; NULL is taken. */
void cfg_faults_free(struct cfg_faults *faults)
{
	size_t i;

	if (!faults)
		return;
	for (i = 0; i < faults->count; i++)
		free(faults->texts[i]);
	free(faults->texts);
	free(faults);
}

/*
 * Adds a fault.  The arguments after the message are those of its format in
 * CFG_MSGS.
 */
void cfg_fault(struct cfg_faults *faults, const char *kind, const char *name,
	       const char *field, enum cfg_msg msg, ...)
{
	char what[CFG_TEXT_MAX];
	char text[CFG_TEXT_MAX + 256];
	va_list ap;

	va_start(ap, msg);
	vsnprintf(what, sizeof(what), cfg_msg_format(msg), ap);
	va_end(ap);
	snprintf(text, sizeof(text), "%s/%.64s: %.64s: %s (%d)", kind, name,
		 field, what, (int)msg);
	cfg_make_plain(text);
	cfg_faults_add(faults, text);
}

/*
 * Writes the numbers of all messages, at most max, and returns how many there
 * are: a test compares them with the bad sets that it holds.
 */
size_t cfg_msg_list(int *numbers, size_t max)
{
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(cfg_msgs) && i < max; i++)
		numbers[i] = (int)cfg_msgs[i].id;
	return MAG_ARRAY_SIZE(cfg_msgs);
}

static const char *cfg_msg_format(enum cfg_msg msg)
{
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(cfg_msgs); i++) {
		if (cfg_msgs[i].id == msg)
			return cfg_msgs[i].format;
	}
	return "";
}

/*
 * Replaces all that is not printable ASCII.  A text quotes what a file holds:
 * a line feed or an escape sequence in it would forge other lines on the
 * operator's terminal, and a character that is cut in two is no JSON.
 */
static void cfg_make_plain(char *text)
{
	for (; *text; text++) {
		if (*text < ' ' || *text > '~')
			*text = '?';
	}
}

static void cfg_faults_add(struct cfg_faults *faults, const char *text)
{
	size_t room = faults->room ? 2 * faults->room : 8;
	char **grown;

	if (faults->count == faults->room) {
		grown = realloc(faults->texts, room * sizeof(*grown));
		if (!grown) {
			faults->lost = true;
			return;
		}
		faults->texts = grown;
		faults->room = room;
	}
	faults->texts[faults->count] = strdup(text);
	if (faults->texts[faults->count])
		faults->count++;
	else
		faults->lost = true;
}
