/*
 * Properties of the request path over generated histories: endpoint faults,
 * deaths, planned stops, pauses and cuts of entry hosts, late peer messages,
 * repeats of keyed requests through other hosts. The real router runs in
 * virtual time; the endpoints record what they ran.
 */
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "../support/request_world.h"

namespace
{

constexpr int64_t ms = CQ_NS_PER_MS;
constexpr uint32_t hosts = 3;
constexpr uint32_t endpoints = 4;
constexpr uint32_t call_max_ms = 3000;
constexpr int64_t max_extra_ms = 1500;
constexpr int64_t service_times_ms[] = { 20, 100, 400, 900 };
constexpr int64_t settle_ms = 4 * call_max_ms;

enum kind {
	SEND,
	BURST,
	REPEAT,
	ABANDON,
	ENDPOINT_FAULT,
	ENDPOINT_CLEAR,
	KILL,
	START,
	PAUSE,
	REPLACE_PAUSED,
	CUT,
	JOIN,
	DELAY,
	STOP,
	KIND_COUNT,
};

struct step {
	kind what;
	uint32_t a, b, c;
	uint32_t wait_ms;
};

std::ostream &operator<<(std::ostream &out, const step &s)
{
	static const char *const names[] = {
		"send",	 "burst", "repeat", "abandon", "endpoint-fault",
		"clear", "kill",  "start",  "pause",   "replace-paused",
		"cut",	 "join",  "delay",  "stop",
	};

	return out << names[s.what] << "(" << s.a << "," << s.b << "," << s.c
		   << ")+" << s.wait_ms << "ms";
}

rc::Gen<step> steps_gen()
{
	auto what = rc::gen::weightedElement<kind>({
		{ 12, SEND },
		{ 6, BURST },
		{ 12, REPEAT },
		{ 2, ABANDON },
		{ 6, ENDPOINT_FAULT },
		{ 3, ENDPOINT_CLEAR },
		{ 2, KILL },
		{ 3, STOP },
		{ 4, START },
		{ 2, PAUSE },
		{ 2, REPLACE_PAUSED },
		{ 2, CUT },
		{ 3, JOIN },
		{ 2, DELAY },
	});
	auto number = rc::gen::inRange<uint32_t>(0, 1000);

	return rc::gen::build<step>(
		rc::gen::set(&step::what, what), rc::gen::set(&step::a, number),
		rc::gen::set(&step::b, number), rc::gen::set(&step::c, number),
		rc::gen::set(
			&step::wait_ms,
			rc::gen::weightedOneOf<uint32_t>({
				{ 3, rc::gen::inRange<uint32_t>(0, 5) },
				{ 2, rc::gen::inRange<uint32_t>(5, 300) },
				{ 1, rc::gen::inRange<uint32_t>(300, 4000) },
			})));
}

struct run {
	world *w;
	bool paused = false;
	bool two_centres = false;
	std::vector<uint32_t> repeatable;

	explicit run(uint32_t seed, uint32_t data_centres)
	{
		world_options options;

		world_options_init(&options);
		options.seed = seed;
		options.data_centres = data_centres;
		options.hosts = hosts;
		options.endpoints = endpoints;
		options.call_max_ms = call_max_ms;
		/* Long calls fill the slots, short ones turn them over. */
		options.service_ns = service_times_ms[seed % 4] * ms;
		/* Calls of the old holder and loans made by it are over. */
		options.share_hold_ms = call_max_ms + 1000;
		options.list_lag_ns = 1000 * ms;
		w = world_create(&options);
		/* Keys minted at the start are older than the homes. */
		world_run_until(w, 4000 * ms);
	}
	run(const run &) = delete;
	run &operator=(const run &) = delete;
	~run()
	{
		world_destroy(w);
	}

	void send_new(uint32_t a, uint32_t b, uint32_t c, uint32_t host)
	{
		world_request request = {};

		request.rank = a % 3;
		request.workspace = b % 4;
		request.idempotent = c % 3 == 0;
		request.keyed = c % 3 == 1;
		request.timeout_ms = 200 + (a * 7 + b) % 2500;
		uint32_t logical = world_logical(w, &request);

		/* Without either, the caller itself would double it. */
		if (request.keyed || request.idempotent)
			repeatable.push_back(logical);
		world_send(w, logical, host % host_count());
	}

	uint32_t host_count() const
	{
		return two_centres ? 2 * hosts : hosts;
	}

