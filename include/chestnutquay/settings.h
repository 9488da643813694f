/*
 * The settings tree: subtrees `global`, `data-centres/DC`, `workspaces/WS`.
 *
 * A subtree is stored under CQ_SETTINGS_PREFIX and its key as the document
 * {"writer":ID,"sequence":N,"settings":{...}}; the writer and the sequence let
 * a writer recognise its own write. A removed subtree stays in the store as
 * {"writer":ID,"sequence":N,"deleted":true}, because a host that missed a
 * plain deletion could not learn of it from a peer.
 *
 * The revision of a subtree is that of its store key. The revision of the tree
 * is the highest one up to which the tree is complete: every subtree whose
 * newest change is not after it is held in its newest form. Both only grow.
 */
#ifndef CHESTNUTQUAY_SETTINGS_H
#define CHESTNUTQUAY_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/error.h"

#define CQ_SETTINGS_PREFIX "settings/"
#define CQ_SETTINGS_NAME_BYTES 48
#define CQ_SETTINGS_MAX_CLASSES 16
#define CQ_SETTINGS_MAX_OBJECTIVES 32
#define CQ_SETTINGS_MAX_GUARANTEES 32
#define CQ_SETTINGS_MAX_ENTRY_HOSTS 64

enum cq_settings_adjacency {
	CQ_SETTINGS_WORKER, /* all accelerators on one worker */
	CQ_SETTINGS_RACK,
	CQ_SETTINGS_DATA_CENTRE,
};

enum cq_settings_dc_state {
	CQ_SETTINGS_DC_IN,
	CQ_SETTINGS_DC_OUT,
};

const char *cq_settings_adjacency_string(enum cq_settings_adjacency adjacency);
const char *cq_settings_dc_state_string(enum cq_settings_dc_state state);

struct cq_settings_class {
	char name[CQ_SETTINGS_NAME_BYTES];
	int32_t rank;	/* 0 is the most urgent; unique */
	int32_t weight; /* 1 to 1000 */
};

struct cq_settings_objective {
	char name[CQ_SETTINGS_NAME_BYTES];
	char class_name[CQ_SETTINGS_NAME_BYTES];
	double percentile; /* 1 to 100 */
	int64_t target_ms;
	int64_t window_s;
};

/* Settings of the subtree `global`; without it there is one class "default". */
struct cq_settings_global {
	struct cq_settings_class classes[CQ_SETTINGS_MAX_CLASSES];
	int32_t class_count; /* in order of rank */
	struct cq_settings_objective objectives[CQ_SETTINGS_MAX_OBJECTIVES];
	int32_t objective_count;
	/*
	 * Order of the waiting jobs within a class: 0 serves short and small
	 * jobs first, 1 in the order of arrival; see
	 * completion_weight_permille of struct cq_policy.
	 */
	double fragmentation_weight;
};

struct cq_settings_data_centre {
	char name[CQ_SETTINGS_NAME_BYTES];
	enum cq_settings_dc_state state;
	/*
	 * Notice given to running tasks when the data centre goes out of
	 * service.
	 */
	int64_t notice_s;
	/*
	 * Number of entry hosts, 1 to CQ_SETTINGS_MAX_ENTRY_HOSTS. The home of
	 * an idempotency key is chosen among them, so a change moves the homes
	 * of keys.
	 */
	int64_t entry_hosts;
};

struct cq_settings_guarantee {
	int64_t count;
	int64_t accelerators; /* accelerators of each shape */
	enum cq_settings_adjacency adjacency;
};

/* 0 means no limit. */
struct cq_settings_limits {
	int64_t max_accelerators;
	int64_t max_running_jobs;
	int64_t max_waiting_jobs;
	int64_t max_open_requests;
};

struct cq_settings_workspace {
	char name[CQ_SETTINGS_NAME_BYTES];
	int32_t weight; /* share of free capacity, 1 to 1000 */
	struct cq_settings_guarantee guarantees[CQ_SETTINGS_MAX_GUARANTEES];
	int32_t guarantee_count;
	struct cq_settings_limits limits;
};

/* Accelerators of one worker, for checking guarantees. */
struct cq_settings_worker {
	const char *data_centre;
	const char *rack; /* unique within the data centre */
	int64_t accelerators;
};

struct cq_settings_capacity {
	const struct cq_settings_worker *workers;
	uint32_t count;
};

struct cq_settings;

struct cq_settings *cq_settings_create(void);
void cq_settings_destroy(struct cq_settings *s);

/* Revision up to which the tree is complete; 0: empty. */
int64_t cq_settings_revision(const struct cq_settings *s);
/* Marks the tree complete up to the revision; an older one is ignored. */
void cq_settings_advance(struct cq_settings *s, int64_t revision);
/*
 * Applies the stored document of a subtree (key without prefix) and returns
 * true if it is newer than the one held. A document that does not parse is held
 * for relaying to peers, but the last valid settings of the subtree stay in
 * force; err then describes the fault.
 */
bool cq_settings_apply(struct cq_settings *s, const char *key,
		       const char *document, int64_t revision,
		       struct cq_error *err);

/* Returns the stored document and its revision; NULL and 0 if there is none. */
const char *cq_settings_document(const struct cq_settings *s, const char *key,
				 int64_t *revision);
/* Returns the settings object in force as JSON, or NULL; freed with free(). */
char *cq_settings_json(const struct cq_settings *s, const char *key);

typedef bool cq_settings_visit_fn(void *ctx, const char *key,
				  const char *document, int64_t revision);
/*
 * Visits subtrees (deleted ones too) changed after the revision, oldest change
 * first, until the visitor returns false.
 */
void cq_settings_visit(const struct cq_settings *s, int64_t after,
		       cq_settings_visit_fn *visit, void *ctx);

/* Valid until the next cq_settings_apply(). Never NULL. */
const struct cq_settings_global *cq_settings_global(const struct cq_settings *);
/* Return NULL if there is no such subtree. */
const struct cq_settings_data_centre *
cq_settings_data_centre(const struct cq_settings *s, const char *name);
const struct cq_settings_workspace *
cq_settings_workspace(const struct cq_settings *s, const char *name);
/* Return the i-th subtree in order of name; NULL past the last one. */
const struct cq_settings_data_centre *
cq_settings_data_centre_at(const struct cq_settings *s, uint32_t i);
const struct cq_settings_workspace *
cq_settings_workspace_at(const struct cq_settings *s, uint32_t i);

/*
 * Checks an operator's change (the settings object, or NULL for a removal)
 * against types, ranges, unknown keys and, unless capacity is NULL, the
 * guarantees of all workspaces against the capacity. The error names the key,
 * the value and the allowed range.
 */
bool cq_settings_check(const struct cq_settings *s, const char *key,
		       const char *json,
		       const struct cq_settings_capacity *capacity,
		       struct cq_error *err);
/*
 * Encodes the document to store; json NULL removes the subtree. Returns NULL if
 * json is not valid. Freed with free().
 */
char *cq_settings_encode(const char *json, const char *writer,
			 uint64_t sequence);
/*
 * Reads the writer (CQ_SETTINGS_NAME_BYTES) and the sequence of a stored
 * document; false if it has no valid writer.
 */
bool cq_settings_writer(const char *document, char *writer, uint64_t *sequence);
/*
 * Reads the state of a data centre from its stored document; false if the
 * document is a removal or not valid.
 */
bool cq_settings_document_dc_state(const char *document,
				   enum cq_settings_dc_state *state);
/* Checks that the key names a subtree. */
bool cq_settings_key_check(const char *key, struct cq_error *err);

#endif
