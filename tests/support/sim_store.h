/*
 * A key-value store in simulated time, with faults. Each host has its own
 * client; requests and answers take time, and a write may take effect after
 * its caller gave up.
 */
#ifndef TESTS_SUPPORT_SIM_STORE_H
#define TESTS_SUPPORT_SIM_STORE_H

#include "chestnutquay/store.h"
#include "sim.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cq_sim_store;

struct cq_sim_store_faults {
	bool down;	  /* connections are refused: UNAVAILABLE */
	bool hang;	  /* requests are taken and never run: UNKNOWN */
	bool keep_leases; /* leases do not run while down or hung */
	uint32_t lost_answer_permille; /* run, but UNKNOWN to the caller */
	uint32_t reset_permille; /* run, but UNKNOWN to the caller at once */
	int64_t min_delay_ns, max_delay_ns; /* each way */
};

struct cq_sim_store_stats {
	uint64_t calls; /* arrived at the store */
	uint64_t bytes; /* of answers */
};

struct cq_sim_store *cq_sim_store_create(struct cq_sim *sim);
/* After the processes and before the sim. */
void cq_sim_store_destroy(struct cq_sim_store *store);
/* The client of a host; owned by the store. */
const struct cq_store *cq_sim_store_client(struct cq_sim_store *store,
					   int32_t host);
void cq_sim_store_set_faults(struct cq_sim_store *store,
			     const struct cq_sim_store_faults *faults);
struct cq_sim_store_faults
cq_sim_store_faults(const struct cq_sim_store *store);
struct cq_sim_store_stats cq_sim_store_stats(const struct cq_sim_store *store);
/* Bytes of answers to the host. */
uint64_t cq_sim_store_host_bytes(const struct cq_sim_store *store,
				 int32_t host);
uint64_t cq_sim_store_host_calls(const struct cq_sim_store *store,
				 int32_t host);
/* Calls that the host began, whether they arrived or not. */
uint64_t cq_sim_store_host_sent(const struct cq_sim_store *store, int32_t host);
/* At once and without faults; revision as in struct cq_store_ops. 0: refused.
 */
int64_t cq_sim_store_write(struct cq_sim_store *store, const char *key,
			   const char *value, int64_t revision);
/* NULL if absent. */
const char *cq_sim_store_read(const struct cq_sim_store *store, const char *key,
			      int64_t *revision);
/* Called on each change: value NULL for a deletion. */
typedef void cq_sim_store_changed_fn(void *ctx, const char *key,
				     const char *value, int64_t revision);
void cq_sim_store_on_change(struct cq_sim_store *store,
			    cq_sim_store_changed_fn *fn, void *ctx);

#ifdef __cplusplus
}
#endif

#endif
