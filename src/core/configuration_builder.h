#ifndef SRC_CORE_CONFIGURATION_BUILDER_H_
#define SRC_CORE_CONFIGURATION_BUILDER_H_

#include <string>

#include "src/common/field_error.h"
#include "src/core/configuration.h"
#include "src/core/platform_call.h"

namespace jasminelug::core {

// Makes the next configuration from the last one and the objects that changed.
class ConfigurationBuilder {
 public:
  explicit ConfigurationBuilder(const ConfigurationPtr& base);

  // Takes in one object of a configuration kind. An invalid one is refused as
  // a whole, and the last good one kept. Returns what is wrong with it.
  FieldErrors Apply(const Object& object);

  // Returns the configuration as of `revision`.
  ConfigurationPtr Build(Revision revision);

 private:
  void Remove(const ObjectKey& key);

  Configuration m_next;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_CONFIGURATION_BUILDER_H_
