#include "apps/jasminelugd/conversions.h"

#include <array>
#include <chrono>
#include <utility>
#include <variant>

namespace jasminelug::daemon {
namespace {

// The data age that is reported to the core for a replica that was never up to
// date.
constexpr core::Duration kUnknownAge = std::chrono::hours(24);

std::optional<core::Duration> ToCore(
    const std::optional<std::chrono::milliseconds>& duration) {
  return duration ? std::optional<core::Duration>(*duration) : std::nullopt;
}

core::LogPosition PositionOf(const databases::GroupReport& report) {
  return {core::Term(report.m_term), report.m_position};
}

core::MemberRole ToCore(databases::Role role) {
  return role == databases::Role::kPrimary ? core::MemberRole::kPrimary
                                           : core::MemberRole::kReplica;
}

core::StatementOutcome ToCore(const databases::Error& error) {
  switch (error.m_kind) {
    case databases::ErrorKind::kConnectionLost:
    case databases::ErrorKind::kConnectFailed:
      return core::StatementLost{error.m_after_send};
    case databases::ErrorKind::kDuplicateRequest:
      return core::StatementRejected{core::RejectionKind::kDuplicateRequest,
                                     error.m_sqlstate, error.m_message};
    case databases::ErrorKind::kRejected:
    case databases::ErrorKind::kUnexpectedAnswer:
      break;
  }
  const core::RejectionKind kind = error.m_sqlstate == databases::kReadOnly
                                       ? core::RejectionKind::kNotPrimary
                                       : core::RejectionKind::kStatement;
  return core::StatementRejected{kind, error.m_sqlstate, error.m_message};
}

core::StatementDone ToCore(const databases::StatementResult& result,
                           const databases::GroupReport& report) {
  core::StatementDone done;
  done.m_columns = result.m_columns;
  for (const databases::Row& row : result.m_rows) {
    done.m_rows.push_back(row.m_values);
  }
  done.m_affected = result.m_affected;
  done.m_position = PositionOf(report);
  done.m_role = ToCore(report.m_role);
  return done;
}

core::CallerRequest ToCore(const callers::StatementRequest& from) {
  core::CallerRequest request;
  request.m_operation = core::Operation::kStatement;
  request.m_database = core::DatabaseName(from.m_database);
  request.m_profile = core::ProfileName(from.m_profile);
  request.m_statement = {from.m_sql, from.m_params};
  request.m_read_only = from.m_read_only;
  request.m_transaction = core::TransactionId(from.m_transaction.value_or(""));
  request.m_deadline = ToCore(from.m_deadline);
  request.m_request_id = core::RequestId(from.m_request_id.value_or(""));
  request.m_idempotent = from.m_idempotent;
  request.m_session = from.m_session.value_or("");
  request.m_sequence = from.m_sequence;
  request.m_max_staleness = ToCore(from.m_max_staleness);
  return request;
}

core::CallerRequest ToCore(const callers::BeginRequest& from) {
  core::CallerRequest request;
  request.m_operation = core::Operation::kBegin;
  request.m_database = core::DatabaseName(from.m_database);
  request.m_profile = core::ProfileName(from.m_profile);
  request.m_read_only = from.m_read_only;
  request.m_deadline = ToCore(from.m_deadline);
  request.m_session = from.m_session.value_or("");
  return request;
}

template <typename End>
core::CallerRequest EndToCore(core::Operation operation, const End& from) {
  core::CallerRequest request;
  request.m_operation = operation;
  request.m_transaction = core::TransactionId(from.m_transaction);
  request.m_request_id = core::RequestId(from.m_request_id.value_or(""));
  request.m_session = from.m_session.value_or("");
  request.m_deadline = ToCore(from.m_deadline);
  return request;
}

core::CallerRequest ToCore(const callers::CommitRequest& from) {
  return EndToCore(core::Operation::kCommit, from);
}

core::CallerRequest ToCore(const callers::RollbackRequest& from) {
  return EndToCore(core::Operation::kRollback, from);
}

callers::ErrorCode FromCore(core::RefusalCode code) {
  using callers::ErrorCode;
  using core::RefusalCode;
  switch (code) {
    case RefusalCode::kInvalidRequest:
      return ErrorCode::kInvalidRequest;
    case RefusalCode::kKeyMissing:
      return ErrorCode::kKeyMissing;
    case RefusalCode::kKeyUnknown:
      return ErrorCode::kKeyUnknown;
    case RefusalCode::kKeyWithdrawn:
      return ErrorCode::kKeyWithdrawn;
    case RefusalCode::kKeyUnconfirmed:
      return ErrorCode::kKeyUnconfirmed;
    case RefusalCode::kNotAllowed:
      return ErrorCode::kNotAllowed;
    case RefusalCode::kUnknownDatabase:
      return ErrorCode::kUnknownDatabase;
    case RefusalCode::kUnknownProfile:
      return ErrorCode::kUnknownProfile;
    case RefusalCode::kUnknownTransaction:
      return ErrorCode::kUnknownTransaction;
    case RefusalCode::kDatabaseLeaving:
      return ErrorCode::kDatabaseLeaving;
    case RefusalCode::kRateExceeded:
      return ErrorCode::kRateExceeded;
    case RefusalCode::kOverloaded:
      return ErrorCode::kOverloaded;
    case RefusalCode::kUnavailable:
      return ErrorCode::kUnavailable;
    case RefusalCode::kZoneOut:
      return ErrorCode::kZoneOut;
    case RefusalCode::kShuttingDown:
      return ErrorCode::kShuttingDown;
    case RefusalCode::kDeadlineExceeded:
      return ErrorCode::kDeadlineExceeded;
    case RefusalCode::kRejectedByDatabase:
      return ErrorCode::kRejectedByDatabase;
    case RefusalCode::kTransactionAborted:
      return ErrorCode::kTransactionAborted;
    case RefusalCode::kOutcomeUnknown:
      return ErrorCode::kOutcomeUnknown;
  }
  return ErrorCode::kInternal;
}

callers::CallerAnswer FromCore(const core::Refusal& refusal) {
  callers::CallerError error;
  error.m_code = FromCore(refusal.m_code);
  error.m_message = refusal.m_message;
  if (!refusal.m_field.empty()) {
    error.m_field = refusal.m_field;
  }
  error.m_execution = refusal.m_effect == core::Effect::kNotRun
                          ? callers::Execution::kNotRun
                          : callers::Execution::kUnknown;
  if (refusal.m_retry_after) {
    error.m_retry_after =
        std::chrono::ceil<std::chrono::milliseconds>(*refusal.m_retry_after);
  }
  if (!refusal.m_session.empty()) {
    error.m_session = refusal.m_session;
  }
  return error;
}

callers::CallerAnswer FromCore(const core::Served& served) {
  callers::CallerSuccess success;
  success.m_columns = served.m_columns;
  success.m_rows = served.m_rows;
  success.m_affected = served.m_affected;
  success.m_session = served.m_session;
  if (!served.m_transaction.empty()) {
    success.m_transaction = served.m_transaction.str();
  }
  const bool is_primary = served.m_role == core::MemberRole::kPrimary;
  success.m_served_by =
      callers::ServedBy{served.m_instance.str(), served.m_member.str(),
                        is_primary ? "primary" : "replica"};
  success.m_replayed = served.m_replayed;
  return success;
}

std::optional<core::ObjectKind> ParseKind(const std::string& name) {
  constexpr std::array kKinds = {
      core::ObjectKind::kProfile,  core::ObjectKind::kCustomer,
      core::ObjectKind::kKey,      core::ObjectKind::kZone,
      core::ObjectKind::kDatabase, core::ObjectKind::kInstance,
      core::ObjectKind::kShare,    core::ObjectKind::kGroup};
  for (const core::ObjectKind kind : kKinds) {
    if (name == core::ToString(kind)) {
      return kind;
    }
  }
  return std::nullopt;
}

}  // namespace

core::CallerRequest ToCore(const callers::CallerRequest& from) {
  core::CallerRequest request =
      std::visit([](const auto& operation) { return ToCore(operation); },
                 from.m_operation);
  request.m_key = core::Secret(from.m_key.Reveal());
  return request;
}

callers::CallerAnswer FromCore(const core::CallerAnswer& answer) {
  return std::visit([](const auto& kind) { return FromCore(kind); }, answer);
}

core::StatementOutcome ToCore(const databases::StatementOutcome& outcome) {
  if (!IsOk(outcome)) {
    return ToCore(GetError(outcome));
  }
  const databases::StatementResult& result = GetValue(outcome);
  return ToCore(result, result.m_report);
}

core::StatementOutcome ToCore(const databases::BatchOutcome& outcome) {
  if (!IsOk(outcome)) {
    return ToCore(GetError(outcome));
  }
  const databases::BatchResult& batch = GetValue(outcome);
  return ToCore(batch.m_results.back(), batch.m_report);
}

core::MemberStatus ToCore(const databases::MemberStatus& from) {
  core::MemberStatus status;
  status.m_granted_term = core::Term(from.m_granted_term);
  status.m_received = {core::Term(from.m_term), from.m_received_position};
  status.m_applied_index = from.m_applied_position;
  status.m_lineage = {core::Term(from.m_term), from.m_term_start,
                      core::Term(from.m_previous_term)};
  status.m_role = ToCore(from.m_role);
  status.m_data_age = kUnknownAge;
  if (from.m_last_contact) {
    status.m_data_age = *from.m_last_contact;
  }
  return status;
}

core::GrantAnswer ToCore(const databases::GrantAnswer& from) {
  core::GrantAnswer answer;
  answer.m_granted = from.m_granted;
  answer.m_granted_term = core::Term(from.m_granted_term);
  answer.m_received = {core::Term(from.m_term), from.m_received_position};
  return answer;
}

databases::Statement FromCore(const core::Statement& statement) {
  return {statement.m_sql, statement.m_parameters};
}

// The core cannot represent an object of a kind that this release does not
// know. Such an object is converted to one of kind kGroup with an empty value;
// the core never looks up a group by the name of such an object.
core::Object ToCore(const platform::Object& from) {
  core::Object object;
  const auto kind = ParseKind(from.m_kind);
  object.m_key = {kind.value_or(core::ObjectKind::kGroup), from.m_name};
  object.m_version = static_cast<uint64_t>(from.m_version);
  object.m_revision = core::Revision(static_cast<uint64_t>(from.m_revision));
  object.m_value = kind ? from.m_value : std::string();
  object.m_write_id = from.m_write_id;
  return object;
}

core::ObjectBatch ToCore(const platform::ObjectList& list) {
  core::ObjectBatch batch;
  batch.m_revision = core::Revision(static_cast<uint64_t>(list.m_revision));
  for (const platform::Object& object : list.m_objects) {
    if (ParseKind(object.m_kind)) {
      batch.m_objects.push_back(ToCore(object));
    }
  }
  return batch;
}

core::ObjectBatch ToCore(const platform::WatchAnswer& answer) {
  core::ObjectBatch batch;
  const auto* list = std::get_if<platform::ChangeList>(&answer);
  if (list == nullptr) {
    batch.m_must_list = true;
    return batch;
  }
  batch.m_revision = core::Revision(static_cast<uint64_t>(list->m_revision));
  for (const platform::Change& change : list->m_changes) {
    if (!ParseKind(change.m_object.m_kind)) {
      continue;
    }
    core::Object object = ToCore(change.m_object);
    object.m_deleted = change.m_is_deletion;
    batch.m_objects.push_back(std::move(object));
  }
  return batch;
}

core::PlatformAnswer ToCore(const core::ObjectKey& key,
                            const platform::Error& error) {
  core::Object none;
  none.m_key = key;
  none.m_deleted = true;
  switch (error.m_kind) {
    case platform::ErrorKind::kConflict:
      return core::VersionConflict{error.m_current ? ToCore(*error.m_current)
                                                   : none};
    case platform::ErrorKind::kNotFound:
      none.m_write_id = error.m_deleted_by;
      return core::ObjectAnswer{none};
    case platform::ErrorKind::kRefused:
    case platform::ErrorKind::kUnavailable:
      return core::PlatformFailure{false};
    case platform::ErrorKind::kOutcomeUnknown:
      return core::PlatformFailure{true};
  }
  return core::PlatformFailure{true};
}

platform::ObjectKey FromCore(const core::ObjectKey& key) {
  return {core::ToString(key.m_kind), key.m_name};
}

}  // namespace jasminelug::daemon
