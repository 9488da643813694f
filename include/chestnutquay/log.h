/*
 * Logging in JSON lines through log4c.
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
 * Opens the process's log on standard error. Until it is called, events are
 * discarded; unit tests rely on that to stay silent.
 */
bool cq_log_open(const char *program, const char *host, enum cq_log_level level,
		 struct cq_error *err);
void cq_log_close(void);
/*
 * Sends log lines to standard output, which becomes non-blocking: a line that
 * the reader has no room for is lost. Must be called before cq_log_open().
 */
void cq_log_to_stdout(void);

/* Parses "error", "warn", "info" or "debug"; false for anything else. */
bool cq_log_level_parse(const char *text, enum cq_log_level *level);
const char *cq_log_level_string(enum cq_log_level level);

/*
 * Logs one event. fmt and the arguments after it are those of jansson's
 * json_pack() for an object, for example "{s:s,s:I}".
 *
 * At most CQ_LOG_BURST events of one name are written per CQ_LOG_WINDOW_NS. The
 * first event of a later window has the field "suppressed" with the number of
 * events that were discarded.
 */
void cq_log_event(enum cq_log_level level, const char *event, const char *fmt,
		  ...);

#define CQ_LOG_BURST 1000
#define CQ_LOG_WINDOW_NS INT64_C(10000000000)

#endif
