/*
 * Ownership alone against a scripted store: each answer is given by the test,
 * so that any order of answers, delays and losses can be written down.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/ownership.h"

enum operation { GET, PUT, GRANT, KEEPALIVE, REVOKE, WATCH };

struct cq_store_call {
	enum operation operation;
	char *key;
	char *value;
	int64_t lease_id;
	cq_store_done_fn *done;
	void *ctx;
};

struct world {
	struct cq_manual_clock *clock;
	struct cq_store store;
	GPtrArray *calls; /* of struct cq_store_call, oldest first */
	struct cq_membership *membership;
	struct cq_ownership *ownership;
	int64_t revision;
	int64_t last_lease;
};

static void free_call(gpointer data)
{
	struct cq_store_call *call = data;

	g_free(call->key);
	g_free(call->value);
	g_free(call);
}

static struct cq_store_call *note(void *self, enum operation operation,
				  const char *key, const char *value,
				  int64_t lease_id, cq_store_done_fn *done,
				  void *ctx)
{
	struct world *world = self;
	struct cq_store_call *call = g_new0(struct cq_store_call, 1);

	call->operation = operation;
	call->key = g_strdup(key);
	call->value = g_strdup(value);
	call->lease_id = lease_id;
	call->done = done;
	call->ctx = ctx;
	g_ptr_array_add(world->calls, call);
	return call;
}

static struct cq_store_call *store_get(void *self, const char *key,
				       uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx)
{
	(void)timeout_ms;
	return note(self, GET, key, NULL, 0, done, ctx);
}

static struct cq_store_call *store_put(void *self, const char *key,
				       const char *value, int64_t revision,
				       int64_t lease_id, uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx)
{
	(void)timeout_ms;
	(void)revision;
	return note(self, PUT, key, value, lease_id, done, ctx);
}

static struct cq_store_call *store_grant(void *self, uint32_t ttl_ms,
					 uint32_t timeout_ms,
					 cq_store_done_fn *done, void *ctx)
{
	(void)ttl_ms;
	(void)timeout_ms;
	return note(self, GRANT, NULL, NULL, 0, done, ctx);
}

static struct cq_store_call *store_keepalive(void *self, int64_t lease_id,
					     uint32_t timeout_ms,
					     cq_store_done_fn *done, void *ctx)
{
	(void)timeout_ms;
	return note(self, KEEPALIVE, NULL, NULL, lease_id, done, ctx);
}

static struct cq_store_call *store_revoke(void *self, int64_t lease_id,
					  uint32_t timeout_ms,
					  cq_store_done_fn *done, void *ctx)
{
	(void)timeout_ms;
	return note(self, REVOKE, NULL, NULL, lease_id, done, ctx);
}

static struct cq_store_call *store_watch(void *self, const char *prefix,
					 int64_t after_revision,
					 uint32_t wait_ms,
					 cq_store_done_fn *done, void *ctx)
{
	(void)after_revision;
	(void)wait_ms;
	return note(self, WATCH, prefix, NULL, 0, done, ctx);
}

static void store_cancel(void *self, struct cq_store_call *call)
{
	struct world *world = self;

	g_assert_true(g_ptr_array_remove(world->calls, call));
}

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
	static const struct cq_store_ops store_ops = {
		.get = store_get,
		.put = store_put,
		.lease_grant = store_grant,
		.lease_keepalive = store_keepalive,
		.lease_revoke = store_revoke,
		.watch = store_watch,
		.cancel = store_cancel,
	};
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
	world->store.ops = &store_ops;
	world->store.self = world;
	world->calls = g_ptr_array_new_with_free_func(free_call);
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
					       &world->store, &ownership_ops,
					       NULL, now_of(world));
}

static void clear(struct world *world)
{
	cq_ownership_destroy(world->ownership);
	cq_membership_destroy(world->membership);
	g_assert_cmpuint(world->calls->len, ==, 0);
	g_ptr_array_free(world->calls, TRUE);
	cq_manual_clock_destroy(world->clock);
}

