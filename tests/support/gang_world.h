/*
 * A pool of workers in racks, runs with estimates on them, and one gang with
 * same_rack that waits for its start. Virtual time; the real planner.
 */
#ifndef CQ_TESTS_GANG_WORLD_H
#define CQ_TESTS_GANG_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#define GANG_WORLD_ACCELERATORS 8 /* of each worker */
#define GANG_WORLD_REMOTE_FACTOR 3

struct gang_world;

struct gang_world_run {
	uint32_t rack;
	uint32_t worker; /* in the rack */
	uint32_t accelerators;
	uint32_t rank;
	int64_t estimate_ms;
	int64_t ends_ms; /* when it ends; never, if it lasts */
	bool lasts;
	uint32_t max_unavailable;
};

struct gang_world *gang_world_create(uint32_t racks, uint32_t workers_each);
void gang_world_destroy(struct gang_world *w);
/* Starts the run at time 0; false if the worker has no room for it. */
bool gang_world_add_run(struct gang_world *w, const struct gang_world_run *run);
/* The worker gets no new runs from now on. */
void gang_world_drain(struct gang_world *w, uint32_t rack, uint32_t worker);
/* Adds the gang, whose tasks take whole workers. */
void gang_world_add_gang(struct gang_world *w, uint32_t rank, uint32_t tasks,
			 int64_t estimate_ms);

/* Ends the runs that are over at that time, and plans. */
void gang_world_plan(struct gang_world *w, int64_t now_ms);

bool gang_world_started(const struct gang_world *w);
/* Number of racks that the gang runs in. */
uint32_t gang_world_racks_used(const struct gang_world *w);
/* Number of runs that gave way to the gang. */
uint32_t gang_world_preempted(const struct gang_world *w);
/* How many tasks of the gang fit now: in all racks, and in the best one. */
uint32_t gang_world_room(const struct gang_world *w);
uint32_t gang_world_best_rack(const struct gang_world *w);
/* Accelerators of all workers that may get runs, and the free ones of them. */
uint32_t gang_world_accelerators(const struct gang_world *w);
uint32_t gang_world_free_accelerators(const struct gang_world *w);

#endif
