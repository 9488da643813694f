#include "chestnutquay/log.h"
#include "programs/schedd/schedd.h"

#define FETCH_INTERVAL_NS (2 * CQ_NS_PER_S)
#define FETCH_TIMEOUT_MS 1500

static void clear_host(void *data)
{
	struct schedd_host *host = data;

	g_free(host->id);
	g_free(host->address);
	g_free(host->data_centre);
	g_free(host->rack);
}

static void update_controller_hosts(struct schedd *s)
{
	const char *dc = cq_daemon_data_centre(s->daemon);
	GArray *hosts =
		g_array_new(FALSE, FALSE, sizeof(struct cq_controller_host));
	guint i;

	for (i = 0; i < s->hosts->len; i++) {
		const struct schedd_host *host =
			&g_array_index(s->hosts, struct schedd_host, i);
		struct cq_controller_host entry = { host->id, host->address,
						    host->rack };

		if (g_str_equal(host->data_centre, dc))
			g_array_append_val(hosts, entry);
	}
	cq_controller_set_hosts(s->controller, (void *)hosts->data, hosts->len,
				schedd_now_ns(s));
	g_array_free(hosts, TRUE);
}

static void on_hosts(void *ctx, const struct cq_host *hosts, size_t count)
{
	struct schedd *s = ctx;
	size_t i;

	s->fetching_hosts = false;
	/* If the fetch failed, the last host list stays in use. */
	if (!hosts)
		return;
	g_array_set_size(s->hosts, 0);
	for (i = 0; i < count; i++) {
		struct schedd_host host;

		if (hosts[i].kind != CQ_HOST_WORKER)
			continue;
		host.id = g_strdup(hosts[i].id);
		host.address = g_strdup(hosts[i].address);
		host.data_centre = g_strdup(hosts[i].data_centre);
		host.rack = g_strdup(hosts[i].rack);
		g_array_append_val(s->hosts, host);
	}
	update_controller_hosts(s);
	s->intent_changed = true;
}

static void on_tick(void *ctx, int64_t now_ns)
{
	struct schedd *s = ctx;
	const struct cq_host_list *list = cq_daemon_host_list(s->daemon);

	if (s->fetching_hosts || now_ns < s->next_host_fetch_ns)
		return;
	s->fetching_hosts = true;
	s->next_host_fetch_ns = now_ns + FETCH_INTERVAL_NS;
	list->ops->fetch(list->self, FETCH_TIMEOUT_MS, on_hosts, s);
}

void schedd_hosts_open(struct schedd *s)
{
	s->hosts = g_array_new(FALSE, FALSE, sizeof(struct schedd_host));
	g_array_set_clear_func(s->hosts, clear_host);
	cq_daemon_add_tick(s->daemon, on_tick, s);
}

void schedd_hosts_close(struct schedd *s)
{
	g_array_free(s->hosts, TRUE);
}
