#ifndef APPS_JASMINELUGD_CONVERSIONS_H_
#define APPS_JASMINELUGD_CONVERSIONS_H_

#include <optional>
#include <string>

#include "jasminelug/callers.h"
#include "jasminelug/core.h"
#include "jasminelug/databases.h"
#include "jasminelug/platform.h"
#include "src/core/configuration_codec.h"

namespace jasminelug::daemon {

// Conversions between the types of the core and those of the packages that
// connect it to callers, databases and the platform. The core and these
// packages do not depend on each other.

core::CallerRequest ToCore(const callers::CallerRequest& request);
callers::CallerAnswer FromCore(const core::CallerAnswer& answer);

core::StatementOutcome ToCore(const databases::StatementOutcome& outcome);
core::StatementOutcome ToCore(const databases::BatchOutcome& outcome);
core::MemberStatus ToCore(const databases::MemberStatus& status);
core::GrantAnswer ToCore(const databases::GrantAnswer& answer);
databases::Statement FromCore(const core::Statement& statement);

core::Object ToCore(const platform::Object& object);
core::ObjectBatch ToCore(const platform::ObjectList& list);
core::ObjectBatch ToCore(const platform::WatchAnswer& answer);
core::PlatformAnswer ToCore(const core::ObjectKey& key,
                            const platform::Error& error);
platform::ObjectKey FromCore(const core::ObjectKey& key);

}  // namespace jasminelug::daemon

#endif  // APPS_JASMINELUGD_CONVERSIONS_H_
