#include "programs/common/job_calls.h"

#include <stdlib.h>
#include <string.h>

#include "programs/common/job_calls_private.h"

#define RETRY_MS 100
#define RETRY_AFTER_S "2"
#define MIN_STORE_TIMEOUT_MS 50
#define STOPPING_MESSAGE "this host is shutting down"

static void call_free(struct job_call *call);
static void on_store(void *ctx, const struct cq_store_result *result);
static void find_next(struct job_call *call);
static void query_free(struct job_query *query);

void cq_job_calls_options_init(struct cq_job_calls_options *options)
{
	memset(options, 0, sizeof(*options));
	options->clock = cq_clock_system();
	options->timeout_ms = 10000;
	options->max_timeout_ms = 60000;
	options->query_timeout_ms = 500;
	options->store_timeout_ms = 1000;
	options->max_open = 1000;
}

struct cq_job_calls *
cq_job_calls_create(const struct cq_job_calls_options *options,
		    const struct cq_job_calls_ops *ops, void *ctx,
		    const struct cq_store *store,
		    const struct cq_settings *settings,
		    const struct cq_membership *membership)
{
	struct cq_job_calls *calls = g_new0(struct cq_job_calls, 1);

	calls->options = *options;
	g_strlcpy(calls->writer, options->writer, sizeof(calls->writer));
	calls->ops = *ops;
	calls->ctx = ctx;
	calls->store = store;
	calls->settings = settings;
	calls->membership = membership;
	/* Not below any sequence of an earlier run. */
	calls->sequence = options->incarnation * 1000;
	calls->random = g_rand_new();
	calls->open = g_hash_table_new(NULL, NULL);
	calls->queries = g_hash_table_new(g_int64_hash, g_int64_equal);
	return calls;
}

void cq_job_calls_stop(struct cq_job_calls *calls)
{
	GList *open = g_hash_table_get_keys(calls->open);
	GList *item;

	calls->stopping = true;
	for (item = open; item; item = item->next) {
		struct job_call *call = item->data;

		cq_job_call_refuse(call, 503, "stopping", STOPPING_MESSAGE,
				   call->kind == JOB_CALL_SUBMIT &&
						   !call->maybe_written &&
						   !call->store_call
					   ? "no"
					   : "unknown");
	}
	g_list_free(open);
}

void cq_job_calls_destroy(struct cq_job_calls *calls)
{
	if (!calls)
		return;
	cq_job_calls_stop(calls);
	g_hash_table_destroy(calls->open);
	g_hash_table_destroy(calls->queries);
	g_rand_free(calls->random);
	g_free(calls);
}

uint32_t cq_job_calls_open(const struct cq_job_calls *calls)
{
	return g_hash_table_size(calls->open);
}

int64_t cq_job_call_now(const struct job_call *call)
{
	return cq_clock_now_ns(call->calls->options.clock);
}

static void call_free(struct job_call *call)
{
	struct cq_job_calls *calls = call->calls;
	uint32_t i;

	cq_job_call_stop_queries(call);
	if (call->store_call)
		calls->store->ops->cancel(calls->store->self, call->store_call);
	for (i = 0; call->answers && i < call->dc_count; i++)
		json_decref(call->answers[i]);
	g_free(call->answers);
	g_strfreev(call->dcs);
	g_hash_table_remove(calls->open, call);
	g_free(call);
}

void cq_job_call_end(struct job_call *call, uint32_t status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	cq_operator_exchange_respond_json(call->exchange, status, text);
	free(text);
	call_free(call);
}

void cq_job_call_refuse(struct job_call *call, uint32_t status,
			const char *code, const char *message, const char *run)
{
	struct cq_http_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "Cq-Run", run ? run : "no" },
		{ status == 503 ? "Retry-After" : NULL, RETRY_AFTER_S },
		{ NULL, NULL },
	};
	json_t *error =
		json_pack("{s:s,s:s}", "code", code, "message", message);
	json_t *body;
	char *text;

	if (run)
		json_object_set_new(error, "run", json_string(run));
	if (status == 503)
		json_object_set_new(error, "expected_wait_ms",
				    json_integer(2000));
	body = json_pack("{s:o}", "error", error);
	text = json_dumps(body, JSON_COMPACT);
	cq_operator_exchange_respond(call->exchange, status, headers, text,
				     strlen(text));
	free(text);
	json_decref(body);
	call_free(call);
}

