#include "chestnutquay/http_client.h"

#include <assert.h>
#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#include "transport/http_progress.h"
#include "transport/http_sockets.h"

/* TCP keepalive: idle time before the first probe, and probe interval. */
#define KEEPALIVE_IDLE_S 5L
#define KEEPALIVE_INTERVAL_S 2L
/* A connection that was idle for longer is not reused. */
#define MAX_CONNECTION_AGE_S 30L
/* A call that makes progress is ended all the same after this time. */
#define MAX_TRANSFER_MS 60000L
/* Parameters of the FNV-1a hash. */
#define HASH_SEED 2166136261U
#define HASH_PRIME 16777619U

/*
 * The connections to a part of the addresses. libcurl walks all connections of
 * a multi handle once a second and whenever it closes an idle one, so each
 * partition has a multi handle of its own.
 */
struct partition {
	struct cq_http_client *client;
	CURLM *multi;
	ev_timer timer;
	GHashTable *sockets; /* fd -> struct socket_watch, owned */
};

struct cq_http_client {
	struct ev_loop *loop;
	struct partition *partitions;
	uint32_t partition_count;
	GHashTable *calls;		  /* set of struct cq_http_call */
	GPtrArray *idle_handles;	  /* CURL handles for reuse */
	struct http_sockets *connections; /* NULL without a connection limit */
};

struct cq_http_call {
	struct cq_http_client *client;
	struct partition *partition;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	size_t body_len;
	GByteArray *answer;
	uint32_t max_answer_bytes;
	bool limit_reached;
	bool too_large;
	/* Limits the time without progress; NULL: only the whole time. */
	struct http_progress *progress;
	bool (*may_send)(void *ctx);
	void *may_send_ctx;
	cq_http_done_fn *done;
	void *ctx;
};

struct socket_watch {
	ev_io io;
	struct partition *partition;
};

static const char *const outcome_strings[] = {
	[CQ_HTTP_ANSWERED] = "answered",
	[CQ_HTTP_NOT_SENT] = "not_sent",
	[CQ_HTTP_UNKNOWN] = "unknown",
};

static curl_socket_t on_open_socket(void *userdata, curlsocktype purpose,
				    struct curl_sockaddr *address);
static int on_close_socket(void *userdata, curl_socket_t fd);
static int on_before_request(void *userdata, char *remote_ip, char *local_ip,
			     int remote_port, int local_port);
static size_t on_write(char *data, size_t size, size_t n, void *userdata);
static void on_no_progress(void *ctx);
static int on_socket(CURL *easy, curl_socket_t fd, int what, void *userp,
		     void *socketp);
static int on_multi_timer(CURLM *multi, long timeout_ms, void *userp);
static void on_io(struct ev_loop *loop, ev_io *watcher, int events);
static void on_timer(struct ev_loop *loop, ev_timer *watcher, int events);
static void collect_finished(struct partition *partition);
static void call_finished(struct cq_http_call *call, CURLcode code);
static void call_unlink(struct cq_http_call *call);
static void call_free(struct cq_http_call *call);
static void set_options(struct cq_http_call *call,
			const struct cq_http_request *request);
static void socket_watch_free(void *data);
static void partition_open(struct partition *partition,
			   struct cq_http_client *client, uint32_t max_per_host,
			   uint32_t max_idle);
static void partition_close(struct partition *partition);
static struct partition *find_partition(struct cq_http_client *client,
					const char *url);

const char *cq_http_outcome_string(enum cq_http_outcome outcome)
{
	return outcome_strings[outcome];
}

static void socket_watch_free(void *data)
{
	struct socket_watch *watch = data;

	ev_io_stop(watch->partition->client->loop, &watch->io);
	g_free(watch);
}

static void partition_open(struct partition *partition,
			   struct cq_http_client *client, uint32_t max_per_host,
			   uint32_t max_idle)
{
	CURLM *multi = curl_multi_init();

	partition->client = client;
	partition->multi = multi;
	partition->sockets =
		g_hash_table_new_full(NULL, NULL, NULL, socket_watch_free);
	curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, partition);
	curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, on_multi_timer);
	curl_multi_setopt(multi, CURLMOPT_TIMERDATA, partition);
	curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)max_per_host);
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, (long)max_idle);
	ev_timer_init(&partition->timer, on_timer, 0., 0.);
	partition->timer.data = partition;
}

