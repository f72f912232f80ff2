#ifndef TEST_FAKE_DATABASE_GROUP_MEMBER_H_
#define TEST_FAKE_DATABASE_GROUP_MEMBER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jasminelug/common.h"
#include "jasminelug/databases.h"
#include "test/fake_database/applied_state.h"
#include "test/fake_database/fault.h"
#include "test/fake_database/log.h"
#include "test/fake_database/member_settings.h"
#include "test/fake_database/primary_finder.h"
#include "test/fake_database/pull.h"
#include "test/fake_database/puller.h"
#include "test/fake_database/writer.h"

namespace jasminelug::fake_database {

// What a replica has said that it holds of the primary's log.
struct Holder {
  std::uint32_t m_member = 0;
  Term m_term = 0;
  Position m_position = 0;

  bool operator==(const Holder&) const = default;
};

// One member of a database group: its log, its part in terms and promotions,
// and replication. docs/ASSUMPTIONS.md says what it offers.
class GroupMember : public std::enable_shared_from_this<GroupMember> {
 public:
  using PullOutcome = Result<PullAnswer, SqlError>;
  using PullHook = std::function<void(const PullOutcome&)>;
  using PromoteOutcome = Result<databases::PromoteAnswer, SqlError>;
  using FollowOutcome = Result<databases::FollowAnswer, SqlError>;

  GroupMember(asio::io_context& io, MemberSettings settings);
  ~GroupMember() { Stop(); }

  // Starts as the primary, or looks for it among the peers.
  void Start();

  // Stops replication for good.
  void Stop();

  const MemberSettings& Settings() const { return m_settings; }

  // The database as it is committed here.
  SqlEngine& Committed() { return m_applied->Engine(); }

  // Where writes run, null on a replica.
  std::shared_ptr<Writer> CurrentWriter() const { return m_writer; }

  // Commits the writer's open transaction, of which `statements` changed the
  // database. Returns what to report for it, or nothing, with the transaction
  // rolled back, where the member is no longer the primary.
  std::optional<databases::GroupReport> Commit(
      Writer& writer,
      std::vector<Statement> statements);

  // The term and position applied, and the role.
  databases::GroupReport Report() const;

  databases::MemberStatus Status() const;

  databases::GrantAnswer Grant(Term term, const std::string& candidate);
  PromoteOutcome Promote(Term term);
  FollowOutcome Follow(Term term, const std::string& address);

  // Answers a replica, after a short wait where it lacks nothing.
  void Pull(const PullRequest& request, PullHook hook);

  std::vector<Holder> Holders() const { return m_holders; }

  // Counts the connections that are open.
  void AddConnection() { ++m_connections; }
  void RemoveConnection() { --m_connections; }
  bool HasConnectionLeft() const {
    return m_connections < m_settings.m_connections;
  }

  // Stops the member from pulling, and from answering pulls, until resumed.
  void PauseReplication(bool paused);

  void SetCommitFault(CommitFault fault) { m_fault = fault; }
  CommitFault TakeCommitFault();

 private:
  using Waiter = std::weak_ptr<asio::steady_timer>;

  bool IsPrimary() const { return m_writer != nullptr; }
  void BecomePrimary(Term term);
  void StepDown();
  void StartPulling(Term term, const Address& address);
  void StopPulling();
  void OnPulled(Term term, const PullAnswer& answer, Puller::Time sent);
  void LookForPrimary();
  void StopLooking();
  void NoteHolder(const PullRequest& request, Position common);
  PullOutcome AnswerPull(const PullRequest& request);
  void WakeWaiters();

  asio::io_context& m_io;
  MemberSettings m_settings;
  Log m_log;
  std::shared_ptr<AppliedState> m_applied;
  std::shared_ptr<Writer> m_writer;
  std::shared_ptr<Puller> m_puller;
  std::shared_ptr<PrimaryFinder> m_finder;
  Term m_granted_term = 0;
  std::string m_candidate;
  Term m_primary_term = 0;
  // Whom a replica pulls from.
  std::optional<Address> m_primary;
  // Until it has held the primary's log, a member grants nothing: it may have
  // forgotten what it granted before.
  bool m_caught_up = false;
  bool m_paused = false;
  bool m_stopped = false;
  std::uint32_t m_connections = 0;
  std::vector<Holder> m_holders;
  std::vector<Waiter> m_waiters;
  CommitFault m_fault = CommitFault::kNone;
};

}  // namespace jasminelug::fake_database

#endif  // TEST_FAKE_DATABASE_GROUP_MEMBER_H_
