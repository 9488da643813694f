/*
 * Interface to the platform's key-value store.
 *
 * Calls are asynchronous. Each ends with exactly one completion unless it is
 * cancelled. Every call counts against the store's rate limit; a watch counts
 * as one call, however long it waits.
 */
#ifndef CHESTNUTQUAY_STORE_H
#define CHESTNUTQUAY_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CQ_STORE_MAX_VALUE_BYTES (1U << 20)

enum cq_store_status {
	CQ_STORE_OK,
	CQ_STORE_CONFLICT,    /* revision did not match; nothing changed */
	CQ_STORE_NOT_FOUND,   /* no such key or lease */
	CQ_STORE_UNAVAILABLE, /* not executed */
	CQ_STORE_UNKNOWN,     /* sent; may or may not have taken effect */
	CQ_STORE_INVALID,     /* rejected as malformed or too large */
	CQ_STORE_COMPACTED,   /* watch: history compacted; list again */
	CQ_STORE_TOO_LARGE,   /* watch: more than max_bytes; list instead */
};

const char *cq_store_status_string(enum cq_store_status status);

struct cq_store_entry {
	const char *key;
	const char *value; /* NUL-terminated; NULL for a deletion (watch) */
	size_t value_len;
	int64_t revision; /* of the last change to this key */
	int64_t lease_id; /* 0: none */
};

struct cq_store_result {
	enum cq_store_status status;
	int64_t revision; /* store's revision when it ran */
	int64_t lease_id; /* set by lease_grant only */
	/* Set by get, list and watch, and with CQ_STORE_CONFLICT. */
	const struct cq_store_entry *entries;
	size_t entry_count;
	const char *message; /* for logs; never NULL */
};

typedef void cq_store_done_fn(void *ctx, const struct cq_store_result *result);

struct cq_store_call;

/* Precondition of a transaction: the key's revision, 0 if it is absent. */
struct cq_store_check {
	const char *key;
	int64_t revision;
};

struct cq_store_put {
	const char *key;
	const char *value; /* NUL-terminated */
	int64_t lease_id;  /* 0: none */
};

/*
 * Transaction that applies all of its changes or none. With CQ_STORE_CONFLICT,
 * the entries of the result are the current ones of the checked keys.
 */
struct cq_store_txn {
	const struct cq_store_check *checks;
	size_t check_count;
	const struct cq_store_put *puts;
	size_t put_count;
	const char *const *deletes;
	size_t delete_count;
};

struct cq_store_ops {
	struct cq_store_call *(*get)(void *self, const char *key,
				     uint32_t timeout_ms,
				     cq_store_done_fn *done, void *ctx);
	/* Returns all entries whose key has the prefix. */
	struct cq_store_call *(*list)(void *self, const char *prefix,
				      uint32_t timeout_ms,
				      cq_store_done_fn *done, void *ctx);
	/*
	 * Compare-and-swap: revision is the expected current revision of the
	 * key. 0 requires that the key is absent; CQ_STORE_ANY_REVISION writes
	 * unconditionally.
	 */
	struct cq_store_call *(*put)(void *self, const char *key,
				     const char *value, int64_t revision,
				     int64_t lease_id, uint32_t timeout_ms,
				     cq_store_done_fn *done, void *ctx);
	struct cq_store_call *(*remove)(void *self, const char *key,
					int64_t revision, uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx);
	struct cq_store_call *(*lease_grant)(void *self, uint32_t ttl_ms,
					     uint32_t timeout_ms,
					     cq_store_done_fn *done, void *ctx);
	struct cq_store_call *(*lease_keepalive)(void *self, int64_t lease_id,
						 uint32_t timeout_ms,
						 cq_store_done_fn *done,
						 void *ctx);
	struct cq_store_call *(*lease_revoke)(void *self, int64_t lease_id,
					      uint32_t timeout_ms,
					      cq_store_done_fn *done,
					      void *ctx);
	/*
	 * Returns the changes to keys with the prefix after the revision, in
	 * revision order. Completes as soon as there is one, or without
	 * entries after wait_ms.
	 */
	struct cq_store_call *(*watch)(void *self, const char *prefix,
				       int64_t after_revision, uint32_t wait_ms,
				       cq_store_done_fn *done, void *ctx);
	/*
	 * The same, but changes whose keys and values take more than max_bytes
	 * in all may end the call as CQ_STORE_TOO_LARGE, at the latest when so
	 * many have arrived. NULL if the store has no such watch.
	 */
	struct cq_store_call *(*watch_limited)(void *self, const char *prefix,
					       int64_t after_revision,
					       uint32_t wait_ms,
					       uint64_t max_bytes,
					       cq_store_done_fn *done,
					       void *ctx);
	/*
	 * Whether the call's answer has begun to arrive, so that the store has
	 * been reached since the call was sent. NULL if that is not known.
	 */
	bool (*answering)(void *self, const struct cq_store_call *call);
	/* Ends the call; its completion is not called. */
	void (*cancel)(void *self, struct cq_store_call *call);
	/* Executes a transaction; NULL if the store has no transactions. */
	struct cq_store_call *(*commit)(void *self,
					const struct cq_store_txn *txn,
					uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx);
};

#define CQ_STORE_ANY_REVISION INT64_C(-1)

struct cq_store {
	const struct cq_store_ops *ops;
	void *self;
};

#endif
