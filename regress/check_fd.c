#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fd.h"

/*
 * An instance starts where a process may open 1,024 files, as many systems
 * set it.  Its 512 threads need more than that even idle; callers would
 * connect and get no answer.
 */
static void a_low_soft_limit_is_raised(void **state)
{
	uint64_t want;

	(void)state;
	assert_int_equal(fd_new_soft_limit(512, 1024, 1048576, &want), FD_OK);
	assert_int_equal(want, fd_needed(512));
	assert_true(want > 2048);
}

/* A limit that is high enough stays as the system set it. */
static void a_high_limit_stays(void **state)
{
	uint64_t want;

	(void)state;
	assert_int_equal(fd_new_soft_limit(64, 20000, 20000, &want), FD_OK);
	assert_int_equal(want, 20000);
}

/*
 * The system allows fewer files than the threads need.  The instance must
 * not start, or the balancer would send it callers that it can't serve.
 */
static void a_low_hard_limit_is_refused(void **state)
{
	uint64_t want;

	(void)state;
	assert_int_equal(fd_new_soft_limit(8192, 1024, 4096, &want),
			 FD_E_HARD_LIMIT);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_low_soft_limit_is_raised),
		cmocka_unit_test(a_high_limit_stays),
		cmocka_unit_test(a_low_hard_limit_is_refused),
	};

	return cmocka_run_group_tests_name("fd", tests, NULL, NULL);
}
