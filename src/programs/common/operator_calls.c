#include "programs/common/operator_calls.h"

#include <stdlib.h>
#include <string.h>

#include "programs/common/operator_calls_private.h"

static void on_settings(void *ctx, const char *key, int64_t revision,
			const char *fault);
static void change_free(gpointer data);
static void on_tick(void *ctx, int64_t now_ns);
static void on_abort(void *ctx, struct cq_operator_exchange *exchange);
static void append_name(json_t *list, const struct cq_member *member);

static void change_free(gpointer data)
{
	struct cq_operator_change *change = data;

	g_free(change->key);
	g_free(change->writer);
	g_free(change->fault);
	g_free(change);
}

static void on_settings(void *ctx, const char *key, int64_t revision,
			const char *fault)
{
	struct cq_operator_calls *calls = ctx;
	const struct cq_settings *settings =
		cq_cluster_settings(calls->cluster);
	const char *document = cq_settings_document(settings, key, NULL);
	struct cq_operator_change *change =
		g_new0(struct cq_operator_change, 1);
	char writer[CQ_SETTINGS_NAME_BYTES] = "";
	char *json = cq_settings_json(settings, key);
	uint64_t sequence;

	if (document)
		cq_settings_writer(document, writer, &sequence);
	change->unix_ms = cq_clock_unix_ms(cq_daemon_clock(calls->daemon));
	change->revision = revision;
	change->key = g_strdup(key);
	change->writer = g_strdup(writer);
	change->fault = g_strdup(fault);
	change->removed = !json && !fault;
	free(json);
	g_queue_push_head(calls->history, change);
	if (g_queue_get_length(calls->history) > CQ_OPERATOR_HISTORY)
		change_free(g_queue_pop_tail(calls->history));
}

static void on_tick(void *ctx, int64_t now_ns)
{
	cq_operator_writes_tick(ctx, now_ns);
}

static void on_abort(void *ctx, struct cq_operator_exchange *exchange)
{
	cq_operator_writes_aborted(ctx, exchange);
}

struct cq_operator_calls *cq_operator_calls_create(struct cq_cluster *cluster)
{
	static const struct {
		const char *method, *prefix;
		cq_daemon_route_fn *fn;
	} routes[] = {
		{ "GET", "/v1/settings", cq_operator_get_settings },
		{ "PUT", "/v1/settings", cq_operator_write_settings },
		{ "DELETE", "/v1/settings", cq_operator_write_settings },
		{ "POST", "/v1/settings-check", cq_operator_check_settings },
		{ "GET", "/v1/settings-history", cq_operator_get_history },
		{ "GET", "/v1/settings-in-force", cq_operator_get_in_force },
		{ "GET", "/v1/data-centres", cq_operator_get_data_centres },
		{ "GET", "/v1/members", cq_operator_get_members },
		{ "GET", "/v1/status", cq_operator_get_status },
	};
	struct cq_operator_calls *calls = g_new0(struct cq_operator_calls, 1);
	size_t i;

	calls->cluster = cluster;
	calls->daemon = cq_cluster_daemon(cluster);
	calls->history = g_queue_new();
	calls->created_unix_ms =
		cq_clock_unix_ms(cq_daemon_clock(calls->daemon));
	calls->writes = g_ptr_array_new();
	/* A restarted process must not repeat sequence numbers. */
	calls->next_sequence = cq_daemon_incarnation(calls->daemon) * 1000;
	calls->status_sources = g_array_new(
		FALSE, FALSE, sizeof(struct cq_operator_status_source));
	calls->in_force_latency =
		cq_metrics_histogram(cq_daemon_metrics(calls->daemon),
				     "cq_settings_in_force_seconds", "");
	cq_cluster_on_settings(cluster, on_settings, calls);
	cq_daemon_add_tick(calls->daemon, on_tick, calls);
	cq_daemon_add_abort(calls->daemon, on_abort, calls);
	for (i = 0; i < G_N_ELEMENTS(routes); i++)
		cq_daemon_add_route(calls->daemon, routes[i].method,
				    routes[i].prefix, routes[i].fn, calls);
	return calls;
}

void cq_operator_calls_destroy(struct cq_operator_calls *calls)
{
	if (!calls)
		return;
	cq_operator_writes_destroy(calls);
	g_queue_free_full(calls->history, change_free);
	g_array_free(calls->status_sources, TRUE);
	g_free(calls);
}

