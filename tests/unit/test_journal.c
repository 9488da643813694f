/*
 * The journal writes each set of records once and in order, whatever happens
 * to the calls, and stops when a later epoch has begun.
 */
#include <ev.h>
#include <glib.h>

#include "chestnutquay/journal.h"
#include "chestnutquay/leader.h"
#include "tests/support/mem_store.h"
#include "tests/support/wait_for.h"

#define HEAD "t/head"
#define EPOCH 3

struct world {
	struct ev_loop *loop;
	struct mem_store *store;
	struct cq_journal *journal;
	int next;      /* number of the record to be written next */
	int wanted;    /* numbers to be written */
	int committed; /* last number that is known to be in the store */
	int collected;
	bool superseded;
};

static uint32_t collect(void *ctx, struct cq_journal_record *records,
			uint32_t max)
{
	struct world *w = ctx;

	(void)max;
	if (w->next >= w->wanted)
		return 0;
	w->next++;
	w->collected++;
	records[0].key = g_strdup("t/number");
	records[0].value = g_strdup_printf("%d", w->next);
	return 1;
}

static void committed(void *ctx)
{
	struct world *w = ctx;

	w->committed = w->next;
	if (w->next < w->wanted)
		cq_journal_wake(w->journal);
}

static void superseded(void *ctx)
{
	struct world *w = ctx;

	w->superseded = true;
}

static const struct cq_journal_ops ops = { collect, committed, superseded };

static void world_open(struct world *w)
{
	struct cq_journal_options options = {
		.head_key = HEAD,
		.epoch = EPOCH,
		.call_timeout_ms = 100,
	};
	char *head = cq_leader_format_head(EPOCH, 0);

	*w = (struct world){ .loop = ev_loop_new(0) };
	w->store = mem_store_create(w->loop);
	mem_store_write(w->store, HEAD, head);
	g_free(head);
	options.loop = w->loop;
	options.clock = cq_clock_system();
	options.head_revision = mem_store_revision(w->store);
	w->journal =
		cq_journal_create(&options, mem_store_get(w->store), &ops, w);
}

static void world_close(struct world *w)
{
	cq_journal_destroy(w->journal);
	mem_store_destroy(w->store);
	ev_loop_destroy(w->loop);
}

static bool all_committed(void *ctx)
{
	const struct world *w = ctx;

	return w->committed == w->wanted || w->superseded;
}

static void check_written(struct world *w, int wanted)
{
	char *number = g_strdup_printf("%d", wanted);

	g_assert_true(wait_for(w->loop, all_committed, w));
	g_assert_false(w->superseded);
	g_assert_cmpstr(mem_store_read(w->store, "t/number"), ==, number);
	g_free(number);
}

/* Each fault of one change; the journal goes on and writes each set once. */
static void test_faults(void)
{
	static const enum mem_store_fault faults[] = {
		MEM_STORE_FINE,	  MEM_STORE_REFUSE, MEM_STORE_LOSE,
		MEM_STORE_VANISH, MEM_STORE_LATE,   MEM_STORE_AHEAD,
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct world w;

		world_open(&w);
		mem_store_fail_changes(w.store, faults[i], 1);
		w.wanted = 3;
		cq_journal_wake(w.journal);
		check_written(&w, 3);
		/* What is executed late finds the head changed. */
		mem_store_run_late(w.store);
		g_assert_cmpstr(mem_store_read(w.store, "t/number"), ==, "3");
		g_assert_cmpint((int)mem_store_changes(w.store), ==, 3);
		world_close(&w);
	}
}

static void on_wake(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct world *w = timer->data;

	(void)loop;
	(void)events;
	cq_journal_wake(w->journal);
}

/*
 * A wake in the turn of the loop in which the timer has expired must not send
 * a second transaction beside the first.
 */
static void test_wake_while_timer_is_pending(void)
{
	struct world w;
	ev_timer wake;

	world_open(&w);
	mem_store_delay(w.store, 0.02);
	w.wanted = 2;
	cq_journal_wake(w.journal);
	ev_timer_init(&wake, on_wake, 0.001, 0.);
	ev_set_priority(&wake, EV_MAXPRI);
	wake.data = &w;
	ev_timer_start(w.loop, &wake);
	/* Both have expired when the loop looks; this one is called first. */
	g_usleep(20000);
	check_written(&w, 2);
	wait_turns(w.loop, 20);
	g_assert_cmpint((int)mem_store_calls(w.store), ==, 2);
	world_close(&w);
}

static void test_superseded(void)
{
	struct world w;
	char *head = cq_leader_format_head(EPOCH + 1, 0);

	world_open(&w);
	mem_store_write(w.store, HEAD, head);
	g_free(head);
	w.wanted = 1;
	cq_journal_wake(w.journal);
	g_assert_true(wait_for(w.loop, all_committed, &w));
	g_assert_true(w.superseded);
	g_assert_null(mem_store_read(w.store, "t/number"));
	/* It writes nothing any more. */
	cq_journal_wake(w.journal);
	wait_turns(w.loop, 10);
	g_assert_cmpint((int)mem_store_changes(w.store), ==, 0);
	world_close(&w);
}

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
