#ifndef MAG_H
#define MAG_H

/*
 * Sizes and units that every module shares.  Times are microseconds on the
 * monotonic clock of this instance; deadlines are stored, never durations.
 */

#include <stddef.h>
#include <stdint.h>

#define MAG_NAME_MAX	 64 /* longest object name, with its NUL */
#define MAG_ADDR_MAX	 48 /* "ip:port", with its NUL */
#define MAG_DIGEST_BYTES 32 /* BLAKE2b-256 */
#define MAG_DIGEST_HEX	 (2 * MAG_DIGEST_BYTES + 1)
#define MAG_CHAIN_MAX	 16 /* most stages in a pipeline */
#define MAG_US_PER_MS	 INT64_C(1000)
#define MAG_US_PER_S	 INT64_C(1000000)
#define MAG_NEVER	 INT64_MAX /* a deadline that does not come */

#define MAG_ARRAY_SIZE(a) (sizeof(a) / sizeof((a)[0]))

/*
 * What a caller is told about its request.  Each answer carries one of them
 * in the header Magnolia-Outcome.
 */
enum mag_outcome {
	MAG_RAN,     /* the whole answer of this request */
	MAG_NOT_RUN, /* proved: no endpoint began it under this intent */
	MAG_UNKNOWN, /* it may have run; resend only under the same key */
	MAG_OUTCOME_COUNT
};

const char *mag_outcome_name(enum mag_outcome outcome);
int mag_copy_name(char *dst, size_t size, const char *src);
uint64_t mag_random(uint64_t *state);
double mag_random_unit(uint64_t *state);
int64_t mag_backoff(int64_t first_us, int times, int doublings_max);
int mag_find_name(const char *names, size_t stride, size_t count,
		  const char *name, int hint);

#endif /* MAG_H */
