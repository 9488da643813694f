/*
 * Ways to share the slots of endpoints among hosts, on uneven load: most
 * requests come through one host. Endpoints run whatever arrives, so that the
 * excess over their slots shows.
 */
#include <math.h>

#include "../tests/support/request_world.h"
#include "plain_router.h"
#include "requests_bench.h"

#define MS CQ_NS_PER_MS
#define HOSTS 3
#define ENDPOINTS 10
#define SLOTS 8
#define SERVICE_MS 40
#define CAPACITY (ENDPOINTS * SLOTS * 1000.0 / SERVICE_MS)
#define BEGIN_MS 4000
#define END_MS 12000

static void no_slots_asked(struct cq_router *router, uint32_t borrower,
			   uint64_t borrower_incarnation, uint32_t wanted,
			   int64_t asked_ns)
{
	(void)router;
	(void)borrower;
	(void)borrower_incarnation;
	(void)wanted;
	(void)asked_ns;
}

static struct world *run(const struct cq_router_vtable *vtable)
{
	struct world_options options;
	struct world *world;
	GRand *random = g_rand_new_with_seed(11);

	world_options_init(&options);
	options.hosts = HOSTS;
	options.endpoints = ENDPOINTS;
	options.slots = SLOTS;
	options.service_ns = SERVICE_MS * MS;
	options.call_max_ms = 10000;
	options.vtable = vtable;
	world = world_create(&options);
	while (world_now(world) < END_MS * MS) {
		struct world_request request = { .timeout_ms = 4000 };
		double rate = 0.8 * CAPACITY;
		double gap_ns = -log(1 - g_rand_double(random)) / rate * 1e9;
		uint32_t host = g_rand_double(random) < 0.7
					? 0
					: g_rand_int_range(random, 1, HOSTS);

		world_run_until(world, world_now(world) + (int64_t)gap_ns);
		world_send(world, world_logical(world, &request), host);
	}
	world_run_until(world, world_now(world) + 6000 * MS);
	g_rand_free(random);
	return world;
}

static double p99_ms(const struct world *world)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));
	double result;
	uint32_t i;

	for (i = 0; i < world_results(world); i++) {
		const struct world_outcome *r = world_result(world, i);
		double took = (double)(r->done_ns - r->submitted_ns) / MS;

		if (r->submitted_ns >= BEGIN_MS * MS &&
		    r->state == WORLD_ANSWERED)
			g_array_append_val(times, took);
	}
	result = bench_percentile(times, 99);
	g_array_free(times, TRUE);
	return result;
}

void bench_slot_ways(void)
{
	struct cq_router_vtable fixed = *cq_router_vtable();
	struct world *choices;
	struct world *lending;
	struct world *shares;

	fixed.slots_asked = no_slots_asked;
	choices = run(two_choices_vtable());
	lending = run(cq_router_vtable());
	shares = run(&fixed);
	bench_report("slots_exceeded_shares_lending", "slots",
		     world_slots_exceeded(lending),
		     world_slots_exceeded(choices), 0, "lower");
	bench_report("uneven_load_p99_shares_lending", "ms", p99_ms(lending),
		     p99_ms(choices), NAN, "lower");
	bench_report("uneven_load_p99_shares_only", "ms", p99_ms(shares),
		     p99_ms(choices), NAN, "lower");
	world_destroy(choices);
	world_destroy(lending);
	world_destroy(shares);
}
