/* Simulated clients that submit jobs, query them and cancel some of them. */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

#define ID_BYTES 17
#define MAX_STEPS 2
#define MAX_TRIES 6
#define CALL_TIMEOUT_MS 3000
#define ACTION_INTERVAL_MIN_S 0.05
#define ACTION_INTERVAL_MAX_S 0.25
#define RETRY_INTERVAL_S 0.4
/* Another host may not know a job for this long after it was accepted. */
#define VISIBILITY_LIMIT_MS 3000
/* Clients submit no more jobs while this many are open. */
#define MAX_OPEN_JOBS 40
/* Shares of the actions, in percent. */
#define SUBMIT_PERCENT 35
#define CANCEL_PERCENT 8
#define RECHECK_PERCENT 10

enum submission_state {
	SUBMISSION_PENDING,
	SUBMISSION_ACCEPTED,
	SUBMISSION_REFUSED, /* no attempt can have been accepted */
	SUBMISSION_UNKNOWN, /* an attempt had no answer, and none was accepted
			     */
};

struct job {
	char id[ID_BYTES];
	enum submission_state submission;
	int steps;
	int tasks[MAX_STEPS];
	bool gang; /* the first step is a gang */
	int tries;
	int unanswered;
	int accepted_ms;
	bool cancel_sent;
	char state[16]; /* last state that a host reported */
	bool is_final;
	int starts;
	int done[MAX_STEPS]; /* tasks of each step that ended as "done" */
};

struct soak_clients {
	struct soak *soak;
	GPtrArray *jobs;
	GHashTable *by_id;
	ev_timer action;
	bool submitting;
	int accepted;
	int refused;
	int unanswered;
	int unknown; /* jobs neither accepted nor definitely refused */
	int calls;
};

struct call {
	struct soak_clients *clients;
	struct job *job;
	ev_timer retry;
	bool was_final; /* job->is_final when the call was sent */
};

static void send_submission(struct call *call);

static void send_call(struct soak_clients *clients, const char *method,
		      const struct job *job, const char *body,
		      cq_http_done_fn *done, void *ctx)
{
	const struct cq_http_header headers[] = {
		{ "Host", "q.example" },
		{ "Authorization", "Token secret" },
		{ "X-Deadline-Ms", G_STRINGIFY(CALL_TIMEOUT_MS) },
		{ NULL, NULL },
	};
	struct soak *soak = clients->soak;
	int host = g_rand_int_range(soak->random, 0, soak->options.hosts);
	char ip[SOAK_IP_BYTES];
	char *url;
	struct cq_http_request request = {
		.method = method,
		.headers = headers,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.connect_timeout_ms = CALL_TIMEOUT_MS,
		.timeout_ms = CALL_TIMEOUT_MS,
		.max_answer_bytes = 1 << 16,
	};

	soak_ip(soak, SOAK_HOST, host, ip);
	url = g_strdup_printf("http://%s:%d/jobs/%s", ip, SOAK_FRONT_PORT,
			      job->id);
	request.url = url;
	clients->calls++;
	cq_http_client_send(soak->http, &request, done, ctx);
	g_free(url);
}

static char *format_job(const struct job *job)
{
	char *first = g_strdup_printf(
		"{\"count\":%d,\"gpus\":2,\"cpu\":1000,\"memMb\":10%s}",
		job->tasks[0], job->gang ? ",\"gang\":true" : "");
	char *second = job->steps > 1 ? g_strdup_printf(",{\"count\":%d,"
							"\"cpu\":500,"
							"\"after\":[0]}",
							job->tasks[1])
				      : g_strdup("");
	char *text = g_strdup_printf("{\"spec\":\"s\",\"steps\":[%s%s]}", first,
				     second);

	g_free(first);
	g_free(second);
	return text;
}

static void on_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	send_submission(timer->data);
}

static void finish_submission(struct call *call, enum submission_state fate)
{
	struct soak_clients *clients = call->clients;
	struct soak *soak = clients->soak;
	int now_ms = soak_now_ms(soak);

	call->job->submission = fate;
	if (fate == SUBMISSION_ACCEPTED) {
		clients->accepted++;
		call->job->accepted_ms = now_ms;
		soak_timeline_count(soak->timeline, SOAK_ROW_ACCEPTED, now_ms);
	} else if (fate == SUBMISSION_REFUSED) {
		clients->refused++;
		soak_timeline_count(soak->timeline, SOAK_ROW_REFUSED, now_ms);
	} else {
		clients->unknown++;
	}
	g_free(call);
}

