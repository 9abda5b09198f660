#include <stdlib.h>
#include <string.h>

#include "ldg_int.h"

static enum ldg_verdict ldg_evaluate_reserved(const struct ldg *ldg,
					      const struct ldg_att *att,
					      const struct ldg_rec *rec,
					      int64_t now);
static bool ldg_same_nonce(const struct ldg_att *att,
			   const struct ldg_rec *rec);
static int64_t ldg_wall_ms(const struct ldg_att *att, int64_t now);
static struct ldg_rec *ldg_build_reserved(const struct ldg *ldg,
					  struct ldg_att *att,
					  const struct ldg_rec *rec);
static struct ldg_rec *ldg_build_settled(const struct ldg_att *att,
					 const struct ldg_rec *rec,
					 int64_t now);
static struct ldg_rec *ldg_build_unsettled(const struct ldg_att *att,
					   const struct ldg_rec *rec,
					   enum ldg_rec_state state,
					   int64_t now);
static int64_t ldg_expiry_ms(const struct ldg_att *att, int64_t now);

/* Tells whether a record is reserved under the attempt's own nonce. */
bool ldg_owns(const struct ldg_att *att, const struct ldg_rec *rec)
{
	return rec && rec->state == REC_RESERVED && ldg_same_nonce(att, rec);
}

/*
 * Decides what another attempt's record means for a claim on the same intent.
 * LDG_DISPATCH and LDG_TAKEN_OVER mean that a swap may try to reserve it.
 */
enum ldg_verdict ldg_evaluate(const struct ldg *ldg, const struct ldg_att *att,
			      const struct ldg_rec *rec, int64_t now)
{
	if (!rec || rec->state == REC_RELEASED)
		return LDG_DISPATCH;
	if (memcmp(rec->fingerprint, att->fingerprint, MAG_DIGEST_BYTES) != 0)
		return LDG_MISMATCH;
	if (rec->state == REC_SETTLED)
		return LDG_REPLAY;
	if (rec->state == REC_AMBIGUOUS)
		return att->may_resend ? LDG_TAKEN_OVER : LDG_AMBIGUOUS;
	return ldg_evaluate_reserved(ldg, att, rec, now);
}

/*
 * Builds the record that the next swap writes for an attempt.  rec is the one
 * that exists, or NULL.  Returns NULL if it needs no change.
 */
struct ldg_rec *ldg_build_record(const struct ldg *ldg, struct ldg_att *att,
				 const struct ldg_rec *rec, int64_t now)
{
	switch (att->state) {
	case ATT_WAITING:
		return ldg_build_reserved(ldg, att, rec);
	case ATT_SETTLING:
		return ldg_build_settled(att, rec, now);
	case ATT_RELEASING:
	case ATT_CANCELLING:
		/*
		 * This attempt sent nothing, but after a takeover the one
		 * before it may have.  REC_RELEASED would let the key run
		 * again.
		 */
		if (rec && rec->takeovers > 0)
			return ldg_build_unsettled(att, rec, REC_AMBIGUOUS,
						   now);
		return ldg_build_unsettled(att, rec, REC_RELEASED, now);
	case ATT_MARKING_AMBIGUOUS:
		return ldg_build_unsettled(att, rec, REC_AMBIGUOUS, now);
	case ATT_DISPATCHED:
	case ATT_AMBIGUOUS:
		break;
	}
	return NULL;
}

/*
 * Decides on a record that another attempt has reserved.  A dispatcher that
 * died leaves its reservation behind; only its stored deadline or a new
 * incarnation of its instance shows this.  Neither proves that it sent nothing,
 * so at most the request may be sent again with a downstream key.
 */
static enum ldg_verdict ldg_evaluate_reserved(const struct ldg *ldg,
					      const struct ldg_att *att,
					      const struct ldg_rec *rec,
					      int64_t now)
{
	bool ours = strcmp(rec->instance, ldg->set.instance) == 0;
	bool restarted = ours && rec->nonce.incarnation != ldg->set.incarnation;
	bool overdue = ldg_wall_ms(att, now) > rec->deadline_ms + LDG_GRACE_MS;

	if (!restarted && !overdue)
		return LDG_IN_PROGRESS;
	return att->may_resend ? LDG_TAKEN_OVER : LDG_AMBIGUOUS;
}

static bool ldg_same_nonce(const struct ldg_att *att, const struct ldg_rec *rec)
{
	return rec->nonce.incarnation == att->nonce.incarnation &&
	       rec->nonce.number == att->nonce.number;
}

static int64_t ldg_wall_ms(const struct ldg_att *att, int64_t now)
{
	return att->wall_offset_ms + now / MAG_US_PER_MS;
}

static struct ldg_rec *ldg_build_reserved(const struct ldg *ldg,
					  struct ldg_att *att,
					  const struct ldg_rec *rec)
{
	struct ldg_rec *new = calloc(1, sizeof(*new));

	att->taken_over = rec && rec->state != REC_RELEASED;
	memcpy(new->intent, att->intent, MAG_DIGEST_BYTES);
	memcpy(new->fingerprint, att->fingerprint, MAG_DIGEST_BYTES);
	new->nonce = att->nonce;
	mag_copy_name(new->instance, sizeof(new->instance), ldg->set.instance);
	new->state = REC_RESERVED;
	new->takeovers = att->taken_over ? rec->takeovers + 1 : 0;
	new->deadline_ms = ldg_wall_ms(att, att->deadline_us);
	new->expiry_ms = ldg_expiry_ms(att, att->deadline_us);
	new->window_ms = att->window_ms;
	new->timed = att->timed;
	return new;
}

/*
 * Settles a record whatever nonce it has now, as the outcome of a request that
 * ran is valid after a takeover too.  An outcome that is already recorded is
 * not replaced.
 */
static struct ldg_rec *ldg_build_settled(const struct ldg_att *att,
					 const struct ldg_rec *rec, int64_t now)
{
	struct ldg_rec *new;

	if (!rec || rec->state == REC_SETTLED)
		return NULL;
	new = ldg_rec_copy(rec);
	new->state = REC_SETTLED;
	new->expiry_ms = ldg_expiry_ms(att, now);
	new->status = att->status;
	new->answer_stored = att->answer_stored;
	if (att->answer_stored) {
		new->answer = calloc(1, att->answer_len + 1);
		memcpy(new->answer, att->answer, att->answer_len);
		new->answer_len = att->answer_len;
	}
	return new;
}

static struct ldg_rec *ldg_build_unsettled(const struct ldg_att *att,
					   const struct ldg_rec *rec,
					   enum ldg_rec_state state,
					   int64_t now)
{
	struct ldg_rec *new;

	if (!rec || rec->state > REC_AMBIGUOUS || rec->state == state ||
	    !ldg_same_nonce(att, rec))
		return NULL;
	new = ldg_rec_copy(rec);
	new->state = state;
	new->expiry_ms = ldg_expiry_ms(att, now);
	return new;
}

/* The window of a timed key starts at its timestamp, else at its last use. */
static int64_t ldg_expiry_ms(const struct ldg_att *att, int64_t now)
{
	return att->timed ? att->expiry_ms
			  : ldg_wall_ms(att, now) + att->window_ms;
}
