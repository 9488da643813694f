/*
 * Property of the dispatcher over generated histories of jobs, leaders, ends
 * and faults of workers and store: no task runs twice at one time or again
 * after an end that was acknowledged, and once the faults are over every job
 * comes to its end.
 */
#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ostream>
#include <string>
#include <vector>

extern "C" {
#include "chestnutquay/log.h"
#include "tests/support/dispatch_world.h"
#include "tests/support/wait_for.h"
}

namespace
{

constexpr uint32_t kLeaseMs = 10000;
constexpr int kWorkers = 3;
/* Few, so that answers often leave ends out. */
constexpr uint32_t kEndsPerAnswer = 2;
constexpr int kHealRounds = 400;
/* Short, so that records are deleted while faults go on. */
constexpr uint32_t kRetentionMs = 20;

enum class kind {
	submit,
	submit_gang,
	cancel,
	end_all,
	fail_first,
	cut,
	heal,
	reboot,
	orders_vanish,
	orders_lost,
	orders_late,
	run_late_orders,
	next_leader,
	changes_lost,
	changes_vanish,
	changes_late,
	run_late_changes,
	store_down,
	store_up,
	compact,
	unlist,
	relist,
	odd_runs,
	odd_end,
	count
};

const char *const kKindNames[] = {
	"submit",	    "submit_gang",  "cancel",	      "end_all",
	"fail_first",	    "cut",	    "heal",	      "reboot",
	"orders_vanish",    "orders_lost",  "orders_late",    "run_late_orders",
	"next_leader",	    "changes_lost", "changes_vanish", "changes_late",
	"run_late_changes", "store_down",   "store_up",	      "compact",
	"unlist",	    "relist",	    "odd_runs",	      "odd_end",
};

struct event {
	kind what;
	int worker;
	int turns; /* of the loop until the next one */
};

std::ostream &operator<<(std::ostream &os, const event &e)
{
	return os << kKindNames[static_cast<int>(e.what)] << " worker "
		  << e.worker << " then " << e.turns << " turns";
}

void showValue(const event &e, std::ostream &os)
{
	os << e;
}

rc::Gen<event> gen_event()
{
	return rc::gen::construct<event>(
		rc::gen::map(rc::gen::inRange(0, static_cast<int>(kind::count)),
			     [](int i) { return static_cast<kind>(i); }),
		rc::gen::inRange(0, kWorkers), rc::gen::inRange(0, 8));
}

class run
{
      public:
	explicit run(uint32_t retention_ms)
	    : w_(dispatcher_fixture_create(kLeaseMs)),
	      workers_(dispatcher_fixture_workers(w_)),
	      store_(dispatcher_fixture_store(w_))
	{
		mem_executor_set_ends_per_answer(workers_, kEndsPerAnswer);
		for (int k = 0; k < kWorkers; k++)
			dispatcher_fixture_add_worker(w_, k);
		dispatcher_fixture_set_retention(w_, retention_ms);
		dispatcher_fixture_start_epoch(w_);
	}

	~run()
	{
		dispatcher_fixture_destroy(w_);
	}

	run(const run &) = delete;
	run &operator=(const run &) = delete;

