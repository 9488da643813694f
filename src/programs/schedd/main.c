/*
 * cq-schedd: scheduler daemon. The schedds of a data centre elect an owner,
 * which places the tasks of jobs on the workers of the data centre.
 */
#include "programs/schedd/schedd.h"

static const struct cq_setting settings[] = {
	{ "task-lease-ms", "CQ_TASK_LEASE_MS", CQ_SETTING_INTEGER, "15000",
	  6000, 300000, "lease of running tasks, milliseconds" },
	{ "sync-ms", "CQ_SYNC_MS", CQ_SETTING_INTEGER, "1000", 500, 30000,
	  "interval of calls to each worker, milliseconds; the task lease is "
	  "at least six times as long" },
	{ "worker-lost-ms", "CQ_WORKER_LOST_MS", CQ_SETTING_INTEGER, "5000",
	  1000, 60000, "silence after which a worker is lost, milliseconds" },
	{ "job-retention-ms", "CQ_JOB_RETENTION_MS", CQ_SETTING_INTEGER,
	  "86400000", 1000, 2592000000,
	  "how long records of ended jobs are kept, milliseconds" },
};

int main(int argc, char **argv)
{
	struct schedd s = { 0 };
	int exit_code = 0;

	s.daemon = cq_daemon_create("cq-schedd",
				    "Scheduler of one data centre.", settings,
				    G_N_ELEMENTS(settings), argc, argv,
				    &exit_code);
	if (!s.daemon)
		return exit_code;
	if (!schedd_jobs_check(&s)) {
		cq_daemon_destroy(s.daemon);
		return CQ_EXIT_USAGE;
	}
	schedd_cluster_open(&s);
	schedd_jobs_open(&s);
	schedd_hosts_open(&s);
	schedd_status_open(&s);
	exit_code = cq_daemon_run(s.daemon);
	schedd_hosts_close(&s);
	schedd_jobs_close(&s);
	schedd_cluster_close(&s);
	cq_daemon_destroy(s.daemon);
	return exit_code;
}
