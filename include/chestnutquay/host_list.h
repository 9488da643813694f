/*
 * Interface to the platform's list of live and leaving hosts. The list lags
 * behind the actual state.
 */
#ifndef CHESTNUTQUAY_HOST_LIST_H
#define CHESTNUTQUAY_HOST_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum cq_host_kind {
	CQ_HOST_ENTRY,
	CQ_HOST_WORKER,
	CQ_HOST_ENDPOINT,
};

enum cq_host_state {
	CQ_HOST_LIVE,
	CQ_HOST_LEAVING,
};

const char *cq_host_kind_string(enum cq_host_kind kind);
const char *cq_host_state_string(enum cq_host_state state);

struct cq_host {
	const char *id;
	const char *address; /* IPv4:PORT */
	const char *data_centre;
	const char *rack; /* workers; "" otherwise */
	enum cq_host_kind kind;
	enum cq_host_state state;
	uint32_t slots;	      /* endpoints: max. concurrent requests */
	uint32_t connections; /* endpoints: open connections */
};

/*
 * Completion of a fetch. hosts is valid only during the call; it is NULL if
 * the list could not be fetched.
 */
typedef void cq_host_list_done_fn(void *ctx, const struct cq_host *hosts,
				  size_t count);

struct cq_host_list_ops {
	void (*fetch)(void *self, uint32_t timeout_ms,
		      cq_host_list_done_fn *done, void *ctx);
};

struct cq_host_list {
	const struct cq_host_list_ops *ops;
	void *self;
};

/*
 * Adapter for GET /v1/hosts:
 * {"hosts":[{"id","kind":"entry|worker|endpoint","address","data_centre",
 *            "rack","state":"live|leaving","slots","connections"}]}
 */
struct cq_http_client;
struct cq_host_list_http;

struct cq_host_list_http *
cq_host_list_http_create(struct cq_http_client *client, const char *address);
void cq_host_list_http_destroy(struct cq_host_list_http *http);
const struct cq_host_list *
cq_host_list_http_get(struct cq_host_list_http *http);

#endif
