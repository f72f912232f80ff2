#include "test/fake_database/group_member.h"

#include <algorithm>
#include <utility>

#include "jasminelug/common.h"

namespace jasminelug::fake_database {
namespace {

using databases::FollowAnswer;
using databases::GrantAnswer;
using databases::GroupReport;
using databases::MemberStatus;
using databases::PromoteAnswer;
using databases::Role;

// How long a pull waits for an entry to come. It bounds from below the age
// that an idle replica reports.
constexpr std::chrono::milliseconds kPullHold{20};
constexpr std::size_t kMaxPulledEntries = 256;
constexpr Term kFirstTerm = 1;

SqlError StateError(const std::string& message) {
  return {"55000", message, ""};
}

}  // namespace

GroupMember::GroupMember(asio::io_context& io, MemberSettings settings)
    : m_io(io),
      m_settings(std::move(settings)),
      m_applied(std::make_shared<AppliedState>(io, m_log, m_settings.m_lag)) {}

void GroupMember::Start() {
  if (m_settings.m_primary) {
    m_granted_term = kFirstTerm;
    BecomePrimary(kFirstTerm);
  } else if (!m_settings.m_peers.empty()) {
    LookForPrimary();
  }
}

void GroupMember::Stop() {
  m_stopped = true;
  StopLooking();
  StopPulling();
  WakeWaiters();
}

std::optional<GroupReport> GroupMember::Commit(
    Writer& writer,
    std::vector<Statement> statements) {
  if (writer.IsRevoked() || !IsPrimary()) {
    writer.Rollback();
    return std::nullopt;
  }
  if (statements.empty()) {
    writer.Commit();
    return Report();
  }
  m_log.Append(m_primary_term, std::move(statements));
  m_applied->ApplyNow();
  const GroupReport report = Report();
  WakeWaiters();
  // Last, as the next transaction may begin and even commit in here.
  writer.Commit();
  return report;
}

GroupReport GroupMember::Report() const {
  GroupReport report;
  report.m_position = m_applied->AppliedPosition();
  report.m_term = m_log.TermAt(report.m_position);
  report.m_role = IsPrimary() ? Role::kPrimary : Role::kReplica;
  return report;
}

MemberStatus GroupMember::Status() const {
  MemberStatus status;
  status.m_granted_term = m_granted_term;
  status.m_term = m_log.LastTerm();
  status.m_received_position = m_log.LastPosition();
  status.m_applied_position = m_applied->AppliedPosition();
  status.m_role = IsPrimary() ? Role::kPrimary : Role::kReplica;
  status.m_primary_term = m_primary_term;
  status.m_last_contact =
      IsPrimary() ? std::chrono::milliseconds(0) : m_applied->Age();
  status.m_term_start = m_log.LastTermStart();
  status.m_previous_term =
      status.m_term_start > 1 ? m_log.TermAt(status.m_term_start - 1) : 0;
  status.m_connections = m_connections;
  return status;
}

GrantAnswer GroupMember::Grant(Term term, const std::string& candidate) {
  const bool again = term == m_granted_term && !m_candidate.empty() &&
                     candidate == m_candidate;
  const bool granted =
      again || (m_caught_up && !candidate.empty() && term > m_granted_term);
  if (granted && !again) {
    m_granted_term = term;
    m_candidate = candidate;
    StepDown();
  }
  return {granted, m_granted_term, m_log.LastTerm(), m_log.LastPosition()};
}

GroupMember::PromoteOutcome GroupMember::Promote(Term term) {
  if (IsPrimary() && m_primary_term == term) {
    return PromoteAnswer{term, m_log.LastTermStart()};
  }
  if (term != m_granted_term || m_candidate.empty() || term <= m_primary_term) {
    return StateError("the member has not granted this term");
  }
  BecomePrimary(term);
  return PromoteAnswer{term, m_log.LastPosition()};
}

GroupMember::FollowOutcome GroupMember::Follow(Term term,
                                               const std::string& address) {
  const std::optional<Address> primary = ToAddress(address);
  if (!primary) {
    return SqlError{"22023", "the address is not ip:port", ""};
  }
  if (term < m_granted_term || term < m_primary_term) {
    return StateError("the member has granted a higher term");
  }
  if (IsPrimary() && term == m_primary_term) {
    return StateError("the member is the primary of this term");
  }
  if (term > m_granted_term) {
    m_granted_term = term;
    m_candidate.clear();
  }
  StepDown();
  StartPulling(term, *primary);
  return FollowAnswer{term};
}

void GroupMember::Pull(const PullRequest& request, PullHook hook) {
  const PullOutcome outcome = AnswerPull(request);
  const auto* answer = std::get_if<PullAnswer>(&outcome);
  if (answer == nullptr || !answer->m_entries.empty() ||
      request.m_outline.m_last > answer->m_common) {
    hook(outcome);
    return;
  }
  const auto timer = std::make_shared<asio::steady_timer>(m_io, kPullHold);
  std::erase_if(m_waiters,
                [](const Waiter& waiter) { return waiter.expired(); });
  m_waiters.push_back(timer);
  timer->async_wait([self = shared_from_this(), timer, request,
                     hook = std::move(hook)](const asio::error_code&) {
    hook(self->AnswerPull(request));
  });
}

GroupMember::PullOutcome GroupMember::AnswerPull(const PullRequest& request) {
  if (m_paused || m_stopped) {
    return SqlError{"57P03", "replication is paused", ""};
  }
  if (!IsPrimary() || request.m_term != m_primary_term) {
    return StateError("the member is not the primary of this term");
  }
  PullAnswer answer;
  answer.m_term = m_primary_term;
  answer.m_common = m_log.CommonPrefix(request.m_outline);
  answer.m_last = m_log.LastPosition();
  NoteHolder(request, answer.m_common);
  const Position end =
      std::min<Position>(answer.m_last, answer.m_common + kMaxPulledEntries);
  for (Position next = answer.m_common + 1; next <= end; ++next) {
    answer.m_entries.push_back(m_log.EntryAt(next));
  }
  return answer;
}

// A replica holds entries at the primary's term only once its log reaches
// into that term; before, it is a holder of an older one.
void GroupMember::NoteHolder(const PullRequest& request, Position common) {
  const Holder holder{request.m_member, m_log.TermAt(common), common};
  const auto known = std::find_if(m_holders.begin(), m_holders.end(),
                                  [&holder](const Holder& other) {
                                    return other.m_member == holder.m_member;
                                  });
  if (known == m_holders.end()) {
    m_holders.push_back(holder);
  } else {
    *known = holder;
  }
}

void GroupMember::WakeWaiters() {
  const std::vector<Waiter> waiters = std::exchange(m_waiters, {});
  for (const Waiter& waiter : waiters) {
    if (const auto timer = waiter.lock()) {
      timer->cancel();
    }
  }
}

void GroupMember::BecomePrimary(Term term) {
  StepDown();
  StopLooking();
  m_caught_up = true;
  m_primary_term = term;
  m_holders.clear();
  m_log.Append(term, {});
  m_applied->ApplyNow();
  m_writer = std::make_shared<Writer>(m_applied->Engine());
}

// Ceases to be the primary or to follow one.
void GroupMember::StepDown() {
  m_primary.reset();
  StopPulling();
  if (m_writer != nullptr) {
    std::exchange(m_writer, nullptr)->Revoke();
    WakeWaiters();
  }
}

void GroupMember::StartPulling(Term term, const Address& address) {
  StopLooking();
  m_primary_term = term;
  m_primary = address;
  if (m_paused || m_stopped) {
    return;
  }
  m_puller = std::make_shared<Puller>(
      m_io, address,
      [this, term] {
        return PullRequest{m_settings.m_member, term, m_log.Outline()};
      },
      [this, term](const PullAnswer& answer, Puller::Time sent) {
        OnPulled(term, answer, sent);
      });
  m_puller->Start();
}

void GroupMember::StopPulling() {
  if (m_puller != nullptr) {
    std::exchange(m_puller, nullptr)->Stop();
  }
}

void GroupMember::OnPulled(Term term,
                           const PullAnswer& answer,
                           Puller::Time sent) {
  if (answer.m_term != term || term < m_granted_term) {
    return;
  }
  if (answer.m_common < m_log.LastPosition()) {
    m_log.TruncateTo(answer.m_common);
    m_applied->TruncateTo(answer.m_common);
  }
  for (const LogEntry& entry : answer.m_entries) {
    m_log.Append(entry.m_term, entry.m_statements);
  }
  if (!answer.m_entries.empty()) {
    m_applied->ApplyLater();
  }
  m_caught_up = m_caught_up || m_log.LastPosition() == answer.m_last;
  m_applied->MarkPrimaryPosition(sent, answer.m_last);
}

void GroupMember::LookForPrimary() {
  m_finder = std::make_shared<PrimaryFinder>(
      m_io, m_settings.m_peers, [this](Term term, const Address& address) {
        Follow(term, address.m_host + ":" + std::to_string(address.m_port));
      });
  m_finder->Start();
}

void GroupMember::StopLooking() {
  if (m_finder != nullptr) {
    std::exchange(m_finder, nullptr)->Stop();
  }
}

void GroupMember::PauseReplication(bool paused) {
  m_paused = paused;
  WakeWaiters();
  StopPulling();
  if (!paused && m_primary) {
    StartPulling(m_primary_term, *m_primary);
  }
}

CommitFault GroupMember::TakeCommitFault() {
  return std::exchange(m_fault, CommitFault::kNone);
}

}  // namespace jasminelug::fake_database
