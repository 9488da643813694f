/* Members, data centres and what is wrong now. */
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "programs/common/operator_calls_private.h"

/* A live member may be this far behind before it counts as a problem. */
#define BEHIND_NS (17 * CQ_NS_PER_S)
/* Members named in one problem; the rest is counted. */
#define NAMED 4

struct data_centre {
	const char *name; /* owned by the settings or a member */
	const struct cq_settings_data_centre *settings; /* may be NULL */
	uint32_t live;
	uint32_t out_of_reach;
	uint32_t in_force;
	const char *owner;
	int64_t owner_epoch;
	bool has_schedd;
};

static json_t *member_json(const struct cq_member *member, int64_t now_ns);
static struct data_centre *find_data_centre(GArray *list, const char *name);
static GArray *collect_data_centres(const struct cq_operator_calls *calls);
static void count_member(struct data_centre *dc,
			 const struct cq_settings *settings,
			 const struct cq_member *member);
static json_t *data_centre_json(const struct cq_operator_calls *calls,
				const struct data_centre *dc);
static const char *state_of(const struct data_centre *dc);
static void settings_problems(const struct cq_operator_calls *calls,
			      json_t *problems);
static void member_problems(const struct cq_operator_calls *calls,
			    json_t *problems);
static void data_centre_problems(const struct cq_operator_calls *calls,
				 json_t *problems);

const char *cq_operator_severity_string(enum cq_operator_severity severity)
{
	return severity == CQ_OPERATOR_ERROR ? "error" : "warning";
}

void cq_operator_problem(json_t *problems, enum cq_operator_severity severity,
			 const char *look_at, const char *fmt, ...)
{
	va_list args;
	char *what;

	va_start(args, fmt);
	what = g_strdup_vprintf(fmt, args);
	va_end(args);
	json_array_append_new(problems,
			      json_pack("{s:s,s:s,s:s}", "severity",
					cq_operator_severity_string(severity),
					"what", what, "look_at", look_at));
	g_free(what);
}

static json_t *member_json(const struct cq_member *member, int64_t now_ns)
{
	return json_pack(
		"{s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:i,s:I,s:I,s:I}", "id",
		member->id, "role", cq_member_role_string(member->role),
		"data_centre", member->data_centre, "address", member->address,
		"operator_address", member->operator_address, "state",
		cq_member_state_string(member->state), "incarnation",
		(json_int_t)member->incarnation, "index", (int)member->index,
		"settings_revision", (json_int_t)member->settings_revision,
		"owner_epoch", (json_int_t)member->owner_epoch, "since_ms",
		(json_int_t)((now_ns - member->since_ns) / CQ_NS_PER_MS));
}

void cq_operator_get_members(void *ctx, struct cq_operator_exchange *exchange)
{
	struct cq_operator_calls *calls = ctx;
	struct cq_membership *membership =
		cq_cluster_membership(calls->cluster);
	int64_t now_ns = cq_clock_now_ns(cq_daemon_clock(calls->daemon));
	json_t *list = json_array();
	json_t *body;
	uint32_t i;

	for (i = 0; i < cq_membership_count(membership); i++)
		json_array_append_new(
			list,
			member_json(cq_membership_get(membership, i), now_ns));
	body = json_pack("{s:s,s:o}", "seen_by", cq_daemon_id(calls->daemon),
			 "members", list);
	cq_operator_add_freshness(calls, body);
	cq_operator_respond(exchange, 200, body);
}

static struct data_centre *find_data_centre(GArray *list, const char *name)
{
	struct data_centre fresh = { .name = name };
	guint i;

	for (i = 0; i < list->len; i++) {
		struct data_centre *dc =
			&g_array_index(list, struct data_centre, i);

		if (!strcmp(dc->name, name))
			return dc;
	}
	g_array_append_val(list, fresh);
	return &g_array_index(list, struct data_centre, list->len - 1);
}

static void count_member(struct data_centre *dc,
			 const struct cq_settings *settings,
			 const struct cq_member *member)
{
	char *key = g_strdup_printf("data-centres/%s", dc->name);
	int64_t revision = 0;

	cq_settings_document(settings, key, &revision);
	g_free(key);
	if (member->state == CQ_MEMBER_DEAD)
		dc->out_of_reach++;
	if (!cq_member_is_live(member))
		return;
	dc->live++;
	dc->in_force += member->settings_revision >= revision;
	dc->has_schedd = dc->has_schedd || member->role == CQ_ROLE_SCHEDD;
	if (member->owner_epoch > dc->owner_epoch) {
		dc->owner = member->id;
		dc->owner_epoch = member->owner_epoch;
	}
}

