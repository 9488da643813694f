/* Measures peer messages and HTTP calls to the store. */
#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "capacity.h"
#include "chestnutquay/clock.h"
#include "chestnutquay/http_client.h"
#include "chestnutquay/http_server.h"
#include "chestnutquay/peer_net.h"
#include "chestnutquay/store_http.h"
#include "protocol/gen/envelope.pb-c.h"

#define PEER_MESSAGES 20000
/* One at a time: each message wakes the process, as in an idle cluster. */
#define PEER_IN_FLIGHT 1
#define PAYLOAD_BYTES 200
#define PEER_SELF "127.0.23.50:7151"
#define PEER_OTHER "127.0.23.51:7151"
#define HTTP_CALLS 6000
#define HTTP_IN_FLIGHT 4
#define ENVELOPES 200000

double capacity_envelope_bytes;

struct echo {
	struct cq_peer_net *net;
};

struct peer_run {
	struct ev_loop *loop;
	struct cq_peer_net *net;
	uint32_t sent;
	uint32_t answered;
	bool finished;
	uint8_t payload[PAYLOAD_BYTES];
};

struct store_run {
	struct ev_loop *loop;
	const struct cq_store *store;
	bool writes;
	uint32_t sent;
	uint32_t done;
	uint32_t failed;
	bool finished;
};

static struct cq_peer_net *open_net(struct ev_loop *loop, const char *address,
				    cq_peer_message_fn *fn, void *ctx);
static void on_echo(void *ctx, const struct cq_peer_message *message);
static void send_next(struct peer_run *run);
static void on_answer(void *ctx, const struct cq_peer_message *message);
static void measure_envelope(void);
static void answer_store_call(void *ctx, struct cq_http_exchange *exchange);
static void call_store(struct store_run *run);
static void on_store_done(void *ctx, const struct cq_store_result *result);
static void measure_store(struct ev_loop *server, uint16_t port, bool writes);

static struct cq_peer_net *open_net(struct ev_loop *loop, const char *address,
				    cq_peer_message_fn *fn, void *ctx)
{
	struct cq_peer_net_options options;
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_peer_net *net;

	cq_peer_net_options_init(&options);
	options.deployment = "bench";
	options.id = "host-123/entryd";
	options.incarnation = 1780000000000;
	options.listen_address = address;
	net = cq_peer_net_create(loop, &options, fn, ctx, &err);
	if (!net)
		g_error("%s", err.message);
	return net;
}

static void on_echo(void *ctx, const struct cq_peer_message *message)
{
	struct echo *echo = ctx;

	cq_peer_net_send(echo->net, message->from_address, CQ_PEER_ACK,
			 message->correlation, message->payload,
			 message->payload_len);
}

static void send_next(struct peer_run *run)
{
	if (run->sent >= PEER_MESSAGES)
		return;
	run->sent++;
	if (!cq_peer_net_send(run->net, PEER_OTHER, CQ_PEER_PING, run->sent,
			      run->payload, PAYLOAD_BYTES))
		g_error("peer message was dropped");
}

static void on_answer(void *ctx, const struct cq_peer_message *message)
{
	struct peer_run *run = ctx;

	(void)message;
	run->answered++;
	run->finished = run->answered == PEER_MESSAGES;
	send_next(run);
}

/* Measures packing and unpacking of an envelope, without sockets. */
static void measure_envelope(void)
{
	uint8_t payload[PAYLOAD_BYTES] = { 0 };
	Cq__Proto__Envelope envelope = CQ__PROTO__ENVELOPE__INIT;
	uint8_t packed[1024];
	double start = capacity_cpu_us();
	size_t len = 0;
	int i;

	envelope.version = CQ_PEER_PROTOCOL_VERSION;
	envelope.deployment = (char *)"bench";
	envelope.sender_id = (char *)"host-123/entryd";
	envelope.incarnation = 1780000000000;
	envelope.sender_address = (char *)PEER_SELF;
	envelope.kind = CQ_PEER_PING;
	envelope.payload.data = payload;
	envelope.payload.len = sizeof(payload);
	for (i = 0; i < ENVELOPES; i++) {
		Cq__Proto__Envelope *copy;

		envelope.correlation = (uint64_t)i;
		len = cq__proto__envelope__pack(&envelope, packed);
		copy = cq__proto__envelope__unpack(NULL, len, packed);
		cq__proto__envelope__free_unpacked(copy, NULL);
	}
	capacity_report("envelope_pack_unpack", "us",
			(capacity_cpu_us() - start) / ENVELOPES);
}

