#include "coordination/membership_codec.h"

#include <string.h>

static bool copy_string(char *out, size_t size, const char *in,
			const char *what, struct cq_error *err);

static bool copy_string(char *out, size_t size, const char *in,
			const char *what, struct cq_error *err)
{
	size_t len = strlen(in);

	if (len >= size)
		return cq_error_set(
			err, CQ_ERROR_COORDINATION, CQ_ERR_INVALID,
			"member %s has %zu bytes, allowed: 0 to %zu", what, len,
			size - 1);
	memcpy(out, in, len + 1);
	return true;
}

void cq_member_encode(const struct cq_member *member, Cq__MemberRecord *out)
{
	cq__member_record__init(out);
	out->id = (char *)member->id;
	out->role = (uint32_t)member->role;
	out->data_centre = (char *)member->data_centre;
	out->address = (char *)member->address;
	out->operator_address = (char *)member->operator_address;
	out->incarnation = member->incarnation;
	out->index = member->index;
	out->settings_revision = member->settings_revision;
	out->state = (uint32_t)member->state;
	out->owner_epoch = member->owner_epoch;
}

bool cq_member_decode(const Cq__MemberRecord *in, struct cq_member *member,
		      struct cq_error *err)
{
	if (!copy_string(member->id, sizeof(member->id), in->id, "id", err) ||
	    !copy_string(member->data_centre, sizeof(member->data_centre),
			 in->data_centre, "data centre", err) ||
	    !copy_string(member->address, sizeof(member->address), in->address,
			 "address", err) ||
	    !copy_string(member->operator_address,
			 sizeof(member->operator_address), in->operator_address,
			 "operator address", err))
		return false;
	if (!member->id[0] || !member->address[0])
		return cq_error_set(err, CQ_ERROR_COORDINATION, CQ_ERR_INVALID,
				    "member record without id or address");
	if (in->role > CQ_ROLE_SCHEDD || in->state > CQ_MEMBER_LEFT)
		return cq_error_set(err, CQ_ERROR_COORDINATION, CQ_ERR_INVALID,
				    "member %s: unknown role %u or state %u",
				    member->id, in->role, in->state);
	member->role = (enum cq_member_role)in->role;
	member->state = (enum cq_member_state)in->state;
	member->incarnation = in->incarnation;
	member->index = in->index;
	member->settings_revision = in->settings_revision;
	member->owner_epoch = in->owner_epoch;
	return true;
}
