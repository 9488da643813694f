// Gangs under generated faults: the real controller, gangs and planner with
// virtual time, message delays and losses.
//
// For every history of faults: no gang runs in part for longer than a task
// lease, no task id is started twice, never do tasks of two attempts of a job
// run, and once the faults end every job finishes.
#include <rapidcheck.h>

#include <cstdio>
#include <string>
#include <vector>

extern "C" {
#include "../support/sim_jobs.h"
}

namespace
{

constexpr int64_t task_lease_ms = 15000;
constexpr int64_t step_ms = 20;
constexpr int64_t finish_limit_ms = 900000;
constexpr uint32_t host_count = 3;
constexpr uint32_t worker_count = 6;

enum class fault {
	kill_owner,
	kill_host,
	restart_host,
	pause_owner,
	resume_hosts,
	fence,
	kill_worker,
	start_worker,
	reboot_worker,
	pause_worker,
	resume_worker,
	deaf_worker,
	silent_worker,
	down_worker,
	heal_worker,
	lose_answers,
	keep_answers,
	store_loses,
	store_keeps,
	store_down,
	store_up,
	out,
	in,
	cancel,
	count,
};

struct event {
	int64_t after_ms;
	fault kind;
	uint32_t which;
};

struct shape {
	uint32_t tasks;
	uint32_t accelerators;
	int64_t expected_ms;
};

void showValue(const event &e, std::ostream &os)
{
	os << "after " << e.after_ms << " ms: fault "
	   << static_cast<int>(e.kind) << " on " << e.which;
}

void showValue(const shape &s, std::ostream &os)
{
	os << s.tasks << " x " << s.accelerators << " for " << s.expected_ms
	   << " ms";
}

rc::Gen<event> gen_event()
{
	return rc::gen::map(
		rc::gen::tuple(rc::gen::inRange<int64_t>(0, 6000),
			       rc::gen::inRange(0,
						static_cast<int>(fault::count)),
			       rc::gen::inRange<uint32_t>(0, 12)),
		[](const std::tuple<int64_t, int, uint32_t> &t) {
			return event{ std::get<0>(t),
				      static_cast<fault>(std::get<1>(t)),
				      std::get<2>(t) };
		});
}

rc::Gen<shape> gen_shape()
{
	return rc::gen::map(
		rc::gen::tuple(rc::gen::inRange<uint32_t>(1, 6),
			       rc::gen::inRange<uint32_t>(1, 9),
			       rc::gen::inRange<int64_t>(100, 30000)),
		[](const std::tuple<uint32_t, uint32_t, int64_t> &t) {
			return shape{ std::get<0>(t), std::get<1>(t),
				      std::get<2>(t) };
		});
}

class run
{
      public:
	explicit run(uint64_t seed)
	{
		struct cq_sim_jobs_options options;

		cq_sim_jobs_options_init(&options);
		options.seed = seed;
		options.hosts = host_count;
		options.workers.count = worker_count;
		jobs_ = cq_sim_jobs_create(&options);
		workers_ = cq_sim_jobs_workers(jobs_);
	}

	~run()
	{
		cq_sim_jobs_destroy(jobs_);
	}

	run(const run &) = delete;
	run &operator=(const run &) = delete;

	void submit(const std::vector<shape> &shapes)
	{
		for (const auto &s : shapes) {
			std::string id = "j" + std::to_string(ids_.size());
			struct cq_sim_job job = { id.c_str(),	  s.tasks,
						  s.accelerators, s.expected_ms,
						  true,		  false };

			cq_sim_jobs_submit(jobs_, &job);
			ids_.push_back(id);
		}
	}

