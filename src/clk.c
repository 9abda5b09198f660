#include <time.h>

#include "clk.h"
#include "mag.h"

#define CLK_NS_PER_US 1000
#define CLK_NS_PER_MS 1000000
#define CLK_MS_PER_S  1000

/* Returns the time of the monotonic clock in microseconds, for deadlines. */
int64_t clk_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * MAG_US_PER_S + now.tv_nsec / CLK_NS_PER_US;
}

/*
 * Returns the time in microseconds of the monotonic clock that also advances
 * while the machine is suspended.  A deadline on this clock has passed when
 * the process resumes after a long suspension, so a lease or a measurement
 * from before it is no longer trusted.
 */
int64_t clk_boot_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return now.tv_sec * MAG_US_PER_S + now.tv_nsec / CLK_NS_PER_US;
}

/* Returns milliseconds since 1970 (Unix time), which UUIDv7 keys contain. */
int64_t clk_wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return now.tv_sec * (int64_t)CLK_MS_PER_S + now.tv_nsec / CLK_NS_PER_MS;
}
