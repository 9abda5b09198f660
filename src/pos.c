#include "pos.h"

/* Returns a number below, equal to or above 0, as a lies before b or behind. */
int pos_compare(struct pos a, struct pos b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	return (a.revision > b.revision) - (a.revision < b.revision);
}

/*
 * Tells whether a follower at one position has missed what led to another.
 * Revisions of two eras say nothing of each other.
 */
bool pos_is_behind(struct pos at, struct pos known)
{
	return at.era == known.era && pos_compare(at, known) < 0;
}

/*
 * Takes the era that an answer names, and tells whether the answer counts.  One
 * of an older era than the newest known is no news; neither is the answer to a
 * call that was sent when another era was the newest: its condition may have
 * held by chance, and what it did may be gone.
 */
bool pos_accept_era(struct pos_eras *eras, int64_t sent, int64_t named)
{
	if (named < POS_ERA_NONE || named < eras->newest)
		return false;
	if (named > eras->newest) {
		eras->increased = eras->newest != POS_ERA_NONE;
		eras->newest = named;
	}
	return sent == eras->newest ||
	       (sent == POS_ERA_NONE && !eras->increased);
}
