#ifndef APPS_JASMINELUGD_OPERATOR_DUTY_H_
#define APPS_JASMINELUGD_OPERATOR_DUTY_H_

#include "apps/jasminelugd/decision_duty.h"
#include "apps/jasminelugd/duty.h"
#include "jasminelug/operators.h"

namespace jasminelug::daemon {

// Serves the operators' API on a thread of its own. The state that a request
// asks for is read on the decision thread; the reply is sent on this one.
class OperatorDuty {
 public:
  explicit OperatorDuty(const http2::ServerOptions& options);

  Result<Done, operators::AdminListenerError> Listen() {
    return m_listener.Start();
  }

  // Sets the duty to read from. Must be called before the threads start.
  void SetDecisionDuty(DecisionDuty* decision) { m_decision = decision; }

  DutyThread& thread() { return m_thread; }
  std::uint16_t Port() const { return m_listener.Port(); }

 private:
  operators::AdminHooks MakeHooks();

  // Calls `read` on the decision thread and `reply` with its result on this
  // duty's thread.
  template <typename T>
  void Read(
      const operators::Reply<T>& reply,
      std::function<Result<T, operators::AdminError>(DecisionDuty&)> read);

  DutyThread m_thread;
  DecisionDuty* m_decision = nullptr;
  operators::AdminListener m_listener;
};

}  // namespace jasminelug::daemon

#endif  // APPS_JASMINELUGD_OPERATOR_DUTY_H_
