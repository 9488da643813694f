/* cq-entryd: serves callers and operators on an entry host. */
#include <stdio.h>

#include "programs/common/capacity.h"
#include "programs/common/operator_calls.h"
#include "programs/entryd/entryd.h"

int main(int argc, char **argv)
{
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_operator_calls *operator_calls;
	struct cq_capacity_reader *capacity;
	struct entryd_requests *requests;
	struct entryd_sources *sources;
	struct cq_cluster *cluster;
	struct cq_daemon *daemon;
	struct entryd_jobs *jobs;
	int exit_code = 0;

	daemon = cq_daemon_create("cq-entryd",
				  "Entry host daemon: routes callers' requests "
				  "to endpoints.",
				  entryd_requests_settings,
				  entryd_requests_setting_count, argc, argv,
				  &exit_code);
	if (!daemon)
		return exit_code;
	cluster = cq_cluster_create(daemon, CQ_ROLE_ENTRYD);
	operator_calls = cq_operator_calls_create(cluster);
	capacity = cq_capacity_reader_create(cluster);
	cq_operator_calls_set_capacity(operator_calls, cq_capacity_reader_get,
				       capacity);
	jobs = entryd_jobs_create(cluster);
	sources = entryd_sources_create(cluster);
	requests = entryd_requests_create(daemon, sources,
					  entryd_jobs_calls(jobs), &err);
	if (requests) {
		exit_code = cq_daemon_run(daemon);
	} else {
		fprintf(stderr, "cq-entryd: %s\n", err.message);
		exit_code = err.code == CQ_ERR_INVALID ? CQ_EXIT_USAGE : 1;
	}
	entryd_requests_destroy(requests);
	entryd_sources_destroy(sources);
	entryd_jobs_destroy(jobs);
	cq_operator_calls_destroy(operator_calls);
	cq_capacity_reader_destroy(capacity);
	cq_cluster_destroy(cluster);
	cq_daemon_destroy(daemon);
	return exit_code;
}
