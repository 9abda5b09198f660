#include "pos.h"

/*
 * Returns a number less than, equal to or greater than 0 if a is before, equal
 * to or after b.
 */
int pos_compare(struct pos a, struct pos b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	return (a.revision > b.revision) - (a.revision < b.revision);
}

/*
 * Returns whether a follower at one position has missed changes up to another.
 * Revisions of different eras cannot be compared.
 */
bool pos_is_behind(struct pos at, struct pos known)
{
	return at.era == known.era && pos_compare(at, known) < 0;
}

/*
 * Records the era that an answer names; returns whether the answer may be used.
 * An answer from an era older than the newest known one is out of date.  So is
 * the answer to a call that was sent while another era was the newest: its
 * condition may have been met by chance, and its effect may be lost.
 */
bool pos_accept_era(struct pos_eras *eras, int64_t sent_era, int64_t answer_era)
{
	if (answer_era < POS_ERA_NONE || answer_era < eras->newest)
		return false;
	if (answer_era > eras->newest) {
		eras->increased = eras->newest != POS_ERA_NONE;
		eras->newest = answer_era;
	}
	return sent_era == eras->newest ||
	       (sent_era == POS_ERA_NONE && !eras->increased);
}