	void apply(const event &e)
	{
		struct cq_sim_worker_faults faults = {};
		const auto host = static_cast<int32_t>(e.which % host_count);
		const uint32_t worker = e.which % worker_count;
		const int32_t owner = cq_sim_jobs_owner(jobs_);

		cq_sim_jobs_run_ms(jobs_, e.after_ms);
		switch (e.kind) {
		case fault::kill_owner:
			if (owner >= 0)
				cq_sim_jobs_kill(jobs_, owner);
			break;
		case fault::kill_host:
			cq_sim_jobs_kill(jobs_, host);
			break;
		case fault::restart_host:
			cq_sim_jobs_restart(jobs_, host);
			break;
		case fault::pause_owner:
			if (owner >= 0)
				cq_sim_jobs_pause(jobs_, owner);
			break;
		case fault::resume_hosts:
			resume_hosts();
			break;
		case fault::fence:
			cq_sim_jobs_fence(jobs_);
			break;
		case fault::kill_worker:
			cq_sim_worker_kill(workers_, worker);
			break;
		case fault::start_worker:
			cq_sim_worker_start(workers_, worker);
			break;
		case fault::reboot_worker:
			cq_sim_worker_kill(workers_, worker);
			cq_sim_worker_start(workers_, worker);
			break;
		case fault::pause_worker:
			cq_sim_worker_pause(workers_, worker);
			break;
		case fault::resume_worker:
			cq_sim_worker_resume(workers_, worker);
			break;
		case fault::deaf_worker:
			faults.deaf = true;
			cq_sim_worker_set_faults(workers_, worker, &faults);
			break;
		case fault::silent_worker:
			faults.silent = true;
			cq_sim_worker_set_faults(workers_, worker, &faults);
			break;
		case fault::down_worker:
			faults.down = true;
			cq_sim_worker_set_faults(workers_, worker, &faults);
			break;
		case fault::heal_worker:
			cq_sim_worker_set_faults(workers_, worker, &faults);
			break;
		case fault::lose_answers:
			cq_sim_workers_lose_answers(workers_, 300);
			break;
		case fault::keep_answers:
			cq_sim_workers_lose_answers(workers_, 0);
			break;
		case fault::store_loses:
			cq_sim_jobs_store_loses(jobs_, 300);
			break;
		case fault::store_keeps:
			cq_sim_jobs_store_loses(jobs_, 0);
			break;
		case fault::store_down:
			cq_sim_jobs_store_down(jobs_, true);
			break;
		case fault::store_up:
			cq_sim_jobs_store_down(jobs_, false);
			break;
		case fault::out:
			cq_sim_jobs_set_in(jobs_, false);
			break;
		case fault::in:
			cq_sim_jobs_set_in(jobs_, true);
			break;
		case fault::cancel:
			if (!ids_.empty())
				cq_sim_jobs_cancel(
					jobs_,
					ids_[e.which % ids_.size()].c_str());
			break;
		case fault::count:
			break;
		}
	}

	void heal()
	{
		const struct cq_sim_worker_faults none = {};

		for (uint32_t i = 0; i < worker_count; i++) {
			cq_sim_worker_set_faults(workers_, i, &none);
			cq_sim_worker_resume(workers_, i);
			cq_sim_worker_start(workers_, i);
		}
		cq_sim_workers_lose_answers(workers_, 0);
		cq_sim_jobs_store_loses(jobs_, 0);
		cq_sim_jobs_store_down(jobs_, false);
		cq_sim_jobs_set_in(jobs_, true);
		resume_hosts();
		for (uint32_t i = 0; i < host_count; i++)
			cq_sim_jobs_restart(jobs_, static_cast<int32_t>(i));
	}

	/* Finished or cancelled here, or handed to the other data centre. */
	void check_all_end()
	{
		for (const auto &id : ids_)
			RC_ASSERT(ends(id));
		cq_sim_jobs_run_ms(jobs_, 2 * task_lease_ms);
		RC_ASSERT(cq_sim_workers_live(workers_) == 0U);
	}

	void check_record() const
	{
		const auto *record = cq_sim_workers_record(workers_);

		RC_ASSERT(record->longest_part_ns <=
			  (task_lease_ms + step_ms) * CQ_NS_PER_MS);
		RC_ASSERT(record->double_attempts == 0U);
		RC_ASSERT(record->double_starts == 0U);
	}

      private:
	void resume_hosts()
	{
		for (uint32_t i = 0; i < host_count; i++)
			cq_sim_jobs_resume(jobs_, static_cast<int32_t>(i));
	}

	bool ends(const std::string &id)
	{
		struct cq_job_record record;

		for (int64_t ms = 0; ms < finish_limit_ms; ms += 500) {
			if (cq_sim_jobs_read(jobs_, CQ_SIM_JOBS_OTHER_DC,
					     id.c_str(), &record) &&
			    !cq_sim_jobs_read(jobs_, CQ_SIM_JOBS_DC, id.c_str(),
					      &record))
				return true;
			if (cq_sim_jobs_read(jobs_, CQ_SIM_JOBS_DC, id.c_str(),
					     &record) &&
			    (record.phase == CQ_PHASE_FINISHED ||
			     (record.phase == CQ_PHASE_CANCELLED &&
			      record.cancel)))
				return true;
			cq_sim_jobs_run_ms(jobs_, 500);
		}
		return false;
	}

	struct cq_sim_jobs *jobs_;
	struct cq_sim_workers *workers_;
	std::vector<std::string> ids_;
};

} // namespace

int main()
{
	bool ok = rc::check("gangs run as a whole, once, and to the end", [] {
		const auto shapes =
			*rc::gen::container<std::vector<shape>>(gen_shape());
		const auto events =
			*rc::gen::container<std::vector<event>>(gen_event());
		const auto seed = *rc::gen::inRange<uint64_t>(1, 1000);
		run r(seed);

		r.submit(shapes);
		for (const auto &e : events)
			r.apply(e);
		r.heal();
		r.check_all_end();
		r.check_record();
	});

	return ok ? 0 : 1;
}
