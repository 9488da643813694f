#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/settings.h"

/*
 * Guards against bad settings being accepted, and against errors that do not
 * name the key, the value and the allowed range.
 */
static void test_refused(void)
{
	static const struct {
		const char *key;
		const char *json;
		const char *parts[3]; /* parts of the error message */
	} cases[] = {
		{ "nonsense", "{}", { "nonsense", "allowed: global" } },
		{ "workspaces/", "{}", { "workspaces/", "1 to 47" } },
		{ "workspaces/A", "{}", { "workspaces/A", "a-z" } },
		{ "workspaces/a/b", "{}", { "workspaces/a/b", "a-z" } },
		{ "data-centres/-x", "{}", { "first a-z" } },
		{ "global", NULL, { "global cannot be removed" } },
		{ "global", "{", { "global: not JSON", "line 1" } },
		{ "global", "[]", { "global: value is []", "an object" } },
		{ "global",
		  "{\"a\":1}",
		  { "global: a is not known",
		    "classes, objectives, fragmentation_weight" } },
		{ "global", "{\"a\":1,\"a\":2}", { "duplicate" } },
		{ "global",
		  "{\"fragmentation_weight\":1.5}",
		  { "fragmentation_weight is 1.5", "number 0 to 1" } },
		{ "global",
		  "{\"fragmentation_weight\":\"x\"}",
		  { "fragmentation_weight is \"x\"", "number 0 to 1" } },
		{ "global",
		  "{\"classes\":[]}",
		  { "classes is []", "array of 1 to 16" } },
		{ "global", "{\"classes\":{}}", { "classes is {}", "array" } },
		{ "global",
		  "{\"classes\":[{\"name\":\"a\",\"rank\":16}]}",
		  { "classes[0].rank is 16", "integer 0 to 15" } },
		{ "global",
		  "{\"classes\":[{\"name\":\"a\",\"weight\":0}]}",
		  { "classes[0].weight is 0", "integer 1 to 1000" } },
		{ "global",
		  "{\"classes\":[{\"rank\":1}]}",
		  { "classes[0].name is missing", "1 to 47" } },
		{ "global",
		  "{\"classes\":[{\"name\":\"a\"},{\"name\":\"a\"}]}",
		  { "classes[1].", "name and rank not used" } },
		{ "global",
		  "{\"classes\":[{\"name\":\"a\",\"rank\":1},"
		  "{\"name\":\"b\",\"rank\":1}]}",
		  { "classes[1].", "name and rank not used" } },
		{ "global",
		  "{\"objectives\":[{\"name\":\"o\",\"class\":\"none\","
		  "\"target_ms\":5}]}",
		  { "objectives[0].class is \"none\"", "name of a class" } },
		{ "global",
		  "{\"objectives\":[{\"name\":\"o\",\"class\":\"default\"}]}",
		  { "objectives[0].target_ms is missing", "integer 1 to" } },
		{ "data-centres/a",
		  "{}",
		  { "data-centres/a: state is missing", "in, out" } },
		{ "data-centres/a",
		  "{\"state\":\"off\"}",
		  { "state is \"off\"", "in, out" } },
		{ "data-centres/a",
		  "{\"state\":\"in\",\"notice_s\":-1}",
		  { "notice_s is -1", "integer 0 to 86400" } },
		{ "data-centres/a",
		  "{\"state\":\"in\",\"notice_s\":1.5}",
		  { "notice_s is 1.5", "integer 0 to 86400" } },
		{ "workspaces/a",
		  "{\"weight\":1001}",
		  { "workspaces/a: weight is 1001", "integer 1 to 1000" } },
		{ "workspaces/a",
		  "{\"limits\":{\"max_jobs\":1}}",
		  { "limits.max_jobs is not known", "max_running_jobs" } },
		{ "workspaces/a",
		  "{\"limits\":{\"max_accelerators\":-5}}",
		  { "limits.max_accelerators is -5", "integer 0 to" } },
		{ "workspaces/a",
		  "{\"limits\":7}",
		  { "limits.value is 7", "an object" } },
		{ "workspaces/a",
		  "{\"guarantees\":[{\"count\":1,\"accelerators\":8,"
		  "\"adjacency\":\"room\"}]}",
		  { "guarantees[0].adjacency is \"room\"",
		    "worker, rack, data_centre" } },
		{ "workspaces/a",
		  "{\"guarantees\":[{\"accelerators\":8,"
		  "\"adjacency\":\"rack\"}]}",
		  { "guarantees[0].count is missing", "integer 1 to" } },
		{ "workspaces/a",
		  "{\"guarantees\":[{\"count\":1,\"accelerators\":0,"
		  "\"adjacency\":\"rack\"}]}",
		  { "guarantees[0].accelerators is 0", "integer 1 to 4096" } },
	};
	struct cq_settings *s = cq_settings_create();
	guint i, k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_error err = CQ_ERROR_INIT;

		g_assert_false(cq_settings_check(s, cases[i].key, cases[i].json,
						 NULL, &err));
		g_assert_cmpint(err.code, ==, CQ_ERR_INVALID);
		for (k = 0; k < 3 && cases[i].parts[k]; k++)
			if (!strstr(err.message, cases[i].parts[k]))
				g_error("\"%s\" lacks \"%s\"", err.message,
					cases[i].parts[k]);
	}
	cq_settings_destroy(s);
}

