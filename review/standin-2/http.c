/* A small HTTP/1.1 server, a client, base64, the lock and the record. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "internal.h"

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;
static FILE *record_file;
static int64_t began_ms;
char work_dir[256];

void lock(void)
{
	pthread_mutex_lock(&mutex);
}

void unlock(void)
{
	pthread_mutex_unlock(&mutex);
}

void wait_locked(pthread_cond_t *cond, const struct timespec *until)
{
	pthread_cond_timedwait(cond, &mutex, until);
}

int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void sleep_ms(int ms)
{
	struct timespec ts = { ms / 1000, (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

bool trouble(void)
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0");
}

void record(const char *fmt, ...)
{
	int64_t at = now_ms() - began_ms;
	va_list args;

	if (!record_file)
		return;
	pthread_mutex_lock(&record_mutex);
	fprintf(record_file, "%7.3f ", (double)at / 1000.0);
	va_start(args, fmt);
	vfprintf(record_file, fmt, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_mutex);
}

static void on_alarm(int signum)
{
	(void)signum;
	hosts_end();
	_exit(2);
}

static void on_term(int signum)
{
	(void)signum;
	hosts_end();
	_exit(2);
}

void begin(const char *case_dir)
{
	const char *tmp = getenv("TMPDIR");
	char path[512];

	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	signal(SIGTERM, on_term);
	signal(SIGINT, on_term);
	alarm(115);
	snprintf(path, sizeof(path), "%s/record.txt", case_dir);
	record_file = fopen(path, "w");
	snprintf(work_dir, sizeof(work_dir), "%s/review2-XXXXXX",
		 tmp ? tmp : "/tmp");
	if (!record_file || !mkdtemp(work_dir))
		exit(2);
	began_ms = now_ms();
	record("TROUBLE=%d", trouble());
}

void finish(int code, const char *result)
{
	char command[320];

	record("result: %s (exit %d)", result, code);
	printf("%s (exit %d)\n", result, code);
	fflush(stdout);
	hosts_end();
	if (!getenv("KEEP")) {
		snprintf(command, sizeof(command), "rm -rf '%s'", work_dir);
		if (system(command))
			fprintf(stderr, "%s is left\n", work_dir);
	}
	_exit(code);
}

static const char digits[] =
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

char *base64_encode(const char *data, size_t len)
{
	const unsigned char *in = (const unsigned char *)data;
	char *out = malloc(len / 3 * 4 + 5), *at = out;
	size_t i;

	for (i = 0; i < len; i += 3) {
		unsigned n = in[i] << 16 | (i + 1 < len ? in[i + 1] << 8 : 0) |
			     (i + 2 < len ? in[i + 2] : 0);

		*at++ = digits[n >> 18];
		*at++ = digits[n >> 12 & 63];
		*at++ = i + 1 < len ? digits[n >> 6 & 63] : '=';
		*at++ = i + 2 < len ? digits[n & 63] : '=';
	}
	*at = 0;
	return out;
}

char *base64_decode(const char *text)
{
	char *out = malloc(strlen(text) + 1), *at = out;
	unsigned bits = 0;
	int count = 0;

	for (; *text && *text != '='; text++) {
		const char *digit = strchr(digits, *text);

		if (!digit)
			continue;
		bits = bits << 6 | (unsigned)(digit - digits);
		count += 6;
		if (count >= 8) {
			count -= 8;
			*at++ = (char)(bits >> count & 255);
		}
	}
	*at = 0;
	return out;
}

char *query(const struct request *r, const char *name)
{
	const char *at = r->query_text;
	size_t len = strlen(name);
	char *out = calloc(1, strlen(at) + 1), *to = out;

	while (*at) {
		size_t n = strcspn(at, "&");

		if (n > len && !strncmp(at, name, len) && at[len] == '=') {
			for (size_t i = len + 1; i < n; i++) {
				if (at[i] == '%' && i + 2 < n) {
					char hex[3] = { at[i + 1], at[i + 2] };

					*to++ = (char)strtol(hex, NULL, 16);
					i += 2;
				} else {
					*to++ = at[i];
				}
			}
			break;
		}
		at += n + (at[n] == '&');
	}
	return out;
}

struct connection {
	struct server *server;
	int fd;
};

static bool send_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

static bool respond(int fd, int status, json_t *body)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("{}");
	char head[160];
	bool ok;

	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 status, strlen(text));
	ok = send_all(fd, head, strlen(head)) &&
	     send_all(fd, text, strlen(text));
	free(text);
	return ok;
}

static void header(const char *head, const char *name, char *out, size_t bytes)
{
	const char *line = strstr(head, "\r\n");

	*out = 0;
	while (line && line[2] != '\r') {
		size_t len = strlen(name);

		line += 2;
		if (!strncasecmp(line, name, len) && line[len] == ':') {
			line += len + 1;
			while (*line == ' ')
				line++;
			snprintf(out, bytes, "%.*s", (int)strcspn(line, "\r"),
				 line);
			return;
		}
		line = strstr(line, "\r\n");
	}
}

/* Drops whatever arrives while the server is cut off. */
static bool held_up(const struct server *s)
{
	return s->cut;
}

