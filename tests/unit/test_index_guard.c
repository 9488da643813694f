#include <glib.h>
#include <string.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/index_guard.h"

#define HOSTS 3
#define TICK_NS (100 * CQ_NS_PER_MS)

struct message {
	uint32_t to;
	uint32_t from;
	enum cq_peer_kind kind;
	uint64_t correlation;
	GBytes *payload;
};

/* Entry hosts of one data centre that exchange real membership messages. */
struct network {
	struct host {
		struct network *network;
		uint32_t number;
		char address[CQ_PEER_ADDRESS_BYTES];
		char id[CQ_MEMBER_NAME_BYTES];
		struct cq_membership *membership;
		struct cq_index_guard *guard;
		bool cut_off;
		bool paused;
	} hosts[HOSTS];
	GQueue *queue;
	int64_t now_ns;
};

static void send_message(void *ctx, const char *address, enum cq_peer_kind kind,
			 uint64_t correlation, const uint8_t *payload,
			 size_t len)
{
	struct host *from = ctx;
	struct network *network = from->network;
	uint32_t i;

	for (i = 0; i < HOSTS; i++) {
		struct message *message;

		if (strcmp(network->hosts[i].address, address) != 0)
			continue;
		message = g_new0(struct message, 1);
		message->to = i;
		message->from = from->number;
		message->kind = kind;
		message->correlation = correlation;
		message->payload = g_bytes_new(payload, len);
		g_queue_push_tail(network->queue, message);
	}
}

static void start(struct network *network, uint32_t number, uint32_t index,
		  uint32_t index_count, uint64_t incarnation)
{
	static const struct cq_membership_ops ops = { .send = send_message };
	struct host *host = &network->hosts[number];
	struct cq_membership_options options;
	struct cq_index_guard_options guard_options;
	const char *seeds[] = { "127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:2" };

	host->network = network;
	host->number = number;
	g_snprintf(host->address, sizeof(host->address), "127.0.0.1:%u",
		   number);
	g_snprintf(host->id, sizeof(host->id), "host%u", number);
	cq_membership_options_init(&options);
	g_strlcpy(options.self.id, host->id, sizeof(options.self.id));
	g_strlcpy(options.self.data_centre, "dc",
		  sizeof(options.self.data_centre));
	g_strlcpy(options.self.address, host->address,
		  sizeof(options.self.address));
	options.self.role = CQ_ROLE_ENTRYD;
	options.self.index = index;
	options.self.incarnation = incarnation;
	options.seed = number + 1;
	host->membership =
		cq_membership_create(&options, &ops, host, network->now_ns);
	cq_membership_set_seeds(host->membership, seeds, G_N_ELEMENTS(seeds));
	cq_index_guard_options_init(&guard_options);
	guard_options.index_count = index_count;
	host->guard = cq_index_guard_create(&guard_options, host->membership,
					    network->now_ns);
}

static void deliver(struct network *network, const struct message *message)
{
	struct host *to = &network->hosts[message->to];
	const struct host *from = &network->hosts[message->from];
	struct cq_peer_message m = { .from_address = from->address,
				     .from_id = from->id,
				     .kind = message->kind,
				     .correlation = message->correlation };

	if (!to->membership || to->paused || to->cut_off || from->cut_off)
		return;
	m.payload = g_bytes_get_data(message->payload, &m.payload_len);
	cq_index_guard_record_contact(to->guard, network->now_ns);
	cq_membership_receive(to->membership, &m, network->now_ns, NULL);
}

static void run(struct network *network, int64_t for_ns)
{
	int64_t end_ns = network->now_ns + for_ns;
	struct message *message;
	uint32_t i;

	for (; network->now_ns < end_ns; network->now_ns += TICK_NS) {
		for (i = 0; i < HOSTS; i++) {
			struct host *host = &network->hosts[i];

			if (!host->membership || host->paused)
				continue;
			cq_membership_tick(host->membership, network->now_ns);
			cq_index_guard_tick(host->guard, network->now_ns);
		}
		while ((message = g_queue_pop_head(network->queue))) {
			deliver(network, message);
			g_bytes_unref(message->payload);
			g_free(message);
		}
	}
}

