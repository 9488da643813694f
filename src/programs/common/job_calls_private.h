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
	uint64_t sequence;
	uint64_t correlation;
	GRand *random;
	bool stopping;
	GHashTable *open;    /* set of struct job_call */
	GHashTable *queries; /* correlation -> struct job_query */
};

/* A query to the owner of one data centre. */
struct job_query {
	struct job_call *call;
	uint64_t correlation;
	uint32_t dc; /* index in the call's list */
};

struct job_call {
	struct cq_job_calls *calls;
	struct cq_operator_exchange *exchange;
	enum job_call_kind kind;
	int64_t deadline_ns;
	int64_t retry_ns; /* next attempt after a failed one; 0: none */
	void (*retry)(struct job_call *call);

	/* The data centres to look in, the likeliest first. */
	char **dcs;
	uint32_t dc_count;
	uint32_t dc; /* the one being read */
	bool unread; /* some data centre could not be read */
	void (*found)(struct job_call *call,
		      const struct cq_store_entry *entry); /* NULL: nowhere */

	struct cq_store_call *store_call;
	void (*stored)(struct job_call *call,
		       const struct cq_store_result *result);

	/* Queries to owners. */
	uint32_t waiting;
	int64_t query_deadline_ns; /* 0: no queries under way */
	/* Takes an answer; must not end the call. */
	void (*answered)(struct job_call *call, uint32_t dc, json_t *answer);
	bool satisfied;				/* no more answers are needed */
	void (*queried)(struct job_call *call); /* all answered, or too late */
	json_t **answers;			/* one per data centre */

	struct cq_job_record record;
	int64_t revision;   /* of the record in the store */
	bool has_key;	    /* the caller gave an idempotency key */
	bool maybe_written; /* a write had no answer */
};

/* job_calls.c */
/* Refuses the call if the host is shutting down. */
bool cq_job_call_refuse_stopping(struct job_call *call);
struct job_call *cq_job_call_create(struct cq_job_calls *calls,
				    struct cq_operator_exchange *exchange);
void cq_job_call_end(struct job_call *call, uint32_t status, json_t *body);
void cq_job_call_refuse(struct job_call *call, uint32_t status,
			const char *code, const char *message, const char *run);
int64_t cq_job_call_now(const struct job_call *call);
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
/* Reads the record of the job in one data centre after the other. */
void cq_job_call_find(struct job_call *call,
		      void (*found)(struct job_call *call,
				    const struct cq_store_entry *entry));
/* Asks the owners; dc UINT32_MAX: of all data centres of the call. */
void cq_job_call_query(struct job_call *call, uint32_t dc, json_t *query,
		       void (*answered)(struct job_call *call, uint32_t dc,
					json_t *answer),
		       void (*queried)(struct job_call *call));
/* Tells the owner that the data centre has a new or changed record. */
void cq_job_call_notify(struct job_call *call, const char *dc);
void cq_job_call_stop_queries(struct job_call *call);
/* The home data centre of the job first. */
void cq_job_call_order_dcs(struct job_call *call, const char *id);

/* job_calls_write.c */
void cq_job_call_submit(struct job_call *call);
void cq_job_call_cancel(struct job_call *call);

/* job_calls_read.c */
void cq_job_call_show(struct job_call *call);
void cq_job_call_list_jobs(struct job_call *call);

#endif
