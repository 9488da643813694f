/*
 * HTTP server with the part of the platform's store that a follower uses, one
 * key with versions, behind a link of a given bandwidth that all connections
 * share, in both directions. Its connections can go silent.
 */
#ifndef CQ_TESTS_NARROW_STORE_H
#define CQ_TESTS_NARROW_STORE_H

#include <ev.h>
#include <stddef.h>
#include <stdint.h>

#define NARROW_STORE_KEY "op/config"

struct narrow_store;

struct narrow_store *narrow_store_create(struct ev_loop *loop,
					 uint32_t bytes_per_s);
void narrow_store_destroy(struct narrow_store *s);
/* HOST:PORT */
const char *narrow_store_address(const struct narrow_store *s);
/* Writes a version of the key, a text of so many bytes that is new each time */
void narrow_store_write(struct narrow_store *s, size_t value_bytes);
int64_t narrow_store_revision(const struct narrow_store *s);
/* Forgets all versions but the newest one; older watches are answered 410. */
void narrow_store_compact(struct narrow_store *s);
/* All connections that are open now go silent for good; new ones work. */
void narrow_store_silence(struct narrow_store *s);
/* The same as soon as so many further bytes have been sent. */
void narrow_store_silence_after(struct narrow_store *s, uint64_t bytes);
/* Bytes sent in all, and requests received with this path's beginning. */
uint64_t narrow_store_sent_bytes(const struct narrow_store *s);
uint32_t narrow_store_lists(const struct narrow_store *s);
/* The answer to requests that are neither a list nor a watch; it is copied. */
void narrow_store_set_answer(struct narrow_store *s, const char *body);
/* Length of the longest request body that was received as a whole. */
size_t narrow_store_longest_body(const struct narrow_store *s);

#endif
