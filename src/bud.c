#include <string.h>

#include "bud.h"

#define BUD_DOUBLINGS_MAX 16
#define BUD_BURST_S	  2.0 /* unused budget that is kept */
#define BUD_LEAST	  1.0 /* one call is always possible in time */

enum bud_side {
	BUD_READ,
	BUD_WRITE
};

static uint64_t bud_random(struct bud_backoff *backoff);
static enum bud_side bud_side(enum kv_op op);
static double bud_rate(const struct bud *bud, enum bud_side side);
static void bud_fill(struct bud *bud, int64_t now);

/* Starts a backoff; instances with other seeds draw other waits. */
void bud_backoff_init(struct bud_backoff *backoff, uint64_t seed,
		      int64_t base_us, int64_t bound_us)
{
	backoff->random = seed;
	backoff->base_us = base_us;
	backoff->bound_us = bound_us;
	backoff->failures = 0;
}

/*
 * Returns when to try again after a failure.  All instances fail at the same
 * moment when the service goes down; without the draw they would all come
 * back at the same moment too, and take it down again.
 */
int64_t bud_backoff_fail(struct bud_backoff *backoff, int64_t now)
{
	int64_t most = backoff->base_us;
	uint32_t i;

	for (i = 0; i < backoff->failures && most < backoff->bound_us; i++)
		most *= 2;
	if (most > backoff->bound_us)
		most = backoff->bound_us;
	if (backoff->failures < BUD_DOUBLINGS_MAX)
		backoff->failures++;
	return now + backoff->base_us / 2 +
	       (int64_t)(bud_random(backoff) % (uint64_t)most);
}

/* Returns when the next call of a period is due, a tenth early or late. */
int64_t bud_backoff_spread(struct bud_backoff *backoff, int64_t now,
			   int64_t period_us)
{
	int64_t part = period_us / 10;

	backoff->failures = 0;
	return now + period_us - part +
	       (int64_t)(bud_random(backoff) % (uint64_t)(2 * part));
}

/* Starts the budget of one instance, alone until bud_set_group. */
void bud_init(struct bud *bud, double reads_per_s, double writes_per_s,
	      int64_t now)
{
	memset(bud, 0, sizeof(*bud));
	bud->reads_per_s = reads_per_s;
	bud->writes_per_s = writes_per_s;
	bud->group = 1;
	bud->filled_us = now;
	bud->tokens[BUD_READ] = BUD_LEAST;
	bud->tokens[BUD_WRITE] = BUD_LEAST;
}

/* Says over how many instances the fleet's rates are divided. */
void bud_set_group(struct bud *bud, uint32_t group)
{
	bud->group = group > 0 ? group : 1;
}

/*
 * Takes one call from the budget and counts it by kind; false if this
 * instance has used its part up and the call has to wait.
 */
bool bud_take(struct bud *bud, enum kv_op op, int64_t now)
{
	enum bud_side side = bud_side(op);

	bud_fill(bud, now);
	if (bud->tokens[side] < 1) {
		bud->refused[op]++;
		return false;
	}
	bud->tokens[side] -= 1;
	bud->calls[op]++;
	return true;
}

static uint64_t bud_random(struct bud_backoff *backoff)
{
	uint64_t x = backoff->random += UINT64_C(0x9e3779b97f4a7c15);

	x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
	return x ^ (x >> 31);
}

static enum bud_side bud_side(enum kv_op op)
{
	switch (op) {
	case KV_CAS:
	case KV_DELETE:
	case KV_LEASE_TAKE:
	case KV_LEASE_DROP:
		return BUD_WRITE;
	default:
		return BUD_READ;
	}
}

static double bud_rate(const struct bud *bud, enum bud_side side)
{
	return (side == BUD_READ ? bud->reads_per_s : bud->writes_per_s) /
	       bud->group;
}

/* Adds what the time since the last call has earned. */
static void bud_fill(struct bud *bud, int64_t now)
{
	double passed = (double)(now - bud->filled_us) / MAG_US_PER_S;
	int side;

	bud->filled_us = now;
	for (side = BUD_READ; side <= BUD_WRITE; side++) {
		double rate = bud_rate(bud, (enum bud_side)side);
		double most = rate * BUD_BURST_S;

		if (most < BUD_LEAST)
			most = BUD_LEAST;
		bud->tokens[side] += rate * passed;
		if (bud->tokens[side] > most)
			bud->tokens[side] = most;
	}
}