/* Guards against guarantees that the capacity cannot hold. */
static void test_capacity(void)
{
	/* Data centre a has two racks of two workers, b has one worker. */
	static const struct cq_settings_worker workers[] = {
		{ "a", "r1", 8 }, { "a", "r1", 8 }, { "a", "r2", 8 },
		{ "a", "r2", 4 }, { "b", "r1", 8 },
	};
	static const struct cq_settings_capacity capacity = {
		workers, G_N_ELEMENTS(workers)
	};
	static const struct {
		int32_t count, accelerators;
		const char *adjacency;
		const char *error; /* NULL: accepted */
	} cases[] = {
		{ 4, 8, "worker", NULL },
		{ 5, 8, "worker", "allowed: 0 to 4 shapes of 8" },
		{ 8, 4, "worker", NULL },
		{ 1, 9, "worker", "allowed: 0 to 0 shapes" },
		{ 1, 16, "rack", NULL },
		{ 2, 16, "rack", "allowed: 0 to 1 shapes" },
		{ 1, 28, "data_centre", NULL },
		{ 1, 29, "data_centre", "allowed: 0 to 0 shapes" },
		{ 33, 1, "worker",
		  "guarantees is 33 accelerators, allowed: 0 to 32 (36 in all, "
		  "4 guaranteed to others)" },
		{ 32, 1, "worker", NULL },
	};
	struct cq_settings *s = cq_settings_create();
	char *document = cq_settings_encode(
		"{\"guarantees\":[{\"count\":1,\"accelerators\":4,"
		"\"adjacency\":\"worker\"}]}",
		"op", 1);
	guint i;

	g_assert_true(cq_settings_apply(s, "workspaces/b", document, 5, NULL));
	free(document);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_error err = CQ_ERROR_INIT;
		char *json = g_strdup_printf(
			"{\"guarantees\":[{\"count\":%d,\"accelerators\":%d,"
			"\"adjacency\":\"%s\"}]}",
			cases[i].count, cases[i].accelerators,
			cases[i].adjacency);
		bool ok = cq_settings_check(s, "workspaces/a", json, &capacity,
					    &err);

		g_assert_cmpint(ok, ==, cases[i].error == NULL);
		if (cases[i].error && !strstr(err.message, cases[i].error))
			g_error("\"%s\" lacks \"%s\"", err.message,
				cases[i].error);
		g_free(json);
	}
	cq_settings_destroy(s);
}