static void on_submitted(void *ctx, const struct cq_http_result *result)
{
	struct call *call = ctx;
	struct job *job = call->job;
	struct soak *soak = call->clients->soak;
	bool answered = result->outcome == CQ_HTTP_ANSWERED;

	if (answered && result->status / 100 == 2) {
		finish_submission(call, SUBMISSION_ACCEPTED);
		return;
	}
	if (answered && (result->status == 429 || result->status == 503) &&
	    !job->unanswered) {
		finish_submission(call, SUBMISSION_REFUSED);
		return;
	}
	if (answered && (result->status == 400 || result->status == 401 ||
			 result->status == 404))
		soak_violation(soak,
			       "job %s: a valid submission was answered %u",
			       job->id, result->status);
	if (!answered || result->status == 502 || result->status == 504) {
		/* CQ_HTTP_NOT_SENT means that the host is down. */
		job->unanswered += result->outcome != CQ_HTTP_NOT_SENT;
		call->clients->unanswered++;
		soak_timeline_count(soak->timeline, SOAK_ROW_UNANSWERED,
				    soak_now_ms(soak));
	}
	if (job->tries >= MAX_TRIES) {
		finish_submission(call, SUBMISSION_UNKNOWN);
		return;
	}
	ev_timer_init(&call->retry, on_retry, RETRY_INTERVAL_S, 0.);
	call->retry.data = call;
	ev_timer_start(soak->loop, &call->retry);
}

static void send_submission(struct call *call)
{
	char *body = format_job(call->job);

	call->job->tries++;
	send_call(call->clients, "POST", call->job, body, on_submitted, call);
	g_free(body);
}

static void submit(struct soak_clients *clients)
{
	GRand *random = clients->soak->random;
	struct call *call = g_new0(struct call, 1);
	struct job *job = g_new0(struct job, 1);

	g_snprintf(job->id, sizeof(job->id), "%08x%08x", g_rand_int(random),
		   (guint)clients->jobs->len);
	job->gang = g_rand_int_range(random, 0, 3) == 0;
	job->steps = g_rand_int_range(random, 1, MAX_STEPS + 1);
	job->tasks[0] = g_rand_int_range(random, 1, 5);
	job->tasks[1] = job->steps > 1 ? g_rand_int_range(random, 1, 4) : 0;
	g_ptr_array_add(clients->jobs, job);
	g_hash_table_insert(clients->by_id, job->id, job);
	call->clients = clients;
	call->job = job;
	send_submission(call);
}

static bool is_end_state(const char *state)
{
	return !strcmp(state, "completed") || !strcmp(state, "failed") ||
	       !strcmp(state, "cancelled");
}

static void check_state(const struct call *call, const char *state)
{
	struct soak *soak = call->clients->soak;
	struct job *job = call->job;

	/* An answer that arrives after that of a later call is ignored. */
	if (job->is_final && !call->was_final && !is_end_state(state))
		return;
	if (job->is_final && strcmp(job->state, state))
		soak_violation(soak, "job %s is %s after it was %s", job->id,
			       state, job->state);
	if (!strcmp(state, "failed"))
		soak_violation(soak, "job %s failed, but no task fails",
			       job->id);
	if (!strcmp(state, "cancelled") && !job->cancel_sent)
		soak_violation(soak, "job %s is cancelled without a request",
			       job->id);
	if (!job->is_final && !strcmp(state, "completed"))
		soak_timeline_count(soak->timeline, SOAK_ROW_COMPLETED,
				    soak_now_ms(soak));
	job->is_final = is_end_state(state);
	g_strlcpy(job->state, state, sizeof(job->state));
}

static void on_state(void *ctx, const struct cq_http_result *result)
{
	struct call *call = ctx;
	struct job *job = call->job;
	struct soak *soak = call->clients->soak;
	json_t *root;
	const char *state;

	if (result->outcome == CQ_HTTP_ANSWERED && result->status == 410 &&
	    soak_now_ms(soak) - job->accepted_ms > VISIBILITY_LIMIT_MS)
		soak_violation(soak, "job %s was accepted but is unknown",
			       job->id);
	if (result->outcome == CQ_HTTP_ANSWERED && result->status == 200) {
		root = json_loadb(result->body, result->body_len, 0, NULL);
		state = json_string_value(json_object_get(root, "state"));
		if (state)
			check_state(call, state);
		else
			soak_violation(soak, "job %s: an answer without state",
				       job->id);
		json_decref(root);
	}
	g_free(call);
}

static void on_cancelled(void *ctx, const struct cq_http_result *result)
{
	(void)result;
	g_free(ctx);
}

/* Picks an accepted job in a final or open state; NULL if there is none. */
static struct job *pick_job(struct soak_clients *clients, bool final)
{
	GPtrArray *jobs = clients->jobs;
	guint first;
	guint i;

	if (!jobs->len)
		return NULL;
	first = (guint)g_rand_int_range(clients->soak->random, 0,
					(gint32)jobs->len);
	for (i = 0; i < jobs->len; i++) {
		struct job *job = jobs->pdata[(first + i) % jobs->len];

		if (job->submission == SUBMISSION_ACCEPTED &&
		    job->is_final == final)
			return job;
	}
	return NULL;
}

static void send_query(struct soak_clients *clients, struct job *job,
		       bool cancel)
{
	struct call *call = g_new0(struct call, 1);

	call->clients = clients;
	call->job = job;
	call->was_final = job->is_final;
	job->cancel_sent |= cancel;
	send_call(clients, cancel ? "DELETE" : "GET", job, NULL,
		  cancel ? on_cancelled : on_state, call);
}

