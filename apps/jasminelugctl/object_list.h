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

// Returns the table row of an object, or the reasons why the object is invalid.
using RowHook = std::function<Result<Table::Row, FieldErrors>(
    const platform::Object& object)>;

// Prints a table of all objects of `kind`. Reports an object that the daemons
// would refuse as a message instead of a row, and then returns kRefused.
ExitCode ListObjects(const Invocation& invocation,
                     core::ObjectKind kind,
                     const Table::Row& header,
                     const RowHook& make_row);

// Returns the names, separated by spaces.
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
