/*
 * Benchmark of the request path. The routers run in virtual time against
 * simulated endpoints, which queue requests that exceed their slots. The
 * loopback benchmark uses real sockets in one process.
 */
#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "../tests/support/request_world.h"
#include "plain_router.h"
#include "requests_bench.h"

#define MS CQ_NS_PER_MS
#define HOSTS 2
#define ENDPOINTS 10
#define SLOTS 8
#define SERVICE_MS 40
#define CAPACITY \
	(ENDPOINTS * SLOTS * 1000.0 / SERVICE_MS) /* requests per second */
#define WARM_UP_MS 4000
#define RUN_MS 10000
#define CLASSES 3

static const uint32_t timeouts_ms[CLASSES] = { 500, 1500, 4000 };
static const char *const class_names[CLASSES] = { "urgent", "normal",
						  "patient" };
static const double loads[] = { 0.5, 0.9, 1.5, 3.0 };

/* Result of a run at one load. */
struct load_result {
	double p50_ms[CLASSES], p99_ms[CLASSES];
	double useful_per_s; /* answers within the deadline, per second */
};

void bench_report(const char *metric, const char *unit, double value,
		  double baseline, double target, const char *better)
{
	char base_text[32] = "null";
	char target_text[32] = "null";

	if (!isnan(baseline))
		g_snprintf(base_text, sizeof(base_text), "%.6g", baseline);
	if (!isnan(target))
		g_snprintf(target_text, sizeof(target_text), "%.6g", target);
	printf("{\"bench\":\"requests\",\"metric\":\"%s\",\"unit\":\"%s\","
	       "\"value\":%.6g,\"baseline\":%s,\"target\":%s,"
	       "\"better\":\"%s\"}\n",
	       metric, unit, value, base_text, target_text, better);
	fflush(stdout);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

double bench_percentile(GArray *values, double percent)
{
	guint index;

	if (!values->len)
		return NAN;
	g_array_sort(values, compare_doubles);
	index = (guint)(percent / 100 * (values->len - 1));
	return g_array_index(values, double, index);
}

static struct world *create_world(const struct cq_router_vtable *vtable)
{
	struct world_options options;

	world_options_init(&options);
	options.hosts = HOSTS;
	options.endpoints = ENDPOINTS;
	options.slots = SLOTS;
	options.service_ns = SERVICE_MS * MS;
	options.call_max_ms = 10000;
	options.endpoint_queues = true;
	options.vtable = vtable;
	return world_create(&options);
}

/*
 * Sends requests through random hosts until until_ns, with Poisson arrivals.
 * rate is in requests per second, idempotent the share of idempotent requests.
 */
static void send_requests(struct world *world, GRand *random, double rate,
			  double idempotent, int64_t until_ns)
{
	while (world_now(world) < until_ns) {
		struct world_request request = { 0 };
		double gap_ns = -log(1 - g_rand_double(random)) / rate * 1e9;
		double kind = g_rand_double(random);

		request.rank = kind < 0.3 ? 0 : kind < 0.7 ? 1 : 2;
		request.workspace = g_rand_int_range(random, 0, 4);
		request.idempotent = g_rand_double(random) < idempotent;
		request.timeout_ms = timeouts_ms[request.rank];
		world_run_until(world, world_now(world) + (int64_t)gap_ns);
		world_send(world, world_logical(world, &request),
			   g_rand_int_range(random, 0, HOSTS));
	}
}

static void collect_result(struct world *world, struct load_result *out)
{
	GArray *times[CLASSES];
	uint32_t useful = 0;
	uint32_t i;

	for (i = 0; i < CLASSES; i++)
		times[i] = g_array_new(FALSE, FALSE, sizeof(double));
	for (i = 0; i < world_results(world); i++) {
		const struct world_outcome *r = world_result(world, i);
		double took_ms = (double)(r->done_ns - r->submitted_ns) / MS;
		bool in_time = r->state == WORLD_ANSWERED && r->status == 200 &&
			       r->done_ns <= r->deadline_ns;

		useful += in_time && r->done_ns >= WARM_UP_MS * MS &&
			  r->done_ns < (WARM_UP_MS + RUN_MS) * MS;
		/* An unanswered request keeps its caller waiting that long. */
		if (!in_time)
			took_ms = timeouts_ms[r->rank];
		if (r->submitted_ns >= WARM_UP_MS * MS)
			g_array_append_val(times[r->rank], took_ms);
	}
	for (i = 0; i < CLASSES; i++) {
		out->p50_ms[i] = bench_percentile(times[i], 50);
		out->p99_ms[i] = bench_percentile(times[i], 99);
		g_array_free(times[i], TRUE);
	}
	out->useful_per_s = useful / (RUN_MS / 1000.0);
}

static struct load_result run_load(const struct cq_router_vtable *vtable,
				   double factor)
{
	struct world *world = create_world(vtable);
	GRand *random = g_rand_new_with_seed(7);
	struct load_result figures;

	send_requests(world, random, factor * CAPACITY, 0.5,
		      (WARM_UP_MS + RUN_MS) * MS);
	world_run_until(world, world_now(world) + 6000 * MS);
	collect_result(world, &figures);
	world_destroy(world);
	g_rand_free(random);
	return figures;
}

static void bench_loads(void)
{
	struct load_result ours[G_N_ELEMENTS(loads)];
	struct load_result plain[G_N_ELEMENTS(loads)];
	double peak = 0;
	double plain_peak = 0;
	char name[64];
	size_t i;
	int c;

	for (i = 0; i < G_N_ELEMENTS(loads); i++) {
		ours[i] = run_load(cq_router_vtable(), loads[i]);
		plain[i] = run_load(plain_router_vtable(), loads[i]);
		peak = MAX(peak, ours[i].useful_per_s);
		plain_peak = MAX(plain_peak, plain[i].useful_per_s);
		for (c = 0; c < CLASSES; c++) {
			g_snprintf(name, sizeof(name), "%s_p50_at_%.1fx",
				   class_names[c], loads[i]);
			bench_report(name, "ms", ours[i].p50_ms[c],
				     plain[i].p50_ms[c], NAN, "lower");
			g_snprintf(name, sizeof(name), "%s_p99_at_%.1fx",
				   class_names[c], loads[i]);
			bench_report(name, "ms", ours[i].p99_ms[c],
				     plain[i].p99_ms[c], NAN, "lower");
		}
		g_snprintf(name, sizeof(name), "useful_answers_at_%.1fx",
			   loads[i]);
		bench_report(name, "1/s", ours[i].useful_per_s,
			     plain[i].useful_per_s, NAN, "higher");
	}
	bench_report("useful_share_of_peak_at_3x", "ratio",
		     ours[3].useful_per_s / peak,
		     plain[3].useful_per_s / plain_peak, 0.95, "higher");
}

/*
 * Returns the executions per request, less one, while two of ten endpoints fail
 * every call.
 */
static double extra_load(const struct cq_router_vtable *vtable)
{
	struct world *world = create_world(vtable);
	GRand *random = g_rand_new_with_seed(8);
	uint64_t start;
	uint32_t first;
	double extra;

	send_requests(world, random, 0.5 * CAPACITY, 1, WARM_UP_MS * MS);
	world_endpoint_faults(world, 1)->fail_fast = true;
	world_endpoint_faults(world, 2)->fail_fast = true;
	start = world_total_executions(world);
	first = world_results(world);
	send_requests(world, random, 0.5 * CAPACITY, 1,
		      (WARM_UP_MS + RUN_MS) * MS);
	world_run_until(world, world_now(world) + 6000 * MS);
	extra = (double)(world_total_executions(world) - start) /
			(world_results(world) - first) -
		1;
	world_destroy(world);
	g_rand_free(random);
	return extra;
}

enum fault { FAIL_FAST, NEVER_ANSWER, DOWN, LEAVING };

/*
 * Returns the time in ms from a fault of an endpoint until the last call to it
 * that is followed by half a second without calls; at most 5 s.
 */
static double time_to_eject(const struct cq_router_vtable *vtable,
			    enum fault fault)
{
	struct world *world = create_world(vtable);
	GRand *random = g_rand_new_with_seed(9);
	struct world_faults *faults = world_endpoint_faults(world, 3);
	uint64_t calls;
	int64_t begin;
	int64_t last;

	send_requests(world, random, 0.5 * CAPACITY, 0.5, WARM_UP_MS * MS);
	faults->fail_fast = fault == FAIL_FAST;
	faults->never_answer = fault == NEVER_ANSWER;
	faults->down = fault == DOWN;
	faults->leaving = fault == LEAVING;
	begin = world_now(world);
	last = begin;
	calls = world_endpoint_calls(world, 3);
	while (world_now(world) - last < 500 * MS &&
	       world_now(world) - begin < 5000 * MS) {
		send_requests(world, random, 0.5 * CAPACITY, 0.5,
			      world_now(world) + 5 * MS);
		if (world_endpoint_calls(world, 3) != calls)
			last = world_now(world);
		calls = world_endpoint_calls(world, 3);
	}
	world_destroy(world);
	g_rand_free(random);
	return (double)(last - begin) / MS;
}

/* Heap bytes that the router allocates in submit(). */
static struct cq_router_vtable counting;
static uint64_t counted_bytes;

static void counting_submit(struct cq_router *router,
			    const struct cq_request *request,
			    const struct cq_origin *origin, void *caller)
{
	size_t before = mallinfo2().uordblks;

	cq_router_vtable()->submit(router, request, origin, caller);
	counted_bytes += mallinfo2().uordblks - before;
}

static void bench_memory(void)
{
	struct world_request request = { .rank = 1, .timeout_ms = 9000 };
	struct world *world;
	int i;

	counting = *cq_router_vtable();
	counting.submit = counting_submit;
	world = create_world(&counting);
	world_run_until(world, WARM_UP_MS * MS);
	/* Fills all slots, so that later requests are queued. */
	for (i = 0; i < 200; i++)
		world_send(world, world_logical(world, &request), 0);
	counted_bytes = 0;
	for (i = 0; i < 1000; i++)
		world_send(world, world_logical(world, &request), 0);
	bench_report("memory_per_1000_open_requests", "KiB",
		     (double)counted_bytes / 1024, NAN, NAN, "lower");
	world_destroy(world);
}

int main(void)
{
	const struct cq_router_vtable *ours = cq_router_vtable();
	const struct cq_router_vtable *plain = plain_router_vtable();

	bench_loads();
	bench_report("extra_load_when_a_fifth_fails", "ratio", extra_load(ours),
		     extra_load(plain), 0.10, "lower");
	bench_report("time_to_eject_failing", "ms",
		     time_to_eject(ours, FAIL_FAST),
		     time_to_eject(plain, FAIL_FAST), 3000, "lower");
	bench_report("time_to_eject_silent", "ms",
		     time_to_eject(ours, NEVER_ANSWER),
		     time_to_eject(plain, NEVER_ANSWER), 3000, "lower");
	bench_report("time_to_leave", "ms", time_to_eject(ours, LEAVING),
		     time_to_eject(plain, LEAVING), 3000, "lower");
	bench_memory();
	bench_slot_sharing();
	bench_loopback();
	return 0;
}
