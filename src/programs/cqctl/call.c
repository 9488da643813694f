#include "programs/cqctl/call.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "programs/cqctl/output.h"

/* A longer response is rejected as a server error. */
#define MAX_RESPONSE_BYTES (64U << 20)
#define CONNECT_TIMEOUT_MS 3000L

static size_t on_data(char *data, size_t size, size_t count, void *ctx);
static struct curl_slist *make_headers(const char *header, const char *body);
static const char *error_field(const struct cqctl_response *response,
			       const char *name);
static int report_no_response(const struct cqctl *ctl,
			      const struct cqctl_response *response,
			      const char *what);

static size_t on_data(char *data, size_t size, size_t count, void *ctx)
{
	GString *text = ctx;

	if (text->len + size * count > MAX_RESPONSE_BYTES)
		return 0;
	g_string_append_len(text, data, (gssize)(size * count));
	return size * count;
}

static struct curl_slist *make_headers(const char *header, const char *body)
{
	const char *token = getenv("CQ_OPERATOR_TOKEN");
	struct curl_slist *headers = NULL;
	char *line;

	/* Stops curl from waiting for "100 Continue" on larger bodies. */
	headers = curl_slist_append(headers, "Expect:");
	if (header)
		headers = curl_slist_append(headers, header);
	if (body)
		headers = curl_slist_append(headers,
					    "Content-Type: application/json");
	if (token && *token) {
		line = g_strdup_printf("Authorization: Bearer %s", token);
		headers = curl_slist_append(headers, line);
		g_free(line);
	}
	return headers;
}

void cqctl_call(const struct cqctl *ctl, const char *method, const char *path,
		const char *body, struct cqctl_response *response)
{
	cqctl_call_with_header(ctl, method, path, NULL, body, response);
}

void cqctl_call_with_header(const struct cqctl *ctl, const char *method,
			    const char *path, const char *header,
			    const char *body, struct cqctl_response *response)
{
	char *url = g_strdup_printf("http://%s%s", ctl->server, path);
	struct curl_slist *headers = make_headers(header, body);
	GString *text = g_string_new(NULL);
	CURL *curl = curl_easy_init();
	long request_size = 0;
	CURLcode code;

	memset(response, 0, sizeof(*response));
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
			 MIN(CONNECT_TIMEOUT_MS, (long)ctl->timeout_ms));
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)ctl->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, text);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	if (body) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
				 (long)strlen(body));
	}
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &request_size);
	response->sent = request_size > 0;
	response->timeout = code == CURLE_OPERATION_TIMEDOUT;
	if (code == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE,
				  &response->status);
	else
		response->error = g_strdup(curl_easy_strerror(code));
	response->body = json_loadb(text->str, text->len, 0, NULL);
	response->text = g_string_free(text, FALSE);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	g_free(url);
}

void cqctl_response_clear(struct cqctl_response *response)
{
	json_decref(response->body);
	g_free(response->text);
	g_free(response->error);
	memset(response, 0, sizeof(*response));
}

static const char *error_field(const struct cqctl_response *response,
			       const char *name)
{
	json_t *error = json_object_get(response->body, "error");

	return json_string_value(json_object_get(error, name));
}

static int report_no_response(const struct cqctl *ctl,
			      const struct cqctl_response *response,
			      const char *what)
{
	if (!response->sent) {
		cqctl_error(ctl, "cannot %s: no daemon answers at %s (%s)",
			    what, ctl->server, response->error);
		cqctl_hint(ctl, "name another entry host with --server "
				"IP:PORT or CQ_SERVER; any daemon will do");
		return CQCTL_UNREACHABLE;
	}
	cqctl_error(ctl,
		    "cannot %s: %s closed the connection or did not "
		    "answer (%s)",
		    what, ctl->server, response->error);
	cqctl_hint(ctl, "the outcome is not known; read the current state "
			"before trying again");
	return CQCTL_PARTIAL;
}

int cqctl_response_check(const struct cqctl *ctl,
			 const struct cqctl_response *response,
			 const char *what)
{
	const char *message = error_field(response, "message");

	if (!response->status)
		return report_no_response(ctl, response, what);
	if (response->status >= 200 && response->status < 300) {
		if (response->body)
			return CQCTL_OK;
		cqctl_error(ctl, "cannot %s: the answer of %s is not JSON",
			    what, ctl->server);
		cqctl_hint(ctl, "check that --server is the operators' "
				"listener of a daemon");
		return CQCTL_FAILED;
	}
	cqctl_error(ctl, "cannot %s: %s", what,
		    message ? message : "the daemon gave no reason");
	switch (response->status) {
	case 401:
		cqctl_hint(ctl, "set CQ_OPERATOR_TOKEN to the token of this "
				"deployment");
		return CQCTL_FAILED;
	case 421:
		cqctl_hint(ctl, "ask the owner of the data centre: cqctl "
				"members shows its operators' listener");
		return CQCTL_UNREACHABLE;
	case 404:
		cqctl_hint(ctl, "list what exists (cqctl settings get, cqctl "
				"jobs list)");
		return CQCTL_NOT_FOUND;
	case 409:
		cqctl_hint(ctl, "read the current value, apply your change to "
				"it and try again");
		return CQCTL_CONFLICT;
	case 503:
		cqctl_hint(ctl, "nothing was done; see cqctl status, or ask "
				"another daemon with --server");
		return CQCTL_UNREACHABLE;
	case 504:
		cqctl_hint(ctl, "the outcome is not known; read the current "
				"state before trying again");
		return CQCTL_PARTIAL;
	default:
		cqctl_hint(ctl, response->status < 500
					? "correct the input; nothing was "
					  "changed"
					: "see the log of the daemon");
		return CQCTL_FAILED;
	}
}

char *cqctl_encode(const char *text, bool keep_slashes)
{
	return g_uri_escape_string(text, keep_slashes ? "/" : NULL, FALSE);
}
