#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fd.h"

/*
 * Many systems limit a process to 1,024 open files by default.  The 512 threads
 * of an instance need more than that even while idle; callers could connect but
 * would get no response.
 */
static void a_low_soft_limit_is_raised(void **state)
{
	uint64_t new_soft;

	(void)state;
	assert_int_equal(fd_new_soft_limit(512, 1024, 1048576, &new_soft),
			 FD_OK);
	assert_int_equal(new_soft, fd_needed(512));
	assert_true(new_soft > 2048);
}

/* A soft limit that is high enough is not changed. */
static void a_high_soft_limit_is_unchanged(void **state)
{
	uint64_t new_soft;

	(void)state;
	assert_int_equal(fd_new_soft_limit(64, 20000, 20000, &new_soft), FD_OK);
	assert_int_equal(new_soft, 20000);
}

/*
 * The hard limit is lower than the threads need.  The instance must not start,
 * or the load balancer would send it callers that it can't serve.
 */
static void a_low_hard_limit_is_refused(void **state)
{
	uint64_t new_soft;

	(void)state;
	assert_int_equal(fd_new_soft_limit(8192, 1024, 4096, &new_soft),
			 FD_E_HARD_LIMIT);
}

/*
 * A router's settings allow 1,000 descriptors; each line of limits differs. The
 * soft limit is raised to the setting or to the hard limit, and not lowered;
 * the lower of setting and limit is in force.
 */
static void a_limit_follows_the_settings(void **state)
{
	static const struct {
		uint64_t soft, hard, new_soft, in_force;
	} limits[] = {
		{ 64, 1048576, 1000, 1000 },
		{ 64, 100, 100, 100 },
		{ 20000, 20000, 20000, 1000 },
	};
	uint64_t new_soft;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		assert_int_equal(fd_allowed(1000, limits[i].soft,
					    limits[i].hard, &new_soft),
				 limits[i].in_force);
		assert_int_equal(new_soft, limits[i].new_soft);
	}
}

/*
 * Callers without requests fill all that they may use.  Connections to workers
 * and of peers must be left, and callers must not be shut out by either.
 */
static void no_kind_of_connections_takes_all(void **state)
{
	static const uint64_t limits[] = { 0, 64, 400, 1000, 1048576 };
	struct fd_shares shares;
	size_t i;
	int callers;

	(void)state;
	for (i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		callers = fd_share(limits[i], 0, 0, 0).callers;
		assert_true(callers > 0);
		shares = fd_share(limits[i], callers, 0, 0);
		assert_true(shares.sent > 0);
		assert_true(shares.forwarded > 0);
		shares = fd_share(limits[i], 0, shares.forwarded, shares.sent);
		assert_true(shares.callers > 0);
		if (limits[i] >= 400)
			assert_true(callers + shares.forwarded +
					    (int)limits[i] / 16 <
				    (int)limits[i]);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_low_soft_limit_is_raised),
		cmocka_unit_test(a_high_soft_limit_is_unchanged),
		cmocka_unit_test(a_low_hard_limit_is_refused),
		cmocka_unit_test(a_limit_follows_the_settings),
		cmocka_unit_test(no_kind_of_connections_takes_all),
	};

	return cmocka_run_group_tests_name("fd", tests, NULL, NULL);
}
