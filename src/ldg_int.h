#ifndef LDG_INT_H
#define LDG_INT_H

/*
 * Internal declarations of the ledger: records, segments, attempts, shards.
 * Times ending in _us are monotonic and local to this instance.  Times ending
 * in _ms are wall clock and are stored in records that other instances read.
 *
 * Each shard stores its records in numbered segments, one key each.  All
 * writes go to the last one, the current segment; the swap that makes it too
 * long also seals it, and the next number becomes current.  The shard's head
 * key has the first and last number in use; it is only a hint.
 */

#include <urcu/list.h>

#include "ldg.h"

#define LDG_BUCKETS		  64
#define LDG_ATTEMPTS_MAX	  8192 /* limits the memory of this instance */
#define LDG_RECS_MAX		  100000 /* above this, idle shards are evicted */
#define LDG_MAX_SKEW_MS		  INT64_C(60000) /* max difference of two clocks */
#define LDG_AMBIGUOUS_WINDOWS	  8 /* that an ambiguous record stays */
#define LDG_LATE_OUTCOME_US	  (60 * MAG_US_PER_S) /* wait for a late outcome */
#define LDG_BACKOFF_US		  (5 * MAG_US_PER_MS) /* after a conflict or limit */
#define LDG_BACKOFF_MAX_US	  (80 * MAG_US_PER_MS)
#define LDG_SWAP_INTERVAL_STEP_US (2 * MAG_US_PER_MS)
#define LDG_SWAP_INTERVAL_MAX_US  (100 * MAG_US_PER_MS)
#define LDG_DOWN_BACKOFF_US	  (100 * MAG_US_PER_MS) /* between probes */
#define LDG_DOWN_BACKOFF_MAX_US	  (250 * MAG_US_PER_MS)
#define LDG_DOWN_FAILURES	  2 /* lost replies in a row that mean an outage */
#define LDG_VIEW_MAX_AGE_US	  (2 * MAG_US_PER_MS) /* under contention */
#define LDG_GRACE_MS		  1000 /* added to a dispatcher's deadline */
#define LDG_BUSY_RETRY_US	  MAG_US_PER_S
#define LDG_AMBIGUOUS_RETRY_US	  (5 * MAG_US_PER_S)

/* Identifies the one dispatch that a reservation allows. */
struct ldg_nonce {
	uint64_t incarnation;
	uint64_t number;
};

enum ldg_rec_state {
	REC_RESERVED,  /* its dispatcher may send or has sent */
	REC_AMBIGUOUS, /* may have been sent; outcome unknown */
	REC_RELEASED,  /* its dispatcher sent nothing */
	REC_SETTLED,   /* outcome known; never changes again */
	REC_STATE_COUNT
};

struct ldg_rec {
	struct cds_list_head order;
	struct cds_list_head bucket;
	uint8_t intent[MAG_DIGEST_BYTES];
	uint8_t fingerprint[MAG_DIGEST_BYTES];
	struct ldg_nonce nonce;
	char instance[MAG_NAME_MAX];
	enum ldg_rec_state state;
	uint32_t takeovers;
	int64_t deadline_ms; /* of the dispatcher's request */
	int64_t expiry_ms;   /* then a timed key is refused, another is new */
	int64_t window_ms;
	bool timed;
	int status;
	char *answer;
	size_t answer_len;
	bool answer_stored;
};

struct ldg_seg {
	struct cds_list_head node;
	uint32_t number;
	uint64_t version; /* 0: not created yet */
	bool sealed;
	uint32_t count;
	struct cds_list_head recs;
	struct cds_list_head buckets[LDG_BUCKETS];
};

enum ldg_att_state {
	ATT_WAITING,	       /* for the swap that writes its reservation */
	ATT_DISPATCHED,	       /* the module's caller was told to send */
	ATT_SETTLING,	       /* its outcome is to be written */
	ATT_RELEASING,	       /* sent nothing; the key is to be released */
	ATT_MARKING_AMBIGUOUS, /* its record is to be marked ambiguous */
	ATT_CANCELLING,	       /* cancelled; its swap may still land */
	ATT_AMBIGUOUS,	       /* recorded; may still be settled or released */
};

