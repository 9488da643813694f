/*
 * Records that the store refuses for good, such as one over its value limit,
 * among others in the journal.
 */
#include <ev.h>
#include <glib.h>
#include <string.h>

#include "chestnutquay/journal.h"
#include "chestnutquay/leader.h"
#include "tests/support/mem_store.h"
#include "tests/support/wait_for.h"

#define HEAD "t/head"
#define EPOCH 3
#define MAX_VALUE_BYTES 100
#define SETS 3 /* of records, one collected after the other */

struct fixture {
	struct ev_loop *loop;
	struct mem_store *store;
	struct cq_journal *journal;
	uint64_t bad; /* bit I: record I of each set is too large */
	uint32_t record_count;
	uint32_t sets;		/* collected so far */
	uint32_t next;		/* index in the set that is settled next */
	uint32_t committed;	/* records */
	uint32_t refused_count; /* records */
	bool superseded;
};

static bool is_bad(const struct fixture *f, uint32_t index)
{
	return f->bad >> index & 1;
}

static uint32_t collect(void *ctx, struct cq_journal_record *records,
			uint32_t max)
{
	struct fixture *f = ctx;
	uint32_t i;

	g_assert_cmpuint(f->record_count, <=, max);
	if (f->sets == SETS)
		return 0;
	if (f->sets)
		g_assert_cmpuint(f->next, ==, f->record_count);
	f->sets++;
	f->next = 0;
	for (i = 0; i < f->record_count; i++) {
		records[i].key = g_strdup_printf("t/%u", i);
		records[i].value =
			is_bad(f, i) ? g_strnfill(MAX_VALUE_BYTES + 1, 'x')
				     : g_strdup_printf("%u", f->sets);
	}
	return f->record_count;
}

static void wake(struct fixture *f)
{
	cq_journal_wake(f->journal);
}

static void committed(void *ctx, uint32_t first, uint32_t count)
{
	struct fixture *f = ctx;
	uint32_t i;

	g_assert_cmpuint(first, ==, f->next);
	for (i = first; i < first + count; i++)
		g_assert_false(is_bad(f, i));
	f->next += count;
	f->committed += count;
	wake(f);
}

static void refused(void *ctx, uint32_t index, const char *error)
{
	struct fixture *f = ctx;

	g_assert_nonnull(error);
	g_assert_cmpuint(index, ==, f->next);
	g_assert_true(is_bad(f, index));
	f->next++;
	f->refused_count++;
	wake(f);
}

static void superseded(void *ctx)
{
	struct fixture *f = ctx;

	f->superseded = true;
}

static const struct cq_journal_ops ops = {
	.collect = collect,
	.committed = committed,
	.refused = refused,
	.superseded = superseded,
};

static void fixture_init(struct fixture *f, uint32_t record_count, uint64_t bad)
{
	struct cq_journal_options options = {
		.head_key = HEAD,
		.epoch = EPOCH,
		.call_timeout_ms = 100,
	};
	char *head = cq_leader_format_head(EPOCH, 0);

	*f = (struct fixture){
		.loop = ev_loop_new(0),
		.bad = bad,
		.record_count = record_count,
	};
	f->store = mem_store_create(f->loop);
	mem_store_set_max_value(f->store, MAX_VALUE_BYTES);
	mem_store_write(f->store, HEAD, head);
	g_free(head);
	options.loop = f->loop;
	options.clock = cq_clock_system();
	options.head_revision = mem_store_revision(f->store);
	f->journal =
		cq_journal_create(&options, mem_store_get(f->store), &ops, f);
}

static void fixture_clear(struct fixture *f)
{
	cq_journal_destroy(f->journal);
	mem_store_destroy(f->store);
	ev_loop_destroy(f->loop);
}

static bool all_settled(void *ctx)
{
	const struct fixture *f = ctx;

	return f->superseded ||
	       f->committed + f->refused_count == SETS * f->record_count;
}

static void check_values(const struct fixture *f)
{
	char *last = g_strdup_printf("%d", SETS);
	uint32_t i;

	for (i = 0; i < f->record_count; i++) {
		char *key = g_strdup_printf("t/%u", i);

		g_assert_cmpstr(mem_store_read(f->store, key), ==,
				is_bad(f, i) ? NULL : last);
		g_free(key);
	}
	g_free(last);
}

struct refused_case {
	const char *name;
	uint32_t record_count;
	uint64_t bad;
};

static const struct refused_case cases[] = {
	{ "none", 30, 0 },
	{ "alone", 1, 1 },
	{ "first", 30, 1 },
	{ "last", 30, UINT64_C(1) << 29 },
	{ "middle", 30, UINT64_C(1) << 15 },
	{ "two", 30, UINT64_C(1) << 3 | UINT64_C(1) << 4 },
	{ "both_ends", 30, UINT64_C(1) << 29 | 1 },
	{ "every_second", 30, UINT64_C(0x15555555) },
	{ "all", 30, (UINT64_C(1) << 30) - 1 },
	{ "odd_count", 7, UINT64_C(1) << 6 },
};

/*
 * Guards against a refused record that the journal repeats for ever, so that no
 * other record is written any more.
 */
static void test_refused(gconstpointer data)
{
	static const enum mem_store_fault faults[] = {
		MEM_STORE_NO_FAULT,	MEM_STORE_REFUSE,
		MEM_STORE_DROP_ANSWER,	MEM_STORE_DROP_CHANGE,
		MEM_STORE_DELAY_CHANGE, MEM_STORE_REVISION_AHEAD,
	};
	const struct refused_case *c = data;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct fixture f;

		fixture_init(&f, c->record_count, c->bad);
		mem_store_fail_changes(f.store, faults[i], 2);
		wake(&f);
		g_assert_true(wait_for(f.loop, all_settled, &f));
		g_assert_false(f.superseded);
		check_values(&f);
		/* Changes executed late must not take effect. */
		mem_store_run_delayed(f.store);
		check_values(&f);
		fixture_clear(&f);
	}
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path =
			g_strconcat("/journal_refused/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], test_refused);
		g_free(path);
	}
	return g_test_run();
}
