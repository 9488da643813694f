/*
 * Accelerator capacity of the fleet, for comparing guarantees with it.
 *
 * Workers report their size only to the owner of their data centre. Each owner
 * publishes a summary per rack in the store under capacity/DC; every daemon
 * that checks settings reads the summaries periodically. The summaries are
 * advisory: they may be some seconds old.
 */
#ifndef CQ_PROGRAMS_CAPACITY_H
#define CQ_PROGRAMS_CAPACITY_H

#include "chestnutquay/controller.h"
#include "chestnutquay/settings.h"
#include "programs/common/cluster.h"

#define CQ_CAPACITY_PREFIX "capacity/"

struct cq_capacity_reader;

struct cq_capacity_reader *
cq_capacity_reader_create(struct cq_cluster *cluster);
void cq_capacity_reader_destroy(struct cq_capacity_reader *reader);
/* Returns NULL until a summary was read. reader is a cq_capacity_reader. */
const struct cq_settings_capacity *cq_capacity_reader_get(void *reader);

struct cq_capacity_publisher;

struct cq_capacity_publisher *
cq_capacity_publisher_create(struct cq_cluster *cluster);
void cq_capacity_publisher_destroy(struct cq_capacity_publisher *publisher);
/*
 * Writes the summary if it has changed or was not written recently. Writes are
 * rate-limited, so this may be called often.
 */
void cq_capacity_publish(struct cq_capacity_publisher *publisher,
			 const struct cq_controller_rack *racks, uint32_t count,
			 int64_t now_ns);

#endif
