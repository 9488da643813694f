/*
 * Follows a prefix while watches hear nothing although the store answers all
 * other calls, as when it is about to drop its history, or when a connection
 * has gone silent.
 */
#include <ev.h>
#include <glib.h>
#include <string.h>

#include "chestnutquay/follower.h"
#include "tests/support/mem_store.h"
#include "tests/support/wait_for.h"

#define WAIT_MS 30
#define LIST_TIMEOUT_MS 6000

struct fixture {
	struct ev_loop *loop;
	struct mem_store *store;
	struct cq_follower *follower;
	char last_key[32];
	int64_t last_revision;
	uint32_t changed, removed;
};

struct versions_case {
	const char *path;
	size_t bytes;
	int count;
	uint32_t lists;
};

/* The first version ends the watch; the others come at once after it. */
static const struct versions_case versions_cases[] = {
	{ "/follower/small_versions", 100, 10, 0 },
	{ "/follower/large_versions", 40000, 10, 1 },
	/* Half of it more than is known, and 64 KiB */
	{ "/follower/versions_within_limit", 40000, 4, 0 },
	{ "/follower/versions_beyond_limit", 40000, 5, 1 },
};

static void on_changed(void *ctx, const struct cq_store_entry *entry)
{
	struct fixture *f = ctx;

	f->changed++;
	f->last_revision = entry->revision;
	g_strlcpy(f->last_key, entry->key, sizeof(f->last_key));
}

static void on_removed(void *ctx, const char *key)
{
	struct fixture *f = ctx;

	f->removed++;
	g_strlcpy(f->last_key, key, sizeof(f->last_key));
}

static const struct cq_follower_ops ops = {
	.changed = on_changed,
	.removed = on_removed,
};

static bool synced(void *ctx)
{
	return cq_follower_synced(((struct fixture *)ctx)->follower);
}

static bool one_changed(void *ctx)
{
	return ((struct fixture *)ctx)->changed == 1;
}

static bool one_removed(void *ctx)
{
	return ((struct fixture *)ctx)->removed == 1;
}

static bool reachable(void *ctx)
{
	return cq_follower_reachable(((struct fixture *)ctx)->follower);
}

static bool unreachable(void *ctx)
{
	return !reachable(ctx);
}

static void fixture_open(struct fixture *f)
{
	struct cq_follower_options options = {
		.clock = cq_clock_system(),
		.prefix = "a/",
		.wait_ms = WAIT_MS,
		.list_timeout_ms = LIST_TIMEOUT_MS,
	};

	*f = (struct fixture){ .loop = ev_loop_new(0) };
	f->store = mem_store_create(f->loop);
	options.loop = f->loop;
	f->follower =
		cq_follower_create(&options, mem_store_get(f->store), &ops, f);
	g_assert_true(wait_for(f->loop, synced, f));
}

static void fixture_close(struct fixture *f)
{
	cq_follower_destroy(f->follower);
	mem_store_destroy(f->store);
	ev_loop_destroy(f->loop);
}

/* Guards against a key that is not seen until the watches hear again. */
static void test_deaf_watches(void)
{
	struct fixture f;

	fixture_open(&f);
	mem_store_set_deaf_watches(f.store, true);
	mem_store_write(f.store, "a/1", "x");
	g_assert_true(wait_for(f.loop, one_changed, &f));
	g_assert_cmpstr(f.last_key, ==, "a/1");
	fixture_close(&f);
}

/* Guards against a key whose removal is not seen for as long. */
static void test_removed_while_deaf(void)
{
	struct fixture f;

	fixture_open(&f);
	mem_store_write(f.store, "a/1", "x");
	g_assert_true(wait_for(f.loop, one_changed, &f));
	mem_store_set_deaf_watches(f.store, true);
	mem_store_write(f.store, "a/1", NULL);
	g_assert_true(wait_for(f.loop, one_removed, &f));
	fixture_close(&f);
}

/*
 * Guards against a store that is asked for all keys again and again while its
 * watches hear nothing: after one list, the second key is only seen when the
 * watches hear again.
 */
static void test_lists_are_rare(void)
{
	struct fixture f;

	fixture_open(&f);
	mem_store_set_deaf_watches(f.store, true);
	mem_store_write(f.store, "a/1", "x");
	g_assert_true(wait_for(f.loop, one_changed, &f));
	mem_store_write(f.store, "a/2", "x");
	g_assert_true(wait_for(f.loop, unreachable, &f));
	run_loop_iterations(f.loop, 20);
	g_assert_cmpuint(f.changed, ==, 1);
	mem_store_set_deaf_watches(f.store, false);
	g_assert_true(wait_for(f.loop, reachable, &f));
	g_assert_cmpuint(f.changed, ==, 2);
	fixture_close(&f);
}

static void write_versions(struct fixture *f, size_t bytes, int count)
{
	char *value = g_strnfill(bytes, 'x');

	while (count-- > 0)
		mem_store_write(f->store, "a/1", value);
	g_free(value);
}

static bool two_changed(void *ctx)
{
	return ((struct fixture *)ctx)->changed == 2;
}

/*
 * Guards against a host that reads and parses each version of a document that
 * it has missed, in one answer or in several.
 */
static void test_versions(gconstpointer data)
{
	const struct versions_case *c = data;
	struct fixture f;
	uint32_t lists;

	fixture_open(&f);
	lists = mem_store_lists(f.store);
	write_versions(&f, c->bytes, c->count);
	g_assert_true(wait_for(f.loop, two_changed, &f));
	g_assert_cmpint(f.last_revision, ==, mem_store_revision(f.store));
	run_loop_iterations(f.loop, 20);
	g_assert_cmpuint(f.changed, ==, 2);
	g_assert_cmpuint(mem_store_lists(f.store) - lists, ==, c->lists);
	fixture_close(&f);
}

/* Guards against a key's end that is passed over with its last value. */
static void test_deleted_and_written(void)
{
	struct fixture f;

	fixture_open(&f);
	mem_store_write(f.store, "a/1", "x");
	g_assert_true(wait_for(f.loop, one_changed, &f));
	mem_store_write(f.store, "a/2", "x");
	mem_store_write(f.store, "a/1", "y");
	mem_store_write(f.store, "a/1", NULL);
	mem_store_write(f.store, "a/1", "z");
	g_assert_true(wait_for(f.loop, one_removed, &f));
	g_assert_cmpuint(f.changed, ==, 3);
	g_assert_cmpstr(f.last_key, ==, "a/1");
	fixture_close(&f);
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/follower/deaf_watches", test_deaf_watches);
	g_test_add_func("/follower/removed_while_deaf",
			test_removed_while_deaf);
	g_test_add_func("/follower/lists_are_rare", test_lists_are_rare);
	for (i = 0; i < G_N_ELEMENTS(versions_cases); i++)
		g_test_add_data_func(versions_cases[i].path, &versions_cases[i],
				     test_versions);
	g_test_add_func("/follower/deleted_and_written",
			test_deleted_and_written);
	return g_test_run();
}
