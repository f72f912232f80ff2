#ifndef SRC_CORE_CONFIGURATION_BUILDER_H_
#define SRC_CORE_CONFIGURATION_BUILDER_H_

#include <string>

#include "src/common/field_error.h"
#include "src/core/configuration.h"
#include "src/core/platform_call.h"

namespace jasminelug::core {

// Builds the next configuration from the previous one and the objects that have
// changed since.
class ConfigurationBuilder {
 public:
  explicit ConfigurationBuilder(const ConfigurationPtr& base);

  // Applies one changed or deleted object of a configuration kind. If the
  // object is invalid, all of it is rejected and its last valid version is
  // kept.
  //
  // Returns the errors found in the object; empty if it was applied.
  FieldErrors Apply(const Object& object);

  // Returns the configuration and gives it the revision `revision`.
  ConfigurationPtr Build(Revision revision);

 private:
  void Remove(const ObjectKey& key);

  Configuration m_next;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_CONFIGURATION_BUILDER_H_
