/* Minions: they start what they are told, hold it under a lease, and list it.
 */
#include <stdlib.h>
#include <string.h>

#include "internal.h"

#define MAX_RUNS 256
#define MAX_ENDS 4096
#define MAX_JOBS 512
#define MAX_STEPS 8
#define LISTED_ENDS 500
#define REMOTE_FACTOR 3
#define TICK_MS 5

const struct minion_kind KIND_A = { "a", 128000, 524288, 8 };

struct step {
	int count, cpu, mem_mb, gpus;
	bool gang, same_rack, long_running;
	char label[64], data_rack[64];
};

struct job {
	char id[20];
	struct step steps[MAX_STEPS];
	int step_count;
};

struct run {
	char task[64];
	int run;
	const struct step *step;
	int64_t started_ms, stop_at_ms; /* stop_at_ms: 0 unless stopped */
	int64_t work_ms;		/* of the task, by its spec */
	int64_t begun_ms;		/* when its work began; 0: not yet */
	bool fails;
};

struct end {
	int number;
	char task[64];
	int run;
	const char *how;
};

struct highest {
	char task[64];
	int run;
};

struct minion {
	char id[32];
	char service[64];
	char address[32];
	int zone, rack;
	struct minion_kind kind;
	struct server *server;
	bool up, registered, draining;
	int64_t born_unix_ms, clock_base_ms;
	int64_t next_beat_ms, gone_ms;
	int64_t refuse_until_ms;
	int64_t fence;
	int64_t lease_end_ms; /* on its clock */
	int seq;
	struct run runs[MAX_RUNS];
	int run_count;
	struct end ends[MAX_ENDS];
	int end_count, next_number;
	struct highest barred[MAX_ENDS];
	int barred_count;
};

struct task_state {
	char task[64];
	struct task_seen seen;
};

static struct minion minions[MAX_MINIONS];
static int minion_count;
static struct job jobs[MAX_JOBS];
static int job_count;
static struct task_state *states;
static int state_count;
static int limit_breaches, route_breaches, twice_breaches;
static pthread_cond_t ended = PTHREAD_COND_INITIALIZER;

static int64_t clock_of(const struct minion *m)
{
	return now_ms() - m->clock_base_ms;
}

static int field(const json_t *o, const char *name)
{
	return (int)json_number_value(json_object_get(o, name));
}

static void text_field(const json_t *o, const char *name, char *out,
		       size_t bytes)
{
	const char *s = json_string_value(json_object_get(o, name));

	snprintf(out, bytes, "%s", s ? s : "");
}

void job_note(const char *id, const char *body)
{
	json_t *root = json_loads(body, 0, NULL);
	const json_t *steps = json_object_get(root, "steps");
	struct job *job;

	lock();
	for (int i = 0; i < job_count; i++)
		if (!strcmp(jobs[i].id, id)) {
			unlock();
			json_decref(root);
			return;
		}
	job = &jobs[job_count++];
	snprintf(job->id, sizeof(job->id), "%s", id);
	for (size_t i = 0; i < json_array_size(steps) && i < MAX_STEPS; i++) {
		const json_t *o = json_array_get(steps, i);
		struct step *s = &job->steps[job->step_count++];

		s->count = field(o, "count");
		s->cpu = field(o, "cpu");
		s->mem_mb = field(o, "memMb");
		s->gpus = field(o, "gpus");
		s->gang = json_is_true(json_object_get(o, "gang"));
		s->same_rack = json_is_true(json_object_get(o, "sameRack"));
		s->long_running =
			json_is_true(json_object_get(o, "longRunning"));
		text_field(o, "requiredLabel", s->label, sizeof(s->label));
		text_field(o, "dataRack", s->data_rack, sizeof(s->data_rack));
	}
	unlock();
	json_decref(root);
}

