/* Submitting, reading and cancelling jobs over HTTP. */
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/jobs.h"
#include "../support/job_calls_world.h"

/* Guards against a refusal with Cq-Run "no" for a job that was stored. */
static void test_submit_table(struct job_calls_world *f, gconstpointer data)
{
	static const struct {
		const char *name;
		const char *body;
		enum job_calls_fault puts, gets;
		uint32_t bad_puts;
		uint32_t status;
		const char *run; /* Cq-Run; NULL if not refused */
		uint32_t stored;
	} cases[] = {
		{ "all well", JOB "}", CALLS_WELL, CALLS_WELL, 0, 202, NULL,
		  1 },
		{ "down", JOB "}", CALLS_DOWN, CALLS_WELL, 1000, 503, "no", 0 },
		{ "down for a while", JOB "}", CALLS_DOWN, CALLS_WELL, 2, 202,
		  NULL, 1 },
		{ "answer lost", JOB "}", CALLS_LOST, CALLS_WELL, 1, 202, NULL,
		  1 },
		{ "answer lost, no read-back", JOB "}", CALLS_LOST, CALLS_DOWN,
		  1000, 503, "unknown", 1 },
		{ "write lost", JOB "}", CALLS_HANG, CALLS_WELL, 1, 202, NULL,
		  1 },
		{ "writes lost", JOB "}", CALLS_HANG, CALLS_WELL, 1000, 503,
		  "unknown", 0 },
		{ "bad field", JOB ",\"tasks\":0}", CALLS_WELL, CALLS_WELL, 0,
		  400, "no", 0 },
		{ "unknown class",
		  "{\"workspace\":\"w\",\"class\":\"x\",\"accelerators\":8,"
		  "\"cpu_millicores\":1,\"memory_bytes\":1}",
		  CALLS_WELL, CALLS_WELL, 0, 400, "no", 0 },
		{ "unknown data centre", JOB ",\"data_centre\":\"z\"}",
		  CALLS_WELL, CALLS_WELL, 0, 400, "no", 0 },
	};
	size_t i;

	(void)data;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_test_message("%s", cases[i].name);
		g_hash_table_remove_all(f->values);
		f->puts = cases[i].puts;
		f->gets = cases[i].gets;
		f->bad_puts = cases[i].bad_puts;
		f->put_count = 0;
		/* Without a key, nothing is read before the write. */
		job_calls_call(f, "POST", "", NULL, "1500", cases[i].body);
		g_assert_cmpuint(f->status, ==, cases[i].status);
		if (cases[i].run)
			g_assert_cmpstr(f->run, ==, cases[i].run);
		if (f->status == 503)
			g_assert_nonnull(f->retry_after);
		g_assert_cmpuint(g_hash_table_size(f->values), ==,
				 cases[i].stored);
	}
}

/* Guards against creating two jobs for one idempotency key. */
static void test_keys(struct job_calls_world *f, gconstpointer data)
{
	char *id;

	(void)data;
	job_calls_send(f, "POST", "", "k", NULL, JOB "}");
	job_calls_send(f, "POST", "", "k", NULL, JOB "}");
	job_calls_wait(f, 2);
	g_assert_cmpuint(f->status, ==, 202);
	g_assert_cmpuint(g_hash_table_size(f->values), ==, 1);
	id = g_strdup(job_calls_text(f, "id"));
	job_calls_call(f, "POST", "", "k", NULL, JOB "}");
	g_assert_cmpstr(job_calls_text(f, "id"), ==, id);
	g_assert_true(json_is_true(json_object_get(f->body, "existing")));
	job_calls_call(f, "POST", "", "k", NULL, JOB ",\"tasks\":2}");
	g_assert_cmpuint(f->status, ==, 409);
	g_assert_cmpstr(f->run, ==, "no");
	job_calls_call(f, "POST", "", "k2", NULL, JOB "}");
	g_assert_cmpstr(job_calls_text(f, "id"), !=, id);
	/* A data centre out of service gets no jobs. */
	g_assert_cmpstr(job_calls_text(f, "data_centre"), ==, "a");
	/* No job is written if the search for the key fails. */
	f->gets = CALLS_DOWN;
	job_calls_call(f, "POST", "", "k3", "300", JOB "}");
	g_assert_cmpuint(f->status, ==, 503);
	g_assert_cmpstr(f->run, ==, "no");
	g_assert_cmpuint(g_hash_table_size(f->values), ==, 2);
	g_free(id);
}

