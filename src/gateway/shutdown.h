#ifndef SRC_GATEWAY_SHUTDOWN_H_
#define SRC_GATEWAY_SHUTDOWN_H_

#include <optional>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// Progress of a graceful shutdown at one moment.
struct ShutdownProgress {
  friend bool operator==(const ShutdownProgress&,
                         const ShutdownProgress&) = default;

  // Time since the request to stop.
  Duration m_stopping{0};
  // Whether all statements have been answered for lack of time. See
  // EngineOptions::m_shutdown_statement_limit.
  bool m_statements_ended = false;
  bool m_has_sessions = false;
  // Whether answers wait for their callers to read.
  bool m_has_unsent_answers = false;
  // Time since the deletion of the instance's entry began, and whether it is
  // still in progress.
  std::optional<Duration> m_deregistering;
  bool m_deregistration_in_progress = false;
};

enum class ShutdownStep { kServe, kDeregister, kExit };

// Decides what a stopping instance does next.
//
// It serves until no session is left and each answer was sent, so that a caller
// who reads slowly gets all of it. When the statements have been ended, callers
// have kDeregistrationTimeout more to read their answers: a caller that reads
// nothing does not keep the process.
ShutdownStep NextShutdownStep(const ShutdownProgress& progress);

// Minimum time between the request to stop and the exit, because new callers
// are still routed to this instance for a while.
constexpr Duration kMinShutdownTime = 2300ms;
// Maximum time for the deletion of this instance's entry before the exit.
constexpr Duration kDeregistrationTimeout = 300ms;

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_SHUTDOWN_H_
