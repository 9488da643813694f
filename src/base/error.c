#include "chestnutquay/error.h"

#include <stdarg.h>
#include <stdio.h>

#include "chestnutquay/text.h"

static const char *const domain_strings[] = {
	[CQ_ERROR_NONE] = "none",
	[CQ_ERROR_BASE] = "base",
	[CQ_ERROR_TRANSPORT] = "transport",
	[CQ_ERROR_PROTOCOL] = "protocol",
	[CQ_ERROR_STATE] = "state",
	[CQ_ERROR_COORDINATION] = "coordination",
	[CQ_ERROR_PROGRAM] = "program",
};

static const char *const code_strings[] = {
	[CQ_OK] = "ok",
	[CQ_ERR_INVALID] = "invalid",
	[CQ_ERR_NOT_FOUND] = "not_found",
	[CQ_ERR_CONFLICT] = "conflict",
	[CQ_ERR_UNAVAILABLE] = "unavailable",
	[CQ_ERR_UNKNOWN] = "unknown",
	[CQ_ERR_TIMEOUT] = "timeout",
	[CQ_ERR_LIMIT] = "limit",
	[CQ_ERR_DENIED] = "denied",
	[CQ_ERR_STALE] = "stale",
	[CQ_ERR_SYSTEM] = "system",
};

bool cq_error_set(struct cq_error *err, enum cq_error_domain domain,
		  enum cq_error_code code, const char *fmt, ...)
{
	va_list args;

	if (!err)
		return false;
	err->domain = domain;
	err->code = code;
	va_start(args, fmt);
	vsnprintf(err->message, sizeof(err->message), fmt, args);
	va_end(args);
	cq_text_make_utf8(err->message);
	return false;
}

bool cq_error_wrap(struct cq_error *err, enum cq_error_domain domain,
		   const char *fmt, ...)
{
	char prefix[CQ_ERROR_MESSAGE_BYTES / 2];
	char message[CQ_ERROR_MESSAGE_BYTES];
	va_list args;

	if (!err)
		return false;
	va_start(args, fmt);
	vsnprintf(prefix, sizeof(prefix), fmt, args);
	va_end(args);
	snprintf(message, sizeof(message), "%s: %.*s", prefix,
		 CQ_ERROR_MESSAGE_BYTES / 2 - 4, err->message);
	err->domain = domain;
	cq_text_make_utf8(message);
	snprintf(err->message, sizeof(err->message), "%s", message);
	return false;
}

const char *cq_error_domain_string(enum cq_error_domain domain)
{
	if ((unsigned)domain >= sizeof(domain_strings) / sizeof(char *))
		return "?";
	return domain_strings[domain];
}

const char *cq_error_code_string(enum cq_error_code code)
{
	if ((unsigned)code >= sizeof(code_strings) / sizeof(char *))
		return "?";
	return code_strings[code];
}
