#ifndef TEST_GATEWAY_ENGINE_FIXTURE_H_
#define TEST_GATEWAY_ENGINE_FIXTURE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jasminelug/gateway.h"

namespace jasminelug::gateway {

// A connection that the engine has opened to a member. It records the
// statements that were sent on it: all of them, and those that are not answered
// yet.
struct FakeConnection {
  MemberId m_member;
  CustomerName m_customer;
  std::vector<MemberStatement> m_unanswered;
  std::vector<MemberStatement> m_all;
  bool m_closed = false;
};

// Runs an engine with one group of a primary and two replicas. The test acts as
// the members and the callers. Time advances only in Advance() and
// AdvanceWithoutContact().
class EngineFixture {
 public:
  static constexpr Duration kStep = 10ms;

  explicit EngineFixture(const std::string& self = "self", Regions regions = {})
      : m_engine(Options(self, std::move(regions)), Hooks()) {
    m_configuration = MakeConfiguration();
    RecordContact();
    Configure();
    m_engine.SetMembers(Members(), m_now);
    m_engine.SetPrimary(Group(), {MemberId("p"), true, {}}, false, m_now);
    Advance(2s);
  }

  static GroupName Group() { return GroupName("g"); }
  static CallerKey Key() { return CallerKey("key-a"); }

  static Configuration MakeConfiguration() {
    Configuration configuration;
    configuration.m_version = 1;
    configuration.m_revision = Revision(1);
    Route route;
    route.m_group = Group();
    route.m_statement_timeout = 1s;
    route.m_objective = 400ms;
    configuration.m_routes[DatabaseName("strict")] = route;
    route.m_consistency = Consistency::kBoundedStaleness;
    route.m_max_staleness = 1500ms;
    configuration.m_routes[DatabaseName("bounded")] = route;
    route.m_consistency = Consistency::kReadYourWrites;
    configuration.m_routes[DatabaseName("own")] = route;
    configuration.m_groups[Group()] = {12, 0};
    configuration.m_customers[CustomerName("a")] = {1000, 1000, 0};
    configuration.m_customers[CustomerName("b")] = {1000, 1000, 0};
    configuration.m_keys[CallerKey("key-a")] = CustomerName("a");
    configuration.m_keys[CallerKey("key-b")] = CustomerName("b");
    return configuration;
  }

  static std::vector<Member> Members() {
    std::vector<Member> members;
    for (const char* id : {"p", "r1", "r2"}) {
      Member member;
      member.m_id = MemberId(id);
      member.m_group = Group();
      member.m_address = Address(std::string(id) + ":1");
      member.m_zone = ZoneName(std::string("zone-") + id);
      member.m_slots = 3;
      member.m_role = member.m_id.str() == "p" ? MemberRole::kPrimary
                                               : MemberRole::kReplica;
      members.push_back(member);
    }
    return members;
  }

  static InstanceEntry Entry(const std::string& id,
                             const std::string& zone = "zone-p") {
    InstanceEntry entry;
    entry.m_id = InstanceId(id);
    entry.m_zone = ZoneName(zone);
    return entry;
  }

  void Configure() {
    m_engine.SetConfiguration(
        std::make_shared<const Configuration>(m_configuration), m_now);
  }

  // Records contact with the store at the current time.
  void RecordContact() {
    m_engine.key_contact().RecordContact(m_now);
    m_engine.primary_contact().RecordContact(m_now);
  }

  // Advances time in steps, with contact to the store.
  void Advance(Duration duration) {
    const Time end = m_now + duration;
    while (m_now < end) {
      m_now += kStep;
      RecordContact();
      m_engine.OnTick(m_now);
    }
  }

  // Advances time in steps, without contact to the store.
  void AdvanceWithoutContact(Duration duration) {
    const Time end = m_now + duration;
    while (m_now < end) {
      m_now += kStep;
      m_engine.OnTick(m_now);
    }
  }

  SessionId Open(const std::string& database,
                 const std::string& key = "key-a") {
    const SessionId id(++m_sessions);
    m_refused = m_engine.OnSessionStart(id, DatabaseName(database),
                                        CallerKey(key), m_now);
    return id;
  }

  static Statement Make(StatementKind kind,
                        const std::string& text,
                        const std::string& name = "",
                        const std::string& argument = "") {
    static std::uint64_t number = 0;
    Statement statement;
    statement.m_id = "q" + std::to_string(++number);
    statement.m_kind = kind;
    statement.m_text = text;
    statement.m_name = name;
    statement.m_argument = argument;
    return statement;
  }

