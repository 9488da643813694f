/* Dry run of a settings change, and the history of changes. */
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "programs/common/json_diff.h"
#include "programs/common/operator_calls_private.h"

#define WORKSPACES "workspaces/"
#define DATA_CENTRES "data-centres/"

static void add_effect(json_t *effects, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
static int64_t guaranteed_in(const json_t *settings);
static int64_t guaranteed_by_others(const struct cq_settings *settings,
				    const char *name);
static int64_t capacity_of(const struct cq_settings *settings,
			   const struct cq_settings_capacity *capacity,
			   const char *data_centre);
static void workspace_effects(const struct cq_operator_calls *calls,
			      const char *name, const json_t *before,
			      const json_t *after, json_t *effects);
static bool is_out(const json_t *settings);
static void data_centre_effects(const struct cq_operator_calls *calls,
				const char *name, const json_t *before,
				const json_t *after, json_t *effects);
static json_t *change_json(const struct cq_operator_change *change);

static void add_effect(json_t *effects, const char *fmt, ...)
{
	va_list args;
	char *text;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	json_array_append_new(effects, json_string(text));
	g_free(text);
}

static int64_t guaranteed_in(const json_t *settings)
{
	json_t *list = json_object_get(settings, "guarantees");
	int64_t sum = 0;
	json_t *one;
	size_t i;

	json_array_foreach(list, i, one)
		sum += json_integer_value(json_object_get(one, "count")) *
		       json_integer_value(json_object_get(one, "accelerators"));
	return sum;
}

static int64_t guaranteed_by_others(const struct cq_settings *settings,
				    const char *name)
{
	const struct cq_settings_workspace *other;
	int64_t sum = 0;
	uint32_t i;
	int32_t k;

	for (i = 0; (other = cq_settings_workspace_at(settings, i)); i++)
		for (k = 0; strcmp(other->name, name) != 0 &&
			    k < other->guarantee_count;
		     k++)
			sum += other->guarantees[k].count *
			       other->guarantees[k].accelerators;
	return sum;
}

/* Accelerators of the given data centre or, if NULL, of all in service. */
static int64_t capacity_of(const struct cq_settings *settings,
			   const struct cq_settings_capacity *capacity,
			   const char *data_centre)
{
	int64_t sum = 0;
	uint32_t i;

	for (i = 0; i < capacity->count; i++) {
		const struct cq_settings_worker *worker = &capacity->workers[i];
		const struct cq_settings_data_centre *dc =
			cq_settings_data_centre(settings, worker->data_centre);

		if (data_centre ? !strcmp(worker->data_centre, data_centre)
				: dc && dc->state == CQ_SETTINGS_DC_IN)
			sum += worker->accelerators;
	}
	return sum;
}

static void workspace_effects(const struct cq_operator_calls *calls,
			      const char *name, const json_t *before,
			      const json_t *after, json_t *effects)
{
	const struct cq_settings *settings =
		cq_cluster_settings(calls->cluster);
	const struct cq_settings_capacity *capacity =
		cq_operator_capacity(calls);
	int64_t old = guaranteed_in(before);
	int64_t new = guaranteed_in(after);
	int64_t others = guaranteed_by_others(settings, name);
	int64_t total;

	add_effect(effects,
		   "workspace %s: %lld accelerators guaranteed instead of %lld",
		   name, (long long)new, (long long)old);
	if (new < old)
		add_effect(effects,
			   "%lld accelerators become borrowed where %s uses "
			   "them; other guarantees may reclaim them",
			   (long long)old - (long long)new, name);
	add_effect(effects,
		   "all workspaces: %lld accelerators guaranteed instead of "
		   "%lld",
		   (long long)others + (long long)new,
		   (long long)others + (long long)old);
	if (!capacity)
		return;
	total = capacity_of(settings, capacity, NULL);
	add_effect(effects,
		   "data centres in service hold %lld accelerators: %lld %s",
		   (long long)total, (long long)llabs(total - others - new),
		   total >= others + new ? "remain beyond all guarantees"
					 : "are missing for all guarantees");
}

static bool is_out(const json_t *settings)
{
	const char *state =
		json_string_value(json_object_get(settings, "state"));

	return !state || strcmp(state, "in") != 0;
}

static void data_centre_effects(const struct cq_operator_calls *calls,
				const char *name, const json_t *before,
				const json_t *after, json_t *effects)
{
	const struct cq_settings *settings =
		cq_cluster_settings(calls->cluster);
	const struct cq_settings_capacity *capacity =
		cq_operator_capacity(calls);
	bool was_out = is_out(before);
	bool out = is_out(after);
	int64_t guaranteed = guaranteed_by_others(settings, "");
	int64_t own;
	int64_t total;

	if (was_out == out) {
		add_effect(effects, "data centre %s: stays %s", name,
			   out ? "out of service" : "in service");
		return;
	}
	add_effect(effects, "data centre %s: %s", name,
		   out ? "no task starts there 3 s after the change, running "
			 "tasks are moved"
		       : "tasks start there again");
	add_effect(effects, "all workspaces: %lld accelerators guaranteed",
		   (long long)guaranteed);
	if (!capacity)
		return;
	own = capacity_of(settings, capacity, name);
	total = capacity_of(settings, capacity, NULL);
	if (out)
		total -= own;
	else
		total += own;
	add_effect(effects,
		   "data centres in service would hold %lld accelerators, %lld "
		   "%s: %lld %s",
		   (long long)total, (long long)own, out ? "fewer" : "more",
		   (long long)llabs(total - guaranteed),
		   total >= guaranteed ? "remain beyond all guarantees"
				       : "are missing for all guarantees");
}

void cq_operator_check_settings(void *ctx,
				struct cq_operator_exchange *exchange)
{
	struct cq_operator_calls *calls = ctx;
	const struct cq_settings *settings =
		cq_cluster_settings(calls->cluster);
	const char *key = cq_operator_path_rest(exchange, "/v1/settings-check");
	bool removes = cq_operator_exchange_query(exchange, "remove") != NULL;
	const char *json = removes ? NULL
				   : cq_operator_exchange_body(exchange, NULL);
	struct cq_error err = CQ_ERROR_INIT;
	char *current;
	json_t *before;
	json_t *after;
	json_t *effects;
	json_t *body;
	int64_t revision = 0;
	bool valid;

	if (!key || !*key || !cq_settings_key_check(key, &err)) {
		cq_daemon_respond_error(exchange, 400, "invalid", "%s",
					*err.message ? err.message
						     : "the path must be "
						       "/v1/settings-check/"
						       "KEY");
		return;
	}
	valid = cq_settings_check(settings, key, json,
				  cq_operator_capacity(calls), &err);
	current = cq_settings_json(settings, key);
	before = current ? json_loads(current, 0, NULL) : NULL;
	after = json ? json_loads(json, 0, NULL) : NULL;
	effects = json_array();
	if (g_str_has_prefix(key, WORKSPACES))
		workspace_effects(calls, key + strlen(WORKSPACES), before,
				  after, effects);
	else if (g_str_has_prefix(key, DATA_CENTRES))
		data_centre_effects(calls, key + strlen(DATA_CENTRES), before,
				    after, effects);
	cq_settings_document(settings, key, &revision);
	body = json_pack("{s:s,s:b,s:I,s:b,s:o,s:o}", "key", key, "valid",
			 (int)valid, "current_revision", (json_int_t)revision,
			 "capacity_checked",
			 (int)(cq_operator_capacity(calls) != NULL), "changes",
			 cq_json_diff(before, after), "effects", effects);
	if (!valid)
		json_object_set_new(body, "message", json_string(err.message));
	cq_operator_add_freshness(calls, body);
	cq_operator_respond(exchange, 200, body);
	json_decref(before);
	json_decref(after);
	free(current);
}

static json_t *change_json(const struct cq_operator_change *change)
{
	json_t *json = json_pack("{s:I,s:s,s:I,s:s,s:s}", "unix_ms",
				 (json_int_t)change->unix_ms, "key",
				 change->key, "revision",
				 (json_int_t)change->revision, "writer",
				 change->writer, "change",
				 change->fault	   ? "not in force"
				 : change->removed ? "removed"
						   : "set");

	if (change->fault)
		json_object_set_new(json, "fault", json_string(change->fault));
	return json;
}

void cq_operator_get_history(void *ctx, struct cq_operator_exchange *exchange)
{
	struct cq_operator_calls *calls = ctx;
	const char *key = cq_operator_exchange_query(exchange, "key");
	json_t *entries = json_array();
	const GList *item;
	json_t *body;

	for (item = calls->history->head; item; item = item->next) {
		const struct cq_operator_change *change = item->data;

		if (!key || !strcmp(key, change->key))
			json_array_append_new(entries, change_json(change));
	}
	body = json_pack("{s:o,s:I,s:i}", "entries", entries, "since_unix_ms",
			 (json_int_t)calls->created_unix_ms, "kept",
			 CQ_OPERATOR_HISTORY);
	cq_operator_add_freshness(calls, body);
	cq_operator_respond(exchange, 200, body);
}
