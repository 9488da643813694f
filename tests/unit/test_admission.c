#include <glib.h>
#include <string.h>

#include "chestnutquay/admission.h"
#include "chestnutquay/clock.h"

struct item {
	struct cq_admission_item item; /* first */
	int number;
};

static struct cq_admission *create(uint32_t max_items, uint64_t max_bytes)
{
	struct cq_admission_options options = { max_items, max_bytes };

	return cq_admission_create(&options);
}

static struct item *push(struct cq_admission *admission, struct item *item,
			 uint32_t rank, const char *workspace, uint32_t weight)
{
	struct cq_admission_item *evicted;

	item->item.rank = rank;
	item->item.workspace = workspace;
	item->item.weight = weight;
	item->item.bytes = 1;
	return cq_admission_push(admission, &item->item, &evicted) ? item
								   : NULL;
}

static struct item *pop(struct cq_admission *admission)
{
	return (struct item *)cq_admission_pop(admission, NULL);
}

/* Guards against a later class overtaking an urgent one, and its starvation. */
static void test_rank_order(void)
{
	struct cq_admission *admission = create(1000, 1000000);
	struct item urgent[200] = { 0 };
	struct item later[200] = { 0 };
	int counts[3] = { 0 };
	int i;

	for (i = 0; i < 200; i++) {
		push(admission, &later[i], i % 2 ? 1 : 2, "a", 1);
		push(admission, &urgent[i], 0, "a", 1);
	}
	/* The first requests dispatched are all urgent. */
	for (i = 0; i < CQ_ADMISSION_MAX_DISPATCH_INTERVAL - 1; i++)
		g_assert_cmpuint(pop(admission)->item.rank, ==, 0);
	for (; i < 160; i++)
		counts[pop(admission)->item.rank]++;
	g_assert_cmpint(counts[0], >=, 120);
	g_assert_cmpint(counts[1], >=, 7);
	g_assert_cmpint(counts[2], >=, 7);
	cq_admission_destroy(admission);
}

/* Guards against a workspace with many requests crowding out another. */
static void test_workspace_shares(void)
{
	struct cq_admission *admission = create(1000, 1000000);
	struct item a[300] = { 0 };
	struct item b[100] = { 0 };
	int got_a = 0;
	int got_b = 0;
	int i;

	for (i = 0; i < 300; i++)
		push(admission, &a[i], 0, "a", 1);
	for (i = 0; i < 100; i++)
		push(admission, &b[i], 0, "b", 3);
	for (i = 0; i < 80; i++) {
		if (!strcmp(pop(admission)->item.workspace, "a"))
			got_a++;
		else
			got_b++;
	}
	/* The weights 1 and 3 give 20 and 60 of 80 dispatches. */
	g_assert_cmpint(got_a, >=, 19);
	g_assert_cmpint(got_a, <=, 21);
	g_assert_cmpint(got_b, ==, 80 - got_a);
	cq_admission_destroy(admission);
}

/* Guards against a workspace earning credit while it is idle. */
static void test_idle_earns_no_credit(void)
{
	struct cq_admission *admission = create(1000, 1000000);
	struct item a[100] = { 0 };
	struct item b[100] = { 0 };
	int got_b = 0;
	int i;

	for (i = 0; i < 100; i++)
		push(admission, &a[i], 0, "a", 1);
	for (i = 0; i < 60; i++)
		pop(admission);
	for (i = 0; i < 100; i++)
		push(admission, &b[i], 0, "b", 1);
	for (i = 0; i < 20; i++)
		got_b += !strcmp(pop(admission)->item.workspace, "b");
	g_assert_cmpint(got_b, >=, 9);
	g_assert_cmpint(got_b, <=, 11);
	cq_admission_destroy(admission);
}

/* Guards against an unbounded queue and the eviction of urgent requests. */
static void test_bounds(void)
{
	static const struct {
		const char *name;
		uint32_t full_rank, new_rank;
		bool admitted, evicts;
	} cases[] = {
		{ "same rank", 1, 1, false, false },
		{ "more urgent", 1, 0, true, true },
		{ "less urgent", 1, 2, false, false },
	};
	size_t c;

	for (c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct cq_admission *admission = create(3, 1000);
		struct cq_admission_item *evicted = NULL;
		struct item items[3] = { 0 };
		struct item extra = { 0 };
		int i;

		g_test_message("%s", cases[c].name);
		for (i = 0; i < 3; i++)
			push(admission, &items[i], cases[c].full_rank, "a", 1);
		extra.item.rank = cases[c].new_rank;
		extra.item.workspace = "b";
		extra.item.weight = 1;
		g_assert_cmpint(cq_admission_push(admission, &extra.item,
						  &evicted),
				==, cases[c].admitted);
		/* The newest item is evicted. */
		g_assert_true(evicted ==
			      (cases[c].evicts ? &items[2].item : NULL));
		g_assert_cmpuint(cq_admission_count(admission), ==, 3);
		cq_admission_destroy(admission);
	}
}

