/*
 * Of several candidates one leads at a time, whatever happens to the calls;
 * a candidate never replaces a holder that it has just seen.
 */
#include <ev.h>
#include <glib.h>

#include "chestnutquay/leader.h"
#include "tests/support/mem_store.h"
#include "tests/support/wait_for.h"

#define LEASE_MS 400
#define HOLDER "t/leader/holder"
#define HEAD "t/head"

struct candidate {
	struct cq_leader *leader;
	int64_t epoch; /* 0 unless it leads */
	uint32_t elections;
};

struct world {
	struct ev_loop *loop;
	struct mem_store *store;
	struct candidate candidates[3];
	size_t count;
};

static void on_elected(void *ctx, int64_t epoch, int64_t head_revision)
{
	struct candidate *c = ctx;

	g_assert_cmpint(epoch, >, 0);
	g_assert_cmpint(head_revision, >, 0);
	c->epoch = epoch;
	c->elections++;
}

static void on_deposed(void *ctx)
{
	struct candidate *c = ctx;

	c->epoch = 0;
}

static const struct cq_leader_ops ops = { on_elected, on_deposed };

static void stand(struct world *w, size_t i, const char *identity)
{
	const struct cq_leader_options options = {
		.loop = w->loop,
		.clock = cq_clock_system(),
		.identity = identity,
		.holder_prefix = "t/leader/",
		.head_key = HEAD,
		.lease_ms = LEASE_MS,
		.call_timeout_ms = 100,
		.watch_wait_ms = 200,
	};

	w->candidates[i].leader = cq_leader_create(
		&options, mem_store_get(w->store), &ops, &w->candidates[i]);
	w->count = MAX(w->count, i + 1);
}

static void world_open(struct world *w)
{
	*w = (struct world){ .loop = ev_loop_new(0) };
	w->store = mem_store_create(w->loop);
}

static void world_close(struct world *w)
{
	size_t i;

	for (i = 0; i < w->count; i++)
		cq_leader_destroy(w->candidates[i].leader);
	mem_store_destroy(w->store);
	ev_loop_destroy(w->loop);
}

static size_t leaders(const struct world *w)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < w->count; i++)
		count += w->candidates[i].epoch != 0;
	return count;
}

static bool one_leads(void *ctx)
{
	return leaders(ctx) == 1;
}

static uint32_t elections(const struct world *w)
{
	uint32_t sum = 0;
	size_t i;

	for (i = 0; i < w->count; i++)
		sum += w->candidates[i].elections;
	return sum;
}

static struct candidate *leading(struct world *w)
{
	size_t i;

	for (i = 0; i < w->count; i++)
		if (w->candidates[i].epoch)
			return &w->candidates[i];
	return NULL;
}

static void test_one_of_three(void)
{
	struct world w;

	world_open(&w);
	stand(&w, 0, "a");
	stand(&w, 1, "b");
	stand(&w, 2, "c");
	g_assert_true(wait_for(w.loop, one_leads, &w));
	wait_turns(w.loop, 50);
	g_assert_cmpuint(leaders(&w), ==, 1);
	g_assert_cmpuint(elections(&w), ==, 1);
	world_close(&w);
}

/*
 * The others follow at once, and each epoch is higher than the last. With
 * answers that take their time, a candidate sees the new holder while it is
 * about to stand.
 */
static void test_resign(void)
{
	int round;

	for (round = 0; round < 12; round++) {
		struct world w;
		struct candidate *first;

		world_open(&w);
		mem_store_delay(w.store, 0.008);
		stand(&w, 0, "a");
		g_assert_true(wait_for(w.loop, one_leads, &w));
		stand(&w, 1, "b");
		stand(&w, 2, "c");
		wait_turns(w.loop, 20);
		first = leading(&w);
		cq_leader_resign(first->leader);
		g_assert_cmpint(first->epoch, ==, 0);
		g_assert_true(wait_for(w.loop, one_leads, &w));
		wait_turns(w.loop, 60);
		g_assert_cmpuint(leaders(&w), ==, 1);
		g_assert_cmpuint(elections(&w), ==, 2);
		g_assert_cmpint(leading(&w)->epoch, ==, 2);
		world_close(&w);
	}
}

static bool lead_ended(void *ctx)
{
	const struct world *w = ctx;

	return !cq_leader_may_command(w->candidates[0].leader);
}

/* Without answers of the store it stops ordering when its lease ends. */
static void test_deadline(void)
{
	struct world w;

	world_open(&w);
	stand(&w, 0, "a");
	g_assert_true(wait_for(w.loop, one_leads, &w));
	g_assert_true(cq_leader_may_command(w.candidates[0].leader));
	mem_store_fail_all(w.store, MEM_STORE_VANISH);
	g_assert_true(wait_for(w.loop, lead_ended, &w));
	mem_store_fail_all(w.store, MEM_STORE_FINE);
	mem_store_expire(w.store, mem_store_lease_of(w.store, HOLDER));
	g_assert_true(wait_for(w.loop, one_leads, &w));
	world_close(&w);
}

static bool second_leads(void *ctx)
{
	const struct world *w = ctx;

	return w->candidates[1].epoch != 0;
}

/* A process that starts again on its host does not wait for its old lease. */
static void test_restart(void)
{
	struct world w;

	world_open(&w);
	stand(&w, 0, "a");
	g_assert_true(wait_for(w.loop, one_leads, &w));
	/* The first process is frozen: it neither resigns nor renews. */
	stand(&w, 1, "a");
	g_assert_true(wait_for(w.loop, second_leads, &w));
	g_assert_cmpint(w.candidates[1].epoch, ==, 2);
	world_close(&w);
}

/* Each fault of the election's transaction; one leader comes of it. */
static void test_lost_election(void)
{
	static const enum mem_store_fault faults[] = {
		MEM_STORE_REFUSE, MEM_STORE_LOSE,  MEM_STORE_VANISH,
		MEM_STORE_LATE,	  MEM_STORE_AHEAD,
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct world w;

		world_open(&w);
		mem_store_fail_changes(w.store, faults[i], 1);
		stand(&w, 0, "a");
		g_assert_true(wait_for(w.loop, one_leads, &w));
		mem_store_run_late(w.store);
		wait_turns(w.loop, 20);
		g_assert_cmpuint(leaders(&w), ==, 1);
		world_close(&w);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/leader/one_of_three", test_one_of_three);
	g_test_add_func("/leader/resign", test_resign);
	g_test_add_func("/leader/deadline", test_deadline);
	g_test_add_func("/leader/restart", test_restart);
	g_test_add_func("/leader/lost_election", test_lost_election);
	return g_test_run();
}
