/*
 * Ownership of one process against a scripted store. The test gives each
 * answer, so that any order of answers, delays and losses can be tested.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../support/script_store.h"
#include "../support/sim_world.h"
#include "chestnutquay/ownership.h"
#include "protocol/gen/coordination.pb-c.h"

enum operation {
	GET = CQ_SCRIPT_GET,
	PUT = CQ_SCRIPT_PUT,
	GRANT = CQ_SCRIPT_GRANT,
	KEEPALIVE = CQ_SCRIPT_KEEPALIVE,
	REVOKE = CQ_SCRIPT_REVOKE,
	WATCH = CQ_SCRIPT_WATCH,
};

struct world {
	struct cq_manual_clock *clock;
	struct cq_script_store script;
	struct cq_membership *membership;
	struct cq_ownership *ownership;
	int64_t revision;
	int64_t last_lease;
};

static void ignore_message(void *ctx, const char *address,
			   enum cq_peer_kind kind, uint64_t correlation,
			   const uint8_t *payload, size_t len)
{
	(void)ctx;
	(void)address;
	(void)kind;
	(void)correlation;
	(void)payload;
	(void)len;
}

static int64_t now_of(const struct world *world)
{
	return cq_clock_now_ns(cq_manual_clock_get(world->clock));
}

static void init(struct world *world)
{
	static const struct cq_membership_ops membership_ops = {
		.send = ignore_message,
	};
	static const struct cq_ownership_ops ownership_ops = {
		.send = ignore_message,
	};
	struct cq_membership_options membership;
	struct cq_ownership_options options;

	memset(world, 0, sizeof(*world));
	world->clock = cq_manual_clock_create(CQ_NS_PER_S, 1000);
	cq_script_store_init(&world->script);
	world->revision = 10;
	cq_membership_options_init(&membership);
	strcpy(membership.self.id, "me");
	strcpy(membership.self.data_centre, "dc0");
	strcpy(membership.self.address, "10.0.0.1:1");
	membership.self.role = CQ_ROLE_SCHEDD;
	membership.self.incarnation = 5;
	world->membership = cq_membership_create(&membership, &membership_ops,
						 NULL, now_of(world));
	cq_ownership_options_init(&options);
	options.clock = cq_manual_clock_get(world->clock);
	world->ownership = cq_ownership_create(&options, world->membership,
					       &world->script.store,
					       &ownership_ops, NULL,
					       now_of(world));
}

static void clear(struct world *world)
{
	cq_ownership_destroy(world->ownership);
	cq_membership_destroy(world->membership);
	cq_script_store_clear(&world->script);
	cq_manual_clock_destroy(world->clock);
}

enum entry {
	NO_ENTRY,
	OURS,		  /* key of this process under the last lease granted */
	OURS_OLD_LEASE,	  /* key of this process under the lease before */
	OURS_OLD_PROCESS, /* key of an earlier process with the same id */
	OTHERS,
	DELETED,
	OLDER, /* no entry, and a store revision from before the last change */
};

/* Hand-over messages; an OLD field has the value of an earlier attempt. */
enum message {
	OFFER,
	OFFER_OLD_EPOCH,
	ACCEPT,
	ACCEPT_OLD_EPOCH,
	ACCEPT_OTHER_SENDER,
	DONE,
	DONE_OLD_LEASE,
	DONE_OLD_SEQUENCE,
	DONE_OLD_EPOCH,
};

enum action {
	END,
	RUN,   /* advances the clock by value ms, with ticks */
	PAUSE, /* advances the clock by value ms, without ticks */
	/* Answers the pending call of the operation with status and entry. */
	ANSWER,
	EXPECT_CALL, /* checks that a call of the operation is pending */
	NO_CALL,
	HAND_OVER,
	MESSAGE,
	STATE,
	/* Checks the holder of the key as observed: OTHERS or OURS. */
	HOLDER,
	MAY_COMMAND, /* checks whether commands are allowed: 1 or 0 */
};

struct step {
	enum action action;
	int32_t value; /* meaning depends on the action */
	enum cq_store_status status;
	enum entry entry;
};

static struct cq_store_call *find(struct world *world, enum operation operation)
{
	return cq_script_store_find(&world->script,
				    (enum cq_script_operation)operation, "");
}

