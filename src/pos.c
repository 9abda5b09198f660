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

/* Records an era that a peer has learned from the store. */
void pos_learn_era(struct pos_eras *eras, int64_t era)
{
	if (era <= eras->newest)
		return;
	eras->increased = eras->newest != POS_ERA_NONE;
	eras->newest = era;
}

/*
 * Records the era that an answer names; returns whether the answer may be used.
 * An answer from an era older than the newest known one is out of date.  So is
 * the answer to a call that was sent while another era was the newest: its
 * condition may have been met by chance, and its effect may be lost.  An era
 * that only a peer has named cannot be right if the answer to a call that was
 * sent later names an earlier one; such an answer is not used either.
 */
bool pos_accept_era(struct pos_eras *eras, int64_t sent_era, int64_t answer_era)
{
	if (answer_era < POS_ERA_NONE)
		return false;
	if (answer_era < eras->newest) {
		if (sent_era == eras->newest && eras->newest > eras->named &&
		    answer_era >= eras->named) {
			eras->named = answer_era;
			eras->newest = answer_era;
		}
		return false;
	}
	pos_learn_era(eras, answer_era);
	eras->named = answer_era;
	return sent_era == eras->newest ||
	       (sent_era == POS_ERA_NONE && !eras->increased);
}
