/* Reading and writing settings. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "programs/common/operator_calls_private.h"

#define STORE_TIMEOUT_MS 2000
/* A write whose outcome is not known by then is reported as such. */
#define WRITE_DEADLINE_NS (10 * CQ_NS_PER_S)
#define RETRY_INTERVAL_NS (300 * CQ_NS_PER_MS)
/* How long an answer waits for acknowledgements by the other daemons. */
#define ACKNOWLEDGE_WAIT_NS (1 * CQ_NS_PER_S)
/* How long an accepted change is followed for the counter. */
#define FOLLOW_NS (300 * CQ_NS_PER_S)

enum write_state {
	WRITE_PUTTING,	 /* compare-and-swap on its way */
	WRITE_READING,	 /* the answer was lost; reading back */
	WRITE_WAITING,	 /* for the next attempt */
	WRITE_ACCEPTED,	 /* in the store; counting acknowledgements */
	WRITE_FOLLOWING, /* answered; waiting until in force */
};

struct cq_operator_write {
	struct cq_operator_calls *calls;
	struct cq_operator_exchange *exchange; /* NULL: nobody waits */
	enum write_state state;
	char *key;
	char *document;
	uint64_t sequence;
	int64_t expected;
	int64_t revision; /* once accepted */
	bool lost;	  /* an attempt may have taken effect */
	int64_t deadline_ns;
	int64_t next_ns;
	int64_t accepted_ns;
	struct cq_store_call *call;
};

static json_t *subtree_json(const struct cq_operator_calls *calls,
			    const char *key, const char *document,
			    int64_t revision);
static bool append_subtree(void *ctx, const char *key, const char *document,
			   int64_t revision);
static bool is_deleted(const char *document);
static bool read_expected(struct cq_operator_calls *calls,
			  struct cq_operator_exchange *exchange,
			  const char *key, int64_t *expected);
static void start_write(struct cq_operator_calls *calls,
			struct cq_operator_exchange *exchange, const char *key,
			const char *json, int64_t expected);
static void put(struct cq_operator_write *write);
static void read_back(struct cq_operator_write *write);
static void on_put(void *ctx, const struct cq_store_result *result);
static void on_read(void *ctx, const struct cq_store_result *result);
static bool is_own(const struct cq_operator_write *write,
		   const struct cq_store_result *result);
static void accept_write(struct cq_operator_write *write, int64_t revision);
static void answer_accepted(struct cq_operator_write *write);
static void answer_conflict(struct cq_operator_write *write,
			    const struct cq_store_result *result);
static void fail_write(struct cq_operator_write *write, uint32_t status,
		       const char *code, const char *message);
static void finish(struct cq_operator_write *write);
static void tick_write(struct cq_operator_write *write, int64_t now_ns);
static int64_t now_of(const struct cq_operator_calls *calls);

static int64_t now_of(const struct cq_operator_calls *calls)
{
	return cq_clock_now_ns(cq_daemon_clock(calls->daemon));
}

static bool is_deleted(const char *document)
{
	json_t *root = json_loads(document, 0, NULL);
	bool deleted = json_is_true(json_object_get(root, "deleted"));

	json_decref(root);
	return deleted;
}

static json_t *subtree_json(const struct cq_operator_calls *calls,
			    const char *key, const char *document,
			    int64_t revision)
{
	char *json = cq_settings_json(cq_cluster_settings(calls->cluster), key);
	char writer[CQ_SETTINGS_NAME_BYTES] = "";
	uint64_t sequence = 0;
	json_t *settings = json ? json_loads(json, 0, NULL) : NULL;

	free(json);
	cq_settings_writer(document, writer, &sequence);
	return json_pack("{s:s,s:I,s:s,s:I,s:o?}", "key", key, "revision",
			 (json_int_t)revision, "writer", writer, "sequence",
			 (json_int_t)sequence, "settings", settings);
}

struct list_state {
	const struct cq_operator_calls *calls;
	json_t *list;
};

static bool append_subtree(void *ctx, const char *key, const char *document,
			   int64_t revision)
{
	struct list_state *state = ctx;

	if (!is_deleted(document))
		json_array_append_new(state->list,
				      subtree_json(state->calls, key, document,
						   revision));
	return true;
}

