#include "apps/jasminelugd/daemon.h"

#include <asio/signal_set.hpp>

#include <chrono>
#include <csignal>
#include <fstream>
#include <future>
#include <iterator>
#include <memory>
#include <random>
#include <utility>

#include "apps/jasminelugd/caller_duty.h"
#include "apps/jasminelugd/database_duty.h"
#include "apps/jasminelugd/decision_duty.h"
#include "apps/jasminelugd/duty.h"
#include "apps/jasminelugd/operator_duty.h"
#include "apps/jasminelugd/peer_duty.h"
#include "apps/jasminelugd/platform_duty.h"

namespace jasminelug::daemon {
namespace {

// Capacity of the ring of each channel between two duties, in values.
constexpr std::size_t kRingCapacity = 4096;

// Maximum delay between attempts to connect to a peer. Evidence that a peer
// refuses connections must be renewed within core::kKeyFreshnessBound.
constexpr std::chrono::milliseconds kMaxReconnectDelay{500};

log4cplus::Logger MainLogger() {
  return log4cplus::Logger::getInstance("jasminelugd");
}

log4cplus::LogLevel LevelOf(const std::string& name) {
  if (name == "debug") {
    return log4cplus::DEBUG_LOG_LEVEL;
  }
  if (name == "warn") {
    return log4cplus::WARN_LOG_LEVEL;
  }
  return name == "error" ? log4cplus::ERROR_LOG_LEVEL
                         : log4cplus::INFO_LOG_LEVEL;
}

// Returns an incarnation number from the wall clock. It is higher than that of
// every earlier process of this instance, provided that the instance's wall
// clock is not set back between two starts.
core::Incarnation NewIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return core::Incarnation(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
}

std::string AddressText(const std::string& advertised,
                        const ListenAddress& listening,
                        std::uint16_t port) {
  return advertised.empty() ? listening.m_address + ":" + std::to_string(port)
                            : advertised;
}

Result<std::string, StartError> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return StartError{path + ": cannot be read"};
  }
  return std::string((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
}

http2::ServerOptions ServerOptionsFor(const ListenAddress& address,
                                      std::uint64_t max_body_bytes) {
  http2::ServerOptions options;
  options.m_address = address.m_address;
  options.m_port = address.m_port;
  options.m_max_body_bytes = max_body_bytes;
  return options;
}

}  // namespace

class Daemon::Impl {
 public:
  explicit Impl(const Settings& settings)
      : m_settings(settings),
        m_logging({settings.m_instance, LevelOf(settings.m_log_level)}),
        m_self{core::InstanceId(settings.m_instance), NewIncarnation()},
        m_signals(m_main) {}

  ~Impl() { StopThreads(); }

  Result<Done, StartError> Start() {
    auto tls = LoadTls();
    if (!IsOk(tls)) {
      return GetError(tls);
    }
    MakeDuties(GetValue(tls));
    if (auto listening = Listen(GetValue(tls)); !IsOk(listening)) {
      return listening;
    }
    MakeDecisionDuty();
    ConnectChannels();
    StartThreads();
    Log(MainLogger(), log4cplus::INFO_LOG_LEVEL, "listening",
        {{"callers_port", m_callers->Port()},
         {"peers_port", m_peers->Port()},
         {"operators_port", m_operators->Port()}});
    return Done{};
  }

  void Run() {
    m_signals.add(SIGTERM);
    m_signals.add(SIGINT);
    m_signals.async_wait([this](std::error_code error, int /*signal*/) {
      if (!error) {
        Log(MainLogger(), log4cplus::INFO_LOG_LEVEL, "shutting down");
        m_from_signals.Push(core::ShutdownRequested{});
      }
    });
    m_main.run();
    StopThreads();
    Log(MainLogger(), log4cplus::INFO_LOG_LEVEL, "stopped");
  }

 private:
  struct Tls {
    http2::TlsContext m_callers;
    peers::TlsContext m_peers;
  };

