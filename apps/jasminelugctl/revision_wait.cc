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

using Names = std::vector<std::string>;

// Returns the instances that don't report `revision`, each with the reason.
Names FindBehind(const Invocation& invocation, std::uint64_t revision) {
  Names behind;
  for (const auto& answer : AskAll<operators::StatusReport>(
           invocation.m_options.m_admins, {"GET", "/v1/status", {}, "", {}},
           operators::ParseStatusReport)) {
    if (!IsOk(answer.m_result)) {
      behind.push_back(ToString(answer.m_endpoint) + " (" +
                       GetError(answer.m_result).m_message + ")");
      continue;
    }
    const operators::StatusReport& status = GetValue(answer.m_result);
    if (status.m_revision < revision) {
      behind.push_back(status.m_instance + " at " +
                       ToString(answer.m_endpoint) + " (revision " +
                       std::to_string(status.m_revision) + ")");
    }
  }
  return behind;
}

void PrintProgress(const Invocation& invocation,
                   std::int64_t revision,
                   const Names& behind) {
  const std::size_t all = invocation.m_options.m_admins.size();
  invocation.m_err << "revision " << revision << ": " << all - behind.size()
                   << " of " << all << " instances report it";
  for (const std::string& name : behind) {
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
  std::size_t last_behind = invocation.m_options.m_admins.size() + 1;
  for (;;) {
    const Names behind =
        FindBehind(invocation, static_cast<std::uint64_t>(revision));
    const bool is_over = std::chrono::steady_clock::now() >= deadline;
    if (is_over || behind.size() != last_behind) {
      PrintProgress(invocation, revision, behind);
      last_behind = behind.size();
    }
    if (behind.empty()) {
      return ExitCode::kDone;
    }
    if (is_over) {
      return ExitCode::kWaitRanOut;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace jasminelug::ctl
