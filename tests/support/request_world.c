#include "request_world.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "request_world_internal.h"

static const char *const class_names[WORLD_MAX_CLASSES] = { "c0", "c1", "c2",
							    "c3" };
static const char *const workspace_names[4] = { "w0", "w1", "w2", "w3" };

const char *const world_centre_names[] = { "dc0", "dc1", "dc2", "dc3" };

static int64_t process_now_ns(void *ctx);
static int64_t process_unix_ms(void *ctx);
static bool policy_workspace(void *ctx, const char *name, uint32_t *weight);
static bool policy_class(void *ctx, const char *name, uint32_t *rank);
static void on_tick(struct world *world, void *ctx);
static void on_list(struct world *world, void *ctx);

static const struct cq_clock_ops clock_ops = { process_now_ns,
					       process_unix_ms };
static const struct cq_router_policy_ops policy_ops = { policy_workspace,
							policy_class };

void world_options_init(struct world_options *options)
{
	memset(options, 0, sizeof(*options));
	options->seed = 1;
	options->data_centres = 1;
	options->hosts = 2;
	options->endpoints = 4;
	options->slots = 8;
	options->connections = 60;
	options->service_ns = 20 * CQ_NS_PER_MS;
	options->service_spread = 0.5;
	options->link_ns = 200 * CQ_NS_PER_US;
	options->wan_ns = CQ_NS_PER_MS;
	options->call_max_ms = 30000;
	options->vtable = cq_router_vtable();
}

/* All hosts' clocks agree on elapsed time; their Unix clocks differ a little.
 */
static int64_t process_now_ns(void *ctx)
{
	const struct process *process = ctx;

	return process->world->now_ns;
}

static int64_t process_unix_ms(void *ctx)
{
	const struct process *process = ctx;

	return WORLD_UNIX_MS + process->world->now_ns / CQ_NS_PER_MS +
	       (int64_t)(process->incarnation % 5) * 200 - 400;
}

static bool policy_workspace(void *ctx, const char *name, uint32_t *weight)
{
	(void)ctx;
	*weight = (uint32_t)(name[1] - '0') + 1;
	return true;
}

static bool policy_class(void *ctx, const char *name, uint32_t *rank)
{
	(void)ctx;
	*rank = (uint32_t)(name[1] - '0');
	return true;
}

static bool earlier(const struct event *a, const struct event *b)
{
	return a->at_ns != b->at_ns ? a->at_ns < b->at_ns
				    : a->sequence < b->sequence;
}

