/* cqctl jobs submit|list|show|explain|cancel. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "programs/cqctl/call.h"
#include "programs/cqctl/edit.h"
#include "programs/cqctl/output.h"

static int run_submit(struct cqctl *ctl);
static int run_list(struct cqctl *ctl);
static int run_show(struct cqctl *ctl);
static int run_explain(struct cqctl *ctl);
static int run_cancel(struct cqctl *ctl);
static int job_call(struct cqctl *ctl, const char *method, const char *suffix,
		    const char *verb, struct cqctl_answer *answer);
static void append_query(GString *path, const char *name, const char *value);
static void print_fields(const json_t *object);
static void print_reasons(const struct cqctl *ctl, const json_t *body);

static const struct cqctl_option list_options[] = {
	{ "workspace", "NAME", "only jobs of this workspace" },
	{ "state", "STATE", "only jobs in this state" },
	{ "class", "NAME", "only jobs of this class" },
	{ "data-centre", "NAME", "only jobs of this data centre" },
	{ "limit", "N", "at most this many" },
	{ NULL, NULL, NULL },
};

static const struct cqctl_option submit_options[] = {
	{ "workspace", "NAME", "workspace, unless the file names it" },
	{ "class", "NAME", "class, unless the file names it" },
	{ "key", "KEY",
	  "idempotency key; the same key submits the job only once" },
	{ NULL, NULL, NULL },
};

const struct cqctl_command cqctl_jobs_commands[] = {
	{ "jobs", "submit", "FILE", "Submits a job described in JSON.",
	  submit_options, 1, 1, run_submit },
	{ "jobs", "list", "", "Lists jobs.", list_options, 0, 0, run_list },
	{ "jobs", "show", "ID", "Shows a job's record.", NULL, 1, 1, run_show },
	{ "jobs", "explain", "ID",
	  "Shows why a job is where it is and what it waits for.", NULL, 1, 1,
	  run_explain },
	{ "jobs", "cancel", "ID", "Cancels a job.", NULL, 1, 1, run_cancel },
	{ NULL, NULL, NULL, NULL, NULL, 0, 0, NULL },
};

static int job_call(struct cqctl *ctl, const char *method, const char *suffix,
		    const char *verb, struct cqctl_answer *answer)
{
	const char *id = cqctl_argument(ctl, 0);
	char *encoded = cqctl_encode(id, false);
	char *path = g_strdup_printf("/v1/jobs/%s%s", encoded, suffix);
	char *what = g_strdup_printf("%s job %s", verb, id);
	int result;

	cqctl_call(ctl, method, path, NULL, answer);
	result = cqctl_answer_check(ctl, answer, what);
	g_free(what);
	g_free(path);
	g_free(encoded);
	return result;
}

static int run_submit(struct cqctl *ctl)
{
	static const char *const fields[][2] = {
		{ "workspace", "workspace" },
		{ "class", "class" },
		{ "key", "idempotency_key" },
	};
	char *text = cqctl_read_file(ctl, cqctl_argument(ctl, 0));
	struct cqctl_answer answer;
	json_error_t error;
	json_t *job;
	char *body;
	size_t i;
	int result;

	if (!text)
		return CQCTL_USAGE;
	job = json_loads(text, JSON_REJECT_DUPLICATES, &error);
	g_free(text);
	if (!json_is_object(job)) {
		cqctl_error(ctl, "%s is not a JSON object: line %d: %s",
			    cqctl_argument(ctl, 0), error.line, error.text);
		json_decref(job);
		return CQCTL_USAGE;
	}
	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		const char *value = cqctl_option_get(ctl, fields[i][0]);

		if (value && !json_object_get(job, fields[i][1]))
			json_object_set_new(job, fields[i][1],
					    json_string(value));
	}
	body = json_dumps(job, JSON_COMPACT);
	json_decref(job);
	cqctl_call(ctl, "POST", "/v1/jobs", body, &answer);
	free(body);
	result = cqctl_answer_check(ctl, &answer, "submit the job");
	if (result == CQCTL_OK && ctl->format == CQCTL_JSON)
		cqctl_print_json(answer.body);
	else if (result == CQCTL_OK)
		printf("job %s accepted\n",
		       json_string_value(json_object_get(answer.body, "id")));
	cqctl_answer_clear(&answer);
	return result;
}

static void append_query(GString *path, const char *name, const char *value)
{
	char *encoded = cqctl_encode(value, false);

	g_string_append_printf(path, "%c%s=%s",
			       strchr(path->str, '?') ? '&' : '?', name,
			       encoded);
	g_free(encoded);
}

static int run_list(struct cqctl *ctl)
{
	static const struct cqctl_column columns[] = {
		{ "ID", "id", CQCTL_COLUMN_TEXT },
		{ "WORKSPACE", "workspace", CQCTL_COLUMN_TEXT },
		{ "CLASS", "class", CQCTL_COLUMN_TEXT },
		{ "STATE", "state", CQCTL_COLUMN_TEXT },
		{ "DATA CENTRE", "data_centre", CQCTL_COLUMN_TEXT },
		{ "TASKS", "tasks", CQCTL_COLUMN_NUMBER },
		{ "ACCEL", "accelerators", CQCTL_COLUMN_NUMBER },
		{ "ATTEMPT", "attempt", CQCTL_COLUMN_NUMBER },
		{ "SUBMITTED", "submitted_unix_ms", CQCTL_COLUMN_UNIX_MS },
	};
	static const char *const names[][2] = {
		{ "workspace", "workspace" },
		{ "state", "state" },
		{ "class", "class" },
		{ "limit", "limit" },
		{ "data-centre", "data_centre" },
	};
	GString *path = g_string_new("/v1/jobs");
	struct cqctl_answer answer;
	int result;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++)
		if (cqctl_option_get(ctl, names[i][0]))
			append_query(path, names[i][1],
				     cqctl_option_get(ctl, names[i][0]));
	cqctl_call(ctl, "GET", path->str, NULL, &answer);
	result = cqctl_answer_check(ctl, &answer, "list the jobs");
	if (result == CQCTL_OK) {
		if (ctl->format == CQCTL_JSON)
			cqctl_print_json(answer.body);
		else
			cqctl_print_table(ctl,
					  json_object_get(answer.body, "jobs"),
					  columns, G_N_ELEMENTS(columns));
		result = cqctl_check_freshness(ctl, answer.body);
	}
	cqctl_answer_clear(&answer);
	g_string_free(path, TRUE);
	return result;
}

/* One line a field; times in a readable form, nested values as JSON. */
static void print_fields(const json_t *object)
{
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)object, name, value)
	{
		struct cqctl_column column = { "", name, CQCTL_COLUMN_TEXT };
		char *text;

		if (g_str_has_suffix(name, "_unix_ms"))
			column.kind = CQCTL_COLUMN_UNIX_MS;
		else if (g_str_has_suffix(name, "_ms"))
			column.kind = CQCTL_COLUMN_DURATION_MS;
		else if (g_str_has_suffix(name, "_bytes"))
			column.kind = CQCTL_COLUMN_BYTES;
		if (json_is_object(value) || json_is_array(value)) {
			text = json_dumps(value, JSON_SORT_KEYS);
			printf("%-24s %s\n", name, text);
			free(text);
		} else {
			text = cqctl_cell(object, &column);
			printf("%-24s %s\n", name, text);
			g_free(text);
		}
	}
}

