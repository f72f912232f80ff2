#ifndef SRC_CORE_TIMELINE_EVENT_H_
#define SRC_CORE_TIMELINE_EVENT_H_

#include <cstdint>
#include <string>

#include "src/core/ids.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Kinds of events in the time line.
enum class TimelineKind {
  kRequestReceived,
  kRequestAnswered,
  kRequestRefused,
  kPrimarySuspected,
  kTermGranted,
  kTermRefused,
  kPrimaryPromoted,
  kPrimaryLearned,
  kConfigurationInstalled,
  kConfigurationRefused,
  kPlatformLost,
  kPlatformReached,
  kLeaseRenewed,
  kLeaseLapsed,
  kLeaseReclaimed,
  kShareChanged,
  kCreditLent,
  kCreditReceived,
  kConnectionOpened,
  kConnectionClosed,
  kZoneLeft,
  kZoneReturned,
  kShutdownStarted,
  kShutdownFinished,
  kPeerLost,
  kPeerReached,
};

// Returns the kind's name as written to the time line, for example
// "primary_promoted".
const char* ToString(TimelineKind kind);

// One entry of an instance's time line. Fields that do not apply are empty or
// zero. An entry never contains a key or a statement's parameters.
struct TimelineEvent {
  // Sequence number of this event within the instance's incarnation.
  uint64_t m_sequence = 0;
  Time m_time;
  TimelineKind m_kind = TimelineKind::kRequestReceived;
  // Handle of the request within this instance.
  RequestHandle m_request;
  RequestId m_request_id;
  CustomerName m_customer;
  DatabaseName m_database;
  ZoneName m_zone;
  InstanceId m_peer;
  Term m_term;
  Revision m_revision;
  // Free text for human readers, for example the reason or the amounts.
  std::string m_detail;

  friend bool operator==(const TimelineEvent&, const TimelineEvent&) = default;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_TIMELINE_EVENT_H_
