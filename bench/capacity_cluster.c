/* Membership on a network of many processes in virtual time, and settings. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "capacity.h"
#include "chestnutquay/clock.h"
#include "chestnutquay/membership.h"
#include "chestnutquay/settings.h"

/* Records carried by a message are bounded, so more processes cost the same. */
#define PROCESSES 200
#define MAX_CONVERGE_S 600
#define MEASURE_S 60
#define TICK_NS (100 * CQ_NS_PER_MS)
/* Subtrees of the target size: 410 workspaces, 23 data centres, global. */
#define SUBTREES 434
#define APPLIES 5000

struct net;

struct process {
	struct net *net;
	struct cq_membership *membership;
	char address[CQ_PEER_ADDRESS_BYTES];
	char id[CQ_MEMBER_NAME_BYTES];
};

struct message {
	uint32_t to;
	uint32_t from;
	enum cq_peer_kind kind;
	uint64_t correlation;
	uint8_t *payload;
	size_t len;
};

struct net {
	struct process processes[PROCESSES];
	GQueue *queue;
	GHashTable *by_address; /* address -> index + 1 */
	int64_t now_ns;
	double messages;
	double bytes;
	double kind_bytes[4], kind_count[4];
};

static void send_message(void *ctx, const char *address, enum cq_peer_kind kind,
			 uint64_t correlation, const uint8_t *payload,
			 size_t len);
static void deliver_all(struct net *net);
static void add_process(struct net *net, uint32_t i);
static void advance(struct net *net, int seconds);
static uint32_t known_members(const struct net *net);
static char *workspace_json(int i);

static void send_message(void *ctx, const char *address, enum cq_peer_kind kind,
			 uint64_t correlation, const uint8_t *payload,
			 size_t len)
{
	struct process *from = ctx;
	struct net *net = from->net;
	struct message *message = g_new0(struct message, 1);

	net->messages++;
	net->bytes += (double)len + capacity_envelope_bytes;
	if (kind < 4) {
		net->kind_bytes[kind] += (double)len + capacity_envelope_bytes;
		net->kind_count[kind]++;
	}
	message->to =
		GPOINTER_TO_UINT(g_hash_table_lookup(net->by_address, address));
	message->from = (uint32_t)(from - net->processes);
	message->kind = kind;
	message->correlation = correlation;
	message->payload = g_memdup2(payload, len);
	message->len = len;
	g_queue_push_tail(net->queue, message);
}

static void deliver_all(struct net *net)
{
	struct message *message;

	while ((message = g_queue_pop_head(net->queue))) {
		const struct process *from = &net->processes[message->from];
		struct cq_peer_message in = { .from_address = from->address,
					      .from_id = from->id,
					      .from_incarnation = 1,
					      .kind = message->kind,
					      .correlation =
						      message->correlation,
					      .payload = message->payload,
					      .payload_len = message->len };

		if (message->to)
			cq_membership_receive(
				net->processes[message->to - 1].membership, &in,
				net->now_ns, NULL);
		g_free(message->payload);
		g_free(message);
	}
}

static void add_process(struct net *net, uint32_t i)
{
	static const struct cq_membership_ops ops = { .send = send_message };
	struct process *process = &net->processes[i];
	struct cq_membership_options options;
	const char *seed = net->processes[0].address;

	process->net = net;
	snprintf(process->address, sizeof(process->address), "10.0.%u.%u:7101",
		 i / 250, i % 250 + 1);
	snprintf(process->id, sizeof(process->id), "host-%u/%s", i / 2,
		 i % 2 ? "schedd" : "entryd");
	g_hash_table_insert(net->by_address, process->address,
			    GUINT_TO_POINTER(i + 1));
	cq_membership_options_init(&options);
	options.seed = i + 1;
	g_strlcpy(options.self.id, process->id, sizeof(options.self.id));
	snprintf(options.self.data_centre, sizeof(options.self.data_centre),
		 "data-centre-%u", i / 36);
	g_strlcpy(options.self.address, process->address,
		  sizeof(options.self.address));
	g_strlcpy(options.self.operator_address, process->address,
		  sizeof(options.self.operator_address));
	options.self.role = i % 2 ? CQ_ROLE_SCHEDD : CQ_ROLE_ENTRYD;
	options.self.incarnation = 1;
	process->membership =
		cq_membership_create(&options, &ops, process, net->now_ns);
	if (i)
		cq_membership_set_seeds(process->membership, &seed, 1);
}

