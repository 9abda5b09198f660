#ifndef QUAR_H
#define QUAR_H

/*
 * Quarantine of requests that crash the endpoints that run them.  When an
 * endpoint dies, the fingerprints running on it become suspects.  A suspect
 * runs again only on endpoints without another suspect, until it has completed
 * there.  A second endpoint lost while it runs quarantines it on every
 * instance.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

/* Size of a fingerprint as text, which holds its first bytes. */
#define QUAR_TEXT_SIZE 17

struct quar;

enum quar_state {
	QUAR_CLEAR,
	QUAR_SUSPECT,	  /* run it apart from other suspects */
	QUAR_QUARANTINED, /* refuse it */
};

struct quar *quar_new(uint32_t max_entries, int64_t hold_us);
void quar_free(struct quar *quar);
bool quar_have_common_cause(int lost_together);
bool quar_is_evidence(int64_t began_us, int64_t alive_us, bool others);
enum quar_state quar_check(const struct quar *quar,
			   const uint8_t fingerprint[MAG_DIGEST_BYTES],
			   int64_t now);
void quar_endpoint_lost(struct quar *quar,
			const uint8_t fingerprint[MAG_DIGEST_BYTES],
			int endpoint, bool was_alone, int64_t now);
void quar_completed(struct quar *quar,
		    const uint8_t fingerprint[MAG_DIGEST_BYTES], int64_t now);
bool quar_learn(struct quar *quar, const uint8_t fingerprint[MAG_DIGEST_BYTES],
		uint32_t endpoints_lost, int64_t until_us, int64_t now);
void quar_pass_on(struct quar *quar,
		  const uint8_t fingerprint[MAG_DIGEST_BYTES]);
bool quar_next_update(struct quar *quar, uint8_t fingerprint[MAG_DIGEST_BYTES],
		      uint32_t *endpoints_lost, int64_t *until_us);
const char *quar_text(const uint8_t fingerprint[MAG_DIGEST_BYTES],
		      char text[QUAR_TEXT_SIZE]);

#endif /* QUAR_H */
