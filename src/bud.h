#ifndef BUD_H
#define BUD_H

/*
 * Retry budget of one service over a sliding window.  Pure.
 *
 * Load pattern: a worker is lost with all of its streams, or an outage ends and
 * every client retries at once.  Retries then multiply the load of workers that
 * are already at their limit.  The bound over all instances is a fraction of
 * the requests plus a fixed slack.  Each instance limits its retries to that
 * fraction of its own requests plus its part of the slack, in every window, so
 * that the sum holds without messages between instances.  Where there are more
 * instances than retries, each one's part is below one: then as many of them
 * may retry as the sum allows, by a number that each drew at its start.
 */

#include <stdbool.h>
#include <stdint.h>

#define BUD_SLICES 128

struct bud_slice {
	int64_t number; /* slices since time zero */
	int requests;
	int retries;
};

struct bud {
	int64_t slice_us;
	double ratio;
	double slack; /* this instance's part */
	/* No instance has counted anything before, if that is known. */
	int64_t first_us;
	/*
	 * From 0 to 1, other for each instance: which of them may use a
	 * fraction of a retry that is left.
	 */
	double draw;
	struct bud_slice slices[BUD_SLICES];
};

void bud_init(struct bud *bud, int64_t window_us, double ratio, double slack);
void bud_set_draw(struct bud *bud, double draw);
void bud_set_slack(struct bud *bud, double slack);
void bud_set_first(struct bud *bud, int64_t first_us);
void bud_add_request(struct bud *bud, int64_t now);
bool bud_may_retry(const struct bud *bud, int64_t now);
bool bud_take_retry(struct bud *bud, int64_t now);
void bud_return_request(struct bud *bud, int64_t added_us);
void bud_return_retry(struct bud *bud, int64_t taken_us);
double bud_left(const struct bud *bud, int64_t now);
double bud_slack_part(double slack, int routers, int64_t age_us,
		      int64_t window_us);

#endif /* BUD_H */
