/* Slopes from which docs/CAPACITY.md is computed; see capacity.h. */
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
	capacity_line("process_resident", "bytes", resident_bytes());
	capacity_peers();
	capacity_http();
	capacity_membership();
	capacity_settings();
	capacity_jobs();
	capacity_workers();
	return 0;
}
