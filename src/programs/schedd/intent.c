/*
 * Converts settings and the host list to the input of the controller.
 *
 * A workspace's guarantee applies to the whole deployment, while each owner
 * plans only for its own data centre. The guaranteed shapes are divided among
 * the data centres in service in proportion to their workers on the host list,
 * by the largest-remainder method, so that all owners compute the same
 * division.
 */
#include <string.h>

#include "programs/schedd/schedd.h"

/* Part of a guarantee that one data centre provides. */
struct share {
	const struct cq_settings_data_centre *dc;
	int64_t workers;
	int64_t count; /* number of shapes */
	int64_t remainder;
};

static const enum cq_adjacency adjacencies[] = {
	[CQ_SETTINGS_WORKER] = CQ_ADJACENT_WORKER,
	[CQ_SETTINGS_RACK] = CQ_ADJACENT_RACK,
	[CQ_SETTINGS_DATA_CENTRE] = CQ_ADJACENT_DC,
};

static GArray *create_shares(const struct schedd *s)
{
	GArray *shares = g_array_new(FALSE, TRUE, sizeof(struct share));
	const struct cq_settings_data_centre *dc;
	uint32_t i;
	guint k;

	for (i = 0; (dc = cq_settings_data_centre_at(s->settings, i)); i++) {
		struct share share = { .dc = dc };

		if (dc->state != CQ_SETTINGS_DC_IN)
			continue;
		for (k = 0; k < s->hosts->len; k++)
			share.workers += !strcmp(
				g_array_index(s->hosts, struct schedd_host, k)
					.data_centre,
				dc->name);
		g_array_append_val(shares, share);
	}
	return shares;
}

/* The number of count shapes that the given data centre must provide. */
static int64_t own_share(GArray *shares, int64_t count, const char *data_centre)
{
	int64_t total = 0;
	int64_t unassigned = count;
	int64_t own = 0;
	guint i;

	for (i = 0; i < shares->len; i++)
		total += g_array_index(shares, struct share, i).workers;
	if (!total)
		return 0;
	for (i = 0; i < shares->len; i++) {
		struct share *share = &g_array_index(shares, struct share, i);

		share->count = count * share->workers / total;
		share->remainder = count * share->workers % total;
		unassigned -= share->count;
	}
	while (unassigned > 0) {
		struct share *best = &g_array_index(shares, struct share, 0);

		for (i = 1; i < shares->len; i++) {
			struct share *share =
				&g_array_index(shares, struct share, i);

			if (share->remainder > best->remainder)
				best = share;
		}
		best->count++;
		best->remainder = -1;
		unassigned--;
	}
	for (i = 0; i < shares->len; i++) {
		const struct share *share =
			&g_array_index(shares, struct share, i);

		if (!strcmp(share->dc->name, data_centre))
			own = share->count;
	}
	return own;
}

/*
 * The planner needs a stable id other than 0 for each guarantee. The id is
 * derived from the workspace and the position in its list; ids already in use
 * are skipped.
 */
static uint32_t guarantee_id(GHashTable *used, const char *workspace,
			     int32_t index)
{
	uint32_t id = g_str_hash(workspace) * 31U + (uint32_t)index + 1U;

	id &= 0x7fffffffU;
	while (!id || !g_hash_table_add(used, GUINT_TO_POINTER(id)))
		id = (id + 1) & 0x7fffffffU;
	return id;
}

static GArray *collect_guarantees(const struct schedd *s)
{
	GArray *list = g_array_new(FALSE, TRUE,
				   sizeof(struct cq_controller_guarantee));
	GHashTable *used = g_hash_table_new(NULL, NULL);
	const char *data_centre = cq_daemon_data_centre(s->daemon);
	GArray *shares = create_shares(s);
	const struct cq_settings_workspace *ws;
	uint32_t i;
	int32_t k;

	for (i = 0; (ws = cq_settings_workspace_at(s->settings, i)); i++)
		for (k = 0; k < ws->guarantee_count; k++) {
			const struct cq_settings_guarantee *from =
				&ws->guarantees[k];
			struct cq_controller_guarantee entry = {
				.id = guarantee_id(used, ws->name, k),
				.count = (uint32_t)own_share(
					shares, from->count, data_centre),
				.accelerators = (uint32_t)from->accelerators,
				.adjacency = adjacencies[from->adjacency],
			};

			g_strlcpy(entry.workspace, ws->name,
				  sizeof(entry.workspace));
			g_array_append_val(list, entry);
		}
	g_array_free(shares, TRUE);
	g_hash_table_destroy(used);
	return list;
}

static GArray *collect_dcs(const struct schedd *s)
{
	GArray *list =
		g_array_new(FALSE, TRUE, sizeof(struct cq_controller_dc));
	const struct cq_settings_data_centre *dc;
	uint32_t i;

	for (i = 0; (dc = cq_settings_data_centre_at(s->settings, i)); i++) {
		struct cq_controller_dc entry = {
			.in_service = dc->state == CQ_SETTINGS_DC_IN,
			.notice_ms = dc->notice_s * CQ_MS_PER_S,
		};

		g_strlcpy(entry.name, dc->name, sizeof(entry.name));
		g_array_append_val(list, entry);
	}
	return list;
}

static GArray *collect_classes(const struct schedd *s)
{
	const struct cq_settings_global *global =
		cq_settings_global(s->settings);
	GArray *list =
		g_array_new(FALSE, TRUE, sizeof(struct cq_controller_class));
	int32_t i;

	for (i = 0; i < global->class_count; i++) {
		struct cq_controller_class entry = {
			.rank = (uint32_t)global->classes[i].rank,
			.urgent = global->classes[i].rank == 0,
		};

		g_strlcpy(entry.name, global->classes[i].name,
			  sizeof(entry.name));
		g_array_append_val(list, entry);
	}
	return list;
}

void schedd_intent_apply(struct schedd *s, int64_t now_ns)
{
	GArray *dcs = collect_dcs(s);
	GArray *classes = collect_classes(s);
	GArray *guarantees = collect_guarantees(s);
	struct cq_controller_intent intent = {
		.dcs = (void *)dcs->data,
		.dc_count = dcs->len,
		.classes = (void *)classes->data,
		.class_count = classes->len,
		.guarantees = (void *)guarantees->data,
		.guarantee_count = guarantees->len,
	};
	double weight = cq_settings_global(s->settings)->fragmentation_weight;

	cq_policy_init(&intent.policy);
	intent.policy.completion_weight_permille =
		(uint32_t)(1000.0 * (1.0 - CLAMP(weight, 0.0, 1.0)) + 0.5);
	cq_controller_set_intent(s->controller, &intent, now_ns);
	g_array_free(dcs, TRUE);
	g_array_free(classes, TRUE);
	g_array_free(guarantees, TRUE);
}