void cq_job_call_retry_later(struct job_call *call,
			     void (*retry)(struct job_call *call))
{
	int64_t jitter_ms =
		g_rand_int_range(call->calls->random, RETRY_MS, 3 * RETRY_MS);

	call->retry_ns = cq_job_call_now(call) + jitter_ms * CQ_NS_PER_MS;
	call->retry = retry;
}

static uint32_t store_timeout_ms(const struct job_call *call)
{
	int64_t left_ms =
		(call->deadline_ns - cq_job_call_now(call)) / CQ_NS_PER_MS;

	return (uint32_t)CLAMP(left_ms, MIN_STORE_TIMEOUT_MS,
			       call->calls->options.store_timeout_ms);
}

static void on_store(void *ctx, const struct cq_store_result *result)
{
	struct job_call *call = ctx;

	call->store_call = NULL;
	call->stored(call, result);
}

void cq_job_call_get(struct job_call *call, const char *key,
		     void (*stored)(struct job_call *call,
				    const struct cq_store_result *result))
{
	const struct cq_store *store = call->calls->store;

	call->stored = stored;
	call->store_call = store->ops->get(
		store->self, key, store_timeout_ms(call), on_store, call);
}

void cq_job_call_list(struct job_call *call, const char *prefix,
		      void (*stored)(struct job_call *call,
				     const struct cq_store_result *result))
{
	const struct cq_store *store = call->calls->store;

	call->stored = stored;
	call->store_call = store->ops->list(
		store->self, prefix, store_timeout_ms(call), on_store, call);
}

void cq_job_call_put(struct job_call *call, const char *key,
		     const struct cq_job_record *record, int64_t revision,
		     void (*stored)(struct job_call *call,
				    const struct cq_store_result *result))
{
	const struct cq_store *store = call->calls->store;
	char *text = cq_job_record_format(record);

	call->stored = stored;
	call->store_call = store->ops->put(store->self, key, text, revision, 0,
					   store_timeout_ms(call), on_store,
					   call);
	free(text);
}

void cq_job_call_order_dcs(struct job_call *call, const char *id)
{
	uint32_t home;
	char *first;

	if (!call->dc_count)
		return;
	home = cq_job_home(id, (const char *const *)call->dcs, call->dc_count);
	first = call->dcs[home];
	memmove(call->dcs + 1, call->dcs, home * sizeof(*call->dcs));
	call->dcs[0] = first;
}

static void on_found(struct job_call *call,
		     const struct cq_store_result *result)
{
	if (result->status == CQ_STORE_OK && result->entry_count) {
		call->found(call, &result->entries[0]);
		return;
	}
	if (result->status != CQ_STORE_NOT_FOUND)
		call->unread = true;
	call->dc++;
	find_next(call);
}

static void find_next(struct job_call *call)
{
	char key[CQ_JOB_KEY_BYTES];

	if (call->dc >= call->dc_count) {
		call->found(call, NULL);
		return;
	}
	cq_job_key(call->dcs[call->dc], call->record.id, key);
	cq_job_call_get(call, key, on_found);
}

void cq_job_call_find(struct job_call *call,
		      void (*found)(struct job_call *call,
				    const struct cq_store_entry *entry))
{
	call->found = found;
	call->dc = 0;
	call->unread = false;
	find_next(call);
}

static void query_free(struct job_query *query)
{
	g_hash_table_remove(query->call->calls->queries, &query->correlation);
	g_free(query);
}

void cq_job_call_stop_queries(struct job_call *call)
{
	GHashTableIter iter;
	gpointer value;

	call->query_deadline_ns = 0;
	call->waiting = 0;
	g_hash_table_iter_init(&iter, call->calls->queries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job_query *query = value;

		if (query->call != call)
			continue;
		g_hash_table_iter_remove(&iter);
		g_free(query);
	}
}

