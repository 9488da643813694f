#ifndef CQ_TESTS_REQUEST_WORLD_INTERNAL_H
#define CQ_TESTS_REQUEST_WORLD_INTERNAL_H

#include <glib.h>

#include "request_world.h"

#define WORLD_TICK_NS (20 * CQ_NS_PER_MS)
#define WORLD_LIST_NS CQ_NS_PER_S
/* Membership needs this long to see a death or a cut. */
#define WORLD_DETECT_NS (1500 * CQ_NS_PER_MS)
#define WORLD_UNIX_MS INT64_C(1764840000000)

typedef void world_event_fn(struct world *world, void *ctx);

struct event {
	int64_t at_ns;
	uint64_t sequence;
	world_event_fn *fn;
	void *ctx;
};

struct process; /* one life of an entry host */

struct logical {
	struct world_request request;
	char *body;
	char *key;
	int64_t key_unix_ms;
	uint32_t executions;
};

struct endpoint {
	char *id;
	char *address;
	uint32_t data_centre;
	struct world_faults faults;
	uint32_t running;
	GQueue waiting; /* struct flight, with endpoint_queues */
	uint32_t peak;
	uint32_t worst; /* over its slots */
	uint64_t calls;
};

struct host {
	uint32_t number;
	uint32_t data_centre;
	uint32_t index;
	char *address;
	struct process *process; /* NULL: down */
	/* An earlier process that was replaced while it was paused. */
	struct process *replaced;
	bool cut;
	int64_t delay_ns;
	int64_t changed_ns; /* last death or cut */
};

struct process {
	struct world *world;
	struct host *host;
	struct cq_clock clock;
	struct cq_router *router;
	uint64_t incarnation;
	bool dead;
	int64_t paused_until_ns;
	GHashTable *open_calls; /* endpoint address -> count */
};

/* Who waits for a router's answer. */
struct caller {
	struct process *process;
	uint32_t result; /* UINT32_MAX: a peer */
	struct host *peer;
	uint64_t peer_incarnation;
	uint64_t correlation;
	struct cq_request request; /* own copies, peers only */
};

struct message;

struct world {
	struct world_options options;
	int64_t now_ns;
	uint64_t next_sequence;
	uint64_t next_incarnation;
	GArray *events; /* binary heap */
	GRand *random;
	GPtrArray *hosts;
	GPtrArray *processes; /* all that ever lived */
	GPtrArray *endpoints;
	GPtrArray *logicals;
	GPtrArray *results;
	GHashTable *callers; /* set of open struct caller of callers */
	uint64_t executions;
	uint32_t connections_exceeded;
	uint32_t outcomes_left;
	uint32_t hand_over_messages;
	uint32_t faulty_message;
	enum world_message_fault message_fault;
	const struct message *peer_answer; /* being delivered */
};

void world_at(struct world *world, int64_t at_ns, world_event_fn *fn,
	      void *ctx);
/* Runs fn when the process runs: now, after its pause, or never. */
bool world_defer_if_paused(struct process *process, world_event_fn *fn,
			   void *ctx);
struct endpoint *world_find_endpoint(struct world *world, const char *address);

extern const char *const world_centre_names[];

/* request_world_net.c */
extern const struct cq_router_ops world_router_ops;
extern const struct cq_router_members_ops world_members_ops;
void world_caller_free(struct caller *caller);
bool world_link_up(const struct host *a, const struct host *b);

#endif
