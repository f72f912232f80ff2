#include "src/core/service_state.h"

namespace jasminelug::core {

void ServiceState::OnInstalled(const ConfigurationPtr& configuration,
                               Context& context) {
  m_configured = true;
  const bool out = configuration->IsZoneOut(m_own_zone);
  if (out != m_out_since.has_value()) {
    TimelineEvent event;
    event.m_kind = out ? TimelineKind::kZoneLeft : TimelineKind::kZoneReturned;
    event.m_zone = m_own_zone;
    event.m_revision = configuration->m_revision;
    context.Record(event);
    m_out_since = out ? std::optional<Time>(context.Now()) : std::nullopt;
  }
  Update(context);
}

void ServiceState::OnKeysConfirmed(bool confirmed, Context& context) {
  m_keys_confirmed = confirmed;
  Update(context);
}

void ServiceState::OnShutdownRequested(Context& context) {
  m_draining = true;
  Update(context);
}

void ServiceState::OnFenced(Context& context) {
  m_fenced = true;
  Update(context);
}

std::optional<RefusalCode> ServiceState::CheckNewRequest(
    const Context& context) const {
  if (m_draining || m_fenced) {
    return RefusalCode::kShuttingDown;
  }
  if (!m_configured) {
    return RefusalCode::kUnavailable;
  }
  if (m_out_since && context.Now() - *m_out_since > kZoneGracePeriod) {
    return RefusalCode::kZoneOut;
  }
  return std::nullopt;
}

void ServiceState::Update(Context& context) {
  const bool may_serve = m_configured && m_keys_confirmed && !m_out_since;
  const bool ready = may_serve && !m_draining && !m_fenced;
  if (ready != m_ready) {
    m_ready = ready;
    context.Emit(SetReadiness{ready});
  }
}

}  // namespace jasminelug::core
