#ifndef APPS_JASMINELUGCTL_DESIRED_OBJECT_H_
#define APPS_JASMINELUGCTL_DESIRED_OBJECT_H_

#include <string>
#include <vector>

#include "jasminelug/common.h"
#include "jasminelug/platform.h"
#include "src/core/configuration_codec.h"
#include "src/core/key_digest.h"

namespace jasminelug::ctl {

// Holds a configuration object with the value that the operator asks for.
struct DesiredObject {
  bool operator==(const DesiredObject&) const = default;

  core::ObjectKey m_key;
  // The value in canonical form, as the daemons write it with core::Format().
  std::string m_value;
};

using DesiredObjects = std::vector<DesiredObject>;

// Returns `value`, which is JSON with comments, in the canonical form of
// core::Format(), in which values of equal meaning are equal texts. Fails if
// the daemons would refuse the value, or if only they write this kind of
// object.
Result<std::string, FieldErrors> Canonicalize(const core::ObjectKey& key,
                                              const std::string& value);

// Returns the key of the object in the platform's API.
platform::ObjectKey ToPlatformKey(const core::ObjectKey& key);

// Returns "kind name".
std::string ToString(const core::ObjectKey& key);

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_DESIRED_OBJECT_H_
