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

/*
 * Returns where a name stands in a table of entries that begin with theirs,
 * -1 if it doesn't.  The search goes outward from where it stood before (-1
 * for not known): a change of a set moves few entries, and none far, but to
 * search from the start for each of thousands takes longer than all else.
 */
int mag_find_name(const char *names, size_t stride, size_t count,
		  const char *name, int hint)
{
	size_t up = hint < 0 ? 0 : (size_t)hint;
	size_t down;

	if (up > count)
		up = count;
	for (down = up; up < count || down > 0; up++, down--) {
		if (up < count && strcmp(names + up * stride, name) == 0)
			return (int)up;
		if (down == 0) {
			down = 1;
			continue;
		}
		if (strcmp(names + (down - 1) * stride, name) == 0)
			return (int)(down - 1);
	}
	return -1;
}

/*
 * Returns the next number of a seeded sequence (xorshift), for choices and
 * spreads, not for secrets.  A state of zero counts as one: the sequence would
 * stand still.
 */
uint64_t mag_random(uint64_t *state)
{
	uint64_t x = *state ? *state : 1;

	x ^= x << 13;
	x ^= x >> 7;
	x ^= x << 17;
	*state = x;
	return x;
}

/* Returns a wait that doubles with each failure before, up to a bound. */
int64_t mag_backoff(int64_t first_us, int times, int doublings_max)
{
	return first_us << (times < doublings_max ? times : doublings_max);
}

/* Returns the next number of a seeded sequence in 0 .. 1. */
double mag_random_unit(uint64_t *state)
{
	return (double)(mag_random(state) >> 11) / (double)(UINT64_C(1) << 53);
}
