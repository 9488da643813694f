/*
 * Schedule of faults. Fault phases, in which overlapping faults begin one after
 * the other, alternate with recovery phases, in which faults of the last phase
 * have ended and a worker is drained.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

#define FAULT_PHASE_S 8.0
#define RECOVERY_PHASE_S 6.0
/* Interval between the starts of two faults in a fault phase. */
#define FAULT_INTERVAL_MIN_S 0.1
#define FAULT_INTERVAL_MAX_S 1.0
/* Hosts have reconnected this long after the start of a recovery phase. */
#define DRAIN_DELAY_S 3.0

enum target {
	TARGET_HOST,
	TARGET_STORE_LINK,
	TARGET_WORKER,
	TARGET_PLATFORM,
};

struct fault {
	struct soak_faults *faults;
	const struct fault_kind *kind;
	int index; /* index of the target among those of its kind */
	int pid;   /* process that received the signal; 0: the host was down */
	ev_timer end;
};

struct fault_kind {
	const char *name;
	char letter; /* mark in the timeline */
	enum target target;
	int weight; /* relative frequency */
	double min_s;
	double max_s; /* 0: the fault has no duration */
	void (*begin)(struct fault *fault);
	void (*end)(struct fault *fault);
	bool outlasts_phase; /* may go on in the recovery phase */
};

struct soak_faults {
	struct soak *soak;
	GRand *random;
	GPtrArray *active;
	ev_timer next;
	ev_timer phase;
	ev_timer drain;
	bool recovering;
	bool ended;
	int draining; /* index of the draining worker; -1: none */
	int count;
};

static struct soak *fault_soak(const struct fault *fault)
{
	return fault->faults->soak;
}

static void send_signal(struct fault *fault, int host, int number)
{
	fault->pid = soak_host_pid(fault_soak(fault), host);
	if (fault->pid)
		kill(fault->pid, number);
}

static void begin_stop(struct fault *fault)
{
	send_signal(fault, fault->index, SIGSTOP);
}

static void end_stop(struct fault *fault)
{
	if (fault->pid &&
	    soak_host_pid(fault_soak(fault), fault->index) == fault->pid)
		kill(fault->pid, SIGCONT);
}

static void begin_kill(struct fault *fault)
{
	send_signal(fault, fault->index, SIGKILL);
}

static void begin_terminate(struct fault *fault)
{
	send_signal(fault, fault->index, SIGTERM);
}

static void begin_kill_all(struct fault *fault)
{
	int host;

	for (host = 0; host < fault_soak(fault)->options.hosts; host++)
		send_signal(fault, host, SIGKILL);
}

static struct soak_proxy *fault_link(const struct fault *fault)
{
	if (fault->kind->target == TARGET_WORKER)
		return fault_soak(fault)->worker_links[fault->index];
	return fault_soak(fault)->store_links[fault->index];
}

static void begin_slow(struct fault *fault)
{
	soak_proxy_set_link(fault_link(fault), SOAK_LINK_SLOW);
}

static void begin_no_requests(struct fault *fault)
{
	soak_proxy_set_link(fault_link(fault), SOAK_LINK_NO_REQUESTS);
}

static void begin_no_answers(struct fault *fault)
{
	soak_proxy_set_link(fault_link(fault), SOAK_LINK_NO_ANSWERS);
}

static void begin_silent(struct fault *fault)
{
	soak_proxy_set_link(fault_link(fault), SOAK_LINK_SILENT);
}

static void begin_reset(struct fault *fault)
{
	soak_proxy_reset(fault_link(fault));
}

/* Restores the link; bytes in flight are lost. */
static void end_link_with_reset(struct fault *fault)
{
	soak_proxy_reset(fault_link(fault));
	soak_proxy_set_link(fault_link(fault), SOAK_LINK_NORMAL);
}

/* Restores the link; bytes that were held back arrive late. */
static void end_link(struct fault *fault)
{
	soak_proxy_set_link(fault_link(fault), SOAK_LINK_NORMAL);
}

static void set_all_store_links(struct fault *fault, enum soak_link link)
{
	int host;

	for (host = 0; host < fault_soak(fault)->options.hosts; host++)
		soak_proxy_set_link(fault_soak(fault)->store_links[host], link);
}

static void begin_store_unreachable(struct fault *fault)
{
	set_all_store_links(fault, SOAK_LINK_SILENT);
}

static void begin_store_slow(struct fault *fault)
{
	set_all_store_links(fault, SOAK_LINK_SLOW);
}

static void end_store(struct fault *fault)
{
	set_all_store_links(fault, SOAK_LINK_NORMAL);
}

