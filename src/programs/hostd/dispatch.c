/* Takes part in leader election and runs the dispatcher while leading. */
#include "platform/documents.h"
#include "programs/hostd/hostd.h"

#include <string.h>

#define LEADER_LEASE_MS 1500
#define CALL_TIMEOUT_MS 600
#define WATCH_WAIT_MS 2000
/*
 * A host with at least this much CPU and bandwidth campaigns without delay.
 * With less, the delay is proportional to what is missing: half of it gives
 * half of the longest delay.
 */
#define NO_DELAY_MILLICORES 250
#define NO_DELAY_MBPS 100
#define MAX_CAMPAIGN_DELAY_MS 300
/*
 * Records of ended jobs are kept for so much longer than callers may ask for
 * their state: repeated submissions and late writes come within seconds.
 */
#define ENDED_RETENTION_MARGIN_MS 60000
#define BYTES_PER_MB (UINT64_C(1) << 20)
/*
 * Part of the memory for jobs, by their own sizes: the heap takes about as much
 * again, and connections to workers a quarter.
 */
#define JOB_MEMORY_DIVISOR 4
/*
 * Part of the store's longest value that a progress record may not use:
 * checkpoints come in after a run was counted.
 */
#define RECORD_MARGIN_DIVISOR 16

static bool may_command(void *ctx)
{
	const struct hostd *h = ctx;

	return h->leader && cq_leader_may_command(h->leader);
}

static void on_superseded(void *ctx)
{
	struct hostd *h = ctx;

	cq_leader_superseded(h->leader);
}

static const struct cq_dispatcher_ops dispatcher_ops = { may_command,
							 on_superseded };

static void on_elected(void *ctx, int64_t epoch, int64_t head_revision)
{
	struct hostd *h = ctx;
	const struct cq_dispatcher_options options = {
		.loop = h->loop,
		.clock = h->clock,
		.metrics = h->metrics,
		.worker_prefix = CQ_PLATFORM_WORKER_PREFIX,
		.parse_listing = cq_platform_registration_parse,
		.epoch = epoch,
		.head_revision = head_revision,
		.store_timeout_ms = CALL_TIMEOUT_MS,
		.max_lease_ms = h->settings.max_lease_ms,
		.remote_factor = h->settings.remote_factor,
		.max_job_bytes = (uint64_t)h->settings.memory_mb *
				 BYTES_PER_MB / JOB_MEMORY_DIVISOR,
		.max_record_bytes =
			h->settings.store_value_bytes -
			h->settings.store_value_bytes / RECORD_MARGIN_DIVISOR,
		.ended_retention_ms =
			MIN(h->settings.ended_state_ms,
			    UINT32_MAX - ENDED_RETENTION_MARGIN_MS) +
			ENDED_RETENTION_MARGIN_MS,
	};

	h->executor = cq_executor_http_create(h->worker_client, may_command, h);
	h->dispatcher = cq_dispatcher_create(&options, h->store,
					     cq_executor_http_get(h->executor),
					     &dispatcher_ops, h);
	hostd_dispatch_update(h);
}

static void on_deposed(void *ctx)
{
	struct hostd *h = ctx;

	cq_executor_http_destroy(h->executor);
	cq_dispatcher_destroy(h->dispatcher);
	h->executor = NULL;
	h->dispatcher = NULL;
}

static void on_noticed(void *ctx, const char *key, const char *value)
{
	struct hostd *h = ctx;

	if (!strcmp(key, CQ_KEY_FULL))
		cq_gateway_set_full(h->gateway, value != NULL);
}

static const struct cq_leader_ops leader_ops = { on_elected, on_deposed,
						 on_noticed };

/*
 * Hosts with little capacity campaign later, so that they lead only if there
 * is no larger host.
 */
static uint32_t campaign_delay_ms(const struct cq_platform_settings *settings)
{
	uint32_t reduction_ms = MIN(
		settings->cpu_millicores * MAX_CAMPAIGN_DELAY_MS /
			NO_DELAY_MILLICORES,
		settings->link_mbps * MAX_CAMPAIGN_DELAY_MS / NO_DELAY_MBPS);

	return reduction_ms < MAX_CAMPAIGN_DELAY_MS
		       ? MAX_CAMPAIGN_DELAY_MS - reduction_ms
		       : 0;
}

void hostd_dispatch_open(struct hostd *h)
{
	char *identity = g_strdup_printf("%s/%s", h->settings.host,
					 h->settings.front_address);
	const struct cq_leader_options options = {
		.loop = h->loop,
		.clock = h->clock,
		.identity = identity,
		.holder_prefix = CQ_KEY_LEADER_PREFIX,
		.head_key = CQ_KEY_HEAD,
		.lease_ms = MAX(LEADER_LEASE_MS, h->settings.store_min_ttl_ms),
		.call_timeout_ms = CALL_TIMEOUT_MS,
		.watch_wait_ms = WATCH_WAIT_MS,
		.campaign_delay_ms = campaign_delay_ms(&h->settings),
	};

	h->leader = cq_leader_create(&options, h->store, &leader_ops, h);
	g_free(identity);
}

void hostd_dispatch_close(struct hostd *h)
{
	if (h->dispatcher)
		on_deposed(h);
	cq_leader_destroy(h->leader);
}

void hostd_dispatch_update(struct hostd *h)
{
	if (!h->dispatcher)
		return;
	cq_dispatcher_set_evacuated(h->dispatcher, h->evacuated);
	cq_dispatcher_set_config(h->dispatcher, h->config);
}
