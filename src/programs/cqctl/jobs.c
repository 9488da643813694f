/* Implements cqctl jobs submit, list, show, explain and cancel. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "programs/cqctl/call.h"
#include "programs/cqctl/edit.h"
#include "programs/cqctl/output.h"

static json_t *read_job(const struct cqctl *ctl);
static int run_submit(struct cqctl *ctl);
static int run_list(struct cqctl *ctl);
static int run_show(struct cqctl *ctl);
static int run_explain(struct cqctl *ctl);
static int run_cancel(struct cqctl *ctl);
static int call_job(struct cqctl *ctl, const char *method, const char *suffix,
		    const char *verb, struct cqctl_response *response);
static void note_truncated_list(const struct cqctl *ctl, const json_t *body);
static void append_query(GString *path, const char *name, const char *value);
static void print_fields(const json_t *object);
static void print_explanation(const struct cqctl *ctl, const json_t *body);

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

static int call_job(struct cqctl *ctl, const char *method, const char *suffix,
		    const char *verb, struct cqctl_response *response)
{
	const char *id = cqctl_argument(ctl, 0);
	char *encoded = cqctl_encode(id, false);
	char *path = g_strdup_printf("/v1/jobs/%s%s", encoded, suffix);
	char *what = g_strdup_printf("%s job %s", verb, id);
	int result;

	cqctl_call(ctl, method, path, NULL, response);
	result = cqctl_response_check(ctl, response, what);
	g_free(what);
	g_free(path);
	g_free(encoded);
	return result;
}

/* Reads the job file and adds fields from options that it does not set. */
static json_t *read_job(const struct cqctl *ctl)
{
	static const char *const names[] = { "workspace", "class" };
	const char *path = cqctl_argument(ctl, 0);
	char *text = cqctl_read_file(ctl, path);
	json_error_t error;
	json_t *job;
	size_t i;

	if (!text)
		return NULL;
	job = json_loads(text, JSON_REJECT_DUPLICATES, &error);
	g_free(text);
	if (!json_is_object(job)) {
		cqctl_error(ctl, "%s is not a JSON object: line %d: %s", path,
			    job ? 1 : error.line,
			    job ? "another kind of value" : error.text);
		json_decref(job);
		return NULL;
	}
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		const char *value = cqctl_option_get(ctl, names[i]);

		if (value && !json_object_get(job, names[i]))
			json_object_set_new(job, names[i], json_string(value));
	}
	return job;
}

/*
 * Without --key, a random idempotency key is generated, so that the submission
 * can be retried safely after a lost response.
 */
static int run_submit(struct cqctl *ctl)
{
	const char *given = cqctl_option_get(ctl, "key");
	struct cqctl_response response;
	json_t *job = read_job(ctl);
	char *header;
	char *body;
	char *key;
	int result;

	if (!job)
		return CQCTL_USAGE;
	key = given ? g_strdup(given) : g_uuid_string_random();
	header = g_strdup_printf("Idempotency-Key: %s", key);
	body = json_dumps(job, JSON_COMPACT);
	json_decref(job);
	cqctl_call_with_header(ctl, "POST", "/v1/jobs", header, body,
			       &response);
	free(body);
	result = cqctl_response_check(ctl, &response, "submit the job");
	if (result == CQCTL_PARTIAL)
		cqctl_hint(ctl,
			   "submitting again with --key %s runs the job "
			   "at most once",
			   key);
	if (result == CQCTL_OK && ctl->format == CQCTL_JSON)
		cqctl_print_json(response.body);
	else if (result == CQCTL_OK)
		printf("job %s accepted\n",
		       json_string_value(json_object_get(response.body, "id")));
	cqctl_response_clear(&response);
	g_free(header);
	g_free(key);
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

static void note_truncated_list(const struct cqctl *ctl, const json_t *body)
{
	json_int_t total = json_integer_value(json_object_get(body, "total"));
	size_t shown = json_array_size(json_object_get(body, "jobs"));

	if (total > (json_int_t)shown)
		cqctl_note(ctl,
			   "%zu of %" JSON_INTEGER_FORMAT
			   " jobs are shown; see --limit and the filters",
			   shown, total);
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
	struct cqctl_response response;
	int result;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++)
		if (cqctl_option_get(ctl, names[i][0]))
			append_query(path, names[i][1],
				     cqctl_option_get(ctl, names[i][0]));
	cqctl_call(ctl, "GET", path->str, NULL, &response);
	result = cqctl_response_check(ctl, &response, "list the jobs");
	if (result == CQCTL_OK) {
		if (ctl->format == CQCTL_JSON)
			cqctl_print_json(response.body);
		else
			cqctl_print_table(
				ctl, json_object_get(response.body, "jobs"),
				columns, G_N_ELEMENTS(columns));
		note_truncated_list(ctl, response.body);
		result = cqctl_check_freshness(ctl, response.body);
	}
	cqctl_response_clear(&response);
	g_string_free(path, TRUE);
	return result;
}

