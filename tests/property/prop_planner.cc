/*
 * Properties of the planner over generated histories: fleets, settings, jobs
 * and faults are generated, replayed in virtual time, and every plan is
 * checked against the snapshot it was made from.
 */
#include <glib.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "planner_history.h"

extern "C" {
#include "../support/fleet_sim.h"
#include "chestnutquay/clock.h"
}

namespace
{

constexpr int64_t second_ns = CQ_NS_PER_S;
constexpr int histories_per_property = 2000;
constexpr uint64_t max_steps = 8000;

/* What the checks remember between the plans of one history. */
struct checker {
	std::map<std::string, int64_t> done_ns;
	bool capacity_changed = false;
	bool settings_changed = false;
	bool was_short = false;
	bool first = true;
};

const char *name_of(const cq_snapshot *s, uint32_t worker)
{
	return s->workers[worker].name;
}

bool may_start_on(const cq_snapshot *s, uint32_t worker)
{
	return s->workers[worker].state == CQ_WORKER_UP &&
	       s->dcs[s->workers[worker].dc].state == CQ_DC_IN;
}

uint64_t region_of(const cq_snapshot *s, uint32_t worker,
		   enum cq_adjacency adjacency)
{
	const cq_fleet_worker &entry = s->workers[worker];

	if (adjacency == CQ_ADJACENT_WORKER)
		return worker;
	if (adjacency == CQ_ADJACENT_RACK)
		return ((uint64_t)entry.dc << 32) | entry.rack;
	return entry.dc;
}

/*
 * Guards against starts on accelerators in use, beyond the declared size of a
 * worker, on a worker that is lost or whose data centre is out, and against
 * gangs started in part or spread beyond their adjacency.
 */
void check_starts(const cq_snapshot *s, const cq_plan *plan)
{
	std::vector<uint64_t> used(s->worker_count, 0);
	std::vector<uint64_t> memory(s->worker_count, 0);
	std::vector<uint64_t> millicores(s->worker_count, 0);
	std::set<uint32_t> started;

	for (uint32_t t = 0; t < s->task_count; t++) {
		const cq_fleet_task &task = s->tasks[t];

		used[task.worker] |= task.accelerator_mask;
		memory[task.worker] += s->jobs[task.job].memory_bytes;
		millicores[task.worker] += s->jobs[task.job].millicores;
	}
	for (uint32_t i = 0; i < plan->action_count; i++) {
		const cq_action &action = plan->actions[i];
		std::set<uint64_t> regions;
		std::set<uint32_t> dcs;

		if (action.kind != CQ_ACTION_START)
			continue;
		const cq_fleet_job &job = s->jobs[action.job];

		RC_ASSERT(job.state == CQ_JOB_WAITING);
		RC_ASSERT(started.insert(action.job).second);
		RC_ASSERT(action.placement_count == job.tasks);
		for (uint32_t k = 0; k < action.placement_count; k++) {
			const cq_placement &p = action.placements[k];
			const cq_fleet_worker &worker = s->workers[p.worker];

			RC_ASSERT(may_start_on(s, p.worker));
			RC_ASSERT((uint32_t)__builtin_popcountll(
					  p.accelerator_mask) ==
				  job.accelerators);
			RC_ASSERT((p.accelerator_mask >> worker.accelerators) ==
				  0);
			RC_ASSERT((used[p.worker] & p.accelerator_mask) == 0);
			used[p.worker] |= p.accelerator_mask;
			memory[p.worker] += job.memory_bytes;
			millicores[p.worker] += job.millicores;
			RC_ASSERT(memory[p.worker] <= worker.memory_bytes);
			RC_ASSERT(millicores[p.worker] <= worker.millicores);
			regions.insert(region_of(s, p.worker, job.adjacency));
			dcs.insert(worker.dc);
		}
		RC_ASSERT(regions.size() == 1u);
		RC_ASSERT(dcs.size() == 1u);
		if (job.dc != CQ_FLEET_NONE)
			RC_ASSERT(*dcs.begin() == job.dc);
	}
}

/* Guards against a gang that goes on after it lost a member. */
void check_lost_members(const cq_snapshot *s, const cq_plan *plan)
{
	std::set<uint32_t> broken;

	for (uint32_t t = 0; t < s->task_count; t++)
		if (s->workers[s->tasks[t].worker].state == CQ_WORKER_LOST)
			broken.insert(s->tasks[t].job);
	for (uint32_t i = 0; i < plan->action_count; i++)
		if (plan->actions[i].kind == CQ_ACTION_STOP)
			broken.erase(plan->actions[i].job);
	RC_ASSERT(broken.empty());
}

/*
 * Guards against guarantees that cannot be carved out by stopping borrowers:
 * the cells must form every shape that is not reported short, fit together on
 * usable workers, and hold every task that is not a borrower.
 */
void check_guarantees(const checker &c, const cq_snapshot *s,
		      const cq_plan *plan, cq_planner *planner)
{
	std::vector<uint32_t> on_worker(s->worker_count, 0);
	std::map<std::pair<uint32_t, uint32_t>, uint32_t> room, held;
	std::map<uint64_t, std::vector<const cq_cell_part *>> cells;
	std::vector<uint32_t> shapes(s->guarantee_count, 0);

	for (uint32_t i = 0; i < plan->cell_count; i++) {
		const cq_cell_part &part = plan->cells[i];

		cells[part.cell].push_back(&part);
		on_worker[part.worker] += part.accelerators;
		room[{ s->guarantees[part.guarantee].workspace,
		       part.worker }] += part.accelerators;
		RC_ASSERT(may_start_on(s, part.worker));
		RC_ASSERT(!cq_planner_is_quarantined(planner,
						     name_of(s, part.worker)));
	}
	for (uint32_t w = 0; w < s->worker_count; w++)
		RC_ASSERT(on_worker[w] <= s->workers[w].accelerators);
	for (const auto &cell : cells) {
		const cq_fleet_guarantee &g =
			s->guarantees[cell.second[0]->guarantee];
		std::set<uint64_t> regions;
		uint32_t sum = 0;

		for (const cq_cell_part *part : cell.second) {
			sum += part->accelerators;
			regions.insert(region_of(s, part->worker, g.adjacency));
		}
		RC_ASSERT(sum == g.accelerators);
		RC_ASSERT(regions.size() == 1u);
		shapes[cell.second[0]->guarantee]++;
	}
	for (uint32_t i = 0; i < plan->shortfall_count; i++) {
		RC_ASSERT(plan->shortfalls[i].shapes > 0u);
		shapes[plan->shortfalls[i].guarantee] +=
			plan->shortfalls[i].shapes;
	}
	for (uint32_t g = 0; g < s->guarantee_count; g++)
		RC_ASSERT(shapes[g] == s->guarantees[g].count);
	for (uint32_t t = 0; t < s->task_count; t++) {
		const cq_fleet_task &task = s->tasks[t];
		const cq_fleet_job &job = s->jobs[task.job];

		if (plan->tiers[task.job] == CQ_TIER_GUARANTEED &&
		    may_start_on(s, task.worker) &&
		    !cq_planner_is_quarantined(planner,
					       name_of(s, task.worker)))
			held[{ job.workspace, task.worker }] +=
				job.accelerators;
	}
	for (uint32_t i = 0; i < plan->action_count; i++) {
		const cq_action &action = plan->actions[i];

		if (action.kind != CQ_ACTION_START ||
		    action.reason != CQ_REASON_GUARANTEED)
			continue;
		for (uint32_t k = 0; k < action.placement_count; k++)
			held[{ s->jobs[action.job].workspace,
			       action.placements[k].worker }] +=
				s->jobs[action.job].accelerators;
	}
	for (const auto &entry : held)
		RC_ASSERT(entry.second <= room[entry.first]);
	/* What was promised stays promised while nothing changes. */
	if (!c.first && !c.capacity_changed && !c.settings_changed &&
	    !c.was_short)
		RC_ASSERT(plan->shortfall_count == 0u);
}

/* Guards against jobs that a plan forgets, and progress that vanishes. */
void check_nothing_lost(checker &c, const cq_snapshot *s, const cq_plan *plan)
{
	std::vector<int> mentioned(s->job_count, 0);

	for (uint32_t i = 0; i < plan->action_count; i++)
		if (plan->actions[i].kind == CQ_ACTION_START ||
		    plan->actions[i].kind == CQ_ACTION_REJECT)
			mentioned[plan->actions[i].job]++;
	for (uint32_t i = 0; i < plan->wait_count; i++) {
		RC_ASSERT(plan->waits[i].reason != CQ_REASON_NONE);
		mentioned[plan->waits[i].job]++;
	}
	for (uint32_t i = 0; i < s->job_count; i++) {
		int64_t &done = c.done_ns[s->jobs[i].id];

		RC_ASSERT(mentioned[i] ==
			  (s->jobs[i].state == CQ_JOB_WAITING ? 1 : 0));
		RC_ASSERT(s->jobs[i].done_ns >= done);
		done = s->jobs[i].done_ns;
	}
}

/* Guards against the refusal of a job that could run, and a false reason. */
void check_rejections(const sim *sim_state, const cq_snapshot *s,
		      const cq_plan *plan)
{
	for (uint32_t i = 0; i < plan->action_count; i++) {
		const cq_action &action = plan->actions[i];

		if (action.kind != CQ_ACTION_REJECT)
			continue;
		const cq_fleet_job &job = s->jobs[action.job];

		if (action.reason == CQ_REASON_FAILS_ANYWHERE) {
			bool bad = false;

			for (uint32_t w = 0; w < s->worker_count; w++)
				bad = bad || sim_state->faulty_workers[w];
			RC_ASSERT(bad || sim_job_of_snapshot((sim *)sim_state,
							     action.job)
						 ->fails);
			continue;
		}
		std::map<uint64_t, uint64_t> fits;
		uint64_t best = 0;

		for (uint32_t w = 0; w < s->worker_count; w++) {
			const cq_fleet_worker &worker = s->workers[w];
			uint64_t count = CQ_FLEET_MAX_GANG;

			if (job.dc != CQ_FLEET_NONE && job.dc != worker.dc)
				continue;
			if (job.accelerators)
				count = std::min<uint64_t>(
					count,
					worker.accelerators / job.accelerators);
			if (job.memory_bytes)
				count = std::min(count,
						 worker.memory_bytes /
							 job.memory_bytes);
			if (job.millicores)
				count = std::min<uint64_t>(
					count,
					worker.millicores / job.millicores);
			uint64_t &sum = fits[region_of(s, w, job.adjacency)];
			sum += count;
			best = std::max(best, sum);
		}
		RC_ASSERT(best < job.tasks);
	}
}

/* Guards against stops of tasks within a guarantee for the sake of others. */
void check_stops(const cq_snapshot *s, const cq_plan *plan)
{
	for (uint32_t i = 0; i < plan->action_count; i++) {
		const cq_action &action = plan->actions[i];

		if (action.kind != CQ_ACTION_STOP &&
		    action.kind != CQ_ACTION_CHECKPOINT)
			continue;
		RC_ASSERT(s->jobs[action.job].state == CQ_JOB_RUNNING);
		RC_ASSERT(action.reason != CQ_REASON_NONE);
		RC_ASSERT(plan->tiers[action.job] == CQ_TIER_NONE);
	}
}

struct context {
	checker state;
	cq_planner *planner;
};

void check_plan(void *data, struct sim *sim_state, const cq_snapshot *s,
		const cq_plan *plan)
{
	context *ctx = static_cast<context *>(data);

	for (uint32_t i = 0; i < sim_state->next_event; i++) {
		const sim_event &event =
			g_array_index(sim_state->events, sim_event, i);

		if (event.kind == SIM_GUARANTEE_COUNT)
			ctx->state.settings_changed = true;
		else
			ctx->state.capacity_changed = true;
	}
	for (uint32_t w = 0; w < s->worker_count; w++)
		if (cq_planner_is_quarantined(ctx->planner, name_of(s, w)))
			ctx->state.capacity_changed = true;
	check_starts(s, plan);
	check_lost_members(s, plan);
	check_guarantees(ctx->state, s, plan, ctx->planner);
	check_nothing_lost(ctx->state, s, plan);
	check_rejections(sim_state, s, plan);
	check_stops(s, plan);
	ctx->state.was_short = ctx->state.was_short || plan->shortfall_count;
	ctx->state.first = false;
}

void add_jobs(struct sim *sim_state, const history &h)
{
	for (const job_input &in : h.jobs) {
		int64_t run_ns = in.run_s * second_ns;
		struct sim_job *job = sim_add_job(
			sim_state, in.submit_s * second_ns,
			(uint32_t)in.workspace, (uint32_t)in.class_index,
			(uint32_t)in.tasks, (uint32_t)in.accelerators,
			in.declared_percent ? run_ns * in.declared_percent / 100
					    : CQ_FLEET_UNKNOWN_NS,
			run_ns);

		job->spec.adjacency = (enum cq_adjacency)in.adjacency;
		if (in.dc >= 0 && in.dc < h.dcs)
			job->spec.dc = (uint32_t)in.dc;
		job->spec.can_checkpoint = in.can_checkpoint;
		job->spec.checkpoint_cost_ns = second_ns;
		job->spec.restart_cost_ns = second_ns / 2;
		job->memory_factor = in.memory_percent / 100.0;
		job->cpu_factor = job->memory_factor;
		job->fails = in.fails;
		if (in.cancel_s)
			job->cancel_ns =
				(in.submit_s + in.cancel_s) * second_ns;
	}
}

/* All faults end at last, so that every job can end. */
void add_events(struct sim *sim_state, const history &h)
{
	for (const event_input &in : h.events) {
		auto kind = (enum sim_event_kind)in.kind;
		uint32_t limit = (uint32_t)h.workers;
		int64_t value = in.value;

		if (kind == SIM_DC_OUT || kind == SIM_DC_IN) {
			limit = (uint32_t)h.dcs;
			value = in.value * second_ns;
		}
		if (kind == SIM_GUARANTEE_COUNT) {
			limit = (uint32_t)h.guarantees.size();
			value = in.value % 5;
		}
		if (limit)
			sim_add_event(sim_state, in.at_s * second_ns, kind,
				      (uint32_t)in.index % limit, value);
	}
	for (int i = 0; i < h.dcs; i++)
		sim_add_event(sim_state, 300 * second_ns, SIM_DC_IN,
			      (uint32_t)i, 0);
	for (int i = 0; i < h.workers; i++) {
		sim_add_event(sim_state, 300 * second_ns, SIM_WORKER_REPAIRED,
			      (uint32_t)i, 0);
		sim_add_event(sim_state, 300 * second_ns, SIM_WORKER_RETURNED,
			      (uint32_t)i, 0);
	}
}

void replay(const history &h)
{
	constexpr uint64_t gb = UINT64_C(1) << 30;
	struct fleet_builder *fleet = fleet_builder_create(
		(uint32_t)h.dcs, (uint32_t)h.workers, (uint32_t)h.rack_size,
		(uint32_t)h.accelerators, 8000, 10 * gb);
	context ctx;
	ctx.planner = cq_planner_create();
	struct sim *sim_state =
		sim_create(fleet, sim_plan_with_planner, ctx.planner);
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
	} guard{ fleet, sim_state, ctx.planner };

