#ifndef APPS_JASMINELUGCTL_OBJECT_EDIT_H_
#define APPS_JASMINELUGCTL_OBJECT_EDIT_H_

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

#include "apps/jasminelugctl/exit_code.h"
#include "apps/jasminelugctl/invocation.h"
#include "jasminelug/platform.h"
#include "src/core/configuration_codec.h"

namespace jasminelug::ctl {

// Changes an object's fields in place.
using FieldEdit = std::function<void(nlohmann::json*)>;

// Returns the object's value among `list`; null where there is none.
const platform::Object* FindObject(const platform::ObjectList& list,
                                   const core::ObjectKey& key);

// Reads the object, edits, validates and writes it on condition that nobody
// else did meanwhile, then waits as --wait asks. Refuses an object that does
// not exist.
ExitCode EditObject(const Invocation& invocation,
                    const core::ObjectKey& key,
                    const FieldEdit& edit);

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_OBJECT_EDIT_H_