  Result<Tls, StartError> LoadTls() const {
    Tls tls;
    if (m_settings.m_insecure_loopback) {
      return tls;
    }
    const TlsSettings& callers = m_settings.m_caller_tls;
    const auto chain = ReadFile(callers.m_certificate);
    const auto key = ReadFile(callers.m_private_key);
    if (!IsOk(chain)) {
      return GetError(chain);
    }
    if (!IsOk(key)) {
      return GetError(key);
    }
    auto context =
        http2::MakeServerTlsContext({GetValue(chain), GetValue(key)});
    if (!IsOk(context)) {
      return StartError{"caller_tls: " + GetError(context).m_message};
    }
    tls.m_callers = GetValue(context);
    const TlsSettings& files = m_settings.m_peer_tls;
    auto peer_context = peers::MakeTlsContext(
        {files.m_certificate, files.m_private_key, files.m_authority});
    if (!IsOk(peer_context)) {
      return StartError{"peer_tls: " + GetError(peer_context).m_message};
    }
    tls.m_peers = GetValue(peer_context);
    return tls;
  }

  void MakeDuties(const Tls& tls) {
    http2::ServerOptions caller_options =
        ServerOptionsFor(m_settings.m_callers, m_settings.m_max_body_bytes);
    caller_options.m_tls = tls.m_callers;
    m_callers = std::make_unique<CallerDuty>(caller_options, &m_from_callers);
    m_databases = std::make_unique<DatabaseDuty>(m_settings.m_database_user,
                                                 &m_from_databases);
    platform::ClientOptions platform_options;
    platform_options.m_address = m_settings.m_platform.m_address;
    platform_options.m_port = m_settings.m_platform.m_port;
    m_platform =
        std::make_unique<PlatformDuty>(platform_options, &m_from_platform);
    m_peers = std::make_unique<PeerDuty>(m_self, &m_from_peers);
    http2::ServerOptions operator_options =
        ServerOptionsFor(m_settings.m_operators, m_settings.m_max_body_bytes);
    operator_options.m_tls = tls.m_callers;
    m_operators = std::make_unique<OperatorDuty>(operator_options);
  }

  Result<Done, StartError> Listen(const Tls& tls) {
    const auto callers = m_callers->Listen();
    if (!IsOk(callers)) {
      return StartError{"callers: " + GetError(callers).m_message};
    }
    peers::PeerNetworkOptions options;
    options.m_listen = {m_settings.m_peers.m_address,
                        m_settings.m_peers.m_port};
    options.m_tls = tls.m_peers;
    options.m_jitter_seed = std::random_device()();
    options.m_max_reconnect_delay = kMaxReconnectDelay;
    const auto peers_listening = m_peers->Listen(options);
    if (!IsOk(peers_listening)) {
      return StartError{"peers: " + GetError(peers_listening).m_message};
    }
    const auto operators = m_operators->Listen();
    if (!IsOk(operators)) {
      return StartError{"operators: " + GetError(operators).m_message};
    }
    return Done{};
  }

  void MakeDecisionDuty() {
    core::EngineOptions options;
    options.m_membership.m_id = m_self.m_instance;
    options.m_membership.m_incarnation = m_self.m_incarnation;
    options.m_membership.m_address = core::Address(AddressText(
        m_settings.m_advertised_peers, m_settings.m_peers, m_peers->Port()));
    options.m_membership.m_caller_address =
        core::Address(AddressText(m_settings.m_advertised_callers,
                                  m_settings.m_callers, m_callers->Port()));
    options.m_membership.m_zone = core::ZoneName(m_settings.m_zone);
    for (const SeedSettings& seed : m_settings.m_seeds) {
      options.m_membership.m_seeds.push_back(
          {core::InstanceId(seed.m_instance), core::Address(seed.m_address)});
    }
    options.m_shares.m_self = m_self.m_instance;
    options.m_shares.m_incarnation = m_self.m_incarnation;
    std::random_device device;
    options.m_seed = (static_cast<uint64_t>(device()) << 32U) | device();
    const CommandChannels commands{&m_to_callers, &m_to_databases,
                                   &m_to_platform, &m_to_peers};
    m_decision = std::make_unique<DecisionDuty>(std::move(options), commands,
                                                m_settings.m_timeline_events);
    m_operators->SetDecisionDuty(m_decision.get());
  }