static int run_show(struct cqctl *ctl)
{
	struct cqctl_answer answer;
	int result = job_call(ctl, "GET", "", "show", &answer);

	if (result == CQCTL_OK) {
		if (ctl->format == CQCTL_JSON)
			cqctl_print_json(answer.body);
		else
			print_fields(answer.body);
		result = cqctl_check_freshness(ctl, answer.body);
	}
	cqctl_answer_clear(&answer);
	return result;
}

static void print_reasons(const struct cqctl *ctl, const json_t *body)
{
	static const struct cqctl_column columns[] = {
		{ "TIME", "unix_ms", CQCTL_COLUMN_UNIX_MS },
		{ "DECISION", "decision", CQCTL_COLUMN_TEXT },
		{ "REASON", "reason", CQCTL_COLUMN_TEXT },
	};
	json_t *decisions = json_object_get(body, "decisions");
	static const char *const names[] = { "id", "state", "reason",
					     "expected_start_unix_ms" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		struct cqctl_column column = { "", names[i],
					       CQCTL_COLUMN_TEXT };
		char *text;

		if (!json_object_get(body, names[i]))
			continue;
		if (g_str_has_suffix(names[i], "_unix_ms"))
			column.kind = CQCTL_COLUMN_UNIX_MS;
		text = cqctl_cell(body, &column);
		printf("%-24s %s\n", names[i], text);
		g_free(text);
	}
	if (json_array_size(decisions)) {
		putchar('\n');
		cqctl_print_table(ctl, decisions, columns,
				  G_N_ELEMENTS(columns));
	}
}

static int run_explain(struct cqctl *ctl)
{
	struct cqctl_answer answer;
	int result = job_call(ctl, "GET", "/explain", "explain", &answer);

	if (result == CQCTL_OK) {
		if (ctl->format == CQCTL_JSON)
			cqctl_print_json(answer.body);
		else
			print_reasons(ctl, answer.body);
		result = cqctl_check_freshness(ctl, answer.body);
	}
	cqctl_answer_clear(&answer);
	return result;
}

static int run_cancel(struct cqctl *ctl)
{
	struct cqctl_answer answer;
	int result = job_call(ctl, "DELETE", "", "cancel", &answer);

	if (result == CQCTL_OK && ctl->format == CQCTL_JSON)
		cqctl_print_json(answer.body);
	else if (result == CQCTL_OK)
		printf("job %s is being cancelled\n", cqctl_argument(ctl, 0));
	cqctl_answer_clear(&answer);
	return result;
}