void world_at(struct world *world, int64_t at_ns, world_event_fn *fn, void *ctx)
{
	struct event event = { MAX(at_ns, world->now_ns),
			       world->next_sequence++, fn, ctx };
	struct event *heap;
	guint i = world->events->len;

	g_array_append_val(world->events, event);
	heap = (struct event *)(void *)world->events->data;
	while (i && earlier(&event, &heap[(i - 1) / 2])) {
		heap[i] = heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	heap[i] = event;
}

static struct event pop_event(struct world *world)
{
	struct event *heap = (struct event *)(void *)world->events->data;
	struct event first = heap[0];
	struct event last = heap[world->events->len - 1];
	guint count = world->events->len - 1;
	guint i = 0;

	while (2 * i + 1 < count) {
		guint child = 2 * i + 1;

		if (child + 1 < count &&
		    earlier(&heap[child + 1], &heap[child]))
			child++;
		if (!earlier(&heap[child], &last))
			break;
		heap[i] = heap[child];
		i = child;
	}
	heap[i] = last;
	g_array_set_size(world->events, count);
	return first;
}

void world_run_until(struct world *world, int64_t until_ns)
{
	while (world->events->len &&
	       g_array_index(world->events, struct event, 0).at_ns <=
		       until_ns) {
		struct event event = pop_event(world);

		world->now_ns = event.at_ns;
		event.fn(world, event.ctx);
	}
	world->now_ns = until_ns;
}

bool world_defer_if_paused(struct process *process, world_event_fn *fn,
			   void *ctx)
{
	if (process->world->now_ns >= process->paused_until_ns)
		return false;
	world_at(process->world, process->paused_until_ns, fn, ctx);
	return true;
}

static void on_tick(struct world *world, void *ctx)
{
	struct process *process = ctx;

	if (process->dead || world_defer_if_paused(process, on_tick, process))
		return;
	world->options.vtable->tick(process->router);
	world_at(world, world->now_ns + WORLD_TICK_NS, on_tick, process);
}

struct list {
	struct process *process;
	struct cq_host *hosts;
	size_t count;
};

static void on_list_arrives(struct world *world, void *ctx)
{
	struct list *list = ctx;

	if (!list->process->dead &&
	    world_defer_if_paused(list->process, on_list_arrives, list))
		return;
	if (!list->process->dead)
		world->options.vtable->set_hosts(list->process->router,
						 list->hosts, list->count);
	g_free(list->hosts);
	g_free(list);
}

/* Reads the host list as it was when the lag began. */
static void on_list(struct world *world, void *ctx)
{
	struct process *process = ctx;
	struct list *list;
	guint i;

	if (process->dead)
		return;
	list = g_new0(struct list, 1);
	list->process = process;
	list->count = world->endpoints->len;
	list->hosts = g_new0(struct cq_host, list->count);
	for (i = 0; i < world->endpoints->len; i++) {
		const struct endpoint *e = world->endpoints->pdata[i];

		list->hosts[i] = (struct cq_host){
			.id = e->id,
			.address = e->address,
			.data_centre = world_centre_names[e->data_centre],
			.rack = "",
			.kind = CQ_HOST_ENDPOINT,
			.state = e->faults.leaving ? CQ_HOST_LEAVING
						   : CQ_HOST_LIVE,
			.slots = world->options.slots,
			.connections = world->options.connections,
		};
	}
	world_at(world, world->now_ns + world->options.list_lag_ns,
		 on_list_arrives, list);
	world_at(world, world->now_ns + WORLD_LIST_NS, on_list, process);
}

void world_start_host(struct world *world, uint32_t number)
{
	struct host *host = world->hosts->pdata[number];
	struct process *process = g_new0(struct process, 1);
	struct cq_router_setup setup = {
		.clock = &process->clock,
		.ops = &world_router_ops,
		.ops_ctx = process,
		.members = &world_members_ops,
		.members_ctx = process,
		.policy = &policy_ops,
	};
	char id[32];

	process->world = world;
	process->host = host;
	process->incarnation = ++world->next_incarnation;
	process->clock.ops = &clock_ops;
	process->clock.ctx = process;
	process->open_calls = g_hash_table_new(g_str_hash, g_str_equal);
	cq_router_options_init(&setup.options);
	snprintf(id, sizeof(id), "p%u", (unsigned)process->incarnation);
	setup.options.id = id;
	setup.options.incarnation = process->incarnation;
	setup.options.data_centre = world_centre_names[host->data_centre];
	setup.options.index = host->index;
	setup.options.index_count = world->options.hosts;
	setup.options.call_max_ms = world->options.call_max_ms;
	setup.options.share_hold_ms =
		world->now_ns ? world->options.share_hold_ms : 0;
	setup.options.seed = world->options.seed + process->incarnation;
	process->router = world->options.vtable->create(&setup);
	g_ptr_array_add(world->processes, process);
	host->replaced = host->process;
	host->process = process;
	on_list(world, process);
	world_at(world, world->now_ns + WORLD_TICK_NS, on_tick, process);
}

struct world *world_create(const struct world_options *options)
{
	struct world *world = g_new0(struct world, 1);
	uint32_t i;

	world->options = *options;
	world->events = g_array_new(FALSE, FALSE, sizeof(struct event));
	world->random = g_rand_new_with_seed((guint32)options->seed);
	world->hosts = g_ptr_array_new();
	world->processes = g_ptr_array_new();
	world->endpoints = g_ptr_array_new();
	world->logicals = g_ptr_array_new();
	world->results = g_ptr_array_new_with_free_func(g_free);
	world->callers = g_hash_table_new(NULL, NULL);
	for (i = 0; i < options->data_centres * options->endpoints; i++) {
		struct endpoint *e = g_new0(struct endpoint, 1);

		e->id = g_strdup_printf("e%u", i);
		e->address = g_strdup_printf("10.0.%u.%u:80", i / 250, i % 250);
		e->data_centre = i / options->endpoints;
		g_ptr_array_add(world->endpoints, e);
	}
	for (i = 0; i < options->data_centres * options->hosts; i++) {
		struct host *host = g_new0(struct host, 1);

		host->number = i;
		host->data_centre = i / options->hosts;
		host->index = i % options->hosts;
		host->address = g_strdup_printf("10.1.0.%u:70", i);
		host->changed_ns = -WORLD_DETECT_NS;
		g_ptr_array_add(world->hosts, host);
	}
	for (i = 0; i < world->hosts->len; i++)
		world_start_host(world, i);
	return world;
}

static void logical_free(struct logical *logical)
{
	g_free(logical->body);
	g_free(logical->key);
	g_free(logical);
}

/* Events that are still due keep their contexts; a test ends soon. */
void world_destroy(struct world *world)
{
	guint i;

	for (i = 0; i < world->processes->len; i++) {
		struct process *process = world->processes->pdata[i];

		if (process->router)
			world->options.vtable->destroy(process->router);
		g_hash_table_destroy(process->open_calls);
		g_free(process);
	}
	for (i = 0; i < world->hosts->len; i++) {
		struct host *host = world->hosts->pdata[i];

		g_free(host->address);
		g_free(host);
	}
	for (i = 0; i < world->endpoints->len; i++) {
		struct endpoint *e = world->endpoints->pdata[i];

		g_queue_clear(&e->waiting);
		g_free(e->id);
		g_free(e->address);
		g_free(e);
	}
	for (i = 0; i < world->logicals->len; i++)
		logical_free(world->logicals->pdata[i]);
	g_ptr_array_free(world->hosts, TRUE);
	g_ptr_array_free(world->processes, TRUE);
	g_ptr_array_free(world->endpoints, TRUE);
	g_ptr_array_free(world->logicals, TRUE);
	g_ptr_array_free(world->results, TRUE);
	g_hash_table_destroy(world->callers);
	g_array_free(world->events, TRUE);
	g_rand_free(world->random);
	g_free(world);
}

int64_t world_now(const struct world *world)
{
	return world->now_ns;
}

uint32_t world_logical(struct world *world, const struct world_request *request)
{
	struct logical *logical = g_new0(struct logical, 1);

	logical->request = *request;
	logical->body = g_strdup_printf("body-%u", world->logicals->len);
	logical->key_unix_ms = WORLD_UNIX_MS + world->now_ns / CQ_NS_PER_MS;
	logical->key = request->keyed
			       ? g_strdup_printf("%" G_GINT64_FORMAT "-%u",
						 logical->key_unix_ms,
						 world->logicals->len)
			       : g_strdup("");
	g_ptr_array_add(world->logicals, logical);
	return world->logicals->len - 1;
}

uint32_t world_send(struct world *world, uint32_t number, uint32_t host_number)
{
	const struct logical *logical = world->logicals->pdata[number];
	struct host *host = world->hosts->pdata[host_number];
	struct world_outcome *result = g_new0(struct world_outcome, 1);
	struct cq_request request = {
		.workspace = workspace_names[logical->request.workspace % 4],
		.class_name =
			class_names[logical->request.rank % WORLD_MAX_CLASSES],
		.path = "run",
		.content_type = "",
		.key = logical->key,
		.key_unix_ms = logical->key_unix_ms,
		.idempotent = logical->request.idempotent,
		.timeout_ms = logical->request.timeout_ms,
		.body = logical->body,
		.body_len = strlen(logical->body),
	};
	struct caller *caller;

	result->id = world->results->len;
	result->logical = number;
	result->rank = logical->request.rank;
	result->submitted_ns = world->now_ns;
	result->deadline_ns =
		world->now_ns + logical->request.timeout_ms * CQ_NS_PER_MS;
	g_ptr_array_add(world->results, result);
	if (!host->process || world->now_ns < host->process->paused_until_ns) {
		result->state = WORLD_LOST;
		result->done_ns = world->now_ns;
		return result->id;
	}
	caller = g_new0(struct caller, 1);
	caller->process = host->process;
	/* The load balancer still knows the replaced process. */
	if (host->replaced && number % 3 == 0 &&
	    world->now_ns >= host->replaced->paused_until_ns)
		caller->process = host->replaced;
	caller->result = result->id;
	g_hash_table_add(world->callers, caller);
	world->options.vtable->submit(caller->process->router, &request, NULL,
				      caller);
	return result->id;
}

static struct caller *find_caller(struct world *world, uint32_t result)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, world->callers);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (((struct caller *)key)->result == result)
			return key;
	return NULL;
}

