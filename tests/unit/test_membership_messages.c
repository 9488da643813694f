/*
 * Membership of one process, driven by single messages without a simulated
 * cluster.
 */
#include <glib.h>
#include <string.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/membership.h"
#include "protocol/gen/membership.pb-c.h"

struct capture {
	GPtrArray *payloads; /* payloads sent; elements: GBytes */
	enum cq_peer_kind kind;
	uint64_t correlation;
	char address[CQ_PEER_ADDRESS_BYTES];
};

static void capture_send(void *ctx, const char *address, enum cq_peer_kind kind,
			 uint64_t correlation, const uint8_t *payload,
			 size_t len)
{
	struct capture *capture = ctx;

	g_ptr_array_add(capture->payloads, g_bytes_new(payload, len));
	capture->kind = kind;
	capture->correlation = correlation;
	g_strlcpy(capture->address, address, sizeof(capture->address));
}

static struct cq_membership *create_one(struct capture *capture)
{
	static const struct cq_membership_ops ops = { .send = capture_send };
	struct cq_membership_options options;

	cq_membership_options_init(&options);
	strcpy(options.self.id, "me");
	strcpy(options.self.data_centre, "dc0");
	strcpy(options.self.address, "10.0.0.1:1");
	options.self.incarnation = 100;
	capture->payloads =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	return cq_membership_create(&options, &ops, capture, 0);
}

static void deliver_record(struct cq_membership *m, const char *id,
			   uint64_t incarnation, enum cq_member_state state)
{
	Cq__MembershipProbe probe = CQ__MEMBERSHIP_PROBE__INIT;
	Cq__MemberRecord self = CQ__MEMBER_RECORD__INIT;
	Cq__MemberRecord about = CQ__MEMBER_RECORD__INIT;
	Cq__MemberRecord *updates[] = { &about };
	struct cq_peer_message message = {
		.from_address = "10.0.0.2:1",
		.from_id = "teller",
		.kind = CQ_PEER_PING,
		.correlation = 1,
	};
	uint8_t payload[512];
	struct cq_error err = CQ_ERROR_INIT;

	self.id = "teller";
	self.data_centre = "dc0";
	self.address = "10.0.0.2:1";
	self.incarnation = 1;
	about.id = (char *)id;
	about.data_centre = "dc0";
	about.address = "10.0.0.3:1";
	about.incarnation = incarnation;
	about.state = (uint32_t)state;
	probe.self = &self;
	probe.n_updates = 1;
	probe.updates = updates;
	message.payload = payload;
	message.payload_len = cq__membership_probe__pack(&probe, payload);
	g_assert_true(cq_membership_receive(m, &message, 0, &err));
}

/*
 * Guards against a process that ends when a member it does not know, and that
 * says of itself that it has failed or left, asks it for its members.
 */
static void test_ping_of_unknown_ended_member(void)
{
	static const enum cq_member_state states[] = { CQ_MEMBER_DEAD,
						       CQ_MEMBER_LEFT };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(states); i++) {
		Cq__MembershipProbe probe = CQ__MEMBERSHIP_PROBE__INIT;
		Cq__MemberRecord self = CQ__MEMBER_RECORD__INIT;
		struct cq_peer_message message = {
			.from_address = "10.0.0.9:1",
			.from_id = "stranger",
			.kind = CQ_PEER_PING,
			.correlation = 1,
		};
		uint8_t payload[512];
		struct capture capture;
		struct cq_membership *m = create_one(&capture);
		struct cq_error err = CQ_ERROR_INIT;

		self.id = "stranger";
		self.data_centre = "dc0";
		self.address = "10.0.0.9:1";
		self.incarnation = 1;
		self.state = (uint32_t)states[i];
		probe.self = &self;
		message.payload = payload;
		message.payload_len =
			cq__membership_probe__pack(&probe, payload);
		g_assert_true(cq_membership_receive(m, &message, 0, &err));
		g_assert_cmpuint(capture.payloads->len, ==, 1);
		cq_membership_destroy(m);
		g_ptr_array_unref(capture.payloads);
	}
}

