// Tests operations that are forwarded to the holders of connections: how the
// sender handles answers, refusals and unresponsive holders, and what the
// holder runs.

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <variant>
#include <vector>

#include "test/gateway/engine_fixture.h"

namespace jasminelug::gateway {
namespace {

constexpr Duration kPastConfirmationTimeout =
    ForwardTable::kConfirmationTimeout + 30ms;

ForwardedAnswer Success(OperationId operation,
                        TransactionState state = TransactionState::kNone,
                        std::uint64_t position = 7) {
  return {
      operation,
      std::nullopt,
      {Completed{{"row"}, "signature"}, state, LogPosition{Term(1), position}}};
}

// Returns a holder's answer to a forwarded statement that succeeds.
ForwardedAnswer SuccessOf(const ForwardedStatement& statement,
                          TransactionState state = TransactionState::kNone) {
  ForwardedAnswer answer = Success(statement.m_operation, state);
  answer.m_number = statement.m_number;
  return answer;
}

ForwardedAnswer Failure(OperationId operation,
                        ErrorCode code,
                        bool try_elsewhere = false) {
  return {operation,
          std::nullopt,
          {Refused{code, "test", try_elsewhere}, TransactionState::kNone, {}}};
}

// An instance that holds no connections and forwards to the holders h1 and h2.
class Sender : public EngineFixture {
 public:
  explicit Sender(const std::string& self = "self") : EngineFixture(self) {
    m_engine.SetInstances(Instances(self), m_now);
  }

  static std::vector<InstanceEntry> Instances(
      const std::string& self = "self") {
    std::vector<InstanceEntry> entries = {Entry(self), Entry("h1"),
                                          Entry("h2")};
    entries[0].m_processors = 0.1;
    entries[1].m_processors = 1;
    entries[2].m_processors = 1;
    return entries;
  }

  // Returns the forwarded statements, with their holders.
  std::vector<std::pair<InstanceId, ForwardedStatement>> Statements() const {
    std::vector<std::pair<InstanceId, ForwardedStatement>> statements;
    for (const auto& [holder, message] : m_forwarded) {
      if (const auto* statement = std::get_if<ForwardedStatement>(&message)) {
        statements.emplace_back(holder, *statement);
      }
    }
    return statements;
  }

  template <typename Message>
  int Count() const {
    int count = 0;
    for (const auto& [holder, message] : m_forwarded) {
      count += std::holds_alternative<Message>(message) ? 1 : 0;
    }
    return count;
  }

