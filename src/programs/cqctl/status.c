/* Implements cqctl status, which lists current problems and where to look. */
#include <stdio.h>
#include <string.h>

#include "programs/cqctl/call.h"
#include "programs/cqctl/output.h"

static int run_status(struct cqctl *ctl);
static void print_status(const struct cqctl *ctl, const json_t *body);
static void print_problem(const struct cqctl *ctl, const json_t *problem);

const struct cqctl_command cqctl_status_commands[] = {
	{ "status", NULL, "", "Shows what is wrong now and what to look at.",
	  NULL, 0, 0, run_status },
	{ NULL, NULL, NULL, NULL, NULL, 0, 0, NULL },
};

static void print_problem(const struct cqctl *ctl, const json_t *problem)
{
	const char *severity =
		json_string_value(json_object_get(problem, "severity"));
	const char *what = json_string_value(json_object_get(problem, "what"));
	const char *look =
		json_string_value(json_object_get(problem, "look_at"));
	bool bad = severity && !strcmp(severity, "error");

	printf("%s%-8s%s %s\n",
	       cqctl_colour_on(ctl, bad ? CQCTL_RED : CQCTL_YELLOW),
	       severity ? severity : "?", cqctl_colour_off(ctl),
	       what ? what : "?");
	if (look)
		printf("         look at: %s\n", look);
}

static void print_status(const struct cqctl *ctl, const json_t *body)
{
	static const struct cqctl_column columns[] = {
		{ "DATA CENTRE", "name", CQCTL_COLUMN_TEXT },
		{ "STATE", "state", CQCTL_COLUMN_TEXT },
		{ "OWNER", "owner", CQCTL_COLUMN_TEXT },
		{ "LIVE", "members_live", CQCTL_COLUMN_NUMBER },
		{ "OUT OF REACH", "members_out_of_reach", CQCTL_COLUMN_NUMBER },
	};
	static const struct cqctl_column facts[] = {
		{ "answered by", "id", CQCTL_COLUMN_TEXT },
		{ "version", "version", CQCTL_COLUMN_TEXT },
		{ "settings revision", "tree_revision", CQCTL_COLUMN_NUMBER },
		{ "settings source", "settings_state", CQCTL_COLUMN_TEXT },
		{ "daemons live", "members.live", CQCTL_COLUMN_NUMBER },
		{ "daemons out of reach", "members.out_of_reach",
		  CQCTL_COLUMN_NUMBER },
	};
	json_t *problems = json_object_get(body, "problems");
	json_t *problem;
	size_t i;

	if (!json_array_size(problems))
		printf("%sno problem known to this daemon%s\n",
		       cqctl_colour_on(ctl, CQCTL_GREEN),
		       cqctl_colour_off(ctl));
	json_array_foreach(problems, i, problem) print_problem(ctl, problem);
	putchar('\n');
	for (i = 0; i < G_N_ELEMENTS(facts); i++) {
		char *text = cqctl_format_cell(body, &facts[i]);

		printf("%-21s %s\n", facts[i].title, text);
		g_free(text);
	}
	putchar('\n');
	cqctl_print_table(ctl, json_object_get(body, "data_centres"), columns,
			  G_N_ELEMENTS(columns));
}

static int run_status(struct cqctl *ctl)
{
	struct cqctl_response response;
	int result;

	cqctl_call(ctl, "GET", "/v1/status", NULL, &response);
	result = cqctl_response_check(ctl, &response, "read the status");
	if (result == CQCTL_OK) {
		if (ctl->format == CQCTL_JSON)
			cqctl_print_json(response.body);
		else
			print_status(ctl, response.body);
		result = cqctl_check_freshness(ctl, response.body);
	}
	cqctl_response_clear(&response);
	return result;
}
