/* Operators' calls GET /v1/schedd, /v1/workers and /v1/workspaces. */
#include <jansson.h>
#include <stdlib.h>

#include "programs/schedd/schedd.h"

static void on_status(void *ctx, struct cq_http_exchange *exchange)
{
	struct schedd *s = ctx;
	json_t *body = json_pack(
		"{s:s,s:s,s:s,s:I,s:s,s:b,s:I,s:I,s:b}", "id",
		cq_daemon_id(s->daemon), "data_centre",
		cq_daemon_data_centre(s->daemon), "ownership",
		cq_ownership_state_string(cq_ownership_state(s->ownership)),
		"epoch", (json_int_t)cq_ownership_epoch(s->ownership), "holder",
		cq_ownership_holder(s->ownership), "settled",
		(int)cq_controller_settled(s->controller), "settings_revision",
		(json_int_t)cq_settings_revision(s->settings), "live_members",
		(json_int_t)cq_membership_live(s->membership), "store_direct",
		(int)cq_store_relay_direct(s->relay));
	char *text = json_dumps(body, JSON_COMPACT);

	cq_http_exchange_respond_json(exchange, 200, text);
	free(text);
	json_decref(body);
}

static bool refuse_unless_owner(struct schedd *s,
				struct cq_http_exchange *exchange)
{
	if (cq_ownership_epoch(s->ownership))
		return false;
	cq_daemon_respond_error(exchange, 421, "not_owner",
				"the owner is \"%s\"",
				cq_ownership_holder(s->ownership));
	return true;
}

static void on_workspaces(void *ctx, struct cq_http_exchange *exchange)
{
	struct schedd *s = ctx;
	char *text;

	if (refuse_unless_owner(s, exchange))
		return;
	text = cq_controller_list_workspaces(s->controller);
	cq_http_exchange_respond_json(exchange, 200, text);
	free(text);
}

static void on_workers(void *ctx, struct cq_http_exchange *exchange)
{
	struct schedd *s = ctx;
	char *text;

	if (refuse_unless_owner(s, exchange))
		return;
	text = cq_controller_list_workers(s->controller, schedd_now_ns(s));
	cq_http_exchange_respond_json(exchange, 200, text);
	free(text);
}

void schedd_status_open(struct schedd *s)
{
	cq_daemon_add_route(s->daemon, "GET", "/v1/schedd", on_status, s);
	cq_daemon_add_route(s->daemon, "GET", "/v1/workers", on_workers, s);
	cq_daemon_add_route(s->daemon, "GET", "/v1/workspaces", on_workspaces,
			    s);
}