	fleet_add_class(fleet, "urgent", true);
	fleet_add_class(fleet, "normal", false);
	fleet_add_class(fleet, "background", false);
	fleet_add_workspace(fleet, "a");
	fleet_add_workspace(fleet, "b");
	fleet_add_workspace(fleet, "c");
	fleet->policy.completion_weight_permille =
		(uint32_t)h.completion_weight;
	fleet->policy.max_starts_per_plan = (uint32_t)h.max_starts;
	fleet->policy.max_reservations = (uint32_t)h.max_reservations;
	fleet->policy.max_evictions = (uint32_t)h.max_evictions;
	fleet->policy.min_run_ns = 5 * second_ns;
	fleet->policy.probe_interval_ns = 10 * second_ns;
	for (const guarantee_input &in : h.guarantees)
		fleet_add_guarantee(fleet, (uint32_t)in.workspace,
				    (uint32_t)in.count,
				    (uint32_t)in.accelerators,
				    (enum cq_adjacency)in.adjacency);
	sim_state->planner = ctx.planner;
	sim_state->check = check_plan;
	sim_state->check_ctx = &ctx;
	sim_state->usage_report_delay_ns = h.usage_lag_s * second_ns;
	add_jobs(sim_state, h);
	add_events(sim_state, h);
	while (sim_state->stats.plans < max_steps && sim_step(sim_state))
		;
	for (uint32_t i = 0; i < sim_state->jobs->len; i++) {
		const struct sim_job *job = sim_job_at(sim_state, i);

		if (job->state < SIM_DONE)
			RC_LOG() << "job " << job->id << " in state "
				 << job->state << " after "
				 << sim_state->stats.plans << " plans";
		RC_ASSERT(job->state >= SIM_DONE);
	}
}

bool check_histories(const char *name, emphasis e)
{
	return rc::check(name,
			 [e]() { replay(*gen_history(e).as("history")); });
}

} /* namespace */

int main()
{
	std::string params =
		"max_success=" + std::to_string(histories_per_property);
	const char *given = std::getenv("RC_PARAMS");
	bool ok = true;

	params += std::string(" ") + (given ? given : "seed=20261204");
	setenv("RC_PARAMS", params.c_str(), 1);
	ok &= check_histories("host and data centre loss",
			      { 12, 4, 100, 0, 2 });
	ok &= check_histories("usage reported late", { 2, 4, 400, 0, 2 });
	ok &= check_histories("wrong sizes", { 2, 20, 150, 0, 2 });
	ok &= check_histories("cancellations", { 4, 4, 100, 60, 2 });
	ok &= check_histories("conflicting settings", { 8, 8, 120, 10, 8 });
	return ok ? 0 : 1;
}
