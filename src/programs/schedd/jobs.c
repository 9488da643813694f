#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "programs/schedd/schedd.h"

/*
 * If no live owner was seen for this long, one schedd of the data centre, as a
 * standby, renews the leases of running gangs. The renewal must start early
 * enough: a renewal grants 12.5 s by default, a dead owner is suspected after
 * 2 to 4 s, and the standby needs two syncs before its first renewal. Renewing
 * is harmless when the owner is alive or another one takes over.
 */
#define RENEW_WITHOUT_OWNER_AFTER_NS (2 * CQ_NS_PER_S)
#define MAX_LISTED_JOBS 1000
/* Maximum number of racks in the published capacity of a data centre. */
#define MAX_RACKS 512
#define MIN_SYNCS_PER_LEASE 6

static char *answer_query(struct schedd *s, const char *query);

static bool may_command(void *ctx, int64_t now_ns)
{
	struct schedd *s = ctx;

	return cq_ownership_may_command(s->ownership, now_ns);
}

static bool start_permit(void *ctx, int64_t now_ns, int64_t *not_after_unix_ms)
{
	struct schedd *s = ctx;

	return cq_ownership_start_permit(s->ownership, now_ns,
					 not_after_unix_ms);
}

void schedd_jobs_owner_changed(struct schedd *s)
{
	int64_t now_ns = schedd_now_ns(s);
	int64_t epoch = cq_ownership_epoch(s->ownership);

	/*
	 * While only the ownership lease has expired, the controller keeps its
	 * epoch, so that it still renews the leases of running gangs.
	 */
	if (!s->controller ||
	    cq_ownership_state(s->ownership) == CQ_OWNERSHIP_LAPSED)
		return;
	cq_controller_set_epoch(s->controller, epoch, now_ns);
}

/* Excludes suspected members, which may be dead. */
static bool is_alive_local_schedd(const struct schedd *s,
				  const struct cq_member *member)
{
	return member->role == CQ_ROLE_SCHEDD &&
	       member->state == CQ_MEMBER_ALIVE &&
	       !strcmp(member->data_centre, cq_daemon_data_centre(s->daemon));
}

static void update_renewal_epoch(struct schedd *s, int64_t now_ns)
{
	const struct cq_member *self = cq_membership_self(s->membership);
	bool lowest_id = true;
	uint32_t i;

	for (i = 0; i < cq_membership_count(s->membership); i++) {
		const struct cq_member *member =
			cq_membership_get(s->membership, i);

		if (!is_alive_local_schedd(s, member))
			continue;
		if (member->owner_epoch)
			s->last_owner_seen_ns = now_ns;
		lowest_id = lowest_id && strcmp(member->id, self->id) >= 0;
	}
	cq_controller_set_renewal_epoch(
		s->controller,
		lowest_id && now_ns - s->last_owner_seen_ns >
					RENEW_WITHOUT_OWNER_AFTER_NS
			? cq_ownership_last_epoch(s->ownership)
			: 0,
		now_ns);
}

static void publish_capacity(struct schedd *s, int64_t now_ns)
{
	struct cq_controller_rack racks[MAX_RACKS];

	if (!cq_ownership_may_command(s->ownership, now_ns) ||
	    !cq_controller_settled(s->controller))
		return;
	cq_capacity_publish(
		s->publisher, racks,
		cq_controller_racks(s->controller, racks, MAX_RACKS), now_ns);
}

static void on_tick(void *ctx, int64_t now_ns)
{
	struct schedd *s = ctx;

	update_renewal_epoch(s, now_ns);
	cq_controller_tick(s->controller, now_ns);
	publish_capacity(s, now_ns);
	cq_job_calls_tick(s->job_calls, now_ns);
}

static const char *text_of(const json_t *query, const char *name)
{
	const char *text = json_string_value(json_object_get(query, name));

	return text ? text : "";
}

static char *answer_check(struct schedd *s, const json_t *query)
{
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_job_record record;
	char *text = json_dumps(json_object_get(query, "job"), JSON_COMPACT);
	json_t *answer;
	bool fits = true;

	if (text && cq_job_record_parse(text, strlen(text), &record, NULL))
		fits = cq_controller_can_ever_run(s->controller, &record,
						  schedd_now_ns(s), &err);
	free(text);
	answer = json_pack("{s:i,s:s}", "status", fits ? 200 : 422, "message",
			   err.message);
	text = json_dumps(answer, JSON_COMPACT);
	json_decref(answer);
	return text;
}

