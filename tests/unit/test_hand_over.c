/*
 * Hand-over of the outcomes of idempotency keys on a planned stop of their
 * home: first to an interim host, then to the successor with the same index.
 */
#include <glib.h>
#include <string.h>

#include "../support/request_world.h"
#include "chestnutquay/outcomes.h"

#define MS CQ_NS_PER_MS
#define HOME 0
#define INTERIM_HOST 1 /* interim host: the index after HOME */
#define OTHER 2
#define KEYS 8

static void run_for(struct world *world, int64_t ms)
{
	world_run_until(world, world_now(world) + ms * MS);
}

static uint32_t count_keys_of_home(const struct world *world)
{
	struct cq_router_stats stats;

	world_host_stats(world, HOME, &stats);
	return stats.keys;
}

/* Sends keyed requests until one has its home at HOME. */
static uint32_t send_key(struct world *world)
{
	struct world_request request = { .keyed = true, .timeout_ms = 2000 };
	uint32_t before = count_keys_of_home(world);
	uint32_t logical;

	do {
		logical = world_logical(world, &request);
		world_send(world, logical, OTHER);
		run_for(world, 5);
	} while (count_keys_of_home(world) == before);
	return logical;
}

static void send_keys(struct world *world, uint32_t *logicals, bool running)
{
	uint32_t i;

	for (i = 0; i < KEYS; i++) {
		if (running && i == KEYS - 1) {
			run_for(world, 500);
			world_endpoint_faults(world, 0)->extra_ns = 1000 * MS;
		}
		logicals[i] = send_key(world);
	}
	if (!running)
		run_for(world, 500);
}

enum other_host { STAYS, DIES, STOPS, PAUSED };

/*
 * Guards against the loss of outcomes on a planned stop, and against a second
 * run of a request when hosts die or messages are lost during the hand-over.
 */
static void test_faults(void)
{
	static const struct {
		const char *name;
		bool home_dies; /* instead of stopping */
		bool running;	/* a request runs when the home stops */
		/* Hand-over message with the fault; 0: none. */
		uint32_t stop_message, start_message;
		enum world_message_fault fault;
		enum other_host interim_host;
		bool kept; /* the outcomes are kept */
	} cases[] = {
		{ "nothing fails", .kept = true },
		{ "a request is still running", .running = true, .kept = true },
		{ "the offer is lost", .stop_message = 1,
		  .fault = WORLD_MESSAGE_LOST, .kept = true },
		{ "the interim host's answer is lost", .stop_message = 2,
		  .fault = WORLD_MESSAGE_LOST, .kept = true },
		{ "the interim host dies before the offer arrives",
		  .stop_message = 1, .fault = WORLD_MESSAGE_RECEIVER_DIES,
		  .kept = true },
		{ "the home dies before the answer arrives", .stop_message = 2,
		  .fault = WORLD_MESSAGE_RECEIVER_DIES, .kept = true },
		{ "the interim host is paused", .interim_host = PAUSED,
		  .kept = true },
		{ "the offer to the successor is lost", .start_message = 1,
		  .fault = WORLD_MESSAGE_LOST, .kept = true },
		{ "the successor's answer is lost", .start_message = 2,
		  .fault = WORLD_MESSAGE_LOST, .kept = true },
		{ "the successor dies before the offer arrives",
		  .start_message = 1, .fault = WORLD_MESSAGE_RECEIVER_DIES,
		  .kept = true },
		{ "the interim host dies before the answer arrives",
		  .start_message = 2, .fault = WORLD_MESSAGE_RECEIVER_DIES,
		  .kept = true },
		{ "the interim host stops too", .interim_host = STOPS,
		  .kept = true },
		{ "the interim host dies", .interim_host = DIES },
		{ "the home dies", .home_dies = true },
	};
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct world_options options;
		struct world *world;
		uint32_t logicals[KEYS];

		g_test_message("%s", cases[i].name);
		world_options_init(&options);
		options.hosts = 3;
		options.endpoints = 1;
		world = world_create(&options);
		run_for(world, 4000);
		send_keys(world, logicals, cases[i].running);
		world_fault_hand_over(world, cases[i].stop_message,
				      cases[i].fault);
		if (cases[i].interim_host == PAUSED)
			world_pause_host(world, INTERIM_HOST, 10000 * MS);
		if (cases[i].home_dies)
			world_kill_host(world, HOME);
		else
			world_stop_host(world, HOME);
		run_for(world, 6000);
		g_assert_false(world_host_up(world, HOME));
		g_assert_cmpuint(world_outcomes_left(world), ==, 0);
		if (cases[i].interim_host == DIES)
			world_kill_host(world, INTERIM_HOST);
		if (cases[i].interim_host == STOPS)
			world_stop_host(world, INTERIM_HOST);
		run_for(world, 6000);
		world_start_host(world, HOME);
		world_fault_hand_over(world, cases[i].start_message,
				      cases[i].fault);
		run_for(world, 5000);
		if (!world_host_up(world, HOME))
			world_start_host(world, HOME);
		run_for(world, 5000);
		for (n = 0; n < KEYS; n++) {
			const struct world_outcome *outcome = world_result(
				world, world_send(world, logicals[n], OTHER));

			run_for(world, 500);
			g_assert_cmpuint(world_executions(world, logicals[n]),
					 ==, 1);
			g_assert_cmpint(outcome->own_answer, ==, cases[i].kept);
			if (!cases[i].kept)
				g_assert_cmpint(outcome->run, ==,
						CQ_REQUEST_MAY_HAVE_RUN);
		}
		world_destroy(world);
	}
}