/* The schedd that owns the data centre, as far as known here. */
static const char *owner_address(const struct cq_job_calls *calls,
				 const char *dc)
{
	const struct cq_member *best = NULL;
	uint32_t i;

	for (i = 0; i < cq_membership_count(calls->membership); i++) {
		const struct cq_member *member =
			cq_membership_get(calls->membership, i);

		if (member->role != CQ_ROLE_SCHEDD || !member->owner_epoch ||
		    !cq_member_is_live(member) ||
		    strcmp(member->data_centre, dc) != 0)
			continue;
		if (!best || member->owner_epoch > best->owner_epoch)
			best = member;
	}
	return best ? best->address : NULL;
}

void cq_job_call_notify(struct job_call *call, const char *dc)
{
	struct cq_job_calls *calls = call->calls;
	const char *address = owner_address(calls, dc);

	if (address)
		calls->ops.send(calls->ctx, address, CQ_PEER_JOB_NOTIFY, 0,
				(const uint8_t *)call->record.id,
				strlen(call->record.id));
}

static void ask_one(struct job_call *call, uint32_t dc, const char *text)
{
	struct cq_job_calls *calls = call->calls;
	const char *address = owner_address(calls, call->dcs[dc]);
	struct job_query *query;
	char *local = NULL;
	json_t *answer;

	if (calls->ops.answer_local_query)
		local = calls->ops.answer_local_query(calls->ctx, call->dcs[dc],
						      text);
	if (local) {
		answer = json_loads(local, 0, NULL);
		free(local);
		call->answered(call, dc, answer);
		json_decref(answer);
		return;
	}
	if (!address)
		return;
	query = g_new0(struct job_query, 1);
	query->call = call;
	query->dc = dc;
	query->correlation = ++calls->correlation;
	if (!calls->ops.send(calls->ctx, address, CQ_PEER_JOB_QUERY,
			     query->correlation, (const uint8_t *)text,
			     strlen(text))) {
		g_free(query);
		return;
	}
	g_hash_table_insert(calls->queries, &query->correlation, query);
	call->waiting++;
}

void cq_job_call_query(struct job_call *call, uint32_t dc, json_t *query,
		       void (*answered)(struct job_call *call, uint32_t dc,
					json_t *answer),
		       void (*queried)(struct job_call *call))
{
	struct cq_job_calls *calls = call->calls;
	char *text = json_dumps(query, JSON_COMPACT);
	uint32_t i;

	json_decref(query);
	call->answered = answered;
	call->queried = queried;
	call->satisfied = false;
	call->waiting = 0;
	call->query_deadline_ns =
		cq_job_call_now(call) +
		calls->options.query_timeout_ms * CQ_NS_PER_MS;
	for (i = 0; i < call->dc_count && !call->satisfied; i++)
		if (dc == UINT32_MAX || dc == i)
			ask_one(call, i, text);
	free(text);
	if (call->waiting && !call->satisfied)
		return;
	cq_job_call_stop_queries(call);
	call->queried(call);
}

void cq_job_calls_receive(struct cq_job_calls *calls,
			  const struct cq_peer_message *message)
{
	struct job_query *query =
		g_hash_table_lookup(calls->queries, &message->correlation);
	struct job_call *call;
	json_t *answer;
	uint32_t dc;

	if (!query)
		return;
	call = query->call;
	dc = query->dc;
	query_free(query);
	call->waiting--;
	answer = json_loadb((const char *)message->payload,
			    message->payload_len, 0, NULL);
	call->answered(call, dc, answer);
	json_decref(answer);
	if (call->waiting && !call->satisfied)
		return;
	cq_job_call_stop_queries(call);
	call->queried(call);
}

void cq_job_calls_tick(struct cq_job_calls *calls, int64_t now_ns)
{
	GList *open = g_hash_table_get_keys(calls->open);
	GList *item;

	for (item = open; item; item = item->next) {
		struct job_call *call = item->data;

		if (!g_hash_table_contains(calls->open, call))
			continue;
		if (call->query_deadline_ns &&
		    now_ns >= call->query_deadline_ns) {
			cq_job_call_stop_queries(call);
			call->queried(call);
		} else if (call->retry_ns && now_ns >= call->retry_ns) {
			call->retry_ns = 0;
			call->retry(call);
		}
	}
	g_list_free(open);
}

