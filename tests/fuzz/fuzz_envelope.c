/*
 * Guards against a peer's bytes crashing the peer network, or a message of
 * another deployment or version being delivered. The module is included with
 * its public names changed, so that a link can be fed from a socket pair.
 */
#define cq_peer_kind_string fuzz_peer_kind_string
#define cq_peer_net_options_init fuzz_peer_net_options_init
#define cq_peer_net_create fuzz_peer_net_create
#define cq_peer_net_destroy fuzz_peer_net_destroy
#define cq_peer_net_send fuzz_peer_net_send
#define cq_peer_net_bytes_sent fuzz_peer_net_bytes_sent
#define cq_peer_net_bytes_received fuzz_peer_net_bytes_received
#include "transport/peer_net.c"

#define DEPLOYMENT "d1"
#define MAX_INPUT_BYTES 4096

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void on_message(void *ctx, const struct cq_peer_message *message)
{
	volatile uint8_t sum = 0;
	size_t i;

	(void)ctx;
	assert(message->from_address && message->from_id);
	for (i = 0; i < message->payload_len; i++)
		sum ^= message->payload[i];
}

static struct cq_peer_net *open_net(struct ev_loop *loop)
{
	struct cq_peer_net_options options;
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_peer_net *net;

	cq_peer_net_options_init(&options);
	options.deployment = DEPLOYMENT;
	options.id = "fuzz";
	options.listen_address = "127.0.0.1:0";
	net = cq_peer_net_create(loop, &options, on_message, NULL, &err);
	assert(net);
	return net;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct ev_loop *loop;
	static struct cq_peer_net *net;
	int fds[2];
	ssize_t written;
	int i;

	if (!loop) {
		loop = ev_loop_new(0);
		net = open_net(loop);
	}
	if (!size || size > MAX_INPUT_BYTES ||
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds))
		return 0;
	link_create(net, fds[0], NULL);
	/* The first byte splits the rest in two, as a slow sender does. */
	written = write(fds[1], data + 1, (size - 1) * data[0] / 255);
	ev_run(loop, EVRUN_NOWAIT);
	if (written >= 0 && (size_t)written < size - 1)
		(void)!send(fds[1], data + 1 + written, size - 1 - written,
			    MSG_NOSIGNAL);
	ev_run(loop, EVRUN_NOWAIT);
	close(fds[1]);
	for (i = 0; i < 8 && g_hash_table_size(net->links); i++)
		ev_run(loop, EVRUN_NOWAIT);
	assert(!g_hash_table_size(net->links));
	return 0;
}
