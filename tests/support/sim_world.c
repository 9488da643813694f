#include "sim_world.h"

#include <glib.h>

#include "protocol/gen/membership.pb-c.h"

void cq_sim_world_init(struct cq_sim_world *world,
		       const struct cq_sim_cluster_options *options)
{
	world->cluster = cq_sim_cluster_create(options);
	world->faults = cq_sim_faults_create(world->cluster);
}

void cq_sim_world_clear(struct cq_sim_world *world)
{
	g_assert_cmpstr(cq_sim_faults_violation(world->faults), ==, "");
	cq_sim_faults_destroy(world->faults);
	cq_sim_cluster_destroy(world->cluster);
}

void cq_sim_world_run_ms(struct cq_sim_world *world, int64_t ms)
{
	cq_sim_cluster_run_ms(world->cluster, ms);
}

void cq_sim_world_wait(struct cq_sim_world *world,
		       bool (*condition)(struct cq_sim_cluster *cluster,
					 void *ctx),
		       void *ctx, int64_t limit_ms)
{
	g_assert_true(cq_sim_cluster_run_until(world->cluster, condition, ctx,
					       limit_ms));
}

void cq_sim_world_fault(struct cq_sim_world *world, enum cq_sim_fault_kind kind,
			uint32_t node)
{
	if (kind != CQ_SIM_NO_FAULT)
		cq_sim_fault_begin(world->faults, kind, node);
}

uint32_t cq_sim_world_owner(struct cq_sim_world *world, const char *data_centre,
			    uint32_t otherwise)
{
	const struct cq_sim_node *owner =
		cq_sim_cluster_owner(world->cluster, data_centre);

	return owner ? (uint32_t)cq_sim_node_host(owner) : otherwise;
}

bool cq_sim_owned_by_other(struct cq_sim_cluster *cluster, void *ctx)
{
	const struct cq_sim_node *owner = cq_sim_cluster_owner(cluster, "dc0");

	return owner && owner != ctx;
}

void cq_sim_feed_member(struct cq_membership *membership, const char *id,
			const char *address, int64_t now_ns)
{
	Cq__MembershipProbe probe = CQ__MEMBERSHIP_PROBE__INIT;
	Cq__MemberRecord self = CQ__MEMBER_RECORD__INIT;
	struct cq_peer_message message = { .from_address = address,
					   .from_id = id,
					   .kind = CQ_PEER_PING };
	uint8_t payload[256];

	self.id = (char *)id;
	self.data_centre = "dc0";
	self.address = (char *)address;
	self.role = CQ_ROLE_SCHEDD;
	probe.self = &self;
	message.payload = payload;
	message.payload_len = cq__membership_probe__pack(&probe, payload);
	g_assert_true(
		cq_membership_receive(membership, &message, now_ns, NULL));
}
