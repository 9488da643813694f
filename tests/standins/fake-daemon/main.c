/*
 * Daemon for tests of the operator interface. It uses the real daemon runtime,
 * cluster membership and operator calls, and returns fixed answers for jobs,
 * workspaces, workers and endpoints, which cq-schedd and cq-entryd serve in a
 * real deployment.
 *
 * The job ids "stale" (a stale record), "moved" (status 421) and "broken" (a
 * body that is not JSON) have answers of their own. With --partial, lists are
 * stale or lack the entries of some data centres.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "programs/common/cluster.h"
#include "programs/common/operator_calls.h"

#define JOB                                                            \
	"{\"id\":\"j1\",\"workspace\":\"red\",\"class\":\"pairing\","  \
	"\"state\":\"waiting\",\"data_centre\":\"surat\",\"tasks\":2," \
	"\"accelerators\":4,\"attempt\":1,"                            \
	"\"submitted_unix_ms\":1780000000000,\"started_unix_ms\":-1"
#define TASKS                                                             \
	"[{\"task_id\":\"j1.1.0\",\"worker\":\"w1\",\"state\":\"held\"}," \
	"{\"task_id\":\"j1.1.1\",\"worker\":\"w2\",\"state\":\"held\"}]"

struct fixed_answer {
	const char *method;
	const char *path;
	uint32_t status;
	const char *body;
};

static const struct fixed_answer answers[] = {
	{ "GET", "/v1/jobs/j1", 200, JOB ",\"stale\":false}" },
	{ "GET", "/v1/jobs/stale", 200,
	  JOB ",\"stale\":true,\"age_ms\":12000}" },
	{ "GET", "/v1/jobs/moved", 421,
	  "{\"error\":{\"code\":\"not_owner\",\"message\":\"the owner is "
	  "\\\"b/schedd\\\"\"}}" },
	{ "GET", "/v1/jobs/broken", 200, "{\"id\":" },
	{ "GET", "/v1/jobs/j1/explain", 200,
	  JOB ",\"explanation\":\"waits for 4 accelerators on one rack\","
	      "\"gang\":\"holding\",\"expected_start_unix_ms\":1780000060000,"
	      "\"task_list\":" TASKS "}" },
	{ "DELETE", "/v1/jobs/j1", 202, JOB ",\"cancel\":true}" },
	{ "GET", "/v1/workspaces", 200,
	  "{\"workspaces\":[{\"name\":\"red\",\"weight\":2,"
	  "\"guaranteed_accelerators\":16,\"used_accelerators\":20,"
	  "\"borrowed_accelerators\":4,\"reclaimable_accelerators\":8,"
	  "\"running_jobs\":3,\"waiting_jobs\":1}]}" },
	{ "GET", "/v1/workers", 200,
	  "{\"workers\":[{\"id\":\"w1\",\"data_centre\":\"surat\","
	  "\"address\":\"127.0.23.31:1\","
	  "\"state\":\"up\",\"rack\":3,\"accelerators\":8,\"live_tasks\":2,"
	  "\"silent_ms\":1200}]}" },
	{ "GET", "/v1/endpoints", 200,
	  "{\"endpoints\":[{\"id\":\"e1\",\"data_centre\":\"surat\","
	  "\"address\":\"127.0.23.41:1\",\"state\":\"live\",\"slots\":8,"
	  "\"share\":3,\"in_use\":2,\"connections\":7}]}" },
};

struct fake_daemon {
	struct cq_daemon *daemon;
	bool partial;
};

static void answer_fixed(void *ctx, struct cq_operator_exchange *exchange)
{
	const char *method = cq_operator_exchange_method(exchange);
	const char *path = cq_operator_exchange_path(exchange);
	size_t i;

	(void)ctx;
	for (i = 0; i < sizeof(answers) / sizeof(*answers); i++)
		if (!strcmp(answers[i].method, method) &&
		    !strcmp(answers[i].path, path)) {
			cq_operator_exchange_respond_json(
				exchange, answers[i].status, answers[i].body);
			return;
		}
	cq_daemon_respond_error(exchange, 404, "not_found",
				"there is no job of this id");
}

static void list_jobs(void *ctx, struct cq_operator_exchange *exchange)
{
	const struct fake_daemon *fake = ctx;
	const char *state = cq_operator_exchange_query(exchange, "state");

	if (strcmp(cq_operator_exchange_path(exchange), "/v1/jobs") != 0)
		answer_fixed(ctx, exchange);
	else if (state && strcmp(state, "waiting") != 0)
		cq_operator_exchange_respond_json(exchange, 200,
						  "{\"jobs\":[]}");
	else if (fake->partial && state)
		/* The list as it is when the owner of one data centre did not
		 * answer. */
		cq_operator_exchange_respond_json(
			exchange, 200,
			"{\"jobs\":[" JOB "}," JOB
			",\"stale\":true,\"age_ms\":90000}],"
			"\"stale\":true,\"missing\":[]}");
	else if (fake->partial)
		cq_operator_exchange_respond_json(
			exchange, 200,
			"{\"jobs\":[" JOB
			"}],\"missing\":[\"rajkot\",\"vadodara\"]}");
	else
		cq_operator_exchange_respond_json(exchange, 200,
						  "{\"jobs\":[" JOB "}],"
						  "\"total\":2}");
}

