#include "chestnutquay/log.h"

#include <assert.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "chestnutquay/clock.h"

/* Rate limit of one event name. */
struct event_rate {
	int64_t window_end_ns;
	uint32_t written;
	uint64_t suppressed;
};

static const char *format_line(const log4c_layout_t *layout,
			       const log4c_logging_event_t *event);
static int append_line(log4c_appender_t *appender,
		       const log4c_logging_event_t *event);
static bool rate_limit_allows(const char *event, uint64_t *suppressed);
static void format_time(char *out, size_t len);
static int to_priority(enum cq_log_level level);

static const char *const level_strings[] = {
	[CQ_LOG_ERROR] = "error",
	[CQ_LOG_WARN] = "warn",
	[CQ_LOG_INFO] = "info",
	[CQ_LOG_DEBUG] = "debug",
};

/*
 * log4c's own stream appender writes its name at the start of every line, so
 * that the line would not be valid JSON.
 */
static const log4c_appender_type_t line_appender = { "cq_stderr_line", NULL,
						     append_line, NULL };

static const log4c_layout_type_t line_layout = { "cq_json_line", format_line };

static log4c_category_t *category;
static enum cq_log_level max_level;
static char *program_name;
static char *host_name;
static GHashTable *rate_limits;
static FILE *stream; /* NULL selects standard error */

static const char *format_line(const log4c_layout_t *layout,
			       const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

static int append_line(log4c_appender_t *appender,
		       const log4c_logging_event_t *event)
{
	(void)appender;
	return fputs(event->evt_rendered_msg, stream ? stream : stderr);
}

static int to_priority(enum cq_log_level level)
{
	switch (level) {
	case CQ_LOG_ERROR:
		return LOG4C_PRIORITY_ERROR;
	case CQ_LOG_WARN:
		return LOG4C_PRIORITY_WARN;
	case CQ_LOG_INFO:
		return LOG4C_PRIORITY_INFO;
	case CQ_LOG_DEBUG:
		break;
	}
	return LOG4C_PRIORITY_DEBUG;
}

void cq_log_to_stdout(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	/* A slow reader loses lines instead of blocking the event loop. */
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	stream = stdout;
}

bool cq_log_open(const char *program, const char *host, enum cq_log_level level,
		 struct cq_error *err)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	assert(program && host);
	cq_log_close();
	log4c_layout_type_set(&line_layout);
	log4c_appender_type_set(&line_appender);
	layout = log4c_layout_get("cq_json_line");
	appender = log4c_appender_get("cq_stderr");
	category = log4c_category_get(program);
	if (!layout || !appender || !category) {
		category = NULL;
		return cq_error_set(err, CQ_ERROR_BASE, CQ_ERR_SYSTEM,
				    "log4c could not be set up");
	}
	log4c_layout_set_type(layout, &line_layout);
	log4c_appender_set_type(appender, &line_appender);
	log4c_appender_set_layout(appender, layout);
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, to_priority(level));
	max_level = level;
	program_name = g_strdup(program);
	host_name = g_strdup(host);
	rate_limits =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	setvbuf(stream ? stream : stderr, NULL, _IOLBF, 0);
	return true;
}

void cq_log_close(void)
{
	if (!category)
		return;
	category = NULL;
	g_clear_pointer(&program_name, g_free);
	g_clear_pointer(&host_name, g_free);
	g_clear_pointer(&rate_limits, g_hash_table_destroy);
}

bool cq_log_level_parse(const char *text, enum cq_log_level *level)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(level_strings); i++) {
		if (strcmp(text, level_strings[i]))
			continue;
		*level = (enum cq_log_level)i;
		return true;
	}
	return false;
}

const char *cq_log_level_string(enum cq_log_level level)
{
	return level_strings[level];
}

static bool rate_limit_allows(const char *event, uint64_t *suppressed)
{
	int64_t now_ns = cq_clock_now_ns(cq_clock_system());
	struct event_rate *rate = g_hash_table_lookup(rate_limits, event);

	*suppressed = 0;
	if (!rate) {
		rate = g_new0(struct event_rate, 1);
		g_hash_table_insert(rate_limits, g_strdup(event), rate);
	}
	if (now_ns >= rate->window_end_ns) {
		*suppressed = rate->suppressed;
		rate->window_end_ns = now_ns + CQ_LOG_WINDOW_NS;
		rate->written = 0;
		rate->suppressed = 0;
	}
	if (rate->written >= CQ_LOG_BURST) {
		rate->suppressed++;
		return false;
	}
	rate->written++;
	return true;
}

static void format_time(char *out, size_t len)
{
	int64_t unix_ms = cq_clock_unix_ms(cq_clock_system());
	time_t seconds = unix_ms / CQ_MS_PER_S;
	struct tm tm;
	char date[32];

	gmtime_r(&seconds, &tm);
	strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(out, len, "%s.%03dZ", date, (int)(unix_ms % CQ_MS_PER_S));
}

void cq_log_event(enum cq_log_level level, const char *event, const char *fmt,
		  ...)
{
	uint64_t suppressed;
	char when[48];
	json_t *line;
	json_t *fields = NULL;
	char *text;
	va_list args;

	if (!category || level > max_level ||
	    !rate_limit_allows(event, &suppressed))
		return;
	if (fmt) {
		va_start(args, fmt);
		fields = json_vpack_ex(NULL, 0, fmt, args);
		va_end(args);
	}
	format_time(when, sizeof(when));
	line = json_pack("{s:s,s:s,s:s,s:s,s:s}", "ts", when, "level",
			 cq_log_level_string(level), "program", program_name,
			 "host", host_name, "event", event);
	if (suppressed)
		json_object_set_new(line, "suppressed",
				    json_integer((json_int_t)suppressed));
	if (fields)
		json_object_update(line, fields);
	json_decref(fields);
	text = json_dumps(line, JSON_COMPACT);
	json_decref(line);
	if (text)
		log4c_category_log(category, to_priority(level), "%s\n", text);
	free(text);
}
