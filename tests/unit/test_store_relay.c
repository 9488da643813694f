#include <glib.h>
#include <string.h>

#include "../support/script_store.h"
#include "../support/sim_world.h"
#include "protocol/gen/coordination.pb-c.h"

#define NONE CQ_SIM_NO_FAULT
/* Node 0 makes the calls; its data centre has nodes 0 to 3, dc1 4 to 7. */
#define CALLER 0

enum operation { GET, LIST, PUT, REMOVE, GRANT, KEEPALIVE, REVOKE, WATCH };

/* Bits of the statuses that may come back. */
#define OK (1U << CQ_STORE_OK)
#define GONE (1U << CQ_STORE_NOT_FOUND)
#define REFUSED (1U << CQ_STORE_UNAVAILABLE)
#define LOST (1U << CQ_STORE_UNKNOWN)

static const char *const status_names[] = { "ok",	 "conflict",
					    "not_found", "unavailable",
					    "unknown",	 "invalid" };

struct answer {
	bool done;
	uint32_t completions;
	enum cq_store_status status;
	int64_t lease_id;
	size_t entry_count;
	char value[64];
};

static void on_done(void *ctx, const struct cq_store_result *result)
{
	struct answer *answer = ctx;

	answer->done = true;
	answer->completions++;
	answer->status = result->status;
	answer->lease_id = result->lease_id;
	answer->entry_count = result->entry_count;
	g_assert_nonnull(result->message);
	if (result->entry_count && result->entries[0].value) {
		g_assert_cmpuint(strlen(result->entries[0].value), ==,
				 result->entries[0].value_len);
		g_strlcpy(answer->value, result->entries[0].value,
			  sizeof(answer->value));
	}
}

struct world {
	struct cq_sim_cluster *cluster;
	struct cq_sim_faults *faults;
	const struct cq_store *store;
	uint32_t writes; /* of test keys, that took effect */
};

static void count_writes(void *ctx, const char *key, const char *value,
			 int64_t revision)
{
	struct world *world = ctx;

	(void)value;
	(void)revision;
	world->writes += g_str_has_prefix(key, "test/");
}

static void create(struct world *world, uint64_t seed)
{
	struct cq_sim_cluster_options options;

	memset(world, 0, sizeof(*world));
	cq_sim_cluster_options_init(&options);
	options.seed = seed;
	options.data_centres = 2;
	options.schedds = 2;
	options.entryds = 2;
	world->cluster = cq_sim_cluster_create(&options);
	world->faults = cq_sim_faults_create(world->cluster);
	cq_sim_store_on_change(cq_sim_cluster_store(world->cluster),
			       count_writes, world);
	cq_sim_cluster_run_ms(world->cluster, 8000);
	world->store = cq_store_relay_store(
		cq_sim_node_relay(cq_sim_cluster_node(world->cluster, CALLER)));
}

static void destroy(struct world *world)
{
	cq_sim_faults_destroy(world->faults);
	cq_sim_cluster_destroy(world->cluster);
}

static struct cq_store_call *call(struct world *world, enum operation operation,
				  int64_t lease_id, uint32_t timeout_ms,
				  struct answer *answer)
{
	const struct cq_store_ops *ops = world->store->ops;
	void *self = world->store->self;
	int64_t revision;

	memset(answer, 0, sizeof(*answer));
	cq_sim_store_read(cq_sim_cluster_store(world->cluster), "test/key",
			  &revision);
	switch (operation) {
	case GET:
		return ops->get(self, "test/key", timeout_ms, on_done, answer);
	case LIST:
		return ops->list(self, "test/", timeout_ms, on_done, answer);
	case PUT:
		return ops->put(self, "test/key", "new", revision, 0,
				timeout_ms, on_done, answer);
	case REMOVE:
		return ops->remove(self, "test/key", revision, timeout_ms,
				   on_done, answer);
	case GRANT:
		return ops->lease_grant(self, 60000, timeout_ms, on_done,
					answer);
	case KEEPALIVE:
		return ops->lease_keepalive(self, lease_id, timeout_ms, on_done,
					    answer);
	case REVOKE:
		return ops->lease_revoke(self, lease_id, timeout_ms, on_done,
					 answer);
	case WATCH:
		return ops->watch(self, "test/", revision - 1, timeout_ms,
				  on_done, answer);
	}
	return NULL;
}

