#include "thr.h"

/*
 * Takes a limit, in requests a second, that the worker named at at_us.  An
 * older word than the one known changes nothing.
 */
enum thr_change thr_named(struct thr *thr, double limit, int64_t at_us)
{
	enum thr_change change = THR_SAME;

	if (at_us < thr->named_us)
		return THR_SAME;
	if (!thr->limited)
		change = THR_BEGAN;
	else if (limit < thr->limit || limit > thr->limit)
		change = THR_CHANGED;
	thr->limited = true;
	thr->limit = limit;
	thr->named_us = at_us;
	return change;
}

/*
 * A request that was sent at sent_us was answered without a limit.  An answer
 * that was on its way when the limit was named does not end it.
 */
enum thr_change thr_not_named(struct thr *thr, int64_t sent_us)
{
	if (!thr->limited || sent_us <= thr->named_us)
		return THR_SAME;
	thr->limited = false;
	return THR_ENDED;
}
