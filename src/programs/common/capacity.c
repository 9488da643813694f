#include "programs/common/capacity.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define READ_INTERVAL_NS (10 * CQ_NS_PER_S)
/* Minimum interval between writes of changed summaries. */
#define WRITE_INTERVAL_NS (5 * CQ_NS_PER_S)
/*
 * Interval at which an unchanged summary is written again, in case another
 * owner has overwritten it.
 */
#define REFRESH_INTERVAL_NS (60 * CQ_NS_PER_S)
#define CALL_TIMEOUT_MS 1000
/* Workers beyond this number are ignored; guards against corrupt summaries. */
#define MAX_WORKERS 100000

struct cq_capacity_reader {
	struct cq_cluster *cluster;
	struct cq_store_call *call;
	int64_t next_read_ns;
	GArray *workers;  /* elements: struct cq_settings_worker */
	GPtrArray *names; /* strings that the workers refer to */
	struct cq_settings_capacity capacity;
};

struct cq_capacity_publisher {
	struct cq_cluster *cluster;
	struct cq_store_call *call;
	char *written; /* last summary written; NULL after a failure */
	char *writing; /* summary of the call in progress */
	int64_t next_write_ns;
	int64_t refresh_ns;
};

static void on_read(void *ctx, const struct cq_store_result *result);
static void on_reader_tick(void *ctx, int64_t now_ns);
static void add_summary(struct cq_capacity_reader *reader,
			const struct cq_store_entry *entry);
static void add_rack(struct cq_capacity_reader *reader, const char *dc,
		     const json_t *item);
static void on_written(void *ctx, const struct cq_store_result *result);
static char *format_summary(const struct cq_controller_rack *racks,
			    uint32_t count);

struct cq_capacity_reader *cq_capacity_reader_create(struct cq_cluster *cluster)
{
	struct cq_capacity_reader *reader =
		g_new0(struct cq_capacity_reader, 1);

	reader->cluster = cluster;
	reader->workers =
		g_array_new(FALSE, FALSE, sizeof(struct cq_settings_worker));
	reader->names = g_ptr_array_new_with_free_func(g_free);
	cq_daemon_add_tick(cq_cluster_daemon(cluster), on_reader_tick, reader);
	return reader;
}

void cq_capacity_reader_destroy(struct cq_capacity_reader *reader)
{
	const struct cq_store *store;

	if (!reader)
		return;
	store = cq_cluster_store(reader->cluster);
	if (reader->call)
		store->ops->cancel(store->self, reader->call);
	g_array_free(reader->workers, TRUE);
	g_ptr_array_free(reader->names, TRUE);
	g_free(reader);
}

static void on_reader_tick(void *ctx, int64_t now_ns)
{
	struct cq_capacity_reader *reader = ctx;
	const struct cq_store *store = cq_cluster_store(reader->cluster);

	if (reader->call || now_ns < reader->next_read_ns)
		return;
	reader->next_read_ns = now_ns + READ_INTERVAL_NS;
	reader->call = store->ops->list(store->self, CQ_CAPACITY_PREFIX,
					CALL_TIMEOUT_MS, on_read, reader);
}

static void add_rack(struct cq_capacity_reader *reader, const char *dc,
		     const json_t *item)
{
	struct cq_settings_worker worker = { .data_centre = dc };
	char *rack = g_strdup_printf(
		"%d", (int)json_integer_value(json_object_get(item, "rack")));
	json_int_t count = json_integer_value(json_object_get(item, "workers"));

	g_ptr_array_add(reader->names, rack);
	worker.rack = rack;
	worker.accelerators =
		json_integer_value(json_object_get(item, "accelerators"));
	for (; count > 0 && reader->workers->len < MAX_WORKERS; count--)
		g_array_append_val(reader->workers, worker);
}