  void AnswerLast(const ForwardedAnswer& answer) {
    m_engine.OnForwardAnswer(Statements().back().first, answer, m_now);
  }
  OperationId LastOperation() const {
    return Statements().back().second.m_operation;
  }
};

class ForwardingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardingTest);
  CPPUNIT_TEST(StatementRunsAtItsHolder);
  CPPUNIT_TEST(StatementThatNeedsMuchIsNotForwarded);
  CPPUNIT_TEST(TransactionStaysWithItsHolder);
  CPPUNIT_TEST(UnresponsiveHolderByKindOfStatement);
  CPPUNIT_TEST(ConfirmedStatementIsWaitedFor);
  CPPUNIT_TEST(UnresponsiveHolderIsAvoidedUntilItResponds);
  CPPUNIT_TEST(LostConnectionEndsTheWaitAtOnce);
  CPPUNIT_TEST(LostCommitIsInDoubt);
  CPPUNIT_TEST(LostTransactionIsAborted);
  CPPUNIT_TEST(HolderThatCannotServeIsReplaced);
  CPPUNIT_TEST(NoHolderIsReachedAtAll);
  CPPUNIT_TEST(CallerThatLeavesEndsItsOperation);
  CPPUNIT_TEST(LateAnswerOfACancelledOperationIsDropped);
  CPPUNIT_TEST(LateAnswerToAnotherRunIsDropped);
  CPPUNIT_TEST(RepeatedAnswerIsNotTakenForTheNextStatement);
  CPPUNIT_TEST(HolderRunsWithoutAKey);
  CPPUNIT_TEST(HolderRunsATransaction);
  CPPUNIT_TEST(HolderReadsWhatTheSessionWrote);
  CPPUNIT_TEST(StoppingHolderAsksSenderToTryElsewhere);
  CPPUNIT_TEST(HolderWithoutAPrimaryAsksSenderToTryElsewhere);
  CPPUNIT_TEST(FormerHolderClosesExcessConnections);
  CPPUNIT_TEST(StoppingHolderForwardsWhatItReceives);
  CPPUNIT_TEST(HolderEndsIdleTransactions);
  CPPUNIT_TEST(StatementOfAnEndedTransactionIsNotRun);
  CPPUNIT_TEST(HostConfirmsUnansweredOperations);
  CPPUNIT_TEST(HostRunsEachStatementOnce);
  CPPUNIT_TEST(HostFindsSessionsOfEarlierIncarnations);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A message between instances holds at most 1 MiB, with the session's values
  // and the prepared statement. A longer one is never sent: a write was in
  // doubt, and its holder was taken for unresponsive by all callers.
  void StatementThatNeedsMuchIsNotForwarded() {
    const std::string large((std::size_t{1} << 20) - 64, 'x');
    {
      Sender sender;
      const SessionId id = sender.Open("own");
      sender.SetValue(id, "zone", large);
      sender.Write(id);
      CPPUNIT_ASSERT(sender.Statements().empty());
    }
    Sender sender;
    const SessionId id = sender.Open("own");
    Statement prepare =
        EngineFixture::Make(StatementKind::kPrepare, "PREPARE", "s1");
    prepare.m_prepared = {Access::kWrite, large};
    sender.m_engine.OnStatement(id, prepare, sender.m_now);
    sender.m_engine.OnStatement(
        id,
        EngineFixture::Make(StatementKind::kExecute, "EXECUTE s1 a b", "s1",
                            "a b"),
        sender.m_now);
    CPPUNIT_ASSERT(sender.Statements().empty());
  }

