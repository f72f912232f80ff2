#ifndef SRC_CORE_KEY_AUTHORIZER_H_
#define SRC_CORE_KEY_AUTHORIZER_H_

#include <functional>
#include <variant>

#include "src/core/caller_request.h"
#include "src/core/configuration.h"
#include "src/core/context.h"
#include "src/core/freshness.h"
#include "src/core/ids.h"

namespace jasminelug::core {

// The owner and the id of an accepted key.
struct Authorized {
  CustomerName m_customer;
  KeyId m_key;

  friend bool operator==(const Authorized&, const Authorized&) = default;
};

// Decides whether a presented key gives access at this moment. Must be called
// for each request, also on a connection that was authorized before, because a
// key may have been withdrawn since.
class KeyAuthorizer {
 public:
  using Decision = std::variant<Authorized, RefusalCode>;

  // `current` and `freshness` must outlive this object.
  KeyAuthorizer(const ConfigurationPtr& current, const Freshness& freshness)
      : m_current(current), m_freshness(freshness) {}

  // Returns the owner of the key, or one of these refusal codes: kKeyMissing;
  // kKeyUnknown (neither the code nor the time taken shows whether the id or
  // the secret was wrong); kKeyWithdrawn; kKeyUnconfirmed (the configuration
  // may be out of date; the request has not run); kUnavailable if there is no
  // configuration yet.
  Decision Authorize(const Secret& key, const Context& context) const;

 private:
  const ConfigurationPtr& m_current;
  const Freshness& m_freshness;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_KEY_AUTHORIZER_H_