static void partition_close(struct partition *partition)
{
	curl_multi_cleanup(partition->multi);
	ev_timer_stop(partition->client->loop, &partition->timer);
	g_hash_table_destroy(partition->sockets);
}

struct cq_http_client *cq_http_client_create(struct ev_loop *loop,
					     uint32_t max_per_host,
					     uint32_t max_idle)
{
	return cq_http_client_create_partitioned(loop, max_per_host, max_idle,
						 1);
}

struct cq_http_client *
cq_http_client_create_partitioned(struct ev_loop *loop, uint32_t max_per_host,
				  uint32_t max_idle, uint32_t partition_count)
{
	struct cq_http_client *client = g_new0(struct cq_http_client, 1);
	uint32_t max_idle_each =
		(max_idle + partition_count - 1) / partition_count;
	uint32_t i;

	assert(partition_count);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	client->loop = loop;
	client->calls = g_hash_table_new(NULL, NULL);
	client->idle_handles = g_ptr_array_new();
	client->partition_count = partition_count;
	client->partitions = g_new0(struct partition, partition_count);
	for (i = 0; i < partition_count; i++)
		partition_open(&client->partitions[i], client, max_per_host,
			       max_idle_each);
	return client;
}

void cq_http_client_destroy(struct cq_http_client *client)
{
	GHashTableIter iter;
	gpointer key;
	guint i;

	if (!client)
		return;
	g_hash_table_iter_init(&iter, client->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct cq_http_call *call = key;

		curl_multi_remove_handle(call->partition->multi, call->easy);
		call_free(call);
	}
	g_hash_table_destroy(client->calls);
	for (i = 0; i < client->idle_handles->len; i++)
		curl_easy_cleanup(g_ptr_array_index(client->idle_handles, i));
	g_ptr_array_free(client->idle_handles, TRUE);
	for (i = 0; i < client->partition_count; i++)
		partition_close(&client->partitions[i]);
	http_sockets_destroy(client->connections);
	g_free(client->partitions);
	g_free(client);
}

void cq_http_client_limit_connections(struct cq_http_client *client,
				      uint32_t max_per_address,
				      uint32_t close_timeout_ms)
{
	assert(!client->connections);
	client->connections = http_sockets_create(client->loop, max_per_address,
						  close_timeout_ms);
}

uint32_t cq_http_client_half_closed_count(const struct cq_http_client *client)
{
	return client->connections
		       ? http_sockets_half_closed_count(client->connections)
		       : 0;
}

static curl_socket_t on_open_socket(void *userdata, curlsocktype purpose,
				    struct curl_sockaddr *address)
{
	struct cq_http_call *call = userdata;

	(void)purpose;
	return http_sockets_open(call->client->connections, address,
				 &call->limit_reached);
}

static int on_close_socket(void *userdata, curl_socket_t fd)
{
	http_sockets_close(userdata, fd);
	return 0;
}

/* Bytes of the request that were written, on all its connections. */
static long written_bytes(const struct cq_http_call *call)
{
	long bytes = 0;

	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &bytes);
	return bytes;
}

/*
 * Runs before each attempt to write the request. libcurl makes another one on a
 * new connection if a reused one ends before an answer, for POST as well. The
 * server may have executed what was written, so nothing is written again.
 */
/* The parameters are those of libcurl. */
/* NOLINTNEXTLINE(readability-non-const-parameter) */
static int on_before_request(void *userdata, char *remote_ip, char *local_ip,
			     int remote_port, int local_port)
{
	const struct cq_http_call *call = userdata;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	if (written_bytes(call))
		return CURL_PREREQFUNC_ABORT;
	if (call->may_send && !call->may_send(call->may_send_ctx))
		return CURL_PREREQFUNC_ABORT;
	return CURL_PREREQFUNC_OK;
}

static size_t on_write(char *data, size_t size, size_t n, void *userdata)
{
	struct cq_http_call *call = userdata;

	if (call->progress)
		http_progress_received(call->progress);
	if (call->answer->len + size * n > call->max_answer_bytes) {
		call->too_large = true;
		return 0;
	}
	g_byte_array_append(call->answer, (const guint8 *)data,
			    (guint)(size * n));
	return size * n;
}