  void ConnectChannels() {
    asio::io_context& decision = m_decision->thread().io();
    const auto handle = [this](const core::Event& event) {
      m_decision->Handle(event);
    };
    m_from_callers.Connect(&m_callers->thread().io(), &decision, handle);
    m_from_databases.Connect(&m_databases->thread().io(), &decision, handle);
    m_from_platform.Connect(&m_platform->thread().io(), &decision, handle);
    m_from_peers.Connect(&m_peers->thread().io(), &decision, handle);
    m_from_signals.Connect(&m_main, &decision, handle);
    m_to_callers.Connect(
        &decision, &m_callers->thread().io(),
        [this](const CallerCommand& command) { m_callers->Execute(command); });
    m_to_databases.Connect(&decision, &m_databases->thread().io(),
                           [this](const DatabaseCommand& command) {
                             m_databases->Execute(command);
                           });
    m_to_platform.Connect(&decision, &m_platform->thread().io(),
                          [this](const PlatformCommand& command) {
                            m_platform->Execute(command);
                          });
    m_to_peers.Connect(
        &decision, &m_peers->thread().io(),
        [this](const PeerCommand& command) { m_peers->Execute(command); });
    m_callers->SetClosedHook([this] { m_main.stop(); });
    SetAssertionHook(
        [this](const AssertionFailure& failure) { LogHistory(failure); });
  }

  // Logs the latest events of the timeline and the failed assertion. Called on
  // the decision thread, because that is where assertions of the core fail.
  void LogHistory(const AssertionFailure& failure) const {
    constexpr std::size_t kLoggedEvents = 200;
    const auto& records = m_decision->timeline().records();
    const std::size_t skipped =
        records.size() > kLoggedEvents ? records.size() - kLoggedEvents : 0;
    for (std::size_t i = skipped; i < records.size(); ++i) {
      const core::TimelineEvent& event = records[i].m_event;
      Log(MainLogger(), log4cplus::ERROR_LOG_LEVEL,
          "event before the failed assertion",
          {{"kind", core::ToString(event.m_kind)},
           {"database", event.m_database.str()},
           {"detail", event.m_detail}});
    }
    Log(MainLogger(), log4cplus::FATAL_LOG_LEVEL, "assertion failed",
        {{"name", failure.m_name},
         {"file", failure.m_file},
         {"line", failure.m_line}});
  }

  void StartThreads() {
    asio::post(m_decision->thread().io(), [this] { m_decision->Start(); });
    m_platform->thread().Start();
    m_databases->thread().Start();
    m_peers->thread().Start();
    m_decision->thread().Start();
    m_callers->thread().Start();
    m_operators->thread().Start();
  }

  // Joins the decision thread last, so that no other thread passes events to
  // it after it has ended.
  void StopThreads() {
    if (m_decision == nullptr) {
      return;
    }
    m_operators->thread().Join();
    m_callers->thread().Join();
    m_platform->thread().Join();
    m_databases->thread().Join();
    m_peers->thread().Join();
    m_decision->thread().Join();
  }

  Settings m_settings;
  Logging m_logging;
  core::PeerSender m_self;
  asio::io_context m_main;
  asio::signal_set m_signals;

  Channel<core::Event> m_from_callers{kRingCapacity};
  Channel<core::Event> m_from_databases{kRingCapacity};
  Channel<core::Event> m_from_platform{kRingCapacity};
  Channel<core::Event> m_from_peers{kRingCapacity};
  Channel<core::Event> m_from_signals{kRingCapacity};
  Channel<CallerCommand> m_to_callers{kRingCapacity};
  Channel<DatabaseCommand> m_to_databases{kRingCapacity};
  Channel<PlatformCommand> m_to_platform{kRingCapacity};
  Channel<PeerCommand> m_to_peers{kRingCapacity};

  std::unique_ptr<CallerDuty> m_callers;
  std::unique_ptr<DatabaseDuty> m_databases;
  std::unique_ptr<PlatformDuty> m_platform;
  std::unique_ptr<PeerDuty> m_peers;
  std::unique_ptr<OperatorDuty> m_operators;
  std::unique_ptr<DecisionDuty> m_decision;
};

Daemon::Daemon(const Settings& settings)
    : m_impl(std::make_unique<Impl>(settings)) {}

Daemon::~Daemon() = default;

Result<Done, StartError> Daemon::Start() {
  return m_impl->Start();
}

void Daemon::Run() {
  m_impl->Run();
}

}  // namespace jasminelug::daemon
