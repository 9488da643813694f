/* Guarantees found short and the capacity of this data centre. */

#include "coordination/controller_private.h"

void cq_controller_note_shortfalls(struct cq_controller *c,
				   const struct cq_snapshot *snapshot,
				   const struct cq_plan *plan)
{
	char text[CQ_ERROR_MESSAGE_BYTES];
	uint32_t i;

	g_ptr_array_set_size(c->shortfalls, 0);
	for (i = 0; i < plan->shortfall_count; i++) {
		cq_plan_explain_shortfall(snapshot, &plan->shortfalls[i], text,
					  sizeof(text));
		g_ptr_array_add(c->shortfalls, g_strdup(text));
	}
}

uint32_t cq_controller_shortfall_count(const struct cq_controller *c)
{
	return c->shortfalls->len;
}

const char *cq_controller_shortfall(const struct cq_controller *c, uint32_t i)
{
	return c->shortfalls->pdata[i];
}

uint32_t cq_controller_racks(const struct cq_controller *c,
			     struct cq_controller_rack *racks, uint32_t max)
{
	uint32_t count = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < cq_fleet_state_count(c->fleet); i++) {
		const struct cq_fleet_node *node =
			cq_fleet_state_node(c->fleet, i);

		if (!node->listed || !node->reported || node->lost)
			continue;
		for (k = 0; k < count; k++)
			if (racks[k].rack == node->rack &&
			    racks[k].accelerators == node->accelerators)
				break;
		if (k == max)
			continue;
		if (k == count)
			racks[count++] = (struct cq_controller_rack){
				.rack = node->rack,
				.accelerators = node->accelerators,
			};
		racks[k].workers++;
	}
	return count;
}
