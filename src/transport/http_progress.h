/*
 * Watches the progress of one HTTP call: a transfer may take long on a narrow
 * link as long as bytes go on arriving, while a connection that has gone silent
 * is noticed after a fixed time, whatever the size of the answer.
 */
#ifndef CQ_TRANSPORT_HTTP_PROGRESS_H
#define CQ_TRANSPORT_HTTP_PROGRESS_H

#include <curl/curl.h>
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_progress;

/*
 * expired runs once if nothing was sent or received for first_ms before the
 * answer begins, or nothing was received for silence_ms after that. It may
 * destroy the object.
 */
struct http_progress *http_progress_create(struct ev_loop *loop,
					   uint32_t first_ms,
					   uint32_t silence_ms,
					   void (*expired)(void *ctx),
					   void *ctx);
void http_progress_destroy(struct http_progress *p);
/*
 * Notes what libcurl sends and receives for the call, except for the answer's
 * body, which the caller receives.
 */
void http_progress_watch(struct http_progress *p, CURL *easy, size_t body_len);
/* A part of the answer has arrived. */
void http_progress_received(struct http_progress *p);
/* Whether a part of the answer has arrived. */
bool http_progress_receiving(const struct http_progress *p);

#endif
