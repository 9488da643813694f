#include "request_world_internal.h"

/* What a router sees of the other entry hosts. */

static const char *member_peer(void *ctx, const char *data_centre,
			       uint32_t index);
static bool member_alive(void *ctx, const char *data_centre, uint32_t index);
static uint32_t member_centres(void *ctx, struct cq_data_centre *out,
			       uint32_t max);
static bool member_holds_index(void *ctx, int64_t now_ns);
static uint32_t member_remotes(void *ctx, const char **addresses, uint32_t max);

const struct cq_router_members_ops world_members_ops = {
	.peer = member_peer,
	.alive = member_alive,
	.data_centres = member_centres,
	.holds_index = member_holds_index,
	.remotes = member_remotes,
};

static struct host *member(const struct process *process,
			   const char *data_centre, uint32_t index)
{
	struct world *world = process->world;
	guint number =
		(guint)(data_centre[2] - '0') * world->options.hosts + index;

	return world->hosts->pdata[number];
}

static const char *member_peer(void *ctx, const char *data_centre,
			       uint32_t index)
{
	return member(ctx, data_centre, index)->address;
}

static uint32_t member_centres(void *ctx, struct cq_data_centre *out,
			       uint32_t max)
{
	const struct world *world = ((const struct process *)ctx)->world;
	uint32_t i;

	for (i = 0; i < world->options.data_centres && i < max; i++) {
		out[i].name = world_centre_names[i];
		out[i].index_count = world->options.hosts;
	}
	return i;
}

/* A change shows after the time that membership needs to detect it. */
static bool seen_alive(const struct process *process, const struct host *host)
{
	int64_t now_ns = process->world->now_ns;
	bool up = host->process && world_link_up(process->host, host);

	if (now_ns - host->changed_ns < WORLD_DETECT_NS ||
	    now_ns - process->host->changed_ns < WORLD_DETECT_NS)
		return true;
	return up;
}

static bool member_alive(void *ctx, const char *data_centre, uint32_t index)
{
	return seen_alive(ctx, member(ctx, data_centre, index));
}

static bool member_holds_index(void *ctx, int64_t now_ns)
{
	const struct process *process = ctx;

	(void)now_ns;
	return process->host->process == process;
}

static uint32_t member_remotes(void *ctx, const char **addresses, uint32_t max)
{
	const struct process *process = ctx;
	const struct world *world = process->world;
	uint32_t count = 0;
	guint i;

	for (i = 0; i < world->hosts->len && count < max; i++) {
		const struct host *host = world->hosts->pdata[i];

		if (host->data_centre != process->host->data_centre &&
		    seen_alive(process, host))
			addresses[count++] = host->address;
	}
	return count;
}
