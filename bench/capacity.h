/*
 * Parts of bench_capacity: slopes (memory of one object, bytes of one message,
 * processor time of one call) from which docs/CAPACITY.md is computed.
 *
 * Processor time is that of this process only: where a call needs a second
 * party, that one runs in a child process.
 */
#ifndef CQ_BENCH_CAPACITY_H
#define CQ_BENCH_CAPACITY_H

#include <stdint.h>

void capacity_line(const char *metric, const char *unit, double value);
/* Bytes allocated from the heap and in use. */
double capacity_heap_bytes(void);
/* User and system time of this process, microseconds. */
double capacity_cpu_us(void);

void capacity_peers(void);
void capacity_http(void);
void capacity_membership(void);
void capacity_settings(void);
/* Do nothing while the modules are not in the tree. */
void capacity_jobs(void);
void capacity_workers(void);

/*
 * Runs server(port_fd) in a child process; the server writes its port, two
 * bytes, to port_fd and ends with the pipe that this process holds. Returns
 * the port.
 */
uint16_t capacity_child_start(void (*server)(int port_fd, int life_fd));
void capacity_child_stop(void);

/* Bytes that an envelope and its frame add to a payload. */
extern double capacity_envelope_bytes;

#endif