void cq_job_calls_aborted(struct cq_job_calls *calls,
			  struct cq_operator_exchange *exchange)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, calls->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct job_call *call = key;

		if (call->exchange != exchange)
			continue;
		call_free(call);
		return;
	}
}

static void set_deadline(struct job_call *call)
{
	const struct cq_job_calls_options *options = &call->calls->options;
	const char *text =
		cq_operator_exchange_header(call->exchange, "Cq-Timeout-Ms");
	int64_t timeout_ms = options->timeout_ms;

	if (text)
		timeout_ms = CLAMP(g_ascii_strtoll(text, NULL, 10), 1,
				   options->max_timeout_ms);
	call->deadline_ns = cq_job_call_now(call) + timeout_ms * CQ_NS_PER_MS;
}

static void list_dcs(struct job_call *call)
{
	const struct cq_settings *settings = call->calls->settings;
	const struct cq_settings_data_centre *dc;
	GPtrArray *names = g_ptr_array_new();
	uint32_t i;

	for (i = 0; (dc = cq_settings_data_centre_at(settings, i)); i++)
		g_ptr_array_add(names, g_strdup(dc->name));
	call->dc_count = names->len;
	g_ptr_array_add(names, NULL);
	call->dcs = (char **)g_ptr_array_free(names, FALSE);
}

/* Ids become parts of store keys. */
static bool id_is_valid(const char *id)
{
	if (strlen(id) >= CQ_JOB_ID_BYTES)
		return false;
	for (; *id; id++)
		if (!g_ascii_isalnum(*id) && *id != '-' && *id != '_')
			return false;
	return true;
}

static void route(struct job_call *call, const char *method, const char *rest)
{
	char **parts = g_strsplit(rest, "/", 3);
	const char *id = parts[0] ? parts[0] : "";
	bool explain = *id && parts[1] && !strcmp(parts[1], "explain");

	g_strlcpy(call->record.id, id, sizeof(call->record.id));
	if (!id_is_valid(id) || (*id && parts[1] && !explain)) {
		cq_job_call_refuse(call, 404, "not_found", "no such call",
				   NULL);
	} else if (!*id && !strcmp(method, "POST")) {
		call->kind = JOB_CALL_SUBMIT;
		cq_job_call_submit(call);
	} else if (!*id && !strcmp(method, "GET")) {
		call->kind = JOB_CALL_LIST;
		cq_job_call_list_jobs(call);
	} else if (*id && !strcmp(method, "GET")) {
		call->kind = explain ? JOB_CALL_EXPLAIN : JOB_CALL_SHOW;
		cq_job_call_show(call);
	} else if (*id && !explain && !strcmp(method, "DELETE")) {
		call->kind = JOB_CALL_CANCEL;
		cq_job_call_cancel(call);
	} else {
		cq_job_call_refuse(call, 405, "method_not_allowed",
				   "the method is not allowed here", NULL);
	}
	g_strfreev(parts);
}

struct job_call *cq_job_call_create(struct cq_job_calls *calls,
				    struct cq_operator_exchange *exchange)
{
	struct job_call *call = g_new0(struct job_call, 1);

	call->calls = calls;
	call->exchange = exchange;
	g_hash_table_add(calls->open, call);
	cq_job_record_init(&call->record);
	set_deadline(call);
	list_dcs(call);
	return call;
}

bool cq_job_call_refuse_stopping(struct job_call *call)
{
	if (!call->calls->stopping)
		return false;
	cq_job_call_refuse(call, 503, "stopping", STOPPING_MESSAGE, "no");
	return true;
}

void cq_job_calls_handle(struct cq_job_calls *calls,
			 struct cq_operator_exchange *exchange)
{
	const char *path = cq_operator_exchange_path(exchange);
	struct job_call *call = cq_job_call_create(calls, exchange);

	if (cq_job_call_refuse_stopping(call))
		return;
	if (cq_job_calls_open(calls) > calls->options.max_open) {
		cq_job_call_refuse(call, 503, "overloaded",
				   "too many job calls at one time", "no");
		return;
	}
	path += strlen("/v1/jobs");
	route(call, cq_operator_exchange_method(exchange),
	      *path == '/' ? path + 1 : path);
}
