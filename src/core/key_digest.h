#ifndef SRC_CORE_KEY_DIGEST_H_
#define SRC_CORE_KEY_DIGEST_H_

#include <optional>
#include <string>

#include "src/core/caller_request.h"
#include "src/core/configuration.h"
#include "src/core/ids.h"

namespace jasminelug::core {

// A caller's key reads "<key id>.<secret>". The id is not secret: it finds the
// grant, and so the salt, in one look-up however many keys there are.

// Returns the id of a presented key; nullopt if it does not have that form.
std::optional<KeyId> KeyIdOf(const Secret& key);

// Returns the hexadecimal SHA-256 of the salt and the whole key.
//
// A key's secret is drawn by the operators' client from 256 random bits, so a
// plain digest is enough: there is no dictionary to try, and a slow digest
// would cost each request what it costs an attacker.
std::string DigestKey(const std::string& salt, const Secret& key);

// Compares in a time that does not depend on where the digests differ.
bool DigestsEqual(const std::string& a, const std::string& b);

// Returns the grant that an operator writes for a new key.
KeyGrant MakeKeyGrant(const CustomerName& customer,
                      const std::string& salt,
                      const Secret& key);

}  // namespace jasminelug::core

#endif  // SRC_CORE_KEY_DIGEST_H_
