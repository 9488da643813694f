#include "chestnutquay/caller.h"

#include <errno.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define KEY_DIGITS 13

static bool refuse(struct cq_error *err, const char *text);
static bool is_name(const char *text);
static bool is_path(const char *text);
static bool parse_timeout(const char *text, uint32_t max_ms, uint32_t *ms,
			  struct cq_error *err);
static bool parse_key(const char *text, struct cq_request *request,
		      struct cq_error *err);
static bool check_body(const struct cq_caller_input *input,
		       const char *content_type, struct cq_error *err);
static const char *header(const struct cq_caller_input *input,
			  const char *name);

static bool refuse(struct cq_error *err, const char *text)
{
	return cq_error_set(err, CQ_ERROR_PROTOCOL, CQ_ERR_INVALID, "%s", text);
}

static const char *header(const struct cq_caller_input *input, const char *name)
{
	return input->header(input->ctx, name);
}

static bool is_name(const char *text)
{
	size_t len = strspn(text, "abcdefghijklmnopqrstuvwxyz"
				  "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-");

	return len > 0 && len < CQ_REQUEST_NAME_BYTES && !text[len];
}

/*
 * The path is copied into a request line, so it holds nothing that could end
 * the line or leave the path of the service.
 */
static bool is_path(const char *text)
{
	size_t len = strspn(text, "abcdefghijklmnopqrstuvwxyz"
				  "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._~/-");

	return len > 0 && len < CQ_REQUEST_PATH_BYTES && !text[len] &&
	       !strstr(text, "..") && !strstr(text, "//") && *text != '/';
}

static bool parse_timeout(const char *text, uint32_t max_ms, uint32_t *ms,
			  struct cq_error *err)
{
	char *end;
	long value;

	*ms = max_ms < CQ_CALLER_DEFAULT_TIMEOUT_MS
		      ? max_ms
		      : CQ_CALLER_DEFAULT_TIMEOUT_MS;
	if (!text)
		return true;
	errno = 0;
	value = strtol(text, &end, 10);
	if (errno || end == text || *end || *text < '0' || *text > '9' ||
	    value < 1 || value > (long)max_ms)
		return cq_error_set(err, CQ_ERROR_PROTOCOL, CQ_ERR_INVALID,
				    "Cq-Timeout-Ms must be an integer from 1 "
				    "to %u",
				    max_ms);
	*ms = (uint32_t)value;
	return true;
}

bool cq_caller_key_time(const char *key, int64_t *unix_ms)
{
	size_t len = strlen(key);
	const char *at = strchr(key, '@');
	size_t digits = strspn(key, "0123456789");
	size_t suffix = strspn(key, "abcdefghijklmnopqrstuvwxyz"
				    "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-");

	if (digits != KEY_DIGITS || key[digits] != '-' || suffix < digits + 2 ||
	    len >= CQ_REQUEST_KEY_BYTES)
		return false;
	/* All of it, or up to the name of a data centre. */
	if (suffix != len && (!at || at != key + suffix || !is_name(at + 1)))
		return false;
	*unix_ms = strtoll(key, NULL, 10);
	return true;
}

static bool parse_key(const char *text, struct cq_request *request,
		      struct cq_error *err)
{
	request->key = "";
	request->key_unix_ms = 0;
	if (!text)
		return true;
	if (!cq_caller_key_time(text, &request->key_unix_ms))
		return refuse(err,
			      "Idempotency-Key must be 13 digits of Unix "
			      "milliseconds, \"-\" and letters, digits or "
			      "._-, and may end in \"@\" and a data centre; "
			      "at most 127 bytes");
	request->key = text;
	return true;
}

static bool check_body(const struct cq_caller_input *input,
		       const char *content_type, struct cq_error *err)
{
	json_error_t json_err;
	json_t *value;

	if (strncmp(content_type, "application/json",
		    strlen("application/json")) != 0 ||
	    !input->body_len)
		return true;
	value = json_loadb(input->body, input->body_len, JSON_DECODE_ANY,
			   &json_err);
	if (!value)
		return cq_error_set(err, CQ_ERROR_PROTOCOL, CQ_ERR_INVALID,
				    "the body is not JSON: line %d, column "
				    "%d: %.100s",
				    json_err.line, json_err.column,
				    json_err.text);
	json_decref(value);
	return true;
}

bool cq_caller_parse(const struct cq_caller_input *input,
		     uint32_t max_timeout_ms, struct cq_request *request,
		     struct cq_error *err)
{
	const char *idempotent = header(input, "Cq-Idempotent");
	const char *type = header(input, "Content-Type");

	if (strncmp(input->path, CQ_CALLER_PREFIX, strlen(CQ_CALLER_PREFIX)))
		return refuse(err,
			      "the path must start with " CQ_CALLER_PREFIX);
	request->path = input->path + strlen(CQ_CALLER_PREFIX);
	if (!is_path(request->path))
		return refuse(err, "the path may hold letters, digits and "
				   "._~/-, at most 511 bytes, without \"..\" "
				   "or \"//\"");
	if (strcmp(input->method, "POST") != 0)
		return refuse(err, "the method must be POST");
	request->workspace = header(input, "Cq-Workspace");
	if (!request->workspace || !is_name(request->workspace))
		return refuse(err, "Cq-Workspace must name a workspace "
				   "(letters, digits and ._-, at most 63 "
				   "bytes)");
	request->class_name = header(input, "Cq-Class");
	if (!request->class_name || !is_name(request->class_name))
		return refuse(err, "Cq-Class must name a class (letters, "
				   "digits and ._-, at most 63 bytes)");
	if (idempotent && strcmp(idempotent, "yes") != 0 &&
	    strcmp(idempotent, "no") != 0)
		return refuse(err, "Cq-Idempotent must be yes or no");
	request->idempotent = idempotent && !strcmp(idempotent, "yes");
	request->content_type = type ? type : "";
	if (strlen(request->content_type) > 200)
		return refuse(err, "Content-Type is over 200 bytes");
	request->body = input->body;
	request->body_len = input->body_len;
	return parse_timeout(header(input, "Cq-Timeout-Ms"), max_timeout_ms,
			     &request->timeout_ms, err) &&
	       parse_key(header(input, "Idempotency-Key"), request, err) &&
	       check_body(input, request->content_type, err);
}

char *cq_caller_format_refusal(const struct cq_answer *answer)
{
	json_t *root = json_pack("{s:{s:s,s:s,s:s,s:I}}", "error", "code",
				 cq_refusal_string(answer->refusal), "message",
				 answer->message, "run",
				 cq_run_string(answer->run), "expected_wait_ms",
				 (json_int_t)answer->expected_wait_ms);
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;

	json_decref(root);
	/* A message with invalid UTF-8 must not cost the caller the reason. */
	return text ? text : strdup("{\"error\":{\"run\":\"unknown\"}}");
}
