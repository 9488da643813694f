#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "programs/burn/burn.h"

/*
 * Prefix of the line that begins a recorded scrape:
 *   # scrape HOST UNIX_MS
 *   # scrape HOST UNIX_MS failed
 * The metrics follow, up to the next such line.
 */
#define SCRAPE_HEADER "# scrape "

static void scrape_free(gpointer data);
static void parse_text(struct burn_scrape *scrape, const char *text);
static gint compare_times(gconstpointer a, gconstpointer b);
static bool load_scrape(struct burn_data *data, const char *header,
			const char *text);

static void scrape_free(gpointer data)
{
	struct burn_scrape *scrape = data;

	g_hash_table_destroy(scrape->series);
	g_free(scrape->host);
	g_free(scrape);
}

struct burn_data *burn_data_create(void)
{
	struct burn_data *data = g_new0(struct burn_data, 1);

	data->scrapes = g_ptr_array_new_with_free_func(scrape_free);
	data->hosts = g_ptr_array_new_with_free_func(g_free);
	return data;
}

void burn_data_destroy(struct burn_data *data)
{
	if (!data)
		return;
	g_ptr_array_free(data->scrapes, TRUE);
	g_ptr_array_free(data->hosts, TRUE);
	g_free(data);
}

static void parse_text(struct burn_scrape *scrape, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	int i;

	for (i = 0; lines[i]; i++) {
		char *space = strrchr(lines[i], ' ');
		double *value;
		char *end;

		if (!space || *lines[i] == '#')
			continue;
		value = g_new(double, 1);
		*value = strtod(space + 1, &end);
		if (end == space + 1 || *end) {
			g_free(value);
			continue;
		}
		*space = 0;
		if (!strcmp(lines[i], "cq_start_unix_ms{}"))
			scrape->start_unix_ms = (int64_t)*value;
		g_hash_table_replace(scrape->series, g_strdup(lines[i]), value);
	}
	g_strfreev(lines);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	const struct burn_scrape *const *left = a, *const *right = b;

	return ((*left)->unix_ms > (*right)->unix_ms) -
	       ((*left)->unix_ms < (*right)->unix_ms);
}

void burn_data_add(struct burn_data *data, const char *host, int64_t unix_ms,
		   const char *text)
{
	struct burn_scrape *scrape = g_new0(struct burn_scrape, 1);

	scrape->host = g_strdup(host);
	scrape->unix_ms = unix_ms;
	scrape->failed = !text;
	scrape->series =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (text)
		parse_text(scrape, text);
	if (!data->scrapes->len || unix_ms < data->first_ms)
		data->first_ms = unix_ms;
	if (!data->scrapes->len || unix_ms > data->last_ms)
		data->last_ms = unix_ms;
	g_ptr_array_add(data->scrapes, scrape);
	g_ptr_array_sort(data->scrapes, compare_times);
	if (!g_ptr_array_find_with_equal_func(data->hosts, host, g_str_equal,
					      NULL))
		g_ptr_array_add(data->hosts, g_strdup(host));
}

static bool load_scrape(struct burn_data *data, const char *header,
			const char *text)
{
	char **words = g_strsplit(header, " ", -1);
	guint count = g_strv_length(words);
	bool failed = count == 3 && !strcmp(words[2], "failed");
	int64_t unix_ms;
	char *end;
	bool ok;

	if (count < 2 || count > 3 || (count == 3 && !failed)) {
		g_strfreev(words);
		return false;
	}
	unix_ms = strtoll(words[1], &end, 10);
	ok = end != words[1] && !*end;
	if (ok)
		burn_data_add(data, words[0], unix_ms, failed ? NULL : text);
	g_strfreev(words);
	return ok;
}

bool burn_data_load(struct burn_data *data, const char *path,
		    struct cq_error *err)
{
	char *content = NULL;
	char *cursor;
	bool ok = true;

	if (!g_file_get_contents(path, &content, NULL, NULL))
		return cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_INVALID,
				    "cannot read %s", path);
	cursor = content;
	ok = g_str_has_prefix(cursor, SCRAPE_HEADER);
	while (ok && cursor) {
		char *header = cursor + strlen(SCRAPE_HEADER);
		char *text = strchr(header, '\n');
		char *next;

		if (!text)
			text = header + strlen(header);
		else
			*text++ = 0;
		next = g_str_has_prefix(text, SCRAPE_HEADER)
			       ? text
			       : strstr(text, "\n" SCRAPE_HEADER);
		if (next && next != text)
			*next++ = 0;
		else if (next)
			text = (char *)"";
		ok = load_scrape(data, header, text);
		cursor = next;
	}
	g_free(content);
	if (ok)
		return true;
	return cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_INVALID,
			    "%s is not a record of readings (\"%sHOST "
			    "UNIX_MS\" and metrics)",
			    path, SCRAPE_HEADER);
}

void burn_record(const char *host, int64_t unix_ms, const char *text)
{
	printf("%s%s %" PRId64 "%s\n", SCRAPE_HEADER, host, unix_ms,
	       text ? "" : " failed");
	if (text)
		fputs(text, stdout);
}
