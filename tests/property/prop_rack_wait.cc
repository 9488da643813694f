// Gangs with same_rack among generated runs: the real planner, virtual time.
//
// Whatever runs in the racks, for however long: a gang starts in one rack as
// soon as one has room; it doesn't wait for three seconds while it fits twice
// and less than half of the accelerators are in use; one that the guarantee
// covers starts within its limit if it fits anywhere; and no gang waits for
// one rack without an end while it fits in several.
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

extern "C" {
#include "../support/gang_world.h"
}

namespace
{

constexpr int64_t plan_ms = 100;
constexpr int64_t span_ms = 120000;
// The promise to callers, and the limit of a guarantee.
constexpr int64_t idle_limit_ms = 3000;
constexpr int64_t guarantee_limit_ms = 2900;
// Of the time that a gang loses on several racks.
constexpr int64_t max_losses = 8;
constexpr uint32_t lowest_rank = 3;

struct scene {
	uint32_t racks;
	uint32_t workers;
	uint32_t rank;
	uint32_t tasks;
	int64_t estimate_ms;
	std::vector<gang_world_run> runs;
	std::vector<uint32_t> drained;
};

void showValue(const gang_world_run &r, std::ostream &os)
{
	os << "rack " << r.rack << " worker " << r.worker << ": "
	   << r.accelerators << " accelerators, rank " << r.rank;
	if (r.lasts)
		os << ", lasts";
	else
		os << ", estimate " << r.estimate_ms << " ends " << r.ends_ms;
	os << ", max_unavailable " << r.max_unavailable;
}

void showValue(const scene &s, std::ostream &os)
{
	os << s.racks << " racks of " << s.workers << ", gang of " << s.tasks
	   << " for " << s.estimate_ms << " ms, rank " << s.rank;
	for (const auto &r : s.runs) {
		os << "\n";
		showValue(r, os);
	}
	for (uint32_t k : s.drained)
		os << "\ndrained " << k;
}

rc::Gen<gang_world_run> gen_run()
{
	return rc::gen::map(
		rc::gen::tuple(rc::gen::inRange<uint32_t>(0, 4),
			       rc::gen::inRange<uint32_t>(0, 4),
			       rc::gen::inRange<uint32_t>(1, 9),
			       rc::gen::inRange<uint32_t>(0, lowest_rank + 1),
			       rc::gen::inRange<int64_t>(1, 40),
			       rc::gen::inRange<int64_t>(1, 400),
			       rc::gen::inRange<uint32_t>(0, 4)),
		[](const std::tuple<uint32_t, uint32_t, uint32_t, uint32_t,
				    int64_t, int64_t, uint32_t> &t) {
			gang_world_run r = {};

			r.rack = std::get<0>(t);
			r.worker = std::get<1>(t);
			r.accelerators = std::get<2>(t);
			r.rank = std::get<3>(t);
			r.estimate_ms = std::get<4>(t) * 500;
			r.ends_ms = std::get<5>(t) * plan_ms;
			r.lasts = std::get<6>(t) & 1;
			r.max_unavailable = std::get<6>(t) >> 1;
			return r;
		});
}

// Most scenes have to have no idle rack, whatever the size of the test: the
// first runs go to one rack each.
rc::Gen<std::vector<gang_world_run>> gen_runs()
{
	return rc::gen::mapcat(
		rc::gen::inRange<std::size_t>(0, 24), [](std::size_t count) {
			return rc::gen::container<std::vector<gang_world_run>>(
				count, gen_run());
		});
}

rc::Gen<scene> gen_scene()
{
	return rc::gen::build<scene>(
		rc::gen::set(&scene::racks, rc::gen::inRange<uint32_t>(2, 5)),
		rc::gen::set(&scene::workers, rc::gen::inRange<uint32_t>(2, 5)),
		rc::gen::set(&scene::rank,
			     rc::gen::inRange<uint32_t>(0, lowest_rank)),
		rc::gen::set(&scene::tasks, rc::gen::inRange<uint32_t>(2, 5)),
		rc::gen::set(&scene::estimate_ms,
			     rc::gen::map(rc::gen::inRange<int64_t>(1, 14),
					  [](int64_t k) { return k * 500; })),
		rc::gen::set(&scene::runs, gen_runs()),
		rc::gen::set(&scene::drained,
			     rc::gen::container<std::vector<uint32_t>>(
				     rc::gen::inRange<uint32_t>(0, 16))));
}

gang_world *build(const scene &s)
{
	gang_world *w = gang_world_create(s.racks, s.workers);

	for (std::size_t i = 0; i < s.runs.size(); i++) {
		gang_world_run r = s.runs[i];

		r.rack = i < s.racks ? i : r.rack % s.racks;
		r.worker %= s.workers;
		gang_world_add_run(w, &r);
	}
	for (uint32_t k : s.drained)
		gang_world_drain(w, k / 4 % s.racks, k % s.workers);
	gang_world_add_gang(w, s.rank, std::min(s.tasks, s.workers),
			    s.estimate_ms);
	return w;
}

// How long a state has gone on; 0 if it doesn't hold now.
struct span {
	int64_t since_ms = -1;

	int64_t update(bool holds, int64_t now_ms)
	{
		if (!holds)
			since_ms = -1;
		else if (since_ms < 0)
			since_ms = now_ms;
		return holds ? now_ms - since_ms : 0;
	}
};

void check(const scene &s)
{
	gang_world *w = build(s);
	uint32_t tasks = std::min(s.tasks, s.workers);
	int64_t loss_ms = (GANG_WORLD_REMOTE_FACTOR - 1) * s.estimate_ms;
	span idle, fits;

	for (int64_t now_ms = 0; now_ms <= span_ms; now_ms += plan_ms) {
		gang_world_plan(w, now_ms);
		if (gang_world_started(w))
			break;
		RC_ASSERT(gang_world_best_rack(w) < tasks);
		RC_ASSERT(idle.update(
				  gang_world_room(w) >= 2 * tasks &&
					  2 * gang_world_free_accelerators(w) >
						  gang_world_accelerators(w),
				  now_ms) < idle_limit_ms);
		int64_t fits_ms =
			fits.update(gang_world_room(w) >= tasks, now_ms);
		RC_ASSERT(fits_ms <= max_losses * loss_ms + plan_ms);
		RC_ASSERT(s.rank || fits_ms < guarantee_limit_ms);
	}
	RC_CLASSIFY(gang_world_racks_used(w) > 1, "spread");
	gang_world_destroy(w);
}

} // namespace

int main()
{
	return rc::check("a gang doesn't wait for one rack without an end",
			 [] { check(*gen_scene()); })
		       ? 0
		       : 1;
}
