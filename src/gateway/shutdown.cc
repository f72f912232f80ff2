#include "src/gateway/shutdown.h"

namespace jasminelug::gateway {

ShutdownStep NextShutdownStep(const ShutdownProgress& progress) {
  if (progress.m_deregistering) {
    const bool done = !progress.m_deregistration_in_progress &&
                      !progress.m_has_unsent_answers;
    const bool timed_out = *progress.m_deregistering >= kDeregistrationTimeout;
    return done || timed_out ? ShutdownStep::kExit : ShutdownStep::kDeregister;
  }
  const bool idle = !progress.m_has_sessions && !progress.m_has_unsent_answers;
  const bool may_leave = idle && progress.m_stopping >= kMinShutdownTime;
  return progress.m_statements_ended || may_leave ? ShutdownStep::kDeregister
                                                  : ShutdownStep::kServe;
}

}  // namespace jasminelug::gateway