static void on_no_progress(void *ctx)
{
	call_finished(ctx, CURLE_OPERATION_TIMEDOUT);
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *userp,
		     void *socketp)
{
	struct partition *partition = userp;
	struct socket_watch *watch = socketp;
	int events = (what & CURL_POLL_IN ? EV_READ : 0) |
		     (what & CURL_POLL_OUT ? EV_WRITE : 0);

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		g_hash_table_remove(partition->sockets, GINT_TO_POINTER(fd));
		return 0;
	}
	if (!watch) {
		watch = g_new0(struct socket_watch, 1);
		watch->partition = partition;
		ev_io_init(&watch->io, on_io, fd, events);
		watch->io.data = partition;
		g_hash_table_replace(partition->sockets, GINT_TO_POINTER(fd),
				     watch);
		curl_multi_assign(partition->multi, fd, watch);
	} else {
		ev_io_stop(partition->client->loop, &watch->io);
		ev_io_set(&watch->io, fd, events);
	}
	ev_io_start(partition->client->loop, &watch->io);
	return 0;
}

static int on_multi_timer(CURLM *multi, long timeout_ms, void *userp)
{
	struct partition *partition = userp;

	(void)multi;
	ev_timer_stop(partition->client->loop, &partition->timer);
	if (timeout_ms < 0)
		return 0;
	ev_now_update(partition->client->loop);
	ev_timer_set(&partition->timer, (double)timeout_ms / 1000.0, 0.);
	ev_timer_start(partition->client->loop, &partition->timer);
	return 0;
}

static void on_io(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct partition *partition = watcher->data;
	int running;
	int mask = (events & EV_READ ? CURL_CSELECT_IN : 0) |
		   (events & EV_WRITE ? CURL_CSELECT_OUT : 0);

	(void)loop;
	curl_multi_socket_action(partition->multi, watcher->fd, mask, &running);
	collect_finished(partition);
}

static void on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct partition *partition = watcher->data;
	int running;

	(void)loop;
	(void)events;
	curl_multi_socket_action(partition->multi, CURL_SOCKET_TIMEOUT, 0,
				 &running);
	collect_finished(partition);
}

static void collect_finished(struct partition *partition)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(partition->multi, &left))) {
		struct cq_http_call *call;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&call);
		call_finished(call, message->data.result);
	}
}

static void call_finished(struct cq_http_call *call, CURLcode code)
{
	struct cq_http_result result = { .call = call, .error = "" };
	bool written = written_bytes(call) > 0;
	long status = 0;

	call_unlink(call);
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (code == CURLE_OK) {
		result.outcome = CQ_HTTP_ANSWERED;
		result.status = (uint32_t)status;
		g_byte_array_append(call->answer, (const guint8 *)"", 1);
		result.body = (const char *)call->answer->data;
		result.body_len = call->answer->len - 1;
	} else {
		result.outcome = written ? CQ_HTTP_UNKNOWN : CQ_HTTP_NOT_SENT;
		result.connection_limit_reached = call->limit_reached &&
						  !written;
		result.timed_out = code == CURLE_OPERATION_TIMEDOUT;
		result.too_large = call->too_large ||
				   code == CURLE_FILESIZE_EXCEEDED;
		result.error = written && code == CURLE_ABORTED_BY_CALLBACK
				       ? "the connection ended before an answer"
				       : curl_easy_strerror(code);
		result.body = "";
	}
	call->done(call->ctx, &result);
	call_free(call);
}

const char *cq_http_result_header(const struct cq_http_result *result,
				  const char *name)
{
	struct curl_header *header;

	if (curl_easy_header(result->call->easy, name, 0, CURLH_HEADER, -1,
			     &header) != CURLHE_OK)
		return NULL;
	return header->value;
}

static void call_unlink(struct cq_http_call *call)
{
	curl_multi_remove_handle(call->partition->multi, call->easy);
	g_hash_table_remove(call->client->calls, call);
}

static void call_free(struct cq_http_call *call)
{
	http_progress_destroy(call->progress);
	curl_easy_reset(call->easy);
	g_ptr_array_add(call->client->idle_handles, call->easy);
	curl_slist_free_all(call->headers);
	g_byte_array_free(call->answer, TRUE);
	g_free(call->body);
	g_free(call);
}

