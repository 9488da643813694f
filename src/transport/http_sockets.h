/*
 * Sockets of an HTTP client, counted for each address until the other side has
 * released them too.
 *
 * A connection that is closed here may be open at the other side: the end of
 * the stream is lost on a connection that went silent. After its close, a
 * socket stays half open and counts until the other side ends the stream or
 * resets it. Without that it counts until a deadline, by which the other
 * side's own limit on connections without traffic must have released it.
 */
#ifndef CQ_TRANSPORT_HTTP_SOCKETS_H
#define CQ_TRANSPORT_HTTP_SOCKETS_H

#include <curl/curl.h>
#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

struct http_sockets;

/* limit: of one address; hold_ms: from the close to the deadline. */
struct http_sockets *http_sockets_create(struct ev_loop *loop, uint32_t limit,
					 uint32_t hold_ms);
/* No socket may be in use any more. */
void http_sockets_destroy(struct http_sockets *sockets);
/* CURL_SOCKET_BAD with *full set if the address has no connection left. */
curl_socket_t http_sockets_open(struct http_sockets *sockets,
				const struct curl_sockaddr *address,
				bool *full);
void http_sockets_close(struct http_sockets *sockets, curl_socket_t fd);
/* Sockets that are closed here and still count. */
uint32_t http_sockets_held(const struct http_sockets *sockets);

#endif
