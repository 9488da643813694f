/*
 * Of several candidates one must lead at a time, whatever happens to the store
 * calls. A candidate must never replace a holder that it has just seen.
 */
#include <ev.h>
#include <glib.h>

#include "chestnutquay/leader.h"
#include "tests/support/mem_store.h"
#include "tests/support/wait_for.h"

#define LEASE_MS 400
#define HOLDER "t/leader/holder"
#define OTHER "t/leader/other"
#define HEAD "t/head"

struct candidate {
	struct cq_leader *leader;
	int64_t epoch; /* 0 if it does not lead */
	uint32_t elections;
	uint32_t notices; /* of OTHER */
	bool other_present;
};

struct fixture {
	struct ev_loop *loop;
	struct mem_store *store;
	struct candidate candidates[3];
	size_t count;
	uint32_t awaited_notices;
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

static void on_noticed(void *ctx, const char *key, const char *value)
{
	struct candidate *c = ctx;

	g_assert_cmpstr(key, ==, OTHER);
	c->notices++;
	c->other_present = value != NULL;
}

static const struct cq_leader_ops ops = { on_elected, on_deposed, on_noticed };

static void add_candidate(struct fixture *f, size_t i, const char *identity)
{
	const struct cq_leader_options options = {
		.loop = f->loop,
		.clock = cq_clock_system(),
		.identity = identity,
		.holder_prefix = "t/leader/",
		.head_key = HEAD,
		.lease_ms = LEASE_MS,
		.call_timeout_ms = 100,
		.watch_wait_ms = 200,
	};

	f->candidates[i].leader = cq_leader_create(
		&options, mem_store_get(f->store), &ops, &f->candidates[i]);
	f->count = MAX(f->count, i + 1);
}

static void fixture_init(struct fixture *f)
{
	*f = (struct fixture){ .loop = ev_loop_new(0) };
	f->store = mem_store_create(f->loop);
}

static void fixture_clear(struct fixture *f)
{
	size_t i;

	for (i = 0; i < f->count; i++)
		cq_leader_destroy(f->candidates[i].leader);
	mem_store_destroy(f->store);
	ev_loop_destroy(f->loop);
}

static size_t count_leaders(const struct fixture *f)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < f->count; i++)
		count += f->candidates[i].epoch != 0;
	return count;
}

static bool one_leads(void *ctx)
{
	return count_leaders(ctx) == 1;
}

static uint32_t count_elections(const struct fixture *f)
{
	uint32_t sum = 0;
	size_t i;

	for (i = 0; i < f->count; i++)
		sum += f->candidates[i].elections;
	return sum;
}

static struct candidate *find_leader(struct fixture *f)
{
	size_t i;

	for (i = 0; i < f->count; i++)
		if (f->candidates[i].epoch)
			return &f->candidates[i];
	return NULL;
}

static bool all_noticed(void *ctx)
{
	const struct fixture *f = ctx;
	size_t i;

	for (i = 0; i < f->count; i++)
		if (f->candidates[i].notices < f->awaited_notices)
			return false;
	return true;
}

static void write_other(struct fixture *f, const char *value)
{
	f->awaited_notices++;
	mem_store_write(f->store, OTHER, value);
	g_assert_true(wait_for(f->loop, all_noticed, f));
}

/*
 * Guards against another key beside that of the holder that is taken for it: a
 * leader that steps down, or a second one.
 */
static void test_other_key(void)
{
	struct fixture f;

	fixture_init(&f);
	add_candidate(&f, 0, "a");
	add_candidate(&f, 1, "b");
	g_assert_true(wait_for(f.loop, one_leads, &f));
	write_other(&f, "1");
	g_assert_true(f.candidates[0].other_present);
	g_assert_true(f.candidates[1].other_present);
	write_other(&f, NULL);
	g_assert_false(f.candidates[0].other_present);
	run_loop_iterations(f.loop, 100);
	g_assert_cmpuint(count_leaders(&f), ==, 1);
	g_assert_cmpuint(count_elections(&f), ==, 1);
	fixture_clear(&f);
}

