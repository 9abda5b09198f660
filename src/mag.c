#include <string.h>

#include "mag.h"

static const char *const outcome_names[MAG_OUTCOME_COUNT] = {
	[MAG_RAN] = "ran",
	[MAG_NOT_RUN] = "not-run",
	[MAG_UNKNOWN] = "unknown",
};

/*
 * Returns the word that stands for an outcome in the header Magnolia-Outcome
 * and in log lines.
 */
const char *mag_outcome_name(enum mag_outcome outcome)
{
	return outcome_names[outcome];
}

/*
 * Copies a string of at most size - 1 bytes.  Returns 0, or -1 if the string
 * is longer, in which case dst holds the empty string: a name that is cut
 * short could be taken for another object's.
 */
int mag_copy_name(char *dst, size_t size, const char *src)
{
	size_t len = strlen(src);

	dst[0] = '\0';
	if (len >= size)
		return -1;
	memcpy(dst, src, len + 1);
	return 0;
}