/* Prints one field per line, formatted by its unit; nested values as JSON. */
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
			text = cqctl_format_cell(object, &column);
			printf("%-24s %s\n", name, text);
			g_free(text);
		}
	}
}

static int run_show(struct cqctl *ctl)
{
	struct cqctl_response response;
	int result = call_job(ctl, "GET", "", "show", &response);

	if (result == CQCTL_OK) {
		if (ctl->format == CQCTL_JSON)
			cqctl_print_json(response.body);
		else
			print_fields(response.body);
		result = cqctl_check_freshness(ctl, response.body);
	}
	cqctl_response_clear(&response);
	return result;
}

static void print_explanation(const struct cqctl *ctl, const json_t *body)
{
	static const struct cqctl_column facts[] = {
		{ "job", "id", CQCTL_COLUMN_TEXT },
		{ "state", "state", CQCTL_COLUMN_TEXT },
		{ "why", "explanation", CQCTL_COLUMN_TEXT },
		{ "last reason", "reason", CQCTL_COLUMN_TEXT },
		{ "data centre", "data_centre", CQCTL_COLUMN_TEXT },
		{ "gang", "gang", CQCTL_COLUMN_TEXT },
		{ "attempt", "attempt", CQCTL_COLUMN_NUMBER },
		{ "expected start", "expected_start_unix_ms",
		  CQCTL_COLUMN_UNIX_MS },
		{ "expected end", "expected_end_unix_ms",
		  CQCTL_COLUMN_UNIX_MS },
	};
	static const struct cqctl_column columns[] = {
		{ "TASK", "task_id", CQCTL_COLUMN_TEXT },
		{ "WORKER", "worker", CQCTL_COLUMN_TEXT },
		{ "STATE", "state", CQCTL_COLUMN_TEXT },
	};
	json_t *tasks = json_object_get(body, "task_list");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(facts); i++) {
		char *text = cqctl_format_cell(body, &facts[i]);

		if (strcmp(text, "-"))
			printf("%-16s %s\n", facts[i].title, text);
		g_free(text);
	}
	if (json_array_size(tasks)) {
		putchar('\n');
		cqctl_print_table(ctl, tasks, columns, G_N_ELEMENTS(columns));
	}
}

static int run_explain(struct cqctl *ctl)
{
	struct cqctl_response response;
	int result = call_job(ctl, "GET", "/explain", "explain", &response);

	if (result == CQCTL_OK) {
		if (ctl->format == CQCTL_JSON)
			cqctl_print_json(response.body);
		else
			print_explanation(ctl, response.body);
		result = cqctl_check_freshness(ctl, response.body);
	}
	cqctl_response_clear(&response);
	return result;
}

static int run_cancel(struct cqctl *ctl)
{
	struct cqctl_response response;
	int result = call_job(ctl, "DELETE", "", "cancel", &response);

	if (result == CQCTL_OK && ctl->format == CQCTL_JSON)
		cqctl_print_json(response.body);
	else if (result == CQCTL_OK)
		printf("job %s is being cancelled\n", cqctl_argument(ctl, 0));
	cqctl_response_clear(&response);
	return result;
}