static const struct step *step_of(const char *task)
{
	int k, step, index;

	for (int i = 0; i < job_count; i++)
		if (!strncmp(jobs[i].id, task, 16) &&
		    sscanf(task + 16, ".%d.%d.%d", &k, &step, &index) == 3 &&
		    step < jobs[i].step_count)
			return &jobs[i].steps[step];
	return NULL;
}

static struct task_seen *state_of(const char *task)
{
	for (int i = 0; i < state_count; i++)
		if (!strcmp(states[i].task, task))
			return &states[i].seen;
	states = realloc(states, (size_t)(state_count + 1) * sizeof(*states));
	memset(&states[state_count], 0, sizeof(*states));
	snprintf(states[state_count].task, 64, "%s", task);
	return &states[state_count++].seen;
}

static void rack_name(const struct minion *m, char *out)
{
	sprintf(out, "r%d-%d", m->zone, m->rack);
}

static void beat(struct minion *m)
{
	char key[64], value[640];

	if (!m->registered)
		record("%s (%s, %d gpus, born %lld) registers itself", m->id,
		       m->kind.kind, m->kind.gpus, (long long)m->born_unix_ms);
	m->registered = true;
	m->next_beat_ms = now_ms() + HEARTBEAT_MS;
	snprintf(key, sizeof(key), "servers/%s", m->id);
	snprintf(value, sizeof(value),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z%d\","
		 "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
		 "\"coldRemainingMs\":0,\"capacity\":{\"cpu\":%d,\"memMb\":%d,"
		 "\"gpus\":%d},\"labels\":[\"%s\",\"r%d-%d\"],\"clockMs\":%lld,"
		 "\"born\":%lld,\"seq\":%d%s}",
		 m->service, m->address, m->zone,
		 m->draining ? "draining" : "ready", m->kind.cpu,
		 m->kind.mem_mb, m->kind.gpus, m->kind.kind, m->zone, m->rack,
		 (long long)clock_of(m), (long long)m->born_unix_ms, ++m->seq,
		 m->draining ? ",\"remainingMs\":2000" : "");
	store_put_locked(key, value);
}

static void note_end(struct minion *m, int i, const char *how)
{
	struct run *r = &m->runs[i];
	struct task_seen *seen = state_of(r->task);
	struct end *e;

	seen->running--;
	seen->last_end_ms = now_ms();
	seen->done += !strcmp(how, "done");
	seen->failed += !strcmp(how, "failed");
	record("%s: %s run %d ends %s", m->id, r->task, r->run, how);
	if (m->end_count < MAX_ENDS) {
		e = &m->ends[m->end_count++];
		e->number = m->next_number++;
		e->run = r->run;
		e->how = how;
		snprintf(e->task, sizeof(e->task), "%s", r->task);
	}
	if (m->barred_count < MAX_ENDS) {
		m->barred[m->barred_count].run = r->run;
		snprintf(m->barred[m->barred_count++].task, 64, "%s", r->task);
	}
	m->runs[i] = m->runs[--m->run_count];
	pthread_cond_broadcast(&ended);
}

/* Other members of the run's gang, and whether they are on other racks. */
static int gang_present(const struct run *r, bool *spread)
{
	char first[16] = "", rack[16];
	const char *dot = strrchr(r->task, '.');
	int count = 0;

	*spread = false;
	for (int i = 0; i < minion_count; i++)
		for (int k = 0; k < minions[i].run_count; k++) {
			const struct run *o = &minions[i].runs[k];

			if (o->run != r->run ||
			    strncmp(o->task, r->task,
				    (size_t)(dot - r->task) + 1))
				continue;
			count++;
			rack_name(&minions[i], rack);
			if (!*first)
				strcpy(first, rack);
			else if (strcmp(first, rack))
				*spread = true;
		}
	return count;
}