static int64_t grant(struct world *world)
{
	struct answer answer;

	call(world, GRANT, 0, 1000, &answer);
	cq_sim_cluster_run_ms(world->cluster, 1000);
	g_assert_cmpint(answer.status, ==, CQ_STORE_OK);
	return answer.lease_id;
}

/*
 * Guards against calls that end twice or never, writes that run twice, and
 * calls that fail although a peer reaches the store.
 */
static void test_faults(void)
{
	static const struct {
		enum cq_sim_fault_kind first, second;
		/* The fault has lasted long enough to be noticed. */
		bool settled;
		uint32_t read, write; /* allowed statuses */
	} cases[] = {
		{ NONE, NONE, false, OK, OK },
		{ CQ_SIM_CUT_STORE, NONE, true, OK, OK },
		/* A write waits for the store as long as the caller allows. */
		{ CQ_SIM_CUT_STORE, NONE, false, OK, OK | LOST | REFUSED },
		{ CQ_SIM_DEAF_STORE, NONE, true, OK, OK },
		{ CQ_SIM_DEAF_STORE, NONE, false, OK, OK | LOST },
		{ CQ_SIM_CUT_PEERS, NONE, true, OK, OK },
		{ CQ_SIM_CUT, NONE, true, REFUSED | LOST, REFUSED | LOST },
		{ CQ_SIM_STORE_DOWN, NONE, true, REFUSED, REFUSED },
		{ CQ_SIM_STORE_DOWN, NONE, false, REFUSED, REFUSED },
		{ CQ_SIM_STORE_HANG, NONE, false, REFUSED | LOST,
		  REFUSED | LOST },
		{ CQ_SIM_CUT_STORE, CQ_SIM_DUPLICATES, true, OK, OK },
		{ CQ_SIM_CUT_STORE, CQ_SIM_LOSS, true, OK | LOST | REFUSED,
		  OK | LOST | REFUSED },
		{ CQ_SIM_CUT_STORE, CQ_SIM_LOST_ANSWERS, true,
		  OK | LOST | REFUSED, OK | LOST | REFUSED },
		{ CQ_SIM_LOST_ANSWERS, NONE, false, OK | LOST | REFUSED,
		  OK | LOST | REFUSED },
		{ CQ_SIM_RESETS, NONE, false, OK | LOST | REFUSED,
		  OK | LOST | REFUSED },
		{ CQ_SIM_CUT_STORE, CQ_SIM_RESETS, true, OK | LOST | REFUSED,
		  OK | LOST | REFUSED },
	};
	guint i;
	enum operation operation;
	uint64_t seed;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (operation = GET; operation <= WATCH; operation++) {
			for (seed = 1; seed <= 4; seed++) {
				bool writes = operation == PUT ||
					      operation == REMOVE;
				uint32_t allowed = writes ? cases[i].write
							  : cases[i].read;
				struct answer answer;
				struct world world;
				int64_t lease_id;

				create(&world, seed);
				cq_sim_store_write(
					cq_sim_cluster_store(world.cluster),
					"test/key", "old", 0);
				lease_id = grant(&world);
				if (cases[i].first != NONE)
					cq_sim_fault_begin(world.faults,
							   cases[i].first,
							   CALLER);
				if (cases[i].second != NONE)
					cq_sim_fault_begin(world.faults,
							   cases[i].second,
							   CALLER);
				if (cases[i].settled)
					cq_sim_cluster_run_ms(world.cluster,
							      12000);
				world.writes = 0;
				call(&world, operation, lease_id, 2000,
				     &answer);
				g_assert_false(answer.done);
				cq_sim_cluster_run_ms(world.cluster, 3200);
				g_test_message(
					"%s %s op %d seed %d: status %s",
					cq_sim_fault_string(cases[i].first),
					cq_sim_fault_string(cases[i].second),
					operation, (int)seed,
					status_names[answer.status]);
				cq_sim_cluster_run_ms(world.cluster, 5000);
				g_assert_cmpuint(answer.completions, ==, 1);
				/* A silent store shows at the watch's end. */
				if (operation == WATCH && !cases[i].settled &&
				    cases[i].first != NONE)
					allowed |= LOST | REFUSED;
				/* A second revocation finds nothing. */
				if (operation == REVOKE)
					allowed |= GONE;
				g_assert_true(allowed & (1U << answer.status));
				if (!writes) {
					g_assert_cmpuint(world.writes, ==, 0);
				} else {
					g_assert_cmpuint(world.writes, <=, 1);
					if (answer.status == CQ_STORE_OK)
						g_assert_cmpuint(world.writes,
								 ==, 1);
					if (answer.status ==
					    CQ_STORE_UNAVAILABLE)
						g_assert_cmpuint(world.writes,
								 ==, 0);
				}
				if (answer.status == CQ_STORE_OK &&
				    (operation == GET || operation == LIST ||
				     operation == WATCH))
					g_assert_cmpstr(answer.value, ==,
							"old");
				destroy(&world);
			}
		}
	}
}

