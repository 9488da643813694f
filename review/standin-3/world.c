#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define TICK_S 0.02
#define NS_PER_MS 1000000

static int64_t steady_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / NS_PER_MS;
}

int64_t world_now(const struct world *w)
{
	return steady_ms() - w->start_ms;
}

void world_note(struct world *w, const char *fmt, ...)
{
	int64_t now = world_now(w);
	va_list args;

	fprintf(w->record, "%3d.%03d  ", (int)(now / 1000), (int)(now % 1000));
	va_start(args, fmt);
	vfprintf(w->record, fmt, args);
	va_end(args);
	fputc('\n', w->record);
	fflush(w->record);
}

void respond(struct cq_http_exchange *exchange, uint32_t status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	cq_http_exchange_respond_json(exchange, status, text);
	free(text);
	json_decref(body);
}

json_t *read_body(struct cq_http_exchange *exchange)
{
	size_t len;
	const char *text = cq_http_exchange_body(exchange, &len);

	return json_loadb(text, len, 0, NULL);
}

struct open_call *call_open(struct world *w, struct cq_http_exchange *exchange)
{
	struct open_call *call = g_new0(struct open_call, 1);

	call->world = w;
	call->exchange = exchange;
	call->timer.data = call;
	cq_http_exchange_set_user(exchange, call);
	return call;
}

void call_close(struct open_call *call)
{
	if (call->exchange)
		cq_http_exchange_set_user(call->exchange, NULL);
	ev_timer_stop(call->world->loop, &call->timer);
	json_decref(call->late_txn);
	g_free(call->prefix);
	g_free(call);
}

struct cq_http_server *listen_at(struct world *w,
				 const struct cq_http_server_handler *handler,
				 void *ctx, uint16_t *port)
{
	struct cq_http_server_options options;
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_http_server *server;

	cq_http_server_options_init(&options, "127.0.0.1", 0);
	server = cq_http_server_create(w->loop, &options, handler, ctx, &err);
	if (!server) {
		fprintf(stderr, "%s\n", err.message);
		exit(2);
	}
	*port = cq_http_server_port(server);
	return server;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct world *w = timer->data;
	int i;

	(void)loop;
	(void)events;
	store_tick(w);
	for (i = 0; i < w->minion_count; i++)
		minion_tick(&w->minions[i]);
	for (i = 0; i < w->host_count; i++)
		if (w->hosts[i].pid &&
		    waitpid(w->hosts[i].pid, NULL, WNOHANG) > 0) {
			world_note(w, "host %d  the process has ended", i + 1);
			w->hosts[i].pid = 0;
			w->failed = true;
		}
}

struct world *world_create(const char *folder, FILE *record)
{
	struct world *w = g_new0(struct world, 1);

	w->loop = ev_default_loop(0);
	w->folder = folder;
	w->record = record;
	w->start_ms = steady_ms();
	w->client = cq_http_client_create(w->loop, 16, 16);
	store_open(w);
	ev_timer_init(&w->tick, on_tick, TICK_S, TICK_S);
	w->tick.data = w;
	ev_timer_start(w->loop, &w->tick);
	return w;
}

void world_destroy(struct world *w)
{
	int i;

	hosts_stop(w);
	cq_http_client_destroy(w->client);
	for (i = 0; i < w->minion_count; i++)
		minion_close(&w->minions[i]);
	store_close(w);
}

/*
 * A free port; it is closed again, so that the process can take it. It lies
 * below those that outgoing connections get.
 */
static uint16_t free_port(void)
{
	static unsigned int next;
	struct sockaddr_in at = { .sin_family = AF_INET };
	uint16_t port = 0;
	int tries;

	if (!next)
		next = (unsigned int)getpid() * 101;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (tries = 0; !port && tries < 1000; tries++) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		at.sin_port = htons((uint16_t)(12000 + next++ % 18000));
		if (fd >= 0 && !bind(fd, (struct sockaddr *)&at, sizeof(at)))
			port = ntohs(at.sin_port);
		if (fd >= 0)
			close(fd);
	}
	if (!port)
		exit(2);
	return port;
}

