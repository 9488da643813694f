#include "transport/http_progress.h"

#include <glib.h>
#include <sys/socket.h>

#include "chestnutquay/clock.h"

/* A longer request body is written in several parts. */
#define UPLOAD_PART_BYTES 65536
/*
 * Send buffer of a connection. What is in it counts as sent, so it must be on
 * its way soon on a narrow link.
 */
#define SEND_BUFFER_BYTES 32768

struct http_progress {
	struct ev_loop *loop;
	ev_timer timer;
	double silence_s;
	curl_off_t sent_bytes; /* of the request's body */
	bool receiving;
	void (*expired)(void *ctx);
	void *ctx;
};

static void on_expired(struct ev_loop *loop, ev_timer *timer, int events);
static void restart(struct http_progress *p);
static int on_new_socket(void *userdata, curl_socket_t fd,
			 curlsocktype purpose);
static size_t on_header(char *data, size_t size, size_t n, void *userdata);
static int on_transfer(void *userdata, curl_off_t down_total, curl_off_t down,
		       curl_off_t up_total, curl_off_t up);

struct http_progress *
http_progress_create(struct ev_loop *loop, uint32_t first_ms,
		     uint32_t silence_ms, void (*expired)(void *ctx), void *ctx)
{
	struct http_progress *p = g_new0(struct http_progress, 1);

	p->loop = loop;
	p->silence_s = silence_ms / (double)CQ_MS_PER_S;
	p->expired = expired;
	p->ctx = ctx;
	ev_timer_init(&p->timer, on_expired, 0.,
		      first_ms / (double)CQ_MS_PER_S);
	/*
	 * Handled after the sockets: what has arrived while the process did not
	 * run counts.
	 */
	ev_set_priority(&p->timer, EV_MINPRI);
	p->timer.data = p;
	restart(p);
	return p;
}

void http_progress_destroy(struct http_progress *p)
{
	if (!p)
		return;
	ev_timer_stop(p->loop, &p->timer);
	g_free(p);
}

static void restart(struct http_progress *p)
{
	ev_now_update(p->loop);
	ev_timer_again(p->loop, &p->timer);
}

static void on_expired(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct http_progress *p = timer->data;

	(void)events;
	ev_timer_stop(loop, timer);
	p->expired(p->ctx);
}

void http_progress_received(struct http_progress *p)
{
	p->receiving = true;
	p->timer.repeat = p->silence_s;
	restart(p);
}

static int on_new_socket(void *userdata, curl_socket_t fd, curlsocktype purpose)
{
	int bytes = SEND_BUFFER_BYTES;

	(void)userdata;
	(void)purpose;
	/* Without it the connection works as well. */
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
	return CURL_SOCKOPT_OK;
}

/* The parameters are those of libcurl. */
/* NOLINTNEXTLINE(readability-non-const-parameter) */
static size_t on_header(char *data, size_t size, size_t n, void *userdata)
{
	struct http_progress *p = userdata;

	(void)data;
	/* The fields of a header arrive together. */
	if (!p->receiving)
		http_progress_received(p);
	return size * n;
}

static int on_transfer(void *userdata, curl_off_t down_total, curl_off_t down,
		       curl_off_t up_total, curl_off_t up)
{
	struct http_progress *p = userdata;

	(void)down_total;
	(void)down;
	(void)up_total;
	if (p->receiving || up == p->sent_bytes)
		return 0;
	p->sent_bytes = up;
	restart(p);
	return 0;
}

void http_progress_watch(struct http_progress *p, CURL *easy, size_t body_len)
{
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_new_socket);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, p);
	if (body_len <= UPLOAD_PART_BYTES)
		return;
	curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, on_transfer);
	curl_easy_setopt(easy, CURLOPT_XFERINFODATA, p);
}

bool http_progress_receiving(const struct http_progress *p)
{
	return p->receiving;
}
