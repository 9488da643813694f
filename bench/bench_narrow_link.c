/*
 * Measures the time from the write of a configuration until a host behind a
 * link of some bandwidth has it, and the bytes that it receives meanwhile. The
 * store is a stand-in in the same process; parsing is not included.
 */
#include <ev.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>

#include "chestnutquay/follower.h"
#include "chestnutquay/http_client.h"
#include "platform/kv_store.h"
#include "tests/support/narrow_store.h"
#include "tests/support/wait_for.h"

/* As in cq-hostd. */
#define WATCH_WAIT_MS 1000
#define LIST_TIMEOUT_MS 2500
/* Bytes of one route in a configuration. */
#define ROUTE_BYTES 200
#define BYTES_PER_S_PER_MBPS 125000
#define CONNECTIONS 24
/* Versions that are written while the host is away. */
#define MISSED_VERSIONS 8
/* The least configApplyMs of hosts with narrow links */
#define IN_FORCE_TARGET_MS "3000"
/* Time between the beginning of a watch and the write. */
#define PHASE_STEP_S 0.24
#define PHASES 5

enum trouble {
	NO_TROUBLE,
	/* All open connections go silent before the write. */
	SILENT_BEFORE,
	/* They go silent when half of the answer has been sent. */
	SILENT_HALFWAY,
	/* They go silent when all but a twentieth has been sent. */
	SILENT_NEAR_END,
	/* Several versions are written at once. */
	MANY_VERSIONS,
};

static const char *const trouble_strings[] = {
	[NO_TROUBLE] = "none",
	[SILENT_BEFORE] = "silent_before",
	[SILENT_HALFWAY] = "silent_halfway",
	[SILENT_NEAR_END] = "silent_near_end",
	[MANY_VERSIONS] = "many_versions",
};

struct host {
	struct ev_loop *loop;
	struct narrow_store *server;
	struct cq_http_client *client;
	struct cq_kv_store *kv;
	struct cq_follower *follower;
	int64_t revision;
	ev_tstamp until_s;
};

struct measured {
	double in_force_ms;
	double received_kb;
};

static void on_changed(void *ctx, const struct cq_store_entry *entry)
{
	((struct host *)ctx)->revision = entry->revision;
}

static void on_removed(void *ctx, const char *key)
{
	(void)ctx;
	(void)key;
}

static const struct cq_follower_ops ops = {
	.changed = on_changed,
	.removed = on_removed,
};

static bool has_newest(void *ctx)
{
	const struct host *h = ctx;

	return h->revision == narrow_store_revision(h->server);
}

static bool is_time(void *ctx)
{
	return ev_time() >= ((struct host *)ctx)->until_s;
}

static void run_for(struct host *h, double seconds)
{
	h->until_s = ev_time() + seconds;
	wait_for(h->loop, is_time, h);
}

static void host_open(struct host *h, uint32_t mbps, size_t bytes)
{
	struct cq_follower_options options = {
		.clock = cq_clock_system(),
		.prefix = "op/",
		.wait_ms = WATCH_WAIT_MS,
		.list_timeout_ms = LIST_TIMEOUT_MS,
	};

	*h = (struct host){ .loop = ev_loop_new(0) };
	h->server = narrow_store_create(h->loop, mbps * BYTES_PER_S_PER_MBPS);
	h->client = cq_http_client_create(h->loop, CONNECTIONS, CONNECTIONS);
	h->kv = cq_kv_store_create(h->client, narrow_store_address(h->server));
	narrow_store_write(h->server, bytes);
	options.loop = h->loop;
	h->follower =
		cq_follower_create(&options, cq_kv_store_get(h->kv), &ops, h);
	wait_for(h->loop, has_newest, h);
}

static void host_close(struct host *h)
{
	cq_follower_destroy(h->follower);
	cq_kv_store_destroy(h->kv);
	cq_http_client_destroy(h->client);
	narrow_store_destroy(h->server);
	ev_loop_destroy(h->loop);
}

/* Returns false if the configuration is not in force after 20 s. */
static bool measure(enum trouble trouble, uint32_t routes, uint32_t mbps,
		    double phase_s, struct measured *measured)
{
	size_t bytes = (size_t)routes * ROUTE_BYTES;
	int versions = trouble == MANY_VERSIONS ? MISSED_VERSIONS : 1;
	struct host h;
	uint64_t before;
	double begin_s;
	bool ok;

	host_open(&h, mbps, bytes);
	run_for(&h, phase_s);
	before = narrow_store_sent_bytes(h.server);
	begin_s = ev_time();
	if (trouble == SILENT_BEFORE)
		narrow_store_silence(h.server);
	else if (trouble == SILENT_HALFWAY)
		narrow_store_silence_after(h.server, bytes * 2 / 3);
	else if (trouble == SILENT_NEAR_END)
		narrow_store_silence_after(h.server, bytes * 5 / 4);
	while (versions-- > 0)
		narrow_store_write(h.server, bytes);
	ok = wait_for(h.loop, has_newest, &h);
	measured->in_force_ms = (ev_time() - begin_s) * 1000.0;
	measured->received_kb =
		(double)(narrow_store_sent_bytes(h.server) - before) / 1000.0;
	host_close(&h);
	return ok;
}

static void print(enum trouble trouble, uint32_t routes, uint32_t mbps,
		  const char *unit, double value, const char *target)
{
	printf("{\"bench\":\"narrow_link\",\"metric\":"
	       "\"%s_%u_routes_%u_mbps\",\"unit\":\"%s\",\"value\":%.4g,"
	       "\"baseline\":null,\"target\":%s,\"better\":\"lower\"}\n",
	       trouble_strings[trouble], routes, mbps, unit, value, target);
	fflush(stdout);
}

/*
 * Prints the longest time over the phases of the watch, and the bytes received
 * in that case. A host that does not get the configuration shows the time after
 * which it was given up.
 */
static void report(enum trouble trouble, uint32_t routes, uint32_t mbps)
{
	struct measured longest = { 0 };
	bool in_force = true;
	int phase;

	for (phase = 0; phase < PHASES && in_force; phase++) {
		struct measured measured;

		in_force = measure(trouble, routes, mbps, phase * PHASE_STEP_S,
				   &measured);
		if (measured.in_force_ms > longest.in_force_ms)
			longest = measured;
	}
	print(trouble, routes, mbps, "ms", longest.in_force_ms,
	      IN_FORCE_TARGET_MS);
	print(trouble, routes, mbps, "kB", longest.received_kb, "null");
}

int main(void)
{
	static const uint32_t route_counts[] = { 100, 1000, 2400, 4600 };
	static const uint32_t bandwidths[] = { 10, 100, 1000 };
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(bandwidths); i++)
		for (k = 0; k < G_N_ELEMENTS(route_counts); k++)
			report(NO_TROUBLE, route_counts[k], bandwidths[i]);
	report(SILENT_BEFORE, 3, bandwidths[0]);
	for (k = 2; k < G_N_ELEMENTS(route_counts); k++) {
		report(SILENT_HALFWAY, route_counts[k], bandwidths[0]);
		report(SILENT_NEAR_END, route_counts[k], bandwidths[0]);
		report(MANY_VERSIONS, route_counts[k], bandwidths[0]);
	}
	return 0;
}