/* Bounds and limits are those of garba-milan. */
static void write_settings(struct world *w, int index)
{
	struct host *h = &w->hosts[index];
	FILE *file = fopen(h->settings, "w");

	if (!file)
		exit(2);
	fprintf(file,
		"{\"nodeName\":\"front-%d\",\"role\":\"host\",\"machineClass\":"
		"\"front\",\"serves\":[\"front\"],\"ip\":\"127.0.0.1\","
		"\"zone\":\"zone-a\",\"region\":\"region\",\"zones\":{"
		"\"zone-a\":\"region\"},\"listen\":{\"front\":\"127.0.0.1:%u\","
		"\"ready\":\"127.0.0.1:%u\",\"control\":\"127.0.0.1:%u\"},"
		"\"limits\":{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":260,"
		"\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0},"
		"\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\","
		"\"heartbeatMs\":1500,\"bounds\":{\"contactMs\":3000,"
		"\"ackMs\":4000,\"graceS\":6,\"configApplyMs\":2000,"
		"\"holdMaxMs\":10000,\"stopTimeoutMs\":400,"
		"\"gangTimeoutMs\":3000,\"cancel_ms\":3000,\"visible_ms\":3000,"
		"\"finish_s\":14,\"status_s\":120,\"remoteFactor\":3,"
		"\"requireFencing\":true,\"reclaimMs\":2900},"
		"\"orders\":\"invocation\",\"platform\":{\"address\":"
		"\"127.0.0.1:%u\",\"form\":\"kv\",\"writesPerS\":400,"
		"\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576,"
		"\"minTtlMs\":1000}}\n",
		index + 1, h->front, h->ready, h->control, w->store_port);
	fclose(file);
}

void host_start(struct world *w, const char *program)
{
	int index = w->host_count++;
	struct host *h = &w->hosts[index];
	int log;

	h->front = free_port();
	h->ready = free_port();
	h->control = free_port();
	h->settings = g_strdup_printf("%s/host-%d.json", w->folder, index + 1);
	h->log = g_strdup_printf("%s/host-%d.log", w->folder, index + 1);
	write_settings(w, index);
	h->pid = fork();
	if (h->pid < 0)
		exit(2);
	if (h->pid)
		return;
	/* It doesn't outlive this program, however that ends. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	log = open(h->log, O_WRONLY | O_CREAT | O_TRUNC, 0644);
	dup2(log, STDOUT_FILENO);
	dup2(log, STDERR_FILENO);
	setenv("CHESTNUTQUAY_NODE_FILE", h->settings, 1);
	execl(program, program, (char *)NULL);
	_exit(127);
}

void hosts_stop(struct world *w)
{
	int i;

	for (i = 0; i < w->host_count; i++) {
		if (!w->hosts[i].pid)
			continue;
		kill(w->hosts[i].pid, SIGKILL);
		waitpid(w->hosts[i].pid, NULL, 0);
		w->hosts[i].pid = 0;
	}
}

struct client_state {
	struct world *world;
	char *id, *method, *path;
	answer_fn *done;
};

static void on_answer(void *ctx, const struct cq_http_result *result)
{
	struct client_state *s = ctx;
	int status = result->outcome == CQ_HTTP_ANSWERED ? (int)result->status
							 : 0;

	world_note(s->world, "client  %s %s -> %d %.80s", s->method, s->path,
		   status, status ? result->body : result->error);
	if (s->done)
		s->done(s->world, s->id, status, status ? result->body : "");
	g_free(s->id);
	g_free(s->method);
	g_free(s->path);
	g_free(s);
}

struct cq_http_call *client_call(struct world *w, int host, const char *method,
				 const char *prefix, const char *id,
				 const char *body, answer_fn *done)
{
	static const struct cq_http_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "Host", HOST_NAME },
		{ "Authorization", "Token " KEY },
		{ "X-Deadline-Ms", "3000" },
		{ NULL, NULL },
	};
	struct client_state *s = g_new0(struct client_state, 1);
	struct cq_http_request request = {
		.method = method,
		.headers = headers,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.connect_timeout_ms = 1000,
		.timeout_ms = 3500,
		.max_answer_bytes = 1 << 20,
		.fresh_connection = true,
	};
	struct cq_http_call *call;
	char *url;

	s->world = w;
	s->id = g_strdup(id);
	s->method = g_strdup(method);
	s->path = g_strconcat(prefix, id, NULL);
	s->done = done;
	url = g_strdup_printf("http://127.0.0.1:%u%s", w->hosts[host].front,
			      s->path);
	request.url = url;
	world_note(w, "client  %s %s to host %d %s", method, s->path, host + 1,
		   body ? body : "");
	call = cq_http_client_send(w->client, &request, on_answer, s);
	g_free(url);
	return call;
}
