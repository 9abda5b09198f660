#include "mag.h"
#include "run.h"

/*
 * A tick later than this after the last one is late: one and a half times the
 * interval of the event loop's tick.
 */
#define RUN_LATE_US (15 * MAG_US_PER_MS)
/*
 * What a late tick adds.  A probe that was waiting to be sent during a pause
 * has 20 ms on this clock; it then keeps 15 of them after the pause, and a
 * worker in another data centre answers within 8 ms.
 */
#define RUN_LATE_STEP_US (5 * MAG_US_PER_MS)

/* Advances the clock at a tick.  Returns how much of the time is not counted.
 */
int64_t run_tick(struct run *run, int64_t now)
{
	int64_t passed_us = run->ticked_us ? now - run->ticked_us : 0;
	int64_t counted_us = passed_us;

	if (passed_us > RUN_LATE_US)
		counted_us = RUN_LATE_STEP_US;
	run->us += counted_us;
	run->ticked_us = now;
	return passed_us - counted_us;
}

/*
 * Returns the reading of the clock, also between two ticks.  A tick that turns
 * out late may set it back by up to 10 ms; see run_since.
 */
int64_t run_at(const struct run *run, int64_t now)
{
	int64_t passed_us = now - run->ticked_us;

	return run->us + (passed_us < RUN_LATE_US ? passed_us : RUN_LATE_US);
}

/* Returns how long the process has run since a reading, at least 0. */
int64_t run_since(const struct run *run, int64_t from_us, int64_t now)
{
	int64_t us = run_at(run, now) - from_us;

	return us > 0 ? us : 0;
}