static void add_summary(struct cq_capacity_reader *reader,
			const struct cq_store_entry *entry)
{
	char *dc = g_strdup(entry->key + strlen(CQ_CAPACITY_PREFIX));
	json_t *summary = json_loads(entry->value, 0, NULL);
	json_t *item;
	size_t i;

	g_ptr_array_add(reader->names, dc);
	json_array_foreach(json_object_get(summary, "racks"), i, item)
		add_rack(reader, dc, item);
	json_decref(summary);
}

static void on_read(void *ctx, const struct cq_store_result *result)
{
	struct cq_capacity_reader *reader = ctx;
	size_t i;

	reader->call = NULL;
	/* If the read failed, the last summaries stay in use. */
	if (result->status != CQ_STORE_OK)
		return;
	g_array_set_size(reader->workers, 0);
	g_ptr_array_set_size(reader->names, 0);
	for (i = 0; i < result->entry_count; i++)
		add_summary(reader, &result->entries[i]);
	reader->capacity.workers = (void *)reader->workers->data;
	reader->capacity.count = reader->workers->len;
}

const struct cq_settings_capacity *cq_capacity_reader_get(void *ctx)
{
	const struct cq_capacity_reader *reader = ctx;

	return reader->capacity.count ? &reader->capacity : NULL;
}

struct cq_capacity_publisher *
cq_capacity_publisher_create(struct cq_cluster *cluster)
{
	struct cq_capacity_publisher *publisher =
		g_new0(struct cq_capacity_publisher, 1);

	publisher->cluster = cluster;
	return publisher;
}

void cq_capacity_publisher_destroy(struct cq_capacity_publisher *publisher)
{
	const struct cq_store *store;

	if (!publisher)
		return;
	store = cq_cluster_store(publisher->cluster);
	if (publisher->call)
		store->ops->cancel(store->self, publisher->call);
	g_free(publisher->written);
	g_free(publisher->writing);
	g_free(publisher);
}

static char *format_summary(const struct cq_controller_rack *racks,
			    uint32_t count)
{
	json_t *list = json_array();
	json_t *body;
	char *text;
	uint32_t i;

	for (i = 0; i < count; i++)
		json_array_append_new(
			list,
			json_pack("{s:I,s:I,s:I}", "rack",
				  (json_int_t)racks[i].rack, "accelerators",
				  (json_int_t)racks[i].accelerators, "workers",
				  (json_int_t)racks[i].workers));
	body = json_pack("{s:o}", "racks", list);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

static void on_written(void *ctx, const struct cq_store_result *result)
{
	struct cq_capacity_publisher *publisher = ctx;

	publisher->call = NULL;
	g_clear_pointer(&publisher->written, g_free);
	if (result->status == CQ_STORE_OK)
		publisher->written = g_steal_pointer(&publisher->writing);
	g_clear_pointer(&publisher->writing, g_free);
}

void cq_capacity_publish(struct cq_capacity_publisher *publisher,
			 const struct cq_controller_rack *racks, uint32_t count,
			 int64_t now_ns)
{
	const struct cq_store *store = cq_cluster_store(publisher->cluster);
	char *text;
	char *key;

	if (publisher->call || now_ns < publisher->next_write_ns)
		return;
	publisher->next_write_ns = now_ns + WRITE_INTERVAL_NS;
	text = format_summary(racks, count);
	if (!g_strcmp0(text, publisher->written) &&
	    now_ns < publisher->refresh_ns) {
		free(text);
		return;
	}
	publisher->refresh_ns = now_ns + REFRESH_INTERVAL_NS;
	publisher->writing = g_strdup(text);
	key = g_strconcat(
		CQ_CAPACITY_PREFIX,
		cq_daemon_data_centre(cq_cluster_daemon(publisher->cluster)),
		NULL);
	publisher->call =
		store->ops->put(store->self, key, text, CQ_STORE_ANY_REVISION,
				0, CALL_TIMEOUT_MS, on_written, publisher);
	g_free(key);
	free(text);
}
