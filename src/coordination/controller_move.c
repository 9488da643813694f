/*
 * Moving waiting jobs out of a data centre that is out of service.
 *
 * The record becomes `moving`, is created in the other data centre and then
 * removed here. Each step may be repeated by any owner; the count of moves
 * tells whether a record found there is the result of this move.
 */
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "controller_private.h"

/* Moves under way at one time; more wait, to spare the store. */
#define MAX_MOVES 16

static void create_there(struct cq_job *job, int64_t revision);
static void write_there(struct cq_job *job, struct cq_job_record *there,
			int64_t revision);
static void on_created(struct cq_controller *c, const char *job_id,
		       const struct cq_store_result *result);
static void on_removed(struct cq_controller *c, const char *job_id,
		       const struct cq_store_result *result);

/* The data centre that takes the job; NULL if none may. */
static const char *choose_target(struct cq_job *job)
{
	struct cq_controller *c = job->controller;
	const char **names;
	const char *target = NULL;
	uint32_t count = 0;
	guint i;

	if (*job->record.data_centre)
		return NULL;
	names = g_new0(const char *, c->dcs->len + 1);
	for (i = 0; i < c->dcs->len; i++) {
		const struct cq_controller_dc *dc =
			&g_array_index(c->dcs, struct cq_controller_dc, i);

		if (dc->in_service && strcmp(dc->name, c->data_centre) != 0)
			names[count++] = dc->name;
	}
	if (count)
		target = names[cq_job_home(job->record.id, names, count)];
	g_free(names);
	return target;
}

bool cq_job_should_move(const struct cq_job *job)
{
	struct cq_controller *c = job->controller;

	return c->dcs->len && !c->dc_in &&
	       cq_job_phase_is_waiting(job->record.phase) &&
	       choose_target((struct cq_job *)job);
}

bool cq_job_move_to(struct cq_job *job, const char *data_centre,
		    const char *reason, int64_t now_ns)
{
	struct cq_job_record next = job->record;

	g_strlcpy(next.moved_to, data_centre, sizeof(next.moved_to));
	next.phase = CQ_PHASE_MOVING;
	next.moves++;
	g_strlcpy(next.reason, reason, sizeof(next.reason));
	if (job->controller->writes >= MAX_MOVES ||
	    !cq_job_write(job, &next, now_ns))
		return false;
	cq_job_decided(job, "move", reason);
	cq_log_event(CQ_LOG_INFO, "job_moved", "{s:s,s:s,s:s}", "job", next.id,
		     "to", data_centre, "reason", reason);
	return true;
}

void cq_job_begin_move(struct cq_job *job, int64_t now_ns)
{
	char reason[CQ_JOB_REASON_BYTES];

	g_snprintf(reason, sizeof(reason), "data centre %s is out of service",
		   job->controller->data_centre);
	if (!cq_job_move_to(job, choose_target(job), reason, now_ns))
		cq_job_mark_dirty(job);
}

static void create_there(struct cq_job *job, int64_t revision)
{
	struct cq_job_record there = job->record;

	there.phase = there.restore_attempt ? CQ_PHASE_CHECKPOINTED
					    : CQ_PHASE_QUEUED;
	there.moved_to[0] = '\0';
	write_there(job, &there, revision);
}

static void write_there(struct cq_job *job, struct cq_job_record *there,
			int64_t revision)
{
	struct cq_controller *c = job->controller;
	struct cq_controller_call *call;
	char key[CQ_JOB_KEY_BYTES];
	char *text;

	g_strlcpy(there->writer, c->writer, sizeof(there->writer));
	there->sequence = ++c->sequence;
	there->written_unix_ms = cq_clock_unix_ms(c->options.clock);
	cq_job_key(job->record.moved_to, job->record.id, key);
	text = cq_job_record_format(there);
	call = cq_controller_call_create(c, job->record.id, on_created);
	call->call = c->store.ops->put(c->store.self, key, text, revision, 0,
				       c->options.store_timeout_ms,
				       cq_controller_on_store, call);
	free(text);
}

