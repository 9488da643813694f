#include "chestnutquay/operator.h"

#include <string.h>

const char *
cq_operator_exchange_method(const struct cq_operator_exchange *exchange)
{
	return exchange->ops->method(exchange);
}

const char *
cq_operator_exchange_path(const struct cq_operator_exchange *exchange)
{
	return exchange->ops->path(exchange);
}

const char *
cq_operator_exchange_query(const struct cq_operator_exchange *exchange,
			   const char *name)
{
	return exchange->ops->query(exchange, name);
}

const char *
cq_operator_exchange_header(const struct cq_operator_exchange *exchange,
			    const char *name)
{
	return exchange->ops->header(exchange, name);
}

const char *
cq_operator_exchange_body(const struct cq_operator_exchange *exchange,
			  size_t *len)
{
	return exchange->ops->body(exchange, len);
}

void cq_operator_exchange_respond(struct cq_operator_exchange *exchange,
				  uint32_t status,
				  const struct cq_http_header *headers,
				  const char *body, size_t len)
{
	exchange->ops->respond(exchange, status, headers, body, len);
}

void cq_operator_exchange_respond_json(struct cq_operator_exchange *exchange,
				       uint32_t status, const char *json)
{
	static const struct cq_http_header headers[] = {
		{ "Content-Type", "application/json" },
		{ NULL, NULL },
	};

	cq_operator_exchange_respond(exchange, status, headers, json,
				     strlen(json));
}
