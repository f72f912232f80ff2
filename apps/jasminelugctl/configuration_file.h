#ifndef APPS_JASMINELUGCTL_CONFIGURATION_FILE_H_
#define APPS_JASMINELUGCTL_CONFIGURATION_FILE_H_

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

#include "apps/jasminelugctl/desired_object.h"

namespace jasminelug::ctl {

// Parses {"profiles": {NAME: {..}}, "customers": .., "zones": ..,
// "databases": ..}, which is JSON with comments. Each section is optional.
// Returns all errors and not just the first, each with the path of its field
// such as "profiles.clerk.burst".
Result<DesiredObjects, FieldErrors> ParseConfigurationFile(
    std::string_view text);

// Reads the file at `path` and parses it with ParseConfigurationFile().
Result<DesiredObjects, FieldErrors> ReadConfigurationFile(
    const std::string& path);

// Returns the configuration file from which ParseConfigurationFile() would read
// the objects of `list`. Objects without a section in the file, such as API
// keys, are omitted.
nlohmann::json MakeConfigurationFile(const platform::ObjectList& list);

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_CONFIGURATION_FILE_H_
