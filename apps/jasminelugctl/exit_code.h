#ifndef APPS_JASMINELUGCTL_EXIT_CODE_H_
#define APPS_JASMINELUGCTL_EXIT_CODE_H_

namespace jasminelug::ctl {

// Exit statuses of the program, as documented in HelpText().
enum class ExitCode {
  kDone = 0,
  // The change was refused, or another writer changed the object first.
  kRefused = 1,
  kUsage = 2,
  // The platform or an instance did not answer, or the outcome is unknown.
  kUnavailable = 3,
  // Some instance did not report the change within the time of --wait.
  kWaitTimedOut = 4,
};

// Returns the exit code that matters more to the operator. An unavailable
// service or an unknown outcome is more severe than a refusal, and a refusal
// is more severe than a wait that timed out.
constexpr ExitCode MoreSevere(ExitCode a, ExitCode b) {
  constexpr auto kSeverity = [](ExitCode code) {
    switch (code) {
      case ExitCode::kDone:
        return 0;
      case ExitCode::kWaitTimedOut:
        return 1;
      case ExitCode::kUsage:
        return 2;
      case ExitCode::kRefused:
        return 3;
      case ExitCode::kUnavailable:
        return 4;
    }
    return 0;
  };
  return kSeverity(a) < kSeverity(b) ? b : a;
}

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_EXIT_CODE_H_
