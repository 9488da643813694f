/*
 * Soak test with fault injection: runs hosts as real processes against a
 * simulated platform, injects faults from outside the processes, and checks
 * the answers to clients and the runs on workers against the invariants.
 */
#ifndef CQ_STANDINS_SOAK_H
#define CQ_STANDINS_SOAK_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "chestnutquay/http_client.h"

/* Components that listen on loopback addresses of the form 127.NET.x.y. */
enum soak_component {
	SOAK_PLATFORM,
	SOAK_WORKER_PROXY,
	SOAK_HOST,
	SOAK_STORE_PROXY,
};

#define SOAK_IP_BYTES 16
#define SOAK_STORE_PORT 7001
#define SOAK_FRONT_PORT 8521
#define SOAK_READY_PORT 8523
#define SOAK_MAX_HOSTS 200
#define SOAK_MAX_WORKERS 64

struct soak_options {
	const char *directory; /* holds the process id files of the hosts */
	uint64_t seed;
	int seconds; /* duration of fault injection, without the final check */
	int hosts;
	int workers;
	int net; /* second octet of the loopback addresses */
};

struct soak_proxy;
struct soak_timeline;
struct soak_clients;
struct soak_faults;
struct soak_config;

struct soak {
	struct soak_options options;
	struct ev_loop *loop;
	struct cq_http_client *http;
	GRand *random; /* for the client load; the faults use a generator of
			  their own */
	double start_s;
	struct soak_proxy *store_links[SOAK_MAX_HOSTS];
	struct soak_proxy *worker_links[SOAK_MAX_WORKERS];
	struct soak_timeline *timeline;
	struct soak_clients *clients;
	struct soak_faults *faults;
	struct soak_config *config;
	GPtrArray *violations; /* descriptions of violated invariants */
};

/*
 * Writes the address of a component. The index counts hosts and store proxies
 * from 0; it is ignored for the other components.
 */
void soak_ip(const struct soak *soak, enum soak_component component, int index,
	     char ip[SOAK_IP_BYTES]);
/* Time since the start, or since the faults began once all hosts are ready. */
int soak_now_ms(const struct soak *soak);
/* Prints and records a violated invariant. */
G_GNUC_PRINTF(2, 3)
void soak_violation(struct soak *soak, const char *format, ...);
/* Calls the control interface of the simulated platform; done may be NULL. */
void soak_control(struct soak *soak, const char *path, const char *body,
		  cq_http_done_fn *done, void *ctx);
/* Returns the process id of a host, or 0 while the host is down. */
int soak_host_pid(const struct soak *soak, int host);

/* proxy.c: TCP proxy between a listening address and a target address. */
enum soak_link {
	SOAK_LINK_NORMAL,
	SOAK_LINK_SLOW,	       /* bytes in both directions are delayed */
	SOAK_LINK_NO_REQUESTS, /* bytes to the target are held back */
	SOAK_LINK_NO_ANSWERS,  /* bytes from the target are held back */
	SOAK_LINK_SILENT,      /* bytes in both directions are held back */
};

struct soak_proxy *soak_proxy_create(struct ev_loop *loop,
				     const char *listen_ip, uint16_t port,
				     const char *target_ip,
				     uint16_t target_port);
void soak_proxy_destroy(struct soak_proxy *proxy);
void soak_proxy_set_link(struct soak_proxy *proxy, enum soak_link link);
/* Closes every open connection with a TCP reset. */
void soak_proxy_reset(struct soak_proxy *proxy);

/* timeline.c: text chart of a run, one row per host, link and worker. */
enum soak_row {
	SOAK_ROW_HOST,
	SOAK_ROW_STORE_LINK,
	SOAK_ROW_WORKER,
	SOAK_ROW_PLATFORM,
	SOAK_ROW_ACCEPTED,
	SOAK_ROW_REFUSED,
	SOAK_ROW_UNANSWERED,
	SOAK_ROW_COMPLETED,
};

struct soak_timeline *soak_timeline_create(const struct soak_options *options);
void soak_timeline_destroy(struct soak_timeline *timeline);
/* Marks the interval from from_ms to until_ms in a row with a letter. */
void soak_timeline_mark(struct soak_timeline *timeline, enum soak_row kind,
			int index, int from_ms, int until_ms, char letter);
/* Counts one event of the kind in the column of at_ms. */
void soak_timeline_count(struct soak_timeline *timeline, enum soak_row kind,
			 int at_ms);
void soak_timeline_print(const struct soak_timeline *timeline, FILE *out);

/* clients.c: submits, queries and cancels jobs, and checks the answers. */
struct soak_clients *soak_clients_create(struct soak *soak);
void soak_clients_destroy(struct soak_clients *clients);
void soak_clients_stop_submitting(struct soak_clients *clients);
/* Counts jobs being submitted and accepted jobs without a final state. */
int soak_clients_open(const struct soak_clients *clients);
/*
 * Checks all jobs against the tasks that the simulated platform ran. Each row
 * of "tasks" holds the task name, its starts and its ends of kind "done".
 */
void soak_clients_check(struct soak_clients *clients, const char *tasks_json);
void soak_clients_print(const struct soak_clients *clients, FILE *out);

/*
 * config.c: changes the configuration and checks that no host process returns
 * to an earlier version.
 */
struct soak_config *soak_config_create(struct soak *soak);
void soak_config_destroy(struct soak_config *config);
/* Writes the next version of the configuration to the store. */
void soak_config_change(struct soak_config *config);

/* faults.c: schedule of faults, determined by the seed. */
struct soak_faults *soak_faults_create(struct soak *soak);
void soak_faults_destroy(struct soak_faults *faults);
/* Ends all active faults and starts no more. */
void soak_faults_end(struct soak_faults *faults);
int soak_faults_count(const struct soak_faults *faults);

#endif
