/* Operators' call GET /v1/schedd. */
#include <jansson.h>
#include <stdlib.h>

#include "programs/schedd/schedd.h"

static void on_status(void *ctx, struct cq_operator_exchange *exchange)
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
		(json_int_t)cq_membership_live_count(s->membership),
		"store_direct", (int)cq_cluster_store_direct(s->cluster));
	char *text = json_dumps(body, JSON_COMPACT);

	cq_operator_exchange_respond_json(exchange, 200, text);
	free(text);
	json_decref(body);
}

void schedd_status_open(struct schedd *s)
{
	cq_daemon_add_route(s->daemon, "GET", "/v1/schedd", on_status, s);
}
