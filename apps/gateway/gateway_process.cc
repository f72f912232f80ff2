#include "apps/gateway/gateway_process.h"

#include <csignal>
#include <cstdint>
#include <set>
#include <utility>

#include "apps/gateway/clock.h"
#include "platform/endpoint.h"

namespace jasminelug::gateway_app {
namespace {

using gateway::StoreKind;
using gateway::operator""ms;
using gateway::operator""s;

// An instance is not ready for new callers if its keys were last verified
// longer ago than this.
constexpr gateway::Duration kReadyContactLimit = 3s;
// Part of the shutdown limit that is reserved for the exit itself.
constexpr gateway::Duration kExitReserve = 500ms;
// Fraction of the withdrawal limit for which keys may be used after they were
// last verified.
constexpr int kKeyContactNumerator = 9;
constexpr int kKeyContactDenominator = 10;

// Part of the memory that the sessions' values and prepared statements may
// occupy.
constexpr std::size_t kSessionStateMemoryDivisor = 8;

// Part of the memory that members' incomplete answers may occupy.
constexpr std::size_t kAnswerMemoryDivisor = 8;

gateway::EngineOptions MakeEngineOptions(const Settings& settings,
                                         gateway::Incarnation incarnation) {
  gateway::EngineOptions options;
  options.m_self = gateway::InstanceId(settings.m_instance);
  options.m_incarnation = incarnation;
  options.m_zone = gateway::ZoneName(settings.m_zone);
  options.m_regions = settings.m_regions;
  options.m_key_contact_limit =
      gateway::Duration(settings.m_key_withdrawal_limit) *
      kKeyContactNumerator / kKeyContactDenominator;
  options.m_shutdown_transaction_limit =
      gateway::Duration(settings.m_shutdown_limit) / 2;
  options.m_shutdown_statement_limit =
      gateway::Duration(settings.m_shutdown_limit) - kExitReserve;
  options.m_session_state_limit =
      settings.m_limits.m_memory_bytes / kSessionStateMemoryDivisor;
  return options;
}

}  // namespace

GatewayProcess::GatewayProcess(Settings settings, ReloadHook reload)
    : m_settings(std::move(settings)),
      m_reload(std::move(reload)),
      m_incarnation(NewIncarnation()),
      m_logger(log4cplus::Logger::getInstance("gateway")),
      m_io(1),
      m_signals(m_io, SIGTERM, SIGINT, SIGHUP),
      m_timer(m_io),
      m_statement_log(log4cplus::Logger::getInstance("statements")),
      m_engine(MakeEngineOptions(m_settings, m_incarnation), MakeEngineHooks()),
      m_members(m_io,
                m_settings.m_limits.m_memory_bytes / kAnswerMemoryDivisor,
                MakeMemberHooks()),
      m_fleet(m_io, m_settings, m_incarnation, m_engine),
      m_forwarding(m_io, m_fleet.entry(), m_engine),
      m_state(m_io, m_settings, m_fleet.entry(), MakeStateHooks()) {
  m_fleet.SetHooks(MakeFleetHooks());
  m_forwarding.SetStateHook([this](const gateway::InstanceId& sender,
                                   const gateway::StateMessage& message) {
    m_state.OnMessage(sender, message, Now());
  });
}

gateway::EngineHooks GatewayProcess::MakeEngineHooks() {
  gateway::EngineHooks hooks;
  hooks.m_answer = [this](gateway::SessionId id,
                          const gateway::Answer& answer) {
    if (gateway::ForwardHost::Owns(id)) {
      m_forwarding.Answer(id, answer);
      return;
    }
    if (!adapter::CanBeWritten(answer)) {
      Log(m_logger, log4cplus::WARN_LOG_LEVEL,
          "replaced an answer that cannot be written",
          {{"session", static_cast<std::int64_t>(id.value())}});
    }
    m_callers->Answer(id, answer);
  };
  hooks.m_close_session = [this](gateway::SessionId id) {
    if (gateway::ForwardHost::Owns(id)) {
      m_forwarding.OnSessionClosed(id);
    } else {
      m_callers->CloseSession(id);
    }
  };
  hooks.m_forward = [this](const gateway::InstanceId& instance,
                           const gateway::ForwardMessage& message) {
    m_forwarding.Send(instance, message);
  };
  hooks.m_open_connection = [this](gateway::ConnectionId id,
                                   const gateway::Member& member,
                                   const gateway::CustomerName& customer) {
    m_members.Open(id, member, customer);
  };
  hooks.m_send = [this](
                     gateway::ConnectionId id,
                     const std::vector<gateway::MemberStatement>& statements) {
    m_members.Send(id, statements);
  };
  hooks.m_close_connection = [this](gateway::ConnectionId id) {
    m_members.Close(id);
  };
  hooks.m_read_status = [](const std::string& row) {
    return adapter::ParseMemberStatus(row);
  };
  hooks.m_status = [this](const gateway::MemberId& member,
                          const gateway::MemberStatus& status,
                          gateway::Time requested) {
    m_fleet.OnStatus(member, status, requested);
  };
  hooks.m_report = [this](const gateway::StatementSummary& end) {
    (end.m_completed ? m_completed : m_refused) += 1;
    m_statement_log.Add(end, Now());
  };
  hooks.m_spill_changed =
      [this](const gateway::GroupName& group, const gateway::SpillInput& input,
             bool begins) { LogSpill(group, input, begins); };
  hooks.m_unexpected_answer = [this](const gateway::UnexpectedAnswer& answer) {
    m_unexpected_answers += 1;
    m_statement_log.AddUnexpected(answer, Now());
  };
  return hooks;
}

adapter::CallerListener::Hooks GatewayProcess::MakeCallerHooks() {
  adapter::CallerListener::Hooks hooks;
  hooks.m_start = [this](gateway::SessionId id,
                         const adapter::SessionStart& start) {
    return m_engine.OnSessionStart(id, start.m_database, start.m_key, Now());
  };
  hooks.m_statement = [this](gateway::SessionId id,
                             gateway::Statement statement) {
    if (statement.m_kind == gateway::StatementKind::kMalformed) {
      m_statement_log.AddMalformed(statement, Now());
    }
    m_engine.OnStatement(id, std::move(statement), Now());
  };
  hooks.m_end = [this](gateway::SessionId id) {
    m_engine.OnSessionEnd(id, Now());
  };
  hooks.m_unreadable = [this](const std::string& reason) {
    Log(m_logger, log4cplus::WARN_LOG_LEVEL, "disconnected a caller",
        {{"reason", reason}});
  };
  hooks.m_overload = [this](const std::string& reason,
                            const gateway::CallerLoad& load,
                            std::size_t total_bytes) {
    Log(m_logger, log4cplus::WARN_LOG_LEVEL, "closed the heaviest caller",
        {{"reason", reason},
         {"unsent_bytes", static_cast<std::int64_t>(load.m_unsent_bytes)},
         {"received_bytes", static_cast<std::int64_t>(load.m_received_bytes)},
         {"unanswered", static_cast<std::int64_t>(load.m_unanswered)},
         {"total_bytes", static_cast<std::int64_t>(total_bytes)}});
  };
  hooks.m_accept_failed = [this](const std::string& reason) {
    Log(m_logger, log4cplus::WARN_LOG_LEVEL, "cannot accept callers",
        {{"reason", reason}});
  };
  return hooks;
}

adapter::MemberLinks::Hooks GatewayProcess::MakeMemberHooks() {
  adapter::MemberLinks::Hooks hooks;
  hooks.m_opened = [this](gateway::ConnectionId id,
                          const std::optional<gateway::LogPosition>& position) {
    m_engine.OnConnectionOpened(id, position, Now());
  };
  hooks.m_answer = [this](gateway::ConnectionId id,
                          const gateway::Answer& answer) {
    if (const auto* refused =
            std::get_if<gateway::Refused>(&answer.m_outcome)) {
      Log(m_logger, log4cplus::DEBUG_LOG_LEVEL, "a member refused a statement",
          {{"code", std::string(gateway::NameOf(refused->m_code))},
           {"connection", static_cast<std::int64_t>(id.value())}});
    }
    m_engine.OnMemberAnswer(id, answer, Now());
  };
  hooks.m_closed = [this](gateway::ConnectionId id,
                          std::optional<gateway::ErrorCode> code,
                          const std::string& reason) {
    Log(m_logger, log4cplus::DEBUG_LOG_LEVEL, "lost a member connection",
        {{"reason", reason}});
    m_engine.OnConnectionClosed(id, code, Now());
  };
  hooks.m_start_repeated = [this](gateway::ConnectionId id,
                                  const gateway::MemberId& member) {
    m_statement_log.AddRepeatedStart(id, member, Now());
  };
  hooks.m_given_up = [this](const adapter::GivenUpConnection& link) {
    m_statement_log.AddGivenUp(link, Now());
  };
  return hooks;
}

StateDuty::Hooks GatewayProcess::MakeStateHooks() {
  StateDuty::Hooks hooks;
  hooks.m_changed = [this](StoreKind kind, const gateway::StoreObjects& objects,
                           gateway::Revision complete) {
    OnStateChanged(kind, objects, complete);
  };
  hooks.m_verified = [this](StoreKind kind, gateway::Time as_of,
                            bool own_call) {
    OnStateVerified(kind, as_of, own_call);
  };
  hooks.m_contact_age = [this](StoreKind kind, gateway::Time now) {
    return ContactAge(kind, now);
  };
  hooks.m_neighbours = [this](const gateway::StoreObjects& objects) {
    OnNeighbours(objects);
  };
  hooks.m_send = [this](const gateway::InstanceId& instance,
                        const gateway::StateMessage& message) {
    m_forwarding.SendState(instance, message);
  };
  return hooks;
}

FleetDuty::Hooks GatewayProcess::MakeFleetHooks() {
  FleetDuty::Hooks hooks;
  hooks.m_read_instances = [this] {
    m_state.Refresh(StoreKind::kInstances, Now());
  };
  hooks.m_read_record = [this] {
    m_state.Refresh(StoreKind::kReplacements, Now());
  };
  hooks.m_record_written = [this](const gateway::StoreObject& record) {
    m_state.OnRecordWritten(record);
  };
  hooks.m_copies = [this] { return m_state.Copies(); };
  hooks.m_peer_copies = [this](const gateway::InstanceId& sender,
                               const std::vector<gateway::CopyRevision>& copies,
                               gateway::Time now) {
    m_state.OnReport(sender, copies, now);
  };
  hooks.m_unknown_peer = [this](const gateway::InstanceId& sender,
                                const gateway::Address& address) {
    m_forwarding.SetAddress(sender, address);
    m_state.OnUnknownReporter(sender);
  };
  return hooks;
}

void GatewayProcess::OnStateChanged(StoreKind kind,
                                    const gateway::StoreObjects& objects,
                                    gateway::Revision complete) {
  const gateway::Time now = Now();
  switch (kind) {
    case StoreKind::kConfiguration:
      OnConfiguration(objects);
      break;
    case StoreKind::kMembers:
      OnMembers(objects);
      return;
    case StoreKind::kEvacuations:
      OnEvacuations(objects, complete);
      break;
    case StoreKind::kInstances:
      m_fleet.OnInstances(objects, complete, now);
      m_forwarding.SetInstances(m_fleet.entries());
      return;
    case StoreKind::kReplacements:
      m_fleet.OnReplacements(objects, complete, now);
      break;
  }
  // The peers request these changes as soon as they are reported.
  m_fleet.SendReports(now);
}

void GatewayProcess::OnStateVerified(StoreKind kind,
                                     gateway::Time as_of,
                                     bool own_call) {
  if (kind == StoreKind::kConfiguration) {
    m_engine.key_contact().RecordContact(as_of);
  } else if (kind == StoreKind::kReplacements) {
    m_engine.primary_contact().RecordContact(as_of);
  } else if (kind == StoreKind::kInstances && own_call) {
    m_fleet.OnInstancesVerified(as_of);
  }
}

std::optional<gateway::Duration> GatewayProcess::ContactAge(StoreKind kind,
                                                            gateway::Time now) {
  if (kind == StoreKind::kConfiguration) {
    return m_engine.key_contact().Age(now);
  }
  if (kind == StoreKind::kReplacements) {
    return m_engine.primary_contact().Age(now);
  }
  return std::nullopt;
}

void GatewayProcess::OnNeighbours(const gateway::StoreObjects& objects) {
  m_fleet.OnNeighbours(objects, Now());
  std::vector<gateway::InstanceEntry> entries;
  for (const auto& [name, object] : objects) {
    if (const auto* entry =
            std::get_if<gateway::InstanceEntry>(&object.m_value)) {
      entries.push_back(*entry);
    }
  }
  m_forwarding.SetInstances(entries);
}

void GatewayProcess::OnConfiguration(const gateway::StoreObjects& objects) {
  const auto found = objects.find("main");
  if (found == objects.end()) {
    return;
  }
  const auto* read = std::get_if<std::shared_ptr<const gateway::Configuration>>(
      &found->second.m_value);
  if (!read) {
    Log(m_logger, log4cplus::ERROR_LOG_LEVEL, "unreadable configuration",
        {{"reason", std::get<gateway::UnreadableObject>(found->second.m_value)
                        .m_reason}});
    return;
  }
  if (!gateway::Supersedes(**read, m_engine.configuration())) {
    return;
  }
  m_engine.SetConfiguration(*read, Now());
  m_fleet.OnConfiguration(Now());
  Log(m_logger, log4cplus::INFO_LOG_LEVEL, "configuration in force",
      {{"version", (*read)->m_version},
       {"routes", static_cast<std::int64_t>((*read)->m_routes.size())},
       {"customers", static_cast<std::int64_t>((*read)->m_customers.size())}});
}

void GatewayProcess::OnMembers(const gateway::StoreObjects& objects) {
  for (const auto& [name, object] : objects) {
    if (const auto* bad =
            std::get_if<gateway::UnreadableObject>(&object.m_value)) {
      Log(m_logger, log4cplus::WARN_LOG_LEVEL, "ignored an unreadable member",
          {{"name", name}, {"reason", bad->m_reason}});
    }
  }
  const gateway::Time now = Now();
  if (m_directory.OnEntries(objects, now)) {
    m_engine.SetMembers(m_directory.Members(), now);
    m_fleet.UpdatePrimaries(now);
  }
}

void GatewayProcess::OnEvacuations(const gateway::StoreObjects& objects,
                                   gateway::Revision complete) {
  const gateway::Time now = Now();
  m_evacuated.OnEntries(objects, complete, now);
  ApplyEvacuations(now);
}

void GatewayProcess::ApplyEvacuations(gateway::Time now) {
  const std::set<gateway::ZoneName> zones = m_evacuated.Zones();
  for (const gateway::ZoneName& zone : zones) {
    Log(m_logger, log4cplus::INFO_LOG_LEVEL, "availability zone evacuated",
        {{"zone", zone.str()}});
  }
  m_engine.SetEvacuatedZones(zones, now);
}

bool GatewayProcess::IsReady() const {
  return !m_stopping_since && m_state.is_complete() &&
         m_engine.configuration() != nullptr && m_fleet.is_registered() &&
         m_fleet.has_known_primaries() &&
         m_engine.key_contact().IsFresh(Now(), kReadyContactLimit) &&
         m_engine.primary_contact().IsFresh(Now(), kReadyContactLimit);
}

void GatewayProcess::ScheduleTick() {
  m_timer.expires_after(gateway::Engine::kTickInterval);
  m_timer.async_wait([this](std::error_code error) {
    if (!error) {
      OnTick();
      ScheduleTick();
    }
  });
}

// Logs a late tick, because statements may have exceeded their time limits.
void GatewayProcess::ReportLateTick(gateway::Time now) {
  const std::optional<gateway::LateTick> late =
      m_tick_watch.NoteTick(now, ProcessorTime());
  if (late) {
    Log(m_logger, log4cplus::WARN_LOG_LEVEL, "was held up",
        {{"delay_ms", ToMilliseconds(late->m_delay)},
         {"processor_ms", ToMilliseconds(late->m_processor_time)}});
  }
}

void GatewayProcess::OnTick() {
  const gateway::Time now = Now();
  ReportLateTick(now);
  m_state.OnTick(m_fleet.Candidate(now), now);
  if (m_directory.OnTick(now)) {
    m_engine.SetMembers(m_directory.Members(), now);
  }
  if (m_evacuated.OnTick(now)) {
    ApplyEvacuations(now);
  }
  m_fleet.OnTick(now);
  m_engine.OnTick(now);
  m_forwarding.OnTick(now);
  if (IsReady() != m_was_ready) {
    m_was_ready = !m_was_ready;
    Log(m_logger, log4cplus::INFO_LOG_LEVEL,
        m_was_ready ? "ready" : "not ready");
  }
  if (m_stopping_since) {
    ContinueShutdown(now);
  }
}

// Deregisters this instance and ends the process when it is time to.
void GatewayProcess::ContinueShutdown(gateway::Time now) {
  gateway::ShutdownProgress progress;
  progress.m_stopping = now - *m_stopping_since;
  progress.m_statements_ended =
      progress.m_stopping >= m_engine.options().m_shutdown_statement_limit;
  progress.m_has_sessions = m_engine.session_count() > 0;
  progress.m_has_unsent_answers = m_callers->HasUnsentAnswers();
  if (m_deregistering_since) {
    progress.m_deregistering = now - *m_deregistering_since;
    progress.m_deregistration_in_progress = m_fleet.is_deregistering();
  }
  const gateway::ShutdownStep step = gateway::NextShutdownStep(progress);
  if (step == gateway::ShutdownStep::kExit) {
    m_io.stop();
  } else if (step == gateway::ShutdownStep::kDeregister &&
             !m_deregistering_since) {
    m_deregistering_since = now;
    m_fleet.Deregister(now);
  }
}

void GatewayProcess::AwaitSignal() {
  m_signals.async_wait([this](std::error_code error, int signal) {
    if (!error) {
      OnSignal(signal);
      AwaitSignal();
    }
  });
}

void GatewayProcess::OnSignal(int signal) {
  if (signal != SIGHUP) {
    BeginShutdown();
    return;
  }
  const Result<Settings, FieldErrors> settings = m_reload();
  if (!IsOk(settings)) {
    Log(m_logger, log4cplus::ERROR_LOG_LEVEL, "invalid settings, not reloaded",
        {{"reason", FormatFieldErrors(GetError(settings))}});
    return;
  }
  const bool same = GetValue(settings) == m_settings;
  Log(m_logger, log4cplus::INFO_LOG_LEVEL,
      same ? "settings unchanged" : "settings changed; in force at restart");
}

void GatewayProcess::BeginShutdown() {
  if (m_stopping_since) {
    return;
  }
  const gateway::Time now = Now();
  m_stopping_since = now;
  Log(m_logger, log4cplus::INFO_LOG_LEVEL, "stopping",
      {{"sessions", static_cast<std::int64_t>(m_engine.session_count())}});
  m_engine.BeginShutdown(now);
  m_fleet.BeginShutdown(now);
}

void GatewayProcess::LogSpill(const gateway::GroupName& group,
                              const gateway::SpillInput& input,
                              bool begins) const {
  const auto milliseconds = [](const std::optional<gateway::Duration>& time) {
    return time ? ToMilliseconds(*time) : -1;
  };
  Log(m_logger, log4cplus::INFO_LOG_LEVEL,
      begins ? "statements begin to leave the region"
             : "statements no longer leave the region",
      {{"group", group.str()},
       {"near_ms", milliseconds(input.m_near)},
       {"far_ms", milliseconds(input.m_far)},
       {"objective_ms", ToMilliseconds(input.m_objective)}});
}

int GatewayProcess::Run() {
  Log(m_logger, log4cplus::INFO_LOG_LEVEL, "starting",
      {{"zone", m_settings.m_zone}, {"store", m_settings.m_store}});
  m_callers = std::make_unique<adapter::CallerListener>(
      m_io, *adapter::ParseEndpoint(m_settings.m_callers),
      gateway::CallerBufferLimitsFor(m_settings.m_limits.m_memory_bytes,
                                     m_settings.m_limits.m_descriptors),
      MakeCallerHooks());
  m_status = std::make_unique<adapter::StatusListener>(
      m_io, *adapter::ParseEndpoint(m_settings.m_status),
      adapter::StatusListener::Hooks{[this] { return IsReady(); },
                                     [this] { return Metrics(); }});
  m_state.Start(Now());
  AwaitSignal();
  ScheduleTick();
  m_io.run();
  Log(m_logger, log4cplus::INFO_LOG_LEVEL, "stopped",
      {{"sessions", static_cast<std::int64_t>(m_engine.session_count())},
       {"unsent_answers", m_callers->HasUnsentAnswers()}});
  return 0;
}

}  // namespace jasminelug::gateway_app