  void Read(SessionId id) {
    m_engine.OnStatement(id, Make(StatementKind::kRead, "READ x"), m_now);
  }
  void Write(SessionId id) {
    m_engine.OnStatement(id, Make(StatementKind::kWrite, "WRITE x 1"), m_now);
  }
  void Send(SessionId id, StatementKind kind, const std::string& text) {
    m_engine.OnStatement(id, Make(kind, text), m_now);
  }
  void SetValue(SessionId id,
                const std::string& name,
                const std::string& value) {
    m_engine.OnStatement(id, Make(StatementKind::kSetValue, "SET", name, value),
                         m_now);
  }

  // Opens all connections that the engine has requested.
  void OpenConnections() {
    while (!m_opening.empty()) {
      const ConnectionId id = m_opening.front();
      m_opening.erase(m_opening.begin());
      if (!m_connections.at(id).m_closed) {
        m_engine.OnConnectionOpened(id, std::nullopt, m_now);
      }
    }
  }

  // Answers the first unanswered statement at `member` and returns it; nullopt
  // if there is none.
  std::optional<MemberStatement> AnswerAt(const std::string& member,
                                          const Outcome& outcome,
                                          TransactionState state,
                                          std::uint64_t position) {
    OpenConnections();
    for (auto& [id, connection] : m_connections) {
      if (connection.m_closed || connection.m_member.str() != member ||
          connection.m_unanswered.empty()) {
        continue;
      }
      const MemberStatement statement = connection.m_unanswered.front();
      connection.m_unanswered.erase(connection.m_unanswered.begin());
      Answer answer;
      answer.m_outcome = outcome;
      answer.m_state = state;
      answer.m_position = LogPosition{Term(1), position};
      m_engine.OnMemberAnswer(id, answer, m_now);
      return statement;
    }
    return std::nullopt;
  }

  // Returns what a member answers to a statement that succeeds. Each signature
  // is a different one.
  Completed SuccessOf(const MemberStatement& statement) {
    switch (statement.m_verb) {
      case MemberVerb::kForward:
      case MemberVerb::kExecute:
        return {{"row"}, "signature-" + std::to_string(++m_signatures)};
      case MemberVerb::kStatus:
      case MemberVerb::kStepDown:
        return {{"status"}, ""};
      default:
        return {};
    }
  }

  // Answers the first unanswered statement at `member` with success and returns
  // it; nullopt if there is none.
  std::optional<MemberStatement> CompleteAt(const std::string& member,
                                            TransactionState state,
                                            std::uint64_t position) {
    const std::optional<MemberStatement> next = FirstUnansweredAt(member);
    return next ? AnswerAt(member, SuccessOf(*next), state, position)
                : std::nullopt;
  }

  // Answers all unanswered statements at `member` with success.
  void AnswerAllAt(const std::string& member, std::uint64_t position) {
    for (;;) {
      const bool open_transaction = IsInTransaction(member);
      const auto statement = CompleteAt(
          member,
          open_transaction ? TransactionState::kOpen : TransactionState::kNone,
          position);
      if (!statement) {
        return;
      }
    }
  }

  // Returns the first unanswered statement at `member`, or nullopt.
  std::optional<MemberStatement> FirstUnansweredAt(const std::string& member) {
    OpenConnections();
    for (const auto& [id, connection] : m_connections) {
      if (!connection.m_closed && connection.m_member.str() == member &&
          !connection.m_unanswered.empty()) {
        return connection.m_unanswered.front();
      }
    }
    return std::nullopt;
  }

  // Returns whether the first unanswered statement at `member` leaves its
  // connection in a transaction.
  bool IsInTransaction(const std::string& member) {
    OpenConnections();
    for (auto& [id, connection] : m_connections) {
      if (connection.m_closed || connection.m_member.str() != member ||
          connection.m_unanswered.empty()) {
        continue;
      }
      bool open = false;
      const std::size_t answered =
          connection.m_all.size() - connection.m_unanswered.size();
      for (std::size_t i = 0; i <= answered; ++i) {
        const MemberStatement& statement = connection.m_all[i];
        if (statement.m_verb == MemberVerb::kBegin ||
            statement.m_verb == MemberVerb::kBeginReadOnly) {
          open = true;
        }
        if (statement.m_text == "COMMIT") {
          open = false;
        }
      }
      return open;
    }
    return false;
  }

  // Closes all connections to a member, as if the network had failed.
  void LoseMember(const std::string& member) {
    OpenConnections();
    std::vector<ConnectionId> lost;
    for (auto& [id, connection] : m_connections) {
      if (!connection.m_closed && connection.m_member.str() == member) {
        connection.m_closed = true;
        lost.push_back(id);
      }
    }
    for (const ConnectionId id : lost) {
      m_engine.OnConnectionClosed(id, std::nullopt, m_now);
    }
  }

