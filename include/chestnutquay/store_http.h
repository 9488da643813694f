/*
 * Store adapter for the platform's HTTP interface.
 *
 *   GET    /v1/kv/KEY                      {"revision","entries":[E]}
 *   GET    /v1/kv?prefix=P                 {"revision","entries":[E...]}
 *   PUT    /v1/kv/KEY?revision=R&lease=L   body: value
 *   DELETE /v1/kv/KEY?revision=R
 *   POST   /v1/leases?ttl_ms=T             {"lease":L}
 *   POST   /v1/leases/L/keepalive
 *   DELETE /v1/leases/L
 *   GET    /v1/watch?prefix=P&after=R&wait_ms=W
 *
 * E is {"key","value","revision","lease"}; a deletion reported by a watch has
 * no value. The status is 409 with the current entry for a conflict, 404 for a
 * missing key or lease, and 503 if the store is overloaded and did not execute
 * the call.
 */
#ifndef CHESTNUTQUAY_STORE_HTTP_H
#define CHESTNUTQUAY_STORE_HTTP_H

#include "chestnutquay/http_client.h"
#include "chestnutquay/store.h"

struct cq_store_http;

/* address is IPv4:PORT; the client must outlive the adapter. */
struct cq_store_http *cq_store_http_create(struct cq_http_client *client,
					   const char *address);
/* Cancels open calls; their completions are not called. */
void cq_store_http_destroy(struct cq_store_http *http);
const struct cq_store *cq_store_http_get(struct cq_store_http *http);
/* Returns the number of calls sent, for accounting of the rate limit. */
uint64_t cq_store_http_calls(const struct cq_store_http *http);

#endif
