#include "chestnutquay/store.h"

static const char *const status_strings[] = {
	[CQ_STORE_OK] = "ok",
	[CQ_STORE_CONFLICT] = "conflict",
	[CQ_STORE_NOT_FOUND] = "not_found",
	[CQ_STORE_UNAVAILABLE] = "unavailable",
	[CQ_STORE_UNKNOWN] = "unknown",
	[CQ_STORE_INVALID] = "invalid",
	[CQ_STORE_COMPACTED] = "compacted",
	[CQ_STORE_TOO_LARGE] = "too_large",
};

const char *cq_store_status_string(enum cq_store_status status)
{
	return status_strings[status];
}