enum entry {
	NO_ENTRY,
	OURS,		/* under the last lease granted */
	OURS_OLD_LEASE, /* this process, but the lease before */
	OURS_BEFORE,	/* this id, an earlier process */
	OTHERS,
	DELETED,
};

enum action {
	END,
	RUN,	/* ms, with ticks */
	PAUSE,	/* ms, without ticks */
	ANSWER, /* operation, status, entry */
	WANT,	/* such a call is under way */
	STATE,
	MAY, /* 1: may command, 0: may not */
};

struct step {
	enum action action;
	int32_t value; /* ms, operation, state, or 0 and 1 */
	enum cq_store_status status;
	enum entry entry;
};

static struct cq_store_call *find(struct world *world, enum operation operation)
{
	guint i;

	for (i = 0; i < world->calls->len; i++) {
		struct cq_store_call *call = g_ptr_array_index(world->calls, i);

		if (call->operation == operation)
			return call;
	}
	return NULL;
}

static void answer(struct world *world, const struct step *step)
{
	struct cq_store_call *call = find(world, (enum operation)step->value);
	struct cq_store_result result = { .status = step->status,
					  .message = "" };
	struct cq_store_entry entry = { .key = "owners/dc0" };
	char *value;
	guint at = 0;

	g_assert_nonnull(call);
	g_assert_true(g_ptr_array_find(world->calls, call, &at));
	g_ptr_array_steal_index(world->calls, at);
	if (step->status == CQ_STORE_OK && call->operation == GRANT)
		world->last_lease++;
	if (step->entry != NO_ENTRY)
		world->revision++;
	entry.revision = world->revision;
	value = g_strdup_printf(
		"{\"holder\":\"%s\",\"incarnation\":%d,\"sequence\":1}",
		step->entry == OTHERS ? "other" : "me",
		step->entry == OURS_BEFORE ? 4 : 5);
	entry.value = step->entry == DELETED ? NULL : value;
	entry.value_len = strlen(value);
	entry.lease_id = step->entry == OURS_OLD_LEASE ? world->last_lease - 1
			 : step->entry == OURS	       ? world->last_lease
						       : 99;
	result.revision = world->revision;
	result.lease_id = world->last_lease;
	result.entries = &entry;
	result.entry_count = step->entry != NO_ENTRY;
	call->done(call->ctx, &result);
	g_free(value);
	free_call(call);
}

static void run(struct world *world, int32_t ms)
{
	for (; ms > 0; ms -= 100) {
		cq_manual_clock_advance(world->clock,
					MIN(ms, 100) * CQ_NS_PER_MS);
		cq_ownership_tick(world->ownership, now_of(world));
	}
}

/* Steps from the start to an owner under lease 1. */
#define ACQUIRE                                                               \
	{ RUN, 100, 0, 0 }, { ANSWER, GET, CQ_STORE_NOT_FOUND, NO_ENTRY },    \
		{ RUN, 400, 0, 0 }, { ANSWER, GRANT, CQ_STORE_OK, NO_ENTRY }, \
		{ ANSWER, PUT, CQ_STORE_OK, NO_ENTRY },                       \
		{ STATE, CQ_OWNERSHIP_OWNER, 0, 0 },                          \
	{                                                                     \
		MAY, 1, 0, 0                                                  \
	}

