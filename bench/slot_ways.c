/*
 * Compares policies that share the slots of endpoints among entry hosts under
 * uneven load: most requests come through one host. The endpoints accept more
 * calls than they have slots, so that the excess can be measured.
 */
#include <math.h>

#include "../tests/support/request_world.h"
#include "plain_router.h"
#include "requests_bench.h"

#define MS CQ_NS_PER_MS
#define HOSTS 3
#define ENDPOINTS 9 /* divisible by HOSTS */
#define SLOTS 8
#define SERVICE_MS 40
/* Requests per second. */
#define CAPACITY (ENDPOINTS * SLOTS * 1000.0 / SERVICE_MS)
#define BEGIN_MS 4000
#define END_MS 12000
#define DEATH_MS 6000 /* observed time after the death of a host */

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

/*
 * Sends requests at 80 % of capacity until until_ns, 70 % of them through
 * host 0.
 */
static void send_requests(struct world *world, GRand *random, uint32_t hosts,
			  int64_t until_ns)
{
	while (world_now(world) < until_ns) {
		struct world_request request = { .timeout_ms = 4000 };
		double rate = 0.8 * CAPACITY;
		double gap_ns = -log(1 - g_rand_double(random)) / rate * 1e9;
		uint32_t host = 0;

		if (g_rand_double(random) >= 0.7)
			host = (uint32_t)g_rand_int_range(random, 1,
							  (gint32)hosts);
		world_run_until(world, world_now(world) + (int64_t)gap_ns);
		world_send(world, world_logical(world, &request), host);
	}
}

/*
 * Kills the last host and returns the share of later requests, sent through the
 * other hosts, that are answered.
 */
static double answered_share_after_death(struct world *world, GRand *random)
{
	uint32_t first = world_results(world);
	uint32_t answered = 0;
	uint32_t i;

	world_kill_host(world, HOSTS - 1);
	send_requests(world, random, HOSTS - 1, (END_MS + DEATH_MS) * MS);
	world_run_until(world, world_now(world) + 6000 * MS);
	for (i = first; i < world_results(world); i++)
		answered += world_result(world, i)->state == WORLD_ANSWERED;
	return (double)answered / (world_results(world) - first);
}

/*
 * Runs a policy. If owners is set, each host owns a part of the endpoints and
 * forwards requests that exceed its slots. This is modelled by one data centre
 * per host, with the same latency between data centres as within one.
 */
static struct world *run_policy(const struct cq_router_vtable *vtable,
				bool owners, double *after_death)
{
	struct world_options options;
	struct world *world;
	GRand *random = g_rand_new_with_seed(11);

	world_options_init(&options);
	options.hosts = owners ? 1 : HOSTS;
	options.data_centres = owners ? HOSTS : 1;
	options.endpoints = ENDPOINTS / options.data_centres;
	options.wan_ns = options.link_ns;
	options.slots = SLOTS;
	options.service_ns = SERVICE_MS * MS;
	options.call_max_ms = 10000;
	options.vtable = vtable;
	world = world_create(&options);
	send_requests(world, random, HOSTS, END_MS * MS);
	*after_death = answered_share_after_death(world, random);
	g_rand_free(random);
	return world;
}

static struct cq_router *create_owner(const struct cq_router_setup *setup)
{
	struct cq_router_setup owner = *setup;

	/* Forwarding to another owner is normal, so it needs no margin. */
	owner.options.spill_margin_ms = 0;
	return cq_router_vtable()->create(&owner);
}

static double p99_ms(const struct world *world, int64_t begin_ms,
		     int64_t end_ms)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));
	double result;
	uint32_t i;

	for (i = 0; i < world_results(world); i++) {
		const struct world_outcome *r = world_result(world, i);
		double took = (double)(r->done_ns - r->submitted_ns) / MS;

		if (r->submitted_ns >= begin_ms * MS &&
		    r->submitted_ns < end_ms * MS && r->state == WORLD_ANSWERED)
			g_array_append_val(times, took);
	}
	result = bench_percentile(times, 99);
	g_array_free(times, TRUE);
	return result;
}

static double unanswered_share(const struct world *world)
{
	uint32_t count = 0;
	uint32_t bad = 0;
	uint32_t i;

	for (i = 0; i < world_results(world); i++) {
		const struct world_outcome *r = world_result(world, i);

		if (r->submitted_ns < BEGIN_MS * MS ||
		    r->submitted_ns >= END_MS * MS)
			continue;
		count++;
		bad += r->state != WORLD_ANSWERED;
	}
	return (double)bad / count;
}

static void report_policy(const char *policy,
			  const struct cq_router_vtable *vtable, bool owners)
{
	double after_death;
	struct world *world = run_policy(vtable, owners, &after_death);
	char name[64];

	g_snprintf(name, sizeof(name), "slots_exceeded_%s", policy);
	bench_report(name, "slots", world_slots_exceeded(world), NAN, 0,
		     "lower");
	g_snprintf(name, sizeof(name), "uneven_load_p99_%s", policy);
	bench_report(name, "ms", p99_ms(world, BEGIN_MS, END_MS), NAN, NAN,
		     "lower");
	g_snprintf(name, sizeof(name), "uneven_load_not_answered_%s", policy);
	bench_report(name, "ratio", unanswered_share(world), NAN, NAN, "lower");
	g_snprintf(name, sizeof(name), "answered_after_host_death_%s", policy);
	bench_report(name, "ratio", after_death, NAN, NAN, "higher");
	g_snprintf(name, sizeof(name), "p99_after_host_death_%s", policy);
	bench_report(name, "ms", p99_ms(world, END_MS, INT32_MAX), NAN, NAN,
		     "lower");
	world_destroy(world);
}

void bench_slot_sharing(void)
{
	struct cq_router_vtable fixed = *cq_router_vtable();
	struct cq_router_vtable owner = *cq_router_vtable();

	fixed.slots_asked = no_slots_asked;
	owner.create = create_owner;
	report_policy("two_choices", two_choices_vtable(), false);
	report_policy("shares_only", &fixed, false);
	report_policy("shares_lending", cq_router_vtable(), false);
	report_policy("owner_hosts", &owner, true);
}
