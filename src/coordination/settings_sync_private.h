/* State shared by the parts of the settings_sync module. */
#ifndef COORDINATION_SETTINGS_SYNC_PRIVATE_H
#define COORDINATION_SETTINGS_SYNC_PRIVATE_H

#include <glib.h>

#include "chestnutquay/retry.h"
#include "chestnutquay/settings_sync.h"
#include "coordination/prng.h"

struct cq_settings_sync_strategy {
	const char *name;
	/* Whether this process watches the store. */
	bool (*watches)(struct cq_settings_sync *sync);
	/* A subtree came into force here; previous: tree revision before. */
	void (*learned)(struct cq_settings_sync *sync, const char *key,
			const char *document, int64_t previous,
			int64_t revision, int64_t now_ns);
	void (*tick)(struct cq_settings_sync *sync, int64_t now_ns);
	bool (*receive)(struct cq_settings_sync *sync,
			const struct cq_peer_message *message, int64_t now_ns,
			struct cq_error *err);
	void (*member_revision)(struct cq_settings_sync *sync,
				const struct cq_member *member, int64_t now_ns);
};

/* A change on its way to the peers of the data centre. */
struct push {
	char *key;
	char *document;
	int64_t previous, revision;
	GHashTable *waiting; /* ids that have not acknowledged */
	uint32_t acknowledged;
	uint32_t reported; /* to the writer */
	uint32_t attempts;
	int64_t next_ns;
	char writer[CQ_MEMBER_NAME_BYTES];
};

/* A change that this process wrote for an operator. */
struct accepted {
	int64_t revision;
	GHashTable *by_dc; /* data centre -> acknowledgements */
};

struct cq_settings_sync {
	struct cq_settings_sync_options options;
	const struct cq_settings_sync_strategy *strategy;
	struct cq_settings *tree;
	struct cq_membership *membership;
	const struct cq_store *store;
	struct cq_settings_sync_ops ops;
	void *ctx;
	struct cq_prng prng;
	struct cq_retry *retry;
	enum cq_settings_sync_state state;
	int64_t created_ns;

	struct cq_store_call *watch;
	struct cq_store_call *list;
	int64_t next_watch_ns;
	int64_t watch_sent_ns;
	int64_t next_list_ns;
	uint32_t watch_failures;
	uint32_t list_failures;

	/* Relay. */
	int64_t next_election_ns;
	GPtrArray *pushes;   /* of struct push, oldest first */
	GPtrArray *accepted; /* of struct accepted, oldest first */
	uint64_t correlation;
	char pull_from[CQ_MEMBER_NAME_BYTES]; /* the peer asked last */
	int64_t pull_deadline_ns;
	int64_t next_pull_ns;
	int64_t wanted_revision;
	int64_t wanted_by_ns;

	bool list_wanted; /* the watch cannot go on from the revision held */
	bool elected;
	bool pulling;
	bool behind; /* a member holds a higher revision */
};

int64_t cq_settings_sync_clock_ns(const struct cq_settings_sync *sync);
/*
 * Takes a change; the tree is complete up to previous, and the caller knows of
 * no change between the two revisions.
 */
void cq_settings_sync_take(struct cq_settings_sync *sync, const char *key,
			   const char *document, int64_t revision,
			   int64_t now_ns);
void cq_settings_sync_advance(struct cq_settings_sync *sync, int64_t revision);
/* Ends the starting state. */
void cq_settings_sync_started(struct cq_settings_sync *sync);

#endif
