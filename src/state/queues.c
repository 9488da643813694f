#include "chestnutquay/queues.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

#include "chestnutquay/text.h"

static bool authority_matches(const char *configured, const char *authority);

void cq_queue_config_destroy(struct cq_queue_config *config)
{
	uint32_t i;

	if (!config)
		return;
	g_clear_pointer(&config->queues_by_name, g_hash_table_destroy);
	for (i = 0; i < config->queue_count; i++) {
		cq_text_clear(&config->queues[i].name);
		cq_text_clear(&config->queues[i].authority);
		cq_text_clear(&config->queues[i].prefix);
		cq_text_clear(&config->queues[i].service);
	}
	for (i = 0; i < config->service_count; i++)
		cq_text_clear(&config->services[i].name);
	for (i = 0; i < config->workspace_count; i++) {
		cq_text_clear(&config->workspaces[i].name);
		g_strfreev(config->workspaces[i].keys);
	}
	g_free(config->queues);
	g_free(config->services);
	g_free(config->workspaces);
	g_free(config);
}

void cq_queue_config_index(struct cq_queue_config *config)
{
	uint32_t i;

	config->queues_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	/* Backwards, so that the first queue of a name stays. */
	for (i = config->queue_count; i-- > 0;)
		g_hash_table_replace(config->queues_by_name,
				     (gpointer)config->queues[i].name,
				     &config->queues[i]);
}

/* Compares case-insensitively; a port in the request is ignored. */
static bool authority_matches(const char *configured, const char *authority)
{
	size_t len = strcspn(authority, ":");

	return strlen(configured) == len &&
	       !strncasecmp(configured, authority, len);
}

const struct cq_queue *
cq_queue_config_match(const struct cq_queue_config *config,
		      const char *authority, const char *path)
{
	const struct cq_queue *best = NULL;
	uint32_t i;

	for (i = 0; config && i < config->queue_count; i++) {
		const struct cq_queue *queue = &config->queues[i];

		if (!authority_matches(queue->authority, authority) ||
		    !g_str_has_prefix(path, queue->prefix))
			continue;
		if (!best || strlen(queue->prefix) > strlen(best->prefix))
			best = queue;
	}
	return best;
}

const struct cq_queue *
cq_queue_config_find(const struct cq_queue_config *config, const char *name)
{
	uint32_t i;

	if (config && config->queues_by_name)
		return g_hash_table_lookup(config->queues_by_name, name);
	for (i = 0; config && i < config->queue_count; i++)
		if (!strcmp(config->queues[i].name, name))
			return &config->queues[i];
	return NULL;
}

const struct cq_workspace_keys *
cq_queue_config_workspace_of_key(const struct cq_queue_config *config,
				 const char *key)
{
	uint32_t i;

	for (i = 0; config && i < config->workspace_count; i++)
		if (g_strv_contains(
			    (const char *const *)config->workspaces[i].keys,
			    key))
			return &config->workspaces[i];
	return NULL;
}

const struct cq_workspace_keys *
cq_queue_config_workspace(const struct cq_queue_config *config,
			  const char *name)
{
	uint32_t i;

	for (i = 0; config && i < config->workspace_count; i++)
		if (!strcmp(config->workspaces[i].name, name))
			return &config->workspaces[i];
	return NULL;
}