void world_abandon(struct world *world, uint32_t id)
{
	struct caller *caller = find_caller(world, id);
	struct world_outcome *result = world->results->pdata[id];

	if (!caller || caller->process->dead ||
	    world->now_ns < caller->process->paused_until_ns)
		return;
	world->options.vtable->abandon(caller->process->router, caller);
	result->state = WORLD_LOST;
	result->done_ns = world->now_ns;
	world_caller_free(caller);
}

uint32_t world_results(const struct world *world)
{
	return world->results->len;
}

const struct world_outcome *world_result(const struct world *world, uint32_t id)
{
	return world->results->pdata[id];
}

uint32_t world_executions(const struct world *world, uint32_t logical)
{
	return ((struct logical *)world->logicals->pdata[logical])->executions;
}

uint64_t world_total_executions(const struct world *world)
{
	return world->executions;
}

bool world_logical_idempotent(const struct world *world, uint32_t logical)
{
	const struct logical *l = world->logicals->pdata[logical];

	return l->request.idempotent;
}

struct world_faults *world_endpoint_faults(struct world *world, uint32_t index)
{
	return &((struct endpoint *)world->endpoints->pdata[index])->faults;
}

uint64_t world_endpoint_calls(const struct world *world, uint32_t index)
{
	return ((struct endpoint *)world->endpoints->pdata[index])->calls;
}