void cq_operator_get_settings(void *ctx, struct cq_operator_exchange *exchange)
{
	struct cq_operator_calls *calls = ctx;
	const struct cq_settings *settings =
		cq_cluster_settings(calls->cluster);
	const char *key = cq_operator_path_rest(exchange, "/v1/settings");
	struct list_state state = { calls, NULL };
	const char *document;
	int64_t revision = 0;
	json_t *body;

	if (key && !*key) {
		state.list = json_array();
		cq_settings_visit(settings, 0, append_subtree, &state);
		body = json_pack("{s:I,s:o}", "revision",
				 (json_int_t)cq_settings_revision(settings),
				 "settings", state.list);
		cq_operator_add_freshness(calls, body);
		cq_operator_respond(exchange, 200, body);
		return;
	}
	document = key ? cq_settings_document(settings, key, &revision) : NULL;
	if (!document || is_deleted(document)) {
		cq_daemon_respond_error(exchange, 404, "not_found",
					"there is no settings subtree \"%s\"",
					key ? key : "");
		return;
	}
	body = subtree_json(calls, key, document, revision);
	cq_operator_add_freshness(calls, body);
	cq_operator_respond(exchange, 200, body);
}

/*
 * The revision to replace: that of the query or, without one, the one held
 * here. A removed subtree still has a document, which a creation (revision 0)
 * replaces.
 */
static bool read_expected(struct cq_operator_calls *calls,
			  struct cq_operator_exchange *exchange,
			  const char *key, int64_t *expected)
{
	const char *text = cq_operator_exchange_query(exchange, "revision");
	int64_t held = 0;
	const char *document = cq_settings_document(
		cq_cluster_settings(calls->cluster), key, &held);
	char *end = NULL;

	if (!text) {
		*expected = held;
		return true;
	}
	*expected = strtoll(text, &end, 10);
	if (end == text || *end || *expected < 0) {
		cq_daemon_respond_error(exchange, 400, "invalid",
					"revision: \"%s\" is not an integer "
					"of 0 or more",
					text);
		return false;
	}
	if (!*expected && document && is_deleted(document))
		*expected = held;
	return true;
}

void cq_operator_write_settings(void *ctx,
				struct cq_operator_exchange *exchange)
{
	struct cq_operator_calls *calls = ctx;
	bool removes = !strcmp(cq_operator_exchange_method(exchange), "DELETE");
	const char *key = cq_operator_path_rest(exchange, "/v1/settings");
	const char *json = removes ? NULL
				   : cq_operator_exchange_body(exchange, NULL);
	struct cq_error err = CQ_ERROR_INIT;
	int64_t expected;

	if (!key || !*key) {
		cq_daemon_respond_error(exchange, 404, "not_found",
					"the path must be /v1/settings/KEY");
		return;
	}
	if (!cq_settings_sync_ready(cq_cluster_settings_sync(calls->cluster))) {
		cq_daemon_respond_error(exchange, 503, "not_ready",
					"this daemon has no settings yet, so "
					"it cannot check a change");
		return;
	}
	if (!cq_settings_check(cq_cluster_settings(calls->cluster), key, json,
			       cq_operator_capacity(calls), &err)) {
		cq_daemon_respond_error(exchange, 400, "invalid", "%s",
					err.message);
		return;
	}
	if (!read_expected(calls, exchange, key, &expected))
		return;
	if (removes && !expected) {
		cq_daemon_respond_error(exchange, 404, "not_found",
					"there is no settings subtree \"%s\"",
					key);
		return;
	}
	start_write(calls, exchange, key, json, expected);
}

static void start_write(struct cq_operator_calls *calls,
			struct cq_operator_exchange *exchange, const char *key,
			const char *json, int64_t expected)
{
	struct cq_operator_write *write = g_new0(struct cq_operator_write, 1);

	write->calls = calls;
	write->exchange = exchange;
	write->key = g_strdup(key);
	write->sequence = calls->next_sequence++;
	write->document = cq_settings_encode(json, cq_daemon_id(calls->daemon),
					     write->sequence);
	write->expected = expected;
	write->deadline_ns = now_of(calls) + WRITE_DEADLINE_NS;
	g_ptr_array_add(calls->writes, write);
	put(write);
}