/* Guards against a host that keeps on using peers when the store is back. */
static void test_return(void)
{
	struct world world;
	struct cq_store_relay *relay;
	uint64_t relayed;

	create(&world, 2);
	relay = cq_sim_node_relay(cq_sim_cluster_node(world.cluster, CALLER));
	g_assert_true(cq_store_relay_is_direct(relay));
	g_assert_cmpuint(cq_store_relay_relayed_count(relay), ==, 0);
	cq_sim_fault_begin(world.faults, CQ_SIM_CUT_STORE, CALLER);
	cq_sim_cluster_run_ms(world.cluster, 15000);
	g_assert_false(cq_store_relay_is_direct(relay));
	g_assert_cmpuint(cq_store_relay_relayed_count(relay), >, 0);
	cq_sim_faults_end_all(world.faults);
	cq_sim_cluster_run_ms(world.cluster, 10000);
	g_assert_true(cq_store_relay_is_direct(relay));
	relayed = cq_store_relay_relayed_count(relay);
	cq_sim_cluster_run_ms(world.cluster, 10000);
	g_assert_cmpuint(cq_store_relay_relayed_count(relay), ==, relayed);
	destroy(&world);
}

/* Guards against load on a store that is down growing with the callers. */
static void test_outage_load(void)
{
	struct world world;
	uint64_t calls;

	create(&world, 3);
	cq_sim_fault_begin(world.faults, CQ_SIM_STORE_DOWN, 0);
	cq_sim_cluster_run_ms(world.cluster, 10000);
	calls = cq_sim_store_stats(cq_sim_cluster_store(world.cluster)).calls;
	cq_sim_cluster_run_ms(world.cluster, 60000);
	calls = cq_sim_store_stats(cq_sim_cluster_store(world.cluster)).calls -
		calls;
	/* Eight processes that probe every 2 s at most. */
	g_assert_cmpuint(calls, <=, 8 * 30);
	g_assert_cmpuint(calls, >, 0);
	destroy(&world);
}

/* Guards against completions after a cancellation. */
static void test_cancel(void)
{
	static const enum cq_sim_fault_kind kinds[] = { NONE, CQ_SIM_CUT_STORE,
							CQ_SIM_STORE_DOWN,
							CQ_SIM_STORE_HANG };
	guint i;
	enum operation operation;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		for (operation = GET; operation <= WATCH; operation++) {
			struct answer answer;
			struct world world;
			struct cq_store_call *made;

			create(&world, 5 + i);
			if (kinds[i] != NONE)
				cq_sim_fault_begin(world.faults, kinds[i],
						   CALLER);
			cq_sim_cluster_run_ms(world.cluster, i % 2 * 8000);
			made = call(&world, operation, 1, 2000, &answer);
			world.store->ops->cancel(world.store->self, made);
			cq_sim_cluster_run_ms(world.cluster, 8000);
			g_assert_cmpuint(answer.completions, ==, 0);
			destroy(&world);
		}
	}
}

