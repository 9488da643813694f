/*
 * The schedule of faults: storms, in which faults begin one after the other and
 * overlap, and calms, in which everything works and a worker leaves.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

#define STORM_S 8.0
#define CALM_S 6.0
/* Between the beginnings of two faults of a storm. */
#define MIN_GAP_S 0.1
#define MAX_GAP_S 1.0
/* After the beginning of a calm, when hosts are in touch again. */
#define DRAIN_AFTER_S 3.0

enum target {
	TARGET_HOST,
	TARGET_STORE_LINK,
	TARGET_WORKER,
	TARGET_PLATFORM,
};

struct fault {
	struct soak_faults *faults;
	const struct fault_kind *kind;
	int index; /* of the target */
	int pid;   /* that got the signal */
	ev_timer end;
};

struct fault_kind {
	const char *name;
	char letter; /* in the timeline */
	enum target target;
	int weight;
	double min_s;
	double max_s; /* 0: over at once */
	void (*begin)(struct fault *fault);
	void (*end)(struct fault *fault);
	bool outlasts_storm;
};

struct soak_faults {
	struct soak *soak;
	GRand *random;
	GPtrArray *active;
	ev_timer next;
	ev_timer phase;
	ev_timer drain;
	bool calm;
	bool ended;
	int draining; /* worker; -1: none */
	int count;
};

static struct soak *soak_of(const struct fault *fault)
{
	return fault->faults->soak;
}

static void send_signal(struct fault *fault, int host, int number)
{
	fault->pid = soak_host_pid(soak_of(fault), host);
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
	    soak_host_pid(soak_of(fault), fault->index) == fault->pid)
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

	for (host = 0; host < soak_of(fault)->options.hosts; host++)
		send_signal(fault, host, SIGKILL);
}

static struct soak_proxy *link_of(const struct fault *fault)
{
	if (fault->kind->target == TARGET_WORKER)
		return soak_of(fault)->worker_links[fault->index];
	return soak_of(fault)->store_links[fault->index];
}

static void begin_slow(struct fault *fault)
{
	soak_proxy_set(link_of(fault), SOAK_LINK_SLOW);
}

static void begin_no_requests(struct fault *fault)
{
	soak_proxy_set(link_of(fault), SOAK_LINK_NO_REQUESTS);
}

static void begin_no_answers(struct fault *fault)
{
	soak_proxy_set(link_of(fault), SOAK_LINK_NO_ANSWERS);
}

static void begin_silent(struct fault *fault)
{
	soak_proxy_set(link_of(fault), SOAK_LINK_SILENT);
}

static void begin_reset(struct fault *fault)
{
	soak_proxy_reset(link_of(fault));
}

/* What was under way is lost when the link works again. */
static void end_cut(struct fault *fault)
{
	soak_proxy_reset(link_of(fault));
	soak_proxy_set(link_of(fault), SOAK_LINK_FINE);
}

/* What was under way arrives late. */
static void end_link(struct fault *fault)
{
	soak_proxy_set(link_of(fault), SOAK_LINK_FINE);
}

static void set_all_store_links(struct fault *fault, enum soak_link link)
{
	int host;

	for (host = 0; host < soak_of(fault)->options.hosts; host++)
		soak_proxy_set(soak_of(fault)->store_links[host], link);
}

static void begin_store_away(struct fault *fault)
{
	set_all_store_links(fault, SOAK_LINK_SILENT);
}

static void begin_store_slow(struct fault *fault)
{
	set_all_store_links(fault, SOAK_LINK_SLOW);
}

static void end_store(struct fault *fault)
{
	set_all_store_links(fault, SOAK_LINK_FINE);
}

static void begin_reboot(struct fault *fault)
{
	char *path = g_strdup_printf("reboot?worker=i-%d", fault->index);

	soak_control(soak_of(fault), path, NULL, NULL, NULL);
	g_free(path);
}

