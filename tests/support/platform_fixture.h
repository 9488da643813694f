/*
 * Test fixture: the HTTP adapters to the platform and a scripted HTTP server,
 * which answers each request alike and notes the last one.
 */
#ifndef CQ_TESTS_PLATFORM_FIXTURE_H
#define CQ_TESTS_PLATFORM_FIXTURE_H

#include <ev.h>

#include "chestnutquay/http_client.h"
#include "chestnutquay/http_server.h"
#include "platform/executor_http.h"
#include "platform/kv_store.h"

#define PLATFORM_CALL_TIMEOUT_MS 300

struct platform_fixture {
	struct ev_loop *loop;
	struct cq_http_server *server;
	struct cq_http_client *client;
	struct cq_kv_store *kv;
	struct cq_executor_http *executor;
	char address[32];
	/* The server's answer, and the last request it received. */
	uint32_t status;
	const char *body;
	const char *second_body; /* of all later answers; NULL: body */
	bool silent;		 /* never answer */
	char *sent;
	int requests;
	/* The result passed to the completion. */
	bool done;
	bool forbidden; /* commands may not be sent */
	struct cq_store_result result;
	char *entries;
	struct cq_executor_report report;
	char *lists;
	size_t odd_row_len;
};

void platform_fixture_open(struct platform_fixture *f);
void platform_fixture_close(struct platform_fixture *f);
/* Completions, which take the fixture as their context. */
void platform_fixture_on_result(void *ctx,
				const struct cq_store_result *result);
void platform_fixture_on_report(void *ctx,
				const struct cq_executor_report *report);
/* Waits for the completion of the call. */
void platform_fixture_await(struct platform_fixture *f);
const struct cq_store *platform_fixture_store(struct platform_fixture *f);

#endif
