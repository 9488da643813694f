#ifndef CQ_PROGRAMS_JOB_CALLS_PRIVATE_H
#define CQ_PROGRAMS_JOB_CALLS_PRIVATE_H

#include <glib.h>
#include <jansson.h>

#include "chestnutquay/jobs.h"
#include "programs/common/job_calls.h"

enum job_call_kind {
	JOB_CALL_SUBMIT,
	JOB_CALL_CANCEL,
	JOB_CALL_SHOW,
	JOB_CALL_EXPLAIN,
	JOB_CALL_LIST,
	JOB_CALL_FLEET,
};

struct cq_job_calls {
	struct cq_job_calls_options options;
	char writer[CQ_JOB_NAME_BYTES];
	struct cq_job_calls_ops ops;
	void *ctx;
	const struct cq_store *store;
	const struct cq_settings *settings;
	const struct cq_membership *membership;
	uint64_t sequence;    /* number of the last store write */
	uint64_t correlation; /* id of the last query */
	GRand *random;
	bool stopping;
	GHashTable *open_calls; /* set of struct job_call */
	GHashTable *queries;	/* correlation -> struct job_query */
};

/* A query in flight to the owner of one data centre. */
struct job_query {
	struct job_call *call;
	uint64_t correlation;
	uint32_t dc_index; /* index in dcs of the call */
};

struct job_call {
	struct cq_job_calls *calls;
	struct cq_operator_exchange *exchange;
	enum job_call_kind kind;
	int64_t deadline_ns;
	int64_t retry_ns; /* time of the next attempt; 0 if none is due */
	void (*retry)(struct job_call *call);

	/* The data centres to search, the most likely first. */
	char **dcs;
	uint32_t dc_count;
	uint32_t dc_index; /* index of the one being read or written */
	bool read_failed;  /* the read of some data centre failed */
	/* Called with the record, or NULL if no data centre has it. */
	void (*found)(struct job_call *call,
		      const struct cq_store_entry *entry);

	struct cq_store_call *store_call;
	void (*stored)(struct job_call *call,
		       const struct cq_store_result *result);

	/* Queries to owners. */
	uint32_t pending_queries;  /* number of queries without an answer */
	int64_t query_deadline_ns; /* 0 if no queries are in flight */
	/* Called with each answer; must not end the call. */
	void (*answered)(struct job_call *call, uint32_t dc, json_t *answer);
	bool query_complete; /* no more answers are needed */
	/* Called when the queries are complete or have timed out. */
	void (*queried)(struct job_call *call);
	json_t **answers; /* one per data centre */

	struct cq_job_record record;
	int64_t revision;   /* revision of the stored record */
	bool has_key;	    /* the caller gave an idempotency key */
	bool maybe_written; /* the outcome of a write is unknown */
};

/* job_calls.c */
/* Refuses the call and returns true if the host is shutting down. */
bool cq_job_call_refuse_stopping(struct job_call *call);
struct job_call *cq_job_call_create(struct cq_job_calls *calls,
				    struct cq_operator_exchange *exchange);
/* Responds and frees the call. */
void cq_job_call_end(struct job_call *call, uint32_t status, json_t *body);
/*
 * Responds with an error and frees the call. run tells whether the request was
 * executed ("no" or "unknown"); NULL for a call that only reads.
 */
void cq_job_call_refuse(struct job_call *call, uint32_t status,
			const char *code, const char *message, const char *run);
int64_t cq_job_call_now(const struct job_call *call);
/* Schedules the next attempt after a random delay. */
void cq_job_call_retry_later(struct job_call *call,
			     void (*retry)(struct job_call *call));
void cq_job_call_get(struct job_call *call, const char *key,
		     void (*stored)(struct job_call *call,
				    const struct cq_store_result *result));
void cq_job_call_put(struct job_call *call, const char *key,
		     const struct cq_job_record *record, int64_t revision,
		     void (*stored)(struct job_call *call,
				    const struct cq_store_result *result));
void cq_job_call_list(struct job_call *call, const char *prefix,
		      void (*stored)(struct job_call *call,
				     const struct cq_store_result *result));
/* Searches for the record of the job in one data centre after the other. */
void cq_job_call_find(struct job_call *call,
		      void (*found)(struct job_call *call,
				    const struct cq_store_entry *entry));
/* Queries the owner of one data centre or, if dc is UINT32_MAX, of each. */
void cq_job_call_query(struct job_call *call, uint32_t dc, json_t *query,
		       void (*answered)(struct job_call *call, uint32_t dc,
					json_t *answer),
		       void (*queried)(struct job_call *call));
/* Notifies the owner of a new or changed record in its data centre. */
void cq_job_call_notify(struct job_call *call, const char *dc);
void cq_job_call_stop_queries(struct job_call *call);
/* Moves the home data centre of the job to the front of dcs. */
void cq_job_call_order_dcs(struct job_call *call, const char *id);

/* job_calls_write.c */
void cq_job_call_submit(struct job_call *call);
void cq_job_call_cancel(struct job_call *call);

/* job_calls_read.c */
void cq_job_call_show(struct job_call *call);
void cq_job_call_list_jobs(struct job_call *call);

#endif
