#include <time.h>

#include "clk.h"
#include "mag.h"

#define CLK_NS_PER_US 1000
#define CLK_NS_PER_MS 1000000
#define CLK_MS_PER_S  1000

/* Returns microseconds of the monotonic clock, which deadlines are kept in. */
int64_t clk_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * MAG_US_PER_S + now.tv_nsec / CLK_NS_PER_US;
}

/*
 * Returns microseconds of the clock that goes on while the machine is
 * suspended.  A deadline kept in it has passed when a frozen process wakes,
 * so that a lease or a reading from before the freeze is not trusted.
 */
int64_t clk_boot_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return now.tv_sec * MAG_US_PER_S + now.tv_nsec / CLK_NS_PER_US;
}

/* Returns milliseconds since 1970, which timed keys carry. */
int64_t clk_wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return now.tv_sec * (int64_t)CLK_MS_PER_S + now.tv_nsec / CLK_NS_PER_MS;
}