struct ldg_att {
	struct cds_list_head node; /* in its shard's queue, unless dispatched */
	struct cds_list_head by_req;	/* in ldg->by_req */
	struct cds_list_head by_intent; /* in ldg->by_intent */
	struct ldg_shard *shard;
	uint64_t req;
	uint8_t intent[MAG_DIGEST_BYTES];
	uint8_t fingerprint[MAG_DIGEST_BYTES];
	struct ldg_nonce nonce;
	enum ldg_att_state state;
	enum ldg_att_state batched_state; /* when put in the swap */
	bool in_batch;
	bool may_resend;
	bool taken_over;
	bool timed;
	int64_t expiry_ms;
	int64_t window_ms;
	int64_t wall_offset_ms; /* wall clock minus monotonic clock */
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t due_us;	      /* latest start of its swap, or when to free it */
	bool swap_unanswered; /* a swap with its reservation got no reply */
	uint32_t unanswered_segment;
	uint64_t unanswered_version; /* that this swap replaces */
	int status;
	char *answer;
	size_t answer_len;
	bool answer_stored;
};

enum ldg_step {
	STEP_COLD,  /* nothing is cached */
	STEP_STALE, /* the current segment must be read again */
	STEP_READY, /* may answer from the segments and write */
};

/* What a shard's call in flight reads or writes. */
enum ldg_target {
	TARGET_HEAD,
	TARGET_CURRENT,
	TARGET_EXPIRED,
};

struct ldg_shard {
	struct cds_list_head node;
	char name[MAG_DIGEST_HEX];
	bool single; /* has one intent only; see one_record_each */
	enum ldg_step step;
	struct cds_list_head segs; /* sealed segments, then the current one */
	uint32_t first;		   /* number of the oldest live segment */
	uint64_t head_version;
	bool head_dirty;	      /* the head is to be written */
	struct cds_list_head expired; /* segments to be emptied */
	struct cds_list_head queue;   /* attempts to write, oldest first */
	struct cds_list_head batch;   /* records of the swap in flight */
	bool batch_seals;	      /* the swap in flight seals the segment */
	uint64_t call_id;	      /* 0: no call in flight */
	enum kv_op call_op;
	enum ldg_target call_target;
	int64_t call_started_us;
	int64_t call_deadline_us;
	int64_t view_us;  /* the cached segments are no older than this */
	int64_t retry_us; /* no call before this time */
	int64_t backoff_us;
	uint32_t att_count;
	bool may_swap;	/* has its turn; the instance limits its swap rate */
	bool contended; /* last read or swap found another's version */
};

struct ldg_call_node {
	struct cds_list_head node;
	struct kv_call call;
};

struct ldg_result_node {
	struct cds_list_head node;
	struct ldg_result result;
};

struct ldg {
	struct ldg_settings set;
	struct cds_list_head shards;
	struct ldg_shard **table; /* by shard number; NULL until used */
	struct cds_list_head by_req[LDG_BUCKETS];
	struct cds_list_head by_intent[LDG_BUCKETS];
	size_t att_count;
	struct cds_list_head ambiguous; /* in ATT_AMBIGUOUS, oldest first */
	size_t ambiguous_count;
	struct cds_list_head calls;
	struct cds_list_head results;
	uint64_t next_call;
	uint64_t next_nonce;
	uint64_t rng;
	int64_t wall_offset_ms;
	unsigned int calls_in_flight;
	int64_t swap_interval_us; /* min time between swaps of the instance */
	int64_t next_swap_us;
	int consecutive_failures; /* calls in a row without a reply */
	bool down;
	int64_t next_probe_us; /* while down: no call before this time */
	int64_t down_backoff_us;
};

/* ldg_seg.c */
struct ldg_seg *ldg_seg_new(uint32_t number);
void ldg_seg_free(struct ldg_seg *seg);
struct ldg_rec *ldg_seg_find(const struct ldg_seg *seg, const uint8_t *intent);
void ldg_seg_put(struct ldg_seg *seg, struct ldg_rec *rec);
void ldg_seg_purge(struct ldg_seg *seg, int64_t wall_ms);
bool ldg_rec_droppable(const struct ldg_rec *rec, int64_t wall_ms);
struct ldg_rec *ldg_rec_copy(const struct ldg_rec *rec);
void ldg_rec_free(struct ldg_rec *rec);
struct ldg_rec *ldg_batch_find(const struct cds_list_head *batch,
			       const uint8_t *intent);

