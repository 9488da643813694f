/*
 * A submitted workload: steps of tasks, each step started after the steps that
 * it depends on.
 *
 * A workload does not change, except for the request to cancel it. It is stored
 * as JSON by the host that accepted it, see cq_workload_format(), and read by
 * the host that dispatches it. Times are Unix milliseconds; sizes are those of
 * one task.
 */
#ifndef CHESTNUTQUAY_WORKLOAD_H
#define CHESTNUTQUAY_WORKLOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/error.h"

#define CQ_WORKLOAD_ID_BYTES 17
#define CQ_WORKLOAD_MAX_STEPS 64
#define CQ_WORKLOAD_MAX_TASKS 20000
#define CQ_WORKLOAD_SPEC_BYTES 4000

struct cq_workload_step {
	uint32_t tasks;
	uint32_t cpu_millicores;
	uint32_t memory_mb;
	uint32_t accelerators;
	int64_t estimate_ms; /* run time of a task; 0: not given */
	uint64_t after;	     /* bit I: step I has to be done first */
	/* The tasks start together and end together. */
	bool gang;
	/*
	 * On more than one rack the tasks take remote_factor (a platform
	 * setting) times as long.
	 */
	bool same_rack;
	bool checkpointing;
	bool allow_duplicates;
	/*
	 * The tasks run until the job is cancelled; they are restarted however
	 * they end.
	 */
	bool long_running;
	/*
	 * Best effort: the tasks use processor time that others leave;
	 * cpu_millicores is not booked.
	 */
	bool fills;
	uint32_t max_per_worker; /* 0: no limit */
	/*
	 * Tasks that the system may take out of service at a time; 0: no limit.
	 */
	uint32_t max_unavailable;
	uint32_t target_ms; /* tail latency target of a server; 0: none */
	/* Names of any length, see text.h; NULL: not given */
	const char *required_label;
	const char *data_rack;
	const char *image;
};

struct cq_workload {
	char id[CQ_WORKLOAD_ID_BYTES];
	const char *queue;     /* see text.h; never NULL */
	const char *workspace; /* see text.h; never NULL */
	char *spec;
	struct cq_workload_step *steps;
	uint32_t step_count;
	uint32_t occurrences; /* at least 1 */
	int64_t first_run_ms; /* start of occurrence 0; 0: at once */
	int64_t interval_ms;
	int64_t accepted_ms;
	bool cancelled; /* cancellation was requested */
};

struct cq_workload *cq_workload_create(void);
void cq_workload_destroy(struct cq_workload *w);

/*
 * Checks ranges and that steps depend on earlier steps only; err names the
 * invalid field.
 */
bool cq_workload_check(const struct cq_workload *w, struct cq_error *err);
/*
 * When the occurrence is due; 0: at once, INT64_MAX: beyond the range of time.
 */
int64_t cq_workload_due_ms(const struct cq_workload *w, uint32_t occurrence);
/* Number of tasks of one occurrence. */
uint32_t cq_workload_task_count(const struct cq_workload *w);
/*
 * Encodes the workload for the store; freed with free(). Returns NULL if a text
 * of it is not UTF-8.
 */
char *cq_workload_format(const struct cq_workload *w);
/* Returns NULL and sets err if the text is not a complete, valid workload. */
struct cq_workload *cq_workload_parse(const char *json, size_t len,
				      struct cq_error *err);

#endif
