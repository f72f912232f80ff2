#include "apps/jasminelugctl/platform_session.h"

#include <chrono>
#include <optional>
#include <thread>
#include <utility>

#include "apps/jasminelugctl/table.h"

namespace jasminelug::ctl {
namespace {

using platform::Error;
using platform::ErrorKind;

constexpr int kMaxAttempts = 4;
constexpr std::chrono::milliseconds kInitialRetryDelay{200};

platform::ClientOptions MakeOptions(const Endpoint& endpoint) {
  platform::ClientOptions options;
  options.m_address = endpoint.m_address;
  options.m_port = endpoint.m_port;
  return options;
}

bool IsRetryable(ErrorKind kind) {
  return kind == ErrorKind::kUnavailable || kind == ErrorKind::kOutcomeUnknown;
}

}  // namespace

PlatformSession::PlatformSession(const Endpoint& platform)
    : m_client(m_io_context, MakeOptions(platform)) {}

template <typename T>
PlatformResult<T> PlatformSession::CallOnce(const Call<T>& call) {
  std::optional<PlatformResult<T>> answer;
  call([&answer](const PlatformResult<T>& result) { answer = result; });
  m_io_context.restart();
  while (!answer && m_io_context.run_one() > 0) {
  }
  JASMINELUG_ASSERT(answer.has_value(), EACH_PLATFORM_CALL_HAS_A_RESULT);
  return *std::move(answer);
}

template <typename T>
PlatformResult<T> PlatformSession::CallWithRetries(const Call<T>& call) {
  bool is_outcome_unknown = false;
  std::chrono::milliseconds delay = kInitialRetryDelay;
  for (int attempt = 1;; ++attempt) {
    PlatformResult<T> result = CallOnce(call);
    if (IsOk(result)) {
      return result;
    }
    Error error = GetError(result);
    is_outcome_unknown |= error.m_kind == ErrorKind::kOutcomeUnknown;
    if (attempt == kMaxAttempts || !IsRetryable(error.m_kind)) {
      // This attempt had no effect, but an earlier attempt whose outcome is
      // unknown may have had one.
      error.m_kind =
          is_outcome_unknown ? ErrorKind::kOutcomeUnknown : error.m_kind;
      return error;
    }
    std::this_thread::sleep_for(delay);
    delay *= 2;
  }
}

PlatformResult<platform::ObjectList> PlatformSession::List(
    const std::string& kind_prefix) {
  return CallWithRetries<platform::ObjectList>(
      [&](platform::ResultHook<platform::ObjectList> hook) {
        m_client.List(kind_prefix, std::move(hook));
      });
}

PlatformResult<platform::InstanceList> PlatformSession::Instances() {
  return CallWithRetries<platform::InstanceList>(
      [&](platform::ResultHook<platform::InstanceList> hook) {
        m_client.Instances(std::move(hook));
      });
}

PlatformResult<platform::Object> PlatformSession::Put(
    const platform::PutRequest& request) {
  return CallWithRetries<platform::Object>(
      [&](platform::ResultHook<platform::Object> hook) {
        m_client.Put(request, std::move(hook));
      });
}

ExitCode ReportError(const Invocation& invocation, const Error& error) {
  invocation.m_err << "the platform: " << Printable(error.m_message) << "\n";
  return IsRetryable(error.m_kind) ? ExitCode::kUnavailable
                                   : ExitCode::kRefused;
}

}  // namespace jasminelug::ctl