/* Guards against a stop that waits forever for an interim host. */
static void test_time_limit(void)
{
	struct world_options options;
	struct world *world;
	uint32_t logicals[KEYS];

	world_options_init(&options);
	options.hosts = 3;
	world = world_create(&options);
	run_for(world, 4000);
	send_keys(world, logicals, false);
	world_cut_host(world, HOME, true);
	world_stop_host(world, HOME);
	run_for(world, 4900);
	g_assert_true(world_host_up(world, HOME));
	run_for(world, 200);
	g_assert_false(world_host_up(world, HOME));
	world_destroy(world);
}

static struct cq_request request_of(const char *key, int64_t minted_ms)
{
	return (struct cq_request){ .workspace = "w",
				    .class_name = "c",
				    .path = "p",
				    .key = key,
				    .key_unix_ms = minted_ms,
				    .body = "body",
				    .body_len = 4 };
}

/*
 * Guards against an offer without a size limit, one that repeats or omits
 * outcomes, and one that contains a pending request.
 */
static void test_collect(void)
{
	struct cq_outcomes_options options = { .max_entries = 8,
					       .max_body_bytes = 1000,
					       .max_answer_bytes = 500 };
	struct cq_outcomes *from = cq_outcomes_create(&options, 0);
	struct cq_outcomes *to;
	struct cq_kept_outcome kept[4];
	struct cq_answer answer = { .status = 200,
				    .content_type = "t",
				    .endpoint = "e",
				    .body = "0123456789" };
	struct cq_request request;
	struct cq_outcome *outcome;
	char key[2] = "a";
	uint32_t i;

	options.max_entries = 4;
	to = cq_outcomes_create(&options, 0);
	cq_outcomes_tick(from, 1000);
	for (i = 0; i < 6; i++) {
		request = request_of(key, 4000);
		answer.body_len = i;
		cq_outcomes_begin(from, &request, 2500, 2500, &outcome);
		if (i != 5)
			cq_outcomes_done(from, outcome, &answer);
		key[0]++;
	}
	/* Newest first; a batch has at least one, whatever its size. */
	g_assert_cmpuint(cq_outcomes_next_batch(from, kept, 4, 1), ==, 1);
	g_assert_cmpstr(kept[0].name, ==, "w/e");
	/* Outcomes of an offer without an answer are collected again. */
	g_assert_cmpuint(cq_outcomes_next_batch(from, kept, 4, 10000), ==, 4);
	g_assert_cmpstr(kept[0].name, ==, "w/e");
	for (i = 0; i < 4; i++)
		g_assert_true(cq_outcomes_import(to, &kept[i], 2500));
	g_assert_true(cq_outcomes_import(to, &kept[0], 2500));
	cq_outcomes_batch_handed_over(from);
	g_assert_cmpuint(cq_outcomes_not_handed_over_count(from), ==, 1);
	g_assert_cmpuint(cq_outcomes_next_batch(from, kept, 4, 10000), ==, 1);
	g_assert_cmpstr(kept[0].name, ==, "w/a");
	g_assert_false(cq_outcomes_import(to, &kept[0], 2500));
	cq_outcomes_batch_handed_over(from);
	g_assert_cmpuint(cq_outcomes_next_batch(from, kept, 4, 10000), ==, 0);
	g_assert_cmpuint(cq_outcomes_pending_count(from), ==, 1);
	cq_outcomes_reset_hand_over(from);
	g_assert_cmpuint(cq_outcomes_not_handed_over_count(from), ==, 5);
	/* Keys older than the receiver: only received outcomes count. */
	request = request_of("e", 2000);
	g_assert_cmpint(cq_outcomes_begin(to, &request, 2500, 2500, &outcome),
			==, CQ_OUTCOMES_DONE);
	cq_outcome_answer(outcome, &answer);
	g_assert_cmpuint(answer.body_len, ==, 4);
	g_assert_cmpstr(answer.content_type, ==, "t");
	request.body = "else";
	g_assert_cmpint(cq_outcomes_begin(to, &request, 2500, 2500, &outcome),
			==, CQ_OUTCOMES_REUSED);
	request = request_of("a", 2000);
	g_assert_cmpint(cq_outcomes_begin(to, &request, 2500, 2500, &outcome),
			==, CQ_OUTCOMES_TOO_OLD);
	cq_outcomes_destroy(from);
	cq_outcomes_destroy(to);
}

