/*
 * The fault soak: hosts as real processes against the stand-in of the
 * platform, faults from outside them, and a check of what callers and workers
 * saw against the promises.
 */
#ifndef CQ_STANDINS_SOAK_H
#define CQ_STANDINS_SOAK_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "chestnutquay/http_client.h"

/* Parts of a run; the addresses are 127.NET.x.y on loopback. */
enum soak_place {
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
	const char *directory; /* of the process ids and the report */
	uint64_t seed;
	int seconds; /* of faults; the check follows */
	int hosts;
	int workers;
	int net; /* second number of the addresses */
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
	GRand *random; /* of the load; the faults have their own */
	double start_s;
	struct soak_proxy *store_links[SOAK_MAX_HOSTS];
	struct soak_proxy *worker_links[SOAK_MAX_WORKERS];
	struct soak_timeline *timeline;
	struct soak_clients *clients;
	struct soak_faults *faults;
	struct soak_config *config;
	GPtrArray *breaches; /* text */
};

/* Hosts and store proxies are numbered from 0. */
void soak_ip(const struct soak *soak, enum soak_place place, int index,
	     char ip[SOAK_IP_BYTES]);
int soak_now_ms(const struct soak *soak);
G_GNUC_PRINTF(2, 3)
void soak_breach(struct soak *soak, const char *format, ...);
/* A call of the stand-in's control interface; done may be NULL. */
void soak_control(struct soak *soak, const char *path, const char *body,
		  cq_http_done_fn *done, void *ctx);
/* Process id of a host; 0 while it is down. */
int soak_host_pid(const struct soak *soak, int host);

/* proxy.c: one listening address that forwards to another. */
enum soak_link {
	SOAK_LINK_FINE,
	SOAK_LINK_SLOW,
	SOAK_LINK_NO_REQUESTS, /* bytes towards the target are held */
	SOAK_LINK_NO_ANSWERS,
	SOAK_LINK_SILENT, /* both */
};

struct soak_proxy *soak_proxy_create(struct ev_loop *loop,
				     const char *listen_ip, uint16_t port,
				     const char *target_ip,
				     uint16_t target_port);
void soak_proxy_destroy(struct soak_proxy *proxy);
void soak_proxy_set(struct soak_proxy *proxy, enum soak_link link);
/* Closes every connection with a reset. */
void soak_proxy_reset(struct soak_proxy *proxy);

/* timeline.c: what happened when, one row a host, link or worker. */
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
/* Marks the time from from_ms to until_ms of a row with a letter. */
void soak_timeline_mark(struct soak_timeline *timeline, enum soak_row kind,
			int index, int from_ms, int until_ms, char letter);
void soak_timeline_count(struct soak_timeline *timeline, enum soak_row kind,
			 int at_ms);
void soak_timeline_print(const struct soak_timeline *timeline, FILE *out);

/* clients.c: jobs handed in, asked for and cancelled, and what was answered. */
struct soak_clients *soak_clients_create(struct soak *soak);
void soak_clients_destroy(struct soak_clients *clients);
void soak_clients_stop_submitting(struct soak_clients *clients);
/* Accepted jobs without a final state. */
int soak_clients_open(const struct soak_clients *clients);
/* tasks: rows of task, starts and ends "done", from the stand-in. */
void soak_clients_check(struct soak_clients *clients, const char *tasks_json);
void soak_clients_print(const struct soak_clients *clients, FILE *out);

/* config.c: configurations that change, and whether a host goes back. */
struct soak_config *soak_config_create(struct soak *soak);
void soak_config_destroy(struct soak_config *config);
void soak_config_change(struct soak_config *config);

/* faults.c: the seeded schedule. */
struct soak_faults *soak_faults_create(struct soak *soak);
void soak_faults_destroy(struct soak_faults *faults);
/* Heals everything; no more faults begin. */
void soak_faults_end(struct soak_faults *faults);
int soak_faults_count(const struct soak_faults *faults);

#endif
