#include <string.h>

#include <sodium.h>

#include "eq.h"
#include "hint.h"
#include "htab.h"

static enum quar_state eq_check_run(const struct eq *eq, bool begun,
				    int64_t now);
static uint64_t eq_content_hash(const struct eq *eq);
static const struct quar_trait *eq_only_quarantined(const struct eq *eq,
						    int64_t now);
static void eq_add_trait(struct eq *eq, enum quar_trait_kind kind,
			 uint64_t value);

/* Lists what a request may have in common with others that are unlike it. */
void eq_set_traits(struct eq *eq)
{
	int i;

	eq->traits.count = 0;
	eq_add_trait(eq, QUAR_TRAIT_CONTENT, eq_content_hash(eq));
	for (i = 0; i < eq->request.part_count; i++)
		eq_add_trait(eq, QUAR_TRAIT_PART, eq->request.parts[i]);
}

static void eq_add_trait(struct eq *eq, enum quar_trait_kind kind,
			 uint64_t value)
{
	struct quar_trait *trait = &eq->traits.list[eq->traits.count++];

	trait->kind = kind;
	trait->value = value;
	trait->service = htab_hash(eq->service->name);
}

/* Returns a hash of path and body. */
static uint64_t eq_content_hash(const struct eq *eq)
{
	unsigned char digest[crypto_generichash_BYTES_MIN];
	struct evbuffer *body = hs_body(eq->caller);
	size_t len = evbuffer_get_length(body);
	const char *target = hs_target(eq->caller);
	crypto_generichash_state state;
	uint64_t hash;

	crypto_generichash_init(&state, NULL, 0, sizeof(digest));
	crypto_generichash_update(&state, (const unsigned char *)target,
				  strlen(target) + 1);
	if (len > 0)
		crypto_generichash_update(&state, evbuffer_pullup(body, -1),
					  len);
	crypto_generichash_final(&state, digest, sizeof(digest));
	memcpy(&hash, digest, sizeof(hash));
	return hash;
}

/* Tells whether a request may have crashed workers, by what is known of it. */
enum quar_state eq_check_quarantine(const struct eq *eq, int64_t now)
{
	return eq_check_run(eq, eq_has_begun(eq), now);
}

/* Tells whether a request that was sent once must not be sent again. */
bool eq_is_barred_again(const struct eq *eq, int64_t now)
{
	return eq_check_run(eq, false, now) == QUAR_QUARANTINED;
}

static enum quar_state eq_check_run(const struct eq *eq, bool begun,
				    int64_t now)
{
	enum quar_state worst =
		quar_check(eq->edge->quar, eq->fingerprint, now);
	enum quar_state state;
	int i;

	for (i = 0; i < eq->traits.count; i++) {
		/* A run that has begun shows whether the trait is harmful. */
		state = quar_trait_check(eq->edge->traits, &eq->traits.list[i],
					 now);
		if (state == QUAR_QUARANTINED && begun)
			continue;
		if (state > worst)
			worst = state;
	}
	return worst;
}

/*
 * Tells whether a request may run although it is quarantined: because of one
 * trait in doubt, which it tries.  It is not sent twice for that.
 */
bool eq_may_try(struct eq *eq, int64_t now)
{
	struct edge *edge = eq->edge;
	const struct quar_trait *trait;

	if (eq->tried)
		return eq->runs == 0 &&
		       quar_trait_is_in_doubt(edge->traits, eq->tried, now);
	trait = eq_only_quarantined(eq, now);
	if (eq->sends > 0 || !trait ||
	    !quar_trait_take_trial(
		    edge->traits, trait,
		    hint_rank(edge->hint, (uint32_t)trait->value, now), now))
		return false;
	eq->tried = trait;
	return true;
}

/* Tells whether only traits in doubt quarantine a request. */
bool eq_is_in_doubt(const struct eq *eq, int64_t now)
{
	const struct quar_trait *trait = eq->traits.list;
	int i;

	if (quar_check(eq->edge->quar, eq->fingerprint, now) ==
	    QUAR_QUARANTINED)
		return false;
	for (i = 0; i < eq->traits.count; i++) {
		if (quar_trait_check(eq->edge->traits, &trait[i], now) ==
			    QUAR_QUARANTINED &&
		    !quar_trait_is_in_doubt(eq->edge->traits, &trait[i], now))
			return false;
	}
	return true;
}

/* Returns the trait that alone quarantines a request, or NULL. */
static const struct quar_trait *eq_only_quarantined(const struct eq *eq,
						    int64_t now)
{
	const struct quar_trait *only = NULL;
	int i;

	if (quar_check(eq->edge->quar, eq->fingerprint, now) ==
	    QUAR_QUARANTINED)
		return NULL;
	for (i = 0; i < eq->traits.count; i++) {
		if (quar_trait_check(eq->edge->traits, &eq->traits.list[i],
				     now) != QUAR_QUARANTINED)
			continue;
		if (only)
			return NULL;
		only = &eq->traits.list[i];
	}
	return only;
}

/* Clears a request, and what it shares, whose run since begun_us did well. */
void eq_did_well(struct eq *eq, int64_t begun_us, int64_t now)
{
	int i;

	quar_completed(eq->edge->quar, eq->fingerprint, now);
	for (i = 0; i < eq->traits.count; i++)
		quar_trait_did_well(eq->edge->traits, &eq->traits.list[i],
				    begun_us, now);
}
