#include "apps/jasminelugd/caller_duty.h"

#include <utility>

#include "apps/jasminelugd/conversions.h"

namespace jasminelug::daemon {
namespace {

// Maximum time that a shutdown waits for callers to receive their answers.
constexpr std::chrono::seconds kShutdownLimit{10};

callers::CallerHooks MakeHooks(
    std::function<void(const callers::RequestHandle&,
                       const callers::CallerRequest&)> on_request,
    Channel<core::Event>* events) {
  callers::CallerHooks hooks;
  hooks.m_on_request = std::move(on_request);
  hooks.m_on_caller_disconnected =
      [events](const callers::RequestHandle& handle) {
        events->Push(core::CallerGone{core::RequestHandle(handle.m_number)});
      };
  return hooks;
}

}  // namespace

CallerDuty::CallerDuty(const http2::ServerOptions& options,
                       Channel<core::Event>* events)
    : m_events(events),
      m_listener(m_thread.io(),
                 options,
                 MakeHooks(
                     [this](const callers::RequestHandle& handle,
                            const callers::CallerRequest& request) {
                       OnRequest(handle, request);
                     },
                     events)),
      m_shutdown_limit(m_thread.io()) {}

Result<Done, callers::CallerListenerError> CallerDuty::Listen() {
  return m_listener.Start();
}

void CallerDuty::OnRequest(const callers::RequestHandle& handle,
                           const callers::CallerRequest& request) {
  if (m_events->IsFull()) {
    callers::CallerError error;
    error.m_code = callers::ErrorCode::kOverloaded;
    error.m_message = "the instance has more requests than it can take";
    error.m_execution = callers::Execution::kNotRun;
    m_listener.Answer(handle, error);
    return;
  }
  m_events->Push(core::RequestReceived{core::RequestHandle(handle.m_number),
                                       ToCore(request)});
}

void CallerDuty::Execute(const CallerCommand& command) {
  if (const auto* answer = std::get_if<core::AnswerRequest>(&command)) {
    m_listener.Answer(callers::RequestHandle{answer->m_request.value()},
                      FromCore(answer->m_answer));
  } else if (const auto* readiness =
                 std::get_if<core::SetReadiness>(&command)) {
    m_listener.SetReady(readiness->m_ready);
  } else if (std::holds_alternative<core::StopProcess>(command)) {
    Shutdown();
  }
}

void CallerDuty::Shutdown() {
  const auto close = [this] {
    if (!m_is_closed) {
      m_is_closed = true;
      m_shutdown_limit.cancel();
      m_on_closed();
    }
  };
  m_shutdown_limit.expires_after(kShutdownLimit);
  m_shutdown_limit.async_wait([close](std::error_code error) {
    if (!error) {
      close();
    }
  });
  m_listener.Shutdown(close);
}

}  // namespace jasminelug::daemon
