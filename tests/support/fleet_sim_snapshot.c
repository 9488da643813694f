#include "fleet_sim.h"

void sim_fill_snapshot(struct sim *sim)
{
	struct fleet_builder *fleet = sim->fleet;
	GHashTable *positions = g_hash_table_new(NULL, NULL);
	uint32_t i;
	uint32_t k;

	g_array_set_size(fleet->jobs, 0);
	g_array_set_size(fleet->tasks, 0);
	for (i = 0; i < sim->active->len; i++)
		g_hash_table_insert(positions,
				    GUINT_TO_POINTER(g_array_index(
					    sim->active, uint32_t, i)),
				    GUINT_TO_POINTER(i + 1));
	for (i = 0; i < sim->active->len; i++) {
		const struct sim_job *job = sim_job_of_snapshot(sim, i);
		struct cq_fleet_job entry = job->spec;

		/* In the spec, stop_for is an index into sim->jobs. */
		if (entry.stop_for != CQ_FLEET_NONE) {
			entry.stop_for = GPOINTER_TO_UINT(g_hash_table_lookup(
				positions, GUINT_TO_POINTER(entry.stop_for)));
			if (entry.stop_for-- == 0)
				entry.stop_requested_ns = 0;
		}
		g_array_append_val(fleet->jobs, entry);
		if (job->state != SIM_RUNNING)
			continue;
		for (k = 0; k < entry.tasks; k++) {
			struct cq_fleet_task task = {
				.job = i,
				.rank = k,
				.worker = job->placements[k].worker,
				.accelerator_mask =
					job->placements[k].accelerator_mask,
				.cell = job->placements[k].cell,
				.throttle_percent = job->throttles[k],
			};

			if (fleet->now_ns - entry.started_ns >=
			    sim->usage_report_delay_ns) {
				task.observed_millicores =
					(uint32_t)(entry.millicores *
						   job->cpu_factor *
						   job->throttles[k] / 100);
				task.observed_memory_bytes =
					(uint64_t)((double)entry.memory_bytes *
						   job->memory_factor);
			}
			g_array_append_val(fleet->tasks, task);
		}
	}
	g_hash_table_destroy(positions);
}
