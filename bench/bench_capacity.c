/*
 * Measures the cost of one object, message or call of each module. The
 * capacity figures in docs/CAPACITY.md are computed from these costs.
 */
#include <assert.h>
#include <stdio.h>
#include <unistd.h>

#include "capacity.h"

static double resident_bytes(void)
{
	FILE *file = fopen("/proc/self/statm", "r");
	long total = 0;
	long resident = 0;
	int fields;

	assert(file);
	fields = fscanf(file, "%ld %ld", &total, &resident);
	fclose(file);
	return fields == 2 ? (double)resident * (double)sysconf(_SC_PAGESIZE)
			   : 0;
}

int main(void)
{
	capacity_report("process_resident", "bytes", resident_bytes());
	capacity_measure_peers();
	capacity_measure_http();
	capacity_measure_membership();
	capacity_measure_settings();
	capacity_measure_jobs();
	capacity_measure_workers();
	return 0;
}