/* Guards against a request that arrives twice running twice. */
static void test_duplicate_request(void)
{
	Cq__StoreRelayRequest request = CQ__STORE_RELAY_REQUEST__INIT;
	struct cq_peer_message message = {
		.from_address = "10.0.0.2:7000",
		.from_id = "x",
		.from_incarnation = 4,
		.kind = CQ_PEER_STORE_RELAY,
		.correlation = 9,
	};
	static const struct {
		uint64_t incarnation, correlation;
		uint32_t writes;
	} cases[] = {
		{ 4, 9, 1 }, { 4, 9, 1 }, { 4, 10, 2 },
		{ 5, 9, 3 }, { 4, 9, 3 },
	};
	struct world world;
	uint8_t payload[128];
	guint i;

	create(&world, 6);
	request.operation = CQ__STORE_OPERATION__STORE_PUT;
	request.key = "test/key";
	request.value.data = (uint8_t *)"v";
	request.value.len = 1;
	request.revision = CQ_STORE_ANY_REVISION;
	request.timeout_ms = 500;
	message.payload = payload;
	message.payload_len = cq__store_relay_request__pack(&request, payload);
	world.writes = 0;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_sim_node *node =
			cq_sim_cluster_node(world.cluster, CALLER);

		message.from_incarnation = cases[i].incarnation;
		message.correlation = cases[i].correlation;
		g_assert_true(cq_store_relay_receive(
			cq_sim_node_relay(node), &message,
			cq_sim_node_now_ns(node), NULL));
		cq_sim_cluster_run_ms(world.cluster, 600);
		g_assert_cmpuint(world.writes, ==, cases[i].writes);
	}
	destroy(&world);
}

struct sent {
	uint32_t requests;
	uint64_t correlation; /* of the last one */
};

static void note_sent(void *ctx, const char *address, enum cq_peer_kind kind,
		      uint64_t correlation, const uint8_t *payload, size_t len)
{
	struct sent *sent = ctx;

	(void)address;
	(void)payload;
	(void)len;
	sent->requests += kind == CQ_PEER_STORE_RELAY;
	sent->correlation = correlation;
}

static void deliver_answer(struct cq_store_relay *relay, uint64_t correlation,
			   enum cq_store_status status)
{
	Cq__StoreRelayAnswer answer = CQ__STORE_RELAY_ANSWER__INIT;
	Cq__StoreRelayEntry entry = CQ__STORE_RELAY_ENTRY__INIT;
	Cq__StoreRelayEntry *entries[] = { &entry };
	struct cq_peer_message message = { .from_address = "10.0.0.2:1",
					   .from_id = "peer",
					   .kind = CQ_PEER_STORE_RELAY_ANSWER,
					   .correlation = correlation };
	uint8_t payload[128];

	entry.key = "test/key";
	entry.value.data = (uint8_t *)"winner";
	entry.value.len = strlen("winner");
	entry.revision = 9;
	answer.status = (uint32_t)status;
	answer.n_entries = status == CQ_STORE_CONFLICT;
	answer.entries = entries;
	message.payload = payload;
	message.payload_len = cq__store_relay_answer__pack(&answer, payload);
	g_assert_true(cq_store_relay_receive(relay, &message, 0, NULL));
}

/*
 * Guards against the answer of a peer that was asked before being taken for
 * that of the peer asked now, and against a conflict that does not bring the
 * winner's value.
 */