  void StatementRunsAtItsHolder() {
    Sender sender;
    const SessionId id = sender.Open("own");
    sender.SetValue(id, "zone", "north");
    sender.Write(id);
    const auto statements = sender.Statements();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, statements.size());
    const ForwardedStatement& sent = statements[0].second;
    CPPUNIT_ASSERT(sent.m_starts_operation);
    CPPUNIT_ASSERT(CustomerName("a") == sent.m_customer);
    CPPUNIT_ASSERT_EQUAL(std::string("north"), sent.m_values.at("zone"));
    CPPUNIT_ASSERT(!sent.m_last_commit);
    CPPUNIT_ASSERT(sender.m_connections.empty());
    sender.AnswerLast(Success(sent.m_operation));
    CPPUNIT_ASSERT(sender.Succeeded(id));
    // The next read carries the position of the write, which it must see.
    sender.Read(id);
    const ForwardedStatement read = sender.Statements().back().second;
    CPPUNIT_ASSERT(read.m_last_commit);
    CPPUNIT_ASSERT((LogPosition{Term(1), 7}) == read.m_last_commit->m_position);
    CPPUNIT_ASSERT(read.m_operation != sent.m_operation);
  }

  void TransactionStaysWithItsHolder() {
    Sender sender;
    const SessionId id = sender.Open("strict");
    sender.Send(id, StatementKind::kBegin, "BEGIN");
    CPPUNIT_ASSERT(sender.Statements().empty());
    sender.Write(id);
    const InstanceId holder = sender.Statements().back().first;
    const OperationId operation = sender.LastOperation();
    CPPUNIT_ASSERT(sender.Statements().back().second.m_transaction ==
                   TransactionMode::kReadWrite);
    sender.AnswerLast(Success(operation, TransactionState::kOpen));
    // New operations avoid the holder, but the transaction continues there.
    sender.m_engine.OnHolderLost(holder, sender.m_now);
    sender.Read(id);
    CPPUNIT_ASSERT(holder == sender.Statements().back().first);
    CPPUNIT_ASSERT(!sender.Statements().back().second.m_starts_operation);
    sender.AnswerLast(Success(operation, TransactionState::kOpen));
    sender.Send(id, StatementKind::kCommit, "COMMIT");
    CPPUNIT_ASSERT(operation == sender.LastOperation());
    sender.AnswerLast(Success(operation));
    CPPUNIT_ASSERT(sender.Succeeded(id));
    CPPUNIT_ASSERT(sender.LastAnswer(id)->m_state == TransactionState::kNone);
    CPPUNIT_ASSERT_EQUAL(0, sender.Count<ForwardedEnd>());
  }

  // The holder is frozen, killed or cut off. Reads are run elsewhere, and
  // writes are in doubt.
  void UnresponsiveHolderByKindOfStatement() {
    struct Case {
      const char* m_database;
      bool m_writes;
      bool m_runs_elsewhere;
    };
    const std::vector<Case> cases = {{"strict", false, true},
                                     {"bounded", false, true},
                                     {"own", false, true},
                                     {"strict", true, false},
                                     {"own", true, false}};
    for (const Case& row : cases) {
      Sender sender;
      const SessionId id = sender.Open(row.m_database);
      if (row.m_writes) {
        sender.Write(id);
      } else {
        sender.Read(id);
      }
      sender.Advance(kPastConfirmationTimeout);
      const auto statements = sender.Statements();
      CPPUNIT_ASSERT_EQUAL(row.m_runs_elsewhere ? std::size_t{2} : 1,
                           statements.size());
      CPPUNIT_ASSERT_EQUAL(1, sender.Count<ForwardedEnd>());
      if (row.m_runs_elsewhere) {
        CPPUNIT_ASSERT(statements[0].first != statements[1].first);
        sender.AnswerLast(Success(sender.LastOperation()));
        CPPUNIT_ASSERT(sender.Succeeded(id));
      } else {
        CPPUNIT_ASSERT(ErrorCode::kInDoubt == sender.LastError(id));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sender.CountAnswers(id));
    }
  }

  // The member is slow, but the holder confirms that it is running the
  // statement.
  void ConfirmedStatementIsWaitedFor() {
    Sender sender;
    const SessionId id = sender.Open("strict");
    sender.Write(id);
    for (int i = 0; i < 8; ++i) {
      sender.Advance(ForwardHost::kProgressInterval);
      sender.m_engine.OnForwardProgress(sender.Statements().back().first,
                                        {{sender.LastOperation()}},
                                        sender.m_now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sender.CountAnswers(id));
    sender.AnswerLast(Success(sender.LastOperation()));
    CPPUNIT_ASSERT(sender.Succeeded(id));
  }

  void UnresponsiveHolderIsAvoidedUntilItResponds() {
    Sender sender;
    sender.Read(sender.Open("strict"));
    const InstanceId first = sender.Statements().back().first;
    sender.Advance(kPastConfirmationTimeout);
    sender.Read(sender.Open("strict"));
    CPPUNIT_ASSERT(first != sender.Statements().back().first);
    CPPUNIT_ASSERT_EQUAL(0, sender.Count<ForwardPing>());
    sender.Advance(ForwardTable::kPingInterval);
    CPPUNIT_ASSERT_EQUAL(1, sender.Count<ForwardPing>());
    sender.m_engine.OnForwardProgress(first, {}, sender.m_now);
    sender.Read(sender.Open("strict"));
    CPPUNIT_ASSERT(first == sender.Statements().back().first);
  }

  void LostConnectionEndsTheWaitAtOnce() {
    Sender sender;
    const SessionId id = sender.Open("strict");
    sender.Read(id);
    const InstanceId first = sender.Statements().back().first;
    sender.m_engine.OnHolderLost(first, sender.m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sender.Statements().size());
    CPPUNIT_ASSERT(first != sender.Statements().back().first);
  }

  void LostCommitIsInDoubt() {
    for (const bool writes : {true, false}) {
      Sender sender;
      const SessionId id = sender.Open("strict");
      sender.Send(id, StatementKind::kBegin, "BEGIN");
      if (writes) {
        sender.Write(id);
      } else {
        sender.Read(id);
      }
      sender.AnswerLast(
          Success(sender.LastOperation(), TransactionState::kOpen));
      sender.Send(id, StatementKind::kCommit, "COMMIT");
      sender.Advance(kPastConfirmationTimeout);
      CPPUNIT_ASSERT(sender.LastError(id) ==
                     (writes ? ErrorCode::kInDoubt : ErrorCode::kAborted));
      CPPUNIT_ASSERT(sender.LastAnswer(id)->m_state == TransactionState::kNone);
    }
  }

  void LostTransactionIsAborted() {
    Sender sender;
    const SessionId id = sender.Open("strict");
    sender.Send(id, StatementKind::kBegin, "BEGIN");
    sender.Write(id);
    sender.AnswerLast(Success(sender.LastOperation(), TransactionState::kOpen));
    sender.Write(id);
    sender.Advance(kPastConfirmationTimeout);
    CPPUNIT_ASSERT(ErrorCode::kAborted == sender.LastError(id));
    CPPUNIT_ASSERT(sender.LastAnswer(id)->m_state == TransactionState::kFailed);
    CPPUNIT_ASSERT_EQUAL(1, sender.Count<ForwardedEnd>());
  }

  // The holder cannot reach the primary, but another holder may.
  void HolderThatCannotServeIsReplaced() {
    Sender sender;
    const SessionId id = sender.Open("strict");
    sender.Write(id);
    const InstanceId first = sender.Statements().back().first;
    sender.AnswerLast(Failure(sender.LastOperation(), ErrorCode::kBusy, true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sender.Statements().size());
    CPPUNIT_ASSERT(first != sender.Statements().back().first);
    // A refusal for lack of capacity is final, because the holder knows the
    // load of the members.
    sender.AnswerLast(Failure(sender.LastOperation(), ErrorCode::kBusy));
    CPPUNIT_ASSERT(ErrorCode::kBusy == sender.LastError(id));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sender.Statements().size());
  }

  void NoHolderIsReachedAtAll() {
    Sender sender;
    sender.m_engine.OnHolderLost(InstanceId("h1"), sender.m_now);
    sender.m_engine.OnHolderLost(InstanceId("h2"), sender.m_now);
    const SessionId id = sender.Open("strict");
    sender.Write(id);
    CPPUNIT_ASSERT(sender.Statements().empty());
    sender.AnswerAllAt("p", 3);
    CPPUNIT_ASSERT(sender.Succeeded(id));
  }

  void CallerThatLeavesEndsItsOperation() {
    Sender sender;
    const SessionId id = sender.Open("strict");
    sender.Send(id, StatementKind::kBegin, "BEGIN");
    sender.Write(id);
    sender.AnswerLast(Success(sender.LastOperation(), TransactionState::kOpen));
    sender.m_engine.OnSessionEnd(id, sender.m_now);
    CPPUNIT_ASSERT_EQUAL(1, sender.Count<ForwardedEnd>());
  }

  void LateAnswerOfACancelledOperationIsDropped() {
    Sender sender;
    const SessionId id = sender.Open("strict");
    sender.Write(id);
    const auto [holder, statement] = sender.Statements().back();
    sender.Advance(kPastConfirmationTimeout);
    CPPUNIT_ASSERT(ErrorCode::kInDoubt == sender.LastError(id));
    sender.m_engine.OnForwardAnswer(holder, Success(statement.m_operation),
                                    sender.m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sender.CountAnswers(id));
  }

  // A holder answers an operation of the sender's previous run or
  // of another instance that used the same address. The sender that gets the
  // message has forwarded as many operations to that holder.
  void LateAnswerToAnotherRunIsDropped() {
    for (const std::string other : {"self", "another"}) {
      Sender before(other);
      Sender sender;
      for (int i = 0; i < 3; ++i) {
        before.Write(before.Open("strict"));
        const SessionId id = sender.Open("strict");
        sender.Write(id);
        const InstanceId holder = sender.Statements().back().first;
        sender.m_engine.OnForwardAnswer(holder, Success(before.LastOperation()),
                                        sender.m_now);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(other, std::size_t{0},
                                     sender.CountAnswers(id));
        sender.AnswerLast(Success(sender.LastOperation()));
        CPPUNIT_ASSERT_MESSAGE(other, sender.Succeeded(id));
      }
    }
  }

  // The answer to the first statement of a transaction comes a second time,
  // before and after the next statement is sent.
  void RepeatedAnswerIsNotTakenForTheNextStatement() {
    Sender sender;
    const SessionId id = sender.Open("strict");
    sender.Send(id, StatementKind::kBegin, "BEGIN");
    sender.Write(id);
    const ForwardedAnswer first =
        SuccessOf(sender.Statements().back().second, TransactionState::kOpen);
    sender.AnswerLast(first);
    sender.AnswerLast(first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sender.CountAnswers(id));
    sender.Send(id, StatementKind::kCommit, "COMMIT");
    sender.AnswerLast(first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sender.CountAnswers(id));
    sender.AnswerLast(SuccessOf(sender.Statements().back().second));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sender.CountAnswers(id));
    CPPUNIT_ASSERT(sender.Succeeded(id));
  }

  static ForwardedStatement MakeForwarded(Consistency consistency,
                                          StatementKind kind,
                                          const std::string& text) {
    ForwardedStatement forwarded;
    forwarded.m_operation = OperationId(1);
    forwarded.m_customer = CustomerName("b");
    forwarded.m_route.m_group = EngineFixture::Group();
    forwarded.m_route.m_consistency = consistency;
    forwarded.m_route.m_max_staleness = 1500ms;
    forwarded.m_route.m_objective = 400ms;
    forwarded.m_statement = EngineFixture::Make(kind, text);
    return forwarded;
  }

  void HolderRunsWithoutAKey() {
    EngineFixture holder;
    const SessionId id(std::uint64_t{1} << 63);
    holder.m_engine.OnForwardedStatement(
        id,
        MakeForwarded(Consistency::kPrimary, StatementKind::kWrite, "WRITE"),
        holder.m_now);
    holder.AnswerAllAt("p", 12);
    CPPUNIT_ASSERT(holder.Succeeded(id));
    CPPUNIT_ASSERT((LogPosition{Term(1), 12}) ==
                   holder.LastAnswer(id)->m_position);
    CPPUNIT_ASSERT(CustomerName("b") ==
                   holder.m_connections.begin()->second.m_customer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holder.m_engine.session_count());
    holder.Advance(Engine::kTickInterval);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, holder.m_engine.session_count());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holder.m_closed_sessions.size());
  }

  void HolderRunsATransaction() {
    EngineFixture holder;
    const SessionId id(std::uint64_t{1} << 63);
    ForwardedStatement forwarded =
        MakeForwarded(Consistency::kPrimary, StatementKind::kWrite, "WRITE");
    forwarded.m_transaction = TransactionMode::kReadWrite;
    holder.m_engine.OnForwardedStatement(id, forwarded, holder.m_now);
    holder.AnswerAllAt("p", 12);
    CPPUNIT_ASSERT(holder.LastAnswer(id)->m_state == TransactionState::kOpen);
    holder.Advance(Engine::kTickInterval);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holder.m_engine.session_count());
    forwarded.m_starts_operation = false;
    forwarded.m_statement =
        EngineFixture::Make(StatementKind::kCommit, "COMMIT");
    holder.m_engine.OnForwardedStatement(id, forwarded, holder.m_now);
    holder.AnswerAllAt("p", 13);
    CPPUNIT_ASSERT(holder.Succeeded(id));
    CPPUNIT_ASSERT(holder.LastAnswer(id)->m_state == TransactionState::kNone);
    holder.Advance(Engine::kTickInterval);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, holder.m_engine.session_count());
  }

  void HolderReadsWhatTheSessionWrote() {
    EngineFixture holder;
    holder.Write(holder.Open("strict"));
    holder.AnswerAllAt("p", 5);
    holder.Advance(200ms);
    ForwardedStatement forwarded = MakeForwarded(
        Consistency::kReadYourWrites, StatementKind::kRead, "READ x");
    forwarded.m_last_commit = {50ms, LogPosition{Term(1), 9}};
    const SessionId id(std::uint64_t{1} << 63);
    holder.m_engine.OnForwardedStatement(id, forwarded, holder.m_now);
    holder.OpenConnections();
    bool found = false;
    for (const auto& [connection, state] : holder.m_connections) {
      for (const MemberStatement& statement : state.m_unanswered) {
        found |= statement.m_after == LogPosition{Term(1), 9};
      }
    }
    CPPUNIT_ASSERT(found);
  }

  void StoppingHolderAsksSenderToTryElsewhere() {
    EngineFixture holder;
    holder.m_engine.BeginShutdown(holder.m_now);
    const SessionId id(std::uint64_t{1} << 63);
    holder.m_engine.OnForwardedStatement(
        id,
        MakeForwarded(Consistency::kPrimary, StatementKind::kWrite, "WRITE"),
        holder.m_now);
    const Answer answer = *holder.LastAnswer(id);
    CPPUNIT_ASSERT(std::get<Refused>(answer.m_outcome).m_try_elsewhere);
    CPPUNIT_ASSERT(holder.m_connections.empty());
  }

  // Instances are restarted one after another, so that others become holders. A
  // former holder must close its connections, because the member counts them as
  // well as those of the new holder.
  void FormerHolderClosesExcessConnections() {
    for (const bool stops : {true, false}) {
      EngineFixture holder;
      std::vector<SessionId> sessions;
      for (int i = 0; i < 4; ++i) {
        sessions.push_back(holder.Open("strict"));
        holder.Write(sessions.back());
      }
      holder.AnswerAllAt("p", 5);
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, holder.m_engine.connection_count());
      if (stops) {
        holder.m_engine.BeginShutdown(holder.m_now);
      } else {
        holder.m_engine.SetInstances(Sender::Instances(), holder.m_now);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holder.m_engine.connection_count());
    }
  }

  void StoppingHolderForwardsWhatItReceives() {
    EngineFixture holder("h1");
    holder.m_engine.SetInstances(Sender::Instances(), holder.m_now);
    holder.m_engine.BeginShutdown(holder.m_now);
    holder.Write(holder.Open("strict"));
    CPPUNIT_ASSERT(holder.m_connections.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holder.m_forwarded.size());
    CPPUNIT_ASSERT(InstanceId("h2") == holder.m_forwarded.front().first);
  }

  // The store rejects the holder's calls. The holder has learned of a newer
  // replacement record but cannot read it, or cannot verify the record that it
  // has.
  void HolderWithoutAPrimaryAsksSenderToTryElsewhere() {
    for (const bool unread : {true, false}) {
      EngineFixture holder;
      if (unread) {
        holder.m_engine.SetPrimary(EngineFixture::Group(),
                                   {MemberId("p"), false, {}}, true,
                                   holder.m_now);
      } else {
        holder.AdvanceWithoutContact(EngineOptions().m_primary_contact_limit +
                                     100ms);
      }
      const SessionId id(std::uint64_t{1} << 63);
      holder.m_engine.OnForwardedStatement(
          id,
          MakeForwarded(Consistency::kPrimary, StatementKind::kWrite, "WRITE"),
          holder.m_now);
      const Answer answer = *holder.LastAnswer(id);
      CPPUNIT_ASSERT(std::get<Refused>(answer.m_outcome).m_try_elsewhere);
    }
  }

  // The sender is lost in the middle of a transaction, which must not stay
  // open.
  void HolderEndsIdleTransactions() {
    EngineFixture holder;
    ForwardedStatement forwarded =
        MakeForwarded(Consistency::kPrimary, StatementKind::kWrite, "WRITE");
    forwarded.m_transaction = TransactionMode::kReadWrite;
    holder.m_engine.OnForwardedStatement(SessionId(std::uint64_t{1} << 63),
                                         forwarded, holder.m_now);
    holder.AnswerAllAt("p", 12);
    holder.Advance(holder.m_configuration.m_transaction_idle_limit + 100ms);
    holder.AnswerAllAt("p", 12);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, holder.m_engine.session_count());
  }

  // The sender stands still for longer than a transaction may be idle, and then
  // sends the next statement of the transaction, which the holder has ended.
  // The statement must not run outside of the transaction.
  void StatementOfAnEndedTransactionIsNotRun() {
    for (const int ticks : {0, 1, 2, 3, 4}) {
      EngineFixture holder;
      const SessionId id(std::uint64_t{1} << 63);
      ForwardedStatement forwarded =
          MakeForwarded(Consistency::kPrimary, StatementKind::kWrite, "WRITE");
      forwarded.m_transaction = TransactionMode::kReadWrite;
      holder.m_engine.OnForwardedStatement(id, forwarded, holder.m_now);
      holder.AnswerAllAt("p", 12);
      holder.Advance(holder.m_configuration.m_transaction_idle_limit);
      for (int i = 0; i < ticks; ++i) {
        holder.Advance(Engine::kTickInterval);
        holder.AnswerAllAt("p", 12);
      }
      forwarded.m_starts_operation = false;
      holder.m_engine.OnForwardedStatement(id, forwarded, holder.m_now);
      holder.AnswerAllAt("p", 13);
      const Answer answer = *holder.LastAnswer(id);
      const std::string message = "after ticks: " + std::to_string(ticks);
      if (ticks == 0) {
        CPPUNIT_ASSERT_MESSAGE(message, holder.Succeeded(id));
        CPPUNIT_ASSERT(answer.m_state == TransactionState::kOpen);
      } else {
        CPPUNIT_ASSERT_MESSAGE(message, !holder.Succeeded(id));
      }
    }
  }

  void HostConfirmsUnansweredOperations() {
    ForwardHost host;
    const ForwardOrigin origin{InstanceId("s"), Incarnation(1), OperationId(5)};
    const SessionId session = host.Add(origin);
    CPPUNIT_ASSERT(ForwardHost::Owns(session));
    CPPUNIT_ASSERT(!ForwardHost::Owns(SessionId(5)));
    const Time start(100s);
    CPPUNIT_ASSERT(host.NoteReceived(session, 1, start));
    CPPUNIT_ASSERT(host.TakeDueProgress(start + 10ms).empty());
    const auto due = host.TakeDueProgress(start + 110ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, due.size());
    CPPUNIT_ASSERT(OperationId(5) == due[0].m_progress.m_operations.front());
    CPPUNIT_ASSERT(host.TakeDueProgress(start + 130ms).empty());
    host.NoteAnswered(session);
    CPPUNIT_ASSERT(host.TakeDueProgress(start + 300ms).empty());
    CPPUNIT_ASSERT(session == host.Find(origin));
    host.Remove(session);
    CPPUNIT_ASSERT(!host.Find(origin));
  }

  // A statement that comes again must not run again. Statements of an earlier
  // version have no number.
  void HostRunsEachStatementOnce() {
    struct Step {
      StatementNumber m_received;
      bool m_runs;
      bool m_answered;
    };
    const std::vector<std::vector<Step>> cases = {
        {{1, true, false}, {1, false, false}},
        {{1, true, true}, {1, false, false}, {2, true, true}},
        {{1, true, true}, {2, true, false}, {1, false, false}},
        {{1, true, false}, {2, false, false}},
        {{1, true, true}, {3, false, false}, {2, true, true}},
        {{2, false, false}, {1, true, true}},
        {{{}, true, true}, {{}, true, true}}};
    for (std::size_t i = 0; i < cases.size(); ++i) {
      ForwardHost host;
      const SessionId session =
          host.Add({InstanceId("s"), Incarnation(1), OperationId(5)});
      for (const Step& step : cases[i]) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "case " + std::to_string(i), step.m_runs,
            host.NoteReceived(session, step.m_received, Time(100s)));
        if (step.m_answered) {
          CPPUNIT_ASSERT(step.m_received == host.NoteAnswered(session));
        }
      }
    }
  }

  void HostFindsSessionsOfEarlierIncarnations() {
    ForwardHost host;
    const InstanceId sender("s");
    const SessionId before = host.Add({sender, Incarnation(1), OperationId(1)});
    host.Add({sender, Incarnation(2), OperationId(1)});
    host.Add({InstanceId("t"), Incarnation(1), OperationId(1)});
    const auto earlier = host.EarlierSessions(sender, Incarnation(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, earlier.size());
    CPPUNIT_ASSERT(before == earlier.front());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingTest);

}  // namespace
}  // namespace jasminelug::gateway
