#include "log.h"
#include "quar_trait_int.h"

/* Returns the name of a kind in logs and keys. */
const char *quar_trait_kind_name(enum quar_trait_kind kind)
{
	static const char *const names[] = {
		[QUAR_TRAIT_PART] = "part",
		[QUAR_TRAIT_CONTENT] = "content",
	};

	return names[kind];
}

/*
 * Finds a trait that is quarantined without doubt and not kept elsewhere, and
 * since when it is; false if there is none.
 */
bool quar_trait_next_unkept(struct quar_traits *traits,
			    struct quar_trait *trait, int64_t *since_us,
			    int64_t now)
{
	const struct quar_trait_entry *entry;

	if (!traits->has_unkept)
		return false;
	cds_list_for_each_entry (entry, &traits->suspects, by_age) {
		if (entry->kept || !quar_trait_is_confirmed(entry, now))
			continue;
		*trait = entry->trait;
		*since_us = entry->held_us;
		return true;
	}
	traits->has_unkept = false;
	return false;
}

/* Notes that a trait is kept elsewhere. */
void quar_trait_set_kept(struct quar_traits *traits,
			 const struct quar_trait *trait)
{
	struct quar_trait_entry *entry = quar_trait_find(traits, trait);

	if (entry)
		entry->kept = true;
}

/* Quarantines a trait that was kept, although no loss is known here. */
void quar_trait_restore(struct quar_traits *traits,
			const struct quar_trait *trait, int64_t now)
{
	struct quar_trait_entry *entry = quar_trait_find(traits, trait);

	if (!entry)
		entry = quar_trait_add(traits, trait);
	if (!entry)
		return;
	if (!quar_trait_is_confirmed(entry, now))
		quar_trait_hold(traits, entry, false, now);
	entry->kept = true;
	quar_trait_settle_list(traits, entry);
}

/* Ends a quarantine whose keeping has ended; one loss renews it. */
void quar_trait_lift(struct quar_traits *traits, const struct quar_trait *trait,
		     int64_t now)
{
	struct quar_trait_entry *entry = quar_trait_find(traits, trait);

	if (!entry)
		return;
	entry->kept = false;
	if (!quar_trait_is_held(entry, now))
		return;
	entry->held_until_us = now;
	quar_trait_expire(traits, entry, now);
	quar_trait_log(LOG_QUAR_TRAIT_CLEARED, entry);
}
