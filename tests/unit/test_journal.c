/*
 * The journal must write each set of records once and in order, whatever
 * happens to the store calls, and stop when a later epoch has begun.
 */
#include <ev.h>
#include <glib.h>

#include "chestnutquay/journal.h"
#include "chestnutquay/leader.h"
#include "tests/support/mem_store.h"
#include "tests/support/wait_for.h"

#define HEAD "t/head"
#define EPOCH 3

struct fixture {
	struct ev_loop *loop;
	struct mem_store *store;
	struct cq_journal *journal;
	int next;      /* last record number collected */
	int wanted;    /* last record number to be written */
	int committed; /* last record number known to be in the store */
	int collected;
	bool superseded;
};

static uint32_t collect(void *ctx, struct cq_journal_record *records,
			uint32_t max)
{
	struct fixture *f = ctx;

	(void)max;
	if (f->next >= f->wanted)
		return 0;
	f->next++;
	f->collected++;
	records[0].key = g_strdup("t/number");
	records[0].value = g_strdup_printf("%d", f->next);
	return 1;
}

static void committed(void *ctx, uint32_t first, uint32_t count)
{
	struct fixture *f = ctx;

	g_assert_cmpuint(first, ==, 0);
	g_assert_cmpuint(count, ==, 1);
	f->committed = f->next;
	if (f->next < f->wanted)
		cq_journal_wake(f->journal);
}

static void refused(void *ctx, uint32_t index, const char *error)
{
	(void)ctx;
	(void)index;
	g_error("a record was refused: %s", error);
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

static void fixture_init(struct fixture *f)
{
	struct cq_journal_options options = {
		.head_key = HEAD,
		.epoch = EPOCH,
		.call_timeout_ms = 100,
	};
	char *head = cq_leader_format_head(EPOCH, 0);

	*f = (struct fixture){ .loop = ev_loop_new(0) };
	f->store = mem_store_create(f->loop);
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

static bool all_committed(void *ctx)
{
	const struct fixture *f = ctx;

	return f->committed == f->wanted || f->superseded;
}

static void assert_written(struct fixture *f, int wanted)
{
	char *number = g_strdup_printf("%d", wanted);

	g_assert_true(wait_for(f->loop, all_committed, f));
	g_assert_false(f->superseded);
	g_assert_cmpstr(mem_store_read(f->store, "t/number"), ==, number);
	g_free(number);
}

/* Guards against a lost or duplicated transaction after each store fault. */
static void test_faults(void)
{
	static const enum mem_store_fault faults[] = {
		MEM_STORE_NO_FAULT,	MEM_STORE_REFUSE,
		MEM_STORE_DROP_ANSWER,	MEM_STORE_DROP_CHANGE,
		MEM_STORE_DELAY_CHANGE, MEM_STORE_REVISION_AHEAD,
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct fixture f;

		fixture_init(&f);
		mem_store_fail_changes(f.store, faults[i], 1);
		f.wanted = 3;
		cq_journal_wake(f.journal);
		assert_written(&f, 3);
		/*
		 * A transaction executed late must fail the check of the head
		 * key.
		 */
		mem_store_run_delayed(f.store);
		g_assert_cmpstr(mem_store_read(f.store, "t/number"), ==, "3");
		g_assert_cmpint((int)mem_store_changes(f.store), ==, 3);
		fixture_clear(&f);
	}
}

static void on_wake(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct fixture *f = timer->data;

	(void)loop;
	(void)events;
	cq_journal_wake(f->journal);
}

/*
 * Guards against a second concurrent transaction: cq_journal_wake() is called
 * in the loop iteration in which the journal's timer has expired but has not
 * been handled yet.
 */
static void test_wake_while_timer_is_pending(void)
{
	struct fixture f;
	ev_timer wake;

	fixture_init(&f);
	mem_store_set_delay(f.store, 0.02);
	f.wanted = 2;
	cq_journal_wake(f.journal);
	ev_timer_init(&wake, on_wake, 0.001, 0.);
	ev_set_priority(&wake, EV_MAXPRI);
	wake.data = &f;
	ev_timer_start(f.loop, &wake);
	/*
	 * Both timers have expired when the loop runs; wake is handled first.
	 */
	g_usleep(20000);
	assert_written(&f, 2);
	run_loop_iterations(f.loop, 20);
	g_assert_cmpint((int)mem_store_calls(f.store), ==, 2);
	fixture_clear(&f);
}

/* Guards against writes after a later epoch has begun. */
static void test_superseded(void)
{
	struct fixture f;
	char *head = cq_leader_format_head(EPOCH + 1, 0);

	fixture_init(&f);
	mem_store_write(f.store, HEAD, head);
	g_free(head);
	f.wanted = 1;
	cq_journal_wake(f.journal);
	g_assert_true(wait_for(f.loop, all_committed, &f));
	g_assert_true(f.superseded);
	g_assert_null(mem_store_read(f.store, "t/number"));
	/* The journal writes nothing more. */
	cq_journal_wake(f.journal);
	run_loop_iterations(f.loop, 10);
	g_assert_cmpint((int)mem_store_changes(f.store), ==, 0);
	fixture_clear(&f);
}

/* Guards against malformed head values that are accepted. */
static void test_head_format(void)
{
	static const char *const bad[] = {
		"", "3", "x 1", "3 x", "3 1 1", " "
	};
	int64_t epoch;
	uint64_t sequence;
	size_t i;

	g_assert_true(cq_leader_parse_head("7 42", &epoch, &sequence));
	g_assert_cmpint(epoch, ==, 7);
	g_assert_cmpuint(sequence, ==, 42);
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_false(cq_leader_parse_head(bad[i], &epoch, &sequence));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/journal/faults", test_faults);
	g_test_add_func("/journal/wake_while_timer_is_pending",
			test_wake_while_timer_is_pending);
	g_test_add_func("/journal/superseded", test_superseded);
	g_test_add_func("/journal/head_format", test_head_format);
	return g_test_run();
}
