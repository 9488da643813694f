/*
 * A wave of submissions and a wave of cancellations for the job controllers
 * of sim_jobs.h, with a record of what became of each job and of the work that
 * the controllers did in each tick.
 */
#ifndef TESTS_SUPPORT_SIM_WAVE_H
#define TESTS_SUPPORT_SIM_WAVE_H

#include <glib.h>

#include "sim_jobs.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cq_sim_wave_record {
	uint32_t submitted;
	uint32_t finished;
	uint32_t failed;
	uint32_t cancelled;
	uint32_t removed;	/* records that disappeared */
	uint32_t changed_after; /* writes to a record that had ended */
	/* The most in one tick of one controller. */
	uint64_t most_store_calls;
	uint64_t most_commands;
	uint64_t most_records; /* taken from answers of the store */
};

struct cq_sim_wave;

/* The jobs must have been created with options.controller.metrics. */
struct cq_sim_wave *cq_sim_wave_create(struct cq_sim_jobs *jobs,
				       struct cq_metrics *metrics);
/* Before the jobs. */
void cq_sim_wave_destroy(struct cq_sim_wave *wave);
/* Submits small and large jobs evenly over the time. */
void cq_sim_wave_submit(struct cq_sim_wave *wave, uint32_t count,
			int64_t period_ms);
/* Cancels all that have not ended evenly over the time. */
void cq_sim_wave_cancel(struct cq_sim_wave *wave, int64_t period_ms);
/* Runs until all jobs have ended; false after limit_ms. */
bool cq_sim_wave_wait(struct cq_sim_wave *wave, int64_t limit_ms);
const struct cq_sim_wave_record *
cq_sim_wave_record(const struct cq_sim_wave *wave);
/* Processor time of each tick since the last call; freed by the caller. */
GArray *cq_sim_wave_take_tick_ns(struct cq_sim_wave *wave);

#ifdef __cplusplus
}
#endif

#endif
