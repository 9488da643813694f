/*
 * Time sources.
 *
 * Deadlines are stored in nanoseconds of a clock that keeps counting while the
 * system is suspended, so that a process resumed after a suspension finds its
 * leases expired. Tests use the manual clock.
 */
#ifndef CHESTNUTQUAY_CLOCK_H
#define CHESTNUTQUAY_CLOCK_H

#include <stdint.h>

#define CQ_NS_PER_US INT64_C(1000)
#define CQ_NS_PER_MS INT64_C(1000000)
#define CQ_NS_PER_S INT64_C(1000000000)
#define CQ_MS_PER_S INT64_C(1000)

struct cq_clock_ops {
	/* Nanoseconds since an arbitrary start; never goes back. */
	int64_t (*now_ns)(void *ctx);
	/* Milliseconds since 1970-01-01 00:00:00 UTC. */
	int64_t (*unix_ms)(void *ctx);
};

struct cq_clock {
	const struct cq_clock_ops *ops;
	void *ctx;
};

/* Reads CLOCK_BOOTTIME and CLOCK_REALTIME. */
const struct cq_clock *cq_clock_system(void);

static inline int64_t cq_clock_now_ns(const struct cq_clock *clock)
{
	return clock->ops->now_ns(clock->ctx);
}

static inline int64_t cq_clock_unix_ms(const struct cq_clock *clock)
{
	return clock->ops->unix_ms(clock->ctx);
}

/* A clock that only moves when a test advances it. Not thread-safe. */
struct cq_manual_clock;

struct cq_manual_clock *cq_manual_clock_create(int64_t now_ns, int64_t unix_ms);
void cq_manual_clock_destroy(struct cq_manual_clock *manual);
void cq_manual_clock_advance(struct cq_manual_clock *manual, int64_t by_ns);
const struct cq_clock *cq_manual_clock_get(struct cq_manual_clock *manual);

#endif
