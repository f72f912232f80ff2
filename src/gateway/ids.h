#ifndef SRC_GATEWAY_IDS_H_
#define SRC_GATEWAY_IDS_H_

#include "src/core/ids.h"
#include "src/core/log_position.h"
#include "src/core/time.h"

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
using core::Revision;
using core::Term;
using core::Time;
using core::ZoneName;
using core::operator""ms;
using core::operator""s;

// A primary with its replicas; several databases may lie in one group.
using GroupName = core::Name<struct GroupTag>;

// A caller's connection, numbered by the listener; never used twice.
using SessionId = core::Number<struct SessionTag>;

// A caller's secret. Never logged, never sent to a member.
using CallerKey = core::Name<struct CallerKeyTag>;

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_IDS_H_