static void end_gang_done(const struct run *r)
{
	char prefix[64];
	int run = r->run;

	snprintf(prefix, sizeof(prefix), "%.*s",
		 (int)(strrchr(r->task, '.') - r->task) + 1, r->task);
	for (int i = 0; i < minion_count; i++)
		for (int k = minions[i].run_count; k-- > 0;)
			if (minions[i].runs[k].run == run &&
			    !strncmp(minions[i].runs[k].task, prefix,
				     strlen(prefix)))
				note_end(&minions[i], k, "done");
}

/* Returns false if the list of runs has changed. */
static bool tick_run(struct minion *m, int i, int64_t now)
{
	struct run *r = &m->runs[i];
	const struct step *s = r->step;
	int64_t factor = 1;
	char rack[16];
	bool spread = false;

	if (r->stop_at_ms && now >= r->stop_at_ms) {
		note_end(m, i, "stopped");
		return false;
	}
	if (r->fails) {
		note_end(m, i, "failed");
		return false;
	}
	if (s->gang && gang_present(r, &spread) < s->count) {
		if (r->begun_ms)
			note_end(m, i, "broken");
		else if (now - r->started_ms > GANG_TIMEOUT_MS)
			note_end(m, i, "alone");
		else
			return true;
		return false;
	}
	if (!r->begun_ms)
		r->begun_ms = now;
	rack_name(m, rack);
	if ((s->gang && s->same_rack && spread) ||
	    (*s->data_rack && strcmp(s->data_rack, rack)))
		factor = REMOTE_FACTOR;
	if (s->long_running || now - r->begun_ms < r->work_ms * factor)
		return true;
	if (s->gang)
		end_gang_done(r);
	else
		note_end(m, i, "done");
	return false;
}

static void end_all(struct minion *m, const char *how)
{
	while (m->run_count)
		note_end(m, m->run_count - 1, how);
}

/* The runs of a process that is gone: nobody lists their ends. */
static void drop_all(struct minion *m)
{
	for (int i = 0; i < m->run_count; i++) {
		struct task_seen *seen = state_of(m->runs[i].task);

		seen->running--;
		seen->last_end_ms = now_ms();
		record("%s: %s run %d is gone with the process", m->id,
		       m->runs[i].task, m->runs[i].run);
	}
	m->run_count = 0;
}

static void tick(struct minion *m)
{
	int64_t now = now_ms();
	char key[64];

	if (!m->up)
		return;
	if (m->gone_ms && now >= m->gone_ms) {
		record("%s exits", m->id);
		drop_all(m);
		m->up = false;
		server_kill(m->server);
		snprintf(key, sizeof(key), "servers/%s", m->id);
		store_delete_locked(key);
		return;
	}
	if (now >= m->next_beat_ms)
		beat(m);
	if (m->run_count && clock_of(m) > m->lease_end_ms)
		end_all(m, "lapsed");
	for (int i = m->run_count; i-- > 0;)
		if (!tick_run(m, i, now))
			i = m->run_count;
}

static void *tick_all(void *arg)
{
	for (;;) {
		sleep_ms(TICK_MS);
		lock();
		for (int i = 0; i < minion_count; i++)
			tick(&minions[i]);
		unlock();
	}
	return arg;
}

static json_t *clock_json(const struct minion *m)
{
	return json_pack("{s:I,s:I}", "clockMs", (json_int_t)clock_of(m),
			 "born", (json_int_t)m->born_unix_ms);
}

static int refuse(const struct minion *m, const char *reason, json_t **out)
{
	*out = clock_json(m);
	json_object_set_new(*out, "reason", json_string(reason));
	return 409;
}

static void extend(struct minion *m, const json_t *root)
{
	int64_t wanted =
		json_integer_value(json_object_get(root, "deadlineMs"));
	int64_t most = clock_of(m) + HOLD_MAX_MS;

	if (wanted > most)
		wanted = most;
	if (wanted > m->lease_end_ms)
		m->lease_end_ms = wanted;
}

static int highest_barred(const struct minion *m, const char *task)
{
	int highest = 0;

	for (int i = 0; i < m->barred_count; i++)
		if (!strcmp(m->barred[i].task, task) &&
		    m->barred[i].run > highest)
			highest = m->barred[i].run;
	return highest;
}

