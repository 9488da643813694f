/*
 * Property of the planner: a workspace's guaranteed shape can always be
 * reclaimed, even while others use it and the workspace itself borrows.
 *
 * A fleet is loaded with long jobs of two workspaces. A job that needs a whole
 * shape then arrives while the plan shows enough of its guarantee unused.
 */
#include <glib.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <ostream>
#include <string>
#include <vector>

extern "C" {
#include "../support/fleet_sim.h"
#include "chestnutquay/clock.h"
}

namespace
{

constexpr int64_t second_ns = CQ_NS_PER_S;
constexpr int64_t arrival_ns = 60 * second_ns;
/* A checkpoint within its grace of 30 s, the stops and the start. */
constexpr int64_t other_bound_ns = 45 * second_ns;
constexpr int64_t urgent_bound_ns = 3500 * CQ_NS_PER_MS;
constexpr uint32_t shape_accelerators = 8;

struct load_input {
	int workspace, accelerators, submit_s, run_s;
	bool can_checkpoint;
};

struct world_input {
	int workers, shapes_a, shapes_b;
	bool urgent;
	std::vector<load_input> load;
};

std::ostream &operator<<(std::ostream &out, const world_input &w)
{
	out << w.workers << " workers, shapes " << w.shapes_a << " and "
	    << w.shapes_b << (w.urgent ? ", urgent" : "") << "\n";
	for (const load_input &l : w.load)
		out << "at " << l.submit_s << " for " << l.run_s << " ws "
		    << l.workspace << " x " << l.accelerators << " checkpoint "
		    << l.can_checkpoint << "\n";
	return out;
}

rc::Gen<world_input> gen_world()
{
	using rc::gen::inRange;
	auto load = rc::gen::build<load_input>(
		rc::gen::set(&load_input::workspace, rc::gen::element(0, 0, 1)),
		rc::gen::set(&load_input::accelerators,
			     rc::gen::element(1, 1, 2, 2, 4)),
		rc::gen::set(&load_input::submit_s, inRange(0, 50)),
		rc::gen::set(&load_input::run_s,
			     rc::gen::element(20, 30, 40, 3600)),
		rc::gen::set(&load_input::can_checkpoint,
			     rc::gen::arbitrary<bool>()));

	return rc::gen::build<world_input>(
		rc::gen::set(&world_input::workers, inRange(5, 8)),
		rc::gen::set(&world_input::shapes_a, inRange(1, 4)),
		rc::gen::set(&world_input::shapes_b, inRange(0, 3)),
		rc::gen::set(&world_input::urgent, rc::gen::arbitrary<bool>()),
		rc::gen::set(&world_input::load,
			     rc::gen::mapcat(inRange(16, 60), [load](int n) {
				     return rc::gen::container<
					     std::vector<load_input>>(n, load);
			     })));
}

/* Unused accelerators of the guarantees of a workspace, by the last plan. */
void note_unused(void *data, struct sim *, const cq_snapshot *s,
		 const cq_plan *plan)
{
	uint32_t unused = 0;

	if (s->now_ns >= arrival_ns)
		return;
	for (uint32_t i = 0; i < plan->cell_count; i++)
		if (s->guarantees[plan->cells[i].guarantee].workspace == 0)
			unused += plan->cells[i].accelerators -
				  plan->cells[i].used;
	*static_cast<uint32_t *>(data) = unused;
}

/* Guards against a shape that is not reclaimed in time. */
void check_world(const world_input &w)
{
	constexpr uint64_t gb = UINT64_C(1) << 30;
	struct fleet_builder *fleet = fleet_builder_create(
		1, (uint32_t)w.workers, 4, 8, 64000, 256 * gb);
	cq_planner *planner = cq_planner_create();
	struct sim *sim_state =
		sim_create(fleet, sim_plan_with_planner, planner);
	/* Assertions throw; the objects are released in any case. */
	struct guard {
		struct fleet_builder *fleet;
		struct sim *sim_state;
		cq_planner *planner;
		~guard()
		{
			sim_destroy(sim_state);
			cq_planner_destroy(planner);
			fleet_builder_destroy(fleet);
		}
	} guard{ fleet, sim_state, planner };
	const int64_t bound_ns = w.urgent ? urgent_bound_ns : other_bound_ns;
	uint32_t unused = 0;

	fleet_add_class(fleet, "urgent", true);
	fleet_add_class(fleet, "normal", false);
	fleet_add_workspace(fleet, "a");
	fleet_add_workspace(fleet, "b");
	fleet_add_guarantee(fleet, 0, (uint32_t)w.shapes_a, shape_accelerators,
			    CQ_ADJACENT_WORKER);
	fleet_add_guarantee(fleet, 1, (uint32_t)w.shapes_b, shape_accelerators,
			    CQ_ADJACENT_WORKER);
	for (const load_input &in : w.load) {
		struct sim_job *job = sim_add_job(
			sim_state, in.submit_s * second_ns,
			(uint32_t)in.workspace, 1, 1, (uint32_t)in.accelerators,
			in.run_s * second_ns, in.run_s * second_ns);

		job->spec.can_checkpoint = in.can_checkpoint;
		job->spec.checkpoint_cost_ns = 10 * second_ns;
	}
	sim_add_job(sim_state, arrival_ns, 0, w.urgent ? 0 : 1, 1,
		    shape_accelerators, 3600 * second_ns, 3600 * second_ns);
	sim_state->check = note_unused;
	sim_state->check_ctx = &unused;
	while (fleet->now_ns <= arrival_ns + bound_ns && sim_step(sim_state))
		;
	RC_CLASSIFY(unused >= shape_accelerators, "entitled");
	if (unused < shape_accelerators)
		return;
	for (uint32_t i = 0; i < sim_state->jobs->len; i++) {
		const struct sim_job *job = sim_job_at(sim_state, i);

		if (job->spec.accelerators == shape_accelerators)
			RC_ASSERT(job->first_start_ns >= arrival_ns &&
				  job->first_start_ns <= arrival_ns + bound_ns);
	}
}

} /* namespace */

int main()
{
	std::string params = "max_success=2000";
	const char *given = std::getenv("RC_PARAMS");

	params += std::string(" ") + (given ? given : "seed=20261204");
	setenv("RC_PARAMS", params.c_str(), 1);
	return rc::check("a guaranteed shape can be reclaimed",
			 []() { check_world(*gen_world().as("world")); })
		       ? 0
		       : 1;
}
