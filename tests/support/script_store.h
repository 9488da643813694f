/*
 * A store whose answers are given by the test, so that any order of answers,
 * delays and losses can be written down. Calls stay open until they are
 * answered or cancelled.
 */
#ifndef TESTS_SUPPORT_SCRIPT_STORE_H
#define TESTS_SUPPORT_SCRIPT_STORE_H

#include <glib.h>

#include "chestnutquay/store.h"

enum cq_script_operation {
	CQ_SCRIPT_GET,
	CQ_SCRIPT_LIST,
	CQ_SCRIPT_PUT,
	CQ_SCRIPT_REMOVE,
	CQ_SCRIPT_GRANT,
	CQ_SCRIPT_KEEPALIVE,
	CQ_SCRIPT_REVOKE,
	CQ_SCRIPT_WATCH,
};

struct cq_store_call {
	enum cq_script_operation operation;
	char *key; /* or prefix; NULL for leases */
	char *value;
	int64_t revision;
	int64_t lease_id;
	cq_store_done_fn *done;
	void *ctx;
};

struct cq_script_store {
	struct cq_store store;
	GPtrArray *calls; /* open, oldest first */
};

void cq_script_store_init(struct cq_script_store *script);
/* Fails if a call is still open. */
void cq_script_store_clear(struct cq_script_store *script);
/* The oldest open call of the operation whose key has the prefix, or NULL. */
struct cq_store_call *cq_script_store_find(struct cq_script_store *script,
					   enum cq_script_operation operation,
					   const char *prefix);
/* Completes the call; the message is filled in. */
void cq_script_store_answer(struct cq_script_store *script,
			    struct cq_store_call *call,
			    const struct cq_store_result *result);

#endif