/* Guards against a crash or false outcomes after a malformed peer message. */
static void test_malformed_messages(void)
{
	struct cq_kept_outcome kept = { .name = "w/k",
					.fingerprint = 7,
					.expires_unix_ms = 9,
					.status = 200,
					.content_type = "t",
					.endpoint = "e",
					.body = "body",
					.body_len = 4 };
	struct cq_outcomes_offer offer = { "dc", 2, 1, &kept };
	struct cq_peer_outcomes *received;
	const struct cq_outcomes_offer *got;
	uint8_t *data;
	size_t len;
	size_t cut;

	data = cq_peer_outcomes_pack(&offer, &len);
	received = cq_peer_outcomes_unpack(data, len);
	g_assert_nonnull(received);
	got = cq_peer_outcomes_get(received);
	g_assert_cmpuint(got->count, ==, 1);
	g_assert_cmpuint(got->outcomes[0].fingerprint, ==, 7);
	g_assert_cmpmem(got->outcomes[0].body, got->outcomes[0].body_len,
			"body", 4);
	cq_peer_outcomes_free(received);
	/* Each prefix is either rejected or a valid message. */
	for (cut = 0; cut < len; cut++)
		cq_peer_outcomes_free(cq_peer_outcomes_unpack(data, cut));
	g_free(data);
	kept.name = "no-workspace";
	data = cq_peer_outcomes_pack(&offer, &len);
	g_assert_null(cq_peer_outcomes_unpack(data, len));
	g_free(data);
	kept.name = "w/k";
	kept.refusal = CQ_REFUSAL_COUNT;
	data = cq_peer_outcomes_pack(&offer, &len);
	g_assert_null(cq_peer_outcomes_unpack(data, len));
	g_free(data);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/hand-over/steps", test_faults);
	g_test_add_func("/hand-over/time", test_time_limit);
	g_test_add_func("/hand-over/collect", test_collect);
	g_test_add_func("/hand-over/bytes", test_malformed_messages);
	return g_test_run();
}
