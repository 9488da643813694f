/* Implements cqctl workspaces, workers, endpoints and members. */
#include <string.h>

#include "programs/cqctl/call.h"
#include "programs/cqctl/output.h"

#define MAX_COLUMNS 9

struct list {
	const char *command;
	const char *path;  /* HTTP path */
	const char *array; /* JSON field that holds the rows */
	/* Ends with a NULL title if not full. */
	struct cqctl_column columns[MAX_COLUMNS];
};

static int run_list(struct cqctl *ctl);
static const struct list *find_list(const char *command);

static const struct list lists[] = {
	{ "workspaces",
	  "/v1/workspaces",
	  "workspaces",
	  { { "WORKSPACE", "name", CQCTL_COLUMN_TEXT },
	    { "WEIGHT", "weight", CQCTL_COLUMN_NUMBER },
	    { "GUARANTEED", "guaranteed_accelerators", CQCTL_COLUMN_NUMBER },
	    { "USED", "used_accelerators", CQCTL_COLUMN_NUMBER },
	    { "BORROWED", "borrowed_accelerators", CQCTL_COLUMN_NUMBER },
	    { "RECLAIMABLE", "reclaimable_accelerators", CQCTL_COLUMN_NUMBER },
	    { "RUNNING", "running_jobs", CQCTL_COLUMN_NUMBER },
	    { "WAITING", "waiting_jobs", CQCTL_COLUMN_NUMBER } } },
	{ "workers",
	  "/v1/workers",
	  "workers",
	  { { "WORKER", "id", CQCTL_COLUMN_TEXT },
	    { "DATA CENTRE", "data_centre", CQCTL_COLUMN_TEXT },
	    { "ADDRESS", "address", CQCTL_COLUMN_TEXT },
	    { "RACK", "rack", CQCTL_COLUMN_TEXT },
	    { "STATE", "state", CQCTL_COLUMN_TEXT },
	    { "ACCEL", "accelerators", CQCTL_COLUMN_NUMBER },
	    { "TASKS", "live_tasks", CQCTL_COLUMN_NUMBER },
	    { "SILENT FOR", "silent_ms", CQCTL_COLUMN_DURATION_MS } } },
	{ "endpoints",
	  "/v1/endpoints",
	  "endpoints",
	  { { "ENDPOINT", "id", CQCTL_COLUMN_TEXT },
	    { "DATA CENTRE", "data_centre", CQCTL_COLUMN_TEXT },
	    { "ADDRESS", "address", CQCTL_COLUMN_TEXT },
	    { "STATE", "state", CQCTL_COLUMN_TEXT },
	    { "SLOTS", "slots", CQCTL_COLUMN_NUMBER },
	    { "SHARE", "share", CQCTL_COLUMN_NUMBER },
	    { "IN USE", "in_use", CQCTL_COLUMN_NUMBER },
	    { "CONNECTIONS", "connections", CQCTL_COLUMN_NUMBER } } },
	{ "members",
	  "/v1/members",
	  "members",
	  { { "MEMBER", "id", CQCTL_COLUMN_TEXT },
	    { "ROLE", "role", CQCTL_COLUMN_TEXT },
	    { "DATA CENTRE", "data_centre", CQCTL_COLUMN_TEXT },
	    { "STATE", "state", CQCTL_COLUMN_TEXT },
	    { "SETTINGS", "settings_revision", CQCTL_COLUMN_NUMBER },
	    { "EPOCH", "owner_epoch", CQCTL_COLUMN_NUMBER },
	    { "OPERATORS AT", "operator_address", CQCTL_COLUMN_TEXT },
	    { "SINCE", "since_ms", CQCTL_COLUMN_DURATION_MS } } },
};

const struct cqctl_command cqctl_list_commands[] = {
	{ "workspaces", NULL, "",
	  "Shows accelerators guaranteed, used, borrowed and reclaimable.",
	  NULL, 0, 0, run_list },
	{ "workers", NULL, "", "Lists the workers of all data centres.", NULL,
	  0, 0, run_list },
	{ "endpoints", NULL, "", "Lists the endpoints of the entry host.", NULL,
	  0, 0, run_list },
	{ "members", NULL, "", "Lists the daemons of the deployment.", NULL, 0,
	  0, run_list },
	{ NULL, NULL, NULL, NULL, NULL, 0, 0, NULL },
};

static const struct list *find_list(const char *command)
{
	size_t i = 0;

	while (i + 1 < G_N_ELEMENTS(lists) && strcmp(lists[i].command, command))
		i++;
	return &lists[i];
}

static int run_list(struct cqctl *ctl)
{
	const struct list *list = find_list(ctl->command->group);
	struct cqctl_response response;
	char *what;
	size_t count = 0;
	int result;

	while (count < MAX_COLUMNS && list->columns[count].title)
		count++;
	what = g_strdup_printf("list the %s", list->command);
	cqctl_call(ctl, "GET", list->path, NULL, &response);
	result = cqctl_response_check(ctl, &response, what);
	if (result == CQCTL_OK) {
		if (ctl->format == CQCTL_JSON)
			cqctl_print_json(response.body);
		else
			cqctl_print_table(ctl,
					  json_object_get(response.body,
							  list->array),
					  list->columns, count);
		result = cqctl_check_freshness(ctl, response.body);
	}
	cqctl_response_clear(&response);
	g_free(what);
	return result;
}