/* Answers a query; returns NULL unless this process owns the data centre. */
static char *answer_query(struct schedd *s, const char *text)
{
	int64_t now_ns = schedd_now_ns(s);
	json_t *query = json_loads(text, 0, NULL);
	const char *op = text_of(query, "op");
	const char *id = text_of(query, "id");
	struct cq_controller_filter filter = {
		.state = text_of(query, "state"),
		.workspace = text_of(query, "workspace"),
		.class_name = text_of(query, "class"),
	};
	char *body = NULL;
	char *answer = NULL;

	filter.limit = (uint32_t)CLAMP(
		json_integer_value(json_object_get(query, "limit")), 1,
		MAX_LISTED_JOBS);
	if (!cq_ownership_may_command(s->ownership, now_ns) ||
	    !cq_controller_settled(s->controller)) {
		json_decref(query);
		return NULL;
	}
	if (!strcmp(op, "show"))
		body = cq_controller_show_job(s->controller, id, now_ns);
	else if (!strcmp(op, "explain"))
		body = cq_controller_explain_job(s->controller, id, now_ns);
	else if (!strcmp(op, "list"))
		body = cq_controller_list_jobs(s->controller, &filter, now_ns);
	else if (!strcmp(op, "workers"))
		body = cq_controller_list_workers(s->controller, now_ns);
	else if (!strcmp(op, "workspaces"))
		body = cq_controller_list_workspaces(s->controller);
	else if (!strcmp(op, "check"))
		answer = answer_check(s, query);
	if (!answer)
		answer = g_strdup_printf("{\"status\":%d,\"body\":%s}",
					 body ? 200 : 404,
					 body ? body : "null");
	free(body);
	json_decref(query);
	return answer;
}

static char *answer_local_query(void *ctx, const char *data_centre,
				const char *query)
{
	struct schedd *s = ctx;

	if (strcmp(data_centre, cq_daemon_data_centre(s->daemon)) != 0)
		return NULL;
	return answer_query(s, query);
}

static void on_peer_query(void *ctx, const struct cq_peer_message *message)
{
	struct schedd *s = ctx;
	char *query =
		g_strndup((const char *)message->payload, message->payload_len);
	char *answer = answer_query(s, query);
	const char *text = answer ? answer : "{\"status\":421}";

	cq_peer_net_send(cq_daemon_peers(s->daemon), message->from_address,
			 CQ_PEER_JOB_ANSWER, message->correlation,
			 (const uint8_t *)text, strlen(text));
	free(answer);
	g_free(query);
}

static void on_peer_answer(void *ctx, const struct cq_peer_message *message)
{
	struct schedd *s = ctx;

	cq_job_calls_receive(s->job_calls, message);
}

static void on_notify(void *ctx, const struct cq_peer_message *message)
{
	struct schedd *s = ctx;

	(void)message;
	cq_controller_notify(s->controller, "", schedd_now_ns(s));
}

static bool send_message(void *ctx, const char *address, enum cq_peer_kind kind,
			 uint64_t correlation, const uint8_t *payload,
			 size_t len)
{
	struct schedd *s = ctx;

	return cq_peer_net_send(cq_daemon_peers(s->daemon), address, kind,
				correlation, payload, len);
}

static void on_jobs_call(void *ctx, struct cq_operator_exchange *exchange)
{
	struct schedd *s = ctx;

	cq_job_calls_handle(s->job_calls, exchange);
}

static void on_fleet_call(void *ctx, struct cq_operator_exchange *exchange)
{
	struct schedd *s = ctx;

	cq_job_calls_handle_fleet(s->job_calls, exchange);
}

/* Adds the guarantees that the last plan could not meet to the status. */
static void add_problems(void *ctx, json_t *problems)
{
	struct schedd *s = ctx;
	uint32_t i;

	if (!cq_ownership_epoch(s->ownership))
		return;
	for (i = 0; i < cq_controller_shortfall_count(s->controller); i++)
		cq_operator_problem(
			problems, CQ_OPERATOR_WARNING,
			"cqctl workspaces; docs/operate/guarantees-short.md",
			"%s", cq_controller_shortfall(s->controller, i));
}

static void on_abort(void *ctx, struct cq_operator_exchange *exchange)
{
	struct schedd *s = ctx;

	cq_job_calls_aborted(s->job_calls, exchange);
}

static void on_stop(void *ctx)
{
	struct schedd *s = ctx;

	cq_job_calls_stop(s->job_calls);
}

