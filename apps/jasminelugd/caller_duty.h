#ifndef APPS_JASMINELUGD_CALLER_DUTY_H_
#define APPS_JASMINELUGD_CALLER_DUTY_H_

#include <functional>
#include <memory>

#include "apps/jasminelugd/duty.h"

#include "jasminelug/callers.h"
#include "jasminelug/core.h"

namespace jasminelug::daemon {

// A command from the decision duty to the caller duty. The empty alternative
// makes the type default constructible, as Channel requires; it has no effect.
using CallerCommand = std::variant<std::monostate,
                                   core::AnswerRequest,
                                   core::SetReadiness,
                                   core::StopProcess>;

// Accepts the callers' connections on a thread of its own: passes their
// requests to the decision duty and sends them its answers.
class CallerDuty {
 public:
  // `events` leads to the decision duty and must outlive this object.
  CallerDuty(const http2::ServerOptions& options, Channel<core::Event>* events);

  // Starts listening. Requests are accepted only after thread().Start().
  Result<Done, callers::CallerListenerError> Listen();

  DutyThread& thread() { return m_thread; }
  std::uint16_t Port() const { return m_listener.Port(); }

  // Executes a command. Must be called on this duty's thread.
  void Execute(const CallerCommand& command);

  // Sets the function to call once after StopProcess, when every caller has
  // received its answer or the time limit of the shutdown has passed.
  void SetClosedHook(std::function<void()> on_closed) {
    m_on_closed = std::move(on_closed);
  }

 private:
  void OnRequest(const callers::RequestHandle& handle,
                 const callers::CallerRequest& request);
  void Shutdown();

  DutyThread m_thread;
  Channel<core::Event>* m_events;
  std::function<void()> m_on_closed;
  callers::CallerListener m_listener;
  asio::steady_timer m_shutdown_limit;
  bool m_is_closed = false;
};

}  // namespace jasminelug::daemon

#endif  // APPS_JASMINELUGD_CALLER_DUTY_H_
