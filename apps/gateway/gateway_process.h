#ifndef APPS_GATEWAY_GATEWAY_PROCESS_H_
#define APPS_GATEWAY_GATEWAY_PROCESS_H_

#include <log4cplus/logger.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "apps/gateway/fleet_duty.h"
#include "apps/gateway/forwarding_duty.h"
#include "apps/gateway/settings.h"
#include "apps/gateway/state_duty.h"
#include "apps/gateway/statement_log.h"
#include "jasminelug/gateway.h"
#include "platform/caller_listener.h"
#include "platform/member_links.h"
#include "platform/status_listener.h"

namespace jasminelug::gateway_app {

// Runs a gateway in one process: connects the engine with its callers, its
// members, the store and its peers on one event loop.
//
// All duties share the loop instead of having a thread each: an instance has a
// quarter of a core, and each hand-over between threads costs a wake-up.
class GatewayProcess {
 public:
  // Reads the settings file again; called on SIGHUP.
  using ReloadHook = std::function<Result<Settings, FieldErrors>()>;

  GatewayProcess(Settings settings, ReloadHook reload);

  // Serves until a signal tells the process to stop. Returns the exit code.
  int Run();

 private:
  gateway::EngineHooks MakeEngineHooks();
  adapter::CallerListener::Hooks MakeCallerHooks();
  adapter::MemberLinks::Hooks MakeMemberHooks();
  StateDuty::Hooks MakeStateHooks();
  FleetDuty::Hooks MakeFleetHooks();

  void OnStateChanged(gateway::StoreKind kind,
                      const gateway::StoreObjects& objects,
                      gateway::Revision complete);
  void OnStateVerified(gateway::StoreKind kind,
                       gateway::Time as_of,
                       bool own_call);
  std::optional<gateway::Duration> ContactAge(gateway::StoreKind kind,
                                              gateway::Time now);
  void OnNeighbours(const gateway::StoreObjects& objects);
  void OnConfiguration(const gateway::StoreObjects& objects);
  void OnMembers(const gateway::StoreObjects& objects);
  void OnEvacuations(const gateway::StoreObjects& objects,
                     gateway::Revision complete);
  void ApplyEvacuations(gateway::Time now);
  void ScheduleTick();
  void OnTick();
  void ReportLateTick(gateway::Time now);
  void AwaitSignal();
  void OnSignal(int signal);
  void BeginShutdown();
  void ContinueShutdown(gateway::Time now);
  bool IsReady() const;
  std::string Metrics() const;
  std::string RegionMetrics() const;
  void LogSpill(const gateway::GroupName& group,
                const gateway::SpillInput& input,
                bool begins) const;

  const Settings m_settings;
  const ReloadHook m_reload;
  const gateway::Incarnation m_incarnation;
  log4cplus::Logger m_logger;
  asio::io_context m_io;
  asio::signal_set m_signals;
  asio::steady_timer m_timer;
  gateway::TickWatch m_tick_watch{gateway::Engine::kTickInterval};
  StatementLog m_statement_log;
  gateway::Engine m_engine;
  gateway::MemberDirectory m_directory;
  gateway::EvacuatedZones m_evacuated;
  adapter::MemberLinks m_members;
  FleetDuty m_fleet;
  ForwardingDuty m_forwarding;
  StateDuty m_state;
  std::unique_ptr<adapter::CallerListener> m_callers;
  std::unique_ptr<adapter::StatusListener> m_status;
  std::optional<gateway::Time> m_stopping_since;
  std::optional<gateway::Time> m_deregistering_since;
  std::uint64_t m_completed = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_unexpected_answers = 0;
  bool m_was_ready = false;
};

}  // namespace jasminelug::gateway_app

#endif  // APPS_GATEWAY_GATEWAY_PROCESS_H_