static void open_controller(struct schedd *s)
{
	static const struct cq_controller_ops ops = { may_command,
						      start_permit };
	const struct cq_config *config = cq_daemon_config(s->daemon);
	struct cq_controller_options options;

	cq_controller_options_init(&options);
	options.clock = cq_daemon_clock(s->daemon);
	options.data_centre = cq_daemon_data_centre(s->daemon);
	options.writer = cq_daemon_id(s->daemon);
	options.metrics = cq_daemon_metrics(s->daemon);
	options.seed = cq_daemon_incarnation(s->daemon);
	options.sync_interval_ns =
		cq_config_integer(config, "sync-ms") * CQ_NS_PER_MS;
	options.contact_timeout_ns = options.sync_interval_ns * 5 / 2;
	options.task_lease_ms =
		(uint32_t)cq_config_integer(config, "task-lease-ms");
	options.held_lease_ms = MIN(
		options.held_lease_ms,
		options.task_lease_ms -
			(uint32_t)(options.contact_timeout_ns / CQ_NS_PER_MS));
	options.lost_after_ns =
		cq_config_integer(config, "worker-lost-ms") * CQ_NS_PER_MS;
	options.retention_ms = cq_config_integer(config, "job-retention-ms");
	s->workers = cq_worker_http_create(cq_daemon_http_client(s->daemon));
	s->controller = cq_controller_create(&options, &ops, s,
					     cq_cluster_store(s->cluster),
					     cq_worker_http_get(s->workers),
					     schedd_now_ns(s));
}

bool schedd_jobs_check(const struct schedd *s)
{
	const struct cq_config *config = cq_daemon_config(s->daemon);
	int64_t lease_ms = cq_config_integer(config, "task-lease-ms");
	int64_t sync_ms = cq_config_integer(config, "sync-ms");

	/*
	 * The contact timeout uses up 2.5 sync intervals of the lease; the rest
	 * must cover a lost call and a takeover by another owner.
	 */
	if (lease_ms >= MIN_SYNCS_PER_LEASE * sync_ms)
		return true;
	fprintf(stderr,
		"cq-schedd: --task-lease-ms: %" PRId64 " is below %d times "
		"--sync-ms, %" PRId64 "\n",
		lease_ms, MIN_SYNCS_PER_LEASE, MIN_SYNCS_PER_LEASE * sync_ms);
	return false;
}

static void open_calls(struct schedd *s)
{
	static const struct cq_job_calls_ops ops = { send_message,
						     answer_local_query };
	struct cq_job_calls_options options;

	cq_job_calls_options_init(&options);
	options.clock = cq_daemon_clock(s->daemon);
	options.writer = cq_daemon_id(s->daemon);
	options.incarnation = cq_daemon_incarnation(s->daemon);
	s->job_calls = cq_job_calls_create(&options, &ops, s,
					   cq_cluster_store(s->cluster),
					   s->settings, s->membership);
}

void schedd_jobs_open(struct schedd *s)
{
	static const char *const methods[] = { "GET", "POST", "DELETE" };
	size_t i;

	open_controller(s);
	open_calls(s);
	s->publisher = cq_capacity_publisher_create(s->cluster);
	for (i = 0; i < G_N_ELEMENTS(methods); i++)
		cq_daemon_add_route(s->daemon, methods[i], "/v1/jobs",
				    on_jobs_call, s);
	cq_daemon_add_route(s->daemon, "GET", "/v1/workers", on_fleet_call, s);
	cq_daemon_add_route(s->daemon, "GET", "/v1/workspaces", on_fleet_call,
			    s);
	cq_operator_calls_add_status(s->operator_calls, add_problems, s);
	cq_daemon_add_abort(s->daemon, on_abort, s);
	cq_daemon_on_peer(s->daemon, CQ_PEER_JOB_QUERY, on_peer_query, s);
	cq_daemon_on_peer(s->daemon, CQ_PEER_JOB_ANSWER, on_peer_answer, s);
	cq_daemon_on_peer(s->daemon, CQ_PEER_JOB_NOTIFY, on_notify, s);
	cq_daemon_add_tick(s->daemon, on_tick, s);
	cq_daemon_add_stop(s->daemon, on_stop, s);
}

void schedd_jobs_close(struct schedd *s)
{
	cq_capacity_publisher_destroy(s->publisher);
	cq_job_calls_destroy(s->job_calls);
	cq_worker_http_destroy(s->workers);
	cq_controller_destroy(s->controller);
}