static void test_answer_of_earlier_peer(void)
{
	static const enum cq_store_status statuses[] = { CQ_STORE_UNAVAILABLE,
							 CQ_STORE_CONFLICT,
							 CQ_STORE_OK };
	static const struct cq_membership_ops membership_ops = {
		.send = note_sent,
	};
	static const struct cq_store_relay_ops ops = { .send = note_sent };
	static const struct cq_store_result refused = {
		.status = CQ_STORE_UNAVAILABLE
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(statuses); i++) {
		struct cq_manual_clock *clock = cq_manual_clock_create(0, 0);
		struct cq_membership_options membership;
		struct cq_store_relay_options options;
		struct cq_script_store script;
		struct cq_store_relay *relay;
		struct cq_membership *m;
		struct sent sent = { 0 };
		const struct cq_store *store;
		struct answer answer = { 0 };
		uint64_t first;

		cq_membership_options_init(&membership);
		strcpy(membership.self.id, "me");
		strcpy(membership.self.data_centre, "dc0");
		strcpy(membership.self.address, "10.0.0.1:1");
		m = cq_membership_create(&membership, &membership_ops, &sent,
					 0);
		cq_sim_feed_member(m, "a", "10.0.0.2:1", 0);
		cq_sim_feed_member(m, "b", "10.0.0.2:1", 0);
		cq_script_store_init(&script);
		cq_store_relay_options_init(&options);
		options.clock = cq_manual_clock_get(clock);
		relay = cq_store_relay_create(&options, &script.store, m, &ops,
					      &sent);
		store = cq_store_relay_store(relay);
		store->ops->put(store->self, "test/key", "new", 5, 0, 2000,
				on_done, &answer);
		cq_script_store_answer(&script,
				       cq_script_store_find(&script,
							    CQ_SCRIPT_PUT, ""),
				       &refused);
		g_assert_cmpuint(sent.requests, ==, 1);
		first = sent.correlation;
		deliver_answer(relay, first, CQ_STORE_UNAVAILABLE);
		g_assert_cmpuint(sent.requests, ==, 2);
		deliver_answer(relay, first, statuses[i]);
		g_assert_false(answer.done);
		deliver_answer(relay, sent.correlation, CQ_STORE_CONFLICT);
		g_assert_cmpint(answer.status, ==, CQ_STORE_CONFLICT);
		g_assert_cmpstr(answer.value, ==, "winner");
		cq_store_relay_destroy(relay);
		cq_membership_destroy(m);
		cq_script_store_clear(&script);
		cq_manual_clock_destroy(clock);
	}
}

/* Guards against messages that crash or run something. */
static void test_malformed(void)
{
	static const struct {
		enum cq_peer_kind kind;
		const char *bytes;
		size_t len;
	} cases[] = {
		{ CQ_PEER_STORE_RELAY, "", 0 },
		{ CQ_PEER_STORE_RELAY, "\xff\xff", 2 },
		{ CQ_PEER_STORE_RELAY, "\x08\x63", 2 },
		{ CQ_PEER_STORE_RELAY_ANSWER, "\xff\xff", 2 },
		{ CQ_PEER_PING, "", 0 },
	};
	struct world world;
	struct cq_store_relay *relay;
	guint i;

	create(&world, 4);
	relay = cq_sim_node_relay(cq_sim_cluster_node(world.cluster, CALLER));
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_error err = CQ_ERROR_INIT;
		struct cq_peer_message message = {
			.from_address = "10.0.0.2:7000",
			.from_id = "x",
			.kind = cases[i].kind,
			.correlation = 9,
			.payload = (const uint8_t *)cases[i].bytes,
			.payload_len = cases[i].len,
		};

		g_assert_false(
			cq_store_relay_receive(relay, &message, 0, &err));
		g_assert_cmpint(err.code, ==, CQ_ERR_INVALID);
	}
	destroy(&world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store_relay/faults", test_faults);
	g_test_add_func("/store_relay/return", test_return);
	g_test_add_func("/store_relay/outage_load", test_outage_load);
	g_test_add_func("/store_relay/cancel", test_cancel);
	g_test_add_func("/store_relay/duplicate_request",
			test_duplicate_request);
	g_test_add_func("/store_relay/answer_of_earlier_peer",
			test_answer_of_earlier_peer);
	g_test_add_func("/store_relay/malformed", test_malformed);
	return g_test_run();
}
