#include "log.h"
#include "quar_trait_int.h"

/*
 * Time after the first loss within which a run with a sound trait begins
 * elsewhere and does well, so that the trait is cleared.
 */
#define QUAR_TRAIT_CLEARING_US (1500 * MAG_US_PER_MS)
/*
 * Time in which all instances have found out about a loss and reported what
 * they ran there.
 */
#define QUAR_TRAIT_SETTLE_US (250 * MAG_US_PER_MS)
/* Losses that leave no doubt if no other trait has as many. */
#define QUAR_TRAIT_SURE_LOSSES 4
/*
 * Losses of each of two traits that together may be the cause of another one's.
 * With fewer, the traits that only one request has would be taken for causes.
 */
#define QUAR_TRAIT_CAUSE_LOSSES 2

static void quar_trait_choose(struct quar_traits *traits, int64_t now);
static struct quar_trait_entry *
quar_trait_next_chosen(const struct quar_traits *traits);
static bool quar_trait_qualifies(const struct quar_traits *traits,
				 const struct quar_trait_entry *entry,
				 int64_t now);
static bool quar_trait_has_news(const struct quar_trait_entry *entry,
				int64_t after_us, int64_t until_us);
static int quar_trait_rival_losses(const struct quar_traits *traits,
				   const struct quar_trait_entry *entry,
				   int64_t until_us);
static bool quar_trait_is_likelier(const struct quar_trait_entry *a,
				   const struct quar_trait_entry *b,
				   int64_t until_us);
static bool quar_trait_has_failed(const struct quar_traits *traits,
				  const struct quar_trait_entry *entry,
				  int64_t now);
static bool quar_trait_is_rival(const struct quar_trait_entry *entry,
				const struct quar_trait_entry *other);
static bool quar_trait_has_two_causes(const struct quar_traits *traits,
				      const struct quar_trait_entry *entry);
static bool quar_trait_is_sure(const struct quar_traits *traits,
			       const struct quar_trait_entry *entry,
			       int64_t now);
static void quar_trait_unsuspect(struct quar_traits *traits,
				 struct quar_trait_entry *entry);
static void quar_trait_explain(struct quar_traits *traits, uint32_t endpoint);

/* Lets the judgement go on for as long as a loss of now may come to count. */
void quar_trait_watch(struct quar_traits *traits, int64_t now)
{
	traits->judge_until_us =
		now + QUAR_TRAIT_CLEARING_US + 2 * QUAR_TRAIT_SETTLE_US;
}

/* Quarantines the traits that their losses suffice for. */
void quar_traits_tick(struct quar_traits *traits, int64_t now)
{
	struct quar_trait_entry *entry;
	struct quar_trait_entry *next;

	if (now >= traits->judge_until_us)
		return;
	cds_list_for_each_entry_safe (entry, next, &traits->suspects, by_age) {
		quar_trait_expire(traits, entry, now);
		entry->chosen = quar_trait_has_failed(traits, entry, now);
	}
	while ((entry = quar_trait_next_chosen(traits))) {
		entry->chosen = false;
		quar_trait_hold(traits, entry, false, now);
	}
	quar_trait_choose(traits, now);
}

/*
 * Quarantines the likeliest of the traits that qualify, in doubt if others are
 * nearly as likely.
 */
static void quar_trait_choose(struct quar_traits *traits, int64_t now)
{
	struct quar_trait_entry *best = NULL;
	int64_t settled_us = now - QUAR_TRAIT_SETTLE_US;
	struct quar_trait_entry *entry;
	bool in_doubt;

	cds_list_for_each_entry (entry, &traits->suspects, by_age) {
		entry->chosen = quar_trait_qualifies(traits, entry, now);
		if (entry->chosen &&
		    (!best || quar_trait_is_likelier(entry, best, settled_us)))
			best = entry;
	}
	if (!best)
		return;
	traits->judged_us = settled_us;
	in_doubt = !quar_trait_is_sure(traits, best, now);
	cds_list_for_each_entry (entry, &traits->suspects, by_age) {
		if (entry->chosen &&
		    quar_trait_is_likelier(best, entry, settled_us))
			entry->chosen = false;
	}
	while ((entry = quar_trait_next_chosen(traits))) {
		entry->chosen = false;
		quar_trait_hold(traits, entry, in_doubt, now);
	}
}

/* Returns a trait that is to be quarantined, or NULL. */
static struct quar_trait_entry *
quar_trait_next_chosen(const struct quar_traits *traits)
{
	struct quar_trait_entry *entry;

	cds_list_for_each_entry (entry, &traits->suspects, by_age) {
		if (entry->chosen)
			return entry;
	}
	return NULL;
}

/*
 * Tells whether the losses of a trait suffice, and other instances have had
 * time to report theirs.  After a quarantine one of them must be new.
 */
