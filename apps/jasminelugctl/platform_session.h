#ifndef APPS_JASMINELUGCTL_PLATFORM_SESSION_H_
#define APPS_JASMINELUGCTL_PLATFORM_SESSION_H_

#include <asio/io_context.hpp>

#include <functional>
#include <string>

#include "apps/jasminelugctl/exit_code.h"
#include "apps/jasminelugctl/invocation.h"
#include "jasminelug/common.h"
#include "jasminelug/platform.h"

namespace jasminelug::ctl {

template <typename T>
using PlatformResult = Result<T, platform::Error>;

// Makes blocking calls to the platform. Retries a call a few times if it fails
// as unavailable or with an unknown outcome. All attempts of a write carry the
// same write ID, from which the client recognizes that an earlier attempt took
// effect.
class PlatformSession {
 public:
  explicit PlatformSession(const Endpoint& platform);

  PlatformResult<platform::ObjectList> List(const std::string& kind_prefix);
  PlatformResult<platform::InstanceList> Instances();

  // Writes an object. The error kOutcomeUnknown, even if it comes with a
  // current object, means that one of the attempts may have taken effect;
  // another writer may have replaced its value since. All other errors
  // guarantee that none of the attempts took effect.
  PlatformResult<platform::Object> Put(const platform::PutRequest& request);

 private:
  template <typename T>
  using Call = std::function<void(platform::ResultHook<T>)>;

  template <typename T>
  PlatformResult<T> CallOnce(const Call<T>& call);

  template <typename T>
  PlatformResult<T> CallWithRetries(const Call<T>& call);

  asio::io_context m_io_context;
  platform::Client m_client;
};

// Prints `error` as a message and returns the exit code for it.
ExitCode ReportError(const Invocation& invocation,
                     const platform::Error& error);

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_PLATFORM_SESSION_H_