static GArray *collect_data_centres(const struct cq_operator_calls *calls)
{
	const struct cq_settings *settings =
		cq_cluster_settings(calls->cluster);
	struct cq_membership *membership =
		cq_cluster_membership(calls->cluster);
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct data_centre));
	const struct cq_settings_data_centre *dc;
	uint32_t i;

	for (i = 0; (dc = cq_settings_data_centre_at(settings, i)); i++)
		find_data_centre(list, dc->name)->settings = dc;
	for (i = 0; i < cq_membership_count(membership); i++) {
		const struct cq_member *member =
			cq_membership_get(membership, i);

		count_member(find_data_centre(list, member->data_centre),
			     settings, member);
	}
	return list;
}

/* Nothing starts in a data centre that nobody declared. */
static const char *state_of(const struct data_centre *dc)
{
	return dc->settings ? cq_settings_dc_state_string(dc->settings->state)
			    : "undeclared";
}

static json_t *data_centre_json(const struct cq_operator_calls *calls,
				const struct data_centre *dc)
{
	char *key = g_strdup_printf("data-centres/%s", dc->name);
	int64_t revision = 0;
	json_t *json;

	cq_settings_document(cq_cluster_settings(calls->cluster), key,
			     &revision);
	g_free(key);
	json = json_pack("{s:s,s:s,s:I,s:s?,s:I,s:i,s:i,s:i}", "name", dc->name,
			 "state", state_of(dc), "revision",
			 (json_int_t)revision, "owner", dc->owner,
			 "owner_epoch", (json_int_t)dc->owner_epoch,
			 "members_live", (int)dc->live, "members_out_of_reach",
			 (int)dc->out_of_reach, "members_in_force",
			 (int)dc->in_force);
	if (dc->settings)
		json_object_set_new(json, "notice_s",
				    json_integer(dc->settings->notice_s));
	return json;
}

json_t *cq_operator_data_centres(const struct cq_operator_calls *calls)
{
	GArray *list = collect_data_centres(calls);
	json_t *out = json_array();
	guint i;

	for (i = 0; i < list->len; i++)
		json_array_append_new(
			out,
			data_centre_json(
				calls,
				&g_array_index(list, struct data_centre, i)));
	g_array_free(list, TRUE);
	return out;
}

void cq_operator_get_data_centres(void *ctx,
				  struct cq_operator_exchange *exchange)
{
	struct cq_operator_calls *calls = ctx;
	json_t *body = json_pack("{s:o}", "data_centres",
				 cq_operator_data_centres(calls));

	cq_operator_add_freshness(calls, body);
	cq_operator_respond(exchange, 200, body);
}

static void settings_problems(const struct cq_operator_calls *calls,
			      json_t *problems)
{
	struct cq_settings_sync *sync =
		cq_cluster_settings_sync(calls->cluster);
	int64_t now_ns = cq_clock_now_ns(cq_daemon_clock(calls->daemon));
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	const GList *item;

	if (!cq_settings_sync_ready(sync))
		cq_operator_problem(problems, CQ_OPERATOR_ERROR,
				    "the store and the peers of this host",
				    "this daemon has no settings yet");
	if (!cq_cluster_store_direct(calls->cluster))
		cq_operator_problem(problems, CQ_OPERATOR_WARNING,
				    "the store, seen from this host; no job "
				    "starts while no host reaches it",
				    "this daemon does not reach the store "
				    "directly");
	if (cq_cluster_settings_behind_ns(calls->cluster, now_ns) > BEHIND_NS)
		cq_operator_problem(
			problems, CQ_OPERATOR_ERROR, "peer links of this host",
			"this daemon has had older settings than "
			"its peers for %lld s",
			(long long)(cq_cluster_settings_behind_ns(
					    calls->cluster, now_ns) /
				    CQ_NS_PER_S));
	/* The newest change of each subtree decides. */
	for (item = calls->history->head; item; item = item->next) {
		const struct cq_operator_change *change = item->data;

		if (!g_hash_table_add(seen, change->key) || !change->fault)
			continue;
		cq_operator_problem(problems, CQ_OPERATOR_ERROR,
				    "cqctl settings get and settings set; the "
				    "last valid settings stay in force",
				    "settings %s at revision %lld are not "
				    "valid: %s",
				    change->key, (long long)change->revision,
				    change->fault);
	}
	g_hash_table_destroy(seen);
}