	void apply(const event &e)
	{
		const std::string id = "worker" + std::to_string(e.worker);

		switch (e.what) {
		case kind::submit:
			dispatcher_fixture_submit(w_, ++jobs_, 3, 2, false);
			break;
		case kind::submit_gang:
			dispatcher_fixture_submit(w_, ++jobs_, 2, 6, true);
			break;
		case kind::cancel:
			if (jobs_)
				dispatcher_fixture_cancel(w_, jobs_);
			break;
		case kind::end_all:
			mem_executor_end_all(workers_);
			break;
		case kind::fail_first:
			mem_executor_end(workers_, "0000000000000001.0.0.0",
					 CQ_RUN_FAILED);
			break;
		case kind::cut:
			mem_executor_set_unreachable(workers_, id.c_str(),
						     true);
			break;
		case kind::heal:
			mem_executor_set_unreachable(workers_, id.c_str(),
						     false);
			break;
		case kind::reboot:
			mem_executor_restart(workers_, id.c_str());
			break;
		case kind::orders_vanish:
			mem_executor_fail_commands(
				workers_, MEM_EXECUTOR_DROP_COMMAND, 2);
			break;
		case kind::orders_lost:
			mem_executor_fail_commands(workers_,
						   MEM_EXECUTOR_DROP_ANSWER, 2);
			break;
		case kind::orders_late:
			mem_executor_fail_commands(
				workers_, MEM_EXECUTOR_DELAY_COMMAND, 2);
			break;
		case kind::run_late_orders:
			mem_executor_run_delayed(workers_);
			break;
		case kind::next_leader:
			dispatcher_fixture_start_epoch(w_);
			break;
		case kind::changes_lost:
			mem_store_fail_changes(store_, MEM_STORE_DROP_ANSWER,
					       1);
			break;
		case kind::changes_vanish:
			mem_store_fail_changes(store_, MEM_STORE_DROP_CHANGE,
					       1);
			break;
		case kind::changes_late:
			mem_store_fail_changes(store_, MEM_STORE_DELAY_CHANGE,
					       1);
			break;
		case kind::run_late_changes:
			mem_store_run_delayed(store_);
			break;
		case kind::store_down:
			mem_store_fail_all(store_, MEM_STORE_REFUSE);
			break;
		case kind::store_up:
			mem_store_fail_all(store_, MEM_STORE_NO_FAULT);
			break;
		case kind::compact:
			mem_store_compact(store_);
			break;
		case kind::unlist:
			dispatcher_fixture_set_registered(w_, e.worker, false);
			break;
		case kind::relist:
			dispatcher_fixture_set_registered(w_, e.worker, true);
			break;
		case kind::odd_runs:
			set_oddity(1 + e.turns, true, 0);
			break;
		case kind::odd_end:
			set_oddity(1 + e.turns, false, 1);
			break;
		case kind::count:
			break;
		}
		run_loop_iterations(dispatcher_fixture_loop(w_), e.turns);
	}

	void heal()
	{
		mem_store_fail_all(store_, MEM_STORE_NO_FAULT);
		mem_store_fail_changes(store_, MEM_STORE_NO_FAULT, 0);
		mem_executor_fail_commands(workers_, MEM_EXECUTOR_NO_FAULT, 0);
		set_oddity(0, false, 0);
		for (int k = 0; k < kWorkers; k++) {
			const std::string id = "worker" + std::to_string(k);

			mem_executor_set_unreachable(workers_, id.c_str(),
						     false);
			dispatcher_fixture_set_registered(w_, k, true);
		}
		if (dispatcher_fixture_superseded(w_))
			dispatcher_fixture_start_epoch(w_);
	}

	bool all_ended()
	{
		for (int k = 1; k <= jobs_; k++) {
			const char *state = dispatcher_fixture_state(w_, k);

			if (dispatcher_fixture_is_deleted(w_, k))
				continue;
			if (strcmp(state, "completed") != 0 &&
			    strcmp(state, "failed") != 0 &&
			    strcmp(state, "cancelled") != 0)
				return false;
		}
		return true;
	}

	bool finish()
	{
		for (int round = 0; round < kHealRounds; round++) {
			if (all_ended())
				return true;
			mem_executor_end_all(workers_);
			mem_executor_run_delayed(workers_);
			run_loop_iterations(dispatcher_fixture_loop(w_), 20);
		}
		return all_ended();
	}

	std::string breaches() const
	{
		return mem_executor_violations(workers_);
	}

      private:
	/* What the next answers have that cannot be read */
	void set_oddity(uint32_t answers, bool no_running_list,
			uint32_t end_row)
	{
		struct mem_executor_oddity odd = {};

		odd.answers = answers;
		odd.no_running_list = no_running_list;
		odd.end_row = end_row;
		mem_executor_set_oddity(workers_, &odd);
	}

	struct dispatcher_fixture *w_;
	struct mem_executor *workers_;
	struct mem_store *store_;
	int jobs_ = 0;
};

} // namespace

int main()
{
	/* To see what the dispatcher decided in a reproduced case. */
	if (std::getenv("CQ_TEST_LOG"))
		cq_log_open("prop_dispatcher", "test", CQ_LOG_INFO, nullptr);
	const bool ok = rc::check("no task runs twice, every job ends", [] {
		const auto events = *rc::gen::resize(
			40,
			rc::gen::container<std::vector<event>>(gen_event()));
		run r(*rc::gen::element(0U, kRetentionMs));

		for (const auto &e : events)
			r.apply(e);
		r.heal();
		const bool ended = r.finish();

		RC_LOG() << "breaches: " << r.breaches() << std::endl;
		RC_ASSERT(r.breaches() == "");
		RC_ASSERT(ended);
	});

	return ok ? 0 : 1;
}
