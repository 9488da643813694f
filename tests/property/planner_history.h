/*
 * Generators of histories for the planner's properties: a fleet, settings,
 * jobs and faults.
 */
#ifndef CQ_TESTS_PLANNER_HISTORY_H
#define CQ_TESTS_PLANNER_HISTORY_H

#include <rapidcheck.h>

#include <ostream>
#include <vector>

namespace
{

struct job_input {
	int submit_s, workspace, class_index, tasks, accelerators;
	int adjacency, dc, run_s, declared_percent, memory_percent;
	int cancel_s; /* 0: never */
	bool can_checkpoint, fails;
};

struct event_input {
	int at_s, kind, index, value;
};

struct guarantee_input {
	int workspace, count, accelerators, adjacency;
};

struct history {
	int dcs, workers, rack_size, accelerators, usage_lag_s;
	int completion_weight, max_starts, max_reservations, max_evictions;
	std::vector<guarantee_input> guarantees;
	std::vector<job_input> jobs;
	std::vector<event_input> events;
};

std::ostream &operator<<(std::ostream &out, const history &h)
{
	out << "dcs " << h.dcs << " workers " << h.workers << " rack_size "
	    << h.rack_size << " accelerators " << h.accelerators << " lag "
	    << h.usage_lag_s << " weight " << h.completion_weight
	    << " max_starts " << h.max_starts << " max_reservations "
	    << h.max_reservations << " max_evictions " << h.max_evictions
	    << "\n";
	for (const guarantee_input &g : h.guarantees)
		out << "guarantee ws " << g.workspace << " count " << g.count
		    << " x " << g.accelerators << " adjacency " << g.adjacency
		    << "\n";
	for (const job_input &j : h.jobs)
		out << "job at " << j.submit_s << " ws " << j.workspace
		    << " class " << j.class_index << " " << j.tasks << " x "
		    << j.accelerators << " adjacency " << j.adjacency << " dc "
		    << j.dc << " run " << j.run_s << " declared "
		    << j.declared_percent << "% memory " << j.memory_percent
		    << "% cancel " << j.cancel_s << " checkpoint "
		    << j.can_checkpoint << " fails " << j.fails << "\n";
	for (const event_input &e : h.events)
		out << "event at " << e.at_s << " kind " << e.kind << " index "
		    << e.index << " value " << e.value << "\n";
	return out;
}

/* What a property stresses; every property checks all invariants. */
struct emphasis {
	int max_events;
	int max_accelerators; /* of a task; more than a worker has */
	int max_memory_percent;
	int cancel_percent;
	int max_guarantee_count;
};

rc::Gen<job_input> gen_job(emphasis e)
{
	using rc::gen::inRange;

	return rc::gen::build<job_input>(
		rc::gen::set(&job_input::submit_s, inRange(0, 200)),
		rc::gen::set(&job_input::workspace, inRange(0, 3)),
		rc::gen::set(&job_input::class_index, inRange(0, 3)),
		rc::gen::set(
			&job_input::tasks,
			rc::gen::weightedElement<int>(
				{ { 6, 1 }, { 2, 2 }, { 1, 4 }, { 1, 6 } })),
		rc::gen::set(&job_input::accelerators,
			     inRange(0, e.max_accelerators + 1)),
		rc::gen::set(&job_input::adjacency, inRange(0, 3)),
		rc::gen::set(&job_input::dc,
			     rc::gen::weightedElement<int>(
				     { { 8, -1 }, { 1, 0 }, { 1, 1 } })),
		rc::gen::set(&job_input::run_s, inRange(1, 120)),
		rc::gen::set(&job_input::declared_percent,
			     rc::gen::element(0, 10, 50, 100, 300, 1000)),
		rc::gen::set(&job_input::memory_percent,
			     inRange(50, e.max_memory_percent + 1)),
		rc::gen::set(&job_input::cancel_s,
			     rc::gen::weightedOneOf<int>(
				     { { (size_t)(100 - e.cancel_percent),
					 rc::gen::just(0) },
				       { (size_t)e.cancel_percent,
					 inRange(1, 250) } })),
		rc::gen::set(&job_input::can_checkpoint,
			     rc::gen::arbitrary<bool>()),
		rc::gen::set(&job_input::fails,
			     rc::gen::weightedElement<bool>(
				     { { 19, false }, { 1, true } })));
}

template <typename T>
rc::Gen<std::vector<T>> gen_list(int min, int max, rc::Gen<T> element)
{
	return rc::gen::mapcat(
		rc::gen::inRange(min, max + 1), [element](int count) {
			return rc::gen::container<std::vector<T>>(count,
								  element);
		});
}

rc::Gen<history> gen_history(emphasis e)
{
	using rc::gen::inRange;
	auto guarantee = rc::gen::build<guarantee_input>(
		rc::gen::set(&guarantee_input::workspace, inRange(0, 3)),
		rc::gen::set(&guarantee_input::count,
			     inRange(0, e.max_guarantee_count + 1)),
		rc::gen::set(&guarantee_input::accelerators,
			     rc::gen::element(1, 2, 3, 4, 8, 16)),
		rc::gen::set(&guarantee_input::adjacency, inRange(0, 3)));
	auto event = rc::gen::build<event_input>(
		rc::gen::set(&event_input::at_s, inRange(0, 250)),
		rc::gen::set(&event_input::kind, inRange(0, 7)),
		rc::gen::set(&event_input::index, inRange(0, 8)),
		rc::gen::set(&event_input::value, inRange(0, 60)));

	return rc::gen::build<history>(
		rc::gen::set(&history::dcs, inRange(1, 4)),
		rc::gen::set(&history::workers, inRange(3, 9)),
		rc::gen::set(&history::rack_size, inRange(1, 4)),
		rc::gen::set(&history::accelerators, rc::gen::element(2, 4, 8)),
		rc::gen::set(&history::usage_lag_s, inRange(0, 30)),
		rc::gen::set(&history::completion_weight, inRange(0, 1001)),
		rc::gen::set(&history::max_starts, inRange(1, 20)),
		rc::gen::set(&history::max_reservations, inRange(0, 5)),
		rc::gen::set(&history::max_evictions, inRange(0, 4)),
		rc::gen::set(&history::guarantees,
			     gen_list(0, 4,
				      rc::Gen<guarantee_input>(guarantee))),
		rc::gen::set(&history::jobs, gen_list(1, 24, gen_job(e))),
		rc::gen::set(&history::events,
			     gen_list(0, e.max_events,
				      rc::Gen<event_input>(event))));
}

} /* namespace */

#endif