static void submit_job(void *ctx, struct cq_operator_exchange *exchange)
{
	const char *key =
		cq_operator_exchange_header(exchange, "Idempotency-Key");
	json_t *job =
		json_loads(cq_operator_exchange_body(exchange, NULL), 0, NULL);
	bool ok = json_is_integer(json_object_get(job, "accelerators")) &&
		  json_object_get(job, "workspace");
	char *text;
	json_t *body;

	(void)ctx;
	json_decref(job);
	if (!ok) {
		cq_daemon_respond_error(
			exchange, 400, "invalid",
			"accelerators: a missing value is not allowed "
			"(0 to 64)");
		return;
	}
	body = json_pack("{s:s,s:s}", "id", key, "state", "waiting");
	text = json_dumps(body, 0);
	cq_operator_exchange_respond_json(exchange, 202, text);
	free(text);
	json_decref(body);
}

int main(int argc, char **argv)
{
	static const struct cq_setting settings[] = {
		{ "partial", NULL, CQ_SETTING_FLAG, "false", 0, 0,
		  "return partial lists" },
		{ "schedd", NULL, CQ_SETTING_FLAG, "false", 0, 0,
		  "run in the role of cq-schedd" },
	};
	static const char *const lists[] = { "/v1/workspaces", "/v1/workers",
					     "/v1/endpoints" };
	struct cq_operator_calls *calls;
	struct fake_daemon fake = { 0 };
	struct cq_cluster *cluster;
	int exit_code = 0;
	size_t i;

	fake.daemon = cq_daemon_create("cq-fake-daemon",
				       "Daemon for tests of the operator "
				       "interface.",
				       settings, 2, argc, argv, &exit_code);
	if (!fake.daemon)
		return exit_code;
	fake.partial = cq_config_flag(cq_daemon_config(fake.daemon), "partial");
	cluster = cq_cluster_create(
		fake.daemon,
		cq_config_flag(cq_daemon_config(fake.daemon), "schedd")
			? CQ_ROLE_SCHEDD
			: CQ_ROLE_ENTRYD);
	calls = cq_operator_calls_create(cluster);
	cq_daemon_add_route(fake.daemon, "GET", "/v1/jobs", list_jobs, &fake);
	cq_daemon_add_route(fake.daemon, "POST", "/v1/jobs", submit_job, &fake);
	cq_daemon_add_route(fake.daemon, "DELETE", "/v1/jobs", answer_fixed,
			    &fake);
	for (i = 0; i < sizeof(lists) / sizeof(*lists); i++)
		cq_daemon_add_route(fake.daemon, "GET", lists[i], answer_fixed,
				    &fake);
	exit_code = cq_daemon_run(fake.daemon);
	cq_operator_calls_destroy(calls);
	cq_cluster_destroy(cluster);
	cq_daemon_destroy(fake.daemon);
	return exit_code;
}