static void answer(struct world *world, const struct step *step)
{
	struct cq_store_call *call = find(world, (enum operation)step->value);
	struct cq_store_result result = { .status = step->status };
	struct cq_store_entry entry = { .key = "owners/dc0" };
	char *value;

	g_assert_nonnull(call);
	if (step->status == CQ_STORE_OK && step->value == GRANT)
		world->last_lease++;
	if (step->entry != NO_ENTRY && step->entry != OLDER)
		world->revision++;
	entry.revision = world->revision;
	value = g_strdup_printf(
		"{\"holder\":\"%s\",\"incarnation\":%d,\"sequence\":1}",
		step->entry == OTHERS ? "other" : "me",
		step->entry == OURS_OLD_PROCESS ? 4 : 5);
	entry.value = step->entry == DELETED ? NULL : value;
	entry.value_len = strlen(value);
	entry.lease_id = step->entry == OURS_OLD_LEASE ? world->last_lease - 1
			 : step->entry == OURS	       ? world->last_lease
						       : 99;
	result.revision = world->revision - (step->entry == OLDER);
	result.lease_id = world->last_lease;
	result.entries = &entry;
	result.entry_count = step->entry != NO_ENTRY && step->entry != OLDER;
	cq_script_store_answer(&world->script, call, &result);
	g_free(value);
}

static void deliver(struct world *world, enum message kind)
{
	Cq__HandOver hand_over = CQ__HAND_OVER__INIT;
	struct cq_peer_message message = { .from_address = "10.0.0.2:1",
					   .from_id = "peer",
					   .kind = CQ_PEER_HANDOVER };
	uint8_t payload[128];

	hand_over.data_centre = "dc0";
	hand_over.epoch = world->revision;
	hand_over.lease_id = world->last_lease;
	hand_over.sequence = 1;
	if (kind <= OFFER_OLD_EPOCH) {
		hand_over.step = CQ__HAND_OVER_STEP__HAND_OVER_OFFER;
		hand_over.epoch -= kind == OFFER_OLD_EPOCH;
	} else if (kind <= ACCEPT_OTHER_SENDER) {
		hand_over.step = CQ__HAND_OVER_STEP__HAND_OVER_ACCEPT;
		hand_over.epoch -= kind == ACCEPT_OLD_EPOCH;
		hand_over.lease_id = 77;
		if (kind == ACCEPT_OTHER_SENDER)
			message.from_id = "third";
	} else {
		hand_over.step = CQ__HAND_OVER_STEP__HAND_OVER_DONE;
		hand_over.epoch += kind != DONE_OLD_EPOCH;
		hand_over.lease_id -= kind == DONE_OLD_LEASE;
		hand_over.sequence -= kind == DONE_OLD_SEQUENCE;
	}
	message.payload = payload;
	message.payload_len = cq__hand_over__pack(&hand_over, payload);
	g_assert_true(cq_ownership_receive(world->ownership, &message,
					   now_of(world), NULL));
}

static void run(struct world *world, int32_t ms)
{
	for (; ms > 0; ms -= 100) {
		cq_manual_clock_advance(world->clock,
					MIN(ms, 100) * CQ_NS_PER_MS);
		cq_ownership_tick(world->ownership, now_of(world));
	}
}

/*
 * GRANTED: steps from the start to a granted lease. ACQUIRE: steps on to
 * ownership under that lease.
 */
#define GRANTED                                                            \
	{ RUN, 100, 0, 0 }, { ANSWER, GET, CQ_STORE_NOT_FOUND, NO_ENTRY }, \
		{ RUN, 400, 0, 0 },                                        \
	{                                                                  \
		ANSWER, GRANT, CQ_STORE_OK, NO_ENTRY                       \
	}
#define ACQUIRE                                          \
	GRANTED, { ANSWER, PUT, CQ_STORE_OK, NO_ENTRY }, \
		{ STATE, CQ_OWNERSHIP_OWNER, 0, 0 },     \
	{                                                \
		MAY_COMMAND, 1, 0, 0                     \
	}

/*
 * Guards against wrong conclusions from answers that are late, lost or out of
 * order.
 */