/* Guards against a stale answer that is not marked as stale. */
static void test_show(struct job_calls_world *f, gconstpointer data)
{
	char *path;

	(void)data;
	job_calls_call(f, "POST", "", "k", NULL, JOB "}");
	path = g_strdup_printf("/%s", job_calls_text(f, "id"));
	job_calls_call(f, "GET", path, NULL, NULL, NULL);
	g_assert_cmpuint(f->status, ==, 200);
	g_assert_cmpstr(job_calls_text(f, "state"), ==, "queued");
	g_assert_true(json_is_true(json_object_get(f->body, "stale")));
	g_assert_cmpint(json_integer_value(json_object_get(f->body, "age_ms")),
			>=, 0);
	f->local = "{\"status\":200,\"body\":{\"state\":\"running\"}}";
	job_calls_call(f, "GET", path, NULL, NULL, NULL);
	g_assert_cmpstr(job_calls_text(f, "state"), ==, "running");
	g_assert_true(json_is_false(json_object_get(f->body, "stale")));
	f->local = NULL;
	job_calls_call(f, "GET", "/jnone", NULL, NULL, NULL);
	g_assert_cmpuint(f->status, ==, 404);
	f->gets = CALLS_DOWN;
	job_calls_call(f, "GET", path, NULL, NULL, NULL);
	g_assert_cmpuint(f->status, ==, 503);
	job_calls_call(f, "GET", "/..%2Fx", NULL, NULL, NULL);
	g_assert_cmpuint(f->status, ==, 404);
	g_free(path);
}

#define OWNER_LIST                                                         \
	"{\"status\":200,\"body\":{\"total\":2,\"jobs\":[{\"id\":\"j1\"}," \
	"{\"id\":\"j2\"}]}}"

/*
 * Guards against a list that does not report a data centre without an owner, or
 * that marks an owner's answer as stale. Data centre a has one job in the
 * store; b has no jobs and never an owner.
 */
static void test_list(struct job_calls_world *f, gconstpointer data)
{
	static const struct {
		const char *target;
		char *local; /* answer of the owner of data centre a */
		enum job_calls_fault gets;
		bool stale, age;
		uint32_t jobs, missing;
	} cases[] = {
		{ "?data_centre=a", NULL, CALLS_WELL, true, true, 1, 0 },
		{ "?data_centre=a", OWNER_LIST, CALLS_WELL, false, false, 2,
		  0 },
		{ "", NULL, CALLS_WELL, true, true, 1, 0 },
		/* The empty list of b comes from the store. */
		{ "", OWNER_LIST, CALLS_WELL, true, false, 2, 0 },
		{ "", OWNER_LIST, CALLS_DOWN, false, false, 2, 1 },
		{ "", NULL, CALLS_DOWN, false, false, 0, 2 },
	};
	size_t i;

	(void)data;
	job_calls_call(f, "POST", "", "k", NULL, JOB "}");
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const json_t *age;

		f->local = cases[i].local;
		f->gets = cases[i].gets;
		job_calls_call(f, "GET", cases[i].target, NULL, NULL, NULL);
		g_assert_cmpuint(f->status, ==, 200);
		g_assert_cmpint(json_is_true(json_object_get(f->body, "stale")),
				==, cases[i].stale);
		age = json_object_get(f->body, "age_ms");
		g_assert_cmpint(age != NULL, ==, cases[i].stale);
		g_assert_cmpint(age && json_integer_value(age) >= 0, ==,
				cases[i].age);
		g_assert_cmpuint(
			json_array_size(json_object_get(f->body, "jobs")), ==,
			cases[i].jobs);
		g_assert_cmpuint(
			json_array_size(json_object_get(f->body, "missing")),
			==, cases[i].missing);
	}
	f->local = NULL;
}

/* Guards against accepting a job that, by its owner, can never run. */
static void test_never_fits(struct job_calls_world *f, gconstpointer data)
{
	(void)data;
	f->local = "{\"status\":422,\"message\":\"too large\"}";
	job_calls_call(f, "POST", "", "k", NULL, JOB "}");
	g_assert_cmpuint(f->status, ==, 422);
	g_assert_cmpstr(f->run, ==, "no");
	g_assert_cmpuint(g_hash_table_size(f->values), ==, 0);
}