void cq_operator_calls_set_capacity(struct cq_operator_calls *calls,
				    cq_operator_capacity_fn *fn, void *ctx)
{
	calls->capacity = fn;
	calls->capacity_ctx = ctx;
}

void cq_operator_calls_add_status(struct cq_operator_calls *calls,
				  cq_operator_status_fn *fn, void *ctx)
{
	struct cq_operator_status_source source = { fn, ctx };

	g_array_append_val(calls->status_sources, source);
}

const struct cq_settings_capacity *
cq_operator_capacity(const struct cq_operator_calls *calls)
{
	return calls->capacity ? calls->capacity(calls->capacity_ctx) : NULL;
}

const char *cq_operator_path_rest(struct cq_operator_exchange *exchange,
				  const char *prefix)
{
	const char *path = cq_operator_exchange_path(exchange);
	size_t len = strlen(prefix);

	if (strncmp(path, prefix, len) != 0)
		return NULL;
	if (!path[len])
		return "";
	return path[len] == '/' ? path + len + 1 : NULL;
}

void cq_operator_respond(struct cq_operator_exchange *exchange, uint32_t status,
			 json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	cq_operator_exchange_respond_json(exchange, status, text ? text : "{}");
	free(text);
	json_decref(body);
}

void cq_operator_add_freshness(const struct cq_operator_calls *calls,
			       json_t *body)
{
	struct cq_settings_sync *sync =
		cq_cluster_settings_sync(calls->cluster);
	int64_t now_ns = cq_clock_now_ns(cq_daemon_clock(calls->daemon));
	int64_t behind_ns =
		cq_cluster_settings_behind_ns(calls->cluster, now_ns);
	bool starting = !cq_settings_sync_ready(sync);
	bool stale = behind_ns > 0 || starting;

	json_object_set_new(body, "tree_revision",
			    json_integer(cq_settings_revision(
				    cq_cluster_settings(calls->cluster))));
	json_object_set_new(body, "settings_state",
			    json_string(cq_settings_sync_state_string(
				    cq_settings_sync_state(sync))));
	json_object_set_new(body, "stale", json_boolean(stale));
	/* The age is unknown (-1) until the first settings were read. */
	if (stale)
		json_object_set_new(
			body, "age_ms",
			json_integer(starting ? -1 : behind_ns / CQ_NS_PER_MS));
}

static void append_name(json_t *list, const struct cq_member *member)
{
	json_array_append_new(list, json_string(member->id));
}

json_t *cq_operator_in_force(const struct cq_operator_calls *calls,
			     int64_t revision)
{
	struct cq_membership *membership =
		cq_cluster_membership(calls->cluster);
	json_t *missing = json_array();
	json_t *lost = json_array();
	uint32_t acknowledged;
	uint32_t known;
	uint32_t i;

	cq_settings_sync_acknowledged(cq_cluster_settings_sync(calls->cluster),
				      revision, &acknowledged, &known);
	for (i = 0; i < cq_membership_count(membership); i++) {
		const struct cq_member *member =
			cq_membership_get(membership, i);

		if (member->state == CQ_MEMBER_DEAD)
			append_name(lost, member);
		else if (acknowledged < known && cq_member_is_live(member) &&
			 member->settings_revision < revision)
			append_name(missing, member);
	}
	return json_pack("{s:I,s:I,s:b,s:o,s:o}", "acknowledged",
			 (json_int_t)acknowledged, "known", (json_int_t)known,
			 "in_force", (int)(acknowledged >= known), "missing",
			 missing, "out_of_reach", lost);
}

void cq_operator_get_in_force(void *ctx, struct cq_operator_exchange *exchange)
{
	struct cq_operator_calls *calls = ctx;
	const char *text = cq_operator_exchange_query(exchange, "revision");
	char *end = NULL;
	int64_t revision = text ? strtoll(text, &end, 10) : -1;
	json_t *body;

	if (!text || end == text || *end || revision < 0) {
		cq_daemon_respond_error(exchange, 400, "invalid",
					"revision: \"%s\" is not an integer "
					"of 0 or more",
					text ? text : "");
		return;
	}
	body = cq_operator_in_force(calls, revision);
	json_object_set_new(body, "revision", json_integer(revision));
	cq_operator_respond(exchange, 200, body);
}