/* Guards against values that get lost between the document and the struct. */
static void test_typed(void)
{
	struct cq_settings *s = cq_settings_create();
	const struct cq_settings_global *global;
	const struct cq_settings_workspace *workspace;
	struct cq_error err = CQ_ERROR_INIT;
	char *document;

	global = cq_settings_global(s);
	g_assert_cmpint(global->class_count, ==, 1);
	g_assert_cmpstr(global->classes[0].name, ==, "default");
	document = cq_settings_encode(
		"{\"fragmentation_weight\":0.25,\"classes\":["
		"{\"name\":\"refresh\",\"rank\":2,\"weight\":3},"
		"{\"name\":\"pairing\",\"rank\":0}],\"objectives\":["
		"{\"name\":\"fast\",\"class\":\"pairing\",\"percentile\":99.5,"
		"\"target_ms\":2000,\"window_s\":600}]}",
		"op", 1);
	g_assert_true(cq_settings_apply(s, "global", document, 3, &err));
	g_assert_cmpint(err.code, ==, CQ_OK);
	free(document);
	global = cq_settings_global(s);
	g_assert_cmpfloat(global->fragmentation_weight, ==, 0.25);
	g_assert_cmpint(global->class_count, ==, 2);
	g_assert_cmpstr(global->classes[0].name, ==, "pairing");
	g_assert_cmpint(global->classes[1].rank, ==, 2);
	g_assert_cmpint(global->classes[1].weight, ==, 3);
	g_assert_cmpint(global->objective_count, ==, 1);
	g_assert_cmpfloat(global->objectives[0].percentile, ==, 99.5);
	g_assert_cmpint(global->objectives[0].window_s, ==, 600);

	document = cq_settings_encode(
		"{\"weight\":7,\"guarantees\":[{\"count\":2,"
		"\"accelerators\":16,\"adjacency\":\"rack\"}],"
		"\"limits\":{\"max_waiting_jobs\":50}}",
		"op", 2);
	g_assert_true(
		cq_settings_apply(s, "workspaces/tiles", document, 4, &err));
	free(document);
	workspace = cq_settings_workspace(s, "tiles");
	g_assert_nonnull(workspace);
	g_assert_true(workspace == cq_settings_workspace_at(s, 0));
	g_assert_null(cq_settings_workspace_at(s, 1));
	g_assert_cmpint(workspace->weight, ==, 7);
	g_assert_cmpint(workspace->guarantees[0].count, ==, 2);
	g_assert_cmpint(workspace->guarantees[0].accelerators, ==, 16);
	g_assert_cmpint(workspace->guarantees[0].adjacency, ==,
			CQ_SETTINGS_RACK);
	g_assert_cmpint(workspace->limits.max_waiting_jobs, ==, 50);
	g_assert_cmpint(workspace->limits.max_running_jobs, ==, 0);

	document = cq_settings_encode("{\"state\":\"out\",\"notice_s\":60}",
				      "op", 3);
	g_assert_true(
		cq_settings_apply(s, "data-centres/ambato", document, 5, &err));
	free(document);
	g_assert_cmpint(cq_settings_data_centre(s, "ambato")->state, ==,
			CQ_SETTINGS_DC_OUT);
	g_assert_cmpint(cq_settings_data_centre_at(s, 0)->notice_s, ==, 60);
	g_assert_null(cq_settings_data_centre(s, "surat"));
	cq_settings_destroy(s);
}

/*
 * Guards against an old revision that replaces a newer one, and against an
 * invalid document that takes valid settings out of force.
 */
static void test_apply(void)
{
	static const struct {
		const char *json; /* NULL: removal; "": not an object */
		int64_t revision;
		bool newer, fault;
		int32_t weight; /* weight in force afterwards; 0: none */
	} cases[] = {
		{ "{\"weight\":1}", 10, true, false, 1 },
		{ "{\"weight\":2}", 10, false, false, 1 },
		{ "{\"weight\":3}", 9, false, false, 1 },
		{ "{\"weight\":4}", 11, true, false, 4 },
		{ "{\"weight\":0}", 12, true, true, 4 },
		{ "{\"weight\":5}", 11, false, false, 4 },
		{ "", 13, true, true, 4 },
		{ NULL, 14, true, false, 0 },
		{ "{\"weight\":6}", 13, false, false, 0 },
		{ "{\"weight\":7}", 15, true, false, 7 },
	};
	struct cq_settings *s = cq_settings_create();
	int64_t held;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct cq_settings_workspace *workspace;
		struct cq_error err = CQ_ERROR_INIT;
		char *document =
			cases[i].json && !cases[i].json[0]
				? strdup("[]")
				: cq_settings_encode(cases[i].json, "op", i);

		g_assert_cmpint(cq_settings_apply(s, "workspaces/a", document,
						  cases[i].revision, &err),
				==, cases[i].newer);
		g_assert_cmpint(err.code != CQ_OK, ==, cases[i].fault);
		workspace = cq_settings_workspace(s, "a");
		g_assert_cmpint(workspace ? workspace->weight : 0, ==,
				cases[i].weight);
		if (cases[i].newer)
			g_assert_cmpstr(cq_settings_document(s, "workspaces/a",
							     &held),
					==, document);
		free(document);
	}
	g_assert_cmpint(cq_settings_revision(s), ==, 0);
	cq_settings_advance(s, 15);
	cq_settings_advance(s, 12);
	g_assert_cmpint(cq_settings_revision(s), ==, 15);
	cq_settings_destroy(s);
}

