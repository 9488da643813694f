#include "programs/cqctl/output.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define COLUMN_GAP_CHARS 2

static void print_message(const char *prefix, const char *fmt, va_list args);
static const json_t *find_value(const json_t *row, const char *path);
static char *format_duration(double ms);
static char *format_time(json_int_t unix_ms);
static char *format_bytes(double bytes);
static char *format_list(const json_t *list);
static double oldest_age_ms(const json_t *body);
static bool is_number_column(const struct cqctl_column *column);
static void print_cell(const char *text, size_t width, bool right, bool last);

static void print_message(const char *prefix, const char *fmt, va_list args)
{
	/* Keeps the output in order if stdout and stderr share a file. */
	fflush(stdout);
	fprintf(stderr, "%s: ", prefix);
	vfprintf(stderr, fmt, args);
	fputc('\n', stderr);
}

void cqctl_error(const struct cqctl *ctl, const char *fmt, ...)
{
	va_list args;

	(void)ctl;
	va_start(args, fmt);
	print_message("cqctl", fmt, args);
	va_end(args);
}

void cqctl_hint(const struct cqctl *ctl, const char *fmt, ...)
{
	va_list args;

	(void)ctl;
	va_start(args, fmt);
	print_message("next", fmt, args);
	va_end(args);
}

void cqctl_note(const struct cqctl *ctl, const char *fmt, ...)
{
	va_list args;

	(void)ctl;
	va_start(args, fmt);
	print_message("note", fmt, args);
	va_end(args);
}

const char *cqctl_colour_on(const struct cqctl *ctl, enum cqctl_colour colour)
{
	static const char *const codes[] = {
		[CQCTL_PLAIN] = "",	     [CQCTL_GREEN] = "\033[32m",
		[CQCTL_YELLOW] = "\033[33m", [CQCTL_RED] = "\033[31m",
		[CQCTL_BOLD] = "\033[1m",
	};

	return ctl->colour ? codes[colour] : "";
}

const char *cqctl_colour_off(const struct cqctl *ctl)
{
	return ctl->colour ? "\033[0m" : "";
}

void cqctl_print_json(const json_t *value)
{
	char *text = json_dumps(value, JSON_INDENT(2) | JSON_SORT_KEYS |
					       JSON_ENCODE_ANY);

	puts(text ? text : "null");
	free(text);
}

static const json_t *find_value(const json_t *row, const char *path)
{
	char **names = g_strsplit(path, ".", -1);
	int i;

	for (i = 0; names[i] && row; i++)
		row = json_object_get(row, names[i]);
	g_strfreev(names);
	return row;
}

static char *format_duration(double ms)
{
	if (ms < 1000)
		return g_strdup_printf("%.0f ms", ms);
	if (ms < 120e3)
		return g_strdup_printf("%.1f s", ms / 1e3);
	if (ms < 7200e3)
		return g_strdup_printf("%.0f min", ms / 60e3);
	if (ms < 48 * 3600e3)
		return g_strdup_printf("%.1f h", ms / 3600e3);
	return g_strdup_printf("%.1f d", ms / (24 * 3600e3));
}

static char *format_time(json_int_t unix_ms)
{
	time_t seconds = (time_t)(unix_ms / 1000);
	struct tm parts;
	char text[32];

	gmtime_r(&seconds, &parts);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
	return g_strdup(text);
}

static char *format_bytes(double bytes)
{
	static const char *const units[] = { "B", "KiB", "MiB", "GiB", "TiB" };
	size_t i = 0;

	while (bytes >= 1024 && i + 1 < G_N_ELEMENTS(units)) {
		bytes /= 1024;
		i++;
	}
	return g_strdup_printf(i ? "%.1f %s" : "%.0f %s", bytes, units[i]);
}

static char *format_list(const json_t *list)
{
	GString *out = g_string_new(NULL);
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		if (i)
			g_string_append(out, ",");
		g_string_append(out, json_is_string(item)
					     ? json_string_value(item)
					     : "?");
	}
	if (!out->len)
		g_string_append(out, "-");
	return g_string_free(out, FALSE);
}

