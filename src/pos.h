#ifndef POS_H
#define POS_H

/*
 * A position in the history of the store.  The store may come back from an
 * older copy of itself: revisions go back and are given out again, in a new
 * era.  Pure.
 */

#include <stdbool.h>
#include <stdint.h>

/* The store names no era, or what it names cannot be read. */
#define POS_ERA_NONE (-1)

struct pos {
	int64_t era;
	int64_t revision;
};

/* The eras that a client of the store has seen. */
struct pos_eras {
	int64_t newest; /* POS_ERA_NONE: none was named */
	bool increased; /* it has risen since the first one */
};

bool pos_accept_era(struct pos_eras *eras, int64_t sent, int64_t named);
int pos_compare(struct pos a, struct pos b);
bool pos_is_behind(struct pos at, struct pos known);

#endif /* POS_H */