/* Guards against an older record overriding a newer one. */
static void test_precedence(void)
{
	static const struct {
		uint64_t known, received, expected;
		enum cq_member_state state, received_state, expected_state;
	} cases[] = {
		{ 5, 5, 5, CQ_MEMBER_ALIVE, CQ_MEMBER_ALIVE, CQ_MEMBER_ALIVE },
		{ 5, 5, 5, CQ_MEMBER_ALIVE, CQ_MEMBER_SUSPECT,
		  CQ_MEMBER_SUSPECT },
		{ 5, 4, 5, CQ_MEMBER_ALIVE, CQ_MEMBER_DEAD, CQ_MEMBER_ALIVE },
		{ 5, 6, 6, CQ_MEMBER_ALIVE, CQ_MEMBER_DEAD, CQ_MEMBER_DEAD },
		{ 5, 5, 5, CQ_MEMBER_SUSPECT, CQ_MEMBER_ALIVE,
		  CQ_MEMBER_SUSPECT },
		{ 5, 6, 6, CQ_MEMBER_SUSPECT, CQ_MEMBER_ALIVE,
		  CQ_MEMBER_ALIVE },
		{ 5, 5, 5, CQ_MEMBER_SUSPECT, CQ_MEMBER_DEAD, CQ_MEMBER_DEAD },
		{ 5, 5, 5, CQ_MEMBER_DEAD, CQ_MEMBER_ALIVE, CQ_MEMBER_DEAD },
		{ 5, 5, 5, CQ_MEMBER_DEAD, CQ_MEMBER_SUSPECT, CQ_MEMBER_DEAD },
		{ 5, 6, 6, CQ_MEMBER_DEAD, CQ_MEMBER_SUSPECT,
		  CQ_MEMBER_SUSPECT },
		{ 5, 6, 6, CQ_MEMBER_DEAD, CQ_MEMBER_ALIVE, CQ_MEMBER_ALIVE },
		{ 5, 5, 5, CQ_MEMBER_DEAD, CQ_MEMBER_LEFT, CQ_MEMBER_LEFT },
		{ 5, 5, 5, CQ_MEMBER_LEFT, CQ_MEMBER_DEAD, CQ_MEMBER_LEFT },
		{ 5, 6, 6, CQ_MEMBER_LEFT, CQ_MEMBER_ALIVE, CQ_MEMBER_ALIVE },
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct capture capture;
		struct cq_membership *m = create_one(&capture);
		const struct cq_member *x;

		deliver_record(m, "x", 1, CQ_MEMBER_ALIVE);
		deliver_record(m, "x", cases[i].known, cases[i].state);
		deliver_record(m, "x", cases[i].received,
			       cases[i].received_state);
		x = cq_membership_find(m, "x");
		g_assert_nonnull(x);
		g_assert_cmpuint(x->incarnation, ==, cases[i].expected);
		g_assert_cmpint(x->state, ==, cases[i].expected_state);
		/*
		 * The live members are this process, the teller, and x if it is
		 * live.
		 */
		g_assert_cmpuint(cq_membership_live_count(m), ==,
				 2 + (uint32_t)cq_member_is_live(x));
		cq_membership_destroy(m);
		g_ptr_array_free(capture.payloads, TRUE);
	}
}

/*
 * Guards against a live host that does not refute a record of its own failure.
 */
static void test_refutation(void)
{
	static const struct {
		uint64_t received;
		enum cq_member_state state;
		uint64_t expected;
	} cases[] = {
		{ 99, CQ_MEMBER_DEAD, 100 },
		{ 100, CQ_MEMBER_ALIVE, 100 },
		{ 100, CQ_MEMBER_SUSPECT, 101 },
		{ 100, CQ_MEMBER_DEAD, 101 },
		{ 100, CQ_MEMBER_LEFT, 101 },
		{ 150, CQ_MEMBER_SUSPECT, 151 },
		{ 150, CQ_MEMBER_ALIVE, 151 },
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct capture capture;
		struct cq_membership *m = create_one(&capture);

		deliver_record(m, "me", cases[i].received, cases[i].state);
		g_assert_cmpuint(cq_membership_self(m)->incarnation, ==,
				 cases[i].expected);
		g_assert_cmpint(cq_membership_self(m)->state, ==,
				CQ_MEMBER_ALIVE);
		cq_membership_destroy(m);
		g_ptr_array_free(capture.payloads, TRUE);
	}
}

/*
 * Guards against a process that suspects other members because it was paused
 * itself.
 */
static void test_own_pause(void)
{
	static const struct {
		int64_t step_ms; /* time between ticks after the probe */
		enum cq_member_state expected;
	} cases[] = {
		{ 100, CQ_MEMBER_SUSPECT },
		{ 500, CQ_MEMBER_SUSPECT },
		{ 1500, CQ_MEMBER_ALIVE },
		{ 60000, CQ_MEMBER_ALIVE },
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct capture capture;
		struct cq_membership *m = create_one(&capture);
		int64_t now_ms = 0, start_ms;

		deliver_record(m, "x", 1, CQ_MEMBER_ALIVE);
		/*
		 * The first message is the answer to the delivered record; the
		 * second is the probe.
		 */
		while (capture.payloads->len < 2) {
			now_ms += 100;
			cq_membership_tick(m, now_ms * CQ_NS_PER_MS);
		}
		start_ms = now_ms;
		do {
			now_ms += cases[i].step_ms;
			cq_membership_tick(m, now_ms * CQ_NS_PER_MS);
		} while (now_ms < start_ms + 1200);
		/*
		 * Either of the two known members may be the one that was
		 * probed.
		 */
		g_assert_cmpint(MAX(cq_membership_find(m, "x")->state,
				    cq_membership_find(m, "teller")->state),
				==, cases[i].expected);
		cq_membership_destroy(m);
		g_ptr_array_free(capture.payloads, TRUE);
	}
}

