#include <glib.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/retry.h"

#define NO_DEADLINE INT64_MAX

static struct cq_retry *create(uint32_t breaker_failures, uint64_t seed)
{
	struct cq_retry_options options;

	cq_retry_options_init(&options);
	options.breaker_failures = breaker_failures;
	return cq_retry_create(&options, seed);
}

/* Guards against delays that grow without limit or have no jitter. */
static void test_backoff(void)
{
	static const struct {
		uint32_t attempts;
		int64_t most_ms;
	} cases[] = {
		{ 1, 50 },   { 2, 100 },  { 3, 200 },	{ 5, 800 },
		{ 6, 1600 }, { 7, 2000 }, { 20, 2000 }, { 4000000000U, 2000 },
	};
	guint i, k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_retry *retry = create(0, 7);
		int64_t least = INT64_MAX, most = 0;

		for (k = 0; k < 2000; k++) {
			int64_t delay_ns =
				cq_retry_backoff_ns(retry, cases[i].attempts);

			least = MIN(least, delay_ns);
			most = MAX(most, delay_ns);
		}
		g_assert_cmpint(least, >, 0);
		g_assert_cmpint(most, <=, cases[i].most_ms * CQ_NS_PER_MS);
		/* Full jitter: delays reach both ends of the range. */
		g_assert_cmpint(least, <, most / 10);
		g_assert_cmpint(most, >,
				cases[i].most_ms * CQ_NS_PER_MS * 9 / 10);
		cq_retry_destroy(retry);
	}
}

/* Guards against delays that cannot be reproduced from the seed. */
static void test_same_seed_same_delays(void)
{
	struct cq_retry *a = create(0, 3), *b = create(0, 3), *c = create(0, 4);
	bool differs = false;
	guint i;

	for (i = 0; i < 20; i++) {
		int64_t delay_ns = cq_retry_backoff_ns(a, 5);

		g_assert_cmpint(delay_ns, ==, cq_retry_backoff_ns(b, 5));
		differs |= delay_ns != cq_retry_backoff_ns(c, 5);
	}
	g_assert_true(differs);
	cq_retry_destroy(a);
	cq_retry_destroy(b);
	cq_retry_destroy(c);
}

/* Guards against retries that multiply the load on a failing target. */
static void test_budget(void)
{
	struct cq_retry *retry = create(0, 1);
	uint32_t again = 0, i;

	for (i = 0; i < 1000; i++) {
		struct cq_retry_call call;

		g_assert_true(cq_retry_begin(retry, &call, NO_DEADLINE, i));
		for (;;) {
			enum cq_retry_verdict verdict =
				cq_retry_failed(retry, &call, i);

			if (verdict != CQ_RETRY_AGAIN) {
				g_assert_cmpint(verdict, ==, CQ_RETRY_BUDGET);
				break;
			}
			again++;
			g_assert_true(cq_retry_attempt(retry, &call, i));
		}
	}
	/* 10 % of the first attempts plus the burst of 10. */
	g_assert_cmpuint(again, >=, 100);
	g_assert_cmpuint(again, <=, 110);
	cq_retry_destroy(retry);
}

/* Guards against attempts after the caller's deadline. */
static void test_deadline(void)
{
	struct cq_retry *retry = create(0, 1);
	struct cq_retry_call call;

	g_assert_false(cq_retry_begin(retry, &call, 100, 100));
	g_assert_true(cq_retry_begin(retry, &call, 100, 99));
	g_assert_cmpint(cq_retry_failed(retry, &call, 99), ==,
			CQ_RETRY_DEADLINE);
	g_assert_true(cq_retry_begin(retry, &call, CQ_NS_PER_S, 99));
	g_assert_cmpint(cq_retry_failed(retry, &call, 99), ==, CQ_RETRY_AGAIN);
	g_assert_cmpint(call.next_ns, <, CQ_NS_PER_S);
	g_assert_false(cq_retry_attempt(retry, &call, CQ_NS_PER_S));
	cq_retry_destroy(retry);
}