	void apply(const step &s);
};

void set_fault(world_faults *f, uint32_t which)
{
	switch (which % 7) {
	case 0:
		f->down = true;
		break;
	case 1:
		f->leaving = true;
		break;
	case 2:
		f->fail_fast = true;
		break;
	case 3:
		f->never_answer = true;
		break;
	case 4:
		f->cut_answers = true;
		break;
	case 5:
		f->cross_answers = true;
		break;
	default:
		f->extra_ns = (which * 37 % max_extra_ms) * ms;
	}
}

void run::apply(const step &s)
{
	uint32_t host = s.a % host_count();
	uint32_t count = two_centres ? 2 * endpoints : endpoints;
	world_faults *f = world_endpoint_faults(w, s.a % count);

	switch (s.what) {
	case SEND:
		send_new(s.a, s.b, s.c, host);
		break;
	case BURST:
		/* Half of them through one host, which then borrows slots. */
		for (uint32_t i = 0; i < 10 + s.a % 60; i++)
			send_new(s.a + i, s.b + i * 3, s.c + i * 5,
				 s.b % 2 ? host : host + i);
		break;
	case REPEAT:
		/* Mostly a recent one, through any host. */
		if (!repeatable.empty()) {
			uint32_t back = s.b % (s.c % 4 ? 12 : 1000);
			size_t n = repeatable.size();

			world_send(w, repeatable[n - 1 - back % n], host);
		}
		break;
	case ABANDON:
		if (world_results(w))
			world_abandon(w, world_results(w) - 1 -
						 s.b % world_results(w));
		break;
	case ENDPOINT_FAULT:
		set_fault(f, s.b);
		break;
	case ENDPOINT_CLEAR:
		*f = world_faults{};
		break;
	case KILL:
		world_kill_host(w, host);
		break;
	case START:
		for (uint32_t i = 0; i < host_count(); i++)
			if (!world_host_up(w, (host + i) % host_count())) {
				world_kill_host(w, (host + i) % host_count());
				world_start_host(w, (host + i) % host_count());
				break;
			}
		break;
	case PAUSE:
		paused = true;
		world_pause_host(w, host, (50 + s.b * 5) * ms);
		break;
	case REPLACE_PAUSED:
		/* The old process wakes up later and must do no harm. */
		paused = true;
		world_pause_host(w, host, (600 + s.b * 5) * ms);
		world_run_until(w, world_now(w) + 500 * ms);
		world_start_host(w, host);
		break;
	case CUT:
		world_cut_host(w, host, true);
		break;
	case JOIN:
		world_cut_host(w, host, false);
		break;
	case DELAY:
		world_delay_host(w, host, s.b % 3 ? s.b % 1200 * ms : 0);
		break;
	case STOP:
		world_stop_host(w, host);
		break;
	case KIND_COUNT:
		break;
	}
	world_run_until(w, world_now(w) + s.wait_ms * ms);
}

bool sent_once(const world *w, uint32_t logical)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < world_results(w); i++)
		n += world_result(w, i)->logical == logical;
	return n == 1;
}

/* Whether a repeat was accepted after the answer was decided. */
bool sent_after(const world *w, const world_outcome *result)
{
	for (uint32_t i = 0; i < world_results(w); i++) {
		const world_outcome *other = world_result(w, i);

		if (other->logical == result->logical &&
		    other->submitted_ns >= result->decided_ns)
			return true;
	}
	return false;
}

/* Repeats of an idempotent request are independent requests. */
void check_refusal_is_true(const world *w, const world_outcome *result)
{
	if (world_logical_idempotent(w, result->logical) &&
	    !sent_once(w, result->logical))
		return;
	/*
	 * A repeat that is accepted later may run before a late answer comes
	 * (docs/requests.md, "no" is true).
	 */
	RC_ASSERT(result->ran_before_decision == 0U);
	if (!sent_after(w, result))
		RC_ASSERT(result->ran_before == 0U);
	/* "no" also means that no earlier copy runs afterwards. */
	if (!sent_after(w, result))
		RC_ASSERT(world_executions(w, result->logical) == 0U);
}

void check_result(const run &r, const world_outcome *result)
{
	RC_ASSERT(result->state != WORLD_OPEN);
	RC_ASSERT(result->answers <= 1U);
	if (result->state == WORLD_ANSWERED) {
		/* Never another's answer, and never without running. */
		RC_ASSERT(result->own_answer);
		RC_ASSERT(result->ran_before >= 1U);
	}
	if (result->state == WORLD_REFUSED && result->run == CQ_REQUEST_NOT_RUN)
		check_refusal_is_true(r.w, result);
	/* Ticks are 20 ms apart; a paused host answers late. */
	if (!r.paused && result->state != WORLD_LOST)
		RC_ASSERT(result->done_ns <= result->deadline_ns + 100 * ms);
	if (!world_logical_idempotent(r.w, result->logical))
		RC_ASSERT(world_executions(r.w, result->logical) <= 1U);
}

void check_history(uint32_t seed, bool two_centres,
		   const std::vector<step> &steps)
{
	run r(seed, two_centres ? 2 : 1);

	r.two_centres = two_centres;
	for (const step &s : steps)
		r.apply(s);
	world_run_until(r.w, world_now(r.w) + settle_ms * ms);
	for (uint32_t i = 0; i < world_results(r.w); i++)
		check_result(r, world_result(r.w, i));
	RC_ASSERT(world_slots_exceeded(r.w) == 0U);
	RC_ASSERT(world_connections_exceeded(r.w) == 0U);
}

} // namespace

int main()
{
	const char *params = getenv("RC_PARAMS");
	bool ok = true;

	/* Rare combinations need more than RapidCheck's 100 histories. */
	setenv("RC_PARAMS",
	       (std::string("max_success=1200 ") + (params ? params : ""))
		       .c_str(),
	       1);

	ok &= rc::check("one data centre: outcomes agree with what ran", [] {
		check_history(
			*rc::gen::arbitrary<uint32_t>(), false,
			*rc::gen::container<std::vector<step>>(steps_gen()));
	});
	ok &= rc::check("two data centres: outcomes agree with what ran", [] {
		check_history(
			*rc::gen::arbitrary<uint32_t>(), true,
			*rc::gen::container<std::vector<step>>(steps_gen()));
	});
	ok &= rc::check("a repeat runs before a late refusal comes", [] {
		check_history(26078, false,
			      { { BURST, 161, 0, 0, 462 },
				{ BURST, 352, 27, 46, 0 },
				{ REPEAT, 0, 0, 0, 306 },
				{ DELAY, 0, 247, 0, 2 },
				{ REPEAT, 0, 471, 1, 493 },
				{ REPEAT, 17, 279, 1, 0 } });
	});
	return ok ? 0 : 1;
}
