#include "src/gateway/copy_lag.h"

namespace jasminelug::gateway {

bool CopyLag::TakeOverdue(Revision complete, Revision verified, Time now) {
  if (m_lacked && complete >= *m_lacked) {
    m_lacked.reset();
  }
  if (!m_lacked && complete < verified) {
    m_lacked = verified;
    m_since = now;
  }
  if (!m_lacked || now - m_since < kMaxLag) {
    return false;
  }
  m_since = now;
  return true;
}

}  // namespace jasminelug::gateway
