/*
 * Guards against a caller's request crashing its parser, or being accepted
 * with a name, key, path or deadline over the limits. The input is lines:
 * method, path, headers ("Name: value"), an empty line, and the body.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "chestnutquay/caller.h"

#define MAX_INPUT_BYTES 2048
#define MAX_HEADERS 16
#define MAX_TIMEOUT_MS 60000

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

struct headers {
	char *names[MAX_HEADERS];
	char *values[MAX_HEADERS];
	size_t count;
};

static const char *header(void *ctx, const char *name)
{
	const struct headers *headers = ctx;
	size_t i;

	for (i = 0; i < headers->count; i++)
		if (!strcasecmp(headers->names[i], name))
			return headers->values[i];
	return NULL;
}

static char *next_line(char **at)
{
	char *line = *at;
	char *end = strchr(line, '\n');

	if (end)
		*end++ = 0;
	*at = end ? end : line + strlen(line);
	return line;
}

static void read_headers(struct headers *headers, char **at)
{
	char *line;

	while (**at && *(line = next_line(at))) {
		char *colon = strstr(line, ": ");

		if (!colon || headers->count == MAX_HEADERS)
			continue;
		*colon = 0;
		headers->names[headers->count] = line;
		headers->values[headers->count++] = colon + 2;
	}
}

static void check_request(const struct cq_request *request)
{
	struct cq_answer answer = { .refusal = CQ_REFUSAL_DEADLINE,
				    .run = CQ_REQUEST_MAY_HAVE_RUN,
				    .message = request->path };
	char *text;

	assert(request->timeout_ms > 0 &&
	       request->timeout_ms <= MAX_TIMEOUT_MS);
	assert(strlen(request->workspace) < CQ_REQUEST_NAME_BYTES);
	assert(strlen(request->class_name) < CQ_REQUEST_NAME_BYTES);
	assert(strlen(request->path) < CQ_REQUEST_PATH_BYTES);
	assert(strlen(request->key) < CQ_REQUEST_KEY_BYTES);
	assert(!strpbrk(request->path, "\r\n"));
	assert(!strpbrk(request->content_type, "\r\n"));
	text = cq_caller_format_refusal(&answer);
	assert(text);
	free(text);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char text[MAX_INPUT_BYTES + 1];
	char *at = text;
	struct headers headers = { .count = 0 };
	struct cq_caller_input input = { .header = header, .ctx = &headers };
	struct cq_request request = { 0 };
	struct cq_error err = CQ_ERROR_INIT;
	int64_t unix_ms = 0;

	if (size > MAX_INPUT_BYTES)
		return 0;
	memcpy(text, data, size);
	text[size] = 0;
	input.method = next_line(&at);
	input.path = next_line(&at);
	read_headers(&headers, &at);
	input.body = at;
	input.body_len = strlen(at);
	if (cq_caller_key_time(input.path, &unix_ms))
		assert(unix_ms >= 0);
	if (cq_caller_parse(&input, MAX_TIMEOUT_MS, &request, &err))
		check_request(&request);
	else
		assert(err.code && *err.message);
	return 0;
}