static void put(struct cq_operator_write *write)
{
	const struct cq_store *store = cq_cluster_store(write->calls->cluster);
	char *key = g_strdup_printf("%s%s", CQ_SETTINGS_PREFIX, write->key);

	write->state = WRITE_PUTTING;
	write->call = store->ops->put(store->self, key, write->document,
				      write->expected, 0, STORE_TIMEOUT_MS,
				      on_put, write);
	g_free(key);
}

static void read_back(struct cq_operator_write *write)
{
	const struct cq_store *store = cq_cluster_store(write->calls->cluster);
	char *key = g_strdup_printf("%s%s", CQ_SETTINGS_PREFIX, write->key);

	write->state = WRITE_READING;
	write->call = store->ops->get(store->self, key, STORE_TIMEOUT_MS,
				      on_read, write);
	g_free(key);
}

static bool is_own(const struct cq_operator_write *write,
		   const struct cq_store_result *result)
{
	char writer[CQ_SETTINGS_NAME_BYTES];
	uint64_t sequence;

	return result->entry_count == 1 && result->entries[0].value &&
	       cq_settings_writer(result->entries[0].value, writer,
				  &sequence) &&
	       !strcmp(writer, cq_daemon_id(write->calls->daemon)) &&
	       sequence == write->sequence;
}

static void on_put(void *ctx, const struct cq_store_result *result)
{
	struct cq_operator_write *write = ctx;

	write->call = NULL;
	switch (result->status) {
	case CQ_STORE_OK:
		accept_write(write, result->entry_count
					    ? result->entries[0].revision
					    : result->revision);
		break;
	case CQ_STORE_CONFLICT:
		/* A repeated attempt meets its own first one. */
		if (is_own(write, result))
			accept_write(write, result->entries[0].revision);
		else
			answer_conflict(write, result);
		break;
	case CQ_STORE_UNKNOWN:
		write->lost = true;
		read_back(write);
		break;
	case CQ_STORE_UNAVAILABLE:
		if (write->lost) {
			write->state = WRITE_WAITING;
			write->next_ns =
				now_of(write->calls) + RETRY_INTERVAL_NS;
			break;
		}
		fail_write(write, 503, "store_unavailable",
			   "the store does not answer, also not through "
			   "other hosts; nothing was changed");
		break;
	default:
		fail_write(write, 400, "invalid", result->message);
		break;
	}
}

static void on_read(void *ctx, const struct cq_store_result *result)
{
	struct cq_operator_write *write = ctx;
	int64_t current;

	write->call = NULL;
	if (result->status != CQ_STORE_OK &&
	    result->status != CQ_STORE_NOT_FOUND) {
		write->state = WRITE_WAITING;
		write->next_ns = now_of(write->calls) + RETRY_INTERVAL_NS;
		return;
	}
	if (is_own(write, result)) {
		accept_write(write, result->entries[0].revision);
		return;
	}
	current = result->entry_count ? result->entries[0].revision : 0;
	/* It may still be on its way; the same swap can be tried again. */
	if (current == write->expected)
		put(write);
	else
		answer_conflict(write, result);
}

static void accept_write(struct cq_operator_write *write, int64_t revision)
{
	write->state = WRITE_ACCEPTED;
	write->revision = revision;
	write->accepted_ns = now_of(write->calls);
	cq_log_event(CQ_LOG_INFO, "settings_accepted", "{s:s,s:I,s:b}", "key",
		     write->key, "revision", (json_int_t)revision,
		     "answer_lost", (int)write->lost);
	cq_settings_sync_track_write(
		cq_cluster_settings_sync(write->calls->cluster), revision,
		write->accepted_ns);
}