/* Guards against queued bodies that use unbounded memory. */
static void test_byte_bound(void)
{
	struct cq_admission *admission = create(1000, 100);
	struct cq_admission_item *evicted;
	struct item big = { .item = { .rank = 0,
				      .weight = 1,
				      .workspace = "a",
				      .bytes = 90 } };
	struct item more = { .item = { .rank = 0,
				       .weight = 1,
				       .workspace = "a",
				       .bytes = 20 } };

	g_assert_true(cq_admission_push(admission, &big.item, &evicted));
	g_assert_false(cq_admission_push(admission, &more.item, &evicted));
	g_assert_cmpuint(cq_admission_bytes(admission), ==, 90);
	cq_admission_remove(admission, &big.item);
	g_assert_cmpuint(cq_admission_bytes(admission), ==, 0);
	g_assert_true(cq_admission_push(admission, &more.item, &evicted));
	cq_admission_destroy(admission);
}

/* Guards against an expected wait that is far from the actual one. */
static void test_expected_wait(void)
{
	static const struct {
		const char *name;
		uint32_t rank;
		uint32_t queued_urgent, queued_normal;
		uint32_t usable, idle;
		int64_t least_ms, most_ms;
	} cases[] = {
		{ "free slot", 0, 0, 0, 10, 1, 0, 0 },
		{ "no slot at all", 0, 0, 0, 0, 0, INT64_MAX / CQ_NS_PER_MS,
		  INT64_MAX / CQ_NS_PER_MS },
		/* Calls of 100 ms on 10 slots: 100 calls per second. */
		{ "busy, empty queue", 0, 0, 0, 10, 0, 1, 20 },
		{ "50 requests ahead", 0, 50, 0, 10, 0, 400, 600 },
		{ "later classes do not count", 0, 0, 50, 10, 0, 1, 20 },
		{ "urgent requests count", 1, 50, 50, 10, 0, 900, 1100 },
	};
	size_t c;

	for (c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct cq_admission *admission = create(1000, 1000000);
		struct item *items = g_new0(struct item, 200);
		uint32_t n = 0;
		uint32_t i;
		int64_t wait_ms;

		g_test_message("%s", cases[c].name);
		for (i = 0; i < 200; i++)
			cq_admission_note_service(admission, 0,
						  100 * CQ_NS_PER_MS);
		for (i = 0; i < cases[c].queued_urgent; i++)
			push(admission, &items[n++], 0, "a", 1);
		for (i = 0; i < cases[c].queued_normal; i++)
			push(admission, &items[n++], 1, "a", 1);
		wait_ms = cq_admission_expected_wait_ns(
				  admission, cases[c].rank, "a", 1,
				  cases[c].usable, cases[c].idle, CQ_NS_PER_S) /
			  CQ_NS_PER_MS;
		g_assert_cmpint(wait_ms, >=, cases[c].least_ms);
		g_assert_cmpint(wait_ms, <=, cases[c].most_ms);
		cq_admission_destroy(admission);
		g_free(items);
	}
}

/*
 * Guards against an estimate for a workspace with few requests that includes
 * the queue of a busy workspace.
 */
static void test_wait_of_light_workspace(void)
{
	struct cq_admission *admission = create(1000, 1000000);
	struct item *items = g_new0(struct item, 200);
	int64_t heavy;
	int64_t light;
	int i;

	for (i = 0; i < 200; i++)
		push(admission, &items[i], 0, "heavy", 1);
	heavy = cq_admission_expected_wait_ns(admission, 0, "heavy", 1, 10, 0,
					      0);
	light = cq_admission_expected_wait_ns(admission, 0, "light", 1, 10, 0,
					      0);
	g_assert_cmpint(light, <, heavy / 10);
	cq_admission_destroy(admission);
	g_free(items);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admission/rank-order", test_rank_order);
	g_test_add_func("/admission/workspace-shares", test_workspace_shares);
	g_test_add_func("/admission/idle-saves-nothing",
			test_idle_earns_no_credit);
	g_test_add_func("/admission/bounds", test_bounds);
	g_test_add_func("/admission/byte-bound", test_byte_bound);
	g_test_add_func("/admission/expected-wait", test_expected_wait);
	g_test_add_func("/admission/wait-of-light-workspace",
			test_wait_of_light_workspace);
	return g_test_run();
}
