#ifndef SRC_CORE_KEY_DIGEST_H_
#define SRC_CORE_KEY_DIGEST_H_

#include <optional>
#include <string>

#include "src/core/caller_request.h"
#include "src/core/configuration.h"
#include "src/core/ids.h"

namespace jasminelug::core {

// A caller's key has the form "<key id>.<secret>". The id is not secret. It
// identifies the grant, and so the salt, in one look-up regardless of the
// number of keys.

// Returns the id of a presented key, or nullopt if the key does not have that
// form.
std::optional<KeyId> KeyIdOf(const Secret& key);

// Returns the hexadecimal SHA-256 of the salt followed by the whole key.
//
// The operators' client generates a key's secret from 256 random bits, so that
// a dictionary attack is impossible and a fast digest is sufficient. A
// deliberately slow digest would cost each request as much as it costs an
// attacker.
std::string DigestKey(const std::string& salt, const Secret& key);

// Returns whether two digests are equal. The time taken does not depend on
// where they differ.
bool DigestsEqual(const std::string& a, const std::string& b);

// Returns the grant to write to the platform for a new key.
KeyGrant MakeKeyGrant(const CustomerName& customer,
                      const std::string& salt,
                      const Secret& key);

}  // namespace jasminelug::core

#endif  // SRC_CORE_KEY_DIGEST_H_