  // Returns the number of unanswered statements at a member.
  std::size_t CountUnansweredAt(const std::string& member) {
    OpenConnections();
    std::size_t owed = 0;
    for (const auto& [id, connection] : m_connections) {
      if (!connection.m_closed && connection.m_member.str() == member) {
        owed += connection.m_unanswered.size();
      }
    }
    return owed;
  }

  // Return the newest answer to a session, the number of its answers, the error
  // code of the newest one, and whether that one is a success.
  std::optional<Answer> LastAnswer(SessionId id) const {
    const auto found = m_answers.find(id);
    if (found == m_answers.end()) {
      return std::nullopt;
    }
    return found->second.back();
  }
  std::size_t CountAnswers(SessionId id) const {
    const auto found = m_answers.find(id);
    return found == m_answers.end() ? 0 : found->second.size();
  }
  std::optional<ErrorCode> LastError(SessionId id) const {
    const std::optional<Answer> answer = LastAnswer(id);
    const Refused* refused =
        answer ? std::get_if<Refused>(&answer->m_outcome) : nullptr;
    return refused ? std::optional<ErrorCode>(refused->m_code) : std::nullopt;
  }
  bool Succeeded(SessionId id) const {
    const std::optional<Answer> answer = LastAnswer(id);
    return answer && std::holds_alternative<Completed>(answer->m_outcome);
  }

  Time m_now = Time(1000s);
  Configuration m_configuration;
  std::map<ConnectionId, FakeConnection> m_connections;
  std::vector<ConnectionId> m_opening;
  std::map<SessionId, std::vector<Answer>> m_answers;
  std::vector<SessionId> m_closed_sessions;
  std::vector<StatementSummary> m_ends;
  std::vector<UnexpectedAnswer> m_unexpected;
  // Whether each report of EngineHooks::m_spill_changed was a beginning.
  std::vector<bool> m_spill_changes;
  std::vector<std::pair<InstanceId, ForwardMessage>> m_forwarded;
  std::map<MemberId, MemberStatus> m_statuses;
  std::map<MemberId, Time> m_statuses_requested;
  std::optional<Refused> m_refused;
  std::uint64_t m_sessions = 0;
  std::uint64_t m_signatures = 0;
  Engine m_engine;

 private:
  // Each fixture is a run of its own, also if another one has the same name.
  static Incarnation NextIncarnation() {
    static std::uint64_t runs = 0;
    return Incarnation(++runs);
  }

  static EngineOptions Options(const std::string& self, Regions regions) {
    EngineOptions options;
    options.m_self = InstanceId(self);
    options.m_incarnation = NextIncarnation();
    options.m_zone = ZoneName("zone-p");
    options.m_regions = std::move(regions);
    return options;
  }

  EngineHooks Hooks() {
    EngineHooks hooks;
    hooks.m_answer = [this](SessionId id, const Answer& answer) {
      m_answers[id].push_back(answer);
    };
    hooks.m_close_session = [this](SessionId id) {
      m_closed_sessions.push_back(id);
    };
    hooks.m_open_connection = [this](ConnectionId id, const Member& member,
                                     const CustomerName& customer) {
      m_connections[id] = {member.m_id, customer, {}, {}, false};
      m_opening.push_back(id);
    };
    hooks.m_send = [this](ConnectionId id,
                          const std::vector<MemberStatement>& statements) {
      FakeConnection& connection = m_connections.at(id);
      for (const MemberStatement& statement : statements) {
        connection.m_unanswered.push_back(statement);
        connection.m_all.push_back(statement);
      }
    };
    hooks.m_close_connection = [this](ConnectionId id) {
      m_connections.at(id).m_closed = true;
    };
    hooks.m_read_status = [](const std::string&) {
      return std::optional<MemberStatus>(MemberStatus{});
    };
    hooks.m_status = [this](const MemberId& member, const MemberStatus& status,
                            Time requested) {
      m_statuses[member] = status;
      m_statuses_requested[member] = requested;
    };
    hooks.m_forward = [this](const InstanceId& to,
                             const ForwardMessage& message) {
      m_forwarded.emplace_back(to, message);
    };
    hooks.m_report = [this](const StatementSummary& end) {
      m_ends.push_back(end);
    };
    hooks.m_spill_changed = [this](const GroupName&, const SpillInput&,
                                   bool begins) {
      m_spill_changes.push_back(begins);
    };
    hooks.m_unexpected_answer = [this](const UnexpectedAnswer& answer) {
      m_unexpected.push_back(answer);
    };
    return hooks;
  }
};

}  // namespace jasminelug::gateway

#endif  // TEST_GATEWAY_ENGINE_FIXTURE_H_
