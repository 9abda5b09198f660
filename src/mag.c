#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "mag.h"

/* Of a name that is too long; BLAKE2b allows 16 bytes and more. */
#define MAG_IDENTITY_DIGEST_BYTES 16

static const char *const mag_outcome_names[MAG_OUTCOME_COUNT] = {
	[MAG_RAN] = "ran",
	[MAG_NOT_RUN] = "not-run",
	[MAG_UNKNOWN] = "unknown",
};

/*
 * Returns the name of an outcome in the header field Magnolia-Outcome and in
 * log lines.
 */
const char *mag_outcome_name(enum mag_outcome outcome)
{
	return mag_outcome_names[outcome];
}

/*
 * Copies a string of at most size - 1 bytes.  Returns 0, or -1 if the string
 * is longer; dst is then empty, because a truncated name could be that of
 * another object.
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
 * Writes an identity of a name, of MAG_NAME_MAX bytes with its NUL: the name
 * itself, or if it is too long its beginning and a hash of all of it.
 */
void mag_identify(char *dst, const char *name)
{
	unsigned char digest[MAG_IDENTITY_DIGEST_BYTES];
	char hex[2 * MAG_IDENTITY_DIGEST_BYTES + 1];
	size_t len = strlen(name);

	if (!mag_copy_name(dst, MAG_NAME_MAX, name))
		return;
	crypto_generichash(digest, sizeof(digest), (const unsigned char *)name,
			   len, NULL, 0);
	sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
	snprintf(dst, MAG_NAME_MAX, "%.*s~%s",
		 (int)(MAG_NAME_MAX - 1 - sizeof(hex)), name, hex);
}

/*
 * Returns the index of a name in a table of entries that start with their
 * names, or -1.  The search proceeds in both directions from hint, the previous
 * index of the name (-1: unknown).  A change of a set moves few entries, and
 * none far; scanning from the start for each of thousands of names would take
 * most of the time of the change.
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
 * Returns the next number of a seeded pseudo-random sequence (xorshift), for
 * random choices and jitter, not for secrets.  A state of zero is replaced by
 * one, because the sequence would remain zero.
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

/*
 * Returns the wait before the next retry: first_us, doubled for each of times
 * previous failures, at most doublings_max times.
 */
int64_t mag_backoff(int64_t first_us, int times, int doublings_max)
{
	return first_us << (times < doublings_max ? times : doublings_max);
}

/* Returns the next number of a seeded pseudo-random sequence in [0, 1). */
double mag_random_unit(uint64_t *state)
{
	return (double)(mag_random(state) >> 11) / (double)(UINT64_C(1) << 53);
}