static void member_problems(const struct cq_operator_calls *calls,
			    json_t *problems)
{
	struct cq_membership *membership =
		cq_cluster_membership(calls->cluster);
	GString *names = g_string_new(NULL);
	uint32_t lost = 0;
	uint32_t suspect = 0;
	uint32_t i;

	for (i = 0; i < cq_membership_count(membership); i++) {
		const struct cq_member *member =
			cq_membership_get(membership, i);

		suspect += member->state == CQ_MEMBER_SUSPECT;
		if (member->state != CQ_MEMBER_DEAD)
			continue;
		if (lost < NAMED)
			g_string_append_printf(names, "%s%s", lost ? ", " : "",
					       member->id);
		lost++;
	}
	if (lost > NAMED)
		g_string_append_printf(names, " and %u more", lost - NAMED);
	if (lost)
		cq_operator_problem(problems, CQ_OPERATOR_WARNING,
				    "cqctl members; these hosts or the network "
				    "between",
				    "%u daemon%s out of reach: %s", lost,
				    lost == 1 ? " is" : "s are", names->str);
	if (suspect)
		cq_operator_problem(problems, CQ_OPERATOR_WARNING,
				    "cqctl members in a few seconds",
				    "%u daemon%s not answer probes", suspect,
				    suspect == 1 ? " does" : "s do");
	g_string_free(names, TRUE);
}

static void data_centre_problems(const struct cq_operator_calls *calls,
				 json_t *problems)
{
	GArray *list = collect_data_centres(calls);
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct data_centre *dc =
			&g_array_index(list, struct data_centre, i);

		if (!dc->settings)
			cq_operator_problem(problems, CQ_OPERATOR_WARNING,
					    "cqctl data-centre in --create",
					    "data centre %s has daemons but no "
					    "settings; nothing starts there",
					    dc->name);
		else if (dc->settings->state == CQ_SETTINGS_DC_OUT)
			cq_operator_problem(problems, CQ_OPERATOR_WARNING,
					    "cqctl data-centre in, when the "
					    "work there is done",
					    "data centre %s is out of service",
					    dc->name);
		if (dc->settings && !dc->live)
			cq_operator_problem(problems, CQ_OPERATOR_ERROR,
					    "cqctl members; the network to it",
					    "data centre %s: no daemon "
					    "answers",
					    dc->name);
		else if (dc->has_schedd && !dc->owner)
			cq_operator_problem(problems, CQ_OPERATOR_ERROR,
					    "the store; log of cq-schedd there",
					    "data centre %s has no owner; no "
					    "task starts there",
					    dc->name);
	}
	g_array_free(list, TRUE);
}

void cq_operator_get_status(void *ctx, struct cq_operator_exchange *exchange)
{
	struct cq_operator_calls *calls = ctx;
	struct cq_membership *membership =
		cq_cluster_membership(calls->cluster);
	json_t *problems = json_array();
	uint32_t lost = 0;
	json_t *body;
	uint32_t i;

	settings_problems(calls, problems);
	member_problems(calls, problems);
	data_centre_problems(calls, problems);
	for (i = 0; i < calls->status_sources->len; i++) {
		struct cq_operator_status_source *source =
			&g_array_index(calls->status_sources,
				       struct cq_operator_status_source, i);

		source->fn(source->ctx, problems);
	}
	for (i = 0; i < cq_membership_count(membership); i++)
		lost += cq_membership_get(membership, i)->state ==
			CQ_MEMBER_DEAD;
	body = json_pack("{s:s,s:s,s:s,s:o,s:{s:i,s:i},s:b,s:o}", "id",
			 cq_daemon_id(calls->daemon), "data_centre",
			 cq_daemon_data_centre(calls->daemon), "version",
			 CQ_VERSION, "problems", problems, "members", "live",
			 (int)cq_membership_live_count(membership),
			 "out_of_reach", (int)lost, "store_direct",
			 (int)cq_cluster_store_direct(calls->cluster),
			 "data_centres", cq_operator_data_centres(calls));
	cq_operator_add_freshness(calls, body);
	cq_operator_respond(exchange, 200, body);
}
