#ifndef SRC_GATEWAY_IDS_H_
#define SRC_GATEWAY_IDS_H_

#include "src/core/ids.h"
#include "src/core/log_position.h"
#include "src/core/time.h"
#include "src/gateway/revision.h"

namespace jasminelug::gateway {

using core::Address;
using core::ConnectionId;
using core::CustomerName;
using core::DatabaseName;
using core::Duration;
using core::Incarnation;
using core::InstanceId;
using core::LogPosition;
using core::MemberId;
using core::Term;
using core::Time;
using core::ZoneName;
using core::operator""ms;
using core::operator""s;

// Name of a database group, which is a primary with its replicas. A group may
// hold several databases.
using GroupName = core::Name<struct GroupTag>;

// Name of a region, which consists of availability zones that are close to each
// other.
using RegionName = core::Name<struct RegionTag>;

// Number of a caller's connection. The listener assigns it and does not reuse
// it.
using SessionId = core::Number<struct SessionTag>;

// Secret key of a caller. It must not be logged or sent to a member.
using CallerKey = core::Name<struct CallerKeyTag>;

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_IDS_H_
