/*
 * Sockets of an HTTP client, counted per server address until the server has
 * closed them too.
 *
 * A connection that the client has closed may still be open at the server,
 * because the FIN is lost if the network path has failed. After the client's
 * close, a socket therefore stays half-closed and counts until the server
 * closes or resets the connection. If neither is seen, it counts until a
 * timeout, after which the server's own idle timeout must have closed it.
 */
#ifndef CQ_TRANSPORT_HTTP_SOCKETS_H
#define CQ_TRANSPORT_HTTP_SOCKETS_H

#include <curl/curl.h>
#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

struct http_sockets;

/*
 * max_per_address limits the sockets of one address. close_timeout_ms is the
 * longest time for which a socket counts after the client's close.
 */
struct http_sockets *http_sockets_create(struct ev_loop *loop,
					 uint32_t max_per_address,
					 uint32_t close_timeout_ms);
/* libcurl must have closed all its sockets before. */
void http_sockets_destroy(struct http_sockets *sockets);
/*
 * Returns CURL_SOCKET_BAD on an error. *limit_reached tells whether the cause
 * is the limit of the address.
 */
curl_socket_t http_sockets_open(struct http_sockets *sockets,
				const struct curl_sockaddr *address,
				bool *limit_reached);
/* Closes a socket or, if the server may have it open, half-closes it. */
void http_sockets_close(struct http_sockets *sockets, curl_socket_t fd);
/* Number of sockets that the client has closed and that still count. */
uint32_t http_sockets_half_closed_count(const struct http_sockets *sockets);

#endif