/*
 * Guards against a late answer to the probe of an earlier period being taken
 * for the answer to the current probe, which would hide the failure of the
 * member probed now.
 */
static void test_late_answer(void)
{
	static const struct {
		/*
		 * Distance from the current probe's correlation to that of the
		 * answer.
		 */
		uint64_t older;
		enum cq_member_state expected;
	} cases[] = { { 0, CQ_MEMBER_ALIVE }, { 1, CQ_MEMBER_SUSPECT } };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct capture capture;
		struct cq_membership *m = create_one(&capture);
		Cq__MembershipProbe probe = CQ__MEMBERSHIP_PROBE__INIT;
		Cq__MemberRecord self = CQ__MEMBER_RECORD__INIT;
		struct cq_peer_message message = { .from_address = "10.0.0.2:1",
						   .from_id = "teller",
						   .kind = CQ_PEER_ACK };
		uint8_t payload[128];
		int64_t now_ms = 0, end_ms;

		deliver_record(m, "teller", 1, CQ_MEMBER_ALIVE);
		while (capture.kind != CQ_PEER_PING) {
			now_ms += 100;
			cq_membership_tick(m, now_ms * CQ_NS_PER_MS);
		}
		self.id = "teller";
		self.data_centre = "dc0";
		self.address = "10.0.0.2:1";
		self.incarnation = 1;
		probe.self = &self;
		message.correlation = capture.correlation - cases[i].older;
		message.payload = payload;
		message.payload_len =
			cq__membership_probe__pack(&probe, payload);
		g_assert_true(cq_membership_receive(
			m, &message, now_ms * CQ_NS_PER_MS, NULL));
		for (end_ms = now_ms + 1000; now_ms < end_ms; now_ms += 100)
			cq_membership_tick(m, now_ms * CQ_NS_PER_MS);
		cq_membership_tick(m, now_ms * CQ_NS_PER_MS);
		g_assert_cmpint(cq_membership_find(m, "teller")->state, ==,
				cases[i].expected);
		cq_membership_destroy(m);
		g_ptr_array_free(capture.payloads, TRUE);
	}
}

/* Guards against message sizes that grow with the number of hosts. */
static void test_message_size(void)
{
	struct capture capture;
	struct cq_membership *m = create_one(&capture);
	size_t most = 0;
	guint i;

	for (i = 0; i < 500; i++) {
		char *id = g_strdup_printf("host-%03u", i);

		deliver_record(m, id, 1, CQ_MEMBER_ALIVE);
		g_free(id);
	}
	for (i = 0; i < 600; i++)
		cq_membership_tick(m, i * 100 * CQ_NS_PER_MS);
	g_assert_cmpuint(capture.payloads->len, >, 500);
	for (i = 0; i < capture.payloads->len; i++)
		most = MAX(most, g_bytes_get_size(g_ptr_array_index(
					 capture.payloads, i)));
	/*
	 * The largest message, sent to a joining host, has 34 records of at
	 * most 200 bytes.
	 */
	g_assert_cmpuint(most, <, 34 * 200);
	cq_membership_destroy(m);
	g_ptr_array_free(capture.payloads, TRUE);
}

/*
 * Guards against malformed messages that crash the process or leave a partly
 * decoded member in the list.
 */
static void test_malformed(void)
{
	static const struct {
		enum cq_peer_kind kind;
		const char *bytes;
		size_t len;
	} cases[] = {
		{ CQ_PEER_PING, "", 0 },
		{ CQ_PEER_PING, "\xff\xff\xff", 3 },
		{ CQ_PEER_ACK, "\x0a\x00", 2 },
		{ CQ_PEER_PING, "\x0a\x03\x0a\x01x", 5 },
		{ CQ_PEER_SETTINGS_PULL, "", 0 },
		{ CQ_PEER_PING, "\x0a\x0a\x0a\x01x\x1a\x01y\x50\x09\x40\x01",
		  12 },
	};
	struct capture capture;
	struct cq_membership *m = create_one(&capture);
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_error err = CQ_ERROR_INIT;
		struct cq_peer_message message = {
			.from_address = "10.0.0.2:1",
			.from_id = "x",
			.kind = cases[i].kind,
			.payload = (const uint8_t *)cases[i].bytes,
			.payload_len = cases[i].len,
		};

		g_assert_false(cq_membership_receive(m, &message, 0, &err));
		g_assert_cmpint(err.code, ==, CQ_ERR_INVALID);
		g_assert_cmpuint(cq_membership_count(m), ==, 1);
	}
	cq_membership_destroy(m);
	g_ptr_array_free(capture.payloads, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/membership/precedence", test_precedence);
	g_test_add_func("/membership/refutation", test_refutation);
	g_test_add_func("/membership/own_pause", test_own_pause);
	g_test_add_func("/membership/late_answer", test_late_answer);
	g_test_add_func("/membership/message_size", test_message_size);
	g_test_add_func("/membership/ping_of_unknown",
			test_ping_of_unknown_ended_member);
	g_test_add_func("/membership/malformed", test_malformed);
	return g_test_run();
}
