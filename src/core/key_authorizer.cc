#include "src/core/key_authorizer.h"

#include <string>

#include "src/core/key_digest.h"

namespace jasminelug::core {
namespace {

// Returns the grant that is checked if the key's id is unknown, so that the
// check does the same work as for a known id. No key has its digest.
const KeyGrant& UnknownKeyGrant() {
  static const KeyGrant grant = [] {
    KeyGrant none;
    none.m_salt = std::string(32, '0');
    none.m_digest = std::string(64, '0');
    return none;
  }();
  return grant;
}

const KeyGrant& FindGrant(const Configuration& configuration,
                          const Secret& key) {
  const std::optional<KeyId> id = KeyIdOf(key);
  const auto found = configuration.m_keys.find(id.value_or(KeyId()));
  return found == configuration.m_keys.end() ? UnknownKeyGrant()
                                             : found->second;
}

}  // namespace

KeyAuthorizer::Decision KeyAuthorizer::Authorize(const Secret& key,
                                                 const Context& context) const {
  if (!m_current) {
    return RefusalCode::kUnavailable;
  }
  if (key.empty()) {
    return RefusalCode::kKeyMissing;
  }
  const KeyGrant& grant = FindGrant(*m_current, key);
  const std::string digest = DigestKey(grant.m_salt, key);
  if (!DigestsEqual(digest, grant.m_digest)) {
    return RefusalCode::kKeyUnknown;
  }
  if (grant.m_withdrawn) {
    return RefusalCode::kKeyWithdrawn;
  }
  if (!m_freshness.IsFresh(context)) {
    return RefusalCode::kKeyUnconfirmed;
  }
  return Authorized{grant.m_customer, grant.m_id};
}

}  // namespace jasminelug::core
