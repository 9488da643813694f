#include <glib.h>
#include <string.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/slots.h"

#define LOAN_NS CQ_NS_PER_S
#define CALL_MAX_NS (5 * CQ_NS_PER_S)

static struct cq_slots *create(uint32_t index, uint32_t count, int64_t from_ns)
{
	struct cq_slots_options options = {
		.index = index,
		.index_count = count,
		.loan_ns = LOAN_NS,
		.call_max_ns = CALL_MAX_NS,
		.usable_from_ns = from_ns,
	};

	return cq_slots_create(&options);
}

/* Guards against shares that overlap or leave a slot without a host. */
static void test_shares_partition(void)
{
	uint32_t capacity;
	uint32_t count;
	int e;

	for (capacity = 1; capacity <= 16; capacity++)
		for (count = 1; count <= 20; count++)
			for (e = 0; e < 10; e++) {
				char id[16];
				uint32_t sum = 0;
				uint32_t i;

				g_snprintf(id, sizeof(id), "e%d", e);
				for (i = 0; i < count; i++)
					sum += cq_slots_share(id, capacity, i,
							      count);
				g_assert_cmpuint(sum, ==, capacity);
			}
}

/* Guards against the same host getting the remainder of every endpoint. */
static void test_remainders_spread(void)
{
	uint32_t sums[3] = { 0 };
	uint32_t i;
	int e;

	for (e = 0; e < 300; e++) {
		char id[16];

		g_snprintf(id, sizeof(id), "endpoint-%d", e);
		for (i = 0; i < 3; i++)
			sums[i] += cq_slots_share(id, 8, i, 3);
	}
	for (i = 0; i < 3; i++) {
		g_assert_cmpuint(sums[i], >, 750);
		g_assert_cmpuint(sums[i], <, 850);
	}
}

/* Guards against taking more slots than the share, or a lent slot. */
static void test_take_limit(void)
{
	struct cq_slots *slots = create(0, 1, 0);
	struct cq_slots_endpoint *e = cq_slots_set_endpoint(slots, "e", 8);
	struct cq_slots_loan loans[CQ_SLOTS_MAX_LOANS];
	struct cq_slots_grant grants[8];
	int i;

	for (i = 0; i < 4; i++)
		g_assert_true(cq_slots_take(slots, e, 10, &grants[i]));
	/* The lender keeps one of its four idle slots. */
	g_assert_cmpuint(cq_slots_lend(slots, 10, 10, loans), ==, 3);
	g_assert_cmpuint(cq_slots_free(slots, e, 10), ==, 1);
	g_assert_true(cq_slots_take(slots, e, 10, &grants[4]));
	g_assert_false(cq_slots_take(slots, e, 10, &grants[5]));
	cq_slots_put(slots, e, &grants[0]);
	g_assert_true(cq_slots_take(slots, e, 10, &grants[0]));
	cq_slots_destroy(slots);
}

/*
 * Guards against using own slots after a start while calls of the previous
 * holder of the index may still run.
 */
static void test_hold_after_start(void)
{
	struct cq_slots *slots = create(0, 1, 1000);
	struct cq_slots_endpoint *e = cq_slots_set_endpoint(slots, "e", 8);
	struct cq_slots_grant grant;

	g_assert_false(cq_slots_take(slots, e, 999, &grant));
	g_assert_true(cq_slots_take(slots, e, 1000, &grant));
	cq_slots_destroy(slots);
}

/* Guards against a host that uses or lends slots after losing its index. */
static void test_lost_index(void)
{
	struct cq_slots *slots = create(0, 1, 0);
	struct cq_slots_endpoint *e = cq_slots_set_endpoint(slots, "e", 8);
	struct cq_slots_loan loans[CQ_SLOTS_MAX_LOANS];
	struct cq_slots_grant grant;

	g_assert_true(cq_slots_take(slots, e, 1, &grant));
	cq_slots_set_holds_index(slots, false);
	g_assert_false(cq_slots_take(slots, e, 1, &grant));
	g_assert_cmpuint(cq_slots_lend(slots, 4, 1, loans), ==, 0);
	cq_slots_set_holds_index(slots, true);
	g_assert_true(cq_slots_take(slots, e, 1, &grant));
	cq_slots_destroy(slots);
}

/*
 * Guards against a lender that reuses a lent slot while the borrower's last
 * call may still run, and against one that never reuses it.
 */
