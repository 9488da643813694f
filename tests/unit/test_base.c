#include <glib.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/error.h"

/* Guards against a wrapped error losing its code or its cause. */
static void test_error_wrap(void)
{
	struct cq_error err = CQ_ERROR_INIT;

	g_assert_false(cq_error_set(&err, CQ_ERROR_TRANSPORT, CQ_ERR_TIMEOUT,
				    "no answer in %d ms", 20));
	cq_error_wrap(&err, CQ_ERROR_PROTOCOL, "store");
	g_assert_cmpint(err.domain, ==, CQ_ERROR_PROTOCOL);
	g_assert_cmpint(err.code, ==, CQ_ERR_TIMEOUT);
	g_assert_cmpstr(err.message, ==, "store: no answer in 20 ms");
	g_assert_cmpstr(cq_error_code_string(err.code), ==, "timeout");
}

/* Guards against the manual clock advancing only one of its two times. */
static void test_manual_clock(void)
{
	struct cq_manual_clock *manual = cq_manual_clock_create(5, 1000);
	const struct cq_clock *clock = cq_manual_clock_get(manual);

	cq_manual_clock_advance(manual, 3 * CQ_NS_PER_MS);
	g_assert_cmpint(cq_clock_now_ns(clock), ==, 5 + 3 * CQ_NS_PER_MS);
	g_assert_cmpint(cq_clock_unix_ms(clock), ==, 1003);
	cq_manual_clock_destroy(manual);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/error/wrap", test_error_wrap);
	g_test_add_func("/base/clock/manual", test_manual_clock);
	return g_test_run();
}
