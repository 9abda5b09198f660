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

/* Returns milliseconds since 1970, which timed keys carry. */
int64_t clk_wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return now.tv_sec * (int64_t)CLK_MS_PER_S + now.tv_nsec / CLK_NS_PER_MS;
}