static void begin_worker_restart(struct fault *fault)
{
	char *path = g_strdup_printf("reboot?worker=i-%d", fault->index);

	soak_control(fault_soak(fault), path, NULL, NULL, NULL);
	g_free(path);
}

static void begin_config(struct fault *fault)
{
	soak_config_change(fault_soak(fault)->config);
}

static const struct fault_kind kinds[] = {
	{ "host stopped", 'S', TARGET_HOST, 3, 0.2, 5, begin_stop, end_stop,
	  false },
	{ "host killed", 'K', TARGET_HOST, 4, 0, 0, begin_kill, NULL, false },
	{ "host terminated", 'T', TARGET_HOST, 3, 0, 0, begin_terminate, NULL,
	  false },
	{ "all hosts killed", 'K', TARGET_PLATFORM, 1, 0, 0, begin_kill_all,
	  NULL, false },
	{ "store link slow", 'd', TARGET_STORE_LINK, 2, 0.5, 4, begin_slow,
	  end_link, false },
	{ "store link reset", 'r', TARGET_STORE_LINK, 3, 0, 0, begin_reset,
	  NULL, false },
	{ "requests to the store held", '>', TARGET_STORE_LINK, 3, 0.3, 4,
	  begin_no_requests, end_link, false },
	{ "answers of the store lost", '<', TARGET_STORE_LINK, 3, 0.3, 4,
	  begin_no_answers, end_link_with_reset, false },
	{ "store link silent", '-', TARGET_STORE_LINK, 3, 0.3, 5, begin_silent,
	  end_link_with_reset, false },
	{ "store unreachable", 'A', TARGET_PLATFORM, 1, 0.5, 4,
	  begin_store_unreachable, end_store, false },
	{ "store slow", 'd', TARGET_PLATFORM, 1, 0.5, 4, begin_store_slow,
	  end_store, false },
	{ "worker slow", 'd', TARGET_WORKER, 2, 0.5, 4, begin_slow, end_link,
	  false },
	{ "commands held", '>', TARGET_WORKER, 3, 0.3, 3, begin_no_requests,
	  end_link, false },
	{ "answers of a worker lost", '<', TARGET_WORKER, 3, 0.3, 3,
	  begin_no_answers, end_link_with_reset, false },
	/* Leases expire after 10 s, so this fault may outlast a lease. */
	{ "worker silent for long", '=', TARGET_WORKER, 1, 9, 14, begin_silent,
	  end_link_with_reset, true },
	{ "worker silent", '-', TARGET_WORKER, 2, 0.5, 5, begin_silent,
	  end_link_with_reset, false },
	{ "worker links reset", 'r', TARGET_WORKER, 3, 0, 0, begin_reset, NULL,
	  false },
	{ "worker restarted", 'B', TARGET_WORKER, 1, 0, 0, begin_worker_restart,
	  NULL, false },
	{ "configuration changed", 'c', TARGET_PLATFORM, 3, 0, 0, begin_config,
	  NULL, false },
};

static enum soak_row row_of(enum target target)
{
	static const enum soak_row rows[] = {
		[TARGET_HOST] = SOAK_ROW_HOST,
		[TARGET_STORE_LINK] = SOAK_ROW_STORE_LINK,
		[TARGET_WORKER] = SOAK_ROW_WORKER,
		[TARGET_PLATFORM] = SOAK_ROW_PLATFORM,
	};

	return rows[target];
}

static int target_count(const struct soak *soak, enum target target)
{
	switch (target) {
	case TARGET_HOST:
	case TARGET_STORE_LINK:
		return soak->options.hosts;
	case TARGET_WORKER:
		return soak->options.workers;
	default:
		return 1;
	}
}

static const struct fault_kind *pick_kind(GRand *random)
{
	int total = 0;
	size_t i;
	int drawn;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		total += kinds[i].weight;
	drawn = g_rand_int_range(random, 0, total);
	for (i = 0; drawn >= kinds[i].weight; i++)
		drawn -= kinds[i].weight;
	return &kinds[i];
}

static void fault_end(struct fault *fault)
{
	ev_timer_stop(fault_soak(fault)->loop, &fault->end);
	if (fault->kind->end)
		fault->kind->end(fault);
	g_ptr_array_remove_fast(fault->faults->active, fault);
	g_free(fault);
}

static void on_end(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	fault_end(timer->data);
}

