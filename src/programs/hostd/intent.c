/* Follows the operators' documents in the store and applies them. */
#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "platform/documents.h"
#include "programs/hostd/hostd.h"

/* Short, so that a store that no longer answers is detected soon. */
#define WATCH_WAIT_MS 1000
#define LIST_TIMEOUT_MS 2500
/* The host is not ready if the last answer of the store is older. */
#define MAX_CONTACT_AGE_NS (INT64_C(2500) * CQ_NS_PER_MS)

/*
 * An operator who has changed something that is not in force finds here what
 * could not be read.
 */
static void note_ignored_parts(struct hostd *h,
			       const struct cq_queue_config *config)
{
	cq_gauge_set(cq_metrics_gauge(h->metrics, "cq_config_ignored_parts",
				      ""),
		     config->ignored_parts);
	if (config->ignored_parts)
		cq_log_event(CQ_LOG_ERROR, "config_parts_ignored",
			     "{s:I,s:i,s:s}", "version",
			     (json_int_t)config->version, "parts",
			     (int)config->ignored_parts, "first",
			     config->ignored_error.message);
}

static void apply_config(struct hostd *h, const struct cq_store_entry *entry)
{
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_queue_config *config =
		cq_platform_config_parse(entry->value, entry->value_len, &err);
	struct cq_queue_config *previous = h->config;

	if (!config) {
		cq_log_event(CQ_LOG_ERROR, "config_ignored", "{s:I,s:s}",
			     "revision", (json_int_t)entry->revision, "error",
			     err.message);
		return;
	}
	if (previous && config->version < previous->version) {
		cq_log_event(CQ_LOG_WARN, "config_older", "{s:I,s:I}",
			     "version", (json_int_t)config->version, "in_force",
			     (json_int_t)previous->version);
		cq_queue_config_destroy(config);
		return;
	}
	config->revision = entry->revision;
	h->config = config;
	cq_log_event(CQ_LOG_INFO, "config_in_force", "{s:I,s:I,s:i,s:i}",
		     "version", (json_int_t)config->version, "revision",
		     (json_int_t)entry->revision, "queues",
		     (int)config->queue_count, "workspaces",
		     (int)config->workspace_count);
	note_ignored_parts(h, config);
	cq_gateway_set_config(h->gateway, config);
	hostd_dispatch_update(h);
	cq_queue_config_destroy(previous);
}

static void on_changed(void *ctx, const struct cq_store_entry *entry)
{
	struct hostd *h = ctx;
	const char *name = entry->key + strlen(CQ_PLATFORM_EVACUATE_PREFIX);

	if (!strcmp(entry->key, CQ_PLATFORM_CONFIG_KEY)) {
		apply_config(h, entry);
		return;
	}
	if (!g_str_has_prefix(entry->key, CQ_PLATFORM_EVACUATE_PREFIX))
		return;
	if (g_hash_table_add(h->evacuated, g_strdup(name)))
		cq_log_event(CQ_LOG_INFO, "data_centre_out", "{s:s,s:I}",
			     "data_centre", name, "revision",
			     (json_int_t)entry->revision);
	hostd_dispatch_update(h);
}

static void on_removed(void *ctx, const char *key)
{
	struct hostd *h = ctx;
	const char *name = key + strlen(CQ_PLATFORM_EVACUATE_PREFIX);

	if (!g_str_has_prefix(key, CQ_PLATFORM_EVACUATE_PREFIX))
		return;
	if (g_hash_table_remove(h->evacuated, name))
		cq_log_event(CQ_LOG_INFO, "data_centre_in", "{s:s}",
			     "data_centre", name);
	hostd_dispatch_update(h);
}

static const struct cq_follower_ops operator_ops = {
	.changed = on_changed,
	.removed = on_removed,
};

void hostd_intent_open(struct hostd *h)
{
	const struct cq_follower_options options = {
		.loop = h->loop,
		.clock = h->clock,
		.prefix = CQ_PLATFORM_OPERATOR_PREFIX,
		.wait_ms = WATCH_WAIT_MS,
		.list_timeout_ms = LIST_TIMEOUT_MS,
	};

	h->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	h->operator_follower =
		cq_follower_create(&options, h->store, &operator_ops, h);
}

void hostd_intent_close(struct hostd *h)
{
	cq_follower_destroy(h->operator_follower);
	cq_queue_config_destroy(h->config);
	if (h->evacuated)
		g_hash_table_destroy(h->evacuated);
}

bool hostd_intent_is_current(const struct hostd *h)
{
	return h->config &&
	       cq_follower_contact_ns(h->operator_follower) >
		       cq_clock_now_ns(h->clock) - MAX_CONTACT_AGE_NS;
}
