#ifndef BUD_H
#define BUD_H

/*
 * Budget of second sends to one service over a sliding window.  Pure.
 *
 * Load pattern: a worker is lost and every stream on it, or an outage ends
 * and every client repeats at once; second sends then multiply the load of
 * workers that are already at their limit.  The bound over all instances is
 * a share of the requests and a fixed slack; each instance keeps to the share
 * of its own requests and to its part of the slack, so that the sum holds
 * without a message between them.
 */

#include <stdbool.h>
#include <stdint.h>

#define BUD_SLICES 64

struct bud_slice {
	int64_t number; /* of the slice since the clock's zero */
	int requests;
	int retries;
};

struct bud {
	int64_t slice_us;
	double ratio;
	double slack; /* this instance's part */
	struct bud_slice slices[BUD_SLICES];
};

void bud_init(struct bud *bud, int64_t window_us, double ratio, double slack);
void bud_set_slack(struct bud *bud, double slack);
void bud_add_request(struct bud *bud, int64_t now);
bool bud_take_retry(struct bud *bud, int64_t now);
double bud_left(const struct bud *bud, int64_t now);

#endif /* BUD_H */
