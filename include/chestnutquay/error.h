/*
 * Error values passed down the call chain.
 *
 * A function that can fail takes a struct cq_error pointer as its last
 * argument and returns false, NULL or a negative number after filling it in.
 * Each layer reports errors in its own domain and translates those of the
 * layer below with cq_error_wrap().
 */
#ifndef CHESTNUTQUAY_ERROR_H
#define CHESTNUTQUAY_ERROR_H

#include <stdbool.h>
#include <stdint.h>

#define CQ_ERROR_MESSAGE_BYTES 256

/* The layer that reports an error. */
enum cq_error_domain {
	CQ_ERROR_NONE,
	CQ_ERROR_BASE,
	CQ_ERROR_TRANSPORT,
	CQ_ERROR_PROTOCOL,
	CQ_ERROR_STATE,
	CQ_ERROR_COORDINATION,
	CQ_ERROR_PROGRAM,
};

/* Kind of failure. */
enum cq_error_code {
	CQ_OK,
	CQ_ERR_INVALID,	    /* input out of range, malformed or unknown */
	CQ_ERR_NOT_FOUND,   /* the requested object does not exist */
	CQ_ERR_CONFLICT,    /* modified concurrently by another writer */
	CQ_ERR_UNAVAILABLE, /* not reachable; the operation had no effect */
	CQ_ERR_UNKNOWN,	    /* request sent, outcome unknown */
	CQ_ERR_TIMEOUT,	    /* the deadline passed */
	CQ_ERR_LIMIT,	    /* a size, count or rate limit was reached */
	CQ_ERR_DENIED,	    /* not allowed */
	CQ_ERR_STALE,	    /* outdated epoch, revision or permit */
	CQ_ERR_SYSTEM,	    /* a system call or library failed */
};

struct cq_error {
	enum cq_error_domain domain;
	enum cq_error_code code;
	char message[CQ_ERROR_MESSAGE_BYTES];
};

#define CQ_ERROR_INIT                 \
	{                             \
		CQ_ERROR_NONE, CQ_OK, \
		{                     \
			0             \
		}                     \
	}

/* Sets the error; a NULL error is allowed and ignored. Returns false. */
bool cq_error_set(struct cq_error *err, enum cq_error_domain domain,
		  enum cq_error_code code, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/*
 * Changes the domain of an error reported by a lower layer: keeps its code and
 * puts a prefix before its message. Returns false.
 */
bool cq_error_wrap(struct cq_error *err, enum cq_error_domain domain,
		   const char *fmt, ...) __attribute__((format(printf, 3, 4)));

const char *cq_error_domain_string(enum cq_error_domain domain);
const char *cq_error_code_string(enum cq_error_code code);

#endif
