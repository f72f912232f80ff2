#ifndef APPS_JASMINELUGCTL_OBJECT_LIST_H_
#define APPS_JASMINELUGCTL_OBJECT_LIST_H_

#include <functional>

#include "apps/jasminelugctl/exit_code.h"
#include "apps/jasminelugctl/invocation.h"
#include "apps/jasminelugctl/table.h"
#include "jasminelug/common.h"
#include "jasminelug/platform.h"
#include "src/core/configuration_codec.h"

namespace jasminelug::ctl {

// Makes an object's row, after the one for its name.
using RowHook = std::function<Result<Table::Row, FieldErrors>(
    const platform::Object& object)>;

// Prints a table of all objects of `kind`. An object that the daemons would
// refuse is named as a message, and makes the result kRefused.
ExitCode ListObjects(const Invocation& invocation,
                     core::ObjectKind kind,
                     const Table::Row& header,
                     const RowHook& make_row);

// Returns the names with spaces between them.
template <typename Names>
std::string JoinNames(const Names& names) {
  std::string text;
  for (const auto& name : names) {
    text += text.empty() ? name.str() : " " + name.str();
  }
  return text;
}

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_OBJECT_LIST_H_