/* The checks of the rules, on each start. */
static void check_start(struct minion *m, const char *task,
			const struct step *s)
{
	int cpu = s->cpu, mem_mb = s->mem_mb, gpus = s->gpus;
	char rack[16];

	for (int i = 0; i < m->run_count; i++) {
		cpu += m->runs[i].step->cpu;
		mem_mb += m->runs[i].step->mem_mb;
		gpus += m->runs[i].step->gpus;
	}
	if (cpu > m->kind.cpu || mem_mb > m->kind.mem_mb ||
	    gpus > m->kind.gpus) {
		limit_breaches++;
		record("LIMIT: the start of %s brings %s to %d of %d cpu, %d "
		       "of %d MB, %d of %d gpus",
		       task, m->id, cpu, m->kind.cpu, mem_mb, m->kind.mem_mb,
		       gpus, m->kind.gpus);
	}
	rack_name(m, rack);
	if (*s->label && strcmp(s->label, m->kind.kind) &&
	    strcmp(s->label, rack)) {
		route_breaches++;
		record("ROUTE: %s starts on %s without the label %s", task,
		       m->id, s->label);
	}
	if (state_of(task)->running || state_of(task)->done) {
		twice_breaches++;
		record("TWICE: %s starts on %s though it runs or is done", task,
		       m->id);
	}
}

static int serve_start(struct minion *m, const json_t *root, json_t **out)
{
	const char *task = json_string_value(json_object_get(root, "task"));
	const char *spec = json_string_value(json_object_get(root, "spec"));
	int number = field(root, "run");
	int64_t deadline =
		json_integer_value(json_object_get(root, "deadlineMs"));
	const struct step *s = task ? step_of(task) : NULL;
	struct task_seen *seen;
	struct run *r;

	if (!s || !spec)
		return 400;
	if (number <= highest_barred(m, task)) {
		extend(m, root);
		return refuse(m, "old", out);
	}
	*out = clock_json(m);
	for (int i = 0; i < m->run_count; i++)
		if (!strcmp(m->runs[i].task, task) && m->runs[i].run == number)
			return 200;
	if (deadline <= clock_of(m)) {
		json_decref(*out);
		return refuse(m, "late", out);
	}
	if (m->run_count == MAX_RUNS) {
		json_decref(*out);
		*out = NULL;
		return 503;
	}
	check_start(m, task, s);
	extend(m, root);
	r = &m->runs[m->run_count++];
	memset(r, 0, sizeof(*r));
	snprintf(r->task, sizeof(r->task), "%s", task);
	r->run = number;
	r->step = s;
	r->started_ms = now_ms();
	if (sscanf(spec, "ms=%lld", (long long *)&r->work_ms) != 1)
		r->work_ms = 1000;
	seen = state_of(task);
	seen->starts++;
	seen->running++;
	if (!seen->first_start_ms)
		seen->first_start_ms = now_ms();
	record("%s: %s run %d starts", m->id, task, number);
	return 200;
}

static int serve_stop(struct minion *m, const json_t *root, json_t **out)
{
	const char *task = json_string_value(json_object_get(root, "task"));
	int number = field(root, "run");

	if (!task)
		return 400;
	*out = clock_json(m);
	for (int i = 0; i < m->run_count; i++)
		if (!strcmp(m->runs[i].task, task) &&
		    m->runs[i].run == number) {
			if (!m->runs[i].stop_at_ms)
				m->runs[i].stop_at_ms = now_ms() + STOP_MS / 2;
			record("%s: %s run %d is to stop", m->id, task, number);
			return 200;
		}
	if (m->barred_count < MAX_ENDS) {
		m->barred[m->barred_count].run = number;
		snprintf(m->barred[m->barred_count++].task, 64, "%s", task);
	}
	return 200;
}

