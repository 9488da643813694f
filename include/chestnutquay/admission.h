/*
 * Admission queue: bounded queues of waiting requests by class and workspace.
 *
 * Classes are served in order of their rank, 0 first. A class of a later rank
 * that has requests waiting gets at least one in
 * CQ_ADMISSION_MAX_DISPATCH_INTERVAL dispatches, so that no class starves.
 * Within a class, workspaces share dispatches by weight (start-time fair
 * queueing).
 *
 * The queue estimates how long a new request would wait. The router refuses
 * requests whose deadline cannot be met instead of letting them expire in the
 * queue.
 */
#ifndef CHESTNUTQUAY_ADMISSION_H
#define CHESTNUTQUAY_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Every 16th dispatch at the latest goes to a waiting class of a later rank. */
#define CQ_ADMISSION_MAX_DISPATCH_INTERVAL 16
#define CQ_ADMISSION_MAX_RANKS 16

struct cq_admission;

/* Queue element; the caller embeds it in its own request structure. */
struct cq_admission_item {
	uint32_t rank;	       /* of the class, below CQ_ADMISSION_MAX_RANKS */
	uint32_t weight;       /* of the workspace, at least 1 */
	const char *workspace; /* read by cq_admission_push() only */
	uint64_t bytes;	       /* counted against max_bytes */
	/* Private to the admission queue. */
	GList link;
	struct cq_admission_flow *flow;
	bool queued;
};

struct cq_admission_options {
	uint32_t max_items;
	uint64_t max_bytes;
};

struct cq_admission *
cq_admission_create(const struct cq_admission_options *options);
void cq_admission_destroy(struct cq_admission *admission);

/*
 * Adds an item. When the queue is full, an item of the latest waiting rank is
 * evicted if that rank is later than the new item's: the newest item of the
 * workspace with the longest queue. The evicted item is returned in *evicted
 * (otherwise NULL). Returns false if the new item does not fit.
 */
bool cq_admission_push(struct cq_admission *admission,
		       struct cq_admission_item *item,
		       struct cq_admission_item **evicted);
/*
 * Removes and returns the next item to dispatch. Returns NULL if the queue is
 * empty, or if may_take is not NULL and returns false for that item; the item
 * then stays in the queue.
 */
struct cq_admission_item *
cq_admission_pop(struct cq_admission *admission,
		 bool (*may_take)(const struct cq_admission_item *item));
void cq_admission_remove(struct cq_admission *admission,
			 struct cq_admission_item *item);

uint32_t cq_admission_count(const struct cq_admission *admission);
uint32_t cq_admission_count_rank(const struct cq_admission *admission,
				 uint32_t rank);
uint64_t cq_admission_bytes(const struct cq_admission *admission);

/* Record an arrival or the duration of a call for the wait estimate. */
void cq_admission_note_arrival(struct cq_admission *admission, uint32_t rank,
			       int64_t now_ns);
void cq_admission_note_service(struct cq_admission *admission, uint32_t rank,
			       int64_t service_ns);
/* Mean call duration of a rank; that of all ranks until it has a sample. */
int64_t cq_admission_service_ns(const struct cq_admission *admission,
				uint32_t rank);
int64_t cq_admission_mean_service_ns(const struct cq_admission *admission);
/*
 * Expected time until a new request of the rank and workspace is dispatched,
 * given usable_slots slots of which free_slots are idle. INT64_MAX if there is
 * no usable slot.
 */
int64_t cq_admission_expected_wait_ns(const struct cq_admission *admission,
				      uint32_t rank, const char *workspace,
				      uint32_t weight, uint32_t usable_slots,
				      uint32_t free_slots, int64_t now_ns);

#endif