static void open_network(struct network *network, uint32_t index_count)
{
	memset(network, 0, sizeof(*network));
	network->queue = g_queue_new();
	network->now_ns = CQ_NS_PER_S;
	start(network, 0, 0, index_count, 1000);
	start(network, 1, 1, index_count, 1000);
	run(network, 5 * CQ_NS_PER_S);
}

static void close_network(struct network *network)
{
	uint32_t i;

	for (i = 0; i < HOSTS; i++) {
		if (!network->hosts[i].membership)
			continue;
		cq_index_guard_destroy(network->hosts[i].guard);
		cq_membership_destroy(network->hosts[i].membership);
	}
	g_queue_free(network->queue);
}

static bool holds(const struct network *network, uint32_t host)
{
	return cq_index_guard_may_use_index(network->hosts[host].guard,
					    network->now_ns);
}

enum fault {
	FAULT_NONE,
	FAULT_CUT_OFF,
	FAULT_PAUSE,
	FAULT_REPLACED,
};

/* Guards against a host that goes on using an index it may have lost. */
static void test_fault_table(void)
{
	static const struct {
		const char *name;
		enum fault fault;
		uint32_t index_count;
		int64_t fault_s; /* how long it lasts */
		int64_t after_s; /* time since its end */
		bool holds;	 /* at that time */
	} cases[] = {
		{ "no fault", FAULT_NONE, 2, 60, 0, true },
		{ "cut off briefly", FAULT_CUT_OFF, 2, 4, 0, true },
		{ "cut off", FAULT_CUT_OFF, 2, 10, 0, false },
		{ "cut off, the only host", FAULT_CUT_OFF, 1, 60, 0, true },
		{ "back, not settled", FAULT_CUT_OFF, 2, 10, 2, false },
		{ "back and settled", FAULT_CUT_OFF, 2, 10, 30, true },
		{ "paused", FAULT_PAUSE, 2, 3, 0, false },
		{ "woken, not settled", FAULT_PAUSE, 2, 3, 2, false },
		{ "woken and settled", FAULT_PAUSE, 2, 3, 30, true },
		{ "woken, the only host", FAULT_PAUSE, 1, 3, 2, false },
		{ "replaced", FAULT_REPLACED, 2, 31, 0, false },
		{ "replaced, the only host", FAULT_REPLACED, 1, 31, 0, false },
	};
	struct network network;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct host *host = &network.hosts[0];

		g_test_message("%s", cases[i].name);
		open_network(&network, cases[i].index_count);
		g_assert_true(holds(&network, 0));
		host->cut_off = cases[i].fault == FAULT_CUT_OFF;
		host->paused = cases[i].fault == FAULT_PAUSE;
		if (cases[i].fault == FAULT_REPLACED)
			start(&network, 2, 0, cases[i].index_count, 2000);
		run(&network, cases[i].fault_s * CQ_NS_PER_S);
		host->cut_off = false;
		host->paused = false;
		run(&network, cases[i].after_s * CQ_NS_PER_S);
		g_assert_cmpint(holds(&network, 0), ==, cases[i].holds);
		close_network(&network);
	}
}

/*
 * Guards against a paused host that uses its index in the moment between
 * waking and hearing of its replacement.
 */
static void test_replaced_while_paused(void)
{
	struct network network;
	int i;

	open_network(&network, 2);
	network.hosts[0].paused = true;
	start(&network, 2, 0, 2, 2000);
	run(&network, 120 * CQ_NS_PER_S);
	network.hosts[0].paused = false;
	for (i = 0; i < 300; i++) {
		g_assert_false(holds(&network, 0));
		run(&network, TICK_NS);
	}
	g_assert_true(holds(&network, 2));
	close_network(&network);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/index_guard/faults", test_fault_table);
	g_test_add_func("/index_guard/replaced_while_paused",
			test_replaced_while_paused);
	return g_test_run();
}
