#include "apps/jasminelugctl/revision_wait.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "apps/jasminelugctl/admin_session.h"
#include "apps/jasminelugctl/table.h"

namespace jasminelug::ctl {
namespace {

constexpr std::chrono::milliseconds kPollInterval{200};

using InstanceDescriptions = std::vector<std::string>;

// Returns the instances that do not report `revision` or a later one. Each
// description gives the revision that the instance reports or the error.
InstanceDescriptions FindLaggingInstances(const Invocation& invocation,
                                          std::uint64_t revision) {
  InstanceDescriptions lagging;
  for (const auto& answer : CallAll<operators::StatusReport>(
           invocation.m_options.m_admins, {"GET", "/v1/status", {}, "", {}},
           operators::ParseStatusReport)) {
    if (!IsOk(answer.m_result)) {
      lagging.push_back(ToString(answer.m_endpoint) + " (" +
                        GetError(answer.m_result).m_message + ")");
      continue;
    }
    const operators::StatusReport& status = GetValue(answer.m_result);
    if (status.m_revision < revision) {
      lagging.push_back(status.m_instance + " at " +
                        ToString(answer.m_endpoint) + " (revision " +
                        std::to_string(status.m_revision) + ")");
    }
  }
  return lagging;
}

void PrintProgress(const Invocation& invocation,
                   std::int64_t revision,
                   const InstanceDescriptions& lagging) {
  const std::size_t instance_count = invocation.m_options.m_admins.size();
  invocation.m_err << "revision " << revision << ": "
                   << instance_count - lagging.size() << " of "
                   << instance_count << " instances report it";
  for (const std::string& name : lagging) {
    invocation.m_err << "\n  not yet: " << Printable(name);
  }
  invocation.m_err << std::endl;
}

}  // namespace

ExitCode WaitForRevision(const Invocation& invocation, std::int64_t revision) {
  if (!invocation.m_options.m_wait || revision == 0) {
    return ExitCode::kDone;
  }
  const auto deadline =
      std::chrono::steady_clock::now() + *invocation.m_options.m_wait;
  std::size_t last_lagging_count = invocation.m_options.m_admins.size() + 1;
  for (;;) {
    const InstanceDescriptions lagging =
        FindLaggingInstances(invocation, static_cast<std::uint64_t>(revision));
    const bool is_deadline_passed =
        std::chrono::steady_clock::now() >= deadline;
    if (is_deadline_passed || lagging.size() != last_lagging_count) {
      PrintProgress(invocation, revision, lagging);
      last_lagging_count = lagging.size();
    }
    if (lagging.empty()) {
      return ExitCode::kDone;
    }
    if (is_deadline_passed) {
      return ExitCode::kWaitTimedOut;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace jasminelug::ctl
