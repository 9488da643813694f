#include <glib.h>
#include <string.h>

#include "chestnutquay/outcomes.h"
#include "chestnutquay/peer_request.h"

#define START_MS INT64_C(1764840000000)
#define MARGIN_MS (CQ_OUTCOMES_MAX_KEY_AHEAD_MS + CQ_OUTCOMES_MAX_CLOCK_SKEW_MS)

static struct cq_outcomes *create(void)
{
	struct cq_outcomes_options options = {
		.max_entries = 3,
		.max_body_bytes = 100,
		.max_answer_bytes = 60,
		.refused_ms = 5000,
	};

	return cq_outcomes_create(&options, START_MS);
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

/* Ticks as a running process does, so that no pause is seen. */
static void run_until(struct cq_outcomes *outcomes, int64_t from_ms,
		      int64_t until_ms)
{
	for (; from_ms <= until_ms; from_ms += 1000)
		cq_outcomes_tick(outcomes, from_ms);
}

/* Guards against a key that is taken for new although it may have run. */
static void test_key_times(void)
{
	static const struct {
		const char *name;
		int64_t minted_ms, now_ms;
		enum cq_outcomes_verdict verdict;
	} cases[] = {
		{ "before the start", -1, 10000, CQ_OUTCOMES_TOO_OLD },
		{ "at the start", 0, 10000, CQ_OUTCOMES_TOO_OLD },
		{ "within the margin", MARGIN_MS, 10000, CQ_OUTCOMES_TOO_OLD },
		{ "past the margin", MARGIN_MS + 1, 10000, CQ_OUTCOMES_NEW },
		{ "now", 10000, 10000, CQ_OUTCOMES_NEW },
		{ "a little ahead", 10000 + CQ_OUTCOMES_MAX_KEY_AHEAD_MS, 10000,
		  CQ_OUTCOMES_NEW },
		{ "too far ahead", 10001 + CQ_OUTCOMES_MAX_KEY_AHEAD_MS, 10000,
		  CQ_OUTCOMES_FUTURE },
		{ "end of the window", 10000, 10000 + CQ_OUTCOMES_WINDOW_MS,
		  CQ_OUTCOMES_NEW },
		{ "after the window", 10000, 10001 + CQ_OUTCOMES_WINDOW_MS,
		  CQ_OUTCOMES_EXPIRED },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_outcomes *outcomes = create();
		struct cq_request request =
			request_of("k", START_MS + cases[i].minted_ms);
		int64_t now_ms = START_MS + cases[i].now_ms;
		struct cq_outcome *outcome;

		g_test_message("%s", cases[i].name);
		run_until(outcomes, START_MS, now_ms);
		g_assert_cmpstr(
			cq_outcomes_verdict_string(cq_outcomes_begin(
				outcomes, &request, now_ms, now_ms, &outcome)),
			==, cq_outcomes_verdict_string(cases[i].verdict));
		cq_outcomes_destroy(outcomes);
	}
}

/* Guards against a key that is forgotten while it would still be accepted. */
static void test_never_forgotten_early(void)
{
	struct cq_answer answer = { .status = 200,
				    .content_type = "",
				    .endpoint = "e",
				    .body = "ok",
				    .body_len = 2 };
	struct cq_outcomes *outcomes = create();
	struct cq_outcome *outcome;
	int64_t minted_ms = START_MS + 10000 + CQ_OUTCOMES_MAX_KEY_AHEAD_MS;
	struct cq_request request = request_of("k", minted_ms);
	int64_t now_ms;

	run_until(outcomes, START_MS, START_MS + 10000);
	cq_outcomes_begin(outcomes, &request, START_MS, START_MS + 10000,
			  &outcome);
	cq_outcomes_done(outcomes, outcome, &answer);
	for (now_ms = START_MS + 10000; now_ms < START_MS + 700000;
	     now_ms += 500) {
		enum cq_outcomes_verdict verdict;

		cq_outcomes_tick(outcomes, now_ms);
		verdict = cq_outcomes_begin(outcomes, &request, now_ms, now_ms,
					    &outcome);
		g_assert_cmpint(verdict, !=, CQ_OUTCOMES_NEW);
	}
	g_assert_cmpuint(cq_outcomes_count(outcomes), ==, 0);
	cq_outcomes_destroy(outcomes);
}

/* Guards against a process that wakes up and does not know it was replaced. */
static void test_pause(void)
{
	struct cq_outcomes *outcomes = create();
	struct cq_request before = request_of("a", START_MS + 30000);
	struct cq_request after = request_of("b", START_MS + 90000);
	struct cq_outcome *outcome;

	run_until(outcomes, START_MS, START_MS + 20000);
	/* No tick for a minute; the request is what wakes it. */
	g_assert_cmpint(cq_outcomes_begin(outcomes, &before, START_MS + 80000,
					  START_MS + 80000, &outcome),
			==, CQ_OUTCOMES_TOO_OLD);
	run_until(outcomes, START_MS + 80000, START_MS + 90000);
	g_assert_cmpint(cq_outcomes_begin(outcomes, &after, START_MS + 90000,
					  START_MS + 90000, &outcome),
			==, CQ_OUTCOMES_NEW);
	cq_outcomes_destroy(outcomes);
}

/* Guards against "no" followed by a copy that runs after all. */
static void test_refused(void)
{
	static const struct {
		const char *name;
		int64_t accepted_ms;
		enum cq_outcomes_verdict verdict;
	} cases[] = {
		{ "copy sent before", 9000, CQ_OUTCOMES_REFUSED },
		{ "within the clocks' difference", 10500, CQ_OUTCOMES_REFUSED },
		{ "repeat", 11001, CQ_OUTCOMES_NEW },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_outcomes *outcomes = create();
		struct cq_request request = request_of("k", START_MS + 8000);
		struct cq_outcome *outcome;

		g_test_message("%s", cases[i].name);
		run_until(outcomes, START_MS, START_MS + 10000);
		cq_outcomes_begin(outcomes, &request, START_MS + 9000,
				  START_MS + 10000, &outcome);
		cq_outcomes_refused(outcomes, outcome, START_MS + 10000);
		run_until(outcomes, START_MS + 10000, START_MS + 12000);
		g_assert_cmpint(
			cq_outcomes_begin(outcomes, &request,
					  START_MS + cases[i].accepted_ms,
					  START_MS + 12000, &outcome),
			==, cases[i].verdict);
		cq_outcomes_destroy(outcomes);
	}
}

/* Guards against unbounded memory, and against forgetting that a key ran. */
static void test_bounds(void)
{
	char big[61];
	struct cq_answer answer = {
		.status = 200, .content_type = "", .endpoint = "e", .body = big
	};
	static const struct {
		const char *key;
		size_t len;
	} done[] = { { "a", 50 }, { "b", 60 }, { "c", 61 } };
	struct cq_outcomes *outcomes = create();
	int64_t now_ms = START_MS + 10000;
	struct cq_outcome *outcome;
	struct cq_request request;
	size_t i;

	memset(big, 'x', sizeof(big));
	run_until(outcomes, START_MS, now_ms);
	for (i = 0; i < G_N_ELEMENTS(done); i++) {
		request = request_of(done[i].key, now_ms);
		g_assert_cmpint(cq_outcomes_begin(outcomes, &request, now_ms,
						  now_ms, &outcome),
				==, CQ_OUTCOMES_NEW);
		answer.body_len = done[i].len;
		cq_outcomes_done(outcomes, outcome, &answer);
		g_assert_cmpuint(cq_outcomes_body_bytes(outcomes), <=, 100);
	}
	request = request_of("d", now_ms);
	g_assert_cmpint(cq_outcomes_begin(outcomes, &request, now_ms, now_ms,
					  &outcome),
			==, CQ_OUTCOMES_FULL);
	for (i = 0; i < G_N_ELEMENTS(done); i++) {
		request = request_of(done[i].key, now_ms);
		g_assert_cmpint(cq_outcomes_begin(outcomes, &request, now_ms,
						  now_ms, &outcome),
				==, CQ_OUTCOMES_DONE);
		cq_outcome_answer(outcome, &answer);
		/* "a" made room for "b"; "c" was too big to keep. */
		g_assert_cmpint(answer.refusal, ==,
				i == 1 ? CQ_REFUSAL_NONE
				       : CQ_REFUSAL_ANSWER_NOT_KEPT);
	}
	request = request_of("b", now_ms);
	request.body = "else";
	g_assert_cmpint(cq_outcomes_begin(outcomes, &request, now_ms, now_ms,
					  &outcome),
			==, CQ_OUTCOMES_REUSED);
	cq_outcomes_destroy(outcomes);
}

/* Guards against hosts that disagree about the home of a key. */
static void test_home(void)
{
	static const struct cq_data_centre ab[] = { { "a", 3 }, { "b", 2 } };
	static const struct cq_data_centre ba[] = { { "b", 2 }, { "a", 3 } };
	uint32_t counts[2] = { 0 };
	struct cq_home one;
	struct cq_home two;
	int i;

	for (i = 0; i < 1000; i++) {
		char key[32];

		g_snprintf(key, sizeof(key), "1764840000000-%d", i);
		g_assert_true(cq_outcomes_home("w", key, ab, 2, &one));
		g_assert_true(cq_outcomes_home("w", key, ba, 2, &two));
		g_assert_cmpstr(one.data_centre, ==, two.data_centre);
		g_assert_cmpuint(one.index, ==, two.index);
		counts[*one.data_centre - 'a']++;
	}
	/* By the number of hosts, 600 to 400. */
	g_assert_cmpuint(counts[0], >, 540);
	g_assert_cmpuint(counts[0], <, 660);
	g_assert_true(cq_outcomes_home("w", "1764840000000-x@b", ab, 2, &one));
	g_assert_cmpstr(one.data_centre, ==, "b");
	g_assert_false(cq_outcomes_home("w", "1764840000000-x@c", ab, 2, &one));
}

/* Guards against a crash or a made-up message from a peer's bad bytes. */
static void test_peer_bytes(void)
{
	struct cq_request request = request_of("1764840000000-k", START_MS);
	struct cq_forward forward = { { CQ_ORIGIN_HOME, 1, 2 }, &request };
	struct cq_peer_forward *received;
	struct cq_slots_return back;
	struct cq_slots_lend lend;
	uint8_t *data;
	size_t len;
	size_t cut;

	request.content_type = "";
	data = cq_peer_forward_pack(&forward, &len);
	received = cq_peer_forward_unpack(data, len);
	g_assert_nonnull(received);
	g_assert_cmpint(cq_peer_forward_get(received)->request->key_unix_ms, ==,
			START_MS);
	cq_peer_forward_free(received);
	for (cut = 0; cut < len; cut++) {
		struct cq_peer_answer *answer;

		/* Each prefix is either refused or a message of its own. */
		cq_peer_forward_free(cq_peer_forward_unpack(data, cut));
		answer = cq_peer_answer_unpack(data, cut);
		cq_peer_answer_free(answer);
		cq_slots_lend_unpack(data, cut, &lend);
		g_assert_cmpuint(lend.count, <=, CQ_SLOTS_MAX_LOANS);
		cq_slots_return_unpack(data, cut, &back);
		g_assert_cmpuint(back.count, <=, CQ_SLOTS_MAX_LOANS);
	}
	g_free(data);
	/* A key without a time, and a kind that peers do not send. */
	request.key = "k";
	data = cq_peer_forward_pack(&forward, &len);
	g_assert_null(cq_peer_forward_unpack(data, len));
	g_free(data);
	request.key = "";
	forward.origin.kind = CQ_ORIGIN_CALLER;
	data = cq_peer_forward_pack(&forward, &len);
	g_assert_null(cq_peer_forward_unpack(data, len));
	g_free(data);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/outcomes/key-times", test_key_times);
	g_test_add_func("/outcomes/never-forgotten-early",
			test_never_forgotten_early);
	g_test_add_func("/outcomes/pause", test_pause);
	g_test_add_func("/outcomes/refused", test_refused);
	g_test_add_func("/outcomes/bounds", test_bounds);
	g_test_add_func("/outcomes/home", test_home);
	g_test_add_func("/peer-request/bytes", test_peer_bytes);
	return g_test_run();
}