enum event {
	BEGIN_OK,      /* a call is admitted */
	BEGIN_REFUSED, /* a call is refused */
	SUCCEED,
	FAIL,
	ABANDON,
	WAIT_SHORT, /* half of the open time */
	WAIT_LONG,  /* longer than the open time with its jitter */
	/* Checks of the breaker's state. */
	CLOSED,
	OPEN,
	HALF_OPEN,
	END,
};

/*
 * Guards against a breaker that does not open, never closes again, allows more
 * than one probe, or is kept open by failures of earlier calls.
 */
static void test_breaker(void)
{
	static const struct {
		const char *name;
		enum event events[24];
	} cases[] = {
		{ "opens after five failures in a row",
		  { BEGIN_OK, FAIL, FAIL, FAIL, FAIL, CLOSED, FAIL, OPEN,
		    BEGIN_REFUSED, END } },
		{ "a success starts the count again",
		  { BEGIN_OK, FAIL, FAIL, FAIL, FAIL, SUCCEED, FAIL, CLOSED,
		    BEGIN_OK, END } },
		{ "one probe only, its success closes",
		  { BEGIN_OK, FAIL, FAIL, FAIL, FAIL, FAIL, WAIT_SHORT,
		    BEGIN_REFUSED, WAIT_LONG, BEGIN_OK, HALF_OPEN,
		    BEGIN_REFUSED, SUCCEED, CLOSED, BEGIN_OK, END } },
		{ "the probe's failure opens again",
		  { BEGIN_OK, FAIL, FAIL, FAIL, FAIL, FAIL, WAIT_LONG, BEGIN_OK,
		    FAIL, OPEN, BEGIN_REFUSED, WAIT_LONG, BEGIN_OK, END } },
		{ "an abandoned probe is replaced",
		  { BEGIN_OK, FAIL, FAIL, FAIL, FAIL, FAIL, WAIT_LONG, BEGIN_OK,
		    ABANDON, OPEN, BEGIN_OK, HALF_OPEN, END } },
		{ "late failures do not lengthen the open state",
		  { BEGIN_OK, FAIL, FAIL, FAIL, FAIL, FAIL, WAIT_SHORT, FAIL,
		    WAIT_SHORT, FAIL, WAIT_SHORT, FAIL, WAIT_SHORT, BEGIN_OK,
		    END } },
	};
	guint i, k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_retry *retry = create(5, i);
		struct cq_retry_call call;
		int64_t now_ns = 0;

		g_test_message("%s", cases[i].name);
		for (k = 0; cases[i].events[k] != END; k++) {
			switch (cases[i].events[k]) {
			case BEGIN_OK:
				g_assert_true(cq_retry_begin(
					retry, &call, NO_DEADLINE, now_ns));
				break;
			case BEGIN_REFUSED:
				g_assert_false(cq_retry_begin(
					retry, &call, NO_DEADLINE, now_ns));
				break;
			case SUCCEED:
				cq_retry_succeeded(retry);
				break;
			case FAIL:
				cq_retry_failed(retry, &call, now_ns);
				break;
			case ABANDON:
				cq_retry_abandoned(retry, now_ns);
				break;
			case WAIT_SHORT:
				now_ns += CQ_NS_PER_S / 2;
				break;
			case WAIT_LONG:
				now_ns += 2 * CQ_NS_PER_S;
				break;
			case CLOSED:
				g_assert_cmpint(cq_retry_breaker(retry), ==,
						CQ_BREAKER_CLOSED);
				break;
			case OPEN:
				g_assert_cmpint(cq_retry_breaker(retry), ==,
						CQ_BREAKER_OPEN);
				break;
			case HALF_OPEN:
				g_assert_cmpint(cq_retry_breaker(retry), ==,
						CQ_BREAKER_HALF_OPEN);
				break;
			case END:
				break;
			}
		}
		cq_retry_destroy(retry);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry/backoff", test_backoff);
	g_test_add_func("/retry/seed", test_same_seed_same_delays);
	g_test_add_func("/retry/budget", test_budget);
	g_test_add_func("/retry/deadline", test_deadline);
	g_test_add_func("/retry/breaker", test_breaker);
	return g_test_run();
}