static void answer_accepted(struct cq_operator_write *write)
{
	json_t *body = cq_operator_in_force(write->calls, write->revision);

	json_object_set_new(body, "key", json_string(write->key));
	json_object_set_new(body, "revision", json_integer(write->revision));
	json_object_set_new(body, "writer",
			    json_string(cq_daemon_id(write->calls->daemon)));
	json_object_set_new(body, "sequence",
			    json_integer((json_int_t)write->sequence));
	cq_operator_respond(write->exchange, 200, body);
	write->exchange = NULL;
	write->state = WRITE_FOLLOWING;
}

static void answer_conflict(struct cq_operator_write *write,
			    const struct cq_store_result *result)
{
	const struct cq_store_entry *entry =
		result->entry_count ? &result->entries[0] : NULL;
	int64_t current = entry ? entry->revision : 0;
	char writer[CQ_SETTINGS_NAME_BYTES] = "";
	uint64_t sequence;
	char *message;

	if (entry && entry->value)
		cq_settings_writer(entry->value, writer, &sequence);
	message = g_strdup_printf(
		"%s is at revision %" PRId64 ", not %" PRId64 "%s", write->key,
		current, write->expected,
		write->lost ? "; your change may have been in "
			      "force before"
			    : "");
	if (write->exchange)
		cq_operator_respond(write->exchange, 409,
				    json_pack("{s:{s:s,s:s,s:s,s:I,s:s}}",
					      "error", "code", "conflict",
					      "message", message, "key",
					      write->key, "current_revision",
					      (json_int_t)current,
					      "current_writer", writer));
	g_free(message);
	write->exchange = NULL;
	finish(write);
}

static void fail_write(struct cq_operator_write *write, uint32_t status,
		       const char *code, const char *message)
{
	if (write->exchange)
		cq_daemon_respond_error(write->exchange, status, code, "%s: %s",
					write->key, message);
	write->exchange = NULL;
	finish(write);
}

static void finish(struct cq_operator_write *write)
{
	const struct cq_store *store = cq_cluster_store(write->calls->cluster);

	if (write->call)
		store->ops->cancel(store->self, write->call);
	g_ptr_array_remove_fast(write->calls->writes, write);
	free(write->document);
	g_free(write->key);
	g_free(write);
}

void cq_operator_writes_aborted(struct cq_operator_calls *calls,
				const struct cq_operator_exchange *exchange)
{
	guint i;

	for (i = 0; i < calls->writes->len; i++) {
		struct cq_operator_write *write = calls->writes->pdata[i];

		/* The write goes on: it may have reached the store already. */
		if (write->exchange == exchange)
			write->exchange = NULL;
	}
}

static void tick_write(struct cq_operator_write *write, int64_t now_ns)
{
	uint32_t acknowledged = 0;
	uint32_t known = 0;

	if (write->state == WRITE_WAITING && now_ns >= write->next_ns)
		read_back(write);
	if (write->state != WRITE_ACCEPTED && write->state != WRITE_FOLLOWING) {
		if (now_ns >= write->deadline_ns)
			fail_write(write, 504, "unknown",
				   "no answer of the store arrived in time; "
				   "whether it took the change is not known");
		return;
	}
	cq_settings_sync_acknowledged(
		cq_cluster_settings_sync(write->calls->cluster),
		write->revision, &acknowledged, &known);
	if (write->exchange &&
	    (acknowledged >= known ||
	     now_ns - write->accepted_ns >= ACKNOWLEDGE_WAIT_NS))
		answer_accepted(write);
	if (acknowledged >= known)
		cq_histogram_observe_ns(write->calls->in_force,
					now_ns - write->accepted_ns);
	if (acknowledged >= known || now_ns - write->accepted_ns >= FOLLOW_NS)
		finish(write);
}

void cq_operator_writes_tick(struct cq_operator_calls *calls, int64_t now_ns)
{
	guint i = calls->writes->len;

	/* Backwards, because a finished write is replaced by the last one. */
	while (i-- > 0)
		tick_write(calls->writes->pdata[i], now_ns);
}

void cq_operator_writes_destroy(struct cq_operator_calls *calls)
{
	while (calls->writes->len)
		fail_write(calls->writes->pdata[calls->writes->len - 1], 504,
			   "unknown",
			   "this daemon stops; whether the store took the "
			   "change is not known");
	g_ptr_array_free(calls->writes, TRUE);
}
