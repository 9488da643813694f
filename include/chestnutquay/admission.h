/*
 * Bounded queues of waiting requests, by class and workspace.
 *
 * Classes are served by rank, 0 first. Each waiting class of a later rank is
 * owed one in CQ_ADMISSION_PATIENT_SHARE dispatches, so that none starves.
 * Within a class, workspaces share by weight (start-time fair queueing).
 *
 * The queue estimates how long a new request would wait; the router refuses
 * those whose deadline cannot be met instead of letting them expire.
 */
#ifndef CHESTNUTQUAY_ADMISSION_H
#define CHESTNUTQUAY_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Every 16th dispatch at the latest goes to a later class that waits. */
#define CQ_ADMISSION_PATIENT_SHARE 16
#define CQ_ADMISSION_MAX_RANKS 16

struct cq_admission;

/* Embedded in the user's request. */
struct cq_admission_item {
	uint32_t rank;
	uint32_t weight; /* of the workspace, at least 1 */
	const char *workspace;
	uint64_t bytes;
	/* Private. */
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
 * Adds an item. When the queue is full, the newest item of the latest rank
 * gives way if that rank is later than the new item's; it is removed and
 * returned in *evicted. Returns false if the new item itself has no room.
 */
bool cq_admission_push(struct cq_admission *admission,
		       struct cq_admission_item *item,
		       struct cq_admission_item **evicted);
/*
 * Takes out the next item to start; NULL if nothing waits, or if may_take (if
 * given) says no to that item.
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

/* Notes an arrival or a completed call, for the estimate. */
void cq_admission_note_arrival(struct cq_admission *admission, uint32_t rank,
			       int64_t now_ns);
void cq_admission_note_service(struct cq_admission *admission, uint32_t rank,
			       int64_t service_ns);
/* Mean time of a call of the rank; of all calls before its first one. */
int64_t cq_admission_service_ns(const struct cq_admission *admission,
				uint32_t rank);
int64_t cq_admission_mean_service_ns(const struct cq_admission *admission);
/*
 * Expected time until a new request of the rank and workspace starts, with
 * the given number of usable slots, of which some are free.
 */
int64_t cq_admission_expected_wait_ns(const struct cq_admission *admission,
				      uint32_t rank, const char *workspace,
				      uint32_t weight, uint32_t usable_slots,
				      uint32_t free_slots, int64_t now_ns);

#endif
