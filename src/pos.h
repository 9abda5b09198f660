#ifndef POS_H
#define POS_H

/*
 * A position in the history of the store.  The store may be restored from an
 * older backup: revisions then go back and are assigned again, in a new era.
 * Pure.
 */

#include <stdbool.h>
#include <stdint.h>

/* The store names no era, or the era is malformed. */
#define POS_ERA_NONE (-1)

struct pos {
	int64_t era;
	int64_t revision;
};

/* The eras that a store client has seen. */
struct pos_eras {
	int64_t newest; /* POS_ERA_NONE: none seen */
	int64_t named;	/* the newest that an answer of the store has named */
	bool increased; /* the era has changed since the first one */
};

void pos_learn_era(struct pos_eras *eras, int64_t era);
bool pos_accept_era(struct pos_eras *eras, int64_t sent_era,
		    int64_t answer_era);
int pos_compare(struct pos a, struct pos b);
bool pos_is_behind(struct pos at, struct pos known);

#endif /* POS_H */
