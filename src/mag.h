#ifndef MAG_H
#define MAG_H

/*
 * Sizes, units and helpers shared by all modules.  Times are microseconds on
 * the monotonic clock of this instance; deadlines are stored, never durations.
 */

#include <stddef.h>
#include <stdint.h>

/* Data centres that one instance can tell apart. */
#define MAG_DATA_CENTRES_MAX 64
#define MAG_LAYERS_MAX	     256 /* of a model */
#define MAG_NAME_MAX	     64	 /* longest object name, including the NUL */
#define MAG_ADDR_MAX	     48	 /* "ip:port", including the NUL */
#define MAG_DIGEST_BYTES     32	 /* BLAKE2b-256 */
#define MAG_DIGEST_HEX	     (2 * MAG_DIGEST_BYTES + 1)
#define MAG_CHAIN_MAX	     16 /* maximum of stages in a pipeline */
#define MAG_US_PER_MS	     INT64_C(1000)
#define MAG_US_PER_S	     INT64_C(1000000)
#define MAG_NEVER	     INT64_MAX /* no deadline */

#define MAG_ARRAY_SIZE(a) (sizeof(a) / sizeof((a)[0]))

/*
 * What a client is told about the execution of its request.  Each response
 * contains one of them in the header field Magnolia-Outcome.
 */
enum mag_outcome {
	MAG_RAN,     /* the response is the complete answer */
	MAG_NOT_RUN, /* proved: no endpoint started it under this intent */
	MAG_UNKNOWN, /* it may have run; resend only with the same key */
	MAG_OUTCOME_COUNT
};

const char *mag_outcome_name(enum mag_outcome outcome);
int mag_copy_name(char *dst, size_t size, const char *src);
void mag_identify(char *dst, const char *name);
uint64_t mag_random(uint64_t *state);
double mag_random_unit(uint64_t *state);
int64_t mag_backoff(int64_t first_us, int times, int doublings_max);
int mag_find_name(const char *names, size_t stride, size_t count,
		  const char *name, int hint);

#endif /* MAG_H */
