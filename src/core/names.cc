#include "src/core/caller_request.h"
#include "src/core/timeline_event.h"

namespace jasminelug::core {

const char* ToString(RefusalCode code) {
  switch (code) {
    case RefusalCode::kInvalidRequest:
      return "invalid_request";
    case RefusalCode::kKeyMissing:
      return "key_missing";
    case RefusalCode::kKeyUnknown:
      return "key_unknown";
    case RefusalCode::kKeyWithdrawn:
      return "key_withdrawn";
    case RefusalCode::kKeyUnconfirmed:
      return "key_unconfirmed";
    case RefusalCode::kNotAllowed:
      return "not_allowed";
    case RefusalCode::kUnknownDatabase:
      return "unknown_database";
    case RefusalCode::kUnknownProfile:
      return "unknown_profile";
    case RefusalCode::kUnknownTransaction:
      return "unknown_transaction";
    case RefusalCode::kDatabaseLeaving:
      return "database_leaving";
    case RefusalCode::kRateExceeded:
      return "rate_exceeded";
    case RefusalCode::kOverloaded:
      return "overloaded";
    case RefusalCode::kUnavailable:
      return "unavailable";
    case RefusalCode::kZoneOut:
      return "zone_out";
    case RefusalCode::kShuttingDown:
      return "shutting_down";
    case RefusalCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case RefusalCode::kRejectedByDatabase:
      return "rejected_by_database";
    case RefusalCode::kTransactionAborted:
      return "transaction_aborted";
    case RefusalCode::kOutcomeUnknown:
      return "outcome_unknown";
  }
  return "unknown";
}

const char* ToString(TimelineKind kind) {
  switch (kind) {
    case TimelineKind::kRequestReceived:
      return "request_received";
    case TimelineKind::kRequestAnswered:
      return "request_answered";
    case TimelineKind::kRequestRefused:
      return "request_refused";
    case TimelineKind::kPrimarySuspected:
      return "primary_suspected";
    case TimelineKind::kTermGranted:
      return "term_granted";
    case TimelineKind::kTermRefused:
      return "term_refused";
    case TimelineKind::kPrimaryPromoted:
      return "primary_promoted";
    case TimelineKind::kPrimaryLearned:
      return "primary_learned";
    case TimelineKind::kConfigurationInstalled:
      return "configuration_installed";
    case TimelineKind::kConfigurationRefused:
      return "configuration_refused";
    case TimelineKind::kPlatformLost:
      return "platform_lost";
    case TimelineKind::kPlatformReached:
      return "platform_reached";
    case TimelineKind::kLeaseRenewed:
      return "lease_renewed";
    case TimelineKind::kLeaseLapsed:
      return "lease_lapsed";
    case TimelineKind::kLeaseReclaimed:
      return "lease_reclaimed";
    case TimelineKind::kShareChanged:
      return "share_changed";
    case TimelineKind::kCreditLent:
      return "credit_lent";
    case TimelineKind::kCreditReceived:
      return "credit_received";
    case TimelineKind::kConnectionOpened:
      return "connection_opened";
    case TimelineKind::kConnectionClosed:
      return "connection_closed";
    case TimelineKind::kZoneLeft:
      return "zone_left";
    case TimelineKind::kZoneReturned:
      return "zone_returned";
    case TimelineKind::kShutdownStarted:
      return "shutdown_started";
    case TimelineKind::kShutdownFinished:
      return "shutdown_finished";
    case TimelineKind::kPeerLost:
      return "peer_lost";
    case TimelineKind::kPeerReached:
      return "peer_reached";
  }
  return "unknown";
}

}  // namespace jasminelug::core