/* Guards against confirming a cancellation that was not stored. */
static void test_cancel(struct job_calls_world *f, gconstpointer data)
{
	static const struct {
		const char *name;
		enum cq_job_phase phase;
		enum job_calls_fault puts;
		uint32_t bad_puts;
		uint32_t status;
		enum cq_job_phase after;
		bool cancel;
	} cases[] = {
		{ "waiting", CQ_PHASE_QUEUED, CALLS_WELL, 0, 202,
		  CQ_PHASE_CANCELLED, true },
		{ "running", CQ_PHASE_RUNNING, CALLS_WELL, 0, 202,
		  CQ_PHASE_RUNNING, true },
		{ "answer lost", CQ_PHASE_RUNNING, CALLS_LOST, 1, 200,
		  CQ_PHASE_RUNNING, true },
		{ "down for a while", CQ_PHASE_RUNNING, CALLS_DOWN, 2, 202,
		  CQ_PHASE_RUNNING, true },
		{ "down", CQ_PHASE_RUNNING, CALLS_DOWN, 1000, 503,
		  CQ_PHASE_RUNNING, false },
		{ "finished", CQ_PHASE_FINISHED, CALLS_WELL, 0, 200,
		  CQ_PHASE_FINISHED, false },
	};
	size_t i;

	(void)data;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_job_record record;
		const struct job_calls_value *value;
		char *json;

		g_test_message("%s", cases[i].name);
		cq_job_record_parse(JOB ",\"id\":\"j1\"}",
				    strlen(JOB ",\"id\":\"j1\"}"), &record,
				    NULL);
		record.phase = cases[i].phase;
		json = cq_job_record_format(&record);
		g_hash_table_remove_all(f->values);
		job_calls_store_value(f, "jobs/b/j1", json);
		free(json);
		f->puts = cases[i].puts;
		f->bad_puts = cases[i].bad_puts;
		f->put_count = 0;
		job_calls_call(f, "DELETE", "/j1", NULL, "1500", NULL);
		g_assert_cmpuint(f->status, ==, cases[i].status);
		value = g_hash_table_lookup(f->values, "jobs/b/j1");
		cq_job_record_parse(value->text, strlen(value->text), &record,
				    NULL);
		g_assert_cmpint(record.phase, ==, cases[i].after);
		g_assert_cmpint(record.cancel, ==, cases[i].cancel);
	}
}

/*
 * Guards against leaving a call without a response when the host stops, and
 * against accepting calls after that.
 */
static void test_stop(struct job_calls_world *f, gconstpointer data)
{
	ev_timer give_up;

	(void)data;
	f->puts = CALLS_HANG;
	f->bad_puts = 1;
	job_calls_send(f, "POST", "", "k", "8000", JOB "}");
	ev_timer_init(&give_up, job_calls_give_up, GIVE_UP_S, 0.);
	ev_timer_start(f->loop, &give_up);
	while (!f->put_count)
		ev_run(f->loop, EVRUN_ONCE);
	ev_timer_stop(f->loop, &give_up);
	cq_job_calls_stop(f->calls);
	job_calls_wait(f, 1);
	g_assert_cmpuint(f->status, ==, 503);
	g_assert_cmpstr(f->run, ==, "unknown");
	job_calls_call(f, "POST", "", "k2", NULL, JOB "}");
	g_assert_cmpuint(f->status, ==, 503);
	g_assert_cmpstr(f->run, ==, "no");
	g_assert_cmpuint(g_hash_table_size(f->values), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define CALL_TEST(name, fn)                                          \
	g_test_add("/job_calls/" name, struct job_calls_world, NULL, \
		   job_calls_setup, fn, job_calls_teardown)
	CALL_TEST("submit_table", test_submit_table);
	CALL_TEST("keys", test_keys);
	CALL_TEST("show", test_show);
	CALL_TEST("list", test_list);
	CALL_TEST("never_fits", test_never_fits);
	CALL_TEST("cancel", test_cancel);
	CALL_TEST("stop", test_stop);
	return g_test_run();
}