static void advance(struct net *net, int seconds)
{
	int64_t end_ns = net->now_ns + seconds * CQ_NS_PER_S;
	uint32_t i;

	while (net->now_ns < end_ns) {
		net->now_ns += TICK_NS;
		for (i = 0; i < PROCESSES; i++)
			cq_membership_tick(net->processes[i].membership,
					   net->now_ns);
		deliver_all(net);
	}
}

static uint32_t known_members(const struct net *net)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < PROCESSES; i++)
		sum += cq_membership_live_count(net->processes[i].membership);
	return sum;
}

void capacity_membership(void)
{
	struct net *net = g_new0(struct net, 1);
	double heap = capacity_heap_bytes();
	int seconds = 0;
	double cpu;
	uint32_t i;

	net->queue = g_queue_new();
	net->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	net->now_ns = CQ_NS_PER_S;
	for (i = 0; i < PROCESSES; i++)
		add_process(net, i);
	while (known_members(net) != PROCESSES * PROCESSES) {
		advance(net, 1);
		if (++seconds > MAX_CONVERGE_S)
			g_error("membership knows %u of %u records after %d s",
				known_members(net), PROCESSES * PROCESSES,
				seconds);
	}
	/* All processes start at one time and know one address. */
	capacity_line("membership_join", "s", seconds);
	capacity_line("member_memory", "bytes",
		      (capacity_heap_bytes() - heap) / PROCESSES / PROCESSES);
	net->messages = 0;
	net->bytes = 0;
	memset(net->kind_bytes, 0, sizeof(net->kind_bytes));
	memset(net->kind_count, 0, sizeof(net->kind_count));
	cpu = capacity_cpu_us();
	advance(net, MEASURE_S);
	cpu = capacity_cpu_us() - cpu;
	capacity_line("membership_messages", "messages/s",
		      net->messages / PROCESSES / MEASURE_S);
	/* Each message is sent by one process and received by another. */
	capacity_line("membership_bytes", "bytes/s",
		      2 * net->bytes / PROCESSES / MEASURE_S);
	capacity_line("membership_ping_bytes", "bytes",
		      net->kind_bytes[CQ_PEER_PING] /
			      net->kind_count[CQ_PEER_PING]);
	capacity_line("membership_ack_bytes", "bytes",
		      net->kind_bytes[CQ_PEER_ACK] /
			      net->kind_count[CQ_PEER_ACK]);
	capacity_line("membership_cpu", "us/s", cpu / PROCESSES / MEASURE_S);
	for (i = 0; i < PROCESSES; i++)
		cq_membership_destroy(net->processes[i].membership);
	g_hash_table_destroy(net->by_address);
	g_queue_free(net->queue);
	g_free(net);
}

static char *workspace_json(int i)
{
	return g_strdup_printf(
		"{\"weight\":%d,\"guarantees\":[{\"count\":4,\"accelerators\":"
		"8,\"adjacency\":\"worker\"},{\"count\":1,\"accelerators\":64,"
		"\"adjacency\":\"rack\"}],\"limits\":{\"max_running_jobs\":500,"
		"\"max_waiting_jobs\":2000}}",
		i % 1000 + 1);
}

void capacity_settings(void)
{
	struct cq_settings *settings = cq_settings_create();
	double heap = capacity_heap_bytes();
	double bytes = 0;
	double cpu = 0;
	int i;

	for (i = 0; i < SUBTREES + APPLIES; i++) {
		char *key = g_strdup_printf("workspaces/team-%d", i % SUBTREES);
		char *json = workspace_json(i);
		char *document = cq_settings_encode(json, "host-123/entryd",
						    1780000000000000 + i);

		if (i == SUBTREES) {
			capacity_line("settings_subtree_memory", "bytes",
				      (capacity_heap_bytes() - heap) /
					      SUBTREES);
			cpu = capacity_cpu_us();
		}
		if (!cq_settings_apply(settings, key, document, i + 1, NULL))
			g_error("document %d was not applied", i);
		bytes = (double)strlen(key) + (double)strlen(document);
		free(document);
		g_free(json);
		g_free(key);
	}
	/* With the encoding by the writer. */
	capacity_line("settings_apply_cpu", "us",
		      (capacity_cpu_us() - cpu) / APPLIES);
	capacity_line("settings_change_bytes", "bytes",
		      bytes + 16 + capacity_envelope_bytes);
	cq_settings_destroy(settings);
}
