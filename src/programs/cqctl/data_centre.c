/* Implements cqctl data-centre list, out and in. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "programs/cqctl/call.h"
#include "programs/cqctl/edit.h"
#include "programs/cqctl/in_force.h"
#include "programs/cqctl/output.h"

static int run_list(struct cqctl *ctl);
static int run_set_state(struct cqctl *ctl);
static bool apply_notice_option(const struct cqctl *ctl, json_t *settings);

static const struct cqctl_option out_options[] = {
	{ "notice-s", "N",
	  "seconds that running tasks get to checkpoint and stop" },
	{ "create", NULL, "declare a data centre that has no settings yet" },
	{ "no-wait", NULL, "return when accepted, not when in force" },
	{ NULL, NULL, NULL },
};

static const struct cqctl_option in_options[] = {
	{ "create", NULL, "declare a data centre that has no settings yet" },
	{ "no-wait", NULL, "return when accepted, not when in force" },
	{ NULL, NULL, NULL },
};

const struct cqctl_command cqctl_data_centre_commands[] = {
	{ "data-centre", "list", "",
	  "Lists data centres, their state and who has it in force.", NULL, 0,
	  0, run_list },
	{ "data-centre", "out", "DATA-CENTRE",
	  "Takes a data centre out of service.", out_options, 1, 1,
	  run_set_state },
	{ "data-centre", "in", "DATA-CENTRE",
	  "Returns a data centre to service.", in_options, 1, 1,
	  run_set_state },
	{ NULL, NULL, NULL, NULL, NULL, 0, 0, NULL },
};

static int run_list(struct cqctl *ctl)
{
	static const struct cqctl_column columns[] = {
		{ "DATA CENTRE", "name", CQCTL_COLUMN_TEXT },
		{ "STATE", "state", CQCTL_COLUMN_TEXT },
		{ "REVISION", "revision", CQCTL_COLUMN_NUMBER },
		{ "OWNER", "owner", CQCTL_COLUMN_TEXT },
		{ "LIVE", "members_live", CQCTL_COLUMN_NUMBER },
		{ "IN FORCE ON", "members_in_force", CQCTL_COLUMN_NUMBER },
		{ "OUT OF REACH", "members_out_of_reach", CQCTL_COLUMN_NUMBER },
	};
	struct cqctl_response response;
	int result;

	cqctl_call(ctl, "GET", "/v1/data-centres", NULL, &response);
	result = cqctl_response_check(ctl, &response, "list the data centres");
	if (result == CQCTL_OK) {
		if (ctl->format == CQCTL_JSON)
			cqctl_print_json(response.body);
		else
			cqctl_print_table(ctl,
					  json_object_get(response.body,
							  "data_centres"),
					  columns, G_N_ELEMENTS(columns));
		result = cqctl_check_freshness(ctl, response.body);
	}
	cqctl_response_clear(&response);
	return result;
}

static bool apply_notice_option(const struct cqctl *ctl, json_t *settings)
{
	const char *text = cqctl_option_get(ctl, "notice-s");
	long long notice_s;
	char *end;

	if (!text)
		return true;
	errno = 0;
	notice_s = strtoll(text, &end, 10);
	if (errno || end == text || *end || notice_s < 0) {
		cqctl_error(ctl,
			    "--notice-s: \"%s\" is not a number of seconds",
			    text);
		return false;
	}
	json_object_set_new(settings, "notice_s", json_integer(notice_s));
	return true;
}

static int run_set_state(struct cqctl *ctl)
{
	const char *name = cqctl_argument(ctl, 0);
	const char *state = ctl->command->name;
	char *key = g_strdup_printf("data-centres/%s", name);
	struct cqctl_subtree subtree;
	json_t *settings = NULL;
	int result = cqctl_subtree_read(ctl, key, &subtree);

	if (result == CQCTL_OK && !subtree.body &&
	    !cqctl_option_get(ctl, "create")) {
		cqctl_error(ctl, "there is no data centre %s", name);
		cqctl_hint(ctl, "cqctl data-centre list shows the names; "
				"--create declares a new one");
		result = CQCTL_NOT_FOUND;
	}
	if (result == CQCTL_OK) {
		settings = subtree.settings ? json_deep_copy(subtree.settings)
					    : json_object();
		json_object_set_new(settings, "state", json_string(state));
		result = apply_notice_option(ctl, settings)
				 ? cqctl_write_settings(ctl, key, settings,
							subtree.revision)
				 : CQCTL_USAGE;
	}
	json_decref(settings);
	cqctl_subtree_clear(&subtree);
	g_free(key);
	return result;
}
