#ifndef LDG_H
#define LDG_H

/*
 * Records of non-idempotent requests.  The record of an intent is appended
 * by compare-and-swap to a segment in the platform's service before the
 * first byte goes to an endpoint; the swap alone decides who dispatches.
 * The module is deterministic: it leaves calls and results, and takes
 * replies and the time.
 */

#include <stdbool.h>
#include <stdint.h>

#include "kv.h"
#include "mag.h"

#define LDG_ANSWER_MAX 4096 /* longest answer that a record keeps */
#define LDG_KEY_MAX    256

struct ldg;

enum ldg_err {
	LDG_OK = 0,
	LDG_E_KEY_EXPIRED = -1, /* a timed key from before the window */
	LDG_E_KEY_FORMAT = -2,	/* the route asks for UUIDv7 */
	LDG_E_FULL = -3,	/* too many reservations wait here */
	LDG_E_UNKNOWN_ID = -4,
};

struct ldg_settings {
	char instance[MAG_NAME_MAX];
	uint64_t incarnation; /* drawn at random at start */
	uint32_t shards;
	uint32_t segment_bytes;	 /* a segment is sealed beyond this */
	int64_t call_timeout_us; /* of one call to the service */
	uint32_t batch_max;	 /* reservations in one swap */
	bool one_record_each;	 /* the baseline: no batches */
};

struct ldg_claim {
	uint64_t req;
	uint8_t intent[MAG_DIGEST_BYTES];      /* account, route, key */
	uint8_t fingerprint[MAG_DIGEST_BYTES]; /* of the body */
	const char *key;		       /* as the caller sent it */
	bool timed;
	uint32_t window_s;
	bool may_resend; /* the service runs a downstream key once */
	int64_t deadline_us;
	int64_t wall_ms; /* wall clock at arrival, for timed keys */
};

enum ldg_verdict {
	LDG_DISPATCH,	 /* reserved under this attempt's own nonce */
	LDG_TAKEN_OVER,	 /* may resend with the downstream key */
	LDG_REPLAY,	 /* settled: here is the stored answer */
	LDG_IN_PROGRESS, /* another attempt holds it */
	LDG_AMBIGUOUS,	 /* an ambiguous attempt holds it: unknown */
	LDG_MISMATCH,	 /* the key stands for another body */
	LDG_NOT_RUN,	 /* service down; proved that nothing ran */
	LDG_UNKNOWN,	 /* service down; an earlier attempt may have run */
};

struct ldg_result {
	uint64_t req;
	enum ldg_verdict verdict;
	int status; /* LDG_REPLAY: status of the stored answer */
	char *answer;
	size_t answer_len;
	bool answer_stored; /* false: it was too long to keep */
	int64_t retry_at_us;
};

struct ldg_outcome {
	int status;
	const char *answer;
	size_t answer_len;
};

struct ldg *ldg_new(const struct ldg_settings *settings);
void ldg_free(struct ldg *ldg);

int ldg_reserve(struct ldg *ldg, const struct ldg_claim *claim, int64_t now);
int ldg_settle(struct ldg *ldg, uint64_t req, const struct ldg_outcome *outcome,
	       int64_t now);
int ldg_release(struct ldg *ldg, uint64_t req, int64_t now);
int ldg_mark_ambiguous(struct ldg *ldg, uint64_t req, int64_t now);

void ldg_tick(struct ldg *ldg, int64_t now);
void ldg_reply(struct ldg *ldg, const struct kv_reply *reply, int64_t now);
bool ldg_next_call(struct ldg *ldg, struct kv_call *call);
bool ldg_next_result(struct ldg *ldg, struct ldg_result *result);
int64_t ldg_next_deadline(const struct ldg *ldg);
bool ldg_idle(const struct ldg *ldg);

void ldg_intent(uint8_t intent[MAG_DIGEST_BYTES], const char *account,
		const char *route, const char *key);
void ldg_downstream_key(char hex[MAG_DIGEST_HEX],
			const uint8_t intent[MAG_DIGEST_BYTES]);

#endif /* LDG_H */