void capacity_measure_peers(void)
{
	struct ev_loop *other_loop = ev_loop_new(0);
	struct peer_run run = { 0 };
	struct capacity_cost cost;
	struct echo echo;
	double heap;
	int i;

	measure_envelope();
	echo.net = open_net(other_loop, PEER_OTHER, on_echo, &echo);
	run.loop = ev_loop_new(0);
	run.net = open_net(run.loop, PEER_SELF, on_answer, &run);
	heap = capacity_heap_bytes();
	for (i = 0; i < PEER_IN_FLIGHT; i++)
		send_next(&run);
	heap = capacity_heap_bytes() - heap;
	capacity_run_in_turns(run.loop, capacity_loop_step, other_loop,
			      &run.finished, &cost);
	capacity_envelope_bytes =
		(double)cq_peer_net_bytes_sent(run.net) / PEER_MESSAGES -
		PAYLOAD_BYTES;
	capacity_report("peer_message_overhead", "bytes",
			capacity_envelope_bytes);
	/* Each round trip is one sent and one received message. */
	capacity_report("peer_message_cpu", "us",
			cost.cpu_us / PEER_MESSAGES / 2);
	/* Two links are open: one opened by this side, one by the peer. */
	capacity_report("peer_link_memory", "bytes",
			(heap + cost.heap_bytes) / 2);
	cq_peer_net_destroy(run.net);
	ev_loop_destroy(run.loop);
	cq_peer_net_destroy(echo.net);
	ev_loop_destroy(other_loop);
}

static void answer_store_call(void *ctx, struct cq_http_exchange *exchange)
{
	(void)ctx;
	cq_http_exchange_respond_json(
		exchange, 200,
		"{\"revision\":123456,\"entries\":[{\"key\":\"owners/surat\","
		"\"value\":\"{\\\"holder\\\":\\\"a/schedd\\\",\\\"incarnation"
		"\\\":1780000000000}\",\"revision\":123450,\"lease\":17}]}");
}

static void call_store(struct store_run *run)
{
	if (run->sent >= HTTP_CALLS)
		return;
	run->sent++;
	if (run->writes)
		run->store->ops->put(run->store->self, "owners/surat", "value",
				     1, 0, 5000, on_store_done, run);
	else
		run->store->ops->get(run->store->self, "owners/surat", 5000,
				     on_store_done, run);
}

static void on_store_done(void *ctx, const struct cq_store_result *result)
{
	struct store_run *run = ctx;

	run->done++;
	run->failed += result->status != CQ_STORE_OK;
	run->finished = run->done == HTTP_CALLS;
	call_store(run);
}

static void measure_store(struct ev_loop *server, uint16_t port, bool writes)
{
	struct store_run run = { .writes = writes };
	struct cq_http_client *client;
	struct cq_store_http *http;
	char address[32];
	struct capacity_cost cost;
	double heap;
	int i;

	run.loop = ev_loop_new(0);
	snprintf(address, sizeof(address), "127.0.23.52:%u", port);
	client = cq_http_client_create(run.loop, 8, 8);
	heap = capacity_heap_bytes();
	http = cq_store_http_create(client, address);
	run.store = cq_store_http_get(http);
	for (i = 0; i < HTTP_IN_FLIGHT; i++)
		call_store(&run);
	heap = capacity_heap_bytes() - heap;
	capacity_run_in_turns(run.loop, capacity_loop_step, server,
			      &run.finished, &cost);
	if (run.failed)
		g_error("%u store calls failed", run.failed);
	capacity_report(writes ? "store_write_cpu" : "store_read_cpu", "us",
			cost.cpu_us / HTTP_CALLS);
	if (!writes)
		capacity_report("http_connection_memory", "bytes",
				(heap + cost.heap_bytes) / HTTP_IN_FLIGHT);
	cq_store_http_destroy(http);
	cq_http_client_destroy(client);
	ev_loop_destroy(run.loop);
}

void capacity_measure_http(void)
{
	struct cq_http_server_handler handler = { answer_store_call, NULL };
	struct ev_loop *loop = ev_loop_new(0);
	struct cq_http_server_options options;
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_http_server *server;

	cq_http_server_options_init(&options, "127.0.23.52", 0);
	server = cq_http_server_create(loop, &options, &handler, NULL, &err);
	if (!server)
		g_error("%s", err.message);
	measure_store(loop, cq_http_server_port(server), false);
	measure_store(loop, cq_http_server_port(server), true);
	cq_http_server_destroy(server);
	ev_loop_destroy(loop);
}
