#ifndef APPS_JASMINELUGD_PLATFORM_DUTY_H_
#define APPS_JASMINELUGD_PLATFORM_DUTY_H_

#include <variant>

#include "apps/jasminelugd/duty.h"
#include "jasminelug/core.h"
#include "jasminelug/platform.h"

namespace jasminelug::daemon {

// A command from the decision duty to the platform duty.
using PlatformCommand = core::CallPlatform;

// Calls the platform's object API on a thread of its own.
class PlatformDuty {
 public:
  PlatformDuty(const platform::ClientOptions& options,
               Channel<core::Event>* events)
      : m_events(events), m_client(m_thread.io(), options) {}
  ~PlatformDuty() { m_thread.Join(); }

  DutyThread& thread() { return m_thread; }

  // Starts a call. Must be called on this duty's thread.
  void Execute(const PlatformCommand& command);

 private:
  void Call(core::CallId call, const core::ListObjects& request);
  void Call(core::CallId call, const core::WatchObjects& request);
  void Call(core::CallId call, const core::GetObject& request);
  void Call(core::CallId call, const core::PutObject& request);
  void Call(core::CallId call, const core::DeleteObject& request);
  // Returns a hook that reports the result of `call`, one object, to the
  // decision duty. `key` is the object that the call is about.
  platform::ResultHook<platform::Object> AnswerWithObject(
      core::CallId call,
      const core::ObjectKey& key);
  void Answer(core::CallId call, core::PlatformAnswer answer);

  DutyThread m_thread;
  Channel<core::Event>* m_events;
  platform::Client m_client;
};

}  // namespace jasminelug::daemon

#endif  // APPS_JASMINELUGD_PLATFORM_DUTY_H_