/* Guards against two leaders after a simultaneous start. */
static void test_single_leader(void)
{
	struct fixture f;

	fixture_init(&f);
	add_candidate(&f, 0, "a");
	add_candidate(&f, 1, "b");
	add_candidate(&f, 2, "c");
	g_assert_true(wait_for(f.loop, one_leads, &f));
	run_loop_iterations(f.loop, 50);
	g_assert_cmpuint(count_leaders(&f), ==, 1);
	g_assert_cmpuint(count_elections(&f), ==, 1);
	fixture_clear(&f);
}

/*
 * Guards against a resignation that is followed by two elections, or by an
 * epoch that does not grow. Store answers are delayed, so that a candidate sees
 * the new holder during its own campaign.
 */
static void test_resign(void)
{
	int round;

	for (round = 0; round < 12; round++) {
		struct fixture f;
		struct candidate *first;

		fixture_init(&f);
		mem_store_set_delay(f.store, 0.008);
		add_candidate(&f, 0, "a");
		g_assert_true(wait_for(f.loop, one_leads, &f));
		add_candidate(&f, 1, "b");
		add_candidate(&f, 2, "c");
		run_loop_iterations(f.loop, 20);
		first = find_leader(&f);
		cq_leader_resign(first->leader);
		g_assert_cmpint(first->epoch, ==, 0);
		g_assert_true(wait_for(f.loop, one_leads, &f));
		run_loop_iterations(f.loop, 60);
		g_assert_cmpuint(count_leaders(&f), ==, 1);
		g_assert_cmpuint(count_elections(&f), ==, 2);
		g_assert_cmpint(find_leader(&f)->epoch, ==, 2);
		fixture_clear(&f);
	}
}

static bool first_may_not_command(void *ctx)
{
	const struct fixture *f = ctx;

	return !cq_leader_may_command(f->candidates[0].leader);
}

/*
 * Guards against a leader that still sends commands after its lease may have
 * expired because the store does not answer.
 */
static void test_deadline(void)
{
	struct fixture f;

	fixture_init(&f);
	add_candidate(&f, 0, "a");
	g_assert_true(wait_for(f.loop, one_leads, &f));
	g_assert_true(cq_leader_may_command(f.candidates[0].leader));
	mem_store_fail_all(f.store, MEM_STORE_DROP_CHANGE);
	g_assert_true(wait_for(f.loop, first_may_not_command, &f));
	mem_store_fail_all(f.store, MEM_STORE_NO_FAULT);
	mem_store_expire(f.store, mem_store_lease_of(f.store, HOLDER));
	g_assert_true(wait_for(f.loop, one_leads, &f));
	fixture_clear(&f);
}

static bool second_leads(void *ctx)
{
	const struct fixture *f = ctx;

	return f->candidates[1].epoch != 0;
}

/*
 * Guards against a restarted process that waits for the lease of its
 * predecessor on the same host to expire.
 */
static void test_restart(void)
{
	struct fixture f;

	fixture_init(&f);
	add_candidate(&f, 0, "a");
	g_assert_true(wait_for(f.loop, one_leads, &f));
	/* The first candidate neither resigns nor steps down. */
	add_candidate(&f, 1, "a");
	g_assert_true(wait_for(f.loop, second_leads, &f));
	g_assert_cmpint(f.candidates[1].epoch, ==, 2);
	fixture_clear(&f);
}

/*
 * Guards against no leader, or two, after each fault of the transaction of the
 * election.
 */
static void test_election_faults(void)
{
	static const enum mem_store_fault faults[] = {
		MEM_STORE_REFUSE,	  MEM_STORE_DROP_ANSWER,
		MEM_STORE_DROP_CHANGE,	  MEM_STORE_DELAY_CHANGE,
		MEM_STORE_REVISION_AHEAD,
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct fixture f;

		fixture_init(&f);
		mem_store_fail_changes(f.store, faults[i], 1);
		add_candidate(&f, 0, "a");
		g_assert_true(wait_for(f.loop, one_leads, &f));
		mem_store_run_delayed(f.store);
		run_loop_iterations(f.loop, 20);
		g_assert_cmpuint(count_leaders(&f), ==, 1);
		fixture_clear(&f);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/leader/one_of_three", test_single_leader);
	g_test_add_func("/leader/other_key", test_other_key);
	g_test_add_func("/leader/resign", test_resign);
	g_test_add_func("/leader/deadline", test_deadline);
	g_test_add_func("/leader/restart", test_restart);
	g_test_add_func("/leader/lost_election", test_election_faults);
	return g_test_run();
}
