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

// Changes the fields of a JSON object in place.
using FieldEdit = std::function<void(nlohmann::json*)>;

// Returns the object of `list` with the key `key`, or null if there is none.
const platform::Object* FindObject(const platform::ObjectList& list,
                                   const core::ObjectKey& key);

// Reads the object, applies `edit`, validates the result and writes it. The
// write succeeds only if the object still has the version that was read, so
// that the change of another writer is never overwritten. Waits for the
// instances afterwards if --wait is given. Refuses an object that does not
// exist.
ExitCode EditObject(const Invocation& invocation,
                    const core::ObjectKey& key,
                    const FieldEdit& edit);

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_OBJECT_EDIT_H_
