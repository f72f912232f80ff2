#include "apps/jasminelugd/decision_duty.h"

#include <time.h>

#include <utility>
#include <variant>

namespace jasminelug::daemon {

DecisionDuty::DecisionDuty(core::EngineOptions options,
                           CommandChannels commands,
                           std::size_t timeline_events)
    : m_options(std::move(options)),
      m_commands(commands),
      m_engine(m_options),
      m_timeline(timeline_events),
      m_tick(m_thread.io()) {}

void DecisionDuty::Start() {
  Perform(m_engine.Start(Now()));
  ScheduleTick();
}

void DecisionDuty::Handle(const core::Event& event) {
  Perform(m_engine.Handle(event, Now()));
}

core::Time DecisionDuty::Now() {
  // Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME advances while the machine is
  // suspended. Leases and confirmations that expire during a suspension must
  // not be valid after it.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return core::Time(std::chrono::duration_cast<core::Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

void DecisionDuty::ScheduleTick() {
  m_tick.expires_after(core::kTickInterval);
  m_tick.async_wait([this](std::error_code error) {
    if (!error) {
      Handle(core::Tick{});
      ScheduleTick();
    }
  });
}

void DecisionDuty::Perform(std::vector<core::Action> actions) {
  for (core::Action& action : actions) {
    std::visit([this](auto& kind) { Execute(std::move(kind)); }, action);
  }
}

void DecisionDuty::Execute(core::AnswerRequest action) {
  m_commands.m_callers->Push(std::move(action));
}

void DecisionDuty::Execute(core::OpenConnection action) {
  m_commands.m_databases->Push(std::move(action));
}

void DecisionDuty::Execute(core::CloseConnection action) {
  m_commands.m_databases->Push(action);
}

void DecisionDuty::Execute(core::RunStatement action) {
  m_commands.m_databases->Push(std::move(action));
}

void DecisionDuty::Execute(core::CallMember action) {
  m_commands.m_databases->Push(std::move(action));
}

void DecisionDuty::Execute(core::CallPlatform action) {
  ++m_platform_calls;
  m_commands.m_platform->Push(std::move(action));
}

void DecisionDuty::Execute(core::SendToPeer action) {
  m_commands.m_peers->Push(std::move(action));
}

void DecisionDuty::Execute(core::RecordEvent action) {
  m_timeline.Add(std::move(action.m_event));
}

void DecisionDuty::Execute(core::SetReadiness action) {
  m_commands.m_callers->Push(action);
}

void DecisionDuty::Execute(core::StopProcess action) {
  m_commands.m_callers->Push(action);
}

}  // namespace jasminelug::daemon