static void begin_config(struct fault *fault)
{
	soak_config_change(soak_of(fault)->config);
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
	  begin_no_answers, end_cut, false },
	{ "store link silent", '-', TARGET_STORE_LINK, 3, 0.3, 5, begin_silent,
	  end_cut, false },
	{ "store away", 'A', TARGET_PLATFORM, 1, 0.5, 4, begin_store_away,
	  end_store, false },
	{ "store slow", 'd', TARGET_PLATFORM, 1, 0.5, 4, begin_store_slow,
	  end_store, false },
	{ "worker slow", 'd', TARGET_WORKER, 2, 0.5, 4, begin_slow, end_link,
	  false },
	{ "orders held", '>', TARGET_WORKER, 3, 0.3, 3, begin_no_requests,
	  end_link, false },
	{ "answers of a worker lost", '<', TARGET_WORKER, 3, 0.3, 3,
	  begin_no_answers, end_cut, false },
	/* Leases lapse after ten seconds. */
	{ "worker silent for long", '=', TARGET_WORKER, 1, 9, 14, begin_silent,
	  end_cut, true },
	{ "worker silent", '-', TARGET_WORKER, 2, 0.5, 5, begin_silent, end_cut,
	  false },
	{ "worker links reset", 'r', TARGET_WORKER, 3, 0, 0, begin_reset, NULL,
	  false },
	{ "worker starts again", 'B', TARGET_WORKER, 1, 0, 0, begin_reboot,
	  NULL, false },
	{ "configuration", 'c', TARGET_PLATFORM, 3, 0, 0, begin_config, NULL,
	  false },
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

static int targets_of(const struct soak *soak, enum target target)
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

static const struct fault_kind *draw_kind(GRand *random)
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
	ev_timer_stop(soak_of(fault)->loop, &fault->end);
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
	const struct fault_kind *kind = draw_kind(faults->random);
	struct fault *fault = g_new0(struct fault, 1);
	double for_s = kind->max_s
			       ? g_rand_double_range(faults->random,
						     kind->min_s, kind->max_s)
			       : 0;
	int now_ms = soak_now_ms(soak);

	fault->faults = faults;
	fault->kind = kind;
	fault->index = g_rand_int_range(faults->random, 0,
					targets_of(soak, kind->target));
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
		     g_rand_double_range(faults->random, MIN_GAP_S, MAX_GAP_S),
		     0.);
	ev_timer_start(loop, timer);
}

static void end_active(struct soak_faults *faults, bool lasting_too)
{
	guint i;

	for (i = faults->active->len; i-- > 0;) {
		struct fault *fault = faults->active->pdata[i];

		if (lasting_too || !fault->kind->outlasts_storm)
			fault_end(fault);
	}
}

static void tell_worker(struct soak_faults *faults, const char *verb)
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
	tell_worker(faults, "drain");
	soak_timeline_mark(
		faults->soak->timeline, SOAK_ROW_WORKER, faults->draining,
		now_ms,
		now_ms + (int)((CALM_S + STORM_S - DRAIN_AFTER_S) * 1000), 'D');
}

static void begin_calm(struct soak_faults *faults)
{
	ev_timer_stop(faults->soak->loop, &faults->next);
	end_active(faults, faults->ended);
	if (faults->draining >= 0)
		tell_worker(faults, "allow");
	faults->draining = -1;
	ev_timer_set(&faults->drain, DRAIN_AFTER_S, 0.);
	ev_timer_start(faults->soak->loop, &faults->drain);
}

/* The worker has been leaving for some calm seconds: every host knows. */
static void begin_storm(struct soak_faults *faults)
{
	if (faults->draining >= 0)
		tell_worker(faults, "bar");
	on_next(faults->soak->loop, &faults->next, 0);
}

static void on_phase(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct soak_faults *faults = timer->data;

	(void)events;
	faults->calm = !faults->calm;
	if (faults->calm)
		begin_calm(faults);
	else
		begin_storm(faults);
	ev_timer_set(timer, faults->calm ? CALM_S : STORM_S, 0.);
	ev_timer_start(loop, timer);
}

struct soak_faults *soak_faults_create(struct soak *soak)
{
	struct soak_faults *faults = g_new0(struct soak_faults, 1);

	faults->soak = soak;
	faults->random = g_rand_new_with_seed((guint32)soak->options.seed);
	faults->active = g_ptr_array_new();
	faults->draining = -1;
	ev_timer_init(&faults->next, on_next, MAX_GAP_S, 0.);
	ev_timer_init(&faults->phase, on_phase, STORM_S, 0.);
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
	begin_calm(faults);
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