static int serve_hold(struct minion *m, const json_t *root, json_t **out)
{
	int seen = field(root, "lastSeen");
	int64_t until = now_ms() + field(root, "waitMs");
	int64_t born = m->born_unix_ms;
	json_t *running = json_array(), *finished = json_array();
	int kept = 0;

	extend(m, root);
	for (int i = 0; i < m->end_count; i++)
		if (m->ends[i].number > seen)
			m->ends[kept++] = m->ends[i];
	m->end_count = kept;
	while (!m->end_count && now_ms() < until && m->up &&
	       m->born_unix_ms == born) {
		struct timespec at;

		clock_gettime(CLOCK_REALTIME, &at);
		at.tv_nsec += 20000000;
		if (at.tv_nsec >= 1000000000) {
			at.tv_sec++;
			at.tv_nsec -= 1000000000;
		}
		wait_locked(&ended, &at);
	}
	if (!m->up || m->born_unix_ms != born) {
		json_decref(running);
		json_decref(finished);
		return STATUS_RESET;
	}
	for (int i = 0; i < m->run_count; i++)
		json_array_append_new(running,
				      json_pack("[s,i,s,i,i]", m->runs[i].task,
						m->runs[i].run, "", 100,
						m->runs[i].step->cpu));
	for (int i = 0; i < m->end_count && i < LISTED_ENDS; i++)
		json_array_append_new(
			finished, json_pack("[i,s,i,s,s]", m->ends[i].number,
					    m->ends[i].task, m->ends[i].run,
					    m->ends[i].how, ""));
	*out = clock_json(m);
	json_object_set_new(*out, "running", running);
	json_object_set_new(*out, "finished", finished);
	return 200;
}

static int handle(void *ctx, struct request *r, json_t **out)
{
	struct minion *m = ctx;
	json_t *root = json_loads(r->body ? r->body : "", 0, NULL);
	int64_t fence =
		json_integer_value(json_object_get(root, "fencingToken"));
	int status = 404;

	lock();
	if (!m->up)
		status = STATUS_RESET;
	else if (!strcmp(r->path, "/health"))
		status = 200;
	else if (now_ms() < m->refuse_until_ms) {
		const char *task =
			json_string_value(json_object_get(root, "task"));

		record("%s refuses %s %s: 503", m->id, r->path,
		       task ? task : "");
		status = 503;
	} else if (*r->expect_instance && strcmp(r->expect_instance, m->id))
		status = 421;
	else if (fence < m->fence)
		status = refuse(m, "fence", out);
	else {
		m->fence = fence;
		if (!strcmp(r->path, "/run-start"))
			status = serve_start(m, root, out);
		else if (!strcmp(r->path, "/run-stop"))
			status = serve_stop(m, root, out);
		else if (!strcmp(r->path, "/hold"))
			status = serve_hold(m, root, out);
		else if (!strcmp(r->path, "/pace")) {
			*out = clock_json(m);
			status = 200;
		}
	}
	unlock();
	json_decref(root);
	return status;
}

static int64_t unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void live(struct minion *m, int first_beat_ms)
{
	m->up = true;
	m->registered = false;
	m->born_unix_ms = unix_ms();
	m->clock_base_ms = now_ms() - 1000;
	m->next_beat_ms = now_ms() + first_beat_ms;
	m->fence = 0;
	m->lease_end_ms = 0;
	m->seq = 0;
	m->run_count = m->end_count = m->barred_count = 0;
	m->next_number = 1;
}

int minion_add(const char *service, int zone, int rack,
	       const struct minion_kind *kind)
{
	struct minion *m = &minions[minion_count];
	pthread_t thread;
	char ip[32];

	snprintf(ip, sizeof(ip), "127.0.62.%d", minion_count + 1);
	snprintf(m->id, sizeof(m->id), "i-%04x", 0x7f3a + minion_count * 37);
	snprintf(m->service, sizeof(m->service), "%s", service);
	m->zone = zone;
	m->rack = rack;
	m->kind = *kind;
	lock();
	live(m, 0);
	unlock();
	m->server = server_start(ip, m->address, sizeof(m->address), handle, m);
	if (!minion_count)
		pthread_create(&thread, NULL, tick_all, NULL);
	return minion_count++;
}

