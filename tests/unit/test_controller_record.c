/* Tests of the metrics that the job controller records. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/controller_private.h"

#define SUBMITTED_MS INT64_C(1000000)

/*
 * Guards against job start and completion histograms that miss events or count
 * wrong ones.
 */
static void test_phase_histograms(void)
{
	static const struct {
		const char *name;
		enum cq_job_phase before, after;
		uint32_t attempt;
		const char *counted; /* expected metric; NULL: none */
	} cases[] = {
		{ "first start", CQ_PHASE_STARTING, CQ_PHASE_RUNNING, 1,
		  "cq_job_start_seconds_count{class=\"top\"} 1" },
		{ "later start", CQ_PHASE_STARTING, CQ_PHASE_RUNNING, 2, NULL },
		{ "same phase", CQ_PHASE_RUNNING, CQ_PHASE_RUNNING, 1, NULL },
		{ "finished", CQ_PHASE_RUNNING, CQ_PHASE_FINISHED, 2,
		  "cq_job_completion_seconds_count{class=\"top\","
		  "result=\"succeeded\"} 1" },
		{ "failed", CQ_PHASE_QUEUED, CQ_PHASE_FAILED, 3,
		  "cq_job_completion_seconds_count{class=\"top\","
		  "result=\"failed\"} 1" },
		{ "cancelled", CQ_PHASE_RUNNING, CQ_PHASE_CANCELLED, 1, NULL },
		{ "read again after its end", CQ_PHASE_FINISHED,
		  CQ_PHASE_FINISHED, 1, NULL },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_controller c = { 0 };
		struct cq_job_record before = { 0 };
		struct cq_job_record after = { 0 };
		char *text;

		g_test_message("%s", cases[i].name);
		c.options.metrics = cq_metrics_create();
		g_strlcpy(after.class_name, "top", sizeof(after.class_name));
		before.phase = cases[i].before;
		after.phase = cases[i].after;
		after.attempt = cases[i].attempt;
		after.submitted_unix_ms = SUBMITTED_MS;
		after.started_unix_ms = SUBMITTED_MS + 2500;
		after.ended_unix_ms = SUBMITTED_MS + 60000;
		cq_controller_observe_phase_change(&c, &before, &after);
		text = cq_metrics_format(c.options.metrics);
		if (cases[i].counted)
			g_assert_nonnull(strstr(text, cases[i].counted));
		else
			g_assert_cmpstr(text, ==, "");
		if (cases[i].after == CQ_PHASE_RUNNING && cases[i].counted)
			g_assert_nonnull(strstr(text, "_sum{class=\"top\"} "
						      "2.5"));
		free(text);
		cq_metrics_destroy(c.options.metrics);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/controller_record/phase_histograms",
			test_phase_histograms);
	return g_test_run();
}
