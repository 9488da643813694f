/* What the files of the dispatcher share. */
#ifndef CQ_COORDINATION_DISPATCHER_INTERNAL_H
#define CQ_COORDINATION_DISPATCHER_INTERNAL_H

#include "chestnutquay/batch.h"
#include "chestnutquay/dispatcher.h"
#include "chestnutquay/follower.h"
#include "chestnutquay/journal.h"
#include "chestnutquay/pool.h"

/* An end that was taken over and waits until the store holds it. */
struct unacknowledged {
	uint64_t number;
	char batch_id[CQ_WORKLOAD_ID_BYTES]; /* "": of no known batch */
	uint64_t version;
};

/* Contact with one life of a worker. */
struct link {
	struct cq_dispatcher *d;
	struct cq_pool_worker *worker;
	bool fenced; /* it has answered to this epoch's fence */
	bool hold_in_flight;
	bool hold_failed; /* the last hold got no good answer */
	int64_t hold_sent_ns;
	bool counted; /* in first_holds of the dispatcher */
	int64_t next_hold_ns;
	int64_t held_ns; /* last good answer to a hold */
	int64_t last_answer_ns;
	/* The worker's clock showed clock_ms at clock_ns or a little before. */
	int64_t clock_ms;
	int64_t clock_ns;
	int64_t lease_end_ms;  /* latest one granted, on its clock */
	int64_t lapse_ns;      /* all runs have surely lapsed by then */
	uint64_t seen;	       /* last end taken over */
	uint64_t acknowledged; /* ends up to here are in the store */
	uint64_t told;	       /* of them, what the worker was told */
	uint64_t telling;      /* by the hold in flight */
	GArray *unacknowledged;
};

struct cq_dispatcher {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	const struct cq_store *store;
	const struct cq_executor *executor;
	const struct cq_dispatcher_ops *ops;
	void *ctx;
	char *worker_prefix;
	cq_listing_parse_fn *parse_listing;
	int64_t epoch;
	int64_t created_ns;
	uint32_t store_timeout_ms;
	uint32_t max_lease_ms;
	uint32_t run_floor; /* runs of this epoch have higher numbers */

	const struct cq_queue_config *config;
	GHashTable *evacuated;
	struct cq_pool *pool;
	GHashTable *batches;  /* id -> struct cq_batch, owned */
	GHashTable *ended;    /* ids of batches that have ended */
	GHashTable *progress; /* id -> record read after the election */
	struct cq_follower *workers;
	struct cq_follower *workloads;
	struct cq_store_call *list_call;
	struct cq_journal *journal;
	GQueue dirty;	 /* struct cq_batch */
	GArray *written; /* struct written, of the transaction under way */
	char *pending;	 /* last value written for CQ_KEY_PENDING */
	int64_t next_pending_ns;
	uint32_t first_holds; /* under way, and not silent for long */
	ev_timer tick;
	ev_timer plan;

	struct cq_counter *starts;
	struct cq_counter *stops;
	struct cq_counter *holds;
	struct cq_counter *ends[CQ_RUN_LOST + 1];
	struct cq_counter *preemptions;
	struct cq_histogram *plan_time;
	struct cq_histogram *wait_time;
};

int64_t dispatcher_now_ns(const struct cq_dispatcher *d);
/* The batch has to be written. */
void dispatcher_mark_dirty(struct cq_dispatcher *d, struct cq_batch *batch);
void dispatcher_plan_soon(struct cq_dispatcher *d);
const struct cq_queue *dispatcher_queue(const struct cq_dispatcher *d,
					const struct cq_batch *batch);
/* A run ended; books it, and ends what depends on it. */
void dispatcher_end_run(struct cq_dispatcher *d, struct cq_task *task,
			enum cq_run_end how, const char *checkpoint);
/* The batch has failed if a task failed as often as its queue allows. */
bool dispatcher_check_attempts(struct cq_dispatcher *d, struct cq_batch *batch,
			       const struct cq_queue *queue);
/* All runs of the batch are to end. */
void dispatcher_stop_batch(struct cq_dispatcher *d, struct cq_batch *batch,
			   const char *reason);

/* dispatcher_store.c */
void dispatcher_store_open(struct cq_dispatcher *d, int64_t head_revision);
void dispatcher_store_close(struct cq_dispatcher *d);
void dispatcher_write_pending(struct cq_dispatcher *d);
/* The configuration, all workloads and their progress have been read. */
bool dispatcher_loaded(const struct cq_dispatcher *d);

/* dispatcher_links.c */
struct link *link_create(struct cq_dispatcher *d,
			 struct cq_pool_worker *worker);
void link_destroy(struct link *link);
void link_tick(struct link *link, int64_t now_ns);
/* The store holds more than before. */
void link_acknowledge(struct link *link);
/* Another life of the worker has begun. */
void link_new_life(struct link *link, int64_t born_unix_ms);
/* The worker answered; clock_ms is -1 if it did not tell its clock. */
void link_note_answer(struct link *link, int64_t clock_ms);
/* The end of a lease granted now, on the worker's clock. */
int64_t link_grant(struct link *link);
struct cq_executor_target link_target(const struct link *link);

/* dispatcher_orders.c */
void order_start(struct cq_dispatcher *d, struct cq_task *task);
/* Asks for the end of a run; repeated until it has ended. */
void order_stop(struct cq_dispatcher *d, struct cq_task *task,
		const char *reason);
/* Stops a run that is not, or no longer, one of a known task. */
void order_stop_stray(struct cq_dispatcher *d, struct link *link,
		      const char *task, uint32_t run);
/* Repeats unanswered orders. */
void order_repeat(struct cq_dispatcher *d, struct cq_task *task,
		  int64_t now_ns);
void order_pace(struct cq_dispatcher *d, struct cq_task *task,
		uint32_t percent);
/* Sends the starts of runs that are in the store. */
void order_recorded(struct cq_dispatcher *d, struct cq_batch *batch);

/* dispatcher_plan.c */
void dispatcher_plan(struct cq_dispatcher *d);

#endif
