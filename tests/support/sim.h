/*
 * Simulated time, hosts and network for tests of the state machines.
 *
 * Everything runs in one thread in the order of virtual time; the same seed
 * gives the same run. A host may be killed, restarted, paused and resumed.
 */
#ifndef TESTS_SUPPORT_SIM_H
#define TESTS_SUPPORT_SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/peer_net.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CQ_SIM_MAX_HOSTS 256
/* Pseudo host for cutting hosts off from the store. */
#define CQ_SIM_STORE CQ_SIM_MAX_HOSTS
/* Start of virtual time as Unix time. */
#define CQ_SIM_UNIX_MS INT64_C(1800000000000)

struct cq_sim;
struct cq_sim_event;

typedef void cq_sim_fn(void *ctx);

struct cq_sim *cq_sim_create(uint64_t seed);
void cq_sim_destroy(struct cq_sim *sim);
int64_t cq_sim_now_ns(const struct cq_sim *sim);
/* The virtual time itself, without drift or skew. */
const struct cq_clock *cq_sim_clock(struct cq_sim *sim);
uint64_t cq_sim_random(struct cq_sim *sim, uint64_t bound);
/* free_fn, if given, is called when the event is cancelled or dropped. */
struct cq_sim_event *cq_sim_at(struct cq_sim *sim, int64_t at_ns, cq_sim_fn *fn,
			       void *ctx, cq_sim_fn *free_fn);
void cq_sim_cancel(struct cq_sim *sim, struct cq_sim_event *event);
void cq_sim_run_until(struct cq_sim *sim, int64_t until_ns);

/* Hosts are numbered from 0 and have the address 10.0.0.N:7000. */
typedef void cq_sim_receive_fn(void *ctx,
			       const struct cq_peer_message *message);
int32_t cq_sim_host_add(struct cq_sim *sim);
const char *cq_sim_host_address(const struct cq_sim *sim, int32_t host);
/* Starts a new process on the host; callbacks of an earlier one are dropped. */
void cq_sim_host_start(struct cq_sim *sim, int32_t host, const char *id,
		       uint64_t incarnation, cq_sim_receive_fn *receive,
		       void *ctx);
void cq_sim_host_kill(struct cq_sim *sim, int32_t host);
void cq_sim_host_pause(struct cq_sim *sim, int32_t host);
void cq_sim_host_resume(struct cq_sim *sim, int32_t host);
bool cq_sim_host_is_alive(const struct cq_sim *sim, int32_t host);
bool cq_sim_host_is_paused(const struct cq_sim *sim, int32_t host);
/* Number of the process on the host; grows with each start and kill. */
uint32_t cq_sim_host_life(const struct cq_sim *sim, int32_t host);
/*
 * Runs fn in the process of that number: at once, after the pause, or never if
 * that process has ended.
 */
void cq_sim_host_post(struct cq_sim *sim, int32_t host, uint32_t life,
		      cq_sim_fn *fn, void *ctx, cq_sim_fn *free_fn);
/* The host's clock: counts pauses, runs faster by drift_ppm, off by skew_ms. */
const struct cq_clock *cq_sim_host_clock(struct cq_sim *sim, int32_t host);
void cq_sim_host_set_clock(struct cq_sim *sim, int32_t host, int32_t drift_ppm,
			   int64_t skew_ms);

/* Network. Blocks are one-way; either end may be CQ_SIM_STORE. */
struct cq_sim_net_faults {
	int64_t min_delay_ns, max_delay_ns;
	uint32_t loss_permille;
	uint32_t duplicate_permille;
};

struct cq_sim_net_stats {
	uint64_t messages;
	uint64_t bytes;
};

void cq_sim_net_faults(struct cq_sim *sim,
		       const struct cq_sim_net_faults *faults);
void cq_sim_net_block(struct cq_sim *sim, int32_t from, int32_t to, bool block);
bool cq_sim_net_is_blocked(const struct cq_sim *sim, int32_t from, int32_t to);
void cq_sim_net_heal(struct cq_sim *sim);
void cq_sim_send(struct cq_sim *sim, int32_t from, const char *address,
		 enum cq_peer_kind kind, uint64_t correlation,
		 const uint8_t *payload, size_t len);
struct cq_sim_net_stats cq_sim_net_sent(const struct cq_sim *sim, int32_t host);
struct cq_sim_net_stats cq_sim_net_received(const struct cq_sim *sim,
					    int32_t host);

#ifdef __cplusplus
}
#endif

#endif
