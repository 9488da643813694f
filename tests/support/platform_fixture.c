#include "platform_fixture.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "tests/support/wait_for.h"

static void on_request(void *ctx, struct cq_http_exchange *exchange)
{
	struct platform_fixture *f = ctx;
	const char *after = cq_http_exchange_query(exchange, "after");
	const char *key = cq_http_exchange_query(exchange, "key");
	const char *prefix = cq_http_exchange_query(exchange, "prefix");
	const char *expected =
		cq_http_exchange_header(exchange, "X-Expect-Instance");
	size_t len;

	f->requests++;
	g_free(f->sent);
	f->sent = g_strdup_printf(
		"%s %s%s%s%s%s%s%s %s%s%s", cq_http_exchange_method(exchange),
		cq_http_exchange_path(exchange), key ? " key=" : "",
		key ? key : "", prefix ? " prefix=" : "", prefix ? prefix : "",
		after ? " after=" : "", after ? after : "",
		cq_http_exchange_body(exchange, &len), expected ? " for " : "",
		expected ? expected : "");
	if (f->silent)
		return;
	cq_http_exchange_respond_json(exchange, f->status, f->body);
	if (f->second_body)
		f->body = f->second_body;
}

static bool may_send(void *ctx)
{
	const struct platform_fixture *f = ctx;

	return !f->forbidden;
}

void platform_fixture_open(struct platform_fixture *f)
{
	static const struct cq_http_server_handler handler = { on_request,
							       NULL };
	struct cq_http_server_options options;

	*f = (struct platform_fixture){ .loop = ev_loop_new(0), .status = 200 };
	cq_http_server_options_init(&options, "127.0.0.1", 0);
	f->server = cq_http_server_create(f->loop, &options, &handler, f, NULL);
	g_assert_nonnull(f->server);
	g_snprintf(f->address, sizeof(f->address), "127.0.0.1:%u",
		   cq_http_server_port(f->server));
	f->client = cq_http_client_create(f->loop, 4, 4);
	f->kv = cq_kv_store_create(f->client, f->address);
	f->executor = cq_executor_http_create(f->client, may_send, f);
}

void platform_fixture_close(struct platform_fixture *f)
{
	cq_kv_store_destroy(f->kv);
	cq_executor_http_destroy(f->executor);
	cq_http_client_destroy(f->client);
	cq_http_server_destroy(f->server);
	ev_loop_destroy(f->loop);
	g_free(f->sent);
	g_free(f->entries);
	g_free(f->lists);
}

void platform_fixture_on_result(void *ctx, const struct cq_store_result *result)
{
	struct platform_fixture *f = ctx;
	GString *text = g_string_new("");
	size_t i;

	f->done = true;
	f->result = *result;
	for (i = 0; i < result->entry_count; i++)
		g_string_append_printf(text, "%s=%s@%d,%d;",
				       result->entries[i].key,
				       result->entries[i].value
					       ? result->entries[i].value
					       : "-",
				       (int)result->entries[i].revision,
				       (int)result->entries[i].lease_id);
	g_free(f->entries);
	f->entries = g_string_free(text, FALSE);
}

void platform_fixture_on_report(void *ctx,
				const struct cq_executor_report *report)
{
	struct platform_fixture *f = ctx;
	GString *text = g_string_new("");
	size_t i;

	f->done = true;
	f->report = *report;
	f->odd_row_len = report->odd_row ? strlen(report->odd_row) : 0;
	for (i = 0; i < report->running_count; i++)
		g_string_append_printf(
			text, "%s %u %s %u %u;", report->running[i].task,
			report->running[i].run, report->running[i].checkpoint,
			report->running[i].percent, report->running[i].load);
	for (i = 0; i < report->ended_count; i++)
		g_string_append_printf(
			text, "%d %s %u %s %s;", (int)report->ended[i].number,
			report->ended[i].task, report->ended[i].run,
			cq_run_end_string(report->ended[i].outcome),
			report->ended[i].checkpoint);
	g_free(f->lists);
	f->lists = g_string_free(text, FALSE);
}

static bool is_done(void *ctx)
{
	return ((struct platform_fixture *)ctx)->done;
}

void platform_fixture_await(struct platform_fixture *f)
{
	g_assert_true(wait_for(f->loop, is_done, f));
	f->done = false;
}

const struct cq_store *platform_fixture_store(struct platform_fixture *f)
{
	return cq_kv_store_get(f->kv);
}
