/* Fuzzes the lists of runs in a worker's answer. */
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "platform/run_lists.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	json_t *root = json_loadb((const char *)data, size, 0, NULL);
	struct cq_executor_report report = { 0 };
	struct run_lists *lists = run_lists_read(root, &report);
	size_t i;

	for (i = 0; i < report.running_count; i++)
		g_assert_true(*report.running[i].task && report.running[i].run);
	for (i = 0; i < report.ended_count; i++)
		g_assert_true(*report.ended[i].task && report.ended[i].run);
	/* What may be acknowledged is numbered and rises. */
	g_assert_true(report.ended_in_order <= report.ended_count);
	for (i = 0; i < report.ended_in_order; i++)
		g_assert_true(report.ended[i].number >
			      (i ? report.ended[i - 1].number : 0));
	/* Nothing is left out without a word. */
	g_assert_true(report.odd_rows ||
		      (!report.running_unreadable && !report.ended_unreadable));
	g_assert_true(strlen(report.odd_row) < 200);
	run_lists_free(lists);
	json_decref(root);
	return 0;
}
