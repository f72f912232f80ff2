#ifndef SRC_CORE_KEY_AUTHORITY_H_
#define SRC_CORE_KEY_AUTHORITY_H_

#include <functional>
#include <variant>

#include "src/core/caller_request.h"
#include "src/core/configuration.h"
#include "src/core/context.h"
#include "src/core/freshness.h"
#include "src/core/ids.h"

namespace jasminelug::core {

// Whose key it is.
struct Authorized {
  CustomerName m_customer;
  KeyId m_key;

  friend bool operator==(const Authorized&, const Authorized&) = default;
};

// Decides whether a presented key gives access now. Ask for each request, also
// on a live connection: the answer changes when a key is withdrawn.
class KeyAuthority {
 public:
  using Decision = std::variant<Authorized, RefusalCode>;

  // `freshness` and the store's configuration outlive this object.
  KeyAuthority(const ConfigurationPtr& current, const Freshness& freshness)
      : m_current(current), m_freshness(freshness) {}

  // Returns whose key it is; or kKeyMissing, kKeyUnknown (id and secret are
  // told apart neither by the code nor by the time taken), kKeyWithdrawn,
  // kKeyUnconfirmed (the request has not run), or kUnavailable before there is
  // a configuration.
  Decision Authorize(const Secret& key, const Context& context) const;

 private:
  const ConfigurationPtr& m_current;
  const Freshness& m_freshness;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_KEY_AUTHORITY_H_