static void test_scripts(void)
{
	static const struct {
		const char *name;
		struct step steps[28];
	} cases[] = {
		{ "the deadline counts from the send of the request",
		  { ACQUIRE,
		    { RUN, 1000, 0, 0 },
		    { EXPECT_CALL, KEEPALIVE, 0, 0 },
		    { PAUSE, 4600, 0, 0 },
		    { MAY_COMMAND, 0, 0, 0 },
		    { ANSWER, KEEPALIVE, CQ_STORE_OK, NO_ENTRY },
		    { MAY_COMMAND, 0, 0, 0 } } },
		{ "a renewal in time keeps the owner",
		  { ACQUIRE,
		    { RUN, 1000, 0, 0 },
		    { ANSWER, KEEPALIVE, CQ_STORE_OK, NO_ENTRY },
		    { RUN, 1000, 0, 0 },
		    { ANSWER, KEEPALIVE, CQ_STORE_OK, NO_ENTRY },
		    { RUN, 4100, 0, 0 },
		    { MAY_COMMAND, 1, 0, 0 },
		    { RUN, 500, 0, 0 },
		    { MAY_COMMAND, 0, 0, 0 },
		    { STATE, CQ_OWNERSHIP_LAPSED, 0, 0 } } },
		{ "commands stop 500 ms before the lease can end",
		  { ACQUIRE,
		    { PAUSE, 4100, 0, 0 },
		    { MAY_COMMAND, 1, 0, 0 },
		    { PAUSE, 500, 0, 0 },
		    { MAY_COMMAND, 0, 0, 0 } } },
		{ "a lapsed owner whose lease still exists resumes",
		  { ACQUIRE,
		    { RUN, 1000, 0, 0 },
		    { ANSWER, KEEPALIVE, CQ_STORE_UNKNOWN, NO_ENTRY },
		    { RUN, 4000, 0, 0 },
		    { STATE, CQ_OWNERSHIP_LAPSED, 0, 0 },
		    { ANSWER, KEEPALIVE, CQ_STORE_UNAVAILABLE, NO_ENTRY },
		    { RUN, 1300, 0, 0 },
		    { ANSWER, KEEPALIVE, CQ_STORE_OK, NO_ENTRY },
		    { STATE, CQ_OWNERSHIP_OWNER, 0, 0 },
		    { MAY_COMMAND, 1, 0, 0 } } },
		{ "a lapsed owner whose lease is gone steps down",
		  { ACQUIRE,
		    { RUN, 6000, 0, 0 },
		    { ANSWER, KEEPALIVE, CQ_STORE_NOT_FOUND, NO_ENTRY },
		    { STATE, CQ_OWNERSHIP_STANDBY, 0, 0 },
		    { MAY_COMMAND, 0, 0, 0 } } },
		{ "an owner that sees another holder steps down",
		  { ACQUIRE,
		    { RUN, 200, 0, 0 },
		    { ANSWER, WATCH, CQ_STORE_OK, OTHERS },
		    { STATE, CQ_OWNERSHIP_STANDBY, 0, 0 },
		    { MAY_COMMAND, 0, 0, 0 } } },
		{ "an owner whose key vanished steps down",
		  { ACQUIRE,
		    { RUN, 200, 0, 0 },
		    { ANSWER, WATCH, CQ_STORE_OK, DELETED },
		    { STATE, CQ_OWNERSHIP_STANDBY, 0, 0 },
		    { MAY_COMMAND, 0, 0, 0 } } },
		{ "a lost answer is not treated as success",
		  { GRANTED,
		    { ANSWER, PUT, CQ_STORE_UNKNOWN, NO_ENTRY },
		    { MAY_COMMAND, 0, 0, 0 },
		    { RUN, 100, 0, 0 },
		    { EXPECT_CALL, GET, 0, 0 },
		    { MAY_COMMAND, 0, 0, 0 },
		    { ANSWER, GET, CQ_STORE_OK, OURS },
		    { STATE, CQ_OWNERSHIP_OWNER, 0, 0 },
		    { MAY_COMMAND, 1, 0, 0 } } },
		{ "a lost answer of a write that lost the race",
		  { GRANTED,
		    { ANSWER, PUT, CQ_STORE_UNKNOWN, NO_ENTRY },
		    { RUN, 100, 0, 0 },
		    { ANSWER, GET, CQ_STORE_OK, OTHERS },
		    { STATE, CQ_OWNERSHIP_STANDBY, 0, 0 },
		    { MAY_COMMAND, 0, 0, 0 } } },
		{ "a lost write that arrives late conflicts with its repeat",
		  { GRANTED,
		    { ANSWER, PUT, CQ_STORE_UNKNOWN, NO_ENTRY },
		    { RUN, 100, 0, 0 },
		    { ANSWER, GET, CQ_STORE_NOT_FOUND, NO_ENTRY },
		    { RUN, 500, 0, 0 },
		    { ANSWER, PUT, CQ_STORE_CONFLICT, OURS },
		    { STATE, CQ_OWNERSHIP_OWNER, 0, 0 },
		    { MAY_COMMAND, 1, 0, 0 } } },
		{ "a write under an earlier lease gives no ownership",
		  { GRANTED,
		    { ANSWER, PUT, CQ_STORE_UNKNOWN, NO_ENTRY },
		    { RUN, 5500, 0, 0 },
		    { ANSWER, GET, CQ_STORE_NOT_FOUND, NO_ENTRY },
		    { RUN, 600, 0, 0 },
		    { STATE, CQ_OWNERSHIP_STANDBY, 0, 0 },
		    { ANSWER, GET, CQ_STORE_NOT_FOUND, NO_ENTRY },
		    { RUN, 400, 0, 0 },
		    { ANSWER, GRANT, CQ_STORE_OK, NO_ENTRY },
		    { ANSWER, PUT, CQ_STORE_CONFLICT, OURS_OLD_LEASE },
		    { STATE, CQ_OWNERSHIP_STANDBY, 0, 0 },
		    { MAY_COMMAND, 0, 0, 0 } } },
		{ "the key of an earlier process gives no ownership",
		  { { RUN, 100, 0, 0 },
		    { ANSWER, GET, CQ_STORE_OK, OURS_OLD_PROCESS },
		    { RUN, 1000, 0, 0 },
		    { STATE, CQ_OWNERSHIP_STANDBY, 0, 0 },
		    { ANSWER, WATCH, CQ_STORE_OK, DELETED },
		    { RUN, 400, 0, 0 },
		    { ANSWER, GRANT, CQ_STORE_OK, NO_ENTRY },
		    { ANSWER, PUT, CQ_STORE_OK, NO_ENTRY },
		    { STATE, CQ_OWNERSHIP_OWNER, 0, 0 } } },
		{ "a lease that ended before the write is replaced",
		  { GRANTED,
		    { ANSWER, PUT, CQ_STORE_NOT_FOUND, NO_ENTRY },
		    { RUN, 500, 0, 0 },
		    { ANSWER, GRANT, CQ_STORE_OK, NO_ENTRY },
		    { ANSWER, PUT, CQ_STORE_OK, NO_ENTRY },
		    { STATE, CQ_OWNERSHIP_OWNER, 0, 0 } } },
		{ "a watch that cannot continue is replaced by a read",
		  { { RUN, 100, 0, 0 },
		    { ANSWER, GET, CQ_STORE_OK, OTHERS },
		    { RUN, 100, 0, 0 },
		    { ANSWER, WATCH, CQ_STORE_INVALID, NO_ENTRY },
		    { RUN, 1200, 0, 0 },
		    { ANSWER, GET, CQ_STORE_NOT_FOUND, NO_ENTRY },
		    { RUN, 400, 0, 0 },
		    { EXPECT_CALL, GRANT, 0, 0 } } },
		{ "a read from before the acquisition does not end it",
		  { GRANTED,
		    { ANSWER, WATCH, CQ_STORE_INVALID, NO_ENTRY },
		    { RUN, 1200, 0, 0 },
		    { EXPECT_CALL, GET, 0, 0 },
		    { ANSWER, PUT, CQ_STORE_CONFLICT, OURS },
		    { ANSWER, GET, CQ_STORE_NOT_FOUND, OLDER },
		    { STATE, CQ_OWNERSHIP_OWNER, 0, 0 } } },
		{ "no renewal of an earlier lease stays pending",
		  { ACQUIRE,
		    { RUN, 1000, 0, 0 },
		    { EXPECT_CALL, KEEPALIVE, 0, 0 },
		    { ANSWER, WATCH, CQ_STORE_OK, OTHERS },
		    { NO_CALL, KEEPALIVE, 0, 0 } } },
		{ "the loser of a race for the key observes the winner",
		  { GRANTED,
		    { ANSWER, PUT, CQ_STORE_CONFLICT, OTHERS },
		    { STATE, CQ_OWNERSHIP_STANDBY, 0, 0 },
		    { HOLDER, OTHERS, 0, 0 } } },
		{ "an owner before its deadline offers and changes the key",
		  { ACQUIRE,
		    { HAND_OVER, 0, 0, 0 },
		    { MAY_COMMAND, 0, 0, 0 },
		    { NO_CALL, PUT, 0, 0 },
		    { MESSAGE, ACCEPT, 0, 0 },
		    { EXPECT_CALL, PUT, 0, 0 },
		    { NO_CALL, REVOKE, 0, 0 } } },
		{ "a lapsed owner does not change the key",
		  { ACQUIRE,
		    { RUN, 4600, 0, 0 },
		    { STATE, CQ_OWNERSHIP_LAPSED, 0, 0 },
		    { HAND_OVER, 0, 0, 0 },
		    { EXPECT_CALL, REVOKE, 0, 0 },
		    { MESSAGE, ACCEPT, 0, 0 },
		    { NO_CALL, PUT, 0, 0 } } },
		{ "an owner that was not asked to stop does not change the key",
		  { ACQUIRE,
		    { MESSAGE, ACCEPT, 0, 0 },
		    { NO_CALL, PUT, 0, 0 },
		    { MAY_COMMAND, 1, 0, 0 } } },
		{ "an acceptance of an earlier offer is ignored",
		  { ACQUIRE,
		    { HAND_OVER, 0, 0, 0 },
		    { MESSAGE, ACCEPT_OLD_EPOCH, 0, 0 },
		    { NO_CALL, PUT, 0, 0 } } },
		{ "an acceptance from another member is ignored",
		  { ACQUIRE,
		    { HAND_OVER, 0, 0, 0 },
		    { MESSAGE, ACCEPT_OTHER_SENDER, 0, 0 },
		    { NO_CALL, PUT, 0, 0 } } },
		{ "an offer of an earlier owner is ignored",
		  { { RUN, 100, 0, 0 },
		    { ANSWER, GET, CQ_STORE_OK, OTHERS },
		    { MESSAGE, OFFER_OLD_EPOCH, 0, 0 },
		    { NO_CALL, GRANT, 0, 0 },
		    { STATE, CQ_OWNERSHIP_STANDBY, 0, 0 } } },
		{ "only DONE of the current hand-over makes an owner",
		  { { RUN, 100, 0, 0 },
		    { ANSWER, GET, CQ_STORE_OK, OTHERS },
		    { MESSAGE, OFFER, 0, 0 },
		    { MESSAGE, DONE, 0, 0 },
		    { MAY_COMMAND, 0, 0, 0 },
		    { ANSWER, GRANT, CQ_STORE_OK, NO_ENTRY },
		    { MESSAGE, DONE_OLD_LEASE, 0, 0 },
		    { MAY_COMMAND, 0, 0, 0 },
		    { MESSAGE, DONE_OLD_SEQUENCE, 0, 0 },
		    { MAY_COMMAND, 0, 0, 0 },
		    { MESSAGE, DONE_OLD_EPOCH, 0, 0 },
		    { MAY_COMMAND, 0, 0, 0 },
		    { MESSAGE, DONE, 0, 0 },
		    { MAY_COMMAND, 1, 0, 0 } } },
	};
	guint i, k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct world world;

		init(&world);
		cq_sim_feed_member(world.membership, "peer", "10.0.0.2:1",
				   now_of(&world));
		for (k = 0; cases[i].steps[k].action != END; k++) {
			const struct step *step = &cases[i].steps[k];
			struct cq_ownership *o = world.ownership;

			g_test_message("%s, step %u", cases[i].name, k);
			switch (step->action) {
			case RUN:
				run(&world, step->value);
				break;
			case PAUSE:
				cq_manual_clock_advance(world.clock,
							step->value *
								CQ_NS_PER_MS);
				break;
			case ANSWER:
				answer(&world, step);
				break;
			case EXPECT_CALL:
				g_assert_nonnull(find(
					&world, (enum operation)step->value));
				break;
			case NO_CALL:
				g_assert_null(find(
					&world, (enum operation)step->value));
				break;
			case HAND_OVER:
				cq_ownership_hand_over(o, NULL, now_of(&world));
				break;
			case MESSAGE:
				deliver(&world, (enum message)step->value);
				break;
			case HOLDER:
				g_assert_cmpstr(cq_ownership_holder(o), ==,
						step->value == OTHERS ? "other"
								      : "me");
				break;
			case STATE:
				g_assert_cmpstr(
					cq_ownership_state_string(
						cq_ownership_state(o)),
					==,
					cq_ownership_state_string(
						(enum cq_ownership_state)
							step->value));
				break;
			case MAY_COMMAND:
				g_assert_cmpint(cq_ownership_may_command(
							o, now_of(&world)),
						==, step->value);
				break;
			case END:
				break;
			}
		}
		clear(&world);
	}
}

