#ifndef SRC_CORE_SERVICE_STATE_H_
#define SRC_CORE_SERVICE_STATE_H_

#include <optional>

#include "src/core/caller_request.h"
#include "src/core/configuration.h"
#include "src/core/context.h"
#include "src/core/ids.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Time for which an instance still serves new requests after its zone was
// taken out of service, until the load balancer sends them elsewhere.
inline constexpr Duration kZoneGracePeriod = 2s;

// Decides whether this instance accepts new requests, and reports its
// readiness to the load balancer.
class ServiceState {
 public:
  explicit ServiceState(ZoneName own_zone) : m_own_zone(std::move(own_zone)) {}

  // A configuration was installed. The instance is not ready before the first
  // one.
  void OnInstalled(const ConfigurationPtr& configuration, Context& context);

  // Sets whether keys can be confirmed now. If not, the instance is not ready,
  // so that the load balancer prefers instances that can confirm keys. Requests
  // that arrive anyway are checked individually.
  void OnKeysConfirmed(bool confirmed, Context& context);

  // Shutdown was requested. The instance is no longer ready, and refuses new
  // requests with kShuttingDown.
  void OnShutdownRequested(Context& context);

  // Another process has taken over this instance's id. The instance is no
  // longer ready, and refuses new requests with kShuttingDown.
  void OnFenced(Context& context);

  // Returns why a request that arrives now must be refused without running it;
  // nullopt if it may be served.
  std::optional<RefusalCode> CheckNewRequest(const Context& context) const;

  bool IsReady() const { return m_ready; }
  bool IsDraining() const { return m_draining; }

 private:
  void Update(Context& context);

  ZoneName m_own_zone;
  bool m_configured = false;
  bool m_keys_confirmed = false;
  bool m_draining = false;
  bool m_fenced = false;
  // When this instance learned that its zone was taken out of service.
  std::optional<Time> m_out_since;
  bool m_ready = false;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_SERVICE_STATE_H_
