#ifndef LDG_H
#define LDG_H

/*
 * Records of non-idempotent requests.  Before the first byte of a request
 * goes to an endpoint, the record of its intent is written by compare-and-swap
 * to a segment in the platform's key-value service.  The swap alone decides
 * which attempt dispatches.  The module is deterministic: the caller passes in
 * replies and the time, and collects calls to carry out and results.
 */

#include <stdbool.h>
#include <stdint.h>

#include "kv.h"
#include "mag.h"

#define LDG_ANSWER_MAX 4096 /* longest answer stored in a record */
#define LDG_KEY_MAX    256

struct ldg;

enum ldg_err {
	LDG_OK = 0,
	LDG_E_KEY_EXPIRED = -1, /* timed key older than its window */
	LDG_E_KEY_FORMAT = -2,	/* timed key: no UUIDv7, or from the future */
	LDG_E_FULL = -3,	/* too many attempts in memory */
	LDG_E_UNKNOWN_ID = -4,
};

struct ldg_settings {
	char instance[MAG_NAME_MAX];
	uint64_t incarnation; /* random number drawn at start */
	uint32_t shards;
	uint32_t segment_bytes;	 /* a segment beyond this is sealed */
	int64_t call_timeout_us; /* of one key-value call */
	uint32_t batch_max;	 /* most records that one swap writes */
	bool one_record_each;	 /* baseline for comparison: no batches */
};

struct ldg_claim {
	uint64_t req;
	uint8_t intent[MAG_DIGEST_BYTES]; /* digest of account, route, key */
	uint8_t fingerprint[MAG_DIGEST_BYTES]; /* of the body */
	const char *key;		       /* as sent by the caller */
	bool timed;			       /* the key must be a UUIDv7 */
	uint32_t window_s;
	bool may_resend; /* the service runs each downstream key once */
	int64_t deadline_us;
	int64_t wall_ms; /* wall clock at arrival; timed keys need it */
};

enum ldg_verdict {
	LDG_DISPATCH,	 /* reserved under this attempt's own nonce; send */
	LDG_TAKEN_OVER,	 /* may resend with the downstream key */
	LDG_REPLAY,	 /* settled; the result has the stored answer */
	LDG_IN_PROGRESS, /* another attempt has reserved the key */
	LDG_AMBIGUOUS,	 /* the outcome of an earlier attempt is unknown */
	LDG_MISMATCH,	 /* the key was used with another body */
	LDG_NOT_RUN,	 /* records unreachable or too late; nothing ran */
	LDG_UNKNOWN,	 /* records unreachable; an earlier one may have run */
};

struct ldg_result {
	uint64_t req;
	enum ldg_verdict verdict;
	int status; /* LDG_REPLAY: status of the stored answer */
	char *answer;
	size_t answer_len;
	bool answer_stored; /* false: the answer was too long to store */
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
