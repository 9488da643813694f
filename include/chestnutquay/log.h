/*
 * JSON-lines logging through log4c.
 *
 * Each line is one event with a stable name and typed fields:
 * {"ts":"2026-12-04T10:00:00.123Z","level":"info","program":"cq-schedd",
 *  "host":"a1","event":"lease_acquired","epoch":7}
 */
#ifndef CHESTNUTQUAY_LOG_H
#define CHESTNUTQUAY_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/error.h"

enum cq_log_level {
	CQ_LOG_ERROR,
	CQ_LOG_WARN,
	CQ_LOG_INFO,
	CQ_LOG_DEBUG,
};

/*
 * Opens the process's log on standard error. Without it, events are dropped,
 * which is what unit tests want.
 */
bool cq_log_open(const char *program, const char *host, enum cq_log_level level,
		 struct cq_error *err);
void cq_log_close(void);
/* Before cq_log_open(): lines go to standard output and never block. */
void cq_log_to_stdout(void);

/* Parses "error", "warn", "info" or "debug"; false for anything else. */
bool cq_log_level_parse(const char *text, enum cq_log_level *level);
const char *cq_log_level_string(enum cq_log_level level);

/*
 * Logs one event. fmt and the arguments after it are those of jansson's
 * json_pack() for an object, for example "{s:s,s:I}".
 *
 * An event name is written at most CQ_LOG_BURST times in CQ_LOG_WINDOW_NS; the
 * first one of the next window carries "suppressed": N.
 */
void cq_log_event(enum cq_log_level level, const char *event, const char *fmt,
		  ...);

#define CQ_LOG_BURST 1000
#define CQ_LOG_WINDOW_NS INT64_C(10000000000)

#endif
