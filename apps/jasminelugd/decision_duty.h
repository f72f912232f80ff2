#ifndef APPS_JASMINELUGD_DECISION_DUTY_H_
#define APPS_JASMINELUGD_DECISION_DUTY_H_

#include <chrono>
#include <functional>
#include <vector>

#include "apps/jasminelugd/caller_duty.h"
#include "apps/jasminelugd/database_duty.h"
#include "apps/jasminelugd/duty.h"
#include "apps/jasminelugd/peer_duty.h"
#include "apps/jasminelugd/platform_duty.h"
#include "apps/jasminelugd/timeline.h"
#include "jasminelug/core.h"

namespace jasminelug::daemon {

// The channels from the decision duty to the other duties.
struct CommandChannels {
  Channel<CallerCommand>* m_callers = nullptr;
  Channel<DatabaseCommand>* m_databases = nullptr;
  Channel<PlatformCommand>* m_platform = nullptr;
  Channel<PeerCommand>* m_peers = nullptr;
};

// Owns the engine: passes events with their times to it and sends its actions
// to the other duties as commands. Only this duty's thread accesses the engine.
class DecisionDuty {
 public:
  DecisionDuty(core::EngineOptions options,
               CommandChannels commands,
               std::size_t timeline_events);

  DutyThread& thread() { return m_thread; }

  // Starts the engine and its periodic ticks. Must be called on this duty's
  // thread.
  void Start();

  // Passes an event to the engine and executes the resulting actions. Must be
  // called on this duty's thread.
  void Handle(const core::Event& event);

  // Access for operators' requests. Must be called on this duty's thread.
  core::Engine& engine() { return m_engine; }
  const Timeline& timeline() const { return m_timeline; }
  const core::EngineOptions& options() const { return m_options; }
  uint64_t PlatformCalls() const { return m_platform_calls; }

 private:
  static core::Time Now();
  void ScheduleTick();
  void Perform(std::vector<core::Action> actions);
  void Execute(core::AnswerRequest action);
  void Execute(core::OpenConnection action);
  void Execute(core::CloseConnection action);
  void Execute(core::RunStatement action);
  void Execute(core::CallMember action);
  void Execute(core::CallPlatform action);
  void Execute(core::SendToPeer action);
  void Execute(core::RecordEvent action);
  void Execute(core::SetReadiness action);
  void Execute(core::StopProcess action);

  DutyThread m_thread;
  core::EngineOptions m_options;
  CommandChannels m_commands;
  core::Engine m_engine;
  Timeline m_timeline;
  uint64_t m_platform_calls = 0;
  asio::steady_timer m_tick;
};

}  // namespace jasminelug::daemon

#endif  // APPS_JASMINELUGD_DECISION_DUTY_H_
