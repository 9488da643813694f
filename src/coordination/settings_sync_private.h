/* State shared by the source files of the settings_sync module. */
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
	/*
	 * Called when a subtree came into force in this process; previous is
	 * the tree revision before the change. May be NULL.
	 */
	void (*on_change)(struct cq_settings_sync *sync, const char *key,
			  const char *document, int64_t previous,
			  int64_t revision, int64_t now_ns);
	void (*tick)(struct cq_settings_sync *sync, int64_t now_ns);
	bool (*receive)(struct cq_settings_sync *sync,
			const struct cq_peer_message *message, int64_t now_ns,
			struct cq_error *err);
	void (*member_revision)(struct cq_settings_sync *sync,
				const struct cq_member *member, int64_t now_ns);
};

/* A change that is being pushed to the peers of the data centre. */
struct push {
	char *key;
	char *document;
	int64_t previous_revision, revision;
	/* Ids of the peers that have not acknowledged the change. */
	GHashTable *unacknowledged;
	uint32_t acknowledged_count;
	/* Value of acknowledged_count last reported to the writer. */
	uint32_t reported_count;
	uint32_t attempts;
	int64_t next_send_ns;
	char writer[CQ_MEMBER_NAME_BYTES];
};

/* A change that this process wrote for an operator. */
struct operator_write {
	int64_t revision;
	/* Data centre name to number of acknowledgements. */
	GHashTable *acknowledged_by_dc;
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

	/* State of the relay strategy. */
	int64_t next_election_ns;
	GPtrArray *pushes; /* elements: struct push, oldest first */
	/* Elements: struct operator_write, oldest first. */
	GPtrArray *operator_writes;
	uint64_t correlation;
	/* Id of the peer that was asked last. */
	char pull_source[CQ_MEMBER_NAME_BYTES];
	int64_t pull_deadline_ns;
	int64_t next_pull_ns;
	/* Latest revision written by this process but not yet read; 0: none. */
	int64_t written_revision;
	/* Time after which the store is read in full to find it. */
	int64_t written_deadline_ns;

	/* The watch cannot continue from the tree's revision. */
	bool full_read_needed;
	bool elected; /* this process is the watcher */
	bool pulling; /* an answer to a pull is pending */
	bool behind;  /* a member has a higher revision than the tree */
};

int64_t cq_settings_sync_clock_ns(const struct cq_settings_sync *sync);
/*
 * Applies a change. The caller must know of no other change between the tree's
 * current revision and the given one.
 */
void cq_settings_sync_apply(struct cq_settings_sync *sync, const char *key,
			    const char *document, int64_t revision,
			    int64_t now_ns);
/*
 * Marks the tree as complete up to the revision, which membership then
 * announces.
 */
void cq_settings_sync_advance(struct cq_settings_sync *sync, int64_t revision);
/* Leaves the state STARTING. */
void cq_settings_sync_mark_started(struct cq_settings_sync *sync);

#endif