/*
 * Guards against permits whose validity counts from the answer instead of the
 * request, or that outlast the ownership.
 */
static void test_permits(void)
{
	static const struct {
		const char *name;
		/* Age of the lease at the request for the permit. */
		int32_t lease_age_ms;
		int32_t answer_ms; /* time from the request to the answer */
		int32_t later_ms;  /* time from the answer to the start */
		bool granted;
		/* Time from the start to the permit's end. */
		int64_t left_ms;
		/* Settings of the data centre; NULL: no such key. */
		const char *document;
	} cases[] = {
		{ "answered at once", 100, 0, 0, true, 2000,
		  "{\"settings\":{\"state\":\"in\"}}" },
		{ "used later", 100, 0, 900, true, 1100,
		  "{\"settings\":{\"state\":\"in\"}}" },
		{ "answered late", 100, 1500, 0, true, 500,
		  "{\"settings\":{\"state\":\"in\"}}" },
		{ "answered too late", 100, 2100, 0, false, 0,
		  "{\"settings\":{\"state\":\"in\"}}" },
		{ "used too late", 100, 0, 2000, false, 0,
		  "{\"settings\":{\"state\":\"in\"}}" },
		{ "the ownership ends first", 3500, 0, 0, true, 1000,
		  "{\"settings\":{\"state\":\"in\"}}" },
		{ "the ownership has ended", 3500, 0, 1100, false, 0,
		  "{\"settings\":{\"state\":\"in\"}}" },
		{ "out", 100, 0, 0, false, 0,
		  "{\"settings\":{\"state\":\"out\"}}" },
		{ "removed", 100, 0, 0, false, 0, "{\"deleted\":true}" },
		{ "not valid", 100, 0, 0, false, 0, "{\"settings\":{}}" },
		{ "not declared", 100, 0, 0, false, 0, NULL },
	};
	static const struct step acquire[] = { ACQUIRE };
	guint i, k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct world world;
		struct cq_store_call *read;
		struct cq_store_entry entry = {
			.key = "settings/data-centres/dc0",
			.value = cases[i].document,
		};
		struct cq_store_result result = {
			.status = entry.value ? CQ_STORE_OK
					      : CQ_STORE_NOT_FOUND,
			.entries = &entry,
			.entry_count = entry.value != NULL,
		};
		int64_t not_after_ms = 0, unix_ms, asked_ns;
		bool granted;

		g_test_message("%s", cases[i].name);
		init(&world);
		for (k = 0; k < G_N_ELEMENTS(acquire); k++) {
			if (acquire[k].action == RUN)
				run(&world, acquire[k].value);
			if (acquire[k].action == ANSWER)
				answer(&world, &acquire[k]);
		}
		/*
		 * The clock advances to the given age of the lease, without
		 * renewals.
		 */
		asked_ns = cq_ownership_deadline_ns(world.ownership) -
			   (4500 - cases[i].lease_age_ms) * CQ_NS_PER_MS;
		cq_manual_clock_advance(world.clock,
					MAX(asked_ns - now_of(&world), 0));
		asked_ns = now_of(&world);
		g_assert_false(cq_ownership_start_permit(
			world.ownership, asked_ns, &not_after_ms));
		read = find(&world, GET);
		g_assert_nonnull(read);
		g_assert_cmpstr(read->key, ==, entry.key);
		cq_manual_clock_advance(world.clock,
					cases[i].answer_ms * CQ_NS_PER_MS);
		cq_script_store_answer(&world.script, read, &result);
		cq_manual_clock_advance(world.clock,
					cases[i].later_ms * CQ_NS_PER_MS);
		unix_ms = cq_clock_unix_ms(cq_manual_clock_get(world.clock));
		granted = cq_ownership_start_permit(
			world.ownership, now_of(&world), &not_after_ms);
		g_assert_cmpint(granted, ==, cases[i].granted);
		if (granted)
			g_assert_cmpint(not_after_ms - unix_ms, ==,
					cases[i].left_ms);
		clear(&world);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ownership/scripts", test_scripts);
	g_test_add_func("/ownership/permit_times", test_permits);
	return g_test_run();
}
