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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_low_soft_limit_is_raised),
		cmocka_unit_test(a_high_soft_limit_is_unchanged),
		cmocka_unit_test(a_low_hard_limit_is_refused),
	};

	return cmocka_run_group_tests_name("fd", tests, NULL, NULL);
}