static bool quar_trait_qualifies(const struct quar_traits *traits,
				 const struct quar_trait_entry *entry,
				 int64_t now)
{
	int64_t settled_us = now - QUAR_TRAIT_SETTLE_US;
	int moments;

	if (quar_trait_is_held(entry, now) || entry->pair_count == 0)
		return false;
	if (entry->held_before)
		return true;
	if (entry->pair_count < QUAR_TRAIT_LOSSES ||
	    !quar_trait_has_news(entry, traits->judged_us, settled_us) ||
	    quar_trait_have_common_request(entry))
		return false;
	moments = quar_trait_moments(entry, settled_us);
	if (!entry->known)
		return moments >= QUAR_TRAIT_LOSSES;
	return moments >= QUAR_TRAIT_KNOWN_LOSSES &&
	       now - quar_trait_first_loss(entry) >= QUAR_TRAIT_CLEARING_US;
}

/* Tells whether a loss was learned of in a span of time. */
static bool quar_trait_has_news(const struct quar_trait_entry *entry,
				int64_t after_us, int64_t until_us)
{
	int i;

	for (i = 0; i < entry->pair_count; i++) {
		if (entry->pairs[i].learned_us > after_us &&
		    entry->pairs[i].learned_us <= until_us)
			return true;
	}
	return false;
}

/* Tells whether trait a is likelier than b to have caused its losses. */
static bool quar_trait_is_likelier(const struct quar_trait_entry *a,
				   const struct quar_trait_entry *b,
				   int64_t until_us)
{
	if (a->known != b->known)
		return b->known;
	return quar_trait_moments(a, until_us) >
	       quar_trait_moments(b, until_us);
}

/*
 * Tells whether a trait was tried and lost endpoints, more than any other one
 * in the same time, none has more losses in all, and no two together explain
 * them.
 */
static bool quar_trait_has_failed(const struct quar_traits *traits,
				  const struct quar_trait_entry *entry,
				  int64_t now)
{
	int64_t settled_us = now - QUAR_TRAIT_SETTLE_US;
	int failures = quar_trait_failures(entry, entry->held_us, settled_us);
	const struct quar_trait_entry *other;
	int64_t since_us;
	bool in_doubt;

	if (!quar_trait_is_held(entry, now) || !entry->in_doubt ||
	    failures == 0)
		return false;
	cds_list_for_each_entry (other, &traits->suspects, by_age) {
		in_doubt = quar_trait_is_held(other, now) && other->in_doubt;
		if (other == entry ||
		    (!in_doubt && !quar_trait_is_rival(entry, other)))
			continue;
		since_us = entry->held_us;
		if (in_doubt && other->held_us < since_us)
			since_us = other->held_us;
		if (quar_trait_failures(other, since_us, now) >= failures)
			return false;
	}
	return quar_trait_moments(entry, now) >=
		       quar_trait_rival_losses(traits, entry, now) &&
	       !quar_trait_has_two_causes(traits, entry);
}

/*
 * Tells whether another trait has lost several endpoints, and may have caused
 * losses of a trait as well.
 */
static bool quar_trait_is_rival(const struct quar_trait_entry *entry,
				const struct quar_trait_entry *other)
{
	return other != entry && other->pair_count >= QUAR_TRAIT_CAUSE_LOSSES &&
	       other->known <= entry->known &&
	       (!other->held_until_us || other->in_doubt) &&
	       quar_trait_moments(other, MAG_NEVER) >= QUAR_TRAIT_CAUSE_LOSSES;
}

/*
 * Tells whether two other traits together were at all losses of a trait, and
 * neither of them alone.
 */
static bool quar_trait_has_two_causes(const struct quar_traits *traits,
				      const struct quar_trait_entry *entry)
{
	uint32_t all = (1U << entry->pair_count) - 1;
	const struct quar_trait_entry *a;
	const struct quar_trait_entry *b;
	uint32_t shared;

	cds_list_for_each_entry (a, &traits->suspects, by_age) {
		shared = quar_trait_shared_losses(entry, a);
		/* One of the two was at the first loss. */
		if (!(shared & 1) || shared == all ||
		    !quar_trait_is_rival(entry, a))
			continue;
		cds_list_for_each_entry (b, &traits->suspects, by_age) {
			if ((shared | quar_trait_shared_losses(entry, b)) ==
				    all &&
			    quar_trait_shared_losses(entry, b) != all &&
			    quar_trait_is_rival(entry, b))
				return true;
		}
	}
	return false;
}

/* Returns the most losses of another trait. */
static int quar_trait_rival_losses(const struct quar_traits *traits,
				   const struct quar_trait_entry *entry,
				   int64_t until_us)
{
	const struct quar_trait_entry *other;
	int most = 0;
	int lost;

	cds_list_for_each_entry (other, &traits->suspects, by_age) {
		if (other == entry || other->pair_count <= most ||
		    other->known > entry->known ||
		    (other->held_until_us && !other->in_doubt))
			continue;
		lost = quar_trait_moments(other, until_us);
		if (lost > most)
			most = lost;
	}
	return most;
}

/*
 * Tells whether nothing but a trait explains its losses: no other one has
 * nearly as many, and no two together have all of them.  Other traits may have
 * more than has been reported yet.
 */
