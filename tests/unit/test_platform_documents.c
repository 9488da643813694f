/*
 * Parsing of the platform's documents. Guards against fields that are lost,
 * and against malformed documents that are accepted or rejected without an
 * error: one bad entry must not affect the others.
 */
#include <glib.h>
#include <string.h>

#include "platform/documents.h"
#include "platform/settings.h"

#define MANY_QUEUES 4600

static const char settings_json[] =
	"{\"nodeName\":\"front-a-1\",\"zone\":\"a\",\"extra\":[1],"
	"\"listen\":{\"front\":\"10.1.0.19:8521\",\"ready\":\"10.1.0.19:8523\"},"
	"\"bounds\":{\"graceS\":6.5,\"holdMaxMs\":9000,\"stopTimeoutMs\":\"x\","
	"\"status_s\":120},"
	"\"limits\":{\"memoryMb\":160,\"maxFds\":\"4100\"},"
	"\"heartbeatMs\":1500,\"advisor\":\"10.2.0.1:1\","
	"\"platform\":{\"address\":\"10.200.1.7:8524\",\"writesPerS\":300},"
	"\"cloud\":{\"address\":\"10.200.0.1:2\"}}";

static void test_settings(void)
{
	struct cq_platform_settings s;

	g_assert_true(cq_platform_settings_parse(
		settings_json, strlen(settings_json), &s, NULL));
	g_assert_cmpstr(s.host, ==, "front-a-1");
	g_assert_cmpstr(s.data_centre, ==, "a");
	g_assert_cmpstr(s.front_address, ==, "10.1.0.19:8521");
	g_assert_cmpstr(s.store_address, ==, "10.200.1.7:8524");
	g_assert_cmpuint(s.store_writes_per_s, ==, 300);
	g_assert_cmpuint(s.store_reads_per_s, ==, 2000);
	g_assert_cmpuint(s.stop_grace_ms, ==, 6500);
	g_assert_cmpuint(s.max_lease_ms, ==, 9000);
	g_assert_cmpuint(s.ended_state_ms, ==, 120000);
	/* A field of the wrong type takes its default. */
	g_assert_cmpuint(s.run_stop_ms, ==, 900);
	g_assert_cmpuint(s.memory_mb, ==, 160);
	g_assert_cmpuint(s.max_descriptors, ==, 4096);
	cq_platform_settings_clear(&s);
}

