#include "chestnutquay/clock.h"

#include <assert.h>
#include <glib.h>
#include <time.h>

static int64_t system_now_ns(void *ctx);
static int64_t system_unix_ms(void *ctx);
static int64_t manual_now_ns(void *ctx);
static int64_t manual_unix_ms(void *ctx);

struct cq_manual_clock {
	struct cq_clock clock;
	int64_t now_ns;
	int64_t start_ns;
	int64_t start_unix_ms;
};

static const struct cq_clock_ops system_ops = {
	.now_ns = system_now_ns,
	.unix_ms = system_unix_ms,
};

static const struct cq_clock_ops manual_ops = {
	.now_ns = manual_now_ns,
	.unix_ms = manual_unix_ms,
};

static const struct cq_clock system_clock = { &system_ops, NULL };

static int64_t system_now_ns(void *ctx)
{
	struct timespec ts;

	(void)ctx;
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return ts.tv_sec * CQ_NS_PER_S + ts.tv_nsec;
}

static int64_t system_unix_ms(void *ctx)
{
	struct timespec ts;

	(void)ctx;
	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * CQ_MS_PER_S + ts.tv_nsec / CQ_NS_PER_MS;
}

const struct cq_clock *cq_clock_system(void)
{
	return &system_clock;
}

static int64_t manual_now_ns(void *ctx)
{
	const struct cq_manual_clock *manual = ctx;

	return manual->now_ns;
}

static int64_t manual_unix_ms(void *ctx)
{
	const struct cq_manual_clock *manual = ctx;

	return manual->start_unix_ms +
	       (manual->now_ns - manual->start_ns) / CQ_NS_PER_MS;
}

struct cq_manual_clock *cq_manual_clock_create(int64_t now_ns, int64_t unix_ms)
{
	struct cq_manual_clock *manual = g_new0(struct cq_manual_clock, 1);

	manual->clock.ops = &manual_ops;
	manual->clock.ctx = manual;
	manual->now_ns = now_ns;
	manual->start_ns = now_ns;
	manual->start_unix_ms = unix_ms;
	return manual;
}

void cq_manual_clock_destroy(struct cq_manual_clock *manual)
{
	g_free(manual);
}

void cq_manual_clock_advance(struct cq_manual_clock *manual, int64_t by_ns)
{
	assert(by_ns >= 0);
	manual->now_ns += by_ns;
}

const struct cq_clock *cq_manual_clock_get(struct cq_manual_clock *manual)
{
	return &manual->clock;
}
