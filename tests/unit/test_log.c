#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "chestnutquay/log.h"

/* Redirects standard error to a temporary file while a test logs. */
struct capture {
	FILE *file;
	int saved;
};

static void capture_begin(struct capture *capture)
{
	fflush(stderr);
	capture->file = tmpfile();
	g_assert_nonnull(capture->file);
	capture->saved = dup(STDERR_FILENO);
	dup2(fileno(capture->file), STDERR_FILENO);
}

/* Restores standard error; returns the lines, freed with g_strfreev(). */
static char **capture_end(struct capture *capture)
{
	GString *text = g_string_new(NULL);
	char chunk[4096];
	size_t n;
	char **lines;

	fflush(stderr);
	dup2(capture->saved, STDERR_FILENO);
	close(capture->saved);
	rewind(capture->file);
	while ((n = fread(chunk, 1, sizeof(chunk), capture->file)) > 0)
		g_string_append_len(text, chunk, (gssize)n);
	fclose(capture->file);
	if (text->len && text->str[text->len - 1] == '\n')
		g_string_truncate(text, text->len - 1);
	lines = text->len ? g_strsplit(text->str, "\n", -1) : g_new0(char *, 1);
	g_string_free(text, TRUE);
	return lines;
}

static const char *text_of(json_t *line, const char *name)
{
	return json_string_value(json_object_get(line, name));
}

static void open_log(enum cq_log_level level)
{
	struct cq_error err = CQ_ERROR_INIT;

	g_assert_true(cq_log_open("cq-test", "h1", level, &err));
}

/* Guards against a line that is not valid JSON or lacks a field. */
static void test_line(void)
{
	struct capture capture;
	char **lines;
	json_t *line;

	capture_begin(&capture);
	open_log(CQ_LOG_INFO);
	cq_log_event(CQ_LOG_WARN, "a_thing", "{s:s,s:I}", "text",
		     "quote \" and\nnewline %s", "number", (json_int_t)-5);
	cq_log_close();
	lines = capture_end(&capture);
	g_assert_cmpuint(g_strv_length(lines), ==, 1);
	line = json_loads(lines[0], 0, NULL);
	g_assert_nonnull(line);
	g_assert_cmpstr(text_of(line, "level"), ==, "warn");
	g_assert_cmpstr(text_of(line, "program"), ==, "cq-test");
	g_assert_cmpstr(text_of(line, "host"), ==, "h1");
	g_assert_cmpstr(text_of(line, "event"), ==, "a_thing");
	g_assert_cmpstr(text_of(line, "text"), ==, "quote \" and\nnewline %s");
	g_assert_cmpint(json_integer_value(json_object_get(line, "number")), ==,
			-5);
	g_assert_cmpuint(strlen(text_of(line, "ts")), ==,
			 strlen("2026-12-04T10:00:00.123Z"));
	json_decref(line);
	g_strfreev(lines);
}

/* Guards against truncation of long lines, which makes them invalid JSON. */
static void test_long_line(void)
{
	char *text = g_strnfill(100000, 'x');
	struct capture capture;
	char **lines;
	json_t *line;

	capture_begin(&capture);
	open_log(CQ_LOG_INFO);
	cq_log_event(CQ_LOG_INFO, "long", "{s:s}", "text", text);
	cq_log_close();
	lines = capture_end(&capture);
	g_assert_cmpuint(g_strv_length(lines), ==, 1);
	line = json_loads(lines[0], 0, NULL);
	g_assert_cmpstr(text_of(line, "text"), ==, text);
	json_decref(line);
	g_strfreev(lines);
	g_free(text);
}

/* Guards against losing an event because a field is not valid UTF-8. */
static void test_invalid_utf8(void)
{
	struct capture capture;
	char **lines;

	capture_begin(&capture);
	open_log(CQ_LOG_INFO);
	cq_log_event(CQ_LOG_INFO, "odd", "{s:s}", "text", "\xff\xfe");
	cq_log_close();
	lines = capture_end(&capture);
	g_assert_cmpuint(g_strv_length(lines), ==, 1);
	g_assert_nonnull(strstr(lines[0], "\"event\":\"odd\""));
	g_strfreev(lines);
}

/* Guards against events above the log level being written. */
static void test_levels(void)
{
	static const enum cq_log_level levels[] = { CQ_LOG_ERROR, CQ_LOG_WARN,
						    CQ_LOG_INFO, CQ_LOG_DEBUG };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(levels); i++) {
		struct capture capture;
		char **lines;
		size_t k;

		capture_begin(&capture);
		open_log(levels[i]);
		for (k = 0; k < G_N_ELEMENTS(levels); k++)
			cq_log_event(levels[k], "event", NULL);
		cq_log_close();
		cq_log_event(CQ_LOG_ERROR, "after_close", NULL);
		lines = capture_end(&capture);
		g_assert_cmpuint(g_strv_length(lines), ==, i + 1);
		g_strfreev(lines);
	}
}

/* Guards against a frequent event flooding the log and suppressing others. */
static void test_burst(void)
{
	struct capture capture;
	char **lines;
	int i;

	capture_begin(&capture);
	open_log(CQ_LOG_INFO);
	for (i = 0; i < 2 * CQ_LOG_BURST; i++)
		cq_log_event(CQ_LOG_INFO, "noisy", NULL);
	cq_log_event(CQ_LOG_INFO, "other", NULL);
	cq_log_close();
	lines = capture_end(&capture);
	g_assert_cmpuint(g_strv_length(lines), ==, CQ_LOG_BURST + 1);
	g_assert_nonnull(strstr(lines[CQ_LOG_BURST], "other"));
	g_strfreev(lines);
}

/* Guards against a level name that does not parse back to its level. */
static void test_level_names(void)
{
	enum cq_log_level level;
	int i;

	for (i = CQ_LOG_ERROR; i <= CQ_LOG_DEBUG; i++) {
		g_assert_true(cq_log_level_parse(
			cq_log_level_string((enum cq_log_level)i), &level));
		g_assert_cmpint(level, ==, i);
	}
	g_assert_false(cq_log_level_parse("loud", &level));
	g_assert_false(cq_log_level_parse("", &level));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/log/line", test_line);
	g_test_add_func("/log/long_line", test_long_line);
	g_test_add_func("/log/invalid_utf8", test_invalid_utf8);
	g_test_add_func("/log/levels", test_levels);
	g_test_add_func("/log/burst", test_burst);
	g_test_add_func("/log/level_names", test_level_names);
	return g_test_run();
}
