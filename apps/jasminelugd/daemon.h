#ifndef APPS_JASMINELUGD_DAEMON_H_
#define APPS_JASMINELUGD_DAEMON_H_

#include <memory>
#include <string>

#include "apps/jasminelugd/settings.h"
#include "jasminelug/common.h"

namespace jasminelug::daemon {

// The reason why a daemon could not start, as a text for the operator.
struct StartError {
  std::string m_message;

  bool operator==(const StartError&) const = default;
};

// Runs one instance: owns the duties, their threads and the channels between
// them.
class Daemon {
 public:
  explicit Daemon(const Settings& settings);
  ~Daemon();

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Loads the TLS files, starts listening and starts the threads.
  Result<Done, StartError> Start();

  // Blocks until a graceful shutdown, begun by SIGTERM or SIGINT, is complete.
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jasminelug::daemon

#endif  // APPS_JASMINELUGD_DAEMON_H_
