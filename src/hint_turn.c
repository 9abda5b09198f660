#include "hint_turn.h"

/*
 * Returns the index of the next eligible one of count peers and moves on behind
 * it; -1 if there is none.
 */
int hint_turn_next(struct hint_turn *turn, const bool *eligible, int count)
{
	int at;
	int i;

	for (i = 0; i < count; i++) {
		at = (int)((turn->next + (uint32_t)i) % (uint32_t)count);
		if (!eligible[at])
			continue;
		turn->next = (uint32_t)at + 1;
		return at;
	}
	return -1;
}