static bool quar_trait_is_sure(const struct quar_traits *traits,
			       const struct quar_trait_entry *entry,
			       int64_t now)
{
	int lost = quar_trait_moments(entry, now - QUAR_TRAIT_SETTLE_US);
	int margin = lost - quar_trait_rival_losses(traits, entry, now);

	if (entry->held_before)
		return true;
	if (margin < 2 && (margin < 1 || lost < QUAR_TRAIT_SURE_LOSSES))
		return false;
	return !quar_trait_has_two_causes(traits, entry);
}

/* Ends a quarantine that is over, and forgets old losses. */
void quar_trait_expire(struct quar_traits *traits,
		       struct quar_trait_entry *entry, int64_t now)
{
	int i;

	if (entry->held_until_us && now >= entry->held_until_us) {
		entry->held_until_us = 0;
		entry->pair_count = 0;
	}
	for (i = entry->pair_count - 1; i >= 0; i--) {
		if (now - entry->pairs[i].at_us >= traits->hold_us)
			quar_trait_drop_pair(entry, i);
	}
	quar_trait_unsuspect(traits, entry);
}

/* Moves an entry out of the list of suspects if nothing is held against it. */
static void quar_trait_unsuspect(struct quar_traits *traits,
				 struct quar_trait_entry *entry)
{
	if (entry->pair_count == 0 && !entry->held_before)
		quar_trait_settle_list(traits, entry);
}

/*
 * Quarantines a trait, or prolongs that, and tells other instances.  If it is
 * not in doubt, it explains its losses.
 */
void quar_trait_hold(struct quar_traits *traits, struct quar_trait_entry *entry,
		     bool in_doubt, int64_t now)
{
	bool was_held = quar_trait_is_held(entry, now);
	bool news = !was_held || (entry->in_doubt && !in_doubt);
	int i;

	entry->in_doubt = in_doubt && (!was_held || entry->in_doubt);
	if (!was_held) {
		entry->held_us = now;
		entry->trial_until_us = 0;
	}
	entry->held_until_us = now + traits->hold_us;
	entry->held_before = true;
	for (i = 0; i < entry->pair_count; i++) {
		if (!entry->in_doubt)
			quar_trait_explain(traits, entry->pairs[i].endpoint);
		if (news && entry->pairs[i].reports_left == 0)
			entry->pairs[i].reports_left = 1;
	}
	if (!news)
		return;
	traits->has_unkept |= !entry->in_doubt;
	traits->alert = QUAR_ALERT_ALL;
	quar_trait_watch(traits, now);
	quar_trait_queue(traits, entry);
	quar_trait_log(LOG_QUAR_TRAIT_HELD, entry);
}

/* Ends the quarantine of a trait that nothing is held against any more. */
void quar_trait_release(struct quar_trait_entry *entry)
{
	if (entry->held_until_us)
		quar_trait_log(LOG_QUAR_TRAIT_CLEARED, entry);
	entry->held_until_us = 0;
	entry->held_before = false;
}

/* Withdraws the loss of an endpoint as evidence from all other traits. */
static void quar_trait_explain(struct quar_traits *traits, uint32_t endpoint)
{
	struct quar_trait_entry *entry;
	struct quar_trait_entry *next;
	int i;

	if (quar_traits_explain(traits, endpoint))
		return;
	traits->explained[traits->explained_count++ % QUAR_EXPLAINED_MAX] =
		endpoint;
	cds_list_for_each_entry_safe (entry, next, &traits->suspects, by_age) {
		if (entry->held_until_us && !entry->in_doubt)
			continue;
		for (i = entry->pair_count - 1; i >= 0; i--) {
			if (entry->pairs[i].endpoint == endpoint)
				quar_trait_drop_pair(entry, i);
		}
		/* What is left would not have quarantined it. */
		if (entry->held_until_us &&
		    quar_trait_moments(entry, MAG_NEVER) < QUAR_TRAIT_LOSSES)
			quar_trait_release(entry);
		quar_trait_unsuspect(traits, entry);
	}
}

/* Tells whether a quarantined trait explains the loss of an endpoint. */
bool quar_traits_explain(const struct quar_traits *traits, uint32_t endpoint)
{
	uint32_t count = traits->explained_count < QUAR_EXPLAINED_MAX
				 ? traits->explained_count
				 : QUAR_EXPLAINED_MAX;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (traits->explained[i] == endpoint)
			return true;
	}
	return false;
}

/* Returns each endpoint once whose loss is explained; false if there is none.
 */
bool quar_traits_next_explained(struct quar_traits *traits, uint32_t *endpoint)
{
	if (traits->explained_count - traits->explained_taken >
	    QUAR_EXPLAINED_MAX)
		traits->explained_taken =
			traits->explained_count - QUAR_EXPLAINED_MAX;
	if (traits->explained_taken == traits->explained_count)
		return false;
	*endpoint = traits->explained[traits->explained_taken++ %
				      QUAR_EXPLAINED_MAX];
	return true;
}
