#include <glib.h>
#include <string.h>

#include "chestnutquay/run_history.h"

/* Adds ends number from to to - 1 of workspace w and class c. */
static void add(struct cq_run_history *history, uint32_t from, uint32_t to)
{
	uint32_t i;

	for (i = from; i < to; i++) {
		struct cq_ended_run end = { 1000 + i, -1, 10 * (int64_t)i };

		cq_run_history_add(history, "w", "c", &end);
	}
}

static char *text_of(const struct cq_run_history *history)
{
	return cq_run_history_format(history, "me", 1,
				     CQ_RUN_HISTORY_MAX_BYTES);
}

static void merge(struct cq_run_history *into, const char *text)
{
	struct cq_error err = CQ_ERROR_INIT;

	g_assert_true(cq_run_history_merge(into, text, strlen(text), NULL, NULL,
					   NULL, NULL, &err));
}

/* Guards against merges that lose the newest ends or count some twice. */
static void test_merge(void)
{
	static const struct {
		uint32_t from, to, other_from, other_to;
	} cases[] = {
		{ 0, 5, 5, 10 },   { 0, 10, 5, 12 },  { 5, 10, 0, 5 },
		{ 0, 16, 16, 20 }, { 10, 40, 0, 30 }, { 0, 0, 0, 20 },
		{ 0, 20, 0, 20 },
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_run_history *a = cq_run_history_create();
		struct cq_run_history *b = cq_run_history_create();
		struct cq_run_history *all = cq_run_history_create();
		char *text_a, *text_b, *expected, *both, *again, *back;

		add(a, cases[i].from, cases[i].to);
		add(b, cases[i].other_from, cases[i].other_to);
		add(all, cases[i].other_from, cases[i].other_to);
		add(all, cases[i].from, cases[i].to);
		text_a = text_of(a);
		text_b = text_of(b);
		expected = text_of(all);
		merge(a, text_b);
		merge(b, text_a);
		both = text_of(a);
		back = text_of(b);
		merge(a, text_b);
		again = text_of(a);
		g_assert_cmpstr(both, ==, expected);
		g_assert_cmpstr(back, ==, expected);
		g_assert_cmpstr(again, ==, expected);
		g_free(text_a);
		g_free(text_b);
		g_free(expected);
		g_free(both);
		g_free(back);
		g_free(again);
		cq_run_history_destroy(a);
		cq_run_history_destroy(b);
		cq_run_history_destroy(all);
	}
}

/*
 * Guards against a value that the store refuses, and against losing new ends
 * for old ones when there is no room.
 */
static void test_bound(void)
{
	struct cq_run_history *history = cq_run_history_create();
	struct cq_run_history *copy = cq_run_history_create();
	struct cq_ended_run end = { 0, 99999999, 99999999 };
	char *text;
	uint32_t i, k;

	/* Ten times the workspaces of the target, and three classes. */
	for (i = 0; i < 4100 * 3; i++)
		for (k = 0; k < CQ_RUN_HISTORY_MAX_RUNS; k++) {
			char workspace[16], class_name[16];

			g_snprintf(workspace, sizeof(workspace), "space-%04u",
				   i / 3);
			g_snprintf(class_name, sizeof(class_name), "class-%u",
				   i % 3);
			end.ended_unix_ms =
				INT64_C(1800000000000) + 100 * i + k;
			cq_run_history_add(history, workspace, class_name,
					   &end);
		}
	text = text_of(history);
	g_assert_cmpuint(strlen(text), <=, CQ_RUN_HISTORY_MAX_BYTES);
	g_assert_nonnull(strstr(text, "space-4099"));
	g_assert_null(strstr(text, "space-0000"));
	/* The target itself, 410 workspaces, fits. */
	merge(copy, text);
	g_assert_cmpuint(cq_run_history_count(copy), >=, 410 * 3);
	g_free(text);
	cq_run_history_destroy(history);
	cq_run_history_destroy(copy);
}

/* Guards against names that break the text. */
static void test_names(void)
{
	static const char *const names[] = { "a\"b", "back\\slash", "a b",
					     "]],[", "\xc3\xa9" };
	struct cq_run_history *history = cq_run_history_create();
	struct cq_run_history *copy = cq_run_history_create();
	struct cq_ended_run end = { 1, -1, 5 };
	char *text, *again;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(names); i++)
		cq_run_history_add(history, names[i], names[0], &end);
	text = text_of(history);
	merge(copy, text);
	again = text_of(copy);
	g_assert_cmpuint(cq_run_history_count(copy), ==, G_N_ELEMENTS(names));
	g_assert_cmpstr(again, ==, text);
	g_free(text);
	g_free(again);
	cq_run_history_destroy(history);
	cq_run_history_destroy(copy);
}

/* Guards against a faulty text that is taken in part. */
static void test_invalid(void)
{
	static const char *const texts[] = {
		"",
		"{",
		"[]",
		"{\"runs\":[]}",
		"{\"writer\":\"a\"}",
		"{\"writer\":\"a\",\"runs\":{}}",
		"{\"writer\":\"a\",\"runs\":[[\"w\",\"c\",[[1,2,3]]],7]}",
		"{\"writer\":\"a\",\"runs\":[[\"w\",\"c\",[[1,2,3],[1,2]]]]}",
		"{\"writer\":\"a\",\"runs\":[[\"w\",\"c\",[[1,2,-3]]]]}",
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct cq_run_history *history = cq_run_history_create();
		struct cq_error err = CQ_ERROR_INIT;

		g_assert_false(cq_run_history_merge(history, texts[i],
						    strlen(texts[i]), NULL,
						    NULL, NULL, NULL, &err));
		g_assert_cmpint(err.code, ==, CQ_ERR_INVALID);
		g_assert_cmpuint(cq_run_history_count(history), ==, 0);
		cq_run_history_destroy(history);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/run_history/merge", test_merge);
	g_test_add_func("/run_history/bound", test_bound);
	g_test_add_func("/run_history/names", test_names);
	g_test_add_func("/run_history/invalid", test_invalid);
	return g_test_run();
}