static bool append_visited(void *ctx, const char *key, const char *document,
			   int64_t revision)
{
	GString *text = ctx;

	g_assert_nonnull(document);
	g_string_append_printf(text, "%s@%d ", key, (int)revision);
	return revision < 9;
}

/* Guards against an answer to a peer that leaves out or reorders changes. */
static void test_visit(void)
{
	static const struct {
		int64_t after;
		const char *expected;
	} cases[] = {
		{ 0, "workspaces/a@2 data-centres/x@5 workspaces/b@9 " },
		{ 2, "data-centres/x@5 workspaces/b@9 " },
		{ 5, "workspaces/b@9 " },
		{ 9, "global@11 " },
		{ 11, "" },
	};
	struct cq_settings *s = cq_settings_create();
	char *good = cq_settings_encode("{}", "op", 1);
	char *removal = cq_settings_encode(NULL, "op", 1);
	guint i;

	cq_settings_apply(s, "workspaces/b", good, 3, NULL);
	cq_settings_apply(s, "workspaces/a", good, 2, NULL);
	cq_settings_apply(s, "global", good, 11, NULL);
	/* The document is held for relaying although it is not valid. */
	cq_settings_apply(s, "data-centres/x", good, 5, NULL);
	cq_settings_apply(s, "workspaces/b", removal, 9, NULL);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *text = g_string_new("");

		cq_settings_visit(s, cases[i].after, append_visited, text);
		g_assert_cmpstr(text->str, ==, cases[i].expected);
		g_string_free(text, TRUE);
	}
	free(good);
	free(removal);
	cq_settings_destroy(s);
}

/* Guards against a writer that cannot recognise its own write. */
static void test_document(void)
{
	static const struct {
		const char *document;
		bool has_writer;
		bool has_state;
		enum cq_settings_dc_state state;
	} cases[] = {
		{ "{\"writer\":\"e1\",\"sequence\":7,"
		  "\"settings\":{\"state\":\"in\"}}",
		  true, true, CQ_SETTINGS_DC_IN },
		{ "{\"writer\":\"e1\",\"sequence\":7,"
		  "\"settings\":{\"state\":\"out\",\"notice_s\":5}}",
		  true, true, CQ_SETTINGS_DC_OUT },
		{ "{\"writer\":\"e1\",\"sequence\":7,\"deleted\":true}", true,
		  false, CQ_SETTINGS_DC_OUT },
		{ "{\"settings\":{\"state\":\"maybe\"}}", false, false,
		  CQ_SETTINGS_DC_OUT },
		{ "", false, false, CQ_SETTINGS_DC_OUT },
		{ "[1]", false, false, CQ_SETTINGS_DC_OUT },
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char writer[CQ_SETTINGS_NAME_BYTES];
		uint64_t sequence = 0;
		enum cq_settings_dc_state state = CQ_SETTINGS_DC_OUT;

		g_assert_cmpint(cq_settings_writer(cases[i].document, writer,
						   &sequence),
				==, cases[i].has_writer);
		if (cases[i].has_writer) {
			g_assert_cmpstr(writer, ==, "e1");
			g_assert_cmpuint(sequence, ==, 7);
		}
		g_assert_cmpint(cq_settings_document_dc_state(cases[i].document,
							      &state),
				==, cases[i].has_state);
		g_assert_cmpint(state, ==, cases[i].state);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings/refused", test_refused);
	g_test_add_func("/settings/capacity", test_capacity);
	g_test_add_func("/settings/typed", test_typed);
	g_test_add_func("/settings/apply", test_apply);
	g_test_add_func("/settings/visit", test_visit);
	g_test_add_func("/settings/document", test_document);
	return g_test_run();
}
