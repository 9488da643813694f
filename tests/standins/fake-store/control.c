/* Control interface: fault injection, host list and counts of calls. */
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "fake_store.h"

int64_t fake_store_now_ns(void)
{
	return cq_clock_now_ns(cq_clock_system());
}

void fake_store_faults(struct fake_store *store,
		       struct cq_http_exchange *exchange)
{
	json_t *faults =
		json_loads(cq_http_exchange_body(exchange, NULL), 0, NULL);
	json_t *value;

	if ((value = json_object_get(faults, "down")))
		store->down = json_is_true(value);
	if ((value = json_object_get(faults, "silent")))
		store->is_silent = json_is_true(value);
	if ((value = json_object_get(faults, "delay_ms")))
		store->delay_ms = json_integer_value(value);
	if ((value = json_object_get(faults, "lose_answers")))
		store->lose_answers = json_integer_value(value);
	if ((value = json_object_get(faults, "host_list_lag_ms")))
		store->host_list_lag_ms = json_integer_value(value);
	json_decref(faults);
	cq_http_exchange_respond_json(exchange, 200, "{}");
}

void fake_store_hosts(struct fake_store *store,
		      struct cq_http_exchange *exchange, const char *method)
{
	if (!strcmp(method, "PUT")) {
		g_free(store->pending_hosts);
		store->pending_hosts =
			g_strdup(cq_http_exchange_body(exchange, NULL));
		store->pending_hosts_visible_ns =
			fake_store_now_ns() +
			store->host_list_lag_ms * CQ_NS_PER_MS;
		cq_http_exchange_respond_json(exchange, 200, "{}");
		return;
	}
	if (store->pending_hosts &&
	    fake_store_now_ns() >= store->pending_hosts_visible_ns) {
		g_free(store->hosts);
		store->hosts = g_steal_pointer(&store->pending_hosts);
	}
	cq_http_exchange_respond_json(exchange, 200, store->hosts);
}

void fake_store_stats(struct fake_store *store,
		      struct cq_http_exchange *exchange)
{
	char *json =
		g_strdup_printf("{\"reads\":%" PRIu64 ",\"writes\":%" PRIu64
				",\"watches\":%" PRIu64
				",\"waiting\":%u,\"revision\":%" PRId64 "}",
				store->reads, store->writes, store->watch_calls,
				store->watches->len, store->revision);

	cq_http_exchange_respond_json(exchange, 200, json);
	g_free(json);
}
