#ifndef APPS_JASMINELUGD_DAEMON_H_
#define APPS_JASMINELUGD_DAEMON_H_

#include <memory>
#include <string>

#include "apps/jasminelugd/settings.h"
#include "jasminelug/common.h"

namespace jasminelug::daemon {

// Why a daemon cannot start.
struct StartError {
  std::string m_message;

  bool operator==(const StartError&) const = default;
};

// One instance: the duties, their threads and the channels between them.
class Daemon {
 public:
  explicit Daemon(const Settings& settings);
  ~Daemon();

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Listens and starts the threads.
  Result<Done, StartError> Start();

  // Serves until SIGTERM or SIGINT has been answered by a graceful shutdown.
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jasminelug::daemon

#endif  // APPS_JASMINELUGD_DAEMON_H_