const char *minion_id(int m)
{
	return minions[m].id;
}

void minion_cut(int m, bool cut)
{
	record("%s is %s", minions[m].id, cut ? "cut off" : "reached again");
	minions[m].server->cut = cut;
}

void minion_refuse(int m, int ms)
{
	record("%s is unhealthy: it refuses all calls for %d ms", minions[m].id,
	       ms);
	minions[m].refuse_until_ms = now_ms() + ms;
}

void minion_crash(int m)
{
	lock();
	record("%s crashes", minions[m].id);
	minions[m].up = false;
	drop_all(&minions[m]);
	server_kill(minions[m].server);
	pthread_cond_broadcast(&ended);
	unlock();
}

void minion_restart(int m, const struct minion_kind *kind, int first_beat_ms)
{
	lock();
	minions[m].kind = *kind;
	live(&minions[m], first_beat_ms);
	record("%s starts again: kind %s, %d cpu, %d MB, %d gpus",
	       minions[m].id, kind->kind, kind->cpu, kind->mem_mb, kind->gpus);
	server_revive(minions[m].server);
	unlock();
}

void minion_drain(int m, int gone_ms)
{
	lock();
	record("%s is draining, for %d ms", minions[m].id, gone_ms);
	minions[m].draining = true;
	minions[m].gone_ms = now_ms() + gone_ms;
	beat(&minions[m]);
	unlock();
}

bool task_fail(const char *name)
{
	bool found = false;

	lock();
	for (int i = 0; i < minion_count; i++)
		for (int k = 0; k < minions[i].run_count; k++)
			if (!strcmp(minions[i].runs[k].task, name))
				found = minions[i].runs[k].fails = true;
	unlock();
	return found;
}

struct task_seen tasks_seen(const char *prefix)
{
	struct task_seen sum = { 0 };

	lock();
	for (int i = 0; i < state_count; i++) {
		const struct task_seen *s = &states[i].seen;

		if (strncmp(states[i].task, prefix, strlen(prefix)))
			continue;
		sum.starts += s->starts;
		sum.done += s->done;
		sum.failed += s->failed;
		sum.running += s->running;
		if (!sum.first_start_ms ||
		    (s->first_start_ms &&
		     s->first_start_ms < sum.first_start_ms))
			sum.first_start_ms = s->first_start_ms;
		if (s->last_end_ms > sum.last_end_ms)
			sum.last_end_ms = s->last_end_ms;
	}
	unlock();
	return sum;
}

int free_whole_minions(const struct minion_kind *kind)
{
	int count = 0;

	lock();
	for (int i = 0; i < minion_count; i++)
		count += minions[i].up && !minions[i].draining &&
			 !minions[i].run_count &&
			 minions[i].kind.gpus >= kind->gpus;
	unlock();
	return count;
}

int gpus_in_use(void)
{
	int sum = 0;

	lock();
	for (int i = 0; i < minion_count; i++)
		for (int k = 0; k < minions[i].run_count; k++)
			sum += minions[i].runs[k].step->gpus;
	unlock();
	return sum;
}

int gpus_total(void)
{
	int sum = 0;

	lock();
	for (int i = 0; i < minion_count; i++)
		sum += minions[i].up && !minions[i].draining
			       ? minions[i].kind.gpus
			       : 0;
	unlock();
	return sum;
}

int breaches_limit(void)
{
	return limit_breaches;
}

int breaches_route(void)
{
	return route_breaches;
}

int breaches_twice(void)
{
	return twice_breaches;
}

int minion_runs(int m)
{
	int count;

	lock();
	count = minions[m].run_count;
	unlock();
	return count;
}
