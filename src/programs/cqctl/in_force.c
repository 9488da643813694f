#include "programs/cqctl/in_force.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/clock.h"
#include "programs/cqctl/call.h"
#include "programs/cqctl/output.h"

#define POLL_INTERVAL_US 50000

/* How far a settings revision has been applied by the daemons. */
struct settings_progress {
	int64_t acknowledged; /* daemons that have applied the revision */
	int64_t known;	      /* live daemons */
	bool in_force;
	char *missing;	    /* live daemons that have not, comma-separated */
	char *out_of_reach; /* daemons that are not live, comma-separated */
};

static int64_t now_ns(void);
static char *join_names(const json_t *body, const char *name);
static void read_progress(struct settings_progress *progress,
			  const json_t *body);
static void clear_progress(struct settings_progress *progress);
static int wait_in_force(const struct cqctl *ctl, int64_t revision,
			 int64_t deadline_ns,
			 struct settings_progress *progress);
static int report_result(const struct cqctl *ctl, const char *key,
			 int64_t revision,
			 const struct settings_progress *progress,
			 int64_t took_ns, int result);

static int64_t now_ns(void)
{
	return cq_clock_now_ns(cq_clock_system());
}

static char *join_names(const json_t *body, const char *name)
{
	struct cqctl_column column = { "", name, CQCTL_COLUMN_LIST };

	if (!json_array_size(json_object_get(body, name)))
		return NULL;
	return cqctl_format_cell(body, &column);
}

static void read_progress(struct settings_progress *progress,
			  const json_t *body)
{
	clear_progress(progress);
	progress->acknowledged =
		json_integer_value(json_object_get(body, "acknowledged"));
	progress->known = json_integer_value(json_object_get(body, "known"));
	progress->in_force = json_is_true(json_object_get(body, "in_force"));
	progress->missing = join_names(body, "missing");
	progress->out_of_reach = join_names(body, "out_of_reach");
}

static void clear_progress(struct settings_progress *progress)
{
	g_free(progress->missing);
	g_free(progress->out_of_reach);
	memset(progress, 0, sizeof(*progress));
}

/*
 * Polls until the revision is in force or the deadline has passed. A failed
 * poll is retried, because the change itself is already accepted.
 */
static int wait_in_force(const struct cqctl *ctl, int64_t revision,
			 int64_t deadline_ns,
			 struct settings_progress *progress)
{
	char *path = g_strdup_printf("/v1/settings-in-force?revision=%" PRId64,
				     revision);
	struct cqctl_response response;

	for (;;) {
		cqctl_call(ctl, "GET", path, NULL, &response);
		if (response.status == 200 && response.body)
			read_progress(progress, response.body);
		cqctl_response_clear(&response);
		if (progress->in_force || now_ns() >= deadline_ns)
			break;
		g_usleep(POLL_INTERVAL_US);
	}
	g_free(path);
	return progress->in_force ? CQCTL_OK : CQCTL_PARTIAL;
}

static int report_result(const struct cqctl *ctl, const char *key,
			 int64_t revision,
			 const struct settings_progress *progress,
			 int64_t took_ns, int result)
{
	bool waits = !cqctl_option_get(ctl, "no-wait");
	double seconds = (double)took_ns / 1e9;

	if (ctl->format == CQCTL_JSON) {
		json_t *body = json_pack("{s:s,s:I,s:I,s:I,s:b}", "key", key,
					 "revision", (json_int_t)revision,
					 "acknowledged",
					 (json_int_t)progress->acknowledged,
					 "known", (json_int_t)progress->known,
					 "in_force", (int)progress->in_force);

		if (waits)
			json_object_set_new(body, "took_s", json_real(seconds));
		cqctl_print_json(body);
		json_decref(body);
	} else if (!waits) {
		printf("%s: revision %" PRId64 " accepted\n", key, revision);
	} else if (result == CQCTL_OK) {
		printf("%s: revision %" PRId64 " in force on %" PRId64
		       " of %" PRId64 " daemons after %.2f s\n",
		       key, revision, progress->acknowledged, progress->known,
		       seconds);
	}
	if (result != CQCTL_OK) {
		cqctl_error(ctl,
			    "%s: revision %" PRId64
			    " accepted, but after %.2f s in force on %" PRId64
			    " of %" PRId64 " daemons only; missing: %s",
			    key, revision, seconds, progress->acknowledged,
			    progress->known,
			    progress->missing ? progress->missing : "?");
		cqctl_hint(ctl, "the change stays accepted and spreads by "
				"itself; see cqctl members and cqctl status");
	}
	if (progress->out_of_reach)
		cqctl_note(ctl,
			   "out of reach, will take the change on return: %s",
			   progress->out_of_reach);
	return result;
}

int cqctl_write_settings(const struct cqctl *ctl, const char *key,
			 const json_t *settings, int64_t revision)
{
	char *body = settings ? json_dumps(settings, JSON_COMPACT) : NULL;
	char *encoded = cqctl_encode(key, true);
	char *path = g_strdup_printf("/v1/settings/%s?revision=%" PRId64,
				     encoded, revision);
	struct settings_progress progress = { 0 };
	struct cqctl_response response;
	int64_t start_ns = now_ns();
	int result;

	cqctl_call(ctl, settings ? "PUT" : "DELETE", path, body, &response);
	result = cqctl_response_check(ctl, &response, "make the change");
	if (result == CQCTL_OK) {
		revision = json_integer_value(
			json_object_get(response.body, "revision"));
		read_progress(&progress, response.body);
		if (!cqctl_option_get(ctl, "no-wait"))
			result = wait_in_force(ctl, revision,
					       start_ns + ctl->timeout_ms *
								  CQ_NS_PER_MS,
					       &progress);
		result = report_result(ctl, key, revision, &progress,
				       now_ns() - start_ns, result);
	}
	clear_progress(&progress);
	cqctl_response_clear(&response);
	free(body);
	g_free(encoded);
	g_free(path);
	return result;
}
