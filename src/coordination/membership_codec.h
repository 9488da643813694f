/* Conversion between member records and their protobuf form. */
#ifndef COORDINATION_MEMBERSHIP_CODEC_H
#define COORDINATION_MEMBERSHIP_CODEC_H

#include <stdbool.h>

#include "chestnutquay/error.h"
#include "chestnutquay/membership.h"
#include "protocol/gen/membership.pb-c.h"

/* The strings of out point into member, which must outlive out. */
void cq_member_encode(const struct cq_member *member, Cq__MemberRecord *out);
/*
 * Checks lengths and ranges. Returns false and sets err if the record is not
 * valid. Leaves since_ns unchanged.
 */
bool cq_member_decode(const Cq__MemberRecord *in, struct cq_member *member,
		      struct cq_error *err);

#endif
