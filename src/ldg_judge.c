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
 * What a record of another attempt means for a claim on its intent.
 * LDG_DISPATCH and LDG_TAKEN_OVER say that a swap may try to reserve it.
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
 * The record that the swap has to hold for an attempt's sake, or NULL if the
 * record that stands, which may be none, is to stay as it is.
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
		 * After a takeover this attempt sent nothing, but the one
		 * before it may have: released would let the key run again.
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
 * A dispatcher that died leaves its reservation behind, and only its stored
 * deadline or a new incarnation of its instance shows it.  Neither proves
 * that it sent nothing, so the most that they allow is to ask again under a
 * downstream key.
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
 * The outcome of work that ran is true under whatever nonce the record
 * stands by now; only an outcome that is already there stays.
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

/* A timed key is refused from its mint time on; others from their last use. */
static int64_t ldg_expiry_ms(const struct ldg_att *att, int64_t now)
{
	return att->timed ? att->expiry_ms
			  : ldg_wall_ms(att, now) + att->window_ms;
}
