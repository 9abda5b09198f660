#ifndef HINT_TURN_H
#define HINT_TURN_H

/*
 * The order in which a router sends messages to its peers.  Pure.
 *
 * Load pattern: a data centre has more routers than a round of messages
 * reaches.  Each router begins at a place of its own, so that a round of all
 * routers reaches all of them, and goes on where it stopped, so that each peer
 * hears of it after the same number of rounds.
 */

#include <stdbool.h>
#include <stdint.h>

/* Where the next round begins. */
struct hint_turn {
	uint32_t next;
};

int hint_turn_next(struct hint_turn *turn, const bool *eligible, int count);

#endif /* HINT_TURN_H */
