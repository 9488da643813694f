/*
 * Messages between the daemons: protobuf-c envelopes in length-prefixed TCP
 * frames.
 *
 * Links are opened on demand and closed when idle. After a message was sent,
 * the link is probed with pings until something is received on the same
 * connection. If nothing arrives within the silence timeout, the link is
 * closed, and the next send opens a new one. TCP's own timers are not enough: a
 * middlebox may still acknowledge data that it no longer forwards. Delivery is
 * best effort and at most once; callers use correlation ids, deadlines and
 * retries.
 */
#ifndef CHESTNUTQUAY_PEER_NET_H
#define CHESTNUTQUAY_PEER_NET_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/error.h"

#define CQ_PEER_PROTOCOL_VERSION 1
#define CQ_PEER_MAX_FRAME_BYTES (4U << 20)
#define CQ_PEER_ADDRESS_BYTES 24

/* Message kinds; the numbers are part of the wire protocol. */
enum cq_peer_kind {
	CQ_PEER_PING = 1,
	CQ_PEER_PING_REQ = 2,
	CQ_PEER_ACK = 3,
	CQ_PEER_SETTINGS_CHANGE = 10,
	CQ_PEER_SETTINGS_PULL = 11,
	CQ_PEER_SETTINGS_STATE = 12,
	CQ_PEER_STORE_RELAY = 20,
	CQ_PEER_STORE_RELAY_ANSWER = 21,
	CQ_PEER_JOB_NOTIFY = 30,
	CQ_PEER_JOB_QUERY = 31,
	CQ_PEER_JOB_ANSWER = 32,
	CQ_PEER_SLOT_LEND = 40,
	CQ_PEER_SLOT_RETURN = 41,
	CQ_PEER_REQUEST_FORWARD = 42,
	CQ_PEER_REQUEST_ANSWER = 43,
	CQ_PEER_OUTCOMES_OFFER = 44,
	CQ_PEER_OUTCOMES_TAKEN = 45,
	CQ_PEER_HANDOVER = 50,
	CQ_PEER_LINK_PING = 60, /* link pings are not passed to on_message */
	CQ_PEER_LINK_PONG = 61,
};

const char *cq_peer_kind_string(enum cq_peer_kind kind);

struct cq_peer_net;

struct cq_peer_message {
	const char *from_address; /* the sender's listening address */
	const char *from_id;
	uint64_t from_incarnation;
	enum cq_peer_kind kind;
	uint64_t correlation; /* id that matches an answer to its request */
	const uint8_t *payload;
	size_t payload_len;
};

typedef void cq_peer_message_fn(void *ctx,
				const struct cq_peer_message *message);

struct cq_peer_net_options {
	/* Messages from peers of another deployment are refused. */
	const char *deployment;
	const char *id;
	uint64_t incarnation;
	const char *listen_address; /* IPv4:PORT */
	/* A link that does not answer pings for this long is closed. */
	uint32_t silence_timeout_ms;
	uint32_t max_links;
	/* Unsent bytes of a link; a message over it is dropped. */
	uint32_t max_queued_bytes;
};

void cq_peer_net_options_init(struct cq_peer_net_options *options);

struct cq_peer_net *cq_peer_net_create(
	struct ev_loop *loop, const struct cq_peer_net_options *options,
	cq_peer_message_fn *on_message, void *ctx, struct cq_error *err);
void cq_peer_net_destroy(struct cq_peer_net *net);

/* Queues a message. Returns false if it was dropped immediately. */
bool cq_peer_net_send(struct cq_peer_net *net, const char *address,
		      enum cq_peer_kind kind, uint64_t correlation,
		      const uint8_t *payload, size_t payload_len);
uint64_t cq_peer_net_bytes_sent(const struct cq_peer_net *net);
uint64_t cq_peer_net_bytes_received(const struct cq_peer_net *net);

#endif