/* ldg_json.c */
int ldg_json_read(struct ldg_seg *seg, const char *text, size_t len);
char *ldg_json_write(const struct ldg_seg *seg,
		     const struct cds_list_head *batch, size_t seal_threshold,
		     bool *seals);
char *ldg_json_write_empty(void);
int ldg_json_read_head(const char *text, size_t len, uint32_t *first,
		       uint32_t *last);
char *ldg_json_write_head(uint32_t first, uint32_t last);

/* ldg_judge.c */
bool ldg_owns(const struct ldg_att *att, const struct ldg_rec *rec);
enum ldg_verdict ldg_evaluate(const struct ldg *ldg, const struct ldg_att *att,
			      const struct ldg_rec *rec, int64_t now);
struct ldg_rec *ldg_build_record(const struct ldg *ldg, struct ldg_att *att,
				 const struct ldg_rec *rec, int64_t now);

/* ldg_shard.c */
struct ldg_shard *ldg_shard_get(struct ldg *ldg, const uint8_t *intent);
void ldg_shard_free(struct ldg *ldg, struct ldg_shard *shard);
void ldg_shard_evict(struct ldg_shard *shard);
void ldg_shard_trim(struct ldg_shard *shard, int64_t wall_ms);
uint32_t ldg_shard_count(const struct ldg_shard *shard);
struct ldg_seg *ldg_shard_current(const struct ldg_shard *shard);
struct ldg_rec *ldg_shard_find(const struct ldg_shard *shard,
			       const uint8_t *intent);
bool ldg_shard_busy(const struct ldg_shard *shard);
bool ldg_shard_due(const struct ldg_shard *shard, int64_t now);
int64_t ldg_shard_next_deadline(const struct ldg *ldg,
				const struct ldg_shard *shard);
void ldg_shard_refuse_waiting(struct ldg *ldg, struct ldg_shard *shard,
			      int64_t now);

/* ldg_call.c */
void ldg_shard_advance(struct ldg *ldg, struct ldg_shard *shard, int64_t now);
void ldg_shard_reply(struct ldg *ldg, struct ldg_shard *shard,
		     const struct kv_reply *reply, int64_t now);

/* ldg_batch.c */
bool ldg_batch_answer(struct ldg *ldg, struct ldg_shard *shard, int64_t now);
bool ldg_batch_build(struct ldg *ldg, struct ldg_shard *shard, int64_t now);
void ldg_batch_commit(struct ldg *ldg, struct ldg_shard *shard, int64_t now);
void ldg_batch_abort(struct ldg_shard *shard, bool unanswered);

/* ldg_att.c */
struct ldg_att *ldg_att_new(struct ldg *ldg, const struct ldg_claim *claim,
			    int64_t expiry_ms, int64_t now);
struct ldg_att *ldg_att_find(const struct ldg *ldg, uint64_t req);
const struct ldg_att *ldg_att_find_active(const struct ldg *ldg,
					  const uint8_t *intent);
void ldg_att_free(struct ldg *ldg, struct ldg_att *att);
void ldg_att_queue(struct ldg *ldg, struct ldg_att *att,
		   enum ldg_att_state state, int64_t due_us);
void ldg_att_dispatch(struct ldg *ldg, struct ldg_att *att, int64_t now);
void ldg_att_set_ambiguous(struct ldg *ldg, struct ldg_att *att, int64_t now);
void ldg_att_cancel(struct ldg *ldg, struct ldg_att *att, int64_t now);
void ldg_att_refuse(struct ldg *ldg, struct ldg_att *att, int64_t now);
void ldg_add_result(struct ldg *ldg, uint64_t req, enum ldg_verdict verdict,
		    const struct ldg_rec *rec, int64_t retry_at_us);

/* ldg_key.c */
int ldg_key_timestamp_ms(const char *key, int64_t *timestamp_ms);

#endif /* LDG_INT_H */