/* Limits the time without progress, in place of the time of the whole call. */
static void limit_silence(struct cq_http_call *call,
			  const struct cq_http_request *request)
{
	CURL *easy = call->easy;

	call->progress = http_progress_create(call->client->loop,
					      request->timeout_ms,
					      request->max_silence_ms,
					      on_no_progress, call);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)request->timeout_ms + MAX_TRANSFER_MS);
	http_progress_watch(call->progress, easy, request->body_len);
}

static void set_options(struct cq_http_call *call,
			const struct cq_http_request *request)
{
	const struct cq_http_header *header;
	CURL *easy = call->easy;

	for (header = request->headers; header && header->name; header++) {
		char *line =
			g_strdup_printf("%s: %s", header->name, header->value);

		call->headers = curl_slist_append(call->headers, line);
		g_free(line);
	}
	/* Suppresses "Expect: 100-continue", which costs a round trip. */
	call->headers = curl_slist_append(call->headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)request->connect_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	if (request->max_silence_ms)
		limit_silence(call, request);
	curl_easy_setopt(easy, CURLOPT_MAXFILESIZE_LARGE,
			 (curl_off_t)call->max_answer_bytes);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MAX_CONNECTION_AGE_S);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
			 request->fresh_connection ? 1L : 0L);
	/* Idle ones would never be reused and would fill the limit. */
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE,
			 request->fresh_connection ? 1L : 0L);
	curl_easy_setopt(easy, CURLOPT_HTTP09_ALLOWED, 0L);
	/* Hosts are numeric. libcurl walks the whole cache after each call. */
	curl_easy_setopt(easy, CURLOPT_DNS_CACHE_TIMEOUT, 0L);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_request);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	if (call->client->connections) {
		curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION,
				 on_open_socket);
		curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, call);
		curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION,
				 on_close_socket);
		curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA,
				 call->client->connections);
	}
	if (call->body_len || !strcmp(request->method, "POST") ||
	    !strcmp(request->method, "PUT")) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)call->body_len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
				 call->body ? call->body : "");
	}
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
}

/* All calls to an address (host and port) use the same partition. */
static struct partition *find_partition(struct cq_http_client *client,
					const char *url)
{
	static const char scheme[] = "http://";
	const char *address =
		g_str_has_prefix(url, scheme) ? url + strlen(scheme) : url;
	size_t len = strcspn(address, "/");
	uint32_t hash = HASH_SEED;
	size_t i;

	for (i = 0; i < len; i++)
		hash = (hash ^ (unsigned char)address[i]) * HASH_PRIME;
	/* The low bits alone depend on the low bits of the characters only. */
	hash ^= hash >> 16;
	return &client->partitions[hash % client->partition_count];
}

struct cq_http_call *cq_http_client_send(struct cq_http_client *client,
					 const struct cq_http_request *request,
					 cq_http_done_fn *done, void *ctx)
{
	struct cq_http_call *call = g_new0(struct cq_http_call, 1);

	assert(request->method && request->url && done);
	call->client = client;
	call->partition = find_partition(client, request->url);
	call->done = done;
	call->ctx = ctx;
	call->may_send = request->may_send;
	call->may_send_ctx = request->may_send_ctx;
	call->max_answer_bytes = request->max_answer_bytes
					 ? request->max_answer_bytes
					 : 4U << 20;
	call->answer = g_byte_array_new();
	call->body_len = request->body_len;
	if (request->body_len)
		call->body = g_memdup2(request->body, request->body_len);
	if (client->idle_handles->len)
		call->easy = g_ptr_array_remove_index_fast(
			client->idle_handles, client->idle_handles->len - 1);
	else
		call->easy = curl_easy_init();
	set_options(call, request);
	g_hash_table_add(client->calls, call);
	curl_multi_add_handle(call->partition->multi, call->easy);
	return call;
}

void cq_http_call_cancel(struct cq_http_call *call)
{
	call_unlink(call);
	call_free(call);
}

bool cq_http_call_answering(const struct cq_http_call *call)
{
	return call->progress && http_progress_receiving(call->progress);
}

uint32_t cq_http_client_open_calls(const struct cq_http_client *client)
{
	return g_hash_table_size(client->calls);
}