static void on_action(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct soak_clients *clients = timer->data;
	struct soak *soak = clients->soak;
	int drawn = g_rand_int_range(soak->random, 0, 100);
	bool final = drawn >= 100 - RECHECK_PERCENT;
	bool cancel = clients->submitting && drawn >= SUBMIT_PERCENT &&
		      drawn < SUBMIT_PERCENT + CANCEL_PERCENT;
	struct job *job;

	(void)events;
	/* The number of actions per second is proportional to the hosts. */
	ev_timer_set(timer,
		     g_rand_double_range(soak->random, ACTION_INTERVAL_MIN_S,
					 ACTION_INTERVAL_MAX_S) /
			     soak->options.hosts,
		     0.);
	ev_timer_start(loop, timer);
	if (clients->submitting && drawn < SUBMIT_PERCENT &&
	    soak_clients_open(clients) < MAX_OPEN_JOBS) {
		submit(clients);
		return;
	}
	job = pick_job(clients, final);
	if (job)
		send_query(clients, job, cancel);
}

struct soak_clients *soak_clients_create(struct soak *soak)
{
	struct soak_clients *clients = g_new0(struct soak_clients, 1);

	clients->soak = soak;
	clients->jobs = g_ptr_array_new_with_free_func(g_free);
	clients->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	clients->submitting = true;
	ev_timer_init(&clients->action, on_action, ACTION_INTERVAL_MIN_S, 0.);
	clients->action.data = clients;
	ev_timer_start(soak->loop, &clients->action);
	return clients;
}

void soak_clients_destroy(struct soak_clients *clients)
{
	if (!clients)
		return;
	ev_timer_stop(clients->soak->loop, &clients->action);
	g_hash_table_destroy(clients->by_id);
	g_ptr_array_unref(clients->jobs);
	g_free(clients);
}

void soak_clients_stop_submitting(struct soak_clients *clients)
{
	clients->submitting = false;
}

int soak_clients_open(const struct soak_clients *clients)
{
	int open = 0;
	guint i;

	for (i = 0; i < clients->jobs->len; i++) {
		const struct job *job = clients->jobs->pdata[i];

		open += job->submission == SUBMISSION_PENDING ||
			(job->submission == SUBMISSION_ACCEPTED &&
			 !job->is_final);
	}
	return open;
}

/* The name of a task has the form ID.OCCURRENCE.STEP.INDEX. */
static void count_task(struct soak_clients *clients, const json_t *row)
{
	const char *name = json_string_value(json_array_get(row, 0));
	int done = (int)json_integer_value(json_array_get(row, 2));
	char id[ID_BYTES];
	int step = 0;
	struct job *job;

	g_strlcpy(id, name, sizeof(id));
	job = g_hash_table_lookup(clients->by_id, id);
	if (!job || sscanf(name + ID_BYTES, "%*d.%d", &step) != 1 || step < 0 ||
	    step >= job->steps) {
		soak_violation(clients->soak,
			       "task %s was started but belongs to no job",
			       name);
		return;
	}
	job->starts++;
	job->done[step] += done > 0;
}

static void check_job(struct soak_clients *clients, const struct job *job)
{
	struct soak *soak = clients->soak;
	int step;

	if (job->submission == SUBMISSION_REFUSED && job->starts)
		soak_violation(soak, "job %s was refused but ran", job->id);
	if (job->submission != SUBMISSION_ACCEPTED)
		return;
	if (!job->is_final)
		soak_violation(
			soak, "job %s, accepted, is %s at the end", job->id,
			job->state[0] ? job->state : "without an answer");
	if (strcmp(job->state, "completed"))
		return;
	for (step = 0; step < job->steps; step++) {
		/* A gang has ended when the first of its tasks has. */
		int needed = step == 0 && job->gang ? 1 : job->tasks[step];

		if (job->done[step] < needed)
			soak_violation(
				soak,
				"job %s is completed, with %d of %d tasks "
				"of step %d done",
				job->id, job->done[step], needed, step);
	}
}

void soak_clients_check(struct soak_clients *clients, const char *tasks_json)
{
	json_t *root = json_loads(tasks_json, 0, NULL);
	const json_t *rows = json_object_get(root, "tasks");
	guint i;

	if (!rows)
		soak_violation(clients->soak,
			       "the simulated platform returned no tasks");
	for (i = 0; i < json_array_size(rows); i++)
		count_task(clients, json_array_get(rows, i));
	for (i = 0; i < clients->jobs->len; i++)
		check_job(clients, clients->jobs->pdata[i]);
	json_decref(root);
}

void soak_clients_print(const struct soak_clients *clients, FILE *out)
{
	fprintf(out,
		"%u jobs: %d accepted, %d refused, %d unknown; %d calls, %d "
		"submissions without an answer\n",
		clients->jobs->len, clients->accepted, clients->refused,
		clients->unknown, clients->calls, clients->unanswered);
}
