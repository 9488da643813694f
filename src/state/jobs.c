#include "chestnutquay/jobs.h"

#include <assert.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define FNV_OFFSET UINT64_C(14695981039346656037)
#define FNV_PRIME UINT64_C(1099511628211)

static const char *const phase_strings[] = {
	[CQ_PHASE_QUEUED] = "queued",
	[CQ_PHASE_STARTING] = "starting",
	[CQ_PHASE_RUNNING] = "running",
	[CQ_PHASE_CHECKPOINTED] = "checkpointed",
	[CQ_PHASE_MOVING] = "moving",
	[CQ_PHASE_FINISHED] = "finished",
	[CQ_PHASE_FAILED] = "failed",
	[CQ_PHASE_CANCELLED] = "cancelled",
};

#define PHASE_BIT(phase) (1U << CQ_PHASE_##phase)

/* The phases that may follow each phase. */
static const uint32_t next_phases[CQ_PHASE_COUNT] = {
	[CQ_PHASE_QUEUED] = PHASE_BIT(STARTING) | PHASE_BIT(MOVING) |
			    PHASE_BIT(FAILED) | PHASE_BIT(CANCELLED),
	[CQ_PHASE_STARTING] = PHASE_BIT(RUNNING) | PHASE_BIT(QUEUED) |
			      PHASE_BIT(CHECKPOINTED) | PHASE_BIT(FINISHED) |
			      PHASE_BIT(FAILED) | PHASE_BIT(CANCELLED),
	[CQ_PHASE_RUNNING] = PHASE_BIT(QUEUED) | PHASE_BIT(CHECKPOINTED) |
			     PHASE_BIT(FINISHED) | PHASE_BIT(FAILED) |
			     PHASE_BIT(CANCELLED),
	[CQ_PHASE_CHECKPOINTED] = PHASE_BIT(STARTING) | PHASE_BIT(MOVING) |
				  PHASE_BIT(FAILED) | PHASE_BIT(CANCELLED),
	[CQ_PHASE_MOVING] = PHASE_BIT(QUEUED) | PHASE_BIT(CHECKPOINTED) |
			    PHASE_BIT(CANCELLED),
};

static uint64_t hash_text(uint64_t hash, const char *text);
static uint64_t mix_hash(uint64_t value);

const char *cq_job_phase_string(enum cq_job_phase phase)
{
	return phase_strings[phase];
}

bool cq_job_phase_parse(const char *text, enum cq_job_phase *phase)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(phase_strings); i++) {
		if (strcmp(text, phase_strings[i]) != 0)
			continue;
		*phase = (enum cq_job_phase)i;
		return true;
	}
	return false;
}

bool cq_job_phase_is_terminal(enum cq_job_phase phase)
{
	return !next_phases[phase];
}

bool cq_job_phase_is_waiting(enum cq_job_phase phase)
{
	return phase == CQ_PHASE_QUEUED || phase == CQ_PHASE_CHECKPOINTED;
}

bool cq_job_phase_may_follow(enum cq_job_phase from, enum cq_job_phase to)
{
	return next_phases[from] & 1U << to;
}

void cq_job_record_init(struct cq_job_record *record)
{
	memset(record, 0, sizeof(*record));
	record->tasks = 1;
	record->expected_ms = -1;
	record->submitted_unix_ms = -1;
	record->written_unix_ms = -1;
	record->started_unix_ms = -1;
	record->ended_unix_ms = -1;
	record->expected_start_unix_ms = -1;
	record->expected_end_unix_ms = -1;
}

bool cq_job_record_same_write(const struct cq_job_record *a,
			      const struct cq_job_record *b)
{
	return a->sequence == b->sequence && !strcmp(a->writer, b->writer);
}

void cq_job_record_add_failed_worker(struct cq_job_record *record,
				     const char *worker)
{
	uint32_t i;

	for (i = 0; i < record->failed_worker_count; i++)
		if (!strcmp(record->failed_workers[i], worker))
			return;
	if (i < CQ_JOB_MAX_FAILED_WORKERS) {
		g_strlcpy(record->failed_workers[i], worker, CQ_JOB_NAME_BYTES);
		record->failed_worker_count++;
	}
}

void cq_job_key(const char *data_centre, const char *id, char *key)
{
	snprintf(key, CQ_JOB_KEY_BYTES, CQ_JOBS_PREFIX "%s/%s", data_centre,
		 id);
}

void cq_job_task_id(const char *job_id, uint32_t attempt, uint32_t rank,
		    char *task_id)
{
	snprintf(task_id, CQ_JOB_TASK_ID_BYTES, "%s.%u.%u", job_id, attempt,
		 rank);
}

static uint64_t hash_text(uint64_t hash, const char *text)
{
	for (; *text; text++)
		hash = (hash ^ (unsigned char)*text) * FNV_PRIME;
	return hash;
}

/* MurmurHash3 finalizer; FNV alone distributes short strings poorly. */
static uint64_t mix_hash(uint64_t value)
{
	value = (value ^ value >> 33) * UINT64_C(0xff51afd7ed558ccd);
	value = (value ^ value >> 33) * UINT64_C(0xc4ceb9fe1a85ec53);
	return value ^ value >> 33;
}

void cq_job_id_from_key(const char *workspace, const char *idempotency_key,
			char *id)
{
	char *text = g_strdup_printf("%s\n%s", workspace, idempotency_key);
	char *sum = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);

	/* 96 bits: no accidental collision among some 10^9 keys. */
	snprintf(id, CQ_JOB_ID_BYTES, "j%.24s", sum);
	g_free(sum);
	g_free(text);
}

uint32_t cq_job_home(const char *id, const char *const *data_centres,
		     uint32_t count)
{
	uint64_t best = 0;
	uint32_t home = 0;
	uint32_t i;

	assert(count > 0);
	/* Rendezvous hashing: the data centre with the highest score. */
	for (i = 0; i < count; i++) {
		uint64_t score = hash_text(FNV_OFFSET, data_centres[i]);

		score = mix_hash(hash_text(score, id));
		if (i && score <= best)
			continue;
		best = score;
		home = i;
	}
	return home;
}