static void test_bad_settings(void)
{
	static const struct {
		const char *json, *message;
	} cases[] = {
		{ "{", "settings: not a JSON object: " },
		{ "[]", "settings: not a JSON object: " },
		{ "{\"zone\":\"a\"}", "settings: field \"nodeName\" is" },
		{ "{\"nodeName\":\"a\",\"zone\":3}",
		  "settings: field \"zone\" is" },
		{ "{\"nodeName\":\"a\",\"zone\":\"b\"}",
		  "settings: field \"front\" is" },
		{ "{\"nodeName\":\"a\",\"zone\":\"b\",\"listen\":"
		  "{\"front\":\"10.1.0.19:8521000000000000000000000\"}}",
		  "settings: field \"front\" is" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_platform_settings s;
		struct cq_error err = CQ_ERROR_INIT;

		g_assert_false(cq_platform_settings_parse(
			cases[i].json, strlen(cases[i].json), &s, &err));
		g_assert_true(g_str_has_prefix(err.message, cases[i].message));
	}
}

static const char config_json[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"h.example\",\"prefix\":\"/a/\","
	"\"service\":\"s\",\"priority\":1,\"maxAttempts\":2,\"stretch\":3.0,"
	"\"targetRuntimeMs\":1000,\"timeoutMs\":3000,\"kind\":\"x\"},"
	"{\"name\":\"r2\",\"host\":\"h.example\",\"prefix\":\"/a/b/\","
	"\"service\":\"s\",\"allowAnonymous\":true,"
	"\"advisor\":{\"decisionMs\":1,\"periodMs\":2,\"validityMs\":3000}}],"
	"\"services\":[{\"name\":\"s\",\"standby\":true}],"
	"\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k1\",5,\"k2\"],"
	"\"guaranteed\":{\"gpus\":72}}]}";

static void test_config(void)
{
	struct cq_queue_config *c = cq_platform_config_parse(
		config_json, strlen(config_json), NULL);
	const struct cq_queue *queue;

	g_assert_nonnull(c);
	g_assert_cmpint(c->version, ==, 7);
	/* The longest prefix wins; the port is not compared with the host. */
	queue = cq_queue_config_match(c, "H.example:80", "/a/b/0123");
	g_assert_cmpstr(queue->name, ==, "r2");
	g_assert_true(queue->allow_anonymous);
	g_assert_true(queue->advised);
	g_assert_cmpuint(queue->advice_validity_ms, ==, 3000);
	queue = cq_queue_config_match(c, "h.example", "/a/c");
	g_assert_cmpstr(queue->name, ==, "r1");
	g_assert_cmpfloat(queue->stretch, ==, 3.0);
	g_assert_null(cq_queue_config_match(c, "h.example", "/b/"));
	g_assert_null(cq_queue_config_match(c, "other.example", "/a/"));
	g_assert_cmpstr(cq_queue_config_workspace_of_key(c, "k2")->name, ==,
			"t");
	g_assert_null(cq_queue_config_workspace_of_key(c, "k3"));
	g_assert_cmpuint(
		cq_queue_config_workspace(c, "t")->guaranteed_accelerators, ==,
		72);
	g_assert_true(c->services[0].standby);
	cq_queue_config_destroy(c);
}

/*
 * Guards against a queue that is not found, or another one of its name, where a
 * configuration has as many routes as an operator may write.
 */
static void test_many_queues(void)
{
	GString *json = g_string_new("{\"version\":1,\"routes\":[");
	struct cq_queue_config *c;
	uint32_t i;

	for (i = 0; i < MANY_QUEUES; i++)
		g_string_append_printf(json, "{\"name\":\"r%u\"},", i);
	g_string_append(json, "{\"name\":\"r7\",\"priority\":9}]}");
	c = cq_platform_config_parse(json->str, json->len, NULL);
	g_assert_cmpuint(c->queue_count, ==, MANY_QUEUES + 1);
	for (i = 0; i < MANY_QUEUES; i++) {
		char *name = g_strdup_printf("r%u", i);
		const struct cq_queue *queue = cq_queue_config_find(c, name);

		g_assert_cmpstr(queue->name, ==, name);
		g_assert_cmpuint(queue->priority, ==, 0);
		g_free(name);
	}
	g_assert_null(cq_queue_config_find(c, "r"));
	cq_queue_config_destroy(c);
	g_string_free(json, TRUE);
}

static void test_bad_configs(void)
{
	static const char *const bad[] = {
		"",
		"{}",
		"{\"version\":\"7\",\"routes\":[]}",
		"{\"version\":7,\"routes\":{}}",
		"{\"version\":7,\"routes\":[{}]}",
		"{\"version\":7,\"routes\":[{\"name\":5}]}",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct cq_error err = CQ_ERROR_INIT;

		g_assert_null(
			cq_platform_config_parse(bad[i], strlen(bad[i]), &err));
		g_assert_cmpint(err.code, ==, CQ_ERR_INVALID);
	}
}

static const char listing_json[] =
	"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\","
	"\"version\":\"v1\",\"slots\":8,\"state\":\"draining\","
	"\"coldRemainingMs\":40,\"remainingMs\":1500,\"born\":1700000000123,"
	"\"capacity\":{\"cpu\":16000,\"memMb\":32768,\"gpus\":8},"
	"\"labels\":[\"a\",\"r1-3\",7],\"clockMs\":5,\"seq\":4}";

static void test_listing(void)
{
	struct cq_executor_registration l;

	g_assert_true(cq_platform_registration_parse(
		"i-1", listing_json, strlen(listing_json), &l, NULL));
	g_assert_cmpstr(l.id, ==, "i-1");
	g_assert_cmpint(l.state, ==, CQ_REGISTRATION_DRAINING);
	g_assert_cmpstr(l.rack, ==, "r1-3");
	g_assert_cmpuint(l.label_count, ==, 2);
	g_assert_cmpuint(l.accelerators, ==, 8);
	g_assert_cmpuint(l.remaining_ms, ==, 1500);
	g_assert_cmpint(l.started_unix_ms, ==, 1700000000123);
	cq_executor_registration_clear(&l);
}

static bool is_refused_listing(const char *json)
{
	struct cq_executor_registration l;
	bool refused = !cq_platform_registration_parse("i", json, strlen(json),
						       &l, NULL);

	cq_executor_registration_clear(&l);
	return refused;
}

/* Guards against a registration without a valid required field. */
static void test_bad_listings(void)
{
	static const char *const fields[] = { "service", "address", "zone",
					      "state", "capacity" };
	size_t i;

	g_assert_true(is_refused_listing("\xff\xfe"));
	g_assert_true(is_refused_listing("[]"));
	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		char *quoted = g_strdup_printf("\"%s\":", fields[i]);
		char **parts = g_strsplit(listing_json, quoted, 2);
		char *missing =
			g_strdup_printf("%s\"odd\":%s", parts[0], parts[1]);
		char *other = g_strdup_printf("%s\"%s\":null,\"odd\":%s",
					      parts[0], fields[i], parts[1]);

		g_assert_true(is_refused_listing(missing));
		g_assert_true(is_refused_listing(other));
		g_free(missing);
		g_free(other);
		g_strfreev(parts);
		g_free(quoted);
	}
}

/* Text that opens and closes depth arrays. */
static char *nested_arrays(guint depth)
{
	char *text = g_malloc(2 * depth + 1);

	memset(text, '[', depth);
	memset(text + depth, ']', depth);
	text[2 * depth] = '\0';
	return text;
}

/* listing_json with the text of a field's value replaced. */
static char *replace_text(const char *old_text, const char *new_text)
{
	char **parts = g_strsplit(listing_json, old_text, 2);
	char *json;

	g_assert_nonnull(parts[1]);
	json = g_strconcat(parts[0], new_text, parts[1], NULL);
	g_strfreev(parts);
	return json;
}

/*
 * Guards against an entry of another writer that is taken for a worker: one
 * that no connection can reach, or whose room exceeds what the sums of a rack
 * can hold.
 */
static void test_odd_listings(void)
{
	static const struct {
		const char *name, *old_text, *new_text;
	} cases[] = {
		{ "port 0", "10.0.0.9:80", "10.0.0.9:0" },
		{ "port out of range", "10.0.0.9:80", "10.0.0.9:70000" },
		{ "negative port", "10.0.0.9:80", "10.0.0.9:-80" },
		{ "no port", "10.0.0.9:80", "10.0.0.9" },
		{ "name in place of the IP", "10.0.0.9:80", "worker-9:80" },
		{ "path", "10.0.0.9:80", "10.0.0.9:80/x" },
		{ "user", "10.0.0.9:80", "a@10.0.0.9:80" },
		{ "number beyond 64 bits", "\"gpus\":8",
		  "\"gpus\":99999999999999999999" },
		{ "real beyond the range", "\"gpus\":8", "\"gpus\":1e400" },
		{ "number beyond 32 bits", "\"gpus\":8",
		  "\"gpus\":4294967296" },
		{ "negative number", "\"gpus\":8", "\"gpus\":-1" },
		{ "more accelerators than a host has", "\"gpus\":8",
		  "\"gpus\":4294967295" },
		{ "more processors than a host has", "\"cpu\":16000",
		  "\"cpu\":4294967295" },
		{ "more memory than a host has", "\"memMb\":32768",
		  "\"memMb\":4294967295" },
		{ "negative start", "\"born\":1700000000123", "\"born\":-5" },
		{ "start beyond any time", "\"born\":1700000000123",
		  "\"born\":9007199254740993" },
		{ "start that is not whole", "\"born\":1700000000123",
		  "\"born\":1.5" },
	};
	char *deep = nested_arrays(100000);
	size_t i;

	g_assert_true(is_refused_listing(deep));
	g_free(deep);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *json = replace_text(cases[i].old_text, cases[i].new_text);

		g_test_message("%s", cases[i].name);
		g_assert_true(is_refused_listing(json));
		g_free(json);
	}
}