static void *serve_connection(void *arg)
{
	struct connection *c = arg;
	struct server *s = c->server;
	size_t size = 1 << 16, len = 0;
	char *buffer = malloc(size);

	for (;;) {
		struct request r = { .body = NULL };
		char number[32];
		char *end, *mark;
		size_t total, body_len;
		json_t *out = NULL;
		int status;

		while (!(end = len ? memmem(buffer, len, "\r\n\r\n", 4)
				   : NULL)) {
			ssize_t n;

			if (len + 1 >= size)
				goto done;
			n = recv(c->fd, buffer + len, size - len - 1, 0);
			if (n <= 0)
				goto done;
			len += (size_t)n;
			buffer[len] = 0;
		}
		header(buffer, "Content-Length", number, sizeof(number));
		header(buffer, "X-Expect-Instance", r.expect_instance,
		       sizeof(r.expect_instance));
		body_len = (size_t)atol(number);
		total = (size_t)(end - buffer) + 4 + body_len;
		if (total + 1 > size) {
			size = total + 1;
			buffer = realloc(buffer, size);
		}
		while (len < total) {
			ssize_t n = recv(c->fd, buffer + len, total - len, 0);

			if (n <= 0)
				goto done;
			len += (size_t)n;
		}
		if (sscanf(buffer, "%15s %511s", r.method, r.path) != 2)
			goto done;
		mark = strchr(r.path, '?');
		if (mark) {
			*mark = 0;
			snprintf(r.query_text, sizeof(r.query_text), "%s",
				 mark + 1);
		}
		r.body = strndup(buffer + total - body_len, body_len);
		/* Behind a cut the request has not arrived, and is lost. */
		if (held_up(s)) {
			free(r.body);
			while (held_up(s))
				sleep_ms(5);
			goto done;
		}
		status = s->handler(s->ctx, &r, &out);
		free(r.body);
		if (status == STATUS_RESET || s->dead)
			goto done;
		if (held_up(s)) {
			json_decref(out);
			while (held_up(s))
				sleep_ms(5);
			goto done;
		}
		if (!respond(c->fd, status, out))
			goto done;
		json_decref(out);
		len -= total;
		memmove(buffer, buffer + total, len);
	}
done:
	lock();
	for (int i = 0; i < s->fd_count; i++)
		if (s->fds[i] == c->fd)
			s->fds[i] = s->fds[--s->fd_count];
	unlock();
	if (s->dead || s->cut) {
		struct linger now = { 1, 0 };

		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	}
	close(c->fd);
	free(buffer);
	free(c);
	return NULL;
}

static void *accept_connections(void *arg)
{
	struct server *s = arg;

	for (;;) {
		int fd = accept(s->listen_fd, NULL, NULL);
		int one = 1;
		struct connection *c;
		pthread_t thread;

		if (fd < 0)
			return NULL;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = malloc(sizeof(*c));
		*c = (struct connection){ s, fd };
		lock();
		if (s->fd_count < 512)
			s->fds[s->fd_count++] = fd;
		unlock();
		if (pthread_create(&thread, NULL, serve_connection, c))
			exit(2);
		pthread_detach(thread);
	}
}

static int listen_at(const char *ip, int port)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	inet_pton(AF_INET, ip, &at.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) || listen(fd, 256)) {
		perror("listen");
		exit(2);
	}
	return fd;
}

static int port_of(int fd)
{
	struct sockaddr_in at;
	socklen_t len = sizeof(at);

	getsockname(fd, (struct sockaddr *)&at, &len);
	return ntohs(at.sin_port);
}

int free_port(const char *ip)
{
	int fd = listen_at(ip, 0);
	int port = port_of(fd);

	close(fd);
	return port;
}

struct server *server_start(const char *ip, char *address, size_t bytes,
			    handler_fn *handler, void *ctx)
{
	struct server *s = calloc(1, sizeof(*s));
	pthread_t thread;

	s->listen_fd = listen_at(ip, 0);
	s->handler = handler;
	s->ctx = ctx;
	snprintf(s->address, sizeof(s->address), "%s:%d", ip,
		 port_of(s->listen_fd));
	snprintf(address, bytes, "%s", s->address);
	pthread_create(&thread, NULL, accept_connections, s);
	pthread_detach(thread);
	return s;
}

/* The lock is held. */
void server_kill(struct server *s)
{
	s->dead = true;
	shutdown(s->listen_fd, SHUT_RDWR);
	close(s->listen_fd);
	for (int i = 0; i < s->fd_count; i++) {
		struct linger now = { 1, 0 };

		setsockopt(s->fds[i], SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		shutdown(s->fds[i], SHUT_RDWR);
	}
}

/* The lock is held; the connections of before have ended. */
void server_revive(struct server *s)
{
	char ip[32];
	int port;
	pthread_t thread;

	snprintf(ip, sizeof(ip), "%.*s", (int)strcspn(s->address, ":"),
		 s->address);
	port = atoi(strchr(s->address, ':') + 1);
	s->listen_fd = listen_at(ip, port);
	s->dead = false;
	pthread_create(&thread, NULL, accept_connections, s);
	pthread_detach(thread);
}
