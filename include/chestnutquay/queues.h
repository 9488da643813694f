/*
 * The operators' configuration as far as callers and dispatch depend on it:
 * queues, services and workspaces with their keys. A configuration is
 * immutable; a newer version replaces it as a whole.
 */
#ifndef CHESTNUTQUAY_QUEUES_H
#define CHESTNUTQUAY_QUEUES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/error.h"

/* Names have any length, see text.h; they are never NULL in a configuration. */
struct cq_queue {
	const char *name;
	const char *authority; /* host name in the requests of callers */
	const char *prefix;    /* of the paths that the queue serves */
	const char *service;
	uint32_t priority; /* 0 is served first */
	uint32_t max_attempts;
	uint32_t timeout_ms;	    /* limit for one call */
	uint32_t target_runtime_ms; /* constant part of a job's objective */
	/*
	 * The objective grows by this factor with the critical path of a job.
	 */
	double stretch;
	bool allow_anonymous;
	/* By the queue's policy an adviser chooses the workers of a step. */
	bool advised;
	uint32_t advice_validity_ms;
};

struct cq_service {
	const char *name;
	bool standby;
};

struct cq_workspace_keys {
	const char *name;
	char **keys; /* NULL-terminated */
	uint32_t guaranteed_accelerators;
};

struct cq_queue_config {
	int64_t version;
	int64_t revision; /* store revision of this version */
	struct cq_queue *queues;
	uint32_t queue_count;
	/* Name -> first queue of that name; NULL: the queues are searched. */
	GHashTable *queues_by_name;
	struct cq_service *services;
	uint32_t service_count;
	struct cq_workspace_keys *workspaces;
	uint32_t workspace_count;
	/* Parts of the document that could not be read, and the first error. */
	uint32_t ignored_parts;
	struct cq_error ignored_error;
};

void cq_queue_config_destroy(struct cq_queue_config *config);
/*
 * Makes the queues known by name. To be called once, after the last queue was
 * added: the leader looks up the queue of each job in each plan.
 */
void cq_queue_config_index(struct cq_queue_config *config);

/*
 * Returns the queue of the authority with the longest matching path prefix;
 * NULL if there is none.
 */
const struct cq_queue *
cq_queue_config_match(const struct cq_queue_config *config,
		      const char *authority, const char *path);
/* Returns NULL if the configuration has no queue of that name. */
const struct cq_queue *
cq_queue_config_find(const struct cq_queue_config *config, const char *name);
/* Returns NULL if no workspace holds the key. */
const struct cq_workspace_keys *
cq_queue_config_workspace_of_key(const struct cq_queue_config *config,
				 const char *key);
const struct cq_workspace_keys *
cq_queue_config_workspace(const struct cq_queue_config *config,
			  const char *name);

#endif