/* Guards against an id that adds a header to the calls to the worker. */
static void test_odd_ids(void)
{
	static const struct {
		const char *id;
		bool taken;
	} cases[] = {
		{ "i-1", true },
		{ "\xc3\xa4 b", true },
		{ "i\r\nConnection: close", false },
		{ "i\x7f", false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_executor_registration l;

		g_assert_true(cq_platform_registration_parse(
				      cases[i].id, listing_json,
				      strlen(listing_json), &l,
				      NULL) == cases[i].taken);
		cq_executor_registration_clear(&l);
	}
}

/* Guards against losing an entry for a nested field that is not read. */
static void test_nested_unknown_field(void)
{
	char *deep = nested_arrays(1000);
	char *field = g_strdup_printf("\"clockMs\":%s", deep);
	char *json = replace_text("\"clockMs\":5", field);
	struct cq_executor_registration l;

	g_assert_true(cq_platform_registration_parse("i", json, strlen(json),
						     &l, NULL));
	cq_executor_registration_clear(&l);
	g_free(json);
	g_free(field);
	g_free(deep);
}

static const char submission_json[] =
	"{\"spec\":\"text\",\"maxRuns\":4,\"firstRunMs\":1700000000000,"
	"\"intervalMs\":500,\"steps\":[{\"count\":4,\"cpu\":500,"
	"\"memMb\":256,\"estimatedMs\":900,\"dataRack\":\"r1-3\"},"
	"{\"count\":2,\"gpus\":8,\"gang\":true,\"sameRack\":true,"
	"\"after\":[0],\"checkpointing\":true,\"fillCount\":true,"
	"\"maxPerServer\":1,\"unknown\":{}}]}";

static void test_submission(void)
{
	struct cq_workload *w = cq_platform_submission_parse(
		submission_json, strlen(submission_json), NULL);

	g_assert_nonnull(w);
	g_assert_cmpstr(w->spec, ==, "text");
	g_assert_cmpuint(w->occurrences, ==, 4);
	g_assert_cmpint(w->first_run_ms, ==, 1700000000000);
	g_assert_cmpint(w->interval_ms, ==, 500);
	g_assert_cmpuint(w->step_count, ==, 2);
	g_assert_cmpuint(w->steps[0].tasks, ==, 4);
	g_assert_cmpstr(w->steps[0].data_rack, ==, "r1-3");
	g_assert_cmpuint(w->steps[1].after, ==, 1);
	g_assert_true(w->steps[1].gang && w->steps[1].same_rack);
	g_assert_true(w->steps[1].checkpointing && w->steps[1].fills);
	g_assert_cmpuint(w->steps[1].max_per_worker, ==, 1);
	cq_workload_destroy(w);
}

/* Guards against due times at the end of 64 bits that change when read. */
static void test_late_due_time(void)
{
	static const char json[] = "{\"steps\":[],\"maxRuns\":2,"
				   "\"firstRunMs\":9223372036854775807,"
				   "\"intervalMs\":9223372036854775807}";
	struct cq_workload *w =
		cq_platform_submission_parse(json, strlen(json), NULL);

	g_assert_nonnull(w);
	g_assert_cmpint(w->first_run_ms, ==, INT64_MAX);
	g_assert_cmpint(w->interval_ms, ==, INT64_MAX);
	cq_workload_destroy(w);
}

static void test_bad_submissions(void)
{
	static const char *const bad[] = {
		"",
		"[]",
		"{\"steps\":[{\"count\":-1}]}",
		"{\"steps\":[{\"count\":\"4\"}]}",
		"{\"steps\":[{\"count\":1,\"after\":[99]}]}",
		"{\"steps\":[{\"count\":1,\"image\":7}]}",
		"{\"steps\":[],\"maxRuns\":-4}",
		"{\"steps\":[],\"maxRuns\":4294967296}",
		"{\"steps\":[],\"maxRuns\":1e300}",
		"{\"steps\":[],\"maxRuns\":1,\"firstRunMs\":-1}",
		"{\"steps\":[],\"maxRuns\":1,\"firstRunMs\":1e300}",
		"{\"steps\":[],\"maxRuns\":1,\"firstRunMs\":9223372036854775808}",
		"{\"steps\":[],\"maxRuns\":1,\"firstRunMs\":\"5\"}",
		"{\"steps\":[],\"maxRuns\":2,\"intervalMs\":-1}",
		"{\"steps\":[],\"maxRuns\":2,\"intervalMs\":1e19}",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct cq_error err = CQ_ERROR_INIT;

		g_assert_null(cq_platform_submission_parse(
			bad[i], strlen(bad[i]), &err));
		g_assert_cmpint(err.code, ==, CQ_ERR_INVALID);
		g_assert_cmpstr(err.message, !=, "");
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform/settings", test_settings);
	g_test_add_func("/platform/bad_settings", test_bad_settings);
	g_test_add_func("/platform/config", test_config);
	g_test_add_func("/platform/many_queues", test_many_queues);
	g_test_add_func("/platform/bad_configs", test_bad_configs);
	g_test_add_func("/platform/listing", test_listing);
	g_test_add_func("/platform/bad_listings", test_bad_listings);
	g_test_add_func("/platform/listing/odd", test_odd_listings);
	g_test_add_func("/platform/listing/odd_ids", test_odd_ids);
	g_test_add_func("/platform/listing/nested", test_nested_unknown_field);
	g_test_add_func("/platform/submission", test_submission);
	g_test_add_func("/platform/late_due_time", test_late_due_time);
	g_test_add_func("/platform/bad_submissions", test_bad_submissions);
	return g_test_run();
}