uint32_t world_endpoint_peak(const struct world *world, uint32_t index)
{
	return ((struct endpoint *)world->endpoints->pdata[index])->peak;
}

uint32_t world_slots_exceeded(const struct world *world)
{
	uint32_t worst = 0;
	guint i;

	for (i = 0; i < world->endpoints->len; i++)
		worst = MAX(
			worst,
			((struct endpoint *)world->endpoints->pdata[i])->worst);
	return worst;
}

uint32_t world_connections_exceeded(const struct world *world)
{
	return world->connections_exceeded;
}

bool world_host_up(const struct world *world, uint32_t number)
{
	const struct host *host = world->hosts->pdata[number];

	return host->process != NULL &&
	       world->now_ns >= host->process->paused_until_ns;
}

void world_kill_host(struct world *world, uint32_t number)
{
	struct host *host = world->hosts->pdata[number];
	struct process *process = host->process;
	GHashTableIter iter;
	gpointer key;

	if (!process)
		return;
	process->dead = true;
	host->process = NULL;
	host->changed_ns = world->now_ns;
	g_hash_table_iter_init(&iter, world->callers);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct caller *caller = key;
		struct world_outcome *result;

		if (caller->process != process)
			continue;
		if (caller->result != UINT32_MAX) {
			result = world->results->pdata[caller->result];
			result->state = WORLD_LOST;
			result->done_ns = world->now_ns;
		}
		g_hash_table_iter_remove(&iter);
		world_caller_free(caller);
	}
	world->options.vtable->destroy(process->router);
	process->router = NULL;
}

static void on_stop(struct world *world, void *ctx)
{
	struct process *process = ctx;
	uint32_t left;

	/* A later process of the host may have replaced it meanwhile. */
	if (process->dead || process != process->host->process ||
	    world_defer_if_paused(process, on_stop, process))
		return;
	if (!world->options.vtable->hand_over(process->router, &left)) {
		world_at(world, world->now_ns + WORLD_TICK_NS, on_stop,
			 process);
		return;
	}
	world->outcomes_left = left;
	world_kill_host(world, process->host->number);
}

void world_stop_host(struct world *world, uint32_t number)
{
	struct host *host = world->hosts->pdata[number];

	if (!host->process || world->now_ns < host->process->paused_until_ns)
		return;
	world->options.vtable->drain(host->process->router);
	on_stop(world, host->process);
}

uint32_t world_outcomes_left(const struct world *world)
{
	return world->outcomes_left;
}

void world_fault_hand_over(struct world *world, uint32_t message,
			   enum world_message_fault fault)
{
	world->hand_over_messages = 0;
	world->faulty_message = message;
	world->message_fault = fault;
}

void world_pause_host(struct world *world, uint32_t number, int64_t for_ns)
{
	struct host *host = world->hosts->pdata[number];

	if (host->process)
		host->process->paused_until_ns = world->now_ns + for_ns;
}

void world_cut_host(struct world *world, uint32_t number, bool cut)
{
	struct host *host = world->hosts->pdata[number];

	if (host->cut != cut)
		host->changed_ns = world->now_ns;
	host->cut = cut;
}

void world_delay_host(struct world *world, uint32_t number, int64_t by_ns)
{
	((struct host *)world->hosts->pdata[number])->delay_ns = by_ns;
}

void world_host_stats(const struct world *world, uint32_t number,
		      struct cq_router_stats *stats)
{
	const struct host *host = world->hosts->pdata[number];

	memset(stats, 0, sizeof(*stats));
	if (host->process)
		world->options.vtable->stats(host->process->router, stats);
}