char *cqctl_format_cell(const json_t *row, const struct cqctl_column *column)
{
	const json_t *value = find_value(row, column->path);

	if (!value || json_is_null(value))
		return g_strdup("-");
	if (json_is_array(value))
		return format_list(value);
	if (json_is_string(value))
		return g_strdup(*json_string_value(value)
					? json_string_value(value)
					: "-");
	if (json_is_boolean(value))
		return g_strdup(json_is_true(value) ? "yes" : "no");
	if (json_is_object(value))
		return g_strdup("{...}");
	switch (column->kind) {
	case CQCTL_COLUMN_DURATION_MS:
		if (json_number_value(value) < 0)
			return g_strdup("-");
		return format_duration(json_number_value(value));
	case CQCTL_COLUMN_UNIX_MS:
		if (json_integer_value(value) < 0)
			return g_strdup("-");
		return format_time(json_integer_value(value));
	case CQCTL_COLUMN_BYTES:
		return format_bytes(json_number_value(value));
	default:
		break;
	}
	if (json_is_integer(value))
		return g_strdup_printf("%" JSON_INTEGER_FORMAT,
				       json_integer_value(value));
	return g_strdup_printf("%g", json_real_value(value));
}

static bool is_number_column(const struct cqctl_column *column)
{
	return column->kind == CQCTL_COLUMN_NUMBER ||
	       column->kind == CQCTL_COLUMN_DURATION_MS ||
	       column->kind == CQCTL_COLUMN_BYTES;
}

static void print_cell(const char *text, size_t width, bool right, bool last)
{
	size_t len = (size_t)g_utf8_strlen(text, -1);
	int pad = len < width ? (int)(width - len) : 0;

	if (right)
		printf("%*s%s", pad, "", text);
	else
		printf("%s%*s", text, last ? 0 : pad, "");
	if (!last)
		printf("%*s", COLUMN_GAP_CHARS, "");
}

void cqctl_print_table(const struct cqctl *ctl, const json_t *rows,
		       const struct cqctl_column *columns, size_t count)
{
	size_t row_count = json_array_size(rows);
	char **cells = g_new0(char *, row_count *count + 1);
	size_t *widths = g_new0(size_t, count);
	size_t r, c;

	for (c = 0; c < count; c++)
		widths[c] = strlen(columns[c].title);
	for (r = 0; r < row_count; r++)
		for (c = 0; c < count; c++) {
			char *cell = cqctl_format_cell(json_array_get(rows, r),
						       &columns[c]);

			cells[r * count + c] = cell;
			widths[c] =
				MAX(widths[c], (size_t)g_utf8_strlen(cell, -1));
		}
	fputs(cqctl_colour_on(ctl, CQCTL_BOLD), stdout);
	for (c = 0; c < count; c++)
		print_cell(columns[c].title, widths[c],
			   is_number_column(&columns[c]), c + 1 == count);
	printf("%s\n", cqctl_colour_off(ctl));
	for (r = 0; r < row_count; r++) {
		for (c = 0; c < count; c++)
			print_cell(cells[r * count + c], widths[c],
				   is_number_column(&columns[c]),
				   c + 1 == count);
		putchar('\n');
	}
	for (r = 0; r < row_count * count; r++)
		g_free(cells[r]);
	g_free(cells);
	g_free(widths);
}

/*
 * Returns the age of the response or, in a list, of its oldest row, in
 * milliseconds; -1 if the response does not state one.
 */
static double oldest_age_ms(const json_t *body)
{
	const json_t *age = json_object_get(body, "age_ms");
	double oldest = age ? json_number_value(age) : -1;
	const char *name;
	json_t *value;
	json_t *row;
	size_t i;

	json_object_foreach((json_t *)body, name, value)
	{
		json_array_foreach(value, i, row)
		{
			age = json_object_get(row, "age_ms");
			oldest = MAX(oldest, age ? json_number_value(age) : -1);
		}
	}
	return oldest;
}

int cqctl_check_freshness(const struct cqctl *ctl, const json_t *body)
{
	bool stale = json_is_true(json_object_get(body, "stale"));
	json_t *missing = json_object_get(body, "missing");
	bool partial = json_array_size(missing) > 0;
	char *text;

	if (partial) {
		text = format_list(missing);
		cqctl_note(ctl, "this answer is partial; no answer from: %s",
			   text);
		g_free(text);
	}
	if (stale) {
		text = format_duration(oldest_age_ms(body));
		if (oldest_age_ms(body) < 0)
			cqctl_note(ctl, "this answer is stale; how old it is "
					"was not told");
		else
			cqctl_note(ctl, "this answer is stale; it is %s old",
				   text);
		g_free(text);
	}
	if (!stale && !partial)
		return CQCTL_OK;
	cqctl_hint(ctl, "see cqctl status, or ask a daemon of another data "
			"centre with --server");
	return CQCTL_PARTIAL;
}
