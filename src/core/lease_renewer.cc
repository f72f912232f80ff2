#include "src/core/lease_renewer.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/core/configuration_codec.h"

namespace jasminelug::core {
namespace {

constexpr Duration kCallTimeout = 2s;
constexpr Duration kFirstRetryDelay = 100ms;
constexpr Duration kMaxRetryDelay = 2s;
// Divisor for the jitter of renewals: each is sent early by a random time of up
// to the renewal interval divided by this. Otherwise instances that started
// together would write together.
constexpr int kJitterDivisor = 10;

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

bool IsAbsent(const Object& object) {
  return object.m_version == 0 || object.m_deleted;
}

}  // namespace

LeaseRenewer::LeaseRenewer(InstanceRecord record, Hooks hooks)
    : m_record(std::move(record)), m_hooks(std::move(hooks)) {
  m_lease.m_incarnation = m_record.m_incarnation;
  m_lease.m_series = m_record.m_series;
  m_lease.m_duration = m_record.m_lease;
}

void LeaseRenewer::Start(Context& context) {
  m_write_prefix = m_record.m_id.str() + "/" +
                   std::to_string(m_record.m_incarnation.value()) + "/" +
                   std::to_string(context.Random()()) + "/";
  CallAgain(context);
}

void LeaseRenewer::OnTick(Context& context) {
  if (m_call_kind != CallKind::kNone && context.Now() >= m_call_overdue) {
    OnFailure(PlatformFailure{true}, context);
  }
  RecordLapse(context);
  if (m_state == State::kDeregistering &&
      context.Now() >= m_deregister_deadline) {
    FinishDeregistration(context);
  }
  CallAgain(context);
}

void LeaseRenewer::OnPlatformAnswered(CallId call,
                                      const PlatformAnswer& answer,
                                      Context& context) {
  if (m_call_kind == CallKind::kNone || call != m_call) {
    return;
  }
  const auto handlers = Overloaded{
      [&](const ObjectAnswer& found) {
        m_call_kind = CallKind::kNone;
        OnObject(found.m_object, context);
      },
      [&](const VersionConflict& conflict) {
        m_call_kind = CallKind::kNone;
        OnObject(conflict.m_current, context);
      },
      [&](const PlatformFailure& failure) { OnFailure(failure, context); },
      [&](const ObjectBatch&) { OnFailure(PlatformFailure{true}, context); },
  };
  std::visit(handlers, answer);
  CallAgain(context);
}

void LeaseRenewer::OnOwnObject(const Object& object, Context& context) {
  // An object from a watch or a peer may be out of date, so it only causes the
  // object to be read.
  const bool newer = object.m_deleted || object.m_version > m_lease.m_version;
  if (newer && !IsOwnWrite(object.m_write_id)) {
    m_must_read = true;
    m_next_call = context.Now();
  }
}

void LeaseRenewer::SetDraining(Context& context) {
  m_record.m_draining = true;
  m_next_call = context.Now();
  CallAgain(context);
}

void LeaseRenewer::Deregister(Context& context) {
  if (m_state == State::kDeregistering) {
    return;
  }
  if (m_state != State::kRegistered) {
    FinishDeregistration(context);
    return;
  }
  m_state = State::kDeregistering;
  m_deregister_deadline = context.Now() + kDeregisterLimit;
  m_next_call = context.Now();
  CallAgain(context);
}

std::optional<Time> LeaseRenewer::ValidUntil() const {
  if (m_lease.m_version == 0) {
    return std::nullopt;
  }
  return m_lease.m_valid_until;
}

void LeaseRenewer::CallAgain(Context& context) {
  const bool active =
      m_state == State::kRegistered || m_state == State::kDeregistering;
  if (!active || m_call_kind != CallKind::kNone ||
      context.Now() < m_next_call) {
    return;
  }
  if (m_must_read) {
    SendGet(context);
  } else if (m_state == State::kDeregistering) {
    SendDelete(context);
  } else {
    SendPut(context);
  }
}

void LeaseRenewer::SendPut(Context& context) {
  if (m_hooks.m_choose_cell) {
    m_record.m_cell = m_hooks.m_choose_cell();
  }
  ++m_record.m_renewal;
  m_record.m_series = m_lease.m_series;
  SentWrite write;
  write.m_id = m_write_prefix + std::to_string(++m_last_write);
  write.m_sent = context.Now();
  write.m_cell = m_record.m_cell;
  write.m_draining = m_record.m_draining;
  m_writes.push_back(write);
  // The pending cell is reported before the write is sent, because the cell may
  // be in force from then on.
  ReportLease(context);
  PutObject put;
  put.m_key = {ObjectKind::kInstance, m_record.m_id.str()};
  put.m_expected_version = m_expected_version;
  put.m_value = Format(m_record);
  put.m_write_id = write.m_id;
  SendCall(CallKind::kPut, std::move(put), context);
}

void LeaseRenewer::SendGet(Context& context) {
  SendCall(CallKind::kGet,
           GetObject{{ObjectKind::kInstance, m_record.m_id.str()}}, context);
}

void LeaseRenewer::SendDelete(Context& context) {
  if (m_expected_version == 0) {
    FinishDeregistration(context);
    return;
  }
  DeleteObject request;
  request.m_key = {ObjectKind::kInstance, m_record.m_id.str()};
  request.m_expected_version = m_expected_version;
  request.m_write_id = m_write_prefix + std::to_string(++m_last_write);
  SendCall(CallKind::kDelete, std::move(request), context);
}

void LeaseRenewer::SendCall(CallKind call_kind,
                            PlatformRequest request,
                            Context& context) {
  m_call_kind = call_kind;
  m_call = context.CallThePlatform(CallOwner::kMembership, std::move(request));
  m_call_overdue = context.Now() + kCallTimeout;
}

// Handles the current state of the object, as returned by a write, a version
// conflict or a read.
void LeaseRenewer::OnObject(const Object& object, Context& context) {
  m_must_read = false;
  m_retry_delay = Duration::zero();
  m_next_call = context.Now();
  if (IsAbsent(object)) {
    OnAbsent(context);
    return;
  }
  if (const SentWrite* write = FindWrite(object.m_write_id)) {
    OnOwnWriteConfirmed(SentWrite(*write), object, context);
    return;
  }
  OnOtherWrite(object, context);
}

void LeaseRenewer::OnOwnWriteConfirmed(const SentWrite& write,
                                       const Object& object,
                                       Context& context) {
  m_expected_version = object.m_version;
  m_lease.m_version = object.m_version;
  m_lease.m_cell = write.m_cell;
  m_lease.m_valid_until = write.m_sent + m_record.m_lease;
  // The other writes expected an earlier version, so they can no longer take
  // effect.
  m_writes.clear();
  m_lapse_recorded = false;
  ReportLease(context);
  if (m_state != State::kRegistered) {
    return;
  }
  Record(TimelineKind::kLeaseRenewed,
         "version " + std::to_string(object.m_version), context);
  const Duration interval = m_record.m_lease / kRenewalsPerLease;
  const bool draining_written = write.m_draining == m_record.m_draining;
  if (draining_written) {
    m_next_call = std::max(context.Now(),
                           write.m_sent + interval -
                               context.RandomUpTo(interval / kJitterDivisor));
  }
}

// Handles an object that was not written by a pending write of this process.
// Fences this instance if a process of the same or a newer incarnation wrote
// it.
void LeaseRenewer::OnOtherWrite(const Object& object, Context& context) {
  m_expected_version = object.m_version;
  if (IsOwnWrite(object.m_write_id)) {
    return;
  }
  const Result<InstanceRecord, FieldErrors> other =
      ParseInstanceRecord(m_record.m_id, object.m_value);
  const bool older =
      !IsOk(other) || GetValue(other).m_incarnation < m_record.m_incarnation;
  if (!older) {
    Fence(GetValue(other).m_incarnation, context);
  }
}

void LeaseRenewer::OnAbsent(Context& context) {
  if (m_state == State::kDeregistering) {
    FinishDeregistration(context);
    return;
  }
  if (m_lease.m_version == 0) {
    m_expected_version = 0;
    return;
  }
  Record(TimelineKind::kLeaseReclaimed, "the lease object was deleted",
         context);
  m_expected_version = 0;
  m_writes.clear();
  ++m_lease.m_series;
  m_lease.m_version = 0;
  m_lease.m_cell.clear();
  m_lease.m_valid_until = Time();
  ReportLease(context);
}

void LeaseRenewer::OnFailure(const PlatformFailure& failure, Context& context) {
  const CallKind call_kind = std::exchange(m_call_kind, CallKind::kNone);
  if (call_kind == CallKind::kPut && !failure.m_outcome_unknown) {
    m_writes.pop_back();
    ReportLease(context);
  } else {
    m_must_read = true;
  }
  ScheduleRetry(context);
}

void LeaseRenewer::ScheduleRetry(Context& context) {
  const Duration doubled = std::max(2 * m_retry_delay, kFirstRetryDelay);
  m_retry_delay = std::min(doubled, kMaxRetryDelay);
  m_next_call =
      context.Now() + m_retry_delay / 2 + context.RandomUpTo(m_retry_delay / 2);
}

void LeaseRenewer::Fence(Incarnation other, Context& context) {
  const bool deregistering = m_state == State::kDeregistering;
  m_state = State::kFenced;
  m_writes.clear();
  m_lease.m_version = 0;
  m_lease.m_cell.clear();
  m_lease.m_valid_until = Time();
  Record(TimelineKind::kLeaseLapsed,
         "incarnation " + std::to_string(other.value()) +
             " runs under the same id",
         context);
  ReportLease(context);
  if (deregistering) {
    FinishDeregistration(context);
  } else if (m_hooks.m_on_fenced) {
    m_hooks.m_on_fenced(context);
  }
}

void LeaseRenewer::FinishDeregistration(Context& context) {
  if (m_state == State::kDeregistered) {
    return;
  }
  m_state = State::kDeregistered;
  m_call_kind = CallKind::kNone;
  if (m_hooks.m_on_deregistered) {
    m_hooks.m_on_deregistered(context);
  }
}

void LeaseRenewer::ReportLease(Context& context) {
  m_lease.m_pending_cells.clear();
  for (const SentWrite& write : m_writes) {
    std::vector<LeaseCell>& cells = m_lease.m_pending_cells;
    if (cells.empty() || cells.back() != write.m_cell) {
      cells.push_back(write.m_cell);
    }
  }
  if (m_hooks.m_on_lease) {
    m_hooks.m_on_lease(m_lease, context);
  }
}

void LeaseRenewer::RecordLapse(Context& context) {
  const bool lapsed = m_state == State::kRegistered && m_lease.m_version != 0 &&
                      context.Now() >= m_lease.m_valid_until;
  if (lapsed && !m_lapse_recorded) {
    m_lapse_recorded = true;
    Record(TimelineKind::kLeaseLapsed, "no renewal is known to have succeeded",
           context);
  }
}

void LeaseRenewer::Record(TimelineKind kind,
                          std::string detail,
                          Context& context) const {
  TimelineEvent event;
  event.m_kind = kind;
  event.m_zone = m_record.m_zone;
  event.m_detail = std::move(detail);
  context.Record(std::move(event));
}

const LeaseRenewer::SentWrite* LeaseRenewer::FindWrite(
    const std::string& id) const {
  const auto found =
      std::find_if(m_writes.begin(), m_writes.end(),
                   [&id](const SentWrite& write) { return write.m_id == id; });
  return found == m_writes.end() ? nullptr : &*found;
}

bool LeaseRenewer::IsOwnWrite(const std::string& id) const {
  return id.starts_with(m_write_prefix);
}

}  // namespace jasminelug::core
