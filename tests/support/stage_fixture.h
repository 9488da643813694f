/*
 * A pool of workers with 8 accelerators each, in one rack, and jobs of one
 * step, for single plans at a time of the test's choice. The real planner.
 */
#ifndef CQ_TESTS_STAGE_FIXTURE_H
#define CQ_TESTS_STAGE_FIXTURE_H

#include <glib.h>
#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/stage_plan.h"
#include "chestnutquay/stage_rank.h"

#define STAGE_FIXTURE_NOW_NS (INT64_C(100) * CQ_NS_PER_S)
#define STAGE_FIXTURE_RANK_BULK 3

struct stage_fixture {
	struct cq_pool *pool;
	GPtrArray *batches;
	uint32_t started;
	uint32_t preempted;
	uint32_t released; /* in all plans */
	/* Limits of the plans, see struct cq_stage_plan; 0: none */
	uint32_t round;
	uint64_t max_work;
	uint32_t max_recording;
	uint32_t recording;
	struct cq_stage_plan_result result; /* of the last plan */
};

void stage_fixture_setup(struct stage_fixture *w, int workers);
void stage_fixture_teardown(struct stage_fixture *w);
struct cq_workload_step *stage_fixture_step(const struct cq_stage *stage);
/* Adds a job of one step, accepted at STAGE_FIXTURE_NOW_NS. */
struct cq_stage *stage_fixture_add(struct stage_fixture *w, uint32_t rank,
				   uint32_t tasks, uint32_t accelerators);
/* Adds a gang; each of its tasks takes a whole worker. */
struct cq_stage *stage_fixture_add_gang(struct stage_fixture *w, uint32_t rank,
					uint32_t tasks);
/*
 * Assigns the tasks of the stage to the workers from first_worker on, as if
 * they had run for age_ns.
 */
void stage_fixture_assign(struct stage_fixture *w, struct cq_stage *stage,
			  int first_worker, int64_t age_ns);
/* Runs one plan for the stages, waited_ns after they became ready. */
void stage_fixture_plan_all(struct stage_fixture *w, struct cq_stage **stages,
			    int count, int64_t waited_ns);
void stage_fixture_plan(struct stage_fixture *w, struct cq_stage *stage,
			int64_t waited_ns);
void stage_fixture_plan_both(struct stage_fixture *w, struct cq_stage *first,
			     struct cq_stage *second);

#endif