static void begin_fault(struct soak_faults *faults)
{
	struct soak *soak = faults->soak;
	const struct fault_kind *kind = pick_kind(faults->random);
	struct fault *fault = g_new0(struct fault, 1);
	double for_s = kind->max_s
			       ? g_rand_double_range(faults->random,
						     kind->min_s, kind->max_s)
			       : 0;
	int now_ms = soak_now_ms(soak);

	fault->faults = faults;
	fault->kind = kind;
	fault->index = g_rand_int_range(faults->random, 0,
					target_count(soak, kind->target));
	faults->count++;
	printf("%6d ms  %s %d, %.1f s\n", now_ms, kind->name, fault->index,
	       for_s);
	soak_timeline_mark(soak->timeline, row_of(kind->target), fault->index,
			   now_ms, now_ms + (int)(for_s * 1000), kind->letter);
	g_ptr_array_add(faults->active, fault);
	kind->begin(fault);
	ev_timer_init(&fault->end, on_end, for_s, 0.);
	fault->end.data = fault;
	ev_timer_start(soak->loop, &fault->end);
}

static void on_next(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct soak_faults *faults = timer->data;

	(void)events;
	begin_fault(faults);
	ev_timer_set(timer,
		     g_rand_double_range(faults->random, FAULT_INTERVAL_MIN_S,
					 FAULT_INTERVAL_MAX_S),
		     0.);
	ev_timer_start(loop, timer);
}

static void end_active(struct soak_faults *faults, bool include_outlasting)
{
	guint i;

	for (i = faults->active->len; i-- > 0;) {
		struct fault *fault = faults->active->pdata[i];

		if (include_outlasting || !fault->kind->outlasts_phase)
			fault_end(fault);
	}
}

static void control_worker(struct soak_faults *faults, const char *verb)
{
	char *path = g_strdup_printf("%s?worker=i-%d", verb, faults->draining);

	soak_control(faults->soak, path, NULL, NULL, NULL);
	g_free(path);
}

static void on_drain(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct soak_faults *faults = timer->data;
	int now_ms = soak_now_ms(faults->soak);

	(void)loop;
	(void)events;
	faults->draining = g_rand_int_range(faults->random, 0,
					    faults->soak->options.workers);
	control_worker(faults, "drain");
	soak_timeline_mark(faults->soak->timeline, SOAK_ROW_WORKER,
			   faults->draining, now_ms,
			   now_ms + (int)((RECOVERY_PHASE_S + FAULT_PHASE_S -
					   DRAIN_DELAY_S) *
					  1000),
			   'D');
}

static void begin_recovery_phase(struct soak_faults *faults)
{
	ev_timer_stop(faults->soak->loop, &faults->next);
	end_active(faults, faults->ended);
	if (faults->draining >= 0)
		control_worker(faults, "allow");
	faults->draining = -1;
	ev_timer_set(&faults->drain, DRAIN_DELAY_S, 0.);
	ev_timer_start(faults->soak->loop, &faults->drain);
}

/*
 * The worker has been draining since DRAIN_DELAY_S into the recovery phase, so
 * every host knows: from now on, a start on it violates an invariant.
 */
static void begin_fault_phase(struct soak_faults *faults)
{
	if (faults->draining >= 0)
		control_worker(faults, "bar");
	on_next(faults->soak->loop, &faults->next, 0);
}

static void on_phase(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct soak_faults *faults = timer->data;

	(void)events;
	faults->recovering = !faults->recovering;
	if (faults->recovering)
		begin_recovery_phase(faults);
	else
		begin_fault_phase(faults);
	ev_timer_set(timer,
		     faults->recovering ? RECOVERY_PHASE_S : FAULT_PHASE_S, 0.);
	ev_timer_start(loop, timer);
}

struct soak_faults *soak_faults_create(struct soak *soak)
{
	struct soak_faults *faults = g_new0(struct soak_faults, 1);

	faults->soak = soak;
	faults->random = g_rand_new_with_seed((guint32)soak->options.seed);
	faults->active = g_ptr_array_new();
	faults->draining = -1;
	ev_timer_init(&faults->next, on_next, FAULT_INTERVAL_MAX_S, 0.);
	ev_timer_init(&faults->phase, on_phase, FAULT_PHASE_S, 0.);
	ev_timer_init(&faults->drain, on_drain, 0., 0.);
	faults->next.data = faults;
	faults->phase.data = faults;
	faults->drain.data = faults;
	ev_timer_start(soak->loop, &faults->next);
	ev_timer_start(soak->loop, &faults->phase);
	return faults;
}

int soak_faults_count(const struct soak_faults *faults)
{
	return faults->count;
}

void soak_faults_end(struct soak_faults *faults)
{
	if (faults->ended)
		return;
	faults->ended = true;
	ev_timer_stop(faults->soak->loop, &faults->phase);
	begin_recovery_phase(faults);
	ev_timer_stop(faults->soak->loop, &faults->drain);
}

void soak_faults_destroy(struct soak_faults *faults)
{
	if (!faults)
		return;
	soak_faults_end(faults);
	g_ptr_array_unref(faults->active);
	g_rand_free(faults->random);
	g_free(faults);
}
