/* Interfaces among the files of the stand-ins. */
#ifndef REVIEW_INTERNAL_H
#define REVIEW_INTERNAL_H

#include <pthread.h>
#include <time.h>

#include "standin.h"

struct request {
	char method[16];
	char path[512]; /* without the query */
	char query_text[1024];
	char expect_instance[128];
	char *body; /* NULL: none */
};

/* Returns the status; *out, if set, is the body. Called without the lock. */
typedef int handler_fn(void *ctx, struct request *r, json_t **out);

struct server {
	int listen_fd;
	char address[32];
	handler_fn *handler;
	void *ctx;
	bool cut;  /* reads nothing and answers nothing */
	bool dead; /* connections are reset */
	int fds[512];
	int fd_count;
};

/* Returned by a handler: the connection is reset, nothing is answered. */
#define STATUS_RESET (-1)

void lock(void);
void unlock(void);
void wait_locked(pthread_cond_t *cond, const struct timespec *until);
char *base64_encode(const char *data, size_t len);
char *base64_decode(const char *text);
/* The decoded value of a query's field; "" if absent. To be freed. */
char *query(const struct request *r, const char *name);
struct server *server_start(const char *ip, char *address, size_t bytes,
			    handler_fn *handler, void *ctx);
void server_kill(struct server *s);
void server_revive(struct server *s);
void store_put_locked(const char *key, const char *text);
void store_delete_locked(const char *key);
int free_port(const char *ip);
void hosts_end(void);

extern char store_address[32];
extern char work_dir[256];

#endif
