#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "cfg_int.h"
#include "flt.h"

#define CFG_TEXT_MAX 512

struct cfg_faults {
	struct flt_list *list;
};

struct cfg_msg_entry {
	enum cfg_msg id;
	const char *format;
};

static const char *cfg_msg_format(enum cfg_msg msg);

#define CFG_MSG(id, number, format) { id, format },
static const struct cfg_msg_entry cfg_msgs[] = { CFG_MSGS };
#undef CFG_MSG

/* Returns an empty list of faults, or NULL if out of memory. */
struct cfg_faults *cfg_faults_new(void)
{
	struct cfg_faults *faults = calloc(1, sizeof(*faults));

	if (!faults)
		return NULL;
	faults->list = flt_new();
	if (faults->list)
		return faults;
	free(faults);
	return NULL;
}

/* Frees a list of faults; it may be NULL. */
void cfg_faults_free(struct cfg_faults *faults)
{
	if (!faults)
		return;
	flt_free(faults->list);
	free(faults);
}

/* Records that memory ran out, so that the set cannot be validated. */
void cfg_faults_mark_incomplete(struct cfg_faults *faults)
{
	flt_mark_incomplete(faults->list);
}

/* Returns true if memory ran out during validation. */
bool cfg_faults_incomplete(const struct cfg_faults *faults)
{
	return flt_is_incomplete(faults->list);
}

/* Returns the number of faults; a NULL list has none. */
size_t cfg_fault_count(const struct cfg_faults *faults)
{
	return faults ? flt_count(faults->list) : 0;
}

/*
 * Returns the text of one fault, `kind/name: field: message (number)`.  It is
 * valid until the list is freed.
 */
const char *cfg_fault_text(const struct cfg_faults *faults, size_t i)
{
	return flt_text(faults->list, i);
}

/*
 * Adds a fault.  The arguments after msg must match its format in CFG_MSGS.
 */
void cfg_fault(struct cfg_faults *faults, const char *kind, const char *name,
	       const char *field, enum cfg_msg msg, ...)
{
	char detail[CFG_TEXT_MAX];
	va_list ap;

	va_start(ap, msg);
	vsnprintf(detail, sizeof(detail), cfg_msg_format(msg), ap);
	va_end(ap);
	flt_add(faults->list, "%s/%.64s: %.64s: %s (%d)", kind, name, field,
		detail, (int)msg);
}

/*
 * Stores the numbers of all messages, at most max, and returns how many exist.
 * A test uses them to check that some invalid set triggers each message.
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