/* Guards against each way of misreading late, lost or crossed answers. */
static void test_scripts(void)
{
	static const struct {
		const char *name;
		struct step steps[28];
	} cases[] = {
		{ "the deadline counts from the send of the request",
		  { ACQUIRE,
		    { RUN, 1000, 0, 0 },
		    { WANT, KEEPALIVE, 0, 0 },
		    { PAUSE, 4600, 0, 0 },
		    { MAY, 0, 0, 0 },
		    { ANSWER, KEEPALIVE, CQ_STORE_OK, NO_ENTRY },
		    { MAY, 0, 0, 0 } } },
		{ "a renewal in time keeps the owner",
		  { ACQUIRE,
		    { RUN, 1000, 0, 0 },
		    { ANSWER, KEEPALIVE, CQ_STORE_OK, NO_ENTRY },
		    { RUN, 1000, 0, 0 },
		    { ANSWER, KEEPALIVE, CQ_STORE_OK, NO_ENTRY },
		    { RUN, 4100, 0, 0 },
		    { MAY, 1, 0, 0 },
		    { RUN, 500, 0, 0 },
		    { MAY, 0, 0, 0 },
		    { STATE, CQ_OWNERSHIP_LAPSED, 0, 0 } } },
		{ "commands stop 500 ms before the lease can end",
		  { ACQUIRE,
		    { PAUSE, 4100, 0, 0 },
		    { MAY, 1, 0, 0 },
		    { PAUSE, 500, 0, 0 },
		    { MAY, 0, 0, 0 } } },
		{ "a lapsed owner whose lease still exists goes on",
		  { ACQUIRE,
		    { RUN, 1000, 0, 0 },
		    { ANSWER, KEEPALIVE, CQ_STORE_UNKNOWN, NO_ENTRY },
		    { RUN, 4000, 0, 0 },
		    { STATE, CQ_OWNERSHIP_LAPSED, 0, 0 },
		    { ANSWER, KEEPALIVE, CQ_STORE_UNAVAILABLE, NO_ENTRY },
		    { RUN, 1300, 0, 0 },
		    { ANSWER, KEEPALIVE, CQ_STORE_OK, NO_ENTRY },
		    { STATE, CQ_OWNERSHIP_OWNER, 0, 0 },
		    { MAY, 1, 0, 0 } } },
		{ "a lapsed owner whose lease is gone steps down",
		  { ACQUIRE,
		    { RUN, 6000, 0, 0 },
		    { ANSWER, KEEPALIVE, CQ_STORE_NOT_FOUND, NO_ENTRY },
		    { STATE, CQ_OWNERSHIP_STANDBY, 0, 0 },
		    { MAY, 0, 0, 0 } } },
		{ "an owner that sees another holder steps down",
		  { ACQUIRE,
		    { RUN, 200, 0, 0 },
		    { ANSWER, WATCH, CQ_STORE_OK, OTHERS },
		    { STATE, CQ_OWNERSHIP_STANDBY, 0, 0 },
		    { MAY, 0, 0, 0 } } },
		{ "an owner whose key vanished steps down",
		  { ACQUIRE,
		    { RUN, 200, 0, 0 },
		    { ANSWER, WATCH, CQ_STORE_OK, DELETED },
		    { STATE, CQ_OWNERSHIP_STANDBY, 0, 0 },
		    { MAY, 0, 0, 0 } } },
		{ "a lost answer is not taken for success",
		  { { RUN, 100, 0, 0 },
		    { ANSWER, GET, CQ_STORE_NOT_FOUND, NO_ENTRY },
		    { RUN, 400, 0, 0 },
		    { ANSWER, GRANT, CQ_STORE_OK, NO_ENTRY },
		    { ANSWER, PUT, CQ_STORE_UNKNOWN, NO_ENTRY },
		    { MAY, 0, 0, 0 },
		    { RUN, 100, 0, 0 },
		    { WANT, GET, 0, 0 },
		    { MAY, 0, 0, 0 },
		    { ANSWER, GET, CQ_STORE_OK, OURS },
		    { STATE, CQ_OWNERSHIP_OWNER, 0, 0 },
		    { MAY, 1, 0, 0 } } },
		{ "a lost answer of a write that lost the race",
		  { { RUN, 100, 0, 0 },
		    { ANSWER, GET, CQ_STORE_NOT_FOUND, NO_ENTRY },
		    { RUN, 400, 0, 0 },
		    { ANSWER, GRANT, CQ_STORE_OK, NO_ENTRY },
		    { ANSWER, PUT, CQ_STORE_UNKNOWN, NO_ENTRY },
		    { RUN, 100, 0, 0 },
		    { ANSWER, GET, CQ_STORE_OK, OTHERS },
		    { STATE, CQ_OWNERSHIP_STANDBY, 0, 0 },
		    { MAY, 0, 0, 0 } } },
		{ "a lost write that arrives late conflicts with its repeat",
		  { { RUN, 100, 0, 0 },
		    { ANSWER, GET, CQ_STORE_NOT_FOUND, NO_ENTRY },
		    { RUN, 400, 0, 0 },
		    { ANSWER, GRANT, CQ_STORE_OK, NO_ENTRY },
		    { ANSWER, PUT, CQ_STORE_UNKNOWN, NO_ENTRY },
		    { RUN, 100, 0, 0 },
		    { ANSWER, GET, CQ_STORE_NOT_FOUND, NO_ENTRY },
		    { RUN, 500, 0, 0 },
		    { ANSWER, PUT, CQ_STORE_CONFLICT, OURS },
		    { STATE, CQ_OWNERSHIP_OWNER, 0, 0 },
		    { MAY, 1, 0, 0 } } },
		{ "a write of this process under an earlier lease is not ours",
		  { { RUN, 100, 0, 0 },
		    { ANSWER, GET, CQ_STORE_NOT_FOUND, NO_ENTRY },
		    { RUN, 400, 0, 0 },
		    { ANSWER, GRANT, CQ_STORE_OK, NO_ENTRY },
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
		    { MAY, 0, 0, 0 } } },
		{ "the key of an earlier process of this id is not ours",
		  { { RUN, 100, 0, 0 },
		    { ANSWER, GET, CQ_STORE_OK, OURS_BEFORE },
		    { RUN, 1000, 0, 0 },
		    { STATE, CQ_OWNERSHIP_STANDBY, 0, 0 },
		    { ANSWER, WATCH, CQ_STORE_OK, DELETED },
		    { RUN, 400, 0, 0 },
		    { ANSWER, GRANT, CQ_STORE_OK, NO_ENTRY },
		    { ANSWER, PUT, CQ_STORE_OK, NO_ENTRY },
		    { STATE, CQ_OWNERSHIP_OWNER, 0, 0 } } },
		{ "a lease that ended before the write is replaced",
		  { { RUN, 100, 0, 0 },
		    { ANSWER, GET, CQ_STORE_NOT_FOUND, NO_ENTRY },
		    { RUN, 400, 0, 0 },
		    { ANSWER, GRANT, CQ_STORE_OK, NO_ENTRY },
		    { ANSWER, PUT, CQ_STORE_NOT_FOUND, NO_ENTRY },
		    { RUN, 500, 0, 0 },
		    { ANSWER, GRANT, CQ_STORE_OK, NO_ENTRY },
		    { ANSWER, PUT, CQ_STORE_OK, NO_ENTRY },
		    { STATE, CQ_OWNERSHIP_OWNER, 0, 0 } } },
		{ "a watch that cannot go on is replaced by a read",
		  { { RUN, 100, 0, 0 },
		    { ANSWER, GET, CQ_STORE_OK, OTHERS },
		    { RUN, 100, 0, 0 },
		    { ANSWER, WATCH, CQ_STORE_INVALID, NO_ENTRY },
		    { RUN, 1200, 0, 0 },
		    { ANSWER, GET, CQ_STORE_NOT_FOUND, NO_ENTRY },
		    { RUN, 400, 0, 0 },
		    { WANT, GRANT, 0, 0 } } },
	};
	guint i, k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct world world;

		init(&world);
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
			case WANT:
				g_assert_nonnull(find(
					&world, (enum operation)step->value));
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
			case MAY:
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
 * Guards against permits that count from the answer instead of the request, or
 * that outlast the ownership.
 */
static void test_permits(void)
{
	static const struct {
		const char *name;
		int32_t lease_age_ms; /* at the request for the permit */
		int32_t answer_ms;    /* until the answer */
		int32_t later_ms;     /* until the start */
		bool granted;
		int64_t left_ms;      /* from the start to its latest time */
		const char *document; /* NULL: no such key */
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
			.message = "",
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
		/* To a known age of the lease, without renewals. */
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
		g_assert_true(g_ptr_array_find(world.calls, read, &k));
		g_ptr_array_steal_index(world.calls, k);
		read->done(read->ctx, &result);
		free_call(read);
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