static void test_loan_deadline(void)
{
	static const struct {
		const char *name;
		int64_t asked_ns, arrives_ns, take_ns;
		bool usable;
	} cases[] = {
		{ "at once", 0, 1, 2, true },
		{ "last moment", 0, 1, LOAN_NS - 1, true },
		{ "too late", 0, 1, LOAN_NS, false },
		{ "late grant", 0, LOAN_NS + 1, LOAN_NS + 2, false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_slots *lender = create(0, 2, 0);
		struct cq_slots *borrower = create(1, 2, 0);
		struct cq_slots_endpoint *le =
			cq_slots_set_endpoint(lender, "e", 8);
		struct cq_slots_endpoint *be =
			cq_slots_set_endpoint(borrower, "e", 8);
		struct cq_slots_loan loans[CQ_SLOTS_MAX_LOANS];
		struct cq_slots_grant grant;
		uint32_t own = cq_slots_free(borrower, be, 0);
		uint32_t count;

		g_test_message("%s", cases[i].name);
		count = cq_slots_lend(lender, 1, cases[i].asked_ns, loans);
		g_assert_cmpuint(count, ==, 1);
		cq_slots_borrow(borrower, 0, 7, loans, count,
				cases[i].asked_ns);
		g_assert_cmpuint(cq_slots_free(borrower, be, cases[i].take_ns),
				 ==, own + (cases[i].usable ? 1 : 0));
		g_assert_true(
			cq_slots_take(borrower, be, cases[i].take_ns, &grant));
		g_assert_cmpint(grant.loan_local_id != 0, ==, cases[i].usable);
		/* The slot stays lent until the last call must have ended. */
		cq_slots_tick(lender, LOAN_NS + CALL_MAX_NS - 1);
		g_assert_cmpuint(cq_slots_lent(lender), ==, 1);
		g_assert_cmpuint(cq_slots_free(lender, le, LOAN_NS), ==, 3);
		cq_slots_tick(lender, LOAN_NS + CALL_MAX_NS);
		g_assert_cmpuint(cq_slots_lent(lender), ==, 0);
		cq_slots_destroy(lender);
		cq_slots_destroy(borrower);
	}
}

/* Guards against a return that loses a slot or is counted twice. */
static void test_return(void)
{
	struct cq_slots *lender = create(0, 2, 0);
	struct cq_slots *borrower = create(1, 2, 0);
	struct cq_slots_endpoint *le = cq_slots_set_endpoint(lender, "e", 8);
	struct cq_slots_endpoint *be = cq_slots_set_endpoint(borrower, "e", 8);
	struct cq_slots_loan loans[CQ_SLOTS_MAX_LOANS];
	uint64_t ids[CQ_SLOTS_MAX_LOANS];
	struct cq_slots_grant grant;
	uint64_t incarnation;
	uint32_t from;
	uint32_t count = cq_slots_lend(lender, 2, 0, loans);

	g_assert_cmpuint(count, ==, 2);
	cq_slots_borrow(borrower, 0, 7, loans, count, 0);
	g_assert_true(cq_slots_take(borrower, be, 1, &grant));
	/* The borrowed slot in use stays; the idle one is returned. */
	g_assert_cmpuint(cq_slots_collect_returns(borrower, true, 2, &from,
						  &incarnation, ids),
			 ==, 1);
	g_assert_cmpuint(from, ==, 0);
	g_assert_cmpuint(incarnation, ==, 7);
	g_assert_cmpuint(cq_slots_collect_returns(borrower, true, 2, &from,
						  &incarnation, &ids[1]),
			 ==, 0);
	cq_slots_returned(lender, ids[0]);
	cq_slots_returned(lender, ids[0]);
	g_assert_cmpuint(cq_slots_lent(lender), ==, 1);
	g_assert_cmpuint(cq_slots_free(lender, le, 2), ==, 3);
	cq_slots_put(borrower, be, &grant);
	g_assert_cmpuint(cq_slots_collect_returns(borrower, false, LOAN_NS,
						  &from, &incarnation, ids),
			 ==, 1);
	cq_slots_destroy(lender);
	cq_slots_destroy(borrower);
}

/*
 * Guards against slots that are free again too early when an endpoint is
 * removed and added again while they are lent.
 */
static void test_remove_while_lent(void)
{
	struct cq_slots *slots = create(0, 2, 0);
	struct cq_slots_endpoint *e = cq_slots_set_endpoint(slots, "e", 8);
	struct cq_slots_loan loans[CQ_SLOTS_MAX_LOANS];

	g_assert_cmpuint(cq_slots_lend(slots, 2, 0, loans), ==, 2);
	cq_slots_remove_endpoint(slots, e);
	g_assert_cmpuint(cq_slots_free_total(slots, 1), ==, 0);
	e = cq_slots_set_endpoint(slots, "e", 8);
	/* The loans from before the removal still count. */
	g_assert_cmpuint(cq_slots_free(slots, e, 1), ==, 2);
	cq_slots_returned(slots, loans[0].id);
	cq_slots_returned(slots, loans[1].id);
	g_assert_cmpuint(cq_slots_free(slots, e, 1), ==, 4);
	cq_slots_destroy(slots);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/slots/shares-partition", test_shares_partition);
	g_test_add_func("/slots/shares-even", test_remainders_spread);
	g_test_add_func("/slots/take-limit", test_take_limit);
	g_test_add_func("/slots/hold-after-start", test_hold_after_start);
	g_test_add_func("/slots/lost-index", test_lost_index);
	g_test_add_func("/slots/loan-deadline", test_loan_deadline);
	g_test_add_func("/slots/return", test_return);
	g_test_add_func("/slots/remove-while-lent", test_remove_while_lent);
	return g_test_run();
}