void cq_job_continue_move(struct cq_job *job, int64_t now_ns)
{
	struct cq_controller *c = job->controller;

	if (c->writes >= MAX_MOVES || now_ns < job->retry_ns ||
	    !c->ops->may_command(c->ctx, now_ns)) {
		cq_job_mark_dirty(job);
		return;
	}
	job->writing = true;
	c->writes++;
	create_there(job, 0);
}

/* Whether the record found in the other data centre is that of this move. */
static bool is_moved(const struct cq_job *job,
		     const struct cq_store_result *result,
		     struct cq_job_record *there, bool *older)
{
	*older = false;
	if (!result->entry_count ||
	    !cq_job_record_parse(result->entries[0].value,
				 result->entries[0].value_len, there, NULL))
		return false;
	*older = there->phase == CQ_PHASE_MOVING &&
		 there->moves < job->record.moves;
	return there->moves >= job->record.moves;
}

static void on_created(struct cq_controller *c, const char *job_id,
		       const struct cq_store_result *result)
{
	struct cq_job *job = g_hash_table_lookup(c->jobs, job_id);
	int64_t now_ns = cq_clock_now_ns(c->options.clock);
	struct cq_job_record there;
	bool older = false;

	if (!job || !job->writing)
		return;
	if (result->status == CQ_STORE_CONFLICT &&
	    is_moved(job, result, &there, &older)) {
		/* A request to cancel that came after the creation. */
		if (job->record.cancel && !there.cancel &&
		    !cq_job_phase_is_terminal(there.phase)) {
			there.cancel = true;
			write_there(job, &there, result->entries[0].revision);
		} else {
			cq_job_remove_record(job, now_ns);
		}
		return;
	}
	if (result->status == CQ_STORE_OK) {
		cq_job_remove_record(job, now_ns);
		return;
	}
	if (older) {
		/* Left there by a move in the other direction. */
		create_there(job, result->entries[0].revision);
		return;
	}
	job->writing = false;
	c->writes--;
	job->retry_ns = now_ns + CQ_NS_PER_S;
	cq_job_mark_dirty(job);
}

/* Removes the record here; for a move, with the write slot already taken. */
void cq_job_remove_record(struct cq_job *job, int64_t now_ns)
{
	struct cq_controller *c = job->controller;
	struct cq_controller_call *call;
	char key[CQ_JOB_KEY_BYTES];

	(void)now_ns;
	if (!job->writing) {
		job->writing = true;
		c->writes++;
	}
	cq_job_key(c->data_centre, job->record.id, key);
	call = cq_controller_call_create(c, job->record.id, on_removed);
	call->call = c->store.ops->remove(c->store.self, key, job->revision,
					  c->options.store_timeout_ms,
					  cq_controller_on_store, call);
}

static void on_removed(struct cq_controller *c, const char *job_id,
		       const struct cq_store_result *result)
{
	struct cq_job *job = g_hash_table_lookup(c->jobs, job_id);

	if (!job || !job->writing)
		return;
	cq_log_event(CQ_LOG_DEBUG, "job_record_removed", "{s:s,s:s}", "job",
		     job_id, "status", cq_store_status_string(result->status));
	if (result->status == CQ_STORE_OK ||
	    result->status == CQ_STORE_NOT_FOUND ||
	    result->status == CQ_STORE_CONFLICT) {
		cq_controller_forget_job(c, job, result);
		return;
	}
	job->writing = false;
	c->writes--;
	job->retry_ns = cq_clock_now_ns(c->options.clock) + CQ_NS_PER_S;
	if (cq_job_phase_is_terminal(job->record.phase))
		g_queue_push_head(c->retired, g_strdup(job_id));
	else
		cq_job_mark_dirty(job);
}
